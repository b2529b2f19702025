"""Emptying machines whose replicas others have room for, so that they can be returned."""

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

# The share of the fleet's CPUs that has to be free before replicas are moved to
# empty a machine.
MIN_FREE_SHARE = 0.1
# Free room that has to be left to empty a machine, in machines of its type.
MIN_FREE_MACHINES = 2
# Machines looked at in one round of emptying, each against all others.
MAX_CANDIDATES = 4
# The share of all replicas' time that may go to moving them.
MAX_MOVING_SHARE = 0.001


class Candidate(NamedTuple):
    """A machine that could be emptied; the best sorts first.

    Attributes:
        ordinary: Whether it is neither expensive for its replicas nor has GPUs that jobs need.
        replica_cpus: The CPUs of its replicas.
        machine: Its name.
    """

    ordinary: bool
    replica_cpus: float
    machine: str


class Consolidation:
    """Empties machines, one at a time.

    Args:
        cached_state: The room of all machines.
        objectives: Which jobs can wait for a cheaper machine.
        routing: Asks the owner of a machine.
        settings: The settings of the cluster.
        loses_room: Whether less of a demand would fit without the first of some machines.

    Attributes:
        next_at: When the next round is due, on the steady clock.
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
        self._tried_at: dict[str, float] = {}  # when a machine was last to be emptied

    async def empty_one(
        self,
        types: dict[str, MachineType],
        demand: list[Demand],
        spare: list[Demand],
        policy: Policy,
        now: float,
    ) -> None:
        """Empty a machine whose work the others have room for, the most expensive first.

        Nothing that waits could use it: neither a job that fits no machine of its
        type nor one that can wait for a cheaper one. (A few waiting gangs once kept
        nine expensive machines with replicas rented all day.) Replicas last, so without
        this a machine that has one stays rented, however little else there is for it.
        """
        rooms = self.cached_state.rooms()
        self._tried_at = {name: at for name, at in self._tried_at.items() if name in rooms}
        fleet_cpus = sum(types[room.type].cpus for room in rooms.values() if room.type in types)
        candidates = self._candidates(rooms, types, policy, now)
        # A look at all others for each: only the best few are looked at in a round.
        all_replica_cpus = sum(room.replica_cpus for room in rooms.values())
        report_s = self.settings.cluster.workers.report_s
        for candidate in sorted(candidates)[:MAX_CANDIDATES]:
            room = rooms[candidate.machine]
            kind = types[room.type]
            expensive = any(policy.expensive(job, room) for job in policy.services)
            waiting = self._waiting_for(kind, demand, expensive)
            if waiting and not expensive:
                continue
            free = self._free_elsewhere(room, rooms, waiting, expensive)
            # Enough stays free that the next job doesn't buy it back.
            least = MIN_FREE_MACHINES * kind.cpus
            if not expensive:
                least = max(least, MIN_FREE_SHARE * fleet_cpus)
            if free < least or (not expensive and self._spare_needs(room, rooms, spare, policy)):
                continue
            self._tried_at[room.machine] = now
            if await self.routing.ask_owner(frames.EVACUATE, candidate.machine, True):
                # Each replica that moves is missed for about as long as a report takes.
                share = candidate.replica_cpus / max(candidate.replica_cpus, all_replica_cpus)
                self.next_at = now + max(2.0, share / MAX_MOVING_SHARE) * report_s
            return
        # The best few are the same a moment later.
        self.next_at = now + 2 * report_s

    def _candidates(
        self, rooms: Mapping[str, Room], types: dict[str, MachineType], policy: Policy, now: float
    ) -> list[Candidate]:
        """The machines that only replicas keep rented, and that were not tried just now."""
        found = []
        for room in rooms.values():
            kind = types.get(room.type)
            if kind is None or not room.open or room.tasks == 0:
                continue
            gpu_jobs = room.type in policy.gpu_jobs
            if gpu_jobs and room.gpus < kind.gpus:
                continue  # its GPUs are in use
            replica_cpus = room.replica_cpus
            if (
                replica_cpus <= 0
                or now - self._tried_at.get(room.machine, -1e9)
                < 2 * self.settings.cluster.workers.lease_s
            ):
                continue  # empties by itself, or has just been tried
            expensive = any(policy.expensive(job, room) for job in policy.services)
            # The expensive ones first, then those with the fewest replicas to move.
            found.append(Candidate(not (expensive or gpu_jobs), replica_cpus, room.machine))
        return found

    def _waiting_for(
        self, kind: MachineType, demand: list[Demand], expensive: bool
    ) -> list[Demand]:
        """What waits and could use a machine of the type."""
        return [
            need
            for need in demand
            if fits(need.job, kind)
            and not (expensive and self.objectives.can_wait(need.job, need.age_s))
        ]

    @staticmethod
    def _free_elsewhere(
        room: Room, rooms: Mapping[str, Room], waiting: list[Demand], expensive: bool
    ) -> float:
        """The CPUs that the machine's replicas could have on others."""
        others = [
            other
            for other in rooms.values()
            if other.open and other.machine != room.machine and not (other.spot and not room.spot)
        ]
        free = sum(other.cpus for other in others)
        if expensive:
            # Its replicas are worth more than the progress of the lowest rank, which
            # makes way for what waits as well. (Something always waits, and kept nine
            # expensive machines with replicas rented all day.)
            free += sum(
                used[0]
                for other in others
                for (rank, _), used in other.used.items()
                if rank <= RANKS["best_effort"]
            )
            free -= sum(need.tasks * need.job.cpus for need in waiting)
        return free

    def _spare_needs(
        self, room: Room, rooms: Mapping[str, Room], spare: list[Demand], policy: Policy
    ) -> bool:
        """Whether the room to keep would be short without the machine."""
        without = (
            room.machine,
            *(other.machine for other in rooms.values() if other.spot and not room.spot),
        )
        return self.loses_room(self.cached_state.index(), without, spare, policy)
