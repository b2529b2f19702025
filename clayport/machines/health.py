"""Whether errors on a machine are held against it or against the jobs that fail there."""

from __future__ import annotations

import logging

from clayport.machines.machine import Machine

log = logging.getLogger(__name__)

# Jobs of which is remembered whose fault their errors were.
MAX_JUDGED_JOBS = 1000
# Errors of a job that runs well elsewhere, or jobs with errors, that make a machine unhealthy.
UNHEALTHY_ERRORS = 2


class FaultRecord:
    """The jobs' leaders' verdicts on errors.

    Attributes:
        failing_jobs: Jobs that fail by their own fault, the oldest verdict first.
        healthy_jobs: Jobs that run well elsewhere, the oldest verdict first.
    """

    def __init__(self) -> None:
        self.failing_jobs: dict[str, None] = {}
        self.healthy_jobs: dict[str, None] = {}

    def record(self, job: str, at_fault: bool) -> bool:
        """Take a verdict; whether the job is found at fault that was not before."""
        here, there = (
            (self.failing_jobs, self.healthy_jobs)
            if at_fault
            else (self.healthy_jobs, self.failing_jobs)
        )
        there.pop(job, None)
        known = job in here
        here[job] = None
        while len(here) > MAX_JUDGED_JOBS:
            here.pop(next(iter(here)))
        return at_fault and not known

    def forget(self, job: str) -> None:
        """Drop the verdict on a job that is over."""
        self.healthy_jobs.pop(job, None)
        self.failing_jobs.pop(job, None)

    def is_unhealthy(self, machine: Machine) -> bool:
        """Whether a machine is at fault, by the errors since work last succeeded there.

        It fails the work of several jobs, or again and again that of one that runs well
        elsewhere, and completes none.
        """
        return bool(machine.errors) and (
            len(machine.errors) >= UNHEALTHY_ERRORS
            or any(
                count >= UNHEALTHY_ERRORS and job in self.healthy_jobs
                for job, count in machine.errors.items()
            )
        )

    def count_error(self, machine: Machine, job: str) -> None:
        """Count a failure on a machine, unless the job is known to be at fault."""
        if job not in self.failing_jobs:
            machine.errors[job] = machine.errors.get(job, 0) + 1
        if self.is_unhealthy(machine):
            log_unhealthy(machine, job)


def log_unhealthy(machine: Machine, job: str) -> None:
    """Log that a machine is found unhealthy, with the job whose error has shown it."""
    log.info(
        "machine=%s job=%s event=machine-unhealthy errors=%d",
        machine.name,
        job,
        sum(machine.errors.values()),
    )
