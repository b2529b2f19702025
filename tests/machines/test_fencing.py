"""Tests of the batching of fences, and of the check whether a silent machine still works."""

from __future__ import annotations

from typing import Any

import curio
import pytest

from clayport.machines.fencing import MachineFencing
from clayport.machines.silence import SilenceWatch
from clayport.scaling.cloud import CloudError
from clayport.transport.peers import PeerError
from tests.world import Clock, simulate


class FakeController:
    """A fake of the cloud, the membership and the machine removal that `MachineFencing` uses."""

    def __init__(self) -> None:
        self.epoch: object = self
        self.sent: list[list[str]] = []
        self.announced: list[str] = []
        self.failing_requests: set[int] = set()  # numbers of requests, counted from 1

    def fencing(self) -> MachineFencing:
        """Return the object under test, with this fake for each part that it uses."""
        parts: Any = self
        return MachineFencing(cloud=parts, membership=parts, removal=parts)

    async def wait_for_rate_limit(self) -> None:
        await curio.sleep(0)

    async def return_unpaced(self, names: list[str]) -> None:
        self.sent.append(names)
        await curio.sleep(0)
        if len(self.sent) in self.failing_requests:
            raise CloudError("503")

    async def announce(self, names: list[str]) -> None:
        self.announced += names


async def fence_all(fencing: MachineFencing, names: list[str]) -> list[str]:
    async def fence_one(name: str) -> str:
        try:
            await fencing.fence(name)
        except CloudError as exc:
            return str(exc)
        return ""

    tasks = [await curio.spawn(fence_one, n) for n in names]
    return [await t.join() for t in tasks]


@pytest.mark.parametrize(
    "count, failing_requests, requests",
    [
        (1, set(), [1]),
        (100, set(), [100]),
        (320, set(), [100, 100, 100, 20]),  # one request per machine would take over 100 s
        (320, {2}, [100, 100, 100, 20]),
        (150, {1, 2}, [100, 50]),
    ],
)
def test_fences_are_sent_in_batches(
    count: int, failing_requests: set[int], requests: list[int]
) -> None:
    fake = FakeController()
    fake.failing_requests = failing_requests
    fencing = fake.fencing()
    names = [f"i-{n:06d}" for n in range(count)]
    # The last machine is fenced twice and sent once.
    errors = curio.run(fence_all, fencing, [*names, names[-1]])
    assert [len(s) for s in fake.sent] == requests and [
        n for names_sent in fake.sent for n in names_sent
    ] == names
    # A machine whose return failed is not announced as gone.
    refused = {n for number in failing_requests for n in fake.sent[number - 1]}
    assert set(fake.announced) == set(names) - refused
    assert [bool(error) for error in errors] == [n in refused for n in [*names, names[-1]]]
    assert not fencing.waiting and not fencing.sending


def test_pending_fences_fail_in_a_new_epoch() -> None:
    """A new owner may have received reports of the machine, and may have placed tasks on it."""
    fake = FakeController()
    fencing = fake.fencing()

    async def wait_for_rate_limit() -> None:
        fake.epoch = object()  # type: ignore[assignment]

    fake.wait_for_rate_limit = wait_for_rate_limit  # type: ignore[method-assign]
    errors = curio.run(fence_all, fencing, ["i-000001", "i-000002"])
    assert fake.sent == [] and all("epoch" in error for error in errors)


def test_unexpected_error_fails_the_fence() -> None:
    fake = FakeController()

    async def fail(_: Any) -> None:
        raise ValueError("malformed")

    fake.return_unpaced = fail  # type: ignore[method-assign]
    fencing = fake.fencing()
    assert all(curio.run(fence_all, fencing, ["i-000001"]))
    assert not fencing.waiting and not fencing.sending


@pytest.mark.parametrize(
    "own_answer, peer_answer, reachable",
    [(False, False, False), (True, False, True), (False, True, True), (False, None, False)],
)
def test_silent_machine_is_checked_by_owner_and_peer_concurrently(
    monkeypatch: pytest.MonkeyPatch, own_answer: bool, peer_answer: bool | None, reachable: bool
) -> None:
    """Requests sent one after the other would take longer than the machine's lease.

    A peer that cannot be reached (None) is skipped, and the next one is asked.
    """

    class FakePeer:
        def __init__(self, answer: bool | None) -> None:
            self.answer = answer

        async def call(self, *_: Any) -> tuple[bool | None]:
            await curio.sleep(0.0 if self.answer is None else 4.0)
            if self.answer is None:
                raise PeerError("the peer is unreachable")
            return (self.answer,)

    silence: Any = object.__new__(SilenceWatch)
    silence.peers = {
        "out": FakePeer(True),
        "c1": FakePeer(None if peer_answer is None else peer_answer),
        "c2": FakePeer(False),
    }
    silence.command_s = 3.0

    async def inspect(*_: Any) -> bool:
        await curio.sleep(3.0)
        return own_answer

    silence.inspect = inspect

    async def main(clock: Clock) -> tuple[bool, float]:
        began = clock()
        return await silence._is_reachable("i-000001", "m:1", {"c0", "c1", "c2"}), clock() - began

    assert simulate(monkeypatch, main) == (reachable, 4.0)
