"""The events that a machine's owner sends to the leader of a job about its tasks."""

from __future__ import annotations

from typing import NamedTuple

# The state of a task that is not on its machine and can no longer be started there.
GONE = "gone"


class TaskEvent(NamedTuple):
    """A change in the state of a task on a machine.

    Attributes:
        machine: Name of the machine.
        task: Id of the task, `JOB/NUMBER`.
        attempt: The number of the attempt, which rises with each assignment of the task.
        state: A state that workers report, or `GONE`.
        cause: The worker's reason for the exit of the task, or empty.
        saved: Whether the task has saved a checkpoint.
    """

    machine: str
    task: str
    attempt: int
    state: str
    cause: str
    saved: bool
