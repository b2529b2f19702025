"""Attributes task errors to the machine on which they occur or to the job that fails there.

A machine to which several errors are attributed is unhealthy. `machines.quarantine` describes how
it is used until it has recovered.
"""

from __future__ import annotations

import logging

from clayport.machines.machine import Machine, TaskKey
from clayport.machines.quarantine import quarantine_s

log = logging.getLogger(__name__)

# The most jobs that are kept in each of `jobs_at_fault` and `healthy_jobs`.
MAX_JUDGED_JOBS = 1000
# A machine is unhealthy after errors of this many jobs, or after this many errors of one job
# that runs well on other machines.
UNHEALTHY_ERRORS = 2


class FaultRecord:
    """The verdicts of the jobs' leaders on the causes of errors, and the health of the machines.

    Args:
        lease_s: The duration of a worker's lease, in seconds.

    Attributes:
        jobs_at_fault: Jobs that cause their own errors, the oldest verdict first.
        healthy_jobs: Jobs that run well on other machines, the oldest verdict first.
    """

    def __init__(self, lease_s: float) -> None:
        self.lease_s = lease_s
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
        if job in self.jobs_at_fault:
            return
        machine.errors[job] = machine.errors.get(job, 0) + 1
        if self.is_unhealthy(machine):
            self._quarantine(machine, job)

    def note_verdict(self, machine: Machine, job: str) -> bool:
        """Quarantine a machine if the verdict that a job is healthy makes it unhealthy.

        Returns:
            Whether the machine is unhealthy because of the job's errors.
        """
        if job not in machine.errors or not self.is_unhealthy(machine):
            return False
        self._quarantine(machine, job)
        return True

    def _quarantine(self, machine: Machine, job: str) -> None:
        """Begin the quarantine of a machine, which an error of the job has made unhealthy."""
        machine.quarantine.note_failure()
        log.info(
            "machine=%s job=%s event=machine-unhealthy errors=%d failures=%d",
            machine.name,
            job,
            sum(machine.errors.values()),
            machine.quarantine.failures,
        )

    def remove_errors(self, machine: Machine, job: str) -> bool:
        """Remove a job's errors from a machine, and return whether there were any."""
        if not machine.errors.pop(job, 0):
            return False
        if not self.is_unhealthy(machine):
            machine.quarantine.reset()
        return True

    def mark_healthy(self, machine: Machine, cause: str) -> None:
        """Remove all errors from a machine on which a task has succeeded.

        Args:
            machine: The machine.
            cause: What shows that the machine works, for the log.
        """
        if machine.quarantine.failures:
            log.info("machine=%s event=machine-recovered cause=%s", machine.name, cause)
            machine.quarantine.reset()
        machine.errors.clear()

    # -- probe tasks -----------------------------------------------------

    def takes_probe(self, machine: Machine) -> bool:
        """Return whether a machine is unhealthy and may take a probe task now."""
        return (
            machine.quarantine.probing
            and self.is_unhealthy(machine)
            and not any(self._is_present(machine, key) for key in machine.quarantine.probes)
        )

    def prefers_other_jobs(self, machine: Machine, job: str, now: float) -> bool:
        """Return whether an unhealthy machine leaves its next probe task to other jobs.

        A job that has failed there, and may be at fault itself, gives way for a while. Otherwise
        such jobs could be the only ones that are ever tried.
        """
        return job in machine.errors and machine.quarantine.prefers_other_jobs(now, self.lease_s)

    def check_quarantine(self, machine: Machine, now: float) -> bool:
        """End the quarantine of an unhealthy machine, or find that the machine has recovered.

        Args:
            machine: The machine.
            now: The present time, in seconds of the monotonic clock.

        Returns:
            Whether the machine takes other tasks than before.
        """
        quarantine = machine.quarantine
        if not self.is_unhealthy(machine) or not quarantine.check_end(now, self.lease_s):
            return False
        if not quarantine.probing:
            quarantine.probing = True
            log.info(
                "machine=%s event=machine-on-probation failures=%d",
                machine.name,
                quarantine.failures,
            )
            return True
        if self._has_run_long_enough(machine):
            self.mark_healthy(machine, "running")
            return True
        return False

    def _has_run_long_enough(self, machine: Machine) -> bool:
        """Return whether a probe task has run for as long as the quarantine lasted."""
        quarantine = machine.quarantine
        needed_s = quarantine_s(quarantine.failures, self.lease_s)
        for key in list(quarantine.probes):
            status = machine.reported_tasks.get(key)
            if not self._is_present(machine, key):
                del quarantine.probes[key]
            elif status is not None and status.state == "running":
                since = quarantine.probes[key]
                if since is None:
                    quarantine.probes[key] = machine.last_heard_at
                elif machine.last_heard_at - since >= needed_s:
                    return True
        return False

    @staticmethod
    def _is_present(machine: Machine, key: TaskKey) -> bool:
        """Return whether a task is or may be on a machine, or room is reserved for it there."""
        if machine.has_exited(key):
            return False
        return key in machine.desired or key in machine.reported_tasks
