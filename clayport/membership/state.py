"""What this controller knows of its own membership and of the others' presence."""

from __future__ import annotations

from clayport.membership.epoch import NO_EPOCH, Epoch


class MembershipState:
    """Who takes part, and whether this process may act. Free of I/O.

    Attributes:
        label: This controller's name in the settings.
        incarnation: Drawn anew by each process, so that a restarted one is not taken for its
            predecessor.
        lease_ttl_s: How long this controller's key lives without a renewal.
        started_at: When this process began, on the steady clock.
        epoch: The newest epoch that is known here.
        epoch_started_at: When this process took that epoch over, on the steady clock.
        present: The incarnation of each controller that has its key in the store.
        present_revs: The revisions of those keys.
        lease: The lease of our own key, while there is one.
        away: Whether we have stepped aside because no peer is in reach.
        records_loaded: Whether the records have been read at least once.
        rescan: Whether the records have to be read again from the start.
        serving: Whether we are a member and our share of the work is loaded.
    """

    def __init__(self, label: str, incarnation: str, lease_ttl_s: float, now: float) -> None:
        self.label = label
        self.incarnation = incarnation
        self.lease_ttl_s = lease_ttl_s
        self.started_at = now
        self.epoch: Epoch = NO_EPOCH
        self.epoch_started_at = now
        self.present: dict[str, str] = {}
        self.present_revs: dict[str, int] = {}
        self.lease: int | None = None
        self.away = False
        self.records_loaded = False
        self.rescan = True
        self.serving = False

    @property
    def is_member(self) -> bool:
        """Whether the epoch known here contains this process."""
        return self.epoch.members.get(self.label) == self.incarnation

    def request_rescan(self) -> None:
        """Have the records read anew: somebody acts under a newer epoch than the one known here."""
        self.rescan = True
