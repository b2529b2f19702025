"""Tests that tokens void the launches of an owner that does not answer its machines' reports."""

from __future__ import annotations

import random
from typing import Any

import curio
import msgspec
import pytest

from clayport.machines.tokens import TOKEN_COUNTER_BITS, epoch_of, initial_token, void_token
from clayport.membership.epoch import Epoch
from clayport.model import Job
from tests.jobs.test_dispatch import SingleController
from tests.machines.test_workers import JOB, OwnerHarness
from tests.world import job as wire_job


def report_answer_without_owner(
    harness: SingleController, reported: int, peer_epoch: int = 4
) -> tuple[int, int]:
    """Let a controller in epoch 4 answer a report whose machine has an unreachable owner.

    Args:
        harness: The controller.
        reported: The highest token that the worker has seen.
        peer_epoch: The epoch that the owner's last heartbeat has named.

    Returns:
        The status, and the token in the answer; 0 if the lease is not renewed.
    """
    c = harness.c
    c.transition.begin_epoch(Epoch(4, {"c1": "first"}, 7))
    harness.discard_routines()  # the load of the epoch
    c.membership.records_loaded = True
    c.peers["c1"].epoch = peer_epoch
    c.fleet.report_answers.forwarded["m1"] = harness.now
    report = {"host": "m1", "address": "m:1", "flavor": "plain", "site": "north"}
    report |= {"loaners": False, "tenure": 1, "counter": 1, "epoch": reported, "pieces": []}
    body = msgspec.json.encode(report)
    status, answer, _ = curio.run(c.user_api.handle, "POST", "/v1/report", body)
    return status, msgspec.json.decode(answer).get("epoch", 0)


LAST_TOKEN_OF_EPOCH_4 = initial_token(5) - 2
STEPS = 2000  # of each simulation


@pytest.mark.parametrize("counter", [0, 1, 5, 1 << TOKEN_COUNTER_BITS - 1])
@pytest.mark.parametrize("answering", ["first", "second", "before"])
@pytest.mark.parametrize(
    "epoch, peer_epoch, in_epoch",
    [
        (4, 4, 4),
        # The worker has seen no token of its owner, whose answer was lost; a launch is in flight.
        (3, 4, 4),
        (0, 4, 4),
        # A later epoch, which this controller has not read yet, names another owner.
        (5, 4, 5),
        # The owner has begun a later epoch, in which it may have sent launches.
        (4, 6, 6),
    ],
)
def test_an_answer_without_the_owner_voids_the_owners_launches(
    monkeypatch: pytest.MonkeyPatch,
    epoch: int,
    peer_epoch: int,
    in_epoch: int,
    answering: str,
    counter: int,
) -> None:
    """Guards against launches of an unreachable owner that outlive a cancellation.

    The owner's process may have ended ("second") or be cut off ("first"); its predecessor may have
    answered last ("before"). `epoch` and `counter` make up the token that the worker has seen.
    """
    harness = SingleController(monkeypatch)
    harness.c.upgrade.promises_enabled = True
    monkeypatch.setattr(harness.c.renewal, "may_renew", lambda now: True)
    harness.c.watermark.note_promise("c1", answering, harness.now, harness.now)
    reported = epoch << TOKEN_COUNTER_BITS | counter
    status, token = report_answer_without_owner(harness, reported, peer_epoch)
    assert status == 200
    assert token > reported and token > initial_token(max(peer_epoch, 4))
    assert epoch_of(token) == in_epoch


@pytest.mark.parametrize(
    "promises_enabled, reported, renewed_under",
    [
        # The previous version refuses a token that it has not issued itself.
        (False, initial_token(4) + 4, initial_token(4) + 4),
        # A higher token would belong to the next epoch, whose owner may use it for launches.
        (True, LAST_TOKEN_OF_EPOCH_4, 0),
        (True, LAST_TOKEN_OF_EPOCH_4 - 1, LAST_TOKEN_OF_EPOCH_4),
    ],
)
def test_a_token_is_raised_only_within_its_epoch_and_among_equal_versions(
    monkeypatch: pytest.MonkeyPatch, promises_enabled: bool, reported: int, renewed_under: int
) -> None:
    harness = SingleController(monkeypatch)
    harness.c.upgrade.promises_enabled = promises_enabled
    monkeypatch.setattr(harness.c.renewal, "may_renew", lambda now: True)
    status, token = report_answer_without_owner(harness, reported)
    assert (status == 200, token) == (bool(renewed_under), renewed_under)


def test_a_command_refused_for_a_peers_token_is_sent_again_at_once(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Otherwise each answer without the owner would delay starts by the pause after a failure."""
    harness = SingleController(monkeypatch)
    c, tokens = harness.c, []
    harness.report("m1", "north", "plain")
    job = msgspec.convert(wire_job(1), Job)
    c.jobs.live[job.id] = (job, 1)
    c.membership.serving = True
    machine = c.machines.machines["m1"]
    raised = machine.token + 1
    report = {"host": "m1", "address": "m:1", "flavor": "plain", "site": "north"}
    report |= {"loaners": False, "tenure": machine.session, "epoch": raised, "pieces": []}

    class Worker:
        async def request(
            self, method: str, path: str, body: bytes, timeout_s: float
        ) -> tuple[int, bytes]:
            sent = msgspec.json.decode(body)
            tokens.append((sent["epoch"], [order["verb"] for order in sent["orders"]]))
            answer = report | {"counter": machine.seq + 1}
            return 200 if sent["epoch"] >= raised else 409, msgspec.json.encode(answer)

    monkeypatch.setattr(c.fleet, "client", lambda address: Worker())
    monkeypatch.setattr(c.renewal, "may_renew", lambda now: True)
    c.machines.reserve(job, [("m1", 0)], 1, harness.now)
    c.machines.launch([("m1", "j-000001/0", 1)])
    curio.run(c.fleet.sender.send_until_empty, machine)
    assert tokens == [(raised - 1, ["launch"]), (raised, ["launch"])]


class TokenSimulation:
    """An owner, its worker, and another controller that answers some of the worker's reports.

    The network delivers the owner's requests, loses their answers or holds them. The owner learns
    that a request was not answered, and goes on.
    """

    def __init__(self, rng: random.Random) -> None:
        self.rng, self.bench = rng, OwnerHarness()
        self.worker_token = 0
        self.tasks: set[tuple[str, int]] = set()
        self.held: list[tuple[int, list[dict[str, Any]]]] = []
        self.attempts = 0
        self.direct_launches = 0
        self.report_to_owner()

    def report_to_owner(self) -> None:
        """Report to the owner, whose answer may be lost."""
        running = [(key, "running", "") for key in self.tasks]
        self.bench.report(*running, token=self.worker_token)
        for _, task, attempt, state, *_ in self.bench.events:
            if state == "gone":
                assert (task, attempt) not in self.tasks
                self.bench.owner.confirm_gone("m1", (task, attempt))
        self.bench.events.clear()
        machine = self.bench.machine
        orders, machine.launches_in_response = self.bench.owner.commands_to_send(machine)
        if self.rng.random() < 0.7:
            self.execute(machine.token, orders)

    def report_to_peer(self) -> None:
        """Report to the other controller, and check that no held launch is valid afterwards."""
        token = void_token(self.worker_token, 3)
        assert token is not None
        self.execute(token, [])
        assert not any(
            held >= self.worker_token and any(order["verb"] == "launch" for order in orders)
            for held, orders in self.held
        )

    def launch(self) -> None:
        """Queue the launch of another attempt."""
        self.attempts += 1
        number = self.attempts % JOB.tasks
        if self.bench.owner.reserve(JOB, [("m1", number)], self.attempts, 0.0) == [True]:
            self.bench.owner.launch([("m1", f"{JOB.id}/{number}", self.attempts)])

    def kill(self) -> None:
        """Stop a task, if there is any."""
        if self.bench.machine.desired:
            key = self.rng.choice(sorted(self.bench.machine.desired))
            self.bench.owner.stop([("m1", *key, 0.0, False)])

    def send(self) -> None:
        """Send the queued commands directly."""
        owner, machine = self.bench.owner, self.bench.machine
        if not machine.has_commands:
            return
        orders, launches = owner.commands_to_send(machine, direct=True)
        self.direct_launches += len(launches)
        fate = self.rng.choice(("answered", "answer lost", "held"))
        if fate == "held":
            self.held.append((machine.token, orders))
        elif self.execute(machine.token, orders) and fate == "answered":
            owner.answered(machine, orders, launches)
            return
        owner.unanswered(machine, launches, True, 0.0)

    def deliver(self) -> None:
        """Deliver a held request."""
        if self.held:
            self.execute(*self.held.pop(self.rng.randrange(len(self.held))))

    def execute(self, token: int, orders: list[dict[str, Any]]) -> bool:
        """Let the worker execute commands, unless their token is too low."""
        if token < self.worker_token:
            return False
        self.worker_token = token
        for order in orders:
            key = (order["piece"], order["try"])
            if order["verb"] == "launch":
                self.tasks.add(key)
            else:
                self.tasks.discard(key)
        return True


@pytest.mark.parametrize("seed", range(20))
def test_no_held_launch_is_valid_after_an_answer_without_the_owner(seed: int) -> None:
    """Guards against an owner whose raised tokens are ahead of those that its worker has seen."""
    rng = random.Random(seed)
    simulation = TokenSimulation(rng)
    steps = (
        simulation.launch,
        simulation.launch,
        simulation.kill,
        simulation.send,
        simulation.send,
        simulation.send,
        simulation.deliver,
        simulation.report_to_owner,
        simulation.report_to_peer,
    )
    for _ in range(STEPS):
        rng.choice(steps)()
    assert simulation.direct_launches > STEPS / 100
