"""Decodes configuration versions, which operators write to the store."""

import json
from typing import Any, Mapping

import result

from sardineproxy import ids
from sardineproxy.platform import fields
from sardineproxy.version import routes

#: Table that operators write to, and the key of the newest version's row.
TABLE = 'op'
ROW_KEY = 'op/config'

_MS_PER_S = 1000


def decode(body: bytes) -> result.Result[routes.RoutingTable, str]:
    """Decode a configuration version; the error is one sentence."""
    try:
        document = json.loads(body)
    except ValueError as exc:
        return result.Err(f'configuration is not JSON: {exc}')
    if not isinstance(document, dict):
        return result.Err('configuration is not a JSON object')
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
        host=fields.get_string(document, 'host'),
        path_prefix=fields.get_string(document, 'path_prefix'),
        service=ids.ServiceId(fields.get_string(document, 'service')),
        stretch=fields.get_number(document, 'stretch', 1),
        slack_s=fields.get_number(document, 'target_latency_ms', 0) / _MS_PER_S,
        priority=fields.get_integer(document, 'priority', 0),
        max_attempts=fields.get_integer(document, 'max_attempts', 1),
    )
