"""The state service's protocol. It decides nothing: outcomes are handed on."""

from __future__ import annotations

import random
import time
from collections.abc import Awaitable, Callable, Iterable
from typing import TYPE_CHECKING, Any

import curio
import msgspec

from clayport.limits import Budget, Circuit, Deadline, Gate, GateClosedError, Inflight, Retries
from clayport.transport import http

if TYPE_CHECKING:
    from clayport.rebuild.history import History

# How far what users and replicas wait for may go ahead of the queue (the service allows
# bursts of a whole second's worth), how far cancellations may, which have a limit of their
# own, and how far the few requests that keep our lease and the epoch may.
URGENT_S, CANCEL_S, LEASE_S = 0.5, 1.0, 5.0


# Retries that each first try earns, and the share of this controller's requests that all
# who ask again may make together, whatever is out.
RETRIES, AGAIN = 0.1, 0.2
# Requests on their way at a time: as many as are answered in a twentieth of a second at the
# full rate to begin with, never fewer than keep the work going.
START_S, FLYING_LEAST = 0.05, 4


class StateStoreError(Exception):
    """A request to the state service did not do what was asked of it."""


class UnavailableError(StateStoreError):
    """Not executed: refused by the service, or never sent. `after_s`: when it may be worth
    coming back, where that is known."""

    def __init__(self, why: str, after_s: float = 0.0) -> None:
        super().__init__(why)
        self.after_s = after_s


class OutcomeUnknownError(StateStoreError):
    """No answer: it may have been executed, or may still be."""


class ConflictError(StateStoreError):
    """A condition did not hold; nothing was changed."""

    def __init__(self, failed: list[str]) -> None:
        super().__init__(", ".join(failed))
        self.failed = failed


class TransactionTooLargeError(UnavailableError):
    """Refused for what it is, and not executed: larger than the service takes by now."""


class NoLeaseError(StateStoreError):
    """The lease that a write names has ended."""


class CompactedError(StateStoreError):
    """The watch starts too far back; the keys have to be read again."""


class Entry(msgspec.Struct):
    """A key as the service holds it."""

    key: str
    value: Any = msgspec.field(name="data")
    rev: int = msgspec.field(name="key_rev")


class _Page(msgspec.Struct):
    items: list[Entry] = msgspec.field(name="pairs")
    rev: int = msgspec.field(name="store_rev")
    more: bool = False


class Change(msgspec.Struct):
    """One change of a watch: a write, or a removal."""

    rev: int = msgspec.field(name="key_rev")
    put: str | None = msgspec.field(name="write", default=None)
    delete: str | None = msgspec.field(name="remove", default=None)
    value: Any = msgspec.field(name="data", default=None)


class _Log(msgspec.Struct):
    rev: int = msgspec.field(name="store_rev")
    events: list[Change] = msgspec.field(name="log", default_factory=list)


class _Failed(msgspec.Struct):
    failed: list[str] = []


class _Revision(msgspec.Struct):
    rev: int = msgspec.field(name="store_rev")


class _Shown(msgspec.Struct):
    """The revision of the store, in whichever answer carries one."""

    rev: int = msgspec.field(name="store_rev", default=0)


class _Lease(msgspec.Struct):
    id: int = msgspec.field(name="hold")


class Txn:
    """A transaction under construction."""

    def __init__(self) -> None:
        self.when: dict[str, int] = {}
        self.writes: list[dict[str, Any]] = []

    def require(self, key: str, rev: int) -> Txn:
        self.when[key] = rev
        return self

    def put(self, key: str, value: Any, lease: int | None = None) -> Txn:
        write: dict[str, Any] = {"write": key, "data": value}
        if lease is not None:
            write["hold"] = lease
        self.writes.append(write)
        return self

    def delete(self, key: str) -> Txn:
        self.writes.append({"remove": key})
        return self


class Bucket:
    """This controller's share of a budget, so that nobody is answered 429."""

    def __init__(self, rate: float, now: float) -> None:
        self.rate, self.level, self.at = rate, rate, now

    def delay(self, amount: float, now: float, ahead_s: float = 0.0) -> float:
        """Take `amount`; how long to wait before it may be used.

        What is urgent goes ahead of what waits already, by `ahead_s` seconds' worth.
        """
        self.level = min(self.rate, self.level + (now - self.at) * self.rate)
        self.at = now
        self.level -= amount
        return max(0.0, -self.level / self.rate - ahead_s)

    def backlog(self, now: float, ahead_s: float = 0.0) -> float:
        """Seconds that something would have to wait, without taking anything."""
        level = min(self.rate, self.level + (now - self.at) * self.rate)
        return max(0.0, -level / self.rate - ahead_s)

    def give_back(self, amount: float) -> None:
        """What was taken is not used after all."""
        self.level += amount


class StateStore:
    """Requests to the state service, paced to this controller's share."""

    def __init__(
        self,
        host: str,
        port: int,
        rps: float,
        write_rps: float,
        timeout_s: float,
        controllers: int,
        uniform: Callable[[float, float], float] = random.uniform,
    ) -> None:
        self.client = http.Client(host, port, keep=8)
        self.watcher = http.Client(host, port, keep=1)
        self.recorder = http.Client(host, port, keep=1)
        self.timeout_s = timeout_s
        self.controllers = controllers
        now = time.monotonic()
        self.rates = rps, write_rps
        self.requests = Bucket(rps * 0.9 / controllers, now)
        self.changes = Bucket(write_rps * 0.9 / controllers, now)
        self.last_ok = now - 3600.0
        self.last_bad = now
        self.sent = 0
        rate = self.requests.rate
        self.gate = Gate(
            Inflight(
                max(FLYING_LEAST, int(START_S * rate)),
                FLYING_LEAST,
                max(2 * FLYING_LEAST, int(rate)),
            ),
            timeout_s,
        )
        # Asked again after a pause like an eighth of the time that a request may take; what
        # waits for the service to come back is woken when it does.
        self.circuit = Circuit(
            Retries(
                timeout_s / 8,
                timeout_s,
                Budget(RETRIES, max(1.0, AGAIN * rate), max(1.0, AGAIN * rate), now),
                uniform,
            )
        )
        self.begin, self.back_off = self.circuit.begin, self.circuit.back_off
        # Where records may be rebuilt: the history that commits rest on, and how the peers
        # are asked what they have seen of it.
        self.history: History | None = None
        self.check_in: Callable[[], Awaitable[None]] | None = None

    @property
    def beside(self) -> int:
        """Conditions that a commit may have beside its own."""
        return 0 if self.history is None else self.history.ANCHORS

    def backlog(self, ahead_s: float = 0.0) -> float:
        """Seconds that a change would have to wait for its turn."""
        now = time.monotonic()
        return max(self.requests.backlog(now, ahead_s), self.changes.backlog(now, ahead_s))

    @property
    def ok(self) -> bool:
        """Whether the latest answer was one that served."""
        return self.last_ok >= self.last_bad

    async def _call(
        self,
        method: str,
        path: str,
        body: Any = None,
        changes: int = 0,
        deadline: Deadline | None = None,
        ahead_s: float = 0.0,
        doubtful: bool = False,
    ) -> tuple[int, bytes]:
        deadline = deadline or Deadline()
        if self.history is not None and self.history.suspicion and not doubtful:
            raise UnavailableError("the records are in doubt", self.timeout_s)
        now = time.monotonic()
        wait = self.requests.delay(1, now, ahead_s)
        if changes:
            wait = max(wait, self.changes.delay(changes, now, ahead_s))
        if wait > 0 and not deadline.allows(now, wait):
            # A user asks who will have left by then: refused now, so that the queue of
            # those who ask again and again doesn't grow without end.
            self.requests.give_back(1)
            self.changes.give_back(changes)
            raise UnavailableError("too much is asked", wait)
        if wait > 0:
            await curio.sleep(wait)
        raw = None if body is None else msgspec.json.encode(body)
        if ahead_s >= LEASE_S:
            # A lease and the epoch wait for nobody.
            return await self._send(
                method, path, raw, self.timeout_s, self.client, doubtful, changes > 0
            )
        try:
            async with self.gate.passing(ahead_s, deadline) as passage:
                left = deadline.left(time.monotonic(), self.timeout_s)
                if left <= 0:
                    raise GateClosedError("its time is over")
                status, payload = await self._send(
                    method, path, raw, left, self.client, doubtful, changes > 0
                )
                passage.served = True
                return status, payload
        except GateClosedError as exc:
            raise UnavailableError(str(exc), self.timeout_s) from None

    async def _send(
        self,
        method: str,
        path: str,
        raw: bytes | None,
        timeout_s: float,
        client: http.Client,
        doubtful: bool = False,
        wrote: bool = False,
    ) -> tuple[int, bytes]:
        """One exchange, and what it says of the service. With records in doubt only what is
        asked in spite of that (`doubtful`)."""
        name, floor = "", 0
        if self.history is not None and not doubtful:
            if self.history.needs_check_in and self.check_in is not None:
                await self.check_in()
            if self.history.suspicion:
                raise UnavailableError("the records are in doubt", self.timeout_s)
            name, floor = self.history.name, self.history.highest_revision
        self.sent += 1
        try:
            status, payload = await client.request(method, path, raw, timeout_s)
        except http.NotSentError as exc:
            await self._failed()
            raise UnavailableError(str(exc)) from None
        except http.NoAnswerError as exc:
            await self._failed()
            raise OutcomeUnknownError(str(exc)) from None
        if status in (429, 503):
            if status == 503:
                await self._failed()
            raise UnavailableError(f"{status} {path}")
        self.last_ok = time.monotonic()
        await self.circuit.seen(True)
        if self.history is not None and not doubtful and status in (200, 404, 409):
            self._shown(payload, name, floor, wrote and status == 200)
        return status, payload

    def _shown(self, payload: bytes, name: str, floor: int, wrote: bool) -> None:
        """Hold the answer against the history: OutcomeUnknownError if it comes from another, or was
        asked for under one that has ended since."""
        assert self.history is not None
        rev = self._decode(payload, _Shown).rev
        if (
            self.history.name != name
            or rev
            and not self.history.check_revision(rev, floor, wrote)
            or self.history.suspicion
        ):
            raise OutcomeUnknownError("the records are in doubt")

    async def _failed(self) -> None:
        self.last_bad = time.monotonic()
        if self.history is not None:
            self.history.needs_check_in = True
        await self.circuit.seen(False)

    async def _read(
        self, path: str, deadline: Deadline | None = None, doubtful: bool = False
    ) -> tuple[int, bytes]:
        """A read may be repeated: an unanswered one is tried once more."""
        try:
            return await self._call(
                "GET",
                path,
                deadline=deadline and deadline.part(time.monotonic(), 0.5),
                doubtful=doubtful,
            )
        except OutcomeUnknownError:
            return await self._call("GET", path, deadline=deadline, doubtful=doubtful)

    @staticmethod
    def _decode(payload: bytes, kind: Any) -> Any:
        """A malformed answer is an unusable one, never a crash."""
        try:
            return msgspec.json.decode(payload, type=kind)
        except msgspec.MsgspecError as exc:
            raise OutcomeUnknownError(f"malformed answer: {exc}") from None

    async def get(
        self, key: str, deadline: Deadline | None = None, doubtful: bool = False
    ) -> Entry | None:
        status, payload = await self._read(f"/keys/{key}", deadline, doubtful)
        if status == 404:
            return None
        if status != 200:
            raise UnavailableError(f"{status} for {key}")
        entry: Entry = self._decode(payload, Entry)
        return entry

    async def scan(self, prefix: str, doubtful: bool = False) -> tuple[list[Entry], int]:
        """All keys with the prefix, and the revision of the first page."""
        entries: list[Entry] = []
        first, since = 0, ""
        while True:
            path = f"/keys?prefix={prefix}&most=1000" + (f"&since={since}" if since else "")
            status, payload = await self._read(path, doubtful=doubtful)
            if status != 200:
                raise UnavailableError(f"{status} for {prefix}")
            page: _Page = self._decode(payload, _Page)
            first = first or page.rev
            entries += page.items
            if not page.more or not page.items:
                return entries, first
            since = page.items[-1].key

    async def scan_all(
        self,
        prefixes: Iterable[str],
        doubtful: bool = False,
        read: Callable[[str, int], None] = lambda prefix, count: None,
    ) -> tuple[dict[str, tuple[Any, int]], int]:
        """All keys with any of the prefixes (value, revision), and a revision up to which all
        changes are among them; `read` is told how many each prefix has."""
        found: dict[str, tuple[Any, int]] = {}
        revs = []
        for prefix in prefixes:
            entries, rev = await self.scan(prefix, doubtful)
            revs.append(rev)
            found.update({e.key: (e.value, e.rev) for e in entries})
            read(prefix, len(entries))
        return found, min(revs)

    def set_rates(self, rps: float, write_rps: float) -> None:
        """The service's limits have changed; each controller keeps to its share."""
        self.rates = rps, write_rps
        self.shared_by(self.controllers)

    def shared_by(self, controllers: int) -> None:
        """So many controllers use the service now: all, or one while the others stand still."""
        self.requests.rate, self.changes.rate = (r * 0.9 / controllers for r in self.rates)

    async def commit(
        self,
        txn: Txn,
        deadline: Deadline | None = None,
        ahead_s: float = 0.0,
        doubtful: bool = False,
    ) -> int:
        """Apply a transaction; return its revision.

        Raises:
            ConflictError: A condition did not hold; nothing was changed.
            NoLeaseError: The lease that a write names has ended.
            UnavailableError: It was not executed.
            OutcomeUnknownError: It may have been executed.

        It holds in the history that is acted on, and in no other (`rebuild.history`).

        `ahead_s` is for what users and replicas wait for: the outcomes of a job of
        thousands of short tasks once delayed submissions.
        """
        when = (
            txn.when
            if doubtful or self.history is None
            else {**txn.when, **self.history.conditions(txn.when)}
        )
        body: dict[str, Any] = {"when": [{"key": k, "key_rev": r} for k, r in when.items()]}
        if txn.writes:
            body["writes"] = txn.writes
        status, payload = await self._call(
            "POST",
            "/commit",
            body,
            changes=len(txn.writes),
            deadline=deadline,
            ahead_s=ahead_s,
            doubtful=doubtful,
        )
        if status == 200:
            return int(self._decode(payload, _Revision).rev)
        if status == 409:
            failed = self._decode(payload, _Failed).failed
            if self.history is not None and not doubtful and self.history.check_failed_keys(failed):
                raise UnavailableError("the records are in doubt", self.timeout_s)
            raise ConflictError(failed)
        if b"no such lease" in payload:
            raise NoLeaseError
        if status in (400, 413):
            raise TransactionTooLargeError(f"{status} {payload[:200]!r}")
        raise UnavailableError(f"{status} {payload[:200]!r}")

    async def lease(self, ttl_s: float) -> int:
        status, payload = await self._call(
            "POST", "/leases", {"ttl_ms": int(ttl_s * 1000)}, ahead_s=LEASE_S, doubtful=True
        )
        if status != 200:
            raise UnavailableError(f"{status} for a lease")
        return int(self._decode(payload, _Lease).id)

    async def renew(self, lease: int) -> bool:
        """False when the lease has ended."""
        # Never behind users' reads: a controller that many asked once lost its lease.
        status, _ = await self._call(
            "POST", f"/leases/{lease}/touch", {}, ahead_s=LEASE_S, doubtful=True
        )
        return status == 200

    async def watch(
        self, prefix: str, since: int, wait_s: float, apart: bool = False
    ) -> tuple[list[Change], int]:
        """Changes after `since`; an empty list when the time is over. Each kind of watch
        (`apart`: the second) has a connection of its own."""
        path = f"/changes?prefix={prefix}&since={since}&block_ms={int(wait_s * 1000)}"
        pause = self.requests.delay(1, time.monotonic())
        if pause > 0:
            await curio.sleep(pause)
        status, payload = await self._send(
            "GET", path, None, wait_s + self.timeout_s, self.recorder if apart else self.watcher
        )
        if status == 410:
            raise CompactedError
        if status != 200:
            raise UnavailableError(f"{status} for a watch")
        log: _Log = self._decode(payload, _Log)
        return log.events, log.rev


class _Batch:
    """Questions that are answered together."""

    def __init__(self) -> None:
        self.revs: dict[str, int] = {}
        self.changed: set[str] = set()
        self.error: Exception | None = None
        self.over = curio.Event()


class Lookups:
    """Whether keys still have the revisions known here, many of them in one request.

    A question goes with the next request that is sent after it, so the answer is never
    older than the question: as good as a read of its own, and users may ask many times
    as often as usual without taking the requests that the work itself needs.
    """

    def __init__(self, store: StateStore, most: int, timeout_s: float) -> None:
        self.store, self.most, self.timeout_s = store, most, timeout_s
        # A fifth of this controller's requests at most.
        self.pause_s = 5.0 / store.requests.rate
        self.next = _Batch()
        self.asking = False

    async def unchanged(self, key: str, rev: int) -> bool:
        """UnavailableError or OutcomeUnknownError when there is no answer."""
        batch = self.next
        batch.revs[key] = rev
        if not self.asking:
            self.asking = True
            await curio.spawn(self._ask, daemon=True)
        await batch.over.wait()
        if batch.error is not None:
            raise UnavailableError(str(batch.error))
        return key not in batch.changed

    async def _ask(self) -> None:
        try:
            while self.next.revs:
                batch, self.next = self.next, _Batch()
                try:
                    await self._compare(batch)
                except Exception as exc:  # whatever it is, those who wait are to be told
                    batch.error = exc
                finally:
                    await batch.over.set()
                await curio.sleep(self.pause_s)
        finally:
            self.asking = False

    async def _compare(self, batch: _Batch) -> None:
        keys = list(batch.revs)
        most = max(1, self.most - self.store.beside)
        for first in range(0, len(keys), most):
            txn = Txn()
            for key in keys[first : first + most]:
                txn.require(key, batch.revs[key])
            try:
                until = Deadline.within(time.monotonic(), 2 * self.timeout_s)
                try:
                    await self.store.commit(txn, until.part(time.monotonic(), 0.5))
                except OutcomeUnknownError:
                    await self.store.commit(txn, until)
            except ConflictError as exc:
                batch.changed.update(exc.failed)
