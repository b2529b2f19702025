"""Planning of the rentals of one round from demand, free room and booting machines."""

from __future__ import annotations

import math
from typing import NamedTuple

from clayport.model import MachineType
from clayport.scaling.boot_times import MachineKind
from clayport.scaling.catalogue import Catalogue
from clayport.scaling.demand import Demand, surely_fits, time_left_s, unmet_demand, urgent_demand
from clayport.scaling.provisioning import plan_rentals
from clayport.scheduling.index import Index
from clayport.scheduling.placer import Placer
from clayport.scheduling.policy import Policy
from clayport.scheduling.room import Room
from clayport.scheduling.urgency import SchedulingObjectives

# A job that requests fewer CPUs counts as requesting this many.
MIN_JOB_CPUS = 0.1


class Workload(NamedTuple):
    """The input of one round of planning.

    Attributes:
        waiting: All waiting demand.
        demand: The waiting demand without backfill.
        spare: The demand to keep spare room for.
        observed: The machine types, with boot times corrected by recent boots.
        booting: The rooms of booting machines.
    """

    waiting: list[Demand]
    demand: list[Demand]
    spare: list[Demand]
    observed: list[MachineType]
    booting: list[Room]


class FleetCpus(NamedTuple):
    """CPUs of the present machines.

    Attributes:
        without_replicas: The CPUs that replicas don't hold.
        busy: The CPUs in use.
    """

    without_replicas: float
    busy: float


def replicas_on_expensive(index: Index, policy: Policy) -> list[Demand]:
    """Return the replicas of one service that run on expensive machines, as demand."""
    found = []
    for job in policy.services:
        cpus = sum(
            room.replica_cpus
            for pool in index.pools.values()
            if policy.expensive(job, pool)
            for room in pool.rooms.values()
        )
        if cpus > 0:
            found.append(Demand(job, math.ceil(cpus / max(job.cpus, MIN_JOB_CPUS))))
    return found[:1]


def fleet_cpus(index: Index, types: dict[str, MachineType]) -> FleetCpus:
    """Sum the CPUs of the machines in the index whose types are known."""
    total_cpus = busy = replica_cpus = 0.0
    for pool in index.pools.values():
        machine_type = types.get(pool.type)
        totals = pool.count()
        if machine_type is not None:
            total_cpus += totals.machines * machine_type.cpus
            replica_cpus += totals.replica_cpus
            busy += len(pool.rooms) * machine_type.cpus - totals.free
    return FleetCpus(total_cpus - replica_cpus, busy)


class RentalPlanner:
    """Decides which machines to rent.

    Attributes:
        refused: The kinds of machine for which the cloud had no capacity, with the time until
            which they are not requested again.
    """

    def __init__(
        self, *, catalogue: Catalogue, objectives: SchedulingObjectives, placer: Placer
    ) -> None:
        self.catalogue = catalogue
        self.objectives = objectives
        self.placer = placer
        self.refused: dict[MachineKind, float] = {}

    def forget_refusals(self, now: float) -> None:
        """Drop expired refusals, so that these kinds of machine are requested again."""
        self.refused = {kind: until for kind, until in self.refused.items() if until > now}

    def plan(
        self, work: Workload, index: Index, policy: Policy, types: dict[str, MachineType]
    ) -> list[MachineKind]:
        """Return the machines to rent for demand that fits neither present nor booting machines."""
        without_replicas, busy = fleet_cpus(index, types)
        cpus = without_replicas + sum(room.cpus for room in work.booting)
        boot_s = min(machine_type.boot_s for machine_type in work.observed)
        limits = self.objectives.finish_limits
        urgent = urgent_demand(work.demand, limits, cpus, boot_s=boot_s)
        moving = replicas_on_expensive(index, policy)
        if (
            not urgent
            and surely_fits(index, work.spare, policy, avoid_expensive=True)
            and surely_fits(index, moving, policy, avoid_expensive=True)
        ):
            return self._plan_backfill_after(work, work.waiting, urgent, busy, index, policy)
        unmet_spare: list[Demand] = []
        if moving:
            with index.trial(extra=work.booting):
                # Only room on cheap machines counts for the replicas that are to leave expensive
                # ones. Otherwise expensive machines would stay rented for these replicas.
                unmet_spare = unmet_demand(index, moving, policy, True)
        with index.trial(extra=work.booting):
            missing = unmet_demand(index, urgent, policy)
            # Only cheap machines count as spare room. Otherwise expensive machines would stay
            # rented as spare room.
            unmet_spare = unmet_demand(index, work.spare, policy, True) + unmet_spare
        if not missing and not unmet_spare:
            return self._plan_backfill_after(work, work.waiting, urgent, busy, index, policy)
        time_left = self._time_left(work.demand, cpus, boot_s)
        rentals = self._plan_missing(work, missing, time_left, busy, policy)
        no_time_left = {need.job.id: -math.inf for need in unmet_spare}
        rentals += self._plan_missing(work, unmet_spare, no_time_left, busy, policy)
        if any(need.job.gpus > 0 for need in missing + unmet_spare):
            return rentals
        # None of the demand that lacks machines needs GPUs, so machines for backfill jobs with GPUs
        # are planned as well.
        with_gpus = [need for need in work.waiting if need.job.gpus > 0]
        return rentals + self._plan_backfill_after(work, with_gpus, urgent, busy, index, policy)

    def _time_left(self, demand: list[Demand], cpus: float, boot_s: float) -> dict[str, float]:
        """Return for each job the seconds that it can still wait for an expensive machine.

        Jobs without an objective and jobs that will finish in time without a rental get minus
        infinity, so that no expensive machine is rented for them.
        """
        limits = self.objectives.finish_limits
        late = {need.job.id for need in urgent_demand(demand, limits, cpus, 1.0, 1.0, boot_s)}
        return {
            need.job.id: -math.inf
            if need.job.without_objective or need.job.id not in late
            else time_left_s(need.job, need.age_s, limits)
            for need in demand
        }

    def _plan_missing(
        self,
        work: Workload,
        missing: list[Demand],
        time_left: dict[str, float],
        busy: float,
        policy: Policy,
    ) -> list[MachineKind]:
        """Return the machines to rent for demand that found no room."""
        boots = {machine_type.name: machine_type.boot_s for machine_type in self.catalogue.types}
        return plan_rentals(
            work.observed, missing, set(self.refused), busy, policy, time_left, boots
        )

    def _plan_backfill_after(
        self,
        work: Workload,
        waiting: list[Demand],
        urgent: list[Demand],
        busy: float,
        index: Index,
        policy: Policy,
    ) -> list[MachineKind]:
        """Return the machines to rent for backfill that does not fit beside other demand."""
        if not any(need.job.backfill for need in waiting):
            return []
        with index.trial(extra=work.booting):
            unmet_demand(index, urgent, policy)
            unmet_demand(index, work.spare, policy, True)
            return self.plan_backfill(waiting, busy, index, policy)

    def plan_backfill(
        self, waiting: list[Demand], busy: float, index: Index, policy: Policy
    ) -> list[MachineKind]:
        """Return the machines to rent for backfill, within a trial of the index.

        The caller passes backfill of all kinds if no other demand needs new machines, and only
        backfill with GPUs if other demand needs new machines but no GPUs. Backfill that could
        hinder jobs with an objective gets machines only within its share of the fleet. Until such a
        backfill job has waited for `long_wait_s`, no on-demand machine is rented for the job if it
        can run on spot machines.

        Args:
            waiting: All waiting demand.
            busy: The CPUs in use now.
            index: The room that remains free after all other demand has been placed.
            policy: The placement policy.
        """
        placer = self.placer
        cpus_left: dict[int, float] = {}
        rentals: list[MachineKind] = []
        on_demand = {
            (machine_type.name, zone, False)
            for machine_type in self.catalogue.types
            for zone in machine_type.zones
        }
        for need in waiting:
            if not need.job.backfill:
                continue
            bounded, tasks, rank = (
                placer.backfill.hinders_objectives(need.job),
                need.tasks,
                need.job.rank,
            )
            if bounded:
                if rank not in cpus_left:
                    cpus_left[rank] = placer.backfill.cpus_left(index, rank)
                if cpus_left[rank] < need.job.cpus:
                    continue
                tasks = int(min(tasks, cpus_left[rank] / max(need.job.cpus, MIN_JOB_CPUS)))
                cpus_left[rank] -= tasks * need.job.cpus
            refused, avoid_idle_on_demand = set(self.refused), False
            if bounded and need.age_s < placer.backfill.long_wait_s:
                if need.job.spot:
                    refused |= on_demand
                avoid_idle_on_demand = True
            missing = unmet_demand(
                index,
                [need._replace(tasks=tasks)],
                policy,
                avoid_idle_on_demand=avoid_idle_on_demand,
            )
            rentals += plan_rentals(
                self.catalogue.types, missing, refused, busy, policy, {need.job.id: -math.inf}
            )
        return rentals
