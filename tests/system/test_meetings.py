"""Combinations of two faults under which schedulers of this kind have broken rules."""

from __future__ import annotations

import json
from collections.abc import Callable, Coroutine
from typing import Any, NamedTuple

import curio
import pytest

from clayport.machines.machine import SENT
from tests.system.test_model import JOBS_A_DAY, submit_daily_jobs, wait_until_jobs_end
from tests.system.test_restarts import restart_controller
from tests.troubles import CANCEL_S, LEASE_S, LONG_S, busiest, end_faults, time_to_recover_s
from tests.world import Clock, World, job, simulate

KINDS: dict[str, dict[str, Any]] = {
    "sweep": {"pieces": 3},
    "ensemble": {"pieces": 2, "shape": "ensemble", "loaners": False},
    "daemon": {
        "pieces": 2,
        "shape": "daemon",
        "jobclass": "web",
        "rank": "production",
        "loaners": False,
        "guess_s": 0.0,
    },
    "saves": {"pieces": 2, "snapshot_every_s": 5.0, "snapshot_s": 3.0},
}


class Gap(NamedTuple):
    """A case in which a controller may miss a cancellation that the user was told of.

    The state service refuses one controller, another controller confirms a cancellation to the
    user, and then an outage begins in which no controller can read the record.
    """

    controllers: int = 3
    refused_s: float = 2.0  # from the refusal until the user cancels
    outage_s: float = 3 * CANCEL_S
    message_loss: str = "crash"  # what keeps the cancellation from the refused controller
    request: str = "abort"  # the request whose answer confirms the cancellation
    kind: str = "sweep"  # of job; "launch" if its launch command is still in flight
    leader: str = "third"  # the job's leader: the refused controller, the confirmer or a third one
    times: int = 1


async def wait_for_tasks(world: World, wanted: int) -> None:
    """Wait until `wanted` tasks are on machines."""
    end = world.clock() + 120.0
    while sum(len(w.occupying_tasks()) for w in world.workers.values()) < wanted:
        await curio.sleep(0.5)
        assert world.clock() < end, "the tasks were not placed in time"


def choose_roles(world: World, row: Gap) -> tuple[str, str, str]:
    """Return a job of the row's kind, the owner of one of its machines and another controller.

    The job's leader has the role that the row asks for.
    """
    epoch = next(iter(world.controllers.values())).membership.epoch
    for name in sorted(world.accepted - set(world.cancelled)):
        if world.job_groups[name] != row.kind:
            continue
        leader = epoch.member_for(name)
        for worker in world.workers.values():
            if not any(k[0].startswith(name + "/") for k in worker.occupying_tasks()):
                continue
            owner = epoch.member_for(worker.name)
            others = [x for x in world.labels if x != owner]
            for confirmer in others:
                role = (
                    "refused"
                    if leader == owner
                    else "confirmer"
                    if leader == confirmer
                    else "third"
                )
                if row.leader in (role, "any"):
                    return name, owner, confirmer
    raise AssertionError("no running job has this kind and leader")


async def confirm_cancellation(world: World, row: Gap, name: str, label: str) -> None:
    """Send the row's requests until an answer confirms the cancellation."""
    if row.request == "abort":
        await world.abort(name, label)
        return
    while (await world.user(label, "POST", f"/api/jobs/{name}/abort"))[0] != 200:
        await curio.sleep(0.2)  # these answers don't count as received by the user
    while name not in world.cancelled:
        if row.request == "retry":
            await world.abort(name, label)
        else:
            status, answer = await (
                world.user(label, "POST", "/api/jobs", world.jobs[name])
                if row.request == "submit"
                else world.user(label, "GET", f"/api/jobs/{name}")
            )
            if status == 200:
                world.note(name, answer["status"])
        await curio.sleep(0.05)


async def lose_message(world: World, message_loss: str, refused: str, confirmer: str) -> None:
    """Keep messages of the confirmer from the refused controller, in the way that `message_loss`
    names."""
    if message_loss == "crash":
        await world.crash(confirmer)
    elif message_loss == "cut, then crash":
        await world.crash(confirmer)
        world.partitioned.discard(f"{confirmer}>{refused}")
    elif message_loss == "cut in two steps":
        world.partitioned.add(f"{refused}>{confirmer}")
    elif message_loss == "confirmer cut off":
        world.partitioned.add(confirmer)


async def job_with_delayed_launch(world: World) -> tuple[str, str, str]:
    """Return a job whose start is committed while its launch command is delayed for long, the
    sender of the command and another controller."""
    refused, confirmer = "c0", "c1"
    world.held_senders.add(refused)
    world.hold_s = (20.0, 60.0)
    for number in range(100, 112):
        world.job_groups[job(number)["id"]] = "launch"
        await curio.spawn(world.submit, job(number, vcpus=0.5, guess_s=LONG_S), LONG_S, daemon=True)
    end = world.clock() + 20.0
    while world.clock() < end:
        await curio.sleep(0.05)
        for m in world.controllers[refused].machines.machines.values():
            for (task, _), desired in m.desired.items():
                if world.job_groups[task.partition("/")[0]] == "launch" and desired.phase == SENT:
                    return task.partition("/")[0], refused, confirmer
    raise AssertionError("the refused controller sent no launch")


async def start_long_jobs(world: World) -> None:
    """Open the world, submit long jobs of each kind, and wait until their tasks are on machines."""
    await world.open()
    for number in range(24):
        kind = sorted(KINDS)[number % len(KINDS)]
        value = job(number, **{"vcpus": 0.5, "guess_s": LONG_S, **KINDS[kind]})
        world.job_groups[value["id"]] = kind
        await curio.spawn(world.submit, value, LONG_S, daemon=True)
    await wait_for_tasks(world, 48)
    await curio.sleep(10.0)


async def simulate_gap(clock: Clock, row: Gap, seed: int = 41) -> World:
    world = World(clock, seed, row.controllers)
    await start_long_jobs(world)
    for _ in range(row.times):
        name, refused, confirmer = (
            choose_roles(world, row)
            if row.kind != "launch"
            else await job_with_delayed_launch(world)
        )
        world.state.refused.add(refused)
        if row.message_loss == "isolated":
            world.partitioned |= {
                f"{a}>{b}"
                for a in world.labels
                for b in world.labels
                if a != b and refused in (a, b)
            }
        await curio.sleep(row.refused_s)
        if row.message_loss in ("cut in two steps", "cut, then crash"):
            world.partitioned.add(f"{confirmer}>{refused}")
        if row.message_loss == "cut":
            world.partitioned.update({f"{confirmer}>{refused}", f"{refused}>{confirmer}"})
        await curio.ignore_after(30.0, confirm_cancellation, world, row, name, confirmer)
        assert name in world.cancelled, "no answer confirmed the cancellation"
        world.state.outage(clock(), row.outage_s)
        await lose_message(world, row.message_loss, refused, confirmer)
        await curio.sleep(0.3)
        if confirmer not in world.controllers:
            await world.start(confirmer)
        await curio.sleep(row.outage_s)
        world.state.refused.clear()
        world.partitioned.clear()
        await curio.sleep(30.0)
    return world


GAPS = [
    # The refusal is short, lasts about a controller's lease, or is so long that a new epoch begins.
    *(
        Gap(refused_s=s, message_loss=loss, leader=leader)
        for s, loss, leader in (
            (0.5, "cut, then crash", "refused"),
            (0.5, "cut in two steps", "confirmer"),
            (3.2, "crash", "confirmer"),
            (4.0, "cut, then crash", "refused"),
            (6.0, "cut in two steps", "third"),
            (12.0, "cut", "confirmer"),
            (20.0, "none", "third"),
        )
    ),
    *(
        Gap(5, s, message_loss=loss, leader=leader)
        for s, loss, leader in (
            (0.5, "cut", "confirmer"),
            (0.5, "cut, then crash", "confirmer"),
            (6.0, "crash", "confirmer"),
        )
    ),
    *(
        Gap(refused_s=3.2, leader="confirmer", request=request)
        for request in ("retry", "poll", "submit")
    ),
    *(
        Gap(refused_s=3.2, leader="confirmer", kind=kind)
        for kind in ("ensemble", "daemon", "saves")
    ),
    Gap(refused_s=0.5, kind="launch", message_loss="none"),
    Gap(refused_s=0.5, kind="launch", message_loss="cut"),
    Gap(refused_s=3.2, leader="confirmer", message_loss="confirmer cut off"),
    # The refused controller is isolated, so that the other controllers cannot tell it.
    *(
        Gap(c, s, message_loss="isolated", leader=leader, outage_s=outage * CANCEL_S)
        for c, s, leader, outage in (
            (3, 0.5, "refused", 3),
            (5, 4.0, "third", 3),
            (3, 4.0, "confirmer", 0.0),
        )
    ),
    *(Gap(refused_s=3.2, leader="confirmer", outage_s=s * CANCEL_S) for s in (0.5, 1.0)),
    Gap(refused_s=3.2, leader="any", times=2),
]


@pytest.mark.parametrize(
    "row",
    GAPS,
    ids=lambda r: "-".join(
        str(x) for x, d in zip(r, Gap._field_defaults.values()) if x != d
    ).replace(" ", "_"),
)
def test_a_cancelled_job_stops_during_an_outage_of_the_state_service(
    monkeypatch: pytest.MonkeyPatch, row: Gap
) -> None:
    world = simulate(monkeypatch, lambda clock: simulate_gap(clock, row))
    assert world.violations == []


async def outage_without_cancellation(
    clock: Clock, controllers: int, restarted: tuple[int, ...], restart_after_s: float
) -> World:
    """Simulate a long outage without a cancellation, in which some controllers restart."""
    world = World(clock, 43, controllers)
    await start_long_jobs(world)
    world.state.outage(clock(), 3 * CANCEL_S)
    await curio.sleep(5.0)
    for number in restarted:
        await world.crash(f"c{number}")
    await curio.sleep(restart_after_s)
    for number in restarted:
        await world.start(f"c{number}")
    await curio.sleep(3 * CANCEL_S)
    return world


@pytest.mark.parametrize(
    "controllers, restarted, restart_after_s, leases_kept",
    [
        (3, (), 0.0, True),
        (5, (), 0.0, True),
        (3, (1,), 0.3, True),
        (3, (1,), 0.8 * LEASE_S, True),
        (5, (1, 3), 0.8 * LEASE_S, True),
        (3, (0, 1), 0.3, True),
        # The promises of the old process expired before the new one answered, so no peer knows
        # whether the old process confirmed a cancellation after that.
        (3, (1,), 2 * LEASE_S, False),
        # No controller is left that knows which cancellations were confirmed.
        (3, (0, 1, 2), 0.3, False),
    ],
)
def test_an_outage_in_which_nothing_is_cancelled_ends_no_lease(
    monkeypatch: pytest.MonkeyPatch,
    controllers: int,
    restarted: tuple[int, ...],
    restart_after_s: float,
    leases_kept: bool,
) -> None:
    world = simulate(
        monkeypatch,
        lambda clock: outage_without_cancellation(clock, controllers, restarted, restart_after_s),
    )
    assert world.violations == []
    assert all(w.session == 1 for w in world.workers.values() if not w.gone) == leases_kept


FaultScenario = Callable[[World], Coroutine[Any, Any, None]]


async def isolate_from_store_and_peers(world: World) -> None:
    """Scene 1: cut a controller off from the state service and its peers, but not from its workers
    and users."""
    for _ in range(2):
        label = world.rng.choice(world.labels)
        lost = {
            f"{label}>state",
            *(f"{label}>{x}" for x in world.labels if x != label),
            *(f"{x}>{label}" for x in world.labels if x != label),
        }
        world.partitioned |= lost
        await curio.sleep(world.rng.uniform(15.0, 60.0))
        world.partitioned -= lost
        await curio.sleep(world.rng.uniform(3.0, 10.0))


async def exclude_and_restart_all(world: World) -> None:
    """Scene 2: let a controller be excluded from the epoch and return, then restart all
    controllers, one before the others."""
    for _ in range(3):
        label = world.rng.choice(world.labels)
        world.state.refused.add(label)
        await curio.sleep(world.rng.uniform(2.5, 5.0))
        world.state.refused.discard(label)
        await curio.sleep(world.rng.uniform(0.0, 1.5))
        for other in world.labels:
            await world.crash(other)
        for other in sorted(world.labels, key=lambda _: world.rng.random()):
            await curio.sleep(world.rng.choice((0.05, 0.3, 6.0)))
            if other not in world.controllers:
                await world.start(other)
        await curio.sleep(world.rng.uniform(0.5, 8.0))


async def spread_task_ends(world: World) -> None:
    """Scene 3: let the tasks of a job end far apart, and change its leader between them."""
    world.run_time_spread = 1.5
    for _ in range(6):
        await curio.sleep(world.rng.uniform(3.0, 9.0))
        await restart_controller(world, world.rng.choice(world.labels))


async def repeat_reports(world: World) -> None:
    """Scene 4: deliver copies of reports late, also to controllers that have just started."""
    world.late_reports = 0.4
    for _ in range(5):
        await curio.sleep(world.rng.uniform(3.0, 12.0))
        await restart_controller(world, world.rng.choice(world.labels))
        for worker in world.workers.values():
            if world.rng.random() < 0.1:
                worker.hung_until = world.clock() + world.rng.uniform(5.0, 14.0)


async def delay_commands(world: World) -> None:
    """Scene 5: delay commands and their answers, and let machines hang and continue."""
    world.hold_s = (2.0, 15.0)
    for _ in range(6):
        label = world.rng.choice(world.labels)
        world.held_senders.add(label)
        for worker in world.workers.values():
            if world.rng.random() < 0.3:
                worker.hung_until = world.clock() + world.rng.uniform(2.0, 9.0)
        await curio.sleep(world.rng.uniform(2.0, 6.0))
        world.held_senders.discard(label)
        await curio.sleep(world.rng.uniform(1.0, 4.0))


async def delay_unanswered_writes(world: World) -> None:
    """Scene 6: apply transactions without an answer after newer transactions."""
    world.late_writes = 0.25
    for _ in range(5):
        await curio.sleep(world.rng.uniform(2.0, 10.0))
        await restart_controller(world, world.rng.choice(world.labels))


async def slow_then_outage(world: World) -> None:
    """Scene 7: let the state service be slow, refuse one controller, and then refuse all of them
    for longer than `cancel_s`."""
    world.slow_s = 1.5
    await curio.sleep(20.0)
    world.state.refused.add(world.rng.choice(world.labels))
    await curio.sleep(world.rng.uniform(1.0, 10.0))
    world.state.outage(world.clock(), 1.3 * CANCEL_S)
    await curio.sleep(1.3 * CANCEL_S)
    world.state.refused.clear()


async def block_answers(world: World) -> None:
    """Scene 8: let machines receive no answers or be unreachable while a controller restarts."""
    for _ in range(3):
        names = sorted(n for n, w in world.workers.items() if w.alive())
        chosen = set(world.rng.sample(names, len(names) // 4))
        (world.replies_blocked if world.rng.random() < 0.6 else world.partitioned).update(chosen)
        await curio.sleep(world.rng.uniform(0.5, 4.0))
        await restart_controller(world, world.rng.choice(world.labels))
        await curio.sleep(world.rng.uniform(5.0, 20.0))
        world.replies_blocked.clear()
        world.partitioned.clear()


SCENES: list[FaultScenario] = [
    isolate_from_store_and_peers,
    exclude_and_restart_all,
    spread_task_ends,
    repeat_reports,
    delay_commands,
    delay_unanswered_writes,
    slow_then_outage,
    block_answers,
]


async def simulate_faults(
    clock: Clock, scenes: tuple[FaultScenario, ...], seed: int, controllers: int
) -> World:
    world = World(clock, seed, controllers)
    await world.open()
    faults = [await curio.spawn(scene, world, daemon=True) for scene in scenes]
    await submit_daily_jobs(world)
    for fault in faults:
        await fault.join()
    end_faults(world)
    await wait_until_jobs_end(world)
    for name in sorted(world.accepted):
        for label in world.labels:
            status, _ = await world.user(label, "GET", f"/api/jobs/{name}")
            if status != 200:
                world.violations.append(f"unanswered {name} at {label}: {status}")
    return world


def violations_and_unserved_jobs(world: World) -> list[str]:
    """Return the broken rules, the unfinished jobs, and a note if a job was not accepted."""
    return [
        *world.violations,
        *(f"waits {i}" for i in sorted(world.unfinished_jobs())),
        *(["not all were accepted"] if len(world.accepted) != JOBS_A_DAY else []),
    ]


@pytest.mark.parametrize("controllers", [3, 5])
@pytest.mark.parametrize(
    "scenes",
    [
        *((s,) for s in SCENES),
        (isolate_from_store_and_peers, delay_unanswered_writes),
        (slow_then_outage, repeat_reports),
        (block_answers, exclude_and_restart_all),
    ],
    ids=lambda scenes: "+".join(s.__name__ for s in scenes),
)
def test_rules_hold_under_combined_faults(
    monkeypatch: pytest.MonkeyPatch, scenes: tuple[FaultScenario, ...], controllers: int
) -> None:
    world = simulate(monkeypatch, lambda clock: simulate_faults(clock, scenes, 50, controllers))
    assert violations_and_unserved_jobs(world) == []


async def repeat_transactions(clock: Clock, seed: int, controllers: int) -> tuple[World, list[Any]]:
    """Simulate a day on which each transaction is applied again 2 to 12 s later.

    Returns:
        The world, and the transactions whose copies changed something.
    """
    world = World(clock, seed, controllers)
    copies: list[tuple[float, Any]] = []
    found = []
    commit = world.state.commit

    def remember(body: Any) -> tuple[int, Any]:
        answer = commit(body)
        if answer[0] == 200 and body.get("writes"):
            copies.append((clock() + world.rng.uniform(2.0, 12.0), json.loads(json.dumps(body))))
        return answer

    async def apply_copies() -> None:
        while True:
            await curio.sleep(0.1)
            for entry in [e for e in copies if e[0] <= clock()]:
                copies.remove(entry)
                if commit(entry[1])[0] == 200:
                    found.append(entry[1])

    world.state.commit = remember  # type: ignore[method-assign]
    await world.open()
    await curio.spawn(apply_copies, daemon=True)
    await curio.spawn(exclude_and_restart_all, world, daemon=True)
    await curio.spawn(isolate_from_store_and_peers, world, daemon=True)
    await submit_daily_jobs(world)
    return await wait_until_jobs_end(world), found


@pytest.mark.parametrize("seed, controllers", [(71, 3), (72, 3), (73, 5)])
def test_no_transaction_has_an_effect_when_it_is_applied_twice(
    monkeypatch: pytest.MonkeyPatch, seed: int, controllers: int
) -> None:
    """A late copy of a controller's registration without a condition on the replaced revision
    would overwrite its successor's key, and a late copy of the removal would delete it."""
    world, found = simulate(
        monkeypatch, lambda clock: repeat_transactions(clock, seed, controllers)
    )
    assert found == [] and violations_and_unserved_jobs(world) == []


async def simulate_blocked_answers(
    clock: Clock, share: float, for_s: float, owner_restarts: bool
) -> tuple[World, int, float]:
    """Simulate machines with long tasks that receive no answers for a while.

    Returns:
        The world, the number of these machines that were returned to the cloud, and the seconds
        until all of their tasks run on some machine and stay there.
    """
    world = World(clock, 44)
    await start_long_jobs(world)
    chosen = busiest(world, share)
    missed_s = await time_to_recover_s(
        world, world.replies_blocked, chosen, for_s, owner_restarts, 3 * CANCEL_S
    )
    return world, sum(w.gone for w in chosen), missed_s


@pytest.mark.parametrize("owner_restarts", [False, True])
@pytest.mark.parametrize(
    "share, for_s, expect_returned, most_s",
    [
        # The tasks keep running if answers arrive again within the lease.
        (0.0, 0.4 * LEASE_S, False, 0.0),
        (0.8, 0.4 * LEASE_S, False, 0.0),
        # After the lease the tasks start on other machines, although these machines still report.
        (0.0, 10 * LEASE_S, True, CANCEL_S),
        (0.8, 10 * LEASE_S, True, 2 * CANCEL_S),
    ],
)
def test_machines_that_receive_no_answers_lose_their_tasks_after_the_lease(
    monkeypatch: pytest.MonkeyPatch,
    share: float,
    for_s: float,
    expect_returned: bool,
    most_s: float,
    owner_restarts: bool,
) -> None:
    world, returned, missed_s = simulate(
        monkeypatch, lambda clock: simulate_blocked_answers(clock, share, for_s, owner_restarts)
    )
    assert world.violations == []
    assert bool(returned) == expect_returned and missed_s <= most_s
