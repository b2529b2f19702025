"""The state of one job, as its user is told of it."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

from clayport.jobs.dispatcher import Dispatcher
from clayport.jobs.lifecycle import JobLifecycle
from clayport.jobs.registry import JobRegistry
from clayport.leases.disclosure import CancellationDisclosure
from clayport.limits import Deadline
from clayport.membership.state import MembershipState
from clayport.model import valid_id
from clayport.rebuild.support import RebuildSupport
from clayport.records.errors import ConflictError, UnavailableError
from clayport.records.keys import end_key, live_key
from clayport.records.lookups import Lookups
from clayport.records.store import StateStore
from clayport.records.transaction import Txn
from clayport.records.values import parse_end
from clayport.transport import frames
from clayport.transport.peers import Peer, PeerError

# The state of a job that was accepted and has not ended; the final states are the records' own.
LIVE = "live"


class JobStatus:
    """Finds a job's state, and describes it in the bodies of answers to users.

    Attributes:
        counts_timeout_s: How long a job's leader is waited for when it is asked for counts.
    """

    def __init__(
        self,
        *,
        dispatcher: Dispatcher,
        jobs: JobRegistry,
        lookups: Lookups,
        membership: MembershipState,
        peers: Mapping[str, Peer],
        rebuild: RebuildSupport,
        disclosure: CancellationDisclosure,
        lifecycle: JobLifecycle,
        store: StateStore,
        counts_timeout_s: float,
    ) -> None:
        self.dispatcher = dispatcher
        self.jobs = jobs
        self.lookups = lookups
        self.membership = membership
        self.peers = peers
        self.rebuild = rebuild
        self.disclosure = disclosure
        self.lifecycle = lifecycle
        self.store = store
        self.counts_timeout_s = counts_timeout_s

    async def find(self, job: str, deadline: Deadline) -> str | None:
        """Return the job's state as the state service holds it now; None if it has none.

        The live record is read first: it only ever turns into the final one, so
        that finding neither means that the job was never accepted.

        Raises:
            UnavailableError: The state service has not answered, or the records are in doubt.
            OutcomeUnknownError: The same, after a transaction was sent.
        """
        if job in self.jobs.ended:
            return self.jobs.ended[job]
        live = self.jobs.live.get(job)
        if live is not None and live[1] and await self.lookups.unchanged(live_key(job), live[1]):
            return LIVE
        if not valid_id(job):
            # An id that the first versions let through can't stand in a path.
            if live is not None:
                raise UnavailableError("the record is just changing")
            return None
        return await self._read_status(job, deadline)

    async def _read_status(self, job: str, deadline: Deadline) -> str | None:
        """Return the state of `find` by reading the job's records."""
        entry = await self.store.get(live_key(job), deadline)
        if entry is not None:
            await self._guard({live_key(job): entry.rev}, deadline)
            return LIVE
        entry = await self.store.get(end_key(job), deadline)
        await self._guard({live_key(job): 0, end_key(job): entry.rev if entry else 0}, deadline)
        if entry is None and job in self.jobs.live:
            self.rebuild.suspect(f"{job} is gone")
            raise UnavailableError("the records are in doubt")
        if entry is None:
            return None
        self.lifecycle.note_end(job, *parse_end(entry.value), entry.rev)
        return str(entry.value["s"])

    async def _guard(self, revs: dict[str, int], deadline: Deadline) -> None:
        """Confirm that what was read is from the history of the records that we act on.

        A read by itself says nothing of that.

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
            UnavailableError: It is cancelled and its user can't be told of that in time.
        """
        if status != LIVE:
            known = self.jobs.live.get(job)
            done = known[0].tasks if status == "done" and known else 0
            return {**await self.describe_end(job, status, deadline), "done": done, "running": 0}
        counts = self.dispatcher.counts(job)
        leader = self.membership.epoch.member_for(job)
        if counts is None and leader in self.peers and self.membership.is_member:
            counts = await self._ask_counts(self.peers[leader], job)
        if job in self.jobs.ended:
            # It ended while the leader was asked: that has been told to somebody by now.
            return await self.describe(job, self.jobs.ended[job], deadline)
        # For display only: a leader out of reach must not cost the user its answer.
        done, running = counts or (0, 0)
        return {
            "id": job,
            "status": "running" if running else "queued",
            "done": done,
            "running": running,
        }

    async def _ask_counts(self, home: Peer, job: str) -> tuple[int, int] | None:
        """Ask the job's leader for its tasks done and running; None if it doesn't tell."""
        try:
            ok, done, running = await home.call(
                frames.COUNTS, (self.membership.epoch.number, job), self.counts_timeout_s
            )
        except PeerError:
            return None
        return (done, running) if ok else None

    async def describe_end(self, job: str, status: str, deadline: Deadline) -> dict[str, Any]:
        """Return the body of the answer to a cancellation of a job that has ended.

        Raises:
            UnavailableError: It is cancelled and its user can't be told of that in time.
        """
        if status == "cancelled":
            await self.disclosure.announced(job, deadline)
        return {"id": job, "status": status}
