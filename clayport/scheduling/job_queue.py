"""Construction of the job queue of a controller from its settings."""

from __future__ import annotations

import math
from collections.abc import Callable, Iterable, Mapping

from clayport.jobs.managed_job import ManagedJob
from clayport.scheduling.objectives import Objectives
from clayport.scheduling.queueing import FairShares, JobQueue
from clayport.settings import Team

# The tolerated wait of jobs without an objective and of teams, in worker leases. Fair shares
# grow with the ratio of the actual wait to the tolerated wait.
DEFAULT_WAIT_LEASES = 40.0


def build_job_queue(
    managed_jobs: Callable[[], Mapping[str, ManagedJob]],
    objectives: Objectives,
    teams: Iterable[Team],
    lease_s: float,
) -> JobQueue:
    """Build the queue of the jobs that a controller leads.

    Args:
        managed_jobs: Returns the controller's jobs by id.
        objectives: The objectives of each class.
        teams: The teams. A team with a guarantee has no fair share, because it claims its
            guarantee instead.
        lease_s: A worker's lease, in seconds.
    """
    wait_limits, finish_limits = objectives.wait_limits, objectives.finish_limits
    tolerated_wait_s = {
        name: min(wait_limits.get(name, math.inf), finish_limits.get(name, math.inf) / 2)
        for name in {*wait_limits, *finish_limits}
    }
    guaranteed = [
        ("team", gpus, team.name)
        for team in teams
        for gpus in (False, True)
        if (team.gpus if gpus else team.cpus) > 0
    ]
    return JobQueue(
        managed_jobs,
        objectives.all_finish_limits,
        wait_limits,
        FairShares(tolerated_wait_s, DEFAULT_WAIT_LEASES * lease_s, guaranteed),
        objectives.deadline_multiples,
    )
