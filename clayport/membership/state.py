"""The state of this controller's membership, and the controllers known to be present."""

from __future__ import annotations

from clayport.membership.epoch import NO_EPOCH, Epoch


class MembershipState:
    """Holds the current epoch, the present controllers and whether this process serves.

    Its methods do no I/O.

    Attributes:
        label: This controller's name in the settings.
        incarnation: A random identifier of this process, which distinguishes a restarted
            controller from its predecessor.
        lease_ttl_s: The TTL of the lease that this controller's key is under.
        started_at: When this process started, on the monotonic clock.
        epoch: The newest epoch known here.
        epoch_started_at: When this process switched to that epoch, on the monotonic clock.
        present: The incarnation of each controller whose key is in the state service, by label.
        present_revs: The revisions of those keys, by label.
        lease: The lease that this controller's key is under; None without one.
        stepped_aside: Whether this controller has left the members because it is cut off from its
            peers.
        records_loaded: Whether the records have been read at least once.
        rescan: Whether all records have to be read again.
        serving: Whether this controller is a member and has loaded its jobs.
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
        self.stepped_aside = False
        self.records_loaded = False
        self.rescan = True
        self.serving = False

    @property
    def is_member(self) -> bool:
        """Whether the newest epoch known here contains this process."""
        return self.epoch.members.get(self.label) == self.incarnation

    def request_rescan(self) -> None:
        """Request a new read of the records, because another process acts under a newer epoch."""
        self.rescan = True
