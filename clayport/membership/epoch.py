"""Epochs: who takes part, who is home to a job and who owns a machine.

One key holds the epoch, and every commit that assigns or ends work names
its revision. Nothing here is trusted for safety: a controller that is evicted
while it still believes itself a member can change nothing, since its commits
fail and its tokens are lower than those of its successors.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from hashlib import blake2b
from typing import Any

# A token is the epoch above the owner's own counter for the machine.
TOKEN_COUNTER_BITS = 24
# Places of jobs and machines that are remembered.
MAX_CACHED_MEMBERS = 20_000
# Ends of a controller within the window that cost it no pause.
RESTARTS_WITHOUT_PAUSE = 2


class Epoch:
    """The member list as committed; `rev` fences every commit made under it."""

    __slots__ = ("_places", "members", "number", "provisioner", "rev")

    def __init__(self, number: int, members: dict[str, str], rev: int) -> None:
        self.number, self.members, self.rev = number, members, rev
        self.provisioner = rendezvous("provisioner", members)
        self._places: dict[str, str] = {}

    @staticmethod
    def parse(value: Any, rev: int) -> Epoch:
        """Build an epoch from its record and the record's revision.

        Raises:
            KeyError, TypeError, ValueError, AttributeError: The value has another shape.
        """
        members = {str(k): str(v) for k, v in value["members"].items()}
        return Epoch(int(value["number"]), members, rev)

    def value(self) -> dict[str, Any]:
        """Return the value that is stored under the epoch's key."""
        return {"number": self.number, "members": self.members}

    @property
    def first_token(self) -> int:
        """The least fencing token of this epoch; the machines' counters lie above it."""
        return self.number << TOKEN_COUNTER_BITS

    def place(self, key: str) -> str:
        """The member that a job (home) or a machine (owner) belongs to.

        Remembered, since each report asks for it; all at once is forgotten what has become
        too much, as users ask for jobs that never were.
        """
        found = self._places.get(key)
        if found is None:
            if len(self._places) >= MAX_CACHED_MEMBERS:
                self._places.clear()
            found = self._places[key] = rendezvous(key, self.members)
        return found


def rendezvous(key: str, members: Iterable[str]) -> str:
    """Highest random weight: a member's end moves only what it held."""
    return max(
        members,
        key=lambda m: (blake2b(f"{key}\0{m}".encode(), digest_size=8).digest(), m),
        default="",
    )


NO_EPOCH = Epoch(0, {}, 0)


class FlapDamping:
    """Flap damping: which controllers restart too often, and until when they are left out.

    Each end costs all the others an epoch: they announce it to their workers and read
    their jobs anew. One that ends every few seconds would keep them at it. So after a few
    ends in a short while it is left out, for a pause that doubles with each end more, and
    the others serve what would be its. (What has ended once or twice is back at once, as
    after a roll.) It is a matter of cost alone: who is in an epoch is decided by the
    commit.
    """

    def __init__(self, window_s: float, pause_s: float, pause_most_s: float) -> None:
        self.window_s, self.pause_s, self.pause_most_s = window_s, pause_s, pause_most_s
        self.seen: dict[str, str] = {}  # the last incarnation of each
        self.ends: dict[str, list[float]] = {}
        self.until: dict[str, float] = {}

    def observe(self, present: Mapping[str, str], now: float) -> list[str]:
        """Record who is present; return who is left out from now on."""
        found = []
        for label, incarnation in present.items():
            before = self.seen.get(label)
            self.seen[label] = incarnation
            if before is None or before == incarnation:
                continue
            ends = [t for t in self.ends.get(label, ()) if now - t < self.window_s]
            self.ends[label] = [*ends, now]
            more = len(ends) - RESTARTS_WITHOUT_PAUSE
            if more >= 0:
                self.until[label] = now + min(self.pause_most_s, self.pause_s * 2.0**more)
                found.append(label)
        return found

    def admitted(
        self, members: Mapping[str, str], present: Mapping[str, str], now: float
    ) -> dict[str, str]:
        """Who may be in the next epoch: those that are in this one, and all others
        whose pause is over. All, if that is nobody."""
        found = {
            label: inc
            for label, inc in present.items()
            if members.get(label) == inc or now >= self.until.get(label, now)
        }
        return found or dict(present)


def may_propose(me: str, members: Mapping[str, str], present: Mapping[str, str]) -> bool:
    """Whether a controller may propose an epoch: a member, and whoever finds none of
    the members there. One that has just begun doesn't know who has ended how often."""
    return members.get(me) == present.get(me) is not None or not any(
        present.get(label) == inc for label, inc in members.items()
    )


def successor(current: Epoch, present: Mapping[str, str]) -> Epoch | None:
    """The epoch to propose for the controllers present, or None for no change.

    A restarted controller has a new incarnation: it has forgotten its
    reservations and counters, so it must not go on in the old epoch.
    """
    if not present or present == current.members:
        return None
    return Epoch(current.number + 1, dict(present), 0)


def should_leave(
    now: float, me: str, heard: dict[str, float], present: Iterable[str], patience_s: float
) -> bool:
    """Whether a controller that reaches no present peer should step aside.

    Peers that crashed lose their keys with their leases; peers whose keys live
    on but who are out of reach show that it is us who is cut off. Of two that
    don't reach each other the first in order stays, so that one does.
    """
    others = [p for p in present if p != me]
    silent = [p for p in others if now - heard.get(p, -1e9) > patience_s]
    if not others or len(silent) * 2 <= len(others):
        return False
    return len(others) > 1 or min(others) < me
