"""A controller: its routines and what they share."""

from __future__ import annotations

import logging
import random
import secrets
import time
from collections import OrderedDict
from collections.abc import Callable, Coroutine, Mapping
from typing import TYPE_CHECKING, Any

import curio
import msgspec

from . import http, peers, peerwire
from .api import Api
from .cancellations import Horizon, Promises
from .cloud import Cloud, CloudError
from .config import Settings, endpoint
from .dispatch import Dispatch
from .fleet import Fleet
from .index import Index
from .jobs import GENERATION_KEY, HomeJob, end_key, ended, is_anchor, parse_chunk_key
from .limits import Attempt
from .membership import (
    NOBODY,
    Flaps,
    Generation,
    may_propose,
    should_leave,
    successor,
)
from .mirror import NODE_PREFIX, PROMISES, VERSION_PREFIX, Mirror
from .model import SERVICE, Chunk, Job, MachineType, chunk_size
from .picture import Picture
from .pipelines import Pipelines
from .placement import Room
from .placer import Placer
from .provisioning import LINE, Arrivals, remaining, slack
from .renting import Provisioner
from .statestore import (
    LEASE_S,
    Conflict,
    NoLease,
    StateStore,
    Txn,
    Unavailable,
    Unknown,
)
from .workers import Owner

if TYPE_CHECKING:
    from .rebuild.recovery import Recovery

log = logging.getLogger("clayport.server")


class Controller:
    """The state shared by the routines of one process, and membership itself."""

    def __init__(
        self,
        settings: Settings,
        incarnation: str = "",
        rebuild: bool = False,
        snapshots: str = "",
        second_copy: bool = False,
    ) -> None:
        self.settings = settings
        self.label = settings.label
        # Drawn anew by each process; all that is drawn later follows from it.
        self.incarnation = incarnation or secrets.token_hex(8)
        self.rng = random.Random(self.incarnation)
        c = settings.cluster
        # A crashed controller is evicted when its lease ends: a third of a
        # worker's lease leaves the workers time to find their new owner.
        self.ttl_s = 0.3 * c.workers.lease_s
        self.store = StateStore(
            *endpoint(settings.services.state, "services.state"),
            c.state.rps,
            c.state.write_rps,
            0.2 * c.workers.lease_s,
            c.size,
            self.rng.uniform,
        )
        self.cloud = Cloud(
            *endpoint(settings.services.cloud, "services.cloud"),
            c.cloud.rps,
            c.workers.lease_s,
            self.rng.uniform,
        )
        self.peers = {
            m.label: peers.Peer(
                m.label, *endpoint(m.address, "members"), 0.1 * c.workers.lease_s, self.rng.uniform
            )
            for m in settings.members
        }
        # What is aimed at for the classes: the time to finish, and which of them
        # are to start soon.
        # All such times of a class, ascending: what can't keep the first may keep the next.
        self.finish_all: dict[str, list[float]] = {}
        self.deadline_times: dict[str, list[float]] = {}
        for aim in c.objectives:
            for kind, value, times in (
                ("finished", aim.within_s, self.finish_all),
                ("deadline", aim.times, self.deadline_times),
            ):
                if aim.kind == kind and aim.job_class and value:
                    times[aim.job_class] = sorted({*times.get(aim.job_class, ()), value})
        self.finish_limits = {name: times[0] for name, times in self.finish_all.items()}
        # Work with more slack than this keeps off dear machines.
        self.patience_s = 2 * c.workers.lease_s
        self.wait_limits = {
            a.job_class: a.within_s
            for a in c.objectives
            if a.kind == "wait" and a.job_class and a.within_s
        }
        self.urgent = set(self.wait_limits)
        self.aimed = {a.job_class for a in c.objectives if a.job_class}
        self.arrivals = Arrivals(20 * c.workers.lease_s, time.monotonic())
        self.guarantees = {t.name: (t.cpus, t.gpus) for t in c.teams}
        self.limits = {t.name: (t.cpus_max, t.gpus_max) for t in c.teams}
        # Sockets: a quarter for the workers' own addresses, the rest but a
        # reserve (peers, state, cloud) for those who connect to us.
        self.worker_sockets = c.machine_limits.max_sockets // 4
        self.types: list[MachineType] = []
        # Live jobs as they are to be scheduled, with their records' revisions.
        self.live: dict[str, tuple[Job, int]] = {}
        # What a start takes besides its image: a report each way and a look at the picture.
        self.pipes = Pipelines(1.0, 3 * c.workers.report_s)
        self.versions: dict[str, tuple[int, int]] = {}  # label: format, revision
        self.upgraded = False  # every controller understands FORMAT
        self.bounds = c.state  # the state service's limits as they are to be kept to
        self.narrow_size = chunk_size(c.state.least().value_kb)
        self.descs: dict[str, Job] = {}  # ended jobs that may still be on machines
        self.ended: OrderedDict[str, str] = OrderedDict()
        # One job of each class that needs GPUs, remembered over restarts: a machine
        # must not be filled, or emptied, because none of them runs at the moment.
        self.classes: dict[str, Job] = {}
        self.nodes: dict[str, str] = {}
        self.node_revs: dict[str, int] = {}
        self.flaps = Flaps(4 * c.workers.lease_s, c.workers.report_s, 4 * c.workers.lease_s)
        self.index = Index(settings.label)
        self.rooms: Mapping[str, Room] = self.index.rooms
        self.zones: dict[str, str] = {}
        self.generation: Generation = NOBODY
        self.state_known = False  # the mirror has been read at least once
        self.serving = False  # member, and its share of the work is loaded
        self.lease: int | None = None
        self.away = False  # stepped aside
        self.rescan = True
        self.started = time.monotonic()
        # What users may be told of cancellations, and up to when it is known what they were.
        # A promise outlasts an ordinary end of a process: until it is over, nobody can be told
        # of what one that has just ended didn't acknowledge.
        self.promises = Promises(self.peers, c.workers.lease_s, self.started)
        self.horizon = Horizon(self.peers, c.workers.lease_s)
        self.promising = False  # every controller understands promises
        # When this process was last seen running, and whether it has learnt since it last
        # stood still that it is still a member.
        self.beat_at = self.started
        self.woke = 0
        self.confirmed = 0
        self.events: dict[str, curio.Event] = {}
        self.raised: dict[str, None] = {}  # in order: a day in tests must repeat
        self.coros: list[Coroutine[Any, Any, Any]] = []
        self.owner = Owner(
            self.job_of, self.over, self._emit, 0.5 * c.workers.lease_s, 0.3 * c.workers.lease_s
        )
        self.fleet = Fleet(self)
        self.mirror = Mirror(self)
        self.picture = Picture(self)
        self.placer = Placer(self)
        self.dispatch = Dispatch(self)
        self.provisioner = Provisioner(self)
        self.api = Api(self)
        # Where the records may be rebuilt (the operator's file, or the records, say so).
        self.recovery: Recovery | None = None
        if rebuild:
            self.rebuilds(snapshots, second_copy)

    def rebuilds(self, snapshots: str = "", second_copy: bool = False) -> None:
        """Take part in histories of the records from now on, and keep snapshots of them in
        a directory, if one is given. With a `second_copy`, nobody is told 201 before a
        disk, or another controller's memory, has the record as well."""
        from .rebuild.recovery import Recovery  # imported only where it is used

        self.recovery = Recovery(self, snapshots, second_copy)

    def note_head(self, value: Any) -> None:
        """The records say which history they belong to."""
        if self.recovery is None:
            # Not switched on here; but whoever changes records without naming their history
            # may change what is not there any more.
            log.info("event=rebuilds cause='the records have a history'")
            self.rebuilds()
            assert self.recovery is not None
            self.spawn(self.duty(self.recovery.run))
        else:
            self.recovery.note_head(value)

    def suspect(self, why: str) -> bool:
        """A record that is known here is gone, though nobody removes it; whether that is
        looked into here."""
        if self.recovery is None or not self.recovery.history.name:
            return False
        self.recovery.history.suspect(why)
        return True

    @property
    def format(self) -> int:
        """What this controller understands, as its version's record says it."""
        return PROMISES if self.recovery is None else PROMISES + 1

    @property
    def in_doubt(self) -> bool:
        """Whether the records may not be those that were left: nothing rests on them then."""
        return self.recovery is not None and bool(self.recovery.history.doubt)

    # -- small services for the routines ---------------------------------

    def job_of(self, job: str) -> Job | None:
        """Return the description of a live job, or of an ended one that may be on machines."""
        known = self.live.get(job)
        return known[0] if known else self.descs.get(job)

    def _emit(self, job: str, event: tuple[str, str, int, str, str, bool]) -> None:
        self.fleet.emit(job, event)

    def jitter(self, base_s: float) -> float:
        """A pause around `base_s`: controllers must not come back in step."""
        return base_s * self.rng.uniform(0.5, 1.5)

    def signal(self, name: str) -> None:
        """Wake the routine that waits for `name`, at the next flush."""
        self.raised[name] = None

    def spawn(self, coro: Coroutine[Any, Any, Any]) -> None:
        """Start a short-lived routine at the next flush."""
        self.coros.append(coro)

    async def flush(self) -> None:
        """Carry out signals and spawns raised by code that does no I/O."""
        while self.coros or self.raised:
            coros, self.coros = self.coros, []
            raised, self.raised = self.raised, {}
            for coro in coros:
                await curio.spawn(self._guard(coro), daemon=True)
            for name in raised:
                event = self.events.get(name)
                if event is None:
                    event = self.events[name] = curio.Event()
                await event.set()

    async def _guard(self, coro: Coroutine[Any, Any, Any]) -> None:
        try:
            await coro
        except Exception:
            log.exception("event=routine-failed")
        await self.flush()

    async def wait(self, name: str, timeout_s: float | None = None) -> None:
        """Until `name` is signalled, or the time is over."""
        await self.flush()
        event = self.events.get(name)
        if event is None:
            event = self.events[name] = curio.Event()
        if timeout_s is None:
            await event.wait()
        else:
            async with curio.ignore_after(timeout_s):
                await event.wait()
        event.clear()

    def judged(self, job: Job) -> Job:
        """The job, with whether anybody has said when it is to be started or finished."""
        return msgspec.structs.replace(
            job, aimless=job.deadline_s is None and job.job_class not in self.aimed
        )

    def patient(self, job: Job, age_s: float) -> bool:
        """Whether the job can wait for a machine that isn't dear.

        Work without any aim always can: it once had the dearest machines rented, at
        eighteen times the price, since what has no limit was taken for late.
        """
        return job.kind != SERVICE and (
            job.aimless or slack(job, age_s, self.finish_limits) > self.patience_s
        )

    def fragile(self, job: Job, age_s: float) -> bool:
        """Whether the job would be late if a machine under it were taken back.

        Of arrays that don't save, a quarter was late because of a few tasks begun anew:
        of eighty tasks on ten spot machines one is lost more often than one thinks.
        """
        return (
            job.spot
            and job.checkpoint_s == 0
            and remaining(job, age_s, self.finish_limits) < LINE * job.estimate_s
        )

    def room_changed(self) -> None:
        """Wake the placer if the room of our machines has changed since its last picture."""
        if self.owner.room_rev != self.picture.own_rev:
            self.signal("place")

    # -- standing still --------------------------------------------------

    async def keep_awake(self) -> None:
        """Notice that this process stood still while the clocks ran on."""
        while True:
            self.awake(time.monotonic())
            await curio.sleep(self.settings.cluster.workers.report_s / 4)

    def awake(self, now: float) -> bool:
        """Whether what was last seen is as old as the clock says, for all that is judged
        by elapsed time. Not after standing still: everybody then looks silent or late, and
        the others may have gone on without us."""
        gap = now - self.beat_at - self.settings.cluster.workers.report_s / 4
        self.beat_at = now
        if gap > 1.5 * self.settings.cluster.workers.report_s:
            log.info("event=stood-still seconds=%.1f", gap)
            self.woke += 1
            self.rescan = True
            # Not known to answer until it has; a lease may have ended meanwhile.
            self.store.last_bad = now
            for peer in self.peers.values():
                peer.heard += gap
            self.owner.stood_still(gap)
            self.provisioner.began_at = now
            self.signal("lease")
        return self.confirmed == self.woke

    # -- standing --------------------------------------------------------

    @property
    def member(self) -> bool:
        """Whether the generation known here contains this process."""
        return self.generation.members.get(self.label) == self.incarnation

    def state_lost(self, now: float) -> bool:
        """Whether the state service has not answered for longer than our key's lease."""
        return not self.store.ok and now - self.store.last_ok > self.ttl_s

    def healthy(self) -> bool:
        """Whether users should come here: in an outage that everybody has, yes."""
        now = time.monotonic()
        if not self.state_known or not self.member or self.away:
            return False
        if self.state_lost(now):
            return not any(p.state_ok and now - p.heard < self.ttl_s for p in self.peers.values())
        return True

    def superseded(self, now: float) -> bool:
        """Whether a peer that reaches the state service acts under a newer generation.

        A controller that lost the state service alone does not see its own eviction
        in the watch; if it kept its workers, their new owners would never hear them.
        """
        return any(
            p.state_ok and p.generation > self.generation.number and now - p.heard < self.ttl_s
            for p in self.peers.values()
        )

    def may_renew(self, now: float) -> bool:
        """Whether leases may be renewed: a cancelled task must not be kept alive past its
        deadline by a controller that doesn't know of it. Silence proves nothing: that no peer
        reached the state service was once taken for a proof that nobody had been told of a
        cancellation, and one that had told it, and ended a moment later, was not missed.
        """
        if self.state_lost(now) and self.superseded(now):
            return False
        return now - self.horizon.known() < self.renewing_s

    @property
    def renewing_s(self) -> float:
        """How long leases may be renewed without knowing what users are told: it leaves a
        lease of the time that a cancellation has, and a report's interval for drift and
        whatever is late."""
        w = self.settings.cluster.workers
        return w.cancel_s - w.lease_s - w.report_s

    def over(self, job: str) -> bool:
        """Whether a job is known to be cancelled."""
        return self.ended.get(job) == "cancelled"

    def suspect_stale(self) -> None:
        """Somebody acts under a newer generation than we know: look at once."""
        self.rescan = True

    # -- generations -----------------------------------------------------

    def begin(self, generation: Generation) -> None:
        """Act under a new generation: drop what belonged to the old one and load our share."""
        self.generation = generation
        self.serving = False
        log.info(
            "generation=%d event=begin members=%s",
            generation.number,
            ",".join(sorted(generation.members)),
        )
        if self.recovery is not None:
            self.recovery.history.unsure = True  # who has seen more than the records show?
        for hj in self.dispatch.homes.values():
            self.signal(hj.name)
        self.dispatch.homes = {}
        self.dispatch.quotas.clear()
        self.placer.begin()
        self.picture.begin()
        self.fleet.outboxes.clear()
        self.owner.begin(generation, self.label)
        if self.member:
            self.spawn(self._load(generation))

    async def _load(self, generation: Generation) -> None:
        """Take over our share: no commit of an earlier generation can follow its key."""
        attempt = self.store.begin()
        while self.generation is generation:
            try:
                entries, _ = await self.store.scan("run/")
                if self.recovery is not None and not self.recovery.history.complete(
                    "run/", [e.key for e in entries]
                ):
                    return
                found: dict[str, dict[tuple[int, int], Chunk]] = {}
                unreadable: set[str] = set()
                for e in entries:
                    if is_anchor(e.key):
                        continue
                    try:
                        job, size, index = parse_chunk_key(e.key)
                        if generation.place(job) == self.label:
                            found.setdefault(job, {})[size, index] = Chunk.parse(e.value, e.rev)
                    except (KeyError, TypeError, ValueError) as exc:
                        # The job stays as it is: none of its tasks may be started, for
                        # they may run. All others go on.
                        log.error("key=%s event=malformed-value cause=%r", e.key, exc)
                        unreadable.add(e.key.split("/")[1])
                orphans: dict[str, tuple[Job, str]] = {}
                for job in [j for j in found if j not in self.live]:
                    entry = await self.store.get(end_key(job))
                    if entry is None:
                        continue
                    self.mirror.note_end(job, *ended(entry.value), entry.rev)
                    if "j" in entry.value:
                        orphans[job] = (
                            self.judged(msgspec.convert(entry.value["j"], Job)),
                            entry.value["s"],
                        )
                if self.generation is not generation or self.in_doubt:
                    return
                for job, (desc, rev) in self.live.items():
                    if rev and generation.place(job) == self.label and job not in unreadable:
                        self.home(desc, rev, found.get(job, {}), "")
                for job, (desc, status) in orphans.items():
                    self.descs[job] = desc
                    self.home(desc, 0, found[job], status)
                self.serving = True
                log.info(
                    "generation=%d event=serving jobs=%d",
                    generation.number,
                    len(self.dispatch.homes),
                )
                for name in ("place", "starved", "demand", "prereqs"):
                    self.signal(name)
                await self.flush()
                return
            except (Unavailable, Unknown) as exc:
                log.debug("event=load-failed cause=%s", exc)
            except (msgspec.MsgspecError, KeyError, TypeError, ValueError) as exc:
                log.error("event=malformed-state cause=%r", exc)
            await self.store.rest(attempt)

    def home(self, job: Job, rev: int, chunks: dict[tuple[int, int], Chunk], ended: str) -> None:
        """Become home to a job, with the chunks that were read for it."""
        hj = HomeJob(
            job,
            rev,
            chunk_size(self.settings.cluster.state.value_kb),
            time.monotonic(),
            ended,
            self.generation.number,
            self.settings.cluster.workers.report_s,
            6 * self.settings.cluster.workers.lease_s,
        )
        hj.suspected = job.id in self.owner.faulty
        hj.load_all(chunks)
        link = self.pipes.links.get(job.id)
        if link is not None:
            hj.blocked = bool(link.needs)
            hj.since = link.ready
        self.dispatch.homes[job.id] = hj
        self.placer.line.touch(job.id)
        self.spawn(self.dispatch.drive(hj))

    async def keep_lease(self) -> None:
        """Hold our key in the state service while we can serve."""
        while True:
            pause = self.ttl_s / 3
            try:
                if self.away:
                    if self.lease is not None and self.nodes.get(self.label):
                        lease, self.lease = self.lease, None
                        key = NODE_PREFIX + self.label
                        # (Carried out late, it must not take away a later one of ours.)
                        await self.store.commit(
                            Txn().require(key, self.node_revs.get(self.label, 0)).delete(key),
                            ahead_s=LEASE_S,
                        )
                        log.info("event=stepped-aside lease=%d", lease)
                elif self.lease is None:
                    lease = await self.store.lease(self.ttl_s)
                    await self._enter(lease)
                    self.lease = lease
                elif not await self.store.renew(self.lease):
                    self.lease = None
                    pause = 0.0
            except (Unavailable, Unknown, NoLease, Conflict) as exc:
                log.debug("event=lease-trouble cause=%s", exc)
                pause = self.jitter(self.ttl_s / 8)
            await self.wait("lease", max(pause, 0.001))

    async def _enter(self, lease: int) -> None:
        """Write our key, and with its first the version's record, so that the generation
        that takes us in is the later one.

        The record is written once and no more: a second copy, applied after that generation
        had begun, left all who came later waiting for another before they took pipelines.
        """
        key, node = VERSION_PREFIX + self.label, NODE_PREFIX + self.label
        node_rev = self.node_revs.get(self.label, 0)
        while True:
            # In place of the one that is known, and of no other: a copy that is carried out
            # late, by a process that has ended since, would put that in our place.
            txn = Txn().require(node, node_rev).put(node, {"inc": self.incarnation}, lease)
            number, rev = self.versions.get(self.label, (0, 0))
            if number < self.format:
                txn.require(key, rev).put(key, {"format": self.format})
            try:
                await self.store.commit(txn, ahead_s=LEASE_S, doubtful=True)
                return
            except Conflict as exc:
                # Written by a process before this one: the mirror has not been read yet.
                if node in exc.failed:
                    entry = await self.store.get(node, doubtful=True)
                    node_rev = entry.rev if entry is not None else 0
                elif key not in exc.failed:
                    raise
                if key in exc.failed:
                    entry = await self.store.get(key, doubtful=True)
                    if entry is None:
                        raise
                    self.mirror.note_version(self.label, entry.value, entry.rev)

    async def keep_members(self) -> None:
        """Propose the next generation when those present differ from its members."""
        while True:
            await self.wait("members", self.ttl_s / 2)
            if not self.state_known or not self.awake(time.monotonic()):
                continue
            if self._proposal() is None:
                continue
            await curio.sleep(self.jitter(self.ttl_s / 20))
            proposal = self._proposal()
            if proposal is None:
                continue
            txn = Txn().require(GENERATION_KEY, self.generation.rev)
            try:
                await self.store.commit(txn.put(GENERATION_KEY, proposal.value()), ahead_s=LEASE_S)
            except Conflict:
                await curio.sleep(self.ttl_s / 20)
            except (Unavailable, Unknown, NoLease):
                await curio.sleep(self.jitter(self.ttl_s / 10))

    def _proposal(self) -> Generation | None:
        """The next generation, if there is to be one and it is ours to propose."""
        now = time.monotonic()
        for label in self.flaps.see(self.nodes, now):
            log.info("event=left-out label=%s seconds=%.1f", label, self.flaps.until[label] - now)
        if not may_propose(self.label, self.generation.members, self.nodes):
            return None
        return successor(
            self.generation, self.flaps.admitted(self.generation.members, self.nodes, now)
        )

    async def keep_peers(self, peer: peers.Peer) -> None:
        """Exchange signs of life, demand and whether the state service answers."""
        while True:
            now = time.monotonic()
            self.awake(now)
            try:
                sign = (*self._sign(now), self._told(peer.label))
                if self.promising:
                    label, number, ok, rev, incarnation, promised = await peer.call(
                        peerwire.BEAT, (*sign, self.incarnation, self.mirror.known_rev)
                    )
                    if promised and label == peer.label:
                        self.horizon.promised(label, incarnation, now, time.monotonic())
                else:
                    label, number, ok, rev = await peer.call(peerwire.PING, sign)
                if label == peer.label:
                    self._heard(peer, number, ok, rev)
            except peers.PeerError as exc:
                log.debug("peer=%s event=out-of-reach cause=%s", peer.label, exc)
            now = time.monotonic()
            away = (
                self.state_known
                and self.awake(now)
                and should_leave(
                    now,
                    self.label,
                    {p.label: p.heard for p in self.peers.values()},
                    self.nodes,
                    1.5 * self.ttl_s,
                )
                and now - self.started > 2 * self.ttl_s
            )
            if away != self.away:
                log.info("event=%s cause=peers", "away" if away else "back")
                self.away = away
                self.signal("lease")
            await self.flush()
            await curio.sleep(self.ttl_s / 4)

    def _sign(self, now: float) -> tuple[str, int, bool, int]:
        """What a heartbeat and its answer begin with."""
        return self.label, self.generation.number, not self.state_lost(now), self.owner.room_rev

    def _told(self, label: str) -> list[tuple[str, int, float, str]]:
        """What waits here, for the one member that rents by it; nobody else asks."""
        return self.placer.demand() if self.serving and label == self.generation.provisioner else []

    def _heard(self, peer: peers.Peer, number: int, ok: bool, rev: int) -> None:
        peer.heard = time.monotonic()
        peer.state_ok, peer.generation = ok, number
        if rev != peer.room_rev:
            peer.room_rev = rev
            if self.picture.starved:
                self.signal("starved")
        if number > self.generation.number and self.store.ok:
            self.rescan = True

    async def keep_catalogue(self) -> None:
        """The machine types and their present prices."""
        attempt = self.cloud.begin()
        while True:
            try:
                self.types = await self.cloud.catalogue()
                self.owner.types = {t.name: t for t in self.types}
                self.pipes.fetch_gb_per_s = min(
                    (t.fetch_gb_per_s for t in self.types if t.fetch_gb_per_s > 0), default=1.0
                )
                self.owner.touch_all()
                attempt.served()
                await curio.sleep(self.jitter(20 * self.settings.cluster.workers.lease_s))
            except CloudError as exc:
                log.info("event=no-catalogue cause=%s", exc)
                await self.cloud.rest(attempt)

    # -- what peers ask --------------------------------------------------

    async def answer(self, kind: int, values: tuple[Any, ...]) -> tuple[int, tuple[Any, ...]]:
        """Answer a peer; requests of another generation are refused."""
        try:
            return await self._answer(kind, values)
        finally:
            await self.flush()

    async def _answer(self, kind: int, values: tuple[Any, ...]) -> tuple[int, tuple[Any, ...]]:
        now = time.monotonic()
        if kind in (peerwire.PING, peerwire.BEAT):
            label, number, ok, rev, demand = values[:5]
            peer = self.peers.get(label)
            if peer is not None:
                self._heard(peer, number, ok, rev)
                before = self.placer.demands.get(label)
                self.placer.demands[label] = demand
                if demand and not before:
                    self.signal("demand")
            if kind == peerwire.PING:
                return peerwire.PONG, self._sign(now)
            return peerwire.BEATEN, (
                *self._sign(now),
                self.incarnation,
                peer is not None and self._promise(label, values[6], now),
            )
        if kind == peerwire.ENDED:
            if values[1] in ("done", "cancelled") and values[0] not in self.ended:
                self.mirror.note_end(values[0], values[1])
            return peerwire.ACK, (True,)
        if kind in (peerwire.HISTORY, peerwire.EVIDENCE):
            if self.recovery is not None:
                return self.recovery.answer(kind, values)
            return (
                (peerwire.HISTORY_TOLD, ("", 0, 0, False, 0))
                if kind == peerwire.HISTORY
                else (peerwire.EVIDENCE_TOLD, (0, b""))
            )
        if kind == peerwire.INSPECT:
            return peerwire.ACK, (await self.fleet.inspect(values[0], values[1]),)
        current = self.serving and values[0] == self.generation.number
        if kind == peerwire.GONE:
            # True for ever: names are not used again.
            self.gone(name for (name,) in values[1])
            return peerwire.ACK, (True,)
        if kind == peerwire.COUNTS:
            counts = self.dispatch.counts(values[1]) if current else None
            return peerwire.COUNTED, (counts is not None, *(counts or (0, 0)))
        if kind == peerwire.ROOM:
            return peerwire.TABLE, self.picture.table(
                values[1], [n for (n,) in values[2]]
            ) if current else (False, 0, False, [], [], [])
        if kind == peerwire.RESERVE:
            job = self.job_of(values[1])
            if not current or job is None:
                return peerwire.RESERVED, (False, [])
            flags = self.owner.reserve(job, values[3], values[2], now)
            return peerwire.RESERVED, (True, [(f,) for f in flags])
        if kind == peerwire.LAUNCH:
            if not current:
                return peerwire.VERDICTS, (False, [])
            answers = self.owner.launch(values[1])
            for machine in dict.fromkeys(i[0] for i in values[1]):
                self.fleet.poke(machine)
            return peerwire.VERDICTS, (True, [(a,) for a in answers])
        if kind == peerwire.STATES:
            if not current:
                return peerwire.VERDICTS, (False, [])
            return peerwire.VERDICTS, (True, [(v,) for v in self.dispatch.told(values[1])])
        if kind == peerwire.REPORT:
            return await self._passed_on(current, values[1], now)
        if not current:
            return peerwire.ACK, (False,)
        if kind == peerwire.STOP:
            self.owner.stop(values[1])
            for machine in dict.fromkeys(i[0] for i in values[1]):
                self.fleet.poke(machine)
        elif kind == peerwire.ADOPT:
            self.owner.adopt(values[1], now)
        elif kind == peerwire.PREEMPT:
            wanting = self.job_of(values[2])
            done = wanting is not None and self.owner.preempt(
                wanting, values[1], values[4], now, [t for (t,) in values[5]], values[3]
            )
            self.fleet.poke(values[1])
            return peerwire.ACK, (done,)
        elif kind == peerwire.EVACUATE:
            return peerwire.ACK, (self.fleet.evacuate(values[1], values[2]),)
        elif kind == peerwire.MOVE:
            return peerwire.ACK, (self.placer.movable(*values[1:]),)
        elif kind == peerwire.DRAIN:
            return peerwire.ACK, (self.owner.drain(values[1]),)
        elif kind == peerwire.FENCE:
            if self.generation.provisioner != self.label:
                return peerwire.ACK, (False,)
            try:
                await self.fleet.fences.fence(values[1])
            except CloudError as exc:
                log.info("machine=%s event=not-fenced cause=%s", values[1], exc)
                return peerwire.ACK, (False,)
        else:
            return peerwire.ACK, (False,)
        return peerwire.ACK, (True,)

    def _promise(self, label: str, seen: int, now: float) -> bool:
        """Promise a peer, which has read so far, to tell users of no cancellation unknown to
        it; False while it lacks one that was told already."""
        self.promises.seen(label, seen)
        if self.promises.promise(label, now):
            return True
        self.mirror.make_up(label)
        return False

    async def _passed_on(
        self, current: bool, body: bytes, now: float
    ) -> tuple[int, tuple[Any, ...]]:
        """A report of a worker that can't reach us, passed on by a peer."""
        from .model import Report

        try:
            report = msgspec.json.decode(body, type=Report)
        except msgspec.MsgspecError:
            return peerwire.REPORTED, (400, b"{}")
        if (
            not current
            or self.generation.place(report.machine) != self.label
            or not self.may_renew(now)
        ):
            return peerwire.REPORTED, (503, b"{}")
        status, value = self.fleet.own_report(report, now, False)
        return peerwire.REPORTED, (status, msgspec.json.encode(value))

    # -- machines --------------------------------------------------------

    def gone(self, names: Any) -> None:
        """Machines whose return the cloud has confirmed, and all that was on them."""
        found = dict.fromkeys(names)
        self.owner.removed(found)
        for name in found:
            self.index.remove(name)
            self.zones.pop(name, None)
        for hj in self.dispatch.homes.values():
            if hj.removed(found):
                self.signal(hj.name)
        self.signal("place")

    async def announce_gone(self, names: list[str]) -> None:
        """The cloud has just confirmed to us that these are gone; all are told."""
        self.gone(names)
        rows = [(n,) for n in names]
        for peer in self.peers.values():
            self.spawn(self._announce(peer, rows))
        await self.flush()

    async def _announce(self, peer: peers.Peer, rows: list[tuple[str]]) -> None:
        attempt = peer.begin()
        for _ in range(3):
            try:
                await peer.call(peerwire.GONE, (self.generation.number, rows))
                return
            except peers.PeerError:
                await peer.rest(attempt)

    def asks(self, label: str) -> Attempt:
        """A request to another controller sets out; or to this one, which answers at once
        or not before the generation has moved on."""
        peer = self.peers.get(label)
        return peer.begin() if peer is not None else self.store.begin()

    async def ask_again(self, label: str, attempt: Attempt) -> None:
        """Until the controller may be asked again."""
        peer = self.peers.get(label)
        await (peer.rest(attempt) if peer is not None else self.store.rest(attempt))

    async def ask_owner(self, kind: int, machine: str, *more: bool) -> bool:
        """DRAIN or EVACUATE: whether the machine's owner has agreed."""
        owner = self.generation.place(machine)
        if owner == self.label:
            return (
                self.owner.drain(machine)
                if kind == peerwire.DRAIN
                else self.fleet.evacuate(machine, *more)
            )
        try:
            return bool(
                (await self.peers[owner].call(kind, (self.generation.number, machine, *more)))[0]
            )
        except (peers.PeerError, KeyError):
            return False

    # -- the process -----------------------------------------------------

    async def duty(self, routine: Callable[..., Coroutine[Any, Any, None]], *args: Any) -> None:
        """A long-lived routine; an error in one round is logged and must not end the
        process, which would cost its users and workers more than the round."""
        while True:
            try:
                await routine(*args)
            except Exception:
                log.exception("event=duty-failed duty=%s", routine.__name__)
            await curio.sleep(self.jitter(self.ttl_s / 3))

    def duties(self) -> tuple[Callable[..., Coroutine[Any, Any, None]], ...]:
        """The long-lived routines besides the listeners and those for each controller."""
        recovery = self.recovery
        return (
            *((recovery.run,) if recovery is not None else ()),
            *((recovery.recorder.run,) if recovery is not None and recovery.recorder else ()),
            self.keep_awake,
            self.mirror.follow,
            self.keep_lease,
            self.keep_members,
            self.mirror.keep_prereqs,
            self.keep_catalogue,
            self.picture.refresh,
            self.placer.place_all,
            self.fleet.watch_silence,
            self.provisioner.run,
        )

    async def run(self) -> None:
        """All routines until one fails; the rest is cancelled in order then."""
        s, w = self.settings, self.settings.cluster.workers
        users = http.Server(
            self.api.handle,
            self.settings.cluster.machine_limits.max_sockets * 5 // 8,
            3 * w.lease_s,
            w.lease_s,
            "/v1/report",
        )
        async with curio.TaskGroup(wait=any) as group:
            await group.spawn(users.serve, *endpoint(s.bind, "bind"))
            await group.spawn(
                peers.serve,
                *endpoint(s.peer_bind, "peer_bind"),
                self.answer,
                4 * s.cluster.size,
                w.lease_s,
            )
            for peer in self.peers.values():
                await group.spawn(self.duty, self.keep_peers, peer)
            for label in s.labels:
                await group.spawn(self.duty, self.fleet.tell, label)
            for routine in self.duties():
                await group.spawn(self.duty, routine)
            log.info("label=%s event=started incarnation=%s", s.label, self.incarnation)
