"""Decides which shards this process should lead, and claims them."""

import math
from typing import Callable

import result

from sardineproxy import ids, logs
from sardineproxy.process import store
from sardineproxy.process.shards import fencing
from sardineproxy.process.membership import registry

#: Time without a leader after which the first candidate claims a new shard,
#: in seconds. After a start, reading the registry and opening the first links
#: take about 0.3 s.
FIRST_CLAIM_DELAY_S = 0.5

#: The same delay for a shard that has had a leader before, in seconds.
CLAIM_DELAY_S = 0.05

#: Additional delay of every further candidate, in seconds. The candidates
#: are the reachable VMs of the shard's zone, or all reachable VMs if the zone
#: has none.
CANDIDATE_STEP_S = 0.25

#: Time without a leader, but with reachable workers, after which VMs of other
#: zones claim a shard, in seconds. After a network partition the workers are
#: reachable up to 0.5 s before the links are open again.
FOREIGN_CLAIM_DELAY_S = 0.8

#: Time for which a shard's claim row may be outdated before its leader
#: rewrites it, in seconds.
REFRESH_DELAY_S = 1.0

#: Interval at which a leader without links to other VMs rewrites its claim row,
#: in seconds. The writes show VMs of other zones that it is alive, and they
#: must see one within ``FOREIGN_CLAIM_DELAY_S``.
ISOLATED_REFRESH_S = 0.5

#: Largest number of VMs that are linked in a full mesh.
FULL_MESH_MAX_VMS = 10

#: In a larger deployment, every VM is linked with the shard leaders and with
#: this many candidates of its own zone.
LINKED_CANDIDATES = 3

#: Longest time for which a process waits until it has linked or failed to dial
#: the VMs that may lead a shard or go before it, in seconds. A dial takes up to
#: 0.3 s and begins up to 0.5 s after the VM is known.
CHECK_TIMEOUT_S = 2.0

#: A leader hands its shard to a VM with this many times its cores.
LARGER_FACTOR = 2

#: Delay before another attempt to claim a shard, in seconds.
CLAIM_RETRY_S = 0.2

#: Time within which a leader answers an inquiry, in seconds: it reads the
#: inquiry, writes its answer, and the answer is read, each through the store.
#: With a slow store, this many times the duration of a write.
ANSWER_WAIT_S = 0.3
ANSWER_WAIT_WRITES = 4

#: A message that arrives this long after a silent leader's last one shows that
#: the links of this VM work, in seconds: two heartbeat intervals.
LINK_PROOF_S = 0.2

#: Time after ``ANSWER_WAIT_S`` in which an inquiry without an answer permits a
#: claim, and delay before another inquiry after an answer, in seconds.
INQUIRY_VALID_S = 1.0

_Claims = dict[ids.ShardId, registry.Claim | None]

_LOG = logs.get_logger('claim')


class ShardClaimer:  # noqa: WPS214
    """Claims shards that have no reachable leader."""

    def __init__(
        self,
        *,
        store: store.Store,
        registry: registry.Registry,
        member: registry.Member,
        on_token: Callable[[ids.ShardId, fencing.FencingToken], None],
    ) -> None:
        """Create a claimer that passes acquired tokens to ``on_token``."""
        self._store = store
        self._registry = registry
        self._member = member
        self._on_token = on_token
        self._leaderless_since: dict[ids.ShardId, float] = {}
        self._retry_at: dict[ids.ShardId, float] = {}
        self._outdated_since: dict[ids.ShardId, float] = {}
        self._claim_written_at: dict[ids.ShardId, float] = {}
        self._seen_leaders: dict[ids.ShardId, ids.VmId] = {}
        self._seen_revisions: dict[ids.ShardId, tuple[int, int]] = {}

        #: For each shard that this process has claimed, the claim before.
        self.former_claims: _Claims = {}

        #: Times of the last messages of VMs whose links have timed out.
        self._silent_since: dict[ids.VmId, float] = {}

        #: Times from which an inquiry without an answer permits a claim.
        self._answered_by: dict[ids.ShardId, float] = {}
        self._workers_reachable_since: dict[ids.ShardId, float] = {}

    @property
    def process_id(self) -> registry.ProcessId:
        """Return the identity of this process."""
        return self._member.vm, self._member.incarnation

    def should_claim(
        self,
        shard: ids.ShardId,
        *,
        leader: ids.VmId | None,
        connected_vms: frozenset[ids.VmId],
        unchecked_vms: frozenset[ids.VmId],
        now: float,
    ) -> bool:
        """Return whether this process should claim a shard now.

        ``unchecked_vms`` have neither been linked nor failed to be dialed.
        """
        if leader is not None:
            self._seen_leaders[shard] = leader
            self._restart_delay(shard)
            return False
        claim = self._registry.claims.get(shard)
        revisions = (
            claim.revision if claim else 0,
            self._registry.answers.get(shard, 0),
        )
        if self._seen_revisions.setdefault(shard, revisions) != revisions:
            # The leader has written a row: it is alive, although no link to it
            # is open.
            self._seen_revisions[shard] = revisions
            if shard in self._answered_by:
                self._retry_at[shard] = now + INQUIRY_VALID_S
            self._restart_delay(shard)
        since = self._leaderless_since.setdefault(shard, now)
        if now < self._retry_at.get(shard, 0):
            return False
        if now - since < CHECK_TIMEOUT_S:
            if claim is not None and claim.owner[0] in unchecked_vms:
                return False
            connected_vms |= unchecked_vms
        return now - since >= self._claim_delay_s(shard, connected_vms)

    def leaderless_s(self, shard: ids.ShardId, now: float) -> float:
        """Return for how long a shard has had no leader, as far as known.

        The time starts again when the leader writes a row.
        """
        return now - self._leaderless_since.get(shard, now)

    def leader_lost_at(self, shard: ids.ShardId, now: float) -> float:
        """Return when the former leader of a shard was lost.

        This is now if it still leads, and minus infinity if this process has
        never known a leader.
        """
        if shard not in self._seen_leaders:
            return -math.inf
        return self._leaderless_since.get(shard, now)

    def postpone(self, shard: ids.ShardId, now: float) -> None:
        """Suppress claims of a shard for ``CLAIM_RETRY_S``."""
        self._retry_at[shard] = now + CLAIM_RETRY_S

    def record_probe(
        self, shard: ids.ShardId, *, reached: bool, now: float
    ) -> bool:
        """Record whether the workers of another zone's shard are reachable.

        Returns whether they have been reachable long enough to claim it.
        """
        if not reached:
            self._workers_reachable_since.pop(shard, None)
            return False
        since = self._workers_reachable_since.setdefault(shard, now)
        return now - since >= FOREIGN_CLAIM_DELAY_S

    def record_silence(self, vm: ids.VmId, since: float | None) -> None:
        """Record that a link has timed out, with the time of its last message.

        None means that the VM is linked, or that its process has ended.
        """
        if since is None:
            self._silent_since.pop(vm, None)
        else:
            self._silent_since[vm] = since

    def must_inquire(
        self, shard: ids.ShardId, *, isolated: bool, last_received_at: float
    ) -> bool:
        """Return whether to ask through the store for the shard's leader.

        It may be alive if this VM rather than the leader is cut off from other
        VMs, or if they have never been linked. ``isolated`` means that this VM
        has no link at all, ``last_received_at`` is the time of the last message
        on any link.
        """
        claim = self._registry.claims.get(shard)
        if claim is None or claim.owner[0] == self._member.vm:
            return False
        owner = self._registry.members.get(claim.owner[0])
        if owner is not None and owner.incarnation != claim.owner[1]:
            return False
        is_foreign = shard != ids.ShardId(self._member.zone)
        was_linked = self._seen_leaders.get(shard) == claim.owner[0]
        silent_since = self._silent_since.get(claim.owner[0])
        may_be_cut_off = isolated or (
            silent_since is not None
            and last_received_at < silent_since + LINK_PROOF_S
        )
        return may_be_cut_off or is_foreign or not was_linked

    def needs_inquiry(self, shard: ids.ShardId, now: float) -> bool:
        """Return whether there is no recent inquiry for a shard's leader."""
        answered_by = self._answered_by.get(shard)
        return answered_by is None or now >= answered_by + INQUIRY_VALID_S

    def is_unanswered(self, shard: ids.ShardId, now: float) -> bool:
        """Return whether the leader has not answered an inquiry in time."""
        answered_by = self._answered_by.get(shard)
        return answered_by is not None and now >= answered_by

    async def inquire(self, shard: ids.ShardId) -> bool:
        """Ask through the store whether a shard has a leader.

        Returns False if the store is unavailable.
        """
        write = registry.inquiry_write(shard, self._member)
        response = await self._store.transact(conditions=(), writes=(write,))
        return isinstance(response, result.Ok)

    def record_inquiry(
        self, shard: ids.ShardId, *, started_at: float, now: float
    ) -> None:
        """Record an inquiry that was stored between two times."""
        self._answered_by[shard] = now + max(
            ANSWER_WAIT_S, ANSWER_WAIT_WRITES * (now - started_at)
        )

    def is_asked(self, shard: ids.ShardId) -> bool:
        """Return whether there is an unanswered inquiry for a shard's leader."""
        asked = self._registry.inquiries.get(shard, 0)
        return asked > self._registry.answers.get(shard, 0)

    async def answer(self, shard: ids.ShardId) -> bool:
        """Answer an inquiry as the leader; return whether it is stored."""
        write = registry.answer_write(shard, self._member)
        response = await self._store.transact(conditions=(), writes=(write,))
        if isinstance(response, result.Err):
            return False
        self._registry.apply(
            (
                store.Row(
                    key=write.key, revision=response.ok_value, body=write.body
                ),
            )
        )
        return True

    def is_superseded(
        self, shard: ids.ShardId, token: fencing.FencingToken
    ) -> bool:
        """Return whether another process has claimed a shard after ``token``."""
        claim = self._registry.claims.get(shard)
        if claim is None or claim.owner == self.process_id:
            return False
        return claim.epoch > token.epoch

    async def claim(self, shard: ids.ShardId, now: float) -> None:
        """Claim a shard by writing its row.

        If the store is unavailable, fall back to the token of a successor
        under the previous claim.
        """
        self.postpone(shard, now)
        self._claim_written_at[shard] = now
        previous = self._registry.claims.get(shard)
        claim = registry.Claim(
            cell=shard,
            epoch=previous.epoch + 1 if previous else 1,
            owner=self.process_id,
            heirs=self.successors(shard),
            revision=previous.revision if previous else 0,
        )
        write = registry.claim_write(claim)
        response = await self._store.transact(
            conditions=(
                store.Condition(key=write.key, revision=claim.revision),
            ),
            writes=(write,),
        )
        if isinstance(response, result.Ok):
            self._registry.apply(
                (
                    store.Row(
                        key=write.key,
                        revision=response.ok_value,
                        body=write.body,
                    ),
                )
            )
            self._log('Shard claimed.', shard, claim.epoch, 0, '')
            self.former_claims[shard] = previous
            self._on_token(
                shard, fencing.FencingToken(epoch=claim.epoch, rank=0)
            )
            return
        self._log(
            'Claiming a shard failed.',
            shard,
            claim.epoch,
            0,
            response.err_value.detail,
        )
        if response.err_value.kind is not store.ErrorKind.CONFLICT:
            self._claim_as_successor(shard, previous)

    def successors(self, shard: ids.ShardId) -> tuple[registry.ProcessId, ...]:
        """Return the successors that a claim by this process names, in order."""
        return tuple(
            (member.vm, member.incarnation)
            for member in self._candidates(shard)
            if member.vm != self._member.vm
        )[: fencing.MAX_SUCCESSORS]

    def successors_of_claim(self, shard: ids.ShardId) -> list[ids.VmId]:
        """Return the VMs that are successors under a shard's current claim."""
        claim = self._registry.claims.get(shard)
        return [] if claim is None else [vm for vm, _ in claim.heirs]

    def find_larger(self) -> ids.VmId | None:
        """Return the largest VM of this zone if it is much larger than this.

        None if there is no such VM.
        """
        candidates = self._candidates(ids.ShardId(self._member.zone))
        if not candidates:
            return None
        is_larger = candidates[0].cores >= LARGER_FACTOR * self._member.cores
        return candidates[0].vm if is_larger else None

    def is_among_first_candidates(self) -> bool:
        """Return whether this VM is among the first candidates of its zone."""
        first_candidates = self._candidates(ids.ShardId(self._member.zone))[
            :LINKED_CANDIDATES
        ]
        return any(
            candidate.vm == self._member.vm for candidate in first_candidates
        )

    def needs_link(self, vm: ids.VmId, other_vm: ids.VmId) -> bool:
        """Return whether two VMs should be linked (symmetric)."""
        if len(self._registry.members) <= FULL_MESH_MAX_VMS:
            return True
        return self._may_lead_for(vm, other_vm) or self._may_lead_for(
            other_vm, vm
        )

    def needs_refresh(
        self,
        shard: ids.ShardId,
        token: fencing.FencingToken,
        *,
        isolated: bool,
        now: float,
    ) -> bool:
        """Return whether the claim row of a led shard should be rewritten.

        This is the case after a takeover without the store and after a change
        of successors. While no other VM is connected, periodic rewrites are a
        heartbeat to other zones.
        """
        claim = self._registry.claims.get(shard)
        if now < self._retry_at.get(shard, 0):
            return False
        if isolated:
            return (
                now - self._claim_written_at.get(shard, 0) >= ISOLATED_REFRESH_S
            )
        if claim is not None and self._is_current(claim, token):
            self._outdated_since.pop(shard, None)
            return False
        since = self._outdated_since.setdefault(shard, now)
        return now - since >= REFRESH_DELAY_S

    def _restart_delay(self, shard: ids.ShardId) -> None:
        """Wait for the whole delay again before a shard is claimed."""
        self._leaderless_since.pop(shard, None)
        self._workers_reachable_since.pop(shard, None)
        self._answered_by.pop(shard, None)

    def _may_lead_for(self, vm: ids.VmId, other_vm: ids.VmId) -> bool:
        """Return whether a VM leads a shard, or may soon lead the other VM's.

        The latter holds if it is among the first candidates of the other VM's
        zone.
        """
        if any(
            claim.owner[0] == vm for claim in self._registry.claims.values()
        ):
            return True
        member = self._registry.members.get(other_vm)
        if member is None:
            return False
        first_candidates = self._candidates(ids.ShardId(member.zone))[
            :LINKED_CANDIDATES
        ]
        return any(candidate.vm == vm for candidate in first_candidates)

    def _is_current(
        self, claim: registry.Claim, token: fencing.FencingToken
    ) -> bool:
        """Return whether a claim equals what this process would write now."""
        if claim.owner != self.process_id or token.rank:
            return False
        return claim.epoch == token.epoch and (
            set(claim.heirs) == set(self.successors(claim.cell))
        )

    def _candidates(self, shard: ids.ShardId) -> tuple[registry.Member, ...]:
        """Return the VMs of the shard's zone, those with most cores first."""
        return self._registry.members_by_size(ids.ZoneId(shard))

    def _claim_delay_s(
        self, shard: ids.ShardId, connected_vms: frozenset[ids.VmId]
    ) -> float:
        """Return the time without a leader after which to claim a shard.

        VMs of the shard's zone claim in order of their cores, the largest
        first. VMs of other zones claim in order of name, and only if the
        zone has no connected VM.
        """
        base_delay_s = FIRST_CLAIM_DELAY_S
        if shard in self._seen_leaders or shard in self._registry.claims:
            base_delay_s = CLAIM_DELAY_S
        reachable = [
            member.vm
            for member in self._candidates(shard)
            if member.vm in connected_vms or member.vm == self._member.vm
        ]
        if self._member.vm in reachable:
            return base_delay_s + CANDIDATE_STEP_S * reachable.index(
                self._member.vm
            )
        if reachable:
            return float('inf')
        connected = sorted({*connected_vms, self._member.vm})
        return base_delay_s + CANDIDATE_STEP_S * connected.index(
            self._member.vm
        )

    def _claim_as_successor(
        self, shard: ids.ShardId, previous: registry.Claim | None
    ) -> None:
        """Lead a shard with the rank that the previous claim assigns."""
        if previous is None or self.process_id not in previous.heirs:
            return
        rank = previous.heirs.index(self.process_id) + 1
        self.former_claims[shard] = previous
        self._log(
            'Shard taken over as successor.',
            shard,
            previous.epoch,
            rank,
            'store unavailable',
        )
        self._on_token(
            shard, fencing.FencingToken(epoch=previous.epoch, rank=rank)
        )

    def _log(
        self,
        message: str,
        shard: ids.ShardId,
        epoch: int,
        rank: int,
        cause: str,
    ) -> None:
        _LOG.info(
            message,
            extra={
                'cell': shard,
                'epoch': epoch,
                'rank': rank,
                'cause': cause,
            },
        )
