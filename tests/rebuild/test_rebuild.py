"""Simulated days on which the state service loses records.

The controllers rebuild the records from their own evidence and from the machines' reports. No
rule of the service is broken meanwhile, and all accepted jobs finish. Jobs may be lost only if all
controllers crash and no snapshot exists."""

from __future__ import annotations

import os
from collections.abc import Callable, Coroutine
from pathlib import Path
from typing import Any

import curio
import pytest

from tests.system.test_model import JOBS, JOBS_A_DAY, submit_daily_jobs, wait_until_jobs_end
from tests.world import Clock, World, job, simulate

Loss = Callable[[World], Any]


async def lose(
    world: World, loss: Loss, outage_s: float = 3.0, controllers_crash: bool = False
) -> None:
    """Make the state service unavailable for `outage_s` and lose records during the outage.

    With `controllers_crash` all controllers are restarted as well.
    """
    if outage_s:
        world.state.outage(world.clock(), outage_s)
    loss(world)
    if controllers_crash:
        world.lost = set()
        for label in list(world.controllers):
            await world.crash(label)
        await curio.sleep(0.3)
        for label in world.labels:
            await world.start(label)


async def day_with_losses(
    clock: Clock,
    seed: int,
    loss: Loss,
    outage_s: float,
    controllers_crash: bool,
    controllers: int = 3,
    times: int = 1,
    disks: Path | None = None,
) -> World:
    world = World(clock, seed, controllers, rebuild=True)
    if disks is not None:
        world.disks = {label: str(disks / label) for label in world.labels[:2]}
    world.state.past = []
    await world.open()
    at = sorted(world.rng.sample(range(10, JOBS_A_DAY - 2), times))

    async def after_submit(number: int) -> None:
        if number in at:
            await curio.spawn(lose, world, loss, outage_s, controllers_crash, daemon=True)

    await submit_daily_jobs(world, after_submit)
    return await wait_until_jobs_end(world)


def lose_last(seconds: float) -> Loss:
    return lambda world: world.state.roll_back(seconds)


def lose_prefix(name: str) -> Loss:
    return lambda world: world.state.lose_keys(name)


LOSSES: list[tuple[str, Loss]] = [
    ("0.1 s", lose_last(0.1)),
    ("0.5 s", lose_last(0.5)),
    ("5 s", lose_last(5.0)),
    ("all", lose_last(1e6)),
    ("end/", lose_prefix("end/")),
    ("run/", lose_prefix("run/")),
    ("quota/", lose_prefix("quota/")),
    ("epoch", lose_prefix("c/generation")),
    ("c/", lose_prefix("c/")),
    ("nothing", lose_prefix("-")),
]


@pytest.mark.parametrize("seed, outage_s", [(1, 3.0), (2, 3.0), (3, 0.0)])
@pytest.mark.parametrize("loss", [loss for _, loss in LOSSES], ids=[name for name, _ in LOSSES])
def test_running_controllers_rebuild_lost_records(
    monkeypatch: pytest.MonkeyPatch,
    caplog: pytest.LogCaptureFixture,
    loss: Loss,
    seed: int,
    outage_s: float,
) -> None:
    world = simulate(monkeypatch, lambda clock: day_with_losses(clock, seed, loss, outage_s, False))
    assert world.violations == []
    assert [r.getMessage() for r in caplog.records if r.levelname == "ERROR"] == []
    assert len(world.accepted) == JOBS_A_DAY and world.unfinished_jobs() == {}


# -- losses together with a further failure --------------------------------------


Scenario = Callable[[World, Loss], Coroutine[Any, Any, None]]


async def restart(world: World, label: str, after_s: float) -> None:
    if label in world.controllers:
        await world.crash(label)
        await curio.sleep(after_s)
        if label not in world.controllers:
            await world.start(label)


async def controller_restarts(world: World, loss: Loss) -> None:
    """Restart a controller, which forgets its jobs' assignments, so that the machines are asked."""
    await lose(world, loss)
    await restart(world, world.rng.choice(world.labels), world.rng.uniform(0.3, 6.0))


async def rebuilding_controller(world: World, previous: str = "") -> str:
    """Wait up to 30 s for a rebuild; return the controller that carries it out, or ""."""
    for _ in range(600):
        head = world.state.keys.get("c/lineage")
        if head is not None and head[0]["state"] == "rebuilding" and head[0]["id"] != previous:
            return str(head[0]["by"])
        await curio.sleep(0.05)
    return ""


async def rebuilder_restarts(world: World, loss: Loss) -> None:
    await lose(world, loss, 1.0)
    for _ in range(2):
        label = await rebuilding_controller(world)
        if label:
            await restart(world, label, world.rng.uniform(0.3, 2.0))


async def losses_during_rebuild(world: World, loss: Loss) -> None:
    await lose(world, loss, 1.0)
    await rebuilding_controller(world)
    await curio.sleep(world.rng.uniform(0.0, 0.3))
    await lose(world, loss, 1.0)
    await curio.sleep(world.rng.uniform(0.5, 4.0))
    await lose(world, loss, 1.0)


async def controller_disconnected(world: World, loss: Loss) -> None:
    """Disconnect a controller during the rebuild; it reconnects with old evidence."""
    label = world.rng.choice(world.labels)
    world.partitioned.add(label)
    await curio.sleep(world.rng.uniform(0.2, 3.0))
    await lose(world, loss)
    await curio.sleep(world.rng.uniform(5.0, 30.0))
    world.partitioned.discard(label)


async def delayed_commits(world: World, loss: Loss) -> None:
    """Let commits that were sent before the loss arrive after the rebuild."""
    label = world.rng.choice(world.labels)
    world.hold_s = (3.0, 30.0)
    world.partitioned.add(f"{label}>state")
    await curio.sleep(world.rng.uniform(0.5, 2.0))
    await lose(world, loss)
    await curio.sleep(world.rng.uniform(1.0, 8.0))
    world.partitioned.discard(f"{label}>state")


async def machines_disconnected(world: World, loss: Loss) -> None:
    """Restart a controller while machines are disconnected and can't be asked for their tasks."""
    machines = sorted(world.workers)
    disconnected = world.rng.sample(machines, min(2, len(machines)))
    world.partitioned.update(disconnected)
    await controller_restarts(world, loss)
    await curio.sleep(world.rng.uniform(3.0, 20.0))
    world.partitioned.difference_update(disconnected)


SCENARIOS: list[Scenario] = [
    controller_restarts,
    rebuilder_restarts,
    losses_during_rebuild,
    controller_disconnected,
    delayed_commits,
    machines_disconnected,
]


async def day_with_scenario(
    clock: Clock, seed: int, scenario: Scenario, loss: Loss, controllers: int
) -> World:
    world = World(clock, seed, controllers, rebuild=True)
    world.state.past = []
    await world.open()
    at = world.rng.randrange(10, JOBS_A_DAY - 2)
    for number in range(JOBS_A_DAY):
        fields, run_s = JOBS[number % len(JOBS)]
        await curio.spawn(world.submit, job(number, **fields), run_s, daemon=True)
        if number % 4 == 1 and world.rng.random() < 0.5:
            await curio.spawn(world.abort, job(number)["id"], daemon=True)
        if number == at:
            await curio.spawn(scenario, world, loss, daemon=True)
        await curio.sleep(world.rng.uniform(0.2, 3.0))
    return await wait_until_jobs_end(world)


FEWER_LOSSES = [(name, loss) for name, loss in LOSSES if name in ("0.5 s", "5 s", "all", "run/")]


@pytest.mark.parametrize("seed, controllers", [(1, 3), (2, 5)])
@pytest.mark.parametrize(
    "loss", [loss for _, loss in FEWER_LOSSES], ids=[name for name, _ in FEWER_LOSSES]
)
@pytest.mark.parametrize("scenario", SCENARIOS)
def test_rebuild_with_a_further_failure(
    monkeypatch: pytest.MonkeyPatch,
    caplog: pytest.LogCaptureFixture,
    scenario: Scenario,
    loss: Loss,
    seed: int,
    controllers: int,
) -> None:
    world = simulate(
        monkeypatch, lambda clock: day_with_scenario(clock, seed, scenario, loss, controllers)
    )
    assert world.violations == []
    assert [r.getMessage() for r in caplog.records if r.levelname == "ERROR"] == []
    assert len(world.accepted) == JOBS_A_DAY and world.unfinished_jobs() == {}


@pytest.mark.parametrize("seed", [1])
@pytest.mark.parametrize("loss", [loss for _, loss in LOSSES], ids=[name for name, _ in LOSSES])
def test_no_task_runs_twice_after_all_controllers_crash(
    monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture, loss: Loss, seed: int
) -> None:
    """All controllers crash during the loss and no snapshots exist.

    Jobs may be lost or return to an earlier state, but running tasks are found on their machines.
    """
    world = simulate(monkeypatch, lambda clock: day_with_losses(clock, seed, loss, 3.0, True))
    safety_rules = ("ran_twice", "quota", "wrong_place", "ran_cancelled", "invented", "not_done")
    assert [b for b in world.violations if b.startswith(safety_rules)] == []
    assert [r.getMessage() for r in caplog.records if r.levelname == "ERROR"] == []


@pytest.mark.parametrize("seed", [1, 2])
@pytest.mark.parametrize("loss", [loss for _, loss in LOSSES], ids=[name for name, _ in LOSSES])
def test_snapshots_restore_records_after_all_controllers_crash(
    monkeypatch: pytest.MonkeyPatch,
    caplog: pytest.LogCaptureFixture,
    tmp_path: Path,
    loss: Loss,
    seed: int,
) -> None:
    """Two of three controllers keep snapshots, and all crash while the state service loses records.

    The synced changes are restored, so no job is lost and no rule is broken.
    """

    async def run_inline(call: Callable[..., Any], *args: Any) -> Any:
        return call(*args)

    monkeypatch.setattr(curio, "run_in_thread", run_inline)
    monkeypatch.setattr(os, "fsync", lambda _: None)
    world = simulate(
        monkeypatch, lambda clock: day_with_losses(clock, seed, loss, 3.0, True, disks=tmp_path)
    )
    assert world.violations == [] and world.lost == set()
    assert [r.getMessage() for r in caplog.records if r.levelname == "ERROR"] == []
    assert len(world.accepted) == JOBS_A_DAY and world.unfinished_jobs() == {}


async def submit_known_to_one_controller(
    clock: Clock, second_copy: bool
) -> tuple[list[int], World]:
    """Submit a job that only one controller knows, and crash the controller as records are lost.

    Returns:
        The statuses of the answers to the user, and the world.
    """
    world = World(clock, 4, rebuild=True)
    world.second_copy = second_copy
    world.state.past = []
    await world.open()
    await world.submit(job(1, guess_s=60.0), 60.0)
    value = job(2)
    world.jobs[value["id"]], world.run_s[value["id"]] = value, 5.0
    world.results[value["id"]] = set()
    links = {"c1>state", "c2>state"}
    world.partitioned.update(links)
    await curio.sleep(0.5)
    answers = [(await world.user("c0", "POST", "/api/jobs", value))[0]]
    await curio.sleep(1.0)
    world.partitioned.difference_update(links)
    if not second_copy:
        world.state.roll_back(2.0)
        await world.crash("c0")
        await curio.sleep(15.0)
        answers.append((await world.user("c1", "GET", "/api/jobs/j-000002"))[0])
        return answers, world
    await curio.sleep(3.0)
    answers.append((await world.user("c0", "POST", "/api/jobs", value))[0])
    world.state.roll_back(0.05)
    await world.crash("c0")
    await curio.sleep(15.0)
    answers.append((await world.user("c1", "GET", "/api/jobs/j-000002"))[0])
    return answers, world


@pytest.mark.parametrize("second_copy, expected", [(True, [503, 200, 200]), (False, [201, 404])])
def test_submission_waits_for_second_copy(
    monkeypatch: pytest.MonkeyPatch, second_copy: bool, expected: list[int]
) -> None:
    answers, world = simulate(
        monkeypatch, lambda clock: submit_known_to_one_controller(clock, second_copy)
    )
    assert answers == expected and world.violations == []
