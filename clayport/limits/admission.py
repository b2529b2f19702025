"""Admission control for user requests; this module does no I/O and reads no clock."""

from __future__ import annotations

import math

# The shortest time that a refused client is told to wait, in seconds.
MIN_RETRY_AFTER_S = 1.0


class AdmissionControl:
    """Refuses requests that can't be served in time, judged by the cost of the backlog.

    A limit on sockets alone is not enough. It admits requests that wait until their users give up
    and retry, and the retries then wait behind the abandoned requests.

    Args:
        max_backlog_s: The backlog up to which requests are admitted.
        max_retry_after_s: The longest that a refused client is told to wait.
    """

    def __init__(self, max_backlog_s: float, max_retry_after_s: float) -> None:
        self.max_backlog_s, self.max_retry_after_s = max_backlog_s, max_retry_after_s

    def retry_after_s(self, backlog_s: float) -> int:
        """Return 0 if a request is admitted, otherwise the whole seconds before the client retries.

        Unless a bound applies, the backlog can fall to half of `max_backlog_s` in that time, so
        that the refused clients aren't all refused again when they retry together.
        """
        if backlog_s <= self.max_backlog_s:
            return 0
        excess_s = backlog_s - self.max_backlog_s / 2
        return int(min(self.max_retry_after_s, max(MIN_RETRY_AFTER_S, math.ceil(excess_s))))
