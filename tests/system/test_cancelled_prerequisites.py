"""Tests that no job is called queued long after the user was told that a job before it is
cancelled."""

from __future__ import annotations

from collections.abc import Callable

import curio
import pytest

from tests.troubles import CANCEL_S
from tests.world import Clock, World, job, simulate

FIRST_JOB = "j-000001"
DEPENDENTS = 120
OUTAGE_AFTER_S = 0.0
ASKED_FOR_S = 20.0


async def outage(world: World) -> None:
    """Let the state service be out until the dependents must be cancelled."""
    world.state.outage(world.clock(), CANCEL_S + 3.0)
    await curio.sleep(CANCEL_S + 2.5)


async def slow_state_service(world: World) -> None:
    """Let the state service answer slowly until the dependents must be cancelled."""
    world.slow_s = 3.0
    await curio.sleep(CANCEL_S - OUTAGE_AFTER_S)


async def ask_everywhere(world: World, names: list[str], label: str) -> None:
    """Ask a controller for all jobs again and again."""
    end = world.clock() + ASKED_FOR_S
    while world.clock() < end:
        for name in names:
            await curio.spawn(world.ask, name, label, daemon=True)
        await curio.sleep(0.5)


async def cancel_before_fault(
    clock: Clock, fault: Callable[[World], object], chained: bool, seed: int
) -> World:
    """Cancel a job that others need, directly or through one another, just before a fault."""
    world = World(clock, seed)
    await world.open()
    await world.submit(job(1, pieces=1, guess_s=1e6), 1e6)
    names = []
    for number in range(100, 100 + DEPENDENTS):
        needs = names[-1] if chained and names else FIRST_JOB
        value = job(number, pieces=1, prereqs=[needs])
        await world.submit(value, 5.0)
        names.append(value["id"])
    await world.abort(FIRST_JOB)
    await curio.sleep(OUTAGE_AFTER_S)
    await fault(world)  # type: ignore[misc]
    world.faults_end_at = clock()
    asking = [await curio.spawn(ask_everywhere, world, names, label) for label in world.labels]
    for routine in asking:
        await routine.join()
    world.slow_s = 0.0
    await curio.sleep(20.0)
    for name in names:
        await world.ask(name, world.rng.choice(world.labels))
    assert {world.last_status[name] for name in names} == {"cancelled"}
    return world


@pytest.mark.parametrize("chained", [False, True])
@pytest.mark.parametrize("fault", [outage, slow_state_service], ids=lambda f: f.__name__)
@pytest.mark.parametrize("seed", [1, 2])
def test_no_job_is_called_queued_long_after_a_job_before_it_was_cancelled(
    monkeypatch: pytest.MonkeyPatch,
    fault: Callable[[World], object],
    chained: bool,
    seed: int,
) -> None:
    world = simulate(monkeypatch, lambda clock: cancel_before_fault(clock, fault, chained, seed))
    assert world.violations == []
