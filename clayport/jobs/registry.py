"""The registry of jobs: live jobs, ended jobs, and the jobs that this controller leads."""

from __future__ import annotations

from collections import OrderedDict

from clayport.jobs.managed_job import ManagedJob
from clayport.model import Job
from clayport.scheduling.dependencies import DependencyGraph


class JobRegistry:
    """The jobs that this controller knows; does no I/O.

    Attributes:
        dependencies: The graph of jobs and their prerequisites.
        live: Accepted jobs that have not ended, with the urgency that their dependents give
            them, and the revisions of their live records.
        ended: The final states of recently ended jobs, so that users' polls need no read.
        ended_descriptions: Descriptions of ended jobs whose tasks may still be on machines.
        classes: An example job of each class that needs GPUs. The examples are recorded and
            survive restarts, so that no GPU machine is filled with other work, or drained,
            only because no job of the class runs at the moment.
        managed: The jobs that this controller leads in the current epoch.
        quota_usage: Each team's usage as last read: (CPUs, GPUs), the record's revision, and
            the time of the read.
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
        """Forget the jobs that were led, and the quota usage read, in the previous epoch."""
        self.managed = {}
        self.quota_usage.clear()

    def description(self, job: str) -> Job | None:
        """Return the description of a live job, or of an ended job that may have tasks left."""
        known = self.live.get(job)
        return known[0] if known else self.ended_descriptions.get(job)

    def cancelled_for_s(self, job: str, now: float) -> float:
        """Return for how many seconds a job is known to be cancelled; 0 if it is not."""
        status, ended_at = self.dependencies.ends.get(job, ("", now))
        return max(0.0, now - ended_at) if status == "cancelled" else 0.0

    def is_cancelled(self, job: str) -> bool:
        """Return whether a job is known to be cancelled."""
        return self.ended.get(job) == "cancelled"
