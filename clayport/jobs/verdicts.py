"""The answers of a job's leader to owners that report the state of its tasks."""

from __future__ import annotations

from enum import IntEnum

from clayport.machines.events import GONE


class Verdict(IntEnum):
    """The answer to one task event; its number is sent between controllers."""

    #: The event was recorded, and the owner has nothing to do.
    OK = 0
    #: The attempt is not committed, and the owner has to stop the task.
    KILL = 1
    #: The attempt is not committed and has exited, so the worker may forget it.
    CLEAR = 2
    #: The leader can't tell yet, and the owner has to send the event again.
    LATER = 3
    #: The task failed, and the job is considered the cause.
    JOB_AT_FAULT = 4
    #: The task failed, and the machine is considered the cause.
    MACHINE_AT_FAULT = 5


def for_uncommitted(state: str) -> Verdict:
    """Return the verdict on an attempt that is not committed, by its state on the machine."""
    if state == GONE:
        return Verdict.OK
    return Verdict.CLEAR if state == "exited" else Verdict.KILL
