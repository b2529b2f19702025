"""Commands for a worker: what is sent, and what an answer or its absence says of them.

The verbs and fields are those of the protocol between controllers and workers.
"""

from __future__ import annotations

from typing import Any

from clayport.machines.machine import LIVE, QUEUED, SENT, Machine, TaskKey, job_id
from clayport.machines.reports import settle_launches
from clayport.machines.table_parts import CommandTable

# Commands of a kind per request, so that 64 KiB always suffice.
MAX_COMMANDS = 300

Order = dict[str, Any]  # a command as it goes on the wire


def clear_order(key: TaskKey) -> Order:
    """The order to forget an exited task."""
    return {"verb": "clear", "piece": key[0], "try": key[1]}


def kill_order(key: TaskKey, grace_s: float) -> Order:
    """The order to stop a task that has so many seconds to save a checkpoint."""
    return {"verb": "kill", "piece": key[0], "try": key[1], "wind_down_s": grace_s}


def launch_order(key: TaskKey) -> Order:
    """The order to start a task."""
    return {"verb": "launch", "piece": key[0], "try": key[1]}


def take_orders(table: CommandTable, machine: Machine) -> tuple[list[Order], list[TaskKey]]:
    """The commands to send now, and the launches among them, which become SENT."""
    orders = [clear_order(key) for key in list(machine.pending_clears)[:MAX_COMMANDS]]
    orders += [
        kill_order(key, grace_s)
        for key, grace_s in list(machine.pending_kills.items())[:MAX_COMMANDS]
    ]
    launches = []
    queued = [key for key, desired in machine.desired.items() if desired.phase is QUEUED]
    for key in queued[:MAX_COMMANDS]:
        if table.is_cancelled(job_id(key)):
            # Its job's leader may not be there to say so.
            table.stop([(machine.name, *key, 0.0, False)])
            continue
        launches.append(key)
        machine.desired[key].phase = SENT
        machine.desired[key].launch_sent = True
        orders.append(launch_order(key))
    return orders, launches


def note_answered(machine: Machine, orders: list[Order], launches: list[TaskKey]) -> None:
    """Note that the worker has executed the commands."""
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
    """Note that no answer came: a raised token voids what may still be on its way.

    Args:
        machine: The machine.
        launches: The launches among the commands.
        sent: Whether any of the request may have left.
        paused_until: Up to when commands go with the responses to reports instead.
    """
    settle_launches(machine, launches)
    if sent:
        machine.token += 1
        machine.fenced = False
    machine.direct_paused_until = paused_until
