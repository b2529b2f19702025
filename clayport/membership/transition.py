"""The change from one epoch to the next within this process."""

from __future__ import annotations

import logging
import time
from typing import TYPE_CHECKING

from clayport.membership.epoch import Epoch

if TYPE_CHECKING:
    from clayport.controller import Controller

log = logging.getLogger(__name__)


class EpochTransition:
    """Drops what belonged to the epoch before, and has our share of the new one loaded."""

    def __init__(self, core: Controller) -> None:
        self.core = core

    def begin(self, epoch: Epoch) -> None:
        """Act under a new epoch."""
        core = self.core
        core.membership.epoch, core.membership.epoch_started_at = epoch, time.monotonic()
        core.membership.serving = False
        log.info(
            "generation=%d event=begin members=%s",
            epoch.number,
            ",".join(sorted(epoch.members)),
        )
        if core.rebuild.recovery is not None:
            # Who has seen more than the records show?
            core.rebuild.recovery.history.unsure = True
        for managed in core.jobs.managed.values():
            core.routines.signal(managed.name)
        core.jobs.begin_epoch()
        core.placer.begin()
        core.cached_state.begin()
        core.fleet.outboxes.clear()
        core.machines.begin(epoch, core.membership.label)
        if core.membership.is_member:
            core.routines.spawn(core.failover.load(epoch))
