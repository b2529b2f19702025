"""The home's routines: placing from the cached picture, committing, launching."""

from __future__ import annotations

import logging
import math
import time
from collections.abc import Container, Iterable
from typing import TYPE_CHECKING, Any

import curio
import msgspec

from . import peerwire
from .jobs import (
    CLEAR,
    GENERATION_KEY,
    KILL,
    LATER,
    OK,
    HomeJob,
    amounts,
    end_key,
    end_value,
    ended,
    fitted,
    live_key,
    parse_chunk_key,
    quota_key,
    quota_of,
)
from .model import GANG, RANKS, SERVICE, Chunk, Job, split_task
from .peers import PeerError
from .placement import Policy, Room, Spread, capacity, place, preempt
from .provisioning import Need, remaining
from .statestore import CANCEL_S, URGENT_S, Conflict, TooLarge, Txn, Unavailable, Unknown
from .workers import GONE

if TYPE_CHECKING:
    from .server import Controller

log = logging.getLogger("clayport.dispatch")

# The share of the fleet's CPUs that work without any aim may hold beside work that has one.
FILL = 0.25
# Demand told to peers: enough jobs to fill any fleet, and a bounded frame.
DEMAND_MOST = 500


class Evicted(Exception):
    """The generation has moved on: this routine's work is no longer ours."""


class Dispatch:
    """Homes of jobs, and the picture they are placed from."""

    def __init__(self, core: Controller) -> None:
        self.core = core
        self.homes: dict[str, HomeJob] = {}
        # A team's use as last read: (cpus, gpus), revision, when.
        self.quotas: dict[str, tuple[tuple[float, float], int, float]] = {}
        self.demands: dict[str, list[tuple[str, int, float, str]]] = {}
        self.cut_logged_at = -1e9
        # Work without any aim that has waited so long is placed, and has machines rented,
        # like any other (within its share).
        self.long_s = 20 * core.settings.cluster.workers.lease_s

    @property
    def start_chunks(self) -> int:
        """Chunks that a transaction of starts may change, beside the quota."""
        return max(1, self.core.bounds.txn_ops - 4)

    @property
    def outcome_chunks(self) -> int:
        """The same for outcomes: also the quota, the live and the final record."""
        return max(1, self.core.bounds.txn_ops - 4)

    # -- demand ----------------------------------------------------------

    def demand(self) -> list[tuple[str, int, float, str]]:
        """What waits here: (job, tasks, since, zones of its other tasks), bounded."""
        now = time.monotonic()
        found = []
        for hj in self.homes.values():
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
        waiting = [hj for hj in self.homes.values()
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
            wanted = min(hj.pending, hj.size * max(1, core.bounds.txn_ops // 4))
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
                if len(chosen) < wanted and job.rank > 0:
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
                if job.rank > 0 and now >= hj.preempt_at:
                    self._make_room(hj, wanted - len(chosen), cheap, spread, policy,
                                    self._grace(job, age), now)
                coming = sum(n for n, until in hj.made.values() if now < until)
                chosen += place(job, max(0, wanted - len(chosen) - coming), pool, spread,
                                core.label, policy, False, fragile)
            if len(chosen) < wanted and job.rank > 0 and not job.filler \
                    and now >= hj.preempt_at:
                self._make_room(hj, wanted - len(chosen), pool, spread, policy,
                                self._grace(job, age), now)
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
            numbers = hj.take(len(chosen), self.start_chunks)
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
        used = self.quotas.get(job.team, ((0.0, 0.0), 0, 0.0))[0][which]
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
        hj = self.homes.get(job)
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
        used, _, at = self.quotas.get(job.team, ((0.0, 0.0), 0, 0.0))
        if time.monotonic() - at > self.core.settings.cluster.workers.report_s:
            return wanted
        for cap, have, need in zip(limit, used, amounts(job, 1)):
            if cap > 0 and need > 0:
                wanted = min(wanted, int((cap - have + 1e-6) / need))
        return wanted

    # -- one job ---------------------------------------------------------

    async def drive(self, hj: HomeJob) -> None:
        """The routine of one job, for as long as this generation lasts."""
        core = self.core
        # A name of this generation's own: the previous routine of the same job may
        # end later, and must neither take our signals nor remove what we wait for
        # (a cancelled job's kill was once never sent because of that).
        name = hj.name
        gen = core.generation
        try:
            await self._adopt(hj)
            while core.generation is gen:
                try:
                    while core.generation is gen and await self._step(hj):
                        await core.flush()
                except (Unavailable, Unknown) as exc:
                    log.debug("job=%s event=waiting cause=%s", hj.job.id, exc)
                    await curio.sleep(core.jitter(core.ttl_s / 6))
                    continue
                except (msgspec.MsgspecError, KeyError, TypeError, ValueError) as exc:
                    # A malformed value of the state service: the job waits, and tries
                    # again, instead of losing its routine for this generation.
                    log.error("job=%s event=malformed cause=%r", hj.job.id, exc)
                    await curio.sleep(core.jitter(core.ttl_s))
                    continue
                if hj.closed:
                    self.homes.pop(hj.job.id, None)
                    core.descs.pop(hj.job.id, None)
                    return
                await core.flush()
                await core.wait(name, core.ttl_s if hj.ended or hj.breaking else 4 * core.ttl_s)
                unheard = hj.unheard(time.monotonic(), 4 * core.ttl_s)
                if unheard:
                    # Of what nobody says anything, the owner may have lost track.
                    log.info("job=%s event=unheard tasks=%d", hj.job.id, len(unheard))
                    await self._adopt(hj, unheard)
        except Evicted:
            pass
        finally:
            core.events.pop(name, None)

    async def _step(self, hj: HomeJob) -> bool:
        """One thing that is due; False when nothing is."""
        core = self.core
        if core.upgraded and hj.narrow(core.narrow_size) or hj.wide:
            await self._move(hj)
            return True
        if not hj.ended and hj.job.id in core.pipes.doomed:
            await self._cancel(hj)
            return True
        if hj.starts:
            starts, hj.starts = hj.starts, []
            try:
                await self._start(hj, starts)
            finally:
                for number, _ in starts:
                    self.core.picture.inflight.pop((hj.job.id, number), None)
                hj.give_back([n for n, _ in starts if n in hj.placing])
                self.core.picture.stale.update(dict.fromkeys(machine for _, machine in starts))
            self.core.signal("place")
            return True
        if hj.outcomes:
            await self._commit_outcomes(hj)
            return True
        now = time.monotonic()
        if now >= hj.kill_at:
            if hj.ended:
                left, grace = hj.assignments(), 0.0
            else:
                left, grace = hj.broken(), hj.job.save_s if hj.job.checkpoint_s else 0.0
            if left:
                hj.kill_at = now + self.core.ttl_s
                await self._stop(hj, [(m, f"{hj.job.id}/{n}", a, grace, False) for n, a, m in left])
        if hj.ended and not hj.assigned:
            await self._tidy(hj)
            hj.closed = True
        return False

    async def _move(self, hj: HomeJob) -> None:
        """Write the job's narrower chunks, then remove the wider ones they come from.

        Nothing else of the job is committed meanwhile, so that after an end in the middle
        the wider ones still hold all of it. (Tasks found under the wrong key would be
        started again while they run.)
        """
        fence = self._fence(hj)
        moved: set[int] = set()
        log.info("job=%s generation=%d event=narrow chunks=%d size=%d", hj.job.id,
                 hj.generation, len(hj.chunks), hj.size)
        while hj.wide:
            txn, chunks, gone = hj.move_txn(fence, self.core.bounds.txn_ops, moved)
            try:
                rev = await self._settle(txn, fence)
            except Conflict as exc:
                await self._conflict(hj, exc, fence)
                return
            hj.committed(chunks, rev)
            moved.update(chunks)
            for key in gone:
                del hj.wide[key]

    async def _cancel(self, hj: HomeJob) -> None:
        """A job that this one needs was cancelled, and so is this one.

        From the records alone, by whichever controller is its home: the one that told the
        user may be gone. No task of it has ever started.
        """
        core, job = self.core, hj.job.id
        entry = await core.store.get(live_key(job))
        if entry is None:
            await self.learn_end(job)
            if not hj.ended:
                raise Unavailable("the record is just changing")
            return
        txn = Txn().require(live_key(job), entry.rev).delete(live_key(job))
        txn.put(end_key(job), fitted(end_value("cancelled", time.time(), entry.value["j"]),
                                     core.bounds.value_kb))
        try:
            await self._settle(txn, self._fence(hj), CANCEL_S)
        except Conflict:
            return
        log.info("job=%s generation=%d event=cancelled cause=prereq", job, hj.generation)
        core.note_end(job, "cancelled", time.time())

    def _fence(self, hj: HomeJob) -> int:
        """The condition of the job's commits: the generation that it was loaded under.

        Not whichever holds now. The routine of the generation before, delayed by a peer
        that had crashed, once went on under the next one beside its successor; both used
        the same attempt number, and tasks ran twice.
        """
        if not self.core.serving or self.core.generation.number != hj.generation:
            raise Evicted
        return self.core.generation.rev

    async def _settle(self, txn: Txn, fence: int, ahead_s: float = 0.0) -> int:
        """Commit until the outcome is certain; Conflict, or Unavailable if never sent.

        An unanswered transaction may still be applied: it is sent again until
        an answer tells, since either copy makes the other fail. One that has become too
        large meanwhile will never tell: what holds now has to be read.
        """
        unsure = False
        while True:
            if self.core.generation.rev != fence:
                raise Evicted
            try:
                return await self.core.store.commit(txn, ahead_s=ahead_s)
            except Unknown:
                unsure = True
            except TooLarge:
                if unsure:
                    raise Conflict([k for k in txn.when if k != GENERATION_KEY]) from None
                raise
            except Unavailable:
                if not unsure:
                    raise
            await curio.sleep(self.core.jitter(self.core.ttl_s / 12))

    async def _start(self, hj: HomeJob, starts: list[tuple[int, str]]) -> None:
        core, job = self.core, hj.job
        fence = self._fence(hj)
        gen = core.generation
        if await self._charge(job, 1 if job.kind != GANG else len(starts)) is None:
            return
        if not hj.filling:
            hj.attempt += 1
        attempt = hj.attempt
        granted = await self._reserve(hj, starts, attempt)
        if core.generation is not gen:
            raise Evicted
        declined = [s for s in starts if s not in granted]
        self.core.picture.asc.count(len(granted), len(declined))
        for _, machine in declined:
            # Not tried again before the picture of it is renewed.
            room = core.rooms.get(machine)
            if room is not None and room.owner != core.label:
                room.open = False
        if declined:
            core.signal("starved")
            self.core.picture.starved = True
        release = [(m, f"{job.id}/{n}", attempt, 0.0, False) for n, m in granted]
        if not granted or hj.ended or (job.kind == GANG and declined):
            await self._stop(hj, release)
            return
        try:
            quota = await self._charge(job, len(granted))
        except Unavailable:
            await self._stop(hj, release)
            raise
        if quota is None:
            await self._stop(hj, release)
            return
        txn, chunks = hj.start_txn(fence, granted, attempt)
        for key, (value, rev) in quota.items():
            txn.require(key, rev).put(key, value)
        try:
            rev = await self._settle(txn, fence, URGENT_S if job.kind == SERVICE else 0.0)
        except Conflict as exc:
            await self._stop(hj, release)
            await self._conflict(hj, exc, fence)
            return
        except Unavailable:
            await self._stop(hj, release)
            raise
        hj.committed(chunks, rev)
        self._charged(quota, rev)
        for number, _ in granted:
            hj.placing.discard(number)
        await self._launch(hj, [(m, f"{job.id}/{n}", attempt) for n, m in granted], fence)

    async def _reserve(self, hj: HomeJob, starts: list[tuple[int, str]], attempt: int
                       ) -> list[tuple[int, str]]:
        """Ask the machines' owners; what they refuse is declined."""
        core = self.core
        granted: list[tuple[int, str]] = []
        task = hj.job.id
        for owner, items in self._by_owner((m, n) for n, m in starts).items():
            if core.generation.number != hj.generation:
                raise Evicted
            if owner == core.label:
                flags = core.owner.reserve(hj.job, items, attempt, time.monotonic())
            else:
                try:
                    ok, rows = await core.peers[owner].call(
                        peerwire.RESERVE, (core.generation.number, task, attempt, items))
                    flags = [f for (f,) in rows] if ok else [False] * len(items)
                except (PeerError, KeyError):
                    flags = [False] * len(items)
            granted += [(n, m) for (m, n), flag in zip(items, flags) if flag]
        return granted

    def _by_owner(self, items: Iterable[tuple[Any, ...]]) -> dict[str, list[tuple[Any, ...]]]:
        found: dict[str, list[tuple[Any, ...]]] = {}
        for item in items:
            found.setdefault(self.core.generation.place(item[0]), []).append(item)
        return found

    async def _charge(self, job: Job, count: int
                      ) -> dict[str, tuple[dict[str, float], int]] | None:
        """The quota's change for `count` tasks (negative: released); None: not allowed.

        The quota is changed by the very transaction that assigns or ends the
        tasks, so it can't drift from what they take.
        """
        limit = self.core.limits.get(job.team, (0.0, 0.0))
        cpus, gpus = amounts(job, count)
        if not ((limit[0] > 0 and cpus) or (limit[1] > 0 and gpus)):
            return {}
        key = quota_key(job.team)
        entry = await self.core.store.get(key)
        used = quota_of(entry.value if entry else None)
        rev = entry.rev if entry else 0
        self.quotas[job.team] = (used, rev, time.monotonic())
        after = (round(used[0] + cpus, 6), round(used[1] + gpus, 6))
        if count > 0 and ((0 < limit[0] < after[0] - 1e-6) or (0 < limit[1] < after[1] - 1e-6)):
            return None
        return {key: ({"c": max(0.0, after[0]), "g": max(0.0, after[1])}, rev)}

    def _charged(self, quota: dict[str, tuple[dict[str, float], int]], rev: int) -> None:
        for key, (value, _) in quota.items():
            self.quotas[key.partition("/")[2]] = (quota_of(value), rev, time.monotonic())

    async def _launch(self, hj: HomeJob, items: list[tuple[str, str, int]], fence: int) -> None:
        """Hand committed starts to the owners, until each has said yes or no."""
        core = self.core
        log.info("job=%s generation=%d event=launch tasks=%d attempt=%d", hj.job.id,
                 core.generation.number, len(items), items[0][2])
        for owner, part in self._by_owner(items).items():
            waiting = part
            while waiting:
                if core.generation.rev != fence:
                    raise Evicted
                if hj.ended:
                    # Cancelled between the commit and here: judged by reports,
                    # and never launched.
                    await self._adopt(hj)
                    return
                if owner == core.label:
                    answers = core.owner.launch(waiting)
                    for machine in dict.fromkeys(i[0] for i in waiting):
                        core.fleet.poke(machine)
                else:
                    try:
                        ok, rows = await core.peers[owner].call(
                            peerwire.LAUNCH, (core.generation.number, waiting))
                        if not ok:
                            raise PeerError("not the owner")
                        answers = [v for (v,) in rows]
                    except (PeerError, KeyError):
                        await curio.sleep(core.jitter(core.ttl_s / 12))
                        waiting = [i for i in waiting if self._unsettled(hj, i)]
                        continue
                for (machine, task, attempt), answer in zip(waiting, answers):
                    number = split_task(task)[1]
                    if not answer and hj.assignment(number) == (attempt, machine):
                        # No reservation: it was not launched and never will be.
                        hj.event(machine, number, attempt, GONE, "", time.monotonic())
                break

    @staticmethod
    def _unsettled(hj: HomeJob, item: tuple[str, str, int]) -> bool:
        number = split_task(item[1])[1]
        return hj.assignment(number) == (item[2], item[0]) and number not in hj.outcomes \
            and number not in hj.states

    async def _stop(self, hj: HomeJob, items: list[tuple[str, str, int, float, bool]]) -> None:
        """Kill or clear through the owners. What gets lost is asked again, or expires."""
        core = self.core
        for owner, part in self._by_owner(items).items():
            if core.generation.number != hj.generation:
                return  # its successor may mean something else by the same attempt
            if owner == core.label:
                core.owner.stop(part)
                for machine in dict.fromkeys(i[0] for i in part):
                    core.fleet.poke(machine)
                continue
            try:
                await core.peers[owner].call(peerwire.STOP, (core.generation.number, part))
            except (PeerError, KeyError):
                pass

    async def _adopt(self, hj: HomeJob, only: Container[int] | None = None) -> None:
        """Have committed assignments judged by their owners' reports."""
        core = self.core
        gen = core.generation
        if gen.number != hj.generation:
            raise Evicted
        for owner, part in self._by_owner((m, f"{hj.job.id}/{n}", a)
                                          for n, a, m in hj.assignments()
                                          if only is None or n in only).items():
            while True:
                if core.generation is not gen:
                    raise Evicted
                if owner == core.label:
                    core.owner.adopt(part, time.monotonic())
                    break
                try:
                    if (await core.peers[owner].call(peerwire.ADOPT, (gen.number, part)))[0]:
                        break
                except (PeerError, KeyError):
                    pass
                await curio.sleep(core.jitter(core.ttl_s / 6))
        await core.flush()

    async def _commit_outcomes(self, hj: HomeJob) -> None:
        core = self.core
        fence = self._fence(hj)
        at = time.time()
        txn, chunks, covered, over = hj.outcome_txn(fence, self.outcome_chunks, at)
        count = sum(1 for n in covered if hj.assignment(n) is not None)
        quota = await self._charge(hj.job, -count) or {}
        for key, (value, rev) in quota.items():
            txn.require(key, rev).put(key, value)
        if txn.writes:
            try:
                rev = await self._settle(txn, fence)
            except Conflict as exc:
                await self._conflict(hj, exc, fence)
                return
            hj.committed(chunks, rev)
            self._charged(quota, rev)
            dropped = {w["remove"] for w in txn.writes if "remove" in w}
            for index in [i for i in chunks if hj.key(i) in dropped]:
                del hj.chunks[index]
        where = {n: hj.where.pop(n, "") for n in covered}
        cleared = hj.covered(covered)
        if over:
            hj.ended = "done"
            core.note_end(hj.job.id, "done", at)
            log.info("job=%s generation=%d event=done", hj.job.id, core.generation.number)
        await self._stop(hj, [(where[n], f"{hj.job.id}/{n}", a, 0.0, True)
                          for n, a in cleared if where[n]])
        core.signal("place")

    async def _conflict(self, hj: HomeJob, exc: Conflict, fence: int) -> None:
        """Somebody else changed something: read what holds now."""
        core = self.core
        log.info("job=%s event=conflict keys=%s", hj.job.id, exc.failed)
        if GENERATION_KEY in exc.failed:
            core.suspect_stale()
            await curio.sleep(core.jitter(core.ttl_s / 12))
            return
        if live_key(hj.job.id) in exc.failed and not hj.ended:
            await self.learn_end(hj.job.id)
        ours = [k for k in exc.failed if k.startswith(f"run/{hj.job.id}/")]
        if ours:
            entries, _ = await core.store.scan(f"run/{hj.job.id}/")
            if core.generation.rev != fence:
                raise Evicted
            hj.load_all({parse_chunk_key(e.key)[1:]: Chunk.parse(e.value, e.rev)
                         for e in entries})
            hj.outcomes = {n: o for n, o in hj.outcomes.items()
                           if (hj.assignment(n) or (0, ""))[0] == o[0]}
            await self._adopt(hj)

    async def learn_end(self, job: str) -> None:
        """The live record is gone: find out how the job ended."""
        entry = await self.core.store.get(end_key(job))
        if entry is not None:
            self.core.note_end(job, *ended(entry.value))

    async def _tidy(self, hj: HomeJob) -> None:
        """Remove what is left of an ended job's records."""
        left = sorted(hj.chunks.items())
        left = [(i, c) for i, c in left if c.rev]
        most = max(1, self.core.bounds.txn_ops - 2)
        while left:
            part, left = left[:most], left[most:]
            txn = Txn().require(GENERATION_KEY, self._fence(hj))
            for index, _ in part:
                txn.delete(hj.key(index))
            try:
                await self._settle(txn, self.core.generation.rev)
            except Conflict:
                return

    # -- what owners tell ------------------------------------------------

    def told(self, events: Iterable[tuple[str, str, int, str, str, bool]]) -> list[int]:
        """Judge an owner's events."""
        core = self.core
        verdicts = []
        now = time.monotonic()
        for machine, task, attempt, state, cause, _ in events:
            try:
                job, number = split_task(task)
            except ValueError:
                verdicts.append(CLEAR if state == "exited" else KILL)
                continue
            hj = self.homes.get(job)
            if hj is None:
                if job in core.live:
                    verdict = LATER  # its routine is just being started
                else:
                    verdict = OK if state == GONE else CLEAR if state == "exited" else KILL
            else:
                verdict = hj.event(machine, number, attempt, state, cause, now)
                if number in hj.outcomes:
                    hj.where[number] = machine if state == "exited" else ""
                    core.signal(hj.name)
            verdicts.append(verdict)
        return verdicts

    def counts(self, job: str) -> tuple[int, int] | None:
        hj = self.homes.get(job)
        if hj is None:
            return None
        return (0 if hj.job.kind == SERVICE else hj.done), hj.running
