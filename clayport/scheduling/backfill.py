"""What work without an objective may take beside work that has one."""

from __future__ import annotations

import math
import time

from clayport.jobs.registry import JobRegistry
from clayport.machines.table import MachineTable
from clayport.model import RANKS, SERVICE, Job
from clayport.scheduling.index import Index
from clayport.scheduling.scheduling_pass import SHARE_UPDATES_PER_REPORT
from clayport.settings import Settings

# The share of the fleet's CPUs that work without an objective may hold beside work with one.
BACKFILL_SHARE = 0.25
# Leases of a worker after which work without an objective has waited long.
LONG_WAIT_LEASES = 20


class BackfillLimits:
    """Bounds work without an objective where it could hinder work that has one.

    Attributes:
        long_wait_s: Work without an objective that has waited so long, in seconds, is placed,
            and has machines rented, like any other (within its share).
        hindered_jobs: A job of each kind (with GPUs, without) and rank that work without an
            objective could hinder, as last looked up.
        lookup_at: When they may be looked up again, in seconds.
    """

    def __init__(self, *, jobs: JobRegistry, machines: MachineTable, settings: Settings) -> None:
        self.jobs = jobs
        self.machines = machines
        self.settings = settings
        self.long_wait_s = LONG_WAIT_LEASES * settings.cluster.workers.lease_s
        self.hindered_jobs: dict[tuple[bool, int], str] = {}
        self.lookup_at = -math.inf

    def begin(self) -> None:
        """Start an epoch: other jobs may be there."""
        self.lookup_at = -math.inf

    def cpus_left(self, index: Index, rank: int) -> float:
        """Return the CPUs that work without an objective may take beside work with one that
        cannot preempt it.

        An array without an objective that fills the fleet for minutes would make all others
        of its rank late. Its fair share it may take in any case. Work of a higher rank preempts
        it: bound to a quarter beside that as well, 4,500 tasks waited for most of a day while
        a third of the fleet was free. The lowest rank is preempted by the others, and counts
        only against its own bound.
        """
        cpus = backfill_cpus = 0.0
        for pool in index.pools.values():
            kind = self.machines.types.get(pool.type)
            totals = pool.count()
            cpus += totals.machines * kind.cpus if kind is not None else 0.0
            backfill_cpus += totals.backfill_cpus
        return BACKFILL_SHARE * cpus - (backfill_cpus if rank == RANKS["best_effort"] else 0.0)

    def hinders_objectives(self, job: Job, most: int = RANKS["production"]) -> bool:
        """Whether there is work with an objective, up to rank `most`, that a job without any
        could hinder: of its kind, with GPUs or without, since each has machines of its own.
        (Replicas are placed ahead of all.)

        Gangs on whole GPU machines once waited for hours of a day on which only arrays had
        an objective: the arrays of the lowest rank held the quarter that all of them shared.
        """

        def same(kind: tuple[bool, int]) -> bool:
            return kind[0] == (job.gpus > 0) and kind[1] <= most

        found = [
            self._can_be_hindered(name) for kind, name in self.hindered_jobs.items() if same(kind)
        ]
        if any(found):
            return True
        now = time.monotonic()
        if found or now >= self.lookup_at:
            # The newest of each rank is likely to stay longest.
            self.lookup_at = now + self.settings.cluster.workers.report_s / SHARE_UPDATES_PER_REPORT
            self.hindered_jobs = {
                (other.gpus > 0, other.rank): name
                for name, (other, _) in self.jobs.live.items()
                if self._can_be_hindered(name)
            }
        return any(same(kind) for kind in self.hindered_jobs)

    def _can_be_hindered(self, name: str) -> bool:
        known = self.jobs.live.get(name)
        return (
            known is not None
            and known[0].kind != SERVICE
            and not known[0].without_objective
            and not self.jobs.dependencies.is_waiting(name)
        )
