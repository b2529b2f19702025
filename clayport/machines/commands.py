"""Commands for a worker: choosing them, and recording whether the worker has executed them.

The verbs and fields are those of the protocol between controllers and workers.
"""

from __future__ import annotations

from typing import Any

from clayport.machines.machine import LIVE, QUEUED, SENT, Machine, TaskKey, job_id
from clayport.machines.reports import settle_launches
from clayport.machines.table_parts import CommandTable
from clayport.machines.tokens import LaunchFence, raised_token

# The most commands of each kind in one request, so that a request always fits into 64 KiB.
MAX_COMMANDS = 300

Order = dict[str, Any]  # a command in its wire format


def clear_order(key: TaskKey) -> Order:
    """Return the command to forget an exited task."""
    return {"verb": "clear", "piece": key[0], "try": key[1]}


def kill_order(key: TaskKey, grace_s: float) -> Order:
    """Return the command to stop a task, which has `grace_s` seconds to save a checkpoint."""
    return {"verb": "kill", "piece": key[0], "try": key[1], "wind_down_s": grace_s}


def launch_order(key: TaskKey) -> Order:
    """Return the command to start a task."""
    return {"verb": "launch", "piece": key[0], "try": key[1]}


def take_orders(
    table: CommandTable, machine: Machine, direct: bool
) -> tuple[list[Order], list[TaskKey]]:
    """Return the commands to send now and the launches among them, whose tasks become SENT.

    The commands are to be sent under the token that the machine has after this call.

    Args:
        table: The table of machines.
        machine: The machine.
        direct: Whether the commands are sent in a request to the worker. Such a request may arrive
            late or again, so it contains launches only under a token that can be voided
            (`machines.tokens`).
    """
    launches: list[TaskKey] = []
    if not direct or (machine.may_launch_directly and not _relaunch_needs_clear(machine)):
        launches = _take_launches(table, machine, direct)
    # A raised token has to be confirmed before the next direct launch, so the clears that need
    # one wait for a request without launches or for the answer to a report.
    orders = _take_clears(machine, may_raise=not (direct and launches))
    orders += [
        kill_order(key, grace_s)
        for key, grace_s in list(machine.pending_kills.items())[:MAX_COMMANDS]
    ]
    return orders + [launch_order(key) for key in launches], launches


def _relaunch_needs_clear(machine: Machine) -> bool:
    """Return whether a queued launch is of a task whose earlier attempt has to be cleared first.

    Otherwise the worker might refuse the launch because of the other attempt. The clear needs a
    raised token, so the launch cannot be sent with it.
    """
    if raised_token(machine.token) is None:
        return False
    uncleared = {
        key[0] for key, fence in machine.pending_clears.items() if not machine.voids(fence)
    }
    return any(
        desired.phase is QUEUED and key[0] in uncleared for key, desired in machine.desired.items()
    )


def _take_launches(table: CommandTable, machine: Machine, direct: bool) -> list[TaskKey]:
    """Return the queued launches to send now, and mark their tasks as SENT."""
    launches = []
    fence = LaunchFence(machine.session, machine.token)
    queued = [key for key, desired in machine.desired.items() if desired.phase is QUEUED]
    for key in queued[:MAX_COMMANDS]:
        if table.is_cancelled(job_id(key)):
            # The task is stopped here, because the job's leader may be unavailable and unable
            # to withdraw the launch.
            table.stop([(machine.name, *key, 0.0, False)])
            continue
        launches.append(key)
        desired = machine.desired[key]
        desired.phase = SENT
        desired.launch_sent = True
        if direct:
            desired.launch_fence = machine.last_launch_fence = fence
    return launches


def _take_clears(machine: Machine, may_raise: bool) -> list[Order]:
    """Return the clears to send now, and raise the token if one of them needs it.

    Once a worker has forgotten a task, a copy of the task's launch would start it again. So a
    task is cleared only under a token that voids its launch.

    Args:
        machine: The machine.
        may_raise: Whether the token may be raised; otherwise clears that need it are left out.
    """
    clears = list(machine.pending_clears.items())[:MAX_COMMANDS]
    may_raise = may_raise and raised_token(machine.token) is not None
    if may_raise and not all(machine.voids(fence) for _, fence in clears):
        machine.raise_token()
    return [clear_order(key) for key, fence in clears if machine.voids(fence)]


def note_answered(machine: Machine, orders: list[Order], launches: list[TaskKey]) -> None:
    """Record that the worker has executed the commands."""
    for key in launches:
        desired = machine.desired.get(key)
        if desired is not None and desired.phase is SENT:
            desired.phase = LIVE
    for order in orders:
        if order["verb"] == "kill":
            machine.pending_kills.pop((order["piece"], order["try"]), None)


def note_unanswered(
    machine: Machine, launches: list[TaskKey], sent: bool, paused_until: float
) -> None:
    """Record that a request was not answered.

    If the request may still arrive, the token is raised. A worker that has seen the new token
    rejects the request.

    Args:
        machine: The machine.
        launches: The tasks whose launches were in the request.
        sent: Whether any part of the request may have been sent.
        paused_until: Until when commands are sent only in the responses to reports.
    """
    settle_launches(machine, launches)
    if sent:
        machine.raise_token()
    machine.direct_paused_until = paused_until
