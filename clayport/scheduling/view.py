"""The machines and their free room as this controller last read them."""

from __future__ import annotations

from collections.abc import Mapping

from clayport.scheduling.index import Index
from clayport.scheduling.room import Room


class ClusterView:
    """The free room of all machines, indexed for placement.

    Attributes:
        index: The index of the rooms.
        rooms: The rooms by machine; only the index changes this mapping.
        zones: The zone of each known machine that is not returned yet. A machine's zone never
            changes.
    """

    def __init__(self, label: str) -> None:
        self.index = Index(label)
        self.rooms: Mapping[str, Room] = self.index.rooms
        self.zones: dict[str, str] = {}
