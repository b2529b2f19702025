"""What follows from the beginning and the end of a job, as the records say it."""

from __future__ import annotations

import logging
import time
from collections.abc import Iterable
from typing import Any, Protocol

import curio
import msgspec

from clayport.jobs.registry import JobRegistry
from clayport.leases.promises import Promises
from clayport.machines.table import MachineTable
from clayport.membership.state import MembershipState
from clayport.model import Job
from clayport.rebuild.support import RebuildSupport
from clayport.records.chunk import Chunk
from clayport.records.errors import ConflictError, OutcomeUnknownError, UnavailableError
from clayport.records.keys import CLASS_PREFIX, end_key
from clayport.records.progress import ReadProgress
from clayport.records.store import StateStore
from clayport.records.transaction import Txn
from clayport.records.values import parse_end
from clayport.routines import Routines
from clayport.scheduling.queueing import JobQueue
from clayport.scheduling.urgency import SchedulingObjectives
from clayport.settings import Settings

log = logging.getLogger(__name__)


# Ended jobs kept in memory so that polls for them need no read.
MAX_ENDED_JOBS = 20_000
# Descriptions kept of them, for tasks of theirs that are still on machines.
MAX_ENDED_DESCRIPTIONS = MAX_ENDED_JOBS // 10
MAX_REMEMBERED_CLASSES = 100


class ArrivalListener(Protocol):
    """Counts the work that arrives."""

    def note(self, job: Job, now: float) -> None:
        """A job can start from now on, on the steady clock."""
        ...


class JobListener(Protocol):
    """Is told of accepted jobs, since what keeps work off machines depends on them."""

    def learn(self, job: Job) -> None:
        """A job has been accepted."""
        ...


class JobLeader(Protocol):
    """Schedules the jobs that are this controller's."""

    def lead(self, job: Job, rev: int, chunks: dict[tuple[int, int], Chunk], ended: str) -> None:
        """Become the leader of a job."""
        ...


class JobLifecycle:
    """Enters accepted and ended jobs, and tells the parts that they concern.

    Args:
        arrivals: Is told of work that can start.
        jobs: The jobs that are kept here.
        machines: Has the tasks of ended jobs killed.
        membership: Says which jobs this controller leads.
        objectives: How urgent jobs are.
        progress: Held back while the end of a job is unknown.
        promises: Is told of cancellations.
        queue: The jobs that wait for machines.
        rebuild: Is told of jobs that are gone without an end.
        routines: The signals and short-lived routines of this process.
        settings: The bound on the error of the clocks.
        store: Where the ends of jobs are read.
    """

    def __init__(
        self,
        *,
        arrivals: ArrivalListener,
        jobs: JobRegistry,
        machines: MachineTable,
        membership: MembershipState,
        objectives: SchedulingObjectives,
        progress: ReadProgress,
        promises: Promises,
        queue: JobQueue,
        rebuild: RebuildSupport,
        routines: Routines,
        settings: Settings,
        store: StateStore,
    ) -> None:
        self.arrivals = arrivals
        self.jobs = jobs
        self.machines = machines
        self.membership = membership
        self.objectives = objectives
        self.progress = progress
        self.promises = promises
        self.queue = queue
        self.rebuild = rebuild
        self.routines = routines
        self.settings = settings
        self.store = store

    def connect(self, *, failover: JobLeader, placer: JobListener) -> None:
        """Set the parts that are built later than this one."""
        self.failover = failover
        self.placer = placer

    def since(self, at: float | None) -> float:
        """A time of day in a record as this process's clock has it; now where it says none.

        As the nodes' times of day differ by up to the settings' bound, what may have been
        now was now: a start that is due within two seconds must not be a second late by it.
        """
        now = time.monotonic()
        if at is None:
            return now
        return now - max(0.0, time.time() - at - self.settings.cluster.clock_error_ms / 500)

    def note_live(self, job: Job, rev: int, submitted: float) -> None:
        """Enter an accepted job; its leader begins to work on it.

        Args:
            job: The job.
            rev: The revision of its live record.
            submitted: When it was submitted, on the steady clock.
        """
        if job.id in self.jobs.live and rev > self.jobs.live[job.id][1]:
            self.jobs.live[job.id] = (self.jobs.live[job.id][0], rev)  # written anew by a rebuild
            if job.id in self.jobs.managed:
                self.jobs.managed[job.id].live_rev = rev
        if job.id in self.jobs.live or job.id in self.jobs.ended:
            return
        changed = self.jobs.dependencies.add(job, submitted)
        self.jobs.live[job.id] = (
            self.jobs.dependencies.effective_job(job.id, self.objectives.finish_limits),
            rev,
        )
        self.placer.learn(self.jobs.live[job.id][0])
        self._update_urgency(changed)
        if self.jobs.dependencies.is_waiting(job.id):
            self.routines.signal("prereqs")
        elif self.membership.records_loaded:
            self.arrivals.note(job, time.monotonic())
        if (
            job.gpus > 0
            and job.job_class not in self.jobs.classes
            and len(self.jobs.classes) < MAX_REMEMBERED_CLASSES
            and job.job_class.isascii()
            and job.job_class.replace("-", "").replace("_", "").isalnum()
        ):
            self.jobs.classes[job.job_class] = job
            self.routines.spawn(self._remember_class(job))
        if (
            self.membership.serving
            and self.membership.epoch.member_for(job.id) == self.membership.label
            and job.id not in self.jobs.managed
        ):
            self.failover.lead(self.jobs.live[job.id][0], rev, {}, "")
            self.routines.signal("place")

    def _update_urgency(self, changed: Iterable[str]) -> None:
        """Take in that the urgency of jobs has changed with the jobs that need them."""
        for name in changed:
            if name in self.jobs.live:
                job = self.jobs.dependencies.effective_job(name, self.objectives.finish_limits)
                self.jobs.live[name] = (job, self.jobs.live[name][1])
                managed = self.jobs.managed.get(name)
                if managed is not None:
                    managed.job = job
                    self.queue.touch(name)
                    self.routines.signal("place")

    def _ready(self, name: str) -> None:
        """Let a job start: all that it needs are done, as their final records say."""
        job = self.jobs.live[name][0]
        if self.membership.records_loaded:
            self.arrivals.note(job, time.monotonic())
        managed = self.jobs.managed.get(name)
        if managed is not None and not managed.ended:
            managed.waiting_since = self.jobs.dependencies.nodes[name].ready_at
            managed.blocked = False
            self.queue.touch(name)
            log.info("job=%s event=prerequisites-done", name)
            self.routines.signal("place")

    async def _remember_class(self, job: Job) -> None:
        """Record a job as the example of its class, which outlasts restarts."""
        key = CLASS_PREFIX + job.job_class
        try:
            await self.store.commit(
                Txn()
                .require(key, 0)
                .put(key, {"j": msgspec.to_builtins(msgspec.structs.replace(job, prereqs=None))})
            )
        except (ConflictError, UnavailableError, OutcomeUnknownError):
            pass  # a hint only

    def note_gone(self, job: str) -> None:
        """The live record of a job is gone: read how the job ended."""
        if job in self.jobs.live and job not in self.jobs.ended:
            self.progress.note_unresolved(job)
            self.routines.spawn(self.learn(job))

    async def learn(self, job: str) -> None:
        """Read how a job ended whose live record is gone."""
        try:
            await self._learn(job)
        finally:
            self.progress.note_resolved(job)

    async def _learn(self, job: str) -> None:
        while job in self.jobs.live:
            try:
                entry = await self.store.get(end_key(job))
            except (UnavailableError, OutcomeUnknownError):
                await curio.sleep(self.routines.jitter(self.membership.lease_ttl_s / 6))
                continue
            if entry is not None:
                self.note_end_record(job, entry.value, entry.rev)
            elif job in self.jobs.live:
                self.rebuild.suspect(f"{job} is gone")
            return

    def note_end_record(self, job: str, record: Any, rev: int) -> None:
        """Enter the end of a job as its record has it; a malformed record is logged."""
        try:
            self.note_end(job, *parse_end(record), rev)
        except (KeyError, TypeError, ValueError, AttributeError) as exc:
            log.error("key=%s event=malformed-value cause=%r", end_key(job), exc)

    def update_dependents(self, job: str, status: str, at: float) -> None:
        """Take in what the end of a job means for those that need it, and for what it needed.

        Args:
            job: The ended job.
            status: Its final state.
            at: When it ended, on the steady clock.
        """
        ready, doomed, changed = self.jobs.dependencies.end(job, status, at)
        self._update_urgency(changed)
        for name in ready:
            self._ready(name)
        for name in doomed:
            managed = self.jobs.managed.get(name)
            if managed is not None:
                self.routines.signal(managed.name)

    def note_end(self, job: str, status: str, at: float | None = None, rev: int = 0) -> None:
        """Enter the committed end of a job.

        Args:
            job: The job.
            status: Its final state.
            at: The time of day of its end; None for now.
            rev: The revision of its final record; 0 where it is not known.
        """
        if status == "cancelled":
            self.promises.note_end(job, rev)
        self.update_dependents(job, status, self.since(at))
        self.jobs.ended[job] = status
        while len(self.jobs.ended) > MAX_ENDED_JOBS:
            self.jobs.ended.popitem(last=False)
        self.machines.ended(job, status)
        known = self.jobs.live.pop(job, None)
        managed = self.jobs.managed.get(job)
        if known is not None:
            self.jobs.ended_descriptions[job] = known[0]
            while len(self.jobs.ended_descriptions) > MAX_ENDED_DESCRIPTIONS:
                self.jobs.ended_descriptions.pop(next(iter(self.jobs.ended_descriptions)))
        if managed is not None and not managed.ended:
            managed.ended = status
            managed.next_stop_at = 0.0
            self.queue.touch(job)
            self.routines.signal(managed.name)
