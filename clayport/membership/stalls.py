"""Stall detection: this process stood still while the clocks ran on."""

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

# The pause between two checks, and the gap that counts as a stall, in report intervals.
CHECK_INTERVALS = 0.25
STALL_INTERVALS = 1.5


class Restartable(Protocol):
    """A routine that waits a while after it has begun anew.

    Attributes:
        began_at: When that was, on the steady clock.
    """

    began_at: float


class StallDetector:
    """Detects stalls, and whether membership has been confirmed since the last one.

    After a stall everybody looks silent or late, and the others may have gone on without
    this process; so nothing is judged by elapsed time before the records have been read again.

    Attributes:
        count: Stalls so far.
        confirmed_count: The value of `count` when the records were last asked for, and read.
        timer_delay_s: How late the latest timer was, in seconds: whatever is ready now waits
            about as long for its turn of the processor. A stall counts for no more than its
            least, since how long it was says nothing of what follows.
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
        self.last_run = now
        self.count = 0
        self.confirmed_count = 0
        self.timer_delay_s = 0.0
        self.stall_s = STALL_INTERVALS * settings.cluster.workers.report_s

    def connect(self, *, provisioner: Restartable) -> None:
        """Set the parts that are built later than this one."""
        self.provisioner = provisioner

    async def detect_stalls(self) -> None:
        """Check a few times in each report interval."""
        pause_s = CHECK_INTERVALS * self.settings.cluster.workers.report_s
        while True:
            now = time.monotonic()
            self.check(now)
            await curio.sleep(pause_s)
            delay_s = time.monotonic() - now - pause_s
            self.timer_delay_s = min(max(0.0, delay_s), self.stall_s)

    def check(self, now: float) -> bool:
        """Note a stall, if there was one.

        Args:
            now: The time on the steady clock, in seconds.

        Returns:
            Whether what was last seen is as old as the clock says, as far as is known: the records
            have been read since the last stall.
        """
        report_s = self.settings.cluster.workers.report_s
        gap_s = now - self.last_run - CHECK_INTERVALS * report_s
        self.last_run = now
        if gap_s > self.stall_s:
            self._note_stall(gap_s, now)
        return self.confirmed_count == self.count

    def _note_stall(self, gap_s: float, now: float) -> None:
        """Shift what is judged by elapsed time by the gap, and look at the records again."""
        log.info("event=stalled seconds=%.1f", gap_s)
        self.count += 1
        self.membership.rescan = True
        # Not known to answer until it has; a lease may have ended meanwhile.
        self.store.last_failed_at = now
        for peer in self.peers.values():
            peer.heard += gap_s
        self.machines.discount_stall(gap_s)
        self.provisioner.began_at = now
        self.routines.signal("lease")
