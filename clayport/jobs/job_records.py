"""Maintains a job's records: splits of chunks, conflicts, and the records of ended jobs."""

from __future__ import annotations

import logging
import time

import curio

from clayport.jobs.commits import FencedCommits
from clayport.jobs.errors import EpochEndedError
from clayport.jobs.lifecycle import JobLifecycle
from clayport.jobs.managed_job import ManagedJob
from clayport.jobs.owner_requests import OwnerRequests
from clayport.jobs.transactions import split_txn
from clayport.membership.state import MembershipState
from clayport.rebuild.support import RebuildSupport
from clayport.records.chunk import Chunk
from clayport.records.errors import ConflictError, UnavailableError
from clayport.records.keys import EPOCH_KEY, end_key, live_key, parse_chunk_key
from clayport.records.rate_limit import CANCEL_PRIORITY_S
from clayport.records.store import StateStore
from clayport.records.transaction import Txn
from clayport.records.upgrade import UpgradeState
from clayport.records.values import end_value, parse_end, truncate_end
from clayport.routines import Routines

log = logging.getLogger(__name__)


class JobRecords:
    """Splits, reloads and deletes the chunks of jobs, and cancels jobs that can never start."""

    def __init__(
        self,
        *,
        commits: FencedCommits,
        membership: MembershipState,
        owner_requests: OwnerRequests,
        rebuild: RebuildSupport,
        lifecycle: JobLifecycle,
        routines: Routines,
        store: StateStore,
        upgrade: UpgradeState,
    ) -> None:
        self.commits = commits
        self.membership = membership
        self.owner_requests = owner_requests
        self.rebuild = rebuild
        self.lifecycle = lifecycle
        self.routines = routines
        self.store = store
        self.upgrade = upgrade

    async def split_chunks(self, managed: ManagedJob) -> None:
        """Write the job's narrower chunks, then delete the wider chunks.

        Nothing else of the job is committed meanwhile, so that the wider chunks are still
        complete if this controller stops during the split. Otherwise the next leader would miss
        assignments, and start tasks again while they run.
        """
        fence = self.commits.fence(managed)
        written: set[int] = set()
        log.info(
            "job=%s epoch=%d event=chunks-split chunks=%d size=%d",
            managed.job.id,
            managed.epoch,
            len(managed.chunks),
            managed.chunk_size,
        )
        while managed.wider_chunks:
            txn, chunks, deleted = split_txn(managed, fence, self.upgrade.limits.txn_ops, written)
            try:
                rev = await self.commits.commit(txn, fence)
            except ConflictError as exc:
                await self.resolve_conflict(managed, exc, fence)
                return
            managed.apply_commit(chunks, rev)
            written.update(chunks)
            for key in deleted:
                del managed.wider_chunks[key]

    async def delete_chunks(self, managed: ManagedJob) -> None:
        """Delete the remaining chunks of an ended job."""
        remaining = [index for index, chunk in sorted(managed.chunks.items()) if chunk.rev]
        limit = max(1, self.upgrade.limits.txn_ops - 2)
        while remaining:
            batch, remaining = remaining[:limit], remaining[limit:]
            txn = Txn().require(EPOCH_KEY, self.commits.fence(managed))
            for index in batch:
                txn.delete(managed.key(index))
            try:
                await self.commits.commit(txn, self.membership.epoch.rev)
            except ConflictError:
                return

    async def cancel_for_prerequisite(self, managed: ManagedJob) -> None:
        """Cancel the job because one of its prerequisites was cancelled.

        The job's leader acts on the records alone, because the controller that cancelled the
        prerequisite for its user may have ended. No task of the job has ever started.

        Raises:
            EpochEndedError: The epoch that the job was loaded under has ended.
            UnavailableError: The state service doesn't answer, or the live record is gone and
                there is no final record.
        """
        job = managed.job.id
        entry = await self.store.get(live_key(job))
        if entry is None:
            await self._read_end(job)
            if not managed.ended:
                raise UnavailableError("the record is just changing")
            return
        txn = Txn().require(live_key(job), entry.rev).delete(live_key(job))
        txn.put(
            end_key(job),
            truncate_end(
                end_value("cancelled", time.time(), entry.value["j"]), self.upgrade.limits.value_kb
            ),
        )
        try:
            rev = await self.commits.commit(txn, self.commits.fence(managed), CANCEL_PRIORITY_S)
        except ConflictError:
            return
        log.info("job=%s epoch=%d event=cancelled cause=prereq", job, managed.epoch)
        self.lifecycle.note_end(job, "cancelled", time.time(), rev)

    async def resolve_conflict(
        self, managed: ManagedJob, conflict: ConflictError, fence: int
    ) -> None:
        """Read the records that another controller has changed.

        Raises:
            EpochEndedError: The epoch has ended.
            UnavailableError: The state service doesn't answer.
        """
        job = managed.job.id
        log.info("job=%s event=conflict keys=%s", job, conflict.failed)
        if EPOCH_KEY in conflict.failed:
            self.membership.request_rescan()
            await curio.sleep(self.routines.jitter(self.membership.lease_ttl_s / 12))
            return
        if live_key(job) in conflict.failed and not managed.ended:
            await self._read_end(job)
        if any(key.startswith(f"run/{job}/") for key in conflict.failed):
            await self._reload_chunks(managed, fence)

    async def _reload_chunks(self, managed: ManagedJob, fence: int) -> None:
        """Read the job's chunks again, and have the owners adopt its assignments."""
        entries, _ = await self.store.scan(f"run/{managed.job.id}/")
        if self.membership.epoch.rev != fence:
            raise EpochEndedError
        revs = {entry.key: entry.rev for entry in entries}
        # Only this routine writes the chunks, or deletes them while the job is live, so a lower
        # revision means that the state service has lost writes.
        if (
            not managed.ended
            and any(
                revs.get(managed.key(index), 0) < chunk.rev
                for index, chunk in managed.chunks.items()
            )
            and self.rebuild.suspect(f"records of {managed.job.id} have gone back")
        ):
            return
        managed.load_all(
            {
                parse_chunk_key(entry.key)[1:]: Chunk.parse(entry.value, entry.rev)
                for entry in entries
            }
        )
        managed.outcomes = {
            number: outcome
            for number, outcome in managed.outcomes.items()
            if (managed.assignment(number) or (0, ""))[0] == outcome[0]
        }
        await self.owner_requests.adopt(managed)

    async def _read_end(self, job: str) -> None:
        """Read the final record of a job whose live record has been deleted.

        Raises:
            UnavailableError: The state service doesn't answer.
        """
        entry = await self.store.get(end_key(job))
        if entry is not None:
            self.lifecycle.note_end(job, *parse_end(entry.value), entry.rev)
