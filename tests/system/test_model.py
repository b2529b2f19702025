"""Several real controllers in simulated time: whatever is lost, held or crashes, the
Rules hold, and once things are calm all work gets done."""

from __future__ import annotations

import itertools
import json
from collections.abc import Callable, Coroutine
from typing import Any

import curio
import pytest

from clayport.transport import frames
from tests.world import SETTINGS, ZONES, Clock, World, job, simulate

JOBS: list[tuple[dict[str, Any], float]] = [
    ({"pieces": 6}, 6.0),
    (
        {
            "pieces": 2,
            "shape": "daemon",
            "jobclass": "web",
            "rank": "production",
            "loaners": False,
            "scatter": True,
            "guess_s": 0.0,
        },
        1e9,
    ),
    (
        {
            "pieces": 2,
            "shape": "ensemble",
            "owner": "tight",
            "cards": 1.0,
            "together": True,
            "loaners": False,
        },
        9.0,
    ),
    ({"pieces": 3, "owner": "tight", "cards": 1.0}, 5.0),
    ({"pieces": 12, "rank": "best_effort", "bundle": "img-2"}, 10.0),
    ({"pieces": 3, "site": "south", "flavors": ["plain"]}, 4.0),
]


JOBS_A_DAY = 24


# Shares with which the world's further troubles strike.
SHARES = {
    "late_writes": 0.2,
    "late_reports": 0.3,
    "lost_answers": 0.3,
    "kept_reports": 0.4,
    "late_commands": 0.4,
    "cancelled_at_end": 0.3,
    "slow_s": 0.8,
    "link_s": 0.2,
}
MACHINES = ("mute", "deaf")
PAIRS = list(itertools.combinations((*SHARES, *MACHINES, "enclosed"), 2))


async def pairs(world: World, calm_at: float) -> None:
    """Two further troubles at a time, while others come and go."""
    rng = world.rng
    copies = await curio.spawn(world.hand_over_copies, (0.0, 5.0), daemon=True)
    while world.clock() < calm_at:
        pair = rng.choice(PAIRS)
        for what in pair:
            if what in SHARES:
                setattr(world, what, SHARES[what])
            elif what in MACHINES:
                names = sorted(world.workers)
                getattr(world, what).update(rng.sample(names, len(names) // 4))
            else:
                world.enclosed, world.enclosed_zone = {rng.choice(world.labels)}, rng.choice(ZONES)
        await curio.sleep(rng.uniform(5.0, 20.0))
        for what in SHARES:
            setattr(world, what, 0.0)
        world.enclosed_zone = ""
        for holder in (world.mute, world.deaf, world.enclosed):
            holder.clear()
    await copies.cancel()


async def trouble(world: World, calm_at: float) -> None:
    """Random failures, one after another and overlapping, until `calm_at`."""
    rng = world.rng
    while world.clock() < calm_at:
        await curio.sleep(rng.uniform(1.0, 6.0))
        what = rng.choice(
            [
                "crash",
                "crash",
                "crash_all",
                "cut",
                "one_way",
                "loss",
                "outage",
                "hang",
                "die",
                "worker_cut",
                "held",
                "held",
            ]
        )
        if what == "crash":
            await curio.spawn(restart, world, rng.choice(world.labels), daemon=True)
        elif what == "crash_all" and rng.random() < 0.3:
            for label in world.labels:
                await curio.spawn(restart, world, label, daemon=True)
        elif what in ("cut", "one_way", "worker_cut"):
            a = rng.choice(world.labels)
            others = sorted(world.workers) or world.labels
            entry = {
                "cut": a,
                "one_way": f"{a}>{rng.choice([*world.labels, 'state', 'cloud'])}",
                "worker_cut": rng.choice(others),
            }[what]
            await curio.spawn(cut, world, entry, rng.uniform(2.0, 25.0), daemon=True)
        elif what == "held":
            await curio.spawn(held, world, rng.choice(world.labels), daemon=True)
        elif what == "loss":
            world.loss = rng.choice([0.0, 0.02, 0.1])
        elif what == "outage":
            world.state.outage(world.clock(), rng.uniform(1.0, 12.0))
        elif world.workers:
            worker = rng.choice(sorted(world.workers.values(), key=lambda w: w.name))
            if what == "hang":
                worker.hung_until = world.clock() + rng.uniform(1.0, 14.0)
            elif what == "die" and rng.random() < 0.4:
                world.kill(worker)
    world.loss = 0.0
    world.cut.clear()
    world.held.clear()


async def cut(world: World, entry: str, for_s: float) -> None:
    world.cut.add(entry)
    await curio.sleep(for_s)
    world.cut.discard(entry)


async def held(world: World, label: str) -> None:
    """A controller's commands are held on their way, and it ends meanwhile."""
    world.held.add(label)
    await curio.sleep(world.rng.uniform(0.5, 3.0))
    if world.rng.random() < 0.7:
        await curio.spawn(restart, world, label, daemon=True)
    await curio.sleep(world.rng.uniform(0.5, 3.0))
    world.held.discard(label)


async def restart(world: World, label: str) -> None:
    if label in world.controllers:
        await world.crash(label)
        await curio.sleep(world.rng.uniform(1.0, 9.0))
        if label not in world.controllers:
            await world.start(label)


async def upgrade(world: World) -> None:
    """The version before is replaced, a process at a time; later the state service takes
    less. One that crashes before its turn comes back old."""
    await curio.sleep(world.rng.uniform(15.0, 30.0))
    for label in world.labels:
        await world.crash(label)
        await curio.sleep(world.rng.uniform(1.0, 4.0))
        world.old.discard(label)
        await world.crash(label)  # one that had crashed as well may have come back old
        await world.start(label)
        await curio.sleep(world.rng.uniform(0.0, 8.0))
    world.upgraded_at = world.clock()


async def lower(world: World) -> None:
    """Moments after all are new, with whatever is still to be moved."""
    while not any(
        c.upgrade.complete
        and c.membership.serving
        and not any(
            h.wider_chunks or h.chunk_size > c.upgrade.chunk_size < h.job.tasks
            for h in c.jobs.managed.values()
        )
        for c in world.controllers.values()
    ):
        await curio.sleep(0.2)
    await curio.sleep(world.rng.uniform(0.0, 20.0))
    world.state.limits.update(LOWER)
    world.refused.clear()


async def pipeline(world: World, first: int, cancel: bool) -> None:
    """A chain with a diamond in it, submitted one after another."""
    number = [first]

    async def one(*needs: str, **fields: Any) -> str:
        value = job(number[0], **fields, prereqs=list(needs) or None)
        number[0] += 1
        await world.submit(value, world.rng.uniform(2.0, 6.0))
        return str(value["id"])

    a = await one(rank="best_effort", pieces=40)
    b = await one(a, pieces=2)
    c = await one(a, shape="ensemble", pieces=2, together=True, loaners=False)
    if cancel and world.rng.random() < 0.5:
        await curio.spawn(world.abort, world.rng.choice((a, b)), daemon=True)
    d = await one(b, c, rank="high", due_s=60.0)
    if cancel and world.rng.random() < 0.7:
        await curio.sleep(world.rng.uniform(0.0, 10.0))
        await curio.spawn(world.abort, world.rng.choice((a, b, c, d)), daemon=True)


PIPELINES_A_DAY = 5


async def mixed(clock: Clock, seed: int, controllers: int, rebuild: bool) -> World:
    """A day on which the version before is replaced."""
    world = World(clock, seed, controllers, rebuild)
    world.old.update(world.labels)
    await world.open()
    await curio.spawn(trouble, world, clock() + 110.0, daemon=True)
    await curio.spawn(upgrade, world, daemon=True)
    await curio.spawn(lower, world, daemon=True)
    # Arrays that run before, while and after they are moved.
    for number, pieces in enumerate((200, 3, 150)):
        await curio.spawn(world.submit, job(number, pieces=pieces, vcpus=1.0), 15.0, daemon=True)
    for number in range(3, 15):
        fields, run_s = JOBS[number % len(JOBS)]
        await curio.spawn(world.submit, job(number, **fields), run_s, daemon=True)
        await curio.sleep(world.rng.uniform(0.2, 3.0))
    while clock() < world.upgraded_at:
        await curio.sleep(1.0)
    await curio.spawn(world.submit, job(15, pieces=120, vcpus=1.0), 8.0, daemon=True)
    lines = [
        await curio.spawn(pipeline, world, 100 * (n + 1), n % 2 == 0, daemon=True)
        for n in range(PIPELINES_A_DAY)
    ]
    end = clock() + 400.0
    while clock() < end and not world.broken:
        await curio.sleep(2.0)
        finite = [i for i in world.accepted if world.jobs[i]["shape"] != "daemon"]
        if all(t.terminated for t in lines) and all(
            world.told.get(i) in ("done", "cancelled") for i in finite
        ):
            break
    if not world.broken:
        await curio.sleep(40.0)
    return world


LOWER = {"value_kb": 2.0, "txn_ops": 5}


@pytest.mark.parametrize(
    "seed, controllers, rebuild",
    [
        (21, 3, False),
        (23, 3, False),
        (24, 3, False),
        (29, 5, False),
        # The records get a history once all are new, and not before.
        (21, 3, True),
        (24, 3, True),
        (29, 5, True),
    ],
)
def test_rules_hold_while_the_version_before_is_replaced(
    monkeypatch: pytest.MonkeyPatch,
    caplog: pytest.LogCaptureFixture,
    seed: int,
    controllers: int,
    rebuild: bool,
) -> None:
    monkeypatch.setitem(SETTINGS, "state", {**SETTINGS["state"], "next": LOWER})
    world = simulate(monkeypatch, lambda clock: mixed(clock, seed, controllers, rebuild))
    assert world.broken == []
    assert ("c/lineage" in world.state.keys) == rebuild
    assert [r.getMessage() for r in caplog.records if r.levelname == "ERROR"] == []
    assert world.refused == [] and len(world.accepted) == 16 + 4 * PIPELINES_A_DAY
    waiting = {
        i: world.told.get(i)
        for i in world.accepted
        if world.jobs[i]["shape"] != "daemon" and world.told.get(i) not in ("done", "cancelled")
    }
    assert waiting == {}, "all work gets done once things are calm"
    assert any(".0" in k for k in world.moved), "something was moved"


async def until_over(world: World) -> World:
    """Until all finite jobs are over, or a rule is broken, or they should long have been."""
    end = world.clock() + 260.0
    while world.clock() < end and not world.broken:
        await curio.sleep(2.0)
        finite = [i for i in world.accepted if world.jobs[i]["shape"] != "daemon"]
        if len(world.accepted) + len(world.lost or ()) == JOBS_A_DAY and all(
            world.told.get(i) in ("done", "cancelled") for i in finite
        ):
            break
    if not world.broken:
        await curio.sleep(40.0)  # long enough for a cancelled task to be seen
    return world


async def work(
    world: World, then: Callable[[int], Coroutine[Any, Any, None]] | None = None
) -> None:
    """The day's jobs, one after another, and some of them cancelled; `then` after each."""
    aborted = []
    for number in range(JOBS_A_DAY):
        fields, run_s = JOBS[number % len(JOBS)]
        await curio.spawn(world.submit, job(number, **fields), run_s, daemon=True)
        if number % 4 == 1:
            aborted.append(number)
        await curio.sleep(world.rng.uniform(0.2, 3.0))
        if aborted and world.rng.random() < 0.5:
            await curio.spawn(world.abort, job(aborted.pop())["id"], daemon=True)
        if then is not None:
            await then(number)


async def day(
    clock: Clock, seed: int, troubled: bool, controllers: int = 3, paired: bool = False
) -> World:
    world = World(clock, seed, controllers)
    await world.open()
    if paired:
        await curio.spawn(pairs, world, clock() + 60.0, daemon=True)
    if troubled:
        await curio.spawn(trouble, world, clock() + 60.0, daemon=True)
    await work(world)
    return await until_over(world)


@pytest.mark.parametrize(
    "seed, troubled, controllers, paired",
    [
        (1, False, 3, False),
        *((s, True, 3, False) for s in range(2, 8)),
        (8, True, 5, False),
        (9, True, 5, False),
        # Two further troubles at a time, alone and beside the others.
        (10, False, 3, True),
        (11, True, 3, True),
        (12, True, 3, True),
        (13, True, 5, True),
    ],
)
def test_rules_hold(
    monkeypatch: pytest.MonkeyPatch,
    caplog: pytest.LogCaptureFixture,
    seed: int,
    troubled: bool,
    controllers: int,
    paired: bool,
) -> None:
    world = simulate(monkeypatch, lambda clock: day(clock, seed, troubled, controllers, paired))
    assert world.broken == []
    # A request that can't be packed, or a routine that fails, is only logged.
    assert [r.getMessage() for r in caplog.records if r.levelname == "ERROR"] == []
    assert len(world.accepted) == JOBS_A_DAY
    assert world.launches > 0
    waiting = {
        i: world.told.get(i)
        for i in world.accepted
        if world.jobs[i]["shape"] != "daemon" and world.told.get(i) not in ("done", "cancelled")
    }
    assert waiting == {}, "all work gets done once things are calm"


# Days that are about one safeguard each: with it taken out, the rule it holds is broken.
# (Random failures alone seldom combine to that.)


async def started(clock: Clock, seed: int, *jobs: dict[str, Any]) -> World:
    world = World(clock, seed)
    for label in world.labels:
        await world.start(label)
    for routine in (world.spawner, world.watch_rules):
        await curio.spawn(routine, daemon=True)
    for value in jobs:
        await world.submit(value, 1e9)
    return world


async def held_launch_of_a_cancelled_job(clock: Clock) -> World:
    """A launch is on its way to the worker, for longer than a cancellation may take."""
    world = await started(
        clock, 1, job(1, pieces=1, loaners=False), job(2, pieces=3, loaners=False)
    )  # so that the machine stays
    world.hold_s = (45.0, 45.0)
    world.held.update(world.labels)
    while not any(k.startswith("run/j-000001/") for k in world.state.keys):
        await curio.sleep(0.1)
    await curio.sleep(0.5)
    await world.abort("j-000001")
    await curio.sleep(1.5)
    world.held.clear()
    await curio.sleep(60.0)
    return world


async def launch_sent_twice(clock: Clock) -> World:
    """The second copy of a launch reaches the owner when the replica has moved."""
    world = await started(
        clock, 2, job(1, pieces=1, shape="daemon", loaners=False), job(2, pieces=8, loaners=False)
    )
    world.hold_s = (30.0, 30.0)
    world.doubled.add(frames.LAUNCH)
    key = ("j-000001/0", 1)

    def on() -> list[Any]:
        return [w for w in world.workers.values() if any(k[0] == key[0] for k in w.on())]

    while not on():
        await curio.sleep(0.1)
        for c in world.controllers.values():
            if (
                c.membership.serving
                and c.membership.epoch.member_for("j-000001") == c.membership.label
            ):
                for machine in c.machines.machines.values():
                    machine.held_for_job, machine.held_until = "other", clock() + 60.0
    worker = on()[0]
    owner = next(
        c for c in world.controllers.values() if worker.name in c.machines.machines
    ).machines
    machine = owner.machines[worker.name]
    machine.held_for_job, machine.held_until = "other", clock() + 25.0  # not there again
    owner.touch(worker.name)
    owner.stop([(worker.name, *next(k for k in worker.on() if k[0] == key[0]), 0.0, False)])
    while on() in ([], [worker]):
        await curio.sleep(0.5)
    await curio.sleep(35.0)
    assert len(on()) == 1
    return world


async def key_applied_twice(clock: Clock) -> World:
    """A copy of a controller's first key is applied just after the epoch of all."""
    world = World(clock, 3)
    commit, first = world.state.commit, []

    def twice(body: Any) -> tuple[int, Any]:
        answer = commit(body)
        puts = {w["write"]: w["data"] for w in body.get("writes", []) if "write" in w}
        if "c/version/c1" in puts:
            first.append(body)
        if len(puts.get("c/generation", {"members": ""})["members"]) == 3:
            assert answer[0] == 200 and commit(first[0])[0] == 409
        return answer

    world.state.commit = twice  # type: ignore[method-assign]
    for label in world.labels:
        await world.start(label)
    await curio.sleep(30.0)
    return world


def test_a_late_copy_of_a_key_holds_up_no_upgrade(monkeypatch: pytest.MonkeyPatch) -> None:
    """The version's record was written anew after the epoch that all waited for, and
    pipelines were refused until a controller ended."""
    world = simulate(monkeypatch, key_applied_twice)
    assert [c.upgrade.complete for c in world.controllers.values()] == [True] * 3


@pytest.mark.parametrize("controllers", [3, 5])
def test_a_day_repeats(monkeypatch: pytest.MonkeyPatch, controllers: int) -> None:
    """The same seed gives the same day: a verdict that changes from run to run is none."""

    async def short(clock: Clock) -> World:
        world = World(clock, 12, controllers)
        await world.open()
        await curio.spawn(trouble, world, clock() + 25.0, daemon=True)
        for number in range(6):
            fields, run_s = JOBS[number]
            await curio.spawn(world.submit, job(number, **fields), run_s, daemon=True)
        await curio.sleep(40.0)
        return world

    found = set()
    kept = []  # so that the second day's objects lie elsewhere
    for _ in range(2):
        world = simulate(monkeypatch, short)
        kept.append(world)
        found.add((world.state.rev, json.dumps(world.state.log), world.rng.random()))
    assert len(found) == 1


@pytest.mark.parametrize("scene", [held_launch_of_a_cancelled_job, launch_sent_twice])
def test_late_commands_change_nothing(monkeypatch: pytest.MonkeyPatch, scene: Any) -> None:
    world = simulate(monkeypatch, scene)
    assert world.broken == [] and world.accepted
