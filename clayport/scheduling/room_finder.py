"""The search for room for the tasks of a waiting job: free room, and room made by preemption."""

from __future__ import annotations

import math
from collections.abc import Mapping

from clayport.jobs.managed_job import ManagedJob
from clayport.machines.table import MachineTable
from clayport.membership.state import MembershipState
from clayport.model import GANG, RANKS, SERVICE, Job, MachineType
from clayport.routines import Routines
from clayport.scheduling.backfill import BackfillLimits
from clayport.scheduling.guarantees import GuaranteeClaims, claimable_machines
from clayport.scheduling.room import Room
from clayport.scheduling.room_maker import RoomMaker
from clayport.scheduling.room_search import RoomSearch
from clayport.scheduling.scheduling_pass import SchedulingPass
from clayport.scheduling.spread import Spread
from clayport.scheduling.urgency import SchedulingObjectives
from clayport.scheduling.view import ClusterView

# The preemption rank (`Job.preemption_rank`) of jobs of the lowest rank without an objective.
LOWEST_BACKFILL_RANK = -1


def types_fetched_within(
    types: Mapping[str, MachineType], job: Job, within_s: float
) -> frozenset[str] | None:
    """Return the types whose machines can fetch the job's image within `within_s` seconds.

    Args:
        types: All machine types by name.
        job: The job.
        within_s: The time limit in seconds.

    Returns:
        The names of the types; None if all of them qualify.
    """
    found = frozenset(
        name for name, machine_type in types.items() if _fetch_time_s(job, machine_type) < within_s
    )
    return None if len(found) == len(types) else found


def _fetch_time_s(job: Job, machine_type: MachineType) -> float:
    """Return the longest time to fetch the job's image; real rates vary by up to a third."""
    if machine_type.fetch_gb_per_s <= 0:
        return 0.0
    return job.image_gb / machine_type.fetch_gb_per_s * 4 / 3


class RoomFinder:
    """Finds free room for one job at a time, or requests preemption for it."""

    def __init__(
        self,
        *,
        backfill: BackfillLimits,
        guarantees: GuaranteeClaims,
        machines: MachineTable,
        membership: MembershipState,
        objectives: SchedulingObjectives,
        room_maker: RoomMaker,
        routines: Routines,
        view: ClusterView,
    ) -> None:
        self.backfill = backfill
        self.guarantees = guarantees
        self.machines = machines
        self.membership = membership
        self.objectives = objectives
        self.room_maker = room_maker
        self.routines = routines
        self.view = view

    def find(
        self, managed: ManagedJob, wanted: int, scheduling_pass: SchedulingPass
    ) -> tuple[list[Room], int]:
        """Choose free rooms for tasks of a job, and request preemption for the other tasks.

        Args:
            managed: The job.
            wanted: The number of tasks to find room for.
            scheduling_pass: The scheduling pass.

        Returns:
            The chosen rooms, from which the tasks' resources are subtracted, and the number of
            tasks for which free room was sought. That number is smaller than `wanted` if
            preemption is making room for some of the tasks, or if the job is at fault.
        """
        search = self._search_conditions(managed, scheduling_pass)
        job, now, age_s = managed.job, scheduling_pass.now, search.age_s
        limit = self.objectives.wait_limits.get(job.job_class)
        chosen: list[Room] = []
        if managed.at_fault:
            # The job is likely to fail again, so neither preempt tasks nor claim a guarantee.
            chosen = search.place(wanted, avoid_expensive=True)
            chosen += search.place_on_probation(wanted - len(chosen))
            wanted = len(chosen)
        elif limit is not None and age_s < limit and job.kind != GANG:
            chosen, wanted = self._find_in_time(search, wanted, limit - age_s)
        if len(chosen) < wanted:
            chosen += search.place(
                wanted - len(chosen), avoid_expensive=search.can_wait or job.kind != GANG
            )
        if len(chosen) < wanted and not search.can_wait and job.kind != GANG:
            chosen += self._find_expensive(search, wanted - len(chosen))
        if len(chosen) < wanted and now >= managed.next_preempt_at:
            self._preempt_anywhere(search, wanted - len(chosen))
        if (
            len(chosen) < wanted
            and now >= max(managed.next_preempt_at, managed.next_claim_at)
            and self.guarantees.has_guarantee(job)
        ):
            self._claim_guarantee(search)
        if len(chosen) < wanted:
            chosen += self._find_on_probation(search, wanted - len(chosen))
        return chosen, wanted

    def _search_conditions(
        self, managed: ManagedJob, scheduling_pass: SchedulingPass
    ) -> RoomSearch:
        """Return the conditions of the search for room for the job in this pass."""
        job = managed.job
        age_s = scheduling_pass.now - managed.waiting_since
        can_wait = self.objectives.can_wait(job, age_s)
        return RoomSearch(
            managed=managed,
            scheduling_pass=scheduling_pass,
            age_s=age_s,
            excluded=managed.excluded_machines(scheduling_pass.now),
            # The job must not keep an on-demand machine rented for itself alone.
            avoid_idle_on_demand=job.backfill
            and age_s < self.backfill.long_wait_s
            and self.backfill.hinders_objectives(job),
            can_wait=can_wait,
            avoid_spot=self.objectives.avoid_spot(job, age_s),
            spread=self._spread(managed),
            max_rank=self.room_maker.spare_fair_shares(
                job, self.room_maker.max_preempted_rank(job, age_s, can_wait), scheduling_pass
            ),
            reserve=None
            if job.kind == SERVICE or scheduling_pass.has_fair_share(job)
            else scheduling_pass.reserve,
        )

    def _spread(self, managed: ManagedJob) -> Spread:
        """Return the zones of the job's assigned tasks, if the job restricts its zones."""
        zones = []
        if managed.job.one_zone or managed.job.spread:
            for _, _, machine in managed.assignments():
                zones.append(self.view.zones.get(machine))
        return Spread(managed.job, zones)

    def _find_in_time(
        self, search: RoomSearch, wanted: int, left_s: float
    ) -> tuple[list[Room], int]:
        """Find room for a job that has to start within `left_s` seconds.

        The job starts in time only on machines that have the image cached or can fetch it
        within that time. If these machines have too little room, tasks of the lowest rank are
        preempted there if possible. The job's remaining tasks then wait for this room instead of
        starting on other machines.
        """
        managed = search.managed
        image_fetch_types = types_fetched_within(self.machines.types, managed.job, left_s)
        chosen = search.place(wanted, image_fetch_types=image_fetch_types)
        if len(chosen) < wanted and search.max_rank >= 0:
            if search.scheduling_pass.now < managed.next_preempt_at:
                wanted = len(chosen)
            elif not managed.preempted and self.room_maker.make_room(
                search,
                wanted - len(chosen),
                grace_s=0.0,
                max_rank=RANKS["best_effort"],
                image_fetch_types=image_fetch_types,
            ):
                managed.preempted = True
                wanted = len(chosen)
        return chosen, wanted

    def _find_expensive(self, search: RoomSearch, wanted: int) -> list[Room]:
        """Find room on all machines, including expensive ones, for a job that cannot wait.

        Tasks of lower rank are preempted on inexpensive machines first. Expensive machines are
        used only for the remaining tasks, because each task there keeps an expensive machine
        rented.
        """
        managed, now = search.managed, search.scheduling_pass.now
        if search.max_rank >= 0 and now >= managed.next_preempt_at:
            self.room_maker.make_room(
                search,
                wanted,
                grace_s=self.room_maker.grace_s(managed.job, search.age_s),
                max_rank=search.max_rank,
                avoid_expensive=True,
            )
        return search.place(max(0, wanted - self._expected(managed, now)))

    def _find_on_probation(self, search: RoomSearch, wanted: int) -> list[Room]:
        """Find room on machines on probation for tasks for which there is no other room.

        Tasks for which preemption is making room wait for that room.
        """
        managed = search.managed
        expected = self._expected(managed, search.scheduling_pass.now)
        if expected and managed.job.kind == GANG:
            return []
        return search.place_on_probation(wanted - expected)

    @staticmethod
    def _expected(managed: ManagedJob, now: float) -> int:
        """Return for how many tasks of the job preemption is making room."""
        return sum(count for count, until in managed.preempted_room.values() if now < until)

    def _preempt_anywhere(self, search: RoomSearch, wanted: int) -> None:
        """Request preemption of tasks of lower rank on any machine.

        A backfill job preempts only backfill of the lowest rank.
        """
        job = search.managed.job
        if not job.backfill and search.max_rank >= 0:
            grace_s = self.room_maker.grace_s(job, search.age_s)
            self.room_maker.make_room(search, wanted, grace_s=grace_s, max_rank=search.max_rank)
        elif job.backfill and job.preemption_rank >= 0:
            self.room_maker.make_room(
                search, wanted, grace_s=math.inf, max_rank=LOWEST_BACKFILL_RANK
            )

    def _claim_guarantee(self, search: RoomSearch) -> None:
        """Claim the guarantee of the job's team from teams that exceed their guarantees."""
        managed, scheduling_pass = search.managed, search.scheduling_pass
        job = managed.job
        fitting_types = scheduling_pass.policy.fitting_types(job)
        machines = claimable_machines(
            job,
            [
                room
                for pool in scheduling_pass.index.allowed(job)
                if fitting_types is None or pool.type in fitting_types
                for room in pool.rooms.values()
                if room.machine not in search.excluded
            ],
            search.spread,
        )
        # The search iterates over all machines, so it does not run in every pass.
        managed.next_claim_at = scheduling_pass.now + self.membership.lease_ttl_s / 6
        if machines:
            managed.next_preempt_at = scheduling_pass.now + self.membership.lease_ttl_s
            self.routines.spawn(self.guarantees.claim(job, machines))
