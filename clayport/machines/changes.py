"""Which machines' rooms have changed since a revision, so that readers renew only those."""

from __future__ import annotations

from collections import OrderedDict

# Machines no longer here whose end is remembered as a change of the table.
MAX_TABLE_CHANGES = 1000


class ChangeLog:
    """The revision of a table of rooms, and the last change of each machine.

    Attributes:
        revision: Rises with every change.
        complete_since: The revision after which every change is known.
    """

    def __init__(self) -> None:
        self.revision = 0
        self.complete_since = 0
        self._revisions: OrderedDict[str, int] = OrderedDict()  # by machine, the latest last

    def __len__(self) -> int:
        """The number of machines whose last change is known."""
        return len(self._revisions)

    def record(self, machine: str, machines: int) -> None:
        """Note a change of a machine's room, of a table with so many machines."""
        revisions = self._revisions
        self.revision += 1
        revisions[machine] = self.revision
        revisions.move_to_end(machine)
        while len(revisions) > MAX_TABLE_CHANGES + machines:
            self.complete_since = revisions.popitem(last=False)[1]

    def record_all(self) -> None:
        """Note that any room may have changed."""
        self.revision += 1
        self.complete_since = self.revision
        self._revisions.clear()

    def since(self, revision: int) -> list[str] | None:
        """Machines that changed after the revision, the latest first; None: any may have."""
        if revision < self.complete_since or revision > self.revision:
            return None
        found = []
        for machine in reversed(self._revisions):
            if self._revisions[machine] <= revision:
                break
            found.append(machine)
        return found
