"""The gate and the retry coordinator of a server, which make routines wait to send requests."""

from __future__ import annotations

import heapq
import time
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import curio

from clayport.limits.inflight import ConcurrencyLimit
from clayport.limits.retry import Attempt, Deadline, RetryPolicy


class SlotTimeoutError(Exception):
    """Raised for a request that was not sent because no slot became free in time."""


class RetryCoordinator:
    """Coordinates the routines that wait to retry at one server.

    Each routine waits for the pause that the retry policy sets. As soon as the server serves a
    request again, all of them continue.

    Args:
        retries: The retry policy of the server.

    Attributes:
        failing: Whether the server failed to serve the latest request.
        recovered: An event that is set when the server serves a request after a failure.
    """

    def __init__(self, retries: RetryPolicy) -> None:
        self.retries = retries
        self.failing = False
        self.recovered = curio.Event()

    def begin_request(self, deadline: Deadline | None = None) -> Attempt:
        """Begin a request that may be retried until the deadline."""
        return self.retries.begin_request(time.monotonic(), deadline)

    async def back_off(self, attempt: Attempt) -> bool:
        """Wait until the request may be retried; return False if the deadline comes first."""
        pause = attempt.next_pause(time.monotonic())
        if pause is None:
            return False
        async with curio.ignore_after(pause):
            await self.recovered.wait()
        return True

    async def record(self, serving: bool) -> None:
        """Record whether the server served the latest request; if so, wake the waiting routines."""
        if serving and self.failing:
            event, self.recovered = self.recovered, curio.Event()
            await event.set()
        self.failing = not serving


class Slot:
    """A request in flight.

    Attributes:
        started_at: When the request was sent, in seconds on the monotonic clock.
        served: Whether the server answered the request; set by the routine that sends it.
    """

    __slots__ = ("served", "started_at")

    def __init__(self, started_at: float) -> None:
        self.started_at = started_at
        self.served = False


class Gate:
    """Admits at most as many concurrent requests as `inflight` allows.

    Other requests queue by priority, and fail when they have waited too long.

    Args:
        inflight: The limit of requests in flight.
        max_wait_s: The longest that a request waits for a slot.
    """

    def __init__(self, inflight: ConcurrencyLimit, max_wait_s: float) -> None:
        self.inflight, self.max_wait_s = inflight, max_wait_s
        # A heap of (negated priority, arrival number, event that is set on admission).
        self.queue: list[tuple[float, int, curio.Event]] = []
        self.arrivals = 0

    @asynccontextmanager
    async def slot(
        self, priority: float = 0.0, deadline: Deadline | None = None
    ) -> AsyncIterator[Slot]:
        """Wait for a slot, and hold it until the context exits.

        Raises:
            SlotTimeoutError: No slot became free in time.
        """
        if self.inflight.full:
            await self._wait(priority, deadline or Deadline())
        else:
            self.inflight.acquire()
        slot = Slot(time.monotonic())
        try:
            yield slot
        finally:
            now = time.monotonic()
            self.inflight.release(now, now - slot.started_at, slot.served)
            await self._admit()

    async def _wait(self, priority: float, deadline: Deadline) -> None:
        """Wait in the queue until `_admit` has acquired a slot for this request."""
        admitted = curio.Event()
        self.arrivals += 1
        entry = (-priority, self.arrivals, admitted)
        heapq.heappush(self.queue, entry)
        limit = deadline.left(time.monotonic(), self.max_wait_s)
        try:
            await curio.timeout_after(limit, admitted.wait)
        except BaseException as exc:
            if admitted.is_set():
                # The request was admitted while it was timing out or being cancelled, so its slot
                # goes to the next request.
                self.inflight.cancel()
                await self._admit()
            elif entry in self.queue:
                self.queue.remove(entry)
                heapq.heapify(self.queue)
            if isinstance(exc, curio.TaskTimeout):
                raise SlotTimeoutError(f"no turn in {limit:.1f} s") from None
            raise

    async def _admit(self) -> None:
        """Admit requests from the queue while slots are free."""
        while self.queue and not self.inflight.full:
            _, _, admitted = heapq.heappop(self.queue)
            self.inflight.acquire()
            await admitted.set()
