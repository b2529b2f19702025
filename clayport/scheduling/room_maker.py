"""Requests for preemption of tasks of lower rank to make room for a job."""

from __future__ import annotations

import math
import time
from collections.abc import Iterable, Mapping

from clayport.jobs.managed_job import ManagedJob
from clayport.jobs.registry import JobRegistry
from clayport.machines.fleet import Fleet
from clayport.machines.table import MachineTable
from clayport.membership.state import MembershipState
from clayport.model import GANG, RANKS, SERVICE, Job
from clayport.routines import Routines
from clayport.scheduling.cached_state import CachedState
from clayport.scheduling.preemption import preempt
from clayport.scheduling.room_search import RoomSearch
from clayport.scheduling.scheduling_pass import SchedulingPass
from clayport.scheduling.urgency import SchedulingObjectives
from clayport.settings import Settings
from clayport.transport import frames
from clayport.transport.peers import Peer, PeerError


def _drop_expired(managed: ManagedJob, now: float) -> None:
    """Drop expired entries of `preempted_room`; the tables of free room show that room by now."""
    managed.preempted_room = {
        machine: (count, until)
        for machine, (count, until) in managed.preempted_room.items()
        if now < until
    }


class RoomMaker:
    """Decides which ranks may be preempted for a job, and sends requests to machines' owners."""

    def __init__(
        self,
        *,
        cached_state: CachedState,
        fleet: Fleet,
        jobs: JobRegistry,
        machines: MachineTable,
        membership: MembershipState,
        objectives: SchedulingObjectives,
        peers: Mapping[str, Peer],
        routines: Routines,
        settings: Settings,
    ) -> None:
        self.cached_state = cached_state
        self.fleet = fleet
        self.jobs = jobs
        self.machines = machines
        self.membership = membership
        self.objectives = objectives
        self.peers = peers
        self.routines = routines
        self.settings = settings

    def make_room(
        self,
        search: RoomSearch,
        wanted: int,
        grace_s: float,
        max_rank: int,
        avoid_expensive: bool = False,
        image_fetch_types: frozenset[str] | None = None,
    ) -> bool:
        """Request preemption of tasks of lower rank if that makes room for tasks of the job.

        Room from earlier preemptions that the tables do not show yet counts against `wanted`,
        so that it is not made a second time elsewhere.

        Args:
            search: The search that found too little room.
            wanted: The number of tasks to make room for.
            grace_s: The time that preempted tasks may take to save, in seconds.
            max_rank: The highest rank that may be preempted.
            avoid_expensive: Whether to skip expensive machines.
            image_fetch_types: The machine types on which a task may start although the image has
                to be fetched first; None: all types.

        Returns:
            Whether room is being made.
        """
        managed, scheduling_pass, excluded = search.managed, search.scheduling_pass, search.excluded
        job, now = managed.job, scheduling_pass.now
        _drop_expired(managed, now)
        expected = sum(count for count, _ in managed.preempted_room.values())
        wanted = min(wanted - expected, 1 if job.kind == GANG else wanted)
        if wanted <= 0:
            return True
        found = preempt(
            job,
            wanted,
            scheduling_pass.index,
            search.spread.copy(),
            scheduling_pass.policy,
            max_rank,
            search.avoid_spot,
            avoid_expensive,
            {*excluded, *managed.preempted_room} if managed.preempted_room else excluded,
            image_fetch_types,
        )
        shown_at = (
            now
            + self.membership.lease_ttl_s / 3
            + (0.0 if grace_s <= 0 else min(grace_s, self.settings.cluster.workers.gang_peer_s))
        )
        if found:
            # The pause starts only if tasks were found. Otherwise the same pass may still try
            # a higher rank, or claim what other teams use beyond their guarantees.
            managed.next_preempt_at = now + self.membership.lease_ttl_s / 6
        for room, count in found:
            managed.preempted_room[room.machine] = (count, shown_at)
            self.routines.spawn(self.request_preemption(room.machine, job, grace_s, (), count))
        return bool(found) or expected > 0

    async def request_preemption(
        self,
        machine: str,
        job: Job,
        grace_s: float,
        borrowing_teams: Iterable[str] = (),
        count: int = 1,
    ) -> bool:
        """Ask a machine's owner to preempt tasks for the job.

        Args:
            machine: The machine.
            job: The job.
            grace_s: The time that preempted tasks may take to save, in seconds.
            borrowing_teams: Teams that exceed their guarantees. Their tasks of any rank may be
                preempted.
            count: The number of tasks of the job to make room for.

        Returns:
            Whether the owner makes room.
        """
        owner = self.membership.epoch.member_for(machine)
        if owner == self.membership.label:
            done = self.machines.preempt(
                job, machine, grace_s, time.monotonic(), borrowing_teams, count
            )
            self.fleet.send_queued_commands(machine)
            return done
        try:
            done = bool(
                (
                    await self.peers[owner].call(
                        frames.PREEMPT,
                        (
                            self.membership.epoch.number,
                            machine,
                            job.id,
                            count,
                            grace_s,
                            [(team,) for team in borrowing_teams],
                        ),
                    )
                )[0]
            )
        except (PeerError, KeyError):
            return False
        if done and grace_s <= 0:
            self.routines.spawn(self.cached_state.pull_after_preemption(owner))
        return done

    def max_preempted_rank(self, job: Job, age_s: float, can_wait: bool) -> int:
        """Return the highest rank that may be preempted for the job; -1: none.

        A job that inherits its rank from a job that depends on it preempts only what its own rank
        allows, or the lowest rank, as long as it can wait. When such jobs preempted by their
        inherited rank, a tenth of the tasks on a saturated fleet were stopped for pipelines that
        could still wait for a minute. When such jobs preempted no rank at all, pipelines took all
        free room and made other jobs late.
        """
        own = self.jobs.dependencies.own_rank(job)
        limit = self.objectives.wait_limits.get(job.job_class)
        if own < job.rank and can_wait and (limit is None or age_s < limit / 2):
            return max(own - 1, RANKS["best_effort"])
        return job.rank - 1

    def spare_fair_shares(self, job: Job, max_rank: int, scheduling_pass: SchedulingPass) -> int:
        """Return `max_rank`, lowered to protect other classes that have a fair share.

        Room granted for a fair share is not taken away again, except for replicas.
        """
        if job.kind == SERVICE or not scheduling_pass.fair_shares:
            return max_rank
        for (kind, gpus, name), owed in scheduling_pass.fair_shares.items():
            if kind == "class" and gpus == (job.gpus > 0) and name != job.job_class:
                max_rank = min(max_rank, owed.preemption_rank - 1)
        return max_rank

    def grace_s(self, job: Job, age_s: float) -> float:
        """Return the time that preempted tasks may take to save, in seconds.

        The time is 0 for replicas, because users are affected for as long as a replica is down.
        The time is also 0 for jobs that can still start within their class's limit, because six
        seconds of saving and an image fetch have made such jobs start late. For other jobs the
        time is unlimited.
        """
        limit = self.objectives.wait_limits.get(job.job_class)
        return 0.0 if job.kind == SERVICE or (limit is not None and age_s < limit) else math.inf
