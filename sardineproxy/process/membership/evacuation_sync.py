"""Reads the evacuated zones from the store, and exchanges them with peers.

VMs that cannot reach the store obtain the set from peers. It is sent when a
link opens and when it changes, and only if a zone was ever evacuated.
"""

from typing import Callable

from sardineproxy import ids
from sardineproxy.connection import link, messages
from sardineproxy.process import metrics, store
from sardineproxy.process.membership import evacuations, table_follower


class EvacuationSync:
    """Maintains the set of evacuated zones."""

    def __init__(
        self,
        *,
        zone_of: Callable[[store.Row], ids.ZoneId | None],
        broadcast: Callable[[messages.Message], None],
        on_change: Callable[[], None],
        metrics: metrics.Metrics,
    ) -> None:
        """Create an instance that knows of no evacuated zone.

        ``zone_of`` decodes a row of the operator's table, and ``on_change`` is
        called after each change of the set.
        """
        self._zone_of = zone_of
        self._broadcast = broadcast
        self._on_change = on_change
        self.evacuations = evacuations.Evacuations(metrics=metrics)

    def table_changed(self, table: table_follower.TableFollower) -> None:
        """Apply the current rows of the operator's table."""
        if table.revision is None:
            return
        zones: dict[ids.ZoneId, int] = {}
        for row in table.rows.values():
            zone = self._zone_of(row)
            if zone is not None:
                zones[zone] = row.revision
        if self.evacuations.offer_from_store(zones, table.revision):
            self._announce()

    def opened(self, opened: link.Link) -> None:
        """Send the set to a peer."""
        if self.evacuations.is_used:
            opened.send(self._message())

    def handle_message(
        self, source: link.Link, message: messages.Message
    ) -> bool:
        """Apply a peer's set, or send the own one if that is newer.

        Returns whether the message is a set of evacuated zones.
        """
        if not isinstance(message, messages.EvacuatedZones):
            return False
        zones = {ids.ZoneId(zone): row for zone, row in message.zones}
        if self.evacuations.offer_from_peer(
            zones, message.revision, source.peer.vm
        ):
            self._announce()
        elif message.revision < self.evacuations.revision:
            if zones.keys() != self.evacuations.zones.keys():
                source.send(self._message())
        return True

    def _announce(self) -> None:
        self._broadcast(self._message())
        self._on_change()

    def _message(self) -> messages.EvacuatedZones:
        return messages.EvacuatedZones(
            revision=self.evacuations.revision,
            zones=tuple(self.evacuations.zones.items()),
        )
