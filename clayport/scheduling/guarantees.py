"""The guarantees of teams: who is within theirs, and room claimed from those beyond theirs."""

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

# Sums of CPUs and of GPUs that differ by less are the same.
EPSILON = 1e-6


def claimable_machines(job: Job, pool: list[Room], spread: Spread) -> list[str]:
    """Return the machines of which one more would be enough for the job.

    What others run is not preempted for a gang that can't start on what it would get. (Gangs
    of two had one task after another stopped, in one zone and the next, and started nowhere.)
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
    """Knows what teams use of their guarantees, and claims what is missing of them."""

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
        """Whether the job's team has a guarantee that may be claimed for it."""
        cpus, gpus = self.quotas.guarantees.get(job.team, (0.0, 0.0))
        return (gpus > 0 and job.gpus > 0) or (cpus > 0 and job.gpus == 0)

    def covers(self, job: Job) -> bool:
        """Whether the job's team stays within its guarantee with it, as last read.

        True where that isn't counted. What is owed to a team comes before what it borrows.
        """
        if not self.has_guarantee(job):
            return True
        resource = 1 if job.gpus > 0 else 0
        used = self.jobs.quota_usage.get(job.team, ((0.0, 0.0), 0, 0.0))[0][resource]
        need = quota_usage(job, 1 if job.kind != GANG else job.tasks)[resource]
        return used + need <= self.quotas.guarantees[job.team][resource] + EPSILON

    async def claim(self, job: Job, machines: list[str]) -> None:
        """Give a team its guarantee, on one of the machines, from what others run beyond theirs.

        Only teams with limits have their use counted; the others can't be shown
        to borrow, and their work is left alone.
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
        own, have = self.quotas.guarantees[job.team], used.get(job.team, (0.0, 0.0))
        need = quota_usage(job, 1 if job.kind != GANG else job.tasks)
        resource = 1 if job.gpus > 0 else 0
        if have[resource] + need[resource] > own[resource] + EPSILON:
            return
        over = [
            team
            for team, use in used.items()
            if team != job.team
            and use[resource] > self.quotas.guarantees.get(team, (0.0, 0.0))[resource] + EPSILON
        ]
        for machine in machines if over else ():
            if await self.room_maker.request(machine, job, math.inf, over):
                return
