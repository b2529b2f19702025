"""Committing the transactions of jobs under the epoch that the jobs were loaded under."""

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
        """The condition of the job's commits: the epoch that it was loaded under.

        Not whichever holds now. The routine of the epoch before, delayed by a peer
        that had crashed, once went on under the next one beside its successor; both used
        the same attempt number, and tasks ran twice.

        Raises:
            EpochEndedError: That epoch has ended.
        """
        if not self.membership.serving or self.membership.epoch.number != managed.epoch:
            raise EpochEndedError
        return self.membership.epoch.rev

    async def commit(self, txn: Txn, fence: int, priority_s: float = 0.0) -> int:
        """Commit until the outcome is certain.

        An unanswered transaction may still be applied: it is sent again until
        an answer tells, since either copy makes the other fail. One that has become too
        large meanwhile will never tell: what holds now has to be read.

        Args:
            txn: The transaction.
            fence: The revision of the record of the epoch.
            priority_s: How far it goes ahead of others that wait for the state service, in
                seconds.

        Returns:
            The revision that it was committed at.

        Raises:
            ConflictError: A condition doesn't hold, or the outcome can't be learnt this way.
            EpochEndedError: The epoch has ended.
            TransactionTooLargeError: It is too large, and was not applied.
            UnavailableError: It was never sent.
        """
        unsure = False
        attempt = self.store.begin()
        while True:
            if self.membership.epoch.rev != fence:
                raise EpochEndedError
            try:
                return await self.store.commit(txn, priority_s=priority_s)
            except OutcomeUnknownError:
                unsure = True
            except TransactionTooLargeError:
                if unsure:
                    raise ConflictError([k for k in txn.when if k != EPOCH_KEY]) from None
                raise
            except UnavailableError:
                if not unsure:
                    raise
            await self.store.back_off(attempt)
