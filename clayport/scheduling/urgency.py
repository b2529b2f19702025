"""The urgency of a job, from the objectives of its class and its own deadline."""

from __future__ import annotations

from collections.abc import Iterable

import msgspec

from clayport.model import SERVICE, Job, JobDescription
from clayport.scaling.demand import ESTIMATE_FACTOR, slack_s, time_left_s
from clayport.scheduling.objectives import Objectives
from clayport.settings import Objective


class SchedulingObjectives(Objectives):
    """The objectives by class, and the decisions about a job that follow from them.

    Attributes:
        patience_s: Jobs with more slack than this avoid expensive machines.
        classes_with_wait_limit: The classes whose jobs should start within a time.
    """

    def __init__(self, objectives: Iterable[Objective], patience_s: float) -> None:
        super().__init__(objectives)
        self.patience_s = patience_s
        self.classes_with_wait_limit = set(self.wait_limits)

    def job_from_description(self, description: JobDescription) -> Job:
        """Return the job of a description, with the flag whether no objective applies to it."""
        without_objective = (
            description.deadline_s is None and description.job_class not in self.classes
        )
        return Job(
            **{**msgspec.structs.asdict(description), "without_objective": without_objective}
        )

    def can_wait(self, job: Job, age_s: float) -> bool:
        """Return whether the job can wait for a machine that isn't expensive.

        Jobs without an objective can always wait. `slack_s` treats a job without a limit as late,
        so without this rule the most expensive machines, at eighteen times the price, were
        rented for such jobs.
        """
        return job.kind != SERVICE and (
            job.without_objective or slack_s(job, age_s, self.finish_limits) > self.patience_s
        )

    def avoid_spot(self, job: Job, age_s: float) -> bool:
        """Return whether the job would be late if the cloud reclaimed one of its spot machines.

        This concerns jobs without checkpoints, whose lost tasks start from the beginning. A
        quarter of such arrays was late because of a few restarted tasks. An array of eighty
        tasks on ten spot machines often loses at least one task.
        """
        return (
            job.spot
            and job.checkpoint_s == 0
            and time_left_s(job, age_s, self.finish_limits) < ESTIMATE_FACTOR * job.estimate_s
        )
