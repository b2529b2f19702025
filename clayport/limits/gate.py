"""Routines that wait for their turn at a bounded server."""

from __future__ import annotations

import heapq
import time
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import curio

from clayport.limits.inflight import Inflight
from clayport.limits.retry import Attempt, Deadline, Retries


class GateClosedError(Exception):
    """The turn would not come in time: nothing was sent."""


class Circuit:
    """Routines that wait to ask one server again: each until its turn comes, and all no
    longer than until the server is seen to serve."""

    def __init__(self, retries: Retries) -> None:
        self.retries = retries
        self.out = False
        self.back = curio.Event()

    def begin(self, deadline: Deadline | None = None) -> Attempt:
        """A request sets out that is to be asked again for as long as the deadline says."""
        return self.retries.begin(time.monotonic(), deadline)

    async def back_off(self, attempt: Attempt) -> bool:
        """Until it may be asked again; False: that would be too late."""
        pause = attempt.pause(time.monotonic())
        if pause is None:
            return False
        async with curio.ignore_after(pause):
            await self.back.wait()
        return True

    async def seen(self, serving: bool) -> None:
        """How the latest request fared."""
        if serving and self.out:
            event, self.back = self.back, curio.Event()
            await event.set()
        self.out = not serving


class Passage:
    """What a request says of how it went, before it leaves the gate."""

    __slots__ = ("began", "served")

    def __init__(self, began: float) -> None:
        self.began = began
        self.served = False


class Gate:
    """At most as many requests at a time as `inflight` allows; the rest wait in line, those
    with the larger `ahead` first. What is in line longer than it can wait leaves it."""

    def __init__(self, inflight: Inflight, longest_s: float) -> None:
        self.inflight, self.longest_s = inflight, longest_s
        self.queue: list[tuple[float, int, curio.Event]] = []
        self.number = 0

    @asynccontextmanager
    async def passing(
        self, ahead: float = 0.0, deadline: Deadline | None = None
    ) -> AsyncIterator[Passage]:
        """GateClosedError if no turn comes; `served` is to be set once an answer has come."""
        if self.inflight.full:
            await self._wait(ahead, deadline or Deadline())
        else:
            self.inflight.enter()
        passage = Passage(time.monotonic())
        try:
            yield passage
        finally:
            now = time.monotonic()
            self.inflight.leave(now, now - passage.began, passage.served)
            await self._admit()

    async def _wait(self, ahead: float, deadline: Deadline) -> None:
        event = curio.Event()
        self.number += 1
        entry = (-ahead, self.number, event)
        heapq.heappush(self.queue, entry)
        limit = deadline.left(time.monotonic(), self.longest_s)
        try:
            await curio.timeout_after(limit, event.wait)
        except BaseException as exc:
            if event.is_set():
                # Let in just as it left: its place goes to the next.
                self.inflight.in_flight -= 1
                await self._admit()
            elif entry in self.queue:
                self.queue.remove(entry)
                heapq.heapify(self.queue)
            if isinstance(exc, curio.TaskTimeout):
                raise GateClosedError(f"no turn in {limit:.1f} s") from None
            raise

    async def _admit(self) -> None:
        while self.queue and not self.inflight.full:
            _, _, event = heapq.heappop(self.queue)
            self.inflight.enter()
            await event.set()
