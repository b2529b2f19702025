"""Applies a worker's report to the table of machines.

A task counts as gone only after a report that carries the newest token, because from then on the
worker rejects older commands that could start the task. Silence of a machine never makes a task
count as gone.
"""

from __future__ import annotations

from clayport.machines.command_log import log_gone
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
    """Apply a report, and return its machine; return None if the report is outdated.

    A report that was delayed in the network may arrive minutes late. It is outdated if its
    (session, seq) is not above that of the newest report.
    """
    machine = table.machine(report.machine, now)
    if machine.known:
        if (report.session, report.seq) <= (machine.session, machine.seq):
            return None
        if report.session > machine.session:
            machine.pending_kills.clear()
            machine.pending_clears.clear()
            machine.lease_expired = not renews_lease
    # A machine that is new, or that opens or closes, changes the room although its tasks stay
    # the same. Peers fetch a table only if its revision has changed.
    state_before = (machine.known, table.accepts_work(machine))
    _copy_fields(machine, report, now, renews_lease)
    before = machine.reported_tasks
    reported = machine.reported_tasks = _build_statuses(report.tasks, before)
    changed = before != reported
    _apply_statuses(table, machine)
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
        _queue_checkpoints(table, machine)
    if machine.fenced and machine.desired:
        _emit_missing(table, machine)
    if len(machine.emitted) > len(reported):
        for key in [k for k in machine.emitted if k not in reported and k not in machine.desired]:
            del machine.emitted[key]
    if machine.pending_clears:
        machine.pending_clears = {
            key: fence for key, fence in machine.pending_clears.items() if key in reported
        }
    if changed or state_before != (True, table.accepts_work(machine)):
        _note_change(table, machine, now)
    return machine


def emit_status(table: StatusTable, machine: Machine, key: TaskKey, status: TaskStatus) -> None:
    """Send a task's status to its leader, and count or reset the machine's errors."""
    machine.emitted[key] = status
    job = job_id(key)
    if status.cause == "error":
        table.faults.count_error(machine, job)
    elif status.cause == "done":
        table.faults.mark_healthy(machine, "done")
    event = TaskEvent(machine.name, key[0], key[1], status.state, status.cause, status.saved)
    table.emit(job, event)


def emit_not_listed(table: StatusTable, machine: Machine, key: TaskKey) -> bool:
    """Emit that a desired task is gone, which a report under the current token does not list.

    Returns:
        Whether the task is gone; False if its launch is valid, so that a copy could start it.
    """
    if not machine.voids(machine.desired[key].launch_fence):
        return False
    log_gone(machine, key, "not-listed")
    emit_status(table, machine, key, GONE_STATUS)
    return True


def settle_launches(machine: Machine, launches: list[TaskKey]) -> None:
    """Queue again the launches that are not known to have arrived.

    A worker has one report in flight. A task launched by the response to one report is listed
    in the next report, unless that response was lost.
    """
    for key in launches:
        desired = machine.desired.get(key)
        if desired is not None and desired.phase is SENT:
            # A task that is to be killed must not be launched again, for example when its job
            # was cancelled while the launch was in flight.
            desired.phase = LIVE if key in machine.pending_kills else QUEUED


def _copy_fields(machine: Machine, report: WorkerHeartbeat, now: float, renews_lease: bool) -> None:
    """Copy the fields that describe the machine itself from a report."""
    machine.known = True
    machine.session, machine.seq, machine.last_heard_at = report.session, report.seq, now
    if renews_lease:
        machine.reported_at, machine.lease_expired = now, False
    machine.address, machine.type = report.address, report.type
    machine.zone, machine.spot = report.zone, report.spot
    machine.notice_at = None if report.notice_s is None else now + report.notice_s
    # Older commands are known to be void only if the worker reports the current token.
    machine.token = max(machine.token, report.token)
    machine.confirmed_token = max(machine.confirmed_token, report.token)
    machine.fenced = report.token == machine.token


def _build_statuses(
    tasks: list[ReportedTask], before: dict[TaskKey, TaskStatus]
) -> dict[TaskKey, TaskStatus]:
    """Return the statuses by task; unchanged objects are reused, which is cheaper."""
    statuses: dict[TaskKey, TaskStatus] = {}
    for task in tasks:
        key = (task.task, task.attempt)
        status = before.get(key)
        if status is None or status != (task.state, task.why, task.saved):
            status = TaskStatus(task.state, task.why, task.saved)
        statuses[key] = status
    return statuses


def _apply_statuses(table: ReportTable, machine: Machine) -> None:
    """Mark the launches of listed tasks as arrived, and emit each changed status."""
    desired_tasks, emitted = machine.desired, machine.emitted
    for key, status in machine.reported_tasks.items():
        desired = desired_tasks.get(key)
        if desired is not None and (desired.phase is QUEUED or desired.phase is SENT):
            desired.phase = LIVE
        if emitted.get(key) != status:
            emit_status(table, machine, key, status)


def _note_images(table: ReportTable, machine: Machine) -> None:
    """Record the images that the machine has loaded for its tasks."""
    machine_type = table.types.get(machine.type)
    if machine_type is None:
        return
    images, cache_gb, job_of = machine.images, machine_type.cache_gb, table.job_of
    for key, status in machine.reported_tasks.items():
        if status.state != "running" and status.cause != "done":
            continue
        job = job_of(key[0].partition("/")[0])  # job_id() inlined, because this runs for every task
        if job is None:
            continue
        images[job.image] = job.image_gb
        images.move_to_end(job.image)
        # The worker keeps the most recently used images that fit its cache.
        held_gb = sum(images.values())
        while held_gb > cache_gb and len(images) > 1:
            held_gb -= images.popitem(last=False)[1]


def _queue_checkpoints(table: ReportTable, machine: Machine) -> None:
    """Stop the tasks that can save a checkpoint, because the cloud reclaims the machine."""
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
    """Emit that desired tasks are gone if a report under the current token omits them.

    A machine that has restarted may omit a task whose answered launch is still valid, so that a
    copy of it would start the task. Then the token is raised, and a later report decides.
    """
    launch_is_valid = False
    for key, desired in machine.desired.items():
        if desired.phase is LIVE and key not in machine.reported_tasks:
            emitted = machine.emitted.get(key)
            if emitted is not None and emitted.state == GONE:
                continue
            if not emit_not_listed(table, machine, key):
                launch_is_valid = True
    if launch_is_valid:
        machine.raise_token()


def _note_change(table: ReportTable, machine: Machine, now: float) -> None:
    """Record a change of the room; set `idle_since` unless only backfill tasks are left."""
    table.mark_room_changed(machine.name)
    for key in (*machine.desired, *machine.occupying()):
        job = table.job_of(job_id(key))
        if job is None or job.preemption_rank >= 0:
            machine.idle_since = now
            return
