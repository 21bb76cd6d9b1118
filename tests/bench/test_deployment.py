"""The harness ends all that it starts."""

import asyncio
import json
import os
import signal

import testtools
from testtools import matchers

from sardineproxy.demo import deployment, parts, processes
from sardineproxy.process import settings

URN = parts.EndpointSpec(name='urn', zone='sondrio')


def _is_running(pid: int) -> bool:
    try:
        os.kill(pid, 0)
    except ProcessLookupError:
        return False
    return True


async def _fail_after_start(pids: list[int]) -> None:
    async with deployment.Deployment() as dep:
        process = await dep.start_endpoints([URN])
        pids.append(process.pid)
        await dep.start_program('standin-endpoint', '--no_such_flag')


async def _terminate_after_start(pids: list[int]) -> None:
    async with deployment.Deployment() as dep:
        process = await dep.start_endpoints([URN])
        pids.append(process.pid)
        os.kill(os.getpid(), signal.SIGTERM)
        await asyncio.Event().wait()


class DeploymentTest(testtools.TestCase):
    """Failures reach the caller after everything was stopped."""

    def test_ends_all_processes_when_one_does_not_start(self) -> None:
        """Guards against processes that outlive a failed set-up."""
        pids: list[int] = []
        error = self.assertRaises(
            processes.DeploymentError, asyncio.run, _fail_after_start(pids)
        )
        self.assertThat(str(error), matchers.Contains('no_such_flag'))
        self.assertThat(
            [_is_running(pid) for pid in pids], matchers.Equals([False])
        )

    def test_ends_all_processes_on_sigterm(self) -> None:
        """Guards against processes that outlive a terminated harness."""
        pids: list[int] = []
        error = self.assertRaises(
            processes.DeploymentError,
            processes.run,
            _terminate_after_start(pids),
        )
        self.assertThat(str(error), matchers.Contains('signal'))
        self.assertThat(
            [_is_running(pid) for pid in pids], matchers.Equals([False])
        )

    def test_settings_are_what_the_entry_process_accepts(self) -> None:
        """Guards against settings that drift from their schema."""
        spec = parts.EntrySpec(name='sondrio-1', zone='sondrio', size=2)
        document = parts.render_settings(
            spec, region='alpha', platform_port=4711, seeds=()
        )
        parsed = settings.parse(json.dumps(document)).unwrap()
        self.assertThat(parsed.vm, matchers.Equals('sondrio-1'))
        self.assertThat(parsed.platform.port, matchers.Equals(4711))
