"""The machines whose workers report to this controller: their owner's view of them.

The table keeps each machine's lease, fencing token, tasks and commands. Jobs' leaders ask it
for room and launches, workers' reports go through it, and it emits what becomes of tasks.
Nothing here does any I/O.
"""

from __future__ import annotations

import logging
from collections import OrderedDict
from collections.abc import Callable, Iterable

from clayport.machines import assignments, commands, eviction, reports
from clayport.machines.changes import ChangeLog
from clayport.machines.commands import Order
from clayport.machines.events import GONE, TaskEvent
from clayport.machines.health import FaultRecord, log_unhealthy
from clayport.machines.machine import (
    LIVE,
    RESERVED,
    Machine,
    TaskKey,
    job_id,
)
from clayport.machines.room import build_room
from clayport.membership.epoch import TOKEN_COUNTER_BITS, Epoch
from clayport.model import Job, MachineType, WorkerHeartbeat, split_task
from clayport.scheduling.room import Room

log = logging.getLogger(__name__)

Key = TaskKey  # the name by which other modules know it

# Machines whose return is remembered, so that a late report doesn't bring them back.
MAX_GONE_MACHINES = 5000


class MachineTable:
    """State of all machines owned here; every method is free of I/O.

    Args:
        job_of: Finds a job's description.
        is_cancelled: Whether a job is known to be cancelled.
        emit: Hands an event to the leader of the job with this id.
        reservation_s: For how long room is kept for tasks whose launch isn't asked for.
        direct_pause_s: For how long a machine that didn't answer a command gets its commands
            in the responses to its reports.

    Attributes:
        machines: The machines, by name.
        gone: Machines whose return is confirmed; their names are not used again.
        types: The catalogue of machine types, by name.
        epoch: The epoch under which the machines are owned.
        changes: What of the free-room table changed when, so that a cached state is renewed
            by what changed and not by building every room anew.
        faults: What jobs' leaders have judged of errors.
    """

    def __init__(
        self,
        job_of: Callable[[str], Job | None],
        is_cancelled: Callable[[str], bool],
        emit: Callable[[str, TaskEvent], None],
        reservation_s: float,
        direct_pause_s: float,
    ) -> None:
        self.job_of, self.is_cancelled, self.emit = job_of, is_cancelled, emit
        self.reservation_s, self.direct_pause_s = reservation_s, direct_pause_s
        self.machines: dict[str, Machine] = {}
        self.gone: OrderedDict[str, None] = OrderedDict()
        self.types: dict[str, MachineType] = {}
        self.epoch: Epoch | None = None
        self.changes = ChangeLog()
        self.faults = FaultRecord()

    # -- ownership -------------------------------------------------------

    def begin(self, epoch: Epoch, own_label: str) -> None:
        """Enter a new epoch: tokens rise and every desired task is adopted anew.

        What the reports said of machines that stay ours is kept, so that they
        take work again at once; that they are settled is not.
        """
        self.epoch = epoch
        for name in [n for n in self.machines if epoch.member_for(n) != own_label]:
            del self.machines[name]
        for machine in self.machines.values():
            machine.token = epoch.first_token + 1
            machine.fenced = machine.fencing = False
            machine.reset_orders()
        self.mark_all_changed()

    def discount_stall(self, gap_s: float) -> None:
        """Don't count a stall of this process as silence of the machines.

        What came during the stall is still to be read.
        """
        for machine in self.machines.values():
            machine.heard += gap_s
            machine.reported_at += gap_s

    def machine(self, name: str, now: float) -> Machine:
        """The machine of that name, which is added where it is not known."""
        assert self.epoch is not None
        found = self.machines.get(name)
        if found is None:
            found = self.machines[name] = Machine(name, self.epoch.first_token + 1, now)
        return found

    def removed(self, names: Iterable[str]) -> None:
        """Take note that the cloud has confirmed the machines' return."""
        for name in names:
            self.gone[name] = None
            if len(self.gone) > MAX_GONE_MACHINES:
                self.gone.popitem(last=False)
            machine = self.machines.pop(name, None)
            if machine is not None:
                self.touch(name)
                # Leaders are told as well: one that took over a moment ago has adopted its
                # tasks here after it heard of the return, and would wait for ever.
                for key, desired in machine.desired.items():
                    if desired.phase is not RESERVED:
                        self.emit_gone(name, key)

    def jobs_on(self, name: str) -> set[str]:
        """The jobs with tasks that are on a machine or desired there."""
        machine = self.machines.get(name)
        if machine is None:
            return set()
        return {split_task(key[0])[0] for key in (*machine.desired, *machine.reported_tasks)}

    # -- what changed ----------------------------------------------------

    @property
    def room_rev(self) -> int:
        """The revision of the free-room table."""
        return self.changes.revision

    def touch(self, name: str) -> None:
        """Note that the machine's room has changed, or that the machine is gone."""
        machine = self.machines.get(name)
        if machine is not None:
            machine.cached_room = None
        self.changes.record(name, len(self.machines))

    def mark_all_changed(self) -> None:
        """Note that the room of any machine may have changed."""
        for machine in self.machines.values():
            machine.cached_room = None
        self.changes.record_all()

    def changed(self, since: int) -> list[str] | None:
        """Machines that changed after the revision; None: any may have."""
        return self.changes.since(since)

    # -- reports ---------------------------------------------------------

    def accepts_token(self, report: WorkerHeartbeat) -> bool:
        """Whether no later epoch has given out the report's token.

        A higher one of our epoch was given out by a peer that took us for ended.
        """
        assert self.epoch is not None
        return report.token >> TOKEN_COUNTER_BITS <= self.epoch.number

    def take_report(
        self, report: WorkerHeartbeat, now: float, renews_lease: bool
    ) -> Machine | None:
        """Apply a report.

        Args:
            report: The report.
            now: When it came.
            renews_lease: Whether the worker sent it to a controller, so that the answer renews
                its lease; a command's answer holds a report as well, which doesn't.

        Returns:
            The machine; None for a report that is older than what is known.
        """
        return reports.apply_report(self, report, now, renews_lease)

    def emit_again(self, machine: str, key: TaskKey) -> None:
        """Emit an event again with a later report: the leader could not judge it yet."""
        found = self.machines.get(machine)
        if found is not None:
            found.emitted.pop(key, None)

    def settled(self, machine: str, key: TaskKey) -> None:
        """Take note that the job's leader knows that a task is gone."""
        found = self.machines.get(machine)
        if found is not None and key not in found.reported_tasks:
            desired = found.desired.get(key)
            if desired is not None and desired.phase is LIVE:
                del found.desired[key]
                self.touch(machine)

    def emit_gone(self, name: str, key: TaskKey) -> None:
        """Emit that a task is not on a machine and can't start there any more."""
        self.emit(job_id(key), TaskEvent(name, *key, GONE, "", False))

    # -- health ----------------------------------------------------------

    @property
    def failing_jobs(self) -> dict[str, None]:
        """Jobs that fail by their own fault."""
        return self.faults.failing_jobs

    def is_unhealthy(self, machine: Machine) -> bool:
        """Whether the errors on a machine are held against it."""
        return self.faults.is_unhealthy(machine)

    def judge(self, name: str, job: str, at_fault: bool) -> None:
        """Take the verdict of a job's leader on whose fault an error was.

        What a job failed by its own is held against no machine: a few such jobs once closed
        sound ones.
        """
        if self.faults.record(job, at_fault):
            log.info("job=%s event=job-failing", job)
            self._forgive(job)
        machine = self.machines.get(name)
        if (
            machine is not None
            and not at_fault
            and job in machine.errors
            and self.is_unhealthy(machine)
        ):
            log_unhealthy(machine, job)
            self.touch(name)

    def ended(self, job: str, status: str) -> None:
        """Forget the verdict on a job that is over; a user cancels what has a mistake."""
        self.faults.forget(job)
        if status == "cancelled":
            self._forgive(job)

    def _forgive(self, job: str) -> None:
        """Hold a job's errors against no machine any more."""
        for machine in self.machines.values():
            if machine.errors.pop(job, 0):
                self.touch(machine.name)

    # -- what the jobs' leaders ask --------------------------------------

    def reserve(
        self, job: Job, items: Iterable[tuple[str, int]], attempt: int, now: float
    ) -> list[bool]:
        """Keep room for tasks of a job, by machine and number; whether each is granted."""
        return assignments.reserve(self, job, items, attempt, now)

    def expire(self, now: float) -> None:
        """Drop reservations whose leader has not come back for them, and room kept too long."""
        assignments.expire(self, now)

    def launch(self, items: Iterable[tuple[str, str, int]]) -> list[int]:
        """Queue launches of (machine, task, attempt); 0 for each that will never be launched."""
        return assignments.launch(self, items)

    def stop(self, items: Iterable[tuple[str, str, int, float, bool]]) -> None:
        """Kill or clear tasks: (machine, task, attempt, seconds to save, whether to clear)."""
        assignments.stop(self, items)

    def adopt(self, items: Iterable[tuple[str, str, int]], now: float) -> None:
        """Take over assignments, (machine, task, attempt), that a leader found committed."""
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
        """Stop work of lower rank until `count` tasks of `job` fit.

        Of the lowest rank first, and what can save its progress before what can't.
        What would save for longer than `grace_s` goes back to its last checkpoint.
        Teams in `borrowers` have borrowed what is now claimed: their work goes whatever
        its rank, but for replicas.

        Returns:
            Whether a task of the job will fit.
        """
        machine = self.machines.get(name)
        return machine is not None and eviction.preempt(
            self, job, machine, grace_s, now, borrowers, count
        )

    def drain(self, name: str) -> bool:
        """Close an idle machine for good; False when something is or may be on it.

        Work without any aim that saves its progress does so and goes on elsewhere: it must
        not keep an ordinary machine rented.
        """
        machine = self.machines.get(name)
        return machine is None or eviction.drain(self, machine)

    def replicas(self, machine: Machine) -> list[tuple[TaskKey, Job]]:
        """The replicas on a machine that would have to move."""
        return eviction.replicas(self, machine)

    # -- commands --------------------------------------------------------

    def orders(self, machine: Machine) -> tuple[list[Order], list[TaskKey]]:
        """The commands to send now, and the launches among them, which become SENT."""
        return commands.take_orders(self, machine)

    def answered(self, machine: Machine, orders: list[Order], launches: list[TaskKey]) -> None:
        """Take note that the worker has executed the commands."""
        commands.note_answered(machine, orders, launches)

    def unanswered(self, machine: Machine, launches: list[TaskKey], sent: bool, now: float) -> None:
        """Take note that no answer came; `sent`: the commands may yet arrive."""
        commands.note_unanswered(machine, launches, sent, now + self.direct_pause_s)

    # -- room ------------------------------------------------------------

    def open(self, machine: Machine) -> bool:
        """Whether the machine takes new tasks."""
        return (
            machine.known
            and not machine.draining
            and machine.notice_at is None
            and not machine.fencing
            and not machine.lease_expired
            and not (machine.errors and self.faults.is_unhealthy(machine))
        )

    def room(self, machine: Machine, owner: str = "", now: float | None = None) -> Room:
        """The machine's free room: all that is desired or still reported is counted.

        Args:
            machine: The machine.
            owner: The label that the room gets as its owner's.
            now: The present instant, to say for which job room is kept; None: it isn't said.

        Returns:
            A copy that the caller may charge.
        """
        built = machine.cached_room
        if built is None or built.open != (self.open(machine) and machine.type in self.types):
            built, all_known = build_room(
                machine, self.types.get(machine.type), self.open(machine), self.job_of
            )
            # What is on it with no job known for it may become known without a touch.
            machine.cached_room = built if all_known else None
        room = built.copy()
        room.owner = owner
        if room.idle:
            room.idle_since = machine.idle_since
        if now is not None:
            room.hold = machine.held_for_job if now < machine.held_until else ""
        return room
