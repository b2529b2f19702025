"""The concurrency limit of requests to one server; this module does no I/O and reads no clock."""

from __future__ import annotations

# The factor by which the limit is multiplied when requests fail or are slow.
DECREASE_FACTOR = 0.7
# An answer counts as slow if it takes more than this multiple of the fastest recent time, because
# the request has then waited in the server's queue. Further requests would only lengthen the queue.
SLOW_RATIO = 4.0
# The fraction of the difference by which `fastest_s` moves towards each slower answer time. Without
# this drift a server that has become slower permanently would count as overloaded forever.
FASTEST_DRIFT = 0.01
# A time earlier than any reading of the monotonic clock, in seconds.
NEVER = -1e9


class ConcurrencyLimit:
    """An adaptive concurrency limit with additive increase and multiplicative decrease, as in TCP.

    The limit rises by one for each full round of requests that are answered fast. It falls by
    `DECREASE_FACTOR` when a request fails or is slow, but only once for all requests that were in
    flight at that time.

    Args:
        initial: The initial limit.
        minimum: The limit never falls below this.
        maximum: The limit never rises above this.

    Attributes:
        limit: The current limit; only its integer part counts.
        in_flight: The number of requests that have been sent and are not finished.
        fastest_s: The approximate shortest recent time in which a request was answered.
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
        """Return whether no further request may be sent now."""
        return self.in_flight >= int(self.limit)

    def acquire(self) -> None:
        """Count a request that is being sent."""
        self.in_flight += 1

    def cancel(self) -> None:
        """Stop counting a request that was acquired but not sent."""
        self.in_flight -= 1

    def release(self, now: float, took_s: float, served: bool) -> None:
        """Record the end of a request after `took_s`; `served` tells whether it was answered."""
        busy = self.in_flight * 2 >= self.limit
        self.in_flight -= 1
        if served:
            if not self.fastest_s or took_s < self.fastest_s:
                self.fastest_s = took_s
            else:
                self.fastest_s += FASTEST_DRIFT * (took_s - self.fastest_s)
            if took_s <= SLOW_RATIO * self.fastest_s:
                # The limit rises only under load, because answers to an idle client don't show how
                # many concurrent requests the server can handle.
                if busy:
                    self.limit = min(self.maximum, self.limit + 1.0 / self.limit)
                return
            if not busy:
                return  # too few requests in flight to be the cause of the delay
        if now - took_s >= self.reduced_at:
            # The request was sent after the last reduction, which was therefore not enough.
            self.limit = max(self.minimum, self.limit * DECREASE_FACTOR)
            self.reduced_at = now
