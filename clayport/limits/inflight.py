"""The concurrency limit of requests to one server. Pure: no I/O, no clock."""

from __future__ import annotations

# The share that a limit is reduced to when requests go unanswered or are refused.
DECREASE_FACTOR = 0.7
# Answers that take so many times as long as the fastest of late have been queueing at the
# server: more requests in flight would only queue longer.
SLOW_RATIO = 4.0
# The share by which the fastest time moves towards each slower one: a server that has become
# slower for good is not taken for one that is overloaded for ever.
FASTEST_DRIFT = 0.01
# A time before all others on the monotonic clock, in seconds.
NEVER = -1e9


class ConcurrencyLimit:
    """An adaptive concurrency limit: additive increase, multiplicative decrease, as TCP's.

    It rises by one for each full round that is answered well, and falls to a share when a
    request is not: at most once for all that were in flight when that showed.

    Args:
        initial: The limit to begin with.
        minimum: The limit never falls below this.
        maximum: The limit never rises above this.

    Attributes:
        limit: The present limit; its whole part counts.
        in_flight: Requests that have been sent and are not over.
        fastest_s: About the shortest time of late in which a request was answered.
        reduced_at: When the limit was last reduced, in seconds on the monotonic clock.
    """

    def __init__(self, initial: int, minimum: int, maximum: int) -> None:
        self.limit = float(initial)
        self.minimum, self.maximum = minimum, maximum
        self.in_flight = 0
        self.fastest_s = 0.0
        self.reduced_at = NEVER

    @property
    def full(self) -> bool:
        """Whether no further request may be sent now."""
        return self.in_flight >= int(self.limit)

    def acquire(self) -> None:
        """Count a request that is being sent."""
        self.in_flight += 1

    def cancel(self) -> None:
        """Take back the count of a request that was not sent after all."""
        self.in_flight -= 1

    def release(self, now: float, took_s: float, served: bool) -> None:
        """Note that a request is over: answered after `took_s`, or refused or not answered."""
        busy = self.in_flight * 2 >= self.limit
        self.in_flight -= 1
        if served:
            if not self.fastest_s or took_s < self.fastest_s:
                self.fastest_s = took_s
            else:
                self.fastest_s += FASTEST_DRIFT * (took_s - self.fastest_s)
            if took_s <= SLOW_RATIO * self.fastest_s:
                # An idle client learns nothing of what the server could take.
                if busy:
                    self.limit = min(self.maximum, self.limit + 1.0 / self.limit)
                return
            if not busy:
                return  # slow, and not because of us
        if now - took_s >= self.reduced_at:
            # It was sent after the last reduction: that was not enough.
            self.limit = max(self.minimum, self.limit * DECREASE_FACTOR)
            self.reduced_at = now
