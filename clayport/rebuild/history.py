"""The history (lineage) of the records that a controller acts on, and checks that it holds.

The rest of the scheduler relies on compare-and-swap: a commit names the revisions of the keys
it read, and fails if one has changed. This holds only as long as the state service never
loses a commit. If it does (a replica that was behind has taken over, a backup was put back),
revisions are given out a second time, and a condition on a revision from before the loss can
hold by accident. Revisions alone can't show that.

So each run of the records without a loss is a history. It has a random name that is never
used again, and under each prefix that is kept for good an anchor: a key that contains the
name. Every commit has the anchors of the prefixes that it touches among its conditions. A
rebuild after a loss begins a new history by deleting the old anchors, so a commit that was
sent before fails however late it arrives. (This is what a fencing token does for a lock.)

A controller that sees a sign of a loss suspects its history: it commits nothing more until
the records have been rebuilt and it has joined the new history. Pure: no I/O, no clock.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping
from typing import Any

from clayport.records.keys import HEAD_KEY as HEAD_KEY
from clayport.records.keys import is_anchor as is_anchor

# The prefixes of the records that are kept for good; each has an anchor.
PREFIXES = ("c/", "run/", "end/", "quota/")
# The states of a history, as they are stored under HEAD_KEY.
REBUILDING, WHOLE = "rebuilding", "whole"


def anchor_key(prefix: str, name: str) -> str:
    """Return the key that marks a prefix as belonging to the named history."""
    return f"{prefix}~{name}"


def anchor_value(name: str) -> dict[str, Any]:
    """Return the value of an anchor.

    It also has the fields of an empty quota, so that whoever lists the quotas can read it.
    """
    return {"id": name, "c": 0.0, "g": 0.0}


class History:
    """What one controller knows of the history that it acts on, and whether to trust it.

    Args:
        on_suspicion: Called when the history becomes suspect.

    Attributes:
        name: The name of the history; empty while there is none. Without one, commits have
            no conditions on anchors and nothing is suspected on account of revisions.
        number: Counts the histories of a deployment; one more with each rebuild.
        anchors: The revision of each anchor, by its key.
        highest_revision: The highest revision that an answer has shown, here or to a peer.
        suspicion: Why the history is suspect; empty if it isn't.
        needs_check_in: Whether the state service has failed to answer since the peers were last
            asked for the revisions they have seen. It may have come back with less.
    """

    ANCHORS = len(PREFIXES)  # conditions that a commit may have beside its own

    def __init__(self, on_suspicion: Callable[[], None] = lambda: None) -> None:
        self.name = ""
        self.number = 0
        self.anchors: dict[str, int] = {}
        self.highest_revision = 0
        self.suspicion = ""
        self.needs_check_in = False
        self._on_suspicion = on_suspicion

    def conditions(self, keys: Iterable[str]) -> dict[str, int]:
        """Return the anchors, with their revisions, on which a commit of these keys depends."""
        if not self.name:
            return {}
        touched = {"c/", *(p for key in keys for p in PREFIXES if key.startswith(p))}
        return {
            anchor: revision
            for anchor, revision in self.anchors.items()
            if anchor[: -len(self.name) - 1] in touched
        }

    def check_revision(self, revision: int, highest_revision: int, wrote: bool = False) -> bool:
        """Check the revision of the state service that an answer shows.

        Args:
            revision: The revision in the answer.
            highest_revision: The highest revision that was known when the request was sent.
            wrote: Whether the request was a commit that succeeded: the revision has to be
                higher then.

        Returns:
            False if the revision is too low, so that commits have been lost; the history is
            suspect then.
        """
        if self.name and revision < highest_revision + wrote:
            self.suspect(f"revision {revision} after {highest_revision}")
            return False
        self.highest_revision = max(self.highest_revision, revision)
        return True

    def note_peer(self, name: str, number: int, highest_revision: int, suspicion: bool) -> None:
        """Take in what a peer says of its own history: the attributes of the same names.

        `suspicion` is only whether its history is suspect. A peer without a history, or with an
        earlier one, has just started or is behind, and changes nothing.
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
        """Check all keys under a prefix, as just read; the anchor has to be among them.

        Returns:
            False if it is missing, so that records are too; the history is suspect then.
        """
        if self.name and anchor_key(prefix, self.name) not in keys:
            self.suspect(f"nothing holds {prefix}")
            return False
        return True

    def check_failed_keys(self, keys: Iterable[str]) -> bool:
        """Check the keys whose conditions made a commit fail.

        Returns:
            True if an anchor is among them, so that the history has ended or was lost; it is
            suspect then.
        """
        if any(key in self.anchors for key in keys):
            self.suspect("the history has moved on")
            return True
        return False

    def suspect(self, reason: str) -> None:
        """Mark the history as suspect, unless it already is; the first reason is kept."""
        if not self.suspicion:
            self.suspicion = reason
            self._on_suspicion()

    def join(
        self, name: str, number: int, anchors: Mapping[str, int], highest_revision: int
    ) -> None:
        """Act on this history from now on, without suspicion (an empty name: on none)."""
        self.name, self.number, self.anchors, self.highest_revision = (
            name,
            number,
            dict(anchors),
            highest_revision,
        )
        self.suspicion, self.needs_check_in = "", False
