"""Which pools can hold a job, and whether the answer holds for every job of its shape."""

from __future__ import annotations

from collections.abc import Container

from clayport.model import Job
from clayport.scheduling.index import Index, Pool
from clayport.scheduling.policy import Policy
from clayport.scheduling.spread import Spread


def usable_pools(
    job: Job, index: Index, spread: Spread, policy: Policy, can_wait: bool
) -> list[Pool]:
    """The pools that may hold a task of the job, by what is the same for all of a pool.

    Args:
        job: The job that wants room.
        index: The rooms.
        spread: The zones of its other tasks.
        policy: What keeps work off machines.
        can_wait: Whether the job keeps off expensive machines.
    """
    fitting_types = policy.fitting_types(job)
    zones_matter = job.one_zone or job.spread
    return [
        pool
        for pool in index.allowed(job)
        if (fitting_types is None or pool.type in fitting_types)
        and (not zones_matter or spread.allows(pool.zone))
        and not (can_wait and policy.expensive(job, pool))
    ]


def is_cacheable(job: Job, index: Index, spread: Spread, without: Container[str]) -> bool:
    """Whether the answer is the same for every job of the shape, so that it can be cached."""
    return not without and job.id not in index.held and not spread.counts and not spread.unknown
