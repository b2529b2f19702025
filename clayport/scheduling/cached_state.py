"""The cached state of the fleet's free resources, and its refresh.

Tasks are placed from this state.
"""

from __future__ import annotations

import logging
import math
import time
from collections.abc import Iterable, Mapping
from enum import IntEnum
from typing import Any

import curio

from clayport.machines.table import MachineTable
from clayport.membership.state import MembershipState
from clayport.model import Job
from clayport.routines import Routines
from clayport.scheduling.index import Index
from clayport.scheduling.refresh import AdaptiveInterval
from clayport.scheduling.room import Room
from clayport.scheduling.view import ClusterView
from clayport.settings import Settings
from clayport.transport import frames
from clayport.transport.peers import Peer, PeerError

log = logging.getLogger(__name__)

# Resources in use on a machine: preemption rank, whether the tasks use no GPUs, CPUs, GPUs and
# memory (GB).
Usage = tuple[int, bool, float, float, float]
# One machine in a table of free room, in the order of `frames.MACHINE`: name, address, machine
# type, zone, whether it is a spot machine, which new tasks it takes (`Admission`), free CPUs, GPUs
# and memory (GB), number of tasks, cached images (separated by spaces), the time for which it has
# been idle (s; negative while it is not idle), and the job for which the room is reserved ("":
# none). Rows are plain tuples because tables have thousands of rows: named tuples took 1.5 times as
# long to read.
MachineRow = tuple[str, str, str, str, bool, int, float, float, float, int, str, float, str]


class Admission(IntEnum):
    """Which new tasks a machine takes, in a table of free room.

    The previous version reads the field as a boolean, and so takes a machine on probation for an
    open one. It then has the starts beyond the first declined.
    """

    CLOSED = 0
    OPEN = 1
    PROBATION = 2


def room_from_row(row: MachineRow, owner: str, usage: Iterable[Usage], now: float) -> Room:
    """Return the room that a row describes.

    Args:
        row: The row.
        owner: The controller that sent the row.
        usage: The resources in use on the machine.
        now: The monotonic time, in seconds.
    """
    (
        machine,
        address,
        type,
        zone,
        spot,
        admission,
        cpus,
        gpus,
        memory_gb,
        tasks,
        images,
        idle_s,
        hold,
    ) = row
    room = Room(
        machine,
        address,
        type,
        zone,
        spot,
        admission == Admission.OPEN,
        cpus,
        gpus,
        memory_gb,
        tasks,
        images.split(" ") if images else (),
        now - idle_s if idle_s >= 0 else math.inf,
        owner,
        usage,
    )
    room.reserved_for = hold
    room.on_probation = admission == Admission.PROBATION
    return room


def machine_row(room: Room, now: float) -> MachineRow:
    """Return the row that describes a room to peers; `now` is the monotonic time in seconds."""
    return (
        room.machine,
        room.address,
        room.type,
        room.zone,
        room.spot,
        Admission.PROBATION if room.on_probation else int(room.open),
        room.cpus,
        room.gpus,
        room.memory_gb,
        room.tasks,
        " ".join(room.images),
        -1.0 if room.idle_since == math.inf else max(0.0, now - room.idle_since),
        room.reserved_for,
    )


class CachedState:
    """The rooms of all machines, as last read from the tables of their owners.

    Attributes:
        adaptive_interval: The interval at which all peers' tables are pulled.
        inflight: The machine and the job of each task that is placed and not committed yet, by
            the job's id and the task's number. The resources of these tasks stay subtracted from
            the rooms.
        pulled: For each peer, the revision of its table at the last pull.
        own_table_rev: The revision of this controller's own table at the last read (-1: none).
        stale: Machines in whose rooms tasks were allocated here, or whose rooms were closed here.
            The rooms differ from the owner's table until the owner is asked for them again.
        pulling: Peers whose tables are about to be pulled after a preemption.
        lacks_room: Whether the last pass of the placer left jobs other than backfill without room.
    """

    def __init__(
        self,
        *,
        machines: MachineTable,
        membership: MembershipState,
        peers: Mapping[str, Peer],
        routines: Routines,
        settings: Settings,
        view: ClusterView,
    ) -> None:
        self.machines = machines
        self.membership = membership
        self.peers = peers
        self.routines = routines
        self.settings = settings
        self.view = view
        self.adaptive_interval = AdaptiveInterval()
        self.inflight: dict[tuple[str, int], tuple[str, Job]] = {}
        self.pulled: dict[str, int] = {}
        self.own_table_rev = -1
        self.stale: dict[str, None] = {}
        self.pulling: set[str] = set()
        self.lacks_room = False

    def begin_epoch(self) -> None:
        """Start an epoch, in which machines have new owners and no start is in flight."""
        self.inflight.clear()
        self.pulled.clear()
        self.own_table_rev = -1
        self.stale.clear()

    def note_own_room(self) -> None:
        """Wake the placer if the own machines' room has changed since the last read."""
        if self.machines.room_rev != self.own_table_rev:
            self.routines.signal("place")

    def index(self) -> Index:
        """Return the index of the rooms, with this controller's own machines up to date."""
        self.rooms()
        return self.view.index

    def rooms(self) -> Mapping[str, Room]:
        """Return the rooms by machine.

        The rooms of this controller's own machines always reflect their last heartbeats.
        """
        table = self.machines
        own_stale = [name for name in self.stale if name in table.machines]
        if table.room_rev != self.own_table_rev or own_stale:
            changed = table.changed(self.own_table_rev) if self.own_table_rev >= 0 else None
            names = dict.fromkeys(table.machines if changed is None else [*changed, *own_stale])
            self.own_table_rev = table.room_rev
            self.mark_fresh(own_stale)
            now = time.monotonic()
            label = self.membership.label
            found = {name: table.machines[name] for name in names if name in table.machines}
            self._replace_rooms(
                label,
                [table.room(machine, label, now) for machine in found.values() if machine.known],
                changed is None,
                [name for name in names if name not in found],
            )
        return self.view.rooms

    def mark_fresh(self, names: Iterable[str]) -> None:
        """Mark the rooms of these machines as equal to their owner's table again."""
        for name in names:
            self.stale.pop(name, None)

    def _replace_rooms(
        self, owner: str, rooms: Iterable[Room], whole: bool, removed: Iterable[str]
    ) -> None:
        """Replace all rooms of one owner (`whole`), or only the changed ones."""
        if whole:
            removed = [name for name, room in self.view.rooms.items() if room.owner == owner]
        for name in removed:
            if name in self.view.rooms and self.view.rooms[name].owner == owner:
                self.view.index.remove(name)
        updated = set()
        for room in rooms:
            self.view.index.add(room)
            self.view.zones[room.machine] = room.zone  # a machine's zone is fixed
            updated.add(room.machine)
        # The resources of tasks that are placed but not committed yet stay subtracted.
        for machine, job in self.inflight.values():
            if machine in updated:
                self.view.rooms[machine].allocate(job)

    async def refresh_peers(self, changed_only: bool) -> None:
        """Pull the peers' tables of free room, without any write to the state service.

        Args:
            changed_only: Skip peers whose table has not changed since the last pull.
        """
        epoch = self.membership.epoch
        for label in epoch.members:
            peer = self.peers.get(label)
            if (
                peer is not None
                and self.membership.epoch is epoch
                and not (changed_only and self.pulled.get(label) == peer.room_rev)
            ):
                await self._pull(label)
        self.mark_fresh([name for name in self.stale if name not in self.view.rooms])

    async def _pull(self, label: str) -> None:
        """Pull the changes of a peer's table since the last pull.

        The peer also sends the machines in whose rooms tasks were allocated here since then, or
        whose rooms were closed here.
        """
        epoch, rooms = self.membership.epoch, self.view.rooms
        charged = [name for name in self.stale if name in rooms and rooms[name].owner == label]
        try:
            ok, rev, whole, removed, rows, taken = await self.peers[label].call(
                frames.FREE_ROOM,
                (epoch.number, self.pulled.get(label, 0), [(name,) for name in charged]),
            )
        except (PeerError, KeyError):
            return
        if not ok or self.membership.epoch is not epoch or rev < self.pulled.get(label, 0):
            return
        self.pulled[label] = rev
        self.mark_fresh(charged)
        now = time.monotonic()
        usage: dict[str, list[Usage]] = {}
        for machine, rank, without_gpus, cpus, gpus, memory_gb in taken:
            usage.setdefault(machine, []).append((rank, without_gpus, cpus, gpus, memory_gb))
        pulled = [room_from_row(row, label, usage.get(row[0], ()), now) for row in rows]
        self._replace_rooms(label, pulled, whole, [name for (name,) in removed])

    async def pull_after_preemption(self, label: str) -> None:
        """Pull a peer's table once the tasks that it was asked to preempt have ended.

        Otherwise the freed room would show only with the next heartbeat, which is too late for
        a job that has to start within two seconds.
        """
        if label in self.pulling:
            return
        self.pulling.add(label)
        try:
            for _ in range(2):
                await curio.sleep(self.settings.cluster.workers.report_s / 8)
                await self._pull(label)
                self.routines.signal("place")
                await self.routines.flush()
        finally:
            self.pulling.discard(label)

    def free_room_table(self, since: int, names: list[str]) -> tuple[Any, ...]:
        """Return the fields of `frames.TABLE`: the own table of free room, or its changes.

        Args:
            since: The revision that the peer knows; 0 requests the whole table.
            names: Machines to include even if they have not changed.
        """
        table, label = self.machines, self.membership.label
        now = time.monotonic()
        changed = table.changed(since) if since else None
        wanted = list(table.machines) if changed is None else [*dict.fromkeys([*changed, *names])]
        rows: list[MachineRow] = []
        taken: list[tuple[Any, ...]] = []
        for name in wanted:
            machine = table.machines.get(name)
            if machine is not None and machine.known:
                room = table.room(machine, label, now)
                rows.append(machine_row(room, now))
                taken += [(room.machine, *key, *used) for key, used in room.used.items()]
        gone = [(name,) for name in wanted if name not in table.machines]
        return (self.membership.serving, table.room_rev, changed is None, gone, rows, taken)

    async def refresh(self) -> None:
        """Pull the peers' tables at an adaptive interval, for as long as the process runs.

        During a lasting shortage of room, changed tables are also pulled between two intervals.
        """
        due = time.monotonic() + self.adaptive_interval.interval_s
        pulled_at = -math.inf
        # The least time between two pulls in a shortage, so that one pull covers many reports.
        spacing_s = max(self.adaptive_interval.min_s, self.settings.cluster.workers.report_s) / 2
        while True:
            await self.routines.wait(
                "starved", min(self.adaptive_interval.min_s, max(0.01, due - time.monotonic()))
            )
            if not self.membership.serving:
                continue
            now = time.monotonic()
            if now < min(due, pulled_at + spacing_s):
                # Each heartbeat of a peer wakes this routine. The sleep lets one round of pulls
                # serve several heartbeats. Without it, the exchange of tables among five
                # controllers took a seventh of a controller's CPU time.
                await curio.sleep(min(due, pulled_at + spacing_s) - now)
                now = time.monotonic()
            if now >= due:
                interval = self.adaptive_interval.step()
                log.debug(
                    "event=refresh ratio=%.3f interval=%.1f", self.adaptive_interval.ratio, interval
                )
                due = now + interval
                await self.refresh_peers(changed_only=False)
                self.routines.signal("place")
            elif self.lacks_room and any(
                self.pulled.get(peer.label) != peer.room_rev
                for peer in self.peers.values()
                if peer.label in self.membership.epoch.members
            ):
                # A shortage of room does not shorten the interval, but the tables of peers that
                # have announced changes since the last pull are pulled.
                pulled_at = now
                await self.refresh_peers(changed_only=True)
                self.routines.signal("place")
            await self.routines.flush()
