"""Checks whether a submitted job can wait for the prerequisites that it names."""

from __future__ import annotations

from collections.abc import Sequence

from clayport.jobs.registry import JobRegistry
from clayport.limits import Deadline
from clayport.model import SERVICE
from clayport.records.errors import ConflictError
from clayport.records.keys import end_key, live_key
from clayport.records.store import StateStore
from clayport.records.transaction import Txn
from clayport.records.upgrade import UpgradeState


class PrerequisiteCheck:
    """Finds prerequisites that were never accepted, and services, which are never done."""

    def __init__(self, *, jobs: JobRegistry, store: StateStore, upgrade: UpgradeState) -> None:
        self.jobs = jobs
        self.store = store
        self.upgrade = upgrade

    async def find_rejection_reason(self, names: Sequence[str], deadline: Deadline) -> str:
        """Return why a job can't wait for the jobs `names`; empty if it can.

        The state service is asked about jobs that are not known here, because another controller
        may have accepted them, and the watch of this controller may lag behind.

        Raises:
            UnavailableError: The state service has not answered.
            OutcomeUnknownError: The state service has not answered a transaction that was sent.
        """
        unknown = []
        for name in dict.fromkeys(names):
            known = self.jobs.live.get(name)
            if known is None and name not in self.jobs.ended:
                unknown.append(name)
            elif known is not None and known[0].kind == SERVICE:
                return f"{name} is a service"
        # A transaction that requires the absence of many records checks all of them in one
        # request, because the conflict names the records that exist.
        batch_size = max(1, self.upgrade.limits.txn_ops * 2 - self.store.anchor_conditions)
        for first in range(0, len(unknown), batch_size):
            fault = await self._find_fault_in_records(unknown[first : first + batch_size], deadline)
            if fault:
                return fault
        return ""

    async def _find_fault_in_records(self, names: list[str], deadline: Deadline) -> str:
        """Return the fault that the records of one batch of jobs show; empty if there is none."""
        txn = Txn()
        for name in names:
            txn.require(live_key(name), 0).require(end_key(name), 0)
        try:
            await self.store.commit(txn, deadline)
            return f"{names[0]} was never accepted"
        except ConflictError as exc:
            for name in names:
                if end_key(name) in exc.failed:
                    continue
                if live_key(name) not in exc.failed:
                    return f"{name} was never accepted"
                entry = await self.store.get(live_key(name), deadline)
                if entry is not None and entry.value["j"]["shape"] == SERVICE:
                    return f"{name} is a service"
        return ""
