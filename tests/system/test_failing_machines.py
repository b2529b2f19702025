"""Random days on which machines fail all tasks for a while, on clouds with few machines.

After the faults no job may wait for long beside free room, and all jobs end.
"""

from __future__ import annotations

import curio
import pytest

from tests.system.test_model import JOBS_A_DAY, submit_daily_jobs, wait_until_jobs_end
from tests.system.test_restarts import restart_controller
from tests.troubles import end_faults, some_machines, watch_waiting
from tests.world import Clock, World, simulate

FAULTS_S = 100.0


async def machines_fail_for(world: World, names: list[str], for_s: float) -> None:
    """Let machines fail all tasks that they start."""
    world.failing_machines.update(names)
    await curio.sleep(for_s)
    world.failing_machines.difference_update(names)


async def day_of_failing_machines(
    clock: Clock, seed: int, controllers: int, capacity: int, restarts: bool
) -> World:
    """Run a day on which some or all machines fail, again and again."""
    world = World(clock, seed, controllers)
    world.capacity = capacity
    await world.open()
    await curio.spawn(watch_waiting, world, daemon=True)

    async def faults() -> None:
        end = clock() + FAULTS_S
        while clock() < end:
            await curio.sleep(world.rng.uniform(2.0, 12.0))
            names = some_machines(world, world.rng.choice([0.2, 0.5, 1.0]))
            for_s = world.rng.uniform(2.0, 40.0)
            await curio.spawn(machines_fail_for, world, names, for_s, daemon=True)
            if restarts and world.rng.random() < 0.3:
                await restart_controller(world, world.rng.choice(world.labels))
        end_faults(world)

    await curio.spawn(faults, daemon=True)
    await submit_daily_jobs(world)
    return await wait_until_jobs_end(world)


DAYS = [
    # Seed, controllers, machines of the cloud, and whether controllers restart.
    (1, 3, 4, False),
    (2, 3, 4, False),
    (3, 5, 8, True),
    (11, 3, 14, False),
]


@pytest.mark.parametrize("seed, controllers, capacity, restarts", DAYS)
def test_no_job_is_left_waiting_after_machines_failed(
    monkeypatch: pytest.MonkeyPatch,
    caplog: pytest.LogCaptureFixture,
    seed: int,
    controllers: int,
    capacity: int,
    restarts: bool,
) -> None:
    world = simulate(
        monkeypatch,
        lambda clock: day_of_failing_machines(clock, seed, controllers, capacity, restarts),
    )
    assert world.violations == []
    assert [r.getMessage() for r in caplog.records if r.levelname == "ERROR"] == []
    assert len(world.accepted) == JOBS_A_DAY
    assert world.unfinished_jobs() == {}
