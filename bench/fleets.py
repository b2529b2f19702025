"""Fleets and jobs of a given size for the benchmarks: drawn with a seed, nothing measured."""

from __future__ import annotations

import math
import random

from clayport.model import Job, MachineType
from clayport.scheduling.index import Index
from clayport.scheduling.room import Room, capacity

TYPES = [
    MachineType(name, cpus, 0.0, memory_gb, 60.0, 0.4, price, price / 4, 50.0, ["a", "b"])
    for name, cpus, memory_gb, price in (
        ("small", 8.0, 64.0, 0.5),
        ("medium", 16.0, 32.0, 0.8),
        ("large", 32.0, 128.0, 1.9),
    )
]
IMAGES = 30  # in use at a time
CACHED = 8  # on a machine


def job(
    number: int,
    kind: str,
    priority: str,
    tasks: int,
    cpus: float,
    memory_gb: float,
    image: int,
    spot: bool,
    estimate_s: float = 60.0,
) -> Job:
    """Build a job of the benchmark fleet; amounts in CPUs, GPUs and GB, times in seconds."""
    return Job(
        f"j-{number}",
        f"{kind}-{priority}",
        "team",
        kind,
        priority,
        tasks,  # type: ignore
        cpus,
        0.0,
        memory_gb,
        f"img-{image}",
        2.0,
        False,
        False,
        spot,
        estimate_s,
        0.0,
        0.0,
    )


def jobs(count: int, rng: random.Random, most: int = 250) -> list[Job]:
    """Services, arrays of medium rank and arrays of the lowest, in equal parts, of `most`
    tasks at most."""
    found = []
    for number in range(count):
        image = min(IMAGES - 1, int(rng.expovariate(5 / IMAGES)))
        low, normal = min(most, rng.randint(10, 100)), min(most, rng.randint(20, 250))
        found.append(
            (
                job(
                    number,
                    "daemon",
                    "production",
                    min(most, rng.choice((3, 5, 6))),
                    2.0,
                    2.2,
                    image,
                    False,
                ),
                job(number, "sweep", "normal", normal, 2.0, 2.2, image, True),
                job(number, "sweep", "best_effort", low, 4.0, 4.3, image, True),
            )[number % 3]
        )
    return found


def rooms(machines: int, rng: random.Random, free: float = 0.2) -> list[Room]:
    """A busy fleet: a share of `free` of the machines has any room left."""
    work = jobs(60, rng)
    found = []
    for number in range(machines):
        kind = rng.choice(TYPES)
        room = Room(
            f"i-{number:06d}",
            "",
            kind.name,
            rng.choice(kind.zones),
            rng.random() < 0.3,
            True,
            kind.cpus,
            0.0,
            kind.memory_gb,
            0,
            [f"img-{i}" for i in rng.sample(range(IMAGES), CACHED)],
            math.inf,
            "host-1",
        )
        partly = rng.random() < free
        while True:
            guest = rng.choice(work)
            if guest.kind == "daemon" and room.spot:
                guest = work[1]
            count = min(capacity(guest, room), rng.randint(1, 4))
            if count == 0 or (partly and room.cpus < kind.cpus / 2):
                break
            room.take(guest, count)
        found.append(room)
    return found


def index(found: list[Room]) -> Index:
    """Build the room index of controller `host-0` over the given machines."""
    return Index("host-0", found)
