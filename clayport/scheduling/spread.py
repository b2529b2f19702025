"""The zones of a job's tasks, and which ones its affinity or anti-affinity still allows."""

from __future__ import annotations

from collections.abc import Iterable

from clayport.model import Job


class Spread:
    """The zones in which a job's tasks are, and which it may still use.

    Tasks whose zone isn't known (their machine has not been seen since a
    restart) count against every zone, since they may be in any.

    Attributes:
        unknown: How many tasks are in a zone that isn't known.
        counts: How many tasks are in each zone.
    """

    def __init__(self, job: Job, zones: Iterable[str | None]) -> None:
        self.job = job
        self.unknown = 0
        self.counts: dict[str, int] = {}
        for zone in zones:
            self.add(zone)

    def copy(self) -> Spread:
        """Return a copy that can be changed on its own."""
        other = Spread(self.job, ())
        other.unknown, other.counts = self.unknown, dict(self.counts)
        return other

    def add(self, zone: str | None, count: int = 1) -> None:
        """Count so many more tasks in the zone (None: it isn't known)."""
        if zone is None:
            self.unknown += count
        else:
            self.counts[zone] = self.counts.get(zone, 0) + count

    def allows(self, zone: str) -> bool:
        """Whether one more task may be put into the zone."""
        if self.job.one_zone and (self.unknown or any(z != zone for z in self.counts)):
            return False
        if self.job.spread:
            limit = (self.job.tasks + 1) // 2
            return self.counts.get(zone, 0) + self.unknown < limit
        return True
