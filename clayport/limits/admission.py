"""Admission control: what is refused at once, and when to retry. Pure: no I/O, no clock."""

from __future__ import annotations

import math


class AdmissionControl:
    """Refuses at once what couldn't be served in time, by the cost of what waits.

    Bounded sockets alone let in requests that then wait in line until their users have
    left, come again, and wait behind their own first request.
    """

    def __init__(self, patience_s: float, most_s: float) -> None:
        self.patience_s, self.most_s = patience_s, most_s

    def retry_after_s(self, backlog_s: float) -> int:
        """0: admitted; otherwise the whole seconds after which to retry.

        By then what waits now is worked off down to half of what is let in, so that not
        all who were refused are refused again together.
        """
        if backlog_s <= self.patience_s:
            return 0
        return int(min(self.most_s, max(1.0, math.ceil(backlog_s - self.patience_s / 2))))
