"""Limits on the room for jobs without an objective."""

from __future__ import annotations

import math
import time

from clayport.jobs.registry import JobRegistry
from clayport.machines.table import MachineTable
from clayport.model import RANKS, SERVICE, Job
from clayport.scheduling.index import Index
from clayport.scheduling.scheduling_pass import SHARE_UPDATES_PER_REPORT
from clayport.settings import Settings

# The share of the fleet's CPUs that jobs without an objective may use while they could hinder
# jobs with one.
BACKFILL_SHARE = 0.25
# The wait, in worker leases, after which a job without an objective counts as waiting long.
LONG_WAIT_LEASES = 20


class BackfillLimits:
    """Limits jobs without an objective where they could hinder jobs with one.

    Attributes:
        long_wait_s: The wait, in seconds, after which a job without an objective is placed,
            and has machines rented, like any other job (within its share).
        hindered_jobs: For each pair of (whether the job uses GPUs, rank), one job that jobs
            without an objective could hinder, as of the last lookup.
        lookup_at: The monotonic time, in seconds, from which `hindered_jobs` may be looked up
            again.
    """

    def __init__(self, *, jobs: JobRegistry, machines: MachineTable, settings: Settings) -> None:
        self.jobs = jobs
        self.machines = machines
        self.settings = settings
        self.long_wait_s = LONG_WAIT_LEASES * settings.cluster.workers.lease_s
        self.hindered_jobs: dict[tuple[bool, int], str] = {}
        self.lookup_at = -math.inf

    def begin_epoch(self) -> None:
        """Start an epoch, in which this controller may lead other jobs."""
        self.lookup_at = -math.inf

    def cpus_left(self, index: Index, rank: int) -> float:
        """Return the CPUs that jobs without an objective may still take.

        The limit applies while there are jobs with an objective that cannot preempt backfill of the
        given rank, because an array without an objective that fills the fleet for minutes would
        make all other jobs of its rank late. Such an array may always use its fair share. Jobs of a
        higher rank can preempt the array, so they do not cause the limit to apply. When they did,
        4,500 tasks waited for most of a day while a third of the fleet was free. Backfill of the
        lowest rank can be preempted by all other ranks, so it counts only against the limit of its
        own rank.
        """
        cpus = backfill_cpus = 0.0
        for pool in index.pools.values():
            machine_type = self.machines.types.get(pool.type)
            totals = pool.count()
            cpus += totals.machines * machine_type.cpus if machine_type is not None else 0.0
            backfill_cpus += totals.backfill_cpus
        return BACKFILL_SHARE * cpus - (backfill_cpus if rank == RANKS["best_effort"] else 0.0)

    def hinders_objectives(self, job: Job, max_rank: int = RANKS["production"]) -> bool:
        """Return whether the job could hinder jobs with an objective, up to rank `max_rank`.

        Jobs with and without GPUs are considered separately, because they run on different
        machines. When both kinds shared `BACKFILL_SHARE` of the fleet and only arrays had an
        objective, arrays of the lowest rank used the whole share, and gangs on whole GPU machines
        waited for hours. Replicas are not considered, because they are placed before all other
        jobs.
        """

        def is_affected(kind: tuple[bool, int]) -> bool:
            return kind[0] == (job.gpus > 0) and kind[1] <= max_rank

        found = [
            self._can_be_hindered(name)
            for kind, name in self.hindered_jobs.items()
            if is_affected(kind)
        ]
        if any(found):
            return True
        now = time.monotonic()
        if found or now >= self.lookup_at:
            # The newest job of each rank is kept because it is likely to stay longest.
            self.lookup_at = now + self.settings.cluster.workers.report_s / SHARE_UPDATES_PER_REPORT
            self.hindered_jobs = {
                (other.gpus > 0, other.rank): name
                for name, (other, _) in self.jobs.live.items()
                if self._can_be_hindered(name)
            }
        return any(is_affected(kind) for kind in self.hindered_jobs)

    def _can_be_hindered(self, name: str) -> bool:
        known = self.jobs.live.get(name)
        return (
            known is not None
            and known[0].kind != SERVICE
            and not known[0].without_objective
            and not self.jobs.dependencies.is_waiting(name)
        )
