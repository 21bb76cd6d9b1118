"""Times of cells and of calls to workers, in seconds.

The policy file of the node program sets them; docs/settings.md lists them.
"""

import dataclasses


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class CallTiming:
    """Times of calls to workers."""

    #: Longest wait for the answer to an order. A round trip in a zone takes
    #: 0.2 ms and the worker 0.5 ms; the shortest job must be on time within
    #: 0.15 s even if its order is lost.
    order_timeout_s: float = 0.06

    #: Longest wait of a worker for a new end. The lease must be extended
    #: twice in its time even if one answer is lost.
    look_wait_s: float = 0.3

    #: Time for the answer to a look beyond its wait.
    look_timeout_s: float = 0.1

    #: Longest lease of what runs.
    lease_s: float = 1.0

    #: A worker's clock may be this much slower than ours.
    clock_error: float = 0.02

    #: Allowance for the way of an order to a worker.
    travel_s: float = 0.05

    #: Pauses between looks at a silent worker.
    silent_pause_s: float = 0.1
    silent_pause_max_s: float = 0.8

    #: A run that is listed this long after its stop is stopped again. The
    #: platform's bound of a stop is 0.05 s.
    stop_retry_s: float = 0.15

    #: A run without progress for ``standstill_s`` and this share of its
    #: expected time is started elsewhere. Progress is told in percent, at
    #: least every ``look_wait_s``.
    standstill_s: float = 0.4
    standstill_share: float = 0.05

    #: Pause between looks at a worker that lists ends which are not stored
    #: yet: it answers at once then. A commit takes about this long.
    held_pause_s: float = 0.025

    #: Pause before a look that only acknowledges ends.
    ack_pause_s: float = 0.2

    #: Pause before a look that only reads the clock of an idle worker. In this
    #: time the clocks can move apart by 0.3 s, which a lease is shorter then.
    idle_pause_s: float = 15.0


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ShardTiming:
    """Times of a cell."""

    calls: CallTiming = CallTiming()

    #: A new owner waits this long for a new list of workers. The store's
    #: answers are awaited for 0.6 s.
    list_wait_s: float = 0.7

    #: A new owner waits this long for reports of all workers before it
    #: answers coordinators that resume their jobs.
    sync_s: float = 0.3

    #: Runs of a former owner that no coordinator asks for are stopped after
    #: this time.
    adopt_s: float = 0.5

    #: After this time no run of a former owner exists on a worker that has
    #: not reported: an owner that is cut off stops to extend leases after
    #: ``unconfirmed_s``, and they last for 1 s, 1.02 s by a slow clock.
    former_runs_s: float = 3.5

    #: An owner that has neither heard from the store nor from all its heirs
    #: for this long no longer extends the leases of stored jobs' runs.
    unconfirmed_s: float = 2.0

    #: Runs of a coordinator whose link is lost are stopped after this time.
    orphan_s: float = 0.3

    #: Time for which ends are kept for jobs that are sent again. A client
    #: does so 1.3 s after a failure, and late copies come after seconds.
    recall_s: float = 10.0

    #: Multiple of the time in which a job is on time after which it is worth
    #: nothing.
    late_factor: float = 3.0

    #: A task takes this many times as long on racks without its data.
    distance_factor: float = 2.0
