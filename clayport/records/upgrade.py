"""The progress of a rolling upgrade, which determines the formats that may be written."""

from __future__ import annotations

from clayport.records.chunk import chunk_size
from clayport.settings import StateSettings


class UpgradeState:
    """The progress of a rolling upgrade.

    Attributes:
        formats: By controller, the newest format that it has understood, and the revision of its
            version record.
        complete: Whether every controller in the settings understands the current format.
        promises_enabled: Whether every controller supports promises on cancellations.
        limits: The limits of the state service that this controller observes now.
        chunk_size: The number of tasks in a chunk that fits the lower of the present and the
            announced limits; used once `complete` is set.
    """

    def __init__(self, limits: StateSettings) -> None:
        self.formats: dict[str, tuple[int, int]] = {}
        self.complete = False
        self.promises_enabled = False
        self.limits = limits
        self.chunk_size = chunk_size(limits.strictest().value_kb)
