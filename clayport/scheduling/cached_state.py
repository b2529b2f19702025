"""The cached cached state of free room that work is placed from, and its adaptive refresh."""

from __future__ import annotations

import logging
import math
import time
from collections.abc import Iterable, Mapping
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


class CachedState:
    """Rooms of all machines, as their owners' tables said when they were last pulled."""

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
        # Tasks that are placed and not committed yet: what they take is subtracted.
        self.inflight: dict[tuple[str, int], tuple[str, Job]] = {}
        self.pulled: dict[str, int] = {}  # peer: its room revision at the last pull
        self.own_rev = -1
        # Machines whose rooms were charged or closed here, and so differ from what
        # their owner says until they are asked for again.
        self.stale: dict[str, None] = {}
        self.pulling: set[str] = set()
        self.starved = False

    def begin(self) -> None:
        """A new epoch: machines have new owners, and nothing is on its way."""
        self.inflight.clear()
        self.pulled.clear()
        self.own_rev = -1
        self.stale.clear()

    def note_own_room(self) -> None:
        """Wake the placer if the room of our machines has changed since it was last read."""
        if self.machines.room_rev != self.own_rev:
            self.routines.signal("place")

    def index(self) -> Index:
        """The snapshot, indexed, as it is now."""
        self.rooms()
        return self.view.index

    def rooms(self) -> Mapping[str, Room]:
        """The snapshot; our own machines in it are always as their reports say."""
        owner = self.machines
        ours = [n for n in self.stale if n in owner.machines]
        if owner.room_rev != self.own_rev or ours:
            changed = owner.changed(self.own_rev) if self.own_rev >= 0 else None
            names = dict.fromkeys(owner.machines if changed is None else [*changed, *ours])
            self.own_rev = owner.room_rev
            self.unstale(ours)
            now = time.monotonic()
            found = {n: owner.machines[n] for n in names if n in owner.machines}
            self._show(
                self.membership.label,
                [owner.room(m, self.membership.label, now) for m in found.values() if m.known],
                changed is None,
                [n for n in names if n not in found],
            )
        return self.view.rooms

    def unstale(self, names: Iterable[str]) -> None:
        for name in names:
            self.stale.pop(name, None)

    def _show(self, owner: str, rooms: Iterable[Room], whole: bool, removed: Iterable[str]) -> None:
        """Renew one owner's part of the snapshot, or what has changed of it."""
        if whole:
            removed = [n for n, r in self.view.rooms.items() if r.owner == owner]
        for name in removed:
            if name in self.view.rooms and self.view.rooms[name].owner == owner:
                self.view.index.remove(name)
        shown = set()
        for room in rooms:
            self.view.index.add(room)
            self.view.zones[room.machine] = room.zone  # never changes
            shown.add(room.machine)
        # What was placed and isn't reserved yet stays subtracted.
        for machine, job in self.inflight.values():
            if machine in shown:
                self.view.rooms[machine].take(job)

    async def refresh_peers(self, changed_only: bool) -> None:
        """Pull the peers' free-room tables; nothing is written to the state service."""
        epoch = self.membership.epoch
        for label in epoch.members:
            peer = self.peers.get(label)
            if (
                peer is not None
                and self.membership.epoch is epoch
                and not (changed_only and self.pulled.get(label) == peer.room_rev)
            ):
                await self._pull(label)
        self.unstale([n for n in self.stale if n not in self.view.rooms])

    async def _pull(self, label: str) -> None:
        """What has changed of a peer's table since the last time, and the machines whose
        rooms were charged or closed here meanwhile."""
        epoch = self.membership.epoch
        charged = [
            n for n in self.stale if n in self.view.rooms and self.view.rooms[n].owner == label
        ]
        try:
            ok, rev, whole, removed, rows, taken = await self.peers[label].call(
                frames.FREE_ROOM, (epoch.number, self.pulled.get(label, 0), [(n,) for n in charged])
            )
        except (PeerError, KeyError):
            return
        if not ok or self.membership.epoch is not epoch or rev < self.pulled.get(label, 0):
            return
        self.pulled[label] = rev
        self.unstale(charged)
        now = time.monotonic()
        used: dict[str, list[tuple[int, bool, float, float, float]]] = {}
        for name, *use in taken:
            used.setdefault(name, []).append((use[0], use[1], use[2], use[3], use[4]))
        rooms = []
        for m, a, t, z, s, o, c, g, mem, n, images, idle, hold in rows:
            room = Room(
                m,
                a,
                t,
                z,
                s,
                o,
                c,
                g,
                mem,
                n,
                images.split(" ") if images else (),
                now - idle if idle >= 0 else math.inf,
                label,
                used.get(m, ()),
            )
            room.hold = hold
            rooms.append(room)
        self._show(label, rooms, whole, [n for (n,) in removed])

    async def pull_soon(self, label: str) -> None:
        """Look at a peer's table once what it was asked to stop has ended.

        It would show with the next heartbeat only, and a start that is to happen within
        two seconds has no time for that.
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

    def table(self, since: int, names: list[str]) -> tuple[Any, ...]:
        """Our own free-room table, or what has changed of it, as peers pull it."""
        owner = self.machines
        now = time.monotonic()
        changed = owner.changed(since) if since else None
        wanted = list(owner.machines) if changed is None else [*dict.fromkeys([*changed, *names])]
        rows: list[tuple[Any, ...]] = []
        taken: list[tuple[Any, ...]] = []
        for name in wanted:
            m = owner.machines.get(name)
            if m is not None and m.known:
                r = owner.room(m, self.membership.label, now)
                rows.append(
                    (
                        r.machine,
                        r.address,
                        r.type,
                        r.zone,
                        r.spot,
                        r.open,
                        r.cpus,
                        r.gpus,
                        r.memory_gb,
                        r.tasks,
                        " ".join(r.images),
                        -1.0 if r.idle_since == math.inf else max(0.0, now - r.idle_since),
                        r.hold,
                    )
                )
                taken += [(r.machine, *key, *used) for key, used in r.used.items()]
        gone = [(n,) for n in wanted if n not in owner.machines]
        return (self.membership.serving, owner.room_rev, changed is None, gone, rows, taken)

    async def refresh(self) -> None:
        """The adaptive refresh; a lasting shortage also looks when a peer's table changed."""
        due = time.monotonic() + self.adaptive_interval.interval_s
        looked = -math.inf
        # Between two looks for want of room: what machines report in between comes together.
        apart_s = max(self.adaptive_interval.min_s, self.settings.cluster.workers.report_s) / 2
        while True:
            await self.routines.wait(
                "starved", min(self.adaptive_interval.min_s, max(0.01, due - time.monotonic()))
            )
            if not self.membership.serving:
                continue
            now = time.monotonic()
            if now < min(due, looked + apart_s):
                # Each of the peers' heartbeats wakes us: one look at all that they announce
                # costs as much as one at a single table. (With five controllers, tables were
                # a seventh of what a controller computed.)
                await curio.sleep(min(due, looked + apart_s) - now)
                now = time.monotonic()
            if now >= due:
                interval = self.adaptive_interval.step()
                log.debug(
                    "event=refresh ratio=%.3f interval=%.1f", self.adaptive_interval.ratio, interval
                )
                due = now + interval
                await self.refresh_peers(changed_only=False)
                self.routines.signal("place")
            elif self.starved and any(
                self.pulled.get(p.label) != p.room_rev
                for p in self.peers.values()
                if p.label in self.membership.epoch.members
            ):
                # True shortage: the interval is left alone, but room that a
                # peer has since announced is looked at.
                looked = now
                await self.refresh_peers(changed_only=True)
                self.routines.signal("place")
            await self.routines.flush()
