"""Which formats the controllers understand, and what may be written while they are mixed."""

from __future__ import annotations

from clayport.records.chunk import chunk_size
from clayport.settings import StateSettings


class UpgradeState:
    """How far an upgrade has come.

    Attributes:
        formats: By label, the newest format that a controller has understood, and the
            revision of the record that says so.
        complete: Whether every controller of the settings understands the present format.
        promises_enabled: Whether every controller understands promises on cancellations.
        limits: The store's limits that are kept to now.
        chunk_size: Tasks in a chunk once all controllers keep to the limits that are to come.
    """

    def __init__(self, limits: StateSettings) -> None:
        self.formats: dict[str, tuple[int, int]] = {}
        self.complete = False
        self.promises_enabled = False
        self.limits = limits
        self.chunk_size = chunk_size(limits.least().value_kb)
