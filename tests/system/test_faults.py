"""Failures of jobs and machines, backfill, overload, stalls and provisioning in one controller."""

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
from clayport.membership.isolation import should_leave
from clayport.model import Job, MachineType
from clayport.records.chunk import Chunk, chunk_size
from clayport.records.errors import ConflictError, UnavailableError
from clayport.records.rate_limit import LEASE_PRIORITY_S, URGENT_PRIORITY_S, TokenBucket
from clayport.records.revision_checks import RevisionChecks
from clayport.records.store import StateStore
from clayport.records.transaction import Txn
from clayport.scaling.boot_times import BootingMachine, BootTimes
from clayport.scaling.demand import Demand, urgent_demand
from clayport.scaling.provisioning import plan_rentals
from clayport.scheduling.policy import NO_POLICY
from clayport.scheduling.queueing.shares import FairShare
from tests.jobs.test_dispatch import SingleController
from tests.machines.test_workers import JOB, KEY, OwnerHarness
from tests.troubles import MAX_WAIT_S
from tests.world import TYPES, Clock, simulate
from tests.world import job as wire_job


def make_job(number: int, **fields: Any) -> Job:
    job = msgspec.convert(wire_job(number, **fields), Job)
    return msgspec.structs.replace(job, without_objective=job.job_class == "unnamed")


def job_after_events(events: str, tasks: int = 12) -> tuple[ManagedJob, list[Verdict], float]:
    """Return a job after events of its first tasks, of which `events` has one letter for each.

    The letters are e for error, d for done and r for running. Each task runs on its own machine.
    The second value lists the verdicts on the events, the third is the time until which the job is
    not placed.
    """
    managed = ManagedJob(make_job(1, pieces=tasks), 1, 50, 0.0)
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
        ("ee", False, Verdict.OK),  # two machines may both be faulty
        ("eee", True, Verdict.JOB_AT_FAULT),
        ("deee", False, Verdict.MACHINE_AT_FAULT),  # a task has completed on another machine
        ("rrrreee", False, Verdict.MACHINE_AT_FAULT),
        ("rreee", True, Verdict.JOB_AT_FAULT),
        ("eeed", False, Verdict.OK),  # a task has completed after the failures
    ],
)
def test_a_job_that_fails_on_several_machines_is_at_fault(
    events: str, at_fault: bool, last: Verdict
) -> None:
    managed, verdicts, _ = job_after_events(events)
    assert (managed.at_fault, verdicts[-1]) == (at_fault, last)


def test_a_job_at_fault_is_retried_with_exponential_backoff() -> None:
    """Failures that arrive together count as one retry, so that a fault of a few seconds delays
    the job only briefly."""
    managed, _, until = job_after_events("eeeeeeeeee")
    assert until == 11.0 and managed.excluded_machines(until) == {"m9"}
    for number, pause in ((10, 2.0), (11, 4.0)):
        managed.handle_event(f"m{number}", number, 1, "exited", "error", until)
        assert managed.not_before == until + pause
        until = managed.not_before


def test_the_pauses_of_a_job_at_fault_are_shorter_than_jobs_may_wait(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # With long leases a job could wait beside free room for more than 90 s between two retries.
    harness = SingleController(monkeypatch)
    workers = harness.c.settings.cluster.workers
    workers = msgspec.structs.replace(workers, lease_s=15.25, report_s=2.5)
    cluster = msgspec.structs.replace(harness.c.settings.cluster, workers=workers)
    harness.c.failover.settings = msgspec.structs.replace(harness.c.settings, cluster=cluster)
    harness.c.failover.start_leading(make_job(1), 1, {}, "")
    harness.discard_routines()
    managed = harness.c.jobs.managed["j-000001"]
    for retry in range(20):
        now = managed.not_before
        for machine in range(3):
            managed._record_failure(f"m{machine}", now)
        assert managed.at_fault and managed.not_before - now <= MAX_WAIT_S, retry


def test_a_job_at_fault_is_retried_on_one_machine_and_adds_no_demand(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    harness = SingleController(monkeypatch)
    for name in ("m1", "m2", "m3", "m4"):
        harness.report(name, "north", "plain")
    managed = harness.add_job(make_job(1, pieces=16))
    managed.errors = {"m1": 2, "m2": 1, "m3": 1}
    for name in managed.errors:
        managed.avoided.note_failure(name, harness.now)
    assert harness.c.placer.demand_report.own_rows() == []
    harness.run_pass()
    assert len(managed.placed_starts) == 1 and managed.placed_starts[0][1] != "m3"


@pytest.mark.parametrize("state, starts", [("running", 1), ("pulling", 0)])
def test_a_replica_is_retried_while_others_run_but_not_while_one_is_pulling(
    monkeypatch: pytest.MonkeyPatch, state: str, starts: int
) -> None:
    harness = SingleController(monkeypatch)
    harness.report("m4", "north", "plain")
    managed = harness.add_job(make_job(1, pieces=2, shape="daemon", loaners=False))
    chunk = Chunk()
    chunk.assigned = {0: (1, "m9")}
    managed.load({0: chunk})
    managed.handle_event("m9", 0, 1, state, "", harness.now)
    managed.errors = {"m1": 1, "m2": 1, "m3": 1}
    assert managed.at_fault
    harness.run_pass()
    assert len(managed.placed_starts) == starts


ERROR = (KEY, "exited", "error")
OTHER = (("j-000002/0", 1), "exited", "error")


@pytest.mark.parametrize(
    "steps, unhealthy",
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
def test_errors_of_a_job_at_fault_close_no_machine(
    steps: list[tuple[Any, ...]], unhealthy: bool
) -> None:
    bench = OwnerHarness()
    bench.report()
    for what, *args in steps:
        if what == "report":
            bench.report(*args)
        elif what == "judge":
            bench.owner.record_verdict("m1", *args)
        else:
            bench.owner.job_ended(*args)
    assert bench.owner.is_unhealthy(bench.machine) == unhealthy


@pytest.mark.parametrize(
    "rank, fair_share, tasks",
    [
        ("best_effort", 0.0, 8),  # 16 of 64 CPUs
        ("best_effort", 24.0, 12),  # the fair share of its class may exceed the quarter
        # Backfill fills the spot machines, and starts no task on an ordinary machine that holds
        # nothing else.
        ("normal", 0.0, 16),
        ("production", 0.0, 16),
    ],
)
def test_backfill_is_placed_last_and_within_its_share(
    monkeypatch: pytest.MonkeyPatch, rank: str, fair_share: float, tasks: int
) -> None:
    """Backfill arrays that fill the fleet for minutes make all other jobs of their rank late.

    The bound of a quarter of the CPUs applies only beside jobs that cannot preempt backfill. If the
    bound applied beside higher ranks as well, backfill would wait for most of a day while a third
    of the fleet is free.
    """
    harness = SingleController(monkeypatch)
    for number in range(8):
        harness.report(f"m{number}", "north", "plain")  # 64 CPUs
    for number in range(4):
        harness.c.machines.machines[f"m{number}"].spot = True
    harness.c.machines.mark_all_changed()
    backfill_job = harness.add_job(make_job(1, jobclass="unnamed", rank="best_effort", pieces=32))
    late = harness.add_job(make_job(2, rank=rank, pieces=4, loaners=False))
    late.waiting_since -= 500.0
    assert harness.order(late) < harness.order(backfill_job)
    if fair_share:
        harness.c.placer.fair_shares = {
            ("class", False, "unnamed"): FairShare(fair_share, fair_share, 64.0, 0)
        }
        harness.c.placer.fair_shares_until = math.inf
    harness.run_pass()
    assert len(late.placed_starts) == 4 and len(backfill_job.placed_starts) == tasks
    used = {m for _, m in late.placed_starts}
    assert {m for _, m in backfill_job.placed_starts} <= {"m0", "m1", "m2", "m3"} | used


def test_hindered_jobs_are_looked_up_again_when_cached_ones_end(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The jobs that backfill could hinder are cached instead of being looked up in each pass.

    When the last cached job has ended, the next one is found at once and not only after the
    lookup interval of a quarter of a second.
    """
    harness = SingleController(monkeypatch)
    placer, live = harness.c.placer, harness.c.jobs.live
    jobs = [
        make_job(1, rank="best_effort"),
        make_job(2, rank="best_effort"),
        make_job(3, rank="normal"),
        make_job(4, jobclass="unnamed"),
        make_job(5, shape="daemon", guess_s=0.0),
    ]
    live.update({job.id: (job, 1) for job in jobs})
    cpu, gpu = make_job(8, jobclass="unnamed"), make_job(9, jobclass="unnamed", cards=1.0)
    found = [(placer.backfill.hinders_objectives(cpu, 0), placer.backfill.hinders_objectives(cpu))]
    for job in jobs[1::-1] + jobs[2:]:
        del live[job.id]
        found.append(
            (placer.backfill.hinders_objectives(cpu, 0), placer.backfill.hinders_objectives(cpu))
        )
    assert found == [(True, True)] * 2 + [(False, True), (False, False)] + [(False, False)] * 2
    live[jobs[0].id] = (jobs[0], 1)
    harness.now += harness.c.settings.cluster.workers.report_s
    assert placer.backfill.hinders_objectives(cpu, 0) and not placer.backfill.hinders_objectives(
        gpu
    )


@pytest.mark.parametrize(
    "fields, kills", [({"snapshot_every_s": 15.0, "snapshot_s": 3.0}, 2), ({}, 0)]
)
def test_backfill_keeps_no_machine_rented(
    monkeypatch: pytest.MonkeyPatch, fields: dict[str, Any], kills: int
) -> None:
    """Draining kills only backfill tasks that save their progress, because these can continue on
    another machine. Other backfill tasks run to their end on the closed machine."""
    harness = SingleController(monkeypatch)
    backfill_job = make_job(1, jobclass="unnamed", rank="best_effort", **fields)
    harness.c.jobs.live[backfill_job.id] = (backfill_job, 1)
    harness.report("m1", "north", "plain", "j-000001/0", "j-000001/1")
    owner = harness.c.machines
    idle_since = owner.room(owner.machines["m1"]).idle_since
    harness.now += 50.0
    harness.report("m1", "north", "plain", "j-000001/0")
    harness.report("m1", "north", "plain", "j-000001/0", "j-000001/1")
    assert owner.room(owner.machines["m1"]).idle_since == idle_since
    assert not owner.drain("m1")  # the machine still holds both tasks
    assert (
        not owner.accepts_work(owner.machines["m1"])
        and len(owner.machines["m1"].pending_kills) == kills
    )
    harness.report("m1", "north", "plain")
    assert owner.drain("m1")


def test_backfill_alone_takes_all_free_room(monkeypatch: pytest.MonkeyPatch) -> None:
    harness = SingleController(monkeypatch)
    harness.report("m1", "north", "plain")
    backfill_job = harness.add_job(make_job(1, jobclass="unnamed", rank="best_effort", pieces=32))
    harness.run_pass()
    assert len(backfill_job.placed_starts) == 4


def test_backfill_is_preempted_first(monkeypatch: pytest.MonkeyPatch) -> None:
    harness = SingleController(monkeypatch)
    objective_job, backfill_job = (
        make_job(1, rank="best_effort"),
        make_job(2, rank="best_effort", jobclass="unnamed"),
    )
    for job in (objective_job, backfill_job):
        harness.c.jobs.live[job.id] = (job, 1)
    harness.report("m1", "north", "plain", "j-000001/0", "j-000001/1", "j-000002/0", "j-000002/1")
    assert harness.c.machines.preempt(make_job(3), "m1", 0.0, harness.now, (), 2)
    assert {k[0] for k in harness.c.machines.machines["m1"].pending_kills} == {
        "j-000002/0",
        "j-000002/1",
    }


@pytest.mark.parametrize("stall_s", [0.0, 2.0, 5.0, 10.0, 20.0, 60.0])
def test_a_stall_makes_no_peer_or_machine_silent(
    monkeypatch: pytest.MonkeyPatch, stall_s: float
) -> None:
    """After a stall of a few seconds a controller must not treat its peers and machines as silent,
    because it would leave the epoch and inspect every machine."""
    harness = SingleController(monkeypatch)
    c = harness.c
    harness.report("m1", "north", "plain")
    for label in ("c1", "c2"):
        c.membership.present[label] = label
        if label in c.peers:
            c.peers[label].last_heard_at = harness.now
    assert c.stalls.confirm_no_stall(harness.now)
    harness.now += stall_s + 0.2
    known = c.stalls.confirm_no_stall(harness.now)
    assert known == (stall_s == 0.0)
    assert c.membership.rescan and (stall_s == 0.0 or not c.store.is_serving)
    assert harness.now - c.machines.machines["m1"].last_heard_at < c.fleet.silent_s
    heard = {label: c.peers[label].last_heard_at for label in c.peers}
    assert not should_leave(
        harness.now, c.membership.label, heard, heard, 1.5 * c.membership.lease_ttl_s
    )
    if not known:
        # The times of the last heartbeats count again once the records confirm the membership.
        c.stalls.confirmed_count = c.stalls.count
        assert c.stalls.confirm_no_stall(harness.now)


def test_a_submission_after_a_stall_is_refused_until_membership_is_confirmed(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    harness = SingleController(monkeypatch)
    harness.c.jobs.ended["j-000001"] = "done"  # so that the state service is not asked
    body = msgspec.json.encode(wire_job(1))
    found = []
    for stall_s in (0.0, 8.0, 0.0):
        harness.now += stall_s
        found.append(curio.run(harness.c.user_api.handle, "POST", "/api/jobs", body)[0])
        harness.c.stalls.confirmed_count = harness.c.stalls.count
    assert found == [200, 503, 200]


@pytest.mark.parametrize(
    "delay_s, codes, retry_after",
    [
        (0.0, [201, 200, 200, 200, 200], ""),
        (0.6, [201, 200, 200, 200, 200], ""),
        (0.8, [503, 200, 200, 200, 200], "1"),  # polls have to be answered within 2 s
        (3.0, [503, 200, 200, 200, 200], "6"),
        (60.0, [503, 200, 200, 200, 200], "30"),
    ],
)
def test_submissions_are_refused_first_when_processor_time_is_short(
    monkeypatch: pytest.MonkeyPatch, delay_s: float, codes: list[int], retry_after: str
) -> None:
    """Repeated submissions, polls, cancellations and reports are still answered.

    Without `cpu_admission` the submissions of the last three rows are accepted.
    """
    harness = SingleController(monkeypatch)
    c = harness.c
    c.jobs.ended["j-000002"] = "done"
    c.membership.serving = True
    c.stalls.timer_delay_s = delay_s

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


@pytest.mark.parametrize("busy_s", [0.0, 0.7, 2.0, 20.0])
def test_timer_delay_is_measured_at_the_next_timer(
    monkeypatch: pytest.MonkeyPatch, busy_s: float
) -> None:
    harness = SingleController(monkeypatch)

    async def main(clock: Clock) -> None:
        watching = await curio.spawn(harness.c.stalls.detect_stalls)
        await curio.sleep(0)
        clock.now += busy_s  # other routines use the processor until the next timer runs
        await curio.sleep(0.1)
        seen.append(harness.c.stalls.timer_delay_s)
        await curio.sleep(1.0)
        seen.append(harness.c.stalls.timer_delay_s)
        await watching.cancel()

    seen: list[float] = []
    simulate(monkeypatch, main)
    pause_s = harness.c.settings.cluster.workers.report_s / 4
    # Without the bound, a stall of 20 s would put a Retry-After of 30 s into the answers of a
    # process that is idle again.
    assert seen[0] == pytest.approx(min(max(0.0, busy_s - pause_s), 6 * pause_s))
    assert seen[1] == pytest.approx(0.0)  # the next timer was on time


@pytest.mark.parametrize(
    "age, waiting, wanted",
    [
        (5.0, 25000, None),  # too early to estimate a rate
        (100.0, 10000, None),  # at 150 tasks/s the job ends in time
        (100.0, 20000, 546),  # at 50 tasks/s the job is late unless 546 tasks run at a time
        (300.0, 20000, 3000),  # a machine rented now takes 40 s to boot
    ],
)
def test_demand_for_many_short_tasks_follows_their_completion_rate(
    age: float, waiting: int, wanted: int | None
) -> None:
    """Without the rate at which its tasks complete, a job of 25,000 tasks counts as early until it
    is nearly due, and all of its tasks count as late after that."""
    job = make_job(1, pieces=25000, guess_s=4.0, vcpus=0.25, due_s=400.0, rank="best_effort")
    found = urgent_demand([Demand(job, waiting, age)], {}, 1e9, boot_s=40.0)
    assert [n.tasks for n in found] == ([] if wanted is None else [wanted])


def test_polls_share_comparisons_that_are_sent_after_them() -> None:
    """Polls share one comparison of revisions, because users who poll eight times as often would
    otherwise use up the requests that scheduling needs."""
    sent: list[set[str]] = []

    class Store:
        request_bucket = TokenBucket(1000.0, 0.0)
        anchor_conditions = 0

        async def commit(self, txn: Txn, timeout_s: float | None = None) -> int:
            sent.append(set(txn.required_revs))
            assert not txn.writes
            await curio.sleep(0)
            if "b" in txn.required_revs:
                raise ConflictError(["b"])
            if "x" in txn.required_revs:
                raise UnavailableError("503")
            return 1

    async def main() -> list[Any]:
        revision_checks = RevisionChecks(Store(), 2, 1.0)  # type: ignore[arg-type]
        first = await curio.spawn(revision_checks.unchanged, "a", 1)
        await curio.sleep(0)
        while not sent:
            await curio.sleep(0)
        later = [await curio.spawn(revision_checks.unchanged, k, 1) for k in "abca"]
        answers = [await first.join(), *[await t.join() for t in later]]
        with pytest.raises(UnavailableError):
            await revision_checks.unchanged("x", 1)
        return answers

    assert curio.run(main) == [True, True, False, True, True]
    assert sent == [{"a"}, {"a", "b"}, {"c"}, {"x"}]  # a request has at most two conditions


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
def test_requests_with_priority_wait_less_in_the_backlog(
    level: float, priority_s: float, wait: float
) -> None:
    bucket = TokenBucket(10.0, 0.0)
    bucket.level = level
    assert bucket.take_tokens(1.0, 0.0, priority_s) == pytest.approx(wait)


def test_a_read_that_would_miss_its_deadline_is_refused_at_once() -> None:
    store = StateStore("127.0.0.1", 1, 30.0, 10.0, 1.0, 3)
    store.request_bucket.level = -100.0

    async def main() -> None:
        with pytest.raises(UnavailableError, match="too much"):
            await store.get("c/live/j-000001", Deadline.within(time.monotonic(), 0.5))

    before = store.request_bucket.level
    curio.run(main)
    assert before <= store.request_bucket.level < 0  # the refused read has used no token


@pytest.mark.parametrize(
    "took, booting, factor",
    [
        ([1.0, 0.7, 1.4, 6.0], [], 1.0),  # a single late boot is normal
        ([3.0, 5.0, 1.0, 4.0], [], 4.0),
        ([1.0], [2.0, 3.0, 3.5], 3.0),  # machines that are overdue and still booting count
        ([1.0, 1.0, 1.0], [0.5, 0.6], 1.0),  # machines not yet due don't count
        ([0.05, 0.04, 0.1], [], 0.05),
        ([9.0, 9.0], [], 1.0),  # fewer than three boots are too few
    ],
)
def test_expected_boot_times_follow_observed_boots(
    took: list[float], booting: list[float], factor: float
) -> None:
    kind = msgspec.convert(TYPES[0], MachineType)
    boots = BootTimes(200.0)
    for ratio in took:
        boots.record(kind, ratio * kind.boot_s, 100.0)
    waiting = [
        BootingMachine(f"m{n}", (kind.name, "north", False), 100.0 - r * kind.boot_s)
        for n, r in enumerate(booting)
    ]
    [seen] = boots.with_observed_boot_times([kind], waiting, 100.0)
    assert seen.boot_s == pytest.approx(factor * kind.boot_s)
    assert boots.with_observed_boot_times([kind], [], 400.0) == [
        kind
    ]  # old boots no longer count, so the type is tried again


def test_a_type_that_boots_late_loses_to_a_more_expensive_one() -> None:
    types = msgspec.convert(
        [TYPES[0], {**TYPES[0], "label": "other", "rate": 0.6, "spot_price": 0.2}],
        list[MachineType],
    )
    job, boots = make_job(1, loaners=False), {t.name: t.boot_s for t in types}
    for factor, chosen in ((1.0, "plain"), (3.0, "other")):
        late = [msgspec.structs.replace(types[0], boot_s=types[0].boot_s * factor), types[1]]
        bought = plan_rentals(late, [Demand(job, 3)], set(), 0.0, NO_POLICY, {}, boots)
        assert {k[0] for k in bought} == {chosen}


def test_a_jobs_routine_stops_when_the_next_epoch_begins(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A job's routine that was delayed by a crashed peer must not continue beside the routine of
    the next epoch.

    Both would use the same attempt number, the second reservation would replace the launch of the
    first, and its release would report running tasks as gone. Eleven tasks ran twice that way.
    """
    harness = SingleController(monkeypatch)
    c = harness.c
    harness.report("m1", "north", "plain")
    job = make_job(1)
    c.jobs.live[job.id] = (job, 1)
    c.membership.serving = True
    old = ManagedJob(job, 1, 50, harness.now, epoch=0)
    old.load({0: Chunk()})
    for prepare in ("starts", "outcomes", "adopt"):
        if prepare == "starts":
            old.placed_starts = [(n, "m1") for n in old.take_pending(2)]
        elif prepare == "outcomes":
            old.chunks[0].assigned[2] = (1, "m1")
            old.handle_event("m1", 2, 1, "exited", "stopped", harness.now)
        step = c.owner_requests.adopt if prepare == "adopt" else c.dispatcher._step
        with pytest.raises(EpochEndedError):
            curio.run(step, old)
        assert not c.machines.machines["m1"].desired
    curio.run(c.owner_requests.stop, old, [("m1", "j-000001/0", 1, 0.0, False)])
    assert not c.machines.machines["m1"].pending_kills


def test_a_reservation_never_replaces_an_existing_assignment() -> None:
    bench = OwnerHarness()
    bench.report()
    bench.launch()
    bench.owner.commands_to_send(bench.machine)
    for _ in range(2):  # first after the launch is sent, then after the task is reported
        assert bench.owner.reserve(JOB, [("m1", 0)], 1, 1.0) == [False]
        bench.owner.stop([("m1", *KEY, 0.0, False)])
        assert not bench.gone()
        bench.report((KEY, "running", ""))


@pytest.mark.parametrize("value_kb, limit", [(8.0, 12), (32.0, 28)])
def test_scattered_tasks_are_committed_in_transactions_that_fit(
    value_kb: float, limit: int
) -> None:
    """Requeued or ended tasks that are spread over the chunks of a large job must not go into a
    single transaction, because the state service refuses a transaction that is too large."""
    size = chunk_size(value_kb)
    managed = ManagedJob(make_job(1, pieces=25000), 1, size, 0.0)
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
        managed.outcomes[next(iter(chunk.assigned))] = (
            4_000_000_000,
            True,
        )  # the other tasks keep running
    txn, chunks, covered, _ = outcome_txn(managed, 1, limit)
    assert 0 < len(chunks) <= limit and covered and len(json.dumps(txn.writes)) < 60 * 1024
    found: set[int] = set()
    managed.being_placed.clear()
    while more := managed.take_pending(500, limit):
        found.update(more)
    assert found == set(everything)  # no requeued task is lost


def test_machines_that_cannot_be_drained_keep_no_others_rented(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A round tries to drain at most four idle machines.

    If every round tried the same four machines, although their owner can't drain them yet, all
    other idle machines would stay rented for minutes.
    """
    harness = SingleController(monkeypatch)
    c, returned = harness.c, []
    job = make_job(1)
    c.jobs.live[job.id] = (job, 1)
    for number in range(6):
        harness.report(f"m{number}", "north", "plain")
        if number < 4:
            c.machines.reserve(job, [(f"m{number}", number)], 1, harness.now)
            c.machines.launch([(f"m{number}", f"j-000001/{number}", 1)])
            harness.report(f"m{number}", "north", "plain")
            c.machines.machines[f"m{number}"].reported_tasks[(f"j-000001/{number}", 1)] = (
                TaskStatus("exited", "done", False)
            )

    async def return_machines(names: list[str]) -> None:
        returned.extend(names)

    monkeypatch.setattr(c.cloud, "return_machines", return_machines)
    harness.now += 1000.0
    types = {t.name: t for t in c.catalogue.types}

    async def rounds() -> None:
        for _ in range(3):
            harness.now += 1.0
            c.machines.mark_all_changed()
            await c.provisioner._return_idle(types, [], [], NO_POLICY, harness.now)

    curio.run(rounds)
    assert sorted(returned) == ["m4", "m5"]


@pytest.mark.parametrize(
    "spare_tasks, returned, max_evaluations", [(0, 4, 1), (8, 4, 1), (16, 2, 7), (24, 0, 9)]
)
def test_idle_machines_are_evaluated_together(
    monkeypatch: pytest.MonkeyPatch, spare_tasks: int, returned: int, max_evaluations: int
) -> None:
    """A round considers four of six idle machines and keeps the room for expected tasks.

    The round first evaluates all four together, because an evaluation for each machine takes half
    of all processor time on a large fleet with little work.
    """
    harness = SingleController(monkeypatch)
    c, returned_names, evaluated = harness.c, [], []
    for number in range(6):  # of 8 CPUs each
        harness.report(f"m{number}", "north", "plain")

    async def return_machines(names: list[str]) -> None:
        returned_names.extend(names)

    lost = c.provisioner._unplaced_tasks

    def count(*args: Any) -> int:
        evaluated.append(args[1])
        return lost(*args)

    monkeypatch.setattr(c.cloud, "return_machines", return_machines)
    monkeypatch.setattr(type(c.provisioner), "_unplaced_tasks", staticmethod(count))
    harness.now += 1000.0
    c.machines.mark_all_changed()
    needs = [Demand(make_job(1, vcpus=2.0), spare_tasks)] if spare_tasks else []
    curio.run(
        c.provisioner._return_idle,
        {t.name: t for t in c.catalogue.types},
        [],
        needs,
        NO_POLICY,
        harness.now,
    )
    assert len(returned_names) == returned and len(evaluated) <= max_evaluations
    assert evaluated[0] == ["m0", "m1", "m2", "m3"]


def test_gangs_without_an_objective_get_machines_beside_arrays_with_one(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Backfill arrays of the lowest rank must not delay gangs without an objective that need whole
    GPU machines and no spot machines.

    On a recorded day on which only arrays had an objective, such gangs waited from the second to
    the ninth minute, because the arrays held the quarter of the fleet that all jobs without an
    objective share, and no machine was rented for the gangs.
    """
    harness = SingleController(monkeypatch)
    for number in range(8):
        harness.report(f"m{number}", "north", "plain", *(f"j-000007/{number}{n}" for n in range(4)))
    backfill_job = make_job(7, jobclass="unnamed", rank="best_effort", pieces=100)
    harness.c.jobs.live[backfill_job.id] = (backfill_job, 1)
    harness.c.machines.mark_all_changed()
    gang = harness.add_job(
        make_job(
            1, jobclass="unnamed", shape="ensemble", pieces=1, vcpus=16.0, cards=2.0, loaners=False
        )
    )
    harness.add_job(make_job(2, pieces=4))  # an array with an objective
    harness.run_pass()
    assert gang.placed_starts == []  # no machine fits yet
    waiting = harness.c.placer.demand_report.cluster_demand()
    bought = harness.c.provisioner.planner.plan_backfill(
        waiting, 64.0, harness.c.cached_state.index(), harness.c.placer.policy()
    )
    assert [kind[0] for kind in bought] == ["accel"] and not bought[0][2]
    # The gang preempts the tasks of the lowest rank on m9, but not the tasks of a job of its own
    # rank on m10.
    harness.report("m9", "north", "accel", *(f"j-000007/9{n}" for n in range(4)))
    harness.report("m10", "north", "accel", *(f"j-000005/{n}" for n in range(4)))
    other = make_job(5, jobclass="unnamed", pieces=100)
    harness.c.jobs.live[other.id] = (other, 1)
    harness.c.machines.mark_all_changed()
    harness.now += harness.c.membership.lease_ttl_s
    harness.run_pass()
    assert gang.placed_starts == [] and harness.c.machines.machines["m10"].pending_kills == {}
    assert {k[0] for k in harness.c.machines.machines["m9"].pending_kills} == {
        f"j-000007/9{n}" for n in range(4)
    }
    harness.report("m9", "north", "accel")
    harness.run_pass()
    assert gang.placed_starts == [(0, "m9")]
