"""What this controller has promised its peers about cancellations that it tells users of.

The package's docstring says what a promise is and what it is for.
"""

from __future__ import annotations

import math
from collections.abc import Iterable
from typing import TypeVar

# A promise is not renewed to a peer whose acknowledgement a user has awaited for more than
# this share of a promise's duration.
ACKNOWLEDGEMENT_SHARE = 0.1
# The cancellations told of without a peer's acknowledgement that are kept by job, for each
# peer. Of more, only the revision is kept up to which the peer has to read the records.
MAX_MISSED_CANCELLATIONS = 2000
# The most jobs in each of the other tables; the oldest entry is dropped for a new one.
MAX_NOTED_JOBS = 20_000

_Value = TypeVar("_Value")


class Promises:
    """What each peer has acknowledged, and until when this controller is bound towards it.

    Attributes:
        duration_s: How long a promise binds.
        expires_at: By peer, when the promise to it expires.
        unacknowledged: By peer, the jobs of whose cancellation users were told without its
            acknowledgement, each with the revision of its final record (infinite if unknown).
        required_rev: By peer, the revision up to which it has to read the records, for the
            jobs that were too many to be kept in `unacknowledged`; 0 for none.
        acknowledged_by: By job that users were not told of yet, the peers that know its end.
        end_revs: By cancelled job, the revision of its final record.
        disclosed: The jobs of whose cancellation users may be told (a set in order).
        waiting_since: By job, since when a user has been waiting to be told.
    """

    def __init__(self, peers: Iterable[str], duration_s: float, now: float) -> None:
        """Begin bound towards all peers, as the process before this one may be."""
        self.duration_s = duration_s
        self.expires_at = dict.fromkeys(peers, now + duration_s)
        self.unacknowledged: dict[str, dict[str, float]] = {p: {} for p in self.expires_at}
        self.required_rev = dict.fromkeys(self.expires_at, 0.0)
        self.acknowledged_by: dict[str, set[str]] = {}
        self.end_revs: dict[str, float] = {}
        self.disclosed: dict[str, None] = {}
        self.waiting_since: dict[str, float] = {}

    def note_end(self, job: str, rev: int) -> None:
        """Record the revision of a cancelled job's final record; 0 if it is not known."""
        if rev:
            self._note(self.end_revs, job, float(rev))

    def acknowledge(self, peer: str, job: str) -> None:
        """Record that the peer has said that it knows of the job's end."""
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
        """Renew the promise to the peer, if it may be renewed; return whether it was.

        It may not while the peer lacks a cancellation that users were told of, nor when a user
        has been waiting for the peer's acknowledgement: a peer whose heartbeats arrive here but
        that can't be reached would keep users waiting for ever.
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
        """Return the jobs that the peer has to acknowledge before its promise is renewed."""
        return [
            *self.unacknowledged[peer],
            *(job for job in self.waiting_since if peer not in self.acknowledged_by.get(job, ())),
        ]

    def unacknowledged_peers(self, job: str) -> list[str]:
        """Return the peers that have not acknowledged the job's end."""
        acknowledged_by = self.acknowledged_by.get(job, ())
        return [peer for peer in self.expires_at if peer not in acknowledged_by]

    def disclosure_delay_s(self, job: str, now: float) -> float:
        """Return for how long the user of a job may not be told yet, unless more peers
        acknowledge its end.

        For jobs that nobody was told of; 0 or less means that users may be told now.
        """
        return max(
            (self.expires_at[peer] - now for peer in self.unacknowledged_peers(job)), default=0.0
        )

    def try_disclose(self, job: str, now: float) -> bool:
        """Return whether users may be told that the job is cancelled, and record it if so.

        Once they may, they always may: a peer that has not acknowledged the job's end holds no
        promise, and gets none before it does.
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
