"""Deadlines, retry budgets and backoff; this module does no I/O and reads no clock."""

from __future__ import annotations

import math
from collections.abc import Callable
from typing import NamedTuple


class Deadline(NamedTuple):
    """The time after which the answer to a request is useless.

    The deadline is passed on with the request, so that no request made on its behalf outlasts the
    client's wait.

    Attributes:
        at: The time, in seconds on the monotonic clock; infinite without a deadline.
    """

    at: float = math.inf

    @staticmethod
    def within(now: float, seconds: float) -> Deadline:
        """Return the deadline `seconds` after `now`."""
        return Deadline(now + seconds)

    def left(self, now: float, max_s: float = math.inf) -> float:
        """Return the seconds left, `max_s` at most; never negative."""
        return max(0.0, min(max_s, self.at - now))

    def allows(self, now: float, needs_s: float = 0.0) -> bool:
        """Return whether a step that takes `needs_s` seconds ends before the deadline."""
        return now + needs_s < self.at

    def fraction(self, now: float, share: float) -> Deadline:
        """Return an earlier deadline for one step, which may use `share` of the time left."""
        return Deadline(now + self.left(now) * share) if self.at < math.inf else self


class RetryBudget:
    """A token bucket for the retries of all routines that send requests to one server.

    Each first attempt earns a fraction of a retry, and retries also accrue with time, up to a
    maximum. While the server serves requests, the budget delays no retry. During an outage, a
    thousand waiting routines together send no more retries than a few routines would. Without the
    budget, each of a controller's hundred jobs retried independently during an outage, and after
    the outage the queued retries delayed the answers to other requests.

    A retry that exceeds the budget is delayed, not refused, because most routines can't give up.

    Args:
        per_request: Retries that each first attempt earns.
        maximum: The most retries that can accumulate.
        per_s: Retries that accrue per second.
        now: The current time, in seconds on the monotonic clock.

    Attributes:
        level: Retries available at the time `at`; negative if retries are reserved in advance.
        at: When the level was last computed, in seconds on the monotonic clock.
    """

    def __init__(self, per_request: float, maximum: float, per_s: float, now: float) -> None:
        self.per_request, self.maximum, self.per_s = per_request, maximum, per_s
        self.level, self.at = maximum, now

    def _earn(self, now: float) -> None:
        """Add the retries that have accrued since the level was last computed."""
        self.level = min(self.maximum, self.level + max(0.0, now - self.at) * self.per_s)
        self.at = max(self.at, now)

    def record_request(self, now: float) -> None:
        """Record a first attempt, which earns a fraction of a retry."""
        self._earn(now)
        self.level = min(self.maximum, self.level + self.per_request)

    def reserve(self, now: float) -> float:
        """Reserve a retry; return the seconds until it may be sent."""
        self._earn(now)
        self.level -= 1.0
        return max(0.0, -self.level / self.per_s)

    def refund(self) -> None:
        """Return a reserved retry that will not be sent."""
        self.level = min(self.maximum, self.level + 1.0)


class RetryPolicy:
    """The retry policy of one server.

    Args:
        base_pause_s: The base of the pauses. No pause is shorter than half the base, and the
            first pause is at most 1.5 times the base.
        max_pause_s: The longest pause, except for the wait that the budget imposes.
        budget: The budget that all requests to the server share.
        uniform: Draws a random number from a range, so that controllers retry at different times.
    """

    def __init__(
        self,
        base_pause_s: float,
        max_pause_s: float,
        budget: RetryBudget,
        uniform: Callable[[float, float], float],
    ) -> None:
        self.base_pause_s, self.max_pause_s = base_pause_s, max(base_pause_s, max_pause_s)
        self.budget, self.uniform = budget, uniform

    def begin_request(self, now: float, deadline: Deadline | None = None) -> Attempt:
        """Begin a request that may be retried until the deadline."""
        self.budget.record_request(now)
        return Attempt(self, deadline or Deadline())


class Attempt:
    """One request and its retries.

    Attributes:
        retries: The retry policy of the server.
        deadline: The time after which the answer is useless.
        last_pause_s: The pause before the latest retry.
    """

    __slots__ = ("deadline", "last_pause_s", "retries")

    def __init__(self, retries: RetryPolicy, deadline: Deadline) -> None:
        self.retries, self.deadline = retries, deadline
        self.last_pause_s = retries.base_pause_s / 2

    def next_pause(self, now: float) -> float | None:
        """Return the seconds before the next retry; None if the retry would miss the deadline.

        The pause uses decorrelated jitter: it lies between half the base and three times the
        previous pause. This spreads the retries of clients that started together as well as full
        jitter does, but no client retries immediately.
        """
        policy = self.retries
        base_s = policy.base_pause_s
        pause = min(
            policy.max_pause_s, policy.uniform(base_s / 2, max(base_s, 3 * self.last_pause_s))
        )
        turn = policy.budget.reserve(now)
        if not self.deadline.allows(now, max(pause, turn)):
            policy.budget.refund()
            return None
        self.last_pause_s = pause
        return max(pause, turn)

    def served(self) -> None:
        """Record that the request was answered, and reset the backoff."""
        self.last_pause_s = self.retries.base_pause_s / 2
