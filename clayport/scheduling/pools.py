"""Pools: the machines of one type and zone that are all spot or all on-demand.

A pool keeps its open rooms in sorted views, in the order in which `placement` prefers them: one
view of all open rooms, and one view for each requested image, of the rooms that have the image
cached. A change only records which machine changed. A sorted view applies the changes when it is
next used, so an image that no job requests costs nothing.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterator

from sortedcontainers import SortedList

from clayport.scheduling.requirements import EPSILON
from clayport.scheduling.room import Level, Room, SortKey

# The maximum number of sorted views of a pool. The limit exceeds the number of images that one
# class uses at a time, and bounds the memory for the images of a large fleet.
MAX_SORTED_VIEWS = 64


class SortedRooms:
    """A sorted view of a pool's open rooms, in order of preference.

    Attributes:
        image: The image that the rooms have cached ("": all open rooms).
        applied_rev: The pool's revision up to which changes have been applied.
        levels: The rooms by level, each level sorted by free resources.
        keys: The sort key under which each machine is entered.
    """

    __slots__ = ("applied_rev", "image", "keys", "levels")

    def __init__(self, image: str) -> None:
        self.image = image
        self.applied_rev = 0
        self.levels: dict[Level, SortedList] = {}
        self.keys: dict[str, SortKey] = {}

    def update(self, room: Room) -> None:
        """Insert the room under its present sort key, in place of its previous entry."""
        key = room.sort_key
        if key is None:
            key = room.sort_key = (
                (room.gpus > EPSILON, -room.replica_cpus),
                (round(room.cpus + room.gpus, 6), room.tie_breaker, room.machine),
            )
        known = self.keys.get(room.machine)
        if known is not None:
            if known == key:
                return
            self.remove(room.machine)
        level, entry = key
        entries = self.levels.get(level)
        if entries is None:
            entries = self.levels[level] = SortedList()
        entries.add(entry)
        self.keys[room.machine] = key

    def remove(self, machine: str) -> None:
        """Remove the entry of a machine, which must exist."""
        level, entry = self.keys.pop(machine)
        entries = self.levels[level]
        entries.remove(entry)
        if not entries:
            del self.levels[level]


# One machine's contribution to its pool's totals: whether it is open, free CPUs, CPUs of
# replicas, and CPUs of tasks of the lowest rank without an objective.
Counts = tuple[bool, float, float, float]
NO_COUNTS: Counts = (False, 0.0, 0.0, 0.0)
NO_RANKS: frozenset[int] = frozenset()


class PoolTotals:
    """Sums over a pool's machines, updated incrementally.

    Attributes:
        machines: The number of open machines.
        free: The free CPUs of all machines.
        replica_cpus: The CPUs that replicas use on open machines.
        backfill_cpus: The CPUs that tasks of the lowest rank without an objective use on all
            machines.
    """

    __slots__ = ("backfill_cpus", "free", "machines", "replica_cpus")

    def __init__(self) -> None:
        self.machines = 0
        self.free = self.replica_cpus = self.backfill_cpus = 0.0

    def add(self, row: Counts, sign: int) -> None:
        """Add one machine's contribution (`sign` is 1) or subtract it (-1)."""
        self.machines += sign * row[0]
        self.free += sign * row[1]
        self.replica_cpus += sign * row[2]
        self.backfill_cpus += sign * row[3]


class Pool:
    """The machines of one type and zone that are all spot or all on-demand.

    Attributes:
        rooms: The pool's rooms by machine.
        rev: The index's revision at the pool's last change.
        changes: The revision of each machine's last change, the latest change last.
        sorted_by_image: The sorted views by image ("": all rooms), the most recently used last.
        by_preemption_rank: The machines with tasks of each preemption rank (`Job.preemption_rank`).
        counted_machines: Each machine's contribution to the totals, and the preemption ranks of
            its tasks.
        counted_rev: The revision up to which changes are included in `totals`.
        totals: The sums at `counted_rev`.
    """

    def __init__(self, type: str, zone: str, spot: bool) -> None:
        self.type, self.zone, self.spot = type, zone, spot
        self.rooms: dict[str, Room] = {}
        self.rev = 0
        self.changes: OrderedDict[str, int] = OrderedDict()
        self.sorted_by_image: OrderedDict[str, SortedRooms] = OrderedDict()
        self.by_preemption_rank: dict[int, dict[str, None]] = {}
        self.counted_machines: dict[str, tuple[Counts, frozenset[int]]] = {}
        self.counted_rev = 0
        self.totals = PoolTotals()

    def changed(self, since: int) -> Iterator[str]:
        """Yield the machines that changed after the revision, the latest change first."""
        for machine in reversed(self.changes):
            if self.changes[machine] <= since:
                return
            yield machine

    def sorted_rooms(self, image: str = "") -> SortedRooms:
        """Return an up-to-date sorted view of the rooms with the image cached (all for "")."""
        found = self.sorted_by_image.get(image)
        if found is not None and found.applied_rev == self.rev:
            return found
        if found is None:
            found = self.sorted_by_image[image] = SortedRooms(image)
            if len(self.sorted_by_image) > MAX_SORTED_VIEWS:
                self.sorted_by_image.popitem(last=False)
        self.sorted_by_image.move_to_end(image)
        rooms, known = self.rooms, found.keys
        for machine in self.changed(found.applied_rev):
            room = rooms.get(machine)
            if room is not None and room.open and (not image or image in room.images):
                found.update(room)
            elif machine in known:
                found.remove(machine)
        found.applied_rev = self.rev
        return found

    def count(self) -> PoolTotals:
        """Bring the totals and `by_preemption_rank` up to date, and return the totals."""
        for machine in self.changed(self.counted_rev):
            room = self.rooms.get(machine)
            counts, ranks = NO_COUNTS, NO_RANKS
            if room is not None:
                ranks = frozenset(rank for (rank, _), use in room.used.items() if any(use))
                counts = (
                    room.open,
                    room.cpus,
                    room.replica_cpus if room.open else 0.0,
                    room.backfill_cpus,
                )
            known_counts, known_ranks = self.counted_machines.pop(machine, (NO_COUNTS, NO_RANKS))
            self.totals.add(known_counts, -1)
            self.totals.add(counts, 1)
            for rank in known_ranks - ranks:
                self.by_preemption_rank[rank].pop(machine, None)
            for rank in ranks - known_ranks:
                self.by_preemption_rank.setdefault(rank, {})[machine] = None
            if room is not None:
                self.counted_machines[machine] = (counts, ranks)
        self.counted_rev = self.rev
        return self.totals
