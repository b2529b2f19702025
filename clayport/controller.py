"""A controller: its routines and what they share."""

from __future__ import annotations

import logging
import os
import random
import time
from collections import OrderedDict
from collections.abc import Callable, Coroutine, Mapping
from typing import TYPE_CHECKING, Any

import curio
import msgspec

from clayport.jobs.dispatcher import Dispatcher
from clayport.leases.cancellations import CancellationWatermark, Promises
from clayport.limits import Attempt
from clayport.machines.fleet import Fleet
from clayport.machines.table import MachineTable
from clayport.membership.epoch import NO_EPOCH, Epoch
from clayport.membership.failover import Failover
from clayport.membership.heartbeats import Heartbeats
from clayport.membership.registration import MembershipDuties
from clayport.membership.stalls import StallDetector
from clayport.model import SERVICE, Description, Job, MachineType
from clayport.peer_requests import PeerRequests
from clayport.records.chunk import chunk_size
from clayport.records.formats import PROMISES_FORMAT
from clayport.records.replica import RecordReplica
from clayport.records.store import StateStore
from clayport.routines import Routines
from clayport.scaling.cloud import Cloud, CloudError
from clayport.scaling.provisioning import LINE, Arrivals, remaining, slack
from clayport.scaling.renting import Provisioner
from clayport.scheduling.cached_state import CachedState
from clayport.scheduling.dependencies import DependencyGraph
from clayport.scheduling.index import Index
from clayport.scheduling.objectives import Objectives
from clayport.scheduling.placement import Room
from clayport.scheduling.placer import Placer
from clayport.settings import Settings, endpoint
from clayport.transport import frames, http, peers
from clayport.user_api import Api

if TYPE_CHECKING:
    from clayport.rebuild.recovery import Recovery

log = logging.getLogger(__name__)


class Controller(Routines):
    """The state shared by the routines of one process."""

    def __init__(
        self,
        settings: Settings,
        incarnation: str = "",
        rebuild: bool = False,
        snapshots: str = "",
        second_copy: bool = False,
    ) -> None:
        super().__init__()
        self.settings = settings
        self.label = settings.label
        # Drawn anew by each process; all that is drawn later follows from it.
        self.incarnation = incarnation or os.urandom(8).hex()
        self.rng = random.Random(self.incarnation)
        # A crashed controller is evicted when its lease ends: a third of a
        # worker's lease leaves the workers time to find their new owner.
        self.ttl_s = 0.3 * settings.cluster.workers.lease_s
        self.started = time.monotonic()
        self._set_clients()
        self._set_aims()
        self._set_records()
        self._set_standing()
        self._set_parts()
        # Where the records may be rebuilt (the operator's file, or the records, say so).
        self.recovery: Recovery | None = None
        if rebuild:
            self.enable_rebuild(snapshots, second_copy)

    def _set_clients(self) -> None:
        """The state service, the cloud and the peers; no connection is opened yet."""
        cluster, services = self.settings.cluster, self.settings.services
        lease_s = cluster.workers.lease_s
        self.store = StateStore(
            *endpoint(services.state, "services.state"),
            cluster.state.rps,
            cluster.state.write_rps,
            0.2 * lease_s,
            cluster.size,
            self.rng.uniform,
        )
        self.cloud = Cloud(
            *endpoint(services.cloud, "services.cloud"),
            cluster.cloud.rps,
            lease_s,
            self.rng.uniform,
        )
        self.peers = {
            m.label: peers.Peer(
                m.label, *endpoint(m.address, "members"), 0.1 * lease_s, self.rng.uniform
            )
            for m in self.settings.members
        }
        # Sockets: a quarter for the workers' own addresses, the rest but a
        # reserve (peers, state, cloud) for those who connect to us.
        self.worker_sockets = cluster.machine_limits.max_sockets // 4

    def _set_aims(self) -> None:
        """What is aimed at for the classes, and what the teams are sure of."""
        cluster = self.settings.cluster
        aims = Objectives(cluster.objectives)
        self.finish_all, self.deadline_times = aims.finish_all, aims.deadline_times
        self.finish_limits, self.wait_limits = aims.finish_limits, aims.wait_limits
        self.urgent, self.aimed = set(aims.wait_limits), aims.classes
        # Work with more slack than this keeps off dear machines.
        self.patience_s = 2 * cluster.workers.lease_s
        self.arrivals = Arrivals(20 * cluster.workers.lease_s, time.monotonic())
        self.guarantees = {t.name: (t.cpus, t.gpus) for t in cluster.teams}
        self.limits = {t.name: (t.cpus_max, t.gpus_max) for t in cluster.teams}

    def _set_records(self) -> None:
        """The records as they are known here, and the machines."""
        cluster = self.settings.cluster
        self.types: list[MachineType] = []
        # Live jobs as they are to be scheduled, with their records' revisions.
        self.live: dict[str, tuple[Job, int]] = {}
        # What a start takes besides its image: a report each way and a look at the cached state.
        self.dependencies = DependencyGraph(1.0, 3 * cluster.workers.report_s)
        self.versions: dict[str, tuple[int, int]] = {}  # label: format, revision
        self.upgraded = False  # every controller understands FORMAT
        self.bounds = cluster.state  # the state service's limits as they are to be kept to
        self.narrow_size = chunk_size(cluster.state.least().value_kb)
        self.ended_descriptions: dict[str, Job] = {}  # ended jobs that may still be on machines
        self.ended: OrderedDict[str, str] = OrderedDict()
        # One job of each class that needs GPUs, remembered over restarts: a machine
        # must not be filled, or emptied, because none of them runs at the moment.
        self.classes: dict[str, Job] = {}
        self.nodes: dict[str, str] = {}
        self.node_revs: dict[str, int] = {}
        self.index = Index(self.label)
        self.rooms: Mapping[str, Room] = self.index.rooms
        self.zones: dict[str, str] = {}

    def _set_standing(self) -> None:
        """Whether this process is a member, and what it may tell users and workers."""
        lease_s = self.settings.cluster.workers.lease_s
        self.epoch: Epoch = NO_EPOCH
        self.epoch_started_at = self.started  # when we took over that epoch
        self.state_known = False  # the mirror has been read at least once
        self.serving = False  # member, and its share of the work is loaded
        self.lease: int | None = None
        self.away = False  # stepped aside
        self.rescan = True
        # What users may be told of cancellations, and up to when it is known what they were.
        # A promise outlasts an ordinary end of a process: until it is over, nobody can be told
        # of what one that has just ended didn't acknowledge.
        self.promises = Promises(self.peers, lease_s, self.started)
        self.watermark = CancellationWatermark(self.peers, lease_s)
        self.promising = False  # every controller understands promises
        self.stalls = StallDetector(self, self.started)

    def _set_parts(self) -> None:
        """The parts that decide and act; each knows this controller."""
        lease_s = self.settings.cluster.workers.lease_s
        self.owner = MachineTable(self.job_of, self.over, self._emit, 0.5 * lease_s, 0.3 * lease_s)
        self.fleet = Fleet(self)
        self.record_replica = RecordReplica(self)
        self.cached_state = CachedState(self)
        self.placer = Placer(self)
        self.dispatcher = Dispatcher(self)
        self.provisioner = Provisioner(self)
        self.api = Api(self)
        self.heartbeats = Heartbeats(self)
        self.membership = MembershipDuties(self)
        self.failover = Failover(self)
        self.peer_requests = PeerRequests(self)

    def enable_rebuild(self, snapshots: str = "", second_copy: bool = False) -> None:
        """Take part in histories of the records from now on, and keep snapshots of them in
        a directory, if one is given. With a `second_copy`, nobody is told 201 before a
        disk, or another controller's memory, has the record as well."""
        from clayport.rebuild.recovery import Recovery  # imported only where it is used

        self.recovery = Recovery(self, snapshots, second_copy)

    def note_head(self, value: Any) -> None:
        """The records say which history they belong to."""
        if self.recovery is None:
            # Not switched on here; but whoever changes records without naming their history
            # may change what is not there any more.
            log.info("event=rebuilds cause='the records have a history'")
            self.enable_rebuild()
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
        return PROMISES_FORMAT if self.recovery is None else PROMISES_FORMAT + 1

    @property
    def in_doubt(self) -> bool:
        """Whether the records may not be those that were left: nothing rests on them then."""
        return self.recovery is not None and bool(self.recovery.history.doubt)

    # -- small services for the routines ---------------------------------

    def job_of(self, job: str) -> Job | None:
        """Return the description of a live job, or of an ended one that may be on machines."""
        known = self.live.get(job)
        return known[0] if known else self.ended_descriptions.get(job)

    def _emit(self, job: str, event: tuple[str, str, int, str, str, bool]) -> None:
        self.fleet.emit(job, event)

    def jitter(self, base_s: float) -> float:
        """A pause around `base_s`: controllers must not come back in step."""
        return base_s * self.rng.uniform(0.5, 1.5)

    def with_objectives(self, description: Description) -> Job:
        """The job, with whether anybody has said when it is to be started or finished."""
        without_objective = (
            description.deadline_s is None and description.job_class not in self.aimed
        )
        return Job(
            **{**msgspec.structs.asdict(description), "without_objective": without_objective}
        )

    def patient(self, job: Job, age_s: float) -> bool:
        """Whether the job can wait for a machine that isn't dear.

        Work without any aim always can: it once had the dearest machines rented, at
        eighteen times the price, since what has no limit was taken for late.
        """
        return job.kind != SERVICE and (
            job.without_objective or slack(job, age_s, self.finish_limits) > self.patience_s
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
        """Wake the placer if the room of our machines has changed since its last cached state."""
        if self.owner.room_rev != self.cached_state.own_rev:
            self.signal("place")

    # -- standing --------------------------------------------------------

    @property
    def member(self) -> bool:
        """Whether the epoch known here contains this process."""
        return self.epoch.members.get(self.label) == self.incarnation

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
        """Whether a peer that reaches the state service acts under a newer epoch.

        A controller that lost the state service alone does not see its own eviction
        in the watch; if it kept its workers, their new owners would never hear them.
        """
        return any(
            p.state_ok and p.epoch > self.epoch.number and now - p.heard < self.ttl_s
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
        return now - self.watermark.known() < self.renewing_s

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
        """Somebody acts under a newer epoch than we know: look at once."""
        self.rescan = True

    # -- epochs -----------------------------------------------------

    def begin(self, epoch: Epoch) -> None:
        """Act under a new epoch: drop what belonged to the old one and load our share."""
        self.epoch, self.epoch_started_at = epoch, time.monotonic()
        self.serving = False
        log.info(
            "generation=%d event=begin members=%s",
            epoch.number,
            ",".join(sorted(epoch.members)),
        )
        if self.recovery is not None:
            self.recovery.history.unsure = True  # who has seen more than the records show?
        for managed in self.dispatcher.managed_jobs.values():
            self.signal(managed.name)
        self.dispatcher.managed_jobs = {}
        self.dispatcher.quotas.clear()
        self.placer.begin()
        self.cached_state.begin()
        self.fleet.outboxes.clear()
        self.owner.begin(epoch, self.label)
        if self.member:
            self.spawn(self.failover.load(epoch))

    async def keep_catalogue(self) -> None:
        """The machine types and their present prices."""
        attempt = self.cloud.begin()
        while True:
            try:
                self.types = await self.cloud.catalogue()
                self.owner.types = {t.name: t for t in self.types}
                self.dependencies.fetch_gb_per_s = min(
                    (t.fetch_gb_per_s for t in self.types if t.fetch_gb_per_s > 0), default=1.0
                )
                self.owner.touch_all()
                attempt.served()
                await curio.sleep(self.jitter(20 * self.settings.cluster.workers.lease_s))
            except CloudError as exc:
                log.info("event=no-catalogue cause=%s", exc)
                await self.cloud.back_off(attempt)

    # -- machines --------------------------------------------------------

    def gone(self, names: Any) -> None:
        """Machines whose return the cloud has confirmed, and all that was on them."""
        found = dict.fromkeys(names)
        self.owner.removed(found)
        for name in found:
            self.index.remove(name)
            self.zones.pop(name, None)
        for managed in self.dispatcher.managed_jobs.values():
            if managed.removed(found):
                self.signal(managed.name)
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
                await peer.call(frames.GONE, (self.epoch.number, rows))
                return
            except peers.PeerError:
                await peer.back_off(attempt)

    def asks(self, label: str) -> Attempt:
        """A request to another controller sets out; or to this one, which answers at once
        or not before the epoch has moved on."""
        peer = self.peers.get(label)
        return peer.begin() if peer is not None else self.store.begin()

    async def ask_again(self, label: str, attempt: Attempt) -> None:
        """Until the controller may be asked again."""
        peer = self.peers.get(label)
        await (peer.back_off(attempt) if peer is not None else self.store.back_off(attempt))

    async def ask_owner(self, kind: int, machine: str, *more: bool) -> bool:
        """DRAIN or EVACUATE: whether the machine's owner has agreed."""
        owner = self.epoch.place(machine)
        if owner == self.label:
            return (
                self.owner.drain(machine)
                if kind == frames.DRAIN
                else self.fleet.evacuate(machine, *more)
            )
        try:
            return bool(
                (await self.peers[owner].call(kind, (self.epoch.number, machine, *more)))[0]
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
            self.stalls.detect_stalls,
            self.record_replica.follow,
            self.membership.keep_lease,
            self.membership.keep_members,
            self.record_replica.keep_prereqs,
            self.keep_catalogue,
            self.cached_state.refresh,
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
                self.peer_requests.answer,
                4 * s.cluster.size,
                w.lease_s,
            )
            for peer in self.peers.values():
                await group.spawn(self.duty, self.heartbeats.keep_peers, peer)
            for label in s.labels:
                await group.spawn(self.duty, self.fleet.tell, label)
            for routine in self.duties():
                await group.spawn(self.duty, routine)
            log.info("label=%s event=started incarnation=%s", s.label, self.incarnation)
