"""The merge of what is still known: any of it, in any order."""

from __future__ import annotations

from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from clayport.rebuild.evidence import Evidence, Task, pack, unpack
from clayport.rebuild.history import History, anchor_key
from clayport.rebuild.merge import merge
from clayport.rebuild.plan import in_order, transactions
from clayport.records.chunk import Chunk
from clayport.records.keys import chunk_key, parse_chunk_key
from clayport.records.values import end_value
from tests.world import job as wire_job

LABELS = ["c0", "c1", "c2"]
JOBS = [wire_job(n, pieces=4, owner="tight", cards=1.0) for n in range(4)]
NAMES = [j["id"] for j in JOBS]
LIMITS = {"tight": (0.0, 4.0), "free": (0.0, 0.0)}
SIZE = 2  # tasks in a chunk

places = st.tuples(st.integers(1, 4), st.sampled_from(["m1", "m2", "m3"]))


@st.composite
def chunks(draw: Any) -> dict[str, Any]:
    """What somebody holds of the jobs' tasks."""
    found = {}
    for name in draw(st.sets(st.sampled_from(NAMES))):
        for index in draw(st.sets(st.integers(0, 1), min_size=1)):
            chunk = Chunk()
            for number in (index * SIZE, index * SIZE + 1):
                what = draw(st.one_of(st.none(), st.just("done"), places))
                if what == "done":
                    chunk.done.add(number)
                elif what is not None:
                    chunk.assigned[number] = what
            chunk.last_attempt = draw(st.integers(0, 3)) + max(
                (a for a, _ in chunk.assigned.values()), default=0
            )
            found[chunk_key(name, index)] = chunk.value()
    return found


lives = st.sets(st.sampled_from(NAMES)).map(
    lambda names: {n: (JOBS[NAMES.index(n)], 10.0) for n in names}
)
ends = st.dictionaries(st.sampled_from(NAMES), st.sampled_from(["done", "cancelled"]), max_size=2)


@st.composite
def evidence(draw: Any, label: str) -> Evidence:
    number = draw(st.integers(1, 2))
    return Evidence(
        label,
        label,
        number,
        {x: x for x in LABELS} if number == 2 else {"c0": "c0"},
        draw(st.booleans()),
        draw(lives),
        {n: (s, 5.0, JOBS[NAMES.index(n)]) for n, s in draw(ends).items()},
        draw(chunks()),
        {label: 3},
        {},
        {"m1": "m1:1"},
    )


@st.composite
def records(draw: Any) -> dict[str, tuple[Any, int]]:
    found: dict[str, tuple[Any, int]] = {k: (v, 7) for k, v in draw(chunks()).items()}
    for name, status in draw(ends).items():
        found[f"end/{name}"] = (end_value(status, 5.0, JOBS[NAMES.index(name)]), 7)
    for name, (desc, at) in draw(lives).items():
        if f"end/{name}" not in found:
            found[f"c/live/{name}"] = ({"j": desc, "t": at}, 7)
    if draw(st.booleans()):
        found["quota/tight"] = ({"c": 0.0, "g": 3.0}, 7)
    return found


listed = st.lists(
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


def applied(
    here: dict[str, tuple[Any, int]], changes: dict[str, Any]
) -> dict[str, tuple[Any, int]]:
    after = {k: v for k, v in here.items() if k not in changes}
    after.update({k: (v, 9) for k, v in changes.items() if v is not None})
    return after


def held(here: dict[str, tuple[Any, int]]) -> dict[tuple[str, int], tuple[int, str]]:
    return {
        (parse_chunk_key(k)[0], n): where
        for k, (v, _) in here.items()
        if k.startswith("run/")
        for n, where in Chunk.parse(v, 1).assigned.items()
    }


@settings(max_examples=400, deadline=None, derandomize=True)
@given(
    records(),
    st.tuples(*(st.one_of(st.none(), evidence(x)) for x in LABELS)),
    listed,
    st.permutations(LABELS),
)
def test_any_evidence_in_any_order(
    here: dict[str, tuple[Any, int]],
    found: tuple[Evidence | None, ...],
    seen: list[Task],
    order: list[str],
) -> None:
    parts = {e.label: e for e in found if e is not None}
    merged = merge(here, parts, seen, LIMITS, SIZE)
    other = merge(here, {x: parts[x] for x in order if x in parts}, seen[::-1], LIMITS, SIZE)
    assert merged.changes == other.changes
    after = applied(here, merged.changes)
    again = merge(after, parts, seen, LIMITS, SIZE)
    assert again.changes == {}, "once is enough"
    # Nobody is made up, and nobody is both.
    known = {k.rpartition("/")[2] for k in here if k.startswith(("c/live/", "end/"))} | {
        n for e in parts.values() for n in (*e.live, *e.ended)
    }
    live = {k[len("c/live/") :] for k in after if k.startswith("c/live/")}
    over = {k[len("end/") :] for k in after if k.startswith("end/")}
    assert live | over == known and not live & over
    # Whoever knows of an end has told it.
    for e in parts.values():
        assert set(e.ended) <= over
    # No assignment is made up, and an attempt is never used again.
    words = [here, *({k: (v, 1) for k, v in e.chunks.items()} for e in parts.values())]
    now = held(after)
    named = {(n, *where) for w in words for n, where in held(w).items()} | {
        ((t.job, t.number), t.attempt, t.machine) for t in seen
    }
    assert {(n, *where) for n, where in now.items() if n[0] in known} <= named
    # What may run stays assigned where it may run, or is done.
    done = {
        (parse_chunk_key(k)[0], n)
        for k, (v, _) in after.items()
        if k.startswith("run/")
        for n in Chunk.parse(v, 1).done
    }
    for task, where in held(here).items():
        if task[0] in known and task not in now:
            assert (
                task in done or any(task in done_of(e) for e in parts.values()) or task[0] in over
            ), where
    # The team's quota is what is assigned.
    cards = sum(1.0 for job, _ in now if job in known)
    quota = after.get("quota/tight", ({"g": 0.0}, 0))[0]["g"]
    assert quota == pytest.approx(cards)


def done_of(e: Evidence) -> set[tuple[str, int]]:
    return {(parse_chunk_key(k)[0], n) for k, v in e.chunks.items() for n in Chunk.parse(v, 1).done}


@settings(max_examples=60, deadline=None, derandomize=True)
@given(records(), st.integers(1, 6), st.tuples(*(evidence(x) for x in LABELS)))
def test_it_is_written_in_transactions_that_fit(
    here: dict[str, tuple[Any, int]], most: int, found: tuple[Evidence, ...]
) -> None:
    changes = merge(here, {e.label: e for e in found}, (), LIMITS, SIZE).changes
    txns = list(transactions(changes, here, ("c/~x", 5), most))
    written = [w.get("write", w.get("remove")) for t in txns for w in t.writes]
    assert written == in_order(changes) and set(written) == set(changes)
    for txn in txns:
        assert 0 < len(txn.writes) <= most and txn.when["c/~x"] == 5
        for w in txn.writes:
            key = w.get("write", w.get("remove"))
            assert txn.when[key] == here.get(key, (None, 0))[1]


def test_the_word_of_a_jobs_home_holds_and_machines_are_believed_without_it() -> None:
    name = NAMES[0]
    stored, said = Chunk(), Chunk()
    stored.assigned, stored.last_attempt = {0: (1, "m1"), 1: (1, "m1")}, 1
    said.assigned, said.last_attempt = {0: (2, "m2")}, 2
    here = {
        f"c/live/{name}": ({"j": JOBS[0], "t": 1.0}, 3),
        chunk_key(name, 0): (stored.value(), 4),
    }
    seen = [Task(name, 0, 5, "m3")]
    for loaded, first in ((True, (2, "m2")), (False, (5, "m3"))):
        e = Evidence("c0", "c0", 1, {"c0": "c0"}, loaded, chunks={chunk_key(name, 0): said.value()})
        after = applied(here, merge(here, {"c0": e}, seen, LIMITS, SIZE).changes)
        assert held(after) == {(name, 0): first, (name, 1): (1, "m1")}
        assert Chunk.parse(after[chunk_key(name, 0)][0], 1).last_attempt == (2 if loaded else 5)


def test_evidence_travels_whole_or_not_at_all() -> None:
    e = Evidence("c0", "x", live={NAMES[0]: (JOBS[0], 3.5)}, remembered=Evidence("d", ""))
    parts = pack(e)
    assert unpack(parts) == e
    raw = b"".join(parts)
    for cut in range(0, len(raw), 7):
        with pytest.raises(ValueError):
            unpack([raw[:cut]])


@pytest.mark.parametrize(
    "rev, floor, wrote, good",
    [(10, 10, False, True), (9, 10, False, False), (10, 10, True, False), (11, 10, True, True)],
)
def test_a_revision_says_whether_there_is_a_gap(
    rev: int, floor: int, wrote: bool, good: bool
) -> None:
    """After a write the revision is higher than before: at what it was, one has been lost."""
    doubts: list[str] = []
    history = History(lambda: doubts.append("doubt"))
    history.join("x", 1, {anchor_key(p, "x"): 3 for p in ("c/", "run/")}, 0)
    assert history.check_revision(rev, floor, wrote) == good
    assert bool(doubts) != good and bool(history.suspicion) != good


@pytest.mark.parametrize(
    "keys, anchors",
    [
        (["c/generation"], {"c/~x"}),
        (["run/j-1/0", "quota/t"], {"c/~x", "run/~x", "quota/~x"}),
        ([], {"c/~x"}),
        (["end/j-1"], {"c/~x", "end/~x"}),
    ],
)
def test_a_commit_names_the_anchors_of_what_it_touches(keys: list[str], anchors: set[str]) -> None:
    history = History()
    assert history.conditions(keys) == {}
    history.join("x", 1, {anchor_key(p, "x"): 3 for p in ("c/", "run/", "end/", "quota/")}, 3)
    assert set(history.conditions(keys)) == anchors
    assert history.check_failed_keys(anchors) and history.suspicion


@pytest.mark.parametrize(
    "said, doubted, floor",
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
def test_what_a_peer_says_of_the_history(said: Any, doubted: bool, floor: int) -> None:
    history = History()
    history.join("x", 1, {}, 3)
    history.note_peer(*said)
    assert bool(history.suspicion) == doubted and history.highest_revision == floor
