"""Whether a running replica may move to another machine."""

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

# Leases of a worker between two moves of a job's replicas.
SPACING_LEASES = 0.3
# The same where a machine that isn't expensive is drained.
DRAIN_SPACING_LEASES = 3.0


class ReplicaMigration:
    """Decides whether replicas may move."""

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

    def movable(self, job: str, number: int, machine: str, drain: bool) -> bool:
        """Whether a replica would find another place where it starts soon.

        It is stopped before it starts elsewhere, so its image must be there, or be fetched in
        less time than passes between two heartbeats of a worker.

        Args:
            job: The replica's job.
            number: Its task number.
            machine: Where it runs.
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
                DRAIN_SPACING_LEASES
                if drain and not self.policy_cache.current().expensive(managed.job, room)
                else SPACING_LEASES
            )
        ):
            return False
        if not self._has_place(managed, number, room, drain):
            return False
        # Not again soon: a move interrupts the replica each time.
        managed.last_migration_at = time.monotonic()
        return True

    def _has_place(self, managed: ManagedJob, number: int, room: Room, drain: bool) -> bool:
        """Whether there is a free place, or one that preempting work of lower rank makes.

        To free GPUs, or an expensive machine, such work may have to make way elsewhere.
        """
        job = managed.job
        zones = [
            self.view.zones.get(machine)
            for other, _, machine in managed.assignments()
            if other != number
        ]
        policy, index = self.policy_cache.current(), self.cached_state.index()
        expensive = policy.expensive(job, room)
        uncached = types_fetched_within(
            self.machines.types, job, self.settings.cluster.workers.report_s
        )
        without = (room.machine,)
        with index.trial():
            found = place(
                job,
                1,
                index,
                Spread(job, zones),
                policy,
                True,
                without=without,
                uncached=uncached,
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
                can_wait=True,
                without=without,
                uncached=uncached,
            )
        )
