"""The table of the machines that this controller owns.

The table holds each machine's lease, fencing token, tasks and commands. It handles the requests
of leaders and the reports of workers, and emits the events of tasks. It does no I/O.
"""

from __future__ import annotations

import logging
from collections import OrderedDict
from collections.abc import Callable, Iterable

from clayport.machines import assignments, commands, eviction, reports
from clayport.machines.changes import ChangeLog
from clayport.machines.command_log import log_gone
from clayport.machines.commands import Order
from clayport.machines.events import GONE, TaskEvent
from clayport.machines.health import FaultRecord
from clayport.machines.launched_attempts import LaunchedAttempts
from clayport.machines.machine import (
    LIVE,
    RESERVED,
    Machine,
    TaskKey,
    job_id,
)
from clayport.machines.room import build_room
from clayport.machines.tokens import epoch_of, initial_token
from clayport.membership.epoch import Epoch
from clayport.model import Job, MachineType, WorkerHeartbeat, split_task_id
from clayport.scheduling.room import Room

log = logging.getLogger(__name__)

Key = TaskKey

# The most names of returned machines that are kept, so that a late report does not add the machine
# again.
MAX_GONE_MACHINES = 5000


class MachineTable:
    """The state of all machines that this controller owns; no method does I/O.

    Args:
        job_of: Finds a job's description.
        is_cancelled: Tells whether a job is known to be cancelled.
        emit: Sends an event to the leader of the job with this id.
        reservation_s: The seconds after which a reservation that is not launched expires.
        direct_pause_s: The seconds for which a machine that did not answer a command gets its
            commands in the responses to its reports.
        lease_s: The duration of a worker's lease, in seconds.

    Attributes:
        machines: The machines, by name.
        returned_machines: Machines whose return is confirmed; their names are not used again.
        types: The catalogue of machine types, by name.
        epoch: The epoch under which the machines are owned.
        changes: The log of changes to rooms, so that a refresh of a cached state builds only
            the rooms that have changed.
        faults: The verdicts of the jobs' leaders on the causes of errors.
        launched_attempts: The attempts for which no room is reserved again.
    """

    def __init__(
        self,
        job_of: Callable[[str], Job | None],
        is_cancelled: Callable[[str], bool],
        emit: Callable[[str, TaskEvent], None],
        reservation_s: float,
        direct_pause_s: float,
        lease_s: float,
    ) -> None:
        self.job_of, self.is_cancelled, self.emit = job_of, is_cancelled, emit
        self.reservation_s, self.direct_pause_s = reservation_s, direct_pause_s
        self.machines: dict[str, Machine] = {}
        self.returned_machines: OrderedDict[str, None] = OrderedDict()
        self.types: dict[str, MachineType] = {}
        self.epoch: Epoch | None = None
        self.changes = ChangeLog()
        self.faults = FaultRecord(lease_s)
        self.launched_attempts = LaunchedAttempts()

    # -- ownership -------------------------------------------------------

    def begin_epoch(self, epoch: Epoch, own_label: str) -> None:
        """Enter a new epoch: drop lost machines, raise the tokens and clear desired tasks.

        The new epoch's leaders adopt their tasks again. The last report of a machine that this
        controller still owns is kept, so that the machine takes work immediately. The machine
        does not count as fenced until it reports the new token.
        """
        self.epoch = epoch
        self.launched_attempts.forget_all()
        for name in [n for n in self.machines if epoch.member_for(n) != own_label]:
            del self.machines[name]
        for machine in self.machines.values():
            machine.fencing = False
            machine.reset_for_epoch(initial_token(epoch.number))
        self.mark_all_changed()

    def exclude_stall(self, gap_s: float) -> None:
        """Exclude a stall of this process from the silence of the machines.

        Reports that arrived during the stall have not been read yet.
        """
        for machine in self.machines.values():
            machine.last_heard_at += gap_s
            machine.reported_at += gap_s

    def machine(self, name: str, now: float) -> Machine:
        """Return the machine of that name, and add it if it is unknown."""
        assert self.epoch is not None
        found = self.machines.get(name)
        if found is None:
            found = self.machines[name] = Machine(name, initial_token(self.epoch.number), now)
        return found

    def remove_machines(self, names: Iterable[str]) -> None:
        """Remove machines whose return the cloud has confirmed."""
        for name in names:
            self.returned_machines[name] = None
            if len(self.returned_machines) > MAX_GONE_MACHINES:
                self.returned_machines.popitem(last=False)
            machine = self.machines.pop(name, None)
            if machine is not None:
                self.mark_room_changed(name)
                # The leaders get an event for each task. A new leader may have adopted tasks
                # here after it learned of the return, and would otherwise wait forever.
                for key, desired in machine.desired.items():
                    if desired.phase is not RESERVED:
                        log_gone(machine, key, "returned")
                        self.emit_gone(name, key)

    def jobs_on(self, name: str) -> set[str]:
        """Return the jobs with tasks that are reported or desired on a machine."""
        machine = self.machines.get(name)
        if machine is None:
            return set()
        return {split_task_id(key[0])[0] for key in (*machine.desired, *machine.reported_tasks)}

    # -- changes of rooms ------------------------------------------------

    @property
    def room_rev(self) -> int:
        """The revision of the table of rooms."""
        return self.changes.revision

    def mark_room_changed(self, name: str) -> None:
        """Record that the machine's room has changed, or that the machine has been removed."""
        machine = self.machines.get(name)
        if machine is not None:
            machine.cached_room = None
        self.changes.record(name, len(self.machines))

    def mark_all_changed(self) -> None:
        """Record that the room of any machine may have changed."""
        for machine in self.machines.values():
            machine.cached_room = None
        self.changes.record_all()

    def changed(self, since: int) -> list[str] | None:
        """Return the machines that changed after a revision; None if any may have changed."""
        return self.changes.since(since)

    # -- reports ---------------------------------------------------------

    def accepts_token(self, report: WorkerHeartbeat) -> bool:
        """Return whether the report's token is not one of a later epoch.

        A higher token of the current epoch is accepted, because a peer that answered a report
        without this controller has issued it.
        """
        assert self.epoch is not None
        return epoch_of(report.token) <= self.epoch.number

    def take_report(
        self, report: WorkerHeartbeat, now: float, renews_lease: bool
    ) -> Machine | None:
        """Apply a report.

        Args:
            report: The report.
            now: When the report arrived.
            renews_lease: Whether the worker sent the report to a controller, whose answer
                renews the lease. The report in the answer to a command does not renew it.

        Returns:
            The machine; None for an outdated report.
        """
        return reports.apply_report(self, report, now, renews_lease)

    def emit_again(self, machine: str, key: TaskKey) -> None:
        """Let the next report emit an event again, because the leader cannot handle it yet."""
        found = self.machines.get(machine)
        if found is not None:
            found.emitted.pop(key, None)

    def confirm_gone(self, machine: str, key: TaskKey) -> None:
        """Drop a desired task after its leader has learned that it is gone."""
        found = self.machines.get(machine)
        if found is not None and key not in found.reported_tasks:
            desired = found.desired.get(key)
            if desired is not None and desired.phase is LIVE:
                del found.desired[key]
                self.mark_room_changed(machine)

    def emit_gone(self, name: str, key: TaskKey) -> None:
        """Emit that a task is not on a machine and can no longer be started there."""
        self.emit(job_id(key), TaskEvent(name, *key, GONE, "", False))

    # -- health ----------------------------------------------------------

    @property
    def jobs_at_fault(self) -> dict[str, None]:
        """Jobs that cause their own errors."""
        return self.faults.jobs_at_fault

    def is_unhealthy(self, machine: Machine) -> bool:
        """Return whether the errors on a machine make it unhealthy."""
        return self.faults.is_unhealthy(machine)

    def record_verdict(self, name: str, job: str, at_fault: bool) -> None:
        """Record the verdict of a job's leader on whether the job or the machine is at fault.

        Errors of a job at fault count against no machine. Otherwise a few such jobs could close
        healthy machines.
        """
        if self.faults.record(job, at_fault):
            log.info("job=%s event=job-failing", job)
            self._remove_errors(job)
        machine = self.machines.get(name)
        if machine is not None and not at_fault and self.faults.note_verdict(machine, job):
            self.mark_room_changed(name)

    def job_ended(self, job: str, status: str) -> None:
        """Drop the verdict on a job that has ended, and its launched attempts.

        The errors of a cancelled job no longer count against machines, because users often
        cancel jobs that are faulty.
        """
        self.faults.forget(job)
        self.launched_attempts.forget_job(job)
        if status == "cancelled":
            self._remove_errors(job)

    def _remove_errors(self, job: str) -> None:
        """Remove a job's errors from all machines."""
        for machine in self.machines.values():
            if self.faults.remove_errors(machine, job):
                self.mark_room_changed(machine.name)

    # -- requests of leaders ---------------------------------------------

    def reserve(
        self, job: Job, items: Iterable[tuple[str, int]], attempt: int, now: float
    ) -> list[bool]:
        """Reserve room for tasks of a job, and return whether each reservation is granted.

        Each item holds a machine's name and the number of the task to start there.
        """
        return assignments.reserve(self, job, items, attempt, now)

    def expire(self, now: float) -> None:
        """Drop expired reservations and holds of preempted room, and end quarantines."""
        assignments.expire(self, now)
        for machine in self.machines.values():
            if machine.errors and self.faults.check_quarantine(machine, now):
                self.mark_room_changed(machine.name)

    def launch(self, items: Iterable[tuple[str, str, int]]) -> list[int]:
        """Queue launches of (machine, task, attempt); return 0 for each without a reservation."""
        return assignments.launch(self, items)

    def stop(self, items: Iterable[tuple[str, str, int, float, bool]]) -> None:
        """Kill or clear tasks: (machine, task, attempt, seconds to save, whether to clear)."""
        assignments.stop(self, items)

    def adopt(self, items: Iterable[tuple[str, str, int]], now: float) -> None:
        """Add committed assignments that a leader has read.

        Each item holds a machine's name, a task and the number of the attempt.
        """
        assignments.adopt(self, items, now)

    def preempt(
        self,
        job: Job,
        name: str,
        grace_s: float,
        now: float,
        borrowers: Iterable[str] = (),
        count: int = 1,
    ) -> bool:
        """Stop tasks of lower rank until `count` tasks of `job` fit.

        Tasks of the lowest rank are stopped first, and among them those that can save a
        checkpoint. A task that needs more than `grace_s` to save one is stopped immediately
        and resumes from its last checkpoint. Teams in `borrowers` use quota that is
        guaranteed to the job's team, so their tasks are stopped whatever their rank,
        except for replicas of services.

        Returns:
            Whether at least one task of the job will fit.
        """
        machine = self.machines.get(name)
        return machine is not None and eviction.preempt(
            self, job, machine, grace_s, now, borrowers, count
        )

    def drain(self, name: str) -> bool:
        """Close an idle machine permanently; return False if a task is or may be on it.

        Backfill tasks (tasks without an objective) must not keep a machine rented. Those that
        can save a checkpoint are stopped and continue on another machine.
        """
        machine = self.machines.get(name)
        return machine is None or eviction.drain(self, machine)

    def replicas(self, machine: Machine) -> list[tuple[TaskKey, Job]]:
        """Return the replicas on a machine, which would have to move off it."""
        return eviction.replicas(self, machine)

    # -- commands --------------------------------------------------------

    def commands_to_send(
        self, machine: Machine, direct: bool = False
    ) -> tuple[list[Order], list[TaskKey]]:
        """Return the commands to send now and the launches among them, whose tasks become SENT.

        Args:
            machine: The machine.
            direct: Whether the commands are sent in a request to the worker rather than in the
                answer to a report.
        """
        return commands.take_orders(self, machine, direct)

    def answered(self, machine: Machine, orders: list[Order], launches: list[TaskKey]) -> None:
        """Record that the worker has executed the commands."""
        commands.note_answered(machine, orders, launches)

    def unanswered(self, machine: Machine, launches: list[TaskKey], sent: bool, now: float) -> None:
        """Record that the worker did not answer; if `sent`, the commands may still arrive."""
        commands.note_unanswered(machine, launches, sent, now + self.direct_pause_s)

    # -- room ------------------------------------------------------------

    def accepts_work(self, machine: Machine) -> bool:
        """Return whether the machine takes new tasks."""
        return self._is_available(machine) and not (
            machine.errors and self.faults.is_unhealthy(machine)
        )

    def takes_probe(self, machine: Machine) -> bool:
        """Return whether the machine is unhealthy and takes a probe task."""
        return self.faults.takes_probe(machine) and self._is_available(machine)

    @staticmethod
    def _is_available(machine: Machine) -> bool:
        """Return whether the machine takes new tasks if it is healthy."""
        return (
            machine.known
            and not machine.draining
            and machine.notice_at is None
            and not machine.fencing
            and not machine.lease_expired
        )

    def room(self, machine: Machine, owner: str = "", now: float | None = None) -> Room:
        """Return the machine's free room, from which all desired and reported tasks take room.

        Args:
            machine: The machine.
            owner: The label of the owner to set in the room.
            now: The current time, which decides whether the room is still held for a job; None
                if the result need not name that job.

        Returns:
            A copy that the caller may modify.
        """
        built = machine.cached_room
        if built is None or built.open != (
            self.accepts_work(machine) and machine.type in self.types
        ):
            built, all_known = build_room(
                machine, self.types.get(machine.type), self.accepts_work(machine), self.job_of
            )
            # A job that is unknown now may become known without a call of `mark_room_changed`.
            machine.cached_room = built if all_known else None
        room = built.copy()
        room.owner = owner
        if room.idle:
            room.idle_since = machine.idle_since
        room.on_probation = machine.type in self.types and self.takes_probe(machine)
        if now is not None:
            room.reserved_for = machine.held_for_job if now < machine.held_until else ""
        return room
