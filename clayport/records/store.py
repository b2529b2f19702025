"""The client of the state service, the consensus-backed key-value store that holds all records.

The client only passes outcomes on, as results or as errors of `records.errors`.
`records.paced_client` paces and sends the requests.
"""

from __future__ import annotations

import time
from collections.abc import Callable, Iterable
from typing import Any

import curio

from clayport.limits import Deadline
from clayport.records.errors import (
    CompactedError,
    ConflictError,
    NoLeaseError,
    OutcomeUnknownError,
    TransactionTooLargeError,
    UnavailableError,
)
from clayport.records.messages import (
    Change,
    Entry,
    LeaseAnswer,
    LeaseRequest,
    Page,
    WatchAnswer,
    decode,
)
from clayport.records.paced_client import RECORDS_IN_DOUBT, PacedClient
from clayport.records.rate_limit import (
    LEASE_PRIORITY_S,
)
from clayport.records.transaction import (
    CommitAnswer,
    CommitConflict,
    Txn,
    commit_request,
)

# The most keys that one page of a scan holds.
PAGE_KEYS = 1000


class StateStore(PacedClient):
    """The operations of the state service.

    With `allow_in_doubt`, an operation is executed even while the records are in doubt, without
    conditions and checks on a history.
    """

    async def get(
        self, key: str, deadline: Deadline | None = None, allow_in_doubt: bool = False
    ) -> Entry | None:
        """Return the entry of a key, or None if there is no such key.

        Raises:
            UnavailableError: The request was refused.
            OutcomeUnknownError: There was no usable answer.
        """
        status, payload = await self._read(f"/keys/{key}", deadline, allow_in_doubt)
        if status == 404:
            return None
        if status != 200:
            raise UnavailableError(f"{status} for {key}")
        return decode(payload, Entry)

    async def scan(self, prefix: str, allow_in_doubt: bool = False) -> tuple[list[Entry], int]:
        """Return all entries with the prefix, and the revision of the first page.

        Raises:
            UnavailableError: A page was refused.
            OutcomeUnknownError: There was no usable answer.
        """
        entries: list[Entry] = []
        first_rev, since = 0, ""
        while True:
            path = f"/keys?prefix={prefix}&most={PAGE_KEYS}" + (f"&since={since}" if since else "")
            status, payload = await self._read(path, allow_in_doubt=allow_in_doubt)
            if status != 200:
                raise UnavailableError(f"{status} for {prefix}")
            page = decode(payload, Page)
            first_rev = first_rev or page.rev
            entries += page.items
            if not page.more or not page.items:
                return entries, first_rev
            since = page.items[-1].key

    async def scan_all(
        self,
        prefixes: Iterable[str],
        allow_in_doubt: bool = False,
        read: Callable[[str, int], None] | None = None,
    ) -> tuple[dict[str, tuple[Any, int]], int]:
        """Return all entries with any of the prefixes, and the revision they are complete up to.

        Args:
            prefixes: The prefixes to scan, one after the other.
            allow_in_doubt: Whether to read even while the records are in doubt.
            read: Called with each prefix and the number of its keys.

        Returns:
            Value and revision by key, and a revision up to which all changes are included.

        Raises:
            UnavailableError: A page was refused.
            OutcomeUnknownError: There was no usable answer.
        """
        found: dict[str, tuple[Any, int]] = {}
        revs = []
        for prefix in prefixes:
            entries, rev = await self.scan(prefix, allow_in_doubt)
            revs.append(rev)
            found.update({e.key: (e.value, e.rev) for e in entries})
            if read is not None:
                read(prefix, len(entries))
        return found, min(revs)

    async def commit(
        self,
        txn: Txn,
        deadline: Deadline | None = None,
        priority_s: float = 0.0,
        allow_in_doubt: bool = False,
    ) -> int:
        """Apply a transaction; return its revision.

        Conditions on the anchors make the transaction fail in any history other than the current
        one (`rebuild.history`).

        Args:
            txn: The transaction.
            deadline: The time after which the outcome is of no use.
            priority_s: The priority of the commit. Without priorities, the outcomes of a job with
                thousands of short tasks delay submissions.
            allow_in_doubt: Whether to commit even while the records are in doubt.

        Raises:
            ConflictError: A condition did not hold, and nothing was changed.
            NoLeaseError: The lease that a write names has expired.
            TransactionTooLargeError: The transaction exceeds the service's limits and was not
                executed.
            UnavailableError: The transaction was not executed.
            OutcomeUnknownError: The transaction may have been executed.
        """
        conditions = (
            txn.required_revs
            if allow_in_doubt or self.history is None
            else {**txn.required_revs, **self.history.conditions(txn.required_revs)}
        )
        status, payload = await self.call(
            "POST",
            "/commit",
            commit_request(txn, conditions),
            writes=len(txn.writes),
            deadline=deadline,
            priority_s=priority_s,
            allow_in_doubt=allow_in_doubt,
        )
        if status == 200:
            return decode(payload, CommitAnswer).rev
        if status == 409:
            failed = decode(payload, CommitConflict).failed
            if (
                self.history is not None
                and not allow_in_doubt
                and self.history.check_failed_keys(failed)
            ):
                raise UnavailableError(RECORDS_IN_DOUBT, self.timeout_s)
            raise ConflictError(failed)
        if b"no such lease" in payload:
            raise NoLeaseError
        if status in (400, 413):
            raise TransactionTooLargeError(f"{status} {payload[:200]!r}")
        raise UnavailableError(f"{status} {payload[:200]!r}")

    async def lease(self, ttl_s: float) -> int:
        """Create a lease that expires `ttl_s` after its last renewal; return its number.

        Raises:
            UnavailableError: The request was refused.
            OutcomeUnknownError: There was no usable answer.
        """
        status, payload = await self.call(
            "POST",
            "/leases",
            LeaseRequest(int(ttl_s * 1000)),
            priority_s=LEASE_PRIORITY_S,
            allow_in_doubt=True,
        )
        if status != 200:
            raise UnavailableError(f"{status} for a lease")
        return decode(payload, LeaseAnswer).id

    async def renew(self, lease: int) -> bool:
        """Renew a lease; return False if it has expired.

        Raises:
            UnavailableError: The request was refused.
            OutcomeUnknownError: There was no answer.
        """
        # Renewals precede users' reads, because a controller with many reads to send would
        # otherwise lose its lease.
        status, _ = await self.call(
            "POST", f"/leases/{lease}/touch", {}, priority_s=LEASE_PRIORITY_S, allow_in_doubt=True
        )
        return status == 200

    async def watch(
        self, prefix: str, since: int, wait_s: float, second_connection: bool = False
    ) -> tuple[list[Change], int]:
        """Wait for changes of keys with the prefix after the revision `since`.

        The replica and the snapshot recorder watch over separate connections; `second_connection`
        selects the connection of the recorder.

        Returns:
            The changes (empty if there were none within `wait_s`), and the revision from which to
            watch next.

        Raises:
            CompactedError: The changes after `since` have been compacted.
            UnavailableError: The request was refused.
            OutcomeUnknownError: There was no usable answer.
        """
        path = f"/changes?prefix={prefix}&since={since}&block_ms={int(wait_s * 1000)}"
        pause = self.request_bucket.take_tokens(1, time.monotonic())
        if pause > 0:
            await curio.sleep(pause)
        status, payload = await self.send(
            "GET",
            path,
            None,
            wait_s + self.timeout_s,
            self.snapshot_watch_client if second_connection else self.watch_client,
        )
        if status == 410:
            raise CompactedError
        if status != 200:
            raise UnavailableError(f"{status} for a watch")
        answer = decode(payload, WatchAnswer)
        return answer.events, answer.rev

    async def _read(
        self, path: str, deadline: Deadline | None = None, allow_in_doubt: bool = False
    ) -> tuple[int, bytes]:
        """Send a read request, and once more if unanswered; return status and payload."""
        try:
            return await self.call(
                "GET",
                path,
                deadline=deadline and deadline.fraction(time.monotonic(), 0.5),
                allow_in_doubt=allow_in_doubt,
            )
        except OutcomeUnknownError:
            return await self.call("GET", path, deadline=deadline, allow_in_doubt=allow_in_doubt)
