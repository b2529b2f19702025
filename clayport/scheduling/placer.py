"""The placer, which places the waiting jobs in order of urgency in scheduling passes."""

from __future__ import annotations

import itertools
import math
import time
from collections.abc import Iterator, Mapping
from heapq import heappop, heappush
from typing import Protocol

import curio

from clayport.jobs.eligibility import quota_usage
from clayport.jobs.managed_job import ManagedJob
from clayport.jobs.registry import JobRegistry
from clayport.machines.fleet import Fleet
from clayport.machines.table import MachineTable
from clayport.membership.state import MembershipState
from clayport.model import ARRAY, GANG, RANKS, SERVICE, Job
from clayport.records.store import StateStore
from clayport.records.upgrade import UpgradeState
from clayport.routines import Routines
from clayport.scaling.catalogue import Catalogue
from clayport.scheduling.backfill import BackfillLimits
from clayport.scheduling.cached_state import CachedState
from clayport.scheduling.demand_report import DemandReport
from clayport.scheduling.guarantees import GuaranteeClaims
from clayport.scheduling.policy import Policy
from clayport.scheduling.policy_cache import PolicyCache
from clayport.scheduling.postponement import Postponements
from clayport.scheduling.queueing import Group, JobQueue
from clayport.scheduling.queueing.shares import AccountKey, FairShare, account_keys
from clayport.scheduling.quotas import TeamQuotas
from clayport.scheduling.replica_migration import ReplicaMigration
from clayport.scheduling.reserves import Reserves
from clayport.scheduling.room import Room
from clayport.scheduling.room_finder import RoomFinder
from clayport.scheduling.room_maker import RoomMaker
from clayport.scheduling.scheduling_pass import (
    SHARE_UPDATES_PER_REPORT,
    SchedulingPass,
)
from clayport.scheduling.urgency import SchedulingObjectives
from clayport.scheduling.view import ClusterView
from clayport.settings import Settings
from clayport.transport.peers import Peer

# The maximum number of passes between two heartbeats of a worker.
PASSES_PER_REPORT = 50
# The maximum number of jobs considered and tasks placed in one pass. These tasks fill a few
# transactions, and such a pass takes some ten milliseconds, in which no heartbeat is answered.
MAX_PASS_WORK = 1000


class TransactionBounds(Protocol):
    """Provides the bounds of one transaction."""

    @property
    def max_start_chunks(self) -> int:
        """The number of chunks that a transaction of starts may change besides the quota."""
        ...


class Placer:
    """Places the waiting jobs, and hands the starts to the jobs' routines.

    Attributes:
        swept_at: The monotonic time at which all jobs were last marked as changed, in seconds.
        fair_shares: The fair share of each class or team that is entitled to one.
        fair_shares_until: The monotonic time until which `fair_shares` is valid, in seconds.
        granted_cpus: For each class or team, the CPUs of the tasks placed since `fair_shares` was
            looked up.
    """

    def __init__(
        self,
        *,
        cached_state: CachedState,
        catalogue: Catalogue,
        fleet: Fleet,
        jobs: JobRegistry,
        machines: MachineTable,
        membership: MembershipState,
        objectives: SchedulingObjectives,
        peers: Mapping[str, Peer],
        queue: JobQueue,
        quotas: TeamQuotas,
        routines: Routines,
        settings: Settings,
        store: StateStore,
        upgrade: UpgradeState,
        view: ClusterView,
    ) -> None:
        self.cached_state = cached_state
        self.jobs = jobs
        self.membership = membership
        self.queue = queue
        self.quotas = quotas
        self.routines = routines
        self.settings = settings
        self.upgrade = upgrade
        self.demand_report = DemandReport(jobs=jobs, membership=membership, queue=queue, view=view)
        self.backfill = BackfillLimits(jobs=jobs, machines=machines, settings=settings)
        self.room_maker = RoomMaker(
            cached_state=cached_state,
            fleet=fleet,
            jobs=jobs,
            machines=machines,
            membership=membership,
            objectives=objectives,
            peers=peers,
            routines=routines,
            settings=settings,
        )
        self.guarantees = GuaranteeClaims(
            jobs=jobs, quotas=quotas, room_maker=self.room_maker, store=store
        )
        self.room_finder = RoomFinder(
            backfill=self.backfill,
            guarantees=self.guarantees,
            machines=machines,
            membership=membership,
            objectives=objectives,
            room_maker=self.room_maker,
            routines=routines,
            view=view,
        )
        self.policy_cache = PolicyCache(catalogue=catalogue, jobs=jobs, settings=settings)
        self.replica_migration = ReplicaMigration(
            cached_state=cached_state,
            jobs=jobs,
            machines=machines,
            policy_cache=self.policy_cache,
            settings=settings,
            view=view,
        )
        self.postponements = Postponements(membership=membership, queue=queue, settings=settings)
        self.reserves = Reserves()
        self.swept_at = self.fair_shares_until = -math.inf
        self.fair_shares: dict[AccountKey, FairShare] = {}
        self.granted_cpus: dict[AccountKey, float] = {}

    def policy(self) -> Policy:
        """Return the placement policy, as `PolicyCache.current` does."""
        return self.policy_cache.current()

    def note_accepted(self, job: Job) -> None:
        """Invalidate the policy if it does not cover an accepted job.

        See `PolicyCache.note_accepted`.
        """
        self.policy_cache.note_accepted(job)

    def allow_move(self, job: str, number: int, machine: str, drain: bool) -> bool:
        """Return whether a replica may move, as `ReplicaMigration.allow_move` does."""
        return self.replica_migration.allow_move(job, number, machine, drain)

    def connect(self, *, dispatcher: TransactionBounds) -> None:
        """Set the components that are created after this one."""
        self.dispatcher = dispatcher

    def begin_epoch(self) -> None:
        """Start an epoch, in which jobs have new leaders and no peer has reported demand yet."""
        self.demand_report.begin_epoch()
        self.queue.clear(time.monotonic())
        self.fair_shares_until = -math.inf
        self.reserves.begin_epoch()
        self.backfill.begin_epoch()

    async def place_all(self) -> None:
        """Run a pass over the waiting jobs after each change, for as long as the process runs."""
        pause_s = self.settings.cluster.workers.report_s / PASSES_PER_REPORT
        while True:
            await self.routines.wait("place", self.membership.lease_ttl_s / 2)
            if self.membership.serving:
                now = time.monotonic()
                if now - self.swept_at > self.settings.cluster.workers.lease_s:
                    self.swept_at = now
                    self.queue.mark_all_changed()
                self._pass(now)
                await self.routines.flush()
            # The pause lets one pass handle several changes.
            await curio.sleep(pause_s)

    def _pass(self, now: float) -> None:
        """Try to place the waiting jobs that may find room now, the most urgent first.

        The work of one pass is bounded. The next pass continues with the remaining jobs, after
        other routines have run. The cost depends on what has changed and not on the number of
        waiting jobs: groups that cannot find room are postponed, and a group's other jobs are
        skipped after one of them has found less room than it wants.
        """
        queue = self.queue
        queue.catch_up(now)
        if not queue.entries:
            self.cached_state.lacks_room = False
            return
        scheduling_pass = SchedulingPass(
            now,
            self.cached_state.index(),
            self.policy(),
            self._current_fair_shares(now),
            self.reserves.current,
            self.granted_cpus,
        )
        is_postponed = self.postponements.is_postponed
        active: list[Group] = []
        postponed: list[Group] = []
        for group in queue.groups.values():
            (postponed if is_postponed(group, scheduling_pass, True) else active).append(group)
        if any(group.representative.job.kind != SERVICE for group in active):
            # Postponed groups that let free room accumulate take part in this pass as well, so
            # that the free room does not go to jobs of a lower rank.
            active += [
                group for group in postponed if not is_postponed(group, scheduling_pass, False)
            ]
        for managed in self._in_order(active, scheduling_pass):
            if scheduling_pass.work >= MAX_PASS_WORK:
                self.routines.signal("place")
                break
            self._place_job(managed, scheduling_pass)
        self.postponements.postpone(scheduling_pass)
        self.reserves.update(scheduling_pass)
        if scheduling_pass.lacks_room and not self.cached_state.lacks_room:
            self.routines.signal("starved")
            self.routines.signal("demand")
        self.cached_state.lacks_room = scheduling_pass.lacks_room

    def _current_fair_shares(self, now: float) -> dict[AccountKey, FairShare]:
        """Return the current fair shares, recomputed several times between two heartbeats."""
        if now >= self.fair_shares_until:
            self.fair_shares_until = (
                now + self.settings.cluster.workers.report_s / SHARE_UPDATES_PER_REPORT
            )
            self.fair_shares = self.queue.shares.current_shares(now)
            self.granted_cpus = {}
        return self.fair_shares

    def _in_order(
        self, groups: list[Group], scheduling_pass: SchedulingPass
    ) -> Iterator[ManagedJob]:
        """Yield the jobs of the groups in the order in which they are to be placed.

        After a job of a group found less room than it wants, only the group's jobs with
        reserved rooms follow.
        """
        entries, serial = self.queue.entries, itertools.count()
        heap: list[tuple[tuple[float, ...], int, ManagedJob, Iterator[str]]] = []
        reserved = {name: None for name in scheduling_pass.index.reserved_jobs if name in entries}

        def push(rest: Iterator[str]) -> None:
            name = next(rest, None)
            if name is not None:
                managed = entries[name].managed
                heappush(heap, (self._order(managed, scheduling_pass), next(serial), managed, rest))

        for name in reserved:
            push(iter((name,)))
        for group in groups:
            for subqueue in group.subqueues.values():
                push(name for name in subqueue if name not in reserved)
        while heap:
            _, _, managed, rest = heappop(heap)
            yield managed
            if managed.placement_key in scheduling_pass.unsatisfied:
                scheduling_pass.lacks_room = scheduling_pass.lacks_room or not managed.job.backfill
            else:
                push(rest)

    def _place_job(self, managed: ManagedJob, scheduling_pass: SchedulingPass) -> None:
        """Find room for one job or request preemption, and hand over the tasks that found room."""
        job = managed.job
        if job.backfill and job.rank not in scheduling_pass.backfill_cpus_left:
            scheduling_pass.backfill_cpus_left[job.rank] = self.backfill.cpus_left(
                scheduling_pass.index, job.rank
            )
        if managed.at_fault and managed.assigned > managed.running:
            # A job whose own tasks are at fault may start one task at a time, even while other
            # tasks of it run. If it could start none, a replica that failed on three unhealthy
            # machines would never be restarted.
            return
        scheduling_pass.work += 1
        wanted = self._wanted(managed, scheduling_pass)
        if wanted <= 0 or (job.kind == GANG and wanted < managed.pending):
            return
        chosen, wanted = self.room_finder.find(managed, wanted, scheduling_pass)
        managed.retry_lacks_room = managed.at_fault and not chosen
        if job.backfill:
            scheduling_pass.backfill_cpus_left[job.rank] -= len(chosen) * job.cpus
        if len(chosen) < wanted:
            scheduling_pass.lacks_room = scheduling_pass.lacks_room or not job.backfill
            self.reserves.note_unplaced(job)
            if job.id not in scheduling_pass.index.reserved_jobs and not managed.excluded_machines(
                scheduling_pass.now
            ):
                scheduling_pass.unsatisfied.setdefault(
                    managed.placement_key, scheduling_pass.index.rev
                )
        else:
            self.reserves.note_placed(job)
        scheduling_pass.work += len(chosen)
        if chosen:
            self._hand_over(managed, chosen, scheduling_pass)

    def _wanted(self, managed: ManagedJob, scheduling_pass: SchedulingPass) -> int:
        """Return for how many tasks to seek room, at most as many as one transaction starts."""
        job = managed.job
        wanted = min(
            managed.pending,
            managed.chunk_size
            * max(self.upgrade.limits.txn_ops // 4, min(3, self.dispatcher.max_start_chunks)),
        )
        wanted = self._within_limit(job, wanted)
        if managed.at_fault and job.kind != GANG:
            wanted = min(wanted, 1)
        missing_cpus = scheduling_pass.missing_cpus(account_keys(job))
        if job.kind == ARRAY and missing_cpus > 0 and job.cpus > 0:
            # The array goes before other jobs only for the missing part of the share. Tasks beyond
            # the share would be preempted again for the jobs that the array overtook.
            wanted = min(wanted, math.ceil(missing_cpus / job.cpus))
        if job.backfill and job.cpus > 0 and self.backfill.hinders_objectives(job, job.rank):
            cpus = max(scheduling_pass.backfill_cpus_left[job.rank], missing_cpus)
            wanted = int(max(0.0, min(wanted, cpus / job.cpus)))
        return wanted

    def _hand_over(
        self, managed: ManagedJob, chosen: list[Room], scheduling_pass: SchedulingPass
    ) -> None:
        """Hand the chosen rooms to the job's routine, which starts the tasks there."""
        for room in chosen:
            if room.machine in managed.preempted_room:
                left, until = managed.preempted_room[room.machine]
                managed.preempted_room[room.machine] = (max(0, left - 1), until)
        numbers = managed.take_pending(len(chosen), self.dispatcher.max_start_chunks)
        for account in account_keys(managed.job):
            scheduling_pass.granted_cpus[account] = (
                scheduling_pass.granted_cpus.get(account, 0.0) + len(numbers) * managed.job.cpus
            )
        for room in chosen[len(numbers) :]:
            room.allocate(managed.job, -1)  # the task is left for the next transaction
            if not room.open:
                # Whether the machine still takes a probe task is read from its owner again.
                self.cached_state.stale[room.machine] = None
        managed.placed_starts = [(number, room.machine) for number, room in zip(numbers, chosen)]
        self.queue.mark_changed(managed.job.id)
        for number, machine in managed.placed_starts:
            self.cached_state.inflight[(managed.job.id, number)] = (machine, managed.job)
        self.routines.signal(managed.name)

    def _order(self, managed: ManagedJob, scheduling_pass: SchedulingPass) -> tuple[float, ...]:
        """Return the sort key of a job: its rank, then its position in the queue.

        Jobs whose class or team lacks some of its fair share come after replicas and before all
        other jobs. Jobs within their team's guarantee come before jobs beyond it.
        """
        job = managed.job
        band, (start_by, rev, _), _ = self.queue.position(managed, scheduling_pass.now)
        left = start_by - scheduling_pass.now if math.isfinite(start_by) else 0.0
        rank = float(job.rank)
        if scheduling_pass.has_fair_share(job):
            rank = RANKS["production"] - 0.5
        return (-rank, band, float(not self.guarantees.within_guarantee(job)), left, rev)

    def _within_limit(self, job: Job, wanted: int) -> int:
        """Return `wanted`, bounded by what the team's limit leaves according to the cached usage.

        Usage that was read too long ago is ignored, because other controllers may have released
        resources since then, and no event would trigger another attempt.
        """
        limit = self.quotas.limits.get(job.team, (0.0, 0.0))
        used, _, at = self.jobs.quota_usage.get(job.team, ((0.0, 0.0), 0, 0.0))
        if time.monotonic() - at > self.settings.cluster.workers.report_s:
            return wanted
        for cap, have, need in zip(limit, used, quota_usage(job, 1)):
            if cap > 0 and need > 0:
                wanted = min(wanted, int((cap - have + 1e-6) / need))
        return wanted
