"""How many requests to one server may be on their way at a time. Pure: no I/O, no clock."""

from __future__ import annotations

# What a bound falls to when requests go unanswered or are refused.
CUT = 0.7
# Answers that take so many times as long as the quickest of late have been waiting at the
# server: more on their way would only wait longer.
SLOW = 4.0
# By how much the quickest answer is forgotten with each one that is slower: a server that
# has become slower for good is not taken for one that is overloaded for ever.
FORGET = 0.01


class Inflight:
    """An adaptive bound: up by one for each full round that is answered well, down to a
    share when one is not (additive increase, multiplicative decrease, as TCP does), and
    at most once for all that was on its way when that showed."""

    def __init__(self, start: int, least: int, most: int) -> None:
        self.bound = float(start)
        self.least, self.most = least, most
        self.in_flight = 0
        self.quickest_s = 0.0
        self.cut_at = -1e9

    @property
    def full(self) -> bool:
        """Whether no further request may be sent now."""
        return self.in_flight >= int(self.bound)

    def enter(self) -> None:
        """Count a request that is being sent."""
        self.in_flight += 1

    def leave(self, now: float, took_s: float, served: bool) -> None:
        """A request is over: answered after `took_s`, or refused or not answered."""
        busy = self.in_flight * 2 >= self.bound
        self.in_flight -= 1
        if served:
            if not self.quickest_s or took_s < self.quickest_s:
                self.quickest_s = took_s
            else:
                self.quickest_s += FORGET * (took_s - self.quickest_s)
            if took_s <= SLOW * self.quickest_s:
                # An idle client learns nothing of what the server could take.
                if busy:
                    self.bound = min(self.most, self.bound + 1.0 / self.bound)
                return
            if not busy:
                return  # slow, and not because of us
        if now - took_s >= self.cut_at:
            # It set out after the last cut: that was not enough.
            self.bound = max(self.least, self.bound * CUT)
            self.cut_at = now
