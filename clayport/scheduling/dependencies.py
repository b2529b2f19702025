"""Jobs that wait for others: what is ready, what is cancelled with another, and how urgent
each job is for what needs it. Pure: no I/O, no clock; times are the caller's.

A job is ready once the final record of every job that it names says `done`, and doomed
once one of them, or of those that they name, says `cancelled`. Final records never change,
so neither is ever taken back.
"""

from __future__ import annotations

import math
from collections import OrderedDict
from collections.abc import Iterable

import msgspec

from clayport.model import RANKS, Job

NAMES = {rank: name for name, rank in RANKS.items()}
# Ended jobs whose end is remembered for those that name them later.
MAX_REMEMBERED_ENDS = 5_000


class DependencyNode:
    """A live job in its pipelines."""

    __slots__ = ("due", "job", "needs", "rank", "ready", "submitted")

    def __init__(self, job: Job, submitted: float) -> None:
        self.job, self.submitted = job, submitted
        self.needs: set[str] = set()  # prereqs not yet known to be done
        self.ready = submitted  # when the last of them was done, as far as known
        self.due = math.inf if job.deadline_s is None else submitted + job.deadline_s
        self.rank = job.rank


class DependencyGraph:
    """The live jobs and what they wait for.

    `aside_s` is what a job takes besides its run and its image: to be placed, to be told
    of. An event costs work for the jobs that it touches and for what they need, never for
    all jobs.
    """

    def __init__(self, fetch_gb_per_s: float, aside_s: float) -> None:
        self.fetch_gb_per_s, self.aside_s = fetch_gb_per_s, aside_s
        self.nodes: dict[str, DependencyNode] = {}
        # Live jobs by the jobs that they name.
        self.dependents: dict[str, set[str]] = {}
        self.ends: OrderedDict[str, tuple[str, float]] = OrderedDict()
        self.doomed: set[str] = set()
        # Jobs that others wait for and of which nothing is known here.
        self.missing: dict[str, None] = {}

    def takes(self, job: Job) -> float:
        """How long a job is expected to take once it is ready."""
        return job.estimate_s + job.image_gb / self.fetch_gb_per_s + self.aside_s

    def add(self, job: Job, submitted: float) -> set[str]:
        """A job is accepted; the jobs that have become more urgent by it."""
        if job.id in self.nodes or job.id in self.ends:
            return set()
        node = self.nodes[job.id] = DependencyNode(job, submitted)
        self.missing.pop(job.id, None)
        for name in dict.fromkeys(job.prereqs or ()):
            status, at = self.ends.get(name, ("", 0.0))
            self.dependents.setdefault(name, set()).add(job.id)
            if status == "done":
                node.ready = max(node.ready, at)
            else:
                node.needs.add(name)
                if not status and name not in self.nodes:
                    self.missing[name] = None
                if status or name in self.doomed:
                    self.doomed.add(job.id)
        changed: set[str] = set()
        # Known before what it needs, or before what needs it: they come in any order.
        for follower in self.dependents.get(job.id, ()):
            if follower in self.nodes:
                self._raise(node, self.nodes[follower])
                if job.id in self.doomed:
                    self._doom(follower)
        self._up(job.id, changed)
        return changed

    def _raise(self, node: DependencyNode, follower: DependencyNode) -> bool:
        """What a follower asks of a job that it needs; whether that changes anything."""
        due = min(node.due, follower.due - self.takes(follower.job))
        rank = max(node.rank, follower.rank)
        changed = (due, rank) != (node.due, node.rank)
        node.due, node.rank = due, rank
        return changed

    def _up(self, name: str, changed: set[str]) -> None:
        """Hand a job's urgency to all that it needs."""
        todo, steps = [name], 0
        while todo:
            # Records that named each other in a ring, which no user can make, would
            # otherwise raise each other for ever.
            steps += 1
            if steps > 10 * len(self.nodes):
                return
            follower = self.nodes[todo.pop()]
            for need in follower.needs:
                node = self.nodes.get(need)
                if node is not None and self._raise(node, follower):
                    changed.add(need)
                    todo.append(need)

    def _down(self, names: Iterable[str], changed: set[str]) -> None:
        """Urgency anew, after a follower has gone."""
        todo, steps = list(names), 0
        while todo:
            steps += 1
            if steps > 10 * len(self.nodes):
                return
            node = self.nodes.get(todo.pop())
            if node is None:
                continue
            before, own = (node.due, node.rank), DependencyNode(node.job, node.submitted)
            node.due, node.rank = own.due, own.rank
            for follower in self.dependents.get(node.job.id, ()):
                if follower in self.nodes:
                    self._raise(node, self.nodes[follower])
            if (node.due, node.rank) != before:
                changed.add(node.job.id)
                todo += node.needs

    def _doom(self, name: str) -> list[str]:
        """A job is to be cancelled, and all live ones that need it."""
        found, todo = [], [name]
        while todo:
            job = todo.pop()
            if job in self.nodes and job not in self.doomed:
                self.doomed.add(job)
                found.append(job)
                todo += self.dependents.get(job, ())
        return found

    def end(self, name: str, status: str, at: float) -> tuple[list[str], list[str], set[str]]:
        """A job is over: those that are ready now, those that are to be cancelled with it,
        and those whose urgency has changed."""
        if name in self.ends:
            return [], [], set()
        self.ends[name] = (status, at)
        while len(self.ends) > MAX_REMEMBERED_ENDS:
            self.ends.popitem(last=False)
        node = self.nodes.pop(name, None)
        self.missing.pop(name, None)
        self.doomed.discard(name)
        ready: list[str] = []
        doomed: list[str] = []
        for follower in sorted(self.dependents.get(name, ())):
            waiting = self.nodes.get(follower)
            if waiting is None or name not in waiting.needs:
                continue
            if status != "done":
                doomed += self._doom(follower)
                continue
            waiting.needs.discard(name)
            waiting.ready = max(waiting.ready, at)
            if not waiting.needs:
                ready.append(follower)
        changed: set[str] = set(ready)
        if node is not None:
            for need in dict.fromkeys(node.job.prereqs or ()):
                self.dependents.get(need, set()).discard(name)
                if not self.dependents.get(need):
                    self.dependents.pop(need, None)
                    self.missing.pop(need, None)
            self._down(node.needs, changed)
        return ready, doomed, changed

    def waiting(self, name: str) -> bool:
        """Whether a live job must not start yet."""
        node = self.nodes.get(name)
        return node is not None and bool(node.needs)

    def own_rank(self, job: Job) -> int:
        """The rank that its user gave it."""
        node = self.nodes.get(job.id)
        return node.job.rank if node is not None else job.rank

    def view(self, name: str, limits: dict[str, float]) -> Job:
        """The job as it is to be scheduled: with the rank of all that need it, and with the
        time that they leave it, counted from when it was ready."""
        node = self.nodes[name]
        job = node.job
        if node.due == math.inf and node.rank == job.rank:
            return job
        left = None if node.due == math.inf else node.due - node.ready
        if left is not None and job.deadline_s is None and job.job_class in limits:
            left = min(left, limits[job.job_class])
        return msgspec.structs.replace(
            job,
            priority=NAMES[node.rank],
            deadline_s=left,
            without_objective=job.without_objective and left is None,
        )
