"""What can go wrong with a request to the state service, the consensus-backed key-value store."""

from __future__ import annotations


class StateStoreError(Exception):
    """A request to the state service did not do what was asked of it."""


class UnavailableError(StateStoreError):
    """The request was not executed: it was refused by the service, or never sent.

    Attributes:
        after_s: Seconds after which a retry may be worthwhile; 0 where that is not known.
    """

    def __init__(self, why: str, after_s: float = 0.0) -> None:
        super().__init__(why)
        self.after_s = after_s


class OutcomeUnknownError(StateStoreError):
    """There was no usable answer: the request may have been executed, or may still be."""


class ConflictError(StateStoreError):
    """A condition of a transaction did not hold; nothing was changed.

    Attributes:
        failed: The keys whose revisions were others than the transaction required.
    """

    def __init__(self, failed: list[str]) -> None:
        super().__init__(", ".join(failed))
        self.failed = failed


class TransactionTooLargeError(UnavailableError):
    """The transaction was not executed: it exceeds the service's present limits."""


class NoLeaseError(StateStoreError):
    """The lease that a write names has expired."""


class CompactedError(StateStoreError):
    """The watch starts before the last compaction; the keys have to be read again."""
