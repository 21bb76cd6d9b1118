"""Random plans of faults from a seed.

Each fault ends after its duration. Faults can overlap and recur.
"""

import dataclasses
import enum
import random
from typing import Awaitable, Callable, Iterable, Sequence

from sardineproxy import ids
from sardineproxy.emulator import deployment

#: Longest time for which a VM has no process after it was killed, in seconds.
MAX_RESTART_S = 4.0

#: Plans of takeovers: times of the faults that concern entries of workers and
#: of those that concern leaders, and durations of the former, in seconds. An
#: entry expires between 3 and 4.5 s after its worker was cut off.
ENTRY_FAULTS_S = (0, 4)
LEADER_FAULTS_S = (2, 12)
ENTRY_FAULT_LENGTHS_S = (3.5, 10)
MAX_ENTRY_FAULTS = 3
MAX_LEADER_FAULTS = 2

#: Plans of cuts between VMs: times and durations of the cuts and of the other
#: faults, in seconds. Tasks in other zones are taken back after 9.5 s.
CUTS_S = (0, 5)
CUT_LENGTHS_S = (6, 12.5)
OTHER_FAULTS_S = (0, 14)
MAX_CUTS = 2
MAX_OTHER_FAULTS = 2

#: Plans of lost racks: their number, times and durations, in seconds.
RACK_COUNTS = (3, 6)
RACKS_S = (0, 10)
RACK_LENGTHS_S = (0.3, 4.5)

#: Share of the faults without a response, instead of a refusal.
SILENT_SHARE = 0.5


class Kind(enum.Enum):
    """What a fault does to one VM."""

    #: It loses all other VMs and the store.
    CUT = 'cut'

    #: It loses some other VMs, and perhaps the store.
    PARTLY_CUT = 'partly_cut'

    #: It and some other VMs lose the rest, but neither the store nor workers.
    VMS_CUT = 'vms_cut'

    #: Its zone, with the workers, loses all others, and perhaps the store.
    ZONE_CUT = 'zone_cut'
    STORE_CUT = 'store_cut'
    FREEZE = 'freeze'
    KILL = 'kill'

    #: The process gets SIGTERM, ends some seconds later and starts again.
    STOP = 'stop'

    #: The processes of all VMs of its zone are killed.
    ZONE_KILL = 'zone_kill'

    #: The process is killed, and that of the next leader of its zone's shard.
    SUCCESSOR_KILL = 'successor_kill'

    #: It loses some workers.
    WORKERS_CUT = 'workers_cut'

    #: All workers of its zone crash, and start again.
    RACK_LOST = 'rack_lost'

    #: Some workers of its zone crash, and start again at once.
    WORKERS_RESTART = 'workers_restart'

    #: Some workers of its zone lose the store.
    ENTRIES_SILENT = 'entries_silent'

    #: The entries of some workers of its zone are malformed, or name another
    #: zone.
    ENTRIES_MALFORMED = 'entries_malformed'
    ENTRIES_MOVED = 'entries_moved'

    #: The store is slow for all VMs.
    SLOW_STORE = 'slow_store'

    #: Calls to the store are carried out, but not answered.
    LOST_RESPONSES = 'lost_responses'


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Fault:
    """One fault of a plan."""

    start_s: float
    kind: Kind
    duration_s: float

    #: Whether calls and connections get no response, or are refused.
    is_silent: bool

    #: Zone whose leader is struck, None for any VM.
    zone: ids.ZoneId | None = None


#: Injects a fault that strikes a VM or its zone, and waits until it has ended.
Action = Callable[[deployment.Vm, Fault], Awaitable[None]]

_ENTRY_FAULTS = (
    Kind.ENTRIES_SILENT,
    Kind.ENTRIES_MALFORMED,
    Kind.ENTRIES_MOVED,
)
_LEADER_FAULTS = (
    Kind.KILL,
    Kind.STOP,
    Kind.FREEZE,
    Kind.CUT,
    Kind.ZONE_KILL,
    Kind.SUCCESSOR_KILL,
)
_CUTS = (Kind.VMS_CUT, Kind.VMS_CUT, Kind.ZONE_CUT)
_BESIDE_CUTS = (
    Kind.KILL,
    Kind.RACK_LOST,
    Kind.WORKERS_RESTART,
    Kind.WORKERS_CUT,
    Kind.STORE_CUT,
)


def draw_takeover_plan(
    rng: random.Random, zones: Sequence[ids.ZoneId]
) -> tuple[Fault, ...]:
    """Return faults of a zone's entries of workers, and of its leaders."""
    zone = rng.choice(zones)
    entry_faults = [
        Fault(
            start_s=rng.uniform(*ENTRY_FAULTS_S),
            kind=rng.choice(_ENTRY_FAULTS),
            duration_s=rng.uniform(*ENTRY_FAULT_LENGTHS_S),
            is_silent=True,
            zone=zone,
        )
        for _ in range(rng.randint(1, MAX_ENTRY_FAULTS))
    ]
    leader_faults = [
        Fault(
            start_s=rng.uniform(*LEADER_FAULTS_S),
            kind=rng.choice(_LEADER_FAULTS),
            duration_s=rng.uniform(0.5, MAX_RESTART_S),
            is_silent=rng.random() < SILENT_SHARE,
            zone=zone,
        )
        for _ in range(rng.randint(1, MAX_LEADER_FAULTS))
    ]
    return _in_order([*entry_faults, *leader_faults])


def draw_rack_plan(
    rng: random.Random, zones: Sequence[ids.ZoneId]
) -> tuple[Fault, ...]:
    """Return losses of racks, each of which has all workers of a zone."""
    return _in_order(
        Fault(
            start_s=rng.uniform(*RACKS_S),
            kind=Kind.RACK_LOST,
            duration_s=rng.uniform(*RACK_LENGTHS_S),
            is_silent=True,
            zone=rng.choice(zones),
        )
        for _ in range(rng.randint(*RACK_COUNTS))
    )


def draw_cut_plan(
    rng: random.Random, zones: Sequence[ids.ZoneId]
) -> tuple[Fault, ...]:
    """Return cuts between VMs that reach the store, and faults beside them."""
    cuts = [
        Fault(
            start_s=rng.uniform(*CUTS_S),
            kind=rng.choice(_CUTS),
            duration_s=rng.uniform(*CUT_LENGTHS_S),
            is_silent=rng.random() < SILENT_SHARE,
            zone=rng.choice((None, *zones)),
        )
        for _ in range(rng.randint(1, MAX_CUTS))
    ]
    others = [
        Fault(
            start_s=rng.uniform(*OTHER_FAULTS_S),
            kind=rng.choice(_BESIDE_CUTS),
            duration_s=rng.uniform(0.5, MAX_RESTART_S),
            is_silent=rng.random() < SILENT_SHARE,
            zone=rng.choice((None, *zones)),
        )
        for _ in range(rng.randint(0, MAX_OTHER_FAULTS))
    ]
    return _in_order([*cuts, *others])


def draw_plan(
    rng: random.Random, *, most: int, length_s: float
) -> tuple[Fault, ...]:
    """Return up to ``most`` faults within a time, in the order of their start.

    Cuts of several seconds are as frequent as short ones.
    """
    return _in_order(
        Fault(
            start_s=rng.uniform(0, length_s),
            kind=rng.choice(list(Kind)),
            duration_s=rng.choice(
                (rng.uniform(0.2, 1.5), rng.uniform(1, 12.5))
            ),
            is_silent=rng.random() < SILENT_SHARE,
        )
        for _ in range(rng.randint(1, most))
    )


def _in_order(drawn: Iterable[Fault]) -> tuple[Fault, ...]:
    return tuple(sorted(drawn, key=lambda fault: fault.start_s))
