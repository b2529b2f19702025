"""The composition root: builds the parts of a controller and connects them.

This module makes no decisions and owns no state. `docs/architecture.md` says which part owns
which state.
"""

from __future__ import annotations

import logging
import os
import random
import time
from collections.abc import Callable, Coroutine
from typing import TYPE_CHECKING, Any

import curio

from clayport.jobs.commits import FencedCommits
from clayport.jobs.dispatcher import Dispatcher
from clayport.jobs.job_records import JobRecords
from clayport.jobs.lifecycle import JobLifecycle
from clayport.jobs.owner_requests import OwnerRequests
from clayport.jobs.prerequisites import PrerequisiteLookup
from clayport.jobs.quota_charges import QuotaCharger
from clayport.jobs.registry import JobRegistry
from clayport.jobs.task_events import TaskEvents
from clayport.leases.disclosure import CancellationDisclosure
from clayport.leases.promises import Promises
from clayport.leases.renewal import LeaseRenewal
from clayport.leases.watermark import CancellationWatermark
from clayport.machines.fencing import MachineFencing
from clayport.machines.fleet import Fleet
from clayport.machines.removal import MachineRemoval
from clayport.machines.routing import Routing
from clayport.machines.table import MachineTable
from clayport.membership.failover import Failover
from clayport.membership.heartbeats import Heartbeats
from clayport.membership.registration import MembershipRegistration
from clayport.membership.stalls import StallDetector
from clayport.membership.state import MembershipState
from clayport.membership.transition import EpochTransition
from clayport.peer_requests import PeerRequests
from clayport.rebuild.support import RebuildSupport
from clayport.records.progress import ReadProgress
from clayport.records.replica import RecordReplica
from clayport.records.revision_checks import RevisionChecks
from clayport.records.store import StateStore
from clayport.records.upgrade import UpgradeState
from clayport.records.versions import VersionTracker
from clayport.routines import Routines
from clayport.scaling.arrivals import ArrivalRates
from clayport.scaling.catalogue import Catalogue
from clayport.scaling.cloud import Cloud
from clayport.scaling.renting import Provisioner
from clayport.scheduling.cached_state import CachedState
from clayport.scheduling.dependencies import DependencyGraph
from clayport.scheduling.job_queue import build_job_queue
from clayport.scheduling.placer import Placer
from clayport.scheduling.quotas import TeamQuotas
from clayport.scheduling.urgency import SchedulingObjectives
from clayport.scheduling.view import ClusterView
from clayport.settings import Settings, parse_endpoint
from clayport.transport import http, peers
from clayport.user_api import POLL_TIMEOUT_S, UserApi

if TYPE_CHECKING:
    from clayport.rebuild.recovery import Recovery

log = logging.getLogger(__name__)

Routine = Callable[..., Coroutine[Any, Any, None]]

# The length of a controller's lease as a fraction of a worker's lease. A crashed controller is
# evicted when its lease expires, so a short lease leaves its workers time to find the new owner.
MEMBER_LEASE_FRACTION = 0.3
# The window in which arriving tasks are counted, in units of a worker's lease.
ARRIVALS_WINDOW_LEASES = 20
# Jobs with more slack than this, in units of a worker's lease, are kept off expensive machines.
PATIENT_SLACK_LEASES = 2


class Controller:
    """One controller process: all its parts and long-lived routines."""

    def __init__(
        self,
        settings: Settings,
        incarnation: str = "",
        rebuild: bool = False,
        snapshots: str = "",
        second_copy: bool = False,
    ) -> None:
        self.settings = settings
        lease_s = settings.cluster.workers.lease_s
        # Each process draws a new incarnation, which also seeds all later random draws.
        incarnation = incarnation or os.urandom(8).hex()
        self.membership = MembershipState(
            settings.label, incarnation, MEMBER_LEASE_FRACTION * lease_s, time.monotonic()
        )
        self.routines = Routines(random.Random(incarnation), self.membership.lease_ttl_s / 3)
        self._build_clients()
        self._build_state()
        self._build_machine_routines()
        self._build_replica()
        self._build_placement()
        self._build_dispatch()
        self._build_scaling()
        self._build_user_api()
        self._build_membership()
        self._build_peer_requests()
        self._connect()
        if rebuild:
            self.rebuild.enable_recovery(snapshots, second_copy)

    def _build_clients(self) -> None:
        """Build the clients of the state service, the cloud and the peers, without connecting."""
        cluster, services = self.settings.cluster, self.settings.services
        lease_s, uniform = cluster.workers.lease_s, self.routines.rng.uniform
        self.store = StateStore(
            *parse_endpoint(services.state, "services.state"),
            cluster.state.rps,
            cluster.state.write_rps,
            0.2 * lease_s,
            cluster.size,
            uniform,
        )
        self.revision_checks = RevisionChecks(
            self.store, 4 * cluster.state.txn_ops, POLL_TIMEOUT_S / 3
        )
        self.cloud = Cloud(
            *parse_endpoint(services.cloud, "services.cloud"), cluster.cloud.rps, lease_s, uniform
        )
        self.peers = {
            m.label: peers.Peer(
                m.label, *parse_endpoint(m.address, "members"), 0.1 * lease_s, uniform
            )
            for m in self.settings.members
        }

    def _build_state(self) -> None:
        """Build the parts whose state other parts read."""
        cluster, now = self.settings.cluster, self.membership.started_at
        workers = cluster.workers
        self.objectives = SchedulingObjectives(
            cluster.objectives, PATIENT_SLACK_LEASES * workers.lease_s
        )
        self.quotas = TeamQuotas(cluster.teams)
        self.arrivals = ArrivalRates(ARRIVALS_WINDOW_LEASES * workers.lease_s, time.monotonic())
        # Besides fetching the image, a start takes about three report intervals: a report in each
        # direction and a refresh of the cached state.
        self.jobs = JobRegistry(DependencyGraph(1.0, 3 * workers.report_s))
        self.upgrade = UpgradeState(cluster.state)
        self.view = ClusterView(self.settings.label)
        # A promise outlasts a short restart of a process. Until all promises of the previous
        # process have expired, users can't be told of cancellations that peers have not
        # acknowledged.
        self.promises = Promises(self.peers, workers.lease_s, now)
        self.watermark = CancellationWatermark(self.peers, workers.lease_s)
        self.queue = build_job_queue(
            lambda: self.jobs.managed, self.objectives, cluster.teams, workers.lease_s
        )
        self.machines = MachineTable(
            self.jobs.description,
            self.jobs.is_cancelled,
            lambda job, event: self.fleet.emit(job, event),
            0.5 * workers.lease_s,
            0.3 * workers.lease_s,
            workers.lease_s,
        )
        self.catalogue = Catalogue(
            self.cloud, self.machines, self.jobs, self.routines, workers.lease_s
        )
        self.renewal = LeaseRenewal(
            self.membership, self.store, self.peers, self.watermark, workers
        )
        self.removal = MachineRemoval(
            self.membership, self.machines, self.jobs, self.view, self.peers, self.routines
        )
        self.rebuild = RebuildSupport(self.routines, self._build_recovery)

    def _build_machine_routines(self) -> None:
        """Build stall detection, the cached state and the parts that talk to machines."""
        self.stalls = StallDetector(
            now=self.membership.started_at,
            machines=self.machines,
            membership=self.membership,
            peers=self.peers,
            routines=self.routines,
            settings=self.settings,
            store=self.store,
        )
        self.fencing = MachineFencing(
            cloud=self.cloud,
            membership=self.membership,
            removal=self.removal,
        )
        self.cached_state = CachedState(
            machines=self.machines,
            membership=self.membership,
            peers=self.peers,
            routines=self.routines,
            settings=self.settings,
            view=self.view,
        )
        self.fleet = Fleet(
            cached_state=self.cached_state,
            fencing=self.fencing,
            jobs=self.jobs,
            machines=self.machines,
            membership=self.membership,
            peers=self.peers,
            rebuild=self.rebuild,
            renewal=self.renewal,
            routines=self.routines,
            settings=self.settings,
            stalls=self.stalls,
            upgrade=self.upgrade,
            view=self.view,
        )
        self.routing = Routing(self.membership, self.machines, self.peers, self.store, self.fleet)

    def _build_replica(self) -> None:
        """Build the replica of the records and the parts that act on changes of records."""
        self.disclosure = CancellationDisclosure(
            membership=self.membership,
            peers=self.peers,
            promises=self.promises,
            routines=self.routines,
            cancel_s=self.settings.cluster.workers.cancel_s,
        )
        self.progress = ReadProgress(self.watermark)
        self.versions = VersionTracker(
            jobs=self.jobs,
            revision_checks=self.revision_checks,
            membership=self.membership,
            routines=self.routines,
            settings=self.settings,
            store=self.store,
            upgrade=self.upgrade,
        )
        self.lifecycle = JobLifecycle(
            arrivals=self.arrivals,
            jobs=self.jobs,
            machines=self.machines,
            membership=self.membership,
            objectives=self.objectives,
            progress=self.progress,
            promises=self.promises,
            queue=self.queue,
            rebuild=self.rebuild,
            routines=self.routines,
            settings=self.settings,
            store=self.store,
        )
        self.prerequisites = PrerequisiteLookup(
            jobs=self.jobs,
            lifecycle=self.lifecycle,
            revision_checks=self.revision_checks,
            membership=self.membership,
            routines=self.routines,
            store=self.store,
        )
        self.record_replica = RecordReplica(
            jobs=self.jobs,
            lifecycle=self.lifecycle,
            membership=self.membership,
            objectives=self.objectives,
            progress=self.progress,
            rebuild=self.rebuild,
            routines=self.routines,
            stalls=self.stalls,
            store=self.store,
            upgrade=self.upgrade,
            versions=self.versions,
        )

    def _build_placement(self) -> None:
        """Build the placer of waiting tasks."""
        self.placer = Placer(
            cached_state=self.cached_state,
            catalogue=self.catalogue,
            fleet=self.fleet,
            jobs=self.jobs,
            machines=self.machines,
            membership=self.membership,
            objectives=self.objectives,
            peers=self.peers,
            queue=self.queue,
            quotas=self.quotas,
            routines=self.routines,
            settings=self.settings,
            store=self.store,
            upgrade=self.upgrade,
            view=self.view,
        )

    def _build_dispatch(self) -> None:
        """Build the parts that run the jobs of which this controller is the leader."""
        self.owner_requests = OwnerRequests(
            fleet=self.fleet,
            machines=self.machines,
            membership=self.membership,
            peers=self.peers,
            routines=self.routines,
            routing=self.routing,
        )
        self.commits = FencedCommits(membership=self.membership, store=self.store)
        self.job_records = JobRecords(
            commits=self.commits,
            lifecycle=self.lifecycle,
            membership=self.membership,
            owner_requests=self.owner_requests,
            rebuild=self.rebuild,
            routines=self.routines,
            store=self.store,
            upgrade=self.upgrade,
        )
        self.task_events = TaskEvents(jobs=self.jobs, queue=self.queue, routines=self.routines)
        self.dispatcher = Dispatcher(
            cached_state=self.cached_state,
            commits=self.commits,
            jobs=self.jobs,
            membership=self.membership,
            owner_requests=self.owner_requests,
            queue=self.queue,
            quota_charger=QuotaCharger(jobs=self.jobs, quotas=self.quotas, store=self.store),
            quotas=self.quotas,
            lifecycle=self.lifecycle,
            records=self.job_records,
            routines=self.routines,
            settings=self.settings,
            store=self.store,
            task_events=self.task_events,
            upgrade=self.upgrade,
            view=self.view,
        )

    def _build_scaling(self) -> None:
        """Build the part that rents and returns machines."""
        self.provisioner = Provisioner(
            arrivals=self.arrivals,
            cached_state=self.cached_state,
            catalogue=self.catalogue,
            cloud=self.cloud,
            jobs=self.jobs,
            membership=self.membership,
            objectives=self.objectives,
            placer=self.placer,
            removal=self.removal,
            renewal=self.renewal,
            routines=self.routines,
            routing=self.routing,
            settings=self.settings,
            stalls=self.stalls,
            view=self.view,
        )

    def _build_user_api(self) -> None:
        """Build the handler of user requests."""
        self.user_api = UserApi(
            catalogue=self.catalogue,
            disclosure=self.disclosure,
            dispatcher=self.dispatcher,
            fleet=self.fleet,
            jobs=self.jobs,
            lifecycle=self.lifecycle,
            revision_checks=self.revision_checks,
            membership=self.membership,
            objectives=self.objectives,
            peers=self.peers,
            quotas=self.quotas,
            rebuild=self.rebuild,
            renewal=self.renewal,
            routines=self.routines,
            settings=self.settings,
            stalls=self.stalls,
            store=self.store,
            upgrade=self.upgrade,
        )

    def _build_membership(self) -> None:
        """Build heartbeats, registration, failover and epoch transitions."""
        self.heartbeats = Heartbeats(
            cached_state=self.cached_state,
            disclosure=self.disclosure,
            machines=self.machines,
            membership=self.membership,
            peers=self.peers,
            placer=self.placer,
            progress=self.progress,
            promises=self.promises,
            renewal=self.renewal,
            routines=self.routines,
            stalls=self.stalls,
            store=self.store,
            upgrade=self.upgrade,
            watermark=self.watermark,
        )
        self.registration = MembershipRegistration(
            membership=self.membership,
            rebuild=self.rebuild,
            routines=self.routines,
            settings=self.settings,
            stalls=self.stalls,
            store=self.store,
            upgrade=self.upgrade,
            versions=self.versions,
        )
        self.failover = Failover(
            dispatcher=self.dispatcher,
            jobs=self.jobs,
            lifecycle=self.lifecycle,
            machines=self.machines,
            membership=self.membership,
            objectives=self.objectives,
            queue=self.queue,
            rebuild=self.rebuild,
            routines=self.routines,
            settings=self.settings,
            store=self.store,
        )
        self.transition = EpochTransition(
            cached_state=self.cached_state,
            failover=self.failover,
            fleet=self.fleet,
            jobs=self.jobs,
            machines=self.machines,
            membership=self.membership,
            placer=self.placer,
            rebuild=self.rebuild,
            routines=self.routines,
        )

    def _build_peer_requests(self) -> None:
        """Build the handler of requests from other controllers."""
        self.peer_requests = PeerRequests(
            cached_state=self.cached_state,
            dispatcher=self.dispatcher,
            fleet=self.fleet,
            heartbeats=self.heartbeats,
            jobs=self.jobs,
            lifecycle=self.lifecycle,
            machines=self.machines,
            membership=self.membership,
            placer=self.placer,
            rebuild=self.rebuild,
            removal=self.removal,
            renewal=self.renewal,
            routines=self.routines,
        )

    def _connect(self) -> None:
        """Give parts that were built early the parts that were built after them."""
        self.stalls.connect(provisioner=self.provisioner)
        self.fleet.connect(
            event_handler=self.task_events,
            placer=self.placer,
            provisioner=self.provisioner,
            routing=self.routing,
        )
        self.lifecycle.connect(failover=self.failover, placer=self.placer)
        self.record_replica.connect(transition=self.transition)
        self.placer.connect(dispatcher=self.dispatcher)

    def _build_recovery(self, snapshots: str, second_copy: bool) -> Recovery:
        from clayport.rebuild.recovery import Recovery  # imported only if enabled

        return Recovery(self, snapshots, second_copy)

    def long_lived_routines(self) -> tuple[Routine, ...]:
        """Return the long-lived routines, except listeners and those that run once per peer."""
        recovery = self.rebuild.recovery
        return (
            *((recovery.run,) if recovery is not None else ()),
            *((recovery.recorder.run,) if recovery is not None and recovery.recorder else ()),
            self.stalls.detect_stalls,
            self.record_replica.follow,
            self.registration.maintain_lease,
            self.registration.propose_epochs,
            self.prerequisites.run_lookups,
            self.catalogue.refresh_periodically,
            self.cached_state.refresh,
            self.placer.place_all,
            self.fleet.watch_silence,
            self.provisioner.run,
        )

    async def run(self) -> None:
        """Run all routines until one fails, then cancel the others in order."""
        settings, workers = self.settings, self.settings.cluster.workers
        run_forever = self.routines.run_forever
        users = http.Server(
            self.user_api.handle,
            settings.cluster.machine_limits.max_sockets * 5 // 8,
            3 * workers.lease_s,
            workers.lease_s,
            "/v1/report",
        )
        async with curio.TaskGroup(wait=any) as group:
            await group.spawn(users.serve, *parse_endpoint(settings.bind, "bind"))
            await group.spawn(
                peers.serve,
                *parse_endpoint(settings.peer_bind, "peer_bind"),
                self.peer_requests.answer,
                4 * settings.cluster.size,
                workers.lease_s,
            )
            for peer in self.peers.values():
                await group.spawn(run_forever, self.heartbeats.exchange_heartbeats, peer)
            for label in settings.labels:
                await group.spawn(run_forever, self.fleet.deliver_events, label)
            for routine in self.long_lived_routines():
                await group.spawn(run_forever, routine)
            log.info(
                "label=%s event=started incarnation=%s", settings.label, self.membership.incarnation
            )
