"""Tests that a machine that failed tasks gets few until it works, and is used again then."""

from __future__ import annotations

from typing import Any

import curio
import pytest

from tests.system.test_model import start_world
from tests.troubles import (
    LEASE_S,
    MAX_WAIT_S,
    SERVICE,
    end_faults,
    fail_all_machines,
    nothing_runs,
    submit_endless,
    until,
    waits_for_s,
)
from tests.world import Clock, World, job, simulate

LATER = "j-000009"
# Jobs by name, with the number of their tasks for each machine.
LATER_JOBS: dict[str, dict[str, Any]] = {
    "array": {"pieces": 3},
    "small gang": {"pieces": 1, "shape": "ensemble"},
    "large gang": {"pieces": 3, "shape": "ensemble"},
    "service": {"pieces": 2, **SERVICE},
}


async def machines_fail(clock: Clock, seed: int, count: int) -> World:
    """Let all machines that the cloud has fail tasks of two jobs, while each runs a replica."""
    world = await start_world(clock, seed)
    await fail_all_machines(world, count)
    for number in (2, 3):
        await world.submit(job(number, pieces=count, vcpus=1.0, loaners=False), 5.0)
    await until(lambda: all(is_unhealthy(world, name) for name in world.failing_machines))
    return world


def is_unhealthy(world: World, name: str) -> bool:
    """Return whether the owner of a machine considers it unhealthy."""
    return any(
        controller.machines.is_unhealthy(controller.machines.machines[name])
        for controller in world.controllers.values()
        if name in controller.machines.machines
    )


async def later_job(
    clock: Clock, seed: int, count: int, fields: dict[str, Any]
) -> tuple[World, float]:
    """Submit a job after all machines have failed tasks; return for how long it waits."""
    world = await machines_fail(clock, seed, count)
    end_faults(world)
    pieces = count * fields["pieces"]
    await submit_endless(
        world, job(9, **{**fields, "pieces": pieces, "vcpus": 1.0, "loaners": False})
    )
    waited_s = await waits_for_s(world, LATER)
    await curio.sleep(2 * LEASE_S)
    return world, waited_s


@pytest.mark.parametrize("kind", LATER_JOBS)
@pytest.mark.parametrize("count", [1, 2])
@pytest.mark.parametrize("seed", [1, 2])
def test_machines_that_failed_tasks_of_two_jobs_are_used_again(
    monkeypatch: pytest.MonkeyPatch, kind: str, count: int, seed: int
) -> None:
    # Errors were forgotten only when a task completed on the machine, which then took no task.
    world, waited_s = simulate(
        monkeypatch, lambda clock: later_job(clock, seed, count, LATER_JOBS[kind])
    )
    assert waited_s <= MAX_WAIT_S
    assert world.violations == []


async def faulty_jobs_wait_too(clock: Clock, seed: int, faulty: int) -> tuple[World, float]:
    """Submit a job beside jobs that fail everywhere and go before it, on a cloud that is full."""
    world = await machines_fail(clock, seed, 2)
    world.failing_machines.clear()
    for number in range(10, 10 + faulty):
        name = await submit_endless(
            world, job(number, pieces=1, vcpus=1.0, rank="high", loaners=False)
        )
        world.failing_jobs.add(name)
    await curio.sleep(2 * LEASE_S)
    await submit_endless(world, job(9, pieces=1, vcpus=1.0, loaners=False))
    return world, await waits_for_s(world, LATER)


@pytest.mark.parametrize(
    "seed, faulty", [(1, 1), (2, 1), (1, 2), (2, 2), (3, 3), (1, 6), (2, 6), (7, 6)]
)
def test_faulty_jobs_do_not_take_all_probe_tasks(
    monkeypatch: pytest.MonkeyPatch, faulty: int, seed: int
) -> None:
    # Jobs that fail everywhere would be the only ones tried on a machine on probation.
    world, waited_s = simulate(monkeypatch, lambda clock: faulty_jobs_wait_too(clock, seed, faulty))
    assert waited_s <= MAX_WAIT_S
    assert world.violations == []


WATCHED_S = 150.0


async def machines_go_on_failing(clock: Clock, seed: int, capacity: int) -> tuple[World, float]:
    """Let two machines fail tasks for long while jobs wait; return when both are unhealthy."""
    world = await machines_fail(clock, seed, 2)
    world.capacity = capacity
    unhealthy_at = clock()
    for number in range(10, 16):
        await submit_endless(world, job(number, pieces=2, vcpus=0.5, loaners=False))
    await curio.sleep(WATCHED_S)
    return world, unhealthy_at


@pytest.mark.parametrize("seed", [1, 2])
@pytest.mark.parametrize("capacity", [2, 14])
def test_machines_that_go_on_failing_get_one_task_at_a_time_and_only_if_there_are_no_others(
    monkeypatch: pytest.MonkeyPatch, seed: int, capacity: int
) -> None:
    world, unhealthy_at = simulate(
        monkeypatch, lambda clock: machines_go_on_failing(clock, seed, capacity)
    )
    for name in world.failing_machines:
        starts = [at for at, machine, _ in world.starts if machine == name and at > unhealthy_at]
        # One lease after the first failure, and two leases after each further one.
        assert len(starts) <= 1 + (WATCHED_S - LEASE_S) / (2 * LEASE_S)
        if capacity > 2:  # other machines are up by then
            assert all(at < unhealthy_at + 3 * LEASE_S for at in starts)
    waiting = [name for name in world.jobs if nothing_runs(world, name)]
    assert bool(waiting) == (capacity == 2)
    assert world.violations == []
