"""Machines whose return the cloud has confirmed: nothing on them runs any more."""

from __future__ import annotations

from collections.abc import Iterable, Mapping

from clayport.jobs.registry import JobRegistry
from clayport.machines.table import MachineTable
from clayport.membership.state import MembershipState
from clayport.routines import Routines
from clayport.scheduling.view import ClusterView
from clayport.transport import frames
from clayport.transport.peers import Peer, PeerError

# How often a peer is told of a return that it doesn't acknowledge.
TRIES = 3


class MachineRemoval:
    """Takes returned machines out of everything known here, and tells the peers."""

    def __init__(
        self,
        membership: MembershipState,
        machines: MachineTable,
        jobs: JobRegistry,
        view: ClusterView,
        peers: Mapping[str, Peer],
        routines: Routines,
    ) -> None:
        self.membership = membership
        self.machines = machines
        self.jobs = jobs
        self.view = view
        self.peers = peers
        self.routines = routines

    def apply(self, names: Iterable[str]) -> None:
        """Remove the machines, and settle all that was on them."""
        found = dict.fromkeys(names)
        self.machines.removed(found)
        for name in found:
            self.view.index.remove(name)
            self.view.zones.pop(name, None)
        for managed in self.jobs.managed.values():
            if managed.mark_machines_gone(found):
                self.routines.signal(managed.name)
        self.routines.signal("place")

    async def announce(self, names: list[str]) -> None:
        """The cloud has just confirmed to this controller that these are gone; all are told."""
        self.apply(names)
        rows = [(name,) for name in names]
        for peer in self.peers.values():
            self.routines.spawn(self._tell(peer, rows))
        await self.routines.flush()

    async def _tell(self, peer: Peer, rows: list[tuple[str]]) -> None:
        attempt = peer.begin()
        for _ in range(TRIES):
            try:
                await peer.call(frames.GONE, (self.membership.epoch.number, rows))
                return
            except PeerError:
                await peer.back_off(attempt)
