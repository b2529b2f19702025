"""The routine with which one member of the epoch, the provisioner, rents and returns machines."""

from __future__ import annotations

import logging
import time
from collections.abc import Sequence

import curio

from clayport.jobs.registry import JobRegistry
from clayport.leases.renewal import LeaseRenewal
from clayport.machines.removal import MachineRemoval
from clayport.machines.routing import Routing
from clayport.membership.epoch import Epoch
from clayport.membership.stalls import StallDetector
from clayport.membership.state import MembershipState
from clayport.model import CloudMachine, MachineType
from clayport.routines import Routines
from clayport.scaling.arrivals import ArrivalRates, spare_room
from clayport.scaling.boot_times import MachineKind
from clayport.scaling.catalogue import Catalogue
from clayport.scaling.cloud import Cloud, CloudError, NoCapacityError
from clayport.scaling.consolidation import Consolidation
from clayport.scaling.demand import Demand, surely_fits, unmet_demand
from clayport.scaling.machine_list import MachineList
from clayport.scaling.provisioning import MAX_RENTED_AT_ONCE
from clayport.scaling.rental_plan import RentalPlanner, Workload, replicas_on_expensive
from clayport.scheduling.cached_state import CachedState
from clayport.scheduling.index import Index
from clayport.scheduling.placer import Placer
from clayport.scheduling.policy import Policy
from clayport.scheduling.room import Room
from clayport.scheduling.urgency import SchedulingObjectives
from clayport.scheduling.view import ClusterView
from clayport.settings import Settings
from clayport.transport import frames

log = logging.getLogger(__name__)

# The number of idle machines checked in one round; each check looks at all other machines.
MAX_IDLE_PER_ROUND = 4
# How long a machine has to be idle before it is returned, in boot times of its type.
MIN_IDLE_BOOT_TIMES = 0.5
# For how long a kind of machine isn't requested again after the cloud had no capacity for it,
# in boot times of its type.
REFUSAL_BOOT_TIMES = 0.5
# If the cloud lists no machine in an epoch up to this number, the service is only just starting,
# and no previous provisioner has rented machines.
FIRST_EPOCHS = 3


class Provisioner:
    """Rents and returns machines while this controller is the epoch's provisioner.

    Attributes:
        machine_list: The listed, booting and returned machines.
        planner: Decides which machines to rent.
        consolidation: Empties machines whose replicas fit elsewhere.
        resumed_at: When this controller became the provisioner or last resumed after a stall, in
            seconds on the monotonic clock.
    """

    def __init__(
        self,
        *,
        arrivals: ArrivalRates,
        cached_state: CachedState,
        catalogue: Catalogue,
        cloud: Cloud,
        jobs: JobRegistry,
        membership: MembershipState,
        objectives: SchedulingObjectives,
        placer: Placer,
        removal: MachineRemoval,
        renewal: LeaseRenewal,
        routines: Routines,
        routing: Routing,
        settings: Settings,
        stalls: StallDetector,
        view: ClusterView,
    ) -> None:
        self.arrivals = arrivals
        self.cached_state = cached_state
        self.catalogue = catalogue
        self.cloud = cloud
        self.jobs = jobs
        self.membership = membership
        self.objectives = objectives
        self.placer = placer
        self.renewal = renewal
        self.routines = routines
        self.routing = routing
        self.settings = settings
        self.stalls = stalls
        self.machine_list = MachineList(
            catalogue=catalogue,
            cloud=cloud,
            membership=membership,
            removal=removal,
            settings=settings,
            view=view,
        )
        self.planner = RentalPlanner(catalogue=catalogue, objectives=objectives, placer=placer)
        self.consolidation = Consolidation(
            cached_state=cached_state,
            objectives=objectives,
            routing=routing,
            settings=settings,
            loses_room=self._loses_room,
        )
        # Machines that their owners refused to drain, with the time until which the owners are
        # not asked again.
        self._drain_refused_until: dict[str, float] = {}
        self._rental_count = 0  # number of requests so far, part of their names
        self._known_epoch: Epoch | None = None
        self._rent_from = 0.0  # no machine is rented before this time
        self._evacuated_at = -1e9
        self.resumed_at = -1e9

    @property
    def listed_machines(self) -> dict[str, CloudMachine]:
        """The machines of the cloud's list as last read, by id."""
        return self.machine_list.listed_machines

    async def run(self) -> None:
        """Run rounds of renting and returning for as long as the process runs."""
        attempt = self.cloud.begin_request()
        while True:
            await self.routines.wait("demand", self.membership.lease_ttl_s / 3)
            await curio.sleep(self.membership.lease_ttl_s / 12)
            if (
                not self.membership.serving
                or self.membership.epoch.provisioner != self.membership.label
                or not self.catalogue.types
            ):
                continue
            now = time.monotonic()
            if (
                not self.stalls.confirm_no_stall(now)
                or self.membership.stepped_aside
                or self.renewal.state_service_lost(now)
            ):
                # This controller may have been removed from the epoch, or has just resumed
                # after a stall. A return sent now could be delayed in the network and destroy
                # machines minutes later that run tasks by then.
                continue
            try:
                await self.tick()
                attempt.served()
            except CloudError as exc:
                log.info("event=cloud-trouble cause=%s", exc)
                await self.cloud.back_off(attempt)

    async def tick(self) -> None:
        """Run one round of renting and returning.

        Raises:
            CloudError: The cloud refused a request or didn't answer it.
        """
        epoch = self.membership.epoch
        await self._refresh(epoch)
        if self.membership.epoch is not epoch:
            return
        now = time.monotonic()
        types = {machine_type.name: machine_type for machine_type in self.catalogue.types}
        await self._give_up_late(types, now)
        index, policy = self.cached_state.index(), self.placer.policy()
        if log.isEnabledFor(logging.DEBUG):
            self._log_fleet(list(index.rooms.values()), types)
        waiting = self.placer.demand_report.cluster_demand()
        demand = [need for need in waiting if not need.job.backfill]
        observed = self.machine_list.observed_types(now)
        spare = spare_room(
            [job for job, _ in self.jobs.live.values()],
            self.arrivals,
            observed,
            self.objectives.classes_with_wait_limit,
            now,
        )
        self.planner.forget_refusals(now)
        if now >= self._rent_from:
            booting = self.machine_list.booting_rooms(types, now)
            work = Workload(waiting, demand, spare, observed, booting)
            await self._rent(self.planner.plan(work, index, policy, types), types, now)
        await self._return_idle(types, demand, spare, policy, now)
        if now - self._evacuated_at > self.settings.cluster.workers.lease_s / 2:
            await self._evacuate_blocked(types, policy, now)
        if now >= self.consolidation.next_at:
            await self.consolidation.empty_one(types, demand, spare, policy, now)

    async def _refresh(self, epoch: Epoch) -> None:
        """Refresh the cached room of the peers and the cloud's list; start over in a new epoch."""
        now = time.monotonic()
        lag_s = self.settings.cluster.cloud.list_lag_s
        new_epoch = self._known_epoch is not epoch
        await self.cached_state.refresh_peers(changed_only=not new_epoch)
        if new_epoch or now - self.machine_list.listed_at > lag_s:
            await self.machine_list.refresh(now)
        if new_epoch:
            # Machines that the previous provisioner rented may not be listed yet, so renting
            # waits until the list is certain to contain them. There was no previous
            # provisioner in epoch 1, even if machines exist already, or in an epoch up to
            # `FIRST_EPOCHS` if the cloud lists no machine.
            self._known_epoch = epoch
            self.resumed_at = now
            first_start = epoch.number == 1 or (
                epoch.number <= FIRST_EPOCHS and not self.listed_machines
            )
            self._rent_from = now + (0.0 if first_start else 2 * lag_s)

    async def _give_up_late(self, types: dict[str, MachineType], now: float) -> None:
        """Return machines that did not come up, except shortly after an epoch change or a stall.

        At that time working machines look as if they had not come up, until their reports reach
        the new owners.
        """
        if now - self.resumed_at < 2 * self.settings.cluster.workers.lease_s:
            return
        await self.machine_list.give_up_late(types, now)

    async def _evacuate_blocked(
        self, types: dict[str, MachineType], policy: Policy, now: float
    ) -> None:
        """Evacuate one machine whose replicas block a job that needs its GPUs.

        This happens when the replicas were placed before the job arrived.
        """
        for room in list(self.cached_state.rooms().values()):
            machine_type = types.get(room.type)
            if (
                machine_type is not None
                and room.open
                and policy.excess_cpus(room, machine_type) > 0
                and await self.routing.ask_owner(frames.EVACUATE, room.machine, False)
            ):
                self._evacuated_at = now
                break

    def _log_fleet(self, rooms: list[Room], types: dict[str, MachineType]) -> None:
        """Log machines, busy CPUs and all CPUs by machine type, and the waiting tasks by class."""
        kinds: dict[tuple[str, bool], list[float]] = {}
        for room in rooms:
            if room.type in types:
                row = kinds.setdefault((room.type, room.spot), [0, 0, 0])
                row[0] += 1
                row[1] += types[room.type].cpus
                row[2] += types[room.type].cpus - room.cpus
        waiting: dict[str, int] = {}
        for need in self.placer.demand_report.cluster_demand():
            name = need.job.job_class
            waiting[name] = waiting.get(name, 0) + need.tasks
        log.debug(
            "event=fleet booting=%d waiting=%s %s",
            len(self.machine_list.booting),
            waiting,
            " ".join(
                f"{name}{'*' if spot else ''}={count:.0f}:{busy:.0f}/{cpus:.0f}"
                for (name, spot), (count, cpus, busy) in sorted(kinds.items())
            ),
        )

    async def _rent(
        self, kinds: list[MachineKind], types: dict[str, MachineType], now: float
    ) -> None:
        """Rent the machines, with one request for each kind.

        Raises:
            CloudError: A request was refused or not answered; it may still be executed.
        """
        counts: dict[MachineKind, int] = {}
        for kind in kinds:
            counts[kind] = counts.get(kind, 0) + 1
        for kind, count in counts.items():
            self._rental_count += 1
            name = f"r-{self.membership.epoch.number}-{self.membership.label}-{self._rental_count}"
            try:
                rented = await self.cloud.rent(name, *kind, min(count, MAX_RENTED_AT_ONCE))
            except NoCapacityError:
                rented = []
            log.info("event=scaled-out kind=%s wanted=%d got=%d", kind, count, len(rented))
            if len(rented) < min(count, MAX_RENTED_AT_ONCE):
                self.planner.refused[kind] = now + REFUSAL_BOOT_TIMES * types[kind[0]].boot_s
                self.routines.signal("demand")
            for machine in rented:
                self.machine_list.note_rented(machine, kind, now)

    async def _return_idle(
        self,
        types: dict[str, MachineType],
        demand: list[Demand],
        spare: list[Demand],
        policy: Policy,
        now: float,
    ) -> None:
        """Return machines that have been idle for a while and are not needed as spare room."""
        names: list[str] = []
        needs = demand + spare
        index = self.cached_state.index()
        # Cheap machines are kept while replicas on expensive machines can still move to them.
        keep_cpus = sum(need.job.cpus * need.tasks for need in replicas_on_expensive(index, policy))
        self._drain_refused_until = {
            name: until for name, until in self._drain_refused_until.items() if now < until
        }
        urgent = [need for need in demand if not self.objectives.can_wait(need.job, need.age_s)]
        candidates = self._idle_rooms(index, types, now)[:MAX_IDLE_PER_ROUND]
        # All candidates are checked together first, because one check is enough for all of them if
        # there is plenty of spare room. On a shrinking fleet, separate checks would take half of
        # the processor time.
        all_spare = sum(room.open for room in candidates) > 1 and not self._unplaced_tasks(
            self.cached_state.index(),
            [room.machine for room in candidates if room.open],
            needs,
            policy,
        )
        for room in candidates:
            # An expensive machine is not kept for spare room or for demand that can wait.
            cheap = not any(policy.expensive(job, room) for job in policy.services)
            if keep_cpus > 0 and room.open and cheap:
                keep_cpus -= room.cpus
                continue
            if (
                room.open
                and not all_spare
                and self._loses_room(
                    self.cached_state.index(),
                    (room.machine, *names),
                    needs if cheap else urgent,
                    policy,
                )
            ):
                continue
            if await self.routing.ask_owner(frames.DRAIN, room.machine):
                names.append(room.machine)
            else:
                # Without the pause, `MAX_IDLE_PER_ROUND` machines whose owners always refuse
                # would be the only candidates, and all other idle machines would stay rented.
                self._drain_refused_until[room.machine] = (
                    now + self.settings.cluster.workers.lease_s / 2
                )
        if names:
            log.info("event=scaled-in machines=%s cause=idle", names)
            await self.machine_list.return_machines(names, now)

    def _idle_rooms(self, index: Index, types: dict[str, MachineType], now: float) -> list[Room]:
        """Return the machines that could be returned: closed ones first, then on-demand ones."""
        idle = [
            room
            for room in index.rooms.values()
            if room.idle
            and room.type in types
            and (room.tasks == 0 or (room.open and not room.spot))
            and room.machine not in self.machine_list.returned
            and room.machine not in self._drain_refused_until
            and (
                not room.open
                or now - room.idle_since > MIN_IDLE_BOOT_TIMES * types[room.type].boot_s
            )
        ]
        # Closed machines come first because no task will start on them again.
        idle.sort(key=lambda room: (room.open, room.spot, -types[room.type].price))
        return idle

    @staticmethod
    def _unplaced_tasks(
        index: Index, without: Sequence[str], needs: list[Demand], policy: Policy
    ) -> int:
        """Return the number of tasks of the demand that don't fit without the machines."""
        if surely_fits(index, needs, policy, without):
            return 0
        with index.trial(without):
            return sum(need.tasks for need in unmet_demand(index, needs, policy))

    @classmethod
    def _loses_room(
        cls, index: Index, without: Sequence[str], needs: list[Demand], policy: Policy
    ) -> bool:
        """Return whether fewer tasks of the demand fit without the first of the machines.

        The other machines are excluded in either case.
        """
        lost = cls._unplaced_tasks(index, without, needs, policy)
        return lost > 0 and lost > cls._unplaced_tasks(index, without[1:], needs, policy)
