"""The pools that can hold a job, and whether a search result is valid for equal jobs too."""

from __future__ import annotations

from collections.abc import Container

from clayport.model import Job
from clayport.scheduling.index import Index
from clayport.scheduling.policy import Policy
from clayport.scheduling.pools import Pool
from clayport.scheduling.spread import Spread


def usable_pools(
    job: Job, index: Index, spread: Spread, policy: Policy, avoid_expensive: bool
) -> list[Pool]:
    """Return the pools that may hold a task of the job.

    Only properties that all machines of a pool share are checked.

    Args:
        job: The job to place.
        index: The rooms of all machines.
        spread: The zones of the job's other tasks.
        policy: The placement policy.
        avoid_expensive: Whether to skip expensive machines.
    """
    fitting_types = policy.fitting_types(job)
    zones_matter = job.one_zone or job.spread
    return [
        pool
        for pool in index.allowed(job)
        if (fitting_types is None or pool.type in fitting_types)
        and (not zones_matter or spread.allows(pool.zone))
        and not (avoid_expensive and policy.expensive(job, pool))
    ]


def is_cacheable(job: Job, index: Index, spread: Spread, excluded: Container[str]) -> bool:
    """Return whether a search result is valid for all jobs with the same requirements."""
    return (
        not excluded
        and job.id not in index.reserved_jobs
        and not spread.counts
        and not spread.unknown
    )
