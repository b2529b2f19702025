"""Linearizable checks that keys are unchanged, batched into commits without writes."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

import curio

from clayport.limits import Deadline
from clayport.records.errors import ConflictError, OutcomeUnknownError, UnavailableError
from clayport.records.transaction import Txn

if TYPE_CHECKING:
    from clayport.records.store import StateStore

# The pause between two batches lasts as long as this many requests at this controller's rate, so
# that the batches take at most a fifth of the controller's requests.
PAUSE_REQUESTS = 5.0


class _Batch:
    """Keys whose revisions are compared in the same batch."""

    def __init__(self) -> None:
        self.revs: dict[str, int] = {}
        self.changed: set[str] = set()
        self.error: Exception | None = None
        self.answered = curio.Event()


class RevisionChecks:
    """Checks whether keys still have the revisions known here, many keys in one request.

    Each check joins the next batch to be sent, so that its answer is as fresh as that of a
    separate read. Batching keeps a surge of user requests from using up the rate limit that
    scheduling needs.

    Args:
        store: The client of the state service.
        max_conditions: The number of conditions that one transaction may have.
        timeout_s: Half of the time that one comparison may take, including a retry.
    """

    def __init__(self, store: StateStore, max_conditions: int, timeout_s: float) -> None:
        self.store, self.max_conditions, self.timeout_s = store, max_conditions, timeout_s
        self.pause_s = PAUSE_REQUESTS / store.request_bucket.rate
        self.next_batch = _Batch()
        self.running = False

    async def unchanged(self, key: str, rev: int) -> bool:
        """Return whether the key still has this revision.

        Raises:
            UnavailableError: The comparison failed.
        """
        batch = self.next_batch
        batch.revs[key] = rev
        if not self.running:
            self.running = True
            await curio.spawn(self._run, daemon=True)
        await batch.answered.wait()
        if batch.error is not None:
            raise UnavailableError(str(batch.error))
        return key not in batch.changed

    async def _run(self) -> None:
        """Process batches until no key is waiting."""
        try:
            while self.next_batch.revs:
                batch, self.next_batch = self.next_batch, _Batch()
                try:
                    await self._compare(batch)
                except Exception as exc:  # any error is passed on to the waiting callers
                    batch.error = exc
                finally:
                    await batch.answered.set()
                await curio.sleep(self.pause_s)
        finally:
            self.running = False

    async def _compare(self, batch: _Batch) -> None:
        """Compare a batch's keys, with as many in each request as the service allows."""
        keys = list(batch.revs)
        keys_per_request = max(1, self.max_conditions - self.store.anchor_conditions)
        for first in range(0, len(keys), keys_per_request):
            txn = Txn()
            for key in keys[first : first + keys_per_request]:
                txn.require(key, batch.revs[key])
            try:
                deadline = Deadline.within(time.monotonic(), 2 * self.timeout_s)
                try:
                    await self.store.commit(txn, deadline.fraction(time.monotonic(), 0.5))
                except OutcomeUnknownError:
                    # A comparison changes nothing, so the retry is safe.
                    await self.store.commit(txn, deadline)
            except ConflictError as exc:
                batch.changed.update(exc.failed)
