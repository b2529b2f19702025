"""Heartbeats between controllers, and the status that each controller sends with them."""

from __future__ import annotations

import logging
import time
from collections.abc import Mapping
from typing import NamedTuple

import curio

from clayport.leases.disclosure import CancellationDisclosure
from clayport.leases.promises import Promises
from clayport.leases.renewal import LeaseRenewal
from clayport.leases.watermark import CancellationWatermark
from clayport.machines.table import MachineTable
from clayport.membership.isolation import should_leave
from clayport.membership.stalls import StallDetector
from clayport.membership.state import MembershipState
from clayport.records.progress import ReadProgress
from clayport.records.store import StateStore
from clayport.records.upgrade import UpgradeState
from clayport.routines import Routines
from clayport.scheduling.cached_state import CachedState
from clayport.scheduling.demand_report import DemandRow
from clayport.scheduling.placer import Placer
from clayport.transport import frames
from clayport.transport.peers import Peer, PeerError

log = logging.getLogger(__name__)

# Heartbeats during one TTL of a controller's lease.
HEARTBEATS_PER_LEASE = 4
# A peer that is silent for `ISOLATION_LEASES` counts as unreachable. A process younger than
# `STARTUP_LEASES` never leaves the members because of unreachable peers. Both are in TTLs of a
# controller's lease.
ISOLATION_LEASES = 1.5
STARTUP_LEASES = 2


class HeartbeatStatus(NamedTuple):
    """The first fields of a heartbeat and of its answer, in the order of the frame.

    Attributes:
        label: The sender.
        epoch: The number of the newest epoch that the sender knows.
        state_service_ok: Whether the state service answers the sender.
        room_rev: A number that changes with the free room of the sender's machines.
    """

    label: str
    epoch: int
    state_service_ok: bool
    room_rev: int


class Heartbeats:
    """Exchanges liveness, resource demand and promises on cancellations with the peers."""

    def __init__(
        self,
        *,
        cached_state: CachedState,
        disclosure: CancellationDisclosure,
        machines: MachineTable,
        membership: MembershipState,
        peers: Mapping[str, Peer],
        placer: Placer,
        progress: ReadProgress,
        promises: Promises,
        renewal: LeaseRenewal,
        routines: Routines,
        stalls: StallDetector,
        store: StateStore,
        upgrade: UpgradeState,
        watermark: CancellationWatermark,
    ) -> None:
        self.cached_state = cached_state
        self.disclosure = disclosure
        self.machines = machines
        self.membership = membership
        self.peers = peers
        self.placer = placer
        self.progress = progress
        self.promises = promises
        self.renewal = renewal
        self.routines = routines
        self.stalls = stalls
        self.store = store
        self.upgrade = upgrade
        self.watermark = watermark

    async def exchange_heartbeats(self, peer: Peer) -> None:
        """Exchange heartbeats with one peer, several during one TTL of a controller's lease."""
        while True:
            self.stalls.confirm_no_stall(time.monotonic())
            try:
                await self._send_heartbeat(peer)
            except PeerError as exc:
                log.debug("peer=%s event=out-of-reach cause=%s", peer.label, exc)
            self._update_isolation(time.monotonic())
            await self.routines.flush()
            await curio.sleep(self.membership.lease_ttl_s / HEARTBEATS_PER_LEASE)

    async def _send_heartbeat(self, peer: Peer) -> None:
        """Send one heartbeat and process its answer.

        Raises:
            PeerError: The peer did not answer.
        """
        sent = time.monotonic()
        fields = (*self.status(sent), self._demand_for(peer.label))
        if not self.upgrade.promises_enabled:
            label, epoch, state_service_ok, room_rev = await peer.call(frames.PING, fields)
        else:
            label, epoch, state_service_ok, room_rev, incarnation, promised = await peer.call(
                frames.HEARTBEAT,
                (*fields, self.membership.incarnation, self.progress.known_rev),
            )
            if promised and label == peer.label:
                self.watermark.note_promise(label, incarnation, sent, time.monotonic())
        if label == peer.label:
            self._note_heard(peer, epoch, state_service_ok, room_rev)

    def _update_isolation(self, now: float) -> None:
        """Leave the members while this controller is isolated, and rejoin afterwards."""
        away = (
            self.membership.records_loaded
            and self.stalls.confirm_no_stall(now)
            and should_leave(
                now,
                self.membership.label,
                {peer.label: peer.last_heard_at for peer in self.peers.values()},
                self.membership.present,
                ISOLATION_LEASES * self.membership.lease_ttl_s,
            )
            and now - self.membership.started_at > STARTUP_LEASES * self.membership.lease_ttl_s
        )
        if away != self.membership.stepped_aside:
            log.info("event=%s cause=peers", "isolated" if away else "reachable")
            self.membership.stepped_aside = away
            self.routines.signal("lease")

    def receive(
        self, label: str, epoch: int, state_service_ok: bool, room_rev: int, demand: list[DemandRow]
    ) -> bool:
        """Process a heartbeat that a peer has sent.

        Args:
            label: The sender.
            epoch: The number of the newest epoch that the sender knows.
            state_service_ok: Whether the state service answers the sender.
            room_rev: A number that changes with the free room of the sender's machines.
            demand: The demand of the sender's waiting jobs, if this controller rents machines.

        Returns:
            Whether the sender is a known peer.
        """
        peer = self.peers.get(label)
        if peer is None:
            return False
        self._note_heard(peer, epoch, state_service_ok, room_rev)
        before = self.placer.demand_report.peer_rows.get(label)
        self.placer.demand_report.peer_rows[label] = demand
        if demand and not before:
            self.routines.signal("demand")
        return True

    def _note_heard(self, peer: Peer, epoch: int, state_service_ok: bool, room_rev: int) -> None:
        """Record the status that a peer has just sent."""
        peer.last_heard_at = time.monotonic()
        peer.state_service_ok, peer.epoch = state_service_ok, epoch
        if room_rev != peer.room_rev:
            peer.room_rev = room_rev
            if self.cached_state.lacks_room:
                self.routines.signal("starved")
        if epoch > self.membership.epoch.number and self.store.is_serving:
            self.membership.rescan = True

    def status(self, now: float) -> HeartbeatStatus:
        """Return this controller's status, which begins its heartbeats and its answers to them."""
        return HeartbeatStatus(
            self.membership.label,
            self.membership.epoch.number,
            not self.renewal.state_service_lost(now),
            self.machines.room_rev,
        )

    def _demand_for(self, label: str) -> list[DemandRow]:
        """Return the demand of the jobs waiting here; empty unless the peer is the provisioner."""
        return (
            self.placer.demand_report.own_rows()
            if self.membership.serving and label == self.membership.epoch.provisioner
            else []
        )

    def promise(self, label: str, known_rev: int, now: float) -> bool:
        """Promise a peer that users are told of no cancellation that the peer does not know.

        Args:
            label: The peer.
            known_rev: The revision up to which the peer has read the records.
            now: The time of the heartbeat.

        Returns:
            Whether the promise is given. It is refused while the peer does not know a cancellation
            that a user has already been told of.
        """
        self.promises.note_records_read(label, known_rev)
        if self.promises.renew(label, now):
            return True
        self.disclosure.resend_cancellations(label)
        return False
