"""The machines that a job avoids for a while, because tasks of it have failed there."""

from __future__ import annotations

import logging

from clayport.limits.backoff import backoff_s

log = logging.getLogger(__name__)

# For how long a job avoids a machine, first and at most, in leases of a worker: for as long as the
# machine may be quarantined and then prefers other jobs.
FIRST_AVOIDANCE_LEASES = 1.5
MAX_AVOIDANCE_LEASES = 3.0
# For how long a job avoids an unhealthy machine that has declined it, in leases of a worker.
DECLINED_LEASES = 0.25


class AvoidedMachines:
    """The machines that a job avoids; times are in seconds of the monotonic clock.

    A machine that has failed a task is avoided for a limited time. Whether the machine works again
    shows only when it gets a task, and it may be the only one with room for the job.

    Args:
        job: The job's id, for the log.
        lease_s: The duration of a worker's lease, in seconds.
    """

    def __init__(self, job: str, lease_s: float) -> None:
        self.job, self.lease_s = job, lease_s
        self._until: dict[str, float] = {}  # the latest failure last
        self._failures: dict[str, int] = {}  # failures that come together count once
        self._declined_until: dict[str, float] = {}

    def note_failure(self, machine: str, now: float) -> None:
        """Avoid a machine on which a task has failed."""
        again = now >= self._until.pop(machine, now)
        failures = self._failures[machine] = self._failures.get(machine, 0) + again
        avoided_s = backoff_s(
            FIRST_AVOIDANCE_LEASES * self.lease_s,
            MAX_AVOIDANCE_LEASES * self.lease_s,
            failures - 1,
        )
        self._until[machine] = now + avoided_s
        if again:
            log.info(
                "job=%s machine=%s event=machine-avoided failures=%d seconds=%.1f",
                self.job,
                machine,
                failures,
                avoided_s,
            )

    def note_declined(self, machine: str, now: float) -> None:
        """Avoid an unhealthy machine for a while whose owner has declined a probe task of the job.

        The owner may prefer other jobs for some time. It would be asked in every pass.
        """
        self._declined_until[machine] = now + DECLINED_LEASES * self.lease_s

    def note_success(self, machine: str) -> None:
        """Avoid a machine no longer on which a task has succeeded."""
        self._until.pop(machine, None)
        self._failures.pop(machine, None)

    def at(self, now: float) -> set[str]:
        """Return the machines that are avoided at this time."""
        return _still(self._until, now) | _still(self._declined_until, now)

    def latest_at(self, now: float) -> set[str]:
        """Return the machine of the latest failure and those that declined, if still avoided."""
        latest = set(list(self._until)[-1:])
        return (_still(self._until, now) & latest) | _still(self._declined_until, now)


def _still(until: dict[str, float], now: float) -> set[str]:
    """Return the machines whose time is not over."""
    return {machine for machine, at in until.items() if now < at}
