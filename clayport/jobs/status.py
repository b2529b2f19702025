"""Finds the state of a job for answers to its user."""

from __future__ import annotations

import time
from collections.abc import Mapping
from typing import Any

from clayport.jobs.dispatcher import Dispatcher
from clayport.jobs.lifecycle import JobLifecycle
from clayport.jobs.registry import JobRegistry
from clayport.leases.disclosure import CancellationDisclosure
from clayport.limits import Deadline
from clayport.membership.state import MembershipState
from clayport.model import is_valid_job_id
from clayport.rebuild.support import RebuildSupport
from clayport.records.errors import ConflictError, UnavailableError
from clayport.records.keys import end_key, live_key
from clayport.records.revision_checks import RevisionChecks
from clayport.records.store import StateStore
from clayport.records.transaction import Txn
from clayport.records.values import parse_end
from clayport.transport import frames
from clayport.transport.peers import Peer, PeerError

# The state of an accepted job that has not ended; final states are as in the final records.
LIVE = "live"


class JobStatus:
    """Finds a job's state, and builds the bodies of answers to users about it.

    Attributes:
        live_after_cancellation_s: For how long a job is still called live, in seconds, after a job
            before it was cancelled. Its own cancellation is usually committed at once.
        counts_timeout_s: The timeout of a request for task counts to a job's leader.
    """

    def __init__(
        self,
        *,
        dispatcher: Dispatcher,
        jobs: JobRegistry,
        revision_checks: RevisionChecks,
        membership: MembershipState,
        peers: Mapping[str, Peer],
        rebuild: RebuildSupport,
        disclosure: CancellationDisclosure,
        lifecycle: JobLifecycle,
        store: StateStore,
        live_after_cancellation_s: float,
        counts_timeout_s: float,
    ) -> None:
        self.dispatcher = dispatcher
        self.jobs = jobs
        self.revision_checks = revision_checks
        self.membership = membership
        self.peers = peers
        self.rebuild = rebuild
        self.disclosure = disclosure
        self.lifecycle = lifecycle
        self.store = store
        self.live_after_cancellation_s = live_after_cancellation_s
        self.counts_timeout_s = counts_timeout_s

    async def find(self, job: str, deadline: Deadline) -> str | None:
        """Return the job's state according to the state service; None if the job has no record.

        The live record is read before the final one. A live record can only be replaced by a
        final record, so if neither is found, the job was never accepted.

        Raises:
            UnavailableError: The state service has not answered, or the records are in doubt.
            OutcomeUnknownError: The state service has not answered a transaction that was sent.
        """
        if job in self.jobs.ended:
            return self.jobs.ended[job]
        live = self.jobs.live.get(job)
        if (
            live is not None
            and live[1]
            and await self.revision_checks.unchanged(live_key(job), live[1])
        ):
            return LIVE
        if not is_valid_job_id(job):
            # Early versions accepted ids that can't be part of a request's path, so the records
            # of such a job can't be read.
            if live is not None:
                raise UnavailableError("the record is just changing")
            return None
        return await self._read_status(job, deadline)

    async def _read_status(self, job: str, deadline: Deadline) -> str | None:
        """Read the job's records, and return its state as `find` does."""
        entry = await self.store.get(live_key(job), deadline)
        if entry is not None:
            await self._confirm_revisions({live_key(job): entry.rev}, deadline)
            return LIVE
        entry = await self.store.get(end_key(job), deadline)
        await self._confirm_revisions(
            {live_key(job): 0, end_key(job): entry.rev if entry else 0}, deadline
        )
        if entry is None and job in self.jobs.live:
            self.rebuild.suspect(f"{job} is gone")
            raise UnavailableError("the records are in doubt")
        if entry is None:
            return None
        self.lifecycle.note_end(job, *parse_end(entry.value), entry.rev)
        return str(entry.value["s"])

    async def _confirm_revisions(self, revs: dict[str, int], deadline: Deadline) -> None:
        """Confirm that records were read from the history that this controller acts on.

        Plain reads are not checked against the history, but transactions are. Therefore a
        transaction without writes confirms the revisions.

        Raises:
            UnavailableError: A record has changed since it was read.
        """
        if self.rebuild.recovery is None:
            return
        txn = Txn()
        for key, rev in revs.items():
            txn.require(key, rev)
        try:
            await self.store.commit(txn, deadline)
        except ConflictError:
            raise UnavailableError("the record is just changing") from None

    async def describe(self, job: str, status: str, deadline: Deadline) -> dict[str, Any]:
        """Return the body of an answer about a job in the state `status`.

        Raises:
            UnavailableError: The job is cancelled, and users may not be told before the deadline;
                or the job is to be cancelled because of a prerequisite.
        """
        if status != LIVE:
            known = self.jobs.live.get(job)
            done = known[0].tasks if status == "done" and known else 0
            return {**await self.describe_end(job, status, deadline), "done": done, "running": 0}
        counts = self.dispatcher.task_counts(job)
        leader = self.membership.epoch.member_for(job)
        if counts is None and leader in self.peers and self.membership.is_member:
            counts = await self._ask_counts(self.peers[leader], job)
        if job in self.jobs.ended:
            # The job ended during the request to the leader, and another user may have been told
            # so already.
            return await self.describe(job, self.jobs.ended[job], deadline)
        since = self.jobs.dependencies.to_cancel.get(job)
        if since is not None and time.monotonic() - since > self.live_after_cancellation_s:
            raise UnavailableError("a job before it is cancelled")
        # The counts are for display only, so an unreachable leader must not fail the request.
        done, running = counts or (0, 0)
        return {
            "id": job,
            "status": "running" if running else "queued",
            "done": done,
            "running": running,
        }

    async def _ask_counts(self, leader: Peer, job: str) -> tuple[int, int] | None:
        """Ask the job's leader for its counts of done and running tasks; None without an answer."""
        try:
            ok, done, running = await leader.call(
                frames.COUNTS, (self.membership.epoch.number, job), self.counts_timeout_s
            )
        except PeerError:
            return None
        return (done, running) if ok else None

    async def describe_end(self, job: str, status: str, deadline: Deadline) -> dict[str, Any]:
        """Return the body of the answer to a cancellation of a job that has ended.

        Raises:
            UnavailableError: The job is cancelled, and users may not be told before the deadline.
        """
        if status == "cancelled":
            await self.disclosure.wait_until_disclosable(job, deadline)
        return {"id": job, "status": status}
