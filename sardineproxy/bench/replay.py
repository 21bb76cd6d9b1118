"""Replay load patterns with variants of the policy, and print their results.

Run as ``python -m sardineproxy.bench.replay [PATTERN ...] [--seeds COUNT]``.
Clients submit jobs to the real schedulers of several shards on a virtual clock
and follow their answers as the coordinator and the clients of a deployment do.
"""

import argparse
import collections
import dataclasses
import random
import statistics
import sys
import types
from typing import Any, Iterator, Mapping, Sequence

from sardineproxy import ids
from sardineproxy.bench import replay_load, replay_shard
from sardineproxy.connection import messages
from sardineproxy.process.shards import times

STRETCH = 1.6
SLACK_S = 0.06
LATE_FACTOR = 3

#: Worth of a late result; one that is on time is worth 1.
LATE_WORTH = 0.2

#: Attempts of a client whose job is refused.
MAX_ATTEMPTS = 3
REPORT_INTERVAL_S = 0.2
TICK_S = 0.1
QUEUE_CHECK_S = 0.025

#: Length of the windows of which the worst one is reported, in seconds.
WINDOW_S = 2.0
LARGEST_SHARE = 0.1


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Variant:
    """Settings of the schedulers, and whether run times are known."""

    cfg: times.ShardTiming
    exact: bool = False


VARIANTS: Mapping[str, Variant] = types.MappingProxyType(
    {
        'old': Variant(cfg=times.ShardTiming()),
        'new': Variant(cfg=times.ShardTiming(lookahead=True)),
        'perfect': Variant(cfg=times.ShardTiming(lookahead=True), exact=True),
    }
)


class Client:
    """Submits one job, follows the answers, and records the result."""

    def __init__(self, replay: 'Replay', job: replay_load.Job) -> None:
        """Create a client; ``submit`` starts it."""
        self.job = job
        self._replay = replay
        self._attempt = 0
        self._open: dict[int, str] = {}
        self._moved: set[int] = set()
        self._has_run = False
        self._submitted_at = float(0)
        self.worth = float(0)
        self.is_refused = False

    def submit(self) -> None:
        """Submit all tasks to the shard of the client's zone."""
        self._attempt += 1
        self._moved.clear()
        self._submitted_at = self._now
        indices = list(range(len(self.job.work_s)))
        self._replay.timeline.at(
            self._now + self.job.patience_s,
            lambda attempt=self._attempt: self._disconnect(attempt),  # type: ignore[misc]
        )
        self._send(indices, self.job.zone)

    def send(self, message: Any) -> None:
        """Carry a message of a shard leader, as its link does."""
        self._replay.timeline.at(
            self._now + replay_shard.ORDER_S, lambda: self._receive(message)
        )

    def _receive(self, message: Any) -> None:
        if message.job != self._job_id:
            return
        if isinstance(message, messages.RunEnded):
            self._handle_result(message)
        elif isinstance(message, messages.Declined):
            self._handle_declined(message)

    @property
    def _now(self) -> float:
        return self._replay.timeline.clock.now()

    @property
    def _job_id(self) -> ids.JobId:
        return ids.JobId(f'{self.job.name}~{self._attempt}')

    def _send(self, indices: Sequence[int], shard: str) -> None:
        self._open.update(dict.fromkeys(indices, shard))
        self._replay.shards[shard].submit(
            messages.Submit(
                shard=ids.ShardId(shard),
                job=self._job_id,
                step=0,
                route=ids.RouteId(self.job.kind.name),
                service=ids.ServiceId('service'),
                priority=self.job.kind.priority,
                payload='',
                tasks=tuple((index, 1) for index in indices),
                millicores=self.job.millicores,
                memory_mb=1,
                gpus=0,
                requires='',
                rack='',
                per_worker=0,
                estimate_s=self.job.estimate_s,
                age_s=self._now - self._submitted_at,
                timeout_s=self._submitted_at + self.job.patience_s - self._now,
                stretch=STRETCH,
                slack_s=SLACK_S,
                resumed=False,
                job_started=self._has_run,
                pinned=False,
                stored=False,
            ),
            self,
        )

    def _handle_result(self, message: messages.RunEnded) -> None:
        self._has_run = True
        if message.result != 'done':
            self._end()
        elif self._open.pop(message.index, None) and not self._open:
            limit_s = STRETCH * max(self.job.work_s) + SLACK_S
            took_s = self._now - self._submitted_at
            if took_s <= limit_s:
                self.worth = 1
            elif took_s <= LATE_FACTOR * limit_s:
                self.worth = LATE_WORTH

    def _handle_declined(self, message: messages.Declined) -> None:
        indices = [index for index in message.indices if index in self._open]
        was_moved = bool(self._moved.intersection(indices))
        target = message.suggested_shard
        if was_moved:
            target = '' if message.shard == self.job.zone else self.job.zone
        if target:
            self._moved.update(indices)
            self._send(indices, target)
            return
        all_declined = len(indices) == len(self._open)
        self.is_refused = all_declined and not self._has_run
        self._end()
        if self.is_refused and self._attempt < MAX_ATTEMPTS:
            self._replay.timeline.at(
                self._now + message.retry_after_s, self.submit
            )

    def _disconnect(self, attempt: int) -> None:
        if attempt == self._attempt and self._open:
            self._end()

    def _end(self) -> None:
        shards = set(self._open.values())
        self._open.clear()
        for shard in shards:
            self._replay.shards[shard].withdraw(self._job_id)


class Replay:
    """One run of a pattern with one variant."""

    def __init__(
        self, pattern: replay_load.Pattern, variant: Variant, seed: int
    ) -> None:
        """Create the shards, and schedule the arrivals and faults."""
        rng = random.Random(seed)
        self.timeline = replay_shard.Timeline()
        faults = list(replay_load.make_faults(pattern, rng))
        arriving = list(
            replay_load.make_jobs(pattern, rng, exact=variant.exact)
        )
        self.shards = {
            zone: replay_shard.ReplayShard(
                zone=zone,
                timeline=self.timeline,
                jobs_by_name={job.name: job for job in arriving},
                cfg=variant.cfg,
                exact=variant.exact,
            )
            for zone in replay_load.ZONES
        }
        self.clients = [Client(self, job) for job in arriving]
        for client in self.clients:
            self.timeline.at(client.job.arrives_at, client.submit)
        for fault in faults:
            self._schedule(fault)
        self._repeat(REPORT_INTERVAL_S, self._report_capacities)
        self._repeat(TICK_S, self._tick)
        self._repeat(QUEUE_CHECK_S, self._check_queues)

    def run(self) -> None:
        """Run until all jobs have ended."""
        self.timeline.run(replay_load.DURATION_S + 10)

    def _schedule(self, fault: replay_load.Fault) -> None:
        shard = self.shards[fault.zone]
        worker = list(shard.agents.values())[fault.worker]
        self.timeline.at(fault.starts_at, lambda: worker.set_fault(fault.how))
        self.timeline.at(fault.ends_at, lambda: worker.set_fault(''))

    def _repeat(self, interval_s: float, action: Any) -> None:
        def event() -> None:  # noqa: WPS430
            action()
            self.timeline.at(self.timeline.clock.now() + interval_s, event)

        self.timeline.at(interval_s, event)

    def _report_capacities(self) -> None:
        now = self.timeline.clock.now()
        for zone, shard in self.shards.items():
            reported = shard.scheduler.report_free_capacity(now)
            for other in self.shards.values():
                if other is not shard:
                    other.capacities.update(ids.ShardId(zone), reported, now)

    def _tick(self) -> None:
        for shard in self.shards.values():
            shard.tick()

    def _check_queues(self) -> None:
        now = self.timeline.clock.now()
        for shard in self.shards.values():
            shard.scheduler.check_queue(now)


def summarize(clients: Sequence[Client]) -> Iterator[tuple[str, float]]:
    """Yield names and values of the rows of the table."""
    yield 'worth', statistics.mean(client.worth for client in clients)
    yield (
        'refused',
        statistics.mean(
            client.is_refused and not client.worth for client in clients
        ),
    )
    windows: dict[int, list[Client]] = collections.defaultdict(list)
    for client in clients:
        windows[int(client.job.arrives_at / WINDOW_S)].append(client)
    for name, members in _groups(clients):
        yield name, _share_on_time(members)
    yield 'worst window', min(map(_share_on_time, windows.values()))


def _groups(clients: Sequence[Client]) -> Iterator[tuple[str, list[Client]]]:
    """Yield the clients by kind, by size within a kind, and by zone."""
    for kind in replay_load.KINDS:
        members = [client for client in clients if client.job.kind is kind]
        yield kind.name, members
        count = max(1, int(LARGEST_SHARE * len(members)))
        yield f'{kind.name}, most cores', sorted(members, key=_cores)[-count:]
        yield (
            f'{kind.name}, largest tasks',
            sorted(members, key=lambda client: client.job.millicores)[-count:],
        )
    for zone in replay_load.ZONES:
        yield zone, [client for client in clients if client.job.zone == zone]


def _share_on_time(clients: Sequence[Client]) -> float:
    return statistics.mean(client.worth == 1 for client in clients)


def _cores(client: Client) -> int:
    return client.job.millicores * len(client.job.work_s)


def replay_pattern(
    pattern_name: str, variant: Variant, seeds: Sequence[int]
) -> dict[str, float]:
    """Return the mean of each row over the seeds."""
    rows: dict[str, list[float]] = collections.defaultdict(list)
    for seed in seeds:
        replay = Replay(replay_load.PATTERNS[pattern_name], variant, seed)
        replay.run()
        for name, share in summarize(replay.clients):
            rows[name].append(share)
    return {row: statistics.mean(shares) for row, shares in rows.items()}


def main(argv: Sequence[str]) -> None:
    """Print a table for each pattern."""
    parser = argparse.ArgumentParser(prog='replay', description=__doc__)
    parser.add_argument('patterns', nargs='*', default=[])
    parser.add_argument('--seeds', type=int, default=3)
    options = parser.parse_args(argv[1:])
    for pattern_name in options.patterns or replay_load.PATTERNS:
        print(f'## {pattern_name}\n')
        print('| On time | ' + ' | '.join(VARIANTS) + ' |')
        print('|---' * (len(VARIANTS) + 1) + '|')
        columns = [
            replay_pattern(pattern_name, variant, range(options.seeds))
            for variant in VARIANTS.values()
        ]
        for name in columns[0]:
            shares = ' | '.join(f'{column[name]:.3f}' for column in columns)
            print(f'| {name} | {shares} |')
        print(flush=True)


if __name__ == '__main__':
    main(sys.argv)
