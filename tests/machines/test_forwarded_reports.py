"""Tests of reports that a controller forwards to the owner of the machine."""

from __future__ import annotations

from typing import Any

import curio
import msgspec
import pytest

from clayport.machines.commands import clear_order, kill_order, launch_order
from clayport.membership.epoch import Epoch
from tests.jobs.test_dispatch import SingleController

CANCELLED, LIVE = ("j-000001/0", 1), ("j-000002/0", 1)


def test_a_forwarded_answer_launches_no_task_of_a_cancelled_job(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against launches of an owner that has not learned of a cancellation yet."""
    harness = SingleController(monkeypatch)
    c = harness.c
    c.transition.begin_epoch(Epoch(4, {"c0": c.membership.incarnation, "c1": "first"}, 7))
    harness.discard_routines()  # the load of the epoch
    c.membership.records_loaded = True
    monkeypatch.setattr(c.renewal, "may_renew", lambda now: True)
    c.jobs.ended["j-000001"] = "cancelled"
    name = next(n for n in map("m{}".format, range(99)) if c.membership.epoch.member_for(n) == "c1")
    c.fleet.report_answers.forwarded[name] = harness.now
    kept = [kill_order(CANCELLED, 0.0), clear_order(CANCELLED), launch_order(LIVE)]
    answer = {"epoch": 9, "orders": [launch_order(CANCELLED), *kept]}

    async def call(kind: int, values: tuple[Any, ...], timeout_s: float | None = None) -> Any:
        return 200, msgspec.json.encode(answer)

    monkeypatch.setattr(c.peers["c1"], "call", call)
    report = {"host": name, "address": "m:1", "flavor": "plain", "site": "north"}
    report |= {"loaners": False, "tenure": 1, "counter": 1, "epoch": 5, "pieces": []}
    status, given = curio.run(c.fleet.answer_report, msgspec.json.encode(report))
    assert (status, given) == (200, answer | {"orders": kept})
