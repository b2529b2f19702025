"""Tells peers of cancellations, and says when users may be told of them."""

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

# Cancellations that a peer is told of at a time once it is heard again.
RESEND_BATCH = 50


class CancellationDisclosure:
    """Has peers acknowledge cancellations, as `Promises` asks for before users are told.

    Args:
        membership: Gives the interval at which waiting requests look again.
        peers: The other controllers, by label.
        promises: What peers were promised and have acknowledged.
        routines: The signals and short-lived routines of this process.
        cancel_s: For how long a peer is told of a cancellation, in seconds.
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
        # By the peer's label and the job, the cancellations that peers are being told of.
        self.in_flight: dict[tuple[str, str], None] = {}

    async def announced(self, job: str, deadline: Deadline) -> None:
        """Wait until users may be told that a job is cancelled (`leases.promises`).

        Args:
            job: The cancelled job.
            deadline: Until when its user waits for the answer.

        Raises:
            UnavailableError: That isn't in time.
        """
        name = f"told {job}"
        while not self.promises.try_disclose(job, time.monotonic()):
            self.tell_cancelled(job)
            now = time.monotonic()
            wait_s = self.promises.disclosure_delay_s(job, now)
            if not deadline.allows(now):
                self.routines.events.pop(name, None)
                raise UnavailableError("not everybody knows of it yet", wait_s)
            # (Who waits for the same at the same time may have taken the signal.)
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

    def tell_cancelled(self, job: str) -> None:
        """Have all peers acknowledge a cancellation that they don't know of yet."""
        for label in self.promises.unacknowledged_peers(job):
            self._start_telling(label, job)

    def resend_cancellations(self, label: str) -> None:
        """Tell a peer that is heard again of cancellations that it has not acknowledged."""
        for job in self.promises.unacknowledged_jobs(label)[:RESEND_BATCH]:
            self._start_telling(label, job)

    def _start_telling(self, label: str, job: str) -> None:
        if (label, job) not in self.in_flight:
            self.in_flight[label, job] = None
            self.routines.spawn(self._tell_cancelled(label, job))

    async def _tell_cancelled(self, label: str, job: str) -> None:
        peer = self.peers[label]
        end = time.monotonic() + self.cancel_s
        attempt = peer.begin()
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
