"""The demand of waiting jobs, as controllers report it to each other."""

from __future__ import annotations

import logging
import time
from typing import NamedTuple

from clayport.jobs.managed_job import ManagedJob
from clayport.jobs.registry import JobRegistry
from clayport.membership.state import MembershipState
from clayport.scaling.demand import Demand
from clayport.scheduling.queueing import JobQueue
from clayport.scheduling.view import ClusterView

log = logging.getLogger(__name__)

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
        """Return the demand of the jobs led here, at most `MAX_DEMAND_ROWS` rows.

        Jobs that are being placed come first, then the waiting jobs of the groups of highest
        rank. A job that is left out is reported once the jobs before it have been served.
        """
        now = time.monotonic()
        queue = self.queue
        queue.catch_up(now)
        found = [
            self._row(managed, now)
            for managed, _ in queue.in_flight.values()
            if now >= managed.not_before and not managed.at_fault
        ]
        groups = sorted(
            queue.groups.values(),
            key=lambda group: (group.representative.job.backfill, -group.representative.job.rank),
        )
        waiting = (
            name for group in groups for subqueue in group.subqueues.values() for name in subqueue
        )
        for name in waiting:
            if len(found) >= MAX_DEMAND_ROWS:
                if now >= self.next_bound_log_at:
                    self.next_bound_log_at = now + 20 * self.membership.lease_ttl_s
                    log.info(
                        "event=demand-bounded told=%d jobs=%d",
                        MAX_DEMAND_ROWS,
                        len(queue.entries) + len(queue.in_flight),
                    )
                break
            managed = queue.entries[name].managed
            if not managed.at_fault:
                found.append(self._row(managed, now))
        return found[:MAX_DEMAND_ROWS]

    def _row(self, managed: ManagedJob, now: float) -> DemandRow:
        zones = ""
        if managed.job.spread or managed.job.one_zone:
            zones = " ".join(
                self.view.zones.get(machine, "") for _, _, machine in managed.assignments()
            )
        return DemandRow(
            managed.job.id,
            managed.pending + len(managed.being_placed),
            now - managed.waiting_since,
            zones,
        )

    def cluster_demand(self) -> list[Demand]:
        """Return the demand reported by all members of the epoch, the most urgent first."""
        rows = self.own_rows()
        for label in self.membership.epoch.members:
            if label != self.membership.label:
                rows += self.peer_rows.get(label, [])
        found = [
            Demand(self.jobs.live[job][0], count, age, tuple(zones.split()))
            for job, count, age, zones in rows
            if job in self.jobs.live
        ]
        found.sort(key=lambda need: (need.job.backfill, -need.job.rank, -need.age_s))
        return found
