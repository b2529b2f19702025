"""The interval at which the cached state of the machines' free room is refreshed.

The rule is the adaptive interval of "Accelerating VM Placement with Adaptive Caching", Fig. 4.
The interval halves if the ratio of declined starts exceeds the upper threshold, and grows by a
factor of 1.1 if the ratio is below the lower threshold. The paper's rule lets a single declined
start decide a window of few attempts; this module carries such a window over into the next one.
A real shortage of room does not raise the ratio, because no start is attempted for tasks that fit
nowhere in the cached state.
"""

from __future__ import annotations

HIGH_DECLINED_RATIO, LOW_DECLINED_RATIO = 0.05, 0.03
SPEED_UP, SLOW_DOWN = 0.5, 1.1
# One declined start among this many attempts equals the upper threshold. Among fewer attempts a
# single declined start would exceed it.
MIN_ATTEMPTS = round(1 / HIGH_DECLINED_RATIO)


class AdaptiveInterval:
    """The adaptive interval; does no I/O and reads no clock.

    Attributes:
        interval_s: The present interval, in seconds.
        min_s: The shortest interval, in seconds.
        max_s: The longest interval, in seconds.
        placed: Task starts that machines' owners granted in the present window.
        declined: Task starts that machines' owners declined in the present window.
        ratio: The ratio of declined starts in the last window that was evaluated.
    """

    def __init__(self, start_s: float = 10.0, least_s: float = 1.0, most_s: float = 60.0) -> None:
        self.interval_s, self.min_s, self.max_s = start_s, least_s, most_s
        self.placed = self.declined = 0
        self.ratio = 0.0

    def count(self, placed: int, declined: int) -> None:
        """Count task starts that a machine's owner has granted and declined."""
        self.placed += placed
        self.declined += declined

    def step(self) -> float:
        """Evaluate the present window, and return the next interval in seconds."""
        attempts = self.placed + self.declined
        if 0 < attempts < MIN_ATTEMPTS and self.declined:
            return self.interval_s
        self.ratio = self.declined / attempts if attempts else 0.0
        if self.ratio > HIGH_DECLINED_RATIO:
            self.interval_s = max(self.min_s, self.interval_s * SPEED_UP)
        elif self.ratio < LOW_DECLINED_RATIO:
            self.interval_s = min(self.max_s, self.interval_s * SLOW_DOWN)
        self.placed = self.declined = 0
        return self.interval_s
