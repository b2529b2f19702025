"""Days on which machines end and are back at once, without their tasks.

The protocol does not say whether a worker that comes back still knows its session and its token.
If it does, the rules hold whatever copies of commands arrive. If it does not, it obeys each copy
that arrives before its first report is answered, and no controller can prevent that, so such days
have no copies.
"""

from __future__ import annotations

import curio
import pytest

from tests.system.test_model import JOBS_A_DAY, submit_daily_jobs, wait_until_jobs_end
from tests.troubles import end_faults, some_machines
from tests.world import Clock, World, simulate

FAULTS_S = 60.0


async def restart_machines(world: World, keeps_fence: bool) -> None:
    """Restart a random machine every few seconds for a minute, then end all faults."""
    end = world.clock() + FAULTS_S
    while world.clock() < end:
        await curio.sleep(world.rng.uniform(1.0, 4.0))
        for name in some_machines(world, 0.0):  # one machine
            world.workers[name].restart(keeps_fence)
    end_faults(world)


async def day_of_restarts(clock: Clock, seed: int, keeps_fence: bool) -> World:
    """Run a day on which machines restart and tasks fail."""
    world = World(clock, seed)
    await world.open()
    world.failing_tasks = 0.33
    if keeps_fence:
        world.repeated_commands, world.repeated_requests = 0.5, 0.2
    await curio.spawn(restart_machines, world, keeps_fence, daemon=True)
    await submit_daily_jobs(world)
    return await wait_until_jobs_end(world)


@pytest.mark.parametrize("keeps_fence", [True, False])
@pytest.mark.parametrize("seed", [2, 6, 16])
def test_rules_hold_while_machines_come_back_without_their_tasks(
    monkeypatch: pytest.MonkeyPatch, seed: int, keeps_fence: bool
) -> None:
    world = simulate(monkeypatch, lambda clock: day_of_restarts(clock, seed, keeps_fence))
    assert world.violations == []
    assert len(world.accepted) == JOBS_A_DAY
    assert world.unfinished_jobs() == {}
