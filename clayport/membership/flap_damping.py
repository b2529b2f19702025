"""Flap damping: controllers that restart too often are left out of epochs for a while."""

from __future__ import annotations

from collections.abc import Mapping

# Restarts within the window that cost a controller no pause: it is back at once, as after a
# rolling upgrade.
RESTARTS_WITHOUT_PAUSE = 2


class FlapDamping:
    """Which controllers restart too often, and until when they are left out.

    Each restart costs all other controllers a new epoch: they announce it to their workers
    and load their jobs again. So a controller that has restarted more than
    `RESTARTS_WITHOUT_PAUSE` times within the window is left out for a pause that doubles with
    each further restart, and the others serve its share. This only limits cost; who is in an
    epoch is decided by the commit of its record.

    Controllers are named by their labels; times are seconds of one steady clock.
    """

    def __init__(self, window_s: float, pause_s: float, max_pause_s: float) -> None:
        """Begin without any restart observed.

        Args:
            window_s: How long a restart counts.
            pause_s: The first pause.
            max_pause_s: The longest pause.
        """
        self.window_s, self.pause_s, self.max_pause_s = window_s, pause_s, max_pause_s
        self.last_incarnations: dict[str, str] = {}
        self.restarts: dict[str, list[float]] = {}  # the times of those within the window
        self.paused_until: dict[str, float] = {}  # when the pause ends

    def observe(self, present: Mapping[str, str], now: float) -> list[str]:
        """Record the incarnations of those present; return who is left out from now on."""
        left_out = []
        for label, incarnation in present.items():
            previous = self.last_incarnations.get(label)
            self.last_incarnations[label] = incarnation
            if previous is None or previous == incarnation:
                continue
            recent = [at for at in self.restarts.get(label, ()) if now - at < self.window_s]
            self.restarts[label] = [*recent, now]
            doublings = len(recent) - RESTARTS_WITHOUT_PAUSE
            if doublings >= 0:
                self.paused_until[label] = now + min(
                    self.max_pause_s, self.pause_s * 2.0**doublings
                )
                left_out.append(label)
        return left_out

    def admitted(
        self, members: Mapping[str, str], present: Mapping[str, str], now: float
    ) -> dict[str, str]:
        """Return who may be in the next epoch, with their incarnations.

        These are the present members, which are never put out for their restarts, and all
        others present whose pause is over. If that is nobody, all who are present.
        """
        admitted = {
            label: incarnation
            for label, incarnation in present.items()
            if members.get(label) == incarnation or now >= self.paused_until.get(label, now)
        }
        return admitted or dict(present)
