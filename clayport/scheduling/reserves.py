"""Machines kept free of smaller tasks for large ones that are owed a fair share."""

from __future__ import annotations

import math

from clayport.model import Job
from clayport.scheduling.policy import LargeTaskReserve
from clayport.scheduling.queueing.shares import AccountKey, account_keys
from clayport.scheduling.requirements import shape
from clayport.scheduling.scheduling_pass import SchedulingPass

# Of the machines, how many times the share that is still owed to somebody who found no room
# is kept free of smaller work, in steps of one in so many.
RESERVED_SHARE, RESERVE_STEPS = 1.0, 8


class Reserves:
    """Knows who found no room for its fair share, and what is reserved for it.

    A task that takes more of a machine than the rest would wait for ever, since each smaller
    room that comes free is taken as soon as it is there.

    Attributes:
        current: What is reserved, if anything is.
        unplaced_jobs: For each class or team that found no room, the first such job.
    """

    def __init__(self) -> None:
        self.current: LargeTaskReserve | None = None
        self.unplaced_jobs: dict[AccountKey, Job] = {}

    def begin(self) -> None:
        """Start an epoch: nothing is reserved."""
        self.current = None
        self.unplaced_jobs = {}

    def note_unplaced(self, job: Job) -> None:
        """Note that tasks of a job found no room."""
        for account in account_keys(job):
            self.unplaced_jobs.setdefault(account, job)

    def note_placed(self, job: Job) -> None:
        """Note that all tasks of a job that room was looked for have found it."""
        for account in account_keys(job):
            self.unplaced_jobs.pop(account, None)

    def update(self, scheduling_pass: SchedulingPass) -> None:
        """Choose the reserve for the next pass: for whoever lacks most of its fair share.

        What needs GPUs has them kept free by the policy.
        """
        self.unplaced_jobs = {
            account: job
            for account, job in self.unplaced_jobs.items()
            if account in scheduling_pass.owed and scheduling_pass.owed[account].missing > 0
        }
        reserve: LargeTaskReserve | None = None
        for account, found in self.unplaced_jobs.items():
            owed = scheduling_pass.owed[account]
            if found.gpus == 0 and owed.total > 0:
                share = min(1.0, RESERVED_SHARE * owed.missing / owed.total)
                steps = math.ceil(share * RESERVE_STEPS) / RESERVE_STEPS
                if reserve is None or steps > reserve.share:
                    reserve = LargeTaskReserve(
                        found, steps, scheduling_pass.policy.fitting_types(found)
                    )
        # Postponed groups are looked at again when it changes: while it says the same, it stays
        # the same object.
        if (
            reserve is None
            or self.current is None
            or reserve.share != self.current.share
            or shape(reserve.job) != shape(self.current.job)
        ):
            self.current = reserve
