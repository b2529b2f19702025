"""Heartbeats between controllers, and what each says of itself with them."""

from __future__ import annotations

import logging
import time
from collections.abc import Mapping
from typing import Any

import curio

from clayport.leases.promises import Promises
from clayport.leases.renewal import LeaseRenewal
from clayport.leases.watermark import CancellationWatermark
from clayport.machines.table import MachineTable
from clayport.membership.isolation import should_leave
from clayport.membership.stalls import StallDetector
from clayport.membership.state import MembershipState
from clayport.records.replica import RecordReplica
from clayport.records.store import StateStore
from clayport.records.upgrade import UpgradeState
from clayport.routines import Routines
from clayport.scheduling.cached_state import CachedState
from clayport.scheduling.demand_report import DemandRow
from clayport.scheduling.placer import Placer
from clayport.transport import frames
from clayport.transport.peers import Peer, PeerError

log = logging.getLogger(__name__)


class Heartbeats:
    """Exchanges signs of life, demand and promises on cancellations with the peers."""

    def __init__(
        self,
        *,
        cached_state: CachedState,
        machines: MachineTable,
        membership: MembershipState,
        peers: Mapping[str, Peer],
        placer: Placer,
        promises: Promises,
        record_replica: RecordReplica,
        renewal: LeaseRenewal,
        routines: Routines,
        stalls: StallDetector,
        store: StateStore,
        upgrade: UpgradeState,
        watermark: CancellationWatermark,
    ) -> None:
        self.cached_state = cached_state
        self.machines = machines
        self.membership = membership
        self.peers = peers
        self.placer = placer
        self.promises = promises
        self.record_replica = record_replica
        self.renewal = renewal
        self.routines = routines
        self.stalls = stalls
        self.store = store
        self.upgrade = upgrade
        self.watermark = watermark

    async def keep_peers(self, peer: Peer) -> None:
        """Exchange heartbeats with one peer, four in the time of a controller's lease."""
        while True:
            self.stalls.check(time.monotonic())
            try:
                await self._exchange(peer)
            except PeerError as exc:
                log.debug("peer=%s event=out-of-reach cause=%s", peer.label, exc)
            self._step_aside_or_back(time.monotonic())
            await self.routines.flush()
            await curio.sleep(self.membership.lease_ttl_s / 4)

    async def _exchange(self, peer: Peer) -> None:
        """Send one heartbeat and take in its answer.

        Raises:
            PeerError: The peer has not answered.
        """
        sent = time.monotonic()
        fields = (*self.status_fields(sent), self._demand_for(peer.label))
        if not self.upgrade.promises_enabled:
            label, number, state_ok, room_rev = await peer.call(frames.PING, fields)
        else:
            label, number, state_ok, room_rev, incarnation, promised = await peer.call(
                frames.HEARTBEAT,
                (*fields, self.membership.incarnation, self.record_replica.known_rev),
            )
            if promised and label == peer.label:
                self.watermark.note_promise(label, incarnation, sent, time.monotonic())
        if label == peer.label:
            self._heard(peer, number, state_ok, room_rev)

    def _step_aside_or_back(self, now: float) -> None:
        """Leave the members while no peer is reached, and come back after that."""
        away = (
            self.membership.records_loaded
            and self.stalls.check(now)
            and should_leave(
                now,
                self.membership.label,
                {p.label: p.heard for p in self.peers.values()},
                self.membership.present,
                1.5 * self.membership.lease_ttl_s,
            )
            and now - self.membership.started_at > 2 * self.membership.lease_ttl_s
        )
        if away != self.membership.away:
            log.info("event=%s cause=peers", "away" if away else "back")
            self.membership.away = away
            self.routines.signal("lease")

    def received(
        self, label: str, number: int, state_ok: bool, room_rev: int, demand: list[Any]
    ) -> bool:
        """Take in a heartbeat that a peer has sent; False if it is none of our peers."""
        peer = self.peers.get(label)
        if peer is None:
            return False
        self._heard(peer, number, state_ok, room_rev)
        before = self.placer.demand_report.peer_rows.get(label)
        self.placer.demand_report.peer_rows[label] = demand
        if demand and not before:
            self.routines.signal("demand")
        return True

    def _heard(self, peer: Peer, number: int, state_ok: bool, room_rev: int) -> None:
        peer.heard = time.monotonic()
        peer.state_ok, peer.epoch = state_ok, number
        if room_rev != peer.room_rev:
            peer.room_rev = room_rev
            if self.cached_state.starved:
                self.routines.signal("starved")
        if number > self.membership.epoch.number and self.store.ok:
            self.membership.rescan = True

    def status_fields(self, now: float) -> tuple[str, int, bool, int]:
        """What a heartbeat and its answer begin with.

        It is our label, the epoch's number, whether the state service answers us, and
        the revision of our machines' room.
        """
        return (
            self.membership.label,
            self.membership.epoch.number,
            not self.renewal.state_lost(now),
            self.machines.room_rev,
        )

    def _demand_for(self, label: str) -> list[DemandRow]:
        """What waits here, for the one member that rents by it; nobody else asks."""
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
        self.record_replica.resend_cancellations(label)
        return False
