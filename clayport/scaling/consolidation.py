"""Consolidation of replicas onto fewer machines, so that emptied machines can be returned."""

from __future__ import annotations

from collections.abc import Callable, Mapping, Sequence
from typing import NamedTuple

from clayport.machines.routing import Routing
from clayport.model import RANKS, MachineType, fits
from clayport.scaling.demand import Demand
from clayport.scheduling.cached_state import CachedState
from clayport.scheduling.index import Index
from clayport.scheduling.policy import Policy
from clayport.scheduling.room import Room
from clayport.scheduling.urgency import SchedulingObjectives
from clayport.settings import Settings
from clayport.transport import frames

# The share of the fleet's CPUs that has to be free on other machines before the replicas of a
# machine that isn't expensive are moved.
MIN_FREE_SHARE = 0.1
# The CPUs that have to be free on other machines before a machine is emptied, as a multiple of the
# CPUs of its machine type.
MIN_FREE_MACHINES = 2
# The number of candidates checked in one round; each is compared with all other machines.
MAX_CANDIDATES = 4
# The maximum share of all replicas' running time that is lost because replicas are moved.
MAX_MOVING_SHARE = 0.001


class Candidate(NamedTuple):
    """A machine that could be emptied; better candidates sort first.

    Attributes:
        ordinary: Whether the machine neither is expensive for its replicas nor has GPUs that
            jobs need.
        replica_cpus: The CPUs that its replicas hold.
        machine: The name of the machine.
    """

    ordinary: bool
    replica_cpus: float
    machine: str


class Consolidation:
    """Empties machines by evacuating their replicas, one machine at a time.

    Args:
        cached_state: The room of all machines.
        objectives: Says which jobs can wait for a cheaper machine.
        routing: Sends requests to the owner of a machine.
        settings: The settings of the cluster.
        loses_room: Returns whether fewer tasks of a demand fit without all given machines than
            without all but the first of them.

    Attributes:
        next_at: When the next round is due, in seconds on the monotonic clock.
    """

    def __init__(
        self,
        *,
        cached_state: CachedState,
        objectives: SchedulingObjectives,
        routing: Routing,
        settings: Settings,
        loses_room: Callable[[Index, Sequence[str], list[Demand], Policy], bool],
    ) -> None:
        self.cached_state = cached_state
        self.objectives = objectives
        self.routing = routing
        self.settings = settings
        self.loses_room = loses_room
        self.next_at = -1e9
        self._tried_at: dict[str, float] = {}  # when each machine was last asked to be emptied

    async def empty_one(
        self,
        types: dict[str, MachineType],
        demand: list[Demand],
        spare: list[Demand],
        policy: Policy,
        now: float,
    ) -> None:
        """Evacuate one machine whose replicas fit on other machines, expensive machines first.

        Replicas don't end by themselves, so a machine with a single replica would otherwise stay
        rented. A machine that isn't expensive for its replicas is left alone while waiting
        demand could use it. An expensive machine is emptied even then, if the other machines
        have room for its replicas and the waiting demand. Otherwise gangs that wait for long
        would keep expensive machines rented all day.
        """
        rooms = self.cached_state.rooms()
        self._tried_at = {name: at for name, at in self._tried_at.items() if name in rooms}
        fleet_cpus = sum(types[room.type].cpus for room in rooms.values() if room.type in types)
        candidates = self._candidates(rooms, types, policy, now)
        # Each check compares the candidate with all other machines, so only the best few are
        # checked in a round.
        all_replica_cpus = sum(room.replica_cpus for room in rooms.values())
        report_s = self.settings.cluster.workers.report_s
        for candidate in sorted(candidates)[:MAX_CANDIDATES]:
            room = rooms[candidate.machine]
            machine_type = types[room.type]
            expensive = any(policy.expensive(job, room) for job in policy.services)
            waiting = self._waiting_for(machine_type, demand, expensive)
            if waiting and not expensive:
                continue
            free_cpus = self._free_elsewhere(room, rooms, waiting, expensive)
            # So much room has to stay free that the next job doesn't cause a new rental.
            min_free_cpus = MIN_FREE_MACHINES * machine_type.cpus
            if not expensive:
                min_free_cpus = max(min_free_cpus, MIN_FREE_SHARE * fleet_cpus)
            if free_cpus < min_free_cpus or (
                not expensive and self._needed_for_spare(room, rooms, spare, policy)
            ):
                continue
            self._tried_at[room.machine] = now
            if await self.routing.ask_owner(frames.EVACUATE, candidate.machine, True):
                # A moved replica is down for about one report interval.
                share = candidate.replica_cpus / max(candidate.replica_cpus, all_replica_cpus)
                self.next_at = now + max(2.0, share / MAX_MOVING_SHARE) * report_s
            return
        # An immediate next round would check the same candidates again.
        self.next_at = now + 2 * report_s

    def _candidates(
        self, rooms: Mapping[str, Room], types: dict[str, MachineType], policy: Policy, now: float
    ) -> list[Candidate]:
        """Return the open machines with replicas that were not asked to be emptied recently."""
        found = []
        for room in rooms.values():
            machine_type = types.get(room.type)
            if machine_type is None or not room.open or room.tasks == 0:
                continue
            gpu_jobs = room.type in policy.gpu_jobs
            if gpu_jobs and room.gpus < machine_type.gpus:
                continue  # jobs use its GPUs
            replica_cpus = room.replica_cpus
            if (
                replica_cpus <= 0
                or now - self._tried_at.get(room.machine, -1e9)
                < 2 * self.settings.cluster.workers.lease_s
            ):
                # The machine has no replicas to move, or its owner was asked recently to empty it.
                continue
            expensive = any(policy.expensive(job, room) for job in policy.services)
            # Expensive machines sort first, then machines with fewer replica CPUs to move.
            found.append(Candidate(not (expensive or gpu_jobs), replica_cpus, room.machine))
        return found

    def _waiting_for(
        self, machine_type: MachineType, demand: list[Demand], expensive: bool
    ) -> list[Demand]:
        """Return the waiting demand that could use a machine of the type.

        For an expensive machine, demand that can wait for a cheaper one is left out.
        """
        return [
            need
            for need in demand
            if fits(need.job, machine_type)
            and not (expensive and self.objectives.can_wait(need.job, need.age_s))
        ]

    @staticmethod
    def _free_elsewhere(
        room: Room, rooms: Mapping[str, Room], waiting: list[Demand], expensive: bool
    ) -> float:
        """Return the CPUs on other machines that the replicas of the machine could use.

        Replicas don't move from on-demand machines to spot machines.
        """
        others = [
            other
            for other in rooms.values()
            if other.open and other.machine != room.machine and not (other.spot and not room.spot)
        ]
        free_cpus = sum(other.cpus for other in others)
        if expensive:
            # Replicas that are moved may preempt tasks of the lowest rank, because returning the
            # machine saves more than the lost progress of these tasks costs. Waiting demand may
            # preempt these tasks too, so its CPUs are subtracted. When any waiting demand
            # prevented the evacuation, nine expensive machines stayed rented all day, because
            # some demand nearly always waits.
            free_cpus += sum(
                used[0]
                for other in others
                for (rank, _), used in other.used.items()
                if rank <= RANKS["best_effort"]
            )
            free_cpus -= sum(need.tasks * need.job.cpus for need in waiting)
        return free_cpus

    def _needed_for_spare(
        self, room: Room, rooms: Mapping[str, Room], spare: list[Demand], policy: Policy
    ) -> bool:
        """Return whether less of the spare room would be left without the machine."""
        without = (
            room.machine,
            *(other.machine for other in rooms.values() if other.spot and not room.spot),
        )
        return self.loses_room(self.cached_state.index(), without, spare, policy)
