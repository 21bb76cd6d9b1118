"""Measure the marginal cost of a task, VM, peer, contract or change.

Run as ``python -m sardineproxy.bench.slopes [GROUP ...]``; without arguments
all groups are measured. Each marginal cost is the slope of a line fitted to the
costs of several counts. It is printed as ``name: value unit (points
count=cost ...; fixed COST; LOWEST to HIGHEST in COUNT runs)``. CPU time is
that of this process or of the measured thread.
"""

import importlib
import pathlib
import resource
import sys
import types
from typing import Sequence

from sardineproxy import exit_status

#: Module and function of each group. The module is imported only when the
#: group is measured, so that the memory of the imports can be measured first.
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
        'shard': ('slopes_shard', 'measure'),
    }
)

#: Group that this module measures itself, before all others.
IMPORTS = 'imports'

#: Modules whose resident memory is measured, in the order of import.
MODULES = ('asyncio', 'aiohttp.web', 'sardineproxy.process.entry')

BYTES_PER_MB = 1_000_000


def main(argv: Sequence[str]) -> exit_status.ExitStatus:
    """Measure the given groups, or all."""
    group_names = argv[1:] or [IMPORTS, *GROUPS]
    unknown_groups = [
        group_name
        for group_name in group_names
        if group_name not in {IMPORTS, *GROUPS}
    ]
    if unknown_groups:
        expected = ', '.join((IMPORTS, *GROUPS))
        sys.stderr.write(
            f'unknown group {unknown_groups[0]}; expected one of {expected}\n'
        )
        return exit_status.ExitStatus.USAGE
    if IMPORTS in group_names:
        print_imports()
    # slopes_fit imports asyncio, so it must be imported after print_imports.
    slopes_fit = importlib.import_module('sardineproxy.bench.slopes_fit')
    out = slopes_fit.Report()
    for group_name in group_names:
        if group_name != IMPORTS:
            module_name, function_name = GROUPS[group_name]
            group_module = importlib.import_module(
                f'sardineproxy.bench.{module_name}'
            )
            getattr(group_module, function_name)(out)
    return exit_status.ExitStatus.SUCCESS


def print_imports() -> None:
    """Print the resident memory before the imports and the growth of each."""
    resident_before = _resident_bytes()
    print(
        f'imports.interpreter: {resident_before / BYTES_PER_MB:.4g} MB resident'
    )
    for module_name in MODULES:
        if module_name in sys.modules:
            print(f'imports.{module_name}: not measured (imported before)')
            continue
        importlib.import_module(module_name)
        resident_after = _resident_bytes()
        added_mb = (resident_after - resident_before) / BYTES_PER_MB
        print(
            f'imports.{module_name}: {added_mb:.4g} MB resident, in this order'
        )
        resident_before = resident_after


def _resident_bytes() -> int:
    pages = pathlib.Path('/proc/self/statm').read_text().split()[1]
    return int(pages) * resource.getpagesize()


if __name__ == '__main__':
    sys.exit(main(sys.argv))
