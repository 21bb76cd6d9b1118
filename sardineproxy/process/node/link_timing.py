"""Heartbeat timing of the links of an entry VM."""

from typing import Protocol

from sardineproxy import ids
from sardineproxy.connection import link
from sardineproxy.process.membership import leaders, links
from sardineproxy.process.node import led_shards
from sardineproxy.request import active_jobs


class Process(Protocol):
    """State of the process that the timing depends on."""

    leaders: leaders.Leaders
    led_shards: led_shards.LedShards
    active_jobs: active_jobs.ActiveJobs

    @property
    def home_shard(self) -> ids.ShardId:
        """Return the shard of this VM's zone."""


class LinkTiming:
    """Chooses the heartbeat timing of links; both ends find the same."""

    def __init__(self, *, process: Process) -> None:
        """Create an instance; ``update`` must run before each tick."""
        self._process = process
        self._links_with_tasks: frozenset[link.Link] = frozenset()

    def update(self) -> None:
        """Find the links over which tasks were submitted that have not ended.

        Tasks of stored jobs that other VMs manage are found at the shard's
        leader only: both ends of such a link lead shards.
        """
        self._links_with_tasks = frozenset(
            self._process.active_jobs.leader_links()
        ).union(self._process.led_shards.coordinator_links())

    def choose(self, open_link: link.Link, now: float) -> links.HeartbeatTiming:
        """Return the heartbeat timing of a link."""
        peer = open_link.peer
        home_shard = self._process.home_shard
        led = self._process.led_shards.shards
        if ids.ShardId(peer.zone) in led:
            return links.HOME_LEADER_HEARTBEAT
        leader_vms = self._process.leaders.by_shard
        if leader_vms.get(home_shard) == peer.vm:
            return links.HOME_LEADER_HEARTBEAT
        leads = bool(led)
        peer_leads = peer.vm in leader_vms.values()
        if leads and peer_leads:
            return links.LEADER_HEARTBEAT
        if (leads or peer_leads) and self._is_in_use(open_link, now):
            return links.LEADER_HEARTBEAT
        return links.IDLE_HEARTBEAT

    def _is_in_use(self, open_link: link.Link, now: float) -> bool:
        """Return whether a link has unended tasks or a recent message."""
        return (
            open_link in self._links_with_tasks
            or now - open_link.last_used_at < links.USED_S
        )
