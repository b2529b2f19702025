"""Tests that a copy of an answered command, which arrives late, starts no task again.

A worker forgets a task that it is told to clear. A copy of the task's launch would start the task
again, although its leader may have placed it on another machine or its job is cancelled.
"""

from __future__ import annotations

from collections.abc import Callable, Coroutine
from typing import Any

import curio
import pytest

from clayport.transport import frames
from tests.system.test_model import (
    JOBS,
    JOBS_A_DAY,
    start_world,
    submit_daily_jobs,
    wait_until_jobs_end,
)
from tests.system.test_restarts import restart_controller
from tests.troubles import CANCEL_S, end_faults, running, until
from tests.world import Clock, Worker, World, job, simulate

JOB = "j-000001"
TASK = f"{JOB}/0"
FAULTS_S = 60.0
# How often, and for how long, a test waits for a condition.
POLL_S, WAIT_S = 0.05, 180.0


def listing_machines(world: World) -> set[str]:
    """Return the names of the machines whose reports list the first task of the first job."""
    return {w.name for w in world.workers.values() if any(k[0] == TASK for k in w.tasks)}


def tasks_of(world: World, name: str) -> int:
    """Return how many tasks of a job are on machines."""
    return sum(
        k[0].startswith(f"{name}/") for w in world.workers.values() for k in w.occupying_tasks()
    )


async def task_fails(world: World, worker: Worker) -> None:
    """Let the task exit with an error, and wait until it runs on another machine."""
    for key in worker.occupying_tasks():
        if key[0] == TASK:
            worker.tasks[key].fails_at = world.clock()
    await until(lambda: running(world, JOB) not in ([], [worker]), POLL_S, WAIT_S)


async def task_is_stopped(world: World, worker: Worker) -> None:
    """Let the owner stop the task for another job, and wait until it runs on another machine."""
    owner = next(
        c.machines
        for c in world.controllers.values()
        if c.membership.epoch.member_for(worker.name) == c.membership.label
    )
    machine = owner.machines[worker.name]
    machine.held_for_job, machine.held_until = "other", world.clock() + 1000.0
    owner.mark_room_changed(worker.name)
    key = next(k for k in worker.occupying_tasks() if k[0] == TASK)
    owner.stop([(worker.name, *key, 0.0, False)])
    await until(lambda: running(world, JOB) not in ([], [worker]), POLL_S, WAIT_S)


async def job_is_cancelled(world: World, worker: Worker) -> None:
    """Let the user cancel the job, and wait until its tasks must be gone."""
    await world.abort(JOB)
    await curio.sleep(CANCEL_S + 1.0)


Scene = Callable[[World, Worker], Coroutine[Any, Any, None]]


async def simulate_copies(clock: Clock, scene: Scene, restarts: bool, seed: int) -> World:
    """Let all answered commands arrive once more after a task has left its machine."""
    world = await start_world(clock, seed, job(1, pieces=1, shape="daemon", loaners=False))
    await until(lambda: len(running(world, JOB)) == 1, POLL_S, WAIT_S)
    # The tasks of the second job fit no machine with another task, so each machine has room left.
    await world.submit(job(2, pieces=3, vcpus=5.0, loaners=False), 1e9)
    await until(lambda: tasks_of(world, "j-000002") == 3, POLL_S, WAIT_S)
    worker = running(world, JOB)[0]
    await scene(world, worker)
    await until(lambda: worker.name not in listing_machines(world), POLL_S, WAIT_S)
    if restarts:
        await restart_controller(world, world.rng.choice(world.labels))
    await world.repeat_answered_commands()
    await curio.sleep(5.0)
    assert worker.alive()
    return world


@pytest.mark.parametrize("seed", [1, 2, 3])
@pytest.mark.parametrize("restarts", [False, True])
@pytest.mark.parametrize("scene", [task_fails, task_is_stopped, job_is_cancelled])
def test_a_copy_of_an_answered_launch_starts_no_moved_or_cancelled_task(
    monkeypatch: pytest.MonkeyPatch, scene: Scene, restarts: bool, seed: int
) -> None:
    world = simulate(monkeypatch, lambda clock: simulate_copies(clock, scene, restarts, seed))
    assert world.violations == []
    assert len(running(world, JOB)) == (scene is not job_is_cancelled)


async def day_of_copies(
    clock: Clock, seed: int, controllers: int, restarts: bool, of_frames: bool = False
) -> World:
    """Run a day on which tasks fail and answered requests arrive once more.

    Args:
        of_frames: Whether all reservations and launches between controllers are repeated, rather
            than half of the commands and a fifth of the other requests.
    """
    world = World(clock, seed, controllers)
    await world.open()
    world.failing_tasks = 0.33
    if of_frames:
        world.hold_s = (1.0, 9.0)
        world.duplicated_frame_kinds = {frames.RESERVE, frames.LAUNCH}
    else:
        world.repeated_commands, world.repeated_requests = 0.5, 0.2

    async def faults() -> None:
        end = clock() + FAULTS_S
        while clock() < end:
            await curio.sleep(world.rng.uniform(3.0, 12.0))
            if restarts:
                await restart_controller(world, world.rng.choice(world.labels))
        end_faults(world)

    await curio.spawn(faults, daemon=True)
    await submit_daily_jobs(world)
    return await wait_until_jobs_end(world)


DAYS = [
    # Seed, controllers, whether they restart, and whether only frames are repeated.
    (1, 3, False, False),
    (2, 3, True, False),
    (3, 5, True, False),
    (4, 3, False, False),
    (8, 3, False, False),
    (2, 3, False, True),
    (13, 3, True, True),
    (3, 5, False, True),
]


@pytest.mark.parametrize("seed, controllers, restarts, of_frames", DAYS)
def test_rules_hold_while_tasks_fail_and_answered_requests_are_repeated(
    monkeypatch: pytest.MonkeyPatch,
    caplog: pytest.LogCaptureFixture,
    seed: int,
    controllers: int,
    restarts: bool,
    of_frames: bool,
) -> None:
    world = simulate(
        monkeypatch, lambda clock: day_of_copies(clock, seed, controllers, restarts, of_frames)
    )
    assert world.violations == []
    assert [r.getMessage() for r in caplog.records if r.levelname == "ERROR"] == []
    assert len(world.accepted) == JOBS_A_DAY and len(JOBS) <= world.launches
    assert world.unfinished_jobs() == {}
