"""The routine that leads one job and commits the job's starts, its outcomes and its end.

The routine runs until the epoch ends. `jobs.transactions` builds the transactions, and
`jobs.owner_requests` sends requests to the owners of machines.
"""

from __future__ import annotations

import logging
import time

import curio
import msgspec

from clayport.jobs.commits import FencedCommits
from clayport.jobs.errors import EpochEndedError
from clayport.jobs.job_records import JobRecords
from clayport.jobs.lifecycle import JobLifecycle
from clayport.jobs.managed_job import ManagedJob
from clayport.jobs.owner_requests import OwnerRequests, Start
from clayport.jobs.quota_charges import QuotaCharger, add_charges
from clayport.jobs.registry import JobRegistry
from clayport.jobs.task_events import TaskEvents
from clayport.jobs.transactions import outcome_txn, start_txn
from clayport.membership.state import MembershipState
from clayport.model import ARRAY, GANG, SERVICE
from clayport.records.errors import ConflictError, OutcomeUnknownError, UnavailableError
from clayport.records.rate_limit import URGENT_PRIORITY_S
from clayport.records.store import StateStore
from clayport.records.upgrade import UpgradeState
from clayport.routines import Routines
from clayport.scheduling.cached_state import CachedState
from clayport.scheduling.queueing import JobQueue
from clayport.scheduling.quotas import TeamQuotas
from clayport.scheduling.view import ClusterView
from clayport.settings import Settings

log = logging.getLogger(__name__)

# How long the outcomes of an array's done tasks are batched, as a share of the report interval.
OUTCOME_BATCH_SHARE = 0.2

# The longest wait of an idle routine, and the interval of its checks for tasks that no owner has
# reported, in lifetimes of a controller's lease.
MAX_IDLE_LEASES = 4

# The shortest wait for more outcomes, in seconds.
MIN_WAIT_S = 0.001


class Dispatcher:
    """Leads jobs, with one routine for each job and epoch."""

    def __init__(
        self,
        *,
        cached_state: CachedState,
        commits: FencedCommits,
        jobs: JobRegistry,
        membership: MembershipState,
        owner_requests: OwnerRequests,
        queue: JobQueue,
        quota_charger: QuotaCharger,
        quotas: TeamQuotas,
        lifecycle: JobLifecycle,
        records: JobRecords,
        routines: Routines,
        settings: Settings,
        store: StateStore,
        task_events: TaskEvents,
        upgrade: UpgradeState,
        view: ClusterView,
    ) -> None:
        self.cached_state = cached_state
        self.commits = commits
        self.jobs = jobs
        self.membership = membership
        self.owner_requests = owner_requests
        self.queue = queue
        self.quota_charger = quota_charger
        self.quotas = quotas
        self.lifecycle = lifecycle
        self.records = records
        self.routines = routines
        self.settings = settings
        self.store = store
        self.task_events = task_events
        self.upgrade = upgrade
        self.view = view

    @property
    def max_start_chunks(self) -> int:
        """The most chunks that a transaction of starts may change beside the quota's record."""
        ops = self.upgrade.limits.txn_ops
        return max(ops - 4, min(3, ops - 1))

    @property
    def max_outcome_chunks(self) -> int:
        """The most chunks that a transaction of outcomes may change.

        Such a transaction may also write the quota's record, the live record and the final
        record.
        """
        ops = self.upgrade.limits.txn_ops
        return max(ops - 4, min(2, ops - 3))

    async def run_job(self, managed: ManagedJob) -> None:
        """Lead one job until the current epoch ends."""
        # The signal's name contains the epoch, because the routine of an earlier epoch may still
        # be running. With a shared name it could consume this routine's signals or remove its
        # event, and the kills of a cancelled job would never be sent.
        name = managed.name
        epoch = self.membership.epoch
        attempt = self.store.begin_request()
        try:
            await self.owner_requests.adopt(managed)
            while self.membership.epoch is epoch:
                try:
                    while self.membership.epoch is epoch and await self._step(managed):
                        await self.routines.flush()
                    attempt.served()
                except (UnavailableError, OutcomeUnknownError) as exc:
                    log.debug("job=%s event=waiting cause=%s", managed.job.id, exc)
                    await self.store.back_off(attempt)
                    continue
                except (msgspec.MsgspecError, KeyError, TypeError, ValueError) as exc:
                    # A value in the state service is malformed. The routine waits and retries,
                    # because the job would otherwise have no routine for this epoch.
                    log.error("job=%s event=malformed cause=%r", managed.job.id, exc)
                    await curio.sleep(self.routines.jitter(self.membership.lease_ttl_s))
                    continue
                if managed.cleaned_up:
                    self.jobs.managed.pop(managed.job.id, None)
                    self.queue.mark_changed(managed.job.id)
                    self.jobs.ended_descriptions.pop(managed.job.id, None)
                    return
                await self.routines.flush()
                idle_wait_s = (
                    self.membership.lease_ttl_s
                    if managed.ended or managed.attempt_failed
                    else MAX_IDLE_LEASES * self.membership.lease_ttl_s
                )
                if managed.batch_outcomes_until and managed.outcomes:
                    idle_wait_s = max(MIN_WAIT_S, managed.batch_outcomes_until - time.monotonic())
                await self.routines.wait(name, idle_wait_s)
                unreported = managed.find_unreported(
                    time.monotonic(), MAX_IDLE_LEASES * self.membership.lease_ttl_s
                )
                if unreported:
                    # The owner may have lost these tasks, so it is asked to adopt them again.
                    log.info(
                        "job=%s event=tasks-unreported tasks=%d", managed.job.id, len(unreported)
                    )
                    await self.owner_requests.adopt(managed, unreported)
        except EpochEndedError:
            pass
        finally:
            self.routines.events.pop(name, None)

    async def _step(self, managed: ManagedJob) -> bool:
        """Do the next due action, then update the job's entry in the queue.

        Returns:
            Whether there may be more to do; False if nothing was due.
        """
        try:
            return await self._do_next(managed)
        finally:
            if self.jobs.managed.get(managed.job.id) is managed:
                self.queue.mark_changed(managed.job.id)

    async def _do_next(self, managed: ManagedJob) -> bool:
        """Do the first due action in order of precedence; return whether there may be more."""
        if (
            self.upgrade.complete and managed.split_chunks(self.upgrade.chunk_size)
        ) or managed.wider_chunks:
            await self.records.split_chunks(managed)
            return True
        if not managed.ended and managed.job.id in self.jobs.dependencies.to_cancel:
            await self.records.cancel_for_prerequisite(managed)
            return True
        if managed.placed_starts:
            await self._start_placed(managed)
            return True
        now = time.monotonic()
        if managed.outcomes and not self._waits_for_more_outcomes(managed, now):
            await self._commit_outcomes(managed)
            return True
        if now >= managed.next_stop_at:
            await self._stop_due(managed, now)
        if managed.ended and not managed.assigned:
            await self.records.delete_chunks(managed)
            managed.cleaned_up = True
        return False

    async def _start_placed(self, managed: ManagedJob) -> None:
        """Start the tasks that the placer has chosen machines for, and requeue the others."""
        starts, managed.placed_starts = managed.placed_starts, []
        try:
            await self._start(managed, starts)
        finally:
            for number, _ in starts:
                self.cached_state.inflight.pop((managed.job.id, number), None)
            managed.requeue([number for number, _ in starts if number in managed.being_placed])
            self.cached_state.stale.update(dict.fromkeys(machine for _, machine in starts))
        self.routines.signal("place")

    async def _stop_due(self, managed: ManagedJob, now: float) -> None:
        """Stop all tasks of an ended job, or the remaining tasks of a gang's failed attempt."""
        if managed.ended:
            left, grace_s = managed.assignments(), 0.0
        else:
            left, grace_s = (
                managed.tasks_to_stop(),
                managed.job.save_s if managed.job.checkpoint_s else 0.0,
            )
        if left:
            managed.next_stop_at = now + self.membership.lease_ttl_s
            await self.owner_requests.stop(
                managed,
                [
                    (machine, f"{managed.job.id}/{number}", attempt, grace_s, False)
                    for number, attempt, machine in left
                ],
            )

    def _waits_for_more_outcomes(self, managed: ManagedJob, now: float) -> bool:
        """Return whether outcomes may wait until more of them can be committed together.

        The tasks of an array end one by one, and without batching each one would cost a commit and
        a request to the owner of its machine. Outcomes wait only where the delay affects nothing
        else: the array has other unfinished tasks, all the outcomes are successes, and the team has
        no quota limit whose usage would have to be credited. The room of a task is free as soon as
        the task has exited, whether or not its outcome is committed.
        """
        job = managed.job
        if (
            managed.ended
            or job.kind != ARRAY
            or any(self.quotas.limits.get(job.team, (0.0, 0.0)))
            or managed.done + len(managed.outcomes) >= job.tasks
            or not all(done for _, done in managed.outcomes.values())
        ):
            return False
        if not managed.batch_outcomes_until:
            managed.batch_outcomes_until = (
                now + self.settings.cluster.workers.report_s * OUTCOME_BATCH_SHARE
            )
        return now < managed.batch_outcomes_until

    async def _start(self, managed: ManagedJob, starts: list[Start]) -> None:
        """Reserve room with the owners, commit the granted starts, and launch them.

        Reservations whose starts are not committed are released. No task is launched before its
        start is committed.

        Raises:
            EpochEndedError: The epoch that the job was loaded under has ended.
            UnavailableError: The state service doesn't answer; nothing was committed.
        """
        job = managed.job
        fence = self.commits.fence(managed)
        epoch = self.membership.epoch
        if await self.quota_charger.charge(job, 1 if job.kind != GANG else len(starts)) is None:
            return
        if not managed.accepts_replacements:
            managed.attempt += 1
        attempt = managed.attempt
        granted = await self.owner_requests.reserve(managed, starts, attempt)
        if self.membership.epoch is not epoch:
            raise EpochEndedError
        declined = [start for start in starts if start not in granted]
        self._note_answers(managed, granted, declined)
        release = [
            (machine, f"{job.id}/{number}", attempt, 0.0, False) for number, machine in granted
        ]
        if not granted or managed.ended or (job.kind == GANG and declined):
            await self.owner_requests.stop(managed, release)
            return
        try:
            committed = await self._commit_starts(managed, granted, attempt, fence)
        except ConflictError as exc:
            await self.owner_requests.stop(managed, release)
            await self.records.resolve_conflict(managed, exc, fence)
            return
        except UnavailableError:
            await self.owner_requests.stop(managed, release)
            raise
        if not committed:
            await self.owner_requests.stop(managed, release)
            return
        for number, _ in granted:
            managed.being_placed.discard(number)
        await self.owner_requests.launch(
            managed,
            [(machine, f"{job.id}/{number}", attempt) for number, machine in granted],
            fence,
        )

    def _note_answers(
        self, managed: ManagedJob, granted: list[Start], declined: list[Start]
    ) -> None:
        """Update the cached state and the job by what the owners have granted and declined."""
        self.cached_state.adaptive_interval.count(len(granted), len(declined))
        for machine in dict.fromkeys(machine for _, machine in declined):
            room = self.view.rooms.get(machine)
            if room is not None and not room.open:
                # A machine that isn't open was asked for a probe task.
                managed.avoided.note_declined(machine, time.monotonic())
            elif room is not None and room.owner != self.membership.label:
                # The machine is not tried again until its cached state has been refreshed.
                room.close()
        if declined:
            self.routines.signal("starved")
            self.cached_state.lacks_room = True

    async def _commit_starts(
        self, managed: ManagedJob, starts: list[Start], attempt: int, fence: int
    ) -> bool:
        """Commit the machines and the attempt of tasks, and charge the quota for them.

        Returns:
            Whether the starts were committed; False if they would exceed the team's quota.

        Raises:
            ConflictError: Another controller has changed a record.
            UnavailableError: The state service doesn't answer; nothing was committed.
        """
        charges = await self.quota_charger.charge(managed.job, len(starts))
        if charges is None:
            return False
        txn, chunks = start_txn(managed, fence, starts, attempt)
        add_charges(txn, charges)
        priority_s = URGENT_PRIORITY_S if managed.job.kind == SERVICE else 0.0
        rev = await self.commits.commit(txn, fence, priority_s)
        managed.apply_commit(chunks, rev)
        self.quota_charger.note_commit(charges, rev)
        return True

    async def _commit_outcomes(self, managed: ManagedJob) -> None:
        """Commit outcomes of tasks, then have the owners clear the tasks that have exited.

        Raises:
            EpochEndedError: The epoch that the job was loaded under has ended.
            UnavailableError: The state service doesn't answer; nothing was committed.
        """
        managed.batch_outcomes_until = 0.0
        fence = self.commits.fence(managed)
        at = time.time()
        txn, chunks, covered, ends_job = outcome_txn(managed, fence, self.max_outcome_chunks, at)
        released = sum(1 for number in covered if managed.assignment(number) is not None)
        charges = await self.quota_charger.charge(managed.job, -released) or {}
        add_charges(txn, charges)
        if txn.writes:
            try:
                rev = await self.commits.commit(txn, fence)
            except ConflictError as exc:
                await self.records.resolve_conflict(managed, exc, fence)
                return
            managed.apply_commit(chunks, rev)
            self.quota_charger.note_commit(charges, rev)
            deleted = {write["remove"] for write in txn.writes if "remove" in write}
            for index in [i for i in chunks if managed.key(i) in deleted]:
                del managed.chunks[index]
        exited_on = {number: managed.exited_on.pop(number, "") for number in covered}
        cleared = managed.clear_outcomes(covered)
        if ends_job:
            managed.ended = "done"
            self.lifecycle.note_end(managed.job.id, "done", at)
            log.info("job=%s epoch=%d event=done", managed.job.id, self.membership.epoch.number)
        await self.owner_requests.stop(
            managed,
            [
                (exited_on[number], f"{managed.job.id}/{number}", attempt, 0.0, True)
                for number, attempt in cleared
                if exited_on[number]
            ],
        )
        self.routines.signal("place")

    def task_counts(self, job: str) -> tuple[int, int] | None:
        """Return how many tasks of a job are done and running.

        None means that this controller doesn't lead the job. A service never has done tasks.
        """
        managed = self.jobs.managed.get(job)
        if managed is None:
            return None
        return (0 if managed.job.kind == SERVICE else managed.done), managed.running
