"""What keeps work off machines that have the free resources for it. Pure: no I/O, no clock."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any, NamedTuple

from clayport.model import SERVICE, Job, MachineType, fits
from clayport.scheduling.requirements import EPSILON, MachineClass, shape
from clayport.scheduling.room import Room

# How much above the cheapest type's price a type is expensive: beyond what types of
# different size differ by, well below what GPUs add.
EXPENSIVE_FACTOR = 3.0


class Policy:
    """What keeps work off machines that it would fit.

    Work without GPUs leaves room on machines with GPUs for the largest job that needs them,
    since that fits nowhere else. Work that can wait keeps off types that cost
    `EXPENSIVE_FACTOR` times what it would cost elsewhere and that no job with GPUs needs, so
    that they can be returned.

    Attributes:
        types: The machine types that can be rented.
        gpu_jobs: For each type with GPUs, the largest job that may need them.
        services: One service of each shape, the largest first.
    """

    def __init__(self, jobs: Iterable[Job], types: Iterable[MachineType]) -> None:
        self.types = list(types)
        jobs = list(jobs)
        self.gpu_jobs = largest_gpu_jobs(jobs, self.types)
        shapes = {(j.cpus, j.memory_gb): j for j in jobs if j.kind == SERVICE}
        self.services = [shapes[k] for k in sorted(shapes, reverse=True)]
        self._expensive_types: dict[tuple[Any, ...], set[str]] = {}
        self._fitting_types: dict[tuple[Any, ...], frozenset[str]] = {}
        self._shapes = {(j.cpus, j.gpus, j.memory_gb, j.kind == SERVICE) for j in jobs}

    def covers(self, job: Job) -> bool:
        """Whether the policy would be the same with this job among those it was made from."""
        return (job.gpus == 0 and job.kind != SERVICE) or (
            job.cpus,
            job.gpus,
            job.memory_gb,
            job.kind == SERVICE,
        ) in self._shapes

    def same(self, other: Policy) -> bool:
        """Whether the other policy decides the same for every job and room."""
        return (
            self.types == other.types
            and [shape(j) for j in self.services] == [shape(j) for j in other.services]
            and {t: shape(j) for t, j in self.gpu_jobs.items()}
            == {t: shape(j) for t, j in other.gpu_jobs.items()}
        )

    def rejects(self, job: Job, room: Room) -> bool:
        """Whether a task of the job would take what a job with GPUs needs there."""
        gpu_job = self.protected_job(job, room)
        return gpu_job is not None and not room.fits_both_after_preemption(job, gpu_job)

    def protected_job(self, job: Job, room: Room) -> Job | None:
        """The job with GPUs that a task of this one has to leave room for there, if any."""
        return self._protected_job_on(room) if job.gpus == 0 else None

    def _protected_job_on(self, room: MachineClass) -> Job | None:
        gpu_job = self.gpu_jobs.get(room.type)
        return gpu_job if gpu_job is not None and (gpu_job.spot or not room.spot) else None

    def blocked(self, room: Room, kind: MachineType) -> float:
        """The CPUs by which work that isn't preempted exceeds what the type's job with GPUs leaves.

        Args:
            room: The machine, with the work that it has.
            kind: Its type.
        """
        gpu_job = self._protected_job_on(room)
        if gpu_job is None:
            return 0.0
        cpus = memory_gb = 0.0
        for (rank, without_gpus), (used_cpus, _, used_gb) in room.used.items():
            if without_gpus and rank >= gpu_job.rank:
                cpus += used_cpus
                memory_gb += used_gb
        if memory_gb > kind.memory_gb - gpu_job.memory_gb + EPSILON:
            return max(1.0, cpus - kind.cpus + gpu_job.cpus)
        return max(0.0, cpus - kind.cpus + gpu_job.cpus - EPSILON)

    def fitting_types(self, job: Job) -> frozenset[str] | None:
        """The types of which an empty machine holds a task of the job; None: not known."""
        if not self.types:
            return None
        key = (job.cpus, job.gpus, job.memory_gb)
        found = self._fitting_types.get(key)
        if found is None:
            found = self._fitting_types[key] = frozenset(
                t.name
                for t in self.types
                if job.cpus <= t.cpus + EPSILON
                and job.gpus <= t.gpus + EPSILON
                and job.memory_gb <= t.memory_gb + EPSILON
            )
        return found

    def expensive_types(self, job: Job) -> set[str]:
        """The types whose price per task of the job is far above the cheapest one's."""
        key = (job.cpus, job.gpus, job.memory_gb, tuple(job.types or ()), job.zone)
        found = self._expensive_types.get(key)
        if found is None:
            cost = {
                t.name: t.price / tasks
                for t in self.types
                if fits(job, t) and (tasks := tasks_per_machine(job, t)) > 0
            }
            least = min(cost.values(), default=0.0)
            found = self._expensive_types[key] = {
                n for n, c in cost.items() if c > EXPENSIVE_FACTOR * least
            }
        return found

    def expensive(self, job: Job, pool: MachineClass) -> bool:
        """Whether the pool's machines are expensive for the job, and no job with GPUs needs them.

        The same for all machines of a pool.
        """
        return pool.type in self.expensive_types(job) and self._protected_job_on(pool) is None


def tasks_per_machine(job: Job, kind: MachineType) -> int:
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


def largest_gpu_jobs(jobs: Iterable[Job], types: Iterable[MachineType]) -> dict[str, Job]:
    """For each type with GPUs, the job with the most CPUs of those that need GPUs and fit it."""
    found: dict[str, Job] = {}
    gpu_jobs = {(j.cpus, j.gpus, j.memory_gb): j for j in jobs if j.gpus > 0}.values()
    for kind in types:
        for job in gpu_jobs:
            if (
                kind.gpus > 0
                and fits(job, kind)
                and (kind.name not in found or job.cpus > found[kind.name].cpus)
            ):
                found[kind.name] = job
    return found


# Keeps no work off any machine.
NO_POLICY = Policy((), ())


class LargeTaskReserve(NamedTuple):
    """A share of the machines is kept free of smaller tasks that leave a large one no room.

    They are the same machines at all controllers, by a hash of their names.

    Attributes:
        job: The job of the large tasks.
        share: The share of the machines that can hold one of them, 0 to 1.
        types: The types of which an empty machine holds one; None where that isn't known.
    """

    job: Job
    share: float
    types: frozenset[str] | None

    def against(self, job: Job, room: Room) -> Job | None:
        """The job that a task of `job` has to leave room for there, if any."""
        large = self.job
        if (
            room.name_hash >= self.share
            or (self.types is not None and room.type not in self.types)
            or not room.allows(large)
            or not (
                large.cpus > job.cpus or large.gpus > job.gpus or large.memory_gb > job.memory_gb
            )
        ):
            return None
        return large
