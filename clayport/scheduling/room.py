"""The free resources of one machine, as the cached state shows them."""

from __future__ import annotations

import math
from collections.abc import Iterable
from typing import Protocol

from clayport.model import RANKS, Job
from clayport.scheduling.requirements import EPSILON, allows

# The capacity of a room for tasks that request no resources.
MAX_TASKS = 10**6

Level = tuple[bool, float]  # whether GPUs are free, minus the CPUs of replicas
Entry = tuple[float, float, str]  # sum of free CPUs and GPUs, tie breaker, machine
SortKey = tuple[Level, Entry]


class ChangeListener(Protocol):
    """An observer that is notified before a room changes."""

    def note_change(self, room: Room) -> None:
        """Record that the room is about to change."""


class Room:
    """A machine's free resources as the cached state shows them.

    A placement subtracts the resources of its tasks at once. The machine's next report replaces
    the room.

    Attributes:
        open: Whether the machine takes new tasks.
        on_probation: Whether the machine is not open, but takes one task, which shows whether the
            machine has recovered from a fault.
        cpus: Free CPUs.
        gpus: Free GPUs.
        memory_gb: Free memory in GB.
        tasks: The number of tasks on the machine.
        backfill_tasks: The number of tasks of the lowest rank without an objective. A machine
            with only such tasks counts as idle.
        images: The images that the machine has cached.
        idle_since: The monotonic time at which the machine became idle, in seconds; infinite
            while the machine is not idle.
        owner: The controller to which the machine's worker reports.
        used: The CPUs, GPUs and memory in use, by preemption rank (`Job.preemption_rank`) and
            whether the tasks use no GPUs.
        reserved_for: The job for which the room is reserved after a preemption ("": none).
        index: The listener that is notified of changes.
        tie_breaker: A hash, salted by controller, that orders otherwise equal machines.
        name_hash: A hash of the machine's name in [0, 1), the same at all controllers.
        sort_key: The cached sort key within the pool; None if it has to be recomputed.
    """

    __slots__ = (
        "address",
        "backfill_tasks",
        "cpus",
        "gpus",
        "idle_since",
        "images",
        "index",
        "machine",
        "memory_gb",
        "name_hash",
        "on_probation",
        "open",
        "owner",
        "reserved_for",
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
        self.spot, self.open, self.on_probation = spot, open, False
        self.cpus, self.gpus, self.memory_gb = cpus, gpus, memory_gb
        self.tasks, self.images = tasks, dict.fromkeys(images)
        self.idle_since, self.owner = idle_since, owner
        self.backfill_tasks = 0 if idle_since == math.inf else tasks
        self.reserved_for = ""
        self.index: ChangeListener | None = None
        self.tie_breaker = 0.0
        self.name_hash = 1.0
        self.sort_key: SortKey | None = None
        self.used = {(rank, without_gpus): [c, g, m] for rank, without_gpus, c, g, m in used}

    def copy(self) -> Room:
        """Return a copy that belongs to no index, so that tasks can be allocated in it alone."""
        other = Room.__new__(Room)
        other.machine, other.address, other.type = self.machine, self.address, self.type
        other.zone, other.spot, other.owner = self.zone, self.spot, self.owner
        other.images, other.idle_since, other.reserved_for = (
            self.images,
            self.idle_since,
            self.reserved_for,
        )
        other.tie_breaker, other.name_hash = self.tie_breaker, self.name_hash
        other.index = other.sort_key = None
        other.restore(self)
        return other

    def restore(self, other: Room) -> None:
        """Restore all fields that placement and preemption change from a copy of the room."""
        self.open, self.on_probation = other.open, other.on_probation
        self.cpus, self.gpus = other.cpus, other.gpus
        self.memory_gb, self.tasks = other.memory_gb, other.tasks
        self.backfill_tasks = other.backfill_tasks
        self.used = {k: list(v) for k, v in other.used.items()}

    def close(self) -> None:
        """Accept no further tasks until a report replaces the room."""
        if self.index is not None:
            self.index.note_change(self)
        self.open = self.on_probation = False

    def allows(self, job: Job) -> bool:
        """Return whether the job's requirements for type, zone and spot allow the machine."""
        return allows(job, self)

    def fits(self, job: Job) -> bool:
        """Return whether the room is open to the job and a task of it fits the free resources."""
        return self.open and self._has_resources(job)

    def fits_probe(self, job: Job) -> bool:
        """Return whether the machine is on probation and a task fits the free resources."""
        return self.on_probation and self._has_resources(job)

    def _has_resources(self, job: Job) -> bool:
        """Return whether a task of the job fits the free resources, which may be reserved."""
        return (
            self.reserved_for in ("", job.id)
            and self.cpus + EPSILON >= job.cpus
            and self.gpus + EPSILON >= job.gpus
            and self.memory_gb + EPSILON >= job.memory_gb
        )

    def allocate(self, job: Job, count: int = 1) -> None:
        """Subtract the resources of `count` tasks of the job (negative: release them)."""
        if self.index is not None:
            self.index.note_change(self)
        cpus, gpus, memory_gb = job.cpus * count, job.gpus * count, job.memory_gb * count
        self.cpus -= cpus
        self.gpus -= gpus
        self.memory_gb -= memory_gb
        self.tasks += count
        preemption_rank = job.preemption_rank
        if preemption_rank < 0:
            self.backfill_tasks += count
        taken = self.used.setdefault((preemption_rank, job.gpus == 0), [0.0, 0.0, 0.0])
        taken[0] += cpus
        taken[1] += gpus
        taken[2] += memory_gb

    def fits_both(self, job: Job, other: Job) -> bool:
        """Return whether a task of `job` leaves enough free resources for one of `other`."""
        return (
            self.cpus - job.cpus + EPSILON >= other.cpus
            and self.gpus - job.gpus + EPSILON >= other.gpus
            and self.memory_gb - job.memory_gb + EPSILON >= other.memory_gb
        )

    def fits_both_after_preemption(self, job: Job, gpu_job: Job) -> bool:
        """Return whether a task of `job` leaves room for a later task of `gpu_job`.

        The check assumes that all other tasks with GPUs have ended by then, and that tasks of
        a lower rank than `gpu_job` have been preempted.
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
        """Whether the machine has no tasks except `backfill_tasks`."""
        return self.tasks <= self.backfill_tasks

    @property
    def backfill_cpus(self) -> float:
        """The CPUs used by tasks of the lowest rank without an objective."""
        return sum(used[0] for (rank, _), used in self.used.items() if rank < 0)

    @property
    def replica_cpus(self) -> float:
        """The CPUs used by replicas, which keep the machine rented in any case."""
        return self.used.get((RANKS["production"], True), [0.0])[0]

    def preemption_cost(self, job: Job) -> tuple[int, float] | None:
        """Return the cost of preempting enough tasks to make room for one task of the job.

        Returns:
            The highest preemption rank that would have to be stopped, and the sum of the CPUs
            and GB of memory that the task lacks now; None if stopping all tasks of lower rank
            would not be enough.
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
        """Return how many tasks of the job fit after ranks up to `highest_rank` are preempted."""
        room = self.copy()
        for (rank, _), (cpus, gpus, memory_gb) in self.used.items():
            if rank <= highest_rank and rank < job.rank:
                room.cpus += cpus
                room.gpus += gpus
                room.memory_gb += memory_gb
        return capacity(job, room)


def capacity(job: Job, room: Room) -> int:
    """Return how many tasks of the job fit into the room's free resources."""
    bounds = [MAX_TASKS]
    for have, need in (
        (room.cpus, job.cpus),
        (room.gpus, job.gpus),
        (room.memory_gb, job.memory_gb),
    ):
        if need > 0:
            bounds.append(int((have + EPSILON) / need))
    return max(0, min(bounds))
