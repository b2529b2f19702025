"""The demand of waiting jobs, as controllers report it to each other."""

from __future__ import annotations

import itertools
import logging
import time
from collections.abc import Iterable, Iterator
from typing import NamedTuple

from clayport.jobs.managed_job import ManagedJob
from clayport.jobs.registry import JobRegistry
from clayport.membership.state import MembershipState
from clayport.model import GANG
from clayport.scaling.demand import Demand
from clayport.scheduling.queueing import JobQueue
from clayport.scheduling.view import ClusterView

log = logging.getLogger(__name__)

# The first character in the job field of a row that says on which machines a job is not placed. The
# previous version ignores such a row, because no job has such an id.
EXCLUDED_MARK = "!"
# The most jobs in a report to peers. So many jobs can fill any fleet, and the limit bounds the size
# of the frame.
MAX_DEMAND_ROWS = 500


class DemandRow(NamedTuple):
    """A job with waiting tasks; the fields are in the order of `frames.DEMAND`.

    Attributes:
        job: The job's id.
        tasks: The number of its waiting tasks.
        age_s: For how long these tasks have waited, in seconds.
        zones: The zones of its assigned tasks, separated by spaces; empty unless the job has
            a rule about zones.
    """

    job: str
    tasks: int
    age_s: float
    zones: str


def excluded_row(job: str, machines: Iterable[str]) -> DemandRow:
    """Return the row that says on which machines a job is not placed now.

    The provisioner would otherwise count room there that the job does not take, and would rent no
    other machine for it.
    """
    return DemandRow(EXCLUDED_MARK + job, 0, 0.0, " ".join(sorted(machines)))


class DemandReport:
    """The demand of the jobs that this controller leads and of the jobs that its peers lead.

    Attributes:
        peer_rows: The latest report of each peer, as plain tuples of the same fields.
        next_bound_log_at: The earliest time at which a truncated report is logged again.
    """

    def __init__(
        self,
        *,
        jobs: JobRegistry,
        membership: MembershipState,
        queue: JobQueue,
        view: ClusterView,
    ) -> None:
        self.jobs = jobs
        self.membership = membership
        self.queue = queue
        self.view = view
        self.peer_rows: dict[str, list[DemandRow]] = {}
        self.next_bound_log_at = -1e9

    def begin_epoch(self) -> None:
        """Start an epoch: drop the reports that peers sent in the epoch before."""
        self.peer_rows.clear()

    def own_rows(self) -> list[DemandRow]:
        """Return the demand of the jobs led here, of at most `MAX_DEMAND_ROWS` jobs.

        Jobs that are being placed come first, then the waiting jobs of the groups of highest
        rank. A job that is left out is reported once the jobs before it have been served.
        """
        now = time.monotonic()
        self.queue.catch_up(now)
        rows: list[DemandRow] = []
        for managed in itertools.islice(self._jobs_with_demand(now), MAX_DEMAND_ROWS + 1):
            if len(rows) == MAX_DEMAND_ROWS:
                self._log_bound(now)
                break
            rows.append(self._row(managed, now))
        return rows + self._excluded_rows(rows, now)

    def _jobs_with_demand(self, now: float) -> Iterator[ManagedJob]:
        """Yield the jobs led here that need room, the most important first.

        A job at fault needs room only for a retry that is due, if no machine has room for it.
        """
        queue = self.queue
        for managed, _ in queue.in_flight.values():
            if now >= managed.not_before and not managed.at_fault:
                yield managed
        groups = sorted(
            queue.groups.values(),
            key=lambda group: (group.representative.job.backfill, -group.representative.job.rank),
        )
        for group in groups:
            for subqueue in group.subqueues.values():
                for name in subqueue:
                    managed = queue.entries[name].managed
                    if not managed.at_fault or managed.retry_lacks_room:
                        yield managed

    def _log_bound(self, now: float) -> None:
        """Log now and then that the report is truncated."""
        if now >= self.next_bound_log_at:
            self.next_bound_log_at = now + 20 * self.membership.lease_ttl_s
            log.info(
                "event=demand-bounded told=%d jobs=%d",
                MAX_DEMAND_ROWS,
                len(self.queue.entries) + len(self.queue.in_flight),
            )

    def _excluded_rows(self, demand: list[DemandRow], now: float) -> list[DemandRow]:
        """Return the present machines on which the jobs with demand are not placed."""
        rows = []
        for row in demand:
            managed = self.jobs.managed.get(row.job)
            excluded = managed.excluded_machines(now) if managed is not None else ()
            present = [machine for machine in excluded if machine in self.view.rooms]
            if present:
                rows.append(excluded_row(row.job, present))
        return rows

    def _row(self, managed: ManagedJob, now: float) -> DemandRow:
        zones = ""
        if managed.job.spread or managed.job.one_zone:
            zones = " ".join(
                self.view.zones.get(machine, "") for _, _, machine in managed.assignments()
            )
        tasks = managed.pending + len(managed.being_placed)
        if managed.at_fault and managed.job.kind != GANG:
            tasks = min(tasks, 1)
        return DemandRow(
            managed.job.id,
            tasks,
            now - managed.waiting_since,
            zones,
        )

    def cluster_demand(self) -> list[Demand]:
        """Return the demand reported by all members of the epoch, the most urgent first."""
        rows = self.own_rows()
        for label in self.membership.epoch.members:
            if label != self.membership.label:
                rows += self.peer_rows.get(label, [])
        excluded = {
            job[len(EXCLUDED_MARK) :]: frozenset(machines.split())
            for job, _, _, machines in rows
            if job.startswith(EXCLUDED_MARK)
        }
        found = [
            Demand(
                self.jobs.live[job][0],
                count,
                age,
                tuple(zones.split()),
                excluded.get(job, frozenset()),
            )
            for job, count, age, zones in rows
            if job in self.jobs.live
        ]
        found.sort(key=lambda need: (need.job.backfill, -need.job.rank, -need.age_s))
        return found
