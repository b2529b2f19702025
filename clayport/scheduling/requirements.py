"""What a task asks of a machine: its conditions and its resources."""

from __future__ import annotations

from typing import Any, Protocol

from clayport.model import Job

# Amounts of resources that differ by less are taken as equal.
EPSILON = 1e-6


class MachineClass(Protocol):
    """What a machine has in common with all of its pool."""

    @property
    def type(self) -> str:
        """The name of the machine type."""

    @property
    def zone(self) -> str:
        """The zone that the machine is in."""

    @property
    def spot(self) -> bool:
        """Whether the cloud may take the machine back."""


def allows(job: Job, pool: MachineClass) -> bool:
    """Whether the job's own conditions allow the pool's machines: type, zone and spot or not."""
    return (
        (job.types is None or pool.type in job.types)
        and (job.spot or not pool.spot)
        and (job.zone is None or job.zone == pool.zone)
    )


def shape(job: Job) -> tuple[Any, ...]:
    """A key that is equal for jobs whose tasks can run on the same machines in the same way."""
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
