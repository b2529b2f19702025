"""The routine that rents and returns machines, on the one member of the epoch that does."""

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
from clayport.scaling.arrivals import Arrivals, spare_room
from clayport.scaling.boot_times import Kind
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

# Idle machines looked at in one round, each against all others.
MAX_IDLE_LOOKED_AT = 4
# How long a machine has to be idle before it is returned, in boot times of its type.
IDLE_BOOTS = 0.5
# For how long the cloud isn't asked again for what it had none of, in boot times of its type.
REFUSED_BOOTS = 0.5
# The first epochs of a service: with no machine listed in them, no predecessor rented any.
FIRST_EPOCHS = 3


class Provisioner:
    """Rents and returns machines while this controller is the one that does.

    Attributes:
        machine_list: The cloud's list as last seen, and what is booting.
        planner: Decides what to rent.
        consolidation: Empties machines that others have room for.
        began_at: When this controller began to rent and return, on the steady clock; also
            set when it has stood still.
    """

    def __init__(
        self,
        *,
        arrivals: Arrivals,
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
        # Machines that their owners did not close, and until when they are not asked again.
        self._not_closed: dict[str, float] = {}
        self._rentals = 0  # requests so far, for their names
        self._began_in: Epoch | None = None
        self._ready_at = 0.0  # nothing is rented before
        self._evacuated_at = -1e9
        self.began_at = -1e9

    @property
    def listed(self) -> dict[str, CloudMachine]:
        """The machines of the cloud's list when it was last read, by id."""
        return self.machine_list.listed

    async def run(self) -> None:
        """Rent and return, round after round, for as long as the process runs."""
        attempt = self.cloud.begin()
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
            if not self.stalls.check(now) or self.membership.away or self.renewal.state_lost(now):
                # Possibly evicted, or just awake after standing still: a return sent now may be
                # held in the network and destroy, minutes later, machines that work.
                continue
            try:
                await self.tick()
                attempt.served()
            except CloudError as exc:
                log.info("event=cloud-trouble cause=%s", exc)
                await self.cloud.back_off(attempt)

    async def tick(self) -> None:
        """Carry out one round.

        Raises:
            CloudError: The cloud refused a request or didn't answer it.
        """
        epoch = self.membership.epoch
        await self._refresh(epoch)
        if self.membership.epoch is not epoch:
            return
        now = time.monotonic()
        types = {kind.name: kind for kind in self.catalogue.types}
        await self._give_up_late(types, now)
        index, policy = self.cached_state.index(), self.placer.policy()
        if log.isEnabledFor(logging.DEBUG):
            self._describe(list(index.rooms.values()), types)
        waiting = self.placer.demand_report.whole_epoch()
        demand = [need for need in waiting if not need.job.backfill]
        observed = self.machine_list.observed_types(now)
        spare = spare_room(
            [job for job, _ in self.jobs.live.values()],
            self.arrivals,
            observed,
            self.objectives.urgent,
            now,
        )
        self.planner.forget_refusals(now)
        if now >= self._ready_at:
            booting = self.machine_list.booting_rooms(types, now)
            work = Workload(waiting, demand, spare, observed, booting)
            await self._rent(self.planner.plan(work, index, policy, types), types, now)
        await self._return_idle(types, demand, spare, policy, now)
        if now - self._evacuated_at > self.settings.cluster.workers.lease_s / 2:
            await self._evacuate_blocked(types, policy, now)
        if now >= self.consolidation.next_at:
            await self.consolidation.empty_one(types, demand, spare, policy, now)

    async def _refresh(self, epoch: Epoch) -> None:
        """Bring the peers' room and the cloud's list up to date; begin anew in a new epoch."""
        now = time.monotonic()
        lag_s = self.settings.cluster.cloud.list_lag_s
        fresh = self._began_in is not epoch
        await self.cached_state.refresh_peers(changed_only=not fresh)
        if fresh or now - self.machine_list.listed_at > lag_s:
            await self.machine_list.refresh(now)
        if fresh:
            # What a predecessor rented may not be listed yet: wait for the list
            # to be sure before renting again. Where the service is only just being
            # started there was none, whatever machines there are already.
            self._began_in = epoch
            self.began_at = now
            first = epoch.number == 1 or (epoch.number <= FIRST_EPOCHS and not self.listed)
            self._ready_at = now + (0.0 if first else 2 * lag_s)

    async def _give_up_late(self, types: dict[str, MachineType], now: float) -> None:
        """Return machines that never came up.

        Not right after a takeover: machines that work are unknown then until
        their reports have found their new owners.
        """
        if now - self.began_at < 2 * self.settings.cluster.workers.lease_s:
            return
        await self.machine_list.give_up_late(types, now)

    async def _evacuate_blocked(
        self, types: dict[str, MachineType], policy: Policy, now: float
    ) -> None:
        """Move replicas off a machine where they were placed before a job that needs its GPUs
        was known."""
        for room in list(self.cached_state.rooms().values()):
            kind = types.get(room.type)
            if (
                kind is not None
                and room.open
                and policy.blocked(room, kind) > 0
                and await self.routing.ask_owner(frames.EVACUATE, room.machine, False)
            ):
                self._evacuated_at = now
                break

    def _describe(self, rooms: list[Room], types: dict[str, MachineType]) -> None:
        """Log how full the fleet is, by type: machines, CPUs and those busy; and what waits."""
        kinds: dict[tuple[str, bool], list[float]] = {}
        for room in rooms:
            if room.type in types:
                row = kinds.setdefault((room.type, room.spot), [0, 0, 0])
                row[0] += 1
                row[1] += types[room.type].cpus
                row[2] += types[room.type].cpus - room.cpus
        waiting: dict[str, int] = {}
        for need in self.placer.demand_report.whole_epoch():
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

    async def _rent(self, wanted: list[Kind], types: dict[str, MachineType], now: float) -> None:
        """Rent the machines, each kind with one request.

        Raises:
            CloudError: A request was refused or not answered; it may still be executed.
        """
        counts: dict[Kind, int] = {}
        for kind in wanted:
            counts[kind] = counts.get(kind, 0) + 1
        for kind, count in counts.items():
            self._rentals += 1
            name = f"r-{self.membership.epoch.number}-{self.membership.label}-{self._rentals}"
            try:
                got = await self.cloud.rent(name, *kind, min(count, MAX_RENTED_AT_ONCE))
            except NoCapacityError:
                got = []
            log.info("event=scaled-out kind=%s wanted=%d got=%d", kind, count, len(got))
            if len(got) < min(count, MAX_RENTED_AT_ONCE):
                self.planner.refused[kind] = now + REFUSED_BOOTS * types[kind[0]].boot_s
                self.routines.signal("demand")
            for machine in got:
                self.machine_list.note_rented(machine, kind, now)

    async def _return_idle(
        self,
        types: dict[str, MachineType],
        demand: list[Demand],
        spare: list[Demand],
        policy: Policy,
        now: float,
    ) -> None:
        """Return machines idle for a while that are not needed as spare room."""
        names: list[str] = []
        needs = demand + spare
        index = self.cached_state.index()
        # Cheap room that replicas on expensive machines can still move to is kept.
        keep_cpus = sum(need.job.cpus * need.tasks for need in replicas_on_expensive(index, policy))
        self._not_closed = {name: until for name, until in self._not_closed.items() if now < until}
        hurried = [need for need in demand if not self.objectives.can_wait(need.job, need.age_s)]
        few = self._idle(index, types, now)[:MAX_IDLE_LOOKED_AT]
        # Together first: where there is room to spare one look says so for all of them.
        # (On a fleet that shrinks, looks one by one were half of all processor time.)
        roomy = sum(room.open for room in few) > 1 and not self._lost(
            self.cached_state.index(), [room.machine for room in few if room.open], needs, policy
        )
        for room in few:
            # An expensive machine is not kept for what may come, or for what can wait.
            cheap = not any(policy.expensive(job, room) for job in policy.services)
            if keep_cpus > 0 and room.open and cheap:
                keep_cpus -= room.cpus
                continue
            if (
                room.open
                and not roomy
                and self._loses_room(
                    self.cached_state.index(),
                    (room.machine, *names),
                    needs if cheap else hurried,
                    policy,
                )
            ):
                continue
            if await self.routing.ask_owner(frames.DRAIN, room.machine):
                names.append(room.machine)
            else:
                # Four that are never closed would keep all others rented.
                self._not_closed[room.machine] = now + self.settings.cluster.workers.lease_s / 2
        if names:
            log.info("event=scaled-in machines=%s cause=idle", names)
            await self.machine_list.give_back(names, now)

    def _idle(self, index: Index, types: dict[str, MachineType], now: float) -> list[Room]:
        """The machines that could be returned: those closed first, then those on demand."""
        idle = [
            room
            for room in index.rooms.values()
            if room.idle
            and room.type in types
            and (room.tasks == 0 or (room.open and not room.spot))
            and room.machine not in self.machine_list.returned
            and room.machine not in self._not_closed
            and (not room.open or now - room.idle_since > IDLE_BOOTS * types[room.type].boot_s)
        ]
        # Closed ones first: nothing will ever start there again.
        idle.sort(key=lambda room: (room.open, room.spot, -types[room.type].price))
        return idle

    @staticmethod
    def _lost(index: Index, without: Sequence[str], needs: list[Demand], policy: Policy) -> int:
        """How many tasks of what is needed don't fit without the machines."""
        if surely_fits(index, needs, policy, without):
            return 0
        with index.trial(without):
            return sum(need.tasks for need in unmet_demand(index, needs, policy))

    @classmethod
    def _loses_room(
        cls, index: Index, without: Sequence[str], needs: list[Demand], policy: Policy
    ) -> bool:
        """Whether less of what is needed would fit without the first of the machines (the
        others are not counted on in any case)."""
        lost = cls._lost(index, without, needs, policy)
        return lost > 0 and lost > cls._lost(index, without[1:], needs, policy)
