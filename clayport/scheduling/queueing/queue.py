"""The jobs that wait at a home, in the order in which they are to be looked at.

A pass of the placer must not cost the more the more jobs wait: on a flooded fleet thousands
do, and hardly any of them finds room. So nothing here walks all of them. What happens to a job
is noted (`JobQueue.touch`), and the line catches up with it before the next look. Jobs that can
use the same room are a group; in it each class and team has a lane, whose jobs stand in
three bands (can be in time; has missed its start; will be late). The order in a band is
by instants, which don't change as time passes; the bands change at instants that are known.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Iterator, Mapping, Sequence
from heapq import heappop, heappush
from typing import TYPE_CHECKING, Any, NamedTuple

from sortedcontainers import SortedList

from clayport.model import ARRAY, SERVICE
from clayport.scaling.provisioning import LINE
from clayport.scheduling.queueing.shares import Shares, names_of

if TYPE_CHECKING:
    from clayport.jobs.managed_job import ManagedJob

# Bands of a lane, the first to be looked at first; a late job's is LATE and a step more for
# each further limit that it can't keep.
IN_TIME, STARTS_LATE, LATE, STEP, FILLS = 0.0, 0.5, 1.0, 0.01, 2.0
Key = tuple[float, int, str]  # the instant by which it has to start, its record's revision, id


class QueueEntry(NamedTuple):
    """Where a job stands in the line."""

    managed: ManagedJob
    group_key: tuple[Any, ...]
    group: Group
    subqueue: SubQueue
    band: float
    key: Key
    until: float
    pending: int


class SubQueue:
    """Jobs of a group that belong to one class and team."""

    __slots__ = ("bands", "job_class", "team")

    def __init__(self, job_class: str, team: str) -> None:
        self.job_class, self.team = job_class, team
        self.bands: dict[float, SortedList] = {}

    def __iter__(self) -> Iterator[str]:
        """The ids of its jobs in order; those that leave meanwhile disturb nothing."""
        for band in sorted(self.bands):
            rows = self.bands.get(band)
            at = 0
            while rows is not None and at < len(rows):
                row = rows[at]
                yield row[2]
                if at < len(rows) and rows[at] is row:
                    at += 1


class Group:
    """Jobs that can use the same room: what one found none for, none does."""

    __slots__ = ("example", "fresh", "nap", "size", "subqueues")

    def __init__(self, example: ManagedJob) -> None:
        self.subqueues: dict[tuple[str, str], SubQueue] = {}
        self.nap: Any = None  # why it need not be looked at, as the placer keeps it
        self.fresh = True  # somebody has come, or waits for more, since the last look
        self.example = example
        self.size = 0


class JobQueue:
    """Everything that waits here."""

    def __init__(
        self,
        managed_jobs: Callable[[], Mapping[str, ManagedJob]],
        finish_limits: Mapping[str, Sequence[float]],
        wait_limits: Mapping[str, float],
        shares: Shares,
        deadline_times: Mapping[str, Sequence[float]] | None = None,
    ) -> None:
        self.managed_jobs = managed_jobs
        self.finish_limits, self.wait_limits = finish_limits, wait_limits
        # Of jobs with a deadline of their own, which multiples of it are aimed at.
        self.deadline_times = deadline_times or {}
        self.shares = shares
        self.clear(-math.inf)

    def clear(self, now: float) -> None:
        """A new epoch: other homes, and all of them are told anew."""
        self.groups: dict[tuple[Any, ...], Group] = {}
        self.entries: dict[str, QueueEntry] = {}
        # Being placed, and how many of its tasks wait beside: it comes back with as many
        # where all has gone well, and then nothing is new for its group.
        self.in_flight: dict[str, tuple[ManagedJob, int]] = {}
        self.dirty: dict[str, None] = {}
        self.due: list[tuple[float, str]] = []  # when a job changes its band, or waits again
        self.shares.clear(now)

    def touch(self, name: str) -> None:
        """Something has happened to the job."""
        self.dirty[name] = None

    def sweep(self) -> None:
        """Look at all of them anew: a safety net, to be used rarely."""
        self.dirty.update(dict.fromkeys(self.entries))
        self.dirty.update(dict.fromkeys(self.managed_jobs()))

    def catch_up(self, now: float) -> None:
        """Be in order for `now`."""
        while self.due and self.due[0][0] <= now:
            self.dirty[heappop(self.due)[1]] = None
        if self.dirty:
            managed_jobs = self.managed_jobs()
            dirty, self.dirty = self.dirty, {}
            for name in dirty:
                self._place(name, managed_jobs.get(name), now)

    def _place(self, name: str, managed: ManagedJob | None, now: float) -> None:
        known = self.entries.get(name)
        if managed is None or managed.ended or managed.blocked:
            self.in_flight.pop(name, None)
            self._drop(name, known)
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
            self._drop(name, known)
            return
        if now < managed.not_before:
            self._drop(name, known)
            heappush(self.due, (managed.not_before, name))
            return
        band, key, until = self.standing(managed, now)
        group_key = managed.group
        group = self.groups.get(group_key)
        if (
            known is not None
            and group is not None
            and known.group is group
            and known.managed is managed
            and (known.band, known.key) == (band, key)
        ):
            if pending > known.pending:
                group.fresh = True
            if pending != known.pending:
                self.entries[name] = known._replace(pending=pending)
            return
        back = (known is not None and known.group is group and pending <= known.pending) or (
            known is None and flown is not None and flown[0] is managed and pending <= flown[1]
        )
        self._drop(name, known, group)
        if group is None:
            group = self.groups[group_key] = Group(managed)
        elif not back:
            group.fresh = True
        which = (managed.job.job_class, managed.job.team)
        subqueue = group.subqueues.get(which)
        if subqueue is None:
            subqueue = group.subqueues[which] = SubQueue(*which)
        rows = subqueue.bands.get(band)
        if rows is None:
            rows = subqueue.bands[band] = SortedList()
        rows.add(key)
        group.size += 1
        self.entries[name] = QueueEntry(
            managed, group_key, group, subqueue, band, key, until, pending
        )
        if until < math.inf and (known is None or known.until != until):
            heappush(self.due, (until, name))

    def _drop(self, name: str, mark: QueueEntry | None, staying: Group | None = None) -> None:
        """Take it out of its place; not with its group, where it only gets another there."""
        if mark is None:
            return
        del self.entries[name]
        rows = mark.subqueue.bands[mark.band]
        rows.remove(mark.key)
        if not rows:
            del mark.subqueue.bands[mark.band]
            if not mark.subqueue.bands:
                del mark.group.subqueues[mark.subqueue.job_class, mark.subqueue.team]
        mark.group.size -= 1
        if mark.group.size == 0 and mark.group is not staying:
            del self.groups[mark.group_key]

    def _size_s(self, managed: ManagedJob, most_s: float) -> float:
        """How long what its class runs here takes for what the job still waits for.

        A job is no use before its last task is done: where there is too much, a few wide ones
        made many narrow ones late. So a wide one stands as if it had so much more time.
        """
        job = managed.job
        account = self.shares.accounts.get(names_of(job)[0])
        running = max(job.cpus, account.running if account is not None else 0.0, 1e-3)
        return min(max(0.0, most_s), managed.pending * job.cpus * job.estimate_s / running)

    def standing(self, managed: ManagedJob, now: float) -> tuple[float, Key, float]:
        """The job's band, its place in it, and until when it stays in that band.

        What can still be in time comes before what can't, so that not all is late when
        there is too much; then what has the least time left, its size considered. Work that
        is to start soon comes before what has missed that and may still be finished in time:
        else a queue once too long makes all that follow miss it too. (An array that has begun
        goes on as if it had not: else all of a flood are begun, and none gets done in time.)
        """
        job = managed.job
        if job.backfill:
            # Nobody waits for it, and what runs at its rank can't make way for others.
            return FILLS, (-math.inf, managed.live_rev, job.id), math.inf
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
            band = LATE if band == IN_TIME else band + STEP
        until = start_by if now <= start_by else math.inf
        wait = self.wait_limits.get(job.job_class)
        if wait is not None and job.kind != SERVICE and band == IN_TIME:
            if now - managed.waiting_since < wait and (not managed.started or job.kind == ARRAY):
                until = start_by = min(start_by, managed.waiting_since + wait)
            elif start_by < math.inf:
                band = STARTS_LATE
        if start_by == math.inf:
            return IN_TIME, (-math.inf, managed.live_rev, job.id), math.inf
        start_by += self._size_s(managed, start_by - managed.waiting_since)
        # The instant itself is still in time: what is due then is looked at just after it.
        return band, (start_by, managed.live_rev, job.id), math.nextafter(until, math.inf)
