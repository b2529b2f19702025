"""The free resources of one machine, as the cached state shows them."""

from __future__ import annotations

import math
from collections.abc import Iterable
from typing import Protocol

from clayport.model import RANKS, Job
from clayport.scheduling.requirements import EPSILON, allows

# The capacity for tasks that ask for nothing.
MAX_TASKS = 10**6

Level = tuple[bool, float]  # whether GPUs are free, minus the CPUs that replicas hold
Entry = tuple[float, float, str]  # CPUs and GPUs left, tie breaker, machine
SortKey = tuple[Level, Entry]


class ChangeListener(Protocol):
    """Whoever has to know of a room's changes before they are made."""

    def touch(self, room: Room) -> None:
        """Note that the room is about to change."""


class Room:
    """A machine's free resources as the cached state shows them.

    Placements subtract from them at once; the next report of the machine replaces them.

    Attributes:
        open: Whether the machine takes new tasks.
        cpus: Free CPUs; `gpus` and `memory_gb` likewise.
        tasks: How many tasks the machine has.
        backfill_tasks: How many of them have no objective: they alone leave it idle.
        images: The images that the machine has cached.
        idle_since: When it became idle; infinite while it is not.
        owner: The controller that decides on the machine.
        used: What is taken, by the rank as it counts for preemption and whether the tasks
            use no GPUs: CPUs, GPUs and memory.
        hold: The job for which preemption has made room here ("": none).
        index: Who is told of changes.
        tie_breaker: A hash, salted by controller, that orders otherwise equal machines.
        name_hash: A hash of the name, the same at all controllers, below 1.
        sort_key: The place among the pool's rooms, while that is known.
    """

    __slots__ = (
        "address",
        "backfill_tasks",
        "cpus",
        "gpus",
        "hold",
        "idle_since",
        "images",
        "index",
        "machine",
        "memory_gb",
        "name_hash",
        "open",
        "owner",
        "sort_key",
        "spot",
        "tasks",
        "tie_breaker",
        "type",
        "used",
        "zone",
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
        self.idle_since, self.owner = idle_since, owner
        self.backfill_tasks = 0 if idle_since == math.inf else tasks
        self.hold = ""
        self.index: ChangeListener | None = None
        self.tie_breaker = 0.0
        self.name_hash = 1.0
        self.sort_key: SortKey | None = None
        self.used = {(rank, plain): [c, g, m] for rank, plain, c, g, m in used}

    def copy(self) -> Room:
        """Return a copy that no index knows, for trials that charge the rooms they use."""
        other = Room.__new__(Room)
        other.machine, other.address, other.type = self.machine, self.address, self.type
        other.zone, other.spot, other.owner = self.zone, self.spot, self.owner
        other.images, other.idle_since, other.hold = self.images, self.idle_since, self.hold
        other.tie_breaker, other.name_hash = self.tie_breaker, self.name_hash
        other.index = other.sort_key = None
        other.restore(self)
        return other

    def restore(self, other: Room) -> None:
        """Take over all that changes in a room from a copy of it."""
        self.open, self.cpus, self.gpus = other.open, other.cpus, other.gpus
        self.memory_gb, self.tasks = other.memory_gb, other.tasks
        self.backfill_tasks = other.backfill_tasks
        self.used = {k: list(v) for k, v in other.used.items()}

    def close(self) -> None:
        """Take nothing more until the room is renewed."""
        if self.index is not None:
            self.index.touch(self)
        self.open = False

    def allows(self, job: Job) -> bool:
        """Whether the job's own conditions allow the machine: type, zone and spot or not."""
        return allows(job, self)

    def fits(self, job: Job) -> bool:
        """Whether a task of the job fits what is free now."""
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
            self.backfill_tasks += count
        taken = self.used.setdefault((standing, job.gpus == 0), [0.0, 0.0, 0.0])
        taken[0] += cpus
        taken[1] += gpus
        taken[2] += memory_gb

    def fits_both(self, job: Job, other: Job) -> bool:
        """Whether a task of `job` leaves room for one of `other` as the machine is now."""
        return (
            self.cpus - job.cpus + EPSILON >= other.cpus
            and self.gpus - job.gpus + EPSILON >= other.gpus
            and self.memory_gb - job.memory_gb + EPSILON >= other.memory_gb
        )

    def fits_both_after_preemption(self, job: Job, gpu_job: Job) -> bool:
        """Whether a task of `job` leaves room for a later one of `gpu_job`.

        By then other tasks with GPUs have ended, and work of lower rank than `gpu_job` has
        been preempted.
        """
        cpus, memory_gb = self.cpus - job.cpus, self.memory_gb - job.memory_gb
        if job.rank < gpu_job.rank:
            cpus, memory_gb = self.cpus, self.memory_gb
        for (rank, without_gpus), (used_cpus, _, used_gb) in self.used.items():
            if not without_gpus or rank < gpu_job.rank:
                cpus += used_cpus
                memory_gb += used_gb
        return cpus + EPSILON >= gpu_job.cpus and memory_gb + EPSILON >= gpu_job.memory_gb

    @property
    def idle(self) -> bool:
        """Whether no task but those without an objective is here."""
        return self.tasks <= self.backfill_tasks

    @property
    def backfill_cpus(self) -> float:
        """The CPUs that work without an objective holds here."""
        return sum(used[0] for (rank, _), used in self.used.items() if rank < 0)

    @property
    def replica_cpus(self) -> float:
        """The CPUs that replicas hold: the machine stays for them anyway."""
        return self.used.get((RANKS["production"], True), [0.0])[0]

    def preemption_cost(self, job: Job) -> tuple[int, float] | None:
        """What has to be stopped to make room for one task of the job.

        Returns:
            The highest rank that would have to be stopped, and how much of the task's CPUs
            and memory isn't free yet; None where stopping work of lower rank isn't enough.
        """
        limit = job.rank
        lower = [key for key in self.used if key[0] < limit]
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

    def capacity_after_preemption(self, job: Job, highest_rank: int) -> int:
        """How many tasks of the job fit once work of ranks up to `highest_rank` is stopped."""
        room = self.copy()
        for (rank, _), (cpus, gpus, memory_gb) in self.used.items():
            if rank <= highest_rank and rank < job.rank:
                room.cpus += cpus
                room.gpus += gpus
                room.memory_gb += memory_gb
        return capacity(job, room)


def capacity(job: Job, room: Room) -> int:
    """How many tasks of the job fit into the room."""
    bounds = [MAX_TASKS]
    for have, need in (
        (room.cpus, job.cpus),
        (room.gpus, job.gpus),
        (room.memory_gb, job.memory_gb),
    ):
        if need > 0:
            bounds.append(int((have + EPSILON) / need))
    return max(0, min(bounds))
