"""What one pass of the placer goes by, and what it has found out so far."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

from clayport.model import SERVICE, Job
from clayport.scheduling.index import Index
from clayport.scheduling.policy import LargeTaskReserve, Policy
from clayport.scheduling.queueing.shares import AccountKey, FairShare, account_keys

# How often fair shares are looked up in the time between two heartbeats of a worker.
SHARE_UPDATES_PER_REPORT = 10


@dataclass(slots=True)
class SchedulingPass:
    """What one pass over the waiting jobs goes by, and what it has found out so far.

    Attributes:
        now: The monotonic time of the pass, in seconds.
        index: The free rooms.
        policy: What keeps tasks off machines.
        owed: The fair share of each class or team that is owed one.
        reserve: The machines kept free of smaller work, if any are.
        granted_cpus: The CPUs that tasks were placed on for each class or team since `owed`
            was looked up.
        backfill_cpus_left: By rank, the CPUs that work without an objective may still take
            beside work that cannot preempt it; looked up once such work waits.
        unsatisfied: Groups that found less room than they want, with the index's revision at
            that time.
        starved: Whether work other than backfill is left without room.
        work: Jobs looked at and tasks placed.
    """

    now: float
    index: Index
    policy: Policy
    owed: dict[AccountKey, FairShare]
    reserve: LargeTaskReserve | None
    granted_cpus: dict[AccountKey, float]
    backfill_cpus_left: dict[int, float] = field(default_factory=dict)
    unsatisfied: dict[tuple[object, ...], int] = field(default_factory=dict)
    starved: bool = False
    work: int = 0

    def missing_cpus(self, accounts: Iterable[AccountKey]) -> float:
        """Return the CPUs that the accounts still lack of their fair shares, at most."""
        return max(
            (
                owed.missing - self.granted_cpus.get(account, 0.0)
                for account in accounts
                if (owed := self.owed.get(account)) is not None
            ),
            default=0.0,
        )

    def is_owed(self, job: Job) -> bool:
        """Whether the job's class or team lacks some of its fair share."""
        return job.kind != SERVICE and self.missing_cpus(account_keys(job)) > 0
