"""Failover: loads the jobs that this controller leads when an epoch begins."""

from __future__ import annotations

import logging
import time
from typing import NamedTuple

import msgspec

from clayport.jobs.dispatcher import Dispatcher
from clayport.jobs.lifecycle import JobLifecycle
from clayport.jobs.managed_job import ManagedJob
from clayport.jobs.registry import JobRegistry
from clayport.machines.table import MachineTable
from clayport.membership.epoch import Epoch
from clayport.membership.state import MembershipState
from clayport.model import Job
from clayport.rebuild.support import RebuildSupport
from clayport.records.chunk import Chunk, chunk_size
from clayport.records.errors import OutcomeUnknownError, UnavailableError
from clayport.records.keys import end_key, is_anchor, parse_chunk_key
from clayport.records.messages import Entry
from clayport.records.store import StateStore
from clayport.records.values import parse_end
from clayport.routines import Routines
from clayport.scheduling.queueing import JobQueue
from clayport.scheduling.urgency import SchedulingObjectives
from clayport.settings import Settings

log = logging.getLogger(__name__)

# The longest pause between retries of a job at fault, in leases of a worker. Machines may be at
# fault after all, and a job may wait beside free room for 90 s at most.
MAX_FAULT_PAUSE_LEASES = 4
# The chunks of a job, by chunk size and index.
Chunks = dict[tuple[int, int], Chunk]


class LoadedChunks(NamedTuple):
    """The chunks under `run/` of the jobs that this controller leads.

    Attributes:
        chunks: The chunks, by job.
        unreadable: The jobs of any controller that have a malformed chunk.
    """

    chunks: dict[str, Chunks]
    unreadable: set[str]


class EndedJob(NamedTuple):
    """A job that has ended and still has chunks.

    Attributes:
        job: The job's description.
        status: The status in the job's final record.
    """

    job: Job
    status: str


class Failover:
    """Loads the jobs that an epoch assigns to this controller."""

    def __init__(
        self,
        *,
        dispatcher: Dispatcher,
        jobs: JobRegistry,
        lifecycle: JobLifecycle,
        machines: MachineTable,
        membership: MembershipState,
        objectives: SchedulingObjectives,
        queue: JobQueue,
        rebuild: RebuildSupport,
        routines: Routines,
        settings: Settings,
        store: StateStore,
    ) -> None:
        self.dispatcher = dispatcher
        self.jobs = jobs
        self.lifecycle = lifecycle
        self.machines = machines
        self.membership = membership
        self.objectives = objectives
        self.queue = queue
        self.rebuild = rebuild
        self.routines = routines
        self.settings = settings
        self.store = store

    async def load(self, epoch: Epoch) -> None:
        """Load this controller's jobs, with retries until a newer epoch begins.

        The loaded records cannot change under an earlier epoch, because the commits of that
        epoch fail once the key of this epoch is written.
        """
        attempt = self.store.begin_request()
        while self.membership.epoch is epoch:
            try:
                await self._load_once(epoch)
                return
            except (UnavailableError, OutcomeUnknownError) as exc:
                log.debug("event=load-failed cause=%s", exc)
            except (msgspec.MsgspecError, KeyError, TypeError, ValueError) as exc:
                log.error("event=malformed-state cause=%r", exc)
            await self.store.back_off(attempt)

    async def _load_once(self, epoch: Epoch) -> None:
        """Read the records and start serving, unless a newer epoch has begun meanwhile.

        Raises:
            UnavailableError, OutcomeUnknownError: The state service does not answer.
            MsgspecError, KeyError, TypeError, ValueError: A record is malformed.
        """
        entries, rev = await self.store.scan("run/")
        if self.rebuild.recovery is not None and not self.rebuild.recovery.history.check_prefix(
            "run/", [entry.key for entry in entries]
        ):
            return  # records are missing, and the rebuild restores them
        loaded = self._parse_chunks(entries, epoch)
        ended = await self._ended_jobs(loaded.chunks)
        if self.membership.epoch is not epoch or self.rebuild.records_suspect:
            return
        for job_id, (job, rev) in self.jobs.live.items():
            if (
                rev
                and epoch.member_for(job_id) == self.membership.label
                and job_id not in loaded.unreadable
            ):
                self.start_leading(job, rev, loaded.chunks.get(job_id, {}), "")
        for job_id, (job, status) in ended.items():
            self.jobs.ended_descriptions[job_id] = job
            self.start_leading(job, 0, loaded.chunks[job_id], status)
        self.membership.serving = True
        log.info("epoch=%d event=serving jobs=%d rev=%d", epoch.number, len(self.jobs.managed), rev)
        for name in ("place", "starved", "demand", "prereqs"):
            self.routines.signal(name)
        await self.routines.flush()

    def _parse_chunks(self, entries: list[Entry], epoch: Epoch) -> LoadedChunks:
        """Return the chunks of the jobs that the epoch assigns to this controller."""
        loaded = LoadedChunks({}, set())
        for entry in entries:
            if is_anchor(entry.key):
                continue
            try:
                job_id, size, index = parse_chunk_key(entry.key)
                if epoch.member_for(job_id) == self.membership.label:
                    chunk = Chunk.parse(entry.value, entry.rev)
                    loaded.chunks.setdefault(job_id, {})[size, index] = chunk
            except (KeyError, TypeError, ValueError) as exc:
                # The job is not loaded, because its tasks may be running and must not be
                # started a second time. All other jobs are served.
                log.error("key=%s event=malformed-value cause=%r", entry.key, exc)
                loaded.unreadable.add(entry.key.split("/")[1])
        return loaded

    async def _ended_jobs(self, chunks: dict[str, Chunks]) -> dict[str, EndedJob]:
        """Return the jobs among `chunks` that have ended.

        On return, each job among `chunks` either is live or has been looked up. More jobs may end
        during each read.

        Raises:
            UnavailableError: The state service does not answer.
            MsgspecError, KeyError, TypeError, ValueError: A record is malformed.
        """
        ended: dict[str, EndedJob] = {}
        unread = chunks.keys() - self.jobs.live.keys()
        read: set[str] = set()
        while unread:
            for job_id in sorted(unread):
                found = await self._read_ended_job(job_id)
                if found is not None:
                    ended[job_id] = found
            read |= unread
            unread = chunks.keys() - self.jobs.live.keys() - read
        return ended

    async def _read_ended_job(self, job_id: str) -> EndedJob | None:
        """Return a job that has ended, or None if its description is not in a final record.

        Raises:
            UnavailableError: The state service does not answer.
            MsgspecError, KeyError, TypeError, ValueError: The record is malformed.
        """
        entry = await self.store.get(end_key(job_id))
        if entry is None:
            return None
        self.lifecycle.note_end(job_id, *parse_end(entry.value), entry.rev)
        if "j" not in entry.value:
            return None
        job = self.objectives.job_from_description(msgspec.convert(entry.value["j"], Job))
        return EndedJob(job, entry.value["s"])

    def start_leading(self, job: Job, rev: int, chunks: Chunks, ended: str) -> None:
        """Become the leader of a job and start its routine.

        Args:
            job: The job's description.
            rev: The revision of the job's live record, or 0 if there is none.
            chunks: The job's chunks as recorded.
            ended: The status in the job's final record, or "" if the job has not ended.
        """
        cluster = self.settings.cluster
        managed = ManagedJob(
            job,
            rev,
            chunk_size(cluster.state.value_kb),
            time.monotonic(),
            ended,
            self.membership.epoch.number,
            cluster.workers.report_s,
            MAX_FAULT_PAUSE_LEASES * cluster.workers.lease_s,
            cluster.workers.lease_s,
        )
        managed.found_at_fault_before = job.id in self.machines.jobs_at_fault
        managed.load_all(chunks)
        node = self.jobs.dependencies.nodes.get(job.id)
        if node is not None:
            managed.blocked = bool(node.unfinished_prerequisites)
            managed.waiting_since = node.ready_at
        self.jobs.managed[job.id] = managed
        self.queue.mark_changed(job.id)
        self.routines.spawn(self.dispatcher.run_job(managed))
