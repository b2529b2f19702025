"""Placing tasks from the cached cached state of free room. Pure: no I/O, no clock."""

from __future__ import annotations

import math
from collections.abc import Container, Iterable
from typing import Any, NamedTuple

from clayport.model import GANG, RANKS, SERVICE, Job, MachineType, fits
from clayport.scheduling.index import EPSILON, Index, Pool, Row, allows

# How much above the cheapest type's price a type is dear: beyond what types of
# different size differ by, well below what GPUs add.
DEAR = 3.0


class Room:
    """A machine as the snapshot shows it; placements subtract at once."""

    __slots__ = (
        "machine",
        "address",
        "type",
        "zone",
        "spot",
        "open",
        "cpus",
        "gpus",
        "memory_gb",
        "tasks",
        "fillers",
        "images",
        "idle_since",
        "owner",
        "used",
        "hold",
        "index",
        "herd",
        "lot",
        "row",
    )

    def __init__(
        self,
        machine: str,
        address: str,
        type: str,
        zone: str,
        spot: bool,
        open: bool,
        cpus: float,
        gpus: float,
        memory_gb: float,
        tasks: int,
        images: Iterable[str],
        idle_since: float,
        owner: str,
        used: Iterable[tuple[int, bool, float, float, float]] = (),
    ) -> None:
        self.machine, self.address, self.type, self.zone = machine, address, type, zone
        self.spot, self.open = spot, open
        self.cpus, self.gpus, self.memory_gb = cpus, gpus, memory_gb
        self.tasks, self.images = tasks, dict.fromkeys(images)
        self.idle_since, self.owner = idle_since, owner  # inf while anything is on it
        # Tasks without any aim: they alone leave it idle.
        self.fillers = 0 if idle_since == math.inf else tasks
        self.hold = ""  # the job that room made by preemption is kept for
        self.index: Index | None = None  # that is to know of changes
        self.herd = 0.0  # a hash: where equal machines come among each other
        self.lot = 1.0  # the same at all controllers, below 1
        self.row: Row | None = None  # where it stands on shelves, while that is known
        # What is taken, by (standing, whether without GPUs): cpus, gpus, memory.
        self.used = {(rank, plain): [c, g, m] for rank, plain, c, g, m in used}

    def copy(self) -> Room:
        """For what-if questions, which charge the rooms they ask about."""
        other = Room.__new__(Room)
        other.machine, other.address, other.type = self.machine, self.address, self.type
        other.zone, other.spot, other.owner = self.zone, self.spot, self.owner
        other.images, other.idle_since, other.hold = self.images, self.idle_since, self.hold
        other.herd, other.lot, other.index, other.row = self.herd, self.lot, None, None
        other.restore(self)
        return other

    def restore(self, other: Room) -> None:
        """Be again what the copy is."""
        self.open, self.cpus, self.gpus = other.open, other.cpus, other.gpus
        self.memory_gb, self.tasks, self.fillers = other.memory_gb, other.tasks, other.fillers
        self.used = {k: list(v) for k, v in other.used.items()}

    def close(self) -> None:
        """Take nothing more until the room is renewed."""
        if self.index is not None:
            self.index.touch(self)
        self.open = False

    def allows(self, job: Job) -> bool:
        """The job's own conditions: type, zone and kind."""
        return allows(job, self)

    def fits(self, job: Job) -> bool:
        return (
            self.open
            and self.hold in ("", job.id)
            and self.cpus + EPSILON >= job.cpus
            and self.gpus + EPSILON >= job.gpus
            and self.memory_gb + EPSILON >= job.memory_gb
        )

    def take(self, job: Job, count: int = 1) -> None:
        """Subtract `count` tasks of the job (negative: give them back)."""
        if self.index is not None:
            self.index.touch(self)
        cpus, gpus, memory_gb = job.cpus * count, job.gpus * count, job.memory_gb * count
        self.cpus -= cpus
        self.gpus -= gpus
        self.memory_gb -= memory_gb
        self.tasks += count
        standing = job.standing
        if standing < 0:
            self.fillers += count
        taken = self.used.setdefault((standing, job.gpus == 0), [0.0, 0.0, 0.0])
        taken[0] += cpus
        taken[1] += gpus
        taken[2] += memory_gb

    def spares(self, job: Job, wide: Job) -> bool:
        """Whether a task of `job` leaves room for one of `wide` as the machine is now."""
        return (
            self.cpus - job.cpus + EPSILON >= wide.cpus
            and self.gpus - job.gpus + EPSILON >= wide.gpus
            and self.memory_gb - job.memory_gb + EPSILON >= wide.memory_gb
        )

    def leaves(self, job: Job, guest: Job) -> bool:
        """Whether a task of `job` leaves room for `guest`, once other guests are done
        and work of lower rank than the guest's has been preempted."""
        cpus, memory_gb = self.cpus - job.cpus, self.memory_gb - job.memory_gb
        if job.rank < guest.rank:
            cpus, memory_gb = self.cpus, self.memory_gb
        for (rank, plain), (c, _, m) in self.used.items():
            if not plain or rank < guest.rank:
                cpus += c
                memory_gb += m
        return cpus + EPSILON >= guest.cpus and memory_gb + EPSILON >= guest.memory_gb

    @property
    def idle(self) -> bool:
        return self.tasks <= self.fillers

    @property
    def filled(self) -> float:
        """The CPUs that work without any aim holds here."""
        return sum(used[0] for (rank, _), used in self.used.items() if rank < 0)

    @property
    def lasting(self) -> float:
        """The CPUs that replicas hold: the machine stays for them anyway."""
        return self.used.get((RANKS["production"], True), [0.0])[0]

    def after_preemption(self, job: Job) -> tuple[int, float] | None:
        """The highest rank that would have to be stopped for one task of the job, and
        how much is missing; None: stopping work of lower rank is of no use."""
        most = job.rank
        lower = [key for key in self.used if key[0] < most]
        cpus, gpus, memory_gb = self.cpus, self.gpus, self.memory_gb
        for key in sorted(lower) if len(lower) > 1 else lower:
            taken = self.used[key]
            cpus += taken[0]
            gpus += taken[1]
            memory_gb += taken[2]
            if (
                cpus + EPSILON >= job.cpus
                and gpus + EPSILON >= job.gpus
                and memory_gb + EPSILON >= job.memory_gb
            ):
                return key[0], max(0.0, job.cpus - self.cpus) + max(
                    0.0, job.memory_gb - self.memory_gb
                )
        return None

    def preemptable(self, job: Job, most: int) -> int:
        """How many tasks of the job fit once work of ranks up to `most` is stopped."""
        room = self.copy()
        for (rank, _), (cpus, gpus, memory_gb) in self.used.items():
            if rank <= most and rank < job.rank:
                room.cpus += cpus
                room.gpus += gpus
                room.memory_gb += memory_gb
        return capacity(job, room)


class Spread:
    """Where a job's other tasks are: what `together` and `scatter` still allow.

    Tasks whose zone isn't known (their machine has not been seen since a
    restart) count against every zone, since they may be in any.
    """

    def __init__(self, job: Job, zones: Iterable[str | None]) -> None:
        self.job = job
        self.unknown = 0
        self.counts: dict[str, int] = {}
        for zone in zones:
            self.add(zone)

    def copy(self) -> Spread:
        other = Spread(self.job, ())
        other.unknown, other.counts = self.unknown, dict(self.counts)
        return other

    def add(self, zone: str | None) -> None:
        if zone is None:
            self.unknown += 1
        else:
            self.counts[zone] = self.counts.get(zone, 0) + 1

    def allows(self, zone: str) -> bool:
        if self.job.one_zone and (self.unknown or any(z != zone for z in self.counts)):
            return False
        if self.job.spread:
            limit = (self.job.tasks + 1) // 2
            return self.counts.get(zone, 0) + self.unknown < limit
        return True


class Kept(NamedTuple):
    """A share of the machines that can hold a task of the job is kept free of narrower work
    that leaves it no room. The same machines at all controllers, by a hash of their names."""

    job: Job
    share: float
    types: frozenset[str] | None  # of which an empty machine holds a task; None: not known

    def against(self, job: Job, room: Room) -> Job | None:
        """The job that a task of `job` has to leave room for there, if any."""
        wide = self.job
        if (
            room.lot >= self.share
            or self.types is not None
            and room.type not in self.types
            or not room.allows(wide)
            or not (wide.cpus > job.cpus or wide.gpus > job.gpus or wide.memory_gb > job.memory_gb)
        ):
            return None
        return wide


def shape(job: Job) -> tuple[Any, ...]:
    """What tells whether room that does for one job does for another."""
    return (
        job.cpus,
        job.gpus,
        job.memory_gb,
        tuple(job.types or ()),
        job.zone,
        job.spot,
        job.kind,
        job.rank,
        job.backfill,
    )


def _usable(job: Job, index: Index, spread: Spread, policy: Policy, patient: bool) -> list[Pool]:
    """Pools that may hold a task of the job, as far as that is the same for all of a pool."""
    able = policy.able(job)
    bound = job.one_zone or job.spread
    return [
        p
        for p in index.allowed(job)
        if (able is None or p.type in able)
        and (not bound or spread.allows(p.zone))
        and not (patient and policy.dear(job, p))
    ]


def _lasting(job: Job, index: Index, spread: Spread, without: Container[str]) -> bool:
    """Whether the answer would be the same for any job of the shape, and so can be kept."""
    return not without and job.id not in index.held and not spread.counts and not spread.unknown


def place(
    job: Job,
    wanted: int,
    index: Index,
    spread: Spread,
    policy: Policy | None = None,
    patient: bool = False,
    fragile: bool = False,
    without: Container[str] = (),
    lodger: bool = False,
    uncached: frozenset[str] | None = None,
    kept: Kept | None = None,
) -> list[Room]:
    """Machines for up to `wanted` tasks, one entry a task; rooms and spread are charged.

    In order: machines that aren't dear; without free GPUs, for work that needs none; image
    cached; the cheaper kind where it may be used; with replicas, since these stay, so that
    others empty; then the fullest, so that others become idle and can go back.

    A gang gets all or none. `patient` work has time to wait for a machine that isn't dear.
    What is `fragile` would be late if its machine were taken back: it keeps off spot
    machines while others have room, and leaves them to work that saves its progress. A
    `lodger` keeps off ordinary machines that it alone would keep rented. `uncached` are the
    types whose machines will do without the image (None: all). On machines that are `kept`,
    room for a task of another job is left.
    """
    policy = policy or OPEN
    if wanted <= 0:
        return []
    # The same question finds nothing again until a room that changes fits.
    lasting = _lasting(job, index, spread, without)
    asked = (
        shape(job),
        job.one_zone,
        job.spread,
        wanted if job.kind == GANG else 0,
        patient,
        lodger,
        uncached and (uncached, job.image),
        kept and (kept.share, kept.job.id),
    )
    nowhere = index.cleared(policy)
    since = nowhere.get(asked) if lasting else None
    if since is not None and not any(
        takes(job, room, policy, kept) and not (lodger and not room.spot and room.idle)
        for room in index.news(job, since)
    ):
        nowhere[asked] = index.rev
        return []
    pools = [
        (policy.dear(job, pool), fragile and pool.spot, pool)
        for pool in _usable(job, index, spread, policy, patient)
    ]
    if (
        job.one_zone
        and not spread.counts
        and not spread.unknown
        and len({p.zone for _, _, p in pools}) > 1
    ):
        pools = _best_zone(job, wanted, index, pools, without)
    single = job.one_zone or job.spread
    chosen: list[Room] = []
    for room in index.in_order(job, pools, uncached):
        if room.machine in without or not room.fits(job) or lodger and not room.spot and room.idle:
            continue
        guest = policy.guest(job, room)
        wide = kept.against(job, room) if kept is not None else None
        while (
            len(chosen) < wanted
            and room.fits(job)
            and spread.allows(room.zone)
            and (guest is None or room.leaves(job, guest))
            and (wide is None or room.spares(job, wide))
        ):
            count = (
                1
                if single or guest is not None or wide is not None
                else min(wanted - len(chosen), capacity(job, room))
            )
            room.take(job, count)
            for _ in range(count):
                spread.add(room.zone)
                chosen.append(room)
        if len(chosen) == wanted:
            break
    if job.kind == GANG and len(chosen) < wanted:
        for room in chosen:
            room.take(job, -1)
            spread.counts[room.zone] -= 1
        chosen = []
    if lasting and not chosen:
        nowhere[asked] = index.rev
    return chosen


def takes(job: Job, room: Room, policy: Policy, kept: Kept | None) -> bool:
    """Whether the room, as it is, may take a task of the job; the guest that its GPUs wait
    for, and whoever it is kept for, go on finding theirs."""
    if not room.fits(job):
        return False
    guest = policy.guest(job, room)
    if guest is not None and not room.leaves(job, guest):
        return False
    wide = kept.against(job, room) if kept is not None else None
    return wide is None or room.spares(job, wide)


def holds(
    job: Job,
    wanted: int,
    index: Index,
    spread: Spread,
    policy: Policy,
    patient: bool,
    without: set[str],
) -> bool:
    """Whether the rooms hold so many tasks, each machine counted for this job alone: those
    counted are added to `without`. Nothing is charged, so it costs little where there is
    room to spare; a no says only that it has to be looked at properly."""
    if job.kind == GANG or job.one_zone:
        return False
    pools = [
        (policy.dear(job, pool), False, pool)
        for pool in _usable(job, index, spread, policy, patient)
    ]
    for room in index.in_order(job, pools, None):
        if room.machine in without or not takes(job, room, policy, None):
            continue
        guest = policy.guest(job, room)
        without.add(room.machine)
        for _ in range(capacity(job, room) if guest is None else 1):
            if not spread.allows(room.zone):
                break
            spread.add(room.zone)
            wanted -= 1
            if wanted <= 0:
                return True
    return wanted <= 0


def capacity(job: Job, room: Room) -> int:
    """How many tasks of the job fit into the room."""
    bounds = [10**6]
    for have, need in (
        (room.cpus, job.cpus),
        (room.gpus, job.gpus),
        (room.memory_gb, job.memory_gb),
    ):
        if need > 0:
            bounds.append(int((have + EPSILON) / need))
    return max(0, min(bounds))


def _best_zone(
    job: Job,
    wanted: int,
    index: Index,
    pools: list[tuple[bool, bool, Pool]],
    without: Container[str],
) -> list[tuple[bool, bool, Pool]]:
    """The pools of the best zone for a job kept in one: one that holds all of it, then with
    the image cached, then the one with the least room to spare, since larger gangs need
    what is free to be together."""
    by_zone: dict[str, int] = {}
    cached: dict[str, int] = {}
    for room in index.in_order(job, pools, None):
        if room.fits(job) and room.machine not in without:
            by_zone[room.zone] = by_zone.get(room.zone, 0) + capacity(job, room)
            cached[room.zone] = cached.get(room.zone, 0) + (job.image in room.images)
    if not by_zone:
        return []
    zone = max(
        by_zone,
        key=lambda z: (
            by_zone[z] >= wanted,
            min(wanted, cached[z]),
            -by_zone[z] if by_zone[z] >= wanted else by_zone[z],
            z,
        ),
    )
    return [entry for entry in pools if entry[2].zone == zone]


class Policy:
    """What keeps work off machines that it would fit.

    `guests` maps a type to the largest job that needs its GPUs: work without
    GPUs leaves room for it, since it fits nowhere else. `prices` holds each
    type's price: work that could wait keeps off types without guests that cost
    `DEAR` times what it would cost elsewhere, so that they can be returned.
    """

    def __init__(self, jobs: Iterable[Job], types: Iterable[MachineType]) -> None:
        self.types = list(types)
        jobs = list(jobs)
        self.guests = guests_of(jobs, self.types)
        # One service of each shape, the largest first.
        shapes = {(j.cpus, j.memory_gb): j for j in jobs if j.kind == SERVICE}
        self.services = [shapes[k] for k in sorted(shapes, reverse=True)]
        self._dear: dict[tuple[Any, ...], set[str]] = {}
        self._able: dict[tuple[Any, ...], frozenset[str]] = {}
        self._shapes = {(j.cpus, j.gpus, j.memory_gb, j.kind == SERVICE) for j in jobs}

    def covers(self, job: Job) -> bool:
        """Whether it would be the same with this job among those that it was made of."""
        return (
            job.gpus == 0
            and job.kind != SERVICE
            or (job.cpus, job.gpus, job.memory_gb, job.kind == SERVICE) in self._shapes
        )

    def same(self, other: Policy) -> bool:
        """Whether the other says the same of every job and room."""
        return (
            self.types == other.types
            and [shape(j) for j in self.services] == [shape(j) for j in other.services]
            and {t: shape(j) for t, j in self.guests.items()}
            == {t: shape(j) for t, j in other.guests.items()}
        )

    def kept(self, job: Job, room: Room) -> bool:
        guest = self.guest(job, room)
        return guest is not None and not room.leaves(job, guest)

    def guest(self, job: Job, room: Room) -> Job | None:
        """The job that a task of this one would have to leave room for there."""
        return self._guest(room) if job.gpus == 0 else None

    def _guest(self, room: Room | Pool) -> Job | None:
        guest = self.guests.get(room.type)
        return guest if guest is not None and (guest.spot or not room.spot) else None

    def blocked(self, room: Room, kind: MachineType) -> float:
        """The CPUs by which work that stays exceeds what the type's guest leaves."""
        guest = self._guest(room)
        if guest is None:
            return 0.0
        cpus = memory_gb = 0.0
        for (rank, plain), (c, _, m) in room.used.items():
            if plain and rank >= guest.rank:
                cpus += c
                memory_gb += m
        if memory_gb > kind.memory_gb - guest.memory_gb + EPSILON:
            return max(1.0, cpus - kind.cpus + guest.cpus)
        return max(0.0, cpus - kind.cpus + guest.cpus - EPSILON)

    def able(self, job: Job) -> frozenset[str] | None:
        """Types of which an empty machine holds a task of the job; None: not known."""
        if not self.types:
            return None
        key = (job.cpus, job.gpus, job.memory_gb)
        found = self._able.get(key)
        if found is None:
            found = self._able[key] = frozenset(
                t.name
                for t in self.types
                if job.cpus <= t.cpus + EPSILON
                and job.gpus <= t.gpus + EPSILON
                and job.memory_gb <= t.memory_gb + EPSILON
            )
        return found

    def dear_types(self, job: Job) -> set[str]:
        """Types whose price a task is far above the cheapest one's."""
        key = (job.cpus, job.gpus, job.memory_gb, tuple(job.types or ()), job.zone)
        found = self._dear.get(key)
        if found is None:
            cost = {
                t.name: t.price / tasks
                for t in self.types
                if fits(job, t) and (tasks := tasks_on(job, t)) > 0
            }
            least = min(cost.values(), default=0.0)
            found = self._dear[key] = {n for n, c in cost.items() if c > DEAR * least}
        return found

    def dear(self, job: Job, pool: Room | Pool) -> bool:
        """The same for all machines of a type, zone and kind."""
        return pool.type in self.dear_types(job) and self._guest(pool) is None


def tasks_on(job: Job, kind: MachineType) -> int:
    """How many tasks of the job an empty machine of the type holds."""
    bounds = [
        int((have + EPSILON) / need)
        for have, need in (
            (kind.cpus, job.cpus),
            (kind.gpus, job.gpus),
            (kind.memory_gb, job.memory_gb),
        )
        if need > 0
    ]
    return min(bounds, default=1)


def guests_of(jobs: Iterable[Job], types: Iterable[MachineType]) -> dict[str, Job]:
    """For each type with GPUs, the largest job with GPUs that it may have to take."""
    found: dict[str, Job] = {}
    wanting = {(j.cpus, j.gpus, j.memory_gb): j for j in jobs if j.gpus > 0}.values()
    for kind in types:
        for job in wanting:
            if (
                kind.gpus > 0
                and fits(job, kind)
                and (kind.name not in found or job.cpus > found[kind.name].cpus)
            ):
                found[kind.name] = job
    return found


OPEN = Policy((), ())


def preempt(
    job: Job,
    wanted: int,
    index: Index,
    spread: Spread,
    policy: Policy,
    most: int | None = None,
    fragile: bool = False,
    patient: bool = False,
    without: Container[str] = (),
    uncached: frozenset[str] | None = None,
) -> list[tuple[Room, int]]:
    """Where stopping work of lower rank makes room at the least cost, and for how many of
    `wanted` tasks each; `most` is the highest rank to be stopped. The spread is charged.
    The rest is as for `place`; `patient` keeps off dear machines.

    All of them at once: for an array of hundreds of tasks, one machine after the other
    took longer than the array had.
    """
    lasting = _lasting(job, index, spread, without)
    asked = (
        "preempt",
        shape(job),
        job.one_zone,
        job.spread,
        most,
        patient,
        uncached and (uncached, job.image),
    )
    nowhere = index.cleared(policy)
    since = nowhere.get(asked) if lasting else None
    pools = _usable(job, index, spread, policy, patient)
    rooms = index.lower(pools, job.rank, without) if since is None else index.changed(pools, since)
    offers = []
    for room in rooms:
        if (
            not room.open
            or room.hold not in ("", job.id)
            or policy.kept(job, room)
            or uncached is not None
            and room.type not in uncached
            and job.image not in room.images
        ):
            continue
        cost = room.after_preemption(job)
        if cost is not None and (most is None or cost[0] <= most):
            offers.append((cost[0], fragile and room.spot, cost[1], room.machine, room))
    if not offers:
        if lasting:
            nowhere[asked] = index.rev
        return []
    if since is not None:
        # There is something again: among all of them.
        del nowhere[asked]
        return preempt(
            job, wanted, index, spread, policy, most, fragile, patient, without, uncached
        )
    found: list[tuple[Room, int]] = []
    for rank, _, _, _, room in sorted(offers, key=lambda o: o[:4]):
        count = 0
        for _ in range(min(wanted, room.preemptable(job, rank))):
            if not spread.allows(room.zone):
                break
            spread.add(room.zone)
            count += 1
        if count:
            found.append((room, count))
            wanted -= count
        if wanted <= 0:
            break
    return found
