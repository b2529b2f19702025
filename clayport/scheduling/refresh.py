"""ASC: the interval at which the cached cached state of free room is refreshed.

After "Accelerating VM Placement with Adaptive Caching", Fig. 4: above the upper
threshold of declined starts the interval halves, below the lower one it grows
1.1 times. Of its weak spots, sparse intervals are covered here: a window with
too few attempts is carried into the next one instead of being judged on one
refusal. True shortage never comes here: what fits nowhere in the cached state is not
attempted.
"""

from __future__ import annotations

DECLINE_HIGH, DECLINE_LOW = 0.05, 0.03
SPEED_UP, SLOW_DOWN = 0.5, 1.1
# One refusal among this many attempts is just at the upper threshold: with
# fewer a single one would be judged as too many.
ENOUGH = round(1 / DECLINE_HIGH)


class AdaptiveInterval:
    """The adaptive interval; pure, driven by `placed`, `declined` and `step`."""

    def __init__(self, start_s: float = 10.0, least_s: float = 1.0, most_s: float = 60.0) -> None:
        self.interval, self.least, self.most = start_s, least_s, most_s
        self.placed = self.declined = 0
        self.ratio = 0.0

    def count(self, placed: int, declined: int) -> None:
        """Tasks that a machine's owner took and declined."""
        self.placed += placed
        self.declined += declined

    def step(self) -> float:
        """The end of an interval: judge the window and answer the next interval."""
        attempts = self.placed + self.declined
        if 0 < attempts < ENOUGH and self.declined:
            return self.interval
        self.ratio = self.declined / attempts if attempts else 0.0
        if self.ratio > DECLINE_HIGH:
            self.interval = max(self.least, self.interval * SPEED_UP)
        elif self.ratio < DECLINE_LOW:
            self.interval = min(self.most, self.interval * SLOW_DOWN)
        self.placed = self.declined = 0
        return self.interval
