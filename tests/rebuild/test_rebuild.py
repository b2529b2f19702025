"""The state service comes back with records missing: what the controllers still know, and
what runs on the machines, puts them together again, and no rule is broken meanwhile."""

from __future__ import annotations

import os
from collections.abc import Callable, Coroutine
from pathlib import Path
from typing import Any

import curio
import pytest

from tests.system.test_model import JOBS, JOBS_A_DAY, until_over, work
from tests.world import Clock, World, job, simulate

Loss = Callable[[World], Any]


async def lose(world: World, loss: Loss, outage_s: float = 3.0, ends: bool = False) -> None:
    """The state service is out for a moment, and what it has lost is gone when it is back."""
    if outage_s:
        world.state.outage(world.clock(), outage_s)
    loss(world)
    if ends:
        world.lost = set()
        for label in list(world.controllers):
            await world.crash(label)
        await curio.sleep(0.3)
        for label in world.labels:
            await world.start(label)


async def losing_day(
    clock: Clock,
    seed: int,
    loss: Loss,
    outage_s: float,
    ends: bool,
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

    async def then(number: int) -> None:
        if number in at:
            await curio.spawn(lose, world, loss, outage_s, ends, daemon=True)

    await work(world, then)
    return await until_over(world)


def back(seconds: float) -> Loss:
    return lambda world: world.state.lose(seconds)


def prefix(name: str) -> Loss:
    return lambda world: world.state.lose_keys(name)


def left(world: World) -> dict[str, Any]:
    return {
        i: world.told.get(i)
        for i in world.accepted
        if world.jobs[i]["shape"] != "daemon" and world.told.get(i) not in ("done", "cancelled")
    }


LOSSES: list[tuple[str, Loss]] = [
    ("0.1 s", back(0.1)),
    ("0.5 s", back(0.5)),
    ("5 s", back(5.0)),
    ("all", back(1e6)),
    ("end/", prefix("end/")),
    ("run/", prefix("run/")),
    ("quota/", prefix("quota/")),
    ("epoch", prefix("c/generation")),
    ("c/", prefix("c/")),
    ("nothing", prefix("-")),
]


@pytest.mark.parametrize("seed, outage_s", [(1, 3.0), (2, 3.0), (3, 0.0)])
@pytest.mark.parametrize("loss", [loss for _, loss in LOSSES], ids=[name for name, _ in LOSSES])
def test_controllers_that_live_on_put_the_records_together(
    monkeypatch: pytest.MonkeyPatch,
    caplog: pytest.LogCaptureFixture,
    loss: Loss,
    seed: int,
    outage_s: float,
) -> None:
    world = simulate(monkeypatch, lambda clock: losing_day(clock, seed, loss, outage_s, False))
    assert world.broken == []
    assert [r.getMessage() for r in caplog.records if r.levelname == "ERROR"] == []
    assert len(world.accepted) == JOBS_A_DAY and left(world) == {}


# -- losses with more than a loss ------------------------------------------------


Scene = Callable[[World, Loss], Coroutine[Any, Any, None]]


async def again(world: World, label: str, after_s: float) -> None:
    if label in world.controllers:
        await world.crash(label)
        await curio.sleep(after_s)
        if label not in world.controllers:
            await world.start(label)


async def one_ends(world: World, loss: Loss) -> None:
    """Its memory of what its jobs have where is gone: the machines are asked."""
    await lose(world, loss)
    await again(world, world.rng.choice(world.labels), world.rng.uniform(0.3, 6.0))


async def rebuilder(world: World, before: str = "") -> str:
    """Who is at it, once somebody is."""
    for _ in range(600):
        head = world.state.keys.get("c/lineage")
        if head is not None and head[0]["state"] == "rebuilding" and head[0]["id"] != before:
            return str(head[0]["by"])
        await curio.sleep(0.05)
    return ""


async def who_rebuilds_ends(world: World, loss: Loss) -> None:
    await lose(world, loss, 1.0)
    for _ in range(2):
        label = await rebuilder(world)
        if label:
            await again(world, label, world.rng.uniform(0.3, 2.0))


async def lost_again_meanwhile(world: World, loss: Loss) -> None:
    await lose(world, loss, 1.0)
    await rebuilder(world)
    await curio.sleep(world.rng.uniform(0.0, 0.3))
    await lose(world, loss, 1.0)
    await curio.sleep(world.rng.uniform(0.5, 4.0))
    await lose(world, loss, 1.0)


async def one_cut_off(world: World, loss: Loss) -> None:
    """It comes back with what it knew when the others have long gone on."""
    label = world.rng.choice(world.labels)
    world.cut.add(label)
    await curio.sleep(world.rng.uniform(0.2, 3.0))
    await lose(world, loss)
    await curio.sleep(world.rng.uniform(5.0, 30.0))
    world.cut.discard(label)


async def commits_on_their_way(world: World, loss: Loss) -> None:
    """Sent before the loss, applied long after the records have been rebuilt."""
    label = world.rng.choice(world.labels)
    world.hold_s = (3.0, 30.0)
    world.cut.add(f"{label}>state")
    await curio.sleep(world.rng.uniform(0.5, 2.0))
    await lose(world, loss)
    await curio.sleep(world.rng.uniform(1.0, 8.0))
    world.cut.discard(f"{label}>state")


async def machines_cut_off(world: World, loss: Loss) -> None:
    """What they hold can't be asked for while a controller that knew it is gone."""
    up = sorted(world.workers)
    gone = world.rng.sample(up, min(2, len(up)))
    world.cut.update(gone)
    await one_ends(world, loss)
    await curio.sleep(world.rng.uniform(3.0, 20.0))
    world.cut.difference_update(gone)


SCENES: list[Scene] = [
    one_ends,
    who_rebuilds_ends,
    lost_again_meanwhile,
    one_cut_off,
    commits_on_their_way,
    machines_cut_off,
]


async def scene_day(clock: Clock, seed: int, scene: Scene, loss: Loss, controllers: int) -> World:
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
            await curio.spawn(scene, world, loss, daemon=True)
        await curio.sleep(world.rng.uniform(0.2, 3.0))
    return await until_over(world)


SOME = [(name, loss) for name, loss in LOSSES if name in ("0.5 s", "5 s", "all", "run/")]


@pytest.mark.parametrize("seed, controllers", [(1, 3), (2, 5)])
@pytest.mark.parametrize("loss", [loss for _, loss in SOME], ids=[name for name, _ in SOME])
@pytest.mark.parametrize("scene", SCENES)
def test_a_loss_seldom_comes_alone(
    monkeypatch: pytest.MonkeyPatch,
    caplog: pytest.LogCaptureFixture,
    scene: Scene,
    loss: Loss,
    seed: int,
    controllers: int,
) -> None:
    world = simulate(monkeypatch, lambda clock: scene_day(clock, seed, scene, loss, controllers))
    assert world.broken == []
    assert [r.getMessage() for r in caplog.records if r.levelname == "ERROR"] == []
    assert len(world.accepted) == JOBS_A_DAY and left(world) == {}


@pytest.mark.parametrize("seed", [1])
@pytest.mark.parametrize("loss", [loss for _, loss in LOSSES], ids=[name for name, _ in LOSSES])
def test_with_nobody_left_who_knows_nothing_runs_twice(
    monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture, loss: Loss, seed: int
) -> None:
    """All controllers end as well, and nothing else remembers: jobs may be lost, or told of
    as they were before. What runs is found on its machines all the same."""
    world = simulate(monkeypatch, lambda clock: losing_day(clock, seed, loss, 3.0, True))
    worst = ("ran_twice", "quota", "wrong_place", "ran_cancelled", "invented", "not_done")
    assert [b for b in world.broken if b.startswith(worst)] == []
    assert [r.getMessage() for r in caplog.records if r.levelname == "ERROR"] == []


@pytest.mark.parametrize("seed", [1, 2])
@pytest.mark.parametrize("loss", [loss for _, loss in LOSSES], ids=[name for name, _ in LOSSES])
def test_with_all_ended_a_disk_remembers(
    monkeypatch: pytest.MonkeyPatch,
    caplog: pytest.LogCaptureFixture,
    tmp_path: Path,
    loss: Loss,
    seed: int,
) -> None:
    """Two of three controllers keep snapshots; all end while the state service loses records.
    What was synced comes back, and no rule is broken: here nothing is lost at all."""

    async def in_line(call: Callable[..., Any], *args: Any) -> Any:
        return call(*args)

    monkeypatch.setattr(curio, "run_in_thread", in_line)
    monkeypatch.setattr(os, "fsync", lambda _: None)
    world = simulate(
        monkeypatch, lambda clock: losing_day(clock, seed, loss, 3.0, True, disks=tmp_path)
    )
    assert world.broken == [] and world.lost == set()
    assert [r.getMessage() for r in caplog.records if r.levelname == "ERROR"] == []
    assert len(world.accepted) == JOBS_A_DAY and left(world) == {}


async def told_by_one_alone(clock: Clock, second_copy: bool) -> tuple[list[int], World]:
    """The others don't hear of a job in time; the one that took it ends with the loss."""
    world = World(clock, 4, rebuild=True)
    world.second_copy = second_copy
    world.state.past = []
    await world.open()
    await world.submit(job(1, guess_s=60.0), 60.0)
    value = job(2)
    world.jobs[value["id"]], world.run_s[value["id"]] = value, 5.0
    world.results[value["id"]] = set()
    others = {"c1>state", "c2>state"}
    world.cut.update(others)
    await curio.sleep(0.5)
    answers = [(await world.user("c0", "POST", "/api/jobs", value))[0]]
    await curio.sleep(1.0)
    world.cut.difference_update(others)
    if not second_copy:
        world.state.lose(2.0)
        await world.crash("c0")
        await curio.sleep(15.0)
        answers.append((await world.user("c1", "GET", "/api/jobs/j-000002"))[0])
        return answers, world
    await curio.sleep(3.0)
    answers.append((await world.user("c0", "POST", "/api/jobs", value))[0])
    world.state.lose(0.05)
    await world.crash("c0")
    await curio.sleep(15.0)
    answers.append((await world.user("c1", "GET", "/api/jobs/j-000002"))[0])
    return answers, world


@pytest.mark.parametrize("second_copy, expected", [(True, [503, 200, 200]), (False, [201, 404])])
def test_with_a_second_copy_nothing_is_told_that_one_alone_knows(
    monkeypatch: pytest.MonkeyPatch, second_copy: bool, expected: list[int]
) -> None:
    answers, world = simulate(monkeypatch, lambda clock: told_by_one_alone(clock, second_copy))
    assert answers == expected and world.broken == []
