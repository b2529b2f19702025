"""A controller's own key in the state service, and its proposals of the next epoch."""

from __future__ import annotations

import logging
import time
from typing import TYPE_CHECKING

import curio

from clayport.membership.epoch import Epoch, FlapDamping, may_propose, successor
from clayport.records.keys import EPOCH_KEY, NODE_PREFIX, VERSION_PREFIX
from clayport.records.store import (
    LEASE_S,
    ConflictError,
    NoLeaseError,
    OutcomeUnknownError,
    Txn,
    UnavailableError,
)

if TYPE_CHECKING:
    from clayport.controller import Controller

log = logging.getLogger(__name__)


class MembershipDuties:
    """The routines that keep a controller among the members."""

    def __init__(self, core: Controller) -> None:
        self.core = core
        workers = core.settings.cluster.workers
        self.flap_damping = FlapDamping(4 * workers.lease_s, workers.report_s, 4 * workers.lease_s)

    async def keep_lease(self) -> None:
        """Hold our key in the state service while we can serve."""
        core = self.core
        while True:
            pause = core.membership.lease_ttl_s / 3
            try:
                if core.membership.away:
                    await self._step_aside()
                elif core.membership.lease is None:
                    lease = await core.store.lease(core.membership.lease_ttl_s)
                    await self._enter(lease)
                    core.membership.lease = lease
                elif not await core.store.renew(core.membership.lease):
                    core.membership.lease = None
                    pause = 0.0
            except (UnavailableError, OutcomeUnknownError, NoLeaseError, ConflictError) as exc:
                log.debug("event=lease-trouble cause=%s", exc)
                pause = core.routines.jitter(core.membership.lease_ttl_s / 8)
            await core.routines.wait("lease", max(pause, 0.001))

    async def _step_aside(self) -> None:
        """Remove our key, if it is there."""
        core = self.core
        if core.membership.lease is None or not core.membership.present.get(core.membership.label):
            return
        lease, core.membership.lease = core.membership.lease, None
        key = NODE_PREFIX + core.membership.label
        # (Carried out late, it must not take away a later one of ours.)
        await core.store.commit(
            Txn()
            .require(key, core.membership.present_revs.get(core.membership.label, 0))
            .delete(key),
            ahead_s=LEASE_S,
        )
        log.info("event=stepped-aside lease=%d", lease)

    async def _enter(self, lease: int) -> None:
        """Write our key, and with its first the version's record, so that the epoch
        that takes us in is the later one.

        The record is written once and no more: a second copy, applied after that epoch
        had begun, left all who came later waiting for another before they took pipelines.
        """
        core = self.core
        key, node = VERSION_PREFIX + core.membership.label, NODE_PREFIX + core.membership.label
        node_rev = core.membership.present_revs.get(core.membership.label, 0)
        while True:
            # In place of the one that is known, and of no other: a copy that is carried out
            # late, by a process that has ended since, would put that in our place.
            txn = (
                Txn().require(node, node_rev).put(node, {"inc": core.membership.incarnation}, lease)
            )
            number, rev = core.upgrade.formats.get(core.membership.label, (0, 0))
            if number < core.rebuild.format:
                txn.require(key, rev).put(key, {"format": core.rebuild.format})
            try:
                await core.store.commit(txn, ahead_s=LEASE_S, doubtful=True)
                return
            except ConflictError as exc:
                # Written by a process before this one: the mirror has not been read yet.
                if node in exc.failed:
                    entry = await core.store.get(node, doubtful=True)
                    node_rev = entry.rev if entry is not None else 0
                elif key not in exc.failed:
                    raise
                if key in exc.failed:
                    entry = await core.store.get(key, doubtful=True)
                    if entry is None:
                        raise
                    core.record_replica.note_version(core.membership.label, entry.value, entry.rev)

    async def keep_members(self) -> None:
        """Propose the next epoch when those present differ from its members."""
        core = self.core
        while True:
            await core.routines.wait("members", core.membership.lease_ttl_s / 2)
            if not core.membership.records_loaded or not core.stalls.check(time.monotonic()):
                continue
            if self._proposal() is None:
                continue
            await curio.sleep(core.routines.jitter(core.membership.lease_ttl_s / 20))
            proposal = self._proposal()
            if proposal is None:
                continue
            txn = Txn().require(EPOCH_KEY, core.membership.epoch.rev)
            try:
                await core.store.commit(txn.put(EPOCH_KEY, proposal.value()), ahead_s=LEASE_S)
            except ConflictError:
                await curio.sleep(core.membership.lease_ttl_s / 20)
            except (UnavailableError, OutcomeUnknownError, NoLeaseError):
                await curio.sleep(core.routines.jitter(core.membership.lease_ttl_s / 10))

    def _proposal(self) -> Epoch | None:
        """The next epoch, if there is to be one and it is ours to propose."""
        core, now = self.core, time.monotonic()
        for label in self.flap_damping.observe(core.membership.present, now):
            log.info(
                "event=left-out label=%s seconds=%.1f", label, self.flap_damping.until[label] - now
            )
        if not may_propose(
            core.membership.label, core.membership.epoch.members, core.membership.present
        ):
            return None
        return successor(
            core.membership.epoch,
            self.flap_damping.admitted(core.membership.epoch.members, core.membership.present, now),
        )
