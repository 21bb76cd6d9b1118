"""Decodes the rows with which operators evacuate zones."""

from sardineproxy import ids, logs
from sardineproxy.process import store

#: Keys of these rows in the operator's table; the name of a zone follows. Their
#: values have no meaning.
PREFIX = 'op/evacuate/'

#: Longest name of a zone, in characters: the longest text in a message.
MAX_ZONE_CHARS = 256

_LOG = logs.get_logger('config')


def parse_zone(row: store.Row) -> ids.ZoneId | None:
    """Return the zone that a row evacuates, None for all other rows."""
    if not row.key.startswith(PREFIX):
        return None
    zone = row.key.removeprefix(PREFIX)
    if zone.isprintable() and 0 < len(zone) <= MAX_ZONE_CHARS:
        return ids.ZoneId(zone)
    _LOG.error('Evacuation of an odd zone ignored.', extra={'key': row.key})
    return None
