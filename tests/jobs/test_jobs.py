"""A job's transactions and their conditions, verdicts on task events, and chunk sizes."""

from __future__ import annotations

import json
from typing import Any

import msgspec
import pytest

from clayport.jobs.eligibility import can_ever_run
from clayport.jobs.managed_job import ManagedJob
from clayport.jobs.transactions import outcome_txn, start_txn
from clayport.jobs.verdicts import Verdict
from clayport.machines.events import GONE
from clayport.model import MAX_TASKS, Job
from clayport.records.chunk import Chunk, chunk_size
from clayport.records.keys import chunk_key, end_key, live_key
from tests.world import job as wire_job


def make_managed_job(**fields: Any) -> ManagedJob:
    return ManagedJob(msgspec.convert(wire_job(1, **fields), Job), 5, 100, 0.0)


def start_tasks(managed: ManagedJob, count: int = 3, rev: int = 10) -> ManagedJob:
    numbers = managed.take_pending(count)
    managed.attempt += 1
    _, chunks = start_txn(managed, 7, [(n, "m1") for n in numbers], managed.attempt)
    managed.apply_commit(chunks, rev)
    for number in numbers:
        managed.being_placed.discard(number)
    return managed


def test_launch_is_fenced_by_epoch_job_and_chunk() -> None:
    """The commit fails if the job was cancelled or the epoch ended before the commit."""
    managed = make_managed_job()
    txn, _ = start_txn(managed, 7, [(0, "m1")], 1)
    assert txn.required_revs == {
        "c/generation": 7,
        live_key("j-000001"): 5,
        chunk_key("j-000001", 0): 0,
    }


def test_last_outcome_ends_the_job_in_the_same_transaction() -> None:
    managed = start_tasks(make_managed_job())
    for number in range(3):
        assert managed.handle_event("m1", number, 1, "exited", "done", 1.0) == Verdict.OK
    txn, _, covered, ends_job = outcome_txn(managed, 7, 9)
    assert ends_job and covered == [0, 1, 2]
    assert txn.required_revs[live_key("j-000001")] == 5 and txn.required_revs["c/generation"] == 7
    assert {w.get("write") or w.get("remove") for w in txn.writes} == {
        live_key("j-000001"),
        end_key("j-000001"),
        chunk_key("j-000001", 0),
    }


@pytest.mark.parametrize(
    "cause, requeued",
    [("done", 0), ("error", 1), ("stopped", 1), ("", 1), ("no_room", 1), ("mates_gone", 1)],
)
def test_tasks_that_are_not_done_are_requeued(cause: str, requeued: int) -> None:
    managed = start_tasks(make_managed_job())
    managed.handle_event("m1", 1, 1, "exited" if cause else GONE, cause, 1.0)
    _, chunks, covered, ends_job = outcome_txn(managed, 7, 9)
    assert not ends_job
    managed.apply_commit(chunks, 11)
    assert managed.clear_outcomes(covered) == [(1, 1)]
    assert managed.pending == requeued
    assert managed.take_pending(5) == [1] * requeued


def test_done_tasks_of_a_cancelled_job_are_not_recorded() -> None:
    managed = start_tasks(make_managed_job(pieces=3))
    managed.ended = "cancelled"
    for number in range(3):
        managed.handle_event("m1", number, 1, "exited", "done", 1.0)
    txn, chunks, _, ends_job = outcome_txn(managed, 7, 9)
    assert not ends_job and not chunks[0].done
    assert [w for w in txn.writes if "remove" in w] == [{"remove": chunk_key("j-000001", 0)}]


@pytest.mark.parametrize(
    "event, verdict",
    [
        (("m1", 0, 1, "running", ""), Verdict.OK),
        (("m2", 0, 1, "running", ""), Verdict.KILL),  # assigned elsewhere
        (("m1", 0, 9, "running", ""), Verdict.KILL),  # another attempt
        (("m1", 0, 9, "exited", "stopped"), Verdict.CLEAR),
        (("m1", 0, 9, GONE, ""), Verdict.OK),
        (("m1", 2, 1, "running", ""), Verdict.LATER),  # its start is being committed
    ],
)
def test_verdicts(event: tuple[str, int, int, str, str], verdict: Verdict) -> None:
    managed = start_tasks(make_managed_job(), 2)
    managed.take_pending(1)
    assert managed.handle_event(*event, 1.0) == verdict


def test_verdicts_keep_their_numbers_on_the_wire() -> None:
    """Controllers of the previous version send and read the numbers."""
    names = ["OK", "KILL", "CLEAR", "LATER", "JOB_AT_FAULT", "MACHINE_AT_FAULT"]
    assert [(verdict.name, int(verdict)) for verdict in Verdict] == [
        (name, number) for number, name in enumerate(names)
    ]


def test_gang_waits_for_the_last_task_of_its_failed_attempt() -> None:
    managed = start_tasks(make_managed_job(shape="ensemble"))
    for number in range(3):
        managed.handle_event("m1", number, 1, "running", "", 1.0)
    managed.handle_event("m1", 0, 1, "exited", "mates_gone", 1.0)
    assert [n for n, _, _ in managed.tasks_to_stop()] == [1, 2]
    _, chunks, covered, _ = outcome_txn(managed, 7, 9)
    managed.apply_commit(chunks, 11)
    managed.clear_outcomes(covered)
    assert managed.pending == 0
    for number in (1, 2):
        managed.handle_event("m1", number, 1, GONE, "", 2.0)
    _, chunks, covered, _ = outcome_txn(managed, 7, 9)
    managed.apply_commit(chunks, 12)
    managed.clear_outcomes(covered)
    assert managed.pending == 3 and managed.tasks_to_stop() == []


@pytest.mark.parametrize(
    "state, cause, filled",
    [
        ("waiting", "", True),
        ("pulling", "", True),
        ("running", "", False),  # the gang has started, so its attempt has failed
        ("waiting", "alone", False),  # the other tasks of the gang have stopped waiting
    ],
)
def test_gang_that_has_not_started_is_completed(state: str, cause: str, filled: bool) -> None:
    managed = start_tasks(make_managed_job(shape="ensemble"))
    for number in (1, 2):
        managed.handle_event("m1", number, 1, state, "", 1.0)
    managed.handle_event("m1", 0, 1, "exited" if cause else GONE, cause, 2.0)
    _, chunks, covered, _ = outcome_txn(managed, 7, 9)
    managed.apply_commit(chunks, 11)
    managed.clear_outcomes(covered)
    assert (managed.accepts_replacements, managed.pending) == (filled, 1 if filled else 0)
    assert bool(managed.tasks_to_stop()) != filled
    assert managed.lost_machines == {"m1"}  # the replacement goes elsewhere


def test_attempt_numbers_are_not_reused_after_a_change_of_leader() -> None:
    managed = start_tasks(make_managed_job())
    successor = make_managed_job()
    successor.load({0: Chunk.parse(json.loads(json.dumps(managed.chunks[0].value())), 10)})
    assert successor.attempt == 1 and successor.assigned == 3 and successor.pending == 0
    assert successor.assignments() == managed.assignments()


def test_confirmed_returns_of_machines_end_their_tasks() -> None:
    managed = start_tasks(make_managed_job())
    assert managed.mark_machines_gone({"m1"}) and not managed.mark_machines_gone({"m2"})
    assert set(managed.outcomes) == {0, 1, 2}


def test_job_that_fails_everywhere_backs_off() -> None:
    managed = make_managed_job(pieces=9)
    for index in range(3):
        managed.take_pending(1)
        _, chunks = start_txn(managed, 7, [(index, f"m{index}")], index + 1)
        managed.apply_commit(chunks, 10 + index)
        managed.handle_event(f"m{index}", index, index + 1, "exited", "error", 1.0)
    assert managed.not_before > 1.0


@pytest.mark.parametrize("value_kb", [8.0, 32.0])
def test_largest_job_fits_the_limits(value_kb: float) -> None:
    size = chunk_size(value_kb)
    chunk = Chunk()
    chunk.assigned = {MAX_TASKS - 1 - 2 * i: (2**32, "i-0000000000") for i in range(size // 2)}
    chunk.done = {MAX_TASKS - 2 - 2 * i for i in range(size // 2)}
    assert len(json.dumps(chunk.value(), separators=(",", ":"))) < value_kb * 1024
    managed = ManagedJob(msgspec.convert(wire_job(1, pieces=MAX_TASKS), Job), 5, size, 0.0)
    assert managed.pending == MAX_TASKS
    assert managed.take_pending(3) == [0, 1, 2] and managed.pending == MAX_TASKS - 3


@pytest.mark.parametrize(
    "fields, limit, ok",
    [
        ({"vcpus": 4.0}, (0.0, 0.0), True),  # no limit
        ({"vcpus": 4.0}, (4.0, 0.0), True),  # an array needs quota for one task
        ({"vcpus": 4.0, "shape": "ensemble"}, (8.0, 0.0), False),  # a gang needs it for all
        ({"vcpus": 4.0, "shape": "daemon"}, (12.0, 0.0), True),
        ({"cards": 2.0}, (0.0, 1.0), False),
    ],
)
def test_can_ever_run(fields: dict[str, Any], limit: tuple[float, float], ok: bool) -> None:
    assert can_ever_run(msgspec.convert(wire_job(1, **fields), Job), limit) == ok


def test_tasks_that_no_owner_reports_are_found() -> None:
    managed = ManagedJob(msgspec.convert(wire_job(1, pieces=3), Job), 1, 50, 0.0)
    _, chunks = start_txn(managed, 1, [(0, "m1"), (1, "m1"), (2, "m2")], 1)
    managed.apply_commit(chunks, 2)
    assert managed.find_unreported(0.0, 10.0) == set()  # just committed
    managed.handle_event("m1", 1, 1, "running", "", 5.0)
    assert managed.find_unreported(5.0, 10.0) == set()  # too soon for a second check
    assert managed.find_unreported(11.0, 10.0) == {0, 2}
    managed.handle_event("m2", 2, 1, "gone", "", 12.0)
    assert managed.find_unreported(22.0, 10.0) == {0}
