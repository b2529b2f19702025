"""Tests that a launch held by the network does not start a task of a cancelled job too late.

The network holds the launches of one controller for longer than `cancel_s`, and delivers them
although the controller has given them up or has ended. The jobs are cancelled meanwhile, and no
new epoch voids the launches, mostly because the state service is out.
"""

from __future__ import annotations

from collections.abc import Callable, Coroutine
from typing import Any, NamedTuple

import curio
import pytest

from tests.system.test_meetings import start_long_jobs
from tests.troubles import CANCEL_S, LONG_S, cancel, end_faults, until_launches_are_sent
from tests.world import Clock, World, job, simulate

SENDER = "c0"
FIRST_JOB, JOBS = 100, 12


async def held_launches(world: World) -> set[str]:
    """Submit jobs while the sender's commands are held; return those with a held launch."""
    world.interrupt_commands(SENDER)
    for number in range(FIRST_JOB, FIRST_JOB + JOBS):
        value = job(number, pieces=1, vcpus=0.5, guess_s=LONG_S)
        await curio.spawn(world.submit, value, LONG_S, daemon=True)
    held = await until_launches_are_sent(world, SENDER)
    assert held, "the sender sent no launch"
    return held


async def cancel_all(world: World, names: set[str]) -> None:
    """Let users cancel the jobs, and wait until they have been told."""
    await cancel(world, sorted(names))
    end = world.clock() + 20.0
    while not names <= set(world.cancelled):
        await curio.sleep(0.05)
        assert world.clock() < end, "the users were not told in time"


async def sender_ends(world: World, names: set[str]) -> None:
    """The sender ends once the users were told, and an outage begins."""
    await cancel_all(world, names)
    await world.crash(SENDER)
    world.state.outage(world.clock(), 3 * CANCEL_S)


async def sender_is_cut_off(world: World, names: set[str]) -> None:
    """The sender loses the network to everybody once the users were told, in an outage."""
    await cancel_all(world, names)
    world.partitioned.add(SENDER)
    world.state.outage(world.clock(), 3 * CANCEL_S)


async def next_epoch_is_not_loaded(world: World, names: set[str]) -> None:
    """The sender ends, and the outage begins when the next epoch has just been committed."""
    await cancel_all(world, names)
    await world.crash(SENDER)
    before = world.state.keys["c/generation"]
    while world.state.keys["c/generation"] == before:
        await curio.sleep(0.001)
    world.state.outage(world.clock(), 3 * CANCEL_S)


async def machines_are_cut_from_the_sender(world: World, names: set[str]) -> None:
    """The sender's machines don't reach it, while its peers do, and an outage begins."""
    await cancel_all(world, names)
    world.partitioned |= {f"{machine}>{SENDER}" for machine in world.workers}
    world.state.outage(world.clock(), 3 * CANCEL_S)


async def sender_reaches_one_peer(world: World, names: set[str]) -> None:
    """The sender loses its machines and one of two peers; the state service stays up."""
    await cancel_all(world, names)
    world.partitioned |= {f"{machine}>{SENDER}" for machine in world.workers}
    world.partitioned |= {f"{SENDER}>c1", f"c1>{SENDER}"}


class HeldLaunch(NamedTuple):
    """What happens after launches were held, and when they arrive after the users were told."""

    fault: Callable[[World, set[str]], Coroutine[Any, Any, None]]
    arrives_s: float


async def simulate_held_launches(clock: Clock, row: HeldLaunch, seed: int) -> World:
    world = World(clock, seed)
    await start_long_jobs(world)
    names = await held_launches(world)
    await row.fault(world, names)
    told_last_at = max(world.cancelled[name] for name in names)
    await curio.sleep(told_last_at + row.arrives_s - clock())
    await world.restore_commands(SENDER)
    await curio.sleep(CANCEL_S)
    end_faults(world)
    await curio.sleep(10.0)
    return world


@pytest.mark.parametrize("seed", [41, 42, 43])
@pytest.mark.parametrize("arrives_s", [CANCEL_S + 1.0, CANCEL_S + 4.0])
@pytest.mark.parametrize(
    "fault",
    [
        sender_ends,
        sender_is_cut_off,
        sender_reaches_one_peer,
        next_epoch_is_not_loaded,
        machines_are_cut_from_the_sender,
    ],
    ids=lambda fault: fault.__name__,
)
def test_a_held_launch_starts_no_task_of_a_job_cancelled_long_ago(
    monkeypatch: pytest.MonkeyPatch,
    fault: Callable[[World, set[str]], Coroutine[Any, Any, None]],
    arrives_s: float,
    seed: int,
) -> None:
    """Guards against launches that stay valid because other controllers renew the lease."""
    row = HeldLaunch(fault, arrives_s)
    world = simulate(monkeypatch, lambda clock: simulate_held_launches(clock, row, seed))
    assert world.violations == []
