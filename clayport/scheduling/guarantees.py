"""The guarantees of teams, and preemption of teams that use more than their guarantee."""

from __future__ import annotations

import math

from clayport.jobs.eligibility import quota_usage
from clayport.jobs.registry import JobRegistry
from clayport.model import GANG, Job
from clayport.records.errors import OutcomeUnknownError, UnavailableError
from clayport.records.keys import is_anchor
from clayport.records.store import StateStore
from clayport.records.values import parse_quota
from clayport.scheduling.quotas import TeamQuotas
from clayport.scheduling.room import Room, capacity
from clayport.scheduling.room_maker import RoomMaker
from clayport.scheduling.spread import Spread

# Sums of CPUs or GPUs that differ by less are equal: floating-point sums are not exact.
EPSILON = 1e-6


def claimable_machines(job: Job, pool: list[Room], spread: Spread) -> list[str]:
    """Return the machines where room for one task would be enough for the job to start.

    For a gang these are machines in zones with free room for all its other tasks. Without this
    rule, tasks were preempted in one zone after another for a gang of two that found no room in
    any zone, and the gang never started.
    """
    rooms = [room for room in pool if room.open and room.allows(job) and spread.allows(room.zone)]
    if job.kind != GANG:
        return [room.machine for room in rooms]
    free: dict[str, int] = {}
    for room in rooms:
        zone = room.zone if job.one_zone else ""
        free[zone] = free.get(zone, 0) + (capacity(job, room) if room.fits(job) else 0)
    return [
        room.machine
        for room in rooms
        if not room.fits(job) and free[room.zone if job.one_zone else ""] >= job.tasks - 1
    ]


class GuaranteeClaims:
    """Compares the usage of teams with their guarantees, and preempts tasks to satisfy them."""

    def __init__(
        self,
        *,
        jobs: JobRegistry,
        quotas: TeamQuotas,
        room_maker: RoomMaker,
        store: StateStore,
    ) -> None:
        self.jobs = jobs
        self.quotas = quotas
        self.room_maker = room_maker
        self.store = store

    def has_guarantee(self, job: Job) -> bool:
        """Return whether the job's team has a guarantee for the resource that the job needs."""
        cpus, gpus = self.quotas.guarantees.get(job.team, (0.0, 0.0))
        return (gpus > 0 and job.gpus > 0) or (cpus > 0 and job.gpus == 0)

    def within_guarantee(self, job: Job) -> bool:
        """Return whether the job leaves its team within the guarantee, by the team's cached usage.

        Returns True if the team has no guarantee that applies to the job. Jobs within a guarantee
        come before jobs that borrow beyond one.
        """
        if not self.has_guarantee(job):
            return True
        resource = 1 if job.gpus > 0 else 0
        used = self.jobs.quota_usage.get(job.team, ((0.0, 0.0), 0, 0.0))[0][resource]
        need = quota_usage(job, 1 if job.kind != GANG else job.tasks)[resource]
        return used + need <= self.quotas.guarantees[job.team][resource] + EPSILON

    async def claim(self, job: Job, machines: list[str]) -> None:
        """Preempt tasks of teams that exceed their guarantee, on one of the machines.

        Nothing is preempted if the job would take its own team beyond the team's guarantee.
        Usage is recorded only for teams with limits. Other teams can't be shown to exceed
        their guarantee, so their tasks are not preempted.
        """
        try:
            entries, _ = await self.store.scan("quota/")
        except (UnavailableError, OutcomeUnknownError):
            return
        used = {
            entry.key.partition("/")[2]: parse_quota(entry.value)
            for entry in entries
            if not is_anchor(entry.key)
        }
        guarantee, in_use = self.quotas.guarantees[job.team], used.get(job.team, (0.0, 0.0))
        need = quota_usage(job, 1 if job.kind != GANG else job.tasks)
        resource = 1 if job.gpus > 0 else 0
        if in_use[resource] + need[resource] > guarantee[resource] + EPSILON:
            return
        borrowers = [
            team
            for team, use in used.items()
            if team != job.team
            and use[resource] > self.quotas.guarantees.get(team, (0.0, 0.0))[resource] + EPSILON
        ]
        for machine in machines if borrowers else ():
            if await self.room_maker.request_preemption(machine, job, math.inf, borrowers):
                return
