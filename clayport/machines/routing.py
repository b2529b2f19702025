"""Sends requests to the owners of machines, with a retry policy for each controller."""

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
    """Moves replicas off the machines that this controller owns."""

    def evacuate(self, name: str, drain: bool) -> bool:
        """Start moving replicas off a machine; return whether this call has started it."""
        ...


class Routing:
    """Sends requests to this controller or a peer, and applies the peer's retry policy.

    Args:
        membership: The label of this controller, and the epoch, which defines the owners.
        machines: The machines that this controller owns.
        peers: The other controllers, by label.
        store: The state service, whose retry policy applies to requests to this controller.
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
        """Start a request to a controller, and return its attempt for use with `back_off`.

        A request to this controller either succeeds immediately or fails until a new epoch is
        read from the state service, so it uses the retry policy of the state service.
        """
        peer = self.peers.get(label)
        return peer.begin_request() if peer is not None else self.store.begin_request()

    async def back_off(self, label: str, attempt: Attempt) -> None:
        """Wait until a request to the controller may be retried."""
        peer = self.peers.get(label)
        await (peer.back_off(attempt) if peer is not None else self.store.back_off(attempt))

    async def ask_owner(self, kind: int, machine: str, *arguments: bool) -> bool:
        """Send a request about a machine to its owner.

        Args:
            kind: The kind of frame, `frames.DRAIN` or `frames.EVACUATE`.
            machine: The name of the machine.
            arguments: The other fields of the frame; for EVACUATE, whether to drain the machine.

        Returns:
            Whether the owner has agreed; False if the owner is unknown or does not answer.
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
