"""Up to when, and up to which revision, the records are known to this controller."""

from __future__ import annotations

from clayport.leases.watermark import CancellationWatermark


class ReadProgress:
    """How far the records under `c/` have been read. Free of I/O.

    A job whose live record is gone holds it back until the job's end has been read.

    Attributes:
        seen: The revision up to which all changes under `c/` are known here.
        unresolved_ends: Jobs whose live record is gone and whose end is still to be read, and
            up to when, and up to which revision, all was known before.
    """

    def __init__(self, watermark: CancellationWatermark) -> None:
        self.watermark = watermark
        self.seen = 0
        self.unresolved_ends: dict[str, tuple[float, int]] = {}

    @property
    def known_rev(self) -> int:
        """Up to which revision it is known what became of every job."""
        return next(iter(self.unresolved_ends.values()), (0.0, self.seen))[1]

    def note_read(self, asked_at: float, rev: int) -> None:
        """All changes up to a revision have been read.

        Args:
            asked_at: When they were asked for, on the steady clock.
            rev: The revision.
        """
        self.seen = rev
        self.watermark.note_records_read(
            next(iter(self.unresolved_ends.values()), (asked_at, rev))[0]
        )

    def note_unresolved(self, job: str) -> None:
        """The live record of a job is gone, and its end is still to be read."""
        self.unresolved_ends.setdefault(job, (self.watermark.records_read_at, self.known_rev))

    def note_resolved(self, job: str) -> None:
        """The end of a job has been read, or is not looked for any more."""
        self.unresolved_ends.pop(job, None)
