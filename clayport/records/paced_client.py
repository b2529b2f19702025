"""Paced requests to the state service, with each answer checked against the records' history.

A request waits for its turn under the rate limit, according to its priority, and then for a slot
among the requests in flight. The retry coordinator records failures and paces retries. The
operations of the state service are in `records.store`.
"""

from __future__ import annotations

import random
import time
from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING, Any

import curio
import msgspec

from clayport.limits import (
    ConcurrencyLimit,
    Deadline,
    Gate,
    RetryBudget,
    RetryCoordinator,
    RetryPolicy,
    SlotTimeoutError,
)
from clayport.records.errors import OutcomeUnknownError, UnavailableError
from clayport.records.messages import StoreRevision, decode
from clayport.records.rate_limit import LEASE_PRIORITY_S, TokenBucket
from clayport.transport import http

if TYPE_CHECKING:
    from clayport.rebuild.history import History

# The share of the service's rate limits that all controllers together use.
RATE_SHARE = 0.9
# Retries that each first attempt adds to the retry budget.
RETRIES_PER_REQUEST = 0.1
# The share of this controller's request rate that all retries together may use.
RETRY_RATE_SHARE = 0.2
# The first pause before a retry, as a share of the request timeout. The longest is the timeout.
FIRST_RETRY_PAUSE_SHARE = 1 / 8
# The limit of requests in flight starts at the number of requests that the full rate allows in
# `INITIAL_IN_FLIGHT_S`. It is at most the number for one second, or twice `MIN_IN_FLIGHT` if that
# is more. It never falls below `MIN_IN_FLIGHT`, so that work always continues.
INITIAL_IN_FLIGHT_S = 0.05
MIN_IN_FLIGHT = 4
# Keep-alive connections for requests. Each of the two watches has a separate connection.
KEPT_CONNECTIONS = 8
# When this process starts, the service is taken to have last answered this many seconds ago.
INITIAL_SILENCE_S = 3600.0

RECORDS_IN_DOUBT = "the records are in doubt"


def _make_gate(rate: float, timeout_s: float) -> Gate:
    """Return the gate that limits the requests in flight of a client with this rate."""
    return Gate(
        ConcurrencyLimit(
            max(MIN_IN_FLIGHT, int(INITIAL_IN_FLIGHT_S * rate)),
            MIN_IN_FLIGHT,
            max(2 * MIN_IN_FLIGHT, int(rate)),
        ),
        timeout_s,
    )


def _make_retry_coordinator(
    rate: float, timeout_s: float, now: float, uniform: Callable[[float, float], float]
) -> RetryCoordinator:
    """Return the retry coordinator of a client with this rate.

    Routines that wait to retry are woken as soon as the service answers again.
    """
    retry_rate = max(1.0, RETRY_RATE_SHARE * rate)
    return RetryCoordinator(
        RetryPolicy(
            FIRST_RETRY_PAUSE_SHARE * timeout_s,
            timeout_s,
            RetryBudget(RETRIES_PER_REQUEST, retry_rate, retry_rate, now),
            uniform,
        )
    )


class PacedClient:
    """Sends requests to the state service within this controller's share of the rate limits.

    Requests with `allow_in_doubt` are sent even while the records are in doubt, and their answers
    are not checked against a history.

    Args:
        host: The service's host.
        port: The service's port.
        rps: Requests per second that the service accepts from all controllers.
        write_rps: Writes per second that the service accepts from all controllers.
        timeout_s: How long one request may take.
        controllers: The number of controllers that share the service.
        uniform: Draws the jitter of retries.

    Attributes:
        request_bucket: The rate limit of requests.
        write_bucket: The rate limit of writes.
        last_served_at: When the service last served a request, in seconds on the monotonic clock.
        last_failed_at: When the service last failed to serve a request, on the same clock.
        history: The history that answers are checked against; None if rebuilding is disabled.
        check_for_loss: Compares the revisions that the peers and the state service have reached.
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
        self.client = http.Client(host, port, max_idle=KEPT_CONNECTIONS)
        self.watch_client = http.Client(host, port, max_idle=1)
        self.snapshot_watch_client = http.Client(host, port, max_idle=1)
        self.timeout_s = timeout_s
        self.controllers = controllers
        now = time.monotonic()
        self.service_rates = rps, write_rps
        self.request_bucket = TokenBucket(rps * RATE_SHARE / controllers, now)
        self.write_bucket = TokenBucket(write_rps * RATE_SHARE / controllers, now)
        self.last_served_at = now - INITIAL_SILENCE_S
        self.last_failed_at = now
        rate = self.request_bucket.rate
        self.gate = _make_gate(rate, timeout_s)
        self.retry_coordinator = _make_retry_coordinator(rate, timeout_s, now, uniform)
        self.begin_request, self.back_off = (
            self.retry_coordinator.begin_request,
            self.retry_coordinator.back_off,
        )
        self.history: History | None = None
        self.check_for_loss: Callable[[], Awaitable[None]] | None = None

    @property
    def anchor_conditions(self) -> int:
        """The number of conditions that a commit may need for the anchors of the history."""
        return 0 if self.history is None else self.history.MAX_ANCHOR_CONDITIONS

    def backlog(self, priority_s: float = 0.0) -> float:
        """Return the seconds that a write with this priority would have to wait for its turn."""
        now = time.monotonic()
        return max(
            self.request_bucket.backlog(now, priority_s), self.write_bucket.backlog(now, priority_s)
        )

    @property
    def is_serving(self) -> bool:
        """Whether no failure is more recent than the last request that the service served."""
        return self.last_served_at >= self.last_failed_at

    def set_rates(self, rps: float, write_rps: float) -> None:
        """Apply changed limits of the service, of which each controller uses its share."""
        self.service_rates = rps, write_rps
        self.divide_limits(self.controllers)

    def divide_limits(self, controllers: int) -> None:
        """Divide the service's rates by the number of active controllers (1 during a rebuild)."""
        self.request_bucket.rate, self.write_bucket.rate = (
            r * RATE_SHARE / controllers for r in self.service_rates
        )

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
        """Wait for the request's turn and send it; return the status and the payload.

        Raises:
            UnavailableError: The request was refused or not sent, or the records are in doubt.
            OutcomeUnknownError: There was no answer, or one from another history.
        """
        deadline = deadline or Deadline()
        if self.history is not None and self.history.suspicion and not allow_in_doubt:
            raise UnavailableError(RECORDS_IN_DOUBT, self.timeout_s)
        wait = self._reserve_turn(writes, deadline, priority_s)
        if wait > 0:
            await curio.sleep(wait)
        raw = None if body is None else msgspec.json.encode(body)
        if priority_s >= LEASE_PRIORITY_S:
            # Requests for leases and the epoch bypass the limit of requests in flight.
            return await self.send(
                method, path, raw, self.timeout_s, self.client, allow_in_doubt, writes > 0
            )
        try:
            async with self.gate.slot(priority_s, deadline) as slot:
                left = deadline.left(time.monotonic(), self.timeout_s)
                if left <= 0:
                    raise SlotTimeoutError("its time is over")
                status, payload = await self.send(
                    method, path, raw, left, self.client, allow_in_doubt, writes > 0
                )
                slot.served = True
                return status, payload
        except SlotTimeoutError as exc:
            raise UnavailableError(str(exc), self.timeout_s) from None

    def _reserve_turn(self, writes: int, deadline: Deadline, priority_s: float) -> float:
        """Reserve a request and its writes in the rate limits; return the seconds to wait.

        Raises:
            UnavailableError: The turn would come after the deadline, and nothing was reserved.
        """
        now = time.monotonic()
        wait = self.request_bucket.take_tokens(1, now, priority_s)
        if writes:
            wait = max(wait, self.write_bucket.take_tokens(writes, now, priority_s))
        if wait > 0 and not deadline.allows(now, wait):
            # The caller will have given up before the turn comes. Refusing the request now keeps
            # the queue from growing without bound when callers retry.
            self.request_bucket.refund(1)
            self.write_bucket.refund(writes)
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
        """Send one request, and record whether the service served it.

        Raises:
            UnavailableError: The request was refused or not sent, or the records are in doubt.
            OutcomeUnknownError: There was no answer, or one from another history.
        """
        name, min_revision = "", 0
        if self.history is not None and not allow_in_doubt:
            if self.history.needs_loss_check and self.check_for_loss is not None:
                await self.check_for_loss()
            if self.history.suspicion:
                raise UnavailableError(RECORDS_IN_DOUBT, self.timeout_s)
            name, min_revision = self.history.name, self.history.highest_revision
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
        await self.retry_coordinator.record(True)
        if self.history is not None and not allow_in_doubt and status in (200, 404, 409):
            self._check_history(self.history, payload, name, min_revision, wrote and status == 200)
        return status, payload

    @staticmethod
    def _check_history(
        history: History, payload: bytes, name: str, min_revision: int, wrote: bool
    ) -> None:
        """Check an answer against the history under which the request was sent.

        Args:
            history: The current history.
            payload: The answer.
            name: The history's name when the request was sent.
            min_revision: The highest revision known when the request was sent.
            wrote: Whether the request was a successful write.

        Raises:
            OutcomeUnknownError: The answer is from another history, or the history under which
                the request was sent has ended since.
        """
        rev = decode(payload, StoreRevision).rev
        if (
            history.name != name
            or (rev and not history.check_revision(rev, min_revision, wrote))
            or history.suspicion
        ):
            raise OutcomeUnknownError(RECORDS_IN_DOUBT)

    async def _note_failure(self) -> None:
        """Record a failure; the service may have lost commits when it answers again."""
        self.last_failed_at = time.monotonic()
        if self.history is not None:
            self.history.needs_loss_check = True
        await self.retry_coordinator.record(False)
