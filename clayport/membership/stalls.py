"""Detects stalls, which are times in which this process did not run."""

from __future__ import annotations

import logging
import time
from collections.abc import Mapping
from typing import Protocol

import curio

from clayport.machines.table import MachineTable
from clayport.membership.state import MembershipState
from clayport.records.store import StateStore
from clayport.routines import Routines
from clayport.settings import Settings
from clayport.transport.peers import Peer

log = logging.getLogger(__name__)

# The pause between two checks, and the least delay that counts as a stall, as multiples of the
# workers' report interval.
CHECK_INTERVALS = 0.25
STALL_INTERVALS = 1.5


class Restartable(Protocol):
    """A routine that waits for a while after each start.

    Attributes:
        resumed_at: When it last started, on the monotonic clock.
    """

    resumed_at: float


class StallDetector:
    """Detects stalls, and tracks whether the records have been read since the last stall.

    After a stall, all peers and machines look silent or late, and the other controllers may have
    removed this one. So no decision is based on elapsed time until the records have been read
    again.

    Attributes:
        count: The number of stalls so far.
        confirmed_count: The value of `count` when the latest complete read of the records began.
        timer_delay_s: How late the latest timer fired, in seconds. A routine that is ready now
            waits about as long for the processor. The value is at most the least delay that counts
            as a stall, because the length of a stall does not predict later delays.
    """

    def __init__(
        self,
        now: float,
        *,
        machines: MachineTable,
        membership: MembershipState,
        peers: Mapping[str, Peer],
        routines: Routines,
        settings: Settings,
        store: StateStore,
    ) -> None:
        self.machines = machines
        self.membership = membership
        self.peers = peers
        self.routines = routines
        self.settings = settings
        self.store = store
        self.last_check_at = now
        self.count = 0
        self.confirmed_count = 0
        self.timer_delay_s = 0.0
        self.min_stall_s = STALL_INTERVALS * settings.cluster.workers.report_s

    def connect(self, *, provisioner: Restartable) -> None:
        """Set the components that are created after this one."""
        self.provisioner = provisioner

    async def detect_stalls(self) -> None:
        """Check for stalls several times in each report interval."""
        pause_s = CHECK_INTERVALS * self.settings.cluster.workers.report_s
        while True:
            now = time.monotonic()
            self.confirm_no_stall(now)
            await curio.sleep(pause_s)
            delay_s = time.monotonic() - now - pause_s
            self.timer_delay_s = min(max(0.0, delay_s), self.min_stall_s)

    def confirm_no_stall(self, now: float) -> bool:
        """Record a stall if there has been one since the last check.

        Args:
            now: The time on the monotonic clock, in seconds.

        Returns:
            Whether elapsed times may be relied on, because the records have been read since the
            last stall.
        """
        report_s = self.settings.cluster.workers.report_s
        gap_s = now - self.last_check_at - CHECK_INTERVALS * report_s
        self.last_check_at = now
        if gap_s > self.min_stall_s:
            self._record_stall(gap_s, now)
        return self.confirmed_count == self.count

    def _record_stall(self, gap_s: float, now: float) -> None:
        """Discount the gap from all elapsed times, and request a new read of the records."""
        log.info("event=stalled seconds=%.1f", gap_s)
        self.count += 1
        self.membership.rescan = True
        # The service counts as not answering until it answers again, because a lease may have
        # expired meanwhile.
        self.store.last_failed_at = now
        for peer in self.peers.values():
            peer.last_heard_at += gap_s
        self.machines.exclude_stall(gap_s)
        self.provisioner.resumed_at = now
        self.routines.signal("lease")
