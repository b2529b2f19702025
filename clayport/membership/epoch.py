"""Epochs: numbered member lists, which also say who leads a job and who owns a machine.

One record holds the epoch, and every commit that assigns or ends work is conditional on its
revision. Safety does not depend on what a controller believes: one that is no longer a member
and does not know it yet can change nothing, since its commits fail and its fencing tokens are
lower than those of its successors.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

from clayport.membership.rendezvous import rendezvous

# A token is the epoch's number above the owner's own counter for the machine.
TOKEN_COUNTER_BITS = 24
# Keys (jobs and machines) of which an epoch remembers the member.
MAX_CACHED_KEYS = 20_000


class Epoch:
    """A member list as committed.

    Attributes:
        number: Grows by one with each epoch.
        members: The incarnation of each member, by the controller's label.
        rev: The revision of the epoch's record, on which every commit under it is conditional.
        provisioner: The member that rents and returns machines.
    """

    __slots__ = ("_member_by_key", "members", "number", "provisioner", "rev")

    def __init__(self, number: int, members: dict[str, str], rev: int) -> None:
        self.number, self.members, self.rev = number, members, rev
        self.provisioner = rendezvous("provisioner", members)
        self._member_by_key: dict[str, str] = {}

    @staticmethod
    def parse(value: Any, rev: int) -> Epoch:
        """Build an epoch from its record and the record's revision.

        Raises:
            KeyError, TypeError, ValueError, AttributeError: The value has another shape.
        """
        members = {str(label): str(inc) for label, inc in value["members"].items()}
        return Epoch(int(value["number"]), members, rev)

    def value(self) -> dict[str, Any]:
        """Return the value that is stored under the epoch's key."""
        return {"number": self.number, "members": self.members}

    @property
    def first_token(self) -> int:
        """The least fencing token of this epoch; the machines' counters are added to it."""
        return self.number << TOKEN_COUNTER_BITS

    def member_for(self, key: str) -> str:
        """Return the member that a job (its leader) or a machine (its owner) belongs to.

        Args:
            key: The id of the job, or the name of the machine.

        Returns:
            The member's label, or "" if the epoch has no members.
        """
        # Cached, since each report asks for it. Users may ask for jobs that never were, so
        # the cache is bounded: it is cleared when it is full.
        member = self._member_by_key.get(key)
        if member is None:
            if len(self._member_by_key) >= MAX_CACHED_KEYS:
                self._member_by_key.clear()
            member = self._member_by_key[key] = rendezvous(key, self.members)
        return member


NO_EPOCH = Epoch(0, {}, 0)


def may_propose(label: str, members: Mapping[str, str], present: Mapping[str, str]) -> bool:
    """Return whether a controller may propose the next epoch.

    A member may; another controller only if none of the members is present. One that has just
    started does not know who has restarted how often (`FlapDamping`).

    Args:
        label: The controller.
        members: The incarnations of the present epoch's members, by label.
        present: The incarnations of the controllers whose keys are in the state service.
    """
    return members.get(label) == present.get(label) is not None or not any(
        present.get(member) == incarnation for member, incarnation in members.items()
    )


def successor(current: Epoch, present: Mapping[str, str]) -> Epoch | None:
    """Return the epoch to propose for the controllers present, or None for no change.

    A restarted controller has a new incarnation: it has forgotten its reservations and
    counters, so it must not go on in the present epoch.
    """
    if not present or present == current.members:
        return None
    return Epoch(current.number + 1, dict(present), 0)
