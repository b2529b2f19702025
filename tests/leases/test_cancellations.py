"""A controller that renews leases knows every cancellation that was disclosed to users."""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import Any

import pytest

from clayport.leases import watermark
from clayport.leases.promises import MAX_MISSED_CANCELLATIONS, Promises
from clayport.leases.watermark import CancellationWatermark

DURATION_S = 10.0
DRIFT = 1.008  # ratio of the clock rates of `discloser` and `renewer`, beyond the allowed drift


class Simulation:
    """A controller that tells users of cancellations, and a controller that renews leases.

    They are called `discloser` and `renewer`. Both may restart. They communicate by the records,
    and by messages that may be lost or late. The simulation records, in true time, when users
    were told, and tracks what `renewer` knows.
    """

    def __init__(self, rng: random.Random) -> None:
        self.rng, self.now, self.jobs = rng, 1000.0, 0
        self.committed: list[str] = []
        self.disclosed_at: dict[str, float] = {}  # the time of disclosure of each cancelled job
        self.known_to_renewer: set[str] = set()  # cancelled jobs that `renewer` knows
        self.incarnation = self.acks = 0
        self.start_discloser()
        self.start_renewer()

    def start_discloser(self) -> None:
        self.incarnation += 1
        self.known_to_discloser: set[str] = set()  # cancelled jobs that `discloser` knows
        self.discloser = Promises(["renewer"], DURATION_S, self.now * DRIFT)

    def start_renewer(self) -> None:
        self.known_to_renewer.clear()
        self.watermark = CancellationWatermark(["discloser"], DURATION_S)

    def commit(self) -> None:
        self.jobs += 1
        self.committed.append(f"j-{self.jobs}")
        self.known_to_discloser.add(self.committed[-1])
        self.discloser.note_end(self.committed[-1], self.jobs)

    def read_final_record(self) -> None:
        """Let `discloser` learn that a job was cancelled.

        The revision of the job's final record may remain unknown to `discloser`.
        """
        if self.committed:
            job = self.rng.choice(self.committed)
            self.known_to_discloser.add(job)
            self.discloser.note_end(job, self.rng.choice((0, int(job[2:]))))

    def acknowledge(self) -> None:
        """Notify the renewer of a cancellation; its acknowledgement may be lost."""
        if self.known_to_discloser:
            job = self.rng.choice(sorted(self.known_to_discloser))
            self.known_to_renewer.add(job)
            if self.rng.random() < 0.7:
                self.discloser.acknowledge("renewer", job)

    def disclose(self) -> None:
        for job in sorted(self.known_to_discloser):
            if self.discloser.try_disclose(job, self.now * DRIFT):
                self.disclosed_at.setdefault(job, self.now)

    def exchange_heartbeat(self) -> None:
        """Exchange a heartbeat; request and answer may be delayed, and the answer may be lost."""
        sent, known_rev = self.now, self.known_rev
        self.now += self.rng.choice((0.0, 0.1, 3.0))
        self.discloser.note_records_read("renewer", known_rev)
        promised = self.discloser.renew("renewer", self.now * DRIFT)
        incarnation = self.incarnation
        if self.rng.random() < 0.5:
            self.now += self.rng.choice((0.0, 0.1, 3.0))
            self.disclose()
        if promised and self.rng.random() < 0.7:
            self.watermark.note_promise("discloser", str(incarnation), sent, self.now)

    def read_records(self) -> None:
        self.known_to_renewer.update(self.committed)
        self.watermark.note_records_read(self.now)

    @property
    def known_rev(self) -> int:
        """The revision up to which the renewer knows all cancellations."""
        count = 0
        while count < len(self.committed) and self.committed[count] in self.known_to_renewer:
            count += 1
        return count

    def wait(self) -> None:
        self.now += self.rng.choice((0.2, 1.0, 4.0, 9.8, 9.95, 10.0, 15.0))

    def step(self) -> None:
        actions: list[Callable[[], None]] = [
            self.commit,
            self.read_final_record,
            self.acknowledge,
            self.disclose,
            self.exchange_heartbeat,
            self.exchange_heartbeat,
            self.read_records,
            self.wait,
        ]
        if self.rng.random() < 0.15:
            actions = [self.start_discloser, self.start_renewer]
        self.rng.choice(actions)()
        if self.rng.random() < 0.3:
            self.disclose()

    @property
    def holds(self) -> bool:
        """Whether the renewer knows all cancellations disclosed before its watermark."""
        return all(
            job in self.known_to_renewer
            for job, at in self.disclosed_at.items()
            if at < self.watermark.disclosures_known_until()
        )


def count_violations(runs: int) -> int:
    """Count the runs in which the renewer lacks a cancellation disclosed before its watermark."""
    violations = 0
    for seed in range(runs):
        simulation = Simulation(random.Random(seed))
        for _ in range(60):
            simulation.step()
            if not simulation.holds:
                violations += 1
                break
    return violations


def test_the_renewer_knows_all_cancellations_disclosed_before_its_watermark() -> None:
    assert count_violations(4000) == 0


def new_process_is_not_bound(patch: pytest.MonkeyPatch) -> None:
    original = Promises.__init__

    def init(self: Any, peers: Any, duration_s: float, now: float) -> None:
        original(self, peers, duration_s, now - duration_s)

    patch.setattr(Promises, "__init__", init)


def promises_are_renewed_unconditionally(patch: pytest.MonkeyPatch) -> None:
    def promise(self: Any, peer: str, now: float) -> bool:
        self.expires_at[peer] = now + self.duration_s
        return True

    patch.setattr(Promises, "renew", promise)


def cancellations_are_disclosed_at_once(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(Promises, "disclosure_delay_s", lambda *_: 0.0)


def incarnations_are_ignored(patch: pytest.MonkeyPatch) -> None:
    original = CancellationWatermark.note_promise

    def promised(self: Any, peer: str, incarnation: str, sent: float, received: float) -> None:
        original(self, peer, "any", sent, received)

    patch.setattr(CancellationWatermark, "note_promise", promised)


def promises_count_without_reading_the_records(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(
        CancellationWatermark,
        "disclosures_known_until",
        lambda self: max(self.records_read_at, *self.valid_until.values()),
    )


def promises_count_from_the_answer(patch: pytest.MonkeyPatch) -> None:
    original = CancellationWatermark.note_promise

    def promised(self: Any, peer: str, incarnation: str, sent: float, received: float) -> None:
        original(self, peer, incarnation, received, received)

    patch.setattr(CancellationWatermark, "note_promise", promised)


def clock_drift_is_ignored(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(watermark, "PROMISE_CERTAINTY", 1.0)


def unknown_revision_counts_as_the_first(patch: pytest.MonkeyPatch) -> None:
    original = Promises.note_end
    patch.setattr(Promises, "note_end", lambda self, job, rev: original(self, job, rev or 1))


@pytest.mark.parametrize(
    "weaken_rule",
    [
        new_process_is_not_bound,
        promises_are_renewed_unconditionally,
        cancellations_are_disclosed_at_once,
        incarnations_are_ignored,
        promises_count_without_reading_the_records,
        promises_count_from_the_answer,
        clock_drift_is_ignored,
        unknown_revision_counts_as_the_first,
    ],
)
def test_each_rule_of_the_protocol_is_needed(
    monkeypatch: pytest.MonkeyPatch, weaken_rule: Callable[[pytest.MonkeyPatch], None]
) -> None:
    weaken_rule(monkeypatch)
    assert count_violations(4000) > 0


def test_an_unreachable_peer_that_sends_heartbeats_does_not_delay_users_forever() -> None:
    """If each heartbeat renewed the promise, users would never be told of the cancellation."""
    promises = Promises(["a", "b"], DURATION_S, 0.0)
    assert all(promises.renew(p, 20.0) for p in "ab")
    promises.acknowledge("a", "j-1")
    assert not promises.try_disclose("j-1", 21.0)
    assert promises.disclosure_delay_s("j-1", 21.0) == 9.0
    assert promises.renew("b", 21.5)  # a short delay of the acknowledgement is allowed
    assert not promises.renew("b", 23.0) and promises.renew("a", 23.0)
    assert promises.unacknowledged_jobs("b") == ["j-1"]
    assert not promises.try_disclose("j-1", 31.0) and promises.try_disclose("j-1", 31.5)
    assert not promises.renew("b", 32.0)  # b has still not acknowledged j-1
    promises.acknowledge("b", "j-1")
    assert promises.renew("b", 32.0)


def test_missed_cancellations_of_an_absent_peer_are_bounded() -> None:
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
