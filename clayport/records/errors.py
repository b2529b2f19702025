"""Errors of requests to the state service, a consensus-backed key-value store."""

from __future__ import annotations


class StateStoreError(Exception):
    """A request to the state service failed."""


class UnavailableError(StateStoreError):
    """The request was not executed: the service refused it, or it was never sent.

    Attributes:
        retry_after_s: Seconds after which a retry may succeed, or 0 if that is unknown.
    """

    def __init__(self, reason: str, retry_after_s: float = 0.0) -> None:
        super().__init__(reason)
        self.retry_after_s = retry_after_s


class OutcomeUnknownError(StateStoreError):
    """There was no usable answer: the request may have been executed, or may be executed later."""


class ConflictError(StateStoreError):
    """A condition of a transaction did not hold, and nothing was changed.

    Attributes:
        failed: The keys whose revisions differ from those that the transaction requires.
    """

    def __init__(self, failed: list[str]) -> None:
        super().__init__(", ".join(failed))
        self.failed = failed


class TransactionTooLargeError(UnavailableError):
    """The transaction was not executed because it exceeds the service's current limits."""


class NoLeaseError(StateStoreError):
    """The lease that a write names has expired."""


class CompactedError(StateStoreError):
    """The watch starts before the last compaction, so the keys have to be read again."""
