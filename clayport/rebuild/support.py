"""Whether this controller takes part in rebuilding records that the store has lost."""

from __future__ import annotations

import logging
from collections.abc import Callable
from typing import Any, Protocol

from clayport.limits import Deadline
from clayport.rebuild.history import History
from clayport.records.formats import PROMISES_FORMAT
from clayport.routines import Routines

log = logging.getLogger(__name__)


class Recorder(Protocol):
    """Keeps snapshots of the records on a disk."""

    async def run(self) -> None:
        """Write what changes, for as long as the process runs."""


class Recovery(Protocol):
    """The recovery of records (`rebuild.recovery.Recovery`), as the other parts see it."""

    @property
    def history(self) -> History:
        """The history that the records belong to."""
        ...

    @property
    def recorder(self) -> Recorder | None:
        """Where a directory for snapshots was given."""
        ...

    async def run(self) -> None:
        """Look after the records, for as long as the process runs."""

    async def second(self, rev: int, deadline: Deadline) -> None:
        """Wait until a second place has what was committed at the revision."""

    def answer(self, kind: int, values: tuple[Any, ...]) -> tuple[int, tuple[Any, ...]]:
        """Answer what a peer asks of the history or the evidence."""
        ...

    def note_head(self, value: Any) -> None:
        """The records say which history they belong to."""


# Makes the recovery of records, given a directory for snapshots and whether a second copy of
# each accepted job is waited for.
RecoveryFactory = Callable[[str, bool], Recovery]


class RebuildSupport:
    """Switched on by the operator's file, or by records that say that they have a history.

    Attributes:
        recovery: The recovery of records; None while it is off.
    """

    def __init__(self, routines: Routines, make_recovery: RecoveryFactory) -> None:
        self.routines = routines
        self.make_recovery = make_recovery
        self.recovery: Recovery | None = None

    def enable(self, snapshots: str = "", second_copy: bool = False) -> None:
        """Take part from now on.

        Args:
            snapshots: The directory in which snapshots are kept; empty for none.
            second_copy: Whether nobody is told 201 before a disk, or another controller's
                memory, has the record as well.
        """
        self.recovery = self.make_recovery(snapshots, second_copy)

    def note_head(self, value: Any) -> None:
        """The records say which history they belong to."""
        if self.recovery is None:
            # Not switched on here; but whoever changes records without naming their history
            # may change what is not there any more.
            log.info("event=rebuild-enabled cause='the records have a history'")
            self.enable()
            assert self.recovery is not None
            self.routines.spawn(self.routines.duty(self.recovery.run))
        else:
            self.recovery.note_head(value)

    def suspect(self, why: str) -> bool:
        """A record that is known here is gone, though nobody removes it; whether that is
        looked into here."""
        if self.recovery is None or not self.recovery.history.name:
            return False
        self.recovery.history.suspect(why)
        return True

    @property
    def format(self) -> int:
        """What this controller understands, as its version's record says it."""
        return PROMISES_FORMAT if self.recovery is None else PROMISES_FORMAT + 1

    @property
    def in_doubt(self) -> bool:
        """Whether the records may not be those that were left: nothing rests on them then."""
        return self.recovery is not None and bool(self.recovery.history.suspicion)
