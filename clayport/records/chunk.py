"""The record of a slice of a job's tasks: what is assigned, and what is done."""

from __future__ import annotations

from typing import Any, TypeAlias

# The longest JSON text of one assignment, and of one run of done tasks, in bytes.
ASSIGNED_BYTES = 36
DONE_RUN_BYTES = 14
# What a transaction's values may take together of its 64 KiB, in bytes.
TXN_BYTES = 50_000
# The longest JSON text of a task in a chunk, in bytes: an assignment like
# `[99999,4294967296,"i-0000000000"],` and, in the worst case, a run of its own in the done list.
CHUNK_ENTRY_BYTES = 56
# The share of the largest value that chunks are sized for.
VALUE_SHARE = 0.9

# Where a task is: (attempt, machine). A plain tuple, since one is made for each task's start.
Assignment: TypeAlias = tuple[int, str]


class Chunk:
    """A slice of a job's tasks as one value of the state service holds it.

    Attributes:
        rev: The revision at which the value was read or written; 0 if it is not stored.
        assigned: Attempt and machine of each task that has been started and not ended.
        done: The numbers of the tasks that are done.
        last_attempt: The highest attempt number that was given out. It never falls, so that
            an attempt number is never used twice for a task.
    """

    __slots__ = ("assigned", "done", "last_attempt", "rev")

    def __init__(self) -> None:
        self.rev = 0
        self.assigned: dict[int, Assignment] = {}
        self.done: set[int] = set()
        self.last_attempt = 0

    def value(self) -> dict[str, Any]:
        """Return the JSON value; runs of done tasks are kept as [first, last]."""
        runs: list[list[int]] = []
        for number in sorted(self.done):
            if runs and runs[-1][1] == number - 1:
                runs[-1][1] = number
            else:
                runs.append([number, number])
        return {
            "a": [
                [number, attempt, machine] for number, (attempt, machine) in self.assigned.items()
            ],
            "d": runs,
            "n": self.last_attempt,
        }

    @staticmethod
    def parse(value: Any, rev: int) -> Chunk:
        """Return the chunk that a record's value holds.

        Raises:
            KeyError: A field of the value is missing.
            TypeError: A field of the value is of another type.
            ValueError: A field of the value has another shape.
        """
        chunk = Chunk()
        chunk.rev = rev
        chunk.assigned = {
            int(number): (int(attempt), str(machine)) for number, attempt, machine in value["a"]
        }
        for first, last in value["d"]:
            chunk.done.update(range(first, last + 1))
        chunk.last_attempt = int(value["n"])
        return chunk

    def max_value_bytes(self, size: int) -> int:
        """Return an upper bound of the value's length in bytes, without building the value.

        `size` is how many tasks a chunk of the job holds: their number bounds the runs.
        """
        return (
            ASSIGNED_BYTES * len(self.assigned)
            + DONE_RUN_BYTES * min(len(self.done), size + 1 - len(self.done))
            + DONE_RUN_BYTES * 2
        )

    def copy(self) -> Chunk:
        """Return a copy that can be changed apart from this chunk."""
        other = Chunk()
        other.rev, other.assigned = self.rev, dict(self.assigned)
        other.done, other.last_attempt = set(self.done), self.last_attempt
        return other


def chunk_size(value_kb: float) -> int:
    """Return how many tasks a chunk holds so that its value always fits `value_kb` KiB."""
    return max(1, int(value_kb * 1024 * VALUE_SHARE) // CHUNK_ENTRY_BYTES)
