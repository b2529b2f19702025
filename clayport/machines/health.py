"""Attributes task errors to the machine on which they occur or to the job that fails there."""

from __future__ import annotations

import logging

from clayport.machines.machine import Machine

log = logging.getLogger(__name__)

# The most jobs that are kept in each of `jobs_at_fault` and `healthy_jobs`.
MAX_JUDGED_JOBS = 1000
# A machine is unhealthy after errors of this many jobs, or after this many errors of one job
# that runs well on other machines.
UNHEALTHY_ERRORS = 2


class FaultRecord:
    """The verdicts of the jobs' leaders on the causes of errors.

    Attributes:
        jobs_at_fault: Jobs that cause their own errors, the oldest verdict first.
        healthy_jobs: Jobs that run well on other machines, the oldest verdict first.
    """

    def __init__(self) -> None:
        self.jobs_at_fault: dict[str, None] = {}
        self.healthy_jobs: dict[str, None] = {}

    def record(self, job: str, at_fault: bool) -> bool:
        """Record a verdict, and return whether the job is at fault for the first time."""
        same_verdict, other_verdict = (
            (self.jobs_at_fault, self.healthy_jobs)
            if at_fault
            else (self.healthy_jobs, self.jobs_at_fault)
        )
        other_verdict.pop(job, None)
        already_recorded = job in same_verdict
        same_verdict[job] = None
        while len(same_verdict) > MAX_JUDGED_JOBS:
            same_verdict.pop(next(iter(same_verdict)))
        return at_fault and not already_recorded

    def forget(self, job: str) -> None:
        """Drop the verdict on a job that has ended."""
        self.healthy_jobs.pop(job, None)
        self.jobs_at_fault.pop(job, None)

    def is_unhealthy(self, machine: Machine) -> bool:
        """Return whether the errors since a task last succeeded on a machine make it unhealthy.

        Either tasks of several jobs have failed on the machine, or tasks of one job have failed
        there repeatedly although the job runs well on other machines.
        """
        return bool(machine.errors) and (
            len(machine.errors) >= UNHEALTHY_ERRORS
            or any(
                count >= UNHEALTHY_ERRORS and job in self.healthy_jobs
                for job, count in machine.errors.items()
            )
        )

    def count_error(self, machine: Machine, job: str) -> None:
        """Count an error on a machine, unless the job is known to be at fault."""
        if job not in self.jobs_at_fault:
            machine.errors[job] = machine.errors.get(job, 0) + 1
        if self.is_unhealthy(machine):
            log_unhealthy(machine, job)


def log_unhealthy(machine: Machine, job: str) -> None:
    """Log that a machine is unhealthy, with the job whose error led to the decision."""
    log.info(
        "machine=%s job=%s event=machine-unhealthy errors=%d",
        machine.name,
        job,
        sum(machine.errors.values()),
    )
