"""What a job's leader answers to an owner that tells it about a task."""

from __future__ import annotations

from enum import IntEnum

from clayport.machines.events import GONE


class Verdict(IntEnum):
    """The answer to one task event. Controllers send each other the numbers."""

    #: Noted; the owner has nothing to do.
    OK = 0
    #: Not a committed attempt: the task is to be stopped.
    KILL = 1
    #: Not a committed attempt, and it has exited: the worker may forget it.
    CLEAR = 2
    #: Not known yet: the owner is to tell it again.
    LATER = 3
    #: The task failed, and the job is taken to be the cause.
    JOB_AT_FAULT = 4
    #: The task failed, and the machine is taken to be the cause.
    MACHINE_AT_FAULT = 5


def for_uncommitted(state: str) -> Verdict:
    """The verdict on an attempt that is not committed, by its state on the machine."""
    if state == GONE:
        return Verdict.OK
    return Verdict.CLEAR if state == "exited" else Verdict.KILL
