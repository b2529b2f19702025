"""When to ask again. Pure: no I/O, no clock."""

from __future__ import annotations

import math
from collections.abc import Callable
from typing import NamedTuple


class Deadline(NamedTuple):
    """The moment by which an answer is of use; it travels with the request, so that what
    is asked on its behalf never takes longer than who asked will wait."""

    at: float = math.inf  # seconds, on the steady clock

    @staticmethod
    def within(now: float, seconds: float) -> Deadline:
        """Return the deadline `seconds` after `now`."""
        return Deadline(now + seconds)

    def left(self, now: float, most_s: float = math.inf) -> float:
        """Seconds left, `most_s` at most; never negative."""
        return max(0.0, min(most_s, self.at - now))

    def allows(self, now: float, needs_s: float = 0.0) -> bool:
        """Whether something that takes `needs_s` seconds ends before the deadline."""
        return now + needs_s < self.at

    def part(self, now: float, share: float) -> Deadline:
        """An earlier one, for a step that must leave time for others."""
        return Deadline(now + self.left(now) * share) if self.at < math.inf else self


class Budget:
    """How many retries all askers of one server may make together.

    Each first try earns `share` of a retry, up to `most` of them, and `per_s` more are
    earned each second: while the server serves nobody notices, and while it doesn't, a
    thousand routines that wait for it ask no more often than a few did. (Each of a
    controller's hundred jobs asked again by itself during an outage; when it was over, the
    answers came behind what was asked again.)

    Who comes when the budget is spent is not refused but told how long to wait for its
    turn: most routines can't give up.
    """

    def __init__(self, share: float, most: float, per_s: float, now: float) -> None:
        self.share, self.most, self.per_s = share, most, per_s
        self.level, self.at = most, now

    def _earn(self, now: float) -> None:
        self.level = min(self.most, self.level + max(0.0, now - self.at) * self.per_s)
        self.at = max(self.at, now)

    def first(self, now: float) -> None:
        """A first try is made."""
        self._earn(now)
        self.level = min(self.most, self.level + self.share)

    def turn(self, now: float) -> float:
        """Book a retry; seconds until its turn comes."""
        self._earn(now)
        self.level -= 1.0
        return max(0.0, -self.level / self.per_s)

    def give_back(self) -> None:
        """What was booked is not made after all."""
        self.level = min(self.most, self.level + 1.0)


class Retries:
    """How one server is asked again: `base_s` and `most_s` bound a single pause, the budget
    all askers together. `uniform(a, b)` draws: controllers must not come back in step."""

    def __init__(
        self, base_s: float, most_s: float, budget: Budget, uniform: Callable[[float, float], float]
    ) -> None:
        self.base_s, self.most_s = base_s, max(base_s, most_s)
        self.budget, self.uniform = budget, uniform

    def begin(self, now: float, deadline: Deadline | None = None) -> Attempt:
        """A request sets out."""
        self.budget.first(now)
        return Attempt(self, deadline or Deadline())


class Attempt:
    """One request and its retries."""

    __slots__ = ("deadline", "last_s", "retries")

    def __init__(self, retries: Retries, deadline: Deadline) -> None:
        self.retries, self.deadline = retries, deadline
        self.last_s = retries.base_s / 2

    def pause(self, now: float) -> float | None:
        """Seconds to wait before asking again; None: the answer would come too late.

        Decorrelated jitter: between half the base and three times the pause before. It
        spreads askers that began together as well as full jitter does, and unlike that
        never asks again at once.
        """
        r = self.retries
        wait = min(r.most_s, r.uniform(r.base_s / 2, max(r.base_s, 3 * self.last_s)))
        turn = r.budget.turn(now)
        if not self.deadline.allows(now, max(wait, turn)):
            r.budget.give_back()
            return None
        self.last_s = wait
        return max(wait, turn)

    def served(self) -> None:
        """An answer came: the next pause begins anew."""
        self.last_s = self.retries.base_s / 2
