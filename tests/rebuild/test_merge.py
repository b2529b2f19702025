"""Tests of the merge of evidence, of the transactions that write its result, and of loss detection.

The property tests draw arbitrary records and evidence, as they may remain after a loss of records
that any subset of the controllers survives."""

from __future__ import annotations

from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from clayport.rebuild.evidence import Evidence, Task, pack, unpack
from clayport.rebuild.history import History, anchor_key
from clayport.rebuild.merge import merge
from clayport.rebuild.plan import transactions, write_order
from clayport.records.chunk import Chunk
from clayport.records.keys import chunk_key, parse_chunk_key
from clayport.records.values import end_value
from tests.world import job as wire_job

LABELS = ["c0", "c1", "c2"]
JOBS = [wire_job(n, pieces=4, owner="tight", cards=1.0) for n in range(4)]
NAMES = [j["id"] for j in JOBS]
LIMITS = {"tight": (0.0, 4.0), "free": (0.0, 0.0)}
SIZE = 2  # tasks in a chunk

assignments = st.tuples(st.integers(1, 4), st.sampled_from(["m1", "m2", "m3"]))


@st.composite
def chunks(draw: Any) -> dict[str, Any]:
    """Draw chunk records of any of the jobs."""
    chunk_records = {}
    for name in draw(st.sets(st.sampled_from(NAMES))):
        for index in draw(st.sets(st.integers(0, 1), min_size=1)):
            chunk = Chunk()
            for number in (index * SIZE, index * SIZE + 1):
                state = draw(st.one_of(st.none(), st.just("done"), assignments))
                if state == "done":
                    chunk.done.add(number)
                elif state is not None:
                    chunk.assigned[number] = state
            chunk.last_attempt = draw(st.integers(0, 3)) + max(
                (a for a, _ in chunk.assigned.values()), default=0
            )
            chunk_records[chunk_key(name, index)] = chunk.value()
    return chunk_records


live_jobs = st.sets(st.sampled_from(NAMES)).map(
    lambda names: {n: (JOBS[NAMES.index(n)], 10.0) for n in names}
)
job_ends = st.dictionaries(
    st.sampled_from(NAMES), st.sampled_from(["done", "cancelled"]), max_size=2
)


@st.composite
def evidence(draw: Any, label: str) -> Evidence:
    epoch = draw(st.integers(1, 2))
    return Evidence(
        label,
        label,
        epoch,
        {x: x for x in LABELS} if epoch == 2 else {"c0": "c0"},
        draw(st.booleans()),
        draw(live_jobs),
        {n: (s, 5.0, JOBS[NAMES.index(n)]) for n, s in draw(job_ends).items()},
        draw(chunks()),
        {label: 3},
        {},
        {"m1": "m1:1"},
    )


@st.composite
def records(draw: Any) -> dict[str, tuple[Any, int]]:
    result: dict[str, tuple[Any, int]] = {k: (v, 7) for k, v in draw(chunks()).items()}
    for name, status in draw(job_ends).items():
        result[f"end/{name}"] = (end_value(status, 5.0, JOBS[NAMES.index(name)]), 7)
    for name, (desc, at) in draw(live_jobs).items():
        if f"end/{name}" not in result:
            result[f"c/live/{name}"] = ({"j": desc, "t": at}, 7)
    if draw(st.booleans()):
        result["quota/tight"] = ({"c": 0.0, "g": 3.0}, 7)
    return result


reported_tasks = st.lists(
    st.builds(
        Task,
        st.sampled_from(NAMES),
        st.integers(0, 3),
        st.integers(1, 5),
        st.sampled_from(["m1", "m2"]),
    ),
    max_size=4,
    unique_by=lambda t: (t.job, t.number),
)


def apply_changes(
    stored: dict[str, tuple[Any, int]], changes: dict[str, Any]
) -> dict[str, tuple[Any, int]]:
    after = {k: v for k, v in stored.items() if k not in changes}
    after.update({k: (v, 9) for k, v in changes.items() if v is not None})
    return after


def assignments_in(stored: dict[str, tuple[Any, int]]) -> dict[tuple[str, int], tuple[int, str]]:
    return {
        (parse_chunk_key(k)[0], n): where
        for k, (v, _) in stored.items()
        if k.startswith("run/")
        for n, where in Chunk.parse(v, 1).assigned.items()
    }


@settings(max_examples=400, deadline=None, derandomize=True)
@given(
    records(),
    st.tuples(*(st.one_of(st.none(), evidence(x)) for x in LABELS)),
    reported_tasks,
    st.permutations(LABELS),
)
def test_merge_keeps_invariants_and_ignores_evidence_order(
    stored: dict[str, tuple[Any, int]],
    evidence_list: tuple[Evidence | None, ...],
    reported: list[Task],
    order: list[str],
) -> None:
    evidence_by_label = {e.label: e for e in evidence_list if e is not None}
    merged = merge(stored, evidence_by_label, reported, LIMITS, SIZE)
    reordered = merge(
        stored,
        {x: evidence_by_label[x] for x in order if x in evidence_by_label},
        reported[::-1],
        LIMITS,
        SIZE,
    )
    assert merged.changes == reordered.changes
    after = apply_changes(stored, merged.changes)
    second = merge(after, evidence_by_label, reported, LIMITS, SIZE)
    assert second.changes == {}, "a second merge finds no changes"
    # Each known job has either a live or a final record, and no job is invented.
    known = {k.rpartition("/")[2] for k in stored if k.startswith(("c/live/", "end/"))} | {
        n for e in evidence_by_label.values() for n in (*e.live, *e.ended)
    }
    live = {k[len("c/live/") :] for k in after if k.startswith("c/live/")}
    ended = {k[len("end/") :] for k in after if k.startswith("end/")}
    assert live | ended == known and not live & ended
    # Every job end that a controller knows of is kept, because the user may have been told of it.
    for e in evidence_by_label.values():
        assert set(e.ended) <= ended
    # Each assignment, with its attempt number, comes from the records, the evidence or a machine.
    sources = [
        stored,
        *({k: (v, 1) for k, v in e.chunks.items()} for e in evidence_by_label.values()),
    ]
    assigned = assignments_in(after)
    known_assignments = {
        (n, *where) for source in sources for n, where in assignments_in(source).items()
    } | {((t.job, t.number), t.attempt, t.machine) for t in reported}
    assert {(n, *where) for n, where in assigned.items() if n[0] in known} <= known_assignments
    # A task keeps its stored assignment unless the task is done or its job has ended.
    done = {
        (parse_chunk_key(k)[0], n)
        for k, (v, _) in after.items()
        if k.startswith("run/")
        for n in Chunk.parse(v, 1).done
    }
    for task, where in assignments_in(stored).items():
        if task[0] in known and task not in assigned:
            assert (
                task in done
                or any(task in done_tasks_in(e) for e in evidence_by_label.values())
                or task[0] in ended
            ), where
    # The team's quota record equals the assigned resources.
    cards = sum(1.0 for job, _ in assigned if job in known)
    quota = after.get("quota/tight", ({"g": 0.0}, 0))[0]["g"]
    assert quota == pytest.approx(cards)


def done_tasks_in(e: Evidence) -> set[tuple[str, int]]:
    return {(parse_chunk_key(k)[0], n) for k, v in e.chunks.items() for n in Chunk.parse(v, 1).done}


@settings(max_examples=60, deadline=None, derandomize=True)
@given(records(), st.integers(1, 6), st.tuples(*(evidence(x) for x in LABELS)))
def test_transactions_fit_and_require_revisions_as_read(
    stored: dict[str, tuple[Any, int]], txn_ops: int, evidence_list: tuple[Evidence, ...]
) -> None:
    changes = merge(stored, {e.label: e for e in evidence_list}, (), LIMITS, SIZE).changes
    txns = list(transactions(changes, stored, ("c/~x", 5), txn_ops))
    written = [write.get("write", write.get("remove")) for t in txns for write in t.writes]
    assert written == write_order(changes) and set(written) == set(changes)
    for txn in txns:
        assert 0 < len(txn.writes) <= txn_ops and txn.required_revs["c/~x"] == 5
        for write in txn.writes:
            key = write.get("write", write.get("remove"))
            assert txn.required_revs[key] == stored.get(key, (None, 0))[1]


def test_leader_evidence_decides_and_machine_reports_count_without_it() -> None:
    name = NAMES[0]
    stored_chunk, leader_chunk = Chunk(), Chunk()
    stored_chunk.assigned, stored_chunk.last_attempt = {0: (1, "m1"), 1: (1, "m1")}, 1
    leader_chunk.assigned, leader_chunk.last_attempt = {0: (2, "m2")}, 2
    stored = {
        f"c/live/{name}": ({"j": JOBS[0], "t": 1.0}, 3),
        chunk_key(name, 0): (stored_chunk.value(), 4),
    }
    reported = [Task(name, 0, 5, "m3")]
    for loaded, expected in ((True, (2, "m2")), (False, (5, "m3"))):
        e = Evidence(
            "c0", "c0", 1, {"c0": "c0"}, loaded, chunks={chunk_key(name, 0): leader_chunk.value()}
        )
        after = apply_changes(stored, merge(stored, {"c0": e}, reported, LIMITS, SIZE).changes)
        assert assignments_in(after) == {(name, 0): expected, (name, 1): (1, "m1")}
        assert Chunk.parse(after[chunk_key(name, 0)][0], 1).last_attempt == (2 if loaded else 5)


@pytest.mark.parametrize("status", ["done", "cancelled"])
def test_an_ended_job_with_assigned_tasks_keeps_its_description(status: str) -> None:
    """Guards against ended jobs whose usage stays charged, as nobody leads one without it.

    The state service has lost the end of the job, and a controller knows of the end alone.
    """
    name, chunk = NAMES[0], Chunk()
    chunk.assigned, chunk.last_attempt = {0: (1, "m1"), 1: (1, "m1")}, 1
    stored = {
        f"c/live/{name}": ({"j": JOBS[0], "t": 1.0}, 3),
        chunk_key(name, 0): (chunk.value(), 4),
    }
    evidence = Evidence("c0", "c0", 1, {"c0": "c0"}, ended={name: (status, 9.0, None)})
    changes = merge(stored, {"c0": evidence}, [], LIMITS, SIZE).changes
    assert changes[f"end/{name}"] == {"s": status, "t": 9.0, "j": JOBS[0]}
    assert changes["quota/tight"]["g"] == 2.0


def test_truncated_evidence_is_rejected() -> None:
    e = Evidence("c0", "x", live={NAMES[0]: (JOBS[0], 3.5)}, remembered=Evidence("d", ""))
    parts = pack(e)
    assert unpack(parts) == e
    raw = b"".join(parts)
    for cut in range(0, len(raw), 7):
        with pytest.raises(ValueError):
            unpack([raw[:cut]])


@pytest.mark.parametrize(
    "rev, highest_revision, wrote, valid",
    [(10, 10, False, True), (9, 10, False, False), (10, 10, True, False), (11, 10, True, True)],
)
def test_too_low_revision_makes_history_suspect(
    rev: int, highest_revision: int, wrote: bool, valid: bool
) -> None:
    """A successful write raises the revision, so an unchanged one shows that the write was lost."""
    suspicions: list[str] = []
    history = History(lambda: suspicions.append("doubt"))
    history.join("x", 1, {anchor_key(p, "x"): 3 for p in ("c/", "run/")}, 0)
    assert history.check_revision(rev, highest_revision, wrote) == valid
    assert bool(suspicions) != valid and bool(history.suspicion) != valid


@pytest.mark.parametrize(
    "keys, anchors",
    [
        (["c/generation"], {"c/~x"}),
        (["run/j-1/0", "quota/t"], {"c/~x", "run/~x", "quota/~x"}),
        ([], {"c/~x"}),
        (["end/j-1"], {"c/~x", "end/~x"}),
    ],
)
def test_commit_requires_anchors_of_touched_prefixes(keys: list[str], anchors: set[str]) -> None:
    history = History()
    assert history.conditions(keys) == {}
    history.join("x", 1, {anchor_key(p, "x"): 3 for p in ("c/", "run/", "end/", "quota/")}, 3)
    assert set(history.conditions(keys)) == anchors
    assert history.check_failed_keys(anchors) and history.suspicion


@pytest.mark.parametrize(
    "reply, suspect, highest_revision",
    [
        (("x", 1, 20, False), False, 20),
        (("x", 1, 2, False), False, 3),
        (("x", 1, 9, True), True, 9),
        (("y", 1, 9, False), True, 3),
        (("y", 2, 9, False), True, 3),
        (("y", 0, 99, True), False, 3),
        (("", 0, 99, True), False, 3),
    ],
)
def test_peer_history_is_compared_with_own(
    reply: Any, suspect: bool, highest_revision: int
) -> None:
    history = History()
    history.join("x", 1, {}, 3)
    history.note_peer(*reply)
    assert bool(history.suspicion) == suspect and history.highest_revision == highest_revision
