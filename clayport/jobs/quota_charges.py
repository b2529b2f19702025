"""Charges a team's quota in the transactions that start and end the tasks of its jobs."""

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
    """A new value for the record of a team's quota usage.

    Attributes:
        value: The CPUs (`c`) and GPUs (`g`) in use after the transaction.
        rev: The revision of the record that the value replaces; 0 if there is none.
    """

    value: dict[str, float]
    rev: int


# Quota usage is rounded to `DECIMALS` places, and may exceed a limit by `TOLERANCE` because of the
# rounding.
DECIMALS = 6
TOLERANCE = 1e-6

# The charges of a transaction by record key; empty if the team's usage is not recorded.
Charges = dict[str, QuotaCharge]


class QuotaCharger:
    """Charges a team's quota for assigned tasks, and credits it for ended ones.

    The same transaction assigns or ends the tasks and changes the quota's record, so the
    recorded usage can't drift from the actual one.
    """

    def __init__(self, *, jobs: JobRegistry, quotas: TeamQuotas, store: StateStore) -> None:
        self.jobs = jobs
        self.quotas = quotas
        self.store = store

    async def charge(self, job: Job, count: int) -> Charges | None:
        """Read a team's quota usage and compute its change; nothing is written.

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
        """Cache the quota usage that a committed transaction has written.

        Args:
            charges: The charges of the transaction.
            rev: The revision of the commit.
        """
        for key, charge in charges.items():
            self.jobs.quota_usage[key.partition("/")[2]] = (
                parse_quota(charge.value),
                rev,
                time.monotonic(),
            )


def add_charges(txn: Txn, charges: Charges) -> None:
    """Add charges to a transaction, conditional on the revisions of their records."""
    for key, (value, rev) in charges.items():
        txn.require(key, rev).put(key, value)
