"""The queue of the jobs that a controller leads, as its settings make it."""

from __future__ import annotations

import math
from collections.abc import Callable, Iterable, Mapping

from clayport.jobs.managed_job import ManagedJob
from clayport.scheduling.objectives import Objectives
from clayport.scheduling.queueing import FairShares, JobQueue
from clayport.settings import Team

# Leases that work without an objective can wait before it is owed a fair share.
DEFAULT_WAIT_LEASES = 40.0


def job_queue(
    managed: Callable[[], Mapping[str, ManagedJob]],
    objectives: Objectives,
    teams: Iterable[Team],
    lease_s: float,
) -> JobQueue:
    """Build the queue of the jobs that a controller leads.

    Args:
        managed: Tells the jobs by their ids.
        objectives: The objectives of each class.
        teams: Teams with a guarantee are owed a share of room like classes.
        lease_s: A worker's lease, in seconds.
    """
    wait, finish = objectives.wait_limits, objectives.finish_limits
    tolerated_wait_s = {
        name: min(wait.get(name, math.inf), finish.get(name, math.inf) / 2)
        for name in {*wait, *finish}
    }
    guaranteed = [
        ("team", gpus, team.name)
        for team in teams
        for gpus in (False, True)
        if (team.gpus if gpus else team.cpus) > 0
    ]
    return JobQueue(
        managed,
        objectives.finish_all,
        wait,
        FairShares(tolerated_wait_s, DEFAULT_WAIT_LEASES * lease_s, guaranteed),
        objectives.deadline_times,
    )
