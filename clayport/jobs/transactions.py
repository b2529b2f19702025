"""Builds the transactions by which a job's leader commits starts, outcomes and splits of chunks.

`jobs.commits` sends them. Each transaction is conditional on the record of the epoch and on the
revision of every chunk that it changes, so that it fails if another controller has changed one of
these records in the meantime. After a commit, the chunks are passed to `ManagedJob.apply_commit`.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from clayport.model import SERVICE
from clayport.records.chunk import TXN_BYTES, Chunk
from clayport.records.keys import EPOCH_KEY, end_key, live_key
from clayport.records.transaction import Txn
from clayport.records.values import end_value

if TYPE_CHECKING:
    from clayport.jobs.committed_tasks import CommittedTasks
    from clayport.jobs.managed_job import ManagedJob


class StartTxn(NamedTuple):
    """A transaction that assigns tasks to machines.

    Attributes:
        txn: The transaction.
        chunks: The changed chunks by index.
    """

    txn: Txn
    chunks: dict[int, Chunk]


class OutcomeTxn(NamedTuple):
    """A transaction that records outcomes of tasks.

    Attributes:
        txn: The transaction; without writes if no record changes.
        chunks: The changed chunks by index.
        tasks: The numbers of the tasks whose outcomes are recorded.
        ends_job: Whether the transaction also records that the job is done.
    """

    txn: Txn
    chunks: dict[int, Chunk]
    tasks: list[int]
    ends_job: bool


class SplitTxn(NamedTuple):
    """One of the transactions that split wider chunks into narrower ones.

    Attributes:
        txn: The transaction; without writes if the split is complete.
        chunks: The written narrower chunks by index.
        deleted: The keys of the deleted wider chunks.
    """

    txn: Txn
    chunks: dict[int, Chunk]
    deleted: list[str]


def start_txn(
    managed: ManagedJob, fence: int, starts: list[tuple[int, str]], attempt: int
) -> StartTxn:
    """Build the transaction that assigns tasks to machines, to be committed before the launch.

    The transaction fails if the job has ended.

    Args:
        managed: The job.
        fence: The revision of the record of the epoch.
        starts: The tasks and their machines.
        attempt: The number of the attempt.
    """
    live = live_key(managed.job.id)
    txn = Txn().require(EPOCH_KEY, fence).require(live, managed.live_rev)
    chunks: dict[int, Chunk] = {}
    for number, machine in starts:
        index = number // managed.chunk_size
        if index not in chunks:
            chunks[index] = _require_chunk(managed, txn, index)
        chunks[index].assigned[number] = (attempt, machine)
        chunks[index].last_attempt = attempt
    for index, chunk in chunks.items():
        txn.put(managed.key(index), chunk.value())
    return StartTxn(txn, chunks)


def outcome_txn(managed: ManagedJob, fence: int, limit: int, at: float = 0.0) -> OutcomeTxn:
    """Build a transaction that records outcomes; it also ends the job with the last outcome.

    Args:
        managed: The job.
        fence: The revision of the record of the epoch.
        limit: The most chunks that the transaction may change.
        at: The wall-clock time for the job's final record, in seconds.
    """
    txn = Txn().require(EPOCH_KEY, fence)
    chunks: dict[int, Chunk] = {}
    tasks: list[int] = []
    finished = size = 0
    for number, (attempt, done) in managed.outcomes.items():
        index = number // managed.chunk_size
        if index not in chunks:
            old = managed.chunks.get(index)
            added = old.max_value_bytes(managed.chunk_size) if old is not None else 0
            if chunks and (len(chunks) == limit or size + added > TXN_BYTES):
                continue
            size += added
            chunks[index] = _require_chunk(managed, txn, index)
        if chunks[index].assigned.get(number, (0, ""))[0] == attempt:
            del chunks[index].assigned[number]
            if done and not managed.ended and managed.job.kind != SERVICE:
                chunks[index].done.add(number)
                finished += 1
        tasks.append(number)
    ends_job = not managed.ended and managed.done + finished == managed.job.tasks
    for index, chunk in chunks.items():
        if (managed.ended or ends_job) and not chunk.assigned:
            txn.delete(managed.key(index))
        else:
            txn.put(managed.key(index), chunk.value())
    if ends_job:
        live = live_key(managed.job.id)
        txn.require(live, managed.live_rev)
        txn.delete(live).put(end_key(managed.job.id), end_value("done", at))
    return OutcomeTxn(txn, chunks, tasks, ends_job)


def split_txn(committed: CommittedTasks, fence: int, limit: int, written: set[int]) -> SplitTxn:
    """Build the next transaction of a split.

    All narrower chunks are written before the first wider chunk is deleted.

    Args:
        committed: The job's tasks.
        fence: The revision of the record of the epoch.
        limit: The most chunks that the transaction may change.
        written: The indexes of the narrower chunks that earlier transactions have written.
    """
    txn = Txn().require(EPOCH_KEY, fence)
    chunks: dict[int, Chunk] = {}
    size = 0
    for index, chunk in committed.chunks.items():
        if index in written:
            continue
        size += chunk.max_value_bytes(committed.chunk_size)
        if chunks and (len(chunks) == limit or size > TXN_BYTES):
            return SplitTxn(txn, chunks, [])
        chunks[index] = _require_chunk(committed, txn, index)
        txn.put(committed.key(index), chunk.value())
    deleted: list[str] = []
    if not chunks:
        for key, rev in list(committed.wider_chunks.items())[:limit]:
            txn.require(key, rev).delete(key)
            deleted.append(key)
    return SplitTxn(txn, chunks, deleted)


def _require_chunk(committed: CommittedTasks, txn: Txn, index: int) -> Chunk:
    """Make a transaction conditional on a chunk's revision.

    Returns:
        A copy of the chunk that the caller may change.
    """
    old = committed.chunks.get(index)
    txn.require(committed.key(index), old.rev if old else 0)
    return old.copy() if old else Chunk()
