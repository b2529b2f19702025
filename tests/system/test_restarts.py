"""Controllers repeatedly crash and restart within half a second, alone or all together.

No rule is broken, and every job is served after the restarts.
"""

from __future__ import annotations

from collections.abc import Callable, Coroutine
from typing import Any

import curio
import pytest

from clayport.membership.epoch import Epoch, may_propose, next_epoch
from clayport.membership.flap_damping import FlapDamping
from tests.system.test_model import JOBS, JOBS_A_DAY, hold_commands_and_restart, wait_until_jobs_end
from tests.world import Clock, World, job, simulate

RESTART_S = (0.05, 0.5)
FaultScenario = Callable[[World], Coroutine[Any, Any, None]]


async def restart_controller(world: World, label: str) -> None:
    """Crash a controller and start it again within half a second."""
    if label in world.controllers:
        await world.crash(label)
        await curio.sleep(world.rng.uniform(*RESTART_S))
        if label not in world.controllers:
            await world.start(label)


async def restart_all(world: World, times: int = 1, every_s: float = 1.3) -> None:
    for _ in range(times):
        tasks = [await curio.spawn(restart_controller, world, label) for label in world.labels]
        await curio.sleep(every_s)
        for task in tasks:
            await task.join()


async def restart_one_twenty_times(world: World) -> None:
    for _ in range(20):
        await restart_controller(world, "c1")
        await curio.sleep(world.rng.uniform(1.0, 4.0))


async def restart_all_three_times_in_four_seconds(world: World) -> None:
    for _ in range(3):
        await restart_all(world, times=3)
        await curio.sleep(world.rng.uniform(5.0, 15.0))


async def restart_as_soon_as_it_serves(world: World) -> None:
    end = world.clock() + 60.0
    while world.clock() < end:
        c = world.controllers.get("c2")
        if c is not None and c.membership.serving:
            await restart_controller(world, "c2")
        await curio.sleep(0.05)


async def restarts_during_outages(world: World) -> None:
    for _ in range(4):
        world.state.outage(world.clock(), world.rng.uniform(3.0, 9.0))
        for _ in range(4):
            await restart_controller(world, world.rng.choice(world.labels))
            await curio.sleep(world.rng.uniform(0.2, 2.0))
        await restart_all(world)
        await curio.sleep(world.rng.uniform(5.0, 12.0))


async def restarts_with_messages_in_flight(world: World) -> None:
    """Commands, commits and frames are delayed and arrive after the next process has started."""
    world.hold_s = (0.1, 20.0)
    for _ in range(10):
        label = world.rng.choice(world.labels)
        world.loss = 0.1
        await curio.spawn(hold_commands_and_restart, world, label, daemon=True)
        await curio.sleep(world.rng.uniform(0.2, 1.5))
        await restart_controller(world, label)
        await curio.sleep(world.rng.uniform(0.5, 4.0))
    world.loss = 0.0
    world.held_senders.clear()


SCENES: list[FaultScenario] = [
    restart_one_twenty_times,
    restart_all_three_times_in_four_seconds,
    restart_as_soon_as_it_serves,
    restarts_during_outages,
    restarts_with_messages_in_flight,
]


async def run_day(clock: Clock, scene: FaultScenario, seed: int, controllers: int) -> World:
    world = World(clock, seed, controllers)
    await world.open()
    fault = await curio.spawn(scene, world, daemon=True)
    for number in range(JOBS_A_DAY):
        fields, run_s = JOBS[number % len(JOBS)]
        await curio.spawn(world.submit, job(number, **fields), run_s, daemon=True)
        if number % 5 == 1:
            await curio.spawn(world.abort, job(number - 1)["id"], daemon=True)
        await curio.sleep(world.rng.uniform(0.2, 3.0))
    await fault.join()
    return await wait_until_jobs_end(world)


@pytest.mark.parametrize("scene", SCENES)
@pytest.mark.parametrize("seed, controllers", [(31, 3), (32, 5)])
def test_rules_hold_when_controllers_restart_at_once(
    monkeypatch: pytest.MonkeyPatch,
    caplog: pytest.LogCaptureFixture,
    scene: FaultScenario,
    seed: int,
    controllers: int,
) -> None:
    world = simulate(monkeypatch, lambda clock: run_day(clock, scene, seed, controllers))
    assert world.violations == []
    assert [r.getMessage() for r in caplog.records if r.levelname == "ERROR"] == []
    assert len(world.accepted) == JOBS_A_DAY and world.launches > 0
    assert world.unfinished_jobs() == {}
    # A start leaves no records but the controller's own two.
    assert len([k for k in world.state.keys if k.startswith("c/node/")]) <= controllers
    assert len([k for k in world.state.keys if k.startswith("c/version/")]) == controllers
    assert all(c.membership.serving for c in world.controllers.values())


async def count_epochs(clock: Clock, scene: FaultScenario) -> tuple[int, list[str]]:
    """Return the number of epochs that a scene causes, and the members of the last one."""
    world = World(clock, 33)
    for label in world.labels:
        await world.start(label)
    for routine in (world.spawner, world.watch_rules):
        await curio.spawn(routine, daemon=True)
    await curio.sleep(15.0)
    before = world.controllers["c0"].membership.epoch.number
    await scene(world)
    count = world.controllers["c0"].membership.epoch.number - before
    await curio.sleep(90.0)
    assert world.violations == []
    return count, sorted(world.controllers["c0"].membership.epoch.members)


@pytest.mark.parametrize(
    "scene, max_epochs",
    [
        (restart_one_twenty_times, 8),
        (restart_as_soon_as_it_serves, 16),
        (restart_all_three_times_in_four_seconds, 12),
    ],
)
def test_repeated_restarts_cause_a_bounded_number_of_epochs(
    monkeypatch: pytest.MonkeyPatch, scene: FaultScenario, max_epochs: int
) -> None:
    """Without flap damping, each restart makes all other controllers announce an epoch and load
    their jobs again."""
    count, members = simulate(monkeypatch, lambda clock: count_epochs(clock, scene))
    assert 1 <= count <= max_epochs
    assert members == ["c0", "c1", "c2"]  # the controller is readmitted once it stays up


@pytest.mark.parametrize(
    "restarts, now, pause_s",
    [
        ([0.0], 0.0, 0.0),
        ([0.0, 1.0], 1.0, 0.0),
        ([0.0, 1.0, 2.0], 2.0, 2.0),
        ([0.0, 1.0, 2.0], 4.1, 0.0),
        ([0.0, 1.0, 2.0, 3.0], 3.0, 4.0),
        ([0.0, 1.0, 2.0, 3.0, 4.0, 5.0, 6.0], 6.0, 32.0),
        ([float(n) for n in range(30)], 29.0, 40.0),
        ([0.0, 50.0, 100.0, 150.0], 150.0, 0.0),
    ],
)
def test_pauses_grow_with_recent_restarts(
    restarts: list[float], now: float, pause_s: float
) -> None:
    damping = FlapDamping(40.0, 2.0, 40.0)
    members = {"a": "a0", "b": "b0"}
    damping.observe(members, -1.0)
    for number, at in enumerate(restarts):
        damping.observe({"a": "a0", "b": f"b{number + 1}"}, at)
    present = {"a": "a0", "b": f"b{len(restarts)}"}
    assert ("b" in damping.admitted(members, present, now)) == (pause_s == 0.0)
    assert "b" in damping.admitted(members, present, now + pause_s)
    assert "b" not in damping.admitted(members, present, now + pause_s - 0.1) or not pause_s
    # Damping excludes no current member, and it never leaves an epoch without members.
    assert "b" in damping.admitted({"b": f"b{len(restarts)}"}, present, now)
    assert damping.admitted({}, {"b": "b9"}, now) == {"b": "b9"}


@pytest.mark.parametrize(
    "present, proposes",
    [
        ({"a": "a0", "b": "b0", "c": "c1"}, {"a": True, "b": True, "c": False}),
        ({"a": "a1", "b": "b0", "c": "c1"}, {"a": False, "b": True, "c": False}),
        ({"a": "a1", "b": "b1", "c": "c1"}, {"a": True, "b": True, "c": True}),
        ({"c": "c1"}, {"c": True}),
    ],
)
def test_a_restarted_controller_leaves_the_proposal_to_the_members(
    present: dict[str, str], proposes: dict[str, bool]
) -> None:
    """A controller that has just started does not know how often its peers have restarted.

    Controllers that start together also enter one epoch, instead of one epoch each.
    """
    members = {"a": "a0", "b": "b0", "c": "c0"}
    assert {me: may_propose(me, members, present) for me in present} == proposes
    assert next_epoch(Epoch(4, members, 1), present) is not None
