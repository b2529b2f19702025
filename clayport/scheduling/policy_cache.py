"""The policy that holds for the jobs known here, made anew only when they ask for it."""

from __future__ import annotations

import time

from clayport.jobs.registry import JobRegistry
from clayport.model import Job
from clayport.scaling.catalogue import Catalogue
from clayport.scheduling.policy import Policy
from clayport.settings import Settings


class PolicyCache:
    """Keeps the policy as long as it says the same."""

    def __init__(self, *, catalogue: Catalogue, jobs: JobRegistry, settings: Settings) -> None:
        self.catalogue = catalogue
        self.jobs = jobs
        self.settings = settings
        self._policy: Policy | None = None
        self._types: object = None
        self._valid_until = -1e9

    def current(self) -> Policy:
        """Return the policy for all jobs known, those just ended included.

        It is made anew when a job comes that it does not cover, or prices change, and now and
        then, since jobs go; as long as it says the same, it is the same object.
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
        if self._policy is None or not found.same(self._policy):
            self._policy = found
        self._types = self.catalogue.types
        self._valid_until = now + self.settings.cluster.workers.report_s
        return self._policy

    def learn(self, job: Job) -> None:
        """Have the policy made anew if it does not cover a job that has been accepted."""
        if self._policy is not None and not self._policy.covers(job):
            self._valid_until = -1e9
