"""Removes machines whose return the cloud has confirmed; nothing runs on them any more."""

from __future__ import annotations

from collections.abc import Iterable, Mapping

from clayport.jobs.registry import JobRegistry
from clayport.machines.table import MachineTable
from clayport.membership.state import MembershipState
from clayport.routines import Routines
from clayport.scheduling.view import ClusterView
from clayport.transport import frames
from clayport.transport.peers import Peer, PeerError

# The most attempts to announce a return to a peer that does not acknowledge the announcement.
MAX_ANNOUNCEMENTS = 3


class MachineRemoval:
    """Removes returned machines from this controller's state, and announces them to the peers.

    Args:
        membership: The epoch, whose number announcements carry.
        machines: The machines that this controller owns.
        jobs: The jobs that this controller leads.
        view: The free room of all machines.
        peers: The other controllers, by label.
        routines: Runs the announcements, and wakes routines after a change.
    """

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
        """Remove the machines, and mark the tasks that ran on them as gone."""
        removed = dict.fromkeys(names)
        self.machines.remove_machines(removed)
        for name in removed:
            self.view.index.remove(name)
            self.view.zones.pop(name, None)
        for managed in self.jobs.managed.values():
            if managed.mark_machines_gone(removed):
                self.routines.signal(managed.name)
        self.routines.signal("place")

    async def announce(self, names: list[str]) -> None:
        """Remove machines whose return the cloud has confirmed, here and at all peers."""
        self.apply(names)
        rows = [(name,) for name in names]
        for peer in self.peers.values():
            self.routines.spawn(self._announce_to(peer, rows))
        await self.routines.flush()

    async def _announce_to(self, peer: Peer, rows: list[tuple[str]]) -> None:
        """Send the names to one peer, one name in each row of the frame."""
        attempt = peer.begin_request()
        for _ in range(MAX_ANNOUNCEMENTS):
            try:
                await peer.call(frames.GONE, (self.membership.epoch.number, rows))
                return
            except PeerError:
                await peer.back_off(attempt)
