"""What users are told, by whichever node and however close to what has just happened."""

from __future__ import annotations

from typing import NamedTuple

import curio
import pytest

from tests.system.test_meetings import Scene, cut_leader, held_up, late_writes, there_and_back
from tests.system.test_model import until_over, work
from tests.system.test_restarts import again
from tests.world import Clock, World, simulate

OUTAGE_S = 12.0
# From a little before a job's last task ends until its final record has been written.
AROUND_S = (-0.3, 2.5)


class Row(NamedTuple):
    """A day of users with these habits, and what else happens on it."""

    name: str
    scenes: tuple[Scene, ...] = ()
    looks: bool = False
    cancel_at_once: float = 0.0
    odd: bool = False
    controllers: int = 3
    seed: int = 61
    slow_s: float = 0.0  # of the state service, and of its news


async def leader_changes(world: World) -> None:
    """Controllers end and begin again, one after another."""
    for _ in range(6):
        await curio.sleep(world.rng.uniform(2.0, 8.0))
        await again(world, world.rng.choice(world.labels))


async def outages(world: World) -> None:
    """The state service refuses one controller, and a little later all of them."""
    for _ in range(3):
        label = world.rng.choice(world.labels)
        world.state.refused.add(label)
        await curio.sleep(world.rng.uniform(1.0, 8.0))
        world.state.outage(world.clock(), world.rng.uniform(1.0, OUTAGE_S))
        await curio.sleep(world.rng.uniform(1.0, OUTAGE_S))
        world.state.refused.discard(label)
        await curio.sleep(world.rng.uniform(1.0, 4.0))


def about_to_end(world: World) -> dict[str, float]:
    """Jobs of which all remaining tasks run, and when the last of these completes."""
    running: dict[str, dict[int, float]] = {}
    for worker in world.workers.values():
        for (task, _), state in worker.tasks.items():
            name, _, number = task.partition("/")
            if state.state == "running" and world.jobs[name]["shape"] != "daemon":
                running.setdefault(name, {})[int(number)] = state.until
    return {
        name: max(until.values())
        for name, until in running.items()
        if until.keys() >= set(range(world.jobs[name]["pieces"])) - world.results[name]
    }


def around_ends(way: str) -> Scene:
    """Users ask, submit again or cancel just as the last task of a job ends."""

    async def meet_end(world: World, name: str, at: float) -> None:
        await curio.sleep(max(0.0, at - world.clock()))
        label = world.rng.choice(world.labels)
        if way == "abort":
            await world.abort(name, label)
        elif way == "submit":
            await world.submit_again(name, label)
        else:
            await world.ask(name, label)

    async def scene(world: World) -> None:
        met: set[str] = set()
        end = world.clock() + 90.0
        while world.clock() < end:
            await curio.sleep(0.05)
            for name, until in about_to_end(world).items():
                if name in met:
                    continue
                met.add(name)
                for _ in range(2 if way == "abort" else 20):
                    at = until + world.rng.uniform(*AROUND_S)
                    await curio.spawn(meet_end, world, name, at, daemon=True)
        assert len(met) > 10, "too few jobs ended"

    scene.__name__ = f"{way}_at_end"
    return scene


ROWS = [
    # Fails where the final record is put without the live one as a condition.
    Row("abort as the last task ends", (around_ends("abort"),), True, seed=62, slow_s=0.4),
    # Fails where a question is answered from memory.
    Row("poll as the last task ends", (around_ends("poll"),), True, slow_s=0.4),
    # Fails where a repeated submission is.
    Row("submit as the last task ends", (around_ends("submit"),), True, slow_s=0.4),
    # Fails where the final record is read before the live one, and where what a node doesn't
    # know by itself is answered 404.
    Row("looks", looks=True, cancel_at_once=0.3, slow_s=0.4),
    # Each fails where it is known from memory alone that a job is live; the one with late
    # writes where a submission doesn't have the missing final record as a condition.
    *(
        Row(f"looks while {scene.__name__}", (scene,), True, 0.3, False, controllers, slow_s=0.4)
        for scene, controllers in (
            (leader_changes, 3),
            (outages, 5),
            (late_writes, 3),
            (there_and_back, 5),
            (cut_leader, 3),
        )
    ),
    # Fails where nothing is refused, and where one job's questions are never answered.
    Row("odd requests", odd=True),
    # Both fail where a submission does not have the missing final record as a condition.
    Row("odd requests while leader_changes", (leader_changes,), odd=True),
    Row("odd requests while there_and_back", (there_and_back,), odd=True, controllers=5),
    # Fails as the looks above do.
    Row("odd requests and looks while outages", (outages,), True, 0.2, True),
]


async def day(clock: Clock, row: Row) -> World:
    world = World(clock, row.seed, row.controllers)
    world.close_looks, world.cancel_at_once = row.looks, row.cancel_at_once
    world.odd_requests = row.odd
    world.slow_s = world.news_late_s = row.slow_s
    await world.open()
    troubles = [await curio.spawn(scene, world, daemon=True) for scene in row.scenes]
    await work(world)
    for trouble in troubles:
        await trouble.join()
    world.late_writes = world.slow_s = 0.0
    world.cut.clear()
    world.state.refused.clear()
    world.calm_at = clock()
    return await until_over(world)


@pytest.mark.parametrize("row", ROWS, ids=lambda row: f"{row.name}-{row.controllers}-{row.seed}")
def test_no_node_gives_an_older_answer(monkeypatch: pytest.MonkeyPatch, row: Row) -> None:
    world = simulate(monkeypatch, lambda clock: day(clock, row))
    assert held_up(world) == []
    assert (world.looks > 100) == row.looks and (world.odd > 50) == row.odd
