"""The committed assignments and outcomes of a job's tasks, as recorded in its chunks."""

from __future__ import annotations

from typing import TypeAlias

from clayport.model import Job
from clayport.records.chunk import Chunk
from clayport.records.keys import chunk_key

# (task, attempt, machine) of a task that may be on a machine.
Assignment: TypeAlias = tuple[int, int, str]


class CommittedTasks:
    """The committed assignments and outcomes of a job's tasks.

    A chunk records a fixed number of consecutive tasks. When the state service lowers its limit
    on the size of a value, the job is migrated to narrower chunks: first in memory
    (`split_chunks`), then in the records, over several transactions (`transactions.split_txn`).
    Until the last wider chunk has been deleted, the wider chunks are authoritative, and nothing
    else of the job may be committed.

    Args:
        job: The job's description.
        size: How many tasks a chunk holds if the keys of the job's chunks do not say.
    """

    def __init__(self, job: Job, size: int) -> None:
        self.job, self.chunk_size = job, size
        self.default_size = size
        self.chunks: dict[int, Chunk] = {}
        # The chunk size in the chunks' keys; 0 for keys without one, as early versions wrote.
        self.layout = 0
        # The wider chunks that are still recorded: their keys and revisions.
        self.wider_chunks: dict[str, int] = {}
        # The highest attempt number used so far, and the counts of done and assigned tasks.
        self.attempt = 0
        self.done = 0
        self.assigned = 0

    def load(self, chunks: dict[int, Chunk]) -> None:
        """Replace the chunks, given by index, with those recorded in one layout."""
        self.chunks = chunks
        self.attempt = max([self.attempt, *(c.last_attempt for c in chunks.values())])
        self.recount()

    def load_all(self, found: dict[tuple[int, int], Chunk]) -> None:
        """Replace the chunks with the recorded ones, which may be in several layouts.

        Chunks of several sizes mean that a split was interrupted. The wider chunks are
        authoritative, and the split has to be completed before any other commit of the job.

        Args:
            found: All recorded chunks, by layout and index.
        """
        self.layout, self.chunk_size, self.wider_chunks = 0, self.default_size, {}
        layouts = sorted({layout for layout, _ in found}, key=lambda s: s or self.chunk_size)
        if not layouts:
            self.load({})
            return
        narrowest = layouts[0]
        if len(layouts) == 1:
            self.layout, self.chunk_size = narrowest, narrowest or self.chunk_size
            self.load({index: chunk for (_, index), chunk in found.items()})
            return
        size = narrowest or self.chunk_size
        merged = {
            index: chunk.copy() for (layout, index), chunk in found.items() if layout == narrowest
        }
        for wider in layouts[1:]:
            wider_size = wider or self.chunk_size
            for (layout, index), chunk in found.items():
                if layout == wider:
                    span = range(index * wider_size, (index + 1) * wider_size)
                    self._split_chunk(chunk, span, merged, size)
                    self.wider_chunks[chunk_key(self.job.id, index, layout)] = chunk.rev
        self.layout, self.chunk_size = narrowest, size
        self.load(merged)

    @staticmethod
    def _split_chunk(wider: Chunk, span: range, chunks: dict[int, Chunk], size: int) -> None:
        """Copy the state of a wider chunk's tasks into narrower chunks.

        Args:
            wider: The wider chunk, which is authoritative.
            span: The numbers of the wider chunk's tasks.
            chunks: The narrower chunks by index; changed in place.
            size: How many tasks a narrower chunk holds.
        """
        # An empty chunk also leaves a narrower one, because its last attempt number must be
        # kept: attempt numbers are never used again.
        chunks.setdefault(span.start // size, Chunk())
        for index in range(span.start // size, (span.stop - 1) // size + 1):
            chunk = chunks.get(index)
            if chunk is not None:
                chunk.assigned = {n: a for n, a in chunk.assigned.items() if n not in span}
                chunk.done = {n for n in chunk.done if n not in span}
                chunk.last_attempt = max(chunk.last_attempt, wider.last_attempt)
        for number in (*wider.assigned, *wider.done):
            index = number // size
            if index not in chunks:
                chunks[index] = Chunk()
            chunks[index].last_attempt = max(chunks[index].last_attempt, wider.last_attempt)
            if number in wider.done:
                chunks[index].done.add(number)
            else:
                chunks[index].assigned[number] = wider.assigned[number]

    def split_chunks(self, size: int) -> bool:
        """Split the chunks in memory if they hold more than `size` tasks.

        The records have to be split too (`transactions.split_txn`) before anything else of the
        job is committed.

        Returns:
            Whether any wider chunk is still recorded.
        """
        if self.chunk_size <= size or self.job.tasks <= size:
            return bool(self.wider_chunks)
        chunks: dict[int, Chunk] = {}
        for index, chunk in self.chunks.items():
            span = range(index * self.chunk_size, (index + 1) * self.chunk_size)
            self._split_chunk(chunk, span, chunks, size)
            if chunk.rev:
                self.wider_chunks[chunk_key(self.job.id, index, self.layout)] = chunk.rev
        self.layout = self.chunk_size = size
        self.chunks = chunks
        self.recount()
        return bool(self.wider_chunks)

    def key(self, index: int) -> str:
        """Return the key of the record of a chunk."""
        return chunk_key(self.job.id, index, self.layout)

    def recount(self) -> None:
        """Recompute everything that is derived from the chunks."""
        self._count()

    def _count(self) -> None:
        self.done = sum(len(c.done) for c in self.chunks.values())
        self.assigned = sum(len(c.assigned) for c in self.chunks.values())

    def apply_commit(self, chunks: dict[int, Chunk], rev: int) -> None:
        """Replace the chunks that a committed transaction has changed.

        Args:
            chunks: The written chunks by index.
            rev: The revision of the commit.
        """
        for index, chunk in chunks.items():
            chunk.rev = rev
            self.chunks[index] = chunk
        self._count()

    def assignment(self, number: int) -> tuple[int, str] | None:
        """Return the committed attempt and machine of a task, or None if it is not assigned."""
        chunk = self.chunks.get(number // self.chunk_size)
        return chunk.assigned.get(number) if chunk else None

    def assignments(self) -> list[Assignment]:
        """Return the assignments of all tasks that may be on a machine."""
        return [(n, a, m) for c in self.chunks.values() for n, (a, m) in c.assigned.items()]
