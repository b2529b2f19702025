"""Machines that keep room for large tasks whose class or team lacks some of its fair share."""

from __future__ import annotations

import math

from clayport.model import Job
from clayport.scheduling.policy import LargeTaskReserve
from clayport.scheduling.queueing.shares import AccountKey, account_keys
from clayport.scheduling.requirements import requirements_key
from clayport.scheduling.scheduling_pass import SchedulingPass

# The reserved share of the machines is this multiple of the fair share that is still missing,
# rounded up to steps of 1/RESERVE_STEPS.
RESERVED_SHARE, RESERVE_STEPS = 1.0, 8


class Reserves:
    """Chooses the reserve for classes and teams that found no room for their fair share.

    Without a reserve, a task that needs more of a machine than other tasks would wait forever,
    because smaller tasks take every smaller amount of room as soon as it becomes free.

    Attributes:
        current: The present reserve, if there is one.
        unplaced_jobs: For each class or team that found no room, its first such job.
    """

    def __init__(self) -> None:
        self.current: LargeTaskReserve | None = None
        self.unplaced_jobs: dict[AccountKey, Job] = {}

    def begin_epoch(self) -> None:
        """Start an epoch without a reserve."""
        self.current = None
        self.unplaced_jobs = {}

    def note_unplaced(self, job: Job) -> None:
        """Record that tasks of a job found no room."""
        for account in account_keys(job):
            self.unplaced_jobs.setdefault(account, job)

    def note_placed(self, job: Job) -> None:
        """Record that a search found room for as many tasks of a job as it was made for."""
        for account in account_keys(job):
            self.unplaced_jobs.pop(account, None)

    def update(self, scheduling_pass: SchedulingPass) -> None:
        """Choose the reserve for the next pass, for the class or team that lacks most of its share.

        GPU jobs get no reserve, because the policy keeps room for them.
        """
        self.unplaced_jobs = {
            account: job
            for account, job in self.unplaced_jobs.items()
            if account in scheduling_pass.fair_shares
            and scheduling_pass.fair_shares[account].missing_cpus > 0
        }
        reserve: LargeTaskReserve | None = None
        for account, unplaced_job in self.unplaced_jobs.items():
            owed = scheduling_pass.fair_shares[account]
            if unplaced_job.gpus == 0 and owed.total_cpus > 0:
                share = min(1.0, RESERVED_SHARE * owed.missing_cpus / owed.total_cpus)
                steps = math.ceil(share * RESERVE_STEPS) / RESERVE_STEPS
                if reserve is None or steps > reserve.share:
                    reserve = LargeTaskReserve(
                        unplaced_job, steps, scheduling_pass.policy.fitting_types(unplaced_job)
                    )
        # Postponed groups are tried again when the reserve is another object, so an equal reserve
        # must stay the same object.
        if (
            reserve is None
            or self.current is None
            or reserve.share != self.current.share
            or requirements_key(reserve.job) != requirements_key(self.current.job)
        ):
            self.current = reserve
