"""Applying a worker's report to the table of machines.

A task is believed gone only on a report that carries the token given out last, so that no
older command can still run, and never on silence.
"""

from __future__ import annotations

from clayport.machines.events import GONE, TaskEvent
from clayport.machines.machine import (
    LIVE,
    QUEUED,
    SENT,
    Machine,
    TaskKey,
    TaskStatus,
    job_id,
)
from clayport.machines.table_parts import ReportTable, StatusTable
from clayport.model import ReportedTask, WorkerHeartbeat

GONE_STATUS = TaskStatus(GONE, "", False)


def apply_report(
    table: ReportTable, report: WorkerHeartbeat, now: float, renews_lease: bool
) -> Machine | None:
    """Apply a report; None for one that is older than what is known.

    Reports held in the network arrive minutes late: (session, seq) tells.
    """
    machine = table.machine(report.machine, now)
    if machine.known:
        if (report.session, report.seq) <= (machine.session, machine.seq):
            return None
        if report.session > machine.session:
            machine.pending_kills.clear()
            machine.pending_clears.clear()
            machine.lease_expired = not renews_lease
    # A machine that is new or closes without any task changes the room as well:
    # peers pull a table only when its revision has moved.
    shown = (machine.known, table.open(machine))
    _copy_fields(machine, report, now, renews_lease)
    before = machine.reported_tasks
    reported = machine.reported_tasks = _statuses(report.tasks, before)
    changed = before != reported
    _take_statuses(table, machine)
    if changed:
        _note_images(table, machine)
    if machine.launches_in_response:
        settle_launches(machine, machine.launches_in_response)
        machine.launches_in_response = []
    if machine.pending_kills:
        machine.pending_kills = {
            key: grace_s
            for key, grace_s in machine.pending_kills.items()
            if key in reported or key in machine.desired
        }
    if machine.notice_at is not None:
        _checkpoint(table, machine)
    if machine.fenced and machine.desired:
        _emit_missing(table, machine)
    if len(machine.emitted) > len(reported):
        for key in [k for k in machine.emitted if k not in reported and k not in machine.desired]:
            del machine.emitted[key]
    if machine.pending_clears:
        machine.pending_clears = dict.fromkeys(
            key for key in machine.pending_clears if key in reported
        )
    if changed or shown != (True, table.open(machine)):
        _note_change(table, machine, now)
    return machine


def emit_status(table: StatusTable, machine: Machine, key: TaskKey, status: TaskStatus) -> None:
    """Send a task's status to its job's leader, and count it for the machine's health."""
    machine.emitted[key] = status
    job = job_id(key)
    if status.cause == "error":
        table.faults.count_error(machine, job)
    elif status.cause == "done":
        machine.errors.clear()
    event = TaskEvent(machine.name, key[0], key[1], status.state, status.cause, status.saved)
    table.emit(job, event)


def settle_launches(machine: Machine, launches: list[TaskKey]) -> None:
    """Take launches back that are not known to have arrived.

    A worker has one report in flight: what the response to the previous one ordered is
    listed in the next, or that response was dropped.
    """
    for key in launches:
        desired = machine.desired.get(key)
        if desired is not None and desired.phase is SENT:
            # What was killed meanwhile must not be launched again: a job that was
            # cancelled while its launch was on its way once was.
            desired.phase = LIVE if key in machine.pending_kills else QUEUED


def _copy_fields(machine: Machine, report: WorkerHeartbeat, now: float, renews_lease: bool) -> None:
    """Take over what a report says of the machine itself."""
    machine.known = True
    machine.session, machine.seq, machine.heard = report.session, report.seq, now
    if renews_lease:
        machine.reported_at, machine.lease_expired = now, False
    machine.address, machine.type = report.address, report.type
    machine.zone, machine.spot = report.zone, report.spot
    machine.notice_at = None if report.notice_s is None else now + report.notice_s
    # Only under the current token is an older command known to be void.
    machine.token = max(machine.token, report.token)
    machine.fenced = report.token == machine.token


def _statuses(
    tasks: list[ReportedTask], before: dict[TaskKey, TaskStatus]
) -> dict[TaskKey, TaskStatus]:
    """The statuses by task; those that have not changed are kept, which costs less."""
    statuses: dict[TaskKey, TaskStatus] = {}
    for task in tasks:
        key = (task.task, task.attempt)
        status = before.get(key)
        if status is None or status != (task.state, task.why, task.saved):
            status = TaskStatus(task.state, task.why, task.saved)
        statuses[key] = status
    return statuses


def _take_statuses(table: ReportTable, machine: Machine) -> None:
    """Settle launches of tasks that are listed, and emit what is new of each."""
    desired_tasks, emitted = machine.desired, machine.emitted
    for key, status in machine.reported_tasks.items():
        desired = desired_tasks.get(key)
        if desired is not None and (desired.phase is QUEUED or desired.phase is SENT):
            desired.phase = LIVE
        if emitted.get(key) != status:
            emit_status(table, machine, key, status)


def _note_images(table: ReportTable, machine: Machine) -> None:
    """Note the images that the machine's tasks have made it load."""
    machine_type = table.types.get(machine.type)
    if machine_type is None:
        return
    images, cache_gb, job_of = machine.images, machine_type.cache_gb, table.job_of
    for key, status in machine.reported_tasks.items():
        if status.state != "running" and status.cause != "done":
            continue
        job = job_of(key[0].partition("/")[0])  # in place: this runs for every task
        if job is None:
            continue
        images[job.image] = job.image_gb
        images.move_to_end(job.image)
        # The worker keeps the most recently used images that fit its cache.
        held_gb = sum(images.values())
        while held_gb > cache_gb and len(images) > 1:
            held_gb -= images.popitem(last=False)[1]


def _checkpoint(table: ReportTable, machine: Machine) -> None:
    """Stop the tasks that can save a checkpoint: the cloud takes the machine."""
    for key, status in machine.reported_tasks.items():
        job = table.job_of(job_id(key))
        if (
            status.state == "running"
            and job is not None
            and job.checkpoint_s > 0
            and key not in machine.pending_kills
        ):
            machine.pending_kills[key] = job.save_s


def _emit_missing(table: ReportTable, machine: Machine) -> None:
    """Emit as gone what should be on the machine and isn't, by a report under its token."""
    for key, desired in machine.desired.items():
        if desired.phase is LIVE and key not in machine.reported_tasks:
            emitted = machine.emitted.get(key)
            if emitted is None or emitted.state != GONE:
                emit_status(table, machine, key, GONE_STATUS)


def _note_change(table: ReportTable, machine: Machine, now: float) -> None:
    """Note that the room has changed, and whether any work but best-effort work is there."""
    table.touch(machine.name)
    for key in (*machine.desired, *machine.occupying()):
        job = table.job_of(job_id(key))
        if job is None or job.standing >= 0:
            machine.idle_since = now
            return
