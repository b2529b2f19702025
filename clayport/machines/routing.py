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
    """Moves the replicas off a machine that this controller owns."""

    def evacuate(self, name: str, drain: bool) -> bool:
        """Begin to move a machine's replicas, and return whether that is under way."""
        ...


class Routing:
    """Sends requests to this controller or a peer, with the retry policy of that peer.

    Args:
        membership: This controller's label, and the epoch with the owners of all machines.
        machines: The machines that this controller owns.
        peers: The other controllers, by label.
        store: The state service, whose retry policy holds for requests to this controller.
        evacuation: Moves replicas off the machines that this controller owns.
    """

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
        """Begin a request to a controller, and return its attempt, for `back_off`.

        A request to this controller is answered at once, or not before the epoch has moved
        on, which the store tells.
        """
        peer = self.peers.get(label)
        return peer.begin() if peer is not None else self.store.begin()

    async def back_off(self, label: str, attempt: Attempt) -> None:
        """Wait until a request to the controller may be retried."""
        peer = self.peers.get(label)
        await (peer.back_off(attempt) if peer is not None else self.store.back_off(attempt))

    async def ask_owner(self, kind: int, machine: str, *arguments: bool) -> bool:
        """Send a request for a machine to its owner.

        Args:
            kind: The kind of frame, `frames.DRAIN` or `frames.EVACUATE`.
            machine: The name of the machine.
            arguments: What else the frame has: for EVACUATE, whether to drain the machine.

        Returns:
            Whether the owner has agreed; False too if it is unknown or doesn't answer.
        """
        epoch = self.membership.epoch
        owner = epoch.member_for(machine)
        if owner == self.membership.label:
            return (
                self.machines.drain(machine)
                if kind == frames.DRAIN
                else self.evacuation.evacuate(machine, *arguments)
            )
        try:
            answer = await self.peers[owner].call(kind, (epoch.number, machine, *arguments))
            return bool(answer[0])
        except (PeerError, KeyError):
            return False
