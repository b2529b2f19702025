"""Tests of orders of events that a single mechanism guards against, one test per mechanism."""

from __future__ import annotations

import curio
import pytest

from tests.system.test_meetings import job_with_delayed_launch, start_long_jobs
from tests.troubles import CANCEL_S, LEASE_S, busiest, end_faults, long_jobs, time_to_recover_s
from tests.world import Clock, World, simulate


async def launch_outlives_its_sender(clock: Clock, arrives_s: float) -> World:
    """Deliver a launch long after its sender was restarted.

    The job is cancelled before an outage of the state service, and the sender is started again
    during the outage. The worker keeps its session throughout.
    """
    world = World(clock, 41)
    await start_long_jobs(world)
    name, sender, asked = await job_with_delayed_launch(world)
    world.hold_s = (arrives_s, arrives_s + 1.0)
    await curio.sleep(0.3)
    await world.crash(sender)
    await curio.spawn(world.abort, name, asked, daemon=True)
    while f"end/{name}" not in world.state.keys:
        await curio.sleep(0.01)
    world.state.outage(clock(), 3 * CANCEL_S)
    world.held_senders.clear()
    await curio.sleep(0.3)
    await world.start(sender)
    await curio.sleep(3 * CANCEL_S)
    assert name in world.cancelled
    end_faults(world)
    await curio.sleep(10.0)
    return world


@pytest.mark.parametrize("arrives_s", [CANCEL_S + 8.0, 2 * CANCEL_S])
def test_a_launch_does_not_outlive_its_sender(
    monkeypatch: pytest.MonkeyPatch, arrives_s: float
) -> None:
    world = simulate(monkeypatch, lambda clock: launch_outlives_its_sender(clock, arrives_s))
    assert world.violations == []


async def mute_for_long(clock: Clock, for_s: float, leader_ends: bool) -> tuple[World, float]:
    """Let machines answer commands without reporting; measure the interruption of their tasks."""
    world = World(clock, 44)
    await world.open()
    await long_jobs(world, 8, shape="sweep")
    chosen = busiest(world, 1 / 3)
    return world, await time_to_recover_s(
        world, world.reports_blocked, chosen, for_s, leader_ends, 4 * CANCEL_S
    )


@pytest.mark.parametrize("leader_ends", [False, True])
@pytest.mark.parametrize("for_s, most_s", [(0.4 * LEASE_S, 0.0), (100 * LEASE_S, 2 * CANCEL_S)])
def test_machines_that_only_answer_get_no_work_for_ever(
    monkeypatch: pytest.MonkeyPatch, for_s: float, most_s: float, leader_ends: bool
) -> None:
    world, missed_s = simulate(monkeypatch, lambda clock: mute_for_long(clock, for_s, leader_ends))
    assert world.violations == []
    assert missed_s <= most_s
