"""Requests from leaders to the owner of a machine: reserve, launch, stop and adopt tasks."""

from __future__ import annotations

from collections.abc import Iterable

from clayport.machines.command_log import log_gone
from clayport.machines.machine import LIVE, QUEUED, RESERVED, DesiredTask, Machine
from clayport.machines.reports import emit_not_listed, emit_status
from clayport.machines.table_parts import AssignmentTable
from clayport.model import GANG, Job
from clayport.scheduling.room import Room


def reserve(
    table: AssignmentTable, job: Job, items: Iterable[tuple[str, int]], attempt: int, now: float
) -> list[bool]:
    """Reserve room for tasks of a job, on each machine that has enough of it.

    The leader counts a refusal as a declined start, which shortens the interval at which
    cached states are refreshed.

    Args:
        table: The table of machines.
        job: The tasks' job.
        items: Pairs of a machine's name and a task's number.
        attempt: The number of the attempt, the same for all tasks.
        now: The current time, in seconds of the monotonic clock.

    Returns:
        For each item, whether the room is reserved.
    """
    granted = []
    rooms: dict[str, Room] = {}  # built once for each machine, for all its items
    for name, number in items:
        machine = table.machines.get(name)
        if machine is not None and name not in rooms:
            rooms[name] = table.room(machine)
        key = (f"{job.id}/{number}", attempt)
        # A reservation never replaces a task that is already desired or reported. Otherwise
        # dropping the reservation would count a task as gone whose launch may have been sent.
        fits = (
            machine is not None
            and table.launched_attempts.may_reserve(job.id, number, attempt, name)
            and key not in machine.desired
            and key not in machine.reported_tasks
            and (rooms[name].fits(job) or _fits_probe(table, machine, rooms[name], job, now))
            and not machine.held_for_other(job.id, now)
        )
        if fits and machine is not None:
            machine.desired[key] = DesiredTask(RESERVED, now)
            if rooms[name].on_probation:
                machine.quarantine.probes[key] = None
                # The tasks of a gang start together or not at all, so they count as one.
                rooms[name].on_probation = job.kind == GANG
            rooms[name].allocate(job)
            if job.preemption_rank >= 0:
                machine.idle_since = now
            table.mark_room_changed(name)
        granted.append(fits)
    return granted


def _fits_probe(table: AssignmentTable, machine: Machine, room: Room, job: Job, now: float) -> bool:
    """Return whether an unhealthy machine takes a task of the job as a probe task."""
    return room.fits_probe(job) and not table.faults.prefers_other_jobs(machine, job.id, now)


def expire(table: AssignmentTable, now: float) -> None:
    """Drop reservations that were not launched in time, and expired holds of preempted room."""
    for machine in table.machines.values():
        if machine.held_for_job and now >= machine.held_until:
            machine.held_for_job = ""
            table.mark_room_changed(machine.name)
        for key in [
            key
            for key, desired in machine.desired.items()
            if desired.phase is RESERVED and now - desired.since > table.reservation_s
        ]:
            del machine.desired[key]
            table.mark_room_changed(machine.name)


def launch(table: AssignmentTable, items: Iterable[tuple[str, str, int]]) -> list[int]:
    """Queue launches of reserved tasks.

    Only a task whose reservation still exists is launched. A launch request may be delayed
    in the network and arrive after its leader has learned that the attempt is gone and has
    placed the task elsewhere. For the same reason no room is reserved for the attempt again.

    Returns:
        For each item 1, or 0 if there is no reservation, so that this request never starts
        the task.
    """
    answers = []
    for name, task, attempt in items:
        table.launched_attempts.note(name, task, attempt)
        machine = table.machines.get(name)
        desired = machine.desired.get((task, attempt)) if machine is not None else None
        if desired is not None and desired.phase is RESERVED:
            desired.phase = QUEUED
        answers.append(0 if desired is None else 1)
    return answers


def stop(table: AssignmentTable, items: Iterable[tuple[str, str, int, float, bool]]) -> None:
    """Kill tasks, or clear exited tasks from the list that their worker reports.

    Args:
        table: The table of machines.
        items: Machine, task, attempt, the seconds that the task has to save a checkpoint, and
            whether to clear it rather than kill it.
    """
    for name, task, attempt, grace_s, clear in items:
        machine = table.machines.get(name)
        if machine is None:
            continue
        key = (task, attempt)
        desired = machine.desired.get(key)
        if desired is not None and desired.phase in (RESERVED, QUEUED) and not desired.launch_sent:
            # No launch has been sent, so the task cannot run and is gone without a report.
            del machine.desired[key]
            table.mark_room_changed(name)
            log_gone(machine, key, "not-launched")
            table.emit_gone(name, key)
        elif clear:
            machine.desired.pop(key, None)
            table.mark_room_changed(name)
            if machine.has_exited(key):
                machine.pending_clears.setdefault(
                    key, desired.launch_fence if desired else machine.last_launch_fence
                )
        else:
            if desired is not None and desired.phase is QUEUED:
                # An earlier launch was sent and not answered. The task is not launched
                # again, and the next report under the raised token shows whether it runs.
                desired.phase = LIVE
            machine.pending_kills[key] = min(grace_s, machine.pending_kills.get(key, grace_s))


def adopt(table: AssignmentTable, items: Iterable[tuple[str, str, int]], now: float) -> None:
    """Add committed assignments that a new leader has read from the records.

    A fenced report, one that carries the current token, shows whether each task runs.
    """
    for name, task, attempt in items:
        machine = table.machine(name, now)
        key = (task, attempt)
        if key not in machine.desired:
            machine.desired[key] = DesiredTask(LIVE, now, machine.last_launch_fence)
            table.mark_room_changed(name)
        elif machine.desired[key].phase is RESERVED:
            machine.desired[key].phase = LIVE
        machine.emitted.pop(key, None)
        if key in machine.reported_tasks:
            emit_status(table, machine, key, machine.reported_tasks[key])
        elif machine.known and machine.fenced and machine.desired[key].phase is LIVE:
            emit_not_listed(table, machine, key)
