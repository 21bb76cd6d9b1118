"""Decodes configuration versions, which operators write to the store."""

from typing import Any, Mapping

import result

from sardineproxy import fields, ids, json_text
from sardineproxy.version import routes

#: Table that operators write to, and the key of the newest version's row.
TABLE = 'op'
ROW_KEY = 'op/config'

#: Largest version, in bytes: ten times the largest one in tests.
MAX_VERSION_BYTES = 8_388_608

#: Longest host and path prefix of a route, in characters.
MAX_LOCATION_CHARS = 4096

#: Largest factor of a time limit, and largest additional time, in ms.
MAX_STRETCH = 1_000_000
MAX_SLACK_MS = 31_536_000_000

#: Largest priority number, and largest number of attempts.
MAX_PRIORITY = 1_000_000
MAX_ATTEMPTS = 1_000_000

_MS_PER_S = 1000


def decode(body: bytes) -> result.Result[routes.RoutingTable, str]:
    """Decode a configuration version; the error is one sentence."""
    decoded = json_text.decode_object(body, max_bytes=MAX_VERSION_BYTES)
    if isinstance(decoded, result.Err):
        return result.Err(f'configuration: {decoded.err_value}')
    document = decoded.ok_value
    try:
        return result.Ok(
            routes.RoutingTable(
                number=fields.get_integer(document, 'version'),
                routes=tuple(
                    map(_to_route, fields.get_list(document, 'routes'))
                ),
            )
        )
    except fields.FormatError as exc:
        return result.Err(f'configuration: {exc}')


def _to_route(document: Any) -> routes.Route:
    if not isinstance(document, dict):
        raise fields.FormatError(
            f'route: expected an object, found {type(document).__name__}'
        )
    name = fields.get_string(document, 'name')
    try:
        return _decode_route(name, document)
    except fields.FormatError as exc:
        raise fields.FormatError(f'route {name}: {exc}') from exc


def _decode_route(name: str, document: Mapping[str, Any]) -> routes.Route:
    return routes.Route(
        route=ids.RouteId(name),
        host=fields.get_string(document, 'host', max_chars=MAX_LOCATION_CHARS),
        path_prefix=fields.get_string(
            document, 'path_prefix', max_chars=MAX_LOCATION_CHARS
        ),
        service=ids.ServiceId(fields.get_string(document, 'service')),
        stretch=fields.get_number(document, 'stretch', 1, maximum=MAX_STRETCH),
        slack_s=fields.get_number(
            document, 'target_latency_ms', 0, maximum=MAX_SLACK_MS
        )
        / _MS_PER_S,
        priority=fields.get_integer(
            document, 'priority', 0, maximum=MAX_PRIORITY
        ),
        max_attempts=fields.get_integer(
            document, 'max_attempts', 1, maximum=MAX_ATTEMPTS
        ),
    )
