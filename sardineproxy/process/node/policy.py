"""Settings of the node's own policy, JSON with comments, checked whole."""

import dataclasses
import pathlib
import types
from typing import Any, Mapping

import result

from sardineproxy import deployment, json_text
from sardineproxy.process.shards import times

#: Largest settings file, in bytes.
MAX_SETTINGS_BYTES = 65_536

#: Longest time that a setting may name, in seconds.
MAX_SETTING_S = 3600

#: Longest wait of a look, as a part of the lease, which it must extend twice
#: even if one answer is lost.
POLL_WAIT_SHARE = 0.3

#: A stop is repeated after this multiple of the platform's bound for one.
STOP_RETRY_FACTOR = 2


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Policy:
    """Times of cells and of calls to workers."""

    shard: times.ShardTiming = times.ShardTiming()

    def fit(self, bounds: deployment.Bounds) -> 'Policy':
        """Return the policy as far as the platform's bounds allow it."""
        calls = self.shard.calls
        lease_s = min(calls.lease_s, bounds.lease_s)
        fitted = dataclasses.replace(
            calls,
            lease_s=lease_s,
            look_wait_s=min(calls.look_wait_s, POLL_WAIT_SHARE * lease_s),
            stop_retry_s=max(
                calls.stop_retry_s, STOP_RETRY_FACTOR * bounds.stop_s
            ),
        )
        return dataclasses.replace(
            self,
            shard=dataclasses.replace(
                self.shard, calls=fitted, distance_factor=bounds.distance_factor
            ),
        )


def load(path: pathlib.Path) -> result.Result[Policy, str]:
    """Read and check a settings file; the error is one sentence."""
    try:
        text = path.read_text(encoding='utf-8')
    except (OSError, UnicodeDecodeError) as exc:
        return result.Err(f'cannot read settings {path}: {exc}')
    return parse(text)


def parse(text: str) -> result.Result[Policy, str]:
    """Check the text of a settings file."""
    parsed = json_text.parse_object(text, max_bytes=MAX_SETTINGS_BYTES)
    if isinstance(parsed, result.Err):
        return parsed
    document = parsed.ok_value
    unknown = set(document).difference(_SECTIONS)
    if unknown:
        return result.Err(f'{min(unknown)}: unknown section')
    workers = _section(times.CallTiming, document.get('workers', {}), 'workers')
    if isinstance(workers, result.Err):
        return workers
    of_shard = _section(times.ShardTiming, document.get('cell', {}), 'cell')
    if isinstance(of_shard, result.Err):
        return of_shard
    shard_cfg = dataclasses.replace(of_shard.ok_value, calls=workers.ok_value)
    return result.Ok(Policy(shard=shard_cfg))


#: Fields that the platform's bounds set, and no settings file.
_OF_PLATFORM = frozenset(('distance_factor',))

_SECTIONS = types.MappingProxyType(
    {'cell': 'times of a cell', 'workers': 'times of calls to workers'}
)


def _section(
    kind: type[Any], document: Any, name: str
) -> result.Result[Any, str]:
    """Build a data class of numbers from a section."""
    if not isinstance(document, dict):
        return result.Err(f'{name}: expected an object')
    known = {
        field.name
        for field in dataclasses.fields(kind)
        if field.type in {float, 'float'} and field.name not in _OF_PLATFORM
    }
    for key, found in document.items():
        error = _check(f'{name}.{key}', found, known=key in known)
        if error is not None:
            return result.Err(error)
    return result.Ok(kind(**_to_floats(document)))


def _check(place: str, found: object, *, known: bool) -> str | None:
    if not known:
        return f'{place}: unknown setting'
    is_number = isinstance(found, (int, float)) and not isinstance(found, bool)
    if not is_number or not 0 < float(found) <= MAX_SETTING_S:  # type: ignore[arg-type]
        return (
            f'{place}: expected a number over 0 and up to {MAX_SETTING_S}, '
            f'found {found!r:.60}'
        )
    return None


def _to_floats(document: Mapping[str, Any]) -> dict[str, float]:
    return {key: float(found) for key, found in document.items()}
