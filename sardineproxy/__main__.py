"""Runs a program: ``python -m sardineproxy NAME [flags]``."""

import importlib
import signal
import sys
import types

from sardineproxy import exit_status

#: Modules by program name; each has a function ``main(argv) -> ExitStatus``.
PROGRAMS = types.MappingProxyType(
    {
        'entry': 'sardineproxy.process.core',
        'node': 'sardineproxy.process.node.core',
        'ctl': 'sardineproxy.operator.core',
        'standin-platform': 'sardineproxy.standin.platform_core',
        'standin-endpoint': 'sardineproxy.standin.endpoint_core',
        'standin-relay': 'sardineproxy.standin.relay_core',
        'demo': 'sardineproxy.demo.core',
        'bench': 'sardineproxy.bench.core',
        'emulate': 'sardineproxy.emulator.core',
    }
)


def main(argv: list[str]) -> exit_status.ExitStatus:
    """Run the program that ``argv[1]`` names with the remaining arguments."""
    name = argv[1] if len(argv) > 1 else ''
    if name not in PROGRAMS:
        names = ', '.join(PROGRAMS)
        sys.stderr.write(
            f'Unknown program "{name}"; expected one of: {names}.\n'
        )
        return exit_status.ExitStatus.USAGE
    # Programs that reload their settings on SIGHUP install a handler during
    # startup; an earlier signal must not terminate them.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    module = importlib.import_module(PROGRAMS[name])
    return module.main([f'sardineproxy-{name}', *argv[2:]])


def entry() -> int:
    """Run ``sardineproxy-entry``."""
    return main(['', 'entry', *sys.argv[1:]])


def node() -> int:
    """Run ``sardineproxy-node``."""
    return main(['', 'node', *sys.argv[1:]])


def ctl() -> int:
    """Run ``sardineproxyctl``."""
    return main(['', 'ctl', *sys.argv[1:]])


def standin_platform() -> int:
    """Run ``sardineproxy-standin-platform``."""
    return main(['', 'standin-platform', *sys.argv[1:]])


def standin_endpoint() -> int:
    """Run ``sardineproxy-standin-endpoint``."""
    return main(['', 'standin-endpoint', *sys.argv[1:]])


def standin_relay() -> int:
    """Run ``sardineproxy-standin-relay``."""
    return main(['', 'standin-relay', *sys.argv[1:]])


def demo() -> int:
    """Run ``sardineproxy-demo``."""
    return main(['', 'demo', *sys.argv[1:]])


def bench() -> int:
    """Run ``sardineproxy-bench``."""
    return main(['', 'bench', *sys.argv[1:]])


if __name__ == '__main__':
    sys.exit(main(sys.argv))
