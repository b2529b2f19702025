"""Machines that are to be returned, when many are at once."""

from __future__ import annotations

from typing import Any

import curio
import pytest

from clayport.machines.fencing import MachineFencing
from clayport.machines.silence import SilenceWatch
from clayport.scaling.cloud import CloudError
from clayport.transport.peers import PeerError
from tests.world import Clock, simulate


class Core:
    """What fences use of a controller; the cloud takes a request each second."""

    def __init__(self) -> None:
        self.epoch: object = self
        self.sent: list[list[str]] = []
        self.told: list[str] = []
        self.fails: set[int] = set()  # numbers of the requests that are refused

    def fencing(self) -> MachineFencing:
        """The routine under test, with this in place of all parts that it uses."""
        parts: Any = self
        return MachineFencing(cloud=parts, membership=parts, removal=parts)

    async def turn(self) -> None:
        await curio.sleep(0)

    async def return_now(self, names: list[str]) -> None:
        self.sent.append(names)
        await curio.sleep(0)
        if len(self.sent) in self.fails:
            raise CloudError("503")

    async def announce(self, names: list[str]) -> None:
        self.told += names


async def fence_all(fences: MachineFencing, names: list[str]) -> list[str]:
    async def one(name: str) -> str:
        try:
            await fences.fence(name)
        except CloudError as exc:
            return str(exc)
        return ""

    tasks = [await curio.spawn(one, n) for n in names]
    return [await t.join() for t in tasks]


@pytest.mark.parametrize(
    "count, fails, requests",
    [
        (1, set(), [1]),
        (100, set(), [100]),
        (320, set(), [100, 100, 100, 20]),  # each had a request of its own: a hundred seconds
        (320, {2}, [100, 100, 100, 20]),
        (150, {1, 2}, [100, 50]),
    ],
)
def test_many_fences_go_together(count: int, fails: set[int], requests: list[int]) -> None:
    core = Core()
    core.fails = fails
    fences = core.fencing()
    names = [f"i-{n:06d}" for n in range(count)]
    found = curio.run(fence_all, fences, [*names, names[-1]])  # asked for twice, sent once
    assert [len(s) for s in core.sent] == requests and [
        n for names_sent in core.sent for n in names_sent
    ] == names
    # Nobody is told that a machine is gone whose return was refused.
    refused = {n for number in fails for n in core.sent[number - 1]}
    assert set(core.told) == set(names) - refused
    assert [bool(f) for f in found] == [n in refused for n in [*names, names[-1]]]
    assert not fences.waiting and not fences.sending


def test_what_waits_is_not_returned_in_a_later_epoch() -> None:
    """Its new owner may have heard the machine meanwhile: it works, and is full again."""
    core = Core()
    fences = core.fencing()

    async def turn() -> None:
        core.epoch = object()  # type: ignore[assignment]

    core.turn = turn  # type: ignore[method-assign]
    found = curio.run(fence_all, fences, ["i-000001", "i-000002"])
    assert core.sent == [] and all("epoch" in f for f in found)


def test_an_error_of_any_kind_is_told() -> None:
    core = Core()

    async def fail(_: Any) -> None:
        raise ValueError("malformed")

    core.return_now = fail  # type: ignore[method-assign]
    fences = core.fencing()
    assert all(curio.run(fence_all, fences, ["i-000001"]))
    assert not fences.waiting and not fences.sending


@pytest.mark.parametrize(
    "ours, theirs, answers",
    [(False, False, False), (True, False, True), (False, True, True), (False, None, False)],
)
def test_a_silent_machine_is_asked_by_two_at_once(
    monkeypatch: pytest.MonkeyPatch, ours: bool, theirs: bool | None, answers: bool
) -> None:
    """One after the other took until the machine's lease was over. Who can't be reached
    (None) says nothing, and the next is asked."""

    class Asked:
        def __init__(self, says: bool | None) -> None:
            self.says = says

        async def call(self, *_: Any) -> tuple[bool | None]:
            await curio.sleep(0.0 if self.says is None else 4.0)
            if self.says is None:
                raise PeerError("away")
            return (self.says,)

    silence: Any = object.__new__(SilenceWatch)
    silence.peers = {
        "out": Asked(True),
        "c1": Asked(None if theirs is None else theirs),
        "c2": Asked(False),
    }
    silence.command_s = 3.0

    async def inspect(*_: Any) -> bool:
        await curio.sleep(3.0)
        return ours

    silence.inspect = inspect

    async def main(clock: Clock) -> tuple[bool, float]:
        began = clock()
        return await silence._answers("i-000001", "m:1", {"c0", "c1", "c2"}), clock() - began

    assert simulate(monkeypatch, main) == (answers, 4.0)
