"""The requirements of a task: its constraints on machines, and its resources."""

from __future__ import annotations

from typing import Any, Protocol

from clayport.model import Job

# Amounts of resources that differ by less than this are considered equal.
EPSILON = 1e-6


class MachineClass(Protocol):
    """The properties that a machine shares with all machines of its pool."""

    @property
    def type(self) -> str:
        """The name of the machine type."""

    @property
    def zone(self) -> str:
        """The zone in which the machine is."""

    @property
    def spot(self) -> bool:
        """Whether it is a spot machine, which the cloud may take back."""


def allows(job: Job, pool: MachineClass) -> bool:
    """Return whether the job's requirements for type, zone and spot allow the pool's machines."""
    return (
        (job.types is None or pool.type in job.types)
        and (job.spot or not pool.spot)
        and (job.zone is None or job.zone == pool.zone)
    )


def requirements_key(job: Job) -> tuple[Any, ...]:
    """Return a key that is equal for jobs whose tasks have the same requirements."""
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
