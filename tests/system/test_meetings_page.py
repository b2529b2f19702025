"""Combinations of faults during a simulated day of jobs.

The rules hold while the faults last, and every job is served after them.
"""

from __future__ import annotations

from collections.abc import Callable, Coroutine
from functools import partial
from typing import Any

import curio
import pytest

from tests.system.test_model import submit_daily_jobs
from tests.system.test_restarts import restart_controller
from tests.troubles import (
    CANCEL_S,
    FIRST_EXTRA,
    LEASE_S,
    LONG_S,
    cancel,
    cancel_now,
    check_final_answers,
    end_faults,
    exclude_from_epoch,
    long_jobs,
    restart_or_exclude_controller,
    running,
    some_machines,
    until_finished,
    until_launches_are_sent,
    watch_waiting,
)
from tests.world import ZONES, Clock, World, job, simulate

FaultScenario = Callable[[World], Coroutine[Any, Any, None]]


async def isolated_zone(world: World) -> None:
    """The workers of a zone and a controller reach only each other for longer than a lease."""
    names = await long_jobs(world, 8)
    for half in (names[:4], names[4:]):
        world.isolated_controllers = {world.rng.choice(world.labels)}
        world.isolated_zone = world.rng.choice(ZONES)
        await curio.sleep(world.rng.uniform(0.5, 4.0))
        await cancel(world, half, LEASE_S)
        await curio.sleep(world.rng.uniform(1.2, 4.5) * LEASE_S)
        world.isolated_zone = ""
        await curio.sleep(world.rng.uniform(2.0, 8.0))


async def zone_constraints(world: World) -> None:
    """Arrays and gangs with zone constraints lose machines, and controllers change meanwhile."""
    for number in range(FIRST_EXTRA, FIRST_EXTRA + 8):
        kind: dict[str, Any] = [
            {"pieces": 5, "together": True},
            {"pieces": 3, "shape": "ensemble", "together": True},
            {"pieces": 4, "site": "north"},
            {"pieces": 4, "scatter": True},
        ][number % 4]
        await curio.spawn(world.submit, job(number, **kind), 9.0, daemon=True)
    for _ in range(6):
        await curio.sleep(world.rng.uniform(2.0, 6.0))
        zone = world.rng.choice(ZONES)
        there = [
            w
            for w in world.workers.values()
            if w.alive() and w.zone == zone and w.occupying_tasks()
        ]
        for worker in there[: 1 + len(there) // 2]:
            draw = world.rng.random()
            if draw < 0.4:
                world.kill(worker)
            elif draw < 0.8:
                world.partitioned.add(worker.name)
            else:
                worker.hung_until = world.clock() + world.rng.uniform(3.0, 12.0)
        if world.rng.random() < 0.5:
            await restart_or_exclude_controller(world)
        if world.rng.random() < 0.5:
            world.partitioned.clear()


async def ten_changes(world: World, outage: bool = False) -> None:
    """A random controller restarts or is excluded, ten times within two minutes; with `outage`, the
    state service fails meanwhile."""
    names = await long_jobs(world, 8)
    if outage:
        world.state.outage(world.clock() + 6.0, 1.6 * CANCEL_S)
    await cancel(world, names, 100.0)
    for _ in range(10):
        await curio.sleep(world.rng.uniform(4.0, 12.0))
        await restart_or_exclude_controller(world)


async def answers_lost(world: World) -> None:
    """Transactions are applied at once and only their answers are lost, while reads work."""
    world.lost_answers = 0.3
    names = await long_jobs(world, 6)
    await cancel(world, names, 25.0)
    for _ in range(5):
        await curio.sleep(world.rng.uniform(2.0, 8.0))
        await restart_or_exclude_controller(world)


async def cancelled_as_one_controller_is_refused(world: World) -> None:
    """Jobs are cancelled around the moment at which the state service starts to refuse one
    controller; a second later an outage longer than `cancel_s` begins."""
    names = await long_jobs(world, 10)
    owners = [
        world.controllers["c0"].membership.epoch.member_for(w.name)
        for w in running(world, names[0])
    ]
    await cancel(world, names, 0.5)
    await curio.sleep(0.2)
    world.state.refused.add(owners[0] if owners else "c0")
    await curio.sleep(1.0)
    world.state.outage(world.clock(), 1.3 * CANCEL_S)
    await curio.sleep(1.3 * CANCEL_S)
    world.state.refused.clear()


async def late_commands_of_former_owners(world: World) -> None:
    """Commands of a former owner that crashed or was excluded arrive after its successor's."""
    world.late_commands = 0.5
    names = await long_jobs(world, 8)
    for name in names:
        await cancel(world, [name], 2.0)
        await restart_or_exclude_controller(world)
        await curio.sleep(world.rng.uniform(0.5, 5.0))


async def team_at_limit(world: World, change_first: bool = False) -> None:
    """A team is at its limit while its jobs are cancelled, machines are cut off or hang, and a
    controller restarts or is excluded, before or after the cancellation."""
    fields = {"owner": "tight", "cards": 1.0, "shape": "sweep", "pieces": 2, "loaners": False}
    names = await long_jobs(world, 4, **fields)
    for half in (names[:2], names[2:]):
        machines = [w for name in half for w in running(world, name)]
        if change_first:
            await curio.spawn(restart_or_exclude_controller, world, daemon=True)
            await curio.sleep(world.rng.uniform(0.0, 1.0))
        for worker in machines:
            if world.rng.random() < 0.5:
                world.partitioned.add(worker.name)
            else:
                worker.hung_until = world.clock() + world.rng.uniform(3.0, 14.0)
        await curio.sleep(world.rng.uniform(0.0, 1.0))
        await cancel(world, half, 1.0)
        if not change_first:
            await curio.sleep(world.rng.uniform(0.0, 1.5))
            await restart_or_exclude_controller(world)
        await curio.sleep(world.rng.uniform(5.0, 20.0))
        world.partitioned.clear()
        await curio.sleep(world.rng.uniform(2.0, 12.0))


async def no_controllers(world: World) -> None:
    """All controllers are down for longer than a lease."""
    names = await long_jobs(world, 6)
    await cancel(world, names[:3], 2.0)
    await curio.sleep(1.0)
    for label in world.labels:
        await world.crash(label)
    await curio.sleep(world.rng.uniform(1.1, 2.5) * LEASE_S)
    for label in world.labels:
        await curio.sleep(world.rng.choice((0.05, 0.5, 4.0)))
        await world.start(label)
    await cancel(world, names[3:], 5.0)


async def cancelled_during_takeover(world: World) -> None:
    """Jobs are cancelled while other controllers take over the jobs of one."""
    names = await long_jobs(world, 12)
    for n in range(0, len(names), 4):
        await cancel(world, names[n : n + 4], 8.0)
        label = world.rng.choice(world.labels)
        if world.rng.random() < 0.5:
            await world.crash(label)
            await curio.sleep(world.rng.uniform(3.0, 8.0))
            await world.start(label)
        else:
            await exclude_from_epoch(world, label, world.rng.uniform(3.0, 8.0))
        await curio.sleep(world.rng.uniform(2.0, 6.0))


async def blocked_reports(world: World) -> None:
    """Workers can't connect to any controller, while commands still reach them."""
    names = await long_jobs(world, 8)
    for n in range(0, len(names), 2):
        world.reports_blocked = set(some_machines(world, 0.4))
        await curio.sleep(world.rng.uniform(0.5, 6.0))
        await cancel(world, names[n : n + 2], 3.0)
        if world.rng.random() < 0.6:
            await restart_or_exclude_controller(world)
        await curio.sleep(world.rng.uniform(2.0, 18.0))
        world.reports_blocked.clear()
        await curio.sleep(world.rng.uniform(1.0, 5.0))


async def old_reports_in_new_epochs(world: World, late_s: tuple[float, float]) -> None:
    """Copies of old reports reach every controller after each new epoch.

    `late_s` is the range of the delay after the start of the epoch: the controllers have either
    just begun the epoch or already acted in it.
    """
    world.kept_reports = 0.5
    copies = await curio.spawn(world.hand_over_copies, late_s, daemon=True)
    names = await long_jobs(world, 6)
    for name in names:
        await cancel(world, [name], 4.0)
        await curio.sleep(world.rng.uniform(2.0, 8.0))
        for machine in some_machines(world, 0.1):
            world.workers[machine].hung_until = world.clock() + world.rng.uniform(5.0, 14.0)
        await restart_or_exclude_controller(world)
    await copies.cancel()


async def new_machines_at_once(world: World) -> None:
    """Machines boot within two seconds and get tasks at once, while writes are late and controllers
    restart."""
    world.boot_s = (0.2, 2.0)
    world.late_writes, world.slow_s = 0.15, 0.4
    for number in range(FIRST_EXTRA, FIRST_EXTRA + 6):
        large = job(number, pieces=4, vcpus=7.0, rank="high")
        await curio.spawn(world.submit, large, 5.0, daemon=True)
        await curio.sleep(world.rng.uniform(0.3, 4.0))
        await restart_controller(world, world.rng.choice(world.labels))
        await curio.sleep(world.rng.uniform(1.0, 5.0))


async def lack_of_room(world: World) -> None:
    """Urgent and other jobs need more room than there is, and messages are slow."""
    world.link_s = 0.3
    for number in range(FIRST_EXTRA, FIRST_EXTRA + 9):
        rank = ("best_effort", "normal", "high")[number % 3]
        large = job(number, pieces=20, vcpus=2.0, rank=rank, due_s=60.0 if rank == "high" else None)
        await curio.spawn(world.submit, large, 6.0, daemon=True)
        await curio.sleep(world.rng.uniform(0.2, 2.0))
    await restart_or_exclude_controller(world)
    await curio.sleep(30.0)


async def one_task_jobs(world: World, for_s: float = 60.0) -> None:
    """Four one-task jobs arrive each second, and a quarter of them is cancelled."""
    for number in range(FIRST_EXTRA, FIRST_EXTRA + int(4 * for_s)):
        value = job(number, pieces=1, vcpus=0.5, guess_s=2.0)
        cancelled = number % 4 == 0
        await curio.spawn(world.submit, value, LONG_S if cancelled else 2.0, daemon=True)
        if cancelled:
            await cancel(world, [value["id"]], 5.0)
        await curio.sleep(0.25)


async def cancelled_at_the_end(world: World) -> None:
    """Jobs are cancelled at the moment at which their last task ends."""
    world.cancelled_at_end = 0.6
    for number in range(FIRST_EXTRA, FIRST_EXTRA + 20):
        await curio.spawn(world.submit, job(number, pieces=1 + number % 2), 3.0, daemon=True)
        await curio.sleep(world.rng.uniform(0.2, 2.0))


async def cancelled_while_machines_hang(world: World) -> None:
    """Running jobs are cancelled within a fifth of a second, while machines hang and continue."""
    names = await long_jobs(world, 12)
    for n in range(0, len(names), 4):
        await cancel_now(world, names[n : n + 4], world.rng.uniform(0.5, 1.4) * LEASE_S)
        if world.rng.random() < 0.5:
            await restart_or_exclude_controller(world)
        await curio.sleep(world.rng.uniform(5.0, 15.0))


async def commands_held_for_long(world: World) -> None:
    """The launches of a controller are held while their jobs are cancelled, and arrive late.

    Meanwhile the controller is restarted, or loses some or all others, alone or in an outage.
    """
    for number, label in enumerate(world.labels):
        world.interrupt_commands(label)
        first = FIRST_EXTRA + 20 * number
        for n in range(first, first + 20):
            value = job(n, pieces=1, vcpus=0.5, guess_s=LONG_S, rank="high")
            await curio.spawn(world.submit, value, LONG_S, daemon=True)
        names = await until_launches_are_sent(world, label)
        await cancel(world, sorted(names), 0.2)
        await curio.sleep(world.rng.uniform(0.3, 1.0))
        if world.rng.random() < 0.6:
            world.state.outage(world.clock(), world.rng.uniform(1.0, 2.0) * CANCEL_S)
        lost = {
            *(f"{machine}>{label}" for machine in world.workers),
            *world.rng.sample([f"{label}>{x}" for x in world.labels if x != label], 1),
        }
        draw = world.rng.random()
        if draw < 0.4:
            await world.crash(label)
        else:
            world.partitioned |= {label} if draw < 0.6 else lost
        await curio.sleep(world.rng.uniform(0.9, 1.5) * CANCEL_S)
        await world.restore_commands(label)
        await curio.sleep(world.rng.uniform(0.0, 3.0))
        world.partitioned -= {label, *lost}
        if label not in world.controllers:
            await world.start(label)


# Each scene was seen to fail when one mechanism was removed:
# - the transaction conditions on chunks and epoch (isolated_zone);
# - the transaction conditions on quotas (team_at_limit_after_change);
# - the transaction conditions on live and final records (cancelled_at_the_end);
# - the sequence numbers of reports (old_reports_after_first_actions);
# - the rule that only a report under the current token reports an adopted task as gone
#   (ten_changes, new_machines_at_once, old_reports_in_new_epoch, lack_of_room);
# - the zones of spread jobs (zone_constraints);
# - the raised token in answers without the owner (commands_held_for_long);
# - the kills of cancelled tasks (all other scenes).
SCENES: dict[str, FaultScenario] = {
    "isolated_zone": isolated_zone,
    "zone_constraints": zone_constraints,
    "ten_changes": ten_changes,
    "ten_changes_during_an_outage": partial(ten_changes, outage=True),
    "answers_lost": answers_lost,
    "cancelled_as_one_controller_is_refused": cancelled_as_one_controller_is_refused,
    "late_commands_of_former_owners": late_commands_of_former_owners,
    "team_at_limit": team_at_limit,
    "team_at_limit_after_change": partial(team_at_limit, change_first=True),
    "no_controllers": no_controllers,
    "cancelled_during_takeover": cancelled_during_takeover,
    "blocked_reports": blocked_reports,
    "old_reports_in_new_epoch": partial(old_reports_in_new_epochs, late_s=(0.0, 0.3)),
    "old_reports_after_first_actions": partial(old_reports_in_new_epochs, late_s=(2.0, 8.0)),
    "new_machines_at_once": new_machines_at_once,
    "lack_of_room": lack_of_room,
    "one_task_jobs": one_task_jobs,
    "cancelled_at_the_end": cancelled_at_the_end,
    "cancelled_while_machines_hang": cancelled_while_machines_hang,
    "commands_held_for_long": commands_held_for_long,
}


# With seed 60 these scenes pass even without the mechanism.
SEEDS = {"cancelled_at_the_end": 61, "commands_held_for_long": 61}


async def run_day_with_scene(clock: Clock, name: str, seed: int, controllers: int) -> World:
    """Simulate a day of jobs with a scene, and check that every job is served after the scene."""
    world = World(clock, seed, controllers)
    await world.open()
    await curio.spawn(watch_waiting, world, daemon=True)
    fault = await curio.spawn(SCENES[name], world, daemon=True)
    await submit_daily_jobs(world)
    await fault.join()
    end_faults(world)
    await cancel(world, [name for name, run_s in world.run_s.items() if run_s == LONG_S])
    left = await until_finished(world)
    if not world.violations:
        world.violations += [f"waits {name}" for name in left]
        await check_final_answers(world)
    return world


@pytest.mark.parametrize("name", SCENES)
def test_rules_hold_and_every_job_is_served_after_the_faults(
    monkeypatch: pytest.MonkeyPatch, name: str
) -> None:
    world = simulate(
        monkeypatch, lambda clock: run_day_with_scene(clock, name, SEEDS.get(name, 60), 3)
    )
    assert world.violations == []
