"""Tests that a job which avoids the machines where it failed does not wait for ever."""

from __future__ import annotations

import curio
import pytest

from tests.system.test_model import start_world
from tests.troubles import MAX_WAIT_S, running
from tests.world import Clock, World, job, simulate

JOB = "j-000001"


async def replica_fails_where_the_only_room_is(clock: Clock, seed: int) -> World:
    """Let the only replica of a service fail on the only machine that has room for it."""
    world = await start_world(
        clock,
        seed,
        job(1, pieces=1, shape="daemon", loaners=False),
        job(2, pieces=9, loaners=False),
    )
    while not running(world, JOB):
        await curio.sleep(0.5)
    await curio.sleep(10.0)
    (worker,) = running(world, JOB)
    for key in worker.occupying_tasks():
        if key[0].startswith(JOB):
            worker.tasks[key].fails_at = clock()
    await curio.sleep(MAX_WAIT_S)
    return world


@pytest.mark.parametrize("seed", [2, 3])
def test_a_replica_that_failed_on_the_only_machine_with_room_runs_again(
    monkeypatch: pytest.MonkeyPatch, seed: int
) -> None:
    world = simulate(monkeypatch, lambda clock: replica_fails_where_the_only_room_is(clock, seed))
    assert world.violations == []
    assert running(world, JOB)
