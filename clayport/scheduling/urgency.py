"""How urgent a job is, by the objectives of its class and its own deadline."""

from __future__ import annotations

from collections.abc import Iterable

import msgspec

from clayport.model import SERVICE, Description, Job
from clayport.scaling.demand import LINE, slack_s, time_left_s
from clayport.scheduling.objectives import Objectives
from clayport.settings import Objective


class SchedulingObjectives(Objectives):
    """The objectives by class, and what they say of a job.

    Attributes:
        patience_s: Work with more slack than this keeps off expensive machines.
        urgent: The classes that are to start within a time.
    """

    def __init__(self, objectives: Iterable[Objective], patience_s: float) -> None:
        super().__init__(objectives)
        self.patience_s = patience_s
        self.urgent = set(self.wait_limits)

    def with_objectives(self, description: Description) -> Job:
        """The job, with whether anybody has said when it is to be started or finished."""
        without_objective = (
            description.deadline_s is None and description.job_class not in self.classes
        )
        return Job(
            **{**msgspec.structs.asdict(description), "without_objective": without_objective}
        )

    def can_wait(self, job: Job, age_s: float) -> bool:
        """Whether the job can wait for a machine that isn't expensive.

        Work without any objective always can: it once had the most expensive machines rented,
        at eighteen times the price, since what has no limit was taken for late.
        """
        return job.kind != SERVICE and (
            job.without_objective or slack_s(job, age_s, self.finish_limits) > self.patience_s
        )

    def avoid_spot(self, job: Job, age_s: float) -> bool:
        """Whether the job would be late if a machine under it were taken back.

        Of arrays that don't save, a quarter was late because of a few tasks begun anew:
        of eighty tasks on ten spot machines one is lost more often than one thinks.
        """
        return (
            job.spot
            and job.checkpoint_s == 0
            and time_left_s(job, age_s, self.finish_limits) < LINE * job.estimate_s
        )
