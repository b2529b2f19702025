"""The history of the records that a controller acts on, and the checks for a loss.

The rest of the scheduler relies on compare-and-set: a commit names the revisions of the keys that
it read, and fails if one of them has changed. This is safe only while the state service never
loses a commit. After a loss (a stale replica has taken over, or a backup was restored), the
service assigns the same revisions again, and a condition on a revision from before the loss can
hold by accident. Revisions alone can't reveal this.

Therefore each period without a loss is a history. A history has a random name that is never
reused, and an anchor under each persistent prefix. An anchor is a key that contains the name.
The conditions of every commit include the anchor of `c/` and the anchors of the prefixes of all
keys that the commit has conditions on. A rebuild after a loss begins a new history by deleting the
old anchors, so that a commit which was sent before the rebuild fails however late it arrives.
Anchors thus have the role that fencing tokens have for locks.

A controller that sees a sign of a loss suspects its history. It makes no further commits until
the records have been rebuilt and it has joined the new history. The module does no I/O and reads
no clock.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping
from typing import Any

from clayport.records.keys import HISTORY_KEY as HISTORY_KEY
from clayport.records.keys import is_anchor as is_anchor

# The prefixes of the persistent records. Each prefix has an anchor.
PREFIXES = ("c/", "run/", "end/", "quota/")
# The states of a history in the record under HISTORY_KEY.
REBUILDING, WHOLE = "rebuilding", "whole"


def anchor_key(prefix: str, name: str) -> str:
    """Return the key of the anchor of a prefix in the named history."""
    return f"{prefix}~{name}"


def anchor_value(name: str) -> dict[str, Any]:
    """Return the value of an anchor.

    The value also has the fields of an empty quota, so that code which scans the quota records
    can parse the anchor under that prefix.
    """
    return {"id": name, "c": 0.0, "g": 0.0}


class History:
    """The history that one controller acts on, and whether the history is suspect.

    Args:
        on_suspicion: Called when the history becomes suspect.

    Attributes:
        name: The name of the history; empty if there is none. Without a name, commits have no
            conditions on anchors, and a low revision raises no suspicion.
        number: The number of the history; each rebuild increments it.
        anchors: The revision of each anchor, by key.
        highest_revision: The highest revision that this controller or a peer has seen in an
            answer of the state service.
        suspicion: Why the history is suspect; empty if it isn't.
        needs_loss_check: Whether `Recovery.check_for_loss` has to run before the next request: the
            state service has failed to answer, and may have lost records since.
    """

    MAX_ANCHOR_CONDITIONS = len(PREFIXES)  # conditions that `conditions` may add to a commit

    def __init__(self, on_suspicion: Callable[[], None] = lambda: None) -> None:
        self.name = ""
        self.number = 0
        self.anchors: dict[str, int] = {}
        self.highest_revision = 0
        self.suspicion = ""
        self.needs_loss_check = False
        self._on_suspicion = on_suspicion

    def conditions(self, keys: Iterable[str]) -> dict[str, int]:
        """Return the anchors, with their revisions, that a commit of these keys requires."""
        if not self.name:
            return {}
        touched = {"c/", *(prefix for key in keys for prefix in PREFIXES if key.startswith(prefix))}
        return {
            anchor: revision
            for anchor, revision in self.anchors.items()
            if anchor[: -len(self.name) - 1] in touched
        }

    def check_revision(self, revision: int, highest_revision: int, wrote: bool = False) -> bool:
        """Check the revision in an answer of the state service.

        Args:
            revision: The revision in the answer.
            highest_revision: The highest revision that was known when the request was sent.
            wrote: Whether the request was a successful commit, after which the revision has to
                be higher.

        Returns:
            False if the revision is too low. In this case commits have been lost, and the
            history becomes suspect.
        """
        if self.name and revision < highest_revision + wrote:
            self.suspect(f"revision {revision} after {highest_revision}")
            return False
        self.highest_revision = max(self.highest_revision, revision)
        return True

    def note_peer(self, name: str, number: int, highest_revision: int, suspicion: bool) -> None:
        """Compare this history with the history of a peer.

        The first three arguments are the peer's attributes of the same names, and `suspicion` says
        whether the peer's history is suspect. A peer without a history or with an earlier one is
        ignored, because it has just started or has not yet joined the current history.
        """
        if not name or not self.name or number < self.number:
            return
        if name != self.name:
            self.suspect("a peer acts on another history")
            return
        self.highest_revision = max(self.highest_revision, highest_revision)
        if suspicion:
            self.suspect("a peer stands still")

    def check_prefix(self, prefix: str, keys: Iterable[str]) -> bool:
        """Check that the anchor is among all keys that were just read under a prefix.

        Returns:
            False if the anchor is missing. In this case records have been lost, and the history
            becomes suspect.
        """
        if self.name and anchor_key(prefix, self.name) not in keys:
            self.suspect(f"nothing holds {prefix}")
            return False
        return True

    def check_failed_keys(self, keys: Iterable[str]) -> bool:
        """Check the keys whose conditions made a commit fail.

        Returns:
            True if an anchor is among them. In this case the history has ended or has been lost,
            and it becomes suspect.
        """
        if any(key in self.anchors for key in keys):
            self.suspect("the history has moved on")
            return True
        return False

    def suspect(self, reason: str) -> None:
        """Mark the history as suspect; a history that is already suspect keeps its reason."""
        if not self.suspicion:
            self.suspicion = reason
            self._on_suspicion()

    def join(
        self, name: str, number: int, anchors: Mapping[str, int], highest_revision: int
    ) -> None:
        """Switch to a history and clear the suspicion; an empty name means no history."""
        self.name, self.number, self.anchors, self.highest_revision = (
            name,
            number,
            dict(anchors),
            highest_revision,
        )
        self.suspicion, self.needs_loss_check = "", False
