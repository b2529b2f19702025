"""Merge the chunks of jobs' tasks: who says what of a task, and who is believed.

Part of the merge (see `merge` for the rules). Pure: no I/O, no clock.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from typing import Any, NamedTuple

import msgspec

from clayport.jobs.committed_tasks import CommittedTasks
from clayport.membership.rendezvous import rendezvous
from clayport.model import Job
from clayport.rebuild.evidence import Evidence, Task, split
from clayport.rebuild.history import is_anchor
from clayport.records.chunk import Chunk
from clayport.records.keys import chunk_key, parse_chunk_key

Records = Mapping[str, tuple[Any, int]]  # key: value, revision


class Chunks(NamedTuple):
    """The task chunks of one job.

    Attributes:
        layout: Tasks in a chunk as its keys say; 0 where they say none.
        chunks: The chunks by their index.
        keys: The keys under which they are stored.
    """

    layout: int
    chunks: dict[int, Chunk]
    keys: set[str]


class ChunkSources(NamedTuple):
    """Where the chunks of jobs are known from.

    Attributes:
        stored: What the state service still has, by job.
        members: The members of the last epoch: label to incarnation.
        at_home: By controller of the last epoch, the chunks of all jobs that it manages.
        older: What the other controllers, and the snapshots, knew in earlier epochs.
        listed: The tasks that machines have listed, by job.
    """

    stored: dict[str, Chunks]
    members: dict[str, str]
    at_home: dict[str, dict[str, Chunks]]
    older: list[dict[str, Chunks]]
    listed: dict[str, list[Task]]


def chunk_sources(
    records: Records,
    parts: Mapping[str, Evidence],
    evidence: Iterable[Evidence],
    listed: Iterable[Task],
    first_size: int,
) -> ChunkSources:
    """Read the chunks that are known from anywhere, by how much their source decides.

    Args:
        records: What the state service still has.
        parts: The evidence of each controller, and of snapshots, by label.
        evidence: The same, the newest epoch first.
        listed: The tasks that machines have listed.
        first_size: Tasks in a chunk whose key says no size.
    """
    members, homes = split(parts)
    by_job: dict[str, list[Task]] = {}
    for task in listed:
        by_job.setdefault(task.job, []).append(task)
    return ChunkSources(
        stored=_chunks_by_job(
            (
                (key, value)
                for key, (value, _) in records.items()
                if key.startswith("run/") and not is_anchor(key)
            ),
            first_size,
        ),
        members=members,
        at_home={
            label: _chunks_by_job(part.chunks.items(), first_size) for label, part in homes.items()
        },
        older=[
            _chunks_by_job(part.chunks.items(), first_size)
            for part in evidence
            if homes.get(part.label) is not part
        ],
        listed=by_job,
    )


def _chunks_by_job(rows: Iterable[tuple[str, Any]], first_size: int) -> dict[str, Chunks]:
    """Read chunks as the leader of their job would read them."""
    raw: dict[str, dict[tuple[int, int], Chunk]] = {}
    keys: dict[str, set[str]] = {}
    for key, value in rows:
        job, size, index = parse_chunk_key(key)
        raw.setdefault(job, {})[size, index] = Chunk.parse(value, 1)
        keys.setdefault(job, set()).add(key)
    found = {}
    for job, chunks in raw.items():
        committed = CommittedTasks(_ANY_JOB, first_size)
        committed.load_all(chunks)
        found[job] = Chunks(committed.layout, committed.chunks, keys[job])
    return found


def merge_chunks(name: str, sources: ChunkSources, first_size: int, has_ended: bool) -> Chunks:
    """Merge a job's chunks from all sources.

    What machines list counts only where the job's leader has given no evidence.

    Args:
        name: The job.
        sources: The chunks known of all jobs.
        first_size: Tasks in a chunk whose key says no size.
        has_ended: Whether the job has a final record; its tasks are only to be cleared.
    """
    stored = sources.stored.get(name)
    for older in sources.older:
        if name in older:
            stored = _add_older(stored, older[name], first_size)
    home = sources.at_home.get(rendezvous(name, sources.members))
    at_home = home.get(name) if home is not None else None
    listed = sources.listed.get(name, ()) if home is None else ()

    base = at_home or stored or Chunks(0, {}, set())
    size = base.layout or first_size
    chunks = {index: chunk.copy() for index, chunk in base.chunks.items()}
    if at_home is not None and stored is not None:
        _add_stored(chunks, size, stored, base.layout, has_ended)
    _add_listed(chunks, size, listed, has_ended)
    return Chunks(base.layout, chunks, set(stored.keys) if stored else set())


def _chunk_with(chunks: dict[int, Chunk], size: int, number: int) -> Chunk:
    """The chunk of a task, by its number in the job."""
    return chunks.setdefault(number // size, Chunk())


def _add_older(stored: Chunks | None, older: Chunks, first_size: int) -> Chunks:
    """Add what an older copy says was done, and the attempts that it has seen."""
    base = stored or Chunks(older.layout, {}, set())
    size = base.layout or first_size
    chunks = {index: chunk.copy() for index, chunk in base.chunks.items()}
    last_attempt = max((chunk.last_attempt for chunk in older.chunks.values()), default=0)
    for chunk in older.chunks.values():
        for number in (*chunk.done, *chunk.assigned):
            mine = _chunk_with(chunks, size, number)
            mine.last_attempt = max(mine.last_attempt, last_attempt)
            if number in chunk.done:
                mine.done.add(number)
                mine.assigned.pop(number, None)
    return Chunks(base.layout, chunks, base.keys)


def _add_stored(
    chunks: dict[int, Chunk], size: int, stored: Chunks, layout: int, has_ended: bool
) -> None:
    """Add to the leader's chunks what the state service has of them."""
    for chunk in stored.chunks.values():
        for number in chunk.done:
            mine = _chunk_with(chunks, size, number)
            mine.done.add(number)
            if not has_ended:
                mine.assigned.pop(number, None)
        for number, (attempt, machine) in chunk.assigned.items():
            mine = _chunk_with(chunks, size, number)
            if number not in mine.assigned and (has_ended or number not in mine.done):
                mine.assigned[number] = (attempt, machine)
            mine.last_attempt = max(mine.last_attempt, attempt)
    for index, chunk in stored.chunks.items():
        if stored.layout == layout and index in chunks:
            chunks[index].last_attempt = max(chunks[index].last_attempt, chunk.last_attempt)


def _add_listed(
    chunks: dict[int, Chunk], size: int, listed: Iterable[Task], has_ended: bool
) -> None:
    """Assign what machines list to them, where the record names no other that lists it.

    Of a job that has ended all that is listed is still to be cleared, done or not.
    """
    tasks = list(listed)
    running = {(task.number, task.attempt, task.machine) for task in tasks}
    for task in sorted(tasks, key=lambda task: (task.number, -task.attempt, task.machine)):
        mine = _chunk_with(chunks, size, task.number)
        if has_ended:
            mine.done.discard(task.number)
        known = mine.assigned.get(task.number)
        if task.number not in mine.done and (known is None or (task.number, *known) not in running):
            mine.assigned[task.number] = (task.attempt, task.machine)
        mine.last_attempt = max(mine.last_attempt, task.attempt)


def change_chunks(
    changes: dict[str, Any], records: Records, name: str, merged: Chunks, has_ended: bool
) -> None:
    """Write the chunks that differ; of a job that has ended only those with assigned tasks."""
    wanted = {
        chunk_key(name, index, merged.layout): chunk
        for index, chunk in merged.chunks.items()
        if chunk.assigned or not has_ended
    }
    for key in merged.keys - set(wanted):
        changes[key] = None
    for key, chunk in wanted.items():
        if not _is_stored(records.get(key), chunk):
            changes[key] = chunk.value()


def _is_stored(stored: tuple[Any, int] | None, chunk: Chunk) -> bool:
    """Whether a record says the same as a chunk; an empty chunk needs none."""
    if stored is None:
        return not chunk.assigned and not chunk.done and chunk.last_attempt == 0
    known = Chunk.parse(stored[0], 1)
    return (known.assigned, known.done, known.last_attempt) == (
        chunk.assigned,
        chunk.done,
        chunk.last_attempt,
    )


# Chunks are read without regard to what the job is.
_ANY_JOB = msgspec.convert(
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
