"""Placing tasks from the cached picture of free room. Pure: no I/O, no clock."""

from __future__ import annotations

from collections.abc import Iterable
from zlib import crc32

from .model import Job

EPSILON = 1e-6


class Room:
    """A machine as the snapshot shows it; placements subtract at once."""

    __slots__ = ("machine", "address", "type", "zone", "spot", "open", "cpus", "gpus",
                 "memory_gb", "tasks", "images", "idle_s", "silent_s", "owner")

    def __init__(self, machine: str, address: str, type: str, zone: str, spot: bool, open: bool,
                 cpus: float, gpus: float, memory_gb: float, tasks: int, images: Iterable[str],
                 idle_s: float, silent_s: float, owner: str) -> None:
        self.machine, self.address, self.type, self.zone = machine, address, type, zone
        self.spot, self.open = spot, open
        self.cpus, self.gpus, self.memory_gb = cpus, gpus, memory_gb
        self.tasks, self.images = tasks, set(images)
        self.idle_s, self.silent_s, self.owner = idle_s, silent_s, owner

    def allows(self, job: Job) -> bool:
        """The job's own conditions: type, zone and kind."""
        return (job.types is None or self.type in job.types) and (job.spot or not self.spot) \
            and (job.zone is None or job.zone == self.zone)

    def fits(self, job: Job) -> bool:
        return self.open and self.cpus + EPSILON >= job.cpus \
            and self.gpus + EPSILON >= job.gpus and self.memory_gb + EPSILON >= job.memory_gb

    def take(self, job: Job, count: int = 1) -> None:
        self.cpus -= job.cpus * count
        self.gpus -= job.gpus * count
        self.memory_gb -= job.memory_gb * count
        self.tasks += count


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


def _preference(job: Job, room: Room, salt: str) -> tuple[float, ...]:
    """Lower is better: image cached, then the cheaper kind where it may be used,
    then the machine left fullest (so that others become idle and can go back).

    The salt differs by controller, so that equal machines are taken in another
    order by each of them and equal snapshots don't herd onto one machine.
    """
    left = room.cpus - job.cpus + 8.0 * (room.gpus - job.gpus)
    herd = crc32(f"{salt}{room.machine}".encode()) / 2**32
    return (0.0 if job.image in room.images else 1.0,
            0.0 if room.spot else 1.0,
            room.gpus if job.gpus == 0 else 0.0,
            left, herd)


def place(job: Job, wanted: int, rooms: Iterable[Room], spread: Spread, salt: str) -> list[Room]:
    """Machines for up to `wanted` tasks; the rooms and the spread are charged.

    A gang gets all or none.
    """
    candidates = [r for r in rooms if r.allows(job) and r.fits(job)]
    if job.one_zone and not spread.counts and not spread.unknown and len(candidates) > 1:
        candidates = _best_zone(job, wanted, candidates)
    chosen: list[Room] = []
    candidates.sort(key=lambda r: _preference(job, r, salt))
    for room in candidates:
        while len(chosen) < wanted and room.fits(job) and spread.allows(room.zone):
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
    """The candidates of the zone with the most room for a job kept in one zone."""
    by_zone: dict[str, int] = {}
    for room in candidates:
        by_zone[room.zone] = by_zone.get(room.zone, 0) + capacity(job, room)
    zone = max(by_zone, key=lambda z: (by_zone[z] >= wanted, sum(
        job.image in r.images for r in candidates if r.zone == z), by_zone[z], z))
    return [r for r in candidates if r.zone == zone]
