"""What to rent in one round, from what waits and what is there or on its way."""

from __future__ import annotations

import math
from typing import NamedTuple

from clayport.model import MachineType
from clayport.scaling.boot_times import Kind
from clayport.scaling.catalogue import Catalogue
from clayport.scaling.demand import Demand, surely_fits, time_left_s, unmet_demand, urgent_demand
from clayport.scaling.provisioning import plan_rentals
from clayport.scheduling.index import Index
from clayport.scheduling.placer import Placer
from clayport.scheduling.policy import Policy
from clayport.scheduling.room import Room
from clayport.scheduling.urgency import SchedulingObjectives

# A job that asks for no CPUs is counted as asking for this many.
MIN_JOB_CPUS = 0.1


class Workload(NamedTuple):
    """What rentals are planned for, as of one round.

    Attributes:
        waiting: All that waits.
        demand: Of that, what is not backfill.
        spare: The room to keep for what is to be expected.
        observed: The machine types, with the boot times that are to be expected.
        booting: The room of machines that are on their way.
    """

    waiting: list[Demand]
    demand: list[Demand]
    spare: list[Demand]
    observed: list[MachineType]
    booting: list[Room]


class FleetCpus(NamedTuple):
    """CPUs of the machines that are there.

    Attributes:
        without_replicas: Those that replicas don't hold.
        busy: Those that work holds.
    """

    without_replicas: float
    busy: float


def replicas_on_expensive(index: Index, policy: Policy) -> list[Demand]:
    """Return replicas of one service that run on machines far more expensive than they need."""
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
    """Count the CPUs of the machines in the index whose types are known."""
    there = busy = replica_cpus = 0.0
    for pool in index.pools.values():
        kind = types.get(pool.type)
        totals = pool.count()
        if kind is not None:
            there += totals.machines * kind.cpus
            replica_cpus += totals.replica_cpus
            busy += len(pool.rooms) * kind.cpus - totals.free
    return FleetCpus(there - replica_cpus, busy)


class RentalPlanner:
    """Decides which machines to rent.

    Attributes:
        refused: What the cloud had none of, and until when it is not asked for again.
    """

    def __init__(
        self, *, catalogue: Catalogue, objectives: SchedulingObjectives, placer: Placer
    ) -> None:
        self.catalogue = catalogue
        self.objectives = objectives
        self.placer = placer
        self.refused: dict[Kind, float] = {}

    def forget_refusals(self, now: float) -> None:
        """Let the cloud be asked again for what it refused a while ago."""
        self.refused = {kind: until for kind, until in self.refused.items() if until > now}

    def plan(
        self, work: Workload, index: Index, policy: Policy, types: dict[str, MachineType]
    ) -> list[Kind]:
        """Return the machines to rent for what fits neither what is there nor on its way."""
        without_replicas, busy = fleet_cpus(index, types)
        cpus = without_replicas + sum(room.cpus for room in work.booting)
        boot_s = min(kind.boot_s for kind in work.observed)
        limits = self.objectives.finish_limits
        needs = urgent_demand(work.demand, limits, cpus, boot_s=boot_s)
        moving = replicas_on_expensive(index, policy)
        if (
            not needs
            and surely_fits(index, work.spare, policy, can_wait=True)
            and surely_fits(index, moving, policy, can_wait=True)
        ):
            return self._plan_backfill_after(work, work.waiting, needs, busy, index, policy)
        kept: list[Demand] = []
        if moving:
            with index.trial(extra=work.booting):
                # Room for replicas on expensive machines has to be where it is cheap: else
                # it would keep expensive machines rented.
                kept = unmet_demand(index, moving, policy, True)
        with index.trial(extra=work.booting):
            missing = unmet_demand(index, needs, policy)
            # And so has room that is only kept.
            kept = unmet_demand(index, work.spare, policy, True) + kept
        if not missing and not kept:
            return self._plan_backfill_after(work, work.waiting, needs, busy, index, policy)
        left = self._time_left(work.demand, cpus, boot_s)
        wanted = self._plan_missing(work, missing, left, busy, policy)
        unhurried = {need.job.id: -math.inf for need in kept}
        wanted += self._plan_missing(work, kept, unhurried, busy, policy)
        if any(need.job.gpus > 0 for need in missing + kept):
            return wanted
        # Others lack machines, but none of those with GPUs.
        with_gpus = [need for need in work.waiting if need.job.gpus > 0]
        return wanted + self._plan_backfill_after(work, with_gpus, needs, busy, index, policy)

    def _time_left(self, demand: list[Demand], cpus: float, boot_s: float) -> dict[str, float]:
        """By job, the seconds that it may still wait; none for what is in time as it is."""
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
        left: dict[str, float],
        busy: float,
        policy: Policy,
    ) -> list[Kind]:
        """The machines to rent for demand that found no room."""
        boots = {kind.name: kind.boot_s for kind in self.catalogue.types}
        return plan_rentals(work.observed, missing, set(self.refused), busy, policy, left, boots)

    def _plan_backfill_after(
        self,
        work: Workload,
        waiting: list[Demand],
        needs: list[Demand],
        busy: float,
        index: Index,
        policy: Policy,
    ) -> list[Kind]:
        """The machines to rent for backfill, in the room that all else leaves."""
        if not any(need.job.backfill for need in waiting):
            return []
        with index.trial(extra=work.booting):
            unmet_demand(index, needs, policy)
            unmet_demand(index, work.spare, policy, True)
            return self.plan_backfill(waiting, busy, index, policy)

    def plan_backfill(
        self, waiting: list[Demand], busy: float, index: Index, policy: Policy
    ) -> list[Kind]:
        """Return the machines to rent for backfill, within a trial of the index.

        Only once nothing else lacks any, within its share, and on-demand ones only if it
        can't be had otherwise.

        Args:
            waiting: All that waits.
            busy: The CPUs that work holds now.
            index: The free room, without what all else needs.
            policy: What keeps work off machines.
        """
        placer = self.placer
        left: dict[int, float] = {}
        wanted: list[Kind] = []
        on_demand = {
            (kind.name, zone, False) for kind in self.catalogue.types for zone in kind.zones
        }
        for need in waiting:
            if not need.job.backfill:
                continue
            beside, tasks, rank = (
                placer.backfill.hinders_objectives(need.job),
                need.tasks,
                need.job.rank,
            )
            if beside:
                if rank not in left:
                    left[rank] = placer.backfill.cpus_left(index, rank)
                if left[rank] < need.job.cpus:
                    continue
                tasks = int(min(tasks, left[rank] / max(need.job.cpus, MIN_JOB_CPUS)))
                left[rank] -= tasks * need.job.cpus
            refused, avoid_idle_on_demand = set(self.refused), False
            if beside and need.age_s < placer.backfill.long_wait_s:
                if need.job.spot:
                    refused |= on_demand
                avoid_idle_on_demand = True
            missing = unmet_demand(
                index,
                [need._replace(tasks=tasks)],
                policy,
                avoid_idle_on_demand=avoid_idle_on_demand,
            )
            wanted += plan_rentals(
                self.catalogue.types, missing, refused, busy, policy, {need.job.id: -math.inf}
            )
        return wanted
