"""The transition of this process from one epoch to the next."""

from __future__ import annotations

import logging
import time

from clayport.jobs.registry import JobRegistry
from clayport.machines.fleet import Fleet
from clayport.machines.table import MachineTable
from clayport.membership.epoch import Epoch
from clayport.membership.failover import Failover
from clayport.membership.state import MembershipState
from clayport.rebuild.support import RebuildSupport
from clayport.routines import Routines
from clayport.scheduling.cached_state import CachedState
from clayport.scheduling.placer import Placer

log = logging.getLogger(__name__)


class EpochTransition:
    """Drops the state of the previous epoch and starts loading this controller's new jobs."""

    def __init__(
        self,
        *,
        cached_state: CachedState,
        failover: Failover,
        fleet: Fleet,
        jobs: JobRegistry,
        machines: MachineTable,
        membership: MembershipState,
        placer: Placer,
        rebuild: RebuildSupport,
        routines: Routines,
    ) -> None:
        self.cached_state = cached_state
        self.failover = failover
        self.fleet = fleet
        self.jobs = jobs
        self.machines = machines
        self.membership = membership
        self.placer = placer
        self.rebuild = rebuild
        self.routines = routines

    def begin_epoch(self, epoch: Epoch) -> None:
        """Switch to a new epoch, and serve nothing until this controller's jobs are loaded."""
        self.membership.epoch, self.membership.epoch_started_at = epoch, time.monotonic()
        self.membership.serving = False
        log.info(
            "epoch=%d event=epoch-started members=%s rev=%d",
            epoch.number,
            ",".join(sorted(epoch.members)),
            epoch.rev,
        )
        if self.rebuild.recovery is not None:
            # Other members may have seen higher revisions than the records show, so histories are
            # compared before the next commit.
            self.rebuild.recovery.history.needs_loss_check = True
        for managed in self.jobs.managed.values():
            self.routines.signal(managed.name)
        self.jobs.begin_epoch()
        self.placer.begin_epoch()
        self.cached_state.begin_epoch()
        self.fleet.outboxes.clear()
        self.machines.begin_epoch(epoch, self.membership.label)
        if self.membership.is_member:
            self.routines.spawn(self.failover.load(epoch))
