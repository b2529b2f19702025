"""Rooms in an index by what decides where work goes. Pure: no I/O, no clock.

A decision must not cost more on a larger fleet, so nothing here walks or sorts the fleet.
Machines of one type and zone, spot or not, make a pool. A pool keeps its open rooms sorted in
the order in which `placement` prefers them: all of them, and for each image that is asked for
those that have it cached. A change only notes which machine it was about; a sorted view
catches up with what has changed when it is used, so an image that nobody asks for costs
nothing.
"""

from __future__ import annotations

from collections import Counter, OrderedDict
from collections.abc import Container, Iterable, Iterator
from contextlib import contextmanager
from heapq import merge
from zlib import crc32

from sortedcontainers import SortedList

from clayport.model import Job
from clayport.scheduling.requirements import EPSILON, allows
from clayport.scheduling.room import Level, Room, SortKey

# Sorted views by image that a pool keeps: more than a class has images in use at a time, and
# a bound on the memory that the images of a large fleet take.
MAX_SORTED_VIEWS = 64
# Questions whose answers are cached.
MAX_CACHED_QUESTIONS = 4096
# Removed machines that a pool still lists as changes, beyond as many as it has machines.
MAX_REMOVED_MACHINES = 64


class SortedRooms:
    """A pool's open rooms in order of preference.

    Attributes:
        image: The image that the rooms have cached ("": all open rooms).
        seen: The pool's revision up to which changes are entered.
        levels: The rooms by level, each level sorted by what is free.
        keys: The place of each machine.
    """

    __slots__ = ("image", "keys", "levels", "seen")

    def __init__(self, image: str) -> None:
        self.image = image
        self.seen = 0
        self.levels: dict[Level, SortedList] = {}
        self.keys: dict[str, SortKey] = {}

    def update(self, room: Room) -> None:
        """Enter the room as it is now, in place of what was known of it."""
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
        """Take out a machine that is there."""
        level, entry = self.keys.pop(machine)
        entries = self.levels[level]
        entries.remove(entry)
        if not entries:
            del self.levels[level]


# One machine's part of its pool's totals: whether it is open, CPUs that are free, that
# replicas hold, and that work without an objective holds.
Counts = tuple[bool, float, float, float]
NO_COUNTS: Counts = (False, 0.0, 0.0, 0.0)
NO_RANKS: frozenset[int] = frozenset()


class PoolTotals:
    """Sums over a pool's machines, updated by their changes.

    Attributes:
        machines: How many are open.
        free: The free CPUs of all machines.
        replica_cpus: The CPUs that replicas hold on open machines.
        backfill_cpus: The CPUs that work without an objective holds on all machines.
    """

    __slots__ = ("backfill_cpus", "free", "machines", "replica_cpus")

    def __init__(self) -> None:
        self.machines = 0
        self.free = self.replica_cpus = self.backfill_cpus = 0.0

    def add(self, row: Counts, sign: int) -> None:
        """Add one machine's part (`sign` is 1) or take it away (-1)."""
        self.machines += sign * row[0]
        self.free += sign * row[1]
        self.replica_cpus += sign * row[2]
        self.backfill_cpus += sign * row[3]


class Pool:
    """The machines of one type and zone, spot or not.

    Attributes:
        rooms: Its rooms by machine.
        rev: The index's revision at the pool's last change.
        changes: The revision of each machine's last change, the latest last.
        sorted_by_image: The sorted views in use ("": all rooms), the last used last.
        by_standing: The machines that hold work of a rank, as it counts for preemption.
        counted: What each machine adds to the totals, and the ranks of its work.
        counted_rev: The revision up to which changes are counted.
        totals: The sums, as of `counted_rev`.
    """

    def __init__(self, type: str, zone: str, spot: bool) -> None:
        self.type, self.zone, self.spot = type, zone, spot
        self.rooms: dict[str, Room] = {}
        self.rev = 0
        self.changes: OrderedDict[str, int] = OrderedDict()
        self.sorted_by_image: OrderedDict[str, SortedRooms] = OrderedDict()
        self.by_standing: dict[int, dict[str, None]] = {}
        self.counted: dict[str, tuple[Counts, frozenset[int]]] = {}
        self.counted_rev = 0
        self.totals = PoolTotals()

    def changed(self, since: int) -> Iterator[str]:
        """Machines that changed after the revision, the latest first."""
        for machine in reversed(self.changes):
            if self.changes[machine] <= since:
                return
            yield machine

    def sorted_rooms(self, image: str = "") -> SortedRooms:
        """The rooms that have the image cached (all for ""), sorted, as they are now."""
        found = self.sorted_by_image.get(image)
        if found is not None and found.seen == self.rev:
            return found
        if found is None:
            found = self.sorted_by_image[image] = SortedRooms(image)
            if len(self.sorted_by_image) > MAX_SORTED_VIEWS:
                self.sorted_by_image.popitem(last=False)
        self.sorted_by_image.move_to_end(image)
        rooms, known = self.rooms, found.keys
        for machine in self.changed(found.seen):
            room = rooms.get(machine)
            if room is not None and room.open and (not image or image in room.images):
                found.update(room)
            elif machine in known:
                found.remove(machine)
        found.seen = self.rev
        return found

    def count(self) -> PoolTotals:
        """Update the totals and `by_standing` to the rooms as they are now; return the totals."""
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
            known_counts, known_ranks = self.counted.pop(machine, (NO_COUNTS, NO_RANKS))
            self.totals.add(known_counts, -1)
            self.totals.add(counts, 1)
            for rank in known_ranks - ranks:
                self.by_standing[rank].pop(machine, None)
            for rank in ranks - known_ranks:
                self.by_standing.setdefault(rank, {})[machine] = None
            if room is not None:
                self.counted[machine] = (counts, ranks)
        self.counted_rev = self.rev
        return self.totals


# Whether the pool is expensive for a job, whether it is a spot pool to be avoided, the pool.
RankedPool = tuple[bool, bool, Pool]


class Index:
    """All rooms, by what placement and preemption ask of them.

    Attributes:
        salt: Differs by controller, so that each takes equal machines in another order:
            else all that have the same cached state would choose the same machine.
        rooms: The rooms by machine.
        pools: The pools by type, zone and whether they are of spot machines.
        rev: Counts the changes of all rooms.
        held: The jobs for which preemption has made room, and on how many machines.
        unplaceable: Questions without an answer, and the revision up to which that is known.
        policy: The policy under which they have none.
        before_trial: While a trial runs, the rooms that it changed, each with a copy from
            before (None: it wasn't there).
    """

    def __init__(self, salt: str = "", rooms: Iterable[Room] = ()) -> None:
        self.salt = salt
        self.rooms: dict[str, Room] = {}
        self.pools: dict[tuple[str, str, bool], Pool] = {}
        self._allowed: dict[tuple[object, ...], list[Pool]] = {}
        self.rev = 0
        self.held: Counter[str] = Counter()
        self.unplaceable: dict[tuple[object, ...], int] = {}
        self.policy: object = None
        self.before_trial: dict[str, tuple[Room, Room] | None] | None = None
        for room in rooms:
            self.add(room)

    # -- changes ---------------------------------------------------------

    def add(self, room: Room) -> None:
        """Enter a machine's room, new or as it is known now."""
        self.remove(room.machine)
        key = (room.type, room.zone, room.spot)
        pool = self.pools.get(key)
        if pool is None:
            pool = self.pools[key] = Pool(*key)
            self._allowed.clear()
        elif len(pool.changes) > 2 * len(pool.rooms) + MAX_REMOVED_MACHINES:
            self._forget(pool)
        room.tie_breaker = crc32(f"{self.salt}{room.machine}".encode()) / 2**32
        room.name_hash = crc32(room.machine.encode()) / 2**32
        room.index = self
        self.rooms[room.machine] = pool.rooms[room.machine] = room
        if room.hold:
            self.held[room.hold] += 1
        self.touch(room)

    def remove(self, machine: str) -> None:
        """Take a machine's room out, if it is there."""
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
        """Note that the room is about to change, or has just been entered."""
        if self.before_trial is not None and room.machine not in self.before_trial:
            self.before_trial[room.machine] = room, room.copy()
        self.rev += 1
        pool = self.pools[room.type, room.zone, room.spot]
        room.sort_key = None
        pool.rev = pool.changes[room.machine] = self.rev
        pool.changes.move_to_end(room.machine)

    def _forget(self, pool: Pool) -> None:
        """Drop removed machines from the list of changes, once all views have caught up.

        Only between changes: a view that catches up after a change is noted and before it
        is carried out would miss it.
        """
        for image in list(pool.sorted_by_image):
            pool.sorted_rooms(image)
        pool.count()
        for machine in [name for name in pool.changes if name not in pool.rooms]:
            del pool.changes[machine]

    @contextmanager
    def trial(self, without: Iterable[str] = (), extra: Iterable[Room] = ()) -> Iterator[None]:
        """Try changes out: when the context ends, all rooms are as they were before it.

        Nothing else may use the index meanwhile.

        Args:
            without: Machines to take out first.
            extra: Rooms to enter first, of machines that aren't there.

        Raises:
            RuntimeError: A trial is under way already.
        """
        if self.before_trial is not None:
            raise RuntimeError("a trial is under way")
        before = self.before_trial = {}
        try:
            for machine in list(without):
                self.remove(machine)
            for room in extra:
                if room.machine not in self.rooms:
                    before.setdefault(room.machine, None)
                    self.add(room)
            yield
        finally:
            self.before_trial = None
            for machine, known in before.items():
                if known is None:
                    self.remove(machine)
                    continue
                # The same object is restored, since others refer to it.
                room, copy = known
                if self.rooms.get(machine) is room:
                    self.touch(room)
                    room.restore(copy)
                else:
                    self.remove(machine)
                    room.restore(copy)
                    self.add(room)

    # -- questions -------------------------------------------------------

    def allowed(self, job: Job) -> list[Pool]:
        """The pools that the job's own conditions allow."""
        key = (job.types and tuple(job.types), job.zone, job.spot)
        found = self._allowed.get(key)
        if found is None:
            if len(self._allowed) >= MAX_CACHED_QUESTIONS:
                self._allowed.clear()
            found = self._allowed[key] = [pool for pool in self.pools.values() if allows(job, pool)]
        return found

    def unplaceable_under(self, policy: object) -> dict[tuple[object, ...], int]:
        """The questions without an answer under the policy, with the revision that it is as of."""
        if policy is not self.policy or len(self.unplaceable) > MAX_CACHED_QUESTIONS:
            self.policy = policy
            self.unplaceable.clear()
        return self.unplaceable

    def changed_rooms(self, job: Job, since: int) -> Iterator[Room]:
        """Rooms of pools that the job's conditions allow, if changed since the revision."""
        return self.changed(self.allowed(job), since)

    @staticmethod
    def changed(pools: Iterable[Pool], since: int) -> Iterator[Room]:
        """Rooms of the pools that have changed since the revision."""
        for pool in pools:
            if pool.rev > since:
                for machine in pool.changed(since):
                    room = pool.rooms.get(machine)
                    if room is not None:
                        yield room

    def in_order(
        self, job: Job, pools: Iterable[RankedPool], uncached: frozenset[str] | None
    ) -> Iterator[Room]:
        """Rooms with the CPUs and GPUs for one task, the preferred first.

        The order is the one of `placement.place`. Rooms may be charged meanwhile.

        Args:
            job: The job that wants room.
            pools: The pools to look at, with what ranks them.
            uncached: The types whose machines will do without the image; None: all.
        """
        ranked: dict[tuple[bool, bool], list[Pool]] = {}
        for expensive, avoid, pool in pools:
            ranked.setdefault((expensive, avoid), []).append(pool)
        for expensive in (False, True):
            for free_gpus in (True,) if job.gpus > 0 else (False, True):
                for avoid in (False, True):
                    equal = ranked.get((expensive, avoid))
                    if equal:
                        yield from self._in_order_of_image(job, free_gpus, equal, uncached)

    def _in_order_of_image(
        self, job: Job, free_gpus: bool, pools: list[Pool], uncached: frozenset[str] | None
    ) -> Iterator[Room]:
        """Rooms of equally ranked pools: with the image cached first, and spot before others."""
        for cached in (True, False):
            for spot in (True, False):
                views = [
                    pool.sorted_rooms(job.image if cached else "")
                    for pool in pools
                    if pool.spot == spot and (cached or uncached is None or pool.type in uncached)
                ]
                if views:
                    yield from self._merged(job, free_gpus, views, not cached)

    def _merged(
        self, job: Job, free_gpus: bool, views: list[SortedRooms], skip_cached: bool
    ) -> Iterator[Room]:
        """Rooms of several sorted views: those with most replicas, then the fullest first."""
        need = (job.cpus + job.gpus - 3 * EPSILON,)
        levels: dict[float, list[SortedList]] = {}
        for view in views:
            for (has_free_gpus, minus_replicas), entries in view.levels.items():
                if has_free_gpus == free_gpus and entries[-1] >= need:
                    levels.setdefault(minus_replicas, []).append(entries)
        rooms = self.rooms
        for minus_replicas in sorted(levels):
            runs = [entries.irange(need) for entries in levels[minus_replicas]]
            for _, _, machine in runs[0] if len(runs) == 1 else merge(*runs):
                room = rooms.get(machine)
                if room is not None and not (skip_cached and job.image in room.images):
                    yield room

    def with_lower_rank(
        self, pools: Iterable[Pool], rank: int, without: Container[str] = ()
    ) -> Iterator[Room]:
        """Rooms with work of a lower rank, as it counts for preemption."""
        for pool in pools:
            pool.count()
            seen: set[str] = set()
            for standing, machines in pool.by_standing.items():
                if standing < rank:
                    seen.update(machines)
            for machine in sorted(seen):
                if machine not in without:
                    yield pool.rooms[machine]
