"""Tests of retries, concurrency limits and admission control."""

from __future__ import annotations

import random
from typing import Any

import curio
import pytest

from clayport.limits import (
    AdmissionControl,
    ConcurrencyLimit,
    Deadline,
    Gate,
    RetryBudget,
    RetryCoordinator,
    RetryPolicy,
    SlotTimeoutError,
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
    assert Deadline().fraction(now, 0.5) == Deadline()  # a fraction of no deadline is no deadline


def test_pauses_grow_within_bounds_and_reset_when_served() -> None:
    attempt = retries(RetryBudget(0.0, 1e9, 1.0, 0.0)).begin_request(0.0)
    pauses = [attempt.next_pause(0.0) for _ in range(50)]
    assert all(p is not None and 0.25 <= p <= 4.0 for p in pauses)
    assert max(p or 0.0 for p in pauses[5:]) > 2.0
    attempt.served()
    first = attempt.next_pause(0.0)
    assert first is not None and first <= 0.75


def test_retry_after_the_deadline_is_skipped_and_costs_no_budget() -> None:
    budget = RetryBudget(0.0, 2.0, 1.0, 0.0)
    attempt = retries(budget).begin_request(0.0, Deadline.within(0.0, 0.2))
    assert attempt.next_pause(0.0) is None and budget.level == 2.0


@pytest.mark.parametrize(
    "first_attempts, retried, waits",
    [
        (0, 3, [0.0, 0.0, 0.5]),  # two retries are available; further ones are delayed
        (20, 3, [0.0, 0.0, 0.5]),  # first attempts earn no more than the maximum
    ],
)
def test_budget_limits_retries_of_all_routines(
    first_attempts: int, retried: int, waits: list[float]
) -> None:
    """In an outage, the retries of many routines together stay within the budget."""
    budget = RetryBudget(0.1, 2.0, 2.0, 0.0)
    for _ in range(first_attempts):
        budget.record_request(0.0)
    assert [budget.reserve(0.0) for _ in range(retried)] == pytest.approx(waits)
    # A thousand routines send no more retries in ten seconds than the budget allows.
    turns = [budget.reserve(0.0) for _ in range(1000)]
    assert sum(1 for t in turns if t <= 10.0) <= 2 + 10 * 2


def test_first_attempts_earn_retries() -> None:
    budget = RetryBudget(0.5, 10.0, 0.001, 0.0)
    budget.level = 0.0
    for _ in range(4):
        budget.record_request(0.0)
    assert [budget.reserve(0.0) for _ in range(2)] == [0.0, 0.0] and budget.reserve(0.0) > 100.0


@pytest.mark.parametrize(
    "answers, limit",
    [
        ([(0.01, True)] * 60, 12),  # fast answers under load raise the limit
        ([(0.01, True)] * 3 + [(1.0, True)] * 30, 4),  # slow answers reduce the limit
        ([(1.0, False)] * 40, 2),  # failures reduce the limit to the minimum
    ],
)
def test_limit_adapts_to_answers(answers: list[tuple[float, bool]], limit: int) -> None:
    inflight, now = ConcurrencyLimit(8, 2, 12), 0.0
    for took, served in answers:
        while not inflight.full:
            inflight.acquire()
        now += took
        inflight.release(now, took, served)
    assert int(inflight.limit) <= limit if answers[-1][0] > 0.5 else int(inflight.limit) == limit
    assert inflight.limit >= 2


def test_one_outage_reduces_the_limit_once_for_all_requests_in_flight() -> None:
    inflight = ConcurrencyLimit(10, 1, 100)
    for _ in range(10):
        inflight.acquire()
    for _ in range(10):
        inflight.release(3.0, 3.0, False)
    assert inflight.limit == pytest.approx(10 * DECREASE_FACTOR)


def test_limit_does_not_rise_while_idle() -> None:
    inflight = ConcurrencyLimit(10, 1, 100)
    for _ in range(500):
        inflight.acquire()
        inflight.release(1.0, 0.01, True)
    assert inflight.limit == 10


@pytest.mark.parametrize("backlog, answer", [(0.0, 0), (3.5, 0), (3.6, 2), (10.0, 9), (500.0, 30)])
def test_admission_control_returns_when_to_retry(backlog: float, answer: int) -> None:
    assert AdmissionControl(3.5, 30.0).retry_after_s(backlog) == answer


def test_gate_keeps_its_limit_and_admits_by_priority(monkeypatch: Any) -> None:
    passed: list[str] = []
    most_in_flight = 0

    async def main(clock: Clock) -> None:
        gate = Gate(ConcurrencyLimit(2, 1, 2), 60.0)

        async def send(name: str, priority: float, duration_s: float) -> None:
            nonlocal most_in_flight
            async with gate.slot(priority) as slot:
                most_in_flight = max(most_in_flight, gate.inflight.in_flight)
                await curio.sleep(duration_s)
                slot.served = True
                passed.append(name)

        tasks = [
            await curio.spawn(send, n, a, t)
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
    assert most_in_flight == 2 and passed.index("urgent") < passed.index("later")


def test_slot_of_a_request_that_leaves_the_queue_goes_to_the_next(monkeypatch: Any) -> None:
    """A request that times out or is cancelled in the queue must not keep a slot."""

    async def main(clock: Clock) -> None:
        gate = Gate(ConcurrencyLimit(1, 1, 1), 60.0)
        done = []

        async def hold() -> None:
            async with gate.slot() as slot:
                await curio.sleep(5.0)
                slot.served = True

        async def expiring() -> None:
            with pytest.raises(SlotTimeoutError):
                async with gate.slot(0.0, Deadline.within(clock(), 1.0)):
                    raise AssertionError("admitted after the deadline")
            done.append("expiring")

        holder = await curio.spawn(hold)
        await curio.sleep(0)
        waiting = await curio.spawn(expiring)
        cancelled = await curio.spawn(hold)
        last = await curio.spawn(hold)
        await curio.sleep(2.0)
        await cancelled.cancel()
        for task in (holder, waiting, last):
            await task.join()
        assert done == ["expiring"] and not gate.queue and gate.inflight.in_flight == 0

    simulate(monkeypatch, main)


def test_recovery_wakes_all_waiting_routines(monkeypatch: Any) -> None:
    """Routines continue at the recovery, not only at the end of their own long pauses."""

    async def main(clock: Clock) -> None:
        retry_coordinator = RetryCoordinator(
            RetryPolicy(8.0, 60.0, RetryBudget(0.0, 1.0, 0.01, clock()), random.Random(1).uniform)
        )
        woken: list[float] = []

        async def retry() -> None:
            attempt = retry_coordinator.begin_request()
            assert await retry_coordinator.back_off(attempt)
            woken.append(clock())

        await retry_coordinator.record(False)
        tasks = [await curio.spawn(retry) for _ in range(20)]
        await curio.sleep(2.0)
        assert not woken
        await retry_coordinator.record(True)
        for task in tasks:
            await task.join()
        assert max(woken) - min(woken) < 0.1
        await retry_coordinator.record(True)  # the server was not down, so no routine is woken
        assert not retry_coordinator.recovered.is_set()

    simulate(monkeypatch, main)
