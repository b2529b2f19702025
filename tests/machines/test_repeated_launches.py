"""Tests that no copy of an answered launch starts a task which the worker was told to forget."""

from __future__ import annotations

import random
from typing import Any

import pytest

from clayport.machines.commands import Order
from clayport.machines.tokens import initial_token
from tests.machines.test_workers import JOB, KEY, OwnerHarness

OTHER_KEY = ("j-000001/1", 2)
CAUSES = ("done", "stopped", "mates_gone", "alone", "error", "no_room", "busy")


def send_directly(harness: OwnerHarness) -> tuple[int, list[str]]:
    """Send the queued commands directly, and let the worker answer with its token.

    Returns:
        The token of the request, and the verbs of its commands.
    """
    orders, launches = harness.owner.commands_to_send(harness.machine, direct=True)
    harness.owner.answered(harness.machine, orders, launches)
    return harness.machine.token, [order["verb"] for order in orders]


def answer_report(harness: OwnerHarness) -> tuple[int, list[str]]:
    """Return the token of the answer to a report, and the verbs of its commands."""
    orders, harness.machine.launches_in_response = harness.owner.commands_to_send(harness.machine)
    return harness.machine.token, [order["verb"] for order in orders]


def launched_and_exited(cause: str) -> tuple[OwnerHarness, int]:
    """Return an owner whose task was launched directly and has exited, and the launch's token."""
    harness = OwnerHarness()
    harness.report()
    harness.launch()
    token, verbs = send_directly(harness)
    assert verbs == ["launch"]
    harness.report((KEY, "exited", cause), token=token)
    harness.owner.stop([("m1", *KEY, 0.0, True)])
    return harness, token


@pytest.mark.parametrize("send", [send_directly, answer_report])
@pytest.mark.parametrize("cause", CAUSES)
def test_a_task_is_cleared_only_under_a_token_that_voids_its_launch(cause: str, send: Any) -> None:
    harness, launched_under = launched_and_exited(cause)
    token, verbs = send(harness)
    assert verbs == ["clear"] and token > launched_under


@pytest.mark.parametrize("cause", CAUSES)
def test_a_launch_does_not_wait_for_the_clear_of_another_task(cause: str) -> None:
    """The clear that needs a raised token is left to the next request without launches."""
    harness, launched_under = launched_and_exited(cause)
    assert harness.owner.reserve(JOB, [("m1", 1)], 2, 0.0) == [True]
    harness.owner.launch([("m1", *OTHER_KEY)])
    assert send_directly(harness) == (launched_under, ["launch"])
    harness.report((KEY, "exited", cause), (OTHER_KEY, "running", ""), token=launched_under)
    assert answer_report(harness) == (launched_under + 1, ["clear"])


def test_a_launch_after_a_clear_is_preceded_by_a_request_that_confirms_the_token() -> None:
    harness, launched_under = launched_and_exited("error")
    raised = launched_under + 1
    assert answer_report(harness) == (raised, ["clear"])
    assert harness.owner.reserve(JOB, [("m1", 1)], 2, 0.0) == [True]
    harness.owner.launch([("m1", *OTHER_KEY)])
    assert send_directly(harness) == (raised, ["clear"])
    harness.report(token=raised)
    assert send_directly(harness) == (raised, ["launch"])


def test_a_task_is_launched_again_on_its_machine_after_the_clear_of_its_earlier_attempt() -> None:
    harness, launched_under = launched_and_exited("stopped")
    again = (KEY[0], 2)
    assert harness.owner.reserve(JOB, [("m1", 0)], 2, 0.0) == [True]
    harness.owner.launch([("m1", *again)])
    assert send_directly(harness) == (launched_under + 1, ["clear"])
    harness.report(token=launched_under + 1)
    assert send_directly(harness) == (launched_under + 1, ["launch"])


def test_an_adopted_task_is_cleared_under_a_token_that_voids_every_launch_so_far() -> None:
    """A leader may adopt a task again that the owner has dropped meanwhile."""
    harness, launched_under = launched_and_exited("error")
    harness.machine.pending_clears.clear()
    harness.owner.adopt([("m1", *KEY)], 0.0)
    harness.owner.stop([("m1", *KEY, 0.0, True)])
    assert send_directly(harness) == (launched_under + 1, ["clear"])


def test_tasks_launched_under_an_earlier_token_are_cleared_without_a_raise() -> None:
    harness = OwnerHarness()
    harness.report()
    harness.launch()
    assert harness.owner.reserve(JOB, [("m1", 1)], 2, 0.0) == [True]
    harness.owner.launch([("m1", *OTHER_KEY)])
    token, _ = send_directly(harness)
    harness.report((KEY, "exited", "done"), (OTHER_KEY, "running", ""), token=token)
    harness.owner.stop([("m1", *KEY, 0.0, True)])
    assert answer_report(harness) == (token + 1, ["clear"])
    harness.report((OTHER_KEY, "exited", "done"), token=token + 1)
    harness.owner.stop([("m1", *OTHER_KEY, 0.0, True)])
    assert answer_report(harness) == (token + 1, ["clear"])


def test_a_clear_waits_for_the_next_epoch_if_the_token_cannot_be_raised() -> None:
    harness, _ = launched_and_exited("error")
    harness.machine.token = initial_token(4) - 2
    harness.owner.stop([("m1", *KEY, 0.0, True)])
    harness.machine.pending_clears[KEY] = harness.machine.last_launch_fence._replace(
        token=harness.machine.token
    )
    assert answer_report(harness) == (initial_token(4) - 2, [])


class CopySimulation:
    """An owner and its worker, over a network that repeats requests after they were answered."""

    def __init__(self, rng: random.Random) -> None:
        self.rng, self.harness = rng, OwnerHarness()
        self.token, self.attempts, self.refused, self.cleared = 0, 0, 0, 0
        self.tasks: dict[tuple[str, int], str] = {}
        self.forgotten: set[tuple[str, int]] = set()
        self.sent: list[tuple[int, list[Order]]] = []

    def execute(self, token: int, orders: list[Order]) -> None:
        """Let the worker execute commands, unless their token is too low."""
        if token < self.token:
            self.refused += 1
            return
        self.token = token
        for order in orders:
            key = (order["piece"], order["try"])
            if order["verb"] == "launch":
                assert key not in self.forgotten, "a copy starts a cleared task"
                self.tasks.setdefault(key, "running")
            elif order["verb"] == "kill" and key in self.tasks:
                self.tasks[key] = "exited"
            elif order["verb"] == "clear" and self.tasks.get(key) == "exited":
                del self.tasks[key]
                self.forgotten.add(key)
                self.cleared += 1

    def take_report(self) -> None:
        """Hand the worker's report to the owner."""
        rows = [
            (key, state, "error" * (state == "exited")) for key, state in sorted(self.tasks.items())
        ]
        self.harness.report(*rows, token=self.token)
        for machine, task, attempt, state, *_ in self.harness.events:
            if state == "gone":
                assert (task, attempt) not in self.tasks
                self.harness.owner.confirm_gone(machine, (task, attempt))
        self.harness.events.clear()
        self.harness.machine.errors.clear()

    def report(self) -> None:
        """Report to the owner, whose answer may be lost."""
        self.take_report()
        orders, launches = self.harness.owner.commands_to_send(self.harness.machine)
        self.harness.machine.launches_in_response = launches
        if self.rng.random() < 0.9:
            self.execute(self.harness.machine.token, orders)

    def send(self) -> None:
        """Send the queued commands directly."""
        owner, machine = self.harness.owner, self.harness.machine
        if not machine.has_urgent_commands:
            return
        orders, launches = owner.commands_to_send(machine, direct=True)
        self.sent.append((machine.token, orders))
        fate = self.rng.choice(("answered", "answered", "answered", "lost", "answer lost"))
        if fate != "lost":
            self.execute(machine.token, orders)
        if fate == "answered":
            owner.answered(machine, orders, launches)
            self.take_report()
        else:
            owner.unanswered(machine, launches, True, 0.0)

    def repeat(self) -> None:
        """Deliver any request once more."""
        if self.sent:
            self.execute(*self.rng.choice(self.sent))

    def launch(self) -> None:
        """Queue the launch of another attempt."""
        self.attempts += 1
        number = self.attempts % JOB.tasks
        if self.harness.owner.reserve(JOB, [("m1", number)], self.attempts, 0.0) == [True]:
            self.harness.owner.launch([("m1", f"{JOB.id}/{number}", self.attempts)])

    def exit(self) -> None:
        """Let a task exit."""
        if self.tasks:
            self.tasks[self.rng.choice(sorted(self.tasks))] = "exited"

    def stop(self) -> None:
        """Kill a task, or clear it if the owner knows that it has exited."""
        machine = self.harness.machine
        known = sorted({*machine.desired, *machine.reported_tasks})
        if known:
            key = self.rng.choice(known)
            self.harness.owner.stop([("m1", *key, 0.0, machine.has_exited(key))])


@pytest.mark.parametrize("seed", range(20))
def test_no_copy_of_any_request_starts_a_task_that_was_cleared(seed: int) -> None:
    rng = random.Random(seed)
    simulation = CopySimulation(rng)
    simulation.report()
    steps = (
        simulation.launch,
        simulation.launch,
        simulation.exit,
        simulation.stop,
        simulation.stop,
        simulation.stop,
        simulation.send,
        simulation.send,
        simulation.repeat,
        simulation.report,
    )
    for _ in range(2000):
        rng.choice(steps)()
    assert simulation.cleared > 100 and simulation.refused > 50
