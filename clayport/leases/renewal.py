"""Whether this controller may renew workers' leases, and whether users should come to it."""

from __future__ import annotations

import time
from collections.abc import Mapping

from clayport.leases.watermark import CancellationWatermark
from clayport.membership.state import MembershipState
from clayport.records.store import StateStore
from clayport.settings import WorkerSettings
from clayport.transport.peers import Peer


class LeaseRenewal:
    """Decides from what is known here; times are on the steady clock, in seconds.

    Attributes:
        renewing_s: How long leases may be renewed without knowing what users are told. It
            leaves a lease of the time that a cancellation has, and a report's interval for
            drift and whatever is late.
    """

    def __init__(
        self,
        membership: MembershipState,
        store: StateStore,
        peers: Mapping[str, Peer],
        watermark: CancellationWatermark,
        workers: WorkerSettings,
    ) -> None:
        self.membership = membership
        self.store = store
        self.peers = peers
        self.watermark = watermark
        self.renewing_s = workers.cancel_s - workers.lease_s - workers.report_s

    def state_lost(self, now: float) -> bool:
        """Whether the state service has not answered for longer than our key's lease."""
        return not self.store.ok and now - self.store.last_served_at > self.membership.lease_ttl_s

    def healthy(self) -> bool:
        """Whether users should come here: in an outage that everybody has, yes."""
        now, membership = time.monotonic(), self.membership
        if not membership.records_loaded or not membership.is_member or membership.away:
            return False
        if self.state_lost(now):
            return not any(
                peer.state_ok and now - peer.heard < membership.lease_ttl_s
                for peer in self.peers.values()
            )
        return True

    def superseded(self, now: float) -> bool:
        """Whether a peer that reaches the state service acts under a newer epoch.

        A controller that lost the state service alone does not see its own eviction
        in the watch; if it kept its workers, their new owners would never hear them.
        """
        membership = self.membership
        return any(
            peer.state_ok
            and peer.epoch > membership.epoch.number
            and now - peer.heard < membership.lease_ttl_s
            for peer in self.peers.values()
        )

    def may_renew(self, now: float) -> bool:
        """Whether workers' leases may be renewed.

        A cancelled task must not be kept alive past its deadline by a controller that doesn't
        know of the cancellation.

        Silence proves nothing: that no peer reached the state service was once taken for a
        proof that nobody had been told of a cancellation, and one that had told it, and ended
        a moment later, was not missed.
        """
        if self.state_lost(now) and self.superseded(now):
            return False
        return now - self.watermark.known_until() < self.renewing_s
