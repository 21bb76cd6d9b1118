"""Decides which cells this process should own, and claims them."""

from typing import Callable

import result

from sardineproxy import ids, logs
from sardineproxy.process import store
from sardineproxy.process.shards import fences
from sardineproxy.process.membership import registry

#: Time without an owner after which the first candidate claims a cell, in
#: seconds. The first directory and the first links take about 0.3 s.
FIRST_CLAIM_DELAY_S = 0.5
CLAIM_DELAY_S = 0.05

#: Each further candidate waits this much longer, in seconds.
CANDIDATE_STEP_S = 0.25

#: Time without an owner, but with its workers in reach, after which VMs of
#: other zones claim a cell, in seconds. After a partition the workers are in
#: reach up to 0.5 s before the links are open again.
FOREIGN_CLAIM_DELAY_S = 0.8

#: Time for which a cell's row differs from what its owner would write now
#: before the owner writes it anew, in seconds.
REFRESH_DELAY_S = 1.0

#: Time between two writes of an owner that has no other VM in reach, in
#: seconds. VMs of other zones see from them that it lives, and must see one
#: within ``FOREIGN_CLAIM_DELAY_S``.
ISOLATED_REFRESH_S = 0.5

#: Up to this number of VMs all are linked with each other. Above it, each is
#: linked with the owners and with this many candidates of its own zone.
FULL_MESH_MAX_VMS = 10
LINKED_CANDIDATES = 3

#: Pause after a claim that failed, in seconds.
CLAIM_RETRY_S = 0.2

_LOG = logs.get_logger('claim')


class ShardClaimer:
    """Claims cells that have no owner in reach."""

    def __init__(
        self,
        *,
        store: store.Store,
        directory: registry.Registry,
        me: registry.Member,
        on_token: Callable[[ids.ShardId, fences.Right], None],
    ) -> None:
        """Call ``on_token`` with each right that this process wins."""
        self._store = store
        self._directory = directory
        self._me = me
        self._on_right = on_token
        self._absent_since: dict[ids.ShardId, float] = {}
        self._retry_at: dict[ids.ShardId, float] = {}
        self._outdated_since: dict[ids.ShardId, float] = {}
        self._written_at: dict[ids.ShardId, float] = {}
        self._seen_leader: set[ids.ShardId] = set()
        self._seen_revision: dict[ids.ShardId, int] = {}
        self._reached_since: dict[ids.ShardId, float] = {}

    def should_claim(
        self,
        shard: ids.ShardId,
        *,
        leader: ids.VmId | None,
        in_reach: frozenset[ids.VmId],
        now: float,
    ) -> bool:
        """Tell whether this process should claim a cell now."""
        if leader is not None:
            self._seen_leader.add(shard)
            self._absent_since.pop(shard, None)
            self._reached_since.pop(shard, None)
            return False
        claim = self._directory.claims.get(shard)
        revision = claim.revision if claim else 0
        if self._seen_revision.setdefault(shard, revision) != revision:
            # Its owner wrote its row: it lives, though not in reach.
            self._seen_revision[shard] = revision
            self._absent_since.pop(shard, None)
            self._reached_since.pop(shard, None)
        since = self._absent_since.setdefault(shard, now)
        if now < self._retry_at.get(shard, 0):
            return False
        return now - since >= self._claim_delay_s(shard, in_reach)

    def postpone(self, shard: ids.ShardId, now: float) -> None:
        """Do not try a claim again at once."""
        self._retry_at[shard] = now + CLAIM_RETRY_S

    def record_probe(
        self, shard: ids.ShardId, *, reached: bool, now: float
    ) -> bool:
        """Note whether workers of another zone's cell can be reached.

        Returns whether they could for long enough to claim it.
        """
        if not reached:
            self._reached_since.pop(shard, None)
            return False
        since = self._reached_since.setdefault(shard, now)
        return now - since >= FOREIGN_CLAIM_DELAY_S

    async def claim(self, shard: ids.ShardId, now: float) -> None:
        """Write a claim; take the right of an heir if that is impossible."""
        self.postpone(shard, now)
        self._written_at[shard] = now
        old = self._directory.claims.get(shard)
        claim = registry.Claim(
            cell=shard,
            epoch=old.epoch + 1 if old else 1,
            owner=self._process_id(),
            heirs=self.successors(shard),
            revision=old.revision if old else 0,
        )
        write = registry.claim_write(claim)
        answer = await self._store.transact(
            conditions=(
                store.Condition(key=write.key, revision=claim.revision),
            ),
            writes=(write,),
        )
        if isinstance(answer, result.Ok):
            self._directory.apply(
                (
                    store.Row(
                        key=write.key,
                        revision=answer.ok_value,
                        body=write.body,
                    ),
                )
            )
            self._log('Cell claimed.', shard, claim.epoch, 0, '')
            self._on_right(shard, fences.Right(epoch=claim.epoch, rank=0))
            return
        self._log(
            'Claim failed.', shard, claim.epoch, 0, answer.err_value.detail
        )
        if answer.err_value.kind is not store.ErrorKind.CONFLICT:
            self._claim_as_successor(shard, old)

    def successors(self, shard: ids.ShardId) -> tuple[registry.ProcessId, ...]:
        """Return who may follow this process as owner, in order."""
        return tuple(
            (member.vm, member.incarnation)
            for member in self._candidates(shard)
            if member.vm != self._me.vm
        )[: fences.MAX_HEIRS]

    def successors_of_claim(self, shard: ids.ShardId) -> list[ids.VmId]:
        """Return the VMs that may inherit a cell by its present claim."""
        claim = self._directory.claims.get(shard)
        return [] if claim is None else [vm for vm, _ in claim.heirs]

    def is_successor(self) -> bool:
        """Tell whether this VM is among the first to own its zone's cell."""
        first = self._candidates(ids.ShardId(self._me.zone))[:LINKED_CANDIDATES]
        return any(candidate.vm == self._me.vm for candidate in first)

    def needs_link(self, one: ids.VmId, other: ids.VmId) -> bool:
        """Tell whether two VMs should be linked; the same for both."""
        if len(self._directory.members) <= FULL_MESH_MAX_VMS:
            return True
        return self._may_lead_for(one, other) or self._may_lead_for(other, one)

    def needs_refresh(
        self,
        shard: ids.ShardId,
        right: fences.Right,
        *,
        isolated: bool,
        now: float,
    ) -> bool:
        """Tell whether an own cell's row should be written anew.

        It should after an inheritance, when its heirs have changed, and as a
        sign of life to other zones while no other VM is in reach.
        """
        claim = self._directory.claims.get(shard)
        if now < self._retry_at.get(shard, 0):
            return False
        if isolated:
            return now - self._written_at.get(shard, 0) >= ISOLATED_REFRESH_S
        if claim is not None and self._is_current(claim, right):
            self._outdated_since.pop(shard, None)
            return False
        since = self._outdated_since.setdefault(shard, now)
        return now - since >= REFRESH_DELAY_S

    def _may_lead_for(self, one: ids.VmId, other: ids.VmId) -> bool:
        """Tell whether a VM owns a cell or may soon own the other's."""
        if any(
            claim.owner[0] == one for claim in self._directory.claims.values()
        ):
            return True
        member = self._directory.members.get(other)
        if member is None:
            return False
        first = self._candidates(ids.ShardId(member.zone))[:LINKED_CANDIDATES]
        return any(candidate.vm == one for candidate in first)

    def _is_current(self, claim: registry.Claim, right: fences.Right) -> bool:
        """Tell whether a claim is what this process would write now."""
        if claim.owner != self._process_id() or right.rank:
            return False
        return claim.epoch == right.epoch and (
            set(claim.heirs) == set(self.successors(claim.cell))
        )

    def _process_id(self) -> registry.ProcessId:
        return self._me.vm, self._me.incarnation

    def _candidates(self, shard: ids.ShardId) -> list[registry.Member]:
        """Return the VMs of the cell's zone, the largest first."""
        members = [
            member
            for member in self._directory.members.values()
            if member.zone == shard
        ]
        return sorted(members, key=lambda each: (-each.cores, each.vm))

    def _claim_delay_s(
        self, shard: ids.ShardId, in_reach: frozenset[ids.VmId]
    ) -> float:
        first_s = FIRST_CLAIM_DELAY_S
        if shard in self._seen_leader or shard in self._directory.claims:
            first_s = CLAIM_DELAY_S
        living = [
            member.vm
            for member in self._candidates(shard)
            if member.vm in in_reach or member.vm == self._me.vm
        ]
        if self._me.vm in living:
            return first_s + CANDIDATE_STEP_S * living.index(self._me.vm)
        if living:
            return float('inf')
        others = sorted({*in_reach, self._me.vm})
        return first_s + CANDIDATE_STEP_S * others.index(self._me.vm)

    def _claim_as_successor(
        self, shard: ids.ShardId, old: registry.Claim | None
    ) -> None:
        """Use the right that the former owner's claim gives this process."""
        if old is None or self._process_id() not in old.heirs:
            return
        rank = old.heirs.index(self._process_id()) + 1
        self._log('Cell inherited.', shard, old.epoch, rank, 'store away')
        self._on_right(shard, fences.Right(epoch=old.epoch, rank=rank))

    def _log(
        self, text: str, shard: ids.ShardId, epoch: int, rank: int, cause: str
    ) -> None:
        _LOG.info(
            text,
            extra={
                'cell': shard,
                'epoch': epoch,
                'rank': rank,
                'cause': cause,
            },
        )
