"""Whose fault a failure is, work that nobody waits for, many who ask, and standing still."""

from __future__ import annotations

import json
import math
import time
from typing import Any

import curio
import msgspec
import pytest

from clayport.jobs.errors import EpochEndedError
from clayport.jobs.managed_job import ManagedJob
from clayport.jobs.transactions import outcome_txn, start_txn
from clayport.jobs.verdicts import Verdict
from clayport.limits import Deadline
from clayport.machines.machine import TaskStatus
from clayport.membership.epoch import TOKEN_COUNTER_BITS, Epoch
from clayport.membership.isolation import should_leave
from clayport.model import Job, MachineType
from clayport.records.chunk import Chunk, chunk_size
from clayport.records.errors import ConflictError, UnavailableError
from clayport.records.lookups import Lookups
from clayport.records.rate_limit import LEASE_PRIORITY_S, URGENT_PRIORITY_S, TokenBucket
from clayport.records.store import StateStore
from clayport.records.transaction import Txn
from clayport.scaling.boot_times import BootingMachine, BootTimes
from clayport.scaling.demand import Demand, urgent_demand
from clayport.scaling.provisioning import plan_rentals
from clayport.scheduling.policy import NO_POLICY
from clayport.scheduling.queueing.shares import FairShare
from tests.jobs.test_dispatch import Home
from tests.machines.test_workers import JOB, KEY, Bench
from tests.world import TYPES, Clock, simulate
from tests.world import job as wire_job


def made(number: int, **fields: Any) -> Job:
    job = msgspec.convert(wire_job(number, **fields), Job)
    return msgspec.structs.replace(job, without_objective=job.job_class == "unnamed")


def started(events: str, tasks: int = 12) -> tuple[ManagedJob, list[Verdict], float]:
    """A home after events of tasks on machines of their own: e(rror), d(one), r(unning)."""
    managed = ManagedJob(made(1, pieces=tasks), 1, 50, 0.0)
    chunk = Chunk()
    chunk.assigned = {n: (1, f"m{n}") for n in range(tasks)}
    managed.load({0: chunk})
    verdicts = [
        managed.handle_event(
            f"m{n}",
            n,
            1,
            "running" if e == "r" else "exited",
            {"e": "error", "d": "done"}.get(e, ""),
            10.0,
        )
        for n, e in enumerate(events)
    ]
    return managed, verdicts, managed.not_before


@pytest.mark.parametrize(
    "events, at_fault, last",
    [
        ("ee", False, Verdict.OK),  # two machines may both be sick
        ("eee", True, Verdict.JOB_AT_FAULT),
        ("deee", False, Verdict.MACHINE_AT_FAULT),  # it has run well elsewhere
        ("rrrreee", False, Verdict.MACHINE_AT_FAULT),
        ("rreee", True, Verdict.JOB_AT_FAULT),
        ("eeed", False, Verdict.OK),  # what failed has passed
    ],
)
def test_a_job_that_fails_on_several_machines_is_at_fault(
    events: str, at_fault: bool, last: Verdict
) -> None:
    managed, verdicts, _ = started(events)
    assert (managed.at_fault, verdicts[-1]) == (at_fault, last)


def test_a_job_at_fault_is_tried_again_ever_more_rarely() -> None:
    """A hundred failures at once are one trial: what failed may pass within seconds."""
    managed, _, until = started("eeeeeeeeee")
    assert until == 11.0 and managed.avoided() == {"m9"}
    for number, pause in ((10, 2.0), (11, 4.0)):
        managed.handle_event(f"m{number}", number, 1, "exited", "error", until)
        assert managed.not_before == until + pause
        until = managed.not_before


def test_a_job_at_fault_is_tried_on_one_machine_and_wanted_nowhere(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    home = Home(monkeypatch)
    for name in ("m1", "m2", "m3", "m4"):
        home.report(name, "north", "plain")
    managed = home.wait(made(1, pieces=16))
    managed.errors = {"m1": 2, "m2": 1, "m3": 1}
    assert home.c.placer.demand_report.own_rows() == []
    home.look()
    assert len(managed.starts) == 1 and managed.starts[0][1] != "m3"


@pytest.mark.parametrize("state, starts", [("running", 1), ("pulling", 0)])
def test_a_replica_is_tried_again_while_others_of_its_job_run(
    monkeypatch: pytest.MonkeyPatch, state: str, starts: int
) -> None:
    home = Home(monkeypatch)
    home.report("m4", "north", "plain")
    managed = home.wait(made(1, pieces=2, shape="daemon", loaners=False))
    chunk = Chunk()
    chunk.assigned = {0: (1, "m9")}
    managed.load({0: chunk})
    managed.handle_event("m9", 0, 1, state, "", home.now)
    managed.errors = {"m1": 1, "m2": 1, "m3": 1}
    assert managed.at_fault
    home.look()
    assert len(managed.starts) == starts


ERROR = (KEY, "exited", "error")
OTHER = (("j-000002/0", 1), "exited", "error")


@pytest.mark.parametrize(
    "steps, sick",
    [
        ([("report", ERROR, OTHER)], True),
        ([("report", ERROR, OTHER), ("judge", "j-000002", True)], False),
        ([("judge", "j-000002", True), ("report", ERROR, OTHER)], False),
        ([("report", *(((f"j-000001/{n}", 1), "exited", "error") for n in range(8)))], False),
        (
            [
                ("report", *(((f"j-000001/{n}", 1), "exited", "error") for n in range(2))),
                ("judge", "j-000001", False),
            ],
            True,
        ),
        ([("report", ERROR, OTHER), ("end", "j-000002", "cancelled")], False),
        ([("report", ERROR, OTHER), ("end", "j-000002", "done")], True),
    ],
)
def test_no_sound_machine_is_closed_for_a_job_at_fault(
    steps: list[tuple[Any, ...]], sick: bool
) -> None:
    b = Bench()
    b.report()
    for what, *args in steps:
        if what == "report":
            b.report(*args)
        elif what == "judge":
            b.owner.judge("m1", *args)
        else:
            b.owner.ended(*args)
    assert b.owner.is_unhealthy(b.machine) == sick


@pytest.mark.parametrize(
    "rank, owed, tasks",
    [
        ("best_effort", 0.0, 8),  # a quarter of 64 CPUs
        ("best_effort", 24.0, 12),  # what it is owed it may take beyond that
        ("normal", 0.0, 16),
        ("production", 0.0, 16),
    ],
)  # all but what it alone would keep rented
def test_what_nobody_waits_for_comes_last_and_within_its_share(
    monkeypatch: pytest.MonkeyPatch, rank: str, owed: float, tasks: int
) -> None:
    """A guest's arrays filled the fleet for minutes, and made all of their rank late. Kept to
    a quarter beside what can have them stopped as well, they waited for most of a day while a
    third of the fleet was free."""
    home = Home(monkeypatch)
    for number in range(8):
        home.report(f"m{number}", "north", "plain")  # 64 CPUs
    for number in range(4):
        home.c.machines.machines[f"m{number}"].spot = True
    home.c.machines.mark_all_changed()
    guest = home.wait(made(1, jobclass="unnamed", rank="best_effort", pieces=32))
    late = home.wait(made(2, rank=rank, pieces=4, loaners=False))
    late.waiting_since -= 500.0
    assert home.order(late) < home.order(guest)
    if owed:
        home.c.placer.owed = {("class", False, "unnamed"): FairShare(owed, owed, 64.0, 0)}
        home.c.placer.owed_until = math.inf
    home.look()
    assert len(late.starts) == 4 and len(guest.starts) == tasks
    used = {m for _, m in late.starts}
    assert {m for _, m in guest.starts} <= {"m0", "m1", "m2", "m3"} | used


def test_room_for_what_nobody_waits_for_follows_who_is_there(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Whoever could be hindered is remembered, not looked for with each pass; with the last
    of them gone the next is found at once, not a quarter of a second later."""
    home = Home(monkeypatch)
    placer, live = home.c.placer, home.c.jobs.live
    jobs = [
        made(1, rank="best_effort"),
        made(2, rank="best_effort"),
        made(3, rank="normal"),
        made(4, jobclass="unnamed"),
        made(5, shape="daemon", guess_s=0.0),
    ]
    live.update({job.id: (job, 1) for job in jobs})
    cpu, gpu = made(8, jobclass="unnamed"), made(9, jobclass="unnamed", cards=1.0)
    found = [(placer.backfill.hinders_objectives(cpu, 0), placer.backfill.hinders_objectives(cpu))]
    for job in jobs[1::-1] + jobs[2:]:
        del live[job.id]
        found.append(
            (placer.backfill.hinders_objectives(cpu, 0), placer.backfill.hinders_objectives(cpu))
        )
    assert found == [(True, True)] * 2 + [(False, True), (False, False)] + [(False, False)] * 2
    live[jobs[0].id] = (jobs[0], 1)
    home.now += home.c.settings.cluster.workers.report_s
    assert placer.backfill.hinders_objectives(cpu, 0) and not placer.backfill.hinders_objectives(
        gpu
    )


@pytest.mark.parametrize(
    "fields, kills", [({"snapshot_every_s": 15.0, "snapshot_s": 3.0}, 2), ({}, 0)]
)
def test_it_keeps_no_machine_rented(
    monkeypatch: pytest.MonkeyPatch, fields: dict[str, Any], kills: int
) -> None:
    """What saves goes on elsewhere; for the rest the machine closes and empties by itself."""
    home = Home(monkeypatch)
    guest = made(1, jobclass="unnamed", rank="best_effort", **fields)
    home.c.jobs.live[guest.id] = (guest, 1)
    home.report("m1", "north", "plain", "j-000001/0", "j-000001/1")
    owner = home.c.machines
    idle_since = owner.room(owner.machines["m1"]).idle_since
    home.now += 50.0
    home.report("m1", "north", "plain", "j-000001/0")
    home.report("m1", "north", "plain", "j-000001/0", "j-000001/1")
    assert owner.room(owner.machines["m1"]).idle_since == idle_since
    assert not owner.drain("m1")  # it still holds them
    assert not owner.open(owner.machines["m1"]) and len(owner.machines["m1"].pending_kills) == kills
    home.report("m1", "north", "plain")
    assert owner.drain("m1")


def test_alone_it_takes_what_there_is(monkeypatch: pytest.MonkeyPatch) -> None:
    home = Home(monkeypatch)
    home.report("m1", "north", "plain")
    guest = home.wait(made(1, jobclass="unnamed", rank="best_effort", pieces=32))
    home.look()
    assert len(guest.starts) == 4


def test_what_nobody_waits_for_makes_way_first(monkeypatch: pytest.MonkeyPatch) -> None:
    home = Home(monkeypatch)
    aimed, guest = made(1, rank="best_effort"), made(2, rank="best_effort", jobclass="unnamed")
    for job in (aimed, guest):
        home.c.jobs.live[job.id] = (job, 1)
    home.report("m1", "north", "plain", "j-000001/0", "j-000001/1", "j-000002/0", "j-000002/1")
    assert home.c.machines.preempt(made(3), "m1", 0.0, home.now, (), 2)
    assert {k[0] for k in home.c.machines.machines["m1"].pending_kills} == {
        "j-000002/0",
        "j-000002/1",
    }


@pytest.mark.parametrize("still_s", [0.0, 2.0, 5.0, 10.0, 20.0, 60.0])
def test_nobody_was_silent_while_we_stood_still(
    monkeypatch: pytest.MonkeyPatch, still_s: float
) -> None:
    """After standing still for seconds a controller found all others silent: it stepped
    aside, and asked after every machine."""
    home = Home(monkeypatch)
    c = home.c
    home.report("m1", "north", "plain")
    for label in ("c1", "c2"):
        c.membership.present[label] = label
        if label in c.peers:
            c.peers[label].heard = home.now
    assert c.stalls.check(home.now)
    home.now += still_s + 0.2
    known = c.stalls.check(home.now)
    assert known == (still_s == 0.0)
    assert c.membership.rescan and (still_s == 0.0 or not c.store.ok)
    assert home.now - c.machines.machines["m1"].heard < c.fleet.silent_s
    heard = {label: c.peers[label].heard for label in c.peers}
    assert not should_leave(
        home.now, c.membership.label, heard, heard, 1.5 * c.membership.lease_ttl_s
    )
    if not known:
        # What it last saw counts again once it has learnt whether it is still a member.
        c.stalls.confirmed_count = c.stalls.count
        assert c.stalls.check(home.now)


def test_what_waited_while_we_stood_still_is_not_taken(monkeypatch: pytest.MonkeyPatch) -> None:
    home = Home(monkeypatch)
    home.c.jobs.ended["j-000001"] = "done"  # so that nothing has to be asked
    body = msgspec.json.encode(wire_job(1))
    found = []
    for still_s in (0.0, 8.0, 0.0):
        home.now += still_s
        found.append(curio.run(home.c.user_api.handle, "POST", "/api/jobs", body)[0])
        home.c.stalls.confirmed_count = home.c.stalls.count
    assert found == [200, 503, 200]


@pytest.mark.parametrize(
    "late_s, codes, retry_after",
    [
        (0.0, [201, 200, 200, 200, 200], ""),
        (0.6, [201, 200, 200, 200, 200], ""),
        (0.8, [503, 200, 200, 200, 200], "1"),  # polls wait for 2 s at most
        (3.0, [503, 200, 200, 200, 200], "6"),
        (60.0, [503, 200, 200, 200, 200], "30"),
    ],
)
def test_with_too_little_processor_time_submissions_are_refused_first(
    monkeypatch: pytest.MonkeyPatch, late_s: float, codes: list[int], retry_after: str
) -> None:
    """What is due soonest goes on: repeated submissions, polls, cancellations and reports.
    (Without `processor_admission` the last three rows are accepted.)"""
    home = Home(monkeypatch)
    c = home.c
    c.jobs.ended["j-000002"] = "done"
    c.membership.serving = True
    c.stalls.timer_delay_s = late_s

    async def commit(*_: Any) -> int:
        return 5

    monkeypatch.setattr(c.store, "commit", commit)
    monkeypatch.setattr(c.renewal, "may_renew", lambda now: True)
    report = {"host": "m1", "address": "m:1", "flavor": "plain", "site": "north"}
    report |= {"loaners": False, "tenure": 1, "counter": 1, "epoch": 0, "pieces": []}
    answers = [
        curio.run(c.user_api.handle, method, path, msgspec.json.encode(body))
        for method, path, body in (
            ("POST", "/api/jobs", wire_job(1)),
            ("POST", "/api/jobs", wire_job(2)),
            ("GET", "/api/jobs/j-000002", None),
            ("POST", "/api/jobs/j-000002/abort", None),
            ("POST", "/v1/report", report),
        )
    ]
    assert [status for status, _, _ in answers] == codes
    assert dict(answers[0][2]).get("Retry-After", "") == retry_after


@pytest.mark.parametrize("held_s", [0.0, 0.7, 2.0, 20.0])
def test_how_late_a_process_is_shows_at_its_next_timer(
    monkeypatch: pytest.MonkeyPatch, held_s: float
) -> None:
    home = Home(monkeypatch)

    async def main(clock: Clock) -> None:
        watching = await curio.spawn(home.c.stalls.detect_stalls)
        await curio.sleep(0)
        clock.now += held_s  # the work of others, before timers are looked at again
        await curio.sleep(0.1)
        seen.append(home.c.stalls.timer_delay_s)
        await curio.sleep(1.0)
        seen.append(home.c.stalls.timer_delay_s)
        await watching.cancel()

    seen: list[float] = []
    simulate(monkeypatch, main)
    pause_s = home.c.settings.cluster.workers.report_s / 4
    # A stall of 20 s asked users to stay away for 30 s from a process that was idle again.
    assert seen[0] == pytest.approx(min(max(0.0, held_s - pause_s), 6 * pause_s))
    assert seen[1] == pytest.approx(0.0)  # and is over with the next that is in time


@pytest.mark.parametrize(
    "age, waiting, wanted",
    [
        (5.0, 25000, None),  # hardly begun: nothing to judge it by
        (100.0, 10000, None),  # 150 a second: done in time
        (100.0, 20000, 546),  # 50 a second: late, unless so many run at a time
        (300.0, 20000, 3000),  # nothing rented now would be there sooner than in 40 s
    ],
)
def test_many_short_tasks_are_rented_for_by_their_pace(
    age: float, waiting: int, wanted: int | None
) -> None:
    """A job of 25,000 tasks counted as early until it was nearly due, then as all too late."""
    job = made(1, pieces=25000, guess_s=4.0, vcpus=0.25, due_s=400.0, rank="best_effort")
    found = urgent_demand([Demand(job, waiting, age)], {}, 1e9, boot_s=40.0)
    assert [n.tasks for n in found] == ([] if wanted is None else [wanted])


def test_polls_share_requests_that_are_sent_after_them() -> None:
    """Users who asked eight times as often took the requests that the work needed."""
    sent: list[set[str]] = []

    class Store:
        requests = TokenBucket(1000.0, 0.0)
        anchor_conditions = 0

        async def commit(self, txn: Txn, timeout_s: float | None = None) -> int:
            sent.append(set(txn.when))
            assert not txn.writes
            await curio.sleep(0)
            if "b" in txn.when:
                raise ConflictError(["b"])
            if "x" in txn.when:
                raise UnavailableError("503")
            return 1

    async def main() -> list[Any]:
        lookups = Lookups(Store(), 2, 1.0)  # type: ignore[arg-type]
        first = await curio.spawn(lookups.unchanged, "a", 1)
        await curio.sleep(0)
        while not sent:
            await curio.sleep(0)
        later = [await curio.spawn(lookups.unchanged, k, 1) for k in "abca"]
        answers = [await first.join(), *[await t.join() for t in later]]
        with pytest.raises(UnavailableError):
            await lookups.unchanged("x", 1)
        return answers

    assert curio.run(main) == [True, True, False, True, True]
    assert sent == [{"a"}, {"a", "b"}, {"c"}, {"x"}]  # two conditions a request at most


@pytest.mark.parametrize(
    "level, priority_s, wait",
    [
        (5.0, 0.0, 0.0),
        (-15.0, 0.0, 1.6),
        (-4.0, URGENT_PRIORITY_S, 0.0),
        (-15.0, URGENT_PRIORITY_S, 1.1),
        (-40.0, LEASE_PRIORITY_S, 0.0),
    ],
)
def test_users_go_ahead_of_what_waits_for_the_state_service(
    level: float, priority_s: float, wait: float
) -> None:
    bucket = TokenBucket(10.0, 0.0)
    bucket.level = level
    assert bucket.delay(1.0, 0.0, priority_s) == pytest.approx(wait)


def test_what_comes_too_late_to_be_read_is_refused_at_once() -> None:
    store = StateStore("127.0.0.1", 1, 30.0, 10.0, 1.0, 3)
    store.requests.level = -100.0

    async def main() -> None:
        with pytest.raises(UnavailableError, match="too much"):
            await store.get("c/live/j-000001", Deadline.within(time.monotonic(), 0.5))

    before = store.requests.level
    curio.run(main)
    assert before <= store.requests.level < 0  # it has taken nothing from the others


@pytest.mark.parametrize(
    "took, booting, factor",
    [
        ([1.0, 0.7, 1.4, 6.0], [], 1.0),  # a single late one is usual
        ([3.0, 5.0, 1.0, 4.0], [], 4.0),
        ([1.0], [2.0, 3.0, 3.5], 3.0),  # overdue, and not up yet
        ([1.0, 1.0, 1.0], [0.5, 0.6], 1.0),  # not due yet: says nothing
        ([0.05, 0.04, 0.1], [], 0.05),
        ([9.0, 9.0], [], 1.0),  # too few
    ],
)
def test_boots_are_expected_as_they_were_seen(
    took: list[float], booting: list[float], factor: float
) -> None:
    kind = msgspec.convert(TYPES[0], MachineType)
    boots = BootTimes(200.0)
    for ratio in took:
        boots.note(kind, ratio * kind.boot_s, 100.0)
    waiting = [
        BootingMachine(f"m{n}", (kind.name, "north", False), 100.0 - r * kind.boot_s)
        for n, r in enumerate(booting)
    ]
    [seen] = boots.observed([kind], waiting, 100.0)
    assert seen.boot_s == pytest.approx(factor * kind.boot_s)
    assert boots.observed([kind], [], 400.0) == [kind]  # it is tried again


def test_a_type_that_comes_up_late_is_as_much_dearer() -> None:
    types = msgspec.convert(
        [TYPES[0], {**TYPES[0], "label": "other", "rate": 0.6, "spot_price": 0.2}],
        list[MachineType],
    )
    job, boots = made(1, loaners=False), {t.name: t.boot_s for t in types}
    for factor, chosen in ((1.0, "plain"), (3.0, "other")):
        late = [msgspec.structs.replace(types[0], boot_s=types[0].boot_s * factor), types[1]]
        bought = plan_rentals(late, [Demand(job, 3)], set(), 0.0, NO_POLICY, {}, boots)
        assert {k[0] for k in bought} == {chosen}


def test_a_routine_does_not_go_on_under_the_next_epoch(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Delayed by a peer that had crashed, one did, beside its successor: both used the same
    attempt number, the second reservation replaced the first one's launch, and its release
    said that tasks were gone that ran (eleven ran twice)."""
    home = Home(monkeypatch)
    c = home.c
    home.report("m1", "north", "plain")
    job = made(1)
    c.jobs.live[job.id] = (job, 1)
    c.membership.serving = True
    old = ManagedJob(job, 1, 50, home.now, epoch=0)
    old.load({0: Chunk()})
    for prepare in ("starts", "outcomes", "adopt"):
        if prepare == "starts":
            old.starts = [(n, "m1") for n in old.take_pending(2)]
        elif prepare == "outcomes":
            old.chunks[0].assigned[2] = (1, "m1")
            old.handle_event("m1", 2, 1, "exited", "stopped", home.now)
        step = c.owner_requests.adopt if prepare == "adopt" else c.dispatcher._step
        with pytest.raises(EpochEndedError):
            curio.run(step, old)
        assert not c.machines.machines["m1"].desired
    curio.run(c.owner_requests.stop, old, [("m1", "j-000001/0", 1, 0.0, False)])
    assert not c.machines.machines["m1"].pending_kills


def test_a_reservation_never_replaces_what_is_there() -> None:
    b = Bench()
    b.report()
    b.launch()
    b.owner.orders(b.machine)
    for _ in range(2):  # sent, then listed
        assert b.owner.reserve(JOB, [("m1", 0)], 1, 1.0) == [False]
        b.owner.stop([("m1", *KEY, 0.0, False)])
        assert not b.gone()
        b.report((KEY, "running", ""))


@pytest.mark.parametrize("value_kb, limit", [(8.0, 12), (32.0, 28)])
def test_scattered_tasks_are_committed_in_transactions_that_fit(
    value_kb: float, limit: int
) -> None:
    """What waits again, or ended, all over a huge job was one transaction, refused whole."""
    size = chunk_size(value_kb)
    managed = ManagedJob(made(1, pieces=25000), 1, size, 0.0)
    managed.load({i: Chunk() for i in range(25000 // size + 1)})
    for index, chunk in managed.chunks.items():
        numbers = range(index * size, min(25000, (index + 1) * size))
        chunk.assigned = {n: (4_000_000_000, f"i-{n:010d}") for n in numbers if n % 2}
        chunk.done = {n for n in numbers if n % 4 == 2}
        managed.requeued.extend(n for n in numbers if n % 4 == 0)
    managed.recount()
    everything = [n for n in range(25000) if n % 4 == 0]
    managed.requeued.extend(everything[::-7])
    taken = managed.take_pending(2000, limit)
    assert taken and len({n // size for n in taken}) <= limit
    txn, _ = start_txn(managed, 1, [(n, f"i-{n:010d}") for n in taken], 4_000_000_000)
    assert len(json.dumps(txn.writes)) < 60 * 1024
    for chunk in managed.chunks.values():
        managed.outcomes[next(iter(chunk.assigned))] = (4_000_000_000, True)  # the others run on
    txn, chunks, covered, _ = outcome_txn(managed, 1, limit)
    assert 0 < len(chunks) <= limit and covered and len(json.dumps(txn.writes)) < 60 * 1024
    found: set[int] = set()
    managed.being_placed.clear()
    while more := managed.take_pending(500, limit):
        found.update(more)
    assert found == set(everything)  # nothing is lost on the way


def test_machines_that_are_not_closed_keep_no_others(monkeypatch: pytest.MonkeyPatch) -> None:
    """Only four idle ones are asked about in a round; the same four were, for minutes."""
    home = Home(monkeypatch)
    c, returned = home.c, []
    job = made(1)
    c.jobs.live[job.id] = (job, 1)
    for number in range(6):
        home.report(f"m{number}", "north", "plain")
        if number < 4:
            c.machines.reserve(job, [(f"m{number}", number)], 1, home.now)
            c.machines.launch([(f"m{number}", f"j-000001/{number}", 1)])
            home.report(f"m{number}", "north", "plain")
            c.machines.machines[f"m{number}"].reported_tasks[(f"j-000001/{number}", 1)] = (
                TaskStatus("exited", "done", False)
            )

    async def give_back(names: list[str]) -> None:
        returned.extend(names)

    monkeypatch.setattr(c.cloud, "give_back", give_back)
    home.now += 1000.0
    types = {t.name: t for t in c.catalogue.types}

    async def rounds() -> None:
        for _ in range(3):
            home.now += 1.0
            c.machines.mark_all_changed()
            await c.provisioner._return_idle(types, [], [], NO_POLICY, home.now)

    curio.run(rounds)
    assert sorted(returned) == ["m4", "m5"]


@pytest.mark.parametrize("spare, returned, looks", [(0, 4, 1), (8, 4, 1), (16, 2, 7), (24, 0, 9)])
def test_idle_machines_are_looked_at_together(
    monkeypatch: pytest.MonkeyPatch, spare: int, returned: int, looks: int
) -> None:
    """Of six, four are asked about in a round; what is to be expected keeps its room. One
    look for each was half of all processor time on a large fleet with little to do."""
    home = Home(monkeypatch)
    c, gone, asked = home.c, [], []
    for number in range(6):  # of 8 CPUs each
        home.report(f"m{number}", "north", "plain")

    async def give_back(names: list[str]) -> None:
        gone.extend(names)

    lost = c.provisioner._lost

    def count(*args: Any) -> int:
        asked.append(args[1])
        return lost(*args)

    monkeypatch.setattr(c.cloud, "give_back", give_back)
    monkeypatch.setattr(type(c.provisioner), "_lost", staticmethod(count))
    home.now += 1000.0
    c.machines.mark_all_changed()
    needs = [Demand(made(1, vcpus=2.0), spare)] if spare else []
    curio.run(
        c.provisioner._return_idle,
        {t.name: t for t in c.catalogue.types},
        [],
        needs,
        NO_POLICY,
        home.now,
    )
    assert len(gone) == returned and len(asked) <= looks
    assert asked[0] == ["m0", "m1", "m2", "m3"]


def test_gangs_without_an_aim_get_their_machines_beside_arrays_with_one(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """On a recorded day only arrays had an aim. Gangs on whole GPU machines, which may not
    use spot ones, waited from its second minute to its ninth: the arrays of the lowest rank
    held the quarter of the fleet that all work without an aim shared, and nothing was rented
    for them."""
    home = Home(monkeypatch)
    for number in range(8):
        home.report(f"m{number}", "north", "plain", *(f"j-000007/{number}{n}" for n in range(4)))
    archive = made(7, jobclass="unnamed", rank="best_effort", pieces=100)
    home.c.jobs.live[archive.id] = (archive, 1)
    home.c.machines.mark_all_changed()
    gang = home.wait(
        made(
            1, jobclass="unnamed", shape="ensemble", pieces=1, vcpus=16.0, cards=2.0, loaners=False
        )
    )
    home.wait(made(2, pieces=4))  # an array with an aim
    home.look()
    assert gang.starts == []  # there is no machine for it yet
    waiting = home.c.placer.demand_report.whole_epoch()
    bought = home.c.provisioner.planner.plan_backfill(
        waiting, 64.0, home.c.cached_state.index(), home.c.placer.policy()
    )
    assert [kind[0] for kind in bought] == ["accel"] and not bought[0][2]
    # On one that the lowest rank fills it makes room, but not where others are.
    home.report("m9", "north", "accel", *(f"j-000007/9{n}" for n in range(4)))
    home.report("m10", "north", "accel", *(f"j-000005/{n}" for n in range(4)))
    other = made(5, jobclass="unnamed", pieces=100)
    home.c.jobs.live[other.id] = (other, 1)
    home.c.machines.mark_all_changed()
    home.now += home.c.membership.lease_ttl_s
    home.look()
    assert gang.starts == [] and home.c.machines.machines["m10"].pending_kills == {}
    assert {k[0] for k in home.c.machines.machines["m9"].pending_kills} == {
        f"j-000007/9{n}" for n in range(4)
    }
    home.report("m9", "north", "accel")
    home.look()
    assert gang.starts == [(0, "m9")]


@pytest.mark.parametrize(
    "epoch, heard, heard_s, voids",
    [
        (4, "second", 1.0, True),
        # The worker has seen no token of its owner, whose answer was lost; a launch is on its way.
        (3, "second", 1.0, True),
        (0, "second", 1.0, True),
        # An epoch that we don't know yet has entitled another process.
        (5, "second", 1.0, False),
        (4, "first", 1.0, False),
        (3, "first", 1.0, False),
        # It was the named one's predecessor that answered, before we read of the epoch.
        (4, "before", -1.0, False),
        (3, "before", -1.0, False),
    ],
)
def test_all_that_an_ended_owner_sent_is_void_and_nothing_later(
    monkeypatch: pytest.MonkeyPatch, epoch: int, heard: str, heard_s: float, voids: bool
) -> None:
    """What is given out to a machine whose owner's process has ended, by the epoch of the
    highest token that it has seen, when ours is the fourth."""
    home = Home(monkeypatch)
    c = home.c
    c.transition.begin(Epoch(4, {"c1": "first"}, 7))
    c.membership.records_loaded = True
    monkeypatch.setattr(c.renewal, "may_renew", lambda now: True)
    c.watermark.note_promise("c1", heard, home.now + heard_s, home.now + heard_s)
    c.fleet.report_answers.forwarded["m1"] = home.now
    sent = epoch << TOKEN_COUNTER_BITS | 5
    report = {"host": "m1", "address": "m:1", "flavor": "plain", "site": "north"}
    report |= {"loaners": False, "tenure": 1, "counter": 1, "epoch": sent, "pieces": []}
    body = msgspec.json.encode(report)
    status, answer, _ = curio.run(c.user_api.handle, "POST", "/v1/report", body)
    token = msgspec.json.decode(answer)["epoch"]
    assert status == 200
    if not voids:
        assert token == sent
    else:
        assert (4 << TOKEN_COUNTER_BITS) + 1000 < token < 5 << TOKEN_COUNTER_BITS
