"""Checks whether a job can ever run, and computes its use of its team's quota."""

from __future__ import annotations

from collections.abc import Iterable

from clayport.model import ARRAY, GANG, Job, MachineType, fits

# How far an amount may exceed a limit, so that a rounding error of floats causes no refusal.
TOLERANCE = 1e-6


def quota_usage(job: Job, count: int) -> tuple[float, float]:
    """Return the CPUs and GPUs that `count` tasks of a job take of their team's quota."""
    return job.cpus * count, job.gpus * count


def is_metered(limit: tuple[float, float], cpus: float, gpus: float) -> bool:
    """Return whether an amount counts against a limit, so that the usage has to be recorded.

    Args:
        limit: The team's limits in CPUs and GPUs; 0 means that there is none.
        cpus: The CPUs of the amount.
        gpus: The GPUs of the amount.
    """
    return bool((limit[0] > 0 and cpus) or (limit[1] > 0 and gpus))


def can_be_placed(job: Job, types: Iterable[MachineType]) -> bool:
    """Return whether machines of the given types can run the job.

    A task has to fit a machine type in a zone that the job allows. A gang that must be
    spread over zones needs more than one such zone, because all its tasks run at once.
    """
    zones = {
        zone for kind in types if fits(job, kind) for zone in kind.zones if job.zone in (None, zone)
    }
    if job.kind == GANG and job.spread and job.tasks > 1:
        return len(zones) > 1 and not job.one_zone
    return bool(zones)


def can_ever_run(job: Job, limit: tuple[float, float]) -> bool:
    """Return whether the team's limits allow the job to run at all.

    An array needs quota for one task at a time, a gang or a service for all of its tasks.

    Args:
        job: The job's description.
        limit: The team's limits in CPUs and GPUs; 0 means that there is none.
    """
    cpus, gpus = quota_usage(job, 1 if job.kind == ARRAY else job.tasks)
    return not (0 < limit[0] < cpus - TOLERANCE or 0 < limit[1] < gpus - TOLERANCE)
