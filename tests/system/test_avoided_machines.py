"""Tests that a job which avoids the machines where it failed does not wait for ever."""

from __future__ import annotations

from typing import Any

import curio
import pytest

from tests.system.test_model import start_world
from tests.troubles import (
    LEASE_S,
    MAX_WAIT_S,
    SERVICE,
    fail_all_machines,
    running,
    submit_endless,
    until,
    waits_for_s,
)
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


SHAPES: dict[str, dict[str, Any]] = {
    "array": {"pieces": 3},
    "gang": {"pieces": 3, "shape": "ensemble"},
    "service": {"pieces": 2, **SERVICE},
}


async def job_fails_on_all_machines(
    clock: Clock, seed: int, count: int, fields: dict[str, Any]
) -> tuple[World, float]:
    """Let a job fail for a while on all machines that the cloud has."""
    world = await start_world(clock, seed)
    await fail_all_machines(world, count)
    await submit_endless(world, job(1, vcpus=1.0, loaners=False, **fields))
    await curio.sleep(3 * LEASE_S)
    world.failing_machines.clear()
    return world, await waits_for_s(world, JOB)


@pytest.mark.parametrize("shape", SHAPES)
@pytest.mark.parametrize("count", [1, 2, 4])
@pytest.mark.parametrize("seed", [1, 2])
def test_a_job_that_failed_on_all_machines_of_the_cloud_runs_again(
    monkeypatch: pytest.MonkeyPatch, shape: str, count: int, seed: int
) -> None:
    # A job avoided a machine for as long as no task of it completed there.
    world, waited_s = simulate(
        monkeypatch, lambda clock: job_fails_on_all_machines(clock, seed, count, SHAPES[shape])
    )
    assert waited_s <= MAX_WAIT_S
    assert world.violations == []


async def machine_goes_on_failing(
    clock: Clock, seed: int, fields: dict[str, Any]
) -> tuple[World, float]:
    """Let the only machine up fail tasks for long, while the cloud has others."""
    world = await start_world(clock, seed)
    world.capacity = 1
    # A service would have a second machine rented as spare room for others like it.
    name = await submit_endless(world, job(8, pieces=1, flavors=["plain"], loaners=False))
    await until(lambda: bool(running(world, name)))
    world.failing_machines.update(world.workers)
    world.capacity = 14
    await submit_endless(world, job(1, vcpus=1.0, loaners=False, **fields))
    since = clock()
    while runs_nowhere_else(world) and clock() - since <= MAX_WAIT_S:
        await curio.sleep(0.5)
    return world, clock() - since


def runs_nowhere_else(world: World) -> bool:
    """Return whether the job runs on no machine but the failing one."""
    return all(worker.name in world.failing_machines for worker in running(world, JOB))


@pytest.mark.parametrize("shape", SHAPES)
@pytest.mark.parametrize("seed", [1, 2])
def test_a_machine_is_rented_for_a_job_that_avoids_the_only_one(
    monkeypatch: pytest.MonkeyPatch, shape: str, seed: int
) -> None:
    # The provisioner counted the room on the avoided machine, which the placer did not use.
    world, waited_s = simulate(
        monkeypatch, lambda clock: machine_goes_on_failing(clock, seed, SHAPES[shape])
    )
    assert waited_s <= MAX_WAIT_S
    assert world.violations == []


async def room_is_taken_after_failures(clock: Clock, seed: int, fields: dict[str, Any]) -> float:
    """Let a job fail on three machines, and others take its room; return for how long it waits."""
    world = await start_world(clock, seed)
    # Services would have machines rented as spare room for others like them. These jobs are late at
    # once, so that machines are rented for each of them.
    large = {"pieces": 1, "vcpus": 4.5, "due_s": 1.0, "flavors": ["plain"], "loaners": False}
    for number in (1, 2, 3):
        world.capacity = number
        name = await submit_endless(world, job(10 + number, **large))
        await until(lambda name=name: bool(running(world, name)))
    world.failing_machines.update(world.workers)
    await submit_endless(world, job(1, **{**large, **fields, "pieces": 1, "vcpus": 3.5}))
    await until(lambda: is_at_fault(world, JOB))
    world.failing_machines.clear()
    name = await submit_endless(world, job(9, **{**large, "pieces": 3, "vcpus": 3.0}))
    await until(lambda: len(running(world, name)) == 3)
    world.capacity = 14
    return await waits_for_s(world, JOB)


def is_at_fault(world: World, job_id: str) -> bool:
    """Return whether the leader of a job considers the job at fault."""
    return any(
        controller.jobs.managed[job_id].at_fault
        for controller in world.controllers.values()
        if job_id in controller.jobs.managed
    )


@pytest.mark.parametrize("shape", SHAPES)
@pytest.mark.parametrize("seed", [1, 2])
def test_a_machine_is_rented_for_a_job_that_seems_at_fault(
    monkeypatch: pytest.MonkeyPatch, shape: str, seed: int
) -> None:
    # Nothing was rented for a job that had failed on three faulty machines.
    waited_s = simulate(
        monkeypatch, lambda clock: room_is_taken_after_failures(clock, seed, SHAPES[shape])
    )
    assert waited_s <= MAX_WAIT_S
