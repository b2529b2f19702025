"""The record of a slice of a job's tasks: what is assigned, and what is done."""

from __future__ import annotations

from typing import Any

# The longest text of one assignment, and of one run of done tasks.
ASSIGNED_BYTES = 36
DONE_RUN_BYTES = 14
# What a transaction's values may take together of its 64 KiB.
TXN_BYTES = 50_000
# The longest entry of a chunk: `[99999,4294967296,"i-0000000000"],` and, in the worst case,
# a run of its own in the done list.
CHUNK_ENTRY_BYTES = 56


class Chunk:
    """A slice of a job's tasks as one value of the state service holds it.

    `assigned` maps a task to (attempt, machine); `last_attempt` never falls, so
    that an attempt number is never used twice for a task.
    """

    __slots__ = ("assigned", "done", "last_attempt", "rev")

    def __init__(self) -> None:
        self.rev = 0
        self.assigned: dict[int, tuple[int, str]] = {}
        self.done: set[int] = set()
        self.last_attempt = 0

    def value(self) -> dict[str, Any]:
        """The JSON value; runs of done tasks are kept as [first, last]."""
        runs: list[list[int]] = []
        for number in sorted(self.done):
            if runs and runs[-1][1] == number - 1:
                runs[-1][1] = number
            else:
                runs.append([number, number])
        return {
            "a": [[n, a, m] for n, (a, m) in self.assigned.items()],
            "d": runs,
            "n": self.last_attempt,
        }

    @staticmethod
    def parse(value: Any, rev: int) -> Chunk:
        """Read a record's value.

        Raises:
            KeyError, TypeError, ValueError: The value has another shape.
        """
        chunk = Chunk()
        chunk.rev = rev
        chunk.assigned = {int(n): (int(a), str(m)) for n, a, m in value["a"]}
        for first, last in value["d"]:
            chunk.done.update(range(first, last + 1))
        chunk.last_attempt = int(value["n"])
        return chunk

    def most_bytes(self, size: int) -> int:
        """A bound on the length of its value, without building that."""
        return (
            ASSIGNED_BYTES * len(self.assigned)
            + DONE_RUN_BYTES * min(len(self.done), size + 1 - len(self.done))
            + DONE_RUN_BYTES * 2
        )

    def copy(self) -> Chunk:
        """A chunk that can be changed apart from this one."""
        other = Chunk()
        other.rev, other.assigned = self.rev, dict(self.assigned)
        other.done, other.last_attempt = set(self.done), self.last_attempt
        return other


def chunk_size(value_kb: float) -> int:
    """How many tasks a chunk holds so that its value always fits `value_kb`."""
    return max(1, int(value_kb * 1024 * 0.9) // CHUNK_ENTRY_BYTES)
