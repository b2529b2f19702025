"""Handles accepted and ended jobs: updates the registry and informs the other components."""

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

# Ended jobs that are kept in memory, so that users' polls for them need no read.
MAX_ENDED_JOBS = 20_000
# Descriptions of ended jobs that are kept, because their tasks may still be on machines.
MAX_ENDED_DESCRIPTIONS = MAX_ENDED_JOBS // 10
# Job classes of which an example is recorded.
MAX_REMEMBERED_CLASSES = 100


class ArrivalListener(Protocol):
    """Measures the rate at which work arrives."""

    def record(self, job: Job, now: float) -> None:
        """Note that a job became ready to start at `now` (monotonic clock)."""
        ...


class JobListener(Protocol):
    """Is informed of accepted jobs, because the placement policy depends on them."""

    def note_accepted(self, job: Job) -> None:
        """Note that a job has been accepted."""
        ...


class JobLeader(Protocol):
    """Schedules the jobs that this controller leads."""

    def start_leading(
        self, job: Job, rev: int, chunks: dict[tuple[int, int], Chunk], ended: str
    ) -> None:
        """Start leading a job."""
        ...


class JobLifecycle:
    """Registers accepted and ended jobs, and informs the components that depend on them.

    Args:
        arrivals: Is informed of jobs that become ready to start.
        jobs: The registry of jobs.
        machines: Kills the tasks of ended jobs.
        membership: Says which jobs this controller leads.
        objectives: Determines the urgency of jobs.
        progress: Does not advance past a job whose end has not been read yet.
        promises: Is informed of cancellations.
        queue: The jobs that wait for machines.
        rebuild: Is informed of jobs that have lost their live record and have no final record.
        routines: The signals and short-lived routines of this process.
        settings: Has the bound on the error of the nodes' clocks.
        store: The store from which final records are read.
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
        """Set the components that are built after this object."""
        self.failover = failover
        self.placer = placer

    def to_monotonic(self, at: float | None) -> float:
        """Convert a recorded wall-clock time to this process's monotonic clock.

        The nodes' clocks differ by up to the bound in the settings, so a time within that bound
        counts as the present. Otherwise clock error alone could delay by one second a start that
        is due within two seconds.

        Args:
            at: The wall-clock time in seconds; None for now.
        """
        now = time.monotonic()
        if at is None:
            return now
        return now - max(0.0, time.time() - at - self.settings.cluster.clock_error_ms / 500)

    def note_live(self, job: Job, rev: int, submitted: float) -> None:
        """Register an accepted job, and start to lead it if this controller is its leader.

        Args:
            job: The job.
            rev: The revision of its live record.
            submitted: When it was submitted, on the monotonic clock.
        """
        if job.id in self.jobs.live and rev > self.jobs.live[job.id][1]:
            self.jobs.live[job.id] = (self.jobs.live[job.id][0], rev)  # a rebuild has rewritten it
            if job.id in self.jobs.managed:
                self.jobs.managed[job.id].live_rev = rev
        if job.id in self.jobs.live or job.id in self.jobs.ended:
            return
        changed = self.jobs.dependencies.add(job, submitted)
        self.jobs.live[job.id] = (
            self.jobs.dependencies.effective_job(job.id, self.objectives.finish_limits),
            rev,
        )
        self.placer.note_accepted(self.jobs.live[job.id][0])
        self._update_urgency(changed)
        if self.jobs.dependencies.is_waiting(job.id):
            self.routines.signal("prereqs")
        elif self.membership.records_loaded:
            self.arrivals.record(job, time.monotonic())
        if (
            job.gpus > 0
            and job.job_class not in self.jobs.classes
            and len(self.jobs.classes) < MAX_REMEMBERED_CLASSES
            and job.job_class.isascii()
            and job.job_class.replace("-", "").replace("_", "").isalnum()
        ):
            self.jobs.classes[job.job_class] = job
            self.routines.spawn(self._record_class_example(job))
        if (
            self.membership.serving
            and self.membership.epoch.member_for(job.id) == self.membership.label
            and job.id not in self.jobs.managed
        ):
            self.failover.start_leading(self.jobs.live[job.id][0], rev, {}, "")
            self.routines.signal("place")

    def _update_urgency(self, changed: Iterable[str]) -> None:
        """Recompute the urgency of jobs whose dependents have changed."""
        for name in changed:
            if name in self.jobs.live:
                job = self.jobs.dependencies.effective_job(name, self.objectives.finish_limits)
                self.jobs.live[name] = (job, self.jobs.live[name][1])
                managed = self.jobs.managed.get(name)
                if managed is not None:
                    managed.job = job
                    self.queue.mark_changed(name)
                    self.routines.signal("place")

    def _unblock(self, name: str) -> None:
        """Make a job eligible to start, because all its prerequisites are done."""
        job = self.jobs.live[name][0]
        if self.membership.records_loaded:
            self.arrivals.record(job, time.monotonic())
        managed = self.jobs.managed.get(name)
        if managed is not None and not managed.ended:
            managed.waiting_since = self.jobs.dependencies.nodes[name].ready_at
            managed.blocked = False
            self.queue.mark_changed(name)
            log.info("job=%s event=prerequisites-done", name)
            self.routines.signal("place")

    async def _record_class_example(self, job: Job) -> None:
        """Record a job as the example of its class, so that it is known after a restart."""
        key = CLASS_PREFIX + job.job_class
        try:
            await self.store.commit(
                Txn()
                .require(key, 0)
                .put(key, {"j": msgspec.to_builtins(msgspec.structs.replace(job, prereqs=None))})
            )
        except (ConflictError, UnavailableError, OutcomeUnknownError):
            pass  # the example is only a hint for placement

    def handle_live_record_deleted(self, job: str) -> None:
        """Start to read how a job ended, because its live record has been deleted."""
        if job in self.jobs.live and job not in self.jobs.ended:
            self.progress.note_unresolved(job)
            self.routines.spawn(self.read_end(job))

    async def read_end(self, job: str) -> None:
        """Read the final record of a job whose live record has been deleted."""
        try:
            await self._read_end(job)
        finally:
            self.progress.note_resolved(job)

    async def _read_end(self, job: str) -> None:
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
        """Register the end of a job from its final record; log the record if it is malformed."""
        try:
            self.note_end(job, *parse_end(record), rev)
        except (KeyError, TypeError, ValueError, AttributeError) as exc:
            log.error("key=%s event=malformed-value cause=%r", end_key(job), exc)

    def update_dependents(self, job: str, status: str, at: float) -> None:
        """Update the dependents and the prerequisites of a job that has ended.

        Dependents become ready or have to be cancelled, and the urgency of prerequisites changes.

        Args:
            job: The ended job.
            status: Its final state.
            at: When it ended, on the monotonic clock.
        """
        ready, doomed, changed = self.jobs.dependencies.record_end(job, status, at)
        self._update_urgency(changed)
        for name in ready:
            self._unblock(name)
        for name in doomed:
            managed = self.jobs.managed.get(name)
            if managed is not None:
                self.routines.signal(managed.name)

    def note_end(self, job: str, status: str, at: float | None = None, rev: int = 0) -> None:
        """Register the committed end of a job.

        Args:
            job: The job.
            status: Its final state.
            at: The wall-clock time of its end; None for now.
            rev: The revision of its final record; 0 if it is not known.
        """
        if status == "cancelled":
            self.promises.note_end(job, rev)
        self.update_dependents(job, status, self.to_monotonic(at))
        self.jobs.ended[job] = status
        while len(self.jobs.ended) > MAX_ENDED_JOBS:
            self.jobs.ended.popitem(last=False)
        self.machines.job_ended(job, status)
        known = self.jobs.live.pop(job, None)
        managed = self.jobs.managed.get(job)
        if known is not None:
            self.jobs.ended_descriptions[job] = known[0]
            while len(self.jobs.ended_descriptions) > MAX_ENDED_DESCRIPTIONS:
                self.jobs.ended_descriptions.pop(next(iter(self.jobs.ended_descriptions)))
        if managed is not None and not managed.ended:
            managed.ended = status
            managed.next_stop_at = 0.0
            self.queue.mark_changed(job)
            self.routines.signal(managed.name)
