"""Decides whether this controller may renew workers' leases, and whether it is healthy."""

from __future__ import annotations

import time
from collections.abc import Mapping

from clayport.leases.watermark import CancellationWatermark
from clayport.membership.state import MembershipState
from clayport.records.store import StateStore
from clayport.settings import WorkerSettings
from clayport.transport.peers import Peer


class LeaseRenewal:
    """Decides on renewals by local state; times are on the monotonic clock, in seconds.

    Attributes:
        max_watermark_age_s: The largest age of the cancellation watermark at which leases are still
            renewed. A lease renewed at that age expires within `cancel_s` of the watermark,
            with a report interval as a margin for clock drift and delays.
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
        self.max_watermark_age_s = workers.cancel_s - workers.lease_s - workers.report_s

    def state_service_lost(self, now: float) -> bool:
        """Return whether the state service has not answered for longer than a key's lease lasts."""
        return (
            not self.store.is_serving
            and now - self.store.last_served_at > self.membership.lease_ttl_s
        )

    def healthy(self) -> bool:
        """Return whether users should send requests to this controller.

        A controller that has lost the state service is still healthy if no peer reaches the
        state service either.
        """
        now, membership = time.monotonic(), self.membership
        if not membership.records_loaded or not membership.is_member or membership.stepped_aside:
            return False
        if self.state_service_lost(now):
            return not any(
                peer.state_service_ok and now - peer.last_heard_at < membership.lease_ttl_s
                for peer in self.peers.values()
            )
        return True

    def superseded(self, now: float) -> bool:
        """Return whether a peer that reaches the state service is in a newer epoch.

        If only this controller has lost the state service, it does not learn from the watch that
        it has been removed from the members. If it kept answering its workers, the new owners of
        their machines would never receive their reports.
        """
        membership = self.membership
        return any(
            peer.state_service_ok
            and peer.epoch > membership.epoch.number
            and now - peer.last_heard_at < membership.lease_ttl_s
            for peer in self.peers.values()
        )

    def may_renew(self, now: float) -> bool:
        """Return whether workers' leases may be renewed.

        A controller that doesn't know of a cancellation must not keep the job's tasks alive past
        the deadline of the cancellation. Therefore only the watermark decides. Even if no peer
        reaches the state service, a peer may have told a user of a cancellation and crashed right
        after.
        """
        if self.state_service_lost(now) and self.superseded(now):
            return False
        return now - self.watermark.disclosures_known_until() < self.max_watermark_age_s
