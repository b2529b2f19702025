"""Adds the records that a rebuild by other controllers could not know.

A controller that was disconnected during the rebuild may have told its users that jobs were
accepted or have ended, although no other evidence contains these records.
"""

from __future__ import annotations

import logging
import time
from typing import TYPE_CHECKING, Any

from clayport.rebuild.evidence import Evidence
from clayport.rebuild.history import History
from clayport.records.errors import ConflictError, OutcomeUnknownError, UnavailableError
from clayport.records.keys import end_key, live_key
from clayport.records.transaction import Txn
from clayport.records.values import end_value

if TYPE_CHECKING:
    from clayport.rebuild.ports import RebuildParts

log = logging.getLogger(__name__)


class LateEvidence:
    """Adds live and final records that are missing from a history after joining it."""

    def __init__(self, controller: RebuildParts, history: History) -> None:
        self.controller, self.history = controller, history

    async def add(self, known: Evidence) -> None:
        """Write the missing records one by one; stop if the history becomes suspect."""
        controller = self.controller
        attempt = controller.store.begin_request()
        live_jobs = [
            (name, *row) for name, row in known.live.items() if name not in controller.jobs.ended
        ]
        final_records = list(known.ended.items())
        while (live_jobs or final_records) and not self.history.suspicion:
            try:
                if live_jobs:
                    name, description, at = live_jobs[-1]
                    txn = Txn().require(live_key(name), 0).require(end_key(name), 0)
                    txn.put(live_key(name), {"j": description, "t": at})
                    if not await self._write_if_absent(txn, "job", name):
                        await controller.lifecycle.read_end(name)
                    live_jobs.pop()
                else:
                    name, (status, at, description) = final_records[-1]
                    await self._add_final(name, status, at, description)
                    final_records.pop()
            except (UnavailableError, OutcomeUnknownError):
                await controller.store.back_off(attempt)

    async def _write_if_absent(self, txn: Txn, kind: str, name: str) -> bool:
        """Commit a transaction whose first condition is that a key doesn't exist.

        Returns:
            False if the key doesn't exist, but another condition of the transaction fails.
        """
        try:
            await self.controller.store.commit(
                Txn().require(*next(iter(txn.required_revs.items())))
            )
        except ConflictError:
            return True  # The record exists; checking a condition alone costs no write.
        try:
            await self.controller.store.commit(txn)
            log.info("event=late-evidence %s=%s", kind, name)
            return True
        except ConflictError:
            return False

    async def _add_final(self, name: str, status: str, at: float, description: Any) -> None:
        controller = self.controller
        live = await controller.store.get(live_key(name))
        txn = Txn().require(end_key(name), 0)
        if live is not None:
            txn.require(live_key(name), live.rev).delete(live_key(name))
            description = live.value["j"]
        await self._write_if_absent(
            txn.put(
                end_key(name),
                end_value(
                    status, at or time.time(), description if status == "cancelled" else None
                ),
            ),
            "end",
            name,
        )
