"""Who may be told that a job is cancelled, and who may still keep its machines' leases.

A task of a cancelled job must be gone within `cancel_s` of the moment in which its user was
told. It is gone when it is killed, or when the lease of its machine runs out. So a controller
renews a lease only as long as it knows of every cancellation that any user was told of until
a moment that is not too long ago; what it knows of, it has killed.

There are two sources of that knowledge. Whoever has read the records up to a moment knows
what was committed before it. And controllers promise each other with their heartbeats, for
a while and again and again, to tell no user of a cancellation that the other hasn't
acknowledged. A promise holds whether its giver lives or not: one that begins anew takes it
that its predecessor has just promised everybody.

Both classes are free of I/O; times are this process's steady clock, in seconds.
"""

from __future__ import annotations

import math
from collections.abc import Iterable
from typing import Any

# The share of a promise's time that its taker counts on: clocks drift apart (by 0.05 %).
PROMISE_CERTAINTY = 0.99
# The share of a promise's time for which an acknowledgement is waited for before no more is
# promised.
ACKNOWLEDGEMENT_SHARE = 0.1
# Cancellations that a peer lacks and that are kept by name; of more, only the revision up to
# which it has to read the records.
MAX_MISSED_CANCELLATIONS = 2000
# Acknowledgements are kept for so many jobs.
MAX_NOTED_JOBS = 20_000


class Promises:
    """The teller's side: what each peer has acknowledged, and until when we have promised it
    to tell nobody of what it has not."""

    def __init__(self, peers: Iterable[str], for_s: float, now: float) -> None:
        self.for_s = for_s
        self.until = dict.fromkeys(peers, now + for_s)
        # By peer: jobs that users were told of without its acknowledgement, with the revision
        # of their end (infinite: not known), and the revision of those that were too many.
        self.missed: dict[str, dict[str, float]] = {p: {} for p in self.until}
        self.floor = dict.fromkeys(self.until, 0.0)
        self.acknowledged: dict[str, set[str]] = {}
        self.revs: dict[str, float] = {}
        self.told: dict[str, None] = {}
        # Jobs whose users wait to be told, and since when.
        self.waiting: dict[str, float] = {}

    def ended(self, job: str, rev: int) -> None:
        """The revision of a cancelled job's final record, where it is known."""
        if rev:
            self._note(self.revs, job, float(rev))

    def acknowledge(self, peer: str, job: str) -> None:
        """The peer has said that it knows of the job's end."""
        if self.missed[peer].pop(job, None) is None and job not in self.told:
            if job not in self.acknowledged:
                self._note(self.acknowledged, job, set())
            self.acknowledged[job].add(peer)
            if not self.lacking(job):
                self.waiting.pop(job, None)

    def seen(self, peer: str, rev: int) -> None:
        """The peer has read the records up to the revision."""
        missed = self.missed[peer]
        for job in [j for j, r in missed.items() if r <= rev]:
            del missed[job]
        if self.floor[peer] <= rev:
            self.floor[peer] = 0.0

    def promise(self, peer: str, now: float) -> bool:
        """Promise the peer anew; False if it doesn't know of all that was told already, or a
        user has been waiting for it: who hears us but isn't heard would keep users waiting
        for ever."""
        if (
            self.missed[peer]
            or self.floor[peer]
            or any(
                now - since > self.for_s * ACKNOWLEDGEMENT_SHARE
                for job, since in self.waiting.items()
                if peer not in self.acknowledged.get(job, ())
            )
        ):
            return False
        self.until[peer] = now + self.for_s
        return True

    def owed(self, peer: str) -> list[str]:
        """What the peer has to acknowledge before it is promised anything again."""
        return [
            *self.missed[peer],
            *(job for job in self.waiting if peer not in self.acknowledged.get(job, ())),
        ]

    def lacking(self, job: str) -> list[str]:
        """Peers that have not acknowledged the job's end."""
        known = self.acknowledged.get(job, ())
        return [p for p in self.until if p not in known]

    def wait_s(self, job: str, now: float) -> float:
        """How long the user of a job that nobody was told of can't be told yet, unless more
        acknowledge it; 0 or less: now."""
        return max((self.until[p] - now for p in self.lacking(job)), default=0.0)

    def tell(self, job: str, now: float) -> bool:
        """Whether users may be told that the job is cancelled. From then on they may always:
        whoever has not acknowledged it has no promise, and gets none before it knows."""
        if job in self.told:
            return True
        if self.wait_s(job, now) > 0:
            if job not in self.waiting:
                self._note(self.waiting, job, now)
            return False
        for peer in self.lacking(job):
            missed = self.missed[peer]
            if len(missed) >= MAX_MISSED_CANCELLATIONS:
                first = next(iter(missed))
                self.floor[peer] = max(self.floor[peer], missed.pop(first))
            missed[job] = self.revs.get(job, math.inf)
        self.acknowledged.pop(job, None)
        self.waiting.pop(job, None)
        self._note(self.told, job, None)
        return True

    @staticmethod
    def _note(where: dict[str, Any], job: str, value: Any) -> None:
        where[job] = value
        if len(where) > MAX_NOTED_JOBS:
            del where[next(iter(where))]


class CancellationWatermark:
    """The side of whoever renews leases: up to when it knows what users were told."""

    def __init__(self, peers: Iterable[str], for_s: float) -> None:
        self.for_s = for_s * PROMISE_CERTAINTY
        self.state_at = -math.inf  # the records are known here as they were then, or later
        self.until = dict.fromkeys(peers, -math.inf)
        # The process that last promised, and when that was asked of it.
        self.incarnations = dict.fromkeys(self.until, "")
        self.asked_at = dict.fromkeys(self.until, -math.inf)
        # How far the records must have been read before a peer's promises count.
        self.needs = dict.fromkeys(self.until, math.inf)

    def read(self, at: float) -> None:
        """All that was committed before that moment is known."""
        self.state_at = max(self.state_at, at)

    def promised(self, peer: str, incarnation: str, sent: float, received: float) -> None:
        """A peer's promise has come, in answer to what was sent then.

        As long as the one before still holds, or the same process vouches for the time between,
        nothing was told unknown to us. What another process may have told after the last
        promise of its predecessor, nobody but the records can say.
        """
        if received > self.until[peer] and incarnation != self.incarnations[peer]:
            self.needs[peer] = received
        self.incarnations[peer], self.asked_at[peer] = incarnation, sent
        self.until[peer] = max(self.until[peer], sent + self.for_s)

    def known(self) -> float:
        """The moment up to which every cancellation that a user was told of is known here.
        (Clocks run in steps: what was read in the same one may have been read before.)"""
        if self.state_at == -math.inf or any(self.state_at <= n for n in self.needs.values()):
            return self.state_at
        return max(self.state_at, min(self.until.values(), default=math.inf))
