"""Placing tasks from the cached picture of free room. Pure: no I/O, no clock."""

from __future__ import annotations

import copy
import math
from collections.abc import Iterable
from typing import Any
from zlib import crc32

from .model import RANKS, SERVICE, Job, MachineType, fits

EPSILON = 1e-6
# How much above the cheapest type's price a type is dear: beyond what types of
# different size differ by, well below what GPUs add.
DEAR = 3.0


class Room:
    """A machine as the snapshot shows it; placements subtract at once."""

    __slots__ = ("machine", "address", "type", "zone", "spot", "open", "cpus", "gpus",
                 "memory_gb", "tasks", "fillers", "images", "idle_since", "owner", "used", "hold")

    def __init__(self, machine: str, address: str, type: str, zone: str, spot: bool, open: bool,
                 cpus: float, gpus: float, memory_gb: float, tasks: int, images: Iterable[str],
                 idle_since: float, owner: str,
                 used: Iterable[tuple[int, bool, float, float, float]] = ()) -> None:
        self.machine, self.address, self.type, self.zone = machine, address, type, zone
        self.spot, self.open = spot, open
        self.cpus, self.gpus, self.memory_gb = cpus, gpus, memory_gb
        self.tasks, self.images = tasks, dict.fromkeys(images)
        self.idle_since, self.owner = idle_since, owner  # inf while anything is on it
        # Tasks without any aim: they alone leave it idle.
        self.fillers = 0 if idle_since == math.inf else tasks
        self.hold = ""  # the job that room made by preemption is kept for
        # What is taken, by (standing, whether without GPUs): cpus, gpus, memory.
        self.used = {(rank, plain): [c, g, m] for rank, plain, c, g, m in used}

    def copy(self) -> Room:
        """For what-if questions, which charge the rooms they ask about."""
        other = copy.copy(self)
        other.used = {k: list(v) for k, v in self.used.items()}
        return other

    def allows(self, job: Job) -> bool:
        """The job's own conditions: type, zone and kind."""
        return (job.types is None or self.type in job.types) and (job.spot or not self.spot) \
            and (job.zone is None or job.zone == self.zone)

    def fits(self, job: Job) -> bool:
        return self.open and self.hold in ("", job.id) and self.cpus + EPSILON >= job.cpus \
            and self.gpus + EPSILON >= job.gpus and self.memory_gb + EPSILON >= job.memory_gb

    def take(self, job: Job, count: int = 1) -> None:
        self.cpus -= job.cpus * count
        self.gpus -= job.gpus * count
        self.memory_gb -= job.memory_gb * count
        self.tasks += count
        if job.standing < 0:
            self.fillers += count
        taken = self.used.setdefault((job.standing, job.gpus == 0), [0.0, 0.0, 0.0])
        taken[0] += job.cpus * count
        taken[1] += job.gpus * count
        taken[2] += job.memory_gb * count

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
        free = [self.cpus, self.gpus, self.memory_gb]
        need = (job.cpus, job.gpus, job.memory_gb)
        for (rank, _), taken in sorted(self.used.items()):
            if rank >= job.rank:
                break
            for i in range(3):
                free[i] += taken[i]
            if all(have + EPSILON >= n for have, n in zip(free, need)):
                return rank, max(0.0, job.cpus - self.cpus) + max(
                    0.0, job.memory_gb - self.memory_gb)
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


def _preference(job: Job, room: Room, salt: str, dear: bool, fragile: bool) -> tuple[float, ...]:
    """Lower is better: image cached, then the cheaper kind where it may be used,
    then the machine left fullest (so that others become idle and can go back).

    What is `fragile` would be late if its machine were taken back: it keeps off spot
    machines while others have room, and leaves them to work that saves its progress.

    The salt differs by controller, so that equal machines are taken in another
    order by each of them and equal snapshots don't herd onto one machine.
    """
    left = room.cpus - job.cpus + room.gpus - job.gpus
    herd = crc32(f"{salt}{room.machine}".encode()) / 2**32
    # Replicas stay: machines that have some take more, so that others empty.
    return (float(dear), float(job.gpus == 0 and room.gpus > 0), float(fragile and room.spot),
            0.0 if job.image in room.images else 1.0,
            0.0 if room.spot else 1.0,
            -room.lasting, left, herd)


def place(job: Job, wanted: int, rooms: Iterable[Room], spread: Spread, salt: str,
          policy: Policy | None = None, patient: bool = False,
          fragile: bool = False) -> list[Room]:
    """Machines for up to `wanted` tasks; the rooms and the spread are charged.

    A gang gets all or none. `patient` work has time to wait for a machine that
    isn't dear; `fragile` work has none to be done again.
    """
    policy = policy or OPEN
    candidates = [r for r in rooms if r.allows(job) and r.fits(job)
                  and not (patient and policy.dear(job, r))]
    if job.one_zone and not spread.counts and not spread.unknown and len(candidates) > 1:
        candidates = _best_zone(job, wanted, candidates)
    chosen: list[Room] = []
    candidates.sort(key=lambda r: _preference(job, r, salt, policy.dear(job, r), fragile))
    for room in candidates:
        while len(chosen) < wanted and room.fits(job) and spread.allows(room.zone) \
                and not policy.kept(job, room):
            room.take(job)
            spread.add(room.zone)
            chosen.append(room)
        if len(chosen) == wanted:
            break
    if job.kind == "ensemble" and len(chosen) < wanted:
        for room in chosen:
            room.take(job, -1)
            spread.counts[room.zone] -= 1
        return []
    return chosen


def capacity(job: Job, room: Room) -> int:
    """How many tasks of the job fit into the room."""
    bounds = [10**6]
    for have, need in ((room.cpus, job.cpus), (room.gpus, job.gpus),
                       (room.memory_gb, job.memory_gb)):
        if need > 0:
            bounds.append(int((have + EPSILON) / need))
    return max(0, min(bounds))


def _best_zone(job: Job, wanted: int, candidates: list[Room]) -> list[Room]:
    """The candidates of the best zone for a job kept in one: one that holds all of it,
    then with the image cached, then the one with the least room to spare, since larger
    gangs need what is free to be together."""
    by_zone: dict[str, int] = {}
    cached: dict[str, int] = {}
    for room in candidates:
        by_zone[room.zone] = by_zone.get(room.zone, 0) + capacity(job, room)
        cached[room.zone] = cached.get(room.zone, 0) + (job.image in room.images)
    zone = max(by_zone, key=lambda z: (by_zone[z] >= wanted, min(wanted, cached[z]),
                                       -by_zone[z] if by_zone[z] >= wanted else by_zone[z], z))
    return [r for r in candidates if r.zone == zone]


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

    def kept(self, job: Job, room: Room) -> bool:
        guest = self._guest(room) if job.gpus == 0 else None
        return guest is not None and not room.leaves(job, guest)

    def _guest(self, room: Room) -> Job | None:
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

    def dear_types(self, job: Job) -> set[str]:
        """Types whose price a task is far above the cheapest one's."""
        key = (job.cpus, job.gpus, job.memory_gb, tuple(job.types or ()), job.zone)
        found = self._dear.get(key)
        if found is None:
            cost = {t.name: t.price / tasks for t in self.types
                    if fits(job, t) and (tasks := tasks_on(job, t)) > 0}
            least = min(cost.values(), default=0.0)
            found = self._dear[key] = {n for n, c in cost.items() if c > DEAR * least}
        return found

    def dear(self, job: Job, room: Room) -> bool:
        return room.type in self.dear_types(job) and self._guest(room) is None


def tasks_on(job: Job, kind: MachineType) -> int:
    """How many tasks of the job an empty machine of the type holds."""
    bounds = [int((have + EPSILON) / need) for have, need in (
        (kind.cpus, job.cpus), (kind.gpus, job.gpus), (kind.memory_gb, job.memory_gb))
        if need > 0]
    return min(bounds, default=1)


def guests_of(jobs: Iterable[Job], types: Iterable[MachineType]) -> dict[str, Job]:
    """For each type with GPUs, the largest job with GPUs that it may have to take."""
    found: dict[str, Job] = {}
    wanting = {(j.cpus, j.gpus, j.memory_gb): j for j in jobs if j.gpus > 0}.values()
    for kind in types:
        for job in wanting:
            if kind.gpus > 0 and fits(job, kind) and (
                    kind.name not in found or job.cpus > found[kind.name].cpus):
                found[kind.name] = job
    return found


OPEN = Policy((), ())


def preempt(job: Job, wanted: int, rooms: Iterable[Room], spread: Spread, policy: Policy,
            most: int | None = None, fragile: bool = False) -> list[tuple[Room, int]]:
    """Where stopping work of lower rank makes room at the least cost, and for how many of
    `wanted` tasks each; `most` is the highest rank to be stopped. The spread is charged.

    All of them at once: for an array of hundreds of tasks, one machine after the other
    took longer than the array had.
    """
    offers = []
    for room in rooms:
        if not room.open or room.hold not in ("", job.id) or not room.allows(job) \
                or not spread.allows(room.zone) or policy.kept(job, room):
            continue
        cost = room.after_preemption(job)
        if cost is not None and (most is None or cost[0] <= most):
            offers.append((cost[0], fragile and room.spot, cost[1], room.machine, room))
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
