"""Limits on what a client asks: when to ask again, how much at once, and what not to take on.

Every client (state service, cloud, peers, workers) goes by the same decisions, and the
controller's own admission control goes by the same backlog. `retry`, `inflight` and `admission`
are pure:
they get the time and answer with seconds. `gate` makes routines wait. Nothing here knows
what is asked of whom. No rule of safety rests on any of it: what it decides is when, never
whether something has happened.
"""

from .admission import AdmissionControl
from .gate import Gate, GateClosedError, Patience
from .inflight import Inflight
from .retry import Attempt, Budget, Deadline, Retries

__all__ = [
    "AdmissionControl",
    "Attempt",
    "Budget",
    "Deadline",
    "Gate",
    "GateClosedError",
    "Inflight",
    "Patience",
    "Retries",
]
