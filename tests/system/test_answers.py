"""Answers to users are never older than earlier answers, whichever controller gives them."""

from __future__ import annotations

from typing import NamedTuple

import curio
import pytest

from tests.system.test_meetings import (
    FaultScenario,
    delay_unanswered_writes,
    exclude_and_restart_all,
    isolate_from_store_and_peers,
    violations_and_unserved_jobs,
)
from tests.system.test_model import submit_daily_jobs, wait_until_jobs_end
from tests.system.test_restarts import restart_controller
from tests.world import Clock, World, simulate

OUTAGE_S = 12.0
# When users act, in seconds relative to the end of a job's last task. The range extends from
# shortly before the end until the job's final record is written.
AROUND_S = (-0.3, 2.5)


class Row(NamedTuple):
    """A simulated day: what the users do, and which faults occur."""

    name: str
    scenes: tuple[FaultScenario, ...] = ()
    with_bursts: bool = False
    cancel_at_once: float = 0.0
    with_odd_requests: bool = False
    controllers: int = 3
    seed: int = 61
    slow_s: float = 0.0  # upper bound of the delays of the state service and of its watches


async def restarts(world: World) -> None:
    """Restart random controllers, one after another."""
    for _ in range(6):
        await curio.sleep(world.rng.uniform(2.0, 8.0))
        await restart_controller(world, world.rng.choice(world.labels))


async def outages(world: World) -> None:
    """Let the state service refuse one controller, and soon afterwards all controllers."""
    for _ in range(3):
        label = world.rng.choice(world.labels)
        world.state.refused.add(label)
        await curio.sleep(world.rng.uniform(1.0, 8.0))
        world.state.outage(world.clock(), world.rng.uniform(1.0, OUTAGE_S))
        await curio.sleep(world.rng.uniform(1.0, OUTAGE_S))
        world.state.refused.discard(label)
        await curio.sleep(world.rng.uniform(1.0, 4.0))


def about_to_end(world: World) -> dict[str, float]:
    """Return the end time of each job whose remaining tasks are all running."""
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


def act_around_ends(action: str) -> FaultScenario:
    """Return a scene in which users query, resubmit or cancel jobs as their last tasks end."""

    async def act_at_end(world: World, name: str, at: float) -> None:
        await curio.sleep(max(0.0, at - world.clock()))
        label = world.rng.choice(world.labels)
        if action == "abort":
            await world.abort(name, label)
        elif action == "submit":
            await world.submit_again(name, label)
        else:
            await world.ask(name, label)

    async def scene(world: World) -> None:
        handled: set[str] = set()
        end = world.clock() + 90.0
        while world.clock() < end:
            await curio.sleep(0.05)
            for name, until in about_to_end(world).items():
                if name in handled:
                    continue
                handled.add(name)
                for _ in range(2 if action == "abort" else 20):
                    at = until + world.rng.uniform(*AROUND_S)
                    await curio.spawn(act_at_end, world, name, at, daemon=True)
        assert len(handled) > 10, "too few jobs ended"

    scene.__name__ = f"{action}_at_end"
    return scene


ROWS = [
    # This day fails if the final record is written without the live record as a condition.
    Row("abort as the last task ends", (act_around_ends("abort"),), True, seed=62, slow_s=0.4),
    # This day fails if a query is answered from memory.
    Row("poll as the last task ends", (act_around_ends("poll"),), True, slow_s=0.4),
    # This day fails if a repeated submission is answered from memory.
    Row("submit as the last task ends", (act_around_ends("submit"),), True, slow_s=0.4),
    # This day fails if the final record is read before the live record, or if a controller answers
    # 404 for each job that is not in its memory.
    Row("query bursts", with_bursts=True, cancel_at_once=0.3, slow_s=0.4),
    # Each of these days fails if a controller takes a job for live from memory alone. The day with
    # late writes also fails if a submission lacks the condition that no final record exists.
    *(
        Row(
            f"query bursts while {scene.__name__}",
            (scene,),
            True,
            0.3,
            False,
            controllers,
            slow_s=0.4,
        )
        for scene, controllers in (
            (restarts, 3),
            (outages, 5),
            (delay_unanswered_writes, 3),
            (exclude_and_restart_all, 5),
            (isolate_from_store_and_peers, 3),
        )
    ),
    # This day fails if no request is refused, or if the queries about one job are never answered.
    Row("odd requests", with_odd_requests=True),
    # Both days fail if a submission lacks the condition that no final record exists.
    Row("odd requests while restarts", (restarts,), with_odd_requests=True),
    Row(
        "odd requests while exclude_and_restart_all",
        (exclude_and_restart_all,),
        with_odd_requests=True,
        controllers=5,
    ),
    # This day fails for the same reasons as the query bursts above.
    Row("odd requests and query bursts while outages", (outages,), True, 0.2, True),
]


async def day(clock: Clock, row: Row) -> World:
    world = World(clock, row.seed, row.controllers)
    world.query_bursts, world.cancel_at_once = row.with_bursts, row.cancel_at_once
    world.odd_requests = row.with_odd_requests
    world.slow_s = world.watch_delay_s = row.slow_s
    await world.open()
    troubles = [await curio.spawn(scene, world, daemon=True) for scene in row.scenes]
    await submit_daily_jobs(world)
    for trouble in troubles:
        await trouble.join()
    world.late_writes = world.slow_s = 0.0
    world.partitioned.clear()
    world.state.refused.clear()
    world.faults_end_at = clock()
    return await wait_until_jobs_end(world)


@pytest.mark.parametrize("row", ROWS, ids=lambda row: f"{row.name}-{row.controllers}-{row.seed}")
def test_no_controller_gives_an_older_answer(monkeypatch: pytest.MonkeyPatch, row: Row) -> None:
    world = simulate(monkeypatch, lambda clock: day(clock, row))
    assert violations_and_unserved_jobs(world) == []
    assert (world.burst_query_count > 100) == row.with_bursts and (
        world.odd_request_count > 50
    ) == row.with_odd_requests
