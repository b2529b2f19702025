"""Tests of moving the replicas off a machine."""

from __future__ import annotations

import curio
import msgspec
import pytest

from clayport.machines.machine import Machine
from clayport.membership.epoch import Epoch
from clayport.model import Job
from tests.jobs.test_dispatch import SingleController
from tests.world import job as wire_job

JOB = msgspec.convert(wire_job(1, pieces=2, shape="daemon", loaners=False), Job)
REPLICAS = (f"{JOB.id}/0", f"{JOB.id}/1")


def evacuating_controller(monkeypatch: pytest.MonkeyPatch) -> tuple[SingleController, Machine]:
    """Return a controller that begins to move two replicas off a machine."""
    harness = SingleController(monkeypatch)
    harness.add_job(JOB)
    harness.report("m1", "north", "plain", *REPLICAS)
    harness.c.membership.serving = True
    assert harness.c.fleet.evacuate("m1", True)
    return harness, harness.c.machines.machines["m1"]


def finish(harness: SingleController) -> None:
    """Run the evacuation until it ends."""
    (evacuation,) = harness.c.routines.pending_coroutines
    harness.c.routines.pending_coroutines = []
    curio.run(evacuation)
    harness.discard_routines()


def test_a_machine_whose_replicas_can_not_move_takes_work_again(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    harness, machine = evacuating_controller(monkeypatch)
    assert machine.draining
    finish(harness)
    assert not machine.draining and harness.c.machines.accepts_work(machine)


def test_a_machine_takes_work_again_if_an_epoch_begins_while_its_replicas_move(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # The machine stayed closed for as long as one of its replicas ran, and replicas don't end.
    harness, machine = evacuating_controller(monkeypatch)

    def allow_move_and_begin_epoch(*_: object) -> bool:
        harness.c.membership.epoch = Epoch(2, {"c0": "x"}, 2)
        return True

    async def no_pause(_: float) -> None:
        """The clock of the harness stands still."""

    monkeypatch.setattr(harness.c.placer, "allow_move", allow_move_and_begin_epoch)
    monkeypatch.setattr(curio, "sleep", no_pause)
    finish(harness)
    assert not machine.draining and harness.c.machines.accepts_work(machine)


def test_a_machine_without_replicas_stays_closed_until_it_is_returned(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    harness, machine = evacuating_controller(monkeypatch)
    harness.report("m1", "north", "plain")  # the replicas have ended
    finish(harness)
    assert machine.draining
