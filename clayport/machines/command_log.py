"""Log lines about commands and about tasks that are gone, which tell why a task could start."""

from __future__ import annotations

import logging
from collections.abc import Iterable
from typing import Any

from clayport.machines.machine import Machine, TaskKey

log = logging.getLogger(__name__)


def log_sent(machine: Machine, by: str, orders: Iterable[dict[str, Any]]) -> None:
    """Log the commands that are sent to a machine under its current token.

    Args:
        machine: The machine.
        by: How they are sent, "request" or "answer" (to a report).
        orders: The commands in their wire format.
    """
    if log.isEnabledFor(logging.INFO):
        log.info(
            "machine=%s session=%d token=%d confirmed=%d event=commands-sent by=%s commands=%s",
            machine.name,
            machine.session,
            machine.token,
            machine.confirmed_token,
            by,
            ",".join(f"{order['verb']}:{order['piece']}@{order['try']}" for order in orders),
        )


def log_gone(machine: Machine, key: TaskKey, cause: str) -> None:
    """Log that a task counts as gone from a machine, and why.

    Args:
        machine: The machine.
        key: The task.
        cause: "not-listed" (in a report under the current token), "not-launched" or "returned".
    """
    log.info(
        "machine=%s session=%d token=%d task=%s attempt=%d event=task-gone cause=%s",
        machine.name,
        machine.session,
        machine.token,
        *key,
        cause,
    )
