"""The conditions of a search for room for one job in one pass of the placer."""

from __future__ import annotations

from collections.abc import Collection
from dataclasses import dataclass

from clayport.jobs.managed_job import ManagedJob
from clayport.model import GANG
from clayport.scheduling.placement import place
from clayport.scheduling.policy import LargeTaskReserve
from clayport.scheduling.room import Room
from clayport.scheduling.scheduling_pass import SchedulingPass
from clayport.scheduling.spread import Spread


@dataclass(slots=True)
class RoomSearch:
    """The conditions of a search for room for one job.

    Attributes:
        managed: The job.
        scheduling_pass: The scheduling pass.
        age_s: How long the job has waited, in seconds.
        excluded: Machines that are not considered.
        avoid_idle_on_demand: Whether to skip idle on-demand machines.
        can_wait: Whether the job can wait for a machine that is not expensive.
        avoid_spot: Whether to prefer other machines to spot machines, because the job would be
            late if the cloud took its machine back.
        spread: The zones of the job's other tasks.
        max_rank: The highest rank that may be preempted for the job; -1: none.
        reserve: The machines that have to keep room for a larger task.
    """

    managed: ManagedJob
    scheduling_pass: SchedulingPass
    age_s: float
    excluded: Collection[str]
    avoid_idle_on_demand: bool
    can_wait: bool
    avoid_spot: bool
    spread: Spread
    max_rank: int
    reserve: LargeTaskReserve | None

    def place(
        self,
        wanted: int,
        avoid_expensive: bool = False,
        image_fetch_types: frozenset[str] | None = None,
        used: Collection[str] = (),
    ) -> list[Room]:
        """Choose free rooms for tasks of the job, and allocate the tasks in them.

        Args:
            wanted: The number of tasks to place.
            avoid_expensive: Whether to skip expensive machines.
            image_fetch_types: The machine types on which a task may start although the image has
                to be fetched first; None: all types.
            used: Machines that are not considered, besides the excluded ones.
        """
        return place(
            self.managed.job,
            wanted,
            self.scheduling_pass.index,
            self.spread,
            self.scheduling_pass.policy,
            avoid_expensive,
            self.avoid_spot,
            {*self.excluded, *used} if used else self.excluded,
            self.avoid_idle_on_demand,
            image_fetch_types,
            self.reserve,
        )

    def place_on_probation(self, wanted: int) -> list[Room]:
        """Choose machines on probation, each for one task, and allocate the tasks there.

        The tasks of a gang start together or not at all. So a gang may take several places on a
        machine, also beside places on healthy machines.

        Args:
            wanted: The number of tasks to place.
        """
        job, index = self.managed.job, self.scheduling_pass.index
        rooms = [
            room
            for machine, room in index.on_probation.items()
            if machine not in self.excluded and room.allows(job) and room.fits_probe(job)
        ]
        if wanted <= 0 or not rooms:
            return []
        with index.admitting(rooms):
            if job.kind == GANG:
                return self.place(wanted, self.can_wait)
            chosen: list[Room] = []
            while len(chosen) < wanted:
                used = [room.machine for room in chosen]
                found = self.place(1, self.can_wait, used=used)
                if not found:
                    break
                chosen += found
        return chosen
