"""Tracks the time and the revision up to which this controller has read the records."""

from __future__ import annotations

from clayport.leases.watermark import CancellationWatermark


class ReadProgress:
    """Tracks how far the records under `c/` have been read; does no I/O.

    A job whose live record has been deleted holds the progress back until the job's final record
    has been read.

    Attributes:
        read_rev: The revision up to which all changes under `c/` have been read.
        unresolved_ends: Jobs whose live record has been deleted and whose final record has not
            been read yet, with the time and the revision up to which everything was known before
            the deletion.
    """

    def __init__(self, watermark: CancellationWatermark) -> None:
        self.watermark = watermark
        self.read_rev = 0
        self.unresolved_ends: dict[str, tuple[float, int]] = {}

    @property
    def known_rev(self) -> int:
        """The revision up to which the state of every job is known."""
        return next(iter(self.unresolved_ends.values()), (0.0, self.read_rev))[1]

    def note_read(self, asked_at: float, rev: int) -> None:
        """Record that all changes up to the revision `rev` have been read.

        `asked_at` is when the request was sent, in seconds on the monotonic clock.
        """
        self.read_rev = rev
        self.watermark.note_records_read(
            next(iter(self.unresolved_ends.values()), (asked_at, rev))[0]
        )

    def note_unresolved(self, job: str) -> None:
        """Record that a job's live record was deleted and its final record has not been read."""
        self.unresolved_ends.setdefault(job, (self.watermark.records_read_at, self.known_rev))

    def note_resolved(self, job: str) -> None:
        """Record that a job's final record has been read or is no longer searched for."""
        self.unresolved_ends.pop(job, None)
