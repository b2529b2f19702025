"""What a job's transactions change of its team's quota in use."""

from __future__ import annotations

import time
from typing import NamedTuple

from clayport.jobs.eligibility import is_metered, quota_usage
from clayport.jobs.registry import JobRegistry
from clayport.model import Job
from clayport.records.keys import quota_key
from clayport.records.store import StateStore
from clayport.records.transaction import Txn
from clayport.records.values import parse_quota
from clayport.scheduling.quotas import TeamQuotas


class QuotaCharge(NamedTuple):
    """A new value of the record of a team's quota in use.

    Attributes:
        value: The CPUs (`c`) and GPUs (`g`) in use after the transaction.
        rev: The revision of the record that it replaces, 0 if there is none.
    """

    value: dict[str, float]
    rev: int


# Decimal places to which quotas in use are rounded, and how far that may take them past a limit.
DECIMALS = 6
TOLERANCE = 1e-6

# The charges of a transaction by the keys of their records; empty where nothing is metered.
Charges = dict[str, QuotaCharge]


class QuotaCharger:
    """Charges a team's quota for tasks that are assigned, and gives back for those that end.

    The quota is changed by the very transaction that assigns or ends the
    tasks, so it can't drift from what they take.
    """

    def __init__(self, *, jobs: JobRegistry, quotas: TeamQuotas, store: StateStore) -> None:
        self.jobs = jobs
        self.quotas = quotas
        self.store = store

    async def charge(self, job: Job, count: int) -> Charges | None:
        """Read the quota in use and work out its change; nothing is written.

        Args:
            job: The job.
            count: How many of its tasks are assigned; negative for tasks that end.

        Returns:
            The charges, or None if the tasks would exceed the team's limit.

        Raises:
            UnavailableError: The state service doesn't answer.
        """
        limit = self.quotas.limits.get(job.team, (0.0, 0.0))
        cpus, gpus = quota_usage(job, count)
        if not is_metered(limit, cpus, gpus):
            return {}
        key = quota_key(job.team)
        entry = await self.store.get(key)
        used = parse_quota(entry.value if entry else None)
        rev = entry.rev if entry else 0
        self.jobs.quota_usage[job.team] = (used, rev, time.monotonic())
        after = (round(used[0] + cpus, DECIMALS), round(used[1] + gpus, DECIMALS))
        if count > 0 and (
            (0 < limit[0] < after[0] - TOLERANCE) or (0 < limit[1] < after[1] - TOLERANCE)
        ):
            return None
        return {key: QuotaCharge({"c": max(0.0, after[0]), "g": max(0.0, after[1])}, rev)}

    def note_commit(self, charges: Charges, rev: int) -> None:
        """Remember the quota in use as a transaction has left it.

        Args:
            charges: The charges of the transaction.
            rev: The revision that it was committed at.
        """
        for key, charge in charges.items():
            self.jobs.quota_usage[key.partition("/")[2]] = (
                parse_quota(charge.value),
                rev,
                time.monotonic(),
            )


def add_charges(txn: Txn, charges: Charges) -> None:
    """Make a transaction write charges, on condition that their records haven't changed."""
    for key, (value, rev) in charges.items():
        txn.require(key, rev).put(key, value)
