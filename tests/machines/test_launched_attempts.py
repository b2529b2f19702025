"""Tests that copies of a leader's requests to an owner launch no attempt a second time."""

from __future__ import annotations

import curio
import pytest

from clayport.membership.epoch import Epoch
from clayport.transport import frames
from tests.jobs.test_dispatch import SingleController
from tests.machines.test_workers import JOB, KEY, OwnerHarness


def repeat_requests(harness: OwnerHarness, number: int, attempt: int) -> tuple[bool, int]:
    """Repeat the requests to reserve room for a task and to launch it; return the answers."""
    (granted,) = harness.owner.reserve(JOB, [("m1", number)], attempt, 0.0)
    (launched,) = harness.owner.launch([("m1", f"{JOB.id}/{number}", attempt)])
    return granted, launched


def end_task(harness: OwnerHarness) -> None:
    """Send the launch of the task, let the task exit, and clear it."""
    orders, launches = harness.owner.commands_to_send(harness.machine, direct=True)
    harness.owner.answered(harness.machine, orders, launches)
    harness.report((KEY, "exited", "error"))
    harness.owner.stop([("m1", *KEY, 0.0, True)])
    harness.report()


def test_copies_of_a_reservation_and_a_launch_start_no_ended_task_again() -> None:
    harness = OwnerHarness()
    harness.report()
    harness.launch()
    end_task(harness)
    assert repeat_requests(harness, 0, 1) == (False, 0)
    assert not harness.machine.has_urgent_commands


def test_copies_start_no_task_whose_launch_was_refused_for_lack_of_a_reservation() -> None:
    harness = OwnerHarness()
    harness.report()
    assert harness.owner.launch([("m1", *KEY)]) == [0]
    assert repeat_requests(harness, 0, 1) == (False, 0)


def test_copies_start_no_task_of_an_earlier_attempt() -> None:
    harness = OwnerHarness()
    harness.report()
    harness.launch()
    end_task(harness)
    assert repeat_requests(harness, 3, 2) == (True, 1)
    assert repeat_requests(harness, 0, 1) == (False, 0)


def test_replacements_of_a_gang_keep_the_number_of_the_attempt() -> None:
    harness = OwnerHarness()
    harness.report()
    harness.launch()
    assert repeat_requests(harness, 1, 1) == (True, 1)


def test_an_epoch_may_use_the_attempt_number_of_the_last_one_again() -> None:
    harness = OwnerHarness()
    harness.report()
    harness.launch()
    harness.owner.begin_epoch(Epoch(4, {"c0": "x"}, 8), "c0")
    harness.report()
    assert repeat_requests(harness, 0, 1) == (True, 1)


@pytest.mark.parametrize("live", [True, False])
def test_no_room_is_reserved_for_an_ended_job(monkeypatch: pytest.MonkeyPatch, live: bool) -> None:
    """The owner forgets the attempts of a job that has ended, so it refuses all of them."""
    harness = SingleController(monkeypatch)
    harness.report("m1", "north", "plain")
    harness.c.membership.serving = True
    harness.c.jobs.live[JOB.id] = (JOB, 1)
    if not live:
        del harness.c.jobs.live[JOB.id]
        harness.c.jobs.ended_descriptions[JOB.id] = JOB
    request = (harness.c.membership.epoch.number, JOB.id, 1, [("m1", 0)])
    kind, values = curio.run(harness.c.peer_requests.answer, frames.RESERVE, request)
    assert (kind, values) == (frames.RESERVED, (True, [(True,)]) if live else (False, []))
