"""Rate limits and the priorities of requests, without I/O or access to a clock."""

from __future__ import annotations

# Priorities are given in seconds: a request with priority p is sent up to p seconds before its turn
# under the rate limit, and precedes requests of lower priority at the gate for requests in flight.
# The priority of submissions, and of outcomes that users wait for. Requests may be sent ahead of
# their turn because the service allows bursts of one second's requests.
URGENT_PRIORITY_S = 0.5
# The priority of cancellations, which have a separate limit.
CANCEL_PRIORITY_S = 1.0
# The priority of requests that maintain this controller's lease and the epoch. These requests also
# bypass the gate.
LEASE_PRIORITY_S = 5.0


class TokenBucket:
    """A token bucket for this controller's share of a rate limit, with one second's capacity.

    Pacing requests with the bucket keeps the service from answering 429. The level may fall below
    zero. The deficit is the tokens that waiting requests have taken in advance.

    Attributes:
        rate: Tokens that are added each second, and the capacity of the bucket.
        level: The tokens left at `updated_at`.
        updated_at: When the level was last computed, in seconds on the monotonic clock.
    """

    def __init__(self, rate: float, now: float) -> None:
        self.rate, self.level, self.updated_at = rate, rate, now

    def take_tokens(self, amount: float, now: float, priority_s: float = 0.0) -> float:
        """Take `amount` tokens; return the seconds to wait before they may be used.

        The priority `priority_s` shortens the wait by that many seconds.
        """
        self.level = min(self.rate, self.level + (now - self.updated_at) * self.rate)
        self.updated_at = now
        self.level -= amount
        return max(0.0, -self.level / self.rate - priority_s)

    def backlog(self, now: float, priority_s: float = 0.0) -> float:
        """Return the seconds that a request would have to wait, without taking tokens."""
        level = min(self.rate, self.level + (now - self.updated_at) * self.rate)
        return max(0.0, -level / self.rate - priority_s)

    def refund(self, amount: float) -> None:
        """Return tokens that were taken and not used."""
        self.level += amount
