"""Whoever may still renew leases knows of every cancellation that users were told of."""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import Any

import pytest

from clayport.leases import watermark
from clayport.leases.promises import MAX_MISSED_CANCELLATIONS, Promises
from clayport.leases.watermark import CancellationWatermark

DURATION_S = 10.0
DRIFT = 1.008  # the teller's clock runs faster than the other's by more than clocks may


class Simulation:
    """A controller that tells users and one that renews leases, each of which may restart.

    Between them are the records, and messages that are lost or late. When users were told and
    what the renewer knows is kept by true time.
    """

    def __init__(self, rng: random.Random) -> None:
        self.rng, self.now, self.jobs = rng, 1000.0, 0
        self.committed: list[str] = []
        self.told: dict[str, float] = {}  # when users were told of a job's cancellation
        self.known: set[str] = set()  # the jobs whose cancellation the renewer knows
        self.incarnation = self.acks = 0
        self.begin_teller()
        self.begin_renewer()

    def begin_teller(self) -> None:
        self.incarnation += 1
        self.aware: set[str] = set()  # the jobs whose cancellation the teller knows
        self.teller = Promises(["renewer"], DURATION_S, self.now * DRIFT)

    def begin_renewer(self) -> None:
        self.known.clear()
        self.watermark = CancellationWatermark(["teller"], DURATION_S)

    def commit(self) -> None:
        self.jobs += 1
        self.committed.append(f"j-{self.jobs}")
        self.aware.add(self.committed[-1])
        self.teller.note_end(self.committed[-1], self.jobs)

    def look_up(self) -> None:
        """The teller reads how a job ended, with or without the revision."""
        if self.committed:
            job = self.rng.choice(self.committed)
            self.aware.add(job)
            self.teller.note_end(job, self.rng.choice((0, int(job[2:]))))

    def acknowledge(self) -> None:
        """The renewer hears of a job's end; its acknowledgement may be lost."""
        if self.aware:
            job = self.rng.choice(sorted(self.aware))
            self.known.add(job)
            if self.rng.random() < 0.7:
                self.teller.acknowledge("renewer", job)

    def tell(self) -> None:
        for job in sorted(self.aware):
            if self.teller.try_disclose(job, self.now * DRIFT):
                self.told.setdefault(job, self.now)

    def beat(self) -> None:
        """A heartbeat takes its time there and back, or gets lost on its way back."""
        sent, seen = self.now, self.seen
        self.now += self.rng.choice((0.0, 0.1, 3.0))
        self.teller.note_records_read("renewer", seen)
        promised = self.teller.renew("renewer", self.now * DRIFT)
        incarnation = self.incarnation
        if self.rng.random() < 0.5:
            self.now += self.rng.choice((0.0, 0.1, 3.0))
            self.tell()
        if promised and self.rng.random() < 0.7:
            self.watermark.note_promise("teller", str(incarnation), sent, self.now)

    def read(self) -> None:
        self.known.update(self.committed)
        self.watermark.note_records_read(self.now)

    @property
    def seen(self) -> int:
        """The revision up to which the renewer knows all cancellations."""
        count = 0
        while count < len(self.committed) and self.committed[count] in self.known:
            count += 1
        return count

    def wait(self) -> None:
        self.now += self.rng.choice((0.2, 1.0, 4.0, 9.8, 9.95, 10.0, 15.0))

    def step(self) -> None:
        actions: list[Callable[[], None]] = [
            self.commit,
            self.look_up,
            self.acknowledge,
            self.tell,
            self.beat,
            self.beat,
            self.read,
            self.wait,
        ]
        if self.rng.random() < 0.15:
            actions = [self.begin_teller, self.begin_renewer]
        self.rng.choice(actions)()
        if self.rng.random() < 0.3:
            self.tell()

    @property
    def holds(self) -> bool:
        """Whether the renewer knows all that users were told of before its watermark."""
        return all(
            job in self.known for job, at in self.told.items() if at < self.watermark.known_until()
        )


def count_violations(runs: int) -> int:
    """In how many runs a user was told of what the renewer counts on knowing and does not."""
    violations = 0
    for seed in range(runs):
        simulation = Simulation(random.Random(seed))
        for _ in range(60):
            simulation.step()
            if not simulation.holds:
                violations += 1
                break
    return violations


def test_nobody_renews_leases_unaware_of_what_users_were_told() -> None:
    assert count_violations(4000) == 0


def a_new_one_has_promised_nothing(patch: pytest.MonkeyPatch) -> None:
    before = Promises.__init__

    def init(self: Any, peers: Any, duration_s: float, now: float) -> None:
        before(self, peers, duration_s, now - duration_s)

    patch.setattr(Promises, "__init__", init)


def it_promises_whatever_was_told(patch: pytest.MonkeyPatch) -> None:
    def promise(self: Any, peer: str, now: float) -> bool:
        self.expires_at[peer] = now + self.duration_s
        return True

    patch.setattr(Promises, "renew", promise)


def it_tells_at_once(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(Promises, "disclosure_delay_s", lambda *_: 0.0)


def another_process_vouches_as_well(patch: pytest.MonkeyPatch) -> None:
    before = CancellationWatermark.note_promise

    def promised(self: Any, peer: str, incarnation: str, sent: float, received: float) -> None:
        before(self, peer, "any", sent, received)

    patch.setattr(CancellationWatermark, "note_promise", promised)


def promises_count_without_the_records(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(
        CancellationWatermark,
        "known_until",
        lambda self: max(self.records_read_at, *self.valid_until.values()),
    )


def a_promise_counts_from_its_answer(patch: pytest.MonkeyPatch) -> None:
    before = CancellationWatermark.note_promise

    def promised(self: Any, peer: str, incarnation: str, sent: float, received: float) -> None:
        before(self, peer, incarnation, received, received)

    patch.setattr(CancellationWatermark, "note_promise", promised)


def clocks_do_not_drift(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(watermark, "PROMISE_CERTAINTY", 1.0)


def a_revision_that_is_not_known_is_any(patch: pytest.MonkeyPatch) -> None:
    before = Promises.note_end
    patch.setattr(Promises, "note_end", lambda self, job, rev: before(self, job, rev or 1))


@pytest.mark.parametrize(
    "part",
    [
        a_new_one_has_promised_nothing,
        it_promises_whatever_was_told,
        it_tells_at_once,
        another_process_vouches_as_well,
        promises_count_without_the_records,
        a_promise_counts_from_its_answer,
        clocks_do_not_drift,
        a_revision_that_is_not_known_is_any,
    ],
)
def test_each_part_of_it_is_needed(
    monkeypatch: pytest.MonkeyPatch, part: Callable[[pytest.MonkeyPatch], None]
) -> None:
    part(monkeypatch)
    assert count_violations(4000) > 0


def test_who_hears_us_but_is_not_heard_keeps_no_user_waiting_for_ever() -> None:
    """Its heartbeats had the promise renewed again and again, and nobody was ever told."""
    promises = Promises(["a", "b"], DURATION_S, 0.0)
    assert all(promises.renew(p, 20.0) for p in "ab")
    promises.acknowledge("a", "j-1")
    assert not promises.try_disclose("j-1", 21.0)
    assert promises.disclosure_delay_s("j-1", 21.0) == 9.0
    assert promises.renew("b", 21.5)  # it may take a moment
    assert not promises.renew("b", 23.0) and promises.renew("a", 23.0)
    assert promises.unacknowledged_jobs("b") == ["j-1"]
    assert not promises.try_disclose("j-1", 31.0) and promises.try_disclose("j-1", 31.5)
    assert not promises.renew("b", 32.0)  # it was told unknown to b
    promises.acknowledge("b", "j-1")
    assert promises.renew("b", 32.0)


def test_what_one_that_is_away_has_missed_is_bounded() -> None:
    promises = Promises(["a"], DURATION_S, 0.0)
    for number in range(MAX_MISSED_CANCELLATIONS + 5):
        promises.note_end(f"j-{number}", number + 1)
        assert promises.try_disclose(f"j-{number}", 50.0)
    assert len(promises.unacknowledged["a"]) == MAX_MISSED_CANCELLATIONS
    for number in range(5, MAX_MISSED_CANCELLATIONS + 5):
        promises.acknowledge("a", f"j-{number}")
    assert not promises.renew("a", 51.0)
    promises.note_records_read("a", 4)
    assert not promises.renew("a", 51.0)
    promises.note_records_read("a", 5)
    assert promises.renew("a", 51.0)
