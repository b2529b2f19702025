"""An index of rooms by the criteria of placement and preemption.

The index does no I/O and reads no clock. The cost of a placement decision must not grow with the
fleet, so no function of this module iterates over the whole fleet or sorts it. The machines of one
type and zone that are all spot or all on-demand form a pool (`scheduling.pools`).
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Container, Iterable, Iterator, Sequence
from contextlib import contextmanager
from heapq import merge
from zlib import crc32

from sortedcontainers import SortedList

from clayport.model import Job
from clayport.scheduling.pools import Pool, SortedRooms
from clayport.scheduling.requirements import EPSILON, allows
from clayport.scheduling.room import Room

# The maximum number of entries in each of two caches. One holds searches that found no room, the
# other the pools that a job's requirements allow.
MAX_CACHED_QUESTIONS = 4096
# Removed machines stay in a pool's list of changes until the list exceeds twice the number of
# machines by this many entries.
MAX_REMOVED_MACHINES = 64


# Whether the pool is expensive for a job, whether it is a spot pool to avoid, and the pool.
RankedPool = tuple[bool, bool, Pool]


class Index:
    """All rooms, indexed for placement and preemption.

    Attributes:
        salt: A string that differs by controller, so that each controller tries equal machines
            in a different order. Otherwise controllers with the same cached state would choose the
            same machine.
        rooms: The rooms by machine.
        pools: The pools by type, zone and whether their machines are spot machines.
        on_probation: The rooms whose machines are on probation, by machine.
        rev: The revision of the index: the number of changes of all rooms.
        reserved_jobs: The jobs for which preemption has reserved rooms, with the numbers of
            machines.
        unplaceable: The cache keys of searches that found no room, each with the revision for
            which that is known.
        policy: The policy under which the entries of `unplaceable` hold.
        before_trial: During a trial, the rooms that it changed, each with a copy of its state
            before the trial (None: the room did not exist).
    """

    def __init__(self, salt: str = "", rooms: Iterable[Room] = ()) -> None:
        self.salt = salt
        self.rooms: dict[str, Room] = {}
        self.pools: dict[tuple[str, str, bool], Pool] = {}
        self.on_probation: dict[str, Room] = {}
        self._allowed: dict[tuple[object, ...], list[Pool]] = {}
        self.rev = 0
        self.reserved_jobs: Counter[str] = Counter()
        self.unplaceable: dict[tuple[object, ...], int] = {}
        self.policy: object = None
        self.before_trial: dict[str, tuple[Room, Room] | None] | None = None
        for room in rooms:
            self.add(room)

    # -- changes ---------------------------------------------------------

    def add(self, room: Room) -> None:
        """Add a machine's room, or replace the previous one."""
        self.remove(room.machine)
        key = (room.type, room.zone, room.spot)
        pool = self.pools.get(key)
        if pool is None:
            pool = self.pools[key] = Pool(*key)
            self._allowed.clear()
        elif len(pool.changes) > 2 * len(pool.rooms) + MAX_REMOVED_MACHINES:
            self._compact_changes(pool)
        room.tie_breaker = crc32(f"{self.salt}{room.machine}".encode()) / 2**32
        room.name_hash = crc32(room.machine.encode()) / 2**32
        room.index = self
        self.rooms[room.machine] = pool.rooms[room.machine] = room
        if room.on_probation:
            self.on_probation[room.machine] = room
        if room.reserved_for:
            self.reserved_jobs[room.reserved_for] += 1
        self.note_change(room)

    def remove(self, machine: str) -> None:
        """Remove a machine's room, if it exists."""
        room = self.rooms.get(machine)
        if room is None:
            return
        self.note_change(room)
        del self.rooms[machine]
        self.on_probation.pop(machine, None)
        del self.pools[room.type, room.zone, room.spot].rooms[machine]
        room.index = None
        if room.reserved_for:
            self.reserved_jobs[room.reserved_for] -= 1
            if not self.reserved_jobs[room.reserved_for]:
                del self.reserved_jobs[room.reserved_for]

    def note_change(self, room: Room) -> None:
        """Record that the room is about to change, or has just been added."""
        if self.before_trial is not None and room.machine not in self.before_trial:
            self.before_trial[room.machine] = room, room.copy()
        self.rev += 1
        pool = self.pools[room.type, room.zone, room.spot]
        room.sort_key = None
        pool.rev = pool.changes[room.machine] = self.rev
        pool.changes.move_to_end(room.machine)

    def _compact_changes(self, pool: Pool) -> None:
        """Drop removed machines from the list of changes, after bringing all views up to date.

        This must not run between the record of a change and the change itself, because a view
        that is brought up to date in between would miss the change.
        """
        for image in list(pool.sorted_by_image):
            pool.sorted_rooms(image)
        pool.count()
        for machine in [name for name in pool.changes if name not in pool.rooms]:
            del pool.changes[machine]

    @contextmanager
    def trial(self, excluded: Iterable[str] = (), extra: Iterable[Room] = ()) -> Iterator[None]:
        """Undo all changes of rooms when the context ends.

        No other code may use the index during the trial.

        Args:
            excluded: Machines to remove first.
            extra: Rooms to add first; rooms of machines that exist already are ignored.

        Raises:
            RuntimeError: Another trial is in progress.
        """
        if self.before_trial is not None:
            raise RuntimeError("a trial placement is already in progress")
        before = self.before_trial = {}
        try:
            for machine in list(excluded):
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
                # The same object is restored because other objects refer to it.
                room, copy = known
                if self.rooms.get(machine) is room:
                    self.note_change(room)
                    room.restore(copy)
                else:
                    self.remove(machine)
                    room.restore(copy)
                    self.add(room)

    @contextmanager
    def admitting(self, rooms: Sequence[Room]) -> Iterator[None]:
        """Open rooms on probation until the context ends.

        A room in which a task has been allocated then is no longer on probation.
        """
        tasks_before = {room.machine: room.tasks for room in rooms}
        for room in rooms:
            self.note_change(room)
            room.open = True
        try:
            yield
        finally:
            for room in rooms:
                self.note_change(room)
                room.open = False
                room.on_probation = room.tasks == tasks_before[room.machine]

    # -- queries ---------------------------------------------------------

    def allowed(self, job: Job) -> list[Pool]:
        """Return the pools that the job's requirements for type, zone and spot allow."""
        key = (job.types and tuple(job.types), job.zone, job.spot)
        found = self._allowed.get(key)
        if found is None:
            if len(self._allowed) >= MAX_CACHED_QUESTIONS:
                self._allowed.clear()
            found = self._allowed[key] = [pool for pool in self.pools.values() if allows(job, pool)]
        return found

    def unplaceable_under(self, policy: object) -> dict[tuple[object, ...], int]:
        """Return the searches known to find no room under the policy, with their revisions."""
        if policy is not self.policy or len(self.unplaceable) > MAX_CACHED_QUESTIONS:
            self.policy = policy
            self.unplaceable.clear()
        return self.unplaceable

    def changed_rooms(self, job: Job, since: int) -> Iterator[Room]:
        """Yield the rooms of the pools that the job allows that changed after the revision."""
        return self.changed(self.allowed(job), since)

    @staticmethod
    def changed(pools: Iterable[Pool], since: int) -> Iterator[Room]:
        """Yield the rooms of the pools that changed after the revision."""
        for pool in pools:
            if pool.rev > since:
                for machine in pool.changed(since):
                    room = pool.rooms.get(machine)
                    if room is not None:
                        yield room

    def in_order(
        self, job: Job, pools: Iterable[RankedPool], image_fetch_types: frozenset[str] | None
    ) -> Iterator[Room]:
        """Yield rooms that may have enough CPUs and GPUs for one task, the preferred first.

        The order is that of `placement.place`. The caller may allocate tasks in the
        rooms during the iteration. The views are sorted by the sum of CPUs and GPUs, so the
        caller has to check `Room.fits`.

        Args:
            job: The job to place.
            pools: The pools to search, with the criteria that rank them.
            image_fetch_types: The machine types on which a task may start although the image has
                to be fetched first; None: all types.
        """
        ranked: dict[tuple[bool, bool], list[Pool]] = {}
        for expensive, avoid, pool in pools:
            ranked.setdefault((expensive, avoid), []).append(pool)
        for expensive in (False, True):
            for free_gpus in (True,) if job.gpus > 0 else (False, True):
                for avoid in (False, True):
                    equal = ranked.get((expensive, avoid))
                    if equal:
                        yield from self._in_order_of_image(job, free_gpus, equal, image_fetch_types)

    def _in_order_of_image(
        self, job: Job, free_gpus: bool, pools: list[Pool], image_fetch_types: frozenset[str] | None
    ) -> Iterator[Room]:
        """Yield rooms of equally ranked pools: cached image first, then spot before on-demand."""
        for cached in (True, False):
            for spot in (True, False):
                views = [
                    pool.sorted_rooms(job.image if cached else "")
                    for pool in pools
                    if pool.spot == spot
                    and (cached or image_fetch_types is None or pool.type in image_fetch_types)
                ]
                if views:
                    yield from self._merged(job, free_gpus, views, not cached)

    def _merged(
        self, job: Job, free_gpus: bool, views: list[SortedRooms], skip_cached: bool
    ) -> Iterator[Room]:
        """Merge sorted views: the rooms with most replica CPUs first, then the fullest first."""
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
        self, pools: Iterable[Pool], rank: int, excluded: Container[str] = ()
    ) -> Iterator[Room]:
        """Yield the rooms with tasks whose preemption rank is lower than `rank`."""
        for pool in pools:
            pool.count()
            with_lower: set[str] = set()
            for task_rank, machines in pool.by_preemption_rank.items():
                if task_rank < rank:
                    with_lower.update(machines)
            for machine in sorted(with_lower):
                if machine not in excluded:
                    yield pool.rooms[machine]
