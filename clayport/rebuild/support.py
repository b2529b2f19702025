"""The recovery of lost records as the other parts of a controller see it.

The recovery is off unless the operator's settings or the records turn it on.
"""

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
    """Keeps snapshots of the records on disk."""

    async def run(self) -> None:
        """Record all changes as long as the process runs."""


class Recovery(Protocol):
    """The interface of `rebuild.recovery.Recovery` for the other parts of a controller."""

    @property
    def history(self) -> History:
        """The history that this controller acts on."""
        ...

    @property
    def recorder(self) -> Recorder | None:
        """The recorder of snapshots; None without a directory for them."""
        ...

    async def run(self) -> None:
        """Check and recover the records as long as the process runs."""

    async def wait_for_second_copy(self, rev: int, deadline: Deadline) -> None:
        """Wait until the local snapshot or a peer has the commit at the revision."""

    def handle_request(self, kind: int, values: tuple[Any, ...]) -> tuple[int, tuple[Any, ...]]:
        """Answer a peer's request for the history or the evidence."""
        ...

    def note_head(self, value: Any) -> None:
        """Process the head record, which names the history of the records."""


# Creates the recovery, given the directory for snapshots and whether submissions wait for a
# second copy of the accepted job.
RecoveryFactory = Callable[[str, bool], Recovery]


class RebuildSupport:
    """Turns the recovery on, for the operator's settings or for records with a history.

    Attributes:
        recovery: The recovery of lost records; None while it is off.
    """

    def __init__(self, routines: Routines, make_recovery: RecoveryFactory) -> None:
        self.routines = routines
        self.make_recovery = make_recovery
        self.recovery: Recovery | None = None

    def enable_recovery(self, snapshots: str = "", second_copy: bool = False) -> None:
        """Turn the recovery on.

        Args:
            snapshots: The directory for snapshots; empty for no snapshots.
            second_copy: Whether a submission is answered 201 only after a snapshot or another
                controller's memory also holds the job's record.
        """
        self.recovery = self.make_recovery(snapshots, second_copy)

    def note_head(self, value: Any) -> None:
        """Process the head record, which names the history of the records."""
        if self.recovery is None:
            # The recovery is off in the settings. But a commit without the conditions on the
            # anchors could be applied after a loss, so the recovery has to be on.
            log.info("event=rebuild-enabled cause='the records have a history'")
            self.enable_recovery()
            assert self.recovery is not None
            self.routines.spawn(self.routines.run_forever(self.recovery.run))
        else:
            self.recovery.note_head(value)

    def suspect(self, reason: str) -> bool:
        """Suspect the history because a known record is missing or has an earlier revision.

        Returns:
            Whether the recovery handles the loss; False if it is off or there is no history.
        """
        if self.recovery is None or not self.recovery.history.name:
            return False
        self.recovery.history.suspect(reason)
        return True

    @property
    def supported_format(self) -> int:
        """The record format that this controller announces in its version record."""
        return PROMISES_FORMAT if self.recovery is None else PROMISES_FORMAT + 1

    @property
    def records_suspect(self) -> bool:
        """Whether the records may have been lost in part, so that nothing may rely on them."""
        return self.recovery is not None and bool(self.recovery.history.suspicion)
