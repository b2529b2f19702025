"""Linearizable reads of many keys at a time, by one comparison of their revisions."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

import curio

from clayport.limits import Deadline
from clayport.records.errors import ConflictError, OutcomeUnknownError, UnavailableError
from clayport.records.transaction import Txn

if TYPE_CHECKING:
    from clayport.records.store import StateStore

# Comparisons are sent at least as far apart as this many requests at the controller's rate,
# so that they take a fifth of its requests at most.
REQUESTS_APART = 5.0


class _Batch:
    """Questions that are answered by the same comparison."""

    def __init__(self) -> None:
        self.revs: dict[str, int] = {}
        self.changed: set[str] = set()
        self.error: Exception | None = None
        self.answered = curio.Event()


class Lookups:
    """Whether keys still have the revisions known here, many of them in one request.

    A question goes with the next request that is sent after it, so the answer is never
    older than the question: as good as a read of its own, and users may ask many times
    as often as usual without taking the requests that the work itself needs.

    Args:
        store: The client of the state service.
        most: Conditions that one transaction may have.
        timeout_s: Half of the time that one comparison may take, retry included.
    """

    def __init__(self, store: StateStore, most: int, timeout_s: float) -> None:
        self.store, self.most, self.timeout_s = store, most, timeout_s
        self.pause_s = REQUESTS_APART / store.requests.rate
        self.next = _Batch()
        self.running = False

    async def unchanged(self, key: str, rev: int) -> bool:
        """Return whether the key still has this revision.

        Raises:
            UnavailableError: There was no answer.
        """
        batch = self.next
        batch.revs[key] = rev
        if not self.running:
            self.running = True
            await curio.spawn(self._run, daemon=True)
        await batch.answered.wait()
        if batch.error is not None:
            raise UnavailableError(str(batch.error))
        return key not in batch.changed

    async def _run(self) -> None:
        """Answer batch after batch until nobody asks."""
        try:
            while self.next.revs:
                batch, self.next = self.next, _Batch()
                try:
                    await self._compare(batch)
                except Exception as exc:  # whatever it is, those who wait are to be told
                    batch.error = exc
                finally:
                    await batch.answered.set()
                await curio.sleep(self.pause_s)
        finally:
            self.running = False

    async def _compare(self, batch: _Batch) -> None:
        """Compare a batch's keys, as many in a request as the service allows."""
        keys = list(batch.revs)
        at_a_time = max(1, self.most - self.store.anchor_conditions)
        for first in range(0, len(keys), at_a_time):
            txn = Txn()
            for key in keys[first : first + at_a_time]:
                txn.require(key, batch.revs[key])
            try:
                deadline = Deadline.within(time.monotonic(), 2 * self.timeout_s)
                try:
                    await self.store.commit(txn, deadline.fraction(time.monotonic(), 0.5))
                except OutcomeUnknownError:
                    # A comparison changes nothing, so it may be repeated.
                    await self.store.commit(txn, deadline)
            except ConflictError as exc:
                batch.changed.update(exc.failed)
