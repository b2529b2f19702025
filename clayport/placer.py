"""What waits here, and where it is to start: the placer's pass over the cached picture."""

from __future__ import annotations

import logging
import math
import time
from collections.abc import Collection, Iterable
from functools import partial
from typing import TYPE_CHECKING, NamedTuple

import curio

from . import peerwire
from .index import Index
from .jobs import HomeJob, amounts, quota_of
from .model import GANG, RANKS, SERVICE, Job
from .peers import PeerError
from .placement import Policy, Room, Spread, capacity, place, preempt
from .provisioning import Need, remaining
from .statestore import Unavailable, Unknown

if TYPE_CHECKING:
    from .server import Controller

log = logging.getLogger("clayport.placer")

# The share of the fleet's CPUs that work without any aim may hold beside work that has one.
FILL = 0.25
# Demand told to peers: enough jobs to fill any fleet, and a bounded frame.
DEMAND_MOST = 500
# Passes in the time between two reports of a worker, at most.
PASSES = 50
# Jobs looked at and tasks placed in one pass: as much as a few full transactions start, and
# some ten milliseconds, in which no report is answered.
WORK_MOST = 1000


class Look:
    """What one pass goes by, and what it has found out on its way."""

    def __init__(self, now: float, index: Index, policy: Policy) -> None:
        self.now, self.index, self.policy = now, index, policy
        # Whether nothing but replicas is there, and what work without any aim may take:
        # only looked up once such work waits.
        self.quiet: bool | None = None
        self.fill = math.inf
        # Groups that found less than they want, and the index's revision at that time.
        self.full: dict[tuple[object, ...], int] = {}
        self.starved = False
        self.work = 0  # jobs looked at and tasks placed


class Nap(NamedTuple):
    """Why a group of waiting jobs need not be looked at: it found no room at the index's
    revision `rev`, under the policy, for what its members (by id) had waiting."""

    rev: int
    until: float
    policy: Policy
    pending: dict[str, int]


class Placer:
    """Order, room made for others, and the starts that homes are to carry out."""

    def __init__(self, core: Controller) -> None:
        self.core = core
        self.demands: dict[str, list[tuple[str, int, float, str]]] = {}  # what peers told
        self.cut_logged_at = -1e9
        self.known: Policy | None = None
        self.known_types: object = None
        self.known_until = -1e9
        self.asleep: dict[tuple[object, ...], Nap] = {}
        self.disturber = ""  # a job that work without any aim could hinder
        # Work without any aim that has waited so long is placed, and has machines rented,
        # like any other (within its share).
        self.long_s = 20 * core.settings.cluster.workers.lease_s

    # -- demand ----------------------------------------------------------

    def demand(self) -> list[tuple[str, int, float, str]]:
        """What waits here: (job, tasks, since, zones of its other tasks), bounded."""
        now = time.monotonic()
        found = []
        for hj in self.core.dispatch.homes.values():
            waiting = hj.pending + len(hj.placing)
            if waiting > 0 and now >= hj.not_before and not hj.at_fault:
                zones = ""
                if hj.job.spread or hj.job.one_zone:
                    zones = " ".join(self.core.zones.get(m, "") for _, _, m in hj.assignments())
                found.append((hj.job.id, waiting, now - hj.since, zones))
        if len(found) > DEMAND_MOST:
            # What is most urgent is told; the rest is when that has been served.
            found.sort(key=lambda row: (*self._urgency(row[0]), -row[2]))
            if now >= self.cut_logged_at:
                self.cut_logged_at = now + 20 * self.core.ttl_s
                log.info("event=demand-bounded told=%d jobs=%d", DEMAND_MOST, len(found))
        return found[:DEMAND_MOST]

    def _urgency(self, job: str) -> tuple[bool, int]:
        known = self.core.live.get(job)
        return (known[0].filler, -known[0].rank) if known else (True, 0)

    def all_demand(self) -> list[Need]:
        """Demand of the whole generation, most urgent first."""
        core = self.core
        rows = self.demand()
        for label in core.generation.members:
            if label != core.label:
                rows += self.demands.get(label, [])
        found = [Need(core.live[job][0], count, age, tuple(zones.split()))
                 for job, count, age, zones in rows if job in core.live]
        found.sort(key=lambda need: (need.job.filler, -need.job.rank, -need.age_s))
        return found

    # -- placing ---------------------------------------------------------

    async def place_all(self) -> None:
        """The placer: one pass over the waiting jobs whenever something changed."""
        core = self.core
        pause_s = core.settings.cluster.workers.report_s / PASSES
        while True:
            await core.wait("place", core.ttl_s / 2)
            if core.serving:
                self._pass(time.monotonic())
                await core.flush()
            # Changes come one by one, and a pass takes them all.
            await curio.sleep(pause_s)

    def _pass(self, now: float) -> None:
        """Look at what waits and may have found room since, the most urgent first.

        Of bounded work: what is left goes on in the next pass, when others have had their
        turn.
        """
        core = self.core
        groups: dict[tuple[object, ...], list[HomeJob]] = {}
        for hj in core.dispatch.homes.values():
            if not hj.starts and not hj.placing and now >= hj.not_before and hj.pending > 0:
                groups.setdefault(hj.group, []).append(hj)
        if not groups:
            self.asleep.clear()
            core.picture.starved = False
            return
        index = core.picture.index()
        look = Look(now, index, self.policy())
        waiting: list[HomeJob] = []
        asleep, self.asleep = self.asleep, {}
        for group, members in groups.items():
            nap = asleep.get(group)
            if nap is not None and self._sleeps(nap, members, look):
                self.asleep[group] = nap
                look.starved = look.starved or not members[0].job.filler
            else:
                waiting += members
        waiting.sort(key=lambda hj: self._order(hj, now))
        for hj in waiting:
            if look.work >= WORK_MOST:
                core.signal("place")
                break
            self._serve(hj, look)
        for group, rev in look.full.items():
            # Replicas are missed every second: they are looked at each time.
            if group in groups and groups[group][0].job.kind != SERVICE:
                self.asleep[group] = Nap(rev, now + core.ttl_s / 6, look.policy,
                                         {hj.job.id: hj.pending for hj in groups[group]})
        if look.starved and not core.picture.starved:
            core.signal("starved")
            core.signal("demand")
        core.picture.starved = look.starved

    @staticmethod
    def _sleeps(nap: Nap, members: list[HomeJob], look: Look) -> bool:
        """Whether jobs of a group that found no room would find none now either: none has
        come or waits for more, nothing that has changed fits one of their tasks, and it is
        not yet time to see what else may be stopped, or who has become impatient."""
        if look.now >= nap.until or nap.policy is not look.policy or any(
                hj.pending > nap.pending.get(hj.job.id, 0) or hj.errors for hj in members):
            return False
        job = members[0].job
        return not any(room.fits(job) or room.hold in nap.pending
                       for room in look.index.news(job, nap.rev))

    def _serve(self, hj: HomeJob, look: Look) -> None:
        """Find room for one job, or have it made; what is found is to be started."""
        job = hj.job
        if job.filler and look.quiet is None:
            look.quiet = self.quiet()
            look.fill = math.inf if look.quiet else self.fill_cpus(look.index)
        if hj.at_fault and hj.assigned > hj.running:
            # One trial at a time. (Not none while others of it run: a replica that had
            # failed on three sick machines would have been missing for good.)
            return
        look.work += 1
        if hj.group in look.full and not hj.errors and job.id not in look.index.held:
            look.starved = look.starved or not job.filler
            return
        wanted = self._wanted(hj, look)
        if wanted <= 0 or (job.kind == GANG and wanted < hj.pending):
            return
        chosen, wanted = self._seek(hj, wanted, look)
        if job.filler:
            look.fill -= len(chosen) * job.cpus
        if len(chosen) < wanted:
            look.starved = look.starved or not job.filler
            if job.id not in look.index.held and not hj.errors and not hj.left:
                look.full.setdefault(hj.group, look.index.rev)
        look.work += len(chosen)
        if chosen:
            self._begin(hj, chosen)

    def _wanted(self, hj: HomeJob, look: Look) -> int:
        """Tasks to look for: what one transaction holds, and the job may have."""
        job = hj.job
        wanted = min(hj.pending, hj.size * max(self.core.bounds.txn_ops // 4, min(
            3, self.core.dispatch.start_chunks)))
        wanted = self._within_limit(job, wanted)
        if hj.at_fault and job.kind != GANG:
            wanted = min(wanted, 1)
        if job.filler and job.cpus > 0:
            # Without a bound there are infinitely many, which is no whole number.
            wanted = int(max(0.0, min(wanted, look.fill / job.cpus)))
        return wanted

    def _seek(self, hj: HomeJob, wanted: int, look: Look) -> tuple[list[Room], int]:
        """Room that is free, and room made by stopping others; and for how many it was
        looked for in the end (fewer, where some is being made)."""
        core, job, now, index, policy = self.core, hj.job, look.now, look.index, look.policy
        without: Collection[str] = {*hj.avoided(), *hj.left} if hj.errors or hj.left else ()
        age = now - hj.since
        # Not on ordinary machines that it alone would keep rented.
        lodger = job.filler and not look.quiet and age < self.long_s
        patient, fragile = core.patient(job, age), core.fragile(job, age)
        spread = self.spread(hj)
        limit = core.wait_limits.get(job.job_class)
        most = self._stops(job, age, patient)
        find = partial(place, index=index, spread=spread, policy=policy, fragile=fragile,
                       without=without, lodger=lodger)
        make = partial(self._make_room, hj, spread=spread, look=look, without=without)
        chosen: list[Room] = []
        if hj.at_fault:
            # No room is made, and no guarantee claimed, for what will hardly use it.
            chosen = find(job, wanted, patient=True)
            wanted = len(chosen)
        elif limit is not None and age < limit and job.kind != GANG:
            # Started in time only where the image is, or comes soon enough:
            # rather than fetch it elsewhere, work of lower rank is stopped there.
            soon = self._soon(job, limit - age)
            chosen = find(job, wanted, uncached=soon)
            if len(chosen) < wanted and most >= 0:
                if now < hj.preempt_at:
                    wanted = len(chosen)
                elif not hj.preempted and make(wanted - len(chosen), grace_s=0.0,
                                               most=RANKS["best_effort"], uncached=soon):
                    hj.preempted = True
                    wanted = len(chosen)
        if len(chosen) < wanted:
            chosen += find(job, wanted - len(chosen), patient=patient or job.kind != GANG)
        if len(chosen) < wanted and not patient and job.kind != GANG:
            # Dear machines only for what work of lower rank on others can't make
            # way for: they would be kept rented for what could run cheaply.
            if most >= 0 and now >= hj.preempt_at:
                make(wanted - len(chosen), grace_s=self._grace(job, age), most=most, patient=True)
            coming = sum(n for n, until in hj.made.values() if now < until)
            chosen += find(job, max(0, wanted - len(chosen) - coming))
        if len(chosen) < wanted and most >= 0 and not job.filler and now >= hj.preempt_at:
            make(wanted - len(chosen), grace_s=self._grace(job, age), most=most)
        if len(chosen) < wanted and now >= max(hj.preempt_at, hj.claim_at) \
                and self._guaranteed(job):
            able = policy.able(job)
            machines = self._claimable(job, [
                r for p in index.allowed(job) if able is None or p.type in able
                for r in p.rooms.values() if r.machine not in without], spread)
            # A look at all machines: not with each pass.
            hj.claim_at = now + core.ttl_s / 6
            if machines:
                hj.preempt_at = now + core.ttl_s
                core.spawn(self._claim(job, machines))
        return chosen, wanted

    def _begin(self, hj: HomeJob, chosen: list[Room]) -> None:
        """Hand what was found to the job's routine."""
        for room in chosen:
            if room.machine in hj.made:
                left, until = hj.made[room.machine]
                hj.made[room.machine] = (max(0, left - 1), until)
        numbers = hj.take(len(chosen), self.core.dispatch.start_chunks)
        for room in chosen[len(numbers):]:
            room.take(hj.job, -1)  # the next transaction's
        hj.starts = [(n, r.machine) for n, r in zip(numbers, chosen)]
        for number, machine in hj.starts:
            self.core.picture.inflight[(hj.job.id, number)] = (machine, hj.job)
        self.core.signal(hj.name)

    def _order(self, hj: HomeJob, now: float) -> tuple[float, ...]:
        """By rank; then what can still be in time before what can't, so that not all
        is late when there is too much; then what has the least time left.

        Work that is to start soon comes before what has missed that and may still be
        finished in time: else a queue once too long makes all that follow miss it too.
        """
        job = hj.job
        age = now - hj.since
        left = remaining(job, age, self.core.finish_limits)
        late = 1.0 if left < 0 else 0.0
        limit = self.core.wait_limits.get(job.job_class)
        if limit is not None and job.kind != SERVICE and not late:
            if age < limit and not hj.started:
                left = min(left, limit - age)
            else:
                late = 0.5
        borrowing = float(not self._in_guarantee(job))
        if job.filler:
            # Nobody waits for it, and what runs at its rank can't make way for others.
            return (-job.rank, 2.0, borrowing, 0.0, hj.live_rev)
        if left == math.inf:
            return (-job.rank, 0.0, borrowing, 0.0, hj.live_rev)
        return (-job.rank, late, borrowing, left, hj.live_rev)

    def fill_cpus(self, index: Index) -> float:
        """What work without any aim may still take beside work that has one.

        Work of the same rank can't make it stop: an array of a guest that fills the fleet
        for minutes would make all others of its rank late.
        """
        cpus = filled = 0.0
        for pool in index.pools.values():
            kind = self.core.owner.types.get(pool.type)
            totals = pool.count()
            cpus += totals.machines * kind.cpus if kind is not None else 0.0
            filled += totals.filled
        return FILL * cpus - filled

    def quiet(self) -> bool:
        """Whether nothing but replicas is there that work without any aim could hinder."""
        if self._disturbs(self.disturber):
            return False
        for name in self.core.live:
            if self._disturbs(name):
                self.disturber = name
                return False
        return True

    def _disturbs(self, name: str) -> bool:
        known = self.core.live.get(name)
        return known is not None and known[0].kind != SERVICE and not known[0].aimless \
            and not self.core.pipes.waiting(name)

    def _in_guarantee(self, job: Job) -> bool:
        """Whether the job's team stays within its guarantee with it, as last read; true
        where that isn't counted. What is owed to a team comes before what it borrows."""
        if not self._guaranteed(job):
            return True
        which = 1 if job.gpus > 0 else 0
        used = self.core.dispatch.quotas.get(job.team, ((0.0, 0.0), 0, 0.0))[0][which]
        need = amounts(job, 1 if job.kind != GANG else job.tasks)[which]
        return used + need <= self.core.guarantees[job.team][which] + 1e-6

    def policy(self) -> Policy:
        """What keeps work off machines, from all jobs known, those just ended included.

        It is made anew when a job comes that it has no place for, or prices change, and
        now and then, since jobs go; as long as it says the same, it is the same object.
        """
        core, now = self.core, time.monotonic()
        if self.known is not None and now < self.known_until and self.known_types is core.types:
            return self.known
        found = Policy([*(j for j, _ in core.live.values()), *core.descs.values(),
                        *core.classes.values()], core.types)
        if self.known is None or not found.same(self.known):
            self.known = found
        self.known_types = core.types
        self.known_until = now + core.settings.cluster.workers.report_s
        return self.known

    def learn(self, job: Job) -> None:
        """A job has been accepted."""
        if self.known is not None and not self.known.covers(job):
            self.known_until = -1e9

    def _make_room(self, hj: HomeJob, wanted: int, spread: Spread, look: Look, grace_s: float,
                   most: int, patient: bool = False, without: Collection[str] = (),
                   uncached: frozenset[str] | None = None) -> bool:
        """Have work of lower rank stopped for tasks of the job, if that helps.

        What is being made already, and doesn't show yet, is not made again elsewhere.
        """
        job, now = hj.job, look.now
        hj.made = {m: (n, until) for m, (n, until) in hj.made.items() if now < until}
        coming = sum(n for n, _ in hj.made.values())
        wanted = min(wanted - coming, 1 if job.kind == GANG else wanted)
        if wanted <= 0:
            return True
        found = preempt(job, wanted, look.index, spread.copy(), look.policy, most,
                        self.core.fragile(job, now - hj.since), patient,
                        {*without, *hj.made} if hj.made else without, uncached)
        shows = now + self.core.ttl_s / 3 + (0.0 if grace_s <= 0 else min(
            grace_s, self.core.settings.cluster.workers.gang_peer_s))
        if found:
            # Only then: where no lower rank can be stopped, a higher one, or what other
            # teams borrow, is to be asked for in the same pass.
            hj.preempt_at = now + self.core.ttl_s / 6
        for room, count in found:
            hj.made[room.machine] = (count, shows)
            self.core.spawn(self._preempt(room.machine, job, grace_s, (), count))
        return bool(found) or coming > 0

    def _stops(self, job: Job, age_s: float, patient: bool) -> int:
        """The highest rank that may be stopped for the job; -1: none.

        What has its rank from a job that needs it stops what its own would, and the lowest
        rank, until it has no time left for room to become free: of the tasks on a saturated
        fleet a tenth were stopped for pipelines that had a minute to spare. (Not even the
        lowest was tried: they then took all free room, and made other work late.)
        """
        own = self.core.pipes.own_rank(job)
        limit = self.core.wait_limits.get(job.job_class)
        if own < job.rank and patient and (limit is None or age_s < limit / 2):
            return max(own - 1, RANKS["best_effort"])
        return job.rank - 1

    def _grace(self, job: Job, age_s: float) -> float:
        """How long victims may take to save: as they need, but not while it may make a
        start late that is to be soon (six seconds of saving and a fetch did). A replica
        that is down is missed every second."""
        limit = self.core.wait_limits.get(job.job_class)
        return 0.0 if job.kind == SERVICE or limit is not None and age_s < limit else math.inf

    def _guaranteed(self, job: Job) -> bool:
        """Whether the job's team has a guarantee that may be claimed for it."""
        cpus, gpus = self.core.guarantees.get(job.team, (0.0, 0.0))
        return (gpus > 0 and job.gpus > 0) or (cpus > 0 and job.gpus == 0)

    @staticmethod
    def _claimable(job: Job, pool: list[Room], spread: Spread) -> list[str]:
        """Machines of which one more would do: what others run is not stopped for a gang
        that can't start on what it would get. (Gangs of two had one task after another
        stopped, in one zone and the next, and started nowhere.)"""
        rooms = [r for r in pool if r.open and r.allows(job) and spread.allows(r.zone)]
        if job.kind != GANG:
            return [r.machine for r in rooms]
        free: dict[str, int] = {}
        for room in rooms:
            zone = room.zone if job.one_zone else ""
            free[zone] = free.get(zone, 0) + (capacity(job, room) if room.fits(job) else 0)
        return [r.machine for r in rooms if not r.fits(job)
                and free[r.zone if job.one_zone else ""] >= job.tasks - 1]

    async def _claim(self, job: Job, machines: list[str]) -> None:
        """Give a team its guarantee from what other teams run beyond theirs.

        Only teams with limits have their use counted; the others can't be shown
        to borrow, and their work is left alone.
        """
        core = self.core
        try:
            entries, _ = await core.store.scan("quota/")
        except (Unavailable, Unknown):
            return
        used = {e.key.partition("/")[2]: quota_of(e.value) for e in entries}
        own, have = core.guarantees[job.team], used.get(job.team, (0.0, 0.0))
        need = amounts(job, 1 if job.kind != GANG else job.tasks)
        which = 1 if job.gpus > 0 else 0
        if have[which] + need[which] > own[which] + 1e-6:
            return
        over = [team for team, use in used.items() if team != job.team
                and use[which] > core.guarantees.get(team, (0.0, 0.0))[which] + 1e-6]
        for machine in machines if over else ():
            if await self._preempt(machine, job, math.inf, over):
                return

    def _fetch_from_s(self, job: Job, type: str) -> float:
        """How long the image takes on machines without it; rates differ by up to a third."""
        kind = self.core.owner.types.get(type)
        if kind is None or kind.fetch_gb_per_s <= 0:
            return 0.0
        return job.image_gb / kind.fetch_gb_per_s * 4 / 3

    async def _preempt(self, machine: str, job: Job, grace_s: float,
                       over: Iterable[str] = (), count: int = 1) -> bool:
        """Ask a machine's owner to make room for tasks of the job."""
        core = self.core
        owner = core.generation.place(machine)
        if owner == core.label:
            done = core.owner.preempt(job, machine, grace_s, time.monotonic(), over, count)
            core.fleet.poke(machine)
            return done
        try:
            done = bool((await core.peers[owner].call(peerwire.PREEMPT, (
                core.generation.number, machine, job.id, count, grace_s,
                [(t,) for t in over])))[0])
        except (PeerError, KeyError):
            return False
        if done and grace_s <= 0:
            core.spawn(core.picture.pull_soon(owner))
        return done

    def spread(self, hj: HomeJob) -> Spread:
        zones = []
        if hj.job.one_zone or hj.job.spread:
            for _, _, machine in hj.assignments():
                zones.append(self.core.zones.get(machine))
        return Spread(hj.job, zones)

    def movable(self, job: str, number: int, machine: str, drain: bool) -> bool:
        """Whether a replica would find another place where it starts soon.

        It is stopped before it starts elsewhere, so its image must be there, or be
        fetched in less time than passes between two reports.
        """
        hj = self.core.dispatch.homes.get(job)
        room = self.core.picture.rooms().get(machine)
        if hj is None or hj.pending or room is None \
                or (hj.assignment(number) or (0, ""))[1] != machine \
                or time.monotonic() - hj.moved_at < self.core.settings.cluster.workers.lease_s \
                * (3.0 if drain and not self.policy().dear(hj.job, room) else 0.3):
            return False
        zones = [self.core.zones.get(m) for n, _, m in hj.assignments() if n != number]
        policy, index = self.policy(), self.core.picture.index()
        dear = policy.dear(hj.job, room)
        soon = self._soon(hj.job, self.core.settings.cluster.workers.report_s)
        with index.trial():
            found = bool(place(hj.job, 1, index, Spread(hj.job, zones), policy, True,
                               without=(machine,), uncached=soon))
        if not found and (drain and not dear or not preempt(
                hj.job, 1, index, Spread(hj.job, zones), policy,
                RANKS["best_effort"] if drain else None, False, True, (machine,), soon)):
            # To free GPUs, or a dear machine, work of lower rank may have to make way
            # elsewhere.
            return False
        # Not again soon: a move costs a moment each time.
        hj.moved_at = time.monotonic()
        return True

    def _soon(self, job: Job, within_s: float) -> frozenset[str] | None:
        """Types whose machines have the job's image in time when they begin to fetch it now;
        None: all."""
        found = frozenset(t for t in self.core.owner.types
                          if self._fetch_from_s(job, t) < within_s)
        return None if len(found) == len(self.core.owner.types) else found

    def _within_limit(self, job: Job, wanted: int) -> int:
        """Tasks that the team's limit leaves room for, as far as known here.

        What was read long ago is not believed: other homes may have released
        some since, and nothing else would ever make us look again.
        """
        limit = self.core.limits.get(job.team, (0.0, 0.0))
        used, _, at = self.core.dispatch.quotas.get(job.team, ((0.0, 0.0), 0, 0.0))
        if time.monotonic() - at > self.core.settings.cluster.workers.report_s:
            return wanted
        for cap, have, need in zip(limit, used, amounts(job, 1)):
            if cap > 0 and need > 0:
                wanted = min(wanted, int((cap - have + 1e-6) / need))
        return wanted
