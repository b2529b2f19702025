"""Signals between the routines of one process, and short-lived routines.

A routine is a coroutine that runs as a task of curio; the word keeps it apart from the tasks
of jobs.
"""

from __future__ import annotations

import logging
import random
from collections.abc import Callable, Coroutine
from typing import Any

import curio

log = logging.getLogger(__name__)


class Routines:
    """Signals to be set and routines to be started, recorded by code that does no I/O.

    `signal` and `spawn` only record what is to be done, and may be called from synchronous
    code; `flush` carries it out. Both are kept in order, so that a simulated day repeats
    exactly.

    Attributes:
        rng: Draws the lengths of pauses.
        duty_pause_s: About how long a long-lived routine pauses before it begins anew.
        events: The event of each signal that was set or waited for, by the signal's name.
        signalled: The signals to be set at the next flush (a set in order).
        coroutines: The coroutines to be started at the next flush.
    """

    def __init__(self, rng: random.Random, duty_pause_s: float) -> None:
        self.rng = rng
        self.duty_pause_s = duty_pause_s
        self.events: dict[str, curio.Event] = {}
        self.signalled: dict[str, None] = {}
        self.coroutines: list[Coroutine[Any, Any, Any]] = []

    def signal(self, name: str) -> None:
        """Set the signal `name` at the next flush."""
        self.signalled[name] = None

    def spawn(self, coroutine: Coroutine[Any, Any, Any]) -> None:
        """Start a short-lived routine at the next flush.

        An exception that it raises is logged and goes no further.
        """
        self.coroutines.append(coroutine)

    async def flush(self) -> None:
        """Start the routines and set the signals recorded, also while this goes on."""
        while self.coroutines or self.signalled:
            coroutines, self.coroutines = self.coroutines, []
            signalled, self.signalled = self.signalled, {}
            for coroutine in coroutines:
                await curio.spawn(self._guard(coroutine), daemon=True)
            for name in signalled:
                await self._event(name).set()

    async def wait(self, name: str, timeout_s: float | None = None) -> None:
        """Flush, then wait until `name` is signalled, or for `timeout_s` seconds at most.

        A signal wakes all that wait for its name; one that is set while none does ends the
        next wait at once.
        """
        await self.flush()
        event = self._event(name)
        if timeout_s is None:
            await event.wait()
        else:
            async with curio.ignore_after(timeout_s):
                await event.wait()
        event.clear()

    def jitter(self, base_s: float) -> float:
        """Return a pause around `base_s` seconds: controllers must not come back in step."""
        return base_s * self.rng.uniform(0.5, 1.5)

    async def duty(self, routine: Callable[..., Coroutine[Any, Any, None]], *args: Any) -> None:
        """Run a long-lived routine, and begin it anew after an error.

        The error is logged and must not end the process, which would cost its users and workers
        more than one round of the routine.

        Args:
            routine: The routine.
            *args: Its arguments.
        """
        while True:
            try:
                await routine(*args)
            except Exception:
                log.exception("event=duty-failed duty=%s", routine.__name__)
            await curio.sleep(self.jitter(self.duty_pause_s))

    def _event(self, name: str) -> curio.Event:
        """Return the event of a signal, made when it is first asked for."""
        event = self.events.get(name)
        if event is None:
            event = self.events[name] = curio.Event()
        return event

    async def _guard(self, coroutine: Coroutine[Any, Any, Any]) -> None:
        """Run a short-lived routine to its end, and what it has recorded."""
        try:
            await coroutine
        except Exception:
            log.exception("event=routine-failed")
        await self.flush()
