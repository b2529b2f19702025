"""Heartbeats between controllers, and what each says of itself with them."""

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

# Heartbeats in the time that a controller's lease lasts.
HEARTBEATS_PER_LEASE = 4
# How long no peer must be heard before this controller steps aside, and how old its process must
# be for that, in the time of a controller's lease.
ISOLATION_LEASES = 1.5
STARTUP_LEASES = 2


class HeartbeatStatus(NamedTuple):
    """What a heartbeat and its answer begin with, in the order of the frame.

    Attributes:
        label: The sender.
        epoch: The number of the newest epoch that the sender knows.
        state_ok: Whether the state service answers it.
        room_rev: The revision of its machines' room.
    """

    label: str
    epoch: int
    state_ok: bool
    room_rev: int


class Heartbeats:
    """Exchanges signs of life, demand and promises on cancellations with the peers."""

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
        """Exchange heartbeats with one peer, several in the time of a controller's lease."""
        while True:
            self.stalls.check(time.monotonic())
            try:
                await self._exchange(peer)
            except PeerError as exc:
                log.debug("peer=%s event=out-of-reach cause=%s", peer.label, exc)
            self._update_away(time.monotonic())
            await self.routines.flush()
            await curio.sleep(self.membership.lease_ttl_s / HEARTBEATS_PER_LEASE)

    async def _exchange(self, peer: Peer) -> None:
        """Send one heartbeat and take in its answer.

        Raises:
            PeerError: The peer has not answered.
        """
        sent = time.monotonic()
        fields = (*self.status(sent), self._demand_for(peer.label))
        if not self.upgrade.promises_enabled:
            label, epoch, state_ok, room_rev = await peer.call(frames.PING, fields)
        else:
            label, epoch, state_ok, room_rev, incarnation, promised = await peer.call(
                frames.HEARTBEAT,
                (*fields, self.membership.incarnation, self.progress.known_rev),
            )
            if promised and label == peer.label:
                self.watermark.note_promise(label, incarnation, sent, time.monotonic())
        if label == peer.label:
            self._note_heard(peer, epoch, state_ok, room_rev)

    def _update_away(self, now: float) -> None:
        """Leave the members while no peer is reached, and come back after that."""
        away = (
            self.membership.records_loaded
            and self.stalls.check(now)
            and should_leave(
                now,
                self.membership.label,
                {peer.label: peer.heard for peer in self.peers.values()},
                self.membership.present,
                ISOLATION_LEASES * self.membership.lease_ttl_s,
            )
            and now - self.membership.started_at > STARTUP_LEASES * self.membership.lease_ttl_s
        )
        if away != self.membership.away:
            log.info("event=%s cause=peers", "isolated" if away else "reachable")
            self.membership.away = away
            self.routines.signal("lease")

    def receive(
        self, label: str, epoch: int, state_ok: bool, room_rev: int, demand: list[DemandRow]
    ) -> bool:
        """Take in a heartbeat that a peer has sent.

        Args:
            label: The sender.
            epoch: The number of the newest epoch that it knows.
            state_ok: Whether the state service answers it.
            room_rev: The revision of its machines' room.
            demand: What waits there, if we are to rent by it.

        Returns:
            Whether the sender is a peer of ours.
        """
        peer = self.peers.get(label)
        if peer is None:
            return False
        self._note_heard(peer, epoch, state_ok, room_rev)
        before = self.placer.demand_report.peer_rows.get(label)
        self.placer.demand_report.peer_rows[label] = demand
        if demand and not before:
            self.routines.signal("demand")
        return True

    def _note_heard(self, peer: Peer, epoch: int, state_ok: bool, room_rev: int) -> None:
        """Take note of the status that a peer has sent just now."""
        peer.heard = time.monotonic()
        peer.state_ok, peer.epoch = state_ok, epoch
        if room_rev != peer.room_rev:
            peer.room_rev = room_rev
            if self.cached_state.starved:
                self.routines.signal("starved")
        if epoch > self.membership.epoch.number and self.store.ok:
            self.membership.rescan = True

    def status(self, now: float) -> HeartbeatStatus:
        """Return what our heartbeats and our answers to them begin with."""
        return HeartbeatStatus(
            self.membership.label,
            self.membership.epoch.number,
            not self.renewal.state_lost(now),
            self.machines.room_rev,
        )

    def _demand_for(self, label: str) -> list[DemandRow]:
        """Return what waits here, for the one member that rents by it; nobody else asks."""
        return (
            self.placer.demand_report.own_rows()
            if self.membership.serving and label == self.membership.epoch.provisioner
            else []
        )

    def promise(self, label: str, known_rev: int, now: float) -> bool:
        """Promise a peer to tell users of no cancellation unknown to it.

        Args:
            label: The peer.
            known_rev: The revision up to which it has read the records.
            now: The time of the heartbeat.

        Returns:
            Whether it is promised; not while it lacks a cancellation that was told already.
        """
        self.promises.note_records_read(label, known_rev)
        if self.promises.renew(label, now):
            return True
        self.disclosure.resend_cancellations(label)
        return False
