"""The decision whether a running replica may move to another machine."""

from __future__ import annotations

import time

from clayport.jobs.managed_job import ManagedJob
from clayport.jobs.registry import JobRegistry
from clayport.machines.table import MachineTable
from clayport.model import RANKS
from clayport.scheduling.cached_state import CachedState
from clayport.scheduling.placement import place
from clayport.scheduling.policy_cache import PolicyCache
from clayport.scheduling.preemption import preempt
from clayport.scheduling.room import Room
from clayport.scheduling.room_finder import types_fetched_within
from clayport.scheduling.spread import Spread
from clayport.scheduling.view import ClusterView
from clayport.settings import Settings

# The least time between two moves of a job's replicas, in worker leases.
MIN_MOVE_INTERVAL_LEASES = 0.3
# The least time between two moves of a job's replicas for a drain of a machine that isn't
# expensive, in worker leases.
MIN_DRAIN_MOVE_INTERVAL_LEASES = 3.0


class ReplicaMigration:
    """Decides whether replicas may move, and limits how often they do."""

    def __init__(
        self,
        *,
        cached_state: CachedState,
        jobs: JobRegistry,
        machines: MachineTable,
        policy_cache: PolicyCache,
        settings: Settings,
        view: ClusterView,
    ) -> None:
        self.cached_state = cached_state
        self.jobs = jobs
        self.machines = machines
        self.policy_cache = policy_cache
        self.settings = settings
        self.view = view

    def allow_move(self, job: str, number: int, machine: str, drain: bool) -> bool:
        """Decide whether a replica may move; if so, record the time of the move.

        The replica is stopped before it starts elsewhere. So another machine must have room,
        and either have its image in the cache or fetch the image within one heartbeat interval
        of a worker.

        Args:
            job: The id of the replica's job.
            number: The replica's task number.
            machine: The machine on which the replica runs.
            drain: Whether the machine is to be drained.
        """
        managed = self.jobs.managed.get(job)
        room = self.cached_state.rooms().get(machine)
        if (
            managed is None
            or managed.pending
            or room is None
            or (managed.assignment(number) or (0, ""))[1] != machine
            or time.monotonic() - managed.last_migration_at
            < self.settings.cluster.workers.lease_s
            * (
                MIN_DRAIN_MOVE_INTERVAL_LEASES
                if drain and not self.policy_cache.current().expensive(managed.job, room)
                else MIN_MOVE_INTERVAL_LEASES
            )
        ):
            return False
        if not self._has_destination(managed, number, room, drain):
            return False
        # Each move interrupts the replica, so the next move has to wait.
        managed.last_migration_at = time.monotonic()
        return True

    def _has_destination(self, managed: ManagedJob, number: int, room: Room, drain: bool) -> bool:
        """Return whether another machine has room, or would have it after preemption.

        A move that drains no machine may preempt any task of lower rank. A drain may preempt
        tasks only to empty an expensive machine, and then only tasks of the lowest rank.
        """
        job = managed.job
        zones = [
            self.view.zones.get(machine)
            for other, _, machine in managed.assignments()
            if other != number
        ]
        policy, index = self.policy_cache.current(), self.cached_state.index()
        expensive = policy.expensive(job, room)
        image_fetch_types = types_fetched_within(
            self.machines.types, job, self.settings.cluster.workers.report_s
        )
        excluded = {room.machine, *managed.excluded_machines(time.monotonic())}
        with index.trial():
            found = place(
                job,
                1,
                index,
                Spread(job, zones),
                policy,
                True,
                excluded=excluded,
                image_fetch_types=image_fetch_types,
            )
        if found:
            return True
        if drain and not expensive:
            return False
        max_rank = RANKS["best_effort"] if drain else None
        return bool(
            preempt(
                job,
                1,
                index,
                Spread(job, zones),
                policy,
                max_rank,
                avoid_expensive=True,
                excluded=excluded,
                image_fetch_types=image_fetch_types,
            )
        )
