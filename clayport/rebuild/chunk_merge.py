"""Merges the task chunks of jobs from all sources.

`merge` lists the rules. The module does no I/O and reads no clock.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from typing import Any, NamedTuple

import msgspec

from clayport.jobs.committed_tasks import CommittedTasks
from clayport.membership.rendezvous import rendezvous
from clayport.model import Job
from clayport.rebuild.evidence import Evidence, Task, last_epoch_evidence
from clayport.rebuild.history import is_anchor
from clayport.records.chunk import Chunk
from clayport.records.keys import chunk_key, parse_chunk_key

Records = Mapping[str, tuple[Any, int]]  # key: value, revision


class JobChunks(NamedTuple):
    """The task chunks of one job.

    Attributes:
        layout: The chunk size that the keys name; 0 if the keys name no size.
        chunks: The chunks by index.
        keys: The keys under which the chunks are stored.
    """

    layout: int
    chunks: dict[int, Chunk]
    keys: set[str]


class ChunkSources(NamedTuple):
    """The chunks of all jobs, separated by their source.

    Attributes:
        stored: The chunks that the state service still has, by job.
        members: The members of the last epoch: label to incarnation.
        from_leaders: For each member whose evidence is complete, the chunks of the jobs that the
            member leads, by label.
        older: The chunks of all other evidence, one entry for each. This is evidence of earlier
            epochs, of controllers that had not loaded their jobs, and of snapshots.
        listed: The tasks that machines report, by job.
    """

    stored: dict[str, JobChunks]
    members: dict[str, str]
    from_leaders: dict[str, dict[str, JobChunks]]
    older: list[dict[str, JobChunks]]
    listed: dict[str, list[Task]]


def chunk_sources(
    records: Records,
    evidence_by_label: Mapping[str, Evidence],
    evidence: Iterable[Evidence],
    listed: Iterable[Task],
    default_size: int,
) -> ChunkSources:
    """Parse the chunks of all sources.

    Args:
        records: The records that the state service still has.
        evidence_by_label: The evidence of each controller and each snapshot, by label.
        evidence: The same evidence, ordered by epoch, newest first.
        listed: The tasks that machines report.
        default_size: Tasks in a chunk whose key names no size.
    """
    members, complete = last_epoch_evidence(evidence_by_label)
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
            default_size,
        ),
        members=members,
        from_leaders={
            label: _chunks_by_job(item.chunks.items(), default_size)
            for label, item in complete.items()
        },
        older=[
            _chunks_by_job(item.chunks.items(), default_size)
            for item in evidence
            if complete.get(item.label) is not item
        ],
        listed=by_job,
    )


def _chunks_by_job(rows: Iterable[tuple[str, Any]], default_size: int) -> dict[str, JobChunks]:
    """Parse chunk records by job, in the same way as the leader of a job loads them."""
    raw: dict[str, dict[tuple[int, int], Chunk]] = {}
    keys: dict[str, set[str]] = {}
    for key, value in rows:
        job, size, index = parse_chunk_key(key)
        raw.setdefault(job, {})[size, index] = Chunk.parse(value, 1)
        keys.setdefault(job, set()).add(key)
    chunks_by_job = {}
    for job, chunks in raw.items():
        committed = CommittedTasks(_PLACEHOLDER_JOB, default_size)
        committed.load_all(chunks)
        chunks_by_job[job] = JobChunks(committed.layout, committed.chunks, keys[job])
    return chunks_by_job


def merge_chunks(name: str, sources: ChunkSources, default_size: int, has_ended: bool) -> JobChunks:
    """Merge a job's chunks from all sources.

    The tasks that machines report count only if the job's leader has given no evidence.

    Args:
        name: The job.
        sources: The chunks of all jobs.
        default_size: Tasks in a chunk whose key names no size.
        has_ended: Whether the job has a final record, so that its remaining tasks only have to
            be removed from their machines.
    """
    stored = sources.stored.get(name)
    for older in sources.older:
        if name in older:
            stored = _add_older(stored, older[name], default_size)
    leader_jobs = sources.from_leaders.get(rendezvous(name, sources.members))
    leader_chunks = leader_jobs.get(name) if leader_jobs is not None else None
    listed = sources.listed.get(name, ()) if leader_jobs is None else ()

    base = leader_chunks or stored or JobChunks(0, {}, set())
    size = base.layout or default_size
    chunks = {index: chunk.copy() for index, chunk in base.chunks.items()}
    if leader_chunks is not None and stored is not None:
        _add_stored(chunks, size, stored, base.layout, has_ended)
    _add_listed(chunks, size, listed, has_ended)
    return JobChunks(base.layout, chunks, set(stored.keys) if stored else set())


def _chunk_of_task(chunks: dict[int, Chunk], size: int, number: int) -> Chunk:
    """Return the chunk that covers a task number; an empty chunk is added if there is none."""
    return chunks.setdefault(number // size, Chunk())


def _add_older(stored: JobChunks | None, older: JobChunks, default_size: int) -> JobChunks:
    """Add the done tasks and the last attempt numbers from older chunks.

    Assignments in older chunks are ignored, because they may be out of date.
    """
    base = stored or JobChunks(older.layout, {}, set())
    size = base.layout or default_size
    chunks = {index: chunk.copy() for index, chunk in base.chunks.items()}
    last_attempt = max((chunk.last_attempt for chunk in older.chunks.values()), default=0)
    for chunk in older.chunks.values():
        for number in (*chunk.done, *chunk.assigned):
            merged = _chunk_of_task(chunks, size, number)
            merged.last_attempt = max(merged.last_attempt, last_attempt)
            if number in chunk.done:
                merged.done.add(number)
                merged.assigned.pop(number, None)
    return JobChunks(base.layout, chunks, base.keys)


def _add_stored(
    chunks: dict[int, Chunk], size: int, stored: JobChunks, layout: int, has_ended: bool
) -> None:
    """Add the tasks in the state service's chunks to the chunks of the job's leader."""
    for chunk in stored.chunks.values():
        for number in chunk.done:
            merged = _chunk_of_task(chunks, size, number)
            merged.done.add(number)
            if not has_ended:
                merged.assigned.pop(number, None)
        for number, (attempt, machine) in chunk.assigned.items():
            merged = _chunk_of_task(chunks, size, number)
            if number not in merged.assigned and (has_ended or number not in merged.done):
                merged.assigned[number] = (attempt, machine)
            merged.last_attempt = max(merged.last_attempt, attempt)
    for index, chunk in stored.chunks.items():
        if stored.layout == layout and index in chunks:
            chunks[index].last_attempt = max(chunks[index].last_attempt, chunk.last_attempt)


def _add_listed(
    chunks: dict[int, Chunk], size: int, listed: Iterable[Task], has_ended: bool
) -> None:
    """Assign each reported task to its machine.

    An existing assignment stays if its machine reports that attempt. If the job has ended, a
    done task that is reported is assigned too, because its machine still has to clear it.
    """
    tasks = list(listed)
    running = {(task.number, task.attempt, task.machine) for task in tasks}
    for task in sorted(tasks, key=lambda task: (task.number, -task.attempt, task.machine)):
        merged = _chunk_of_task(chunks, size, task.number)
        if has_ended:
            merged.done.discard(task.number)
        known = merged.assigned.get(task.number)
        if task.number not in merged.done and (
            known is None or (task.number, *known) not in running
        ):
            merged.assigned[task.number] = (task.attempt, task.machine)
        merged.last_attempt = max(merged.last_attempt, task.attempt)


def change_chunks(
    changes: dict[str, Any], records: Records, name: str, merged: JobChunks, has_ended: bool
) -> None:
    """Add the chunk records that differ from the merged chunks to `changes`.

    A job that has ended keeps only the chunks with assigned tasks.
    """
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
    """Return whether a record equals a chunk; an empty chunk needs no record."""
    if stored is None:
        return not chunk.assigned and not chunk.done and chunk.last_attempt == 0
    known = Chunk.parse(stored[0], 1)
    return (known.assigned, known.done, known.last_attempt) == (
        chunk.assigned,
        chunk.done,
        chunk.last_attempt,
    )


# `CommittedTasks` needs a job description, but parsing chunks doesn't depend on its fields.
_PLACEHOLDER_JOB = msgspec.convert(
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
