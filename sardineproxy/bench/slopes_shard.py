"""Slopes of the scheduler of a shard: waiting jobs and workers.

All workers are full and a constant number of jobs waits. The cost is that of
one task from its submission to its end, without orders and network.
"""

import collections
import itertools
from typing import Any

from sardineproxy import ids
from sardineproxy.bench import replay_load, replay_shard, slopes_fit
from sardineproxy.connection import messages
from sardineproxy.process.shards import times

WAITING_COUNTS = (10, 100, 1000)
WORKER_COUNTS = (8, 64, 256)

#: Workers and waiting jobs while the other one varies.
WORKERS = 32
WAITING = 100

#: Tasks for each measurement, and before it.
TASK_COUNT = 2000
WARM_UP_COUNT = 500

#: Sizes of the tasks in turn, so that some do not fit into a gap.
TASK_MILLICORES = (8_000, 5_000, 12_000, 7_000)
RUN_S = 0.2

#: Time limit that is so long that no task is late.
NO_LIMIT_S = 3600.0


def measure(out: slopes_fit.Report) -> None:
    """Print the slopes with and without look-ahead placement."""
    for name, is_on in (('shard', False), ('shard.lookahead', True)):
        _add_slopes(out, name, times.ShardTiming(lookahead=is_on))


def _add_slopes(
    out: slopes_fit.Report, name: str, cfg: times.ShardTiming
) -> None:
    out.add(
        slopes_fit.measure_slope(
            f'{name}.by_waiting',
            'us/task/waiting job',
            lambda count: _time_task(count, WORKERS, cfg),
            WAITING_COUNTS,
            repeats=3,
        )
    )
    out.add(
        slopes_fit.measure_slope(
            f'{name}.by_worker',
            'us/task/worker',
            lambda count: _time_task(WAITING, count, cfg),
            WORKER_COUNTS,
            repeats=3,
        )
    )


class _Load:
    """Submits a new job whenever a task has ended."""

    def __init__(self, worker_count: int, cfg: times.ShardTiming) -> None:
        self._numbers = itertools.count()
        job = replay_load.Job(
            name='job',
            kind=replay_load.KINDS[0],
            zone=replay_load.ZONES[0],
            arrives_at=0,
            millicores=TASK_MILLICORES[0],
            estimate_s=RUN_S,
            work_s=(RUN_S,),
            patience_s=NO_LIMIT_S,
        )
        self.timeline = replay_shard.Timeline()
        self.shard = replay_shard.ReplayShard(
            zone=replay_load.ZONES[0],
            timeline=self.timeline,
            jobs_by_name=collections.defaultdict(lambda: job),
            cfg=cfg,
            exact=True,
            worker_count=worker_count,
        )
        self.ended_count = 0
        self._until = float(0)

    def send(self, message: Any) -> None:
        """Receive a message of the shard, as a link does."""
        self.ended_count += 1
        self.timeline.at(self.timeline.clock.now(), self.submit)

    def submit(self) -> None:
        """Submit a job with one task."""
        number = next(self._numbers)
        self.shard.submit(
            messages.Submit(
                shard=ids.ShardId(self.shard.zone),
                job=ids.JobId(f'job{number}'),
                step=0,
                route=ids.RouteId('route'),
                service=ids.ServiceId('service'),
                priority=0,
                payload='',
                tasks=((0, 1),),
                millicores=TASK_MILLICORES[number % len(TASK_MILLICORES)],
                memory_mb=1,
                gpus=0,
                requires='',
                rack='',
                per_worker=0,
                estimate_s=RUN_S,
                age_s=0,
                timeout_s=NO_LIMIT_S,
                stretch=1,
                slack_s=NO_LIMIT_S,
                resumed=False,
                job_started=False,
                pinned=True,
                stored=False,
            ),
            self,
        )

    def run(self, task_count: int) -> None:
        """Run until this many more tasks have ended."""
        until = self.ended_count + task_count
        while self.ended_count < until:
            self._until += RUN_S / 4
            self.timeline.run(self._until)
            self.shard.scheduler.check_queue(self.timeline.clock.now())


def _time_task(
    waiting_count: int, worker_count: int, cfg: times.ShardTiming
) -> float:
    """Return the CPU time of a task, in microseconds."""
    load = _Load(worker_count, cfg)
    while load.shard.scheduler.waiting_count < waiting_count:
        load.submit()
    load.run(WARM_UP_COUNT)
    cpu_us = slopes_fit.measure_cpu_us(lambda: load.run(TASK_COUNT))
    return cpu_us / TASK_COUNT
