"""Routines that wait for their turn at a bounded server, or for its recovery."""

from __future__ import annotations

import heapq
import time
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import curio

from clayport.limits.inflight import ConcurrencyLimit
from clayport.limits.retry import Attempt, Deadline, RetryPolicy


class GateClosedError(Exception):
    """The turn would not come in time: nothing was sent."""


class Circuit:
    """Routines that wait to retry at one server.

    Each waits until its turn comes, and all no longer than until the server serves again.

    Args:
        retries: When requests to the server are retried.

    Attributes:
        failing: Whether the server failed to serve the latest request.
        recovered: Is set when the server serves after a failure.
    """

    def __init__(self, retries: RetryPolicy) -> None:
        self.retries = retries
        self.failing = False
        self.recovered = curio.Event()

    def begin(self, deadline: Deadline | None = None) -> Attempt:
        """Begin a request that is to be retried for as long as the deadline allows."""
        return self.retries.begin(time.monotonic(), deadline)

    async def back_off(self, attempt: Attempt) -> bool:
        """Wait until the request may be retried; return False where that would be too late."""
        pause = attempt.next_pause(time.monotonic())
        if pause is None:
            return False
        async with curio.ignore_after(pause):
            await self.recovered.wait()
        return True

    async def record(self, serving: bool) -> None:
        """Note whether the server served the latest request; wake those who wait if so."""
        if serving and self.failing:
            event, self.recovered = self.recovered, curio.Event()
            await event.set()
        self.failing = not serving


class Slot:
    """A request's place among those in flight.

    Attributes:
        started_at: When the request was sent, in seconds on the monotonic clock.
        served: To be set by the request once it has been answered.
    """

    __slots__ = ("served", "started_at")

    def __init__(self, started_at: float) -> None:
        self.started_at = started_at
        self.served = False


class Gate:
    """Lets at most as many requests through at a time as `inflight` allows.

    The others queue, those of higher priority first, and leave when they have waited too long.

    Args:
        inflight: The limit of requests in flight.
        max_wait_s: How long a request without a deadline waits.
    """

    def __init__(self, inflight: ConcurrencyLimit, max_wait_s: float) -> None:
        self.inflight, self.max_wait_s = inflight, max_wait_s
        # A heap of (negated priority, number of arrival, event that is set on admission).
        self.queue: list[tuple[float, int, curio.Event]] = []
        self.arrivals = 0

    @asynccontextmanager
    async def slot(
        self, priority: float = 0.0, deadline: Deadline | None = None
    ) -> AsyncIterator[Slot]:
        """Wait for a slot, and hold it for the time of the context.

        Raises:
            GateClosedError: No slot became free in time.
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
        """Wait in the queue until a slot has been acquired on this request's behalf."""
        admitted = curio.Event()
        self.arrivals += 1
        entry = (-priority, self.arrivals, admitted)
        heapq.heappush(self.queue, entry)
        limit = deadline.left(time.monotonic(), self.max_wait_s)
        try:
            await curio.timeout_after(limit, admitted.wait)
        except BaseException as exc:
            if admitted.is_set():
                # Admitted just as it left: its slot goes to the next.
                self.inflight.cancel()
                await self._admit()
            elif entry in self.queue:
                self.queue.remove(entry)
                heapq.heapify(self.queue)
            if isinstance(exc, curio.TaskTimeout):
                raise GateClosedError(f"no turn in {limit:.1f} s") from None
            raise

    async def _admit(self) -> None:
        """Admit requests from the queue while there are slots."""
        while self.queue and not self.inflight.full:
            _, _, admitted = heapq.heappop(self.queue)
            self.inflight.acquire()
            await admitted.set()
