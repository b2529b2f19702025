"""The jobs that wait at a leader, in the order in which they are to be looked at.

A pass of the placer must not cost more with more waiting jobs: on a flooded fleet thousands
wait, and hardly any of them finds room. So nothing here walks all of them. A change of a job is
noted (`JobQueue.touch`), and the queue catches up with it before the next pass. Jobs that can
use the same room are a group; in it each class and team has a subqueue, whose jobs are in
bands (can be in time; has missed its start; will be late; backfill). The order in a band is
by instants, which don't change as time passes; the bands change at instants that are known.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Iterator, Mapping, Sequence
from heapq import heappop, heappush
from typing import TYPE_CHECKING, Any, NamedTuple

from sortedcontainers import SortedList

from clayport.model import ARRAY, SERVICE
from clayport.scaling.demand import LINE
from clayport.scheduling.queueing.shares import FairShares, account_keys

if TYPE_CHECKING:
    from clayport.jobs.managed_job import ManagedJob

# The bands of a subqueue, the least first; a late job's is LATE and a LATE_STEP more for each
# further limit that it can't keep.
IN_TIME, STARTS_LATE, LATE, LATE_STEP, BACKFILL = 0.0, 0.5, 1.0, 0.01, 2.0

Key = tuple[float, int, str]  # the instant by which it has to start, its record's revision, id
Position = tuple[float, Key, float]  # the band, the place in it, until when it is in that band


class QueueEntry(NamedTuple):
    """Where a job is in the queue.

    Attributes:
        managed: The job.
        group_key: The key of its group.
        group: The group.
        subqueue: The subqueue of its class and team in the group.
        band: Its band there.
        key: Its place in the band.
        until: When it changes the band.
        pending: How many of its tasks wait.
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
    """Jobs of a group that belong to one class and team.

    Attributes:
        bands: The keys of the jobs in each band, sorted.
    """

    __slots__ = ("bands", "job_class", "team")

    def __init__(self, job_class: str, team: str) -> None:
        self.job_class, self.team = job_class, team
        self.bands: dict[float, SortedList] = {}

    def __iter__(self) -> Iterator[str]:
        """The ids of its jobs in order; jobs may leave meanwhile."""
        for band in sorted(self.bands):
            keys = self.bands.get(band)
            at = 0
            while keys is not None and at < len(keys):
                key = keys[at]
                yield key[2]
                if at < len(keys) and keys[at] is key:
                    at += 1


class Group:
    """Jobs that can use the same room: where one of them finds none, none does.

    Attributes:
        subqueues: The jobs by class and team.
        postponement: Why the group need not be looked at now; kept by the placer.
        has_new_demand: Whether a job has come, or waits for more, since the last look.
        example: One of the jobs.
        size: How many jobs there are.
    """

    __slots__ = ("example", "has_new_demand", "postponement", "size", "subqueues")

    def __init__(self, example: ManagedJob) -> None:
        self.subqueues: dict[tuple[str, str], SubQueue] = {}
        self.postponement: Any = None
        self.has_new_demand = True
        self.example = example
        self.size = 0


class JobQueue:
    """All waiting jobs of a leader.

    Args:
        managed_jobs: Returns the leader's jobs by id.
        finish_limits: By class, the times in seconds within which jobs should be done.
        wait_limits: By class, the time in seconds within which jobs should start.
        shares: The accounts, which are told of each change.
        deadline_times: By class, the multiples of a job's own deadline that are aimed at.

    Attributes:
        groups: The groups that have waiting jobs, by key.
        entries: The waiting jobs by id.
        in_flight: Jobs being placed, and how many of their tasks waited beside. One that
            comes back with as many went well, and is nothing new for its group.
        dirty: Jobs that have changed since the queue last caught up.
        due: When jobs change their bands, or wait again after an error.
    """

    def __init__(
        self,
        managed_jobs: Callable[[], Mapping[str, ManagedJob]],
        finish_limits: Mapping[str, Sequence[float]],
        wait_limits: Mapping[str, float],
        shares: FairShares,
        deadline_times: Mapping[str, Sequence[float]] | None = None,
    ) -> None:
        self.managed_jobs = managed_jobs
        self.finish_limits, self.wait_limits = finish_limits, wait_limits
        self.deadline_times = deadline_times or {}
        self.shares = shares
        self.clear(-math.inf)

    def clear(self, now: float) -> None:
        """Forget everything, at the beginning of an epoch: live jobs are touched anew."""
        self.groups: dict[tuple[Any, ...], Group] = {}
        self.entries: dict[str, QueueEntry] = {}
        self.in_flight: dict[str, tuple[ManagedJob, int]] = {}
        self.dirty: dict[str, None] = {}
        self.due: list[tuple[float, str]] = []
        self.shares.clear(now)

    def touch(self, name: str) -> None:
        """Note that the job has changed."""
        self.dirty[name] = None

    def sweep(self) -> None:
        """Note all jobs as changed: a safety net, to be used rarely."""
        self.dirty.update(dict.fromkeys(self.entries))
        self.dirty.update(dict.fromkeys(self.managed_jobs()))

    def catch_up(self, now: float) -> None:
        """Bring the queue up to date."""
        while self.due and self.due[0][0] <= now:
            self.dirty[heappop(self.due)[1]] = None
        if self.dirty:
            managed_jobs = self.managed_jobs()
            dirty, self.dirty = self.dirty, {}
            for name in dirty:
                self._place(name, managed_jobs.get(name), now)

    def _place(self, name: str, managed: ManagedJob | None, now: float) -> None:
        """Put a job that has changed where it belongs now, or take it out."""
        known = self.entries.get(name)
        if managed is None or managed.ended or managed.blocked:
            self.in_flight.pop(name, None)
            self._remove(name, known)
            self.shares.forget(name)
            return
        pending = managed.pending
        flown = self.in_flight.pop(name, None)
        if managed.starts or managed.being_placed:
            self.in_flight[name] = (managed, pending)
        if managed.job.kind != SERVICE:
            self.shares.note(
                name,
                managed.job,
                managed.assigned + len(managed.being_placed),
                pending,
                managed.waiting_since,
            )
        if pending <= 0 or managed.starts or managed.being_placed:
            self._remove(name, known)
            return
        if now < managed.not_before:
            self._remove(name, known)
            heappush(self.due, (managed.not_before, name))
            return
        position = self.standing(managed, now)
        group_key = managed.group
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
            known is None and flown is not None and flown[0] is managed and pending <= flown[1]
        )
        self._remove(name, known, group)
        if group is not None and not returned:
            group.has_new_demand = True
        self._enter(name, managed, group_key, group, position, pending)
        until = position[2]
        if until < math.inf and (known is None or known.until != until):
            heappush(self.due, (until, name))

    def _enter(
        self,
        name: str,
        managed: ManagedJob,
        group_key: tuple[Any, ...],
        group: Group | None,
        position: Position,
        pending: int,
    ) -> None:
        """Enter a job that has no entry into its group (None: a new one)."""
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
        """Take an entry out, and its group if that is empty then and isn't `staying`."""
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

    def _run_s(self, managed: ManagedJob, max_s: float) -> float:
        """How long the CPUs that its class has here take for the job's waiting tasks.

        A job is of no use before its last task is done: on a flooded fleet a few large jobs
        made many small ones late. So a large one is put back by this time, `max_s` at most.
        """
        job = managed.job
        account = self.shares.accounts.get(account_keys(job)[0])
        running = max(job.cpus, account.running if account is not None else 0.0, 1e-3)
        return min(max(0.0, max_s), managed.pending * job.cpus * job.estimate_s / running)

    def standing(self, managed: ManagedJob, now: float) -> Position:
        """The job's position: its band, its place in it, and until when it stays in that band.

        What can still be in time comes before what can't, so that not all is late when
        there is too much; then what has the least time left, its size considered. Work that
        is to start soon comes before what has missed that and may still be finished in time:
        else a queue once too long makes all that follow miss it too. (An array that has begun
        goes on as if it had not: else all of a flood are begun, and none gets done in time.)
        """
        job = managed.job
        if job.backfill:
            # Nobody waits for it, and what runs at its rank can't make way for others.
            return BACKFILL, (-math.inf, managed.live_rev, job.id), math.inf
        # Estimates are often wrong by half: taken as right, each job of a queue that is too long
        # was served just when it could no longer be in time. A deadline of its own is derived
        # from the estimate, and is as wrong as that.
        limits, estimate_s = self.finish_limits.get(job.job_class, ()), LINE * job.estimate_s
        if job.deadline_s is not None:
            estimate_s = job.estimate_s
            limits = [job.deadline_s * n for n in self.deadline_times.get(job.job_class, (1.0,))]
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
        start_by += self._run_s(managed, start_by - managed.waiting_since)
        # The instant itself is still in time: what is due then is looked at just after it.
        return band, (start_by, managed.live_rev, job.id), math.nextafter(until, math.inf)
