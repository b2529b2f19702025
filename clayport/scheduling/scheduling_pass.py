"""The inputs and intermediate results of one pass of the placer."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

from clayport.model import SERVICE, Job
from clayport.scheduling.index import Index
from clayport.scheduling.policy import LargeTaskReserve, Policy
from clayport.scheduling.queueing.shares import AccountKey, FairShare, account_keys

# The number of fair share lookups between two heartbeats of a worker.
SHARE_UPDATES_PER_REPORT = 10


@dataclass(slots=True)
class SchedulingPass:
    """The inputs and intermediate results of one pass over the waiting jobs.

    Attributes:
        now: The monotonic time of the pass, in seconds.
        index: The index of the rooms.
        policy: The placement policy.
        fair_shares: The fair share of each class or team that is entitled to one.
        reserve: The machines that have to keep room for a larger task, if any.
        granted_cpus: For each class or team, the CPUs of the tasks placed since `fair_shares` was
            looked up.
        backfill_cpus_left: By rank, the CPUs that jobs without an objective may still take in
            this pass while they could hinder jobs with an objective. The CPUs are looked up when
            the pass reaches the first job without an objective of the rank.
        unsatisfied: Groups that found less room than they want, with the index's revision at
            that time.
        lacks_room: Whether jobs other than backfill are left without room.
        work: The number of jobs considered and tasks placed.
    """

    now: float
    index: Index
    policy: Policy
    fair_shares: dict[AccountKey, FairShare]
    reserve: LargeTaskReserve | None
    granted_cpus: dict[AccountKey, float]
    backfill_cpus_left: dict[int, float] = field(default_factory=dict)
    unsatisfied: dict[tuple[object, ...], int] = field(default_factory=dict)
    lacks_room: bool = False
    work: int = 0

    def missing_cpus(self, accounts: Iterable[AccountKey]) -> float:
        """Return the most CPUs that one of the accounts still lacks of its fair share."""
        return max(
            (
                owed.missing_cpus - self.granted_cpus.get(account, 0.0)
                for account in accounts
                if (owed := self.fair_shares.get(account)) is not None
            ),
            default=0.0,
        )

    def has_fair_share(self, job: Job) -> bool:
        """Return whether the job's class or team lacks some of its fair share."""
        return job.kind != SERVICE and self.missing_cpus(account_keys(job)) > 0
