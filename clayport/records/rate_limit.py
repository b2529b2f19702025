"""Rate limits, and the priorities with which requests pass them. Pure: no I/O, no clock."""

from __future__ import annotations

# Priorities are given in seconds: a request with priority p is sent up to p seconds before
# its turn in the queue of the rate limit, and passes those with a smaller one at the gate.
# Submissions, and outcomes that users wait for. (The service allows bursts of a second's worth.)
URGENT_PRIORITY_S = 0.5
# Cancellations, which have a limit of their own.
CANCEL_PRIORITY_S = 1.0
# The few requests that keep this controller's lease and the epoch. They skip the gate as well.
LEASE_PRIORITY_S = 5.0


class TokenBucket:
    """A token bucket that holds a second's worth: this controller's share of a rate limit.

    Pacing requests by it keeps the service from answering 429. The level may fall below
    zero: what is missing then is the queue of those that wait for their turn.

    Attributes:
        rate: Tokens that are added each second, and the most that the bucket holds.
        level: Tokens that are left, as of `at`.
        at: When the level was last computed, in seconds on the monotonic clock.
    """

    def __init__(self, rate: float, now: float) -> None:
        self.rate, self.level, self.at = rate, rate, now

    def delay(self, amount: float, now: float, priority_s: float = 0.0) -> float:
        """Take `amount` tokens; return the seconds to wait before they may be used.

        A priority of `priority_s` seconds shortens the wait by as much.
        """
        self.level = min(self.rate, self.level + (now - self.at) * self.rate)
        self.at = now
        self.level -= amount
        return max(0.0, -self.level / self.rate - priority_s)

    def backlog(self, now: float, priority_s: float = 0.0) -> float:
        """Return the seconds that a request would have to wait, without taking anything."""
        level = min(self.rate, self.level + (now - self.at) * self.rate)
        return max(0.0, -level / self.rate - priority_s)

    def refund(self, amount: float) -> None:
        """Put back tokens that were taken and are not used after all."""
        self.level += amount
