"""Two troubles at once: meetings in which schedulers like this one have broken rules."""

from __future__ import annotations

import json
from collections.abc import Callable, Coroutine
from typing import Any, NamedTuple

import curio
import pytest

from clayport.machines.machine import SENT
from tests.system.test_model import JOBS_A_DAY, until_over, work
from tests.system.test_restarts import again
from tests.troubles import CANCEL_S, LEASE_S, LONG_S, busiest, last_missed_s
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
    """The state service refuses one, another confirms a cancellation, then nobody has it."""

    controllers: int = 3
    refused_s: float = 2.0  # from the refusal until the user asks to cancel
    outage_s: float = 3 * CANCEL_S
    word: str = "ends"  # why the one that is refused may not hear of it
    way: str = "abort"  # what the user is told by
    kind: str = "sweep"  # or "launch": its start command is still held on its way
    home: str = "third"  # of the job: the refused one, the confirmer, or another
    times: int = 1


async def settled(world: World, wanted: int) -> None:
    """Until so many tasks are on machines."""
    end = world.clock() + 120.0
    while sum(len(w.on()) for w in world.workers.values()) < wanted:
        await curio.sleep(0.5)
        assert world.clock() < end, "the day never began"


def cast(world: World, row: Gap) -> tuple[str, str, str]:
    """A job of the row's kind, the owner of a machine that it is on, and another controller;
    its home is as the row has it."""
    epoch = next(iter(world.controllers.values())).membership.epoch
    for name in sorted(world.accepted - set(world.cancelled)):
        if world.kinds[name] != row.kind:
            continue
        home = epoch.member_for(name)
        for worker in world.workers.values():
            if not any(k[0].startswith(name + "/") for k in worker.on()):
                continue
            owner = epoch.member_for(worker.name)
            others = [x for x in world.labels if x != owner]
            for asked in others:
                role = "refused" if home == owner else "confirmer" if home == asked else "third"
                if row.home in (role, "any"):
                    return name, owner, asked
    raise AssertionError("no such job today")


async def ask(world: World, row: Gap, name: str, label: str) -> None:
    """Until the user is told, and no later than that."""
    if row.way == "abort":
        await world.abort(name, label)
        return
    while (await world.user(label, "POST", f"/api/jobs/{name}/abort"))[0] != 200:
        await curio.sleep(0.2)  # these answers get lost on their way to the user
    while name not in world.cancelled:
        if row.way == "retry":
            await world.abort(name, label)
        else:
            status, answer = await (
                world.user(label, "POST", "/api/jobs", world.jobs[name])
                if row.way == "submit"
                else world.user(label, "GET", f"/api/jobs/{name}")
            )
            if status == 200:
                world.note(name, answer["status"])
        await curio.sleep(0.05)


async def lose_word(world: World, word: str, refused: str, asked: str) -> None:
    """What the confirmer may have said to the one that is refused is lost; or was not."""
    if word == "ends":
        await world.crash(asked)
    elif word == "ends, heard by nobody":
        await world.crash(asked)
        world.cut.discard(f"{asked}>{refused}")
    elif word == "refused":
        world.cut.add(f"{refused}>{asked}")
    elif word == "freezes":
        world.cut.add(asked)


async def launching(world: World) -> tuple[str, str, str]:
    """A job whose start is committed, while the command is held on its way for long."""
    refused, asked = "c0", "c1"
    world.held.add(refused)
    world.hold_s = (20.0, 60.0)
    for number in range(100, 112):
        world.kinds[job(number)["id"]] = "launch"
        await curio.spawn(world.submit, job(number, vcpus=0.5, guess_s=LONG_S), LONG_S, daemon=True)
    end = world.clock() + 20.0
    while world.clock() < end:
        await curio.sleep(0.05)
        for m in world.controllers[refused].machines.machines.values():
            for (task, _), desired in m.desired.items():
                if world.kinds[task.partition("/")[0]] == "launch" and desired.phase == SENT:
                    return task.partition("/")[0], refused, asked
    raise AssertionError("nothing was launched there")


async def fill(world: World) -> None:
    """Jobs of each kind, with all their tasks on machines for as long as they are let."""
    await world.open()
    for number in range(24):
        kind = sorted(KINDS)[number % len(KINDS)]
        value = job(number, **{"vcpus": 0.5, "guess_s": LONG_S, **KINDS[kind]})
        world.kinds[value["id"]] = kind
        await curio.spawn(world.submit, value, LONG_S, daemon=True)
    await settled(world, 48)
    await curio.sleep(10.0)


async def gap(clock: Clock, row: Gap, seed: int = 41) -> World:
    world = World(clock, seed, row.controllers)
    await fill(world)
    for _ in range(row.times):
        name, refused, asked = cast(world, row) if row.kind != "launch" else await launching(world)
        world.state.refused.add(refused)
        if row.word == "alone":
            world.cut |= {
                f"{a}>{b}"
                for a in world.labels
                for b in world.labels
                if a != b and refused in (a, b)
            }
        await curio.sleep(row.refused_s)
        if row.word in ("refused", "ends, heard by nobody"):
            world.cut.add(f"{asked}>{refused}")
        if row.word == "cut":
            world.cut.update({f"{asked}>{refused}", f"{refused}>{asked}"})
        await curio.ignore_after(30.0, ask, world, row, name, asked)
        assert name in world.cancelled, "nobody was told: the meeting didn't come about"
        world.state.outage(clock(), row.outage_s)
        await lose_word(world, row.word, refused, asked)
        await curio.sleep(0.3)
        if asked not in world.controllers:
            await world.start(asked)
        await curio.sleep(row.outage_s)
        world.state.refused.clear()
        world.cut.clear()
        await curio.sleep(30.0)
    return world


ROWS = [
    # The refusal just before, as long as a controller's lease, with a new epoch begun.
    *(
        Gap(refused_s=s, word=w, home=h)
        for s, w, h in (
            (0.5, "ends, heard by nobody", "refused"),
            (0.5, "refused", "confirmer"),
            (3.2, "ends", "confirmer"),
            (4.0, "ends, heard by nobody", "refused"),
            (6.0, "refused", "third"),
            (12.0, "cut", "confirmer"),
            (20.0, "none", "third"),
        )
    ),
    *(
        Gap(5, s, word=w, home=h)
        for s, w, h in (
            (0.5, "cut", "confirmer"),
            (0.5, "ends, heard by nobody", "confirmer"),
            (6.0, "ends", "confirmer"),
        )
    ),
    *(Gap(refused_s=3.2, home="confirmer", way=way) for way in ("retry", "poll", "submit")),
    *(Gap(refused_s=3.2, home="confirmer", kind=kind) for kind in ("ensemble", "daemon", "saves")),
    Gap(refused_s=0.5, kind="launch", word="none"),
    Gap(refused_s=0.5, kind="launch", word="cut"),
    Gap(refused_s=3.2, home="confirmer", word="freezes"),
    # Of no use to it that the others have told each other.
    *(
        Gap(c, s, word="alone", home=h, outage_s=o * CANCEL_S)
        for c, s, h, o in ((3, 0.5, "refused", 3), (5, 4.0, "third", 3), (3, 4.0, "confirmer", 0.0))
    ),
    *(Gap(refused_s=3.2, home="confirmer", outage_s=s * CANCEL_S) for s in (0.5, 1.0)),
    Gap(refused_s=3.2, home="any", times=2),
]


@pytest.mark.parametrize(
    "row",
    ROWS,
    ids=lambda r: "-".join(
        str(x) for x, d in zip(r, Gap._field_defaults.values()) if x != d
    ).replace(" ", "_"),
)
def test_what_is_cancelled_is_gone_although_nobody_reaches_the_state_service(
    monkeypatch: pytest.MonkeyPatch, row: Gap
) -> None:
    world = simulate(monkeypatch, lambda clock: gap(clock, row))
    assert world.broken == []


async def out(clock: Clock, controllers: int, ends: tuple[int, ...], back_s: float) -> World:
    """Nobody reaches the state service for long, nothing is cancelled, and some end."""
    world = World(clock, 43, controllers)
    await fill(world)
    world.state.outage(clock(), 3 * CANCEL_S)
    await curio.sleep(5.0)
    for number in ends:
        await world.crash(f"c{number}")
    await curio.sleep(back_s)
    for number in ends:
        await world.start(f"c{number}")
    await curio.sleep(3 * CANCEL_S)
    return world


@pytest.mark.parametrize(
    "controllers, ends, back_s, kept",
    [
        (3, (), 0.0, True),
        (5, (), 0.0, True),
        (3, (1,), 0.3, True),
        (3, (1,), 0.8 * LEASE_S, True),
        (5, (1, 3), 0.8 * LEASE_S, True),
        (3, (0, 1), 0.3, True),
        # What these may have told after their promises were over, nobody knows.
        (3, (1,), 2 * LEASE_S, False),
        # Nobody is left who knows what users were told.
        (3, (0, 1, 2), 0.3, False),
    ],
)
def test_an_outage_in_which_nothing_is_cancelled_ends_no_lease(
    monkeypatch: pytest.MonkeyPatch,
    controllers: int,
    ends: tuple[int, ...],
    back_s: float,
    kept: bool,
) -> None:
    world = simulate(monkeypatch, lambda clock: out(clock, controllers, ends, back_s))
    assert world.broken == []
    assert all(w.session == 1 for w in world.workers.values() if not w.gone) == kept


Scene = Callable[[World], Coroutine[Any, Any, None]]


async def cut_leader(world: World) -> None:
    """1: one loses the state service and the other controllers, not its workers and users."""
    for _ in range(2):
        label = world.rng.choice(world.labels)
        lost = {
            f"{label}>state",
            *(f"{label}>{x}" for x in world.labels if x != label),
            *(f"{x}>{label}" for x in world.labels if x != label),
        }
        world.cut |= lost
        await curio.sleep(world.rng.uniform(15.0, 60.0))
        world.cut -= lost
        await curio.sleep(world.rng.uniform(3.0, 10.0))


async def there_and_back(world: World) -> None:
    """2: one is left out and comes back, all end, and one is back before the others."""
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


async def ends_far_apart(world: World) -> None:
    """3: the tasks of a job end long after each other, and its home changes between them."""
    world.apart = 1.5
    for _ in range(6):
        await curio.sleep(world.rng.uniform(3.0, 9.0))
        await again(world, world.rng.choice(world.labels))


async def old_reports(world: World) -> None:
    """4: reports arrive again, late, at whoever has just begun as well."""
    world.late_reports = 0.4
    for _ in range(5):
        await curio.sleep(world.rng.uniform(3.0, 12.0))
        await again(world, world.rng.choice(world.labels))
        for worker in world.workers.values():
            if world.rng.random() < 0.1:
                worker.hung_until = world.clock() + world.rng.uniform(5.0, 14.0)


async def commands_held(world: World) -> None:
    """5: commands and their answers are held up, and machines stand still and go on."""
    world.hold_s = (2.0, 15.0)
    for _ in range(6):
        label = world.rng.choice(world.labels)
        world.held.add(label)
        for worker in world.workers.values():
            if world.rng.random() < 0.3:
                worker.hung_until = world.clock() + world.rng.uniform(2.0, 9.0)
        await curio.sleep(world.rng.uniform(2.0, 6.0))
        world.held.discard(label)
        await curio.sleep(world.rng.uniform(1.0, 4.0))


async def late_writes(world: World) -> None:
    """6: transactions without an answer are carried out after newer ones."""
    world.late_writes = 0.25
    for _ in range(5):
        await curio.sleep(world.rng.uniform(2.0, 10.0))
        await again(world, world.rng.choice(world.labels))


async def slow_then_out(world: World) -> None:
    """7: the state service is slow, refuses one, and then all for longer than `cancel_s`."""
    world.slow_s = 1.5
    await curio.sleep(20.0)
    world.state.refused.add(world.rng.choice(world.labels))
    await curio.sleep(world.rng.uniform(1.0, 10.0))
    world.state.outage(world.clock(), 1.3 * CANCEL_S)
    await curio.sleep(1.3 * CANCEL_S)
    world.state.refused.clear()


async def deaf_machines(world: World) -> None:
    """8: machines hear no answer, or can't be reached, and a leader ends meanwhile."""
    for _ in range(3):
        names = sorted(n for n, w in world.workers.items() if w.alive())
        chosen = set(world.rng.sample(names, len(names) // 4))
        (world.deaf if world.rng.random() < 0.6 else world.cut).update(chosen)
        await curio.sleep(world.rng.uniform(0.5, 4.0))
        await again(world, world.rng.choice(world.labels))
        await curio.sleep(world.rng.uniform(5.0, 20.0))
        world.deaf.clear()
        world.cut.clear()


SCENES: list[Scene] = [
    cut_leader,
    there_and_back,
    ends_far_apart,
    old_reports,
    commands_held,
    late_writes,
    slow_then_out,
    deaf_machines,
]


async def meet(clock: Clock, scenes: tuple[Scene, ...], seed: int, controllers: int) -> World:
    world = World(clock, seed, controllers)
    await world.open()
    troubles = [await curio.spawn(scene, world, daemon=True) for scene in scenes]
    await work(world)
    for trouble in troubles:
        await trouble.join()
    world.late_reports = world.late_writes = world.slow_s = 0.0
    for holder in (world.cut, world.held, world.deaf, world.state.refused):
        holder.clear()
    world.calm_at = world.clock()
    await until_over(world)
    for name in sorted(world.accepted):
        for label in world.labels:
            status, _ = await world.user(label, "GET", f"/api/jobs/{name}")
            if status != 200:
                world.broken.append(f"unanswered {name} at {label}: {status}")
    return world


def held_up(world: World) -> list[str]:
    """Rules broken, and what was not served once it was calm."""
    return [
        *world.broken,
        *(
            f"waits {i}"
            for i in sorted(world.accepted)
            if world.jobs[i]["shape"] != "daemon" and world.told.get(i) not in ("done", "cancelled")
        ),
        *(["not all were accepted"] if len(world.accepted) != JOBS_A_DAY else []),
    ]


@pytest.mark.parametrize("controllers", [3, 5])
@pytest.mark.parametrize(
    "scenes",
    [
        *((s,) for s in SCENES),
        (cut_leader, late_writes),
        (slow_then_out, old_reports),
        (deaf_machines, there_and_back),
    ],
    ids=lambda scenes: "+".join(s.__name__ for s in scenes),
)
def test_rules_hold_when_two_troubles_meet(
    monkeypatch: pytest.MonkeyPatch, scenes: tuple[Scene, ...], controllers: int
) -> None:
    world = simulate(monkeypatch, lambda clock: meet(clock, scenes, 50, controllers))
    assert held_up(world) == []


async def copied(clock: Clock, seed: int, controllers: int) -> tuple[World, list[Any]]:
    """A day on which every transaction is sent once more, 2 to 12 s after it was carried out:
    those of which the copy changed something."""
    world = World(clock, seed, controllers)
    carried: list[tuple[float, Any]] = []
    found = []
    commit = world.state.commit

    def remember(body: Any) -> tuple[int, Any]:
        answer = commit(body)
        if answer[0] == 200 and body.get("writes"):
            carried.append((clock() + world.rng.uniform(2.0, 12.0), json.loads(json.dumps(body))))
        return answer

    async def again_and_again() -> None:
        while True:
            await curio.sleep(0.1)
            for entry in [e for e in carried if e[0] <= clock()]:
                carried.remove(entry)
                if commit(entry[1])[0] == 200:
                    found.append(entry[1])

    world.state.commit = remember  # type: ignore[method-assign]
    await world.open()
    await curio.spawn(again_and_again, daemon=True)
    await curio.spawn(there_and_back, world, daemon=True)
    await curio.spawn(cut_leader, world, daemon=True)
    await work(world)
    return await until_over(world), found


@pytest.mark.parametrize("seed, controllers", [(71, 3), (72, 3), (73, 5)])
def test_no_transaction_does_anything_when_it_is_carried_out_once_more(
    monkeypatch: pytest.MonkeyPatch, seed: int, controllers: int
) -> None:
    """A controller's key, put without naming what it replaces, was put in its successor's
    place; and removed late, it took a later one away."""
    world, found = simulate(monkeypatch, lambda clock: copied(clock, seed, controllers))
    assert found == [] and held_up(world) == []


async def deaf(
    clock: Clock, share: float, for_s: float, leader_ends: bool
) -> tuple[World, int, float]:
    """Machines with long tasks hear nothing for a while: how many were given back, and when
    all of these tasks ran again for good."""
    world = World(clock, 44)
    await fill(world)
    chosen = busiest(world, share)
    missed_s = await last_missed_s(world, world.deaf, chosen, for_s, leader_ends, 3 * CANCEL_S)
    return world, sum(w.gone for w in chosen), missed_s


@pytest.mark.parametrize("leader_ends", [False, True])
@pytest.mark.parametrize(
    "share, for_s, gone, most_s",
    [
        # Tasks go on where they hear again in time.
        (0.0, 0.4 * LEASE_S, False, 0.0),
        (0.8, 0.4 * LEASE_S, False, 0.0),
        # Beyond that they begin elsewhere, although the machines go on reporting.
        (0.0, 10 * LEASE_S, True, CANCEL_S),
        (0.8, 10 * LEASE_S, True, 2 * CANCEL_S),
    ],
)
def test_machines_that_hear_nothing_keep_no_task_for_ever(
    monkeypatch: pytest.MonkeyPatch,
    share: float,
    for_s: float,
    gone: bool,
    most_s: float,
    leader_ends: bool,
) -> None:
    world, returned, missed_s = simulate(
        monkeypatch, lambda clock: deaf(clock, share, for_s, leader_ends)
    )
    assert world.broken == []
    assert bool(returned) == gone and missed_s <= most_s
