"""The promises of this controller to its peers about the disclosure of cancellations.

The package's docstring defines promises and their purpose.
"""

from __future__ import annotations

import math
from collections.abc import Iterable
from typing import TypeVar

# A promise is not renewed once a user has been waiting for the peer's acknowledgement for more than
# this share of a promise's duration.
ACKNOWLEDGEMENT_SHARE = 0.1
# The most jobs per peer in `Promises.unacknowledged`. Older ones are evicted, and
# `Promises.required_rev` keeps the revision up to which the peer has to read the records for them.
MAX_MISSED_CANCELLATIONS = 2000
# The most jobs in each of the other tables; the oldest entry is evicted.
MAX_NOTED_JOBS = 20_000

_Value = TypeVar("_Value")


class Promises:
    """The peers' acknowledgements, and the expiry of the promises to them.

    Attributes:
        duration_s: The duration of a promise.
        expires_at: By peer, when the promise to it expires.
        unacknowledged: By peer, the jobs whose cancellation was disclosed without the peer's
            acknowledgement, each with the revision of its final record (infinite if unknown).
        required_rev: By peer, the revision up to which it has to read the records because of
            jobs evicted from `unacknowledged`; 0 for none.
        acknowledged_by: By job whose cancellation is not disclosed yet, the peers that have
            acknowledged it.
        end_revs: By cancelled job, the revision of its final record.
        disclosed: The jobs whose cancellation may be disclosed to users (an ordered set).
        waiting_since: By job, since when a user has been waiting for the disclosure.
    """

    def __init__(self, peers: Iterable[str], duration_s: float, now: float) -> None:
        """Start with promises to all peers, because the previous process may have made them."""
        self.duration_s = duration_s
        self.expires_at = dict.fromkeys(peers, now + duration_s)
        self.unacknowledged: dict[str, dict[str, float]] = {p: {} for p in self.expires_at}
        self.required_rev = dict.fromkeys(self.expires_at, 0.0)
        self.acknowledged_by: dict[str, set[str]] = {}
        self.end_revs: dict[str, float] = {}
        self.disclosed: dict[str, None] = {}
        self.waiting_since: dict[str, float] = {}

    def note_end(self, job: str, rev: int) -> None:
        """Record the revision of a cancelled job's final record; 0 if it is unknown."""
        if rev:
            self._note(self.end_revs, job, float(rev))

    def acknowledge(self, peer: str, job: str) -> None:
        """Record that the peer has acknowledged the cancellation of the job."""
        if self.unacknowledged[peer].pop(job, None) is None and job not in self.disclosed:
            if job not in self.acknowledged_by:
                self._note(self.acknowledged_by, job, set())
            self.acknowledged_by[job].add(peer)
            if not self.unacknowledged_peers(job):
                self.waiting_since.pop(job, None)

    def note_records_read(self, peer: str, rev: int) -> None:
        """Record that the peer has read the records up to the revision."""
        unacknowledged = self.unacknowledged[peer]
        for job in [job for job, end_rev in unacknowledged.items() if end_rev <= rev]:
            del unacknowledged[job]
        if self.required_rev[peer] <= rev:
            self.required_rev[peer] = 0.0

    def renew(self, peer: str, now: float) -> bool:
        """Renew the promise to the peer if that is allowed, and return whether it was renewed.

        The promise is not renewed while the peer has not acknowledged a disclosed cancellation.
        Nor is it renewed while a user has been waiting too long for the peer's acknowledgement,
        because a peer whose heartbeats arrive here, but that can't be reached from here, would
        delay the user forever.
        """
        if (
            self.unacknowledged[peer]
            or self.required_rev[peer]
            or any(
                now - since > self.duration_s * ACKNOWLEDGEMENT_SHARE
                for job, since in self.waiting_since.items()
                if peer not in self.acknowledged_by.get(job, ())
            )
        ):
            return False
        self.expires_at[peer] = now + self.duration_s
        return True

    def unacknowledged_jobs(self, peer: str) -> list[str]:
        """Return the jobs whose cancellation the peer has to acknowledge before a renewal."""
        return [
            *self.unacknowledged[peer],
            *(job for job in self.waiting_since if peer not in self.acknowledged_by.get(job, ())),
        ]

    def unacknowledged_peers(self, job: str) -> list[str]:
        """Return the peers that have not acknowledged the cancellation of the job."""
        acknowledged_by = self.acknowledged_by.get(job, ())
        return [peer for peer in self.expires_at if peer not in acknowledged_by]

    def disclosure_delay_s(self, job: str, now: float) -> float:
        """Return the time in seconds until the cancellation of a job may be disclosed.

        The time assumes that no further peer acknowledges the cancellation. 0 or less means that
        users may be told now. The job must not be in `disclosed`.
        """
        return max(
            (self.expires_at[peer] - now for peer in self.unacknowledged_peers(job)), default=0.0
        )

    def try_disclose(self, job: str, now: float) -> bool:
        """Return whether users may be told that the job is cancelled, and record the disclosure.

        Once permitted, a disclosure stays permitted, because a peer that has not acknowledged the
        cancellation holds no valid promise, and gets no new promise before it has acknowledged
        the cancellation.
        """
        if job in self.disclosed:
            return True
        if self.disclosure_delay_s(job, now) > 0:
            if job not in self.waiting_since:
                self._note(self.waiting_since, job, now)
            return False
        for peer in self.unacknowledged_peers(job):
            unacknowledged = self.unacknowledged[peer]
            if len(unacknowledged) >= MAX_MISSED_CANCELLATIONS:
                oldest = next(iter(unacknowledged))
                self.required_rev[peer] = max(self.required_rev[peer], unacknowledged.pop(oldest))
            unacknowledged[job] = self.end_revs.get(job, math.inf)
        self.acknowledged_by.pop(job, None)
        self.waiting_since.pop(job, None)
        self._note(self.disclosed, job, None)
        return True

    @staticmethod
    def _note(table: dict[str, _Value], job: str, value: _Value) -> None:
        table[job] = value
        if len(table) > MAX_NOTED_JOBS:
            del table[next(iter(table))]
