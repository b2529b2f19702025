"""Limits on what a client asks: when to retry, how much at once, and what not to take on.

Every client (state service, cloud, peers, workers) goes by the same decisions, and the
controller's own admission control goes by the same backlog. `retry`, `inflight` and `admission`
are pure: they get the time and answer with seconds. `gate` makes routines wait. Nothing here
knows what is asked of whom. No rule of safety rests on any of it: what it decides is when,
never whether something has happened.
"""

from clayport.limits.admission import AdmissionControl
from clayport.limits.gate import Circuit, Gate, GateClosedError
from clayport.limits.inflight import ConcurrencyLimit
from clayport.limits.retry import Attempt, Deadline, RetryBudget, RetryPolicy

__all__ = [
    "AdmissionControl",
    "Attempt",
    "Circuit",
    "ConcurrencyLimit",
    "Deadline",
    "Gate",
    "GateClosedError",
    "RetryBudget",
    "RetryPolicy",
]
