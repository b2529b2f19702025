"""The jobs that this controller knows of: live, ended, and those that it schedules itself."""

from __future__ import annotations

from collections import OrderedDict

from clayport.jobs.managed_job import ManagedJob
from clayport.model import Job
from clayport.scheduling.dependencies import DependencyGraph


class JobRegistry:
    """All jobs known here. Free of I/O.

    Attributes:
        dependencies: Which jobs wait for which others.
        live: Accepted jobs that have not ended, as they are to be scheduled, with the
            revisions of their records.
        ended: The final states of jobs that ended lately, so that polls need no read.
        ended_descriptions: Descriptions of ended jobs that may still be on machines.
        classes: One job of each class that needs GPUs, remembered over restarts: a machine
            must not be filled, or emptied, because none of them runs at the moment.
        managed: The jobs that this controller leads in the present epoch.
        quota_usage: A team's use as last read: (CPUs, GPUs), the record's revision, and when
            it was read.
    """

    def __init__(self, dependencies: DependencyGraph) -> None:
        self.dependencies = dependencies
        self.live: dict[str, tuple[Job, int]] = {}
        self.ended: OrderedDict[str, str] = OrderedDict()
        self.ended_descriptions: dict[str, Job] = {}
        self.classes: dict[str, Job] = {}
        self.managed: dict[str, ManagedJob] = {}
        self.quota_usage: dict[str, tuple[tuple[float, float], int, float]] = {}

    def begin_epoch(self) -> None:
        """Forget what was led in the epoch before."""
        self.managed = {}
        self.quota_usage.clear()

    def description(self, job: str) -> Job | None:
        """The description of a live job, or of an ended one that may be on machines."""
        known = self.live.get(job)
        return known[0] if known else self.ended_descriptions.get(job)

    def is_cancelled(self, job: str) -> bool:
        """Whether a job is known to be cancelled."""
        return self.ended.get(job) == "cancelled"
