"""Random fleets and jobs for the benchmarks, drawn from a seeded generator."""

from __future__ import annotations

import math
import random

from clayport.model import Job, MachineType
from clayport.scheduling.index import Index
from clayport.scheduling.room import Room, capacity

MACHINE_TYPES = [
    MachineType(name, cpus, 0.0, memory_gb, 60.0, 0.4, price, price / 4, 50.0, ["a", "b"])
    for name, cpus, memory_gb, price in (
        ("small", 8.0, 64.0, 0.5),
        ("medium", 16.0, 32.0, 0.8),
        ("large", 32.0, 128.0, 1.9),
    )
]
IMAGE_COUNT = 30  # images in use at a time
CACHED_IMAGES = 8  # images cached on a machine


def build_job(
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
    """Build a job of the benchmark fleet; amounts are CPUs, GPUs and GB, times are seconds."""
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


def random_jobs(count: int, rng: random.Random, max_tasks: int = 250) -> list[Job]:
    """Draw services, normal-priority arrays and best-effort arrays in equal numbers.

    Each job has at most `max_tasks` tasks.
    """
    result = []
    for number in range(count):
        image = min(IMAGE_COUNT - 1, int(rng.expovariate(5 / IMAGE_COUNT)))
        low, normal = min(max_tasks, rng.randint(10, 100)), min(max_tasks, rng.randint(20, 250))
        result.append(
            (
                build_job(
                    number,
                    "daemon",
                    "production",
                    min(max_tasks, rng.choice((3, 5, 6))),
                    2.0,
                    2.2,
                    image,
                    False,
                ),
                build_job(number, "sweep", "normal", normal, 2.0, 2.2, image, True),
                build_job(number, "sweep", "best_effort", low, 4.0, 4.3, image, True),
            )[number % 3]
        )
    return result


def random_rooms(machine_count: int, rng: random.Random, free_share: float = 0.2) -> list[Room]:
    """Draw the rooms of a busy fleet in which about `free_share` of the machines stay partly free.

    The other machines are filled until a drawn job no longer fits.
    """
    candidates = random_jobs(60, rng)
    result = []
    for number in range(machine_count):
        machine_type = rng.choice(MACHINE_TYPES)
        room = Room(
            f"i-{number:06d}",
            "",
            machine_type.name,
            rng.choice(machine_type.zones),
            rng.random() < 0.3,
            True,
            machine_type.cpus,
            0.0,
            machine_type.memory_gb,
            0,
            [f"img-{i}" for i in rng.sample(range(IMAGE_COUNT), CACHED_IMAGES)],
            math.inf,
            "host-1",
        )
        stays_partly_free = rng.random() < free_share
        while True:
            candidate = rng.choice(candidates)
            if candidate.kind == "daemon" and room.spot:
                candidate = candidates[1]
            count = min(capacity(candidate, room), rng.randint(1, 4))
            if count == 0 or (stays_partly_free and room.cpus < machine_type.cpus / 2):
                break
            room.allocate(candidate, count)
        result.append(room)
    return result


def build_index(rooms: list[Room]) -> Index:
    """Build the room index of controller `host-0` over the given rooms."""
    return Index("host-0", rooms)
