"""What waits here, and where it is to start: the placer's pass over the cached cached state."""

from __future__ import annotations

import itertools
import logging
import math
import time
from collections.abc import Callable, Iterable, Iterator, Mapping
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
from clayport.scheduling.index import Index
from clayport.scheduling.objectives import Objectives
from clayport.scheduling.placement import accepts, place
from clayport.scheduling.policy import LargeTaskReserve, Policy
from clayport.scheduling.preemption import preempt
from clayport.scheduling.queueing import FairShares, Group, JobQueue
from clayport.scheduling.queueing.shares import AccountKey, FairShare, account_keys, names
from clayport.scheduling.quotas import TeamQuotas
from clayport.scheduling.requirements import shape
from clayport.scheduling.room import Room
from clayport.scheduling.room_finder import RoomFinder, types_fetched_within
from clayport.scheduling.room_maker import RoomMaker
from clayport.scheduling.scheduling_pass import (
    SHARE_UPDATES_PER_REPORT,
    Postponement,
    SchedulingPass,
)
from clayport.scheduling.spread import Spread
from clayport.scheduling.urgency import SchedulingObjectives
from clayport.scheduling.view import ClusterView
from clayport.settings import Settings, Team
from clayport.transport.peers import Peer

log = logging.getLogger(__name__)

# Leases that work without any aim can wait before it is owed a share of room.
DEFAULT_WAIT_LEASES = 40.0
# Of the machines, how many times the share that is still owed to somebody who found no room
# is kept free of smaller work, in steps of one in so many.
STARVING_SHARE, STARVING_SHARE_STEPS = 1.0, 8
# The share of a report's interval for which room that comes free is gathered before arrays
# that had found none are looked at again. On a full fleet machines come free one by one, and
# each task had a pass, a commit and two requests to an owner of its own.
GATHER = 0.2
# Passes in the time between two reports of a worker, at most.
PASSES = 50
# Jobs looked at and tasks placed in one pass: as much as a few full transactions start, and
# some ten milliseconds, in which no report is answered.
MAX_PASS_WORK = 1000


def job_queue(
    managed: Callable[[], Mapping[str, ManagedJob]],
    objectives: Objectives,
    teams: Iterable[Team],
    lease_s: float,
) -> JobQueue:
    """Build the queue of the jobs that a controller leads.

    Args:
        managed: Tells the jobs by their ids.
        objectives: What is aimed at for each class.
        teams: Teams with a guarantee are owed a share of room like classes.
        lease_s: A worker's lease, in seconds.
    """
    wait, finish = objectives.wait_limits, objectives.finish_limits
    tolerated_wait_s = {
        name: min(wait.get(name, math.inf), finish.get(name, math.inf) / 2)
        for name in {*wait, *finish}
    }
    guaranteed = [
        ("team", gpus, t.name)
        for t in teams
        for gpus in (False, True)
        if (t.gpus if gpus else t.cpus) > 0
    ]
    return JobQueue(
        managed,
        objectives.finish_all,
        wait,
        FairShares(tolerated_wait_s, DEFAULT_WAIT_LEASES * lease_s, guaranteed),
        objectives.deadline_times,
    )


class TransactionBounds(Protocol):
    """Knows how much one transaction may change."""

    @property
    def start_chunks(self) -> int:
        """Chunks that a transaction of starts may change, beside the quota."""
        ...


class Placer:
    """Order, room made for others, and the starts that homes are to carry out."""

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
        self.catalogue = catalogue
        self.jobs = jobs
        self.machines = machines
        self.membership = membership
        self.queue = queue
        self.quotas = quotas
        self.routines = routines
        self.settings = settings
        self.upgrade = upgrade
        self.view = view
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
        self.known: Policy | None = None
        self.known_types: object = None
        self.known_until = -1e9
        self.reserve: LargeTaskReserve | None = None
        self.missed: dict[AccountKey, Job] = {}  # who is owed a share: a job that found no room
        self.swept_at = self.owed_until = -math.inf
        self.owed: dict[AccountKey, FairShare] = {}
        self.given: dict[AccountKey, float] = {}  # CPUs begun for them since they were looked up

    @property
    def long_s(self) -> float:
        """Return `BackfillLimits.long_wait_s`."""
        return self.backfill.long_wait_s

    def hinders(self, job: Job, most: int = RANKS["production"]) -> bool:
        """Return `BackfillLimits.hinders_objectives`."""
        return self.backfill.hinders_objectives(job, most)

    def fill_cpus(self, index: Index, rank: int) -> float:
        """Return `BackfillLimits.cpus_left`."""
        return self.backfill.cpus_left(index, rank)

    def connect(self, *, dispatcher: TransactionBounds) -> None:
        """Set the parts that are built later than this one."""
        self.dispatcher = dispatcher

    def begin(self) -> None:
        """A new epoch: other homes, and nothing told by peers."""
        self.demand_report.begin()
        self.queue.clear(time.monotonic())
        self.owed_until = -math.inf
        self.reserve = None
        self.missed = {}
        self.backfill.begin()

    async def place_all(self) -> None:
        """The placer: one pass over the waiting jobs whenever something changed."""
        pause_s = self.settings.cluster.workers.report_s / PASSES
        while True:
            await self.routines.wait("place", self.membership.lease_ttl_s / 2)
            if self.membership.serving:
                now = time.monotonic()
                if now - self.swept_at > self.settings.cluster.workers.lease_s:
                    self.swept_at = now
                    self.queue.sweep()
                self._pass(now)
                await self.routines.flush()
            # Changes come one by one, and a pass takes them all.
            await curio.sleep(pause_s)

    def _pass(self, now: float) -> None:
        """Look at what waits and may have found room since, the most urgent first.

        Of bounded work: what is left goes on in the next pass, when others have had their
        turn. It costs as much as has happened, however many jobs wait: groups that can find
        nothing sleep, and of one that is awake no more is looked at once it has found less
        than it wants.
        """
        queue = self.queue
        queue.catch_up(now)
        if not queue.entries:
            self.cached_state.starved = False
            return
        current = SchedulingPass(
            now,
            self.cached_state.index(),
            self.policy(),
            self._owed_now(now),
            self.reserve,
            self.given,
        )
        awake: list[Group] = []
        asleep: list[Group] = []
        for group in queue.groups.values():
            (asleep if self._sleeps(group, current, True) else awake).append(group)
        if any(g.example.job.kind != SERVICE for g in awake):
            # Then nobody gathers: what has come free is not left to those of a lower rank.
            awake += [g for g in asleep if not self._sleeps(g, current, False)]
        for managed in self._in_order(awake, current):
            if current.work >= MAX_PASS_WORK:
                self.routines.signal("place")
                break
            self._serve(managed, current)
        for key, rev in current.unsatisfied.items():
            full = queue.groups.get(key)
            # Replicas are missed every second: they are looked at each time.
            if full is not None and full.example.job.kind != SERVICE:
                gather_s = (
                    self.settings.cluster.workers.report_s * GATHER
                    if full.example.job.kind == ARRAY
                    else 0.0
                )
                full.postponement = Postponement(
                    rev,
                    now + gather_s,
                    now + self.membership.lease_ttl_s / 6,
                    current.policy,
                    current.reserve,
                )
                full.has_new_demand = False
        self._keep(current)
        if current.starved and not self.cached_state.starved:
            self.routines.signal("starved")
            self.routines.signal("demand")
        self.cached_state.starved = current.starved

    def _owed_now(self, now: float) -> dict[AccountKey, FairShare]:
        """Who is owed a share, looked up anew a few times between two reports."""
        if now >= self.owed_until:
            self.owed_until = (
                now + self.settings.cluster.workers.report_s / SHARE_UPDATES_PER_REPORT
            )
            self.owed = self.queue.shares.owed(now)
            self.given = {}
        return self.owed

    def _sleeps(self, group: Group, current: SchedulingPass, gather: bool) -> bool:
        """Whether jobs of a group that found no room would find none now either: none has
        come or waits for more, nothing that has changed fits one of their tasks, and it is
        not yet time to see what else may be stopped, or who has become impatient."""
        postponement, job = group.postponement, group.example.job
        if (
            postponement is None
            or group.has_new_demand
            or current.now >= postponement.until
            or postponement.policy is not current.policy
            or postponement.reserve is not current.reserve
        ):
            group.postponement = None
            return False
        if gather and current.now < postponement.least:
            current.starved = current.starved or not job.backfill
            return True
        reserve = (
            None
            if job.kind == SERVICE
            or any(
                current.missing_cpus(names(job.gpus > 0, *which)) > 0 for which in group.subqueues
            )
            else current.reserve
        )
        for room in current.index.changed_rooms(job, postponement.rev):
            mark = self.queue.entries.get(room.hold) if room.hold else None
            if (
                mark is not None
                and mark.group is group
                or accepts(job, room, current.policy, reserve)
            ):
                group.postponement = None
                return False
        current.starved = current.starved or not job.backfill
        return True

    def _in_order(self, groups: list[Group], current: SchedulingPass) -> Iterator[ManagedJob]:
        """The jobs of the groups as they are to be looked at; of a group that found less
        than it wanted only those that room is held for."""
        entries, serial = self.queue.entries, itertools.count()
        heap: list[tuple[tuple[float, ...], int, ManagedJob, Iterator[str]]] = []
        held = {name: None for name in current.index.held if name in entries}

        def push(rest: Iterator[str]) -> None:
            name = next(rest, None)
            if name is not None:
                managed = entries[name].managed
                heappush(heap, (self._order(managed, current), next(serial), managed, rest))

        for name in held:
            push(iter((name,)))
        for group in groups:
            for subqueue in group.subqueues.values():
                push(name for name in subqueue if name not in held)
        while heap:
            _, _, managed, rest = heappop(heap)
            yield managed
            if managed.group in current.unsatisfied:
                current.starved = current.starved or not managed.job.backfill
            else:
                push(rest)

    def _keep(self, current: SchedulingPass) -> None:
        """Which machines small work keeps off until what is owed a share has found room.
        (What needs GPUs has them kept free by the policy.)

        One that takes more of a machine than the rest would wait for ever, since each
        smaller room that comes free is taken as soon as it is there.
        """
        self.missed = {
            which: job
            for which, job in self.missed.items()
            if which in current.owed and current.owed[which].missing > 0
        }
        reserve: LargeTaskReserve | None = None
        for which, found in self.missed.items():
            owed = current.owed[which]
            if found.gpus == 0 and owed.total > 0:
                share = min(1.0, STARVING_SHARE * owed.missing / owed.total)
                steps = math.ceil(share * STARVING_SHARE_STEPS) / STARVING_SHARE_STEPS
                if reserve is None or steps > reserve.share:
                    reserve = LargeTaskReserve(found, steps, current.policy.fitting_types(found))
        # Whoever sleeps is woken when it changes: it stays as it is while it says the same.
        if (
            reserve is None
            or self.reserve is None
            or reserve.share != self.reserve.share
            or shape(reserve.job) != shape(self.reserve.job)
        ):
            self.reserve = reserve

    def _serve(self, managed: ManagedJob, current: SchedulingPass) -> None:
        """Find room for one job, or have it made; what is found is to be started."""
        job = managed.job
        if job.backfill and job.rank not in current.backfill_cpus_left:
            current.backfill_cpus_left[job.rank] = self.backfill.cpus_left(current.index, job.rank)
        if managed.at_fault and managed.assigned > managed.running:
            # One trial at a time. (Not none while others of it run: a replica that had
            # failed on three sick machines would have been missing for good.)
            return
        current.work += 1
        wanted = self._wanted(managed, current)
        if wanted <= 0 or (job.kind == GANG and wanted < managed.pending):
            return
        chosen, wanted = self.room_finder.find(managed, wanted, current)
        if job.backfill:
            current.backfill_cpus_left[job.rank] -= len(chosen) * job.cpus
        if len(chosen) < wanted:
            current.starved = current.starved or not job.backfill
            for which in account_keys(job):
                self.missed.setdefault(which, job)
            if (
                job.id not in current.index.held
                and not managed.errors
                and not managed.lost_machines
            ):
                current.unsatisfied.setdefault(managed.group, current.index.rev)
        else:
            for which in account_keys(job):
                self.missed.pop(which, None)
        current.work += len(chosen)
        if chosen:
            self._begin(managed, chosen, current)

    def _wanted(self, managed: ManagedJob, current: SchedulingPass) -> int:
        """Tasks to look for: what one transaction holds, and the job may have."""
        job = managed.job
        wanted = min(
            managed.pending,
            managed.chunk_size
            * max(self.upgrade.limits.txn_ops // 4, min(3, self.dispatcher.start_chunks)),
        )
        wanted = self._within_limit(job, wanted)
        if managed.at_fault and job.kind != GANG:
            wanted = min(wanted, 1)
        lacks = current.missing_cpus(account_keys(job))
        if job.kind == ARRAY and lacks > 0 and job.cpus > 0:
            # It goes first for what is owed, and no further: the rest would be stopped again
            # for whoever it went before.
            wanted = min(wanted, math.ceil(lacks / job.cpus))
        if job.backfill and job.cpus > 0 and self.backfill.hinders_objectives(job, job.rank):
            wanted = int(
                max(
                    0.0,
                    min(wanted, max(current.backfill_cpus_left[job.rank], lacks) / job.cpus),
                )
            )
        return wanted

    def _begin(self, managed: ManagedJob, chosen: list[Room], current: SchedulingPass) -> None:
        """Hand what was found to the job's routine."""
        for room in chosen:
            if room.machine in managed.preempted_room:
                left, until = managed.preempted_room[room.machine]
                managed.preempted_room[room.machine] = (max(0, left - 1), until)
        numbers = managed.take_pending(len(chosen), self.dispatcher.start_chunks)
        for which in account_keys(managed.job):
            current.granted_cpus[which] = (
                current.granted_cpus.get(which, 0.0) + len(numbers) * managed.job.cpus
            )
        for room in chosen[len(numbers) :]:
            room.take(managed.job, -1)  # the next transaction's
        managed.starts = [(n, r.machine) for n, r in zip(numbers, chosen)]
        self.queue.touch(managed.job.id)
        for number, machine in managed.starts:
            self.cached_state.inflight[(managed.job.id, number)] = (machine, managed.job)
        self.routines.signal(managed.name)

    def _order(self, managed: ManagedJob, current: SchedulingPass) -> tuple[float, ...]:
        """By rank, but for who is owed a share and hasn't had it: these come after replicas
        and before all others; then as the line says; what is owed to a team before what it
        borrows."""
        job = managed.job
        band, (start_by, rev, _), _ = self.queue.standing(managed, current.now)
        left = start_by - current.now if math.isfinite(start_by) else 0.0
        rank = float(job.rank)
        if current.is_owed(job):
            rank = RANKS["production"] - 0.5
        return (-rank, band, float(not self.guarantees.covers(job)), left, rev)

    def policy(self) -> Policy:
        """What keeps work off machines, from all jobs known, those just ended included.

        It is made anew when a job comes that it has no place for, or prices change, and
        now and then, since jobs go; as long as it says the same, it is the same object.
        """
        now = time.monotonic()
        if (
            self.known is not None
            and now < self.known_until
            and self.known_types is self.catalogue.types
        ):
            return self.known
        found = Policy(
            [
                *(j for j, _ in self.jobs.live.values()),
                *self.jobs.ended_descriptions.values(),
                *self.jobs.classes.values(),
            ],
            self.catalogue.types,
        )
        if self.known is None or not found.same(self.known):
            self.known = found
        self.known_types = self.catalogue.types
        self.known_until = now + self.settings.cluster.workers.report_s
        return self.known

    def learn(self, job: Job) -> None:
        """A job has been accepted."""
        if self.known is not None and not self.known.covers(job):
            self.known_until = -1e9

    def movable(self, job: str, number: int, machine: str, drain: bool) -> bool:
        """Whether a replica would find another place where it starts soon.

        It is stopped before it starts elsewhere, so its image must be there, or be
        fetched in less time than passes between two reports.
        """
        managed = self.jobs.managed.get(job)
        room = self.cached_state.rooms().get(machine)
        if (
            managed is None
            or managed.pending
            or room is None
            or (managed.assignment(number) or (0, ""))[1] != machine
            or time.monotonic() - managed.last_migration_at
            < self.settings.cluster.workers.lease_s
            * (3.0 if drain and not self.policy().expensive(managed.job, room) else 0.3)
        ):
            return False
        zones = [self.view.zones.get(m) for n, _, m in managed.assignments() if n != number]
        policy, index = self.policy(), self.cached_state.index()
        expensive = policy.expensive(managed.job, room)
        soon = types_fetched_within(
            self.machines.types, managed.job, self.settings.cluster.workers.report_s
        )
        with index.trial():
            found = bool(
                place(
                    managed.job,
                    1,
                    index,
                    Spread(managed.job, zones),
                    policy,
                    True,
                    without=(machine,),
                    uncached=soon,
                )
            )
        if not found and (
            drain
            and not expensive
            or not preempt(
                managed.job,
                1,
                index,
                Spread(managed.job, zones),
                policy,
                RANKS["best_effort"] if drain else None,
                False,
                True,
                (machine,),
                soon,
            )
        ):
            # To free GPUs, or a dear machine, work of lower rank may have to make way
            # elsewhere.
            return False
        # Not again soon: a move costs a moment each time.
        managed.last_migration_at = time.monotonic()
        return True

    def _within_limit(self, job: Job, wanted: int) -> int:
        """Tasks that the team's limit leaves room for, as far as known here.

        What was read long ago is not believed: other homes may have released
        some since, and nothing else would ever make us look again.
        """
        limit = self.quotas.limits.get(job.team, (0.0, 0.0))
        used, _, at = self.jobs.quota_usage.get(job.team, ((0.0, 0.0), 0, 0.0))
        if time.monotonic() - at > self.settings.cluster.workers.report_s:
            return wanted
        for cap, have, need in zip(limit, used, quota_usage(job, 1)):
            if cap > 0 and need > 0:
                wanted = min(wanted, int((cap - have + 1e-6) / need))
        return wanted
