"""Registers a controller in the state service under a lease, and proposes epochs."""

from __future__ import annotations

import logging
import time

import curio

from clayport.membership.epoch import Epoch, may_propose, next_epoch
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

# How often, during one TTL of this controller's lease, the lease is renewed, a failed request is
# retried, and this controller checks whether an epoch must be proposed.
RENEWALS_PER_LEASE = 3
RETRIES_PER_LEASE = 8
CHECKS_PER_LEASE = 2
# Two pauses as fractions of the TTL, each given by its divisor: the pause before a proposal and
# after a conflict, and the pause after a proposal that the state service did not answer.
PROPOSAL_PAUSES_PER_LEASE = 20
UNANSWERED_PAUSES_PER_LEASE = 10
# The shortest pause between two attempts to obtain or renew the lease, in seconds.
MIN_PAUSE_S = 0.001


class MembershipRegistration:
    """Runs the routines that register a controller and propose epochs.

    Attributes:
        flap_damping: Excludes controllers that restart too often from the next epoch.
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
        """Keep this controller's key in the state service, except while it is isolated."""
        while True:
            pause_s = self.membership.lease_ttl_s / RENEWALS_PER_LEASE
            try:
                if self.membership.stepped_aside:
                    await self._unregister()
                elif self.membership.lease is None:
                    lease = await self.store.lease(self.membership.lease_ttl_s)
                    await self._register(lease)
                    self.membership.lease = lease
                elif not await self.store.renew(self.membership.lease):
                    self.membership.lease = None
                    pause_s = 0.0
            except (UnavailableError, OutcomeUnknownError, NoLeaseError, ConflictError) as exc:
                log.debug("event=lease-trouble cause=%s", exc)
                pause_s = self.routines.jitter(self.membership.lease_ttl_s / RETRIES_PER_LEASE)
            await self.routines.wait("lease", max(pause_s, MIN_PAUSE_S))

    async def _unregister(self) -> None:
        """Delete this controller's key, if there is one."""
        if self.membership.lease is None or not self.membership.present.get(self.membership.label):
            return
        lease, self.membership.lease = self.membership.lease, None
        key = NODE_PREFIX + self.membership.label
        # The condition keeps a delayed deletion from removing a key that was written later.
        await self.store.commit(
            Txn()
            .require(key, self.membership.present_revs.get(self.membership.label, 0))
            .delete(key),
            priority_s=LEASE_PRIORITY_S,
        )
        log.info("event=stepped-aside lease=%d", lease)

    async def _register(self, lease: int) -> None:
        """Write this controller's key under `lease`, and its version record if it is outdated.

        Both are written in one transaction, so that the epoch that admits this controller is later
        than its version record. The version record must not be written a second time: controllers
        accept pipelines only in an epoch later than all version records, so a copy applied after
        the epoch had begun would make controllers that start later wait for another epoch.

        Raises:
            ConflictError: Neither key explains why the transaction was refused.
            NoLeaseError: The lease has expired.
            UnavailableError: The state service did not execute the transaction.
            OutcomeUnknownError: The key may have been written.
        """
        version_key = VERSION_PREFIX + self.membership.label
        node_key = NODE_PREFIX + self.membership.label
        node_rev = self.membership.present_revs.get(self.membership.label, 0)
        while True:
            # The write is conditional on the known revision of the key. Otherwise a delayed write
            # of a process that has ended could overwrite the key of its successor.
            txn = (
                Txn()
                .require(node_key, node_rev)
                .put(node_key, {"inc": self.membership.incarnation}, lease)
            )
            number, rev = self.upgrade.formats.get(self.membership.label, (0, 0))
            if number < self.rebuild.supported_format:
                txn.require(version_key, rev).put(
                    version_key, {"format": self.rebuild.supported_format}
                )
            try:
                await self.store.commit(txn, priority_s=LEASE_PRIORITY_S, allow_in_doubt=True)
                return
            except ConflictError as exc:
                # An earlier process wrote the key, and the replica has not been read yet.
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
        """Propose the next epoch when the controllers present differ from the members."""
        while True:
            await self.routines.wait("members", self.membership.lease_ttl_s / CHECKS_PER_LEASE)
            if not self.membership.records_loaded or not self.stalls.confirm_no_stall(
                time.monotonic()
            ):
                continue
            if self._next_epoch() is None:
                continue
            # Other controllers see the same difference. After pauses of random length, most of
            # them find the epoch already proposed.
            await curio.sleep(
                self.routines.jitter(self.membership.lease_ttl_s / PROPOSAL_PAUSES_PER_LEASE)
            )
            proposal = self._next_epoch()
            if proposal is not None:
                await self._propose(proposal)

    async def _propose(self, proposal: Epoch) -> None:
        """Commit the next epoch if the current one is unchanged; pause if the commit fails."""
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

    def _next_epoch(self) -> Epoch | None:
        """Return the next epoch if one is needed and this controller may propose it."""
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
        return next_epoch(
            self.membership.epoch,
            self.flap_damping.admitted(self.membership.epoch.members, self.membership.present, now),
        )
