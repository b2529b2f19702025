"""The quarantine of an unhealthy machine, and the probe tasks that show whether it has recovered.

An unhealthy machine takes no tasks for a while. Afterwards it takes one task at a time, a probe
task. The machine has recovered once a probe task completes or has run for as long as the quarantine
lasted. If a probe task fails, the quarantine begins again and lasts longer. So a machine that goes
on failing gets few tasks, and one that has recovered is used again, whether or not its tasks end by
themselves.
"""

from __future__ import annotations

from clayport.limits.backoff import backoff_s

# The first and the longest duration of a quarantine, in leases of a worker.
FIRST_QUARANTINE_LEASES = 1.0
MAX_QUARANTINE_LEASES = 2.0
# For how long after the quarantine the machine prefers jobs that have not failed there, as a share
# of the duration of the quarantine.
PREFERENCE_SHARE = 0.5


def quarantine_s(failures: int, lease_s: float) -> float:
    """Return how long a machine is quarantined, in seconds.

    Args:
        failures: How often the machine has failed in a row, at least 1.
        lease_s: The duration of a worker's lease, in seconds.
    """
    return backoff_s(
        FIRST_QUARANTINE_LEASES * lease_s, MAX_QUARANTINE_LEASES * lease_s, failures - 1
    )


class Quarantine:
    """The quarantine of one machine; times are in seconds of the monotonic clock.

    Attributes:
        failures: How often the machine has failed since it was last healthy. Failures during a
            quarantine count once.
        until: When the quarantine ends; None if the next check sets the time.
        probing: Whether the quarantine is over, so that the machine takes probe tasks.
        probes: The probe tasks by task and attempt, each with the time since which it has been
            seen running; None: not yet.
    """

    __slots__ = ("failures", "probes", "probing", "until")

    def __init__(self) -> None:
        self.reset()

    def reset(self) -> None:
        """Record that the machine is healthy."""
        self.failures = 0
        self.until: float | None = None
        self.probing = False
        self.probes: dict[tuple[str, int], float | None] = {}

    def note_failure(self) -> None:
        """Begin a quarantine, or begin the present one again."""
        if self.probing or not self.failures:
            self.failures += 1
        self.until = None
        self.probing = False
        self.probes.clear()

    def prefers_other_jobs(self, now: float, lease_s: float) -> bool:
        """Return whether jobs that have failed on the machine give way to others."""
        preference_s = PREFERENCE_SHARE * quarantine_s(self.failures, lease_s)
        return self.until is not None and now < self.until + preference_s

    def check_end(self, now: float, lease_s: float) -> bool:
        """Set the end of the quarantine if it is not set yet, and return whether it is over."""
        if self.until is None:
            self.until = now + quarantine_s(self.failures, lease_s)
        return now >= self.until
