"""Flap damping: keeps controllers that restart too often out of epochs for a while."""

from __future__ import annotations

from collections.abc import Mapping

from clayport.limits.backoff import backoff_s

# The most restarts within the window after which a controller still rejoins at once, for
# example in a rolling upgrade.
RESTARTS_WITHOUT_PAUSE = 2


class FlapDamping:
    """Tracks the restarts of controllers and excludes those that restart too often.

    Each restart causes a new epoch, which all other controllers announce to their workers and for
    which they load their jobs again. So a controller that has restarted more than
    `RESTARTS_WITHOUT_PAUSE` times within the window is excluded for a pause that doubles with
    each further restart, and the others serve its share. The exclusion only limits this cost:
    the commit of an epoch's record decides who is a member.

    Controllers are identified by their labels. Times are seconds on the monotonic clock.
    """

    def __init__(self, window_s: float, pause_s: float, max_pause_s: float) -> None:
        """Start with no restart observed.

        Args:
            window_s: How long a restart counts.
            pause_s: The first pause.
            max_pause_s: The longest pause.
        """
        self.window_s, self.pause_s, self.max_pause_s = window_s, pause_s, max_pause_s
        self.last_incarnations: dict[str, str] = {}
        self.restarts: dict[str, list[float]] = {}  # times of the recent restarts
        self.paused_until: dict[str, float] = {}

    def observe(self, present: Mapping[str, str], now: float) -> list[str]:
        """Record the controllers present; return those that are excluded from now on."""
        excluded = []
        for label, incarnation in present.items():
            previous = self.last_incarnations.get(label)
            self.last_incarnations[label] = incarnation
            if previous is None or previous == incarnation:
                continue
            recent = [at for at in self.restarts.get(label, ()) if now - at < self.window_s]
            self.restarts[label] = [*recent, now]
            doublings = len(recent) - RESTARTS_WITHOUT_PAUSE
            if doublings >= 0:
                self.paused_until[label] = now + backoff_s(
                    self.pause_s, self.max_pause_s, doublings
                )
                excluded.append(label)
        return excluded

    def admitted(
        self, members: Mapping[str, str], present: Mapping[str, str], now: float
    ) -> dict[str, str]:
        """Return the controllers that may be in the next epoch, with their incarnations.

        These are the present members, which are never removed for their restarts, and all other
        present controllers whose pause is over. If there are none, all present controllers are
        admitted.
        """
        admitted = {
            label: incarnation
            for label, incarnation in present.items()
            if members.get(label) == incarnation or now >= self.paused_until.get(label, now)
        }
        return admitted or dict(present)
