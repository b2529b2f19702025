"""When to ask again, how much at once, and what is not admitted."""

from __future__ import annotations

import random
from typing import Any

import curio
import pytest

from clayport.limits import (
    AdmissionControl,
    Circuit,
    ConcurrencyLimit,
    Deadline,
    Gate,
    GateClosedError,
    RetryBudget,
    RetryPolicy,
)
from clayport.limits.inflight import DECREASE_FACTOR
from tests.world import Clock, simulate


def retries(budget: RetryBudget, seed: int = 1) -> RetryPolicy:
    return RetryPolicy(0.5, 4.0, budget, random.Random(seed).uniform)


@pytest.mark.parametrize(
    "at, now, needs, left, allowed",
    [
        (10.0, 4.0, 0.0, 6.0, True),
        (10.0, 4.0, 5.9, 6.0, True),
        (10.0, 4.0, 6.0, 6.0, False),
        (10.0, 12.0, 0.0, 0.0, False),
    ],
)
def test_deadline(at: float, now: float, needs: float, left: float, allowed: bool) -> None:
    deadline = Deadline(at)
    assert (deadline.left(now), deadline.allows(now, needs)) == (left, allowed)
    assert deadline.left(now, 1.0) == min(left, 1.0)
    assert deadline.fraction(now, 0.5).left(now) == pytest.approx(left / 2)
    assert Deadline().fraction(now, 0.5) == Deadline()  # whoever can wait for ever still can


def test_pauses_grow_within_their_bounds_and_begin_anew() -> None:
    attempt = retries(RetryBudget(0.0, 1e9, 1.0, 0.0)).begin(0.0)
    pauses = [attempt.next_pause(0.0) for _ in range(50)]
    assert all(p is not None and 0.25 <= p <= 4.0 for p in pauses)
    assert max(p or 0.0 for p in pauses[5:]) > 2.0
    attempt.served()
    first = attempt.next_pause(0.0)
    assert first is not None and first <= 0.75


def test_what_comes_too_late_is_not_tried_and_costs_no_budget() -> None:
    budget = RetryBudget(0.0, 2.0, 1.0, 0.0)
    attempt = retries(budget).begin(0.0, Deadline.within(0.0, 0.2))
    assert attempt.next_pause(0.0) is None and budget.level == 2.0


@pytest.mark.parametrize(
    "firsts, asked, waits",
    [
        (0, 3, [0.0, 0.0, 0.5]),  # two are saved up; the next are paced
        (20, 3, [0.0, 0.0, 0.5]),  # first tries earn no more than `most`
    ],
)
def test_the_budget_paces_all_who_ask_again(firsts: int, asked: int, waits: list[float]) -> None:
    """A hundred jobs that each ask again in an outage ask together as often as a few."""
    budget = RetryBudget(0.1, 2.0, 2.0, 0.0)
    for _ in range(firsts):
        budget.record_request(0.0)
    assert [budget.reserve(0.0) for _ in range(asked)] == pytest.approx(waits)
    # A thousand routines in ten seconds: no more than the budget allows.
    turns = [budget.reserve(0.0) for _ in range(1000)]
    assert sum(1 for t in turns if t <= 10.0) <= 2 + 10 * 2


def test_first_tries_earn_retries() -> None:
    budget = RetryBudget(0.5, 10.0, 0.001, 0.0)
    budget.level = 0.0
    for _ in range(4):
        budget.record_request(0.0)
    assert [budget.reserve(0.0) for _ in range(2)] == [0.0, 0.0] and budget.reserve(0.0) > 100.0


@pytest.mark.parametrize(
    "answers, bound",
    [
        ([(0.01, True)] * 60, 12),  # grows while it is used and answered well
        ([(0.01, True)] * 3 + [(1.0, True)] * 30, 4),  # slow answers: more would only wait longer
        ([(1.0, False)] * 40, 2),  # unanswered: down to the least, not below
    ],
)
def test_the_bound_follows_how_requests_fare(answers: list[tuple[float, bool]], bound: int) -> None:
    inflight, now = ConcurrencyLimit(8, 2, 12), 0.0
    for took, served in answers:
        while not inflight.full:
            inflight.acquire()
        now += took
        inflight.release(now, took, served)
    assert int(inflight.limit) <= bound if answers[-1][0] > 0.5 else int(inflight.limit) == bound
    assert inflight.limit >= 2


def test_one_outage_cuts_the_bound_once_for_all_that_was_on_its_way() -> None:
    inflight = ConcurrencyLimit(10, 1, 100)
    for _ in range(10):
        inflight.acquire()
    for _ in range(10):
        inflight.release(3.0, 3.0, False)
    assert inflight.limit == pytest.approx(10 * DECREASE_FACTOR)


def test_an_idle_client_learns_nothing() -> None:
    inflight = ConcurrencyLimit(10, 1, 100)
    for _ in range(500):
        inflight.acquire()
        inflight.release(1.0, 0.01, True)
    assert inflight.limit == 10


@pytest.mark.parametrize("backlog, answer", [(0.0, 0), (3.5, 0), (3.6, 2), (10.0, 9), (500.0, 30)])
def test_admission_control_says_when_to_retry(backlog: float, answer: int) -> None:
    assert AdmissionControl(3.5, 30.0).retry_after_s(backlog) == answer


def test_a_gate_keeps_to_its_bound_and_lets_the_urgent_ahead(monkeypatch: Any) -> None:
    passed: list[str] = []
    most = 0

    async def main(clock: Clock) -> None:
        gate = Gate(ConcurrencyLimit(2, 1, 2), 60.0)

        async def one(name: str, ahead: float, takes: float) -> None:
            nonlocal most
            async with gate.slot(ahead) as slot:
                most = max(most, gate.inflight.in_flight)
                await curio.sleep(takes)
                slot.served = True
                passed.append(name)

        tasks = [
            await curio.spawn(one, n, a, t)
            for n, a, t in (
                ("a", 0.0, 1.0),
                ("b", 0.0, 9.0),
                ("later", 0.0, 1.0),
                ("urgent", 1.0, 1.0),
            )
        ]
        for task in tasks:
            await task.join()
        assert gate.inflight.in_flight == 0

    simulate(monkeypatch, main)
    assert most == 2 and passed.index("urgent") < passed.index("later")


def test_who_leaves_the_line_takes_no_place_with_it(monkeypatch: Any) -> None:
    """Cancelled or out of time just as its turn came: the place must go to the next."""

    async def main(clock: Clock) -> None:
        gate = Gate(ConcurrencyLimit(1, 1, 1), 60.0)
        done = []

        async def hold() -> None:
            async with gate.slot() as slot:
                await curio.sleep(5.0)
                slot.served = True

        async def hurried() -> None:
            with pytest.raises(GateClosedError):
                async with gate.slot(0.0, Deadline.within(clock(), 1.0)):
                    raise AssertionError("let in too late")
            done.append("hurried")

        holder = await curio.spawn(hold)
        await curio.sleep(0)
        waiting = await curio.spawn(hurried)
        cancelled = await curio.spawn(hold)
        last = await curio.spawn(hold)
        await curio.sleep(2.0)
        await cancelled.cancel()
        for task in (holder, waiting, last):
            await task.join()
        assert done == ["hurried"] and not gate.queue and gate.inflight.in_flight == 0

    simulate(monkeypatch, main)


def test_all_who_wait_for_a_server_go_on_when_it_is_back(monkeypatch: Any) -> None:
    """Not when their own long pauses end: after an outage everybody is needed at once."""

    async def main(clock: Clock) -> None:
        circuit = Circuit(
            RetryPolicy(8.0, 60.0, RetryBudget(0.0, 1.0, 0.01, clock()), random.Random(1).uniform)
        )
        woken: list[float] = []

        async def one() -> None:
            attempt = circuit.begin()
            assert await circuit.back_off(attempt)
            woken.append(clock())

        await circuit.record(False)
        tasks = [await curio.spawn(one) for _ in range(20)]
        await curio.sleep(2.0)
        assert not woken
        await circuit.record(True)
        for task in tasks:
            await task.join()
        assert max(woken) - min(woken) < 0.1
        await circuit.record(True)  # still there: nothing to wake anybody for
        assert not circuit.recovered.is_set()

    simulate(monkeypatch, main)
