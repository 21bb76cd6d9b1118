"""Measure what one more task, VM, peer, contract or change costs.

Run as ``python -m sardineproxy.bench.slopes [NAME ...]``; without names all
groups are measured. Each slope is printed as ``name: value unit (points
count=cost ...; fixed cost; least to greatest in so many runs)``. Processor
time is that of this process or of the thread that is measured.
"""

import importlib
import pathlib
import resource
import sys
import types
from typing import Sequence

from sardineproxy import exit_status

#: Function of each group. Its module is imported only when it is measured,
#: so that the memory of the imports can be read first.
GROUPS = types.MappingProxyType(
    {
        'task': ('slopes_task', 'measure'),
        'kept': ('slopes_task', 'measure_kept'),
        'http': ('slopes_http', 'measure'),
        'poll': ('slopes_poll', 'measure'),
        'listing': ('slopes_listing', 'measure'),
        'peer': ('slopes_peer', 'measure'),
        'view': ('slopes_view', 'measure'),
        'contract': ('slopes_contract', 'measure'),
        'start': ('slopes_start', 'measure'),
        'loan': ('slopes_loan', 'measure'),
    }
)

#: Group that this module measures itself, before any other.
IMPORTS = 'imports'

#: Modules whose resident memory is read, in the order of import.
MODULES = ('asyncio', 'aiohttp.web', 'sardineproxy.process.entry')

BYTES_PER_MB = 1_000_000


def main(argv: Sequence[str]) -> exit_status.ExitStatus:
    """Measure the named groups, or all."""
    names = argv[1:] or [IMPORTS, *GROUPS]
    unknown = [name for name in names if name not in {IMPORTS, *GROUPS}]
    if unknown:
        expected = ', '.join((IMPORTS, *GROUPS))
        sys.stderr.write(f'no group {unknown[0]}; expected {expected}\n')
        return exit_status.ExitStatus.USAGE
    if IMPORTS in names:
        print_imports()
    # This module imports asyncio, so it must not be loaded before.
    fit = importlib.import_module('sardineproxy.bench.slopes_fit')
    out = fit.Report()
    for name in names:
        if name != IMPORTS:
            module, function = GROUPS[name]
            loaded = importlib.import_module(f'sardineproxy.bench.{module}')
            getattr(loaded, function)(out)
    return exit_status.ExitStatus.SUCCESS


def print_imports() -> None:
    """Print the resident memory before the imports, and what each adds."""
    before = _resident_bytes()
    print(f'imports.interpreter: {before / BYTES_PER_MB:.4g} MB resident')
    for module in MODULES:
        if module in sys.modules:
            print(f'imports.{module}: not measured (imported before)')
            continue
        importlib.import_module(module)
        after = _resident_bytes()
        added = (after - before) / BYTES_PER_MB
        print(f'imports.{module}: {added:.4g} MB resident, in this order')
        before = after


def _resident_bytes() -> int:
    pages = pathlib.Path('/proc/self/statm').read_text().split()[1]
    return int(pages) * resource.getpagesize()


if __name__ == '__main__':
    sys.exit(main(sys.argv))
