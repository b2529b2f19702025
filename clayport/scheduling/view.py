"""The machines and their free room as this controller has last seen them."""

from __future__ import annotations

from collections.abc import Mapping

from clayport.scheduling.index import Index
from clayport.scheduling.room import Room


class ClusterView:
    """Free room of all machines, indexed.

    Attributes:
        index: The rooms by what decides where a task fits.
        rooms: The rooms by machine; the index changes them.
        zones: The zone of each machine ever seen and not yet returned; it never changes.
    """

    def __init__(self, label: str) -> None:
        self.index = Index(label)
        self.rooms: Mapping[str, Room] = self.index.rooms
        self.zones: dict[str, str] = {}
