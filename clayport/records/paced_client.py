"""Paced requests to the state service, each answer held against the records' history.

Requests wait for their turn by rate limit and priority, then for a place among those in
flight; what fails is noted for whoever retries. `records.store` has the operations.
"""

from __future__ import annotations

import random
import time
from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING, Any

import curio
import msgspec

from clayport.limits import (
    Circuit,
    ConcurrencyLimit,
    Deadline,
    Gate,
    GateClosedError,
    RetryBudget,
    RetryPolicy,
)
from clayport.records.errors import OutcomeUnknownError, UnavailableError
from clayport.records.messages import StoreRevision, decode
from clayport.records.rate_limit import LEASE_PRIORITY_S, TokenBucket
from clayport.transport import http

if TYPE_CHECKING:
    from clayport.rebuild.history import History

# The share of the service's limits that all controllers together use.
RATE_SHARE = 0.9
# Retries that each first try earns.
RETRIES_PER_REQUEST = 0.1
# The share of this controller's requests that all its retries may make together.
RETRY_RATE_SHARE = 0.2
# Retries pause for this share of a request's timeout at first, and for all of it at most.
FIRST_PAUSE_SHARE = 1 / 8
# Requests in flight: to begin with, as many as are sent in these seconds at the full rate; at
# most, as many as in a second; and never fewer than keep the work going.
INITIAL_IN_FLIGHT_S = 0.05
MIN_IN_FLIGHT = 4
# Keep-alive connections for requests. Each of the two watches has one of its own.
CONNECTIONS = 8
# How long before the start the service counts as having last answered.
NEVER_ANSWERED_S = 3600.0

RECORDS_IN_DOUBT = "the records are in doubt"


def _gate(rate: float, timeout_s: float) -> Gate:
    """Return the gate that bounds the requests in flight of a client with this rate."""
    return Gate(
        ConcurrencyLimit(
            max(MIN_IN_FLIGHT, int(INITIAL_IN_FLIGHT_S * rate)),
            MIN_IN_FLIGHT,
            max(2 * MIN_IN_FLIGHT, int(rate)),
        ),
        timeout_s,
    )


def _circuit(
    rate: float, timeout_s: float, now: float, uniform: Callable[[float, float], float]
) -> Circuit:
    """Return the circuit of a client with this rate.

    Whatever waits for the service to come back is woken as soon as it does.
    """
    retry_rate = max(1.0, RETRY_RATE_SHARE * rate)
    return Circuit(
        RetryPolicy(
            FIRST_PAUSE_SHARE * timeout_s,
            timeout_s,
            RetryBudget(RETRIES_PER_REQUEST, retry_rate, retry_rate, now),
            uniform,
        )
    )


class PacedClient:
    """Sends requests to the state service, paced to this controller's share.

    Requests with `allow_in_doubt` are made even while the records are in doubt, outside of any
    history of the records.

    Args:
        host: The service's host.
        port: The service's port.
        rps: Requests per second that the service takes of all controllers.
        write_rps: Writes per second that the service takes of all controllers.
        timeout_s: How long one request may take.
        controllers: How many controllers share the service.
        uniform: Draws the jitter of retries.

    Attributes:
        requests: The rate limit of requests.
        changes: The rate limit of writes.
        last_served_at: When the service last served a request, in seconds on the monotonic clock.
        last_failed_at: When it last failed to.
        history: The history that commits rest on, where records may be rebuilt.
        check_in: Asks the peers what they have seen of that history.
    """

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
        self.client = http.Client(host, port, keep=CONNECTIONS)
        self.watcher = http.Client(host, port, keep=1)
        self.recorder = http.Client(host, port, keep=1)
        self.timeout_s = timeout_s
        self.controllers = controllers
        now = time.monotonic()
        self.rates = rps, write_rps
        self.requests = TokenBucket(rps * RATE_SHARE / controllers, now)
        self.changes = TokenBucket(write_rps * RATE_SHARE / controllers, now)
        self.last_served_at = now - NEVER_ANSWERED_S
        self.last_failed_at = now
        rate = self.requests.rate
        self.gate = _gate(rate, timeout_s)
        self.circuit = _circuit(rate, timeout_s, now, uniform)
        self.begin, self.back_off = self.circuit.begin, self.circuit.back_off
        self.history: History | None = None
        self.check_in: Callable[[], Awaitable[None]] | None = None

    @property
    def anchor_conditions(self) -> int:
        """Conditions that a commit may have beside its own, for the anchors of the history."""
        return 0 if self.history is None else self.history.ANCHORS

    def backlog(self, priority_s: float = 0.0) -> float:
        """Return the seconds that a write of this priority would have to wait for its turn."""
        now = time.monotonic()
        return max(self.requests.backlog(now, priority_s), self.changes.backlog(now, priority_s))

    @property
    def ok(self) -> bool:
        """Whether the service served the latest request that it answered or failed to."""
        return self.last_served_at >= self.last_failed_at

    def set_rates(self, rps: float, write_rps: float) -> None:
        """Take over changed limits of the service; each controller keeps to its share."""
        self.rates = rps, write_rps
        self.shared_by(self.controllers)

    def shared_by(self, controllers: int) -> None:
        """Share the service with so many: all, or one while the others stand still."""
        self.requests.rate, self.changes.rate = (r * RATE_SHARE / controllers for r in self.rates)

    async def call(
        self,
        method: str,
        path: str,
        body: Any = None,
        writes: int = 0,
        deadline: Deadline | None = None,
        priority_s: float = 0.0,
        allow_in_doubt: bool = False,
    ) -> tuple[int, bytes]:
        """Wait for the request's turn, and send it; return status and payload."""
        deadline = deadline or Deadline()
        if self.history is not None and self.history.suspicion and not allow_in_doubt:
            raise UnavailableError(RECORDS_IN_DOUBT, self.timeout_s)
        wait = self._book_turn(writes, deadline, priority_s)
        if wait > 0:
            await curio.sleep(wait)
        raw = None if body is None else msgspec.json.encode(body)
        if priority_s >= LEASE_PRIORITY_S:
            # A lease and the epoch wait for nobody.
            return await self.send(
                method, path, raw, self.timeout_s, self.client, allow_in_doubt, writes > 0
            )
        try:
            async with self.gate.slot(priority_s, deadline) as slot:
                left = deadline.left(time.monotonic(), self.timeout_s)
                if left <= 0:
                    raise GateClosedError("its time is over")
                status, payload = await self.send(
                    method, path, raw, left, self.client, allow_in_doubt, writes > 0
                )
                slot.served = True
                return status, payload
        except GateClosedError as exc:
            raise UnavailableError(str(exc), self.timeout_s) from None

    def _book_turn(self, writes: int, deadline: Deadline, priority_s: float) -> float:
        """Take a request, and its writes, from the rate limits; return the seconds to wait.

        Raises:
            UnavailableError: The turn would come after the deadline; nothing was taken.
        """
        now = time.monotonic()
        wait = self.requests.delay(1, now, priority_s)
        if writes:
            wait = max(wait, self.changes.delay(writes, now, priority_s))
        if wait > 0 and not deadline.allows(now, wait):
            # A user asks who will have left by then: refused now, so that the queue of
            # those who ask again and again doesn't grow without end.
            self.requests.refund(1)
            self.changes.refund(writes)
            raise UnavailableError("too much is asked", wait)
        return wait

    async def send(
        self,
        method: str,
        path: str,
        raw: bytes | None,
        timeout_s: float,
        client: http.Client,
        allow_in_doubt: bool = False,
        wrote: bool = False,
    ) -> tuple[int, bytes]:
        """Exchange one request and answer, and note what it says of the service.

        Raises:
            UnavailableError: It was refused or not sent, or the records are in doubt.
            OutcomeUnknownError: There was no answer, or one from another history.
        """
        name, floor = "", 0
        if self.history is not None and not allow_in_doubt:
            if self.history.needs_check_in and self.check_in is not None:
                await self.check_in()
            if self.history.suspicion:
                raise UnavailableError(RECORDS_IN_DOUBT, self.timeout_s)
            name, floor = self.history.name, self.history.highest_revision
        try:
            status, payload = await client.request(method, path, raw, timeout_s)
        except http.NotSentError as exc:
            await self._note_failure()
            raise UnavailableError(str(exc)) from None
        except http.NoAnswerError as exc:
            await self._note_failure()
            raise OutcomeUnknownError(str(exc)) from None
        if status in (429, 503):
            if status == 503:
                await self._note_failure()
            raise UnavailableError(f"{status} {path}")
        self.last_served_at = time.monotonic()
        await self.circuit.record(True)
        if self.history is not None and not allow_in_doubt and status in (200, 404, 409):
            self._check_history(self.history, payload, name, floor, wrote and status == 200)
        return status, payload

    @staticmethod
    def _check_history(
        history: History, payload: bytes, name: str, floor: int, wrote: bool
    ) -> None:
        """Hold an answer against the history under which it was asked for.

        Args:
            history: The history that is acted on now.
            payload: The answer.
            name: The history's name when the request was sent.
            floor: The highest revision that was known then.
            wrote: Whether the request has changed something.

        Raises:
            OutcomeUnknownError: The answer comes from another history, or that under which
                it was asked for has ended since.
        """
        rev = decode(payload, StoreRevision).rev
        if (
            history.name != name
            or (rev and not history.check_revision(rev, floor, wrote))
            or history.suspicion
        ):
            raise OutcomeUnknownError(RECORDS_IN_DOUBT)

    async def _note_failure(self) -> None:
        """The service did not serve: the history may have a gap when it comes back."""
        self.last_failed_at = time.monotonic()
        if self.history is not None:
            self.history.needs_check_in = True
        await self.circuit.record(False)
