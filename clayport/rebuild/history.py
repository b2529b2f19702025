"""Which history of the records a controller acts on, and when to doubt it. Pure: no I/O.

Revisions alone don't tell one history from another: after a loss the numbers come back, and
a condition from before holds by accident. So each history has a name that is never used
again, and under each prefix a key of that name, its anchor. Every commit names the anchors
of the prefixes that it touches; a rebuild begins by removing them, and whatever was sent
before, however late it is applied, fails from then on.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping
from typing import Any

from clayport.records.keys import HEAD_KEY as HEAD_KEY
from clayport.records.keys import is_anchor as is_anchor

# Where records are kept for good.
PREFIXES = ("c/", "run/", "end/", "quota/")
REBUILDING, WHOLE = "rebuilding", "whole"


def anchor_key(prefix: str, name: str) -> str:
    """Return the key that marks a prefix as belonging to the named history."""
    return f"{prefix}~{name}"


def anchor_value(name: str) -> dict[str, Any]:
    """Reads as a quota of nothing, for whoever lists them."""
    return {"id": name, "c": 0.0, "g": 0.0}


class History:
    """What one controller knows of the history that it acts on.

    `name` is empty as long as there is none: nothing is named in conditions then, and
    nothing is doubted. `doubt` says why it stands still, and is empty while it doesn't.
    """

    ANCHORS = len(PREFIXES)  # conditions that a commit may have beside its own

    def __init__(self, doubted: Callable[[], None] = lambda: None) -> None:
        self.name = ""
        self.number = 0  # one more with each rebuild
        self.revs: dict[str, int] = {}  # anchor: revision
        self.floor = 0  # the highest revision that any answer has shown, here or to a peer
        self.doubt = ""
        # The service has not answered since the peers were last asked what they have seen:
        # it may have come back with less.
        self.unsure = False
        self._doubted = doubted

    def conditions(self, keys: Iterable[str]) -> dict[str, int]:
        """The anchors that a commit with these keys has to name, with their revisions."""
        if not self.name:
            return {}
        touched = {"c/", *(p for key in keys for p in PREFIXES if key.startswith(p))}
        return {
            anchor: rev
            for anchor, rev in self.revs.items()
            if anchor[: -len(self.name) - 1] in touched
        }

    def answered(self, rev: int, floor: int, wrote: bool = False) -> bool:
        """Take note of a revision in an answer; False if it lies below what was known when
        it was asked for (or at it, where something was written), so that the answer comes
        from a history with a gap."""
        if self.name and rev < floor + wrote:
            self.suspect(f"revision {rev} after {floor}")
            return False
        self.floor = max(self.floor, rev)
        return True

    def told(self, name: str, number: int, floor: int, doubt: bool) -> None:
        """What a peer has seen, and whether it stands still."""
        if not name or not self.name or number < self.number:
            return  # it has only begun, or is behind
        if name != self.name:
            self.suspect("a peer acts on another history")
            return
        self.floor = max(self.floor, floor)
        if doubt:
            self.suspect("a peer stands still")

    def complete(self, prefix: str, keys: Iterable[str]) -> bool:
        """Whether all keys with the prefix, as just read, have their anchor among them: if
        not, they are not what was left there."""
        if self.name and anchor_key(prefix, self.name) not in keys:
            self.suspect(f"nothing holds {prefix}")
            return False
        return True

    def failed(self, keys: Iterable[str]) -> bool:
        """Whether a commit failed for its anchors: the history has moved on, or is gone."""
        if any(key in self.revs for key in keys):
            self.suspect("the history has moved on")
            return True
        return False

    def suspect(self, why: str) -> None:
        """Stand still until it is known what holds."""
        if not self.doubt:
            self.doubt = why
            self._doubted()

    def join(self, name: str, number: int, revs: Mapping[str, int], floor: int) -> None:
        """Act on this history from now on (without a name: as if there were none)."""
        self.name, self.number, self.revs, self.floor = name, number, dict(revs), floor
        self.doubt, self.unsure = "", False
