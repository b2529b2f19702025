"""Chunks: the records of a job's tasks, with their assignments and the tasks that are done."""

from __future__ import annotations

from typing import Any, TypeAlias

# The longest JSON text of one assignment, and of one run of done tasks, in bytes.
ASSIGNED_BYTES = 36
DONE_RUN_BYTES = 14
# The most bytes that the values of a transaction take. The whole transaction may have 64 KiB.
TXN_BYTES = 50_000
# The longest JSON text of one task in a chunk, in bytes: an assignment such as
# `[99999,4294967296,"i-0000000000"],` and, in the worst case, a separate run in the done list.
CHUNK_ENTRY_BYTES = 56
# The share of the value size limit that a full chunk may take.
VALUE_SHARE = 0.9

# A task's attempt number and machine. It is a plain tuple, because one is created for every started
# task.
Assignment: TypeAlias = tuple[int, str]


class Chunk:
    """The state of a slice of a job's tasks, stored as one value in the state service.

    Attributes:
        rev: The revision of the stored value, or 0 if there is none.
        assigned: Attempt and machine of each task that has been started and has not ended.
        done: The numbers of the tasks that are done.
        last_attempt: The highest attempt number assigned so far. It never decreases, so that
            no attempt number is used twice for a task.
    """

    __slots__ = ("assigned", "done", "last_attempt", "rev")

    def __init__(self) -> None:
        self.rev = 0
        self.assigned: dict[int, Assignment] = {}
        self.done: set[int] = set()
        self.last_attempt = 0

    def value(self) -> dict[str, Any]:
        """Return the value as stored, with runs of done tasks as [first, last]."""
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
            TypeError: A field of the value has a wrong type.
            ValueError: A field of the value is malformed.
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
        """Return an upper bound of the value's size in bytes, without building the value.

        `size` is the number of tasks in a chunk of the job, which limits the number of runs.
        """
        return (
            ASSIGNED_BYTES * len(self.assigned)
            + DONE_RUN_BYTES * min(len(self.done), size + 1 - len(self.done))
            + DONE_RUN_BYTES * 2
        )

    def copy(self) -> Chunk:
        """Return an independent copy."""
        other = Chunk()
        other.rev, other.assigned = self.rev, dict(self.assigned)
        other.done, other.last_attempt = set(self.done), self.last_attempt
        return other


def chunk_size(value_kb: float) -> int:
    """Return the number of tasks per chunk with which a value never exceeds `value_kb` KiB."""
    return max(1, int(value_kb * 1024 * VALUE_SHARE) // CHUNK_ENTRY_BYTES)
