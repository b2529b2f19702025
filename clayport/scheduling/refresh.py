"""How often the cached state of the machines' free room is refreshed.

The adaptive interval of "Accelerating VM Placement with Adaptive Caching", Fig. 4: above the
upper threshold of the share of declined starts the interval halves, below the lower one it
grows 1.1 times. The paper's rule judges a window of few attempts by a single declined one;
here such a window is carried into the next one. A true shortage of room is not counted: what
fits nowhere in the cached state is not attempted.
"""

from __future__ import annotations

HIGH_DECLINED_RATIO, LOW_DECLINED_RATIO = 0.05, 0.03
SPEED_UP, SLOW_DOWN = 0.5, 1.1
# One declined start among this many attempts is just at the upper threshold: among fewer, a
# single one would already count as too many.
MIN_ATTEMPTS = round(1 / HIGH_DECLINED_RATIO)


class AdaptiveInterval:
    """The adaptive interval; does no I/O and reads no clock.

    Attributes:
        interval_s: The present interval, in seconds.
        min_s: The shortest, in seconds.
        max_s: The longest, in seconds.
        placed: Tasks whose start machines' owners granted in the present window.
        declined: Tasks whose start they declined.
        ratio: The share of declined ones in the last window that was judged.
    """

    def __init__(self, start_s: float = 10.0, least_s: float = 1.0, most_s: float = 60.0) -> None:
        self.interval_s, self.min_s, self.max_s = start_s, least_s, most_s
        self.placed = self.declined = 0
        self.ratio = 0.0

    def count(self, placed: int, declined: int) -> None:
        """Count tasks whose start a machine's owner has granted and declined."""
        self.placed += placed
        self.declined += declined

    def step(self) -> float:
        """End a window: judge it, and return the next interval in seconds."""
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
