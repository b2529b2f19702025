"""Room made for a job by preempting tasks of lower rank."""

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


def _forget_shown(managed: ManagedJob, now: float) -> None:
    """Forget room that was made for a job and shows in the tables by now."""
    managed.preempted_room = {
        machine: (count, until)
        for machine, (count, until) in managed.preempted_room.items()
        if now < until
    }


class RoomMaker:
    """Decides which tasks may be preempted for a job, and asks their machines' owners."""

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

    def make(
        self,
        search: RoomSearch,
        wanted: int,
        grace_s: float,
        max_rank: int,
        can_wait: bool = False,
        uncached: frozenset[str] | None = None,
    ) -> bool:
        """Have work of lower rank preempted for tasks of the job, if that helps.

        Room that is being made already, and doesn't show yet, is not made again elsewhere.

        Args:
            search: The search that found too little.
            wanted: For how many tasks.
            grace_s: How long the preempted tasks may take to save, in seconds.
            max_rank: The highest rank that may be preempted.
            can_wait: Whether to keep off expensive machines.
            uncached: The types whose machines will do without the image; None: all.

        Returns:
            Whether room is being made.
        """
        managed, current, without = search.managed, search.current, search.without
        job, now = managed.job, current.now
        _forget_shown(managed, now)
        coming = sum(count for count, _ in managed.preempted_room.values())
        wanted = min(wanted - coming, 1 if job.kind == GANG else wanted)
        if wanted <= 0:
            return True
        found = preempt(
            job,
            wanted,
            current.index,
            search.spread.copy(),
            current.policy,
            max_rank,
            search.avoid_spot,
            can_wait,
            {*without, *managed.preempted_room} if managed.preempted_room else without,
            uncached,
        )
        shown_at = (
            now
            + self.membership.lease_ttl_s / 3
            + (0.0 if grace_s <= 0 else min(grace_s, self.settings.cluster.workers.gang_peer_s))
        )
        if found:
            # Only then: where no lower rank can be stopped, a higher one, or what other
            # teams borrow, is to be asked for in the same pass.
            managed.next_preempt_at = now + self.membership.lease_ttl_s / 6
        for room, count in found:
            managed.preempted_room[room.machine] = (count, shown_at)
            self.routines.spawn(self.request(room.machine, job, grace_s, (), count))
        return bool(found) or coming > 0

    async def request(
        self, machine: str, job: Job, grace_s: float, over: Iterable[str] = (), count: int = 1
    ) -> bool:
        """Ask a machine's owner to make room for tasks of the job.

        Args:
            machine: The machine.
            job: The job.
            grace_s: How long the preempted tasks may take to save, in seconds.
            over: Teams that have borrowed and whose work of any rank may be preempted.
            count: For how many tasks of the job.

        Returns:
            Whether the owner makes room.
        """
        owner = self.membership.epoch.member_for(machine)
        if owner == self.membership.label:
            done = self.machines.preempt(job, machine, grace_s, time.monotonic(), over, count)
            self.fleet.poke(machine)
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
                            [(team,) for team in over],
                        ),
                    )
                )[0]
            )
        except (PeerError, KeyError):
            return False
        if done and grace_s <= 0:
            self.routines.spawn(self.cached_state.pull_soon(owner))
        return done

    def max_preempted_rank(self, job: Job, age_s: float, can_wait: bool) -> int:
        """Return the highest rank that may be preempted for the job; -1: none.

        A job that has its rank from one that depends on it preempts what its own rank would,
        and the lowest rank, until it has no time left for room to become free: of the tasks
        on a saturated fleet a tenth were stopped for pipelines that had a minute to spare.
        (Not even the lowest was tried: they then took all free room, and made other work late.)
        """
        own = self.jobs.dependencies.own_rank(job)
        limit = self.objectives.wait_limits.get(job.job_class)
        if own < job.rank and can_wait and (limit is None or age_s < limit / 2):
            return max(own - 1, RANKS["best_effort"])
        return job.rank - 1

    def spare_owed(self, job: Job, max_rank: int, current: SchedulingPass) -> int:
        """Return `max_rank`, lowered to spare those who hold no more than their fair share.

        What they have been given isn't taken away again, except for replicas.
        """
        if job.kind == SERVICE or not current.owed:
            return max_rank
        for (kind, gpus, name), owed in current.owed.items():
            if kind == "class" and gpus == (job.gpus > 0) and name != job.job_class:
                max_rank = min(max_rank, owed.standing - 1)
        return max_rank

    def grace_s(self, job: Job, age_s: float) -> float:
        """Return how long preempted tasks may take to save, in seconds.

        As long as they need, but not while it may make a start late that is to be soon (six
        seconds of saving and a fetch did). A replica that is down is missed every second.
        """
        limit = self.objectives.wait_limits.get(job.job_class)
        return 0.0 if job.kind == SERVICE or (limit is not None and age_s < limit) else math.inf
