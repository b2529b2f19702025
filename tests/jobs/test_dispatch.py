"""Placement by a job's leader: queueing, preemption, and incremental refresh of cached state."""

from __future__ import annotations

import json
import random
import time
from typing import Any

import curio
import msgspec
import pytest

from clayport.controller import Controller
from clayport.jobs.managed_job import ManagedJob
from clayport.machines.table import MachineTable
from clayport.membership.epoch import Epoch
from clayport.model import Job, MachineType, ReportedTask, WorkerHeartbeat
from clayport.scheduling.demand_report import MAX_DEMAND_ROWS
from clayport.scheduling.postponement import GATHER_SHARE
from clayport.scheduling.scheduling_pass import SchedulingPass
from clayport.settings import parse
from tests.world import TYPES
from tests.world import job as wire_job

SMALL, PAIR, LOW = (
    msgspec.convert(wire_job(n, **fields), Job)
    for n, fields in (
        (1, {"cards": 2.0, "pieces": 1, "loaners": False}),
        (2, {"cards": 2.0, "pieces": 2, "shape": "ensemble", "together": True, "loaners": False}),
        (3, {"rank": "best_effort", "jobclass": "unnamed", "pieces": 20}),
    )
)


class SingleController:
    """One controller that leads every job and owns every machine, with a clock set by the test."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        from tests.test_program import VALID_SETTINGS

        self.now = 1000.0
        monkeypatch.setattr(time, "monotonic", lambda: self.now)
        self.c = Controller(parse(json.dumps(VALID_SETTINGS).encode()))
        self.c.catalogue.types = msgspec.convert(TYPES, list[MachineType])
        self.c.machines.types = {t.name: t for t in self.c.catalogue.types}
        self.c.membership.epoch = Epoch(1, {"c0": "x"}, 1)
        self.c.machines.begin_epoch(self.c.membership.epoch, "c0")
        self.seq = 0

    def add_job(self, job: Job) -> ManagedJob:
        self.c.jobs.live[job.id] = (job, 1)
        self.c.placer.note_accepted(job)
        managed = self.c.jobs.managed[job.id] = ManagedJob(job, 1, 50, self.now)
        self.c.queue.mark_changed(job.id)
        return managed

    def report(self, name: str, zone: str, kind: str, *tasks: str) -> None:
        self.seq += 1
        token = self.c.machines.machine(name, self.now).token
        pieces = [ReportedTask(t, 1, "running") for t in tasks]
        self.c.machines.take_report(
            WorkerHeartbeat(name, "m:1", kind, zone, False, 1, self.seq, token, pieces),
            self.now,
            True,
        )

    def order(self, managed: ManagedJob) -> tuple[float, ...]:
        placer = self.c.placer
        return placer._order(
            managed, SchedulingPass(self.now, self.c.view.index, placer.policy(), {}, None, {})
        )

    def run_pass(self) -> None:
        """Run one scheduling pass and its preemption requests; no task is started."""
        self.c.queue.mark_all_changed()
        self.c.placer._pass(self.now)
        coros, self.c.routines.pending_coroutines = self.c.routines.pending_coroutines, []

        async def run() -> None:
            for coro in coros:
                await coro

        curio.run(run)
        self.discard_routines()  # commands to workers, which don't exist here

    def discard_routines(self) -> None:
        """Drop the routines and signals that the controller has recorded and not started."""
        for coro in self.c.routines.pending_coroutines:
            coro.close()
        self.c.routines.pending_coroutines.clear()
        self.c.routines.pending_signals.clear()


def test_room_held_after_preemption_expires(monkeypatch: pytest.MonkeyPatch) -> None:
    harness = SingleController(monkeypatch)
    harness.c.jobs.live[LOW.id] = (LOW, 1)
    harness.report("m1", "north", "accel", f"{LOW.id}/0")
    owner = harness.c.machines
    assert owner.preempt(PAIR, "m1", 0.0, harness.now)
    assert owner.reserve(SMALL, [("m1", 0)], 1, harness.now) == [False]
    assert owner.reserve(PAIR, [("m1", 0)], 1, harness.now) == [True]
    before = owner.room_rev
    harness.now += 100.0  # the unused hold expires, which counts as a change
    owner.expire(harness.now)
    assert owner.machines["m1"].held_for_job == "" and "m1" in (owner.changed(before) or [])


@pytest.mark.parametrize(
    "fields, age, grace",
    [
        ({}, 0.0, 10.0),
        ({"jobclass": "web"}, 1.0, 0.0),
        ({"jobclass": "web"}, 3.0, 10.0),
        ({"shape": "daemon"}, 900.0, 0.0),
    ],
)
def test_preemption_gives_no_grace_for_a_start_due_soon(
    monkeypatch: pytest.MonkeyPatch, fields: dict[str, Any], age: float, grace: float
) -> None:
    job = msgspec.convert(wire_job(1, **fields), Job)
    assert min(10.0, SingleController(monkeypatch).c.placer.room_maker.grace_s(job, age)) == grace


@pytest.mark.parametrize(
    "fields, age, can_wait",
    [
        ({"jobclass": "unnamed"}, 0.0, True),  # no objective applies to it
        ({"jobclass": "unnamed"}, 900.0, True),
        ({"jobclass": "unnamed", "due_s": 30.0}, 0.0, False),
        ({}, 0.0, True),  # the objective is to finish within 90 s
        ({}, 60.0, False),
        ({"shape": "daemon", "jobclass": "unnamed"}, 0.0, False),
    ],
)
def test_which_jobs_can_wait_for_a_cheap_machine(
    monkeypatch: pytest.MonkeyPatch, fields: dict[str, Any], age: float, can_wait: bool
) -> None:
    """Jobs without an objective must not count as late and rent machines at 18 times the price."""
    harness = SingleController(monkeypatch)
    job = msgspec.convert(wire_job(1, **fields), Job)
    assert (
        harness.c.objectives.can_wait(harness.c.objectives.job_from_description(job), age)
        == can_wait
    )


def test_lower_ranks_are_preempted_before_an_expensive_machine_is_used(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Otherwise urgent jobs use expensive machines while cheap machines run jobs that can wait."""
    harness = SingleController(monkeypatch)
    harness.c.jobs.live[LOW.id] = (LOW, 1)
    harness.report("m1", "north", "plain", *(f"{LOW.id}/{n}" for n in range(4)))
    harness.report("m2", "north", "accel")
    urgent = harness.add_job(msgspec.convert(wire_job(4, pieces=3, loaners=False, due_s=12.0), Job))
    harness.run_pass()
    kills = harness.c.machines.machines["m1"].pending_kills
    assert len(kills) == 3 and not urgent.placed_starts
    harness.now += 30.0  # preemption gave the job no room, so it uses the expensive machine
    harness.report("m1", "north", "plain", *(f"{n}/0" for n in ("j-9", "j-8", "j-7", "j-6")))
    for n in ("j-9", "j-8", "j-7", "j-6"):
        harness.c.jobs.live[n] = (msgspec.convert(wire_job(9, rank="normal"), Job), 1)
    harness.report("m2", "north", "accel")
    harness.run_pass()
    assert [m for _, m in urgent.placed_starts] == ["m2"] * 3


def test_a_replica_preempts_the_next_rank_if_there_are_no_tasks_of_the_lowest(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """An unsuccessful search for tasks of the lowest rank must not delay the search among higher
    ranks, because repeated delays of half a second would make the start late."""
    harness = SingleController(monkeypatch)
    normal = msgspec.convert(wire_job(5, pieces=4), Job)
    harness.c.jobs.live[normal.id] = (normal, 1)
    harness.report("m1", "north", "plain", *(f"{normal.id}/{n}" for n in range(4)))
    harness.c.machines.machines["m1"].images["img-1"] = 1.0
    harness.add_job(
        msgspec.convert(
            wire_job(6, pieces=2, shape="daemon", jobclass="web", rank="production", loaners=False),
            Job,
        )
    )
    harness.run_pass()
    assert len(harness.c.machines.machines["m1"].pending_kills) == 2


def test_a_guarantee_is_claimed_if_no_lower_rank_can_be_preempted(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    harness = SingleController(monkeypatch)
    claims: list[str] = []

    async def claim(job: Job, machines: list[str]) -> None:
        claims.append(job.id)

    monkeypatch.setattr(harness.c.placer.guarantees, "claim", claim)
    harness.c.jobs.live[SMALL.id] = (SMALL, 1)
    harness.report("m1", "north", "accel", "j-000001/0")
    gang = msgspec.convert(
        wire_job(7, pieces=1, cards=1.0, owner="tight", shape="ensemble", loaners=False), Job
    )
    harness.add_job(gang)
    harness.run_pass()
    assert claims == [gang.id]


@pytest.mark.parametrize("busy, claimed", [(["m1", "m2"], []), (["m1"], ["m1"]), ([], [])])
def test_tasks_are_preempted_only_for_a_gang_that_can_start(
    busy: list[str], claimed: list[str]
) -> None:
    """A gang that can't start must not preempt one task after another."""
    from tests.scheduling.test_placement import ACCEL, room

    rooms = [room("m1", ACCEL), room("m2", ACCEL), room("m3", ACCEL, zone="south")]
    for each in rooms:
        if each.machine in busy or each.zone == "south":
            each.allocate(SMALL)
    if not busy:
        rooms = rooms[2:]  # only the machine of the other zone, which is not enough
    from clayport.scheduling.guarantees import claimable_machines
    from clayport.scheduling.spread import Spread

    assert claimable_machines(PAIR, rooms, Spread(PAIR, ())) == claimed


def test_jobs_that_missed_their_start_limit_come_after_those_that_can_meet_it(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    harness = SingleController(monkeypatch)
    harness.c.objectives.wait_limits["batch"] = 30.0
    late, early = harness.add_job(PAIR), harness.add_job(SMALL)
    late.waiting_since -= 40.0
    assert harness.order(early) < harness.order(late)
    late.waiting_since += 20.0
    assert harness.order(late) < harness.order(early)


def test_a_truncated_demand_report_keeps_the_most_urgent_jobs(
    monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture
) -> None:
    harness = SingleController(monkeypatch)
    caplog.set_level("INFO")
    for number in range(MAX_DEMAND_ROWS + 50):
        rank = "production" if number >= MAX_DEMAND_ROWS else "normal"
        harness.add_job(msgspec.convert(wire_job(number, rank=rank), Job))
    reported = {row[0] for row in harness.c.placer.demand_report.own_rows()}
    assert len(reported) == MAX_DEMAND_ROWS
    assert {f"j-{n:06d}" for n in range(MAX_DEMAND_ROWS, MAX_DEMAND_ROWS + 50)} <= reported
    harness.c.placer.demand_report.own_rows()
    assert sum("event=demand-bounded" in r.getMessage() for r in caplog.records) == 1


@pytest.mark.parametrize("seed", range(4))
def test_cached_state_refreshed_by_changes_equals_the_whole_table(
    monkeypatch: pytest.MonkeyPatch, seed: int
) -> None:
    """A peer pulls the changes since its last pull, and no change may be missing."""
    rng = random.Random(seed)
    owner_side, harness = SingleController(monkeypatch), SingleController(monkeypatch)
    owner, cached_state = owner_side.c.machines, harness.c.cached_state
    harness.c.jobs.live[LOW.id] = owner_side.c.jobs.live[LOW.id] = (LOW, 1)
    harness.c.membership.epoch = owner_side.c.membership.epoch = Epoch(1, {"c1": "y"}, 1)
    owner_side.c.membership.serving = True

    async def call(_: int, values: tuple[Any, ...]) -> tuple[Any, ...]:
        return owner_side.c.cached_state.free_room_table(values[1], [n for (n,) in values[2]])

    harness.c.peers["c1"].call = call  # type: ignore[method-assign,assignment]
    for step in range(60):
        owner_side.now = harness.now = harness.now + 1.0
        name = f"m{rng.randrange(6)}"
        action = rng.choice(["report", "report", "reserve", "remove", "drain", "hold", "expire"])
        if action == "report" or name not in owner.machines:
            owner_side.report(
                name,
                "north",
                "plain",
                *(f"{LOW.id}/{rng.randrange(20)}" for _ in range(rng.randrange(3))),
            )
        elif action == "reserve":
            owner.reserve(LOW, [(name, step)], 1, harness.now)
        elif action == "remove":
            owner.remove_machines([name])
        elif action == "drain":
            owner.drain(name)
        elif action == "hold":
            owner.preempt(PAIR, name, 0.0, harness.now)
        else:
            owner.expire(harness.now)
        room = harness.c.view.rooms.get(name)
        if room is not None and rng.random() < 0.3:
            room.allocate(LOW)  # reserved in the cached state, and declined by the owner
            cached_state.stale[name] = None
        if rng.random() < 0.5:
            curio.run(cached_state.refresh_peers, False)
            shown = {
                n: (r.cpus, r.tasks, r.open, r.idle_since, r.used)
                for n, r in harness.c.view.rooms.items()
            }
            rooms = [owner.room(m, "c1", harness.now) for m in owner.machines.values() if m.known]
            assert shown == {
                r.machine: (r.cpus, r.tasks, r.open, r.idle_since, r.used) for r in rooms
            }


def test_changes_older_than_the_change_log_require_the_whole_table() -> None:
    owner = MachineTable(lambda _: None, lambda _: False, lambda *_: None, 5.0, 3.0, 10.0)
    for number in range(5000):
        owner.mark_room_changed(f"m{number}")
    assert len(owner.changes) <= 1000
    assert owner.changed(4999) == ["m4999"] and owner.changed(10) is None
    assert owner.changed(owner.room_rev + 1) is None  # a revision of the owner's previous process


def record_searched_jobs(harness: SingleController, monkeypatch: pytest.MonkeyPatch) -> list[str]:
    """Record, in order, the jobs for which the placer searches room from now on."""
    found: list[str] = []
    room_finder = harness.c.placer.room_finder
    find = room_finder.find

    def recording_find(managed: ManagedJob, wanted: int, look: Any) -> Any:
        found.append(managed.job.id)
        return find(managed, wanted, look)

    monkeypatch.setattr(room_finder, "find", recording_find)
    return found


@pytest.mark.parametrize(
    "event, searched",
    [
        ("nothing", []),
        ("an equal job", ["j-000001"]),
        ("another job", ["j-000009"]),
        ("a full machine reports", []),
        ("a machine has room", ["j-000001"]),
        ("a machine has room, a moment ago", []),
        ("room kept for it", ["j-000002"]),
        ("time", ["j-000001"]),
        ("prices", ["j-000001"]),
    ],
)
def test_jobs_without_room_are_skipped_until_something_relevant_changes(
    monkeypatch: pytest.MonkeyPatch, event: str, searched: list[str]
) -> None:
    """Without postponement, each pass searches room for each of hundreds of waiting jobs, no matter
    what has changed. But the placer must never miss a change after which a job can be placed."""
    harness = SingleController(monkeypatch)
    big: dict[str, Any] = {"vcpus": 8.0, "pieces": 3, "due_s": 1000.0}
    busy = msgspec.convert(wire_job(7, pieces=9, rank="production"), Job)
    harness.c.jobs.live[busy.id] = (busy, 1)
    harness.report("m1", "north", "plain", f"{busy.id}/0")
    first = harness.add_job(msgspec.convert(wire_job(1, **big), Job))
    second = harness.add_job(msgspec.convert(wire_job(2, **big), Job))
    harness.run_pass()
    assert not first.placed_starts and not second.placed_starts
    found = record_searched_jobs(harness, monkeypatch)
    if event != "a machine has room, a moment ago":
        harness.now += GATHER_SHARE * harness.c.settings.cluster.workers.report_s
    if event == "an equal job":
        harness.add_job(msgspec.convert(wire_job(3, **big), Job))
    elif event == "another job":
        harness.add_job(msgspec.convert(wire_job(9, vcpus=16.0, due_s=1000.0), Job))
    elif event == "a full machine reports":
        harness.report("m1", "north", "plain", f"{busy.id}/0", f"{busy.id}/1")
    elif event.startswith("a machine has room"):
        harness.report("m2", "north", "plain")
    elif event == "room kept for it":
        harness.report("m2", "north", "plain")
        m = harness.c.machines.machines["m2"]
        m.held_for_job, m.held_until = second.job.id, harness.now + 10.0
    elif event == "time":
        harness.now += harness.c.membership.lease_ttl_s / 6
    elif event == "prices":
        harness.c.catalogue.types = [
            msgspec.structs.replace(t, price=t.price * 2) for t in harness.c.catalogue.types
        ]
    harness.run_pass()
    assert [name for name in found if name in searched] == searched and (searched or not found)
    if event == "room kept for it":
        assert [m for _, m in second.placed_starts] == ["m2"] and not first.placed_starts


def test_a_pass_is_bounded_and_the_next_pass_continues(monkeypatch: pytest.MonkeyPatch) -> None:
    """After a restart of all controllers, an unbounded pass over all waiting jobs delays the
    answers to reports."""
    monkeypatch.setattr("clayport.scheduling.placer.MAX_PASS_WORK", 6)
    harness = SingleController(monkeypatch)
    for number in range(4):
        harness.report(f"m{number}", "north", "plain")
    jobs = [
        harness.add_job(msgspec.convert(wire_job(n, pieces=4, due_s=100.0 + n), Job))
        for n in range(1, 5)
    ]
    signalled = []
    monkeypatch.setattr(harness.c.routines, "signal", lambda name: signalled.append(name))
    harness.c.placer._pass(harness.now)
    assert [bool(managed.placed_starts) for managed in jobs] == [
        True,
        True,
        False,
        False,
    ] and "place" in signalled
    harness.c.placer._pass(harness.now)
    assert all(len(managed.placed_starts) == 4 for managed in jobs)
    assert len({m for managed in jobs for _, m in managed.placed_starts}) == 4


def test_the_cached_room_of_a_machine_follows_every_change(monkeypatch: pytest.MonkeyPatch) -> None:
    """The free room of a machine is cached between reports. If a reserved, launched, ended, closed
    or unknown task doesn't invalidate it, the machine is filled twice."""
    harness = SingleController(monkeypatch)
    owner = harness.c.machines
    job = msgspec.convert(wire_job(4, pieces=4), Job)
    harness.c.jobs.live[job.id] = (job, 1)
    harness.report("m1", "north", "plain")
    m = owner.machines["m1"]
    room_copy = owner.room(m)
    room_copy.allocate(job)  # a copy, so the machine's own room doesn't change
    assert owner.room(m).cpus == 8.0
    assert owner.reserve(job, [("m1", n) for n in range(5)], 1, harness.now) == [True] * 4 + [False]
    assert owner.room(m).cpus == 0.0
    harness.now += owner.reservation_s + 1.0
    owner.expire(harness.now)
    assert owner.room(m).cpus == 8.0
    del harness.c.jobs.live[job.id]
    harness.report("m1", "north", "plain", f"{job.id}/0")  # the job is not known here yet
    assert owner.room(m).cpus == 8.0 and owner.room(m).tasks == 1
    harness.c.jobs.live[job.id] = (job, 1)
    assert owner.room(m).cpus == 6.0 and owner.room(m).open
    m.fencing = True
    assert not owner.room(m).open


@pytest.mark.parametrize(
    "fields, ended, waits",
    [
        ({"pieces": 5}, [(0, True)], True),
        ({"pieces": 5}, [(0, True), (1, False)], False),  # a task has to run again
        ({"pieces": 2}, [(0, True), (1, True)], False),  # the last task ends the job
        ({"pieces": 5, "owner": "tight"}, [(0, True)], False),  # other jobs wait for the quota
        ({"pieces": 5, "shape": "ensemble"}, [(0, True)], False),
    ],
)
def test_done_tasks_of_an_array_are_committed_together(
    monkeypatch: pytest.MonkeyPatch,
    fields: dict[str, Any],
    ended: list[tuple[int, bool]],
    waits: bool,
) -> None:
    """Batching avoids a separate commit for each task. Nothing else may have to wait for a batch,
    and new outcomes must not extend the delay of the batch."""
    harness = SingleController(monkeypatch)
    managed = harness.add_job(msgspec.convert(wire_job(4, **fields), Job))
    managed.outcomes = {n: (1, done) for n, done in ended}
    dispatch = harness.c.dispatcher
    assert dispatch._waits_for_more_outcomes(managed, harness.now) == waits
    later = harness.now + harness.c.settings.cluster.workers.report_s / 2
    managed.outcomes[3] = (1, True)
    assert not dispatch._waits_for_more_outcomes(managed, later)
