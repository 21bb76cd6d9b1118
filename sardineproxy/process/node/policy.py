"""Policy file of the node: JSON with comments, fully validated."""

import dataclasses
import pathlib
import types
from typing import Any, Mapping

import result

from sardineproxy import deployment, json_text
from sardineproxy.process.shards import times

#: Largest policy file, in bytes.
MAX_POLICY_BYTES = 65_536

#: Largest value of a setting, in seconds.
MAX_SETTING_S = 3600

#: Upper bound of a poll's wait, as a fraction of the lease. Two polls must fit
#: into a lease, so that it is extended even if one response is lost.
POLL_WAIT_SHARE = 0.3

#: How much earlier than the platform's bound for starts on draining workers a
#: list of workers is too old, and the smallest such age, in seconds. Leaders
#: read the list every 0.8 s, and the store may take 0.4 s for a call.
LIST_AGE_MARGIN_S = 0.2
MIN_LIST_AGE_S = 1.2

#: Minimum delay before a stop is retried, as a multiple of the platform's
#: bound for a stop.
STOP_RETRY_FACTOR = 2


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Policy:
    """Timing of shards and of calls to workers."""

    shard: times.ShardTiming = times.ShardTiming()

    def fit(self, bounds: deployment.Bounds) -> 'Policy':
        """Return the policy, adjusted to the platform's bounds."""
        calls = self.shard.calls
        lease_s = min(calls.lease_s, bounds.lease_s)
        fitted = dataclasses.replace(
            calls,
            lease_s=lease_s,
            cold_overage=bounds.cold_overage,
            look_wait_s=min(calls.look_wait_s, POLL_WAIT_SHARE * lease_s),
            stop_retry_s=max(
                calls.stop_retry_s, STOP_RETRY_FACTOR * bounds.stop_timeout_s
            ),
        )
        return dataclasses.replace(
            self,
            shard=dataclasses.replace(
                self.shard,
                calls=fitted,
                distance_factor=bounds.distance_factor,
                list_age_s=max(
                    MIN_LIST_AGE_S, bounds.drain_s - LIST_AGE_MARGIN_S
                ),
                evacuate_s=bounds.evacuate_s or self.shard.evacuate_s,
            ),
        )


def load(path: pathlib.Path) -> result.Result[Policy, str]:
    """Return the policy from a file, or an error sentence."""
    try:
        text = path.read_text(encoding='utf-8')
    except (OSError, UnicodeDecodeError) as exc:
        return result.Err(f'cannot read policy {path}: {exc}')
    return parse(text)


def parse(text: str) -> result.Result[Policy, str]:
    """Return the policy from the text of a file, or an error sentence."""
    parsed = json_text.parse_object(text, max_bytes=MAX_POLICY_BYTES)
    if isinstance(parsed, result.Err):
        return parsed
    document = parsed.ok_value
    unknown = set(document).difference(_SECTIONS)
    if unknown:
        return result.Err(
            f'{min(unknown)}: unknown section, '
            f'expected one of {", ".join(_SECTIONS)}'
        )
    calls = _parse_section(
        times.CallTiming, document.get('workers', {}), 'workers'
    )
    if isinstance(calls, result.Err):
        return calls
    shard = _parse_section(times.ShardTiming, document.get('cell', {}), 'cell')
    if isinstance(shard, result.Err):
        return shard
    shard_timing = dataclasses.replace(shard.ok_value, calls=calls.ok_value)
    return result.Ok(Policy(shard=shard_timing))


#: Fields that are set from the platform's bounds, not from a policy file.
_PLATFORM_FIELDS = frozenset(
    ('distance_factor', 'evacuate_s', 'cold_overage', 'list_age_s')
)

_SECTIONS = types.MappingProxyType(
    {'cell': 'timing of a shard', 'workers': 'timing of calls to workers'}
)


def _parse_section(
    section_type: type[Any], document: Any, name: str
) -> result.Result[Any, str]:
    """Return the data class of a section, or an error sentence."""
    if not isinstance(document, dict):
        return result.Err(f'{name}: expected an object, found {document!r:.60}')
    setting_types = {
        field.name: field.type
        for field in dataclasses.fields(section_type)
        if field.type in {float, bool} and field.name not in _PLATFORM_FIELDS
    }
    for key, setting in document.items():
        error = _validate(f'{name}.{key}', setting, setting_types.get(key))
        if error is not None:
            return result.Err(error)
    return result.Ok(section_type(**_to_floats(document)))


def _validate(
    key_path: str, setting: object, setting_type: object
) -> str | None:
    if setting_type is None:
        return f'{key_path}: unknown setting'
    if setting_type is bool:
        if isinstance(setting, bool):
            return None
        return f'{key_path}: expected true or false, found {setting!r:.60}'
    is_number = isinstance(setting, (int, float)) and not isinstance(
        setting, bool
    )
    if not is_number or not 0 < float(setting) <= MAX_SETTING_S:  # type: ignore[arg-type]
        return (
            f'{key_path}: expected a number over 0 and at most {MAX_SETTING_S}, '
            f'found {setting!r:.60}'
        )
    return None


def _to_floats(document: Mapping[str, Any]) -> dict[str, float]:
    return {
        key: setting if isinstance(setting, bool) else float(setting)
        for key, setting in document.items()
    }
