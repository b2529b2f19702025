"""Requests to whichever controller owns a machine or leads a job."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Protocol

from clayport.limits import Attempt
from clayport.machines.table import MachineTable
from clayport.membership.state import MembershipState
from clayport.records.store import StateStore
from clayport.transport import frames
from clayport.transport.peers import Peer, PeerError


class Evacuation(Protocol):
    """Moves the replicas off a machine of ours."""

    def evacuate(self, name: str, drain: bool) -> bool:
        """Begin to move a machine's replicas; whether that is under way."""
        ...


class Routing:
    """Asks this controller or a peer, with the retries of whoever is asked."""

    def __init__(
        self,
        membership: MembershipState,
        machines: MachineTable,
        peers: Mapping[str, Peer],
        store: StateStore,
        evacuation: Evacuation,
    ) -> None:
        self.membership = membership
        self.machines = machines
        self.peers = peers
        self.store = store
        self.evacuation = evacuation

    def start_attempt(self, label: str) -> Attempt:
        """A request to a controller sets out. This one answers itself at once, or not before
        the epoch has moved on, which the store tells."""
        peer = self.peers.get(label)
        return peer.begin() if peer is not None else self.store.begin()

    async def back_off(self, label: str, attempt: Attempt) -> None:
        """Wait until the controller may be asked again."""
        peer = self.peers.get(label)
        await (peer.back_off(attempt) if peer is not None else self.store.back_off(attempt))

    async def ask_owner(self, kind: int, machine: str, *more: bool) -> bool:
        """Send DRAIN or EVACUATE for a machine; whether its owner has agreed."""
        epoch = self.membership.epoch
        owner = epoch.member_for(machine)
        if owner == self.membership.label:
            return (
                self.machines.drain(machine)
                if kind == frames.DRAIN
                else self.evacuation.evacuate(machine, *more)
            )
        try:
            return bool((await self.peers[owner].call(kind, (epoch.number, machine, *more)))[0])
        except (PeerError, KeyError):
            return False
