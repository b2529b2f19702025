"""Jobs with prerequisites: readiness, cancellation and urgency, and checks of submissions.

Also the compatibility of records and frames with the previous version, and splits of chunks.
"""

from __future__ import annotations

import json
import math
from typing import Any

import curio
import msgspec
import pytest

from clayport.controller import Controller
from clayport.jobs.managed_job import ManagedJob
from clayport.jobs.transactions import split_txn
from clayport.membership.epoch import Epoch
from clayport.model import Job
from clayport.records.chunk import Chunk, chunk_size
from clayport.records.keys import chunk_key, end_key, live_key, parse_chunk_key
from clayport.records.values import end_value, live_value, parse_end, truncate_end
from clayport.scheduling.dependencies import DependencyGraph
from clayport.settings import ConfigError, parse
from clayport.transport import frames
from tests.jobs.test_dispatch import SingleController
from tests.world import SETTINGS, Clock, World, job, simulate


def make_job(number: int, *prereq_numbers: int, **fields: Any) -> Job:
    return msgspec.convert(
        job(number, prereqs=[f"j-{n:06d}" for n in prereq_numbers] or None, **fields), Job
    )


def job_id(number: int) -> str:
    return f"j-{number:06d}"


# -- the dependency graph -----------------------------------------------------


# The step (3, 1, 2) accepts job 3 with the prerequisites 1 and 2, the step "d3" marks job 3 as
# done, and the step "c3" cancels job 3.
@pytest.mark.parametrize(
    "steps, waiting, doomed",
    [
        ([(1,), (2, 1)], {2}, set()),
        ([(1,), (2, 1), "d1"], set(), set()),
        ([(1,), "d1", (2, 1)], set(), set()),
        ([(2, 1), "d1"], set(), set()),  # job 2 is accepted before its prerequisite
        ([(2, 1), (1,), "d1"], set(), set()),
        ([(1,), (2,), (3, 1, 2), "d1"], {3}, set()),
        ([(1,), (2,), (3, 1, 2), "d1", "d2"], set(), set()),
        ([(1,), (2, 1, 1), "d1"], set(), set()),  # the prerequisite is named twice
        ([(1,), (2, 1), "c1"], {2}, {2}),
        ([(1,), "c1", (2, 1)], {2}, {2}),
        ([(1,), (2, 1), (3, 2), (4, 3), "c1"], {2, 3, 4}, {2, 3, 4}),
        ([(1,), (2, 1), (3, 1), (4, 2, 3), "c2"], {3, 4}, {4}),  # the other branch is not cancelled
        ([(1,), (2, 1), (3, 2), "c1", (4, 3)], {2, 3, 4}, {2, 3, 4}),
        ([(1,), (3, 2), "c1", (2, 1)], {2, 3}, {2, 3}),  # job 2, between jobs 1 and 3, comes last
        ([(1,), (2, 1), "c1", "c2"], set(), set()),
        ([(1,), (2, 1), "c1", "d1"], {2}, {2}),  # final records never change
        ([(1,), (2, 1), "c2"], set(), set()),  # the prerequisite of a cancelled job is not affected
    ],
)
def test_ready_and_doomed(steps: list[Any], waiting: set[int], doomed: set[int]) -> None:
    dependencies = DependencyGraph(1.0, 0.0)
    for step in steps:
        if isinstance(step, str):
            dependencies.record_end(
                job_id(int(step[1:])), "done" if step[0] == "d" else "cancelled", 5.0
            )
        else:
            dependencies.add(make_job(*step), 1.0)
    assert {n for n in dependencies.nodes if dependencies.is_waiting(n)} == {
        job_id(n) for n in waiting
    }
    assert set(dependencies.to_cancel) == {job_id(n) for n in doomed}


def test_cancellation_clears_a_wide_and_deep_graph() -> None:
    dependencies = DependencyGraph(1.0, 0.0)
    dependencies.add(make_job(0), 0.0)
    for n in range(1, 61):
        dependencies.add(make_job(n, n - 1), 0.0)
    for n in range(100, 600):
        dependencies.add(make_job(n, 0), 0.0)
    ready, doomed, _ = dependencies.record_end(job_id(0), "cancelled", 1.0)
    assert not ready and len(doomed) == 560
    for found in doomed:
        dependencies.record_end(found, "cancelled", 2.0)
    assert not dependencies.nodes and not dependencies.dependents and not dependencies.to_cancel


LAST_JOB_FIELDS = {"rank": "high", "due_s": 100.0, "guess_s": 8.0, "image_gb": 1.0}


@pytest.mark.parametrize(
    "jobs, ends, found",
    [
        # `found` maps a job to its rank and its deadline, in seconds after the job became ready.
        # Each job fetches its image for 1 s and runs for 8 s.
        (
            [make_job(1), make_job(2, 1), make_job(3, 2, **LAST_JOB_FIELDS)],
            {},
            {1: (2, 82.0), 2: (2, 91.0), 3: (2, 100.0)},
        ),
        (
            [make_job(3, 2, **LAST_JOB_FIELDS), make_job(2, 1), make_job(1)],
            {},
            {1: (2, 82.0), 2: (2, 91.0), 3: (2, 100.0)},
        ),
        (
            [make_job(1), make_job(2, 1), make_job(3, 2, **LAST_JOB_FIELDS)],
            {1: 30.0},
            {2: (2, 61.0), 3: (2, 100.0)},
        ),
        # The more urgent of two dependents sets the deadline, until that dependent ends.
        (
            [
                make_job(1),
                make_job(2, 1, **LAST_JOB_FIELDS),
                make_job(3, 1, **{**LAST_JOB_FIELDS, "due_s": 40.0}),
            ],
            {},
            {1: (2, 31.0), 2: (2, 100.0), 3: (2, 40.0)},
        ),
        (
            [
                make_job(1),
                make_job(2, 1, **LAST_JOB_FIELDS),
                make_job(3, 1, **{**LAST_JOB_FIELDS, "due_s": 40.0}),
            ],
            {3: 5.0},
            {1: (2, 91.0), 2: (2, 100.0)},
        ),
        ([make_job(1), make_job(2, 1, **LAST_JOB_FIELDS)], {2: 5.0}, {1: (1, None)}),
        # The job's own deadline, or its class's limit, may be earlier than the inherited deadline.
        (
            [make_job(1, due_s=20.0), make_job(2, 1, **LAST_JOB_FIELDS)],
            {},
            {1: (2, 20.0), 2: (2, 100.0)},
        ),
        (
            [make_job(1, jobclass="timed"), make_job(2, 1, **LAST_JOB_FIELDS)],
            {},
            {1: (2, 50.0), 2: (2, 100.0)},
        ),
        # A dependent without a deadline doesn't change the job's deadline.
        ([make_job(1, rank="production"), make_job(2, 1)], {}, {1: (3, None), 2: (1, None)}),
    ],
)
def test_prerequisites_inherit_urgency(
    jobs: list[Job], ends: dict[int, float], found: dict[int, tuple[int, float | None]]
) -> None:
    dependencies = DependencyGraph(1.0, 0.0)
    for description in jobs:
        dependencies.add(description, 0.0)
    for number, at in ends.items():
        dependencies.record_end(job_id(number), "done" if number == 1 else "cancelled", at)
    effective_jobs = {n: dependencies.effective_job(job_id(n), {"timed": 50.0}) for n in found}
    assert {n: (v.rank, v.deadline_s) for n, v in effective_jobs.items()} == found


def test_cyclic_prerequisites_keep_urgency_finite() -> None:
    dependencies = DependencyGraph(1.0, 0.0)
    dependencies.add(make_job(1, 2, due_s=9.0), 0.0)
    dependencies.add(make_job(2, 1), 0.0)
    assert math.isfinite(dependencies.nodes[job_id(2)].due_at)


# -- prerequisites in submissions ---------------------------------------------


def serving_controller(world: World) -> Controller:
    return next(c for c in world.controllers.values() if c.membership.serving)


async def start_world(clock: Clock, controllers: int = 1, **kept: Any) -> World:
    world = World(clock, 1, controllers)
    for label in world.labels:
        await world.start(label)
    await curio.spawn(world.spawner, daemon=True)
    while not all(c.membership.serving and c.catalogue.types for c in world.controllers.values()):
        await curio.sleep(0.1)
    return world


@pytest.mark.parametrize(
    "prereqs, status",
    [
        (None, 201),
        ([], 201),
        (["j-000001"], 201),
        (["j-000001", "j-000001"], 201),
        (["j-000002"], 201),  # done
        (["j-000003"], 201),  # cancelled
        (["j-000009"], 422),  # never accepted
        (["j-000001", "j-000009"], 422),
        (["j-000008", "j-000009"], 422),
        (["j-000100"], 422),  # itself
        (["j-000004"], 422),  # a service would never be done
        (["elsewhere"], 400),
        ("j-000001", 400),
        ([1], 400),
        ([None], 400),
        ({}, 400),
        ([f"j-{n:06d}" for n in range(1000)], 400),  # the record would exceed the size limit
        ([f"j-{n:06d}" for n in range(1001)], 400),
    ],
)
def test_which_prerequisites_a_submission_may_name(
    monkeypatch: pytest.MonkeyPatch, prereqs: Any, status: int
) -> None:
    async def main(clock: Clock) -> list[int]:
        world = await start_world(clock)
        c = serving_controller(world)
        for number, fields in ((1, {}), (2, {}), (3, {}), (4, {"shape": "daemon"})):
            await world.submit(job(number, **fields), 1e9)
        world.state.commit(
            {
                "when": [],
                "writes": [
                    {"remove": live_key(job_id(2))},
                    {"write": end_key(job_id(2)), "data": {"s": "done"}},
                ],
            }
        )
        await world.abort(job_id(3))
        await curio.sleep(0.5)
        body = msgspec.json.encode(job(100, prereqs=prereqs))
        found = []
        for forget in (False, True):
            if forget:  # simulates a restart after which the watch hasn't caught up
                if status == 201:
                    world.state.commit(
                        {
                            "when": [],
                            "writes": [
                                {"remove": live_key(job_id(100))},
                                {"remove": end_key(job_id(100))},
                            ],
                        }
                    )
                for known in (
                    c.jobs.live,
                    c.jobs.ended,
                    c.jobs.dependencies.nodes,
                    c.jobs.dependencies.ends,
                ):
                    known.clear()
            found.append((await c.user_api.handle("POST", "/api/jobs", body))[0])
        # A repeated submission is not rejected, even if its prerequisites have changed state.
        found.append((await c.user_api.handle("POST", "/api/jobs", body))[0])
        return found

    repeated_status = 200 if status == 201 else status
    assert simulate(monkeypatch, main) == [status, status, repeated_status]


def test_prerequisites_are_refused_until_all_controllers_are_upgraded(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A controller of the previous version would start the job at once."""

    async def main(clock: Clock) -> Any:
        world = World(clock, 1, 2)
        world.old_version_controllers.add("c1")
        for label in world.labels:
            await world.start(label)
        await curio.sleep(20.0)
        await world.submit(job(1), 1e9)
        body = msgspec.json.encode(job(2, prereqs=[job_id(1)]))
        before = await world.controllers["c0"].user_api.handle("POST", "/api/jobs", body)
        for old in (True, False):  # c1 restarts with the old version first, then with the new one
            await world.crash("c1")
            await curio.sleep(2.0)
            if not old:
                world.old_version_controllers.clear()
            await world.start("c1")
            await curio.sleep(20.0)
            assert [c.upgrade.complete for c in world.controllers.values()] == [not old] * 2
        after = await world.controllers["c0"].user_api.handle("POST", "/api/jobs", body)
        return before[0], before[2], after[0]

    assert simulate(monkeypatch, main) == (503, [("Retry-After", "1")], 201)


# -- cancellation -------------------------------------------------------------


@pytest.mark.parametrize("scenario", ["crash", "crash_all", "outage", "late"])
def test_cancellation_reaches_all_dependents(
    monkeypatch: pytest.MonkeyPatch, scenario: str
) -> None:
    """The leaders need nothing but the records to cancel the dependents of a cancelled job."""

    async def main(clock: Clock) -> World:
        world = await start_world(clock, 3)
        await curio.spawn(world.watch_rules, daemon=True)
        await world.submit(job(0, pieces=200), 1e9)
        for n in range(1, 31):
            await world.submit(job(n, prereqs=[job_id(n - 1)]), 1.0)
        for n in range(100, 160):
            await world.submit(job(n, prereqs=[job_id(0), job_id(1)]), 1.0)
        if scenario != "late":
            await world.abort(job_id(0))
        cancelled_at = clock()
        if scenario == "crash":
            await world.crash(world.labels[0])
        elif scenario == "crash_all":
            for label in world.labels:
                await world.crash(label)
            for label in world.labels:
                await world.start(label)
        elif scenario == "outage":
            world.state.outage(clock(), 12.0)
        else:
            await curio.spawn(world.abort, job_id(0), daemon=True)
            await world.submit(job(200, prereqs=[job_id(30)]), 1.0)
            cancelled_at = clock()
        while clock() < cancelled_at + 30.0:
            await curio.sleep(1.0)
            if not any(k.startswith("c/live/") for k in world.state.keys):
                break
        ends = {k: v[0]["s"] for k, v in world.state.keys.items() if k.startswith("end/")}
        assert set(ends.values()) == {"cancelled"} and len(ends) == len(world.accepted)
        return world

    assert simulate(monkeypatch, main).violations == []


def test_a_lost_watch_event_delays_a_dependent_for_a_bounded_time(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def main(clock: Clock) -> float:
        world = await start_world(clock)
        c = serving_controller(world)
        await world.submit(job(1, pieces=1), 5.0)
        await world.submit(job(2, prereqs=[job_id(1)], pieces=1), 5.0)
        monkeypatch.setattr(
            c.record_replica, "_apply", lambda change: None
        )  # the watch delivers no more changes
        await curio.sleep(1.0)
        c.jobs.managed[job_id(1)].ended = "done"  # simulates that another leader ended the job
        world.state.commit(
            {
                "when": [],
                "writes": [
                    {"remove": live_key(job_id(1))},
                    {"write": end_key(job_id(1)), "data": {"s": "done"}},
                ],
            }
        )
        world.results[job_id(1)] = {0}
        before = clock()
        while c.jobs.managed[job_id(2)].blocked:
            await curio.sleep(0.5)
        return clock() - before

    assert simulate(monkeypatch, main) < 20.0


# -- records and frames shared with the previous version ----------------------

# Records exactly as the previous version writes them.
PREVIOUS_RECORDS = {
    "live": '{"j":{"id":"j-000001","jobclass":"batch","owner":"free","shape":"sweep",'
    '"rank":"normal","pieces":200,"vcpus":2.0,"cards":0.0,"ram_gb":4.0,"bundle":"img-1",'
    '"image_gb":1.0,"together":false,"scatter":false,"loaners":true,"guess_s":8.0,'
    '"snapshot_every_s":0.0,"snapshot_s":0.0,"flavors":null,"site":null,"due_s":null,'
    '"aimless":false}}',
    "chunk": '{"a":[[131,4,"i-000001"],[199,5,"i-000002"]],"d":[[132,140],[150,150]],"n":5}',
    "done": '{"s":"done"}',
    "cancelled": '{"s":"cancelled","j":{"id":"j-000001"}}',
}


def test_records_of_the_previous_version_are_read() -> None:
    read = msgspec.convert(json.loads(PREVIOUS_RECORDS["live"])["j"], Job)
    assert (read.tasks, read.prereqs, read.deadline_s) == (200, None, None)
    chunk = Chunk.parse(json.loads(PREVIOUS_RECORDS["chunk"]), 7)
    assert chunk.assigned == {131: (4, "i-000001"), 199: (5, "i-000002")}
    assert json.dumps(chunk.value(), separators=(",", ":")) == PREVIOUS_RECORDS["chunk"]
    assert [parse_end(json.loads(PREVIOUS_RECORDS[k])) for k in ("done", "cancelled")] == [
        ("done", None),
        ("cancelled", None),
    ]


def test_written_records_are_readable_by_the_previous_version() -> None:
    """The previous version requires these keys, and ignores unknown keys of a description."""
    value = live_value(make_job(1), 5.0)
    needed = {
        k
        for k, v in json.loads(PREVIOUS_RECORDS["live"])["j"].items()
        if v is not None and k != "aimless"
    }
    assert needed <= set(value["j"]) and set(value) == {"j", "t"}
    assert end_value("done", 5.0) == {"s": "done", "t": 5.0}
    managed = ManagedJob(make_job(1, pieces=200), 1, chunk_size(8.0), 0.0)
    assert [managed.key(i) for i in (0, 1)] == ["run/j-000001/00000", "run/j-000001/00001"]
    assert managed.chunk_size == 131


@pytest.mark.parametrize(
    "raw, kind, values",
    [
        (
            "c1a702010000000100000030"
            "000000026330"
            "0000000000000003"
            "01"
            "0000000000000007"
            "00000001"
            "000000016a"
            "00000002"
            "4000000000000000"
            "00000000",
            frames.PING,
            ("c0", 3, True, 7, [("j", 2, 2.0, "")]),
        ),
        (
            "c1a7020200000001000000170000000263300000000000000003010000000000000007",
            frames.PONG,
            ("c0", 3, True, 7),
        ),
        (
            "c1a70203000000010000002b"
            "0000000000000003"
            "000000086a2d303030303031"
            "0000000000000002"
            "00000001"
            "00000003692d31"
            "00000005",
            frames.RESERVE,
            (3, "j-000001", 2, [("i-1", 5)]),
        ),
        ("c1a702040000000100000006010000000101", frames.RESERVED, (True, [(True,)])),
        (
            "c1a702050000000100000029"
            "0000000000000003"
            "00000001"
            "00000003692d31"
            "0000000a6a2d3030303030312f35"
            "0000000000000002",
            frames.LAUNCH,
            (3, [("i-1", "j-000001/5", 2)]),
        ),
        (
            "c1a702060000000100000032"
            "0000000000000003"
            "00000001"
            "00000003692d31"
            "0000000a6a2d3030303030312f35"
            "0000000000000002"
            "3ff8000000000000"
            "00",
            frames.STOP,
            (3, [("i-1", "j-000001/5", 2, 1.5, False)]),
        ),
        ("c1a70208000000010000000101", frames.ACK, (True,)),
        ("c1a70209000000010000000c000000000000000300000000", frames.TASK_STATES, (3, [])),
        (
            "c1a7020d0000000100000019000000086a2d3030303030310000000963616e63656c6c6564",
            frames.JOB_ENDED,
            ("j-000001", "cancelled"),
        ),
    ],
)
def test_frames_equal_those_of_the_previous_version(raw: str, kind: int, values: Any) -> None:
    """A controller of the previous version drops a connection on another version number, an unknown
    kind, or leftover bytes."""
    frame = bytes.fromhex(raw)
    found, number, size = frames.decode_header(frame[: frames.HEADER.size])
    body = frame[frames.HEADER.size :]
    assert (found, size) == (kind, len(body))
    assert frames.decode_body(kind, body) == values
    assert frames.encode(kind, number, values) == frame


@pytest.mark.parametrize(
    "key, found",
    [
        ("run/j-000001/00003", ("j-000001", 0, 3)),
        ("run/j-000001/32.00003", ("j-000001", 32, 3)),
        ("run/j-000001", None),
        ("run/j-000001/x", None),
        ("run/j-000001/x.3", None),
    ],
)
def test_chunk_keys_are_parsed_and_built(key: str, found: tuple[str, int, int] | None) -> None:
    if found is None:
        with pytest.raises(ValueError):
            parse_chunk_key(key)
    else:
        assert parse_chunk_key(key) == found
        assert chunk_key(found[0], found[2], found[1]) == key


# -- narrower chunks ----------------------------------------------------------


class FakeStore:
    """A fake state service that checks the conditions and the limits of transactions."""

    def __init__(self) -> None:
        self.rev, self.keys = 10, {}  # type: ignore[var-annotated]

    def commit(self, txn: Any, ops: int, value_kb: float) -> int:
        for key, rev in txn.required_revs.items():
            assert key == "c/generation" or self.keys.get(key, (None, 0))[1] == rev, key
        assert 0 < len(txn.writes) <= ops and len(txn.required_revs) <= 4 * ops
        self.rev += 1
        for write in txn.writes:
            if "remove" in write:
                del self.keys[write["remove"]]
            else:
                assert len(json.dumps(write["data"])) <= value_kb * 1024
                self.keys[write["write"]] = (json.loads(json.dumps(write["data"])), self.rev)
        return self.rev

    def load_job(self, pieces: int, value_kb: float) -> ManagedJob:
        managed = ManagedJob(make_job(1, pieces=pieces), 1, chunk_size(value_kb), 0.0)
        managed.load_all(
            {parse_chunk_key(k)[1:]: Chunk.parse(v, r) for k, (v, r) in self.keys.items()}
        )
        return managed


def tasks_of(managed: ManagedJob) -> tuple[dict[int, tuple[int, str]], set[int], int]:
    return (
        {n: (a, m) for n, a, m in managed.assignments()},
        {n for c in managed.chunks.values() for n in c.done},
        managed.attempt,
    )


@pytest.mark.parametrize("value_kb, least_kb, ops", [(32.0, 2.0, 10), (8.0, 2.0, 5), (8.0, 1.0, 4)])
@pytest.mark.parametrize("ends_after", [0, 1, 2, 3, 7, 12, 100])
def test_an_interrupted_split_is_completed_by_the_next_leader(
    value_kb: float, least_kb: float, ops: int, ends_after: int
) -> None:
    """No task changes, no matter after which transaction of the split the first leader ended."""
    pieces, store = 1200, FakeStore()
    managed = store.load_job(pieces, value_kb)
    for index in range(0, pieces // managed.chunk_size + 1):
        chunk = managed.chunks[index] = Chunk()
        chunk.last_attempt = 9 if index == 2 else 3
        numbers = range(index * managed.chunk_size, min(pieces, (index + 1) * managed.chunk_size))
        if index == 2:
            continue  # the chunk holds only its last attempt number
        chunk.assigned = {n: (3, f"i-{n:06d}") for n in numbers if n % 3 == 1}
        chunk.done = {n for n in numbers if n % 5 == 0 and n % 3 != 1}
        store.keys[managed.key(index)] = (chunk.value(), 10)
    if 2 in managed.chunks:
        store.keys[managed.key(2)] = (managed.chunks[2].value(), 10)
    narrow = chunk_size(least_kb)
    whole = tasks_of(store.load_job(pieces, value_kb))
    steps = 0
    for _ in range(2):  # the second leader completes the first leader's split
        managed = store.load_job(pieces, value_kb)
        assert tasks_of(managed) == whole
        managed.split_chunks(narrow)
        assert tasks_of(managed) == whole and managed.chunk_size == narrow
        written: set[int] = set()
        while managed.wider_chunks and (steps < ends_after or _):
            txn, chunks, deleted = split_txn(managed, 1, ops, written)
            managed.apply_commit(chunks, store.commit(txn, ops, least_kb))
            written.update(chunks)
            for key in deleted:
                del managed.wider_chunks[key]
            steps += 1
    managed = store.load_job(pieces, value_kb)
    assert tasks_of(managed) == whole and not managed.wider_chunks and managed.layout == narrow
    assert not managed.split_chunks(narrow)


def test_attempt_numbers_are_not_reused_after_a_split() -> None:
    """A worker that still lists an attempt ignores a launch with the same attempt number."""
    store = FakeStore()
    empty = Chunk()
    empty.last_attempt = 9
    store.keys["run/j-000001/00000"] = (empty.value(), 10)
    managed = store.load_job(500, 32.0)
    written: set[int] = set()
    assert managed.split_chunks(32)
    while managed.wider_chunks:
        txn, chunks, deleted = split_txn(managed, 1, 5, written)
        managed.apply_commit(chunks, store.commit(txn, 5, 2.0))
        written.update(chunks)
        for key in deleted:
            del managed.wider_chunks[key]
    assert store.load_job(500, 32.0).attempt == 9


def test_jobs_that_fit_one_narrow_chunk_are_not_split() -> None:
    managed = ManagedJob(make_job(1, pieces=30), 1, chunk_size(32.0), 0.0)
    managed.load_all({(0, 0): Chunk()})
    assert not managed.split_chunks(chunk_size(2.0)) and managed.key(0) == "run/j-000001/00000"


def test_a_description_that_no_longer_fits_can_be_cancelled() -> None:
    """The job was accepted under a larger limit. If its final record didn't fit the new limit, the
    job could not be cancelled, and its tasks would continue to run."""
    desc = live_value(make_job(1, flavors=[f"type-{n:020d}" for n in range(64)]), 0.0)["j"]
    value = end_value("cancelled", 5.0, desc)
    assert len(json.dumps(value)) > 2048 and truncate_end(value, 8.0) == value
    small = truncate_end(value, 2.0)
    assert len(json.dumps(small)) < 2048
    kept = msgspec.convert(small["j"], Job)
    assert (kept.team, kept.cpus, kept.tasks) == ("free", 2.0, 3)


@pytest.mark.parametrize(
    "announced, least, error",
    [
        (None, (250.0, 100.0, 8.0, 16), ""),
        ({}, (250.0, 100.0, 8.0, 16), ""),
        ({"value_kb": 2.0, "txn_ops": 5, "write_rps": 70.0}, (250.0, 70.0, 2.0, 5), ""),
        ({"value_kb": 64.0, "rps": 300.0}, (250.0, 100.0, 8.0, 16), ""),
        ({"else": 1}, (250.0, 100.0, 8.0, 16), ""),
        ({"txn_ops": 3}, None, "txn_ops"),
        ({"value_kb": 0}, None, "value_kb"),
        ({"write_rps": "many"}, None, "write_rps"),
        ([], None, "next"),
    ],
)
def test_limits_include_announced_lower_ones(announced: Any, least: Any, error: str) -> None:
    state = {**SETTINGS["state"], "next": announced}
    raw = json.dumps(
        {
            "label": "c0",
            "bind": "127.0.0.1:1",
            "peer_bind": "127.0.0.1:2",
            "members": [],
            "services": {"cloud": "cloud:1", "state": "state:1"},
            "cluster": {"size": 1, **SETTINGS, "state": state},
        }
    ).encode()
    if error:
        with pytest.raises(ConfigError, match=error):
            parse(raw)
    else:
        found = parse(raw).cluster.state.strictest()
        assert (found.rps, found.write_rps, found.value_kb, found.txn_ops) == least


@pytest.mark.parametrize("age, stops", [(0.0, 0), (15.0, 0), (60.0, 1)])
def test_an_inherited_rank_preempts_only_without_time_to_spare(
    monkeypatch: pytest.MonkeyPatch, age: float, stops: int
) -> None:
    """Otherwise jobs with time to spare would preempt tasks; on a saturated fleet, a tenth of all
    tasks were preempted in this way."""
    harness = SingleController(monkeypatch)
    c = harness.c
    for description in (make_job(1, rank="best_effort"), make_job(2, 1, rank="high", due_s=100.0)):
        c.jobs.dependencies.add(description, harness.now)
    job = c.jobs.dependencies.effective_job(job_id(1), {})
    assert (
        job.rank == 2
        and c.placer.room_maker.max_preempted_rank(job, age, c.objectives.can_wait(job, age))
        == stops
    )
    last = c.jobs.dependencies.effective_job(job_id(2), {})
    assert c.placer.room_maker.max_preempted_rank(last, 0.0, True) == 1


@pytest.mark.parametrize(
    "reported, rev, upgraded",
    [
        ({"c0": (2, 5), "c1": (2, 7)}, 8, True),
        # The epoch is not newer than c1's version record, so a transaction of c1's previous process
        # may still be committed under it.
        ({"c0": (2, 5), "c1": (2, 7)}, 7, False),
        ({"c0": (2, 5), "c1": (2, 7)}, 6, False),
        ({"c0": (2, 5)}, 9, False),  # c1 has not reported its version and may run the old one
        ({"c0": (2, 5), "c1": (1, 6)}, 9, False),
        ({"c0": (3, 5), "c1": (2, 7), "gone": (1, 8)}, 9, True),
    ],
)
def test_when_the_upgrade_is_complete(
    monkeypatch: pytest.MonkeyPatch, reported: dict[str, tuple[int, int]], rev: int, upgraded: bool
) -> None:
    """All configured controllers must have reported the new version before the epoch began."""
    c = SingleController(monkeypatch).c
    assert set(c.settings.labels) == {"c0", "c1"}
    c.upgrade.formats, c.membership.epoch = reported, Epoch(9, {"c0": "x"}, rev)
    c.versions.count_versions()
    assert c.upgrade.complete == upgraded
    c.upgrade.formats = {}
    c.versions.count_versions()
    assert c.upgrade.complete == upgraded  # an upgrade stays complete
