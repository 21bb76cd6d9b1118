"""Tests of the entry points of the programs."""

import contextlib
import io
import signal

import testtools
from testtools import matchers

from sardineproxy import __main__ as program
from sardineproxy import exit_status


def run(*argv: str) -> tuple[int, str, str]:
    out, err = io.StringIO(), io.StringIO()
    with contextlib.redirect_stdout(out), contextlib.redirect_stderr(err):
        status = program.main(['sardineproxy', *argv])
    return status, out.getvalue(), err.getvalue()


class MainTest(testtools.TestCase):
    """Every program has help and reports an invalid command line."""

    def test_every_program_has_help(self) -> None:
        for name in program.PROGRAMS:
            status, out, _ = run(name, '--help')
            self.assertThat(
                status, matchers.Equals(exit_status.ExitStatus.SUCCESS), name
            )
            self.assertThat(out, matchers.Contains('--'), name)

    def test_every_program_rejects_an_unknown_flag(self) -> None:
        for name in program.PROGRAMS:
            status, _, err = run(name, '--no-such-flag')
            self.assertThat(
                status, matchers.Equals(exit_status.ExitStatus.USAGE), name
            )
            self.assertThat(err, matchers.Contains('no-such-flag'), name)

    def test_sighup_during_startup_does_not_terminate_a_program(self) -> None:
        """Guards against a SIGHUP that arrives before its handler is installed.

        The default action of the signal terminates the process.
        """
        previous = signal.signal(signal.SIGHUP, signal.SIG_DFL)
        self.addCleanup(signal.signal, signal.SIGHUP, previous)
        run('node', '--help')
        self.assertIs(signal.SIG_IGN, signal.getsignal(signal.SIGHUP))

    def test_error_for_unknown_program_lists_the_programs(self) -> None:
        status, _, err = run('nope')
        self.assertThat(status, matchers.Equals(exit_status.ExitStatus.USAGE))
        self.assertThat(err, matchers.Contains('expected one of: entry'))

    def test_unreadable_settings_stop_the_entry_program(self) -> None:
        status, _, err = run('entry', '--settings', 'does-not-exist.jsonc')
        self.assertThat(
            status, matchers.Equals(exit_status.ExitStatus.INVALID_INPUT)
        )
        self.assertThat(err, matchers.Contains('does-not-exist.jsonc'))
