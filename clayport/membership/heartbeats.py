"""Heartbeats between controllers, and what each says of itself with them."""

from __future__ import annotations

import logging
import time
from typing import TYPE_CHECKING, Any

import curio

from clayport.membership.epoch import should_leave
from clayport.transport import frames
from clayport.transport.peers import Peer, PeerError

if TYPE_CHECKING:
    from clayport.controller import Controller

log = logging.getLogger(__name__)


class Heartbeats:
    """Exchanges signs of life, demand and promises on cancellations with the peers."""

    def __init__(self, core: Controller) -> None:
        self.core = core

    async def keep_peers(self, peer: Peer) -> None:
        """Exchange heartbeats with one peer, four in the time of a controller's lease."""
        core = self.core
        while True:
            core.stalls.check(time.monotonic())
            try:
                await self._exchange(peer)
            except PeerError as exc:
                log.debug("peer=%s event=out-of-reach cause=%s", peer.label, exc)
            self._step_aside_or_back(time.monotonic())
            await core.routines.flush()
            await curio.sleep(core.membership.lease_ttl_s / 4)

    async def _exchange(self, peer: Peer) -> None:
        """Send one heartbeat and take in its answer.

        Raises:
            PeerError: The peer has not answered.
        """
        core, sent = self.core, time.monotonic()
        fields = (*self.status_fields(sent), self._demand_for(peer.label))
        if not core.upgrade.promises_enabled:
            label, number, state_ok, room_rev = await peer.call(frames.PING, fields)
        else:
            label, number, state_ok, room_rev, incarnation, promised = await peer.call(
                frames.BEAT, (*fields, core.membership.incarnation, core.record_replica.known_rev)
            )
            if promised and label == peer.label:
                core.watermark.promised(label, incarnation, sent, time.monotonic())
        if label == peer.label:
            self._heard(peer, number, state_ok, room_rev)

    def _step_aside_or_back(self, now: float) -> None:
        """Leave the members while no peer is reached, and come back after that."""
        core = self.core
        away = (
            core.membership.records_loaded
            and core.stalls.check(now)
            and should_leave(
                now,
                core.membership.label,
                {p.label: p.heard for p in core.peers.values()},
                core.membership.present,
                1.5 * core.membership.lease_ttl_s,
            )
            and now - core.membership.started_at > 2 * core.membership.lease_ttl_s
        )
        if away != core.membership.away:
            log.info("event=%s cause=peers", "away" if away else "back")
            core.membership.away = away
            core.routines.signal("lease")

    def received(
        self, label: str, number: int, state_ok: bool, room_rev: int, demand: list[Any]
    ) -> bool:
        """Take in a heartbeat that a peer has sent; False if it is none of our peers."""
        core = self.core
        peer = core.peers.get(label)
        if peer is None:
            return False
        self._heard(peer, number, state_ok, room_rev)
        before = core.placer.demands.get(label)
        core.placer.demands[label] = demand
        if demand and not before:
            core.routines.signal("demand")
        return True

    def _heard(self, peer: Peer, number: int, state_ok: bool, room_rev: int) -> None:
        core = self.core
        peer.heard = time.monotonic()
        peer.state_ok, peer.epoch = state_ok, number
        if room_rev != peer.room_rev:
            peer.room_rev = room_rev
            if core.cached_state.starved:
                core.routines.signal("starved")
        if number > core.membership.epoch.number and core.store.ok:
            core.membership.rescan = True

    def status_fields(self, now: float) -> tuple[str, int, bool, int]:
        """What a heartbeat and its answer begin with.

        It is our label, the epoch's number, whether the state service answers us, and
        the revision of our machines' room.
        """
        core = self.core
        return (
            core.membership.label,
            core.membership.epoch.number,
            not core.renewal.state_lost(now),
            core.machines.room_rev,
        )

    def _demand_for(self, label: str) -> list[tuple[str, int, float, str]]:
        """What waits here, for the one member that rents by it; nobody else asks."""
        core = self.core
        return (
            core.placer.demand()
            if core.membership.serving and label == core.membership.epoch.provisioner
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
        core = self.core
        core.promises.seen(label, known_rev)
        if core.promises.promise(label, now):
            return True
        core.record_replica.resend_cancellations(label)
        return False
