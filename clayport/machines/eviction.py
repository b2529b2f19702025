"""Preempts tasks for work of higher rank, and drains machines before they are returned."""

from __future__ import annotations

import logging
from collections.abc import Iterable

from clayport.machines.machine import Machine, TaskKey, job_id
from clayport.machines.table_parts import RoomTable
from clayport.model import SERVICE, Job
from clayport.scheduling.room import Room, capacity

log = logging.getLogger(__name__)


def preempt(
    table: RoomTable,
    job: Job,
    machine: Machine,
    grace_s: float,
    now: float,
    borrowers: Iterable[str],
    count: int,
) -> bool:
    """Stop tasks of lower rank until `count` tasks of `job` fit; see `MachineTable.preempt`."""
    if not table.accepts_work(machine) or machine.held_for_other(job.id, now):
        return False
    room = table.room(machine)
    chosen: list[tuple[TaskKey, Job]] = []
    for key, victim in _victims(table, job, machine, room, borrowers):
        if capacity(job, room) >= count:
            break
        room.allocate(victim, -1)
        chosen.append((key, victim))
    if not room.fits(job):
        return False  # not even one task would fit, so nothing is stopped
    longest_s = 0.0
    for key, victim in chosen:
        saves = victim.checkpoint_s > 0 and victim.save_s <= grace_s
        machine.pending_kills[key] = victim.save_s if saves else 0.0
        longest_s = max(longest_s, machine.pending_kills[key])
    if machine.held_for_job != job.id:
        table.mark_room_changed(machine.name)
    machine.held_for_job = job.id
    machine.held_until = now + longest_s + table.direct_pause_s
    log.info("machine=%s job=%s event=preempt tasks=%d", machine.name, job.id, len(chosen))
    return True


def _victims(
    table: RoomTable, job: Job, machine: Machine, room: Room, borrowers: Iterable[str]
) -> list[tuple[TaskKey, Job]]:
    """Return the tasks that may be preempted, in the order in which they are stopped.

    Tasks that are being stopped already are not among them, and their resources are added to
    `room`.
    """
    victims = []
    for key, status in machine.reported_tasks.items():
        victim = table.job_of(job_id(key))
        if victim is None or status.state == "exited":
            continue
        if key in machine.pending_kills or status.state == "saving":
            room.allocate(victim, -1)
        elif victim.rank < job.rank or (victim.team in borrowers and victim.kind != SERVICE):
            victims.append((victim.preemption_rank, victim.checkpoint_s == 0, key, victim))
    victims.sort(key=lambda v: v[:3])
    return [(key, victim) for _, _, key, victim in victims]


def drain(table: RoomTable, machine: Machine) -> bool:
    """Close an idle machine permanently; see `MachineTable.drain`."""
    room = table.room(machine)
    if room.tasks and room.idle:
        machine.draining = True
        for key, status in machine.reported_tasks.items():
            job = table.job_of(job_id(key))
            if job is not None and job.checkpoint_s > 0 and status.state == "running":
                machine.pending_kills.setdefault(key, job.save_s)
        table.mark_room_changed(machine.name)
        return False
    if machine.desired or machine.occupying():
        # The events of exited tasks are emitted again. If the leader's answer to such an event
        # is lost, nothing else repeats the event, and the machine is never returned.
        for key in machine.desired:
            if machine.has_exited(key):
                machine.emitted.pop(key, None)
        return False
    machine.draining = True
    table.mark_room_changed(machine.name)
    return True


def replicas(table: RoomTable, machine: Machine) -> list[tuple[TaskKey, Job]]:
    """Return the replicas of services on a machine, which would have to move off it."""
    found = []
    for key in machine.occupying():
        job = table.job_of(job_id(key))
        if job is not None and job.kind == SERVICE:
            found.append((key, job))
    return found
