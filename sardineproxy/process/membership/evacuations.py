"""Zones that operators evacuate: no task is started there."""

import enum
from typing import Collection, Mapping

from sardineproxy import ids, logs
from sardineproxy.process import metrics

_LOG = logs.get_logger('config')


class Status(enum.Enum):
    """Whether tasks may be started in a zone."""

    OPEN = 'open'
    EVACUATED = 'evacuated'

    #: The rows have not been read recently, although the store can be read.
    UNKNOWN = 'unknown'


class Evacuations:
    """The newest known set of evacuated zones.

    A set is the state of the operator's table at one revision of the store.
    The one with the highest revision is valid, so that neither a removed row
    returns nor a present one is missed.
    """

    def __init__(self, *, metrics: metrics.Metrics) -> None:
        """Create an empty set of an unknown revision."""
        self._metrics = metrics
        self._zones: dict[ids.ZoneId, int] = {}
        self._is_from_peer = False

        #: Revision of the store at which the set was read, 0 for unknown.
        self.revision = 0

        #: True once any zone was evacuated.
        self.is_used = False

    @property
    def zones(self) -> Mapping[ids.ZoneId, int]:
        """Return the evacuated zones with the revisions of their rows."""
        return self._zones

    def shards(self) -> Collection[ids.ShardId]:
        """Return the shards of the evacuated zones."""
        return frozenset(map(ids.ShardId, self._zones))

    def offer_from_store(
        self, zones: Mapping[ids.ZoneId, int], revision: int
    ) -> bool:
        """Apply the rows of this process's own copy of the table.

        Returns whether the set has changed.
        """
        if self._is_from_peer and revision < self.revision:
            return False
        self._is_from_peer = False
        return self._set(zones, revision, 'store')

    def offer_from_peer(
        self, zones: Mapping[ids.ZoneId, int], revision: int, source: str
    ) -> bool:
        """Apply the set of another VM; return whether the set has changed."""
        if revision <= self.revision:
            return False
        self._is_from_peer = True
        return self._set(zones, revision, source)

    def _set(
        self, zones: Mapping[ids.ZoneId, int], revision: int, source: str
    ) -> bool:
        former = self._zones
        self._zones = dict(zones)
        self.revision = revision
        self.is_used = self.is_used or bool(zones)
        for zone in sorted(set(zones).difference(former)):
            self._record('Zone evacuated.', 'started', zone, source)
        for zone in sorted(set(former).difference(zones)):
            self._record('Evacuation ended.', 'ended', zone, source)
        return self._zones != former

    def _record(
        self, message: str, change: str, zone: ids.ZoneId, source: str
    ) -> None:
        self._metrics.count('evacuations_total', zone=zone, change=change)
        _LOG.warning(
            message,
            extra={
                'zone': zone,
                'row_revision': self._zones.get(zone),
                'revision': self.revision,
                'source': source,
            },
        )
