"""What a controller had told its users and a rebuild by others could not know."""

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
    """Adds live and final records that are missing from a history that was just joined."""

    def __init__(self, parts: RebuildParts, history: History) -> None:
        self.parts, self.history = parts, history

    async def add(self, known: Evidence) -> None:
        """Write what is missing, one record after the other, while the history stands."""
        parts = self.parts
        attempt = parts.store.begin()
        todo = [(name, *row) for name, row in known.live.items() if name not in parts.jobs.ended]
        ends = list(known.ended.items())
        while (todo or ends) and not self.history.suspicion:
            try:
                if todo:
                    name, desc, at = todo[-1]
                    txn = Txn().require(live_key(name), 0).require(end_key(name), 0)
                    txn.put(live_key(name), {"j": desc, "t": at})
                    if not await self._once(txn, "job", name):
                        await parts.lifecycle.learn(name)
                    todo.pop()
                else:
                    name, (status, at, desc) = ends[-1]
                    await self._end(name, status, at, desc)
                    ends.pop()
            except (UnavailableError, OutcomeUnknownError):
                await parts.store.back_off(attempt)

    async def _once(self, txn: Txn, what: str, name: str) -> bool:
        """Write what nobody else had; False if something else is there instead."""
        try:
            await self.parts.store.commit(Txn().require(*next(iter(txn.when.items()))))
        except ConflictError:
            return True  # it is there: one comparison, and no write
        try:
            await self.parts.store.commit(txn)
            log.info("event=late-evidence %s=%s", what, name)
            return True
        except ConflictError:
            return False

    async def _end(self, name: str, status: str, at: float, desc: Any) -> None:
        parts = self.parts
        live = await parts.store.get(live_key(name))
        txn = Txn().require(end_key(name), 0)
        if live is not None:
            txn.require(live_key(name), live.rev).delete(live_key(name))
            desc = live.value["j"]
        await self._once(
            txn.put(
                end_key(name),
                end_value(status, at or time.time(), desc if status == "cancelled" else None),
            ),
            "end",
            name,
        )
