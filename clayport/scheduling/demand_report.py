"""The demand of waiting jobs, as peers are told of it and tell of theirs."""

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

# Demand told to peers: enough jobs to fill any fleet, and a bounded frame.
MAX_DEMAND_ROWS = 500


class DemandRow(NamedTuple):
    """One waiting job, in the order of `frames.DEMAND`.

    Attributes:
        job: Its id.
        tasks: How many of its tasks wait.
        age_s: For how long they have waited, in seconds.
        zones: The zones of its other tasks, separated by spaces, where that matters.
    """

    job: str
    tasks: int
    age_s: float
    zones: str


class DemandReport:
    """The demand of the jobs led here, and of those that peers lead.

    Attributes:
        peer_rows: What each peer told last, as plain tuples of the same fields.
        bound_logged_until: When it may be logged again that not all demand was told.
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
        self.bound_logged_until = -1e9

    def begin(self) -> None:
        """Start an epoch: peers have told nothing in it."""
        self.peer_rows.clear()

    def own_rows(self) -> list[DemandRow]:
        """Return what waits here, bounded: the most urgent jobs are told of, the others once
        these have been served."""
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
            key=lambda group: (group.example.job.backfill, -group.example.job.rank),
        )
        waiting = (
            name for group in groups for subqueue in group.subqueues.values() for name in subqueue
        )
        for name in waiting:
            if len(found) >= MAX_DEMAND_ROWS:
                if now >= self.bound_logged_until:
                    self.bound_logged_until = now + 20 * self.membership.lease_ttl_s
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

    def whole_epoch(self) -> list[Demand]:
        """Return the demand of all members of the epoch, the most urgent first."""
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
