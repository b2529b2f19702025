"""Several real controllers in simulated time with random faults.

The rules of the service hold no matter what is lost, delayed or crashes, and all jobs complete
after the faults.
"""

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


# Values of the attributes of `World` that inject additional faults.
FAULT_VALUES = {
    "late_writes": 0.2,
    "late_reports": 0.3,
    "lost_answers": 0.3,
    "kept_reports": 0.4,
    "late_commands": 0.4,
    "cancelled_at_end": 0.3,
    "repeated_commands": 0.5,
    "repeated_requests": 0.2,
    "failing_tasks": 0.33,
    "slow_s": 0.8,
    "link_s": 0.2,
}
MACHINE_FAULTS = ("reports_blocked", "replies_blocked")
FAULT_PAIRS = list(
    itertools.combinations((*FAULT_VALUES, *MACHINE_FAULTS, "isolated_controllers"), 2)
)


async def inject_fault_pairs(world: World, end_at: float) -> None:
    """Inject random pairs of additional faults, one pair after another, until `end_at`."""
    rng = world.rng
    copies = await curio.spawn(world.hand_over_copies, (0.0, 5.0), daemon=True)
    while world.clock() < end_at:
        pair = rng.choice(FAULT_PAIRS)
        for fault in pair:
            if fault in FAULT_VALUES:
                setattr(world, fault, FAULT_VALUES[fault])
            elif fault in MACHINE_FAULTS:
                names = sorted(world.workers)
                getattr(world, fault).update(rng.sample(names, len(names) // 4))
            else:
                world.isolated_controllers, world.isolated_zone = (
                    {rng.choice(world.labels)},
                    rng.choice(ZONES),
                )
        await curio.sleep(rng.uniform(5.0, 20.0))
        for fault in FAULT_VALUES:
            setattr(world, fault, 0.0)
        world.isolated_zone = ""
        for holder in (world.reports_blocked, world.replies_blocked, world.isolated_controllers):
            holder.clear()
    await copies.cancel()


async def inject_faults(world: World, end_at: float) -> None:
    """Inject random faults, which may overlap, until `end_at`."""
    rng = world.rng
    while world.clock() < end_at:
        await curio.sleep(rng.uniform(1.0, 6.0))
        fault = rng.choice(
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
                "machine_restart",
                "worker_cut",
                "held",
                "held",
            ]
        )
        if fault == "crash":
            await curio.spawn(restart, world, rng.choice(world.labels), daemon=True)
        elif fault == "crash_all" and rng.random() < 0.3:
            for label in world.labels:
                await curio.spawn(restart, world, label, daemon=True)
        elif fault in ("cut", "one_way", "worker_cut"):
            source = rng.choice(world.labels)
            others = sorted(world.workers) or world.labels
            entry = {
                "cut": source,
                "one_way": f"{source}>{rng.choice([*world.labels, 'state', 'cloud'])}",
                "worker_cut": rng.choice(others),
            }[fault]
            await curio.spawn(partition_for, world, entry, rng.uniform(2.0, 25.0), daemon=True)
        elif fault == "held":
            await curio.spawn(
                hold_commands_and_restart, world, rng.choice(world.labels), daemon=True
            )
        elif fault == "loss":
            world.loss = rng.choice([0.0, 0.02, 0.1])
        elif fault == "outage":
            world.state.outage(world.clock(), rng.uniform(1.0, 12.0))
        elif world.workers:
            worker = rng.choice(sorted(world.workers.values(), key=lambda w: w.name))
            if fault == "hang":
                worker.hung_until = world.clock() + rng.uniform(1.0, 14.0)
            elif fault == "die" and rng.random() < 0.4:
                world.kill(worker)
            elif fault == "machine_restart" and worker.alive():
                worker.restart(keeps_fence=True)
    world.loss = 0.0
    world.partitioned.clear()
    world.held_senders.clear()


async def partition_for(world: World, entry: str, for_s: float) -> None:
    """Disconnect an endpoint or a directed link for a while."""
    world.partitioned.add(entry)
    await curio.sleep(for_s)
    world.partitioned.discard(entry)


async def hold_commands_and_restart(world: World, label: str) -> None:
    """Hold a controller's commands in the network, and restart the controller in 70 % of cases."""
    world.held_senders.add(label)
    await curio.sleep(world.rng.uniform(0.5, 3.0))
    if world.rng.random() < 0.7:
        await curio.spawn(restart, world, label, daemon=True)
    await curio.sleep(world.rng.uniform(0.5, 3.0))
    world.held_senders.discard(label)


async def restart(world: World, label: str) -> None:
    """Crash a controller, and start it some seconds later unless it is running again by then."""
    if label in world.controllers:
        await world.crash(label)
        await curio.sleep(world.rng.uniform(1.0, 9.0))
        if label not in world.controllers:
            await world.start(label)


async def upgrade_controllers(world: World) -> None:
    """Replace the previous version, one controller at a time.

    A controller that crashes before its turn comes back with the previous version.
    """
    await curio.sleep(world.rng.uniform(15.0, 30.0))
    for label in world.labels:
        await world.crash(label)
        await curio.sleep(world.rng.uniform(1.0, 4.0))
        world.old_version_controllers.discard(label)
        await world.crash(label)  # a concurrent fault may have restarted the old version
        await world.start(label)
        await curio.sleep(world.rng.uniform(0.0, 8.0))
    world.upgraded_at = world.clock()


async def lower_limits(world: World) -> None:
    """Lower the limits of the state service after the upgrade.

    Wait until one controller knows that the upgrade is complete and has no chunk left to resize.
    """
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
    world.state.limits.update(LOWER_LIMITS)
    world.rejected_writes.clear()


async def submit_pipeline(world: World, first: int, cancel: bool) -> None:
    """Submit jobs whose prerequisites form a diamond; with `cancel`, cancel some at random."""
    next_number = [first]

    async def submit_one(*prerequisites: str, **fields: Any) -> str:
        value = job(next_number[0], **fields, prereqs=list(prerequisites) or None)
        next_number[0] += 1
        await world.submit(value, world.rng.uniform(2.0, 6.0))
        return str(value["id"])

    a = await submit_one(rank="best_effort", pieces=40)
    b = await submit_one(a, pieces=2)
    c = await submit_one(a, shape="ensemble", pieces=2, together=True, loaners=False)
    if cancel and world.rng.random() < 0.5:
        await curio.spawn(world.abort, world.rng.choice((a, b)), daemon=True)
    d = await submit_one(b, c, rank="high", due_s=60.0)
    if cancel and world.rng.random() < 0.7:
        await curio.sleep(world.rng.uniform(0.0, 10.0))
        await curio.spawn(world.abort, world.rng.choice((a, b, c, d)), daemon=True)


PIPELINES_A_DAY = 5


async def upgrade_day(clock: Clock, seed: int, controllers: int, rebuild: bool) -> World:
    """Run a day on which the previous version is replaced."""
    world = World(clock, seed, controllers, rebuild)
    world.old_version_controllers.update(world.labels)
    await world.open()
    await curio.spawn(inject_faults, world, clock() + 110.0, daemon=True)
    await curio.spawn(upgrade_controllers, world, daemon=True)
    await curio.spawn(lower_limits, world, daemon=True)
    # Arrays that run before, during and after the resizing of their chunks.
    for number, pieces in enumerate((200, 3, 150)):
        await curio.spawn(world.submit, job(number, pieces=pieces, vcpus=1.0), 15.0, daemon=True)
    for number in range(3, 15):
        fields, run_s = JOBS[number % len(JOBS)]
        await curio.spawn(world.submit, job(number, **fields), run_s, daemon=True)
        await curio.sleep(world.rng.uniform(0.2, 3.0))
    while clock() < world.upgraded_at:
        await curio.sleep(1.0)
    await curio.spawn(world.submit, job(15, pieces=120, vcpus=1.0), 8.0, daemon=True)
    pipelines = [
        await curio.spawn(submit_pipeline, world, 100 * (n + 1), n % 2 == 0, daemon=True)
        for n in range(PIPELINES_A_DAY)
    ]
    end = clock() + 400.0
    while clock() < end and not world.violations:
        await curio.sleep(2.0)
        if all(t.terminated for t in pipelines) and not world.unfinished_jobs():
            break
    if not world.violations:
        await curio.sleep(40.0)
    return world


LOWER_LIMITS = {"value_kb": 2.0, "txn_ops": 5}


@pytest.mark.parametrize(
    "seed, controllers, rebuild",
    [
        (21, 3, False),
        (23, 3, False),
        (24, 3, False),
        (29, 5, False),
        # The records get a history only after all controllers run the new version.
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
    monkeypatch.setitem(SETTINGS, "state", {**SETTINGS["state"], "next": LOWER_LIMITS})
    world = simulate(monkeypatch, lambda clock: upgrade_day(clock, seed, controllers, rebuild))
    assert world.violations == []
    assert ("c/lineage" in world.state.keys) == rebuild
    assert [r.getMessage() for r in caplog.records if r.levelname == "ERROR"] == []
    assert world.rejected_writes == [] and len(world.accepted) == 16 + 4 * PIPELINES_A_DAY
    assert world.unfinished_jobs() == {}, "all finite jobs end after the faults"
    assert any(".0" in k for k in world.sized_chunk_keys), "no chunk was resized"


async def wait_until_jobs_end(world: World) -> World:
    """Wait until all finite jobs have ended, a rule is broken or 260 s have passed."""
    end = world.clock() + 260.0
    while world.clock() < end and not world.violations:
        await curio.sleep(2.0)
        if (
            len(world.accepted) + len(world.lost or ()) == JOBS_A_DAY
            and not world.unfinished_jobs()
        ):
            break
    if not world.violations:
        await curio.sleep(40.0)  # long enough for a cancelled task to be seen
        await world.check_records_settle()
    return world


async def submit_daily_jobs(
    world: World, then: Callable[[int], Coroutine[Any, Any, None]] | None = None
) -> None:
    """Submit the day's jobs one after another and cancel some; await `then` after each."""
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
    """Run a day with random faults, pairs of additional faults, both or none."""
    world = World(clock, seed, controllers)
    await world.open()
    if paired:
        await curio.spawn(inject_fault_pairs, world, clock() + 60.0, daemon=True)
    if troubled:
        await curio.spawn(inject_faults, world, clock() + 60.0, daemon=True)
    await submit_daily_jobs(world)
    return await wait_until_jobs_end(world)


@pytest.mark.parametrize(
    "seed, troubled, controllers, paired",
    [
        (1, False, 3, False),
        *((s, True, 3, False) for s in range(2, 8)),
        (8, True, 5, False),
        (9, True, 5, False),
        # Pairs of additional faults, alone and together with the others.
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
    assert world.violations == []
    # A request that cannot be encoded, or a routine that fails, shows only in the log.
    assert [r.getMessage() for r in caplog.records if r.levelname == "ERROR"] == []
    assert len(world.accepted) == JOBS_A_DAY
    assert world.launches > 0
    assert world.unfinished_jobs() == {}, "all finite jobs end after the faults"


# Each of the following days tests one safeguard and breaks a rule if that safeguard is removed.
# Random faults alone seldom produce the needed order of events.


async def start_world(clock: Clock, seed: int, *jobs: dict[str, Any]) -> World:
    """Start a world without users' queries, and submit jobs that do not end by themselves."""
    world = World(clock, seed)
    for label in world.labels:
        await world.start(label)
    for routine in (world.spawner, world.watch_rules):
        await curio.spawn(routine, daemon=True)
    for value in jobs:
        await world.submit(value, 1e9)
    return world


async def held_launch_of_a_cancelled_job(clock: Clock) -> World:
    """Hold a launch in the network for longer than a cancellation may take."""
    world = await start_world(
        clock, 1, job(1, pieces=1, loaners=False), job(2, pieces=3, loaners=False)
    )  # the second job keeps the machine in use
    world.hold_s = (45.0, 45.0)
    world.held_senders.update(world.labels)
    while not any(k.startswith("run/j-000001/") for k in world.state.keys):
        await curio.sleep(0.1)
    await curio.sleep(0.5)
    await world.abort("j-000001")
    await curio.sleep(1.5)
    world.held_senders.clear()
    await curio.sleep(60.0)
    return world


async def launch_sent_twice(clock: Clock) -> World:
    """Deliver the second copy of a launch to the owner after the replica has moved."""
    world = await start_world(
        clock, 2, job(1, pieces=1, shape="daemon", loaners=False), job(2, pieces=8, loaners=False)
    )
    world.hold_s = (30.0, 30.0)
    world.duplicated_frame_kinds.add(frames.LAUNCH)
    key = ("j-000001/0", 1)

    def machines_with_task() -> list[Any]:
        return [
            w for w in world.workers.values() if any(k[0] == key[0] for k in w.occupying_tasks())
        ]

    while not machines_with_task():
        await curio.sleep(0.1)
        for c in world.controllers.values():
            if (
                c.membership.serving
                and c.membership.epoch.member_for("j-000001") == c.membership.label
            ):
                for machine in c.machines.machines.values():
                    machine.held_for_job, machine.held_until = "other", clock() + 60.0
    worker = machines_with_task()[0]
    owner = next(
        c for c in world.controllers.values() if worker.name in c.machines.machines
    ).machines
    machine = owner.machines[worker.name]
    # The reservation makes the replica move to another machine.
    machine.held_for_job, machine.held_until = "other", clock() + 25.0
    owner.mark_room_changed(worker.name)
    owner.stop(
        [(worker.name, *next(k for k in worker.occupying_tasks() if k[0] == key[0]), 0.0, False)]
    )
    while machines_with_task() in ([], [worker]):
        await curio.sleep(0.5)
    await curio.sleep(35.0)
    assert len(machines_with_task()) == 1
    return world


async def first_commit_applied_twice(clock: Clock) -> World:
    """Apply a controller's first commit again just after the first epoch with all members."""
    world = World(clock, 3)
    commit, first_commits = world.state.commit, []

    def commit_and_repeat(body: Any) -> tuple[int, Any]:
        answer = commit(body)
        written = {w["write"]: w["data"] for w in body.get("writes", []) if "write" in w}
        if "c/version/c1" in written:
            first_commits.append(body)
        if len(written.get("c/generation", {"members": ""})["members"]) == 3:
            assert answer[0] == 200 and commit(first_commits[0])[0] == 409
        return answer

    world.state.commit = commit_and_repeat  # type: ignore[method-assign]
    for label in world.labels:
        await world.start(label)
    await curio.sleep(30.0)
    return world


def test_late_copy_of_version_record_does_not_block_upgrade(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A late copy of a controller's first commit does not write the version record again.

    Such a write, after the epoch that the upgrade waits for, would make controllers refuse jobs
    with prerequisites until a controller restarts.
    """
    world = simulate(monkeypatch, first_commit_applied_twice)
    assert [c.upgrade.complete for c in world.controllers.values()] == [True] * 3


@pytest.mark.parametrize("controllers", [3, 5])
def test_same_seed_gives_same_day(monkeypatch: pytest.MonkeyPatch, controllers: int) -> None:
    """Two runs with the same seed give the same records, so that a failure can be repeated."""

    async def short(clock: Clock) -> World:
        world = World(clock, 12, controllers)
        await world.open()
        await curio.spawn(inject_faults, world, clock() + 25.0, daemon=True)
        for number in range(6):
            fields, run_s = JOBS[number]
            await curio.spawn(world.submit, job(number, **fields), run_s, daemon=True)
        await curio.sleep(40.0)
        return world

    found = set()
    kept = []  # keeps the first world alive, so that the second has other memory addresses
    for _ in range(2):
        world = simulate(monkeypatch, short)
        kept.append(world)
        found.add((world.state.rev, json.dumps(world.state.log), world.rng.random()))
    assert len(found) == 1


@pytest.mark.parametrize("scene", [held_launch_of_a_cancelled_job, launch_sent_twice])
def test_delayed_commands_have_no_effect(monkeypatch: pytest.MonkeyPatch, scene: Any) -> None:
    world = simulate(monkeypatch, scene)
    assert world.violations == [] and world.accepted
