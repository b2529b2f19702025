"""What the modules that work on the table of machines use of it.

The table calls them and is given to them. They name these interfaces in place of its class, so
that modules import in one direction only.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import Protocol

from clayport.machines.events import TaskEvent
from clayport.machines.health import FaultRecord
from clayport.machines.machine import Machine, TaskKey
from clayport.model import Job, MachineType
from clayport.scheduling.room import Room


class RoomTable(Protocol):
    """The rooms of machines, and the jobs of what is on them.

    Attributes:
        job_of: Finds a job's description.
        direct_pause_s: For how long a machine that didn't answer a command gets its commands
            in the responses to its reports.
    """

    job_of: Callable[[str], Job | None]
    direct_pause_s: float

    def open(self, machine: Machine) -> bool:
        """Whether the machine takes new tasks."""
        ...

    def room(self, machine: Machine) -> Room:
        """The machine's free room; a copy that the caller may charge."""
        ...

    def touch(self, name: str) -> None:
        """Note that the machine's room has changed, or that the machine is gone."""
        ...


class StatusTable(Protocol):
    """What is needed to emit the status of a task.

    Attributes:
        emit: Hands an event to the leader of the job with this id.
        faults: What jobs' leaders have judged of errors.
    """

    emit: Callable[[str, TaskEvent], None]
    faults: FaultRecord


class ReportTable(StatusTable, Protocol):
    """What is needed to apply a report.

    Attributes:
        job_of: Finds a job's description.
        types: The catalogue of machine types, by name.
    """

    job_of: Callable[[str], Job | None]
    types: dict[str, MachineType]

    def machine(self, name: str, now: float) -> Machine:
        """The machine of that name, which is added where it is not known."""
        ...

    def open(self, machine: Machine) -> bool:
        """Whether the machine takes new tasks."""
        ...

    def touch(self, name: str) -> None:
        """Note that the machine's room has changed, or that the machine is gone."""
        ...


class AssignmentTable(StatusTable, Protocol):
    """What is needed to reserve, launch, stop and adopt tasks.

    Attributes:
        machines: The machines, by name.
        reservation_s: For how long room is kept for tasks whose launch isn't asked for.
    """

    machines: dict[str, Machine]
    reservation_s: float

    def machine(self, name: str, now: float) -> Machine:
        """The machine of that name, which is added where it is not known."""
        ...

    def room(self, machine: Machine) -> Room:
        """The machine's free room; a copy that the caller may charge."""
        ...

    def touch(self, name: str) -> None:
        """Note that the machine's room has changed, or that the machine is gone."""
        ...

    def emit_gone(self, name: str, key: TaskKey) -> None:
        """Emit that a task is not on a machine and can't start there any more."""
        ...


class CommandTable(Protocol):
    """What is needed to choose the commands for a machine.

    Attributes:
        is_cancelled: Whether a job is known to be cancelled.
    """

    is_cancelled: Callable[[str], bool]

    def stop(self, items: Iterable[tuple[str, str, int, float, bool]]) -> None:
        """Kill or clear tasks: (machine, task, attempt, seconds to save, whether to clear)."""
        ...
