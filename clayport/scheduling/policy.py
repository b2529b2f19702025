"""Rules that keep tasks off machines on which they would fit.

The module does no I/O and reads no clock.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any, NamedTuple

from clayport.model import SERVICE, Job, MachineType, fits
from clayport.scheduling.requirements import EPSILON, MachineClass, requirements_key
from clayport.scheduling.room import Room

# A type is expensive if its price per task exceeds the cheapest type's by this factor. The
# factor exceeds the price differences between types of different size and is far below the
# extra price of GPUs.
EXPENSIVE_FACTOR = 3.0


class Policy:
    """Rules that keep tasks off machines on which they would fit.

    Tasks without GPUs leave room on GPU machines for the largest job that needs the GPUs,
    because that job fits nowhere else. Jobs that can wait avoid types that cost more than
    `EXPENSIVE_FACTOR` times the cheapest type and that no GPU job needs, so that these
    machines can be returned.

    Attributes:
        types: The machine types that can be rented.
        gpu_jobs: For each type with GPUs, the largest job that may need them.
        services: One service for each combination of CPUs and memory, the largest first.
    """

    def __init__(self, jobs: Iterable[Job], types: Iterable[MachineType]) -> None:
        self.types = list(types)
        jobs = list(jobs)
        self.gpu_jobs = largest_gpu_jobs(jobs, self.types)
        shapes = {(j.cpus, j.memory_gb): j for j in jobs if j.kind == SERVICE}
        self.services = [shapes[k] for k in sorted(shapes, reverse=True)]
        self._expensive_types: dict[tuple[Any, ...], set[str]] = {}
        self._fitting_types: dict[tuple[Any, ...], frozenset[str]] = {}
        self._requirements = {(j.cpus, j.gpus, j.memory_gb, j.kind == SERVICE) for j in jobs}

    def covers(self, job: Job) -> bool:
        """Return whether adding this job would leave the policy unchanged."""
        return (job.gpus == 0 and job.kind != SERVICE) or (
            job.cpus,
            job.gpus,
            job.memory_gb,
            job.kind == SERVICE,
        ) in self._requirements

    def is_equivalent(self, other: Policy) -> bool:
        """Return whether the other policy makes the same decision for every job and room."""
        return (
            self.types == other.types
            and [requirements_key(j) for j in self.services]
            == [requirements_key(j) for j in other.services]
            and {t: requirements_key(j) for t, j in self.gpu_jobs.items()}
            == {t: requirements_key(j) for t, j in other.gpu_jobs.items()}
        )

    def rejects(self, job: Job, room: Room) -> bool:
        """Return whether a task of the job would take room that a GPU job needs there."""
        gpu_job = self.protected_job(job, room)
        return gpu_job is not None and not room.fits_both_after_preemption(job, gpu_job)

    def protected_job(self, job: Job, room: Room) -> Job | None:
        """Return the GPU job for which a task of `job` has to leave room there, if any."""
        return self._protected_job_on(room) if job.gpus == 0 else None

    def _protected_job_on(self, room: MachineClass) -> Job | None:
        gpu_job = self.gpu_jobs.get(room.type)
        return gpu_job if gpu_job is not None and (gpu_job.spot or not room.spot) else None

    def excess_cpus(self, room: Room, machine_type: MachineType) -> float:
        """Return the CPUs that have to be freed before the type's protected GPU job fits.

        Only tasks without GPUs that the GPU job cannot preempt are counted. If these tasks
        take too much memory, the result is at least 1.

        Args:
            room: The room, with the resources in use.
            machine_type: The machine type of the room.
        """
        gpu_job = self._protected_job_on(room)
        if gpu_job is None:
            return 0.0
        cpus = memory_gb = 0.0
        for (rank, without_gpus), (used_cpus, _, used_gb) in room.used.items():
            if without_gpus and rank >= gpu_job.rank:
                cpus += used_cpus
                memory_gb += used_gb
        if memory_gb > machine_type.memory_gb - gpu_job.memory_gb + EPSILON:
            return max(1.0, cpus - machine_type.cpus + gpu_job.cpus)
        return max(0.0, cpus - machine_type.cpus + gpu_job.cpus - EPSILON)

    def fitting_types(self, job: Job) -> frozenset[str] | None:
        """Return the types whose empty machines hold a task of the job; None: not known."""
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
        """Return the types whose price per task of the job is far above the cheapest type's."""
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
        """Return whether the pool's machines are expensive for the job and no GPU job needs them.

        The result is the same for all machines of a pool.
        """
        return pool.type in self.expensive_types(job) and self._protected_job_on(pool) is None


def tasks_per_machine(job: Job, machine_type: MachineType) -> int:
    """Return how many tasks of the job an empty machine of the type holds."""
    bounds = [
        int((have + EPSILON) / need)
        for have, need in (
            (machine_type.cpus, job.cpus),
            (machine_type.gpus, job.gpus),
            (machine_type.memory_gb, job.memory_gb),
        )
        if need > 0
    ]
    return min(bounds, default=1)


def largest_gpu_jobs(jobs: Iterable[Job], types: Iterable[MachineType]) -> dict[str, Job]:
    """Return, for each type with GPUs, the GPU job with the most CPUs that fits the type."""
    found: dict[str, Job] = {}
    gpu_jobs = {(j.cpus, j.gpus, j.memory_gb): j for j in jobs if j.gpus > 0}.values()
    for machine_type in types:
        for job in gpu_jobs:
            if (
                machine_type.gpus > 0
                and fits(job, machine_type)
                and (machine_type.name not in found or job.cpus > found[machine_type.name].cpus)
            ):
                found[machine_type.name] = job
    return found


# The policy that keeps no tasks off any machine.
NO_POLICY = Policy((), ())


class LargeTaskReserve(NamedTuple):
    """A share of the machines that keep room for a large task.

    A smaller task may use such a machine only if a large task still fits beside it. A hash of
    the machines' names selects the machines, so all controllers select the same ones.

    Attributes:
        job: The job of the large tasks.
        share: The reserved share of the machines that can hold a large task, 0 to 1.
        types: The types whose empty machines hold a large task; None: not known.
    """

    job: Job
    share: float
    types: frozenset[str] | None

    def large_job_for(self, job: Job, room: Room) -> Job | None:
        """Return the job for which a task of `job` has to leave room there, if any."""
        large_job = self.job
        if (
            room.name_hash >= self.share
            or (self.types is not None and room.type not in self.types)
            or not room.allows(large_job)
            or not (
                large_job.cpus > job.cpus
                or large_job.gpus > job.gpus
                or large_job.memory_gb > job.memory_gb
            )
        ):
            return None
        return large_job
