"""Simulated time: nothing waits, the clock jumps to the next timer."""

from __future__ import annotations

import selectors
import time
from collections.abc import Callable, Coroutine
from typing import Any

import curio


class Clock:
    """Simulated time: nothing waits, the clock jumps to the next timer."""

    def __init__(self) -> None:
        self.now = 1000.0

    def __call__(self) -> float:
        return self.now


class JumpSelector(selectors.SelectSelector):
    """No sockets here: where the kernel would wait, time passes."""

    def __init__(self, clock: Clock) -> None:
        super().__init__()
        self.clock = clock

    def select(self, timeout: float | None = None) -> list[Any]:
        if timeout is None:
            raise RuntimeError("everything waits for ever")
        self.clock.now += max(0.0, timeout)
        return []


class InOrder(curio.sched.SchedBarrier):
    """Tasks that wait for one event, woken in the order in which they came.

    curio keeps them in a set: they are woken by their addresses in memory, and no two runs
    of a day were the same.
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
    """Run `main` in simulated time."""
    clock = Clock()
    monkeypatch.setattr(time, "monotonic", clock)
    monkeypatch.setattr(time, "time", lambda: clock() + 1e9)
    for module in (curio.sync, curio.task, curio.queue):
        monkeypatch.setattr(module, "SchedBarrier", InOrder)
    kernel = curio.Kernel(selector=JumpSelector(clock), debug=False)
    with kernel:
        return kernel.run(main, clock)
