"""Interfaces of the table of machines for the modules that operate on it.

The table passes itself to the functions of these modules. They refer to these interfaces instead
of the class of the table, which avoids circular imports.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import Protocol

from clayport.machines.events import TaskEvent
from clayport.machines.health import FaultRecord
from clayport.machines.launched_attempts import LaunchedAttempts
from clayport.machines.machine import Machine, TaskKey
from clayport.model import Job, MachineType
from clayport.scheduling.room import Room


class RoomTable(Protocol):
    """The rooms of machines, and the jobs of the tasks on them.

    Attributes:
        job_of: Finds a job's description.
        direct_pause_s: The seconds for which a machine that did not answer a command gets its
            commands in the responses to its reports.
    """

    job_of: Callable[[str], Job | None]
    direct_pause_s: float

    def accepts_work(self, machine: Machine) -> bool:
        """Return whether the machine takes new tasks."""
        ...

    def room(self, machine: Machine) -> Room:
        """Return a copy of the machine's free room, which the caller may modify."""
        ...

    def mark_room_changed(self, name: str) -> None:
        """Record that the machine's room has changed, or that the machine has been removed."""
        ...


class StatusTable(Protocol):
    """The part of the table that is needed to emit the status of a task.

    Attributes:
        emit: Sends an event to the leader of the job with this id.
        faults: The verdicts of the jobs' leaders on the causes of errors.
    """

    emit: Callable[[str, TaskEvent], None]
    faults: FaultRecord


class ReportTable(StatusTable, Protocol):
    """The part of the table that is needed to apply a report.

    Attributes:
        job_of: Finds a job's description.
        types: The catalogue of machine types, by name.
    """

    job_of: Callable[[str], Job | None]
    types: dict[str, MachineType]

    def machine(self, name: str, now: float) -> Machine:
        """Return the machine of that name, and add it if it is unknown."""
        ...

    def accepts_work(self, machine: Machine) -> bool:
        """Return whether the machine takes new tasks."""
        ...

    def mark_room_changed(self, name: str) -> None:
        """Record that the machine's room has changed, or that the machine has been removed."""
        ...


class AssignmentTable(StatusTable, Protocol):
    """The part of the table that is needed to reserve, launch, stop and adopt tasks.

    Attributes:
        machines: The machines, by name.
        reservation_s: The seconds after which a reservation that is not launched expires.
        launched_attempts: The attempts for which no room is reserved again.
    """

    machines: dict[str, Machine]
    reservation_s: float
    launched_attempts: LaunchedAttempts

    def machine(self, name: str, now: float) -> Machine:
        """Return the machine of that name, and add it if it is unknown."""
        ...

    def room(self, machine: Machine) -> Room:
        """Return a copy of the machine's free room, which the caller may modify."""
        ...

    def mark_room_changed(self, name: str) -> None:
        """Record that the machine's room has changed, or that the machine has been removed."""
        ...

    def emit_gone(self, name: str, key: TaskKey) -> None:
        """Emit that a task is not on a machine and can no longer be started there."""
        ...


class CommandTable(Protocol):
    """The part of the table that is needed to choose the commands for a machine.

    Attributes:
        is_cancelled: Tells whether a job is known to be cancelled.
    """

    is_cancelled: Callable[[str], bool]

    def stop(self, items: Iterable[tuple[str, str, int, float, bool]]) -> None:
        """Kill or clear tasks: (machine, task, attempt, seconds to save, whether to clear)."""
        ...
