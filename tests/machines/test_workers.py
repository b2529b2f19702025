"""Tests of the table of machines: fencing tokens, reports and rooms."""

from __future__ import annotations

from typing import Any

import msgspec
import pytest

from clayport.machines.table import MachineTable
from clayport.machines.tokens import TOKEN_COUNTER_BITS
from clayport.membership.epoch import Epoch
from clayport.model import Job, MachineType, ReportedTask, WorkerHeartbeat
from tests.world import TYPES
from tests.world import job as wire_job

JOB = msgspec.convert(wire_job(1, pieces=9), Job)
KEY = ("j-000001/0", 1)


class OwnerHarness:
    """A table of machines with one machine, whose reports the test supplies."""

    def __init__(self) -> None:
        self.events: list[tuple[Any, ...]] = []
        self.cancelled_jobs: set[str] = set()
        self.owner = MachineTable(
            lambda j: JOB if j == JOB.id else None,
            self.cancelled_jobs.__contains__,
            lambda j, e: self.events.append(e),
            5.0,
            3.0,
            10.0,
        )
        self.owner.types = {t.name: t for t in msgspec.convert(TYPES, list[MachineType])}
        self.owner.begin_epoch(Epoch(3, {"c0": "x"}, 7), "c0")
        self.seq = 0

    def report(
        self,
        *tasks: tuple[tuple[str, int], str, str],
        token: int | None = None,
        session: int = 1,
        seq: int | None = None,
        notice: float | None = None,
    ) -> bool:
        self.seq += 1
        known = self.owner.machines.get("m1")
        report = WorkerHeartbeat(
            "m1",
            "m1:1",
            "plain",
            "north",
            False,
            session,
            self.seq if seq is None else seq,
            (known.token if known else 0) if token is None else token,
            [ReportedTask(k[0], k[1], s, w) for k, s, w in tasks],
            notice,
        )
        return self.owner.take_report(report, float(self.seq), True) is not None

    @property
    def machine(self) -> Any:
        return self.owner.machines["m1"]

    def gone(self) -> bool:
        return any(e[3] == "gone" for e in self.events)

    def launch(self) -> None:
        assert self.owner.reserve(JOB, [("m1", 0)], 1, 0.0) == [True]
        assert self.owner.launch([("m1", *KEY)]) == [1]


RUN = (KEY, "running", "")


@pytest.mark.parametrize(
    "steps, gone",
    [
        # The launch is answered, and a later report does not list the task.
        (["launch", "send", "answer", "report"], True),
        # The launch was sent directly, and a restarted worker would obey a copy of it. It is void
        # in the next session, or once the worker has reported the token that was raised for it.
        (["launch", "send_directly", "answer", "report"], False),
        (["launch", "send_directly", "answer", "report", "report"], True),
        (["launch", "send_directly", "answer", "session"], True),
        # The same task is adopted by a new leader in the same epoch.
        (["launch", "send_directly", "answer", "report", "adopt_again", "old_report"], False),
        (["launch", "send_directly", "answer", "report", "adopt_again", "report"], True),
        # The launch is not answered yet, so the command may still arrive.
        (["launch", "send", "report"], False),
        # The launch is not answered, and the report carries a token before the raised one.
        (["launch", "send", "lost", "old_report"], False),
        # After a report under the raised token the task is launched again.
        (["launch", "send", "lost", "report"], False),
        # The task is adopted from a record, and the report carries an earlier token.
        (["adopt", "old_report"], False),
        (["adopt", "report"], True),
        (["adopt", "running", "report"], True),
        (["adopt", "running"], False),
        # A reserved task is adopted, and its launch is never sent.
        (["reserve", "adopt", "report"], True),
        # A late report, with a lower sequence number, is dropped.
        (["adopt", "running", "late_report"], False),
        # A new session shows that the lease has expired.
        (["adopt", "running", "session"], True),
        # The task is killed before its launch is sent.
        (["launch", "kill"], True),
        # The task is killed while its launch is unanswered; only a fenced report proves it gone.
        (["launch", "send", "lost", "kill", "old_report"], False),
        (["launch", "send", "lost", "kill", "report"], True),
    ],
)
def test_task_is_gone_only_by_proof(steps: list[str], gone: bool) -> None:
    bench = OwnerHarness()
    bench.report()
    bench.report()
    sent: tuple[list[Any], list[Any]] = ([], [])
    for step in steps:
        if step == "launch":
            bench.launch()
        elif step == "reserve":
            bench.owner.reserve(JOB, [("m1", 0)], 1, 0.0)
        elif step == "adopt":
            bench.machine.fenced = False
            bench.owner.adopt([("m1", *KEY)], 0.0)
        elif step == "adopt_again":
            bench.owner.adopt([("m1", *KEY)], 0.0)
        elif step == "send_directly":
            sent = bench.owner.commands_to_send(bench.machine, direct=True)
        elif step == "send":
            sent = bench.owner.commands_to_send(bench.machine)
        elif step == "answer":
            bench.owner.answered(bench.machine, *sent)
        elif step == "lost":
            bench.owner.unanswered(bench.machine, sent[1], True, 0.0)
        elif step == "kill":
            bench.owner.stop([("m1", *KEY, 0.0, False)])
        elif step == "report":
            bench.report()
        elif step == "running":
            bench.report(RUN)
        elif step == "old_report":
            bench.report(token=bench.machine.token - 1)
        elif step == "late_report":
            assert not bench.report(seq=1)
        elif step == "session":
            bench.report(session=2, seq=1)
    assert bench.gone() == gone


def test_unanswered_command_raises_the_token() -> None:
    """A command in flight is void once the worker has seen a higher token."""
    bench = OwnerHarness()
    bench.report()
    bench.launch()
    token = bench.machine.token
    _, launches = bench.owner.commands_to_send(bench.machine)
    bench.owner.unanswered(bench.machine, launches, True, 0.0)
    assert bench.machine.token > token and not bench.machine.fenced
    # A request that was never sent leaves no command in flight.
    bench.owner.unanswered(bench.machine, [], False, 0.0)
    assert bench.machine.token == token + 1


def test_launch_needs_an_existing_reservation() -> None:
    """A launch request delayed in the network must not start an attempt that is gone."""
    bench = OwnerHarness()
    bench.report()
    assert bench.owner.launch([("m1", *KEY)]) == [0]
    bench.owner.reserve(JOB, [("m1", 0)], 1, 0.0)
    bench.owner.expire(100.0)
    assert bench.owner.launch([("m1", *KEY)]) == [0]
    assert bench.owner.launch([("elsewhere", *KEY)]) == [0]


def test_launch_is_idempotent() -> None:
    bench = OwnerHarness()
    bench.report()
    bench.launch()
    bench.owner.answered(bench.machine, *bench.owner.commands_to_send(bench.machine))
    assert bench.owner.launch([("m1", *KEY)]) == [1]
    assert bench.owner.commands_to_send(bench.machine) == ([], [])


def test_room_counts_everything_that_may_run() -> None:
    bench = OwnerHarness()
    bench.report()
    assert bench.owner.reserve(JOB, [("m1", n) for n in range(5)], 1, 0.0) == [True] * 4 + [False]
    assert bench.owner.room(bench.machine).cpus == 0.0


def test_new_idle_machine_raises_the_room_revision() -> None:
    """Otherwise peers miss the machine, because they fetch a table only at a new revision."""
    bench = OwnerHarness()
    before = bench.owner.room_rev
    bench.report()
    assert bench.owner.room_rev > before
    before = bench.owner.room_rev
    bench.report()
    assert bench.owner.room_rev == before
    bench.report(notice=10.0)
    assert bench.owner.room_rev > before and not bench.owner.accepts_work(bench.machine)


@pytest.mark.parametrize(
    "raised_by, accepted",
    [(0, True), (1, True), (1 << TOKEN_COUNTER_BITS - 1, True), (1 << TOKEN_COUNTER_BITS, False)],
)
def test_only_a_token_of_a_later_epoch_is_rejected(raised_by: int, accepted: bool) -> None:
    """A higher token of the same epoch, issued by a peer, is adopted.

    Commands under the previous token are void, but a report under the new token does not prove
    that a queued task is gone.
    """
    bench = OwnerHarness()
    bench.report()
    bench.launch()
    token = bench.machine.token + raised_by
    report = WorkerHeartbeat("m1", "m1:1", "plain", "north", False, 1, 99, token, [])
    assert bench.owner.accepts_token(report) == accepted
    if accepted:
        bench.owner.take_report(report, 1.0, True)
        assert bench.machine.token == token and bench.machine.fenced and not bench.gone()
        assert bench.report(token=token - 1, seq=100)
        assert not bench.machine.fenced


@pytest.mark.parametrize(
    "reports, accepts_work",
    [
        ([(1, True)], True),
        # The lease has expired, and the worker only answers commands.
        ([(1, True), (2, False)], False),
        ([(1, True), (2, False), (2, False)], False),
        # The worker reports again, or reported before a command was answered in its new session.
        ([(1, True), (2, False), (2, True)], True),
        ([(1, True), (2, True), (2, False)], True),
        # A new owner that has only received a command's answer cannot know of an expiry.
        ([(4, False)], True),
    ],
)
def test_machine_with_expired_lease_takes_no_work(
    reports: list[tuple[int, bool]], accepts_work: bool
) -> None:
    bench = OwnerHarness()
    for seq, (session, reported) in enumerate(reports, 1):
        report = WorkerHeartbeat("m1", "m1:1", "plain", "north", False, session, seq, 1, [])
        bench.owner.take_report(report, float(seq), reported)
    assert (
        bench.owner.accepts_work(bench.machine)
        == accepts_work
        == bench.owner.room(bench.machine).open
    )


def test_new_epoch_keeps_machines_and_clears_their_tasks() -> None:
    bench = OwnerHarness()
    bench.report()
    bench.report(RUN)
    token = bench.machine.token
    bench.owner.begin_epoch(Epoch(4, {"c0": "x"}, 9), "c0")
    assert bench.machine.token > token and not bench.machine.fenced and not bench.machine.desired
    bench.owner.begin_epoch(Epoch(5, {"c1": "y"}, 10), "c0")
    assert bench.owner.machines == {}


def test_unhealthy_machine_takes_no_work() -> None:
    bench = OwnerHarness()
    bench.report()
    bench.report((KEY, "exited", "error"))
    assert bench.owner.accepts_work(bench.machine)
    bench.report((KEY, "exited", "error"), (("j-000002/0", 1), "exited", "error"))
    assert not bench.owner.accepts_work(bench.machine)


def test_preemption_saves_checkpoints_within_the_grace_period() -> None:
    for grace, expected in ((10.0, 4.0), (1.0, 0.0)):
        bench = OwnerHarness()
        low = msgspec.convert(
            wire_job(1, pieces=9, rank="best_effort", snapshot_every_s=15.0, snapshot_s=4.0), Job
        )
        bench.owner.job_of = lambda _, low=low: low
        bench.report()
        bench.report(*(((f"j-000001/{n}", 1), "running", "") for n in range(4)))
        high = msgspec.convert(wire_job(2, rank="high", vcpus=4.0), Job)
        bench.owner.preempt(high, "m1", grace, 1.0)
        assert list(bench.machine.pending_kills.values()) == [expected] * 2
        assert bench.owner.reserve(msgspec.convert(wire_job(3), Job), [("m1", 0)], 1, 1.5) == [
            False
        ]


@pytest.mark.parametrize("borrowers, stopped", [([], False), (["free"], True), (["tight"], False)])
def test_guaranteed_quota_preempts_borrowing_teams(borrowers: list[str], stopped: bool) -> None:
    bench = OwnerHarness()
    bench.report()
    bench.report(*(((f"j-000001/{n}", 1), "running", "") for n in range(4)))
    claim = msgspec.convert(wire_job(2, owner="tight"), Job)
    assert bench.owner.preempt(claim, "m1", 9.0, 1.0, borrowers) == stopped
    assert len(bench.machine.pending_kills) == stopped


@pytest.mark.parametrize(
    "steps, emitted",
    [(["adopt"], True), (["reserve", "launch"], True), (["reserve"], False), ([], False)],
)
def test_leaders_get_events_of_a_returned_machine(steps: list[str], emitted: bool) -> None:
    """Otherwise a leader that takes over after the announcement of the return waits forever."""
    bench = OwnerHarness()
    bench.report()
    if "reserve" in steps:
        bench.owner.reserve(JOB, [("m1", 0)], 1, 0.0)
    if "launch" in steps:
        bench.owner.launch([("m1", *KEY)])
    if "adopt" in steps:
        bench.owner.machine("m1", 0.0).known = False
        bench.owner.adopt([("m1", *KEY)], 0.0)
    bench.owner.remove_machines(["m1"])
    assert bench.gone() == emitted and "m1" not in bench.owner.machines


def test_uncleared_exit_is_emitted_again() -> None:
    """Otherwise a lost answer of the leader keeps the machine rented until the next epoch."""
    bench = OwnerHarness()
    bench.report()
    bench.launch()
    bench.owner.answered(bench.machine, *bench.owner.commands_to_send(bench.machine))
    done = (KEY, "exited", "done")
    bench.report(done)
    emitted = len(bench.events)
    bench.report(done)
    assert len(bench.events) == emitted and not bench.owner.drain("m1")
    bench.report(done)
    assert [e[1:5] for e in bench.events[emitted:]] == [(*KEY, "exited", "done")]
    bench.owner.stop([("m1", *KEY, 0.0, True)])
    bench.report()
    assert bench.owner.drain("m1")
