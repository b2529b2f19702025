"""How often work arrives, and the room that is kept for it. Pure: no I/O, no clock."""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Iterable

from clayport.model import SERVICE, Job, MachineType, fits
from clayport.scaling.boot_times import ready_s
from clayport.scaling.demand import Demand

# The share of a service class's replicas for which room is kept: about those of
# a lost machine.
SPARE_REPLICAS = 0.1
# Standard deviations by which a random count stays below nine times in ten.
NINE_IN_TEN = 1.28
# The share of the span over which arrivals are counted that has to pass before
# they are: also the least time that a rate is taken from.
SETTLE = 0.1


class Arrivals:
    """How often tasks of a class arrive, counted over a sliding span.

    Args:
        span_s: The length of the span.
        now: When counting begins.
    """

    def __init__(self, span_s: float, now: float) -> None:
        # What waited for the service to come up arrives in its first moments and says
        # nothing about the rate: the services of the first ten seconds, counted as one,
        # once had every machine rented that there was.
        self.span_s, self.began = span_s, now + SETTLE * span_s
        self.seen: dict[str, deque[tuple[float, Job]]] = {}

    def note(self, job: Job, now: float) -> None:
        """Record the arrival of a job."""
        if now < self.began:
            return
        # Without a bound on their number: one of two hundred made a flood look like less
        # than half of what it was.
        seen = self.seen.setdefault(job.job_class, deque())
        while seen and now - seen[0][0] > self.span_s:
            seen.popleft()
        seen.append((now, job))

    def expected(self, job_class: str, within_s: float, now: float) -> float:
        """Tasks of the class to be expected within the time."""
        seen = self.seen.get(job_class)
        while seen and now - seen[0][0] > self.span_s:
            seen.popleft()
        span = max(min(self.span_s, now - self.began), SETTLE * self.span_s)
        return sum(job.tasks for _, job in seen) / span * within_s if seen else 0.0


def spare_room(
    live: Iterable[Job], arrivals: Arrivals, types: list[MachineType], urgent: set[str], now: float
) -> list[Demand]:
    """The room to keep for work that must start sooner than a machine boots.

    For each class with an objective for its start, that is what is to be expected while a
    machine boots and fetches the image (at the 90th percentile, since arrivals are random);
    for services at least what would have to be started again after the loss of a machine.

    Args:
        live: All jobs that haven't ended.
        arrivals: How often jobs arrive.
        types: The machine types that can be rented.
        urgent: The classes with an objective for their start.
        now: The present time.
    """
    examples: dict[str, Job] = {}
    tasks: dict[str, int] = {}
    for job in live:
        if job.job_class in urgent or job.kind == SERVICE:
            best = examples.get(job.job_class)
            if best is None or (job.cpus, job.memory_gb) > (best.cpus, best.memory_gb):
                examples[job.job_class] = job
            tasks[job.job_class] = tasks.get(job.job_class, 0) + job.tasks
    for name in urgent:
        if name not in examples and arrivals.seen.get(name):
            examples[name] = arrivals.seen[name][-1][1]
    found = []
    for name, job in sorted(examples.items()):
        boots = [ready_s(job, kind) for kind in types if fits(job, kind)]
        mean = arrivals.expected(name, min(boots, default=0.0), now)
        expected = mean + NINE_IN_TEN * math.sqrt(mean)
        lost = SPARE_REPLICAS * tasks.get(name, 0) if job.kind == SERVICE else 0.0
        found.append(Demand(job, max(1, math.ceil(max(expected, lost)))))
    return found
