"""What waits here, and where it is to start: the placer's pass over the cached picture."""

from __future__ import annotations

import logging
import math
import time
from collections.abc import Iterable
from typing import TYPE_CHECKING, Any

import curio

from . import peerwire
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


class Placer:
    """Order, room made for others, and the starts that homes are to carry out."""

    def __init__(self, core: Controller) -> None:
        self.core = core
        self.demands: dict[str, list[tuple[str, int, float, str]]] = {}  # what peers told
        self.cut_logged_at = -1e9
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
        while True:
            await core.wait("place", core.ttl_s / 2)
            if core.serving:
                self._pass(time.monotonic())
                await core.flush()
            await curio.sleep(0.02)

    def _pass(self, now: float) -> None:
        core = self.core
        waiting = [hj for hj in self.core.dispatch.homes.values()
                   if hj.pending > 0 and not hj.starts and not hj.placing and now >= hj.not_before]
        if not waiting:
            self.core.picture.starved = False
            return
        rooms = self.core.picture.rooms()
        waiting.sort(key=lambda hj: self._order(hj, now))
        starved = False
        policy = self.policy()
        full: set[tuple[Any, ...]] = set()
        quiet = self.quiet()
        fill = math.inf if quiet else self.fill_cpus(rooms.values())
        for hj in waiting:
            job = hj.job
            if hj.at_fault and hj.assigned > hj.running:
                # One trial at a time. (Not none while others of it run: a replica that had
                # failed on three sick machines would have been missing for good.)
                continue
            shape = (job.cpus, job.gpus, job.memory_gb, tuple(job.types or ()), job.zone, job.spot,
                     job.kind, job.rank, job.filler, job.one_zone, job.spread,
                     job.tasks if job.kind == GANG else 0)
            if shape in full and not hj.errors:
                starved = starved or not job.filler
                continue
            wanted = min(hj.pending, hj.size * max(core.bounds.txn_ops // 4, min(
                3, core.dispatch.start_chunks)))
            wanted = self._within_limit(job, wanted)
            if hj.at_fault and job.kind != GANG:
                wanted = min(wanted, 1)
            if job.filler and job.cpus > 0:
                # Without a bound there are infinitely many, which is no whole number.
                wanted = int(max(0.0, min(wanted, fill / job.cpus)))
            if wanted <= 0 or (job.kind == GANG and wanted < hj.pending):
                continue
            avoided = hj.avoided()
            pool = [r for r in rooms.values() if r.machine not in avoided
                    and r.machine not in hj.left] if avoided or hj.left else list(rooms.values())
            age = now - hj.since
            if job.filler and not quiet and age < self.long_s:
                # Not on ordinary machines that it alone would keep rented.
                pool = [r for r in pool if r.spot or not r.idle]
            patient, fragile = core.patient(job, age), core.fragile(job, age)
            spread = self.spread(hj)
            limit = core.wait_limits.get(job.job_class)
            most = self._stops(job, age, patient)
            chosen: list[Room] = []
            if hj.at_fault:
                # No room is made, and no guarantee claimed, for what will hardly use it.
                chosen = place(job, wanted, pool, spread, core.label, policy, True, fragile)
                wanted = len(chosen)
            elif limit is not None and age < limit and job.kind != GANG:
                # Started in time only where the image is, or comes soon enough:
                # rather than fetch it elsewhere, work of lower rank is stopped there.
                quick = [r for r in pool if self._fetch_s(job, r) < limit - age]
                chosen = place(job, wanted, quick, spread, core.label, policy, False, fragile)
                if len(chosen) < wanted and most >= 0:
                    if now < hj.preempt_at:
                        wanted = len(chosen)
                    elif not hj.preempted and self._make_room(
                            hj, wanted - len(chosen), quick, spread, policy, 0.0, now,
                            RANKS["best_effort"]):
                        hj.preempted = True
                        wanted = len(chosen)
            if len(chosen) < wanted:
                chosen += place(job, wanted - len(chosen), pool, spread, core.label, policy,
                                patient or job.kind != GANG, fragile)
            if len(chosen) < wanted and not patient and job.kind != GANG:
                # Dear machines only for what work of lower rank on others can't make
                # way for: they would be kept rented for what could run cheaply.
                cheap = [r for r in pool if not policy.dear(job, r)]
                if most >= 0 and now >= hj.preempt_at:
                    self._make_room(hj, wanted - len(chosen), cheap, spread, policy,
                                    self._grace(job, age), now, most)
                coming = sum(n for n, until in hj.made.values() if now < until)
                chosen += place(job, max(0, wanted - len(chosen) - coming), pool, spread,
                                core.label, policy, False, fragile)
            if len(chosen) < wanted and most >= 0 and not job.filler \
                    and now >= hj.preempt_at:
                self._make_room(hj, wanted - len(chosen), pool, spread, policy,
                                self._grace(job, age), now, most)
            if len(chosen) < wanted and now >= hj.preempt_at and self._guaranteed(job):
                machines = self._claimable(job, pool, spread)
                if machines:
                    hj.preempt_at = now + core.ttl_s
                    core.spawn(self._claim(job, machines))
            if job.filler:
                fill -= len(chosen) * job.cpus
            if len(chosen) < wanted:
                starved = starved or not job.filler
                if not job.one_zone and not job.spread:
                    full.add(shape)
            if not chosen:
                continue
            for room in chosen:
                if room.machine in hj.made:
                    left_, until = hj.made[room.machine]
                    hj.made[room.machine] = (max(0, left_ - 1), until)
            numbers = hj.take(len(chosen), self.core.dispatch.start_chunks)
            for room in chosen[len(numbers):]:
                room.take(job, -1)  # the next transaction's
            hj.starts = [(n, r.machine) for n, r in zip(numbers, chosen)]
            for number, machine in hj.starts:
                self.core.picture.inflight[(job.id, number)] = (machine, job)
            core.signal(hj.name)
        if starved and not self.core.picture.starved:
            core.signal("starved")
            core.signal("demand")
        self.core.picture.starved = starved

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

    def fill_cpus(self, rooms: Iterable[Room]) -> float:
        """What work without any aim may still take beside work that has one.

        Work of the same rank can't make it stop: an array of a guest that fills the fleet
        for minutes would make all others of its rank late.
        """
        types = {t.name: t.cpus for t in self.core.types}
        cpus = filled = 0.0
        for room in rooms:
            cpus += types.get(room.type, 0.0) if room.open else 0.0
            filled += room.filled
        return FILL * cpus - filled

    def quiet(self) -> bool:
        """Whether nothing but replicas is there that work without any aim could hinder."""
        return not any(j.kind != SERVICE and not j.aimless and not self.core.pipes.waiting(j.id)
                       for j, _ in self.core.live.values())

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
        """What keeps work off machines, from all jobs known, those just ended included."""
        core = self.core
        return Policy([*(j for j, _ in core.live.values()), *core.descs.values(),
                       *core.classes.values()], core.types)

    def _make_room(self, hj: HomeJob, wanted: int, pool: list[Room], spread: Spread,
                   policy: Policy, grace_s: float, now: float, most: int | None = None) -> bool:
        """Have work of lower rank stopped for tasks of the job, if that helps.

        What is being made already, and doesn't show yet, is not made again elsewhere.
        """
        job = hj.job
        hj.made = {m: (n, until) for m, (n, until) in hj.made.items() if now < until}
        coming = sum(n for n, _ in hj.made.values())
        wanted = min(wanted - coming, 1 if job.kind == GANG else wanted)
        if wanted <= 0:
            return True
        found = preempt(job, wanted, [r for r in pool if r.machine not in hj.made],
                        spread.copy(), policy, most, self.core.fragile(job, now - hj.since))
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

    def _fetch_s(self, job: Job, room: Room) -> float:
        """How long the image takes to be there; rates differ by up to a third."""
        kind = self.core.owner.types.get(room.type)
        if job.image in room.images or kind is None or kind.fetch_gb_per_s <= 0:
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
        policy = self.policy()
        near = [r.copy() for r in self.core.picture.rooms().values() if r.machine != machine
                and self._soon(hj.job, r) and not policy.dear(hj.job, r)]
        spread = Spread(hj.job, zones)
        if not place(hj.job, 1, [r.copy() for r in near], spread, "", policy) and (
                drain and not policy.dear(hj.job, room)
                or not preempt(hj.job, 1, near, Spread(hj.job, zones), policy,
                               RANKS["best_effort"] if drain else None)):
            # To free GPUs, or a dear machine, work of lower rank may have to make way
            # elsewhere.
            return False
        # Not again soon: a move costs a moment each time.
        hj.moved_at = time.monotonic()
        return True

    def _soon(self, job: Job, room: Room) -> bool:
        return self._fetch_s(job, room) < self.core.settings.cluster.workers.report_s

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
