"""The zones of a job's tasks, and the zones that its affinity or anti-affinity still allows."""

from __future__ import annotations

from collections.abc import Iterable

from clayport.model import Job


class Spread:
    """The zones of a job's tasks, and the constraint on further zones.

    The zone of a task is unknown if its machine has not reported since a restart. Such a task
    counts against every zone, because it may be in any of them.

    Attributes:
        unknown: The number of tasks whose zone is unknown.
        counts: The number of tasks in each zone.
    """

    def __init__(self, job: Job, zones: Iterable[str | None]) -> None:
        self.job = job
        self.unknown = 0
        self.counts: dict[str, int] = {}
        for zone in zones:
            self.add(zone)

    def copy(self) -> Spread:
        """Return an independent copy."""
        other = Spread(self.job, ())
        other.unknown, other.counts = self.unknown, dict(self.counts)
        return other

    def add(self, zone: str | None, count: int = 1) -> None:
        """Count `count` more tasks in the zone (None: unknown)."""
        if zone is None:
            self.unknown += count
        else:
            self.counts[zone] = self.counts.get(zone, 0) + count

    def allows(self, zone: str) -> bool:
        """Return whether one more task may be placed in the zone."""
        if self.job.one_zone and (self.unknown or any(z != zone for z in self.counts)):
            return False
        if self.job.spread:
            limit = (self.job.tasks + 1) // 2
            return self.counts.get(zone, 0) + self.unknown < limit
        return True
