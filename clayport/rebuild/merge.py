"""What the records have to be, from all that is still known. Pure: no I/O, no clock.

The rules, each with its reason:

- An end beats a live record: final records never change, and a user has been told.
- A live record that anybody has seen is restored: its user has been told 201.
- Done tasks are united: whoever says so has seen the result.
- The word of a job's home in the last epoch holds for its tasks, if the home is there:
  no machine is told to start anything before its home knows of it. What the home holds for
  free and the state service holds for assigned stays assigned, until its machine has said
  otherwise: it may be a commit whose answer was lost.
- Where the home is not there, each task that a machine lists is assigned to it, if its record
  names no other machine that lists it: it runs there.
- Attempts are never below the highest that was seen anywhere.
- A quota is the sum of what is assigned in the end, no less.

Nothing is made up: each value is there, in the records or in the evidence, and what may run
stays assigned.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from typing import Any, NamedTuple

import msgspec

from clayport.jobs.committed_tasks import CommittedTasks
from clayport.jobs.eligibility import is_metered, quota_usage
from clayport.membership.rendezvous import rendezvous
from clayport.model import Job
from clayport.rebuild.evidence import Evidence, Task, split
from clayport.rebuild.history import is_anchor
from clayport.records.chunk import Chunk
from clayport.records.keys import chunk_key, end_key, live_key, parse_chunk_key, quota_key
from clayport.records.values import end_value, parse_quota

Values = Mapping[str, tuple[Any, int]]  # key: value, revision


class Merged(NamedTuple):
    """The changes that the records need (None: to be removed), and what was found."""

    changes: dict[str, Any]
    jobs: int  # live jobs in the end
    found: int  # of these, how many the state service had lost
    ended: int  # final records restored
    unknown: set[str]  # jobs that machines list and nobody knows


class Chunks(NamedTuple):
    """A job's chunks by their numbers, and the size that their keys say (0: none)."""

    layout: int
    chunks: dict[int, Chunk]
    keys: set[str]


def merge(
    records: Values,
    parts: Mapping[str, Evidence],
    listed: Iterable[Task],
    limits: Mapping[str, tuple[float, float]],
    first_size: int,
) -> Merged:
    """What is to be changed of `records` (anchors aside). `limits` are the teams', `first_size`
    the tasks in a chunk whose key says no size."""
    order = sorted(parts.values(), key=lambda e: (-e.epoch, e.label))
    ended = _ended(records, order)
    live = _live(records, order, ended)
    ended_descriptions: dict[str, Job] = {}
    for name in (*live, *ended):
        raw = live[name][0] if name in live else ended[name][2]
        if raw is not None:
            ended_descriptions[name] = msgspec.convert(raw, Job)
    members, leaders = split(parts)
    stored = _by_job(
        ((k, v) for k, (v, _) in records.items() if k.startswith("run/") and not is_anchor(k)),
        first_size,
    )
    said = {label: _by_job(e.chunks.items(), first_size) for label, e in leaders.items()}
    # What is older than the last epoch says what was done, and which attempts were used.
    before = [_by_job(e.chunks.items(), first_size) for e in order if leaders.get(e.label) is not e]
    seen: dict[str, list[Task]] = {}
    for task in listed:
        seen.setdefault(task.job, []).append(task)
    changes: dict[str, Any] = {}
    used: dict[str, list[float]] = {}
    for name in sorted({*live, *ended, *stored, *(j for s in said.values() for j in s)}):
        if name not in live and name not in ended:
            continue  # nobody knows what it was
        for known in before:
            if name in known:
                stored[name] = _older(stored.get(name), known[name], first_size)
        leader = said.get(rendezvous(name, members))
        over = name in ended
        here = _united(
            stored.get(name),
            leader.get(name) if leader is not None else None,
            () if leader is not None else seen.get(name, ()),
            first_size,
            over,
        )
        left = sum(len(c.assigned) for c in here.chunks.values())
        wanted = {
            chunk_key(name, i, here.layout): c
            for i, c in here.chunks.items()
            if c.assigned or not over
        }
        for key in here.keys - set(wanted):
            changes[key] = None
        for key, chunk in wanted.items():
            if not _same(records.get(key), chunk):
                changes[key] = chunk.value()
        if left and name in ended_descriptions:
            _charge(used, ended_descriptions[name], left, limits)
        if over:
            _final(changes, records, name, ended[name], left > 0)
        elif live_key(name) not in records:
            changes[live_key(name)] = {"j": live[name][0], "t": round(live[name][1], 3)}
    _quotas(changes, records, used, limits)
    for e in order:
        for label, number in e.versions.items():
            key = f"c/version/{label}"
            if number and key not in records:
                changes[key] = {"format": max(number, changes.get(key, {}).get("format", 0))}
        for job_class, desc in e.classes.items():
            key = f"c/class/{job_class}"
            if key not in records:
                changes.setdefault(key, {"j": desc})
    return Merged(
        changes,
        len(live),
        sum(live_key(n) not in records for n in live),
        sum(end_key(n) not in records for n in ended),
        {j for j in seen if j not in live and j not in ended},
    )


def _ended(records: Values, order: Iterable[Evidence]) -> dict[str, tuple[str, float, Any]]:
    """How jobs ended. What a controller knows has been told to a user, or will have been."""
    found: dict[str, tuple[str, float, Any]] = {}
    for e in order:
        for name, (status, at, desc) in e.ended.items():
            known = found.get(name)
            if known is None:
                found[name] = (status, at, desc)
            elif known[0] == status:
                found[name] = (status, known[1] or at, desc if known[2] is None else known[2])
    for key, (value, _) in records.items():
        if key.startswith("end/") and not is_anchor(key):
            name = key[len("end/") :]
            known = found.get(name)
            if known is None or known[0] == value["s"]:
                desc = value.get("j", known[2] if known else None)
                found[name] = (value["s"], float(value.get("t", 0.0)), desc)
    for e in order:
        for name, (desc, _) in e.live.items():
            if name in found and found[name][2] is None:
                found[name] = (*found[name][:2], desc)
    return found


def _live(
    records: Values, order: Iterable[Evidence], ended: Mapping[str, Any]
) -> dict[str, tuple[Any, float]]:
    found: dict[str, tuple[Any, float]] = {}
    for key, (value, _) in records.items():
        if key.startswith("c/live/") and key[len("c/live/") :] not in ended:
            found[key[len("c/live/") :]] = (value["j"], float(value.get("t", 0.0)))
    for e in order:
        for name, (desc, at) in e.live.items():
            if name not in ended:
                known = found.get(name)
                # The first to have seen it: urgency and age count from the submission.
                if known is None or (live_key(name) not in records and at < known[1]):
                    found[name] = (desc, at)
    return found


def _by_job(rows: Iterable[tuple[str, Any]], first_size: int) -> dict[str, Chunks]:
    """Chunks by job, as its home would read them."""
    raw: dict[str, dict[tuple[int, int], Chunk]] = {}
    keys: dict[str, set[str]] = {}
    for key, value in rows:
        job, size, index = parse_chunk_key(key)
        raw.setdefault(job, {})[size, index] = Chunk.parse(value, 1)
        keys.setdefault(job, set()).add(key)
    found = {}
    for job, chunks in raw.items():
        committed = CommittedTasks(_ANY, first_size)
        committed.load_all(chunks)
        found[job] = Chunks(committed.layout, committed.chunks, keys[job])
    return found


def _united(
    stored: Chunks | None, said: Chunks | None, seen: Iterable[Task], first_size: int, over: bool
) -> Chunks:
    """A job's chunks from what is stored, what its home says, and what machines list. Of a
    job that is over all that is listed is still to be cleared, done or not."""
    lead = said or stored or Chunks(0, {}, set())
    size = lead.layout or first_size
    chunks = {i: c.copy() for i, c in lead.chunks.items()}
    keys = set(stored.keys) if stored else set()

    def at(number: int) -> Chunk:
        return chunks.setdefault(number // size, Chunk())

    if said is not None and stored is not None:
        for chunk in stored.chunks.values():
            for number in chunk.done:
                mine = at(number)
                mine.done.add(number)
                if not over:
                    mine.assigned.pop(number, None)
            for number, (attempt, machine) in chunk.assigned.items():
                mine = at(number)
                if number not in mine.assigned and (over or number not in mine.done):
                    mine.assigned[number] = (attempt, machine)
                mine.last_attempt = max(mine.last_attempt, attempt)
        for index, chunk in stored.chunks.items():
            if stored.layout == lead.layout and index in chunks:
                chunks[index].last_attempt = max(chunks[index].last_attempt, chunk.last_attempt)
    rows = list(seen)
    where = {(t.number, t.attempt, t.machine) for t in rows}
    for task in sorted(rows, key=lambda t: (t.number, -t.attempt, t.machine)):
        mine = at(task.number)
        if over:
            mine.done.discard(task.number)
        known = mine.assigned.get(task.number)
        if task.number not in mine.done and (known is None or (task.number, *known) not in where):
            mine.assigned[task.number] = (task.attempt, task.machine)
        mine.last_attempt = max(mine.last_attempt, task.attempt)
    return Chunks(lead.layout, chunks, keys)


def _older(stored: Chunks | None, known: Chunks, first_size: int) -> Chunks:
    """The same with what an older copy says was done, and the attempts that it has seen."""
    lead = stored or Chunks(known.layout, {}, set())
    size = lead.layout or first_size
    chunks = {i: c.copy() for i, c in lead.chunks.items()}
    most = max((c.last_attempt for c in known.chunks.values()), default=0)
    for chunk in known.chunks.values():
        for number in (*chunk.done, *chunk.assigned):
            mine = chunks.setdefault(number // size, Chunk())
            mine.last_attempt = max(mine.last_attempt, most)
            if number in chunk.done:
                mine.done.add(number)
                mine.assigned.pop(number, None)
    return Chunks(lead.layout, chunks, lead.keys)


def _same(stored: tuple[Any, int] | None, chunk: Chunk) -> bool:
    if stored is None:
        return not chunk.assigned and not chunk.done and chunk.last_attempt == 0
    known = Chunk.parse(stored[0], 1)
    return (known.assigned, known.done, known.last_attempt) == (
        chunk.assigned,
        chunk.done,
        chunk.last_attempt,
    )


def _charge(
    used: dict[str, list[float]], job: Job, count: int, limits: Mapping[str, tuple[float, float]]
) -> None:
    cpus, gpus = quota_usage(job, count)
    if is_metered(limits.get(job.team, (0.0, 0.0)), cpus, gpus):
        row = used.setdefault(job.team, [0.0, 0.0])
        row[0] += cpus
        row[1] += gpus


def _quotas(
    changes: dict[str, Any],
    records: Values,
    used: Mapping[str, list[float]],
    limits: Mapping[str, tuple[float, float]],
) -> None:
    for team, limit in limits.items():
        if limit[0] <= 0 and limit[1] <= 0:
            continue
        cpus, gpus = used.get(team, [0.0, 0.0])
        stored = records.get(quota_key(team))
        have = parse_quota(stored[0] if stored else None)
        if abs(have[0] - cpus) > 1e-6 or abs(have[1] - gpus) > 1e-6:
            changes[quota_key(team)] = {"c": round(cpus, 6), "g": round(gpus, 6)}


def _final(
    changes: dict[str, Any], records: Values, name: str, end: tuple[str, float, Any], carry: bool
) -> None:
    """The final record of a job; with its description while tasks of it may be there."""
    status, at, desc = end
    if live_key(name) in records:
        changes[live_key(name)] = None
    stored = records.get(end_key(name))
    if stored is None or stored[0]["s"] != status or (carry and "j" not in stored[0]):
        value = end_value(status, at, desc if carry else None)
        if not at:
            del value["t"]
        changes[end_key(name)] = value


# Chunks are read without regard to what the job is.
_ANY = msgspec.convert(
    {
        "id": "j-0",
        "jobclass": "-",
        "owner": "-",
        "shape": "sweep",
        "rank": "normal",
        "pieces": 100_000,
        "vcpus": 0,
        "cards": 0,
        "ram_gb": 0,
        "bundle": "-",
        "image_gb": 0,
        "together": False,
        "scatter": False,
        "loaners": False,
        "guess_s": 0,
        "snapshot_every_s": 0,
        "snapshot_s": 0,
    },
    Job,
)
