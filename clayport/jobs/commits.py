"""Commits the transactions of jobs, fenced by the epoch under which each job was loaded."""

from __future__ import annotations

from clayport.jobs.errors import EpochEndedError
from clayport.jobs.managed_job import ManagedJob
from clayport.membership.state import MembershipState
from clayport.records.errors import (
    ConflictError,
    OutcomeUnknownError,
    TransactionTooLargeError,
    UnavailableError,
)
from clayport.records.keys import EPOCH_KEY
from clayport.records.store import StateStore
from clayport.records.transaction import Txn


class FencedCommits:
    """Commits transactions whose fencing token is the revision of the epoch's record."""

    def __init__(self, *, membership: MembershipState, store: StateStore) -> None:
        self.membership = membership
        self.store = store

    def fence(self, managed: ManagedJob) -> int:
        """Return the fencing token of the job's commits: the revision of its epoch's record.

        The epoch is the one that the job was loaded under, not the current one. Otherwise a
        routine of an earlier epoch that is delayed by a crashed peer would go on committing
        beside its successor, both with the same attempt number, and tasks would run twice.

        Raises:
            EpochEndedError: The epoch that the job was loaded under has ended.
        """
        if not self.membership.serving or self.membership.epoch.number != managed.epoch:
            raise EpochEndedError
        return self.membership.epoch.rev

    async def commit(self, txn: Txn, fence: int, priority_s: float = 0.0) -> int:
        """Send a transaction until its outcome is certain.

        Without an answer it is unknown whether the transaction was applied, so it is sent again
        until there is an answer. At most one copy is applied, because an applied copy invalidates
        the conditions of the others. If the limits shrink meanwhile and a repeated copy is refused
        as too large, the outcome of the earlier copies stays unknown, and the caller has to read
        the records.

        Args:
            txn: The transaction.
            fence: The revision of the record of the epoch.
            priority_s: By how many seconds the wait for the state service's rate limit is
                shortened.

        Returns:
            The revision of the commit.

        Raises:
            ConflictError: A condition doesn't hold, or the outcome can't be determined by
                sending the transaction again.
            EpochEndedError: The epoch has ended.
            TransactionTooLargeError: The transaction is too large, and was not applied.
            UnavailableError: The transaction was never sent.
        """
        may_be_applied = False
        attempt = self.store.begin_request()
        while True:
            if self.membership.epoch.rev != fence:
                raise EpochEndedError
            try:
                return await self.store.commit(txn, priority_s=priority_s)
            except OutcomeUnknownError:
                may_be_applied = True
            except TransactionTooLargeError:
                if may_be_applied:
                    raise ConflictError([k for k in txn.required_revs if k != EPOCH_KEY]) from None
                raise
            except UnavailableError:
                if not may_be_applied:
                    raise
            await self.store.back_off(attempt)
