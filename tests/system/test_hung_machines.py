"""Tests that tasks of cancelled jobs on machines that hang are gone within `cancel_s`.

Only the return of a machine that hangs ends its tasks, and a controller has to notice that the
machine is silent before it returns the machine.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Coroutine
from typing import Any

import curio
import pytest

from tests.troubles import CANCEL_S, LONG_S, cancel, long_jobs
from tests.world import Clock, Worker, World, simulate

JOBS = 30
HUNG_SHARE = 0.75
RESTART_S = 6.0

Fault = Callable[[World, str], Coroutine[Any, Any, None]]


async def no_fault(world: World, owner: str) -> None:
    """Leave the controllers and the state service as they are."""


async def owner_restarts(world: World, owner: str) -> None:
    """The owner of most of the machines ends shortly before it would return them."""
    await curio.sleep(15.0)
    await world.crash(owner)
    await curio.sleep(RESTART_S)
    await world.start(owner)


async def owner_is_cut_off(world: World, owner: str) -> None:
    """The owner of most of the machines loses the network to everybody."""
    await curio.sleep(12.0)
    world.partitioned.add(owner)


async def outage_follows(world: World, owner: str) -> None:
    """The state service is out from a second after the cancellations on."""
    await curio.sleep(1.0)
    world.state.outage(world.clock(), 2 * CANCEL_S)


def owner_of(world: World, worker: Worker) -> str:
    """Return the label of the controller that owns a machine."""
    epoch = next(iter(world.controllers.values())).membership.epoch
    return epoch.member_for(worker.name)


async def hang_and_cancel(clock: Clock, fault: Fault, seed: int) -> World:
    """Let most machines hang, cancel their jobs, and let a fault follow."""
    world = World(clock, seed)
    await world.open()
    names = await long_jobs(world, JOBS, pieces=1, shape="sweep", vcpus=4.0, loaners=False)
    await curio.sleep(5.0)
    busy = [worker for worker in world.workers.values() if worker.occupying_tasks()]
    owner, _ = Counter(owner_of(world, worker) for worker in busy).most_common(1)[0]
    busy.sort(key=lambda worker: (owner_of(world, worker) != owner, worker.name))
    hung = busy[: round(HUNG_SHARE * len(busy))]
    assert len(hung) >= 5
    for worker in hung:
        worker.hung_until = clock() + LONG_S
    on_hung = {k[0].partition("/")[0] for worker in hung for k in worker.occupying_tasks()}
    await curio.spawn(cancel, world, sorted(on_hung & set(names)), daemon=True)
    await curio.spawn(fault, world, owner, daemon=True)
    await curio.sleep(2 * CANCEL_S)
    assert on_hung & set(names) <= set(world.cancelled)
    return world


@pytest.mark.parametrize("fault", [no_fault, owner_restarts, owner_is_cut_off, outage_follows])
@pytest.mark.parametrize("seed", [1, 2, 3])
def test_cancelled_tasks_on_hung_machines_are_gone_in_time_when_the_owner_changes(
    monkeypatch: pytest.MonkeyPatch, fault: Fault, seed: int
) -> None:
    world = simulate(monkeypatch, lambda clock: hang_and_cancel(clock, fault, seed))
    assert world.violations == []
