"""What jobs' leaders ask of a machine's owner: to reserve room, launch, stop and adopt tasks."""

from __future__ import annotations

from collections.abc import Iterable

from clayport.machines.machine import LIVE, QUEUED, RESERVED, DesiredTask
from clayport.machines.reports import GONE_STATUS, emit_status
from clayport.machines.table_parts import AssignmentTable
from clayport.model import Job
from clayport.scheduling.room import Room


def reserve(
    table: AssignmentTable, job: Job, items: Iterable[tuple[str, int]], attempt: int, now: float
) -> list[bool]:
    """Keep room for tasks; refused where it is short (the decline that ASC counts).

    Args:
        table: The table of machines.
        job: The tasks' job.
        items: Machines, each with the number of a task.
        attempt: The attempt at the tasks.
        now: The present instant.

    Returns:
        For each item, whether there is room.
    """
    granted = []
    rooms: dict[str, Room] = {}  # of machines asked for several tasks: built once
    for name, number in items:
        machine = table.machines.get(name)
        if machine is not None and name not in rooms:
            rooms[name] = table.room(machine)
        key = (f"{job.id}/{number}", attempt)
        # A reservation never replaces what is wanted or there already: let go, it
        # would be taken to have never been sent.
        fits = (
            machine is not None
            and key not in machine.desired
            and key not in machine.reported_tasks
            and rooms[name].fits(job)
            and not machine.held_for_other(job.id, now)
        )
        if fits and machine is not None:
            machine.desired[key] = DesiredTask(RESERVED, now)
            rooms[name].take(job)
            if job.standing >= 0:
                machine.idle_since = now
            table.touch(name)
        granted.append(fits)
    return granted


def expire(table: AssignmentTable, now: float) -> None:
    """Drop reservations whose leader has not come back for them, and room kept too long."""
    for machine in table.machines.values():
        if machine.held_for_job and now >= machine.held_until:
            machine.held_for_job = ""
            table.touch(machine.name)
        for key in [
            key
            for key, desired in machine.desired.items()
            if desired.phase is RESERVED and now - desired.since > table.reservation_s
        ]:
            del machine.desired[key]
            table.touch(machine.name)


def launch(table: AssignmentTable, items: Iterable[tuple[str, str, int]]) -> list[int]:
    """Queue launches; 0: no reservation, so it isn't and won't be launched.

    Only a standing reservation is launched. That guards against a launch
    request that was held in the network and arrives when its leader has long
    settled the attempt and put the task elsewhere.
    """
    answers = []
    for name, task, attempt in items:
        machine = table.machines.get(name)
        desired = machine.desired.get((task, attempt)) if machine is not None else None
        if desired is not None and desired.phase is RESERVED:
            desired.phase = QUEUED
        answers.append(0 if desired is None else 1)
    return answers


def stop(table: AssignmentTable, items: Iterable[tuple[str, str, int, float, bool]]) -> None:
    """Kill tasks, or clear them from the list of what has exited.

    Args:
        table: The table of machines.
        items: Machine, task, attempt, the seconds it has to save, and whether to clear it.
    """
    for name, task, attempt, grace_s, clear in items:
        machine = table.machines.get(name)
        if machine is None:
            continue
        key = (task, attempt)
        desired = machine.desired.get(key)
        if desired is not None and desired.phase in (RESERVED, QUEUED) and not desired.launch_sent:
            # Never sent: settled at once.
            del machine.desired[key]
            table.touch(name)
            table.emit_gone(name, key)
        elif clear:
            machine.desired.pop(key, None)
            table.touch(name)
            if machine.has_exited(key):
                machine.pending_clears[key] = None
        else:
            if desired is not None and desired.phase is QUEUED:
                # Sent before without an answer: no new launch, and the next
                # report under the raised token settles the old one.
                desired.phase = LIVE
            machine.pending_kills[key] = min(grace_s, machine.pending_kills.get(key, grace_s))


def adopt(table: AssignmentTable, items: Iterable[tuple[str, str, int]], now: float) -> None:
    """Take over assignments that a leader found committed: fenced reports settle them."""
    for name, task, attempt in items:
        machine = table.machine(name, now)
        key = (task, attempt)
        if key not in machine.desired:
            machine.desired[key] = DesiredTask(LIVE, now)
            table.touch(name)
        elif machine.desired[key].phase is RESERVED:
            machine.desired[key].phase = LIVE
        machine.emitted.pop(key, None)
        if key in machine.reported_tasks:
            emit_status(table, machine, key, machine.reported_tasks[key])
        elif machine.known and machine.fenced and machine.desired[key].phase is LIVE:
            emit_status(table, machine, key, GONE_STATUS)
