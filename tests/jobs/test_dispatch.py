"""A home's placing: who waits, who makes way, and cached states made of changes."""

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


class Home:
    """One controller that is home and owner of everything, in time that stands still."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        from tests.test_program import GOOD

        self.now = 1000.0
        monkeypatch.setattr(time, "monotonic", lambda: self.now)
        self.c = Controller(parse(json.dumps(GOOD).encode()))
        self.c.catalogue.types = msgspec.convert(TYPES, list[MachineType])
        self.c.machines.types = {t.name: t for t in self.c.catalogue.types}
        self.c.membership.epoch = Epoch(1, {"c0": "x"}, 1)
        self.c.machines.begin(self.c.membership.epoch, "c0")
        self.seq = 0

    def wait(self, job: Job) -> ManagedJob:
        self.c.jobs.live[job.id] = (job, 1)
        self.c.placer.learn(job)
        managed = self.c.jobs.managed[job.id] = ManagedJob(job, 1, 50, self.now)
        self.c.queue.touch(job.id)
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

    def look(self) -> None:
        """One pass of the placer and what it asks of the owner; nothing is started."""
        self.c.queue.sweep()
        self.c.placer._pass(self.now)
        coros, self.c.routines.coroutines = self.c.routines.coroutines, []

        async def run() -> None:
            for coro in coros:
                await coro

        curio.run(run)
        for coro in self.c.routines.coroutines:
            coro.close()  # commands to workers, which there are none of here
        self.c.routines.coroutines.clear()
        self.c.routines.signalled.clear()


def test_room_made_is_let_go(monkeypatch: pytest.MonkeyPatch) -> None:
    home = Home(monkeypatch)
    home.c.jobs.live[LOW.id] = (LOW, 1)
    home.report("m1", "north", "accel", f"{LOW.id}/0")
    owner = home.c.machines
    assert owner.preempt(PAIR, "m1", 0.0, home.now)
    assert owner.reserve(SMALL, [("m1", 0)], 1, home.now) == [False]
    assert owner.reserve(PAIR, [("m1", 0)], 1, home.now) == [True]
    before = owner.room_rev
    home.now += 100.0  # its home has gone: it lapses, and that shows in the table
    owner.expire(home.now)
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
def test_nothing_saves_for_what_is_to_start_soon(
    monkeypatch: pytest.MonkeyPatch, fields: dict[str, Any], age: float, grace: float
) -> None:
    job = msgspec.convert(wire_job(1, **fields), Job)
    assert min(10.0, Home(monkeypatch).c.placer.room_maker.grace_s(job, age)) == grace


@pytest.mark.parametrize(
    "fields, age, can_wait",
    [
        ({"jobclass": "unnamed"}, 0.0, True),  # nobody has set it an aim
        ({"jobclass": "unnamed"}, 900.0, True),
        ({"jobclass": "unnamed", "due_s": 30.0}, 0.0, False),
        ({}, 0.0, True),  # finished within 90 s is asked
        ({}, 60.0, False),
        ({"shape": "daemon", "jobclass": "unnamed"}, 0.0, False),
    ],
)
def test_who_can_wait_for_a_machine_that_is_not_dear(
    monkeypatch: pytest.MonkeyPatch, fields: dict[str, Any], age: float, can_wait: bool
) -> None:
    """Work without an aim was taken for late, and rented machines at 18 times the price."""
    home = Home(monkeypatch)
    job = msgspec.convert(wire_job(1, **fields), Job)
    assert home.c.objectives.can_wait(home.c.objectives.with_objectives(job), age) == can_wait


def test_lower_ranks_give_way_before_a_dear_machine_is_filled(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Else what is late stays on dear machines while cheap ones run what can wait."""
    home = Home(monkeypatch)
    home.c.jobs.live[LOW.id] = (LOW, 1)
    home.report("m1", "north", "plain", *(f"{LOW.id}/{n}" for n in range(4)))
    home.report("m2", "north", "accel")
    hurried = home.wait(msgspec.convert(wire_job(4, pieces=3, loaners=False, due_s=12.0), Job))
    home.look()
    kills = home.c.machines.machines["m1"].pending_kills
    assert len(kills) == 3 and not hurried.starts
    home.now += 30.0  # it didn't help: rather late on a dear machine than not at all
    home.report("m1", "north", "plain", *(f"{n}/0" for n in ("j-9", "j-8", "j-7", "j-6")))
    for n in ("j-9", "j-8", "j-7", "j-6"):
        home.c.jobs.live[n] = (msgspec.convert(wire_job(9, rank="normal"), Job), 1)
    home.report("m2", "north", "accel")
    home.look()
    assert [m for _, m in hurried.starts] == ["m2"] * 3


def test_a_replica_does_not_wait_for_the_lowest_rank_where_there_is_none(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Looking for the lowest rank in vain put the look for others off by half a second,
    again and again until the start was late."""
    home = Home(monkeypatch)
    normal = msgspec.convert(wire_job(5, pieces=4), Job)
    home.c.jobs.live[normal.id] = (normal, 1)
    home.report("m1", "north", "plain", *(f"{normal.id}/{n}" for n in range(4)))
    home.c.machines.machines["m1"].images["img-1"] = 1.0
    home.wait(
        msgspec.convert(
            wire_job(6, pieces=2, shape="daemon", jobclass="web", rank="production", loaners=False),
            Job,
        )
    )
    home.look()
    assert len(home.c.machines.machines["m1"].pending_kills) == 2


def test_a_guarantee_is_claimed_where_no_lower_rank_can_be_stopped(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    home = Home(monkeypatch)
    claims: list[str] = []

    async def claim(job: Job, machines: list[str]) -> None:
        claims.append(job.id)

    monkeypatch.setattr(home.c.placer.guarantees, "claim", claim)
    home.c.jobs.live[SMALL.id] = (SMALL, 1)
    home.report("m1", "north", "accel", "j-000001/0")
    gang = msgspec.convert(
        wire_job(7, pieces=1, cards=1.0, owner="tight", shape="ensemble", loaners=False), Job
    )
    home.wait(gang)
    home.look()
    assert claims == [gang.id]


@pytest.mark.parametrize("busy, claimed", [(["m1", "m2"], []), (["m1"], ["m1"]), ([], [])])
def test_others_are_stopped_only_for_a_gang_that_can_start(
    busy: list[str], claimed: list[str]
) -> None:
    """Gangs of two had one task after another stopped and started nowhere."""
    from tests.scheduling.test_placement import ACCEL, room

    rooms = [room("m1", ACCEL), room("m2", ACCEL), room("m3", ACCEL, zone="south")]
    for each in rooms:
        if each.machine in busy or each.zone == "south":
            each.take(SMALL)
    if not busy:
        rooms = rooms[2:]  # only the one of the other zone, which is not enough
    from clayport.scheduling.guarantees import claimable_machines
    from clayport.scheduling.spread import Spread

    assert claimable_machines(PAIR, rooms, Spread(PAIR, ())) == claimed


def test_what_missed_its_start_comes_after_what_can_make_it(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    home = Home(monkeypatch)
    home.c.objectives.wait_limits["batch"] = 30.0
    late, early = home.wait(PAIR), home.wait(SMALL)
    late.waiting_since -= 40.0
    assert home.order(early) < home.order(late)
    late.waiting_since += 20.0
    assert home.order(late) < home.order(early)


def test_demand_beyond_its_bound_is_told_by_urgency(
    monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture
) -> None:
    home = Home(monkeypatch)
    caplog.set_level("INFO")
    for number in range(MAX_DEMAND_ROWS + 50):
        rank = "production" if number >= MAX_DEMAND_ROWS else "normal"
        home.wait(msgspec.convert(wire_job(number, rank=rank), Job))
    told = {row[0] for row in home.c.placer.demand_report.own_rows()}
    assert len(told) == MAX_DEMAND_ROWS
    assert {f"j-{n:06d}" for n in range(MAX_DEMAND_ROWS, MAX_DEMAND_ROWS + 50)} <= told
    home.c.placer.demand_report.own_rows()
    assert sum("event=demand-bounded" in r.getMessage() for r in caplog.records) == 1


@pytest.mark.parametrize("seed", range(4))
def test_a_table_made_of_changes_is_the_whole_table(
    monkeypatch: pytest.MonkeyPatch, seed: int
) -> None:
    """Peers pull what changed since their last pull; nothing may be missing from it."""
    rng = random.Random(seed)
    owner_side, home = Home(monkeypatch), Home(monkeypatch)
    owner, cached_state = owner_side.c.machines, home.c.cached_state
    home.c.jobs.live[LOW.id] = owner_side.c.jobs.live[LOW.id] = (LOW, 1)
    home.c.membership.epoch = owner_side.c.membership.epoch = Epoch(1, {"c1": "y"}, 1)
    owner_side.c.membership.serving = True

    async def call(_: int, values: tuple[Any, ...]) -> tuple[Any, ...]:
        return owner_side.c.cached_state.table(values[1], [n for (n,) in values[2]])

    home.c.peers["c1"].call = call  # type: ignore[method-assign,assignment]
    for step in range(60):
        owner_side.now = home.now = home.now + 1.0
        name = f"m{rng.randrange(6)}"
        what = rng.choice(["report", "report", "reserve", "remove", "drain", "hold", "expire"])
        if what == "report" or name not in owner.machines:
            owner_side.report(
                name,
                "north",
                "plain",
                *(f"{LOW.id}/{rng.randrange(20)}" for _ in range(rng.randrange(3))),
            )
        elif what == "reserve":
            owner.reserve(LOW, [(name, step)], 1, home.now)
        elif what == "remove":
            owner.removed([name])
        elif what == "drain":
            owner.drain(name)
        elif what == "hold":
            owner.preempt(PAIR, name, 0.0, home.now)
        else:
            owner.expire(home.now)
        room = home.c.view.rooms.get(name)
        if room is not None and rng.random() < 0.3:
            room.take(LOW)  # charged here, and declined
            cached_state.stale[name] = None
        if rng.random() < 0.5:
            curio.run(cached_state.refresh_peers, False)
            shown = {
                n: (r.cpus, r.tasks, r.open, r.idle_since, r.used)
                for n, r in home.c.view.rooms.items()
            }
            rooms = [owner.room(m, "c1", home.now) for m in owner.machines.values() if m.known]
            assert shown == {
                r.machine: (r.cpus, r.tasks, r.open, r.idle_since, r.used) for r in rooms
            }


def test_a_table_forgets_old_changes_only_as_a_whole() -> None:
    owner = MachineTable(lambda _: None, lambda _: False, lambda *_: None, 5.0, 3.0)
    for number in range(5000):
        owner.touch(f"m{number}")
    assert len(owner.changes) <= 1000
    assert owner.changed(4999) == ["m4999"] and owner.changed(10) is None
    assert owner.changed(owner.room_rev + 1) is None  # of an owner that was started anew


def looks(home: Home, monkeypatch: pytest.MonkeyPatch) -> list[str]:
    """The jobs that room is looked for from now on, in order."""
    found: list[str] = []
    room_finder = home.c.placer.room_finder
    find = room_finder.find

    def noted(managed: ManagedJob, wanted: int, look: Any) -> Any:
        found.append(managed.job.id)
        return find(managed, wanted, look)

    monkeypatch.setattr(room_finder, "find", noted)
    return found


@pytest.mark.parametrize(
    "happens, looked",
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
def test_what_found_no_room_sleeps_until_it_may(
    monkeypatch: pytest.MonkeyPatch, happens: str, looked: list[str]
) -> None:
    """A pass cost a look at each of hundreds of waiting jobs whatever had changed. But what
    could be placed must never be slept through."""
    home = Home(monkeypatch)
    big: dict[str, Any] = {"vcpus": 8.0, "pieces": 3, "due_s": 1000.0}
    busy = msgspec.convert(wire_job(7, pieces=9, rank="production"), Job)
    home.c.jobs.live[busy.id] = (busy, 1)
    home.report("m1", "north", "plain", f"{busy.id}/0")
    first = home.wait(msgspec.convert(wire_job(1, **big), Job))
    second = home.wait(msgspec.convert(wire_job(2, **big), Job))
    home.look()
    assert not first.starts and not second.starts
    found = looks(home, monkeypatch)
    if happens != "a machine has room, a moment ago":
        home.now += GATHER_SHARE * home.c.settings.cluster.workers.report_s
    if happens == "an equal job":
        home.wait(msgspec.convert(wire_job(3, **big), Job))
    elif happens == "another job":
        home.wait(msgspec.convert(wire_job(9, vcpus=16.0, due_s=1000.0), Job))
    elif happens == "a full machine reports":
        home.report("m1", "north", "plain", f"{busy.id}/0", f"{busy.id}/1")
    elif happens.startswith("a machine has room"):
        home.report("m2", "north", "plain")
    elif happens == "room kept for it":
        home.report("m2", "north", "plain")
        m = home.c.machines.machines["m2"]
        m.held_for_job, m.held_until = second.job.id, home.now + 10.0
    elif happens == "time":
        home.now += home.c.membership.lease_ttl_s / 6
    elif happens == "prices":
        home.c.catalogue.types = [
            msgspec.structs.replace(t, price=t.price * 2) for t in home.c.catalogue.types
        ]
    home.look()
    assert [name for name in found if name in looked] == looked and (looked or not found)
    if happens == "room kept for it":
        assert [m for _, m in second.starts] == ["m2"] and not first.starts


def test_a_pass_is_bounded_and_goes_on_where_it_stopped(monkeypatch: pytest.MonkeyPatch) -> None:
    """After all controllers had ended, one pass over everything that waited kept reports
    from being answered."""
    monkeypatch.setattr("clayport.scheduling.placer.MAX_PASS_WORK", 6)
    home = Home(monkeypatch)
    for number in range(4):
        home.report(f"m{number}", "north", "plain")
    jobs = [
        home.wait(msgspec.convert(wire_job(n, pieces=4, due_s=100.0 + n), Job)) for n in range(1, 5)
    ]
    raised = []
    monkeypatch.setattr(home.c.routines, "signal", lambda name: raised.append(name))
    home.c.placer._pass(home.now)
    assert [bool(managed.starts) for managed in jobs] == [
        True,
        True,
        False,
        False,
    ] and "place" in raised
    home.c.placer._pass(home.now)
    assert all(len(managed.starts) == 4 for managed in jobs)
    assert len({m for managed in jobs for _, m in managed.starts}) == 4


def test_a_room_is_built_anew_with_whatever_changes_it(monkeypatch: pytest.MonkeyPatch) -> None:
    """It is kept between reports: reserved, launched, ended, closed and unknown tasks must
    all show in the next look, or a machine is filled twice."""
    home = Home(monkeypatch)
    owner = home.c.machines
    job = msgspec.convert(wire_job(4, pieces=4), Job)
    home.c.jobs.live[job.id] = (job, 1)
    home.report("m1", "north", "plain")
    m = owner.machines["m1"]
    charged = owner.room(m)
    charged.take(job)  # a copy: what the cached state charges is not the machine's
    assert owner.room(m).cpus == 8.0
    assert owner.reserve(job, [("m1", n) for n in range(5)], 1, home.now) == [True] * 4 + [False]
    assert owner.room(m).cpus == 0.0
    home.now += owner.reservation_s + 1.0
    owner.expire(home.now)
    assert owner.room(m).cpus == 8.0
    del home.c.jobs.live[job.id]
    home.report("m1", "north", "plain", f"{job.id}/0")  # of a job not known here yet
    assert owner.room(m).cpus == 8.0 and owner.room(m).tasks == 1
    home.c.jobs.live[job.id] = (job, 1)
    assert owner.room(m).cpus == 6.0 and owner.room(m).open
    m.fencing = True
    assert not owner.room(m).open


@pytest.mark.parametrize(
    "fields, ended, waits",
    [
        ({"pieces": 5}, [(0, True)], True),
        ({"pieces": 5}, [(0, True), (1, False)], False),  # one is to run again
        ({"pieces": 2}, [(0, True), (1, True)], False),  # the last: its user waits
        ({"pieces": 5, "owner": "tight"}, [(0, True)], False),  # others wait for its quota
        ({"pieces": 5, "shape": "ensemble"}, [(0, True)], False),
    ],
)
def test_done_tasks_of_an_array_are_committed_together(
    monkeypatch: pytest.MonkeyPatch,
    fields: dict[str, Any],
    ended: list[tuple[int, bool]],
    waits: bool,
) -> None:
    """Each had a commit of its own. But nobody may ever wait for it, and it must not be put
    off again and again."""
    home = Home(monkeypatch)
    managed = home.wait(msgspec.convert(wire_job(4, **fields), Job))
    managed.outcomes = {n: (1, done) for n, done in ended}
    dispatch = home.c.dispatcher
    assert dispatch._waits_for_more_outcomes(managed, home.now) == waits
    later = home.now + home.c.settings.cluster.workers.report_s / 2
    managed.outcomes[3] = (1, True)
    assert not dispatch._waits_for_more_outcomes(managed, later)
