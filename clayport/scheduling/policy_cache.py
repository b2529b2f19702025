"""A cache of the placement policy for the jobs that this controller knows."""

from __future__ import annotations

import time

from clayport.jobs.registry import JobRegistry
from clayport.model import Job
from clayport.scaling.catalogue import Catalogue
from clayport.scheduling.policy import Policy
from clayport.settings import Settings


class PolicyCache:
    """Caches the policy, and replaces the policy object only when the policy's decisions change."""

    def __init__(self, *, catalogue: Catalogue, jobs: JobRegistry, settings: Settings) -> None:
        self.catalogue = catalogue
        self.jobs = jobs
        self.settings = settings
        self._policy: Policy | None = None
        self._types: object = None
        self._valid_until = -1e9

    def current(self) -> Policy:
        """Return the policy for all known jobs, including those that ended recently.

        The policy is recomputed when an accepted job is not covered, when the catalogue
        changes, and once per report interval, because jobs end. While its decisions stay the
        same, the same object is returned.
        """
        now = time.monotonic()
        if (
            self._policy is not None
            and now < self._valid_until
            and self._types is self.catalogue.types
        ):
            return self._policy
        found = Policy(
            [
                *(job for job, _ in self.jobs.live.values()),
                *self.jobs.ended_descriptions.values(),
                *self.jobs.classes.values(),
            ],
            self.catalogue.types,
        )
        if self._policy is None or not found.is_equivalent(self._policy):
            self._policy = found
        self._types = self.catalogue.types
        self._valid_until = now + self.settings.cluster.workers.report_s
        return self._policy

    def note_accepted(self, job: Job) -> None:
        """Invalidate the cached policy if it does not cover an accepted job."""
        if self._policy is not None and not self._policy.covers(job):
            self._valid_until = -1e9
