"""Admission control: what is refused at once, and when to retry. Pure: no I/O, no clock."""

from __future__ import annotations

import math

# The least that a refused client is told to wait, in seconds.
MIN_RETRY_AFTER_S = 1.0


class AdmissionControl:
    """Refuses at once what couldn't be served in time, by the cost of what waits.

    Bounded sockets alone let in requests that then wait in line until their users have
    left, come again, and wait behind their own first request.

    Args:
        max_backlog_s: The backlog up to which requests are admitted.
        max_retry_after_s: The longest that a refused client is told to wait.
    """

    def __init__(self, max_backlog_s: float, max_retry_after_s: float) -> None:
        self.max_backlog_s, self.max_retry_after_s = max_backlog_s, max_retry_after_s

    def retry_after_s(self, backlog_s: float) -> int:
        """Return 0 to admit a request, otherwise the whole seconds after which to retry.

        By then the backlog is worked off down to half of what is admitted, so that not all
        who were refused are refused again together.
        """
        if backlog_s <= self.max_backlog_s:
            return 0
        excess_s = backlog_s - self.max_backlog_s / 2
        return int(min(self.max_retry_after_s, max(MIN_RETRY_AFTER_S, math.ceil(excess_s))))
