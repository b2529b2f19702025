"""What an owner tells the leader of a job about one of its tasks."""

from __future__ import annotations

from typing import NamedTuple

# The state of a task that its machine no longer has, and can't start any more.
GONE = "gone"


class TaskEvent(NamedTuple):
    """A change of a task's state on a machine.

    Attributes:
        machine: Name of the machine.
        task: Id of the task, `JOB/NUMBER`.
        attempt: The attempt at the task, which rises with each assignment.
        state: A state that workers report, or `GONE`.
        cause: Why the task has exited, as the worker says, or empty.
        saved: Whether the task has saved a checkpoint.
    """

    machine: str
    task: str
    attempt: int
    state: str
    cause: str
    saved: bool
