"""The search for room for the tasks of one job, within one pass of the placer."""

from __future__ import annotations

from collections.abc import Collection
from dataclasses import dataclass

from clayport.jobs.managed_job import ManagedJob
from clayport.scheduling.placement import place
from clayport.scheduling.policy import LargeTaskReserve
from clayport.scheduling.room import Room
from clayport.scheduling.scheduling_pass import SchedulingPass
from clayport.scheduling.spread import Spread


@dataclass(slots=True)
class RoomSearch:
    """What room for one job is looked for by.

    Attributes:
        managed: The job.
        current: The pass that looks.
        age_s: For how long the job has waited, in seconds.
        without: Machines that aren't considered.
        avoid_idle_on_demand: Whether to keep off idle on-demand machines.
        can_wait: Whether the job can wait for a machine that isn't expensive.
        avoid_spot: Whether the job would be late if its machine were taken back.
        spread: The zones of the job's other tasks.
        max_rank: The highest rank that may be preempted for it; -1: none.
        reserve: The machines on which room for a larger task is left.
    """

    managed: ManagedJob
    current: SchedulingPass
    age_s: float
    without: Collection[str]
    avoid_idle_on_demand: bool
    can_wait: bool
    avoid_spot: bool
    spread: Spread
    max_rank: int
    reserve: LargeTaskReserve | None

    def place(
        self, wanted: int, can_wait: bool = False, uncached: frozenset[str] | None = None
    ) -> list[Room]:
        """Choose and charge free rooms.

        Args:
            wanted: For how many tasks.
            can_wait: Whether to keep off expensive machines.
            uncached: The types whose machines will do without the image; None: all.
        """
        return place(
            self.managed.job,
            wanted,
            self.current.index,
            self.spread,
            self.current.policy,
            can_wait,
            self.avoid_spot,
            self.without,
            self.avoid_idle_on_demand,
            uncached,
            self.reserve,
        )
