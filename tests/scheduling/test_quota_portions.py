"""Tests of quota portions, by exhaustive exploration of small models.

In every order of reads and transactions, including lost and delayed transactions, grants never
exceed the limit and no portion exceeds its grant.
"""

from __future__ import annotations

from collections.abc import Iterator
from typing import NamedTuple

import pytest

from clayport.scheduling import quota_portions
from clayport.scheduling.quota_portions import (
    Amount,
    Grant,
    Ledger,
    Limit,
    Portion,
    change_limit,
    limit_from_settings,
    lower_portion,
    may_start,
    raise_grant,
    raise_portion,
    release_grant,
    required_amount,
    within_limit,
)

LEDGER = -1  # the value of `Transaction.record` for a transaction that writes the ledger
MAX_IN_FLIGHT = 2  # the most transactions in flight per process

Pair = tuple[int, int]  # an amount and its sequence number


class Seen(NamedTuple):
    """The values that a process last read of both records, and whether each is still current."""

    grant: Pair = (0, 0)
    ledger_current: bool = True
    portion: Pair = (0, 0)
    portion_current: bool = True


class Transaction(NamedTuple):
    """A transaction in flight, which may be applied at any time while its record is unchanged.

    Lost and duplicated transactions need no states of their own: a lost one is never applied, and a
    duplicate fails because the record has changed.
    """

    process: int
    record: int  # the holder whose portion it writes, or LEDGER
    value: tuple[Pair, ...]


class State(NamedTuple):
    """The records, the values that each process has read, and the transactions in flight."""

    limit: int
    grants: tuple[Pair, ...]
    portions: tuple[Pair, ...]
    seen: tuple[Seen, ...]
    in_flight: frozenset[Transaction] = frozenset()

    def ledger(self) -> Ledger:
        """Return the ledger's record."""
        rows = {str(h): Grant(Amount(a), number) for h, (a, number) in enumerate(self.grants)}
        return Ledger(Limit(self.limit), rows)


class Model(NamedTuple):
    """A model: the holder of each process, the limits, and the bound of sequence numbers."""

    processes: tuple[int, ...]
    limits: tuple[int, ...]
    sequences: int

    def start(self) -> State:
        """Return the initial state: no grants, and all processes have read both records."""
        holders = max(self.processes) + 1
        nothing = ((0, 0),) * holders
        return State(self.limits[0], nothing, nothing, (Seen(),) * len(self.processes))

    def reads(self, state: State) -> Iterator[State]:
        """Yield the states after a process reads one of the records."""
        for process, holder in enumerate(self.processes):
            for part in (
                {"grant": state.grants[holder], "ledger_current": True},
                {"portion": state.portions[holder], "portion_current": True},
            ):
                seen = list(state.seen)
                seen[process] = seen[process]._replace(**part)
                yield state._replace(seen=tuple(seen))

    def sends(self, state: State) -> Iterator[State]:
        """Yield the states after a process sends a transaction that can still be applied."""
        for process, holder in enumerate(self.processes):
            if sum(t.process == process for t in state.in_flight) >= MAX_IN_FLIGHT:
                continue
            seen = state.seen[process]
            portion = Portion(Amount(seen.portion[0]), seen.portion[1])
            if seen.ledger_current:
                asked = [
                    raise_grant(state.ledger(), str(holder), Amount(wanted))
                    for wanted in range(1, max(self.limits) + 1)
                ]
                for ledger in (*asked, release_grant(state.ledger(), str(holder), portion)):
                    if ledger is not None:
                        rows = [ledger.grant(str(h)) for h in range(len(state.grants))]
                        value = tuple((row.amount.cpus, row.sequence) for row in rows)
                        sent = Transaction(process, LEDGER, value)
                        yield state._replace(in_flight=state.in_flight | {sent})
            if seen.portion_current:
                grant = Grant(Amount(seen.grant[0]), seen.grant[1])
                lower = [
                    lower_portion(portion, grant, Amount(keep), Amount())
                    for keep in range(portion.amount.cpus + 1)
                ]
                for after in (raise_portion(portion, grant), *lower):
                    if after is not None:
                        sent = Transaction(process, holder, ((after.amount.cpus, after.sequence),))
                        yield state._replace(in_flight=state.in_flight | {sent})

    def applies(self, state: State) -> Iterator[State]:
        """Yield the states after a transaction is applied and others for its record are void."""
        for sent in state.in_flight:
            in_flight = frozenset(t for t in state.in_flight if t.record != sent.record)
            if sent.record == LEDGER:
                seen = tuple(s._replace(ledger_current=False) for s in state.seen)
                yield state._replace(grants=sent.value, seen=seen, in_flight=in_flight)
            else:
                portions = list(state.portions)
                (portions[sent.record],) = sent.value
                seen = tuple(
                    s._replace(portion_current=s.portion_current and holder != sent.record)
                    for s, holder in zip(state.seen, self.processes)
                )
                yield state._replace(portions=tuple(portions), seen=seen, in_flight=in_flight)

    def limit_changes(self, state: State) -> Iterator[State]:
        """Yield the states after the limit changes and transactions for the ledger are void."""
        for limit in self.limits:
            changed = change_limit(state.ledger(), Limit(limit))
            if changed is not None:
                in_flight = frozenset(t for t in state.in_flight if t.record != LEDGER)
                seen = tuple(s._replace(ledger_current=False) for s in state.seen)
                yield state._replace(limit=limit, seen=seen, in_flight=in_flight)

    def steps(self, state: State) -> Iterator[State]:
        """Yield all next states within the bound of sequence numbers."""
        for each in (self.reads, self.sends, self.applies, self.limit_changes):
            for after in each(state):
                rows = (*after.grants, *after.portions)
                if max(number for _, number in rows) <= self.sequences:
                    yield after


def violated_invariant(before: State, after: State) -> str:
    """Return the invariant that a step violated, or an empty string."""
    for (portion, _), (grant, _) in zip(after.portions, after.grants):
        if portion > grant:
            return "a portion exceeds its grant"
    total, was = (sum(amount for amount, _ in s.grants) for s in (after, before))
    if total > max(after.limit, was):
        return "grants exceed the limit"
    return ""


def explore(model: Model) -> tuple[str, set[State]]:
    """Visit all states; return the first violated invariant and the visited states."""
    first = model.start()
    visited, todo = {first}, [first]
    while todo:
        state = todo.pop()
        for after in model.steps(state):
            if violated := violated_invariant(state, after):
                return violated, visited
            if after not in visited:
                visited.add(after)
                todo.append(after)
    return "", visited


MODELS = {
    "one holder, limit changes": Model((0,), (2, 1), 8),
    "two holders, limit changes": Model((0, 1), (2, 1), 2),
    "two processes of one holder": Model((0, 0), (2,), 2),
}


@pytest.mark.parametrize("name", MODELS)
def test_invariants_hold_in_every_order(name: str) -> None:
    violated, states = explore(MODELS[name])
    assert not violated and len(states) > 1000
    for state in states:
        for holder in map(str, range(len(state.grants))):
            assert fully_released(state, holder).grant(holder).amount == Amount()


def fully_released(state: State, holder: str) -> Ledger:
    """Return the ledger after a holder with current records has released all that it can."""
    ledger, (amount, number) = state.ledger(), state.portions[int(holder)]
    portion = Portion(Amount(amount), number)
    portion = lower_portion(portion, ledger.grant(holder), Amount(), Amount()) or portion
    return release_grant(ledger, holder, portion) or ledger


class Unconditional(Model):
    """A model in which a transaction is applied even if its record has changed."""

    def applies(self, state: State) -> Iterator[State]:
        for after in super().applies(state):
            yield after._replace(in_flight=state.in_flight)


def raise_unconditionally(portion: Portion, grant: Grant) -> Portion | None:
    """Raise a portion although a release may still take effect."""
    newest = max(portion.sequence, grant.sequence)
    return quota_portions.raise_portion(portion, Grant(grant.amount, newest))


def release_unconditionally(ledger: Ledger, holder: str, portion: Portion) -> Ledger | None:
    """Repeat the release of a portion although its grant may have been raised since."""
    before = Grant(ledger.grant(holder).amount, portion.sequence - 1)
    return quota_portions.release_grant(ledger.with_grant(holder, before), holder, portion)


def grant_beyond_limit(ledger: Ledger, holder: str, wanted: Amount) -> Ledger | None:
    """Raise a grant without regard to the grants of other holders."""
    alone = Ledger(ledger.limit, {holder: ledger.grant(holder)})
    after = quota_portions.raise_grant(alone, holder, wanted)
    return None if after is None else ledger.with_grant(holder, after.grant(holder))


@pytest.mark.parametrize(
    "name, replacement",
    [
        ("raise_portion", raise_unconditionally),
        ("release_grant", release_unconditionally),
        ("raise_grant", grant_beyond_limit),
        ("", None),
    ],
)
def test_invariants_fail_without_each_condition(
    monkeypatch: pytest.MonkeyPatch, name: str, replacement: object
) -> None:
    if replacement is not None:
        monkeypatch.setitem(Model.sends.__globals__, name, replacement)
    kind = Model if replacement is not None else Unconditional
    assert any(explore(kind(*model))[0] for model in MODELS.values())


# The limit, the grant of another holder, the present and the wanted grant, the resulting grant.
@pytest.mark.parametrize(
    "limit, others, current, wanted, expected",
    [
        (Limit(10, 4), Amount(4, 1), Amount(2, 1), Amount(8, 2), Amount(6, 2)),
        (Limit(10, 4), Amount(4, 3), Amount(2, 1), Amount(5, 2), Amount(5, 1)),
        (Limit(10, 4), Amount(9, 4), Amount(2, 1), Amount(5, 2), Amount(2, 1)),  # limit lowered
        (Limit(10, 4), Amount(0, 0), Amount(3, 1), Amount(1, 0), Amount(3, 1)),  # never lowered
        (Limit(None, 4), Amount(900, 0), Amount(0, 0), Amount(500, 9), Amount(500, 4)),
    ],
)
def test_raise_grant(
    limit: Limit, others: Amount, current: Amount, wanted: Amount, expected: Amount
) -> None:
    ledger = Ledger(limit, {"a": Grant(current, 3), "b": Grant(others, 1)})
    after = raise_grant(ledger, "a", wanted)
    if expected == current:
        assert after is None
    else:
        assert after is not None and after.grant("a") == Grant(expected, 3)
        assert after.grant("b") == ledger.grant("b")


def test_lower_portion_keeps_what_is_used() -> None:
    portion, grant = Portion(Amount(8, 2), 5), Grant(Amount(9, 2), 5)
    assert may_start(portion, Amount(6, 1), Amount(2, 1))
    assert not may_start(portion, Amount(6, 1), Amount(2, 2))
    assert lower_portion(portion, grant, Amount(1, 0), Amount(6, 1)) == Portion(Amount(6, 1), 6)
    # The portion stays, but the rest of the grant was never taken and can be released.
    assert lower_portion(portion, grant, Amount(9, 9), Amount()) == Portion(Amount(8, 2), 6)
    assert lower_portion(portion, Grant(portion.amount, 5), Amount(9, 9), Amount()) is None


def test_requirements_round_up_and_limits_round_down() -> None:
    assert required_amount(0.1 + 0.2, 0.0001) == Amount(300, 1)
    assert limit_from_settings(0.0, 2.0019) == Limit(None, 2001)
    ledger = Ledger(
        limit_from_settings(2.0, 0.0),
        {"a": Grant(required_amount(1.5, 7.0)), "b": Grant(required_amount(0.6, 0))},
    )
    assert not within_limit(ledger)
    assert within_limit(ledger.with_grant("b", Grant(required_amount(0.5, 0))))
