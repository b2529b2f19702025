"""Portions of a team's quota: grants never exceed the limit, and no portion its grant, in every
order of reads, transactions, losses and late copies of small worlds."""

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

LEDGER = -1  # in place of a holder, of a transaction that writes the ledger
FLYING_MOST = 2  # transactions of a process whose fate is open

Pair = tuple[int, int]  # an amount and its sequence number


class Seen(NamedTuple):
    """What a process last read of both records, and whether each still is as it was read."""

    grant: Pair = (0, 0)
    ledger_current: bool = True
    portion: Pair = (0, 0)
    portion_current: bool = True


class Transaction(NamedTuple):
    """One that was sent, and may be carried out at any time while its record is unchanged. A
    copy of it, or one that is lost, makes no difference to that."""

    process: int
    record: int  # the holder whose portion it writes, or LEDGER
    value: tuple[Pair, ...]


class State(NamedTuple):
    """The records, what each process has seen, and what is on its way."""

    limit: int
    grants: tuple[Pair, ...]
    portions: tuple[Pair, ...]
    seen: tuple[Seen, ...]
    in_flight: frozenset[Transaction] = frozenset()

    def ledger(self) -> Ledger:
        """The ledger's record."""
        rows = {str(h): Grant(Amount(a), number) for h, (a, number) in enumerate(self.grants)}
        return Ledger(Limit(self.limit), rows)


class World(NamedTuple):
    """Which holder each process acts for, the limits, and up to which number it is explored."""

    processes: tuple[int, ...]
    limits: tuple[int, ...]
    sequences: int

    def start(self) -> State:
        """Nothing is granted, and everybody knows it."""
        holders = max(self.processes) + 1
        nothing = ((0, 0),) * holders
        return State(self.limits[0], nothing, nothing, (Seen(),) * len(self.processes))

    def reads(self, state: State) -> Iterator[State]:
        """A process reads one of the records."""
        for process, holder in enumerate(self.processes):
            for part in (
                {"grant": state.grants[holder], "ledger_current": True},
                {"portion": state.portions[holder], "portion_current": True},
            ):
                seen = list(state.seen)
                seen[process] = seen[process]._replace(**part)
                yield state._replace(seen=tuple(seen))

    def sends(self, state: State) -> Iterator[State]:
        """A process sends what it would by what it has seen, where that can still be applied."""
        for process, holder in enumerate(self.processes):
            if sum(t.process == process for t in state.in_flight) >= FLYING_MOST:
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
        """One of those on their way is carried out; all others for its record are void."""
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
        """The limit is changed, which voids all others that write the ledger."""
        for limit in self.limits:
            changed = change_limit(state.ledger(), Limit(limit))
            if changed is not None:
                in_flight = frozenset(t for t in state.in_flight if t.record != LEDGER)
                seen = tuple(s._replace(ledger_current=False) for s in state.seen)
                yield state._replace(limit=limit, seen=seen, in_flight=in_flight)

    def steps(self, state: State) -> Iterator[State]:
        """All states that follow within the bound."""
        for each in (self.reads, self.sends, self.applies, self.limit_changes):
            for after in each(state):
                rows = (*after.grants, *after.portions)
                if max(number for _, number in rows) <= self.sequences:
                    yield after


def wrong(before: State, after: State) -> str:
    """Which rule a step broke; empty if none."""
    for (portion, _), (grant, _) in zip(after.portions, after.grants):
        if portion > grant:
            return "a portion exceeds its grant"
    total, was = (sum(amount for amount, _ in s.grants) for s in (after, before))
    if total > max(after.limit, was):
        return "grants exceed the limit"
    return ""


def explore(world: World) -> tuple[str, set[State]]:
    """Visit every state: the first broken rule, and the states that were visited."""
    first = world.start()
    visited, todo = {first}, [first]
    while todo:
        state = todo.pop()
        for after in world.steps(state):
            if broken := wrong(state, after):
                return broken, visited
            if after not in visited:
                visited.add(after)
                todo.append(after)
    return "", visited


WORLDS = {
    "one holder, whose limit changes": World((0,), (2, 1), 8),
    "two holders, a limit that changes": World((0, 1), (2, 1), 2),
    "two processes of one holder": World((0, 0), (2,), 2),
}


@pytest.mark.parametrize("name", WORLDS)
def test_every_order(name: str) -> None:
    broken, states = explore(WORLDS[name])
    assert not broken and len(states) > 1000
    for state in states:
        for holder in map(str, range(len(state.grants))):
            assert given_back(state, holder).grant(holder).amount == Amount()


def given_back(state: State, holder: str) -> Ledger:
    """The ledger after a holder that knows both records has given back all that it can."""
    ledger, (amount, number) = state.ledger(), state.portions[int(holder)]
    portion = Portion(Amount(amount), number)
    portion = lower_portion(portion, ledger.grant(holder), Amount(), Amount()) or portion
    return release_grant(ledger, holder, portion) or ledger


class Unconditional(World):
    """A world in which a transaction is carried out even if its record has changed."""

    def applies(self, state: State) -> Iterator[State]:
        for after in super().applies(state):
            yield after._replace(in_flight=state.in_flight)


def raised_always(portion: Portion, grant: Grant) -> Portion | None:
    """Without regard to a release that may still take effect."""
    newest = max(portion.sequence, grant.sequence)
    return quota_portions.raise_portion(portion, Grant(grant.amount, newest))


def released_always(ledger: Ledger, holder: str, portion: Portion) -> Ledger | None:
    """Without regard to grants after the portion that it is based on."""
    before = Grant(ledger.grant(holder).amount, portion.sequence - 1)
    return quota_portions.release_grant(ledger.with_grant(holder, before), holder, portion)


def granted_beyond(ledger: Ledger, holder: str, wanted: Amount) -> Ledger | None:
    """Without regard to what others have."""
    alone = Ledger(ledger.limit, {holder: ledger.grant(holder)})
    after = quota_portions.raise_grant(alone, holder, wanted)
    return None if after is None else ledger.with_grant(holder, after.grant(holder))


@pytest.mark.parametrize(
    "name, without",
    [
        ("raise_portion", raised_always),
        ("release_grant", released_always),
        ("raise_grant", granted_beyond),
        ("", None),
    ],
)
def test_without_a_condition_a_rule_breaks(
    monkeypatch: pytest.MonkeyPatch, name: str, without: object
) -> None:
    if without is not None:
        monkeypatch.setitem(World.sends.__globals__, name, without)
    kind = World if without is not None else Unconditional
    assert any(explore(kind(*world))[0] for world in WORLDS.values())


# Limit, what others have, what is held, what is wanted; what is held then.
@pytest.mark.parametrize(
    "limit, others, held, wanted, found",
    [
        (Limit(10, 4), Amount(4, 1), Amount(2, 1), Amount(8, 2), Amount(6, 2)),
        (Limit(10, 4), Amount(4, 3), Amount(2, 1), Amount(5, 2), Amount(5, 1)),
        (Limit(10, 4), Amount(9, 4), Amount(2, 1), Amount(5, 2), Amount(2, 1)),  # lowered since
        (Limit(10, 4), Amount(0, 0), Amount(3, 1), Amount(1, 0), Amount(3, 1)),  # never less
        (Limit(None, 4), Amount(900, 0), Amount(0, 0), Amount(500, 9), Amount(500, 4)),
    ],
)
def test_grants(limit: Limit, others: Amount, held: Amount, wanted: Amount, found: Amount) -> None:
    ledger = Ledger(limit, {"a": Grant(held, 3), "b": Grant(others, 1)})
    after = raise_grant(ledger, "a", wanted)
    if found == held:
        assert after is None
    else:
        assert after is not None and after.grant("a") == Grant(found, 3)
        assert after.grant("b") == ledger.grant("b")


def test_what_is_used_is_kept() -> None:
    portion, grant = Portion(Amount(8, 2), 5), Grant(Amount(9, 2), 5)
    assert may_start(portion, Amount(6, 1), Amount(2, 1))
    assert not may_start(portion, Amount(6, 1), Amount(2, 2))
    assert lower_portion(portion, grant, Amount(1, 0), Amount(6, 1)) == Portion(Amount(6, 1), 6)
    # Nothing less, but a part of the grant has not been raised: it can be given back.
    assert lower_portion(portion, grant, Amount(9, 9), Amount()) == Portion(Amount(8, 2), 6)
    assert lower_portion(portion, Grant(portion.amount, 5), Amount(9, 9), Amount()) is None


def test_amounts_are_rounded_to_the_safe_side() -> None:
    assert required_amount(0.1 + 0.2, 0.0001) == Amount(300, 1)
    assert limit_from_settings(0.0, 2.0019) == Limit(None, 2001)
    ledger = Ledger(
        limit_from_settings(2.0, 0.0),
        {"a": Grant(required_amount(1.5, 7.0)), "b": Grant(required_amount(0.6, 0))},
    )
    assert not within_limit(ledger)
    assert within_limit(ledger.with_grant("b", Grant(required_amount(0.5, 0))))
