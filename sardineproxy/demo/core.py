"""Run a deployment in two zones on loopback: a lookup, a stamp and a job.

Starts a stand-in platform, stand-in endpoints and entry processes, applies a
contract, submits work as a customer and checks every reply and the endpoints'
records. Stops all processes at the end; takes about ten seconds.
"""

import asyncio
import random
import sys
import time

import aiohttp
from absl import flags

from sardineproxy import clock as clocks, command_line
from sardineproxy import exit_status
from sardineproxy.demo import caller, deployment, parts, processes, tasks

CREDENTIAL = 'reprint-desk-demo-credential'
CUSTOMER = 'reprint-desk'
DEADLINE_MS = 60_000
SHORT_RUN_MS = 50
LONG_RUN_MS = 400

#: Each zone with the relative speeds of its endpoints.
ZONES = (('sondrio', (1, 1.5, 2)), ('tirano', (0.5, 1, 2)))
ENTRIES = (
    parts.EntrySpec(name='sondrio-entry-1', zone='sondrio', size=2),
    parts.EntrySpec(name='sondrio-entry-2', zone='sondrio'),
    parts.EntrySpec(name='tirano-entry-1', zone='tirano'),
    parts.EntrySpec(name='tirano-entry-2', zone='tirano', size=2),
)
LOOKUP = tasks.Task(
    label='lookup', method='GET', path='/certificates/4711', run_ms=120
)
STAMP = tasks.Task(
    label='stamp',
    path='/stamps',
    run_ms=300,
    body='Reprint certificate 4711.',
    idempotent=False,
)


def main(argv: list[str]) -> exit_status.ExitStatus:
    """Run the demo; fail if a reply or a record is wrong."""
    cfg = command_line.new_flags()
    flags.DEFINE_integer(
        'tasks', 200, 'Tasks of the job.', 1, 1700, flag_values=cfg
    )
    flags.DEFINE_integer('seed', 1, 'Seed of the run times.', flag_values=cfg)
    status = command_line.parse(cfg, argv, __doc__ or '')
    if status is not None:
        return status
    try:
        errors = processes.run(run(count=cfg.tasks, seed=cfg.seed))
    except (processes.DeploymentError, caller.CallerError) as exc:
        sys.stderr.write(f'{exc}\n')
        return exit_status.ExitStatus.ERROR
    except (aiohttp.ClientError, TimeoutError) as exc:
        sys.stderr.write(f'no reply from an entry process: {exc!r}\n')
        return exit_status.ExitStatus.UNAVAILABLE
    for error in errors:
        print(f'WRONG: {error}')
    if errors:
        return exit_status.ExitStatus.ERROR
    return exit_status.ExitStatus.SUCCESS


async def run(
    *, count: int, seed: int, module: str = 'sardineproxy'
) -> list[str]:
    """Run the demo with programs of ``module``; return the errors found."""
    async with deployment.Deployment(module=module) as dep:
        await _start_deployment(dep)
        callers = _create_callers(dep)
        job = _compose_job(count, clocks.new_random(seed))
        errors = [
            await _submit_lookup(callers[0]),
            await _submit_stamp(callers[-1], callers[0]),
            await _submit_job(callers[1], job),
            *await _check_records(dep, (LOOKUP, STAMP, *job)),
        ]
    return [error for error in errors if error]


async def _start_deployment(dep: deployment.Deployment) -> None:
    print('Starting the platform, endpoints and entry processes ...')
    await dep.start_platform()
    await asyncio.gather(
        *(
            dep.start_endpoints(
                [
                    parts.EndpointSpec(
                        name=f'{zone}-worker-{number + 1}',
                        zone=zone,
                        speed=speed,
                    )
                    for number, speed in enumerate(speeds)
                ]
            )
            for zone, speeds in ZONES
        )
    )
    await dep.register()
    await asyncio.gather(*(dep.start_entry(spec) for spec in ENTRIES))
    await dep.register()
    await dep.apply([await _compose_contract(dep)])
    await dep.wait_ready()
    zones = ', '.join(zone for zone, _ in ZONES)
    print(
        f'{len(dep.entries)} entry VMs and {len(dep.endpoints)} endpoints are '
        f'ready in the zones {zones}; contract version 1 is active.'
    )


async def _compose_contract(dep: deployment.Deployment) -> parts.Document:
    return {
        'customer': CUSTOMER,
        'credential_sha256': [await dep.hash_credential(CREDENTIAL)],
        'weight': 1.0,
        'submit_per_s': 10_000.0,
        'submit_burst': 10_000,
        'hold': 10_000,
        'queue': 10_000,
    }


def _create_callers(dep: deployment.Deployment) -> list[caller.Caller]:
    return [
        caller.Caller(
            session=dep.session, base=entry.url(''), credential=CREDENTIAL
        )
        for _, entry in sorted(dep.entries.items())
    ]


async def _submit_lookup(client: caller.Caller) -> str | None:
    started_at = time.monotonic()
    reply = await client.submit(
        caller.REQUESTS_PATH,
        tasks.render_single(LOOKUP, deadline_ms=DEADLINE_MS),
    )
    _print_reply('Certificate lookup', started_at, reply)
    return LOOKUP.find_error(reply.document)


async def _submit_stamp(
    client: caller.Caller, other_client: caller.Caller
) -> str | None:
    """Submit a stamp with the same key to two entry VMs."""
    key = (await client.create_keys(1))[0]
    document = tasks.render_single(STAMP, deadline_ms=DEADLINE_MS)
    started_at = time.monotonic()
    reply = await client.submit(caller.REQUESTS_PATH, document, key=key)
    _print_reply('Stamp', started_at, reply)
    started_at = time.monotonic()
    repeat = await other_client.submit(caller.REQUESTS_PATH, document, key=key)
    _print_reply('Stamp, same key at another entry VM', started_at, repeat)
    return STAMP.find_error(reply.document) or STAMP.find_error(repeat.document)


async def _submit_job(
    client: caller.Caller, job: tuple[tasks.Task, ...]
) -> str | None:
    key = (await client.create_keys(1))[0]
    started_at = time.monotonic()
    reply = await client.submit(
        caller.JOBS_PATH,
        tasks.render_job(job, deadline_ms=DEADLINE_MS),
        key=key,
    )
    _print_reply(f'Job of {len(job)} tasks', started_at, reply)
    return tasks.find_job_error(job, reply.document)


def _compose_job(count: int, rng: random.Random) -> tuple[tasks.Task, ...]:
    return tuple(
        tasks.Task(
            label=f'job-{number}',
            path=rng.choice(('/compose', '/render', '/check')),
            run_ms=rng.randint(SHORT_RUN_MS, LONG_RUN_MS),
            body=f'page {number}',
            idempotent=rng.choice((True, False)),
        )
        for number in range(count)
    )


def _print_reply(title: str, started_at: float, reply: caller.Reply) -> None:
    elapsed_ms = 1000 * (time.monotonic() - started_at)
    document = reply.document
    outcome = (
        document.get('state')
        or document.get('verdict')
        or document.get('code', 'no verdict')
    )
    print(f'{title}: {outcome}, HTTP {reply.status}, {elapsed_ms:.0f} ms')


async def _check_records(
    dep: deployment.Deployment, expected: tuple[tasks.Task, ...]
) -> list[str]:
    """Print what the endpoints ran; report tasks not started exactly once."""
    records = await asyncio.gather(
        *(dep.read_record(name) for name in dep.endpoints)
    )
    starts: dict[str, int] = {}
    for endpoint, (summary, record) in zip(dep.endpoints.values(), records):
        for start in record:
            starts[start['task']] = starts.get(start['task'], 0) + 1
        print(
            f'  {endpoint.name} (speed {endpoint.speed:g}): '
            f'{summary["started"]} tasks, at most {summary["most_running"]} '
            f'of {endpoint.slots} slots busy'
        )
    started_once = sum(starts.get(task.label) == 1 for task in expected)
    print(f'{started_once} of {len(expected)} tasks were started exactly once.')
    return [
        f'{task.label} was started {starts.get(task.label, 0)} times'
        for task in expected
        if starts.get(task.label) != 1
    ]
