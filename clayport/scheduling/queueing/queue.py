"""The waiting jobs of a leader, in the order in which the placer tries them.

The cost of a pass of the placer must not grow with the number of waiting jobs, because on an
overloaded fleet thousands of jobs wait and hardly any of them finds room. So a pass doesn't iterate
over all waiting jobs. Instead, `JobQueue.mark_changed` marks a changed job, and the queue processes
the marked jobs before the next pass.

Jobs that can use the same room form a group. Within a group each class and team has a subqueue,
whose jobs are sorted into bands: on time, start limit missed, late, backfill. Jobs in a band are
ordered by points in time that stay fixed while time passes, and the time at which a job changes its
band is known in advance.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Iterator, Mapping, Sequence
from heapq import heappop, heappush
from typing import TYPE_CHECKING, Any, NamedTuple

from sortedcontainers import SortedList

from clayport.model import ARRAY, SERVICE
from clayport.scaling.demand import ESTIMATE_FACTOR
from clayport.scheduling.queueing.shares import FairShares, account_keys

if TYPE_CHECKING:
    from clayport.jobs.managed_job import ManagedJob

# The bands of a subqueue, in ascending order. A job that will miss its first finish limit is in
# band LATE, plus LATE_STEP for each further limit that it will miss.
IN_TIME, STARTS_LATE, LATE, LATE_STEP, BACKFILL = 0.0, 0.5, 1.0, 0.01, 2.0

Key = tuple[float, int, str]  # latest start time, revision of the live record, job id
Position = tuple[float, Key, float]  # band, key within the band, time at which the job leaves it


class QueueEntry(NamedTuple):
    """The place of a job in the queue.

    Attributes:
        managed: The job.
        group_key: The key of the job's group.
        group: The group.
        subqueue: The subqueue of the job's class and team in the group.
        band: The job's band in the subqueue.
        key: The job's sort key in the band.
        until: When the job leaves the band.
        pending: The number of its waiting tasks.
    """

    managed: ManagedJob
    group_key: tuple[Any, ...]
    group: Group
    subqueue: SubQueue
    band: float
    key: Key
    until: float
    pending: int


class SubQueue:
    """The jobs of a group that belong to one class and team.

    Attributes:
        bands: The keys of the jobs in each band, sorted.
    """

    __slots__ = ("bands", "job_class", "team")

    def __init__(self, job_class: str, team: str) -> None:
        self.job_class, self.team = job_class, team
        self.bands: dict[float, SortedList] = {}

    def __iter__(self) -> Iterator[str]:
        """Yield the ids of the jobs in order; jobs may leave during the iteration."""
        for band in sorted(self.bands):
            keys = self.bands.get(band)
            at = 0
            while keys is not None and at < len(keys):
                key = keys[at]
                yield key[2]
                if at < len(keys) and keys[at] is key:
                    at += 1


class Group:
    """Jobs that can use the same room, so that if one of them finds no room, none does.

    Attributes:
        subqueues: The jobs by class and team.
        postponement: The state in which the group found no room; None unless the group is
            postponed. Set by the placer.
        has_new_demand: Whether a job has joined the group, or one has more waiting tasks, since
            the group was postponed.
        representative: One of the jobs, which stands for the needs of all.
        size: The number of jobs.
    """

    __slots__ = ("has_new_demand", "postponement", "representative", "size", "subqueues")

    def __init__(self, representative: ManagedJob) -> None:
        self.subqueues: dict[tuple[str, str], SubQueue] = {}
        self.postponement: Any = None
        self.has_new_demand = True
        self.representative = representative
        self.size = 0


class JobQueue:
    """All waiting jobs of a leader.

    Args:
        managed_jobs: Returns the leader's jobs by id.
        finish_limits: By class, the times in seconds within which jobs should finish, ascending.
        wait_limits: By class, the time in seconds within which jobs should start.
        shares: The fair shares, which the queue updates at each change of a job.
        deadline_multiples: By class, the multiples of a job's own deadline that are objectives,
            ascending.

    Attributes:
        groups: The groups that have waiting jobs, by key.
        entries: The waiting jobs by id.
        in_flight: Jobs that are being placed, and the number of their other waiting
            tasks. A job that returns to the queue with no more waiting tasks than this number
            does not count as new demand.
        dirty: Jobs that have changed since the queue last caught up.
        timers: A heap of the times at which jobs change their bands, or may be placed again
            after an error.
    """

    def __init__(
        self,
        managed_jobs: Callable[[], Mapping[str, ManagedJob]],
        finish_limits: Mapping[str, Sequence[float]],
        wait_limits: Mapping[str, float],
        shares: FairShares,
        deadline_multiples: Mapping[str, Sequence[float]] | None = None,
    ) -> None:
        self.managed_jobs = managed_jobs
        self.finish_limits, self.wait_limits = finish_limits, wait_limits
        self.deadline_multiples = deadline_multiples or {}
        self.shares = shares
        self.clear(-math.inf)

    def clear(self, now: float) -> None:
        """Remove all jobs when an epoch starts; each live job is then marked as changed again."""
        self.groups: dict[tuple[Any, ...], Group] = {}
        self.entries: dict[str, QueueEntry] = {}
        self.in_flight: dict[str, tuple[ManagedJob, int]] = {}
        self.dirty: dict[str, None] = {}
        self.timers: list[tuple[float, str]] = []
        self.shares.clear(now)

    def mark_changed(self, name: str) -> None:
        """Mark a job as changed."""
        self.dirty[name] = None

    def mark_all_changed(self) -> None:
        """Mark all jobs as changed, in case a change was missed; the cost grows with all jobs."""
        self.dirty.update(dict.fromkeys(self.entries))
        self.dirty.update(dict.fromkeys(self.managed_jobs()))

    def catch_up(self, now: float) -> None:
        """Process the jobs that have changed and those whose timers have expired."""
        while self.timers and self.timers[0][0] <= now:
            self.dirty[heappop(self.timers)[1]] = None
        if self.dirty:
            managed_jobs = self.managed_jobs()
            dirty, self.dirty = self.dirty, {}
            for name in dirty:
                self._update_entry(name, managed_jobs.get(name), now)

    def _update_entry(self, name: str, managed: ManagedJob | None, now: float) -> None:
        """Move a changed job to its present place in the queue, or remove it."""
        known = self.entries.get(name)
        if managed is None or managed.ended or managed.blocked:
            self.in_flight.pop(name, None)
            self._remove(name, known)
            self.shares.remove_job(name)
            return
        pending = managed.pending
        in_flight_entry = self.in_flight.pop(name, None)
        if managed.placed_starts or managed.being_placed:
            self.in_flight[name] = (managed, pending)
        if managed.job.kind != SERVICE:
            self.shares.update_job(
                name,
                managed.job,
                managed.assigned + len(managed.being_placed),
                pending,
                managed.waiting_since,
            )
        if pending <= 0 or managed.placed_starts or managed.being_placed:
            self._remove(name, known)
            return
        if now < managed.not_before:
            self._remove(name, known)
            heappush(self.timers, (managed.not_before, name))
            return
        position = self.position(managed, now)
        group_key = managed.placement_key
        group = self.groups.get(group_key)
        if (
            known is not None
            and group is not None
            and known.group is group
            and known.managed is managed
            and (known.band, known.key) == position[:2]
        ):
            if pending > known.pending:
                group.has_new_demand = True
            if pending != known.pending:
                self.entries[name] = known._replace(pending=pending)
            return
        returned = (known is not None and known.group is group and pending <= known.pending) or (
            known is None
            and in_flight_entry is not None
            and in_flight_entry[0] is managed
            and pending <= in_flight_entry[1]
        )
        self._remove(name, known, group)
        if group is not None and not returned:
            group.has_new_demand = True
        self._insert(name, managed, group_key, group, position, pending)
        until = position[2]
        if until < math.inf and (known is None or known.until != until):
            heappush(self.timers, (until, name))

    def _insert(
        self,
        name: str,
        managed: ManagedJob,
        group_key: tuple[Any, ...],
        group: Group | None,
        position: Position,
        pending: int,
    ) -> None:
        """Insert a job that has no entry into its group, or into a new group if that is None."""
        job = managed.job
        if group is None:
            group = self.groups[group_key] = Group(managed)
        band, key, until = position
        subqueue_key = (job.job_class, job.team)
        subqueue = group.subqueues.get(subqueue_key)
        if subqueue is None:
            subqueue = group.subqueues[subqueue_key] = SubQueue(*subqueue_key)
        keys = subqueue.bands.get(band)
        if keys is None:
            keys = subqueue.bands[band] = SortedList()
        keys.add(key)
        group.size += 1
        self.entries[name] = QueueEntry(
            managed, group_key, group, subqueue, band, key, until, pending
        )

    def _remove(self, name: str, entry: QueueEntry | None, staying: Group | None = None) -> None:
        """Remove an entry, and its group if the group is then empty and isn't `staying`."""
        if entry is None:
            return
        del self.entries[name]
        keys = entry.subqueue.bands[entry.band]
        keys.remove(entry.key)
        if not keys:
            del entry.subqueue.bands[entry.band]
            if not entry.subqueue.bands:
                del entry.group.subqueues[entry.subqueue.job_class, entry.subqueue.team]
        entry.group.size -= 1
        if entry.group.size == 0 and entry.group is not staying:
            del self.groups[entry.group_key]

    def _size_penalty_s(self, managed: ManagedJob, max_s: float) -> float:
        """Return the time by which a job's size defers it in the order, `max_s` at most.

        This is the time that the job's waiting tasks take on the CPUs that its class uses here.
        A job is useful only once its last task is done. Without this term a few large jobs made
        many small ones late on an overloaded fleet.
        """
        job = managed.job
        account = self.shares.accounts.get(account_keys(job)[0])
        running = max(job.cpus, account.running_cpus if account is not None else 0.0, 1e-3)
        return min(max(0.0, max_s), managed.pending * job.cpus * job.estimate_s / running)

    def position(self, managed: ManagedJob, now: float) -> Position:
        """Return the job's band, its key in the band, and the time at which it leaves the band.

        Jobs that can still finish on time come before late jobs, so that an overload doesn't make
        all jobs late. Within a band, jobs with the least time left come first, with an allowance
        for their size.

        Jobs that can still start within the wait limit of their class come before jobs that have
        missed it but may finish on time. Otherwise, once the queue is too long, all later jobs
        would miss the wait limit too. An array that has started some tasks keeps the position
        that it had before its start. Otherwise all arrays would start during an overload, and
        none would finish on time.
        """
        job = managed.job
        if job.backfill:
            # Backfill comes last because no objective applies to it, and because its tasks, once
            # started, can't be preempted for a job of the same rank.
            return BACKFILL, (-math.inf, managed.live_rev, job.id), math.inf
        # Estimates are often wrong by half. When they were treated as exact, an overlong queue
        # served each job just when the job could no longer finish on time. A job's own deadline
        # is derived from the estimate and has the same error, so no factor applies to it.
        limits, estimate_s = (
            self.finish_limits.get(job.job_class, ()),
            ESTIMATE_FACTOR * job.estimate_s,
        )
        if job.deadline_s is not None:
            estimate_s = job.estimate_s
            limits = [
                job.deadline_s * n for n in self.deadline_multiples.get(job.job_class, (1.0,))
            ]
        start_by, band = math.inf, IN_TIME
        for limit in limits:
            start_by = managed.waiting_since + limit - estimate_s
            if now <= start_by:
                break
            band = LATE if band == IN_TIME else band + LATE_STEP
        until = start_by if now <= start_by else math.inf
        wait = self.wait_limits.get(job.job_class)
        if wait is not None and job.kind != SERVICE and band == IN_TIME:
            if now - managed.waiting_since < wait and (not managed.started or job.kind == ARRAY):
                until = start_by = min(start_by, managed.waiting_since + wait)
            elif start_by < math.inf:
                band = STARTS_LATE
        if start_by == math.inf:
            return IN_TIME, (-math.inf, managed.live_rev, job.id), math.inf
        start_by += self._size_penalty_s(managed, start_by - managed.waiting_since)
        # A job is still on time at `until` itself, so its band changes just after it.
        return band, (start_by, managed.live_rev, job.id), math.nextafter(until, math.inf)
