"""Timing of shards and of calls to workers, in seconds.

The policy file of the node program sets them; docs/settings.md lists them.
"""

import dataclasses

#: A stored job's tasks in another shard are dropped this long after the link to
#: their job manager was lost, in seconds. A new leader of the home shard loads
#: its jobs within 3 s, or later than after 3.5 s if its zone is lost. All
#: processes must agree on this time, so that it is no setting.
DETACHED_S = 6.0

#: Time in which a VM reports to manage the jobs whose tasks it submits, in
#: seconds. It sends heartbeats every 0.2 s.
MANAGER_REPORT_S = 1.0

#: A job manager takes tasks back that have been without a leader for this long,
#: in seconds. Beyond ``DETACHED_S`` it allows 1.7 s until the shard's leader
#: closes its end of the link, 1.1 s for leases on unresponsive workers, and
#: 0.7 s for stops and late ticks.
TAKE_BACK_S = DETACHED_S + 3.5


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class CallTiming:
    """Timing of calls to workers."""

    #: Timeout of an order. A round trip within a zone takes 0.2 ms and the
    #: worker 0.5 ms. The shortest job must complete within 0.15 s even if its
    #: first order is lost.
    order_timeout_s: float = 0.06

    #: Longest wait of a worker for a new result before it responds to a poll.
    #: The lease must be extended twice within its duration even if one response
    #: is lost.
    look_wait_s: float = 0.3

    #: Timeout of a poll in addition to ``look_wait_s``.
    look_timeout_s: float = 0.1

    #: Longest lease of a worker's runs.
    lease_s: float = 1.0

    #: Share by which a worker's clock may be slower than the local one.
    clock_error: float = 0.02

    #: Allowance for the transmission of an order to a worker.
    travel_s: float = 0.05

    #: First and longest pause between polls of an unresponsive worker.
    silent_pause_s: float = 0.1
    silent_pause_max_s: float = 0.8

    #: A run that is still listed this long after its stop is stopped again.
    #: The platform completes a stop within 0.05 s.
    stop_retry_s: float = 0.15

    #: A run without progress for ``standstill_s`` plus ``standstill_share``
    #: of its expected time is stopped and requeued. Progress is reported in
    #: percent, at least every ``look_wait_s``.
    standstill_s: float = 0.4
    standstill_share: float = 0.05

    #: Pause between polls of a worker that lists results which are not stored
    #: yet, because it responds to such polls at once. A commit takes about
    #: this long.
    held_pause_s: float = 0.025

    #: Pause before a poll that only acknowledges results.
    ack_pause_s: float = 0.2

    #: Pause before a poll that only reads the clock of an idle worker. The
    #: clocks can drift apart by 0.3 s in this time, which shortens the next
    #: lease by as much.
    idle_pause_s: float = 15.0

    #: Factor by which a task takes longer on a worker that is cold.
    cold_overage: float = 1.0

    @property
    def longest_lease_s(self) -> float:
        """Return the local time after which a lease has certainly expired."""
        return self.lease_s * (1 + self.clock_error) + self.travel_s


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ShardTiming:
    """Timing of a shard."""

    calls: CallTiming = CallTiming()

    #: Longest wait of a new leader for a new list of workers. Calls to the
    #: store time out after 0.6 s.
    list_wait_s: float = 0.7

    #: Largest age of the list of workers with which tasks are started while the
    #: store can be read: the platform's bound for starts on draining workers,
    #: less the interval of the check and the time of an order.
    list_age_s: float = 1.8

    #: Longest wait of a new leader for reports of all workers before it
    #: replies to coordinators that resume jobs that are not stored.
    sync_s: float = 0.3

    #: Runs of a former leader that no coordinator resumes are stopped after
    #: this time.
    adopt_s: float = 0.5

    #: Runs of a former leader that are not resumed end this long after its loss,
    #: as their leases are extended no further. A client sends a job again 1.3 s
    #: after the VM that accepted it was lost, perhaps with the leader.
    former_lease_s: float = 1.0

    #: After this time no run of a former leader exists on a worker that has
    #: not reported. An isolated leader stops extending leases after
    #: ``unconfirmed_s``, and they last for 1 s, or 1.02 s on a slow clock.
    former_runs_s: float = 3.5

    #: A leader that has reached neither the store nor all its successors for
    #: this long no longer extends the leases of stored jobs' runs.
    unconfirmed_s: float = 2.0

    #: A coordinator's runs are stopped this long after its link was lost.
    orphan_s: float = 0.3

    #: Waiting time after which a task is offered to other shards again, and
    #: that of a stored job's task that was moved, resumed or retried before. It
    #: doubles with each further move.
    move_wait_s: float = 0.3
    moved_wait_s: float = 1.0

    #: Retention time of results for jobs that are submitted again. A client
    #: retries 1.3 s after a failure, and delayed duplicates of a request
    #: arrive seconds later.
    recall_s: float = 10.0

    #: A result of a stored job that its manager has not confirmed for this long
    #: is sent again. The manager may have been replaced without notice.
    result_claim_s: float = 5.0

    #: A job's result is of no use after this multiple of the time limit for
    #: results that are on time.
    late_factor: float = 3.0

    #: Factor by which a task takes longer on racks without its data.
    distance_factor: float = 2.0

    #: Time after the request to evacuate a zone within which its runs may end
    #: even if they are late.
    evacuate_s: float = 5.0

    #: Look-ahead placement: reservations for tasks that do not fit yet, and
    #: late tasks after those that can be on time.
    lookahead: bool = False

    #: Largest share of the workers that are reserved at a time.
    reserved_share: float = 0.1

    #: Longest time until the expected start for which a worker is reserved.
    reserve_ahead_s: float = 0.2

    #: Smallest task that reserves a worker, in average tasks. Reservations
    #: for tasks of every size cost more capacity than they are worth.
    reserve_size: float = 1.2

    #: A reservation is released when its task has not started this share of
    #: its expected wait after the expected start.
    reserve_tolerance: float = 0.5
