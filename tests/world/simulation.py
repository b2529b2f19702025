"""Simulated time, in which the clock jumps to the next timer instead of waiting."""

from __future__ import annotations

import selectors
import time
from collections.abc import Callable, Coroutine
from typing import Any

import curio


class Clock:
    """The current simulated time in seconds, which `JumpSelector` advances."""

    def __init__(self) -> None:
        self.now = 1000.0

    def __call__(self) -> float:
        return self.now


class JumpSelector(selectors.SelectSelector):
    """A selector without sockets, which advances the clock where curio's kernel would wait."""

    def __init__(self, clock: Clock) -> None:
        super().__init__()
        self.clock = clock

    def select(self, timeout: float | None = None) -> list[Any]:
        if timeout is None:
            raise RuntimeError("deadlock: no timer is set and every task waits")
        self.clock.now += max(0.0, timeout)
        return []


class FifoBarrier(curio.sched.SchedBarrier):
    """The tasks that wait for one event, woken in the order of their arrival.

    curio keeps them in a set and wakes them in the order of their memory addresses, so that two
    runs of the same simulated day would differ.
    """

    def __init__(self) -> None:
        self._tasks: dict[Any, None] = {}

    def _kernel_suspend(self, task: Any) -> Callable[[], Any]:
        self._tasks[task] = None
        return lambda: self._tasks.pop(task)

    def _kernel_wake(self, ntasks: int = 1) -> list[Any]:
        woken = list(self._tasks)[:ntasks]
        for task in woken:
            del self._tasks[task]
        return woken


def simulate(monkeypatch: Any, main: Callable[[Clock], Coroutine[Any, Any, Any]]) -> Any:
    """Run `main` in simulated time; return its result."""
    clock = Clock()
    monkeypatch.setattr(time, "monotonic", clock)
    monkeypatch.setattr(time, "time", lambda: clock() + 1e9)
    for module in (curio.sync, curio.task, curio.queue):
        monkeypatch.setattr(module, "SchedBarrier", FifoBarrier)
    kernel = curio.Kernel(selector=JumpSelector(clock), debug=False)
    with kernel:
        return kernel.run(main, clock)
