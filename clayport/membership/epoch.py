"""Epochs: numbered member lists that determine each job's leader and each machine's owner.

One record holds the epoch, and every commit that assigns or ends work is conditional on the
revision of this record. Safety does not depend on what a controller believes: a controller that
has been removed and does not know it yet can change nothing, because its commits fail and its
fencing tokens are lower than those of its successors.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

from clayport.membership.rendezvous import rendezvous

# The number of keys (jobs and machines) whose member an epoch caches.
MAX_CACHED_KEYS = 20_000


class Epoch:
    """A committed member list.

    Attributes:
        number: One higher than that of the previous epoch.
        members: The incarnation of each member, by the controller's label.
        rev: The revision of the epoch's record. Every commit under the epoch is conditional on it.
        provisioner: The member that rents and returns machines.
    """

    __slots__ = ("_member_by_key", "members", "number", "provisioner", "rev")

    def __init__(self, number: int, members: dict[str, str], rev: int) -> None:
        self.number, self.members, self.rev = number, members, rev
        self.provisioner = rendezvous("provisioner", members)
        self._member_by_key: dict[str, str] = {}

    @staticmethod
    def parse(value: Any, rev: int) -> Epoch:
        """Return the epoch that a record holds, given the record's revision.

        Raises:
            KeyError, TypeError, ValueError, AttributeError: The value is malformed.
        """
        members = {str(label): str(inc) for label, inc in value["members"].items()}
        return Epoch(int(value["number"]), members, rev)

    def value(self) -> dict[str, Any]:
        """Return the value that is stored under the epoch's key."""
        return {"number": self.number, "members": self.members}

    def member_for(self, key: str) -> str:
        """Return the leader of a job, or the owner of a machine.

        Args:
            key: The id of the job, or the name of the machine.

        Returns:
            The member's label, or "" if the epoch has no members.
        """
        # The member is cached, because every worker report looks its machine up. The cache is
        # cleared when it is full, because users may ask for any number of jobs that do not exist.
        member = self._member_by_key.get(key)
        if member is None:
            if len(self._member_by_key) >= MAX_CACHED_KEYS:
                self._member_by_key.clear()
            member = self._member_by_key[key] = rendezvous(key, self.members)
        return member


NO_EPOCH = Epoch(0, {}, 0)


def may_propose(label: str, members: Mapping[str, str], present: Mapping[str, str]) -> bool:
    """Return whether a controller may propose the next epoch.

    A member may propose. Any other controller may do so only if no member is present, because a
    controller that has just started does not know how often the others have restarted
    (`FlapDamping`).

    Args:
        label: The controller.
        members: The incarnations of the current epoch's members, by label.
        present: The incarnations of the controllers whose keys are in the state service.
    """
    return members.get(label) == present.get(label) is not None or not any(
        present.get(member) == incarnation for member, incarnation in members.items()
    )


def next_epoch(current: Epoch, present: Mapping[str, str]) -> Epoch | None:
    """Return the epoch to propose for the controllers present, or None if nothing changes.

    A restarted controller has a new incarnation. It has lost its reservations and counters, so
    it must not continue in the current epoch.
    """
    if not present or present == current.members:
        return None
    return Epoch(current.number + 1, dict(present), 0)
