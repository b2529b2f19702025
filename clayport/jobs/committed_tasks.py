"""What is committed of a job's tasks, in the layout of its chunks."""

from __future__ import annotations

from typing import TypeAlias

from clayport.model import Job
from clayport.records.chunk import Chunk
from clayport.records.keys import chunk_key

# (task, attempt, machine) of a task that may be on a machine.
Assignment: TypeAlias = tuple[int, int, str]


class CommittedTasks:
    """The committed assignments and outcomes of a job's tasks.

    They are recorded in chunks of equal numbers of consecutive tasks. When the state service
    comes to accept less in a value than it did, the job goes over to narrower chunks: first in
    memory (`split_chunks`), then in the records, one transaction after the other
    (`transactions.split_txn`). Until the last of the wider chunks has been deleted, these hold
    the truth, and nothing else of the job may be committed.

    Args:
        job: The job's description.
        size: How many tasks a chunk holds, where the records do not tell.
    """

    def __init__(self, job: Job, size: int) -> None:
        self.job, self.chunk_size = job, size
        self.default_size = size
        self.chunks: dict[int, Chunk] = {}
        # The chunk size that is part of the chunks' keys. The keys of the first versions had
        # none: for these it is 0.
        self.layout = 0
        # Keys and revisions of wider chunks that are still recorded.
        self.wider_chunks: dict[str, int] = {}
        # The highest attempt number in use, and how many tasks are done and assigned.
        self.attempt = 0
        self.done = 0
        self.assigned = 0

    def load(self, chunks: dict[int, Chunk]) -> None:
        """Take over what is committed in one layout, as chunks by index."""
        self.chunks = chunks
        self.attempt = max([self.attempt, *(c.last_attempt for c in chunks.values())])
        self.recount()

    def load_all(self, found: dict[tuple[int, int], Chunk]) -> None:
        """Take over what is committed, in whichever layouts it is.

        Narrower chunks beside wider ones are drafts of a split that has not been completed: the
        wider ones hold the truth, and the split goes on before anything else.

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
        """Put what a wider chunk says of its tasks into narrower ones.

        Args:
            wider: The chunk that holds the truth.
            span: The numbers of its tasks.
            chunks: The narrower chunks by index; changed in place.
            size: How many tasks each of them holds.
        """
        # Even an empty chunk has to leave one behind: attempt numbers must never fall.
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
        """Go over to chunks of `size` tasks, where the present ones hold more.

        In memory at once; the records have to follow (`transactions.split_txn`) before anything
        else of the job is committed.

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
        """The key under which a chunk is recorded."""
        return chunk_key(self.job.id, index, self.layout)

    def recount(self) -> None:
        """Derive anew what follows from the chunks."""
        self._count()

    def _count(self) -> None:
        self.done = sum(len(c.done) for c in self.chunks.values())
        self.assigned = sum(len(c.assigned) for c in self.chunks.values())

    def apply_commit(self, chunks: dict[int, Chunk], rev: int) -> None:
        """Take over the chunks that a transaction has changed.

        Args:
            chunks: The chunks by index, as they were written.
            rev: The revision of the commit.
        """
        for index, chunk in chunks.items():
            chunk.rev = rev
            self.chunks[index] = chunk
        self._count()

    def assignment(self, number: int) -> tuple[int, str] | None:
        """The committed attempt and machine of a task; None if it is not assigned."""
        chunk = self.chunks.get(number // self.chunk_size)
        return chunk.assigned.get(number) if chunk else None

    def assignments(self) -> list[Assignment]:
        """(task, attempt, machine) of everything that may be on a machine."""
        return [(n, a, m) for c in self.chunks.values() for n, (a, m) in c.assigned.items()]
