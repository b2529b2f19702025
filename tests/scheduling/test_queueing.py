"""Tests of the queue of waiting jobs and of the fair shares of classes and teams."""

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
from tests.jobs.test_dispatch import SingleController
from tests.world import job as wire_job


def make_job(number: int, **fields: Any) -> Job:
    return msgspec.convert(wire_job(number, **fields), Job)


# -- the queue ---------------------------------------------------------------


class QueueHarness:
    """A job queue with jobs, at times that the test sets."""

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
        self.queue.mark_changed(job.id)
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
def test_bands_change_at_known_times(
    fields: dict[str, Any], now: float, started: bool, band: float
) -> None:
    """The queue changes bands by timers, without iterating over its jobs."""
    harness = QueueHarness()
    managed = harness.add(make_job(1, **fields))
    harness.order(0.0)
    managed.started = started
    if started:
        harness.queue.mark_changed(managed.job.id)
    harness.order(now)
    assert harness.queue.entries[managed.job.id].band == band


def test_on_time_jobs_come_first_then_by_least_time_left() -> None:
    harness = QueueHarness()
    for number, since in enumerate((-100.0, -50.0, -10.0, -60.0)):
        harness.add(make_job(number), since)
    assert harness.order(0.0) == ["j-000003", "j-000001", "j-000002", "j-000000"]
    assert harness.order(25.0) == ["j-000001", "j-000002", "j-000000", "j-000003"]


def test_small_jobs_come_before_large_jobs_that_arrive_together() -> None:
    """Otherwise, in an overload, a few jobs of 500 tasks make many jobs of ten tasks late."""
    harness = QueueHarness()
    for number, pieces in enumerate((400, 10, 40, 10)):
        harness.add(make_job(number, pieces=pieces), 0.1 * number)
    harness.queue.shares.update_job("other", make_job(9), 20, 0, 0.0)
    assert harness.order(1.0) == ["j-000001", "j-000003", "j-000002", "j-000000"]
    assert harness.order(70.0)[-1] == "j-000000"
    # The large job is deferred only for a limited time and precedes small jobs that arrive later.
    harness.add(make_job(5, pieces=10), 76.0)
    assert harness.order(76.5)[-1] == "j-000005"


@pytest.mark.parametrize(
    "event, in_queue, new_demand",
    [
        ("nothing", True, False),
        ("starts", False, False),
        ("ended", False, False),
        ("blocked", False, False),
        ("paused", False, False),
        ("removed", False, False),
        ("a task is lost", True, True),
        ("a task is done", True, False),
    ],
)
def test_changes_of_a_job_update_the_queue(event: str, in_queue: bool, new_demand: bool) -> None:
    """A group has new demand only if a job has joined it or has more waiting tasks."""
    harness = QueueHarness()
    managed = harness.add(make_job(1, pieces=8))
    managed.load({})
    managed.done = 2
    harness.order(0.0)
    group = harness.queue.entries[managed.job.id].group
    group.has_new_demand = False
    if event == "starts":
        managed.placed_starts = [(0, "m1")]
    elif event in ("ended", "blocked"):
        setattr(managed, event, "done" if event == "ended" else True)
    elif event == "paused":
        managed.not_before = 5.0
    elif event == "removed":
        del harness.managed_jobs[managed.job.id]
    elif event != "nothing":
        managed.done += 1 if event == "a task is done" else -1
    harness.queue.mark_changed(managed.job.id)
    assert (harness.order(1.0) == [managed.job.id]) == in_queue
    assert group.has_new_demand == new_demand and (managed.job.id in harness.queue.in_flight) == (
        event == "starts"
    )
    if event == "starts":
        # The job returns with as many waiting tasks as before, or with one more, for which no room
        # was found.
        for pending, new_demand in ((6, False), (7, True)):
            managed.placed_starts, managed.done = [], 8 - pending
            harness.queue.mark_changed(managed.job.id)
            other = harness.add(make_job(2, pieces=8))
            harness.order(1.0)
            group = harness.queue.entries[other.job.id].group
            group.has_new_demand = False
            managed.placed_starts = [(0, "m1")]
            harness.queue.mark_changed(managed.job.id)
            harness.order(1.0)
            managed.placed_starts, managed.done = [], 8 - pending - int(new_demand)
            harness.queue.mark_changed(managed.job.id)
            harness.order(1.0)
            assert group.has_new_demand == new_demand
    if event == "paused":
        assert harness.order(5.0) == [managed.job.id]


@pytest.mark.parametrize("seed", range(4))
def test_incremental_queue_matches_recomputation(seed: int) -> None:
    """After each random change, the queue equals one that is computed from all jobs."""
    rng = random.Random(seed)
    harness, now = QueueHarness(), 0.0
    for number in range(400):
        now += rng.uniform(0.0, 2.0)
        if rng.random() < 0.5 or not harness.managed_jobs:
            harness.add(
                make_job(
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
            managed = harness.managed_jobs[rng.choice(sorted(harness.managed_jobs))]
            action = rng.random()
            if action < 0.3:
                managed.placed_starts = [] if managed.placed_starts else [(0, "m")]
            elif action < 0.5:
                managed.done = min(managed.job.tasks, managed.done + 1)
            elif action < 0.6:
                managed.started = True
            elif action < 0.7:
                managed.not_before = now + 3.0
            elif action < 0.8:
                managed.job = msgspec.structs.replace(managed.job, priority="high")
            else:
                del harness.managed_jobs[managed.job.id]
            harness.queue.mark_changed(managed.job.id)
        found = harness.order(now)
        expected = {
            n
            for n, managed in harness.managed_jobs.items()
            if managed.pending > 0 and not managed.placed_starts and managed.not_before <= now
        }
        assert len(found) == len(set(found)) and set(found) == expected
        for name, entry in harness.queue.entries.items():
            assert entry.band == harness.queue.position(harness.managed_jobs[name], now)[0]
            assert entry.group is harness.queue.groups[harness.managed_jobs[name].placement_key]
        running = sum(
            account.waiting_cpus
            for (kind, _, _), account in harness.queue.shares.accounts.items()
            if kind == "class"
        )
        assert running == pytest.approx(
            sum(managed.pending * managed.job.cpus for managed in harness.managed_jobs.values())
        )


@pytest.mark.parametrize("jobs", [50, 500])
def test_cost_of_a_pass_is_independent_of_the_number_of_waiting_jobs(
    monkeypatch: pytest.MonkeyPatch, jobs: int
) -> None:
    """Otherwise a pass without changes takes ten times as long with ten times the waiting jobs."""
    home = SingleController(monkeypatch)
    busy = make_job(9999, pieces=9, rank="production")
    home.c.jobs.live[busy.id] = (busy, 1)
    home.report("m1", "north", "plain", f"{busy.id}/0")
    for number in range(jobs):
        home.add_job(make_job(number, vcpus=8.0, due_s=1000.0))
    home.run_pass()
    visited = []
    update_entry = home.c.queue._update_entry
    monkeypatch.setattr(
        home.c.queue, "_update_entry", lambda *args: visited.append(args[0]) or update_entry(*args)
    )
    position = home.c.queue.position
    monkeypatch.setattr(
        home.c.queue, "position", lambda *args: visited.append("") or position(*args)
    )
    home.report("m1", "north", "plain", f"{busy.id}/0", f"{busy.id}/1")
    home.c.placer._pass(home.now)
    assert len(visited) == 0
    home.now += home.c.membership.lease_ttl_s  # the postponement expires
    home.c.placer._pass(home.now)
    assert len(visited) <= 4


# -- shares ------------------------------------------------------------------


@pytest.mark.parametrize(
    "age, running, missing",
    [
        (10.0, 0, 0.0),  # the class has waited too briefly to get a share
        (22.5, 0, 8.0),  # half of the full share of 1/3
        (45.0, 0, 16.0),  # the full share, 1/3 of all running CPUs
        (45.0, 2, 32 / 3),
        (45.0, 5, 8 / 3),
        (45.0, 6, 0.0),
        (45.0, 9, 0.0),
    ],
)
def test_share_grows_with_the_wait(age: float, running: int, missing: float) -> None:
    shares = FairShares({"low": 45.0, "flood": 45.0}, 100.0)
    shares.update_job("f", make_job(1, jobclass="flood"), 24, 0, 0.0)
    shares.update_job(
        "l",
        make_job(2, jobclass="low", rank="best_effort", vcpus=4.0, guess_s=100.0),
        running,
        20,
        100.0 - age,
    )
    owed = shares.current_shares(100.0).get(("class", False, "low"))
    found = 0.0 if owed is None else owed.missing_cpus
    assert found == pytest.approx(missing)


def test_accounts_are_removed_with_their_jobs() -> None:
    shares = FairShares({}, 100.0)
    for number in range(50):
        shares.update_job(
            f"j{number}", make_job(number, owner=f"team{number}"), 1, 1, float(number)
        )
        shares.update_job(
            f"j{number}", make_job(number, owner=f"team{number}"), 2, 0, float(number)
        )
    for number in range(50):
        shares.remove_job(f"j{number}")
    shares.current_shares(1e6)  # the arrivals are now too old to be counted
    assert shares.accounts == {} and shares.usage == {}


@pytest.mark.parametrize(
    "tasks, guess_s, most", [(1, 1.0, 1.0), (4, 90.0, 11.2), (400, 90.0, 16.0)]
)
def test_share_is_bounded_by_the_need_of_the_class(tasks: int, guess_s: float, most: float) -> None:
    """Otherwise a class with little work and no objective takes a third of an overloaded fleet from
    jobs with deadlines."""
    shares = FairShares({"low": 45.0, "flood": 45.0}, 100.0)
    shares.update_job("f", make_job(1, jobclass="flood"), 24, 0, 0.0)
    shares.update_job(
        "l", make_job(2, jobclass="low", vcpus=2.0, pieces=tasks, guess_s=guess_s), 0, tasks, 0.0
    )
    assert 0 < shares.current_shares(50.0)["class", False, "low"].share_cpus <= most + 1e-6


def overloaded_fleet(
    monkeypatch: pytest.MonkeyPatch, machines: int = 9
) -> tuple[SingleController, ManagedJob]:
    """Return a fleet that one job of rank normal fills, and this job, of which more tasks wait."""
    home = SingleController(monkeypatch)
    home.c.objectives.finish_limits["low"] = 60.0
    home.c.queue.shares.tolerated_wait_s = {"low": 30.0}
    home.c.objectives.classes.add("low")
    flood = home.add_job(make_job(1, pieces=400, due_s=1000.0, guess_s=50.0))
    flood.load({})
    chunk = Chunk()
    for n in range(4 * machines):
        chunk.assigned[n] = (1, f"m{n // 4}")
    flood.load({0: chunk})
    for m in range(machines):
        home.report(f"m{m}", "north", "plain", *(f"{flood.job.id}/{4 * m + n}" for n in range(4)))
    home.run_pass()
    home.now += 1.0
    return home, flood


@pytest.mark.parametrize(
    "rank, waited, free, served",
    [
        ("best_effort", 1.0, 4, False),  # no share yet
        ("best_effort", 40.0, 4, True),  # its share puts it before the higher rank
        ("best_effort", 40.0, 2, False),  # a share preempts no task
        ("normal", 40.0, 4, True),
    ],
)
def test_class_that_waited_too_long_gets_freed_room(
    monkeypatch: pytest.MonkeyPatch, rank: str, waited: float, free: int, served: bool
) -> None:
    """Otherwise the lowest rank gets no room at all while a higher rank overloads the fleet."""
    home, flood = overloaded_fleet(monkeypatch)
    low = home.add_job(
        make_job(2, jobclass="low", rank=rank, pieces=4, vcpus=free and 4.0, guess_s=5.0)
    )
    low.waiting_since -= waited
    left = [f"{flood.job.id}/{n}" for n in range(free // 2, 4)]
    home.report("m0", "north", "plain", *left)
    home.run_pass()
    assert bool(low.placed_starts) == served
    assert not any(m.pending_kills for m in home.c.machines.machines.values())


def test_tasks_within_a_share_are_not_preempted(monkeypatch: pytest.MonkeyPatch) -> None:
    """Otherwise a task that is started because of a share would be preempted at once."""
    home, flood = overloaded_fleet(monkeypatch)
    low = home.add_job(
        make_job(2, jobclass="low", rank="best_effort", pieces=8, vcpus=4.0, guess_s=50.0)
    )
    chunk = Chunk()
    chunk.assigned = {0: (1, "m0"), 1: (1, "m0")}
    low.load({0: chunk})
    flood.waiting_since -= 940.0  # almost late, so it may preempt lower ranks
    home.report("m0", "north", "plain", f"{low.job.id}/0", f"{low.job.id}/1")
    low.waiting_since -= 25.0
    home.run_pass()
    assert not home.c.machines.machines["m0"].pending_kills
    home.c.queue.shares.tolerated_wait_s = {"low": 1e9}  # the class has no share any more
    home.now += home.c.membership.lease_ttl_s
    home.run_pass()
    assert home.c.machines.machines["m0"].pending_kills


@pytest.mark.parametrize(
    "share, free, cpus, types, placed",
    [
        (0.0, 4.0, 2.0, None, 2),
        (1.0, 4.0, 2.0, None, 0),
        (1.0, 6.0, 2.0, None, 1),
        (1.0, 2.0, 2.0, None, 0),
        (1.0, 4.0, 4.0, None, 1),  # as large as the job that the room is reserved for
        (1.0, 4.0, 2.0, {"accel"}, 2),  # the large job fits no machine of this type
    ],
)
def test_small_tasks_leave_reserved_room_to_large_tasks(
    share: float, free: float, cpus: float, types: set[str] | None, placed: int
) -> None:
    """Otherwise small tasks take each two CPUs that become free, and four are never free together.

    Machines that the large job can't use must not be reserved, because room reserved for gangs
    left half of a fleet idle.
    """
    room = Room("m1", "", "plain", "north", False, True, free, 0.0, 64.0, 0, (), 1e9, "c0")
    job = make_job(1, vcpus=cpus, pieces=2)
    found = place(
        job,
        2,
        Index("c0", [room]),
        Spread(job, ()),
        Policy((), ()),
        reserve=LargeTaskReserve(make_job(2, vcpus=4.0), share, types and frozenset(types)),
    )
    assert len(found) == placed


def test_team_with_a_guarantee_has_no_share() -> None:
    """The team claims its guarantee. A share would let this team borrow before other teams do."""
    shares = FairShares({}, 10.0, [("team", False, "tight")])
    for owner in ("free", "tight", "other"):
        shares.update_job(owner, make_job(1, owner=owner), 0 if owner != "other" else 8, 4, 0.0)
    assert {name for kind, _, name in shares.current_shares(50.0) if kind == "team"} == {"free"}
