"""Log of changes to the machines' rooms, so that readers fetch only what has changed."""

from __future__ import annotations

from collections import OrderedDict

# The log may have this many entries more than the table has machines, so that it also covers
# removed machines.
MAX_TABLE_CHANGES = 1000


class ChangeLog:
    """The revision of a table of rooms, and the revision of each machine's last change.

    Attributes:
        revision: The current revision, which rises with every change.
        complete_since: The oldest revision after which every change is known.
    """

    def __init__(self) -> None:
        self.revision = 0
        self.complete_since = 0
        self._revisions: OrderedDict[str, int] = OrderedDict()  # by machine, the latest change last

    def __len__(self) -> int:
        """Return the number of machines whose last change is known."""
        return len(self._revisions)

    def record(self, machine: str, machines: int) -> None:
        """Record a change of a machine's room.

        Args:
            machine: The name of the machine.
            machines: The number of machines in the table, which bounds the log.
        """
        revisions = self._revisions
        self.revision += 1
        revisions[machine] = self.revision
        revisions.move_to_end(machine)
        while len(revisions) > MAX_TABLE_CHANGES + machines:
            self.complete_since = revisions.popitem(last=False)[1]

    def record_all(self) -> None:
        """Record that any room may have changed."""
        self.revision += 1
        self.complete_since = self.revision
        self._revisions.clear()

    def since(self, revision: int) -> list[str] | None:
        """Return the machines changed after a revision, latest first; None if that is unknown."""
        if revision < self.complete_since or revision > self.revision:
            return None
        found = []
        for machine in reversed(self._revisions):
            if self._revisions[machine] <= revision:
                break
            found.append(machine)
        return found
