"""The state service comes back with records missing: what the controllers still know, and
what runs on the machines, puts them together again, and no rule is broken meanwhile."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import curio
import pytest

from .test_model import JOBS, JOBS_A_DAY, until_over
from .world import Clock, World, job, simulate

Loss = Callable[[World], Any]


async def lose(world: World, loss: Loss, outage_s: float = 3.0, ends: bool = False) -> None:
    """The state service is out for a moment, and what it has lost is gone when it is back."""
    if outage_s:
        world.state.outage(world.clock(), outage_s)
    loss(world)
    if ends:
        for label in list(world.controllers):
            await world.crash(label)
        await curio.sleep(0.3)
        for label in world.labels:
            await world.start(label)


async def losing_day(clock: Clock, seed: int, loss: Loss, outage_s: float, ends: bool,
                     controllers: int = 3, times: int = 1) -> World:
    world = World(clock, seed, controllers, rebuild=True)
    world.state.past = []
    for label in world.labels:
        await world.start(label)
    for routine in (world.spawner, world.poll, world.watch_rules):
        await curio.spawn(routine, daemon=True)
    aborted = []
    at = sorted(world.rng.sample(range(6, JOBS_A_DAY - 2), times))
    for number in range(JOBS_A_DAY):
        fields, run_s = JOBS[number % len(JOBS)]
        await curio.spawn(world.submit, job(number, **fields), run_s, daemon=True)
        if number % 4 == 1:
            aborted.append(number)
        await curio.sleep(world.rng.uniform(0.2, 3.0))
        if aborted and world.rng.random() < 0.5:
            await curio.spawn(world.abort, job(aborted.pop())["id"], daemon=True)
        if number in at:
            await curio.spawn(lose, world, loss, outage_s, ends, daemon=True)
    return await until_over(world)


def back(seconds: float) -> Loss:
    return lambda world: world.state.lose(seconds)


def prefix(name: str) -> Loss:
    return lambda world: world.state.lose_keys(name)


def left(world: World) -> dict[str, Any]:
    return {i: world.told.get(i) for i in world.accepted
            if world.jobs[i]["shape"] != "daemon"
            and world.told.get(i) not in ("done", "cancelled")}


LOSSES: list[tuple[str, Loss]] = [
    ("0.1 s", back(0.1)), ("0.5 s", back(0.5)), ("5 s", back(5.0)), ("all", back(1e6)),
    ("end/", prefix("end/")), ("run/", prefix("run/")), ("quota/", prefix("quota/")),
    ("generation", prefix("c/generation")), ("c/", prefix("c/")), ("nothing", prefix("-"))]


@pytest.mark.parametrize("outage_s", [3.0, 0.0])
@pytest.mark.parametrize("seed", [1, 2, 3])
@pytest.mark.parametrize("loss", [loss for _, loss in LOSSES], ids=[name for name, _ in LOSSES])
def test_controllers_that_live_on_put_the_records_together(
        monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture, loss: Loss, seed: int,
        outage_s: float) -> None:
    world = simulate(monkeypatch, lambda clock: losing_day(clock, seed, loss, outage_s, False))
    assert world.broken == []
    assert [r.getMessage() for r in caplog.records if r.levelname == "ERROR"] == []
    assert len(world.accepted) == JOBS_A_DAY and left(world) == {}
