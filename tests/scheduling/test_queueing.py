"""The line of waiting jobs, and the share of room that each class is sure of."""

from __future__ import annotations

import random
from typing import Any

import msgspec
import pytest

from clayport.jobs.managed_job import ManagedJob
from clayport.model import Job
from clayport.records.chunk import Chunk
from clayport.scheduling.index import Index
from clayport.scheduling.placement import place
from clayport.scheduling.policy import LargeTaskReserve, Policy
from clayport.scheduling.queueing import FairShares, JobQueue
from clayport.scheduling.queueing.queue import IN_TIME, LATE, LATE_STEP, STARTS_LATE
from clayport.scheduling.room import Room
from clayport.scheduling.spread import Spread
from tests.jobs.test_dispatch import Home
from tests.world import job as wire_job


def made(number: int, **fields: Any) -> Job:
    return msgspec.convert(wire_job(number, **fields), Job)


# -- the line ----------------------------------------------------------------


class Waiting:
    """A line with jobs, in time that is set."""

    def __init__(self) -> None:
        self.managed_jobs: dict[str, ManagedJob] = {}
        self.queue = JobQueue(
            lambda: self.managed_jobs,
            {"batch": (90.0, 150.0), "web": (60.0,)},
            {"web": 20.0},
            FairShares({"batch": 45.0, "web": 20.0}, 100.0),
            {"due": (1.0, 2.0)},
        )

    def add(self, job: Job, since: float = 0.0, rev: int = 1) -> ManagedJob:
        managed = self.managed_jobs[job.id] = ManagedJob(job, rev, 50, since)
        self.queue.touch(job.id)
        return managed

    def order(self, now: float) -> list[str]:
        self.queue.catch_up(now)
        return [
            name
            for group in self.queue.groups.values()
            for subqueue in group.subqueues.values()
            for name in subqueue
        ]


@pytest.mark.parametrize(
    "fields, now, started, band",
    [
        ({}, 0.0, False, IN_TIME),
        ({}, 78.0, False, IN_TIME),
        ({}, 78.1, False, LATE),
        ({}, 138.1, False, LATE + LATE_STEP),
        ({"due_s": 30.0}, 22.0, False, IN_TIME),
        ({"due_s": 30.0}, 22.1, False, LATE),
        ({"due_s": 30.0}, 900.0, False, LATE),
        ({"due_s": 30.0, "jobclass": "due"}, 52.0, False, LATE),
        ({"due_s": 30.0, "jobclass": "due"}, 52.1, False, LATE + LATE_STEP),
        ({"jobclass": "web"}, 19.9, False, IN_TIME),
        ({"jobclass": "web"}, 20.1, False, STARTS_LATE),
        ({"jobclass": "web"}, 5.0, True, IN_TIME),
        ({"jobclass": "web", "shape": "ensemble"}, 5.0, True, STARTS_LATE),
        ({"jobclass": "web"}, 48.1, False, LATE),
        ({"jobclass": "other"}, 900.0, False, IN_TIME),
        ({"jobclass": "web", "shape": "daemon", "guess_s": 0.0}, 30.0, False, IN_TIME),
    ],
)
def test_bands_change_at_their_instants(
    fields: dict[str, Any], now: float, started: bool, band: float
) -> None:
    """Nothing is looked at for it: what is due is known beforehand."""
    waiting = Waiting()
    managed = waiting.add(made(1, **fields))
    waiting.order(0.0)
    managed.started = started
    if started:
        waiting.queue.touch(managed.job.id)
    waiting.order(now)
    assert waiting.queue.entries[managed.job.id].band == band


def test_in_a_lane_who_can_be_in_time_goes_first_then_who_has_least_left() -> None:
    waiting = Waiting()
    for number, since in enumerate((-100.0, -50.0, -10.0, -60.0)):
        waiting.add(made(number), since)
    assert waiting.order(0.0) == ["j-000003", "j-000001", "j-000002", "j-000000"]
    assert waiting.order(25.0) == ["j-000001", "j-000002", "j-000000", "j-000003"]


def test_of_what_comes_together_the_narrow_goes_before_the_wide() -> None:
    """Where there is too much, a few jobs of five hundred tasks made many of ten late."""
    waiting = Waiting()
    for number, pieces in enumerate((400, 10, 40, 10)):
        waiting.add(made(number, pieces=pieces), 0.1 * number)
    waiting.queue.shares.update_job("other", made(9), 20, 0, 0.0)
    assert waiting.order(1.0) == ["j-000001", "j-000003", "j-000002", "j-000000"]
    assert waiting.order(70.0)[-1] == "j-000000"  # but it is not there for ever
    waiting.add(made(5, pieces=10), 76.0)
    assert waiting.order(76.5)[-1] == "j-000005"


@pytest.mark.parametrize(
    "happens, waits, fresh",
    [
        ("nothing", True, False),
        ("starts", False, False),
        ("ended", False, False),
        ("blocked", False, False),
        ("rests", False, False),
        ("gone", False, False),
        ("a task is lost", True, True),
        ("a task is done", True, False),
    ],
)
def test_what_happens_to_a_job_shows_in_the_line(happens: str, waits: bool, fresh: bool) -> None:
    """A group is looked at again only when somebody has come or waits for more."""
    waiting = Waiting()
    managed = waiting.add(made(1, pieces=8))
    managed.load({})
    managed.done = 2
    waiting.order(0.0)
    group = waiting.queue.entries[managed.job.id].group
    group.has_new_demand = False
    if happens == "starts":
        managed.starts = [(0, "m1")]
    elif happens in ("ended", "blocked"):
        setattr(managed, happens, "done" if happens == "ended" else True)
    elif happens == "rests":
        managed.not_before = 5.0
    elif happens == "gone":
        del waiting.managed_jobs[managed.job.id]
    elif happens != "nothing":
        managed.done += 1 if happens == "a task is done" else -1
    waiting.queue.touch(managed.job.id)
    assert (waiting.order(1.0) == [managed.job.id]) == waits
    assert group.has_new_demand == fresh and (managed.job.id in waiting.queue.in_flight) == (
        happens == "starts"
    )
    if happens == "starts":
        # It comes back: with what was left, or with what found no place after all.
        for pending, fresh in ((6, False), (7, True)):
            managed.starts, managed.done = [], 8 - pending
            waiting.queue.touch(managed.job.id)
            other = waiting.add(made(2, pieces=8))
            waiting.order(1.0)
            group = waiting.queue.entries[other.job.id].group
            group.has_new_demand = False
            managed.starts = [(0, "m1")]
            waiting.queue.touch(managed.job.id)
            waiting.order(1.0)
            managed.starts, managed.done = [], 8 - pending - int(fresh)
            waiting.queue.touch(managed.job.id)
            waiting.order(1.0)
            assert group.has_new_demand == fresh
    if happens == "rests":
        assert waiting.order(5.0) == [managed.job.id]


@pytest.mark.parametrize("seed", range(4))
def test_the_line_is_what_a_look_at_all_of_them_gives(seed: int) -> None:
    """Kept up by what happens, it must never differ from what is true."""
    rng = random.Random(seed)
    waiting, now = Waiting(), 0.0
    for number in range(400):
        now += rng.uniform(0.0, 2.0)
        if rng.random() < 0.5 or not waiting.managed_jobs:
            waiting.add(
                made(
                    number,
                    jobclass=rng.choice(("batch", "web", "other")),
                    pieces=rng.randint(1, 9),
                    vcpus=rng.choice((1.0, 2.0)),
                    rank=rng.choice(("normal", "best_effort")),
                ),
                now,
                number,
            )
        else:
            managed = waiting.managed_jobs[rng.choice(sorted(waiting.managed_jobs))]
            what = rng.random()
            if what < 0.3:
                managed.starts = [] if managed.starts else [(0, "m")]
            elif what < 0.5:
                managed.done = min(managed.job.tasks, managed.done + 1)
            elif what < 0.6:
                managed.started = True
            elif what < 0.7:
                managed.not_before = now + 3.0
            elif what < 0.8:
                managed.job = msgspec.structs.replace(managed.job, priority="high")
            else:
                del waiting.managed_jobs[managed.job.id]
            waiting.queue.touch(managed.job.id)
        found = waiting.order(now)
        true = {
            n
            for n, managed in waiting.managed_jobs.items()
            if managed.pending > 0 and not managed.starts and managed.not_before <= now
        }
        assert len(found) == len(set(found)) and set(found) == true
        for name, mark in waiting.queue.entries.items():
            assert mark.band == waiting.queue.standing(waiting.managed_jobs[name], now)[0]
            assert mark.group is waiting.queue.groups[waiting.managed_jobs[name].group]
        running = sum(
            account.waiting_cpus
            for (kind, _, _), account in waiting.queue.shares.accounts.items()
            if kind == "class"
        )
        assert running == pytest.approx(
            sum(managed.pending * managed.job.cpus for managed in waiting.managed_jobs.values())
        )


@pytest.mark.parametrize("jobs", [50, 500])
def test_a_later_pass_looks_at_no_more_jobs_the_more_wait(
    monkeypatch: pytest.MonkeyPatch, jobs: int
) -> None:
    """It took ten times as long for ten times as many, though nothing had happened."""
    home = Home(monkeypatch)
    busy = made(9999, pieces=9, rank="production")
    home.c.jobs.live[busy.id] = (busy, 1)
    home.report("m1", "north", "plain", f"{busy.id}/0")
    for number in range(jobs):
        home.wait(made(number, vcpus=8.0, due_s=1000.0))
    home.look()
    looked = []
    update_entry = home.c.queue._update_entry
    monkeypatch.setattr(
        home.c.queue, "_update_entry", lambda *args: looked.append(args[0]) or update_entry(*args)
    )
    standing = home.c.queue.standing
    monkeypatch.setattr(
        home.c.queue, "standing", lambda *args: looked.append("") or standing(*args)
    )
    home.report("m1", "north", "plain", f"{busy.id}/0", f"{busy.id}/1")
    home.c.placer._pass(home.now)
    assert len(looked) == 0
    home.now += home.c.membership.lease_ttl_s  # time to see what else may be stopped
    home.c.placer._pass(home.now)
    assert len(looked) <= 4


# -- shares ------------------------------------------------------------------


@pytest.mark.parametrize(
    "age, running, missing",
    [
        (10.0, 0, 0.0),  # it has not waited long
        (22.5, 0, 8.0),  # half way: half of a third
        (45.0, 0, 16.0),  # as long as it can bear: a third of all that runs
        (45.0, 2, 32 / 3),
        (45.0, 5, 8 / 3),
        (45.0, 6, 0.0),
        (45.0, 9, 0.0),
    ],
)
def test_the_share_grows_with_the_wait_and_ends_with_it(
    age: float, running: int, missing: float
) -> None:
    shares = FairShares({"low": 45.0, "flood": 45.0}, 100.0)
    shares.update_job("f", made(1, jobclass="flood"), 24, 0, 0.0)
    shares.update_job(
        "l",
        made(2, jobclass="low", rank="best_effort", vcpus=4.0, guess_s=100.0),
        running,
        20,
        100.0 - age,
    )
    owed = shares.owed(100.0).get(("class", False, "low"))
    found = 0.0 if owed is None else owed.missing
    assert found == pytest.approx(missing)


def test_accounts_are_forgotten_with_their_jobs() -> None:
    shares = FairShares({}, 100.0)
    for number in range(50):
        shares.update_job(f"j{number}", made(number, owner=f"team{number}"), 1, 1, float(number))
        shares.update_job(f"j{number}", made(number, owner=f"team{number}"), 2, 0, float(number))
    for number in range(50):
        shares.remove_job(f"j{number}")
    shares.owed(1e6)  # long after: what came of them no longer counts
    assert shares.accounts == {} and shares.usage == {}


@pytest.mark.parametrize(
    "tasks, guess_s, most", [(1, 1.0, 1.0), (4, 90.0, 11.2), (400, 90.0, 16.0)]
)
def test_no_more_is_owed_than_lets_enough_of_its_work_be_run(
    tasks: int, guess_s: float, most: float
) -> None:
    """A class with little work, and nobody's aim, took a third of a flooded fleet from work
    with deadlines."""
    shares = FairShares({"low": 45.0, "flood": 45.0}, 100.0)
    shares.update_job("f", made(1, jobclass="flood"), 24, 0, 0.0)
    shares.update_job(
        "l", made(2, jobclass="low", vcpus=2.0, pieces=tasks, guess_s=guess_s), 0, tasks, 0.0
    )
    assert 0 < shares.owed(50.0)["class", False, "low"].share_cpus <= most + 1e-6


def flooded(monkeypatch: pytest.MonkeyPatch, machines: int = 9) -> tuple[Home, ManagedJob]:
    """A fleet that runs nothing but a flood of a higher rank, and more of it waits."""
    home = Home(monkeypatch)
    home.c.objectives.finish_limits["low"] = 60.0
    home.c.queue.shares.tolerated_wait_s = {"low": 30.0}
    home.c.objectives.classes.add("low")
    flood = home.wait(made(1, pieces=400, due_s=1000.0, guess_s=50.0))
    flood.load({})
    chunk = Chunk()
    for n in range(4 * machines):
        chunk.assigned[n] = (1, f"m{n // 4}")
    flood.load({0: chunk})
    for m in range(machines):
        home.report(f"m{m}", "north", "plain", *(f"{flood.job.id}/{4 * m + n}" for n in range(4)))
    home.look()
    home.now += 1.0
    return home, flood


@pytest.mark.parametrize(
    "rank, waited, free, served",
    [
        ("best_effort", 1.0, 4, False),  # nobody is owed anything yet
        ("best_effort", 40.0, 4, True),  # it has waited: before the higher rank
        ("best_effort", 40.0, 2, False),  # ... but nobody is stopped for it
        ("normal", 40.0, 4, True),
    ],
)
def test_who_has_waited_gets_a_turn_of_what_comes_free(
    monkeypatch: pytest.MonkeyPatch, rank: str, waited: float, free: int, served: bool
) -> None:
    """In a flood of a higher rank the lowest had nothing until it was over."""
    home, flood = flooded(monkeypatch)
    low = home.wait(made(2, jobclass="low", rank=rank, pieces=4, vcpus=free and 4.0, guess_s=5.0))
    low.waiting_since -= waited
    left = [f"{flood.job.id}/{n}" for n in range(free // 2, 4)]
    home.report("m0", "north", "plain", *left)
    home.look()
    assert bool(low.starts) == served
    assert not any(m.pending_kills for m in home.c.machines.machines.values())


def test_what_was_given_is_not_stopped_for_the_flood(monkeypatch: pytest.MonkeyPatch) -> None:
    """Else each turn would be taken away as soon as it was had."""
    home, flood = flooded(monkeypatch)
    low = home.wait(made(2, jobclass="low", rank="best_effort", pieces=8, vcpus=4.0, guess_s=50.0))
    chunk = Chunk()
    chunk.assigned = {0: (1, "m0"), 1: (1, "m0")}
    low.load({0: chunk})
    flood.waiting_since -= 940.0  # short of time: it may stop lower ranks
    home.report("m0", "north", "plain", f"{low.job.id}/0", f"{low.job.id}/1")
    low.waiting_since -= 25.0
    home.look()
    assert not home.c.machines.machines["m0"].pending_kills
    home.c.queue.shares.tolerated_wait_s = {"low": 1e9}  # nobody is owed anything
    home.now += home.c.membership.lease_ttl_s
    home.look()
    assert home.c.machines.machines["m0"].pending_kills


@pytest.mark.parametrize(
    "share, free, cpus, types, placed",
    [
        (0.0, 4.0, 2.0, None, 2),
        (1.0, 4.0, 2.0, None, 0),
        (1.0, 6.0, 2.0, None, 1),
        (1.0, 2.0, 2.0, None, 0),
        (1.0, 4.0, 4.0, None, 1),  # as wide as what it is kept for
        (1.0, 4.0, 2.0, {"accel"}, 2),
    ],
)  # which would not fit there at all
def test_small_work_leaves_what_a_wide_job_waits_for(
    share: float, free: float, cpus: float, types: set[str] | None, placed: int
) -> None:
    """Each hole of two CPUs was filled at once, and one of four never came. But machines
    that the wide one can't use are nobody's to keep: half of a fleet stood idle for gangs."""
    room = Room("m1", "", "plain", "north", False, True, free, 0.0, 64.0, 0, (), 1e9, "c0")
    job = made(1, vcpus=cpus, pieces=2)
    found = place(
        job,
        2,
        Index("c0", [room]),
        Spread(job, ()),
        Policy((), ()),
        reserve=LargeTaskReserve(made(2, vcpus=4.0), share, types and frozenset(types)),
    )
    assert len(found) == placed


def test_a_team_with_a_guarantee_has_no_share_beside_it() -> None:
    """It goes by what is owed to it; a share would let it borrow before others."""
    shares = FairShares({}, 10.0, [("team", False, "tight")])
    for owner in ("free", "tight", "other"):
        shares.update_job(owner, made(1, owner=owner), 0 if owner != "other" else 8, 4, 0.0)
    assert {name for kind, _, name in shares.owed(50.0) if kind == "team"} == {"free"}
