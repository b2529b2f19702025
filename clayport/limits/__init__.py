"""Retries, concurrency limits and admission control.

The clients of the state service, the cloud, the peers and the workers use the same retry policies
and concurrency limits. The user API uses the admission control. `retry`, `inflight` and `admission`
do no I/O and read no clock; functions that depend on the time take it as an argument. `gate`
suspends routines until they may send a request. Nothing in this package depends on the contents of
requests. No safety property relies on this package, because it decides only when requests are sent.
"""

from clayport.limits.admission import AdmissionControl
from clayport.limits.gate import Gate, RetryCoordinator, SlotTimeoutError
from clayport.limits.inflight import ConcurrencyLimit
from clayport.limits.retry import Attempt, Deadline, RetryBudget, RetryPolicy

__all__ = [
    "AdmissionControl",
    "Attempt",
    "ConcurrencyLimit",
    "Deadline",
    "Gate",
    "RetryBudget",
    "RetryCoordinator",
    "RetryPolicy",
    "SlotTimeoutError",
]
