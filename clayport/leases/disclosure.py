"""Notifies peers of cancellations, and delays answers to users until they may be told."""

from __future__ import annotations

import time
from collections.abc import Mapping

from clayport.leases.promises import Promises
from clayport.limits import Deadline
from clayport.membership.state import MembershipState
from clayport.records.errors import UnavailableError
from clayport.routines import Routines
from clayport.transport import frames, peers
from clayport.transport.peers import Peer

# How many cancellations are sent again at a time to a peer that sends heartbeats again.
RESEND_BATCH = 50


class CancellationDisclosure:
    """Obtains the acknowledgements that `Promises` requires before users are told.

    Args:
        membership: Gives the lease's lifetime, from which the polling interval is derived.
        peers: The other controllers, by label.
        promises: The promises to the peers, and the peers' acknowledgements.
        routines: The signals and short-lived routines of this process.
        cancel_s: For how long a peer is notified of a cancellation, in seconds.
    """

    def __init__(
        self,
        *,
        membership: MembershipState,
        peers: Mapping[str, Peer],
        promises: Promises,
        routines: Routines,
        cancel_s: float,
    ) -> None:
        self.membership = membership
        self.peers = peers
        self.promises = promises
        self.routines = routines
        self.cancel_s = cancel_s
        # The notifications in flight: (peer's label, job). The dict serves as an ordered set.
        self.in_flight: dict[tuple[str, str], None] = {}

    async def wait_until_disclosable(self, job: str, deadline: Deadline) -> None:
        """Wait until users may be told that a job is cancelled (see `leases.promises`).

        Args:
            job: The cancelled job.
            deadline: The deadline of the user's request.

        Raises:
            UnavailableError: Users may not be told before the deadline.
        """
        name = f"told {job}"
        while not self.promises.try_disclose(job, time.monotonic()):
            self.announce_cancellation(job)
            now = time.monotonic()
            wait_s = self.promises.disclosure_delay_s(job, now)
            if not deadline.allows(now):
                self.routines.events.pop(name, None)
                raise UnavailableError("not everybody knows of it yet", wait_s)
            # The wait is short, because another request for the same job may have consumed the
            # signal.
            await self.routines.wait(
                name,
                max(
                    0.001,
                    min(
                        wait_s,
                        deadline.left(now, self.membership.lease_ttl_s / 16),
                        self.membership.lease_ttl_s / 16,
                    ),
                ),
            )
        self.routines.events.pop(name, None)

    def announce_cancellation(self, job: str) -> None:
        """Notify all peers that have not acknowledged a cancellation."""
        for label in self.promises.unacknowledged_peers(job):
            self._start_notification(label, job)

    def resend_cancellations(self, label: str) -> None:
        """Notify a peer that sends heartbeats again of cancellations it has not acknowledged."""
        for job in self.promises.unacknowledged_jobs(label)[:RESEND_BATCH]:
            self._start_notification(label, job)

    def _start_notification(self, label: str, job: str) -> None:
        if (label, job) not in self.in_flight:
            self.in_flight[label, job] = None
            self.routines.spawn(self._notify_peer(label, job))

    async def _notify_peer(self, label: str, job: str) -> None:
        peer = self.peers[label]
        end = time.monotonic() + self.cancel_s
        attempt = peer.begin_request()
        try:
            while time.monotonic() < end:
                try:
                    await peer.call(frames.JOB_ENDED, (job, "cancelled"))
                except peers.PeerError:
                    await peer.back_off(attempt)
                    continue
                self.promises.acknowledge(label, job)
                self.routines.signal(f"told {job}")
                return
        finally:
            self.in_flight.pop((label, job), None)
