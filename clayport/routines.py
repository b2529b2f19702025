"""Signals between the routines of a process, and supervision of routines.

A routine is a coroutine that runs as a curio task. The name distinguishes it from the tasks of
jobs.
"""

from __future__ import annotations

import logging
import random
from collections.abc import Callable, Coroutine
from typing import Any

import curio

log = logging.getLogger(__name__)


class Routines:
    """Records signals to set and routines to start, and carries both out on `flush`.

    `signal` and `spawn` do no I/O and may be called from synchronous code. Both keep their
    order, so that simulations are reproducible.

    Attributes:
        rng: Draws the lengths of pauses.
        duty_pause_s: The mean pause before a long-lived routine is restarted.
        events: By name, the event of each signal that was set or waited for.
        pending_signals: The signals to be set by the next flush (an ordered set).
        pending_coroutines: The coroutines to be started by the next flush.
    """

    def __init__(self, rng: random.Random, duty_pause_s: float) -> None:
        self.rng = rng
        self.duty_pause_s = duty_pause_s
        self.events: dict[str, curio.Event] = {}
        self.pending_signals: dict[str, None] = {}
        self.pending_coroutines: list[Coroutine[Any, Any, Any]] = []

    def signal(self, name: str) -> None:
        """Record that the next flush sets the signal `name`."""
        self.pending_signals[name] = None

    def spawn(self, coroutine: Coroutine[Any, Any, Any]) -> None:
        """Record that the next flush starts a short-lived routine.

        An exception that the routine raises is logged and not propagated.
        """
        self.pending_coroutines.append(coroutine)

    async def flush(self) -> None:
        """Start the recorded routines and set the recorded signals, until none are left."""
        while self.pending_coroutines or self.pending_signals:
            coroutines, self.pending_coroutines = self.pending_coroutines, []
            signalled, self.pending_signals = self.pending_signals, {}
            for coroutine in coroutines:
                await curio.spawn(self._run_spawned(coroutine), daemon=True)
            for name in signalled:
                await self._event(name).set()

    async def wait(self, name: str, timeout_s: float | None = None) -> None:
        """Flush, then wait until the signal `name` is set, for at most `timeout_s` seconds.

        A signal wakes all routines that wait for it. If no routine is waiting, the next wait
        returns at once.
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
        """Return a random pause around `base_s` seconds, so that controllers do not act in step."""
        return base_s * self.rng.uniform(0.5, 1.5)

    async def run_forever(
        self, routine: Callable[..., Coroutine[Any, Any, None]], *args: Any
    ) -> None:
        """Run a long-lived routine and restart it whenever it ends.

        Errors are logged and do not end the process, because a restart of the process would
        affect users and workers more than a restart of one routine.

        Args:
            routine: The routine.
            *args: The arguments of the routine.
        """
        while True:
            try:
                await routine(*args)
            except Exception:
                log.exception("event=duty-failed duty=%s", routine.__name__)
            await curio.sleep(self.jitter(self.duty_pause_s))

    def _event(self, name: str) -> curio.Event:
        """Return the event of a signal, creating it on first use."""
        event = self.events.get(name)
        if event is None:
            event = self.events[name] = curio.Event()
        return event

    async def _run_spawned(self, coroutine: Coroutine[Any, Any, Any]) -> None:
        """Run a short-lived routine and flush the signals and routines that it recorded."""
        try:
            await coroutine
        except Exception:
            log.exception("event=routine-failed")
        await self.flush()
