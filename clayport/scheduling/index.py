"""Rooms in an index by what decides where work goes. Pure: no I/O, no clock.

A decision must not cost the more the more machines there are (Fig. 6 of the paper), so
nothing here walks or sorts the fleet. Machines of one type, zone and kind make a pool. A
pool keeps its open rooms on shelves, one for all of them and one for each image that is
asked for, in the order in which `placement` prefers them. A change only notes which
machine it was about; a shelf catches up with what has changed since it was last looked
at, so an image that nobody asks for costs nothing.
"""

from __future__ import annotations

from collections import Counter, OrderedDict
from collections.abc import Container, Iterable, Iterator
from contextlib import contextmanager
from heapq import merge
from typing import TYPE_CHECKING
from zlib import crc32

from sortedcontainers import SortedList

if TYPE_CHECKING:
    from clayport.model import Job
    from clayport.scheduling.placement import Room

EPSILON = 1e-6
# Shelves of images kept for a pool: more than a class has images in use at a time, and a
# bound on what a fleet's worth of images may take.
SHELVES_MOST = 64
# Answers "fits nowhere" that are remembered.
MEMO_MOST = 4096
# Machines that are gone and still listed as changes, beside as many as there are.
FORGET_LEAST = 64

Level = tuple[bool, float]  # whether GPUs are free, minus the CPUs that replicas hold
Entry = tuple[float, float, str]  # CPUs and GPUs left, salted hash, machine
Row = tuple[Level, Entry]


def allows(job: Job, pool: Room | Pool) -> bool:
    """The job's own conditions: type, zone and kind, which a pool's machines share."""
    return (
        (job.types is None or pool.type in job.types)
        and (job.spot or not pool.spot)
        and (job.zone is None or job.zone == pool.zone)
    )


class Shelf:
    """A pool's open rooms in order of preference: those with an image, or all (`""`)."""

    __slots__ = ("image", "seen", "levels", "where")

    def __init__(self, image: str) -> None:
        self.image = image
        self.seen = 0
        self.levels: dict[Level, SortedList] = {}
        self.where: dict[str, Row] = {}

    def put(self, room: Room) -> None:
        """Enter the room as it is now, in place of what was known of it."""
        row = room.row
        if row is None:
            row = room.row = (
                (room.gpus > EPSILON, -room.lasting),
                (round(room.cpus + room.gpus, 6), room.herd, room.machine),
            )
        known = self.where.get(room.machine)
        if known is not None:
            if known == row:
                return
            self.drop(room.machine)
        rows = self.levels.get(row[0])
        if rows is None:
            rows = self.levels[row[0]] = SortedList()
        rows.add(row[1])
        self.where[room.machine] = row

    def drop(self, machine: str) -> None:
        known = self.where.pop(machine, None)
        if known is not None:
            rows = self.levels[known[0]]
            rows.remove(known[1])
            if not rows:
                del self.levels[known[0]]


class Totals:
    """What a pool has, kept up by changes: the open machines, the CPUs that replicas hold
    on these, and of all machines the CPUs that are free or held by work without any aim."""

    __slots__ = ("machines", "free", "lasting", "filled")

    def __init__(self) -> None:
        self.machines = 0
        self.free = self.lasting = self.filled = 0.0

    def add(self, row: tuple[bool, float, float, float], sign: int) -> None:
        self.machines += sign * row[0]
        self.free += sign * row[1]
        self.lasting += sign * row[2]
        self.filled += sign * row[3]


class Pool:
    """The machines of one type, zone and kind."""

    def __init__(self, type: str, zone: str, spot: bool) -> None:
        self.type, self.zone, self.spot = type, zone, spot
        self.rooms: dict[str, Room] = {}
        self.rev = 0
        self.changes: OrderedDict[str, int] = OrderedDict()  # machine: revision, latest last
        self.shelves: OrderedDict[str, Shelf] = OrderedDict()
        # Machines that hold work of a standing, which may have to make way.
        self.holders: dict[int, dict[str, None]] = {}
        self.counted: dict[str, tuple[tuple[bool, float, float, float], frozenset[int]]] = {}
        self.counted_rev = 0
        self.totals = Totals()

    def changed(self, since: int) -> Iterator[str]:
        """Machines that changed after the revision, the latest first."""
        for machine in reversed(self.changes):
            if self.changes[machine] <= since:
                return
            yield machine

    def shelf(self, image: str = "") -> Shelf:
        """The shelf, as the rooms are now."""
        found = self.shelves.get(image)
        if found is not None and found.seen == self.rev:
            return found
        if found is None:
            found = self.shelves[image] = Shelf(image)
            if len(self.shelves) > SHELVES_MOST:
                self.shelves.popitem(last=False)
        self.shelves.move_to_end(image)
        for machine in self.changed(found.seen):
            room = self.rooms.get(machine)
            if room is not None and room.open and (not image or image in room.images):
                found.put(room)
            else:
                found.drop(machine)
        found.seen = self.rev
        return found

    def count(self) -> Totals:
        """The totals, and who holds work of which standing, as the rooms are now."""
        for machine in self.changed(self.counted_rev):
            room = self.rooms.get(machine)
            row, ranks = (False, 0.0, 0.0, 0.0), frozenset[int]()
            if room is not None:
                ranks = frozenset(rank for (rank, _), use in room.used.items() if any(use))
                row = (room.open, room.cpus, room.lasting if room.open else 0.0, room.filled)
            known, had = self.counted.pop(machine, ((False, 0.0, 0.0, 0.0), frozenset[int]()))
            self.totals.add(known, -1)
            self.totals.add(row, 1)
            for rank in had - ranks:
                self.holders[rank].pop(machine, None)
            for rank in ranks - had:
                self.holders.setdefault(rank, {})[machine] = None
            if room is not None:
                self.counted[machine] = (row, ranks)
        self.counted_rev = self.rev
        return self.totals


class Index:
    """All rooms, for whichever question is asked of them.

    `salt` differs by controller, so that equal machines are taken in another order by each
    of them and equal cached states don't herd onto one machine.
    """

    def __init__(self, salt: str = "", rooms: Iterable[Room] = ()) -> None:
        self.salt = salt
        self.rooms: dict[str, Room] = {}
        self.pools: dict[tuple[str, str, bool], Pool] = {}
        self._allowed: dict[tuple[object, ...], list[Pool]] = {}
        self.rev = 0
        self.held: Counter[str] = Counter()  # jobs that room is kept for
        # Questions that had no answer, and the revision up to which that is known.
        self.nowhere: dict[tuple[object, ...], int] = {}
        self.policy: object = None  # under which that was found
        # Before a trial's changes: the room and a copy of what it was; None: it was not there.
        self.saved: dict[str, tuple[Room, Room] | None] | None = None
        for room in rooms:
            self.add(room)

    # -- changes ---------------------------------------------------------

    def add(self, room: Room) -> None:
        """A machine's room, new or as it is known now."""
        self.remove(room.machine)
        key = (room.type, room.zone, room.spot)
        pool = self.pools.get(key)
        if pool is None:
            pool = self.pools[key] = Pool(*key)
            self._allowed.clear()
        elif len(pool.changes) > 2 * len(pool.rooms) + FORGET_LEAST:
            self._forget(pool)
        room.herd = crc32(f"{self.salt}{room.machine}".encode()) / 2**32
        room.lot = crc32(room.machine.encode()) / 2**32
        room.index = self
        self.rooms[room.machine] = pool.rooms[room.machine] = room
        if room.hold:
            self.held[room.hold] += 1
        self.touch(room)

    def remove(self, machine: str) -> None:
        room = self.rooms.get(machine)
        if room is None:
            return
        self.touch(room)
        del self.rooms[machine]
        del self.pools[room.type, room.zone, room.spot].rooms[machine]
        room.index = None
        if room.hold:
            self.held[room.hold] -= 1
            if not self.held[room.hold]:
                del self.held[room.hold]

    def touch(self, room: Room) -> None:
        """The room is about to change, or has just been put in."""
        if self.saved is not None and room.machine not in self.saved:
            self.saved[room.machine] = room, room.copy()
        self.rev += 1
        pool = self.pools[room.type, room.zone, room.spot]
        room.row = None
        pool.rev = pool.changes[room.machine] = self.rev
        pool.changes.move_to_end(room.machine)

    def _forget(self, pool: Pool) -> None:
        """Machines that are long gone leave the list of changes once every shelf, and the
        totals, have caught up with them. Only between changes: what is caught up with
        before a change is carried out would be missed."""
        for shelf in list(pool.shelves):
            pool.shelf(shelf)
        pool.count()
        for machine in [n for n in pool.changes if n not in pool.rooms]:
            del pool.changes[machine]

    @contextmanager
    def trial(self, without: Iterable[str] = (), extra: Iterable[Room] = ()) -> Iterator[None]:
        """What would be: rooms charged, taken out or put in meanwhile are as they were
        afterwards. One at a time, and nothing else may run in between."""
        if self.saved is not None:
            raise RuntimeError("a trial is under way")
        before = self.saved = {}
        try:
            for machine in list(without):
                self.remove(machine)
            for room in extra:
                if room.machine not in self.rooms:
                    before.setdefault(room.machine, None)
                    self.add(room)
            yield
        finally:
            self.saved = None
            for machine, known in before.items():
                if known is not None and self.rooms.get(machine) is known[0]:
                    self.touch(known[0])
                    known[0].restore(known[1])
                    continue
                self.remove(machine)
                if known is not None:
                    # The same object: others hold on to it.
                    known[0].restore(known[1])
                    self.add(known[0])

    # -- questions -------------------------------------------------------

    def allowed(self, job: Job) -> list[Pool]:
        """The pools that the job's own conditions allow."""
        key = (job.types and tuple(job.types), job.zone, job.spot)
        found = self._allowed.get(key)
        if found is None:
            if len(self._allowed) >= MEMO_MOST:
                self._allowed.clear()
            found = self._allowed[key] = [p for p in self.pools.values() if allows(job, p)]
        return found

    def cleared(self, policy: object) -> dict[tuple[object, ...], int]:
        """Which questions have no answer under the policy, up to which revision."""
        if policy is not self.policy or len(self.nowhere) > MEMO_MOST:
            self.policy = policy
            self.nowhere.clear()
        return self.nowhere

    def news(self, job: Job, since: int) -> Iterator[Room]:
        """Rooms that the job may use and that have changed since."""
        return self.changed(self.allowed(job), since)

    @staticmethod
    def changed(pools: Iterable[Pool], since: int) -> Iterator[Room]:
        """Rooms of the pools that have changed since."""
        for pool in pools:
            if pool.rev > since:
                for machine in pool.changed(since):
                    room = pool.rooms.get(machine)
                    if room is not None:
                        yield room

    def in_order(
        self, job: Job, pools: Iterable[tuple[bool, bool, Pool]], uncached: frozenset[str] | None
    ) -> Iterator[Room]:
        """Rooms with the CPUs and GPUs for one task, the preferred first.

        `pools` says of each whether it is dear, and whether it is a spot pool to be kept
        off; `uncached` are the types that will do without the image (None: all). The order
        is the one of `placement.place`; charging rooms meanwhile doesn't disturb it.
        """
        bands: dict[tuple[bool, bool], list[Pool]] = {}
        for dear, risky, pool in pools:
            bands.setdefault((dear, risky), []).append(pool)
        for dear in (False, True):
            for gpus in (True,) if job.gpus > 0 else (False, True):
                for risky in (False, True):
                    band = bands.get((dear, risky))
                    if band:
                        yield from self._band(job, gpus, band, uncached)

    def _band(
        self, job: Job, gpus: bool, band: list[Pool], uncached: frozenset[str] | None
    ) -> Iterator[Room]:
        for cached in (True, False):
            for spot in (True, False):
                shelves = [
                    p.shelf(job.image if cached else "")
                    for p in band
                    if p.spot == spot and (cached or uncached is None or p.type in uncached)
                ]
                if shelves:
                    yield from self._merged(job, gpus, shelves, not cached)

    def _merged(
        self, job: Job, gpus: bool, shelves: list[Shelf], skip_cached: bool
    ) -> Iterator[Room]:
        """Rooms of several shelves: those with most replicas, then the fullest first."""
        need = (job.cpus + job.gpus - 3 * EPSILON,)
        levels: dict[float, list[SortedList]] = {}
        for shelf in shelves:
            for (has, lasting), rows in shelf.levels.items():
                if has == gpus and rows[-1] >= need:
                    levels.setdefault(lasting, []).append(rows)
        rooms = self.rooms
        for lasting in sorted(levels):
            runs = [rows.irange(need) for rows in levels[lasting]]
            for _, _, machine in runs[0] if len(runs) == 1 else merge(*runs):
                room = rooms.get(machine)
                if room is not None and not (skip_cached and job.image in room.images):
                    yield room

    def lower(
        self, pools: Iterable[Pool], rank: int, without: Container[str] = ()
    ) -> Iterator[Room]:
        """Rooms that hold work of a standing below the rank."""
        for pool in pools:
            pool.count()
            seen: set[str] = set()
            for standing, machines in pool.holders.items():
                if standing < rank:
                    seen.update(machines)
            for machine in sorted(seen):
                if machine not in without:
                    yield pool.rooms[machine]
