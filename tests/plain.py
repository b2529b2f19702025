"""Placement and preemption by exhaustive search, with which tests compare the index.

Each call examines and sorts the rooms of all machines.
"""

from __future__ import annotations

from zlib import crc32

from clayport.model import Job
from clayport.scheduling.policy import Policy
from clayport.scheduling.room import Room, capacity
from clayport.scheduling.spread import Spread

Key = tuple[float, ...]


def preference(job: Job, room: Room, salt: str, expensive: bool, avoid_spot: bool) -> Key:
    """Return a sort key in which lower is better; a salted hash breaks ties."""
    left = round(room.cpus + room.gpus, 6)
    tie_breaker = crc32(f"{salt}{room.machine}".encode()) / 2**32
    return (
        float(expensive),
        float(job.gpus == 0 and room.gpus > 0),
        float(avoid_spot and room.spot),
        0.0 if job.image in room.images else 1.0,
        0.0 if room.spot else 1.0,
        -room.replica_cpus,
        left,
        tie_breaker,
    )


def best_zone(job: Job, wanted: int, rooms: list[Room]) -> list[Room]:
    """Return the rooms of the zone to place all tasks of a job in.

    Zones that have room for all tasks come first, then zones where more machines have cached the
    image. Among the rest the tightest fit wins, or the largest room if no zone has enough.
    """
    by_zone: dict[str, int] = {}
    cached: dict[str, int] = {}
    for room in rooms:
        by_zone[room.zone] = by_zone.get(room.zone, 0) + capacity(job, room)
        cached[room.zone] = cached.get(room.zone, 0) + (job.image in room.images)
    zone = max(
        by_zone,
        key=lambda z: (
            by_zone[z] >= wanted,
            min(wanted, cached[z]),
            -by_zone[z] if by_zone[z] >= wanted else by_zone[z],
            z,
        ),
    )
    return [r for r in rooms if r.zone == zone]


def place(
    job: Job,
    wanted: int,
    rooms: list[Room],
    spread: Spread,
    salt: str,
    policy: Policy,
    avoid_expensive: bool = False,
    avoid_spot: bool = False,
) -> list[Room]:
    """Take room for up to `wanted` tasks, for all or none of a gang; return the rooms by task."""
    candidates = [
        r
        for r in rooms
        if r.allows(job) and r.fits(job) and not (avoid_expensive and policy.expensive(job, r))
    ]
    if job.one_zone and not spread.counts and not spread.unknown and candidates:
        candidates = best_zone(job, wanted, candidates)
    chosen: list[Room] = []
    candidates.sort(key=lambda r: preference(job, r, salt, policy.expensive(job, r), avoid_spot))
    for room in candidates:
        while (
            len(chosen) < wanted
            and room.fits(job)
            and spread.allows(room.zone)
            and not policy.rejects(job, room)
        ):
            room.allocate(job)
            spread.add(room.zone)
            chosen.append(room)
    if job.kind == "ensemble" and len(chosen) < wanted:
        for room in chosen:
            room.allocate(job, -1)
            spread.counts[room.zone] -= 1
        return []
    return chosen


def preempt(
    job: Job,
    wanted: int,
    rooms: list[Room],
    spread: Spread,
    policy: Policy,
    max_rank: int | None = None,
    avoid_spot: bool = False,
) -> list[tuple[Room, int]]:
    """Return the machines to preempt tasks on, and how many tasks of the job then fit on each.

    Args:
        max_rank: The highest rank that may be preempted. None allows each rank below that of the
            job.
    """
    offers = []
    for room in rooms:
        if (
            not room.open
            or room.reserved_for not in ("", job.id)
            or not room.allows(job)
            or not spread.allows(room.zone)
            or policy.rejects(job, room)
        ):
            continue
        cost = room.preemption_cost(job)
        if cost is not None and (max_rank is None or cost[0] <= max_rank):
            offers.append((cost[0], avoid_spot and room.spot, cost[1], room.machine, room))
    found: list[tuple[Room, int]] = []
    for rank, _, _, _, room in sorted(offers, key=lambda o: o[:4]):
        count = 0
        for _ in range(min(wanted, room.capacity_after_preemption(job, rank))):
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
