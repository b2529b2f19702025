"""A controller's own key in the state service, and its proposals of the next epoch."""

from __future__ import annotations

import logging
import time

import curio

from clayport.membership.epoch import Epoch, may_propose, successor
from clayport.membership.flap_damping import FlapDamping
from clayport.membership.stalls import StallDetector
from clayport.membership.state import MembershipState
from clayport.rebuild.support import RebuildSupport
from clayport.records.errors import (
    ConflictError,
    NoLeaseError,
    OutcomeUnknownError,
    UnavailableError,
)
from clayport.records.keys import EPOCH_KEY, NODE_PREFIX, VERSION_PREFIX
from clayport.records.rate_limit import LEASE_PRIORITY_S
from clayport.records.store import StateStore
from clayport.records.transaction import Txn
from clayport.records.upgrade import UpgradeState
from clayport.records.versions import VersionTracker
from clayport.routines import Routines
from clayport.settings import Settings

log = logging.getLogger(__name__)

# In the time that our key's lease lasts: its renewals, what is tried again after an error, and
# checks of whether an epoch is to be proposed.
RENEWALS_PER_LEASE = 3
RETRIES_PER_LEASE = 8
CHECKS_PER_LEASE = 2
# As shares of the same time, the pauses before a proposal and after one that came too late, and
# after one that the state service has not answered.
PROPOSAL_PAUSES_PER_LEASE = 20
UNANSWERED_PAUSES_PER_LEASE = 10
# The shortest pause between two rounds that keep the lease, in seconds.
MIN_PAUSE_S = 0.001


class MembershipRegistration:
    """The routines that keep a controller among the members.

    Attributes:
        flap_damping: Leaves out of the next epoch those that come and go too often.
    """

    def __init__(
        self,
        *,
        membership: MembershipState,
        rebuild: RebuildSupport,
        routines: Routines,
        settings: Settings,
        stalls: StallDetector,
        store: StateStore,
        upgrade: UpgradeState,
        versions: VersionTracker,
    ) -> None:
        self.membership = membership
        self.rebuild = rebuild
        self.routines = routines
        self.settings = settings
        self.stalls = stalls
        self.store = store
        self.upgrade = upgrade
        self.versions = versions
        workers = settings.cluster.workers
        self.flap_damping = FlapDamping(4 * workers.lease_s, workers.report_s, 4 * workers.lease_s)

    async def maintain_lease(self) -> None:
        """Hold our key in the state service while we can serve."""
        while True:
            pause_s = self.membership.lease_ttl_s / RENEWALS_PER_LEASE
            try:
                if self.membership.away:
                    await self._step_aside()
                elif self.membership.lease is None:
                    lease = await self.store.lease(self.membership.lease_ttl_s)
                    await self._enter(lease)
                    self.membership.lease = lease
                elif not await self.store.renew(self.membership.lease):
                    self.membership.lease = None
                    pause_s = 0.0
            except (UnavailableError, OutcomeUnknownError, NoLeaseError, ConflictError) as exc:
                log.debug("event=lease-trouble cause=%s", exc)
                pause_s = self.routines.jitter(self.membership.lease_ttl_s / RETRIES_PER_LEASE)
            await self.routines.wait("lease", max(pause_s, MIN_PAUSE_S))

    async def _step_aside(self) -> None:
        """Remove our key, if it is there."""
        if self.membership.lease is None or not self.membership.present.get(self.membership.label):
            return
        lease, self.membership.lease = self.membership.lease, None
        key = NODE_PREFIX + self.membership.label
        # Carried out late, it must not take away a later key of ours.
        await self.store.commit(
            Txn()
            .require(key, self.membership.present_revs.get(self.membership.label, 0))
            .delete(key),
            priority_s=LEASE_PRIORITY_S,
        )
        log.info("event=stepped-aside lease=%d", lease)

    async def _enter(self, lease: int) -> None:
        """Write our key under `lease`, and with the first one the version's record.

        So the epoch that takes us in is later than that record. The record is written once and
        no more: a second copy, applied after that epoch had begun, left all who came later
        waiting for another before they took pipelines.

        Raises:
            ConflictError: Neither key explains why the transaction was refused.
            NoLeaseError: The lease has ended.
            UnavailableError: The state service has not answered.
            OutcomeUnknownError: Our key may have been written.
        """
        version_key = VERSION_PREFIX + self.membership.label
        node_key = NODE_PREFIX + self.membership.label
        node_rev = self.membership.present_revs.get(self.membership.label, 0)
        while True:
            # In place of the one that is known, and of no other: a copy that is carried out
            # late, by a process that has ended since, would put that in our place.
            txn = (
                Txn()
                .require(node_key, node_rev)
                .put(node_key, {"inc": self.membership.incarnation}, lease)
            )
            number, rev = self.upgrade.formats.get(self.membership.label, (0, 0))
            if number < self.rebuild.format:
                txn.require(version_key, rev).put(version_key, {"format": self.rebuild.format})
            try:
                await self.store.commit(txn, priority_s=LEASE_PRIORITY_S, allow_in_doubt=True)
                return
            except ConflictError as exc:
                # Written by a process before this one: the replica has not been read yet.
                if node_key in exc.failed:
                    entry = await self.store.get(node_key, allow_in_doubt=True)
                    node_rev = entry.rev if entry is not None else 0
                elif version_key not in exc.failed:
                    raise
                if version_key in exc.failed:
                    entry = await self.store.get(version_key, allow_in_doubt=True)
                    if entry is None:
                        raise
                    self.versions.note_version(self.membership.label, entry.value, entry.rev)

    async def propose_epochs(self) -> None:
        """Propose the next epoch when those present differ from its members."""
        while True:
            await self.routines.wait("members", self.membership.lease_ttl_s / CHECKS_PER_LEASE)
            if not self.membership.records_loaded or not self.stalls.check(time.monotonic()):
                continue
            if self._proposal() is None:
                continue
            # Others see the same; after pauses of different lengths most find the epoch proposed.
            await curio.sleep(
                self.routines.jitter(self.membership.lease_ttl_s / PROPOSAL_PAUSES_PER_LEASE)
            )
            proposal = self._proposal()
            if proposal is not None:
                await self._propose(proposal)

    async def _propose(self, proposal: Epoch) -> None:
        """Write the next epoch in place of the one known here; pause if that fails."""
        txn = Txn().require(EPOCH_KEY, self.membership.epoch.rev)
        txn.put(EPOCH_KEY, proposal.value())
        try:
            await self.store.commit(txn, priority_s=LEASE_PRIORITY_S)
        except ConflictError:
            await curio.sleep(self.membership.lease_ttl_s / PROPOSAL_PAUSES_PER_LEASE)
        except (UnavailableError, OutcomeUnknownError, NoLeaseError):
            await curio.sleep(
                self.routines.jitter(self.membership.lease_ttl_s / UNANSWERED_PAUSES_PER_LEASE)
            )

    def _proposal(self) -> Epoch | None:
        """Return the next epoch, if there is to be one and it is ours to propose."""
        now = time.monotonic()
        for label in self.flap_damping.observe(self.membership.present, now):
            log.info(
                "event=flap-damped label=%s seconds=%.1f",
                label,
                self.flap_damping.paused_until[label] - now,
            )
        if not may_propose(
            self.membership.label, self.membership.epoch.members, self.membership.present
        ):
            return None
        return successor(
            self.membership.epoch,
            self.flap_damping.admitted(self.membership.epoch.members, self.membership.present, now),
        )
