"""Arrival rates of tasks, and the spare room kept for arrivals.

This module does no I/O and reads no clock.
"""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Iterable

from clayport.model import SERVICE, Job, MachineType, fits
from clayport.scaling.boot_times import ready_s
from clayport.scaling.demand import Demand

# The share of a service class's replicas for which spare room is kept. About as many replicas run
# on one machine, and they can restart at once in the spare room when that machine is lost.
SPARE_REPLICA_SHARE = 0.1
# Standard deviations above the mean of a normal distribution's 90th percentile.
P90_DEVIATIONS = 1.28
# The part of the window during which arrivals are not counted after the scheduler starts. A rate
# is never computed over a shorter time than this.
WARMUP_SHARE = 0.1


class ArrivalRates:
    """Arrivals of tasks by job class, counted over a sliding window.

    Args:
        window_s: The length of the window.
        now: The present time; counting begins `WARMUP_SHARE` of the window later.

    Attributes:
        jobs_by_class: For each job class, the jobs that arrived within the window, with their
            times.
    """

    def __init__(self, window_s: float, now: float) -> None:
        # Jobs that were held back while the scheduler was down arrive together right after
        # its start. A rate taken from the first ten seconds would make the provisioner rent
        # every machine that the cloud offers.
        self.window_s, self.counts_from = window_s, now + WARMUP_SHARE * window_s
        self.jobs_by_class: dict[str, deque[tuple[float, Job]]] = {}

    def record(self, job: Job, now: float) -> None:
        """Record the arrival of a job."""
        if now < self.counts_from:
            return
        # The number of entries is not bounded: with a bound of 200, the rate of a large burst
        # came out at less than half of its true value.
        seen = self.jobs_by_class.setdefault(job.job_class, deque())
        while seen and now - seen[0][0] > self.window_s:
            seen.popleft()
        seen.append((now, job))

    def expected_tasks(self, job_class: str, within_s: float, now: float) -> float:
        """Return the expected number of tasks of the class that arrive within `within_s`."""
        seen = self.jobs_by_class.get(job_class)
        while seen and now - seen[0][0] > self.window_s:
            seen.popleft()
        span = max(min(self.window_s, now - self.counts_from), WARMUP_SHARE * self.window_s)
        return sum(job.tasks for _, job in seen) / span * within_s if seen else 0.0


def spare_room(
    live: Iterable[Job],
    arrivals: ArrivalRates,
    types: list[MachineType],
    urgent: set[str],
    now: float,
) -> list[Demand]:
    """Return the expected demand that has to start sooner than a newly rented machine boots.

    Spare room is kept for this demand. For each class with an objective for its start time, the
    demand is the 90th percentile of the tasks that arrive while a machine boots and fetches the
    image. For services the demand covers at least the replicas that have to restart when a machine
    is lost.

    Args:
        live: All jobs that haven't ended.
        arrivals: The recent arrivals.
        types: The machine types that can be rented.
        urgent: The classes with an objective for their start time.
        now: The present time.
    """
    representatives: dict[str, Job] = {}
    tasks: dict[str, int] = {}
    for job in live:
        if job.job_class in urgent or job.kind == SERVICE:
            best = representatives.get(job.job_class)
            if best is None or (job.cpus, job.memory_gb) > (best.cpus, best.memory_gb):
                representatives[job.job_class] = job
            tasks[job.job_class] = tasks.get(job.job_class, 0) + job.tasks
    for name in urgent:
        if name not in representatives and arrivals.jobs_by_class.get(name):
            representatives[name] = arrivals.jobs_by_class[name][-1][1]
    found = []
    for name, job in sorted(representatives.items()):
        ready_times_s = [
            ready_s(job, machine_type) for machine_type in types if fits(job, machine_type)
        ]
        mean = arrivals.expected_tasks(name, min(ready_times_s, default=0.0), now)
        expected = mean + P90_DEVIATIONS * math.sqrt(mean)
        lost = SPARE_REPLICA_SHARE * tasks.get(name, 0) if job.kind == SERVICE else 0.0
        found.append(Demand(job, max(1, math.ceil(max(expected, lost)))))
    return found
