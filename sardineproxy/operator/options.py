"""Command line of ``sardineproxyctl``."""

import dataclasses
import ipaddress
import pathlib
import re
from typing import Sequence

import result
from absl import flags

_INTRODUCTION = """\
Usage: sardineproxyctl COMMAND [arguments] [flags]

Checks contracts, makes configuration versions and shows the active ones.
A contract directory DIR contains one *.jsonc file for each customer.

Commands:
  check DIR             Check the contracts in DIR; nothing is sent.
  diff DIR              Show what apply would change in the newest version.
  apply DIR --base N --operator NAME
                        Make version N+1 from DIR if N is still the newest
                        version. May be run again after a failure: the change
                        is made at most once.
  history               Show the latest versions and who made them.
  versions --admin HOST:PORT,...
                        Show which version is active on each entry VM.
  state --admin HOST:PORT
                        Show the state dump of one entry VM.
  hash-credential       Read a credential from standard input and print the
                        hash that belongs in a contract.

diff, apply and history need --platform HOST:PORT. Hosts are IP addresses.

Exit statuses:
  0  success                  4  another operator made a change first
  1  failure                  5  platform or entry VM cannot be reached
  2  invalid command line     6  outcome of a write is unknown: run the same
  3  invalid contracts           command again

Example: raise a limit in contracts/, then
  sardineproxyctl check contracts
  sardineproxyctl history --platform 10.0.0.5:8400     (shows version 41)
  sardineproxyctl apply contracts --base 41 --operator ann \\
      --platform 10.0.0.5:8400
"""

_NEEDS_DIRECTORY = frozenset(('check', 'diff', 'apply'))
_NEEDS_PLATFORM = frozenset(('diff', 'apply', 'history'))
_NEEDS_ADMIN = frozenset(('versions', 'state'))
_OPERATOR_PATTERN = re.compile(r'[\w.@-]{1,64}', re.ASCII)
_MAX_PORT = 65_535


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class HostPort:
    """An IP address and a port."""

    host: str
    port: int

    def __str__(self) -> str:
        """Return the address as the command line accepts it."""
        host = f'[{self.host}]' if ':' in self.host else self.host
        return f'{host}:{self.port}'


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Options:
    """Validated arguments and flags; None for those that are not given."""

    directory: pathlib.Path | None
    platform: HostPort | None
    admin: tuple[HostPort, ...]
    base: int | None
    operator: str | None
    limit: int
    timeout_s: float


def make_flags() -> flags.FlagValues:
    """Return the program's flags, which may precede or follow DIR."""
    values = flags.FlagValues()
    values.set_gnu_getopt()
    flags.DEFINE_string(
        'platform', None, 'HOST:PORT of the platform.', flag_values=values
    )
    flags.DEFINE_list(
        'admin',
        [],
        'HOST:PORT of the admin listener of entry VMs, comma-separated.',
        flag_values=values,
    )
    flags.DEFINE_integer(
        'base',
        None,
        'Version that the contracts are based on; 0 for the first.',
        lower_bound=0,
        flag_values=values,
    )
    flags.DEFINE_string(
        'operator',
        None,
        'Your name, shown to other operators.',
        flag_values=values,
    )
    flags.DEFINE_integer(
        'limit',
        20,
        'Number of versions that history shows.',
        lower_bound=1,
        upper_bound=1000,
        flag_values=values,
    )
    flags.DEFINE_float(
        'timeout_s',
        10,
        'Timeout of one request, in seconds.',
        lower_bound=0.1,
        upper_bound=600,
        flag_values=values,
    )
    flags.DEFINE_boolean(
        'help', False, 'Show this text.', short_name='h', flag_values=values
    )
    return values


def help_text(values: flags.FlagValues) -> str:
    """Return the text of ``--help``."""
    return f'{_INTRODUCTION}\nFlags:\n{values.get_help(include_special_flags=False)}'


def parse(
    name: str, arguments: Sequence[str], values: flags.FlagValues
) -> result.Result[Options, str]:
    """Validate the command's arguments and flags; the error is a clause."""
    expected = 1 if name in _NEEDS_DIRECTORY else 0
    if len(arguments) != expected:
        return result.Err(
            f'{name} expects {expected} arguments, found {len(arguments)}'
        )
    missing = _find_missing(name, values)
    if missing:
        return result.Err(f'{name} requires {missing}')
    admin = _parse_addresses(values.admin)
    if isinstance(admin, result.Err):
        return admin
    platform = _parse_addresses([values.platform] if values.platform else [])
    if isinstance(platform, result.Err):
        return platform
    return result.Ok(
        Options(
            directory=pathlib.Path(arguments[0]) if arguments else None,
            platform=next(iter(platform.ok_value), None),
            admin=admin.ok_value,
            base=values.base,
            operator=values.operator,
            limit=values.limit,
            timeout_s=values.timeout_s,
        )
    )


def parse_address(text: str) -> result.Result[HostPort, str]:
    """Parse ``10.0.0.5:8400`` or ``[fd00::5]:8400``."""
    host, _, port = text.rpartition(':')
    host = host.removeprefix('[').removesuffix(']')
    try:
        ipaddress.ip_address(host)
    except ValueError:
        return result.Err(f'expected IP-ADDRESS:PORT, found "{text}"')
    is_port = port.isascii() and port.isdigit()
    if not is_port or not 1 <= int(port) <= _MAX_PORT:
        return result.Err(f'expected a port from 1 to 65535, found "{text}"')
    return result.Ok(HostPort(host=host, port=int(port)))


def _parse_addresses(
    texts: Sequence[str],
) -> result.Result[tuple[HostPort, ...], str]:
    addresses: list[HostPort] = []
    for text in texts:
        address = parse_address(text)
        if isinstance(address, result.Err):
            return address
        addresses.append(address.ok_value)
    return result.Ok(tuple(addresses))


def _find_missing(name: str, values: flags.FlagValues) -> str | None:
    if name in _NEEDS_PLATFORM and not values.platform:
        return '--platform HOST:PORT'
    if name in _NEEDS_ADMIN and not values.admin:
        return '--admin HOST:PORT'
    if name == 'state' and len(values.admin) != 1:
        return 'one address in --admin'
    if name != 'apply':
        return None
    if values.base is None:
        return '--base N; history shows the newest version'
    if not _OPERATOR_PATTERN.fullmatch(values.operator or ''):
        return '--operator NAME of 1 to 64 letters, digits, ".", "_", "@", "-"'
    return None
