"""When to ask again. Pure: no I/O, no clock."""

from __future__ import annotations

import math
from collections.abc import Callable
from typing import NamedTuple


class Deadline(NamedTuple):
    """The moment by which an answer is of use.

    It is passed on with the request, so that what is asked on its behalf never takes longer
    than the client will wait.

    Attributes:
        at: The moment, in seconds on the monotonic clock; infinite where there is none.
    """

    at: float = math.inf

    @staticmethod
    def within(now: float, seconds: float) -> Deadline:
        """Return the deadline `seconds` after `now`."""
        return Deadline(now + seconds)

    def left(self, now: float, most_s: float = math.inf) -> float:
        """Return the seconds left, `most_s` at most; never negative."""
        return max(0.0, min(most_s, self.at - now))

    def allows(self, now: float, needs_s: float = 0.0) -> bool:
        """Return whether what takes `needs_s` seconds ends before the deadline."""
        return now + needs_s < self.at

    def fraction(self, now: float, share: float) -> Deadline:
        """Return an earlier deadline, for a step that must leave time for others."""
        return Deadline(now + self.left(now) * share) if self.at < math.inf else self


class RetryBudget:
    """A retry budget: how many retries all clients of one server may make together.

    Each first try earns a share of a retry and each second earns more, up to a bound: while
    the server serves nobody notices, and while it doesn't, a thousand routines that wait for
    it ask no more often than a few did. (Each of a controller's hundred jobs asked again by
    itself during an outage; when it was over, the answers came behind what was asked again.)

    A retry that exceeds the budget is not refused but told how long to wait for its turn:
    most routines can't give up.

    Args:
        per_request: Retries that each first try earns.
        maximum: Retries that can be saved up.
        per_s: Retries that each second earns.
        now: The present time, in seconds on the monotonic clock.

    Attributes:
        level: Retries that are left as of `at`; negative where some are booked ahead.
        at: When the level was last computed, in seconds on the monotonic clock.
    """

    def __init__(self, per_request: float, maximum: float, per_s: float, now: float) -> None:
        self.per_request, self.maximum, self.per_s = per_request, maximum, per_s
        self.level, self.at = maximum, now

    def _earn(self, now: float) -> None:
        """Add what has been earned since the level was last computed."""
        self.level = min(self.maximum, self.level + max(0.0, now - self.at) * self.per_s)
        self.at = max(self.at, now)

    def record_request(self, now: float) -> None:
        """Note a first try, which earns a share of a retry."""
        self._earn(now)
        self.level = min(self.maximum, self.level + self.per_request)

    def reserve(self, now: float) -> float:
        """Book a retry; return the seconds until its turn comes."""
        self._earn(now)
        self.level -= 1.0
        return max(0.0, -self.level / self.per_s)

    def refund(self) -> None:
        """Put back a retry that was booked and is not made after all."""
        self.level = min(self.maximum, self.level + 1.0)


class RetryPolicy:
    """The retry policy of one server.

    Args:
        base_pause_s: Bounds the first pause from above; half of it bounds each from below.
        max_pause_s: The longest pause.
        budget: The retries of all clients together.
        uniform: Draws from a range: controllers must not retry in step.
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

    def begin(self, now: float, deadline: Deadline | None = None) -> Attempt:
        """Begin a request that is to be retried for as long as the deadline allows."""
        self.budget.record_request(now)
        return Attempt(self, deadline or Deadline())


class Attempt:
    """One request and its retries.

    Attributes:
        retries: The retry policy of the server.
        deadline: By when the answer is of use.
        last_pause_s: The pause before the latest retry.
    """

    __slots__ = ("deadline", "last_pause_s", "retries")

    def __init__(self, retries: RetryPolicy, deadline: Deadline) -> None:
        self.retries, self.deadline = retries, deadline
        self.last_pause_s = retries.base_pause_s / 2

    def next_pause(self, now: float) -> float | None:
        """Return the seconds to wait before the next retry; None where it would be too late.

        Decorrelated jitter: between half the base and three times the pause before. It
        spreads clients that began together as well as full jitter does, and unlike that
        never retries at once.
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
        """Note that the request was answered: the next pause begins anew."""
        self.last_pause_s = self.retries.base_pause_s / 2
