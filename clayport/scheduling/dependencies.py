"""The graph of jobs that depend on others: what is ready, what is cancelled, what is urgent.

A job is ready once the final record of every prerequisite (each job that it names) says `done`.
It is to be cancelled once the final record of a prerequisite, or of one of theirs, says
`cancelled`. Final records never change, so neither is ever taken back.

A job inherits the urgency (priority and due time) of the jobs that depend on it. There is no
I/O and no clock here; times are seconds of the caller's clock.
"""

from __future__ import annotations

import math
from collections import OrderedDict
from collections.abc import Iterable
from typing import NamedTuple

import msgspec

from clayport.model import RANKS, Job

PRIORITY_NAMES = {rank: name for name, rank in RANKS.items()}
# Ended jobs whose end is remembered for jobs that name them later.
MAX_REMEMBERED_ENDS = 5_000
# A bound on the steps of one propagation of urgency, for each live job.
MAX_STEPS_PER_JOB = 10


class DependencyNode:
    """A live job in the graph.

    Attributes:
        job: The job as submitted.
        submitted_at: When it was.
        unfinished_prerequisites: The prerequisites that are not known to be done.
        ready_at: When the last prerequisite was done, as far as known.
        due_at: When the job has to end, for itself or for the jobs that depend on it.
        rank: The highest rank of the job and of those that depend on it.
    """

    __slots__ = ("due_at", "job", "rank", "ready_at", "submitted_at", "unfinished_prerequisites")

    def __init__(self, job: Job, submitted: float) -> None:
        self.job, self.submitted_at = job, submitted
        self.unfinished_prerequisites: set[str] = set()
        self.ready_at = submitted
        self.reset_urgency()

    def reset_urgency(self) -> None:
        """Set the urgency to the job's own, without what it inherits."""
        job = self.job
        self.due_at = math.inf if job.deadline_s is None else self.submitted_at + job.deadline_s
        self.rank = job.rank


class EndEffects(NamedTuple):
    """What the end of a job means for the others."""

    ready: list[str]  # may start now
    to_cancel: list[str]  # can't run any more
    urgency_changed: set[str]


class DependencyGraph:
    """The live jobs and what they wait for.

    An event costs work for the jobs that it touches and for their prerequisites, never for all
    jobs.

    Attributes:
        nodes: The live jobs by id.
        dependents: The live jobs that name a job, by that job's id.
        ends: Status and time of the latest ended jobs, by id.
        to_cancel: The live jobs that are to be cancelled.
        unknown_prerequisites: Prerequisites of live jobs that are not known here (a set in order).
    """

    def __init__(self, fetch_gb_per_s: float, overhead_s: float) -> None:
        """Begin with no jobs.

        Args:
            fetch_gb_per_s: How fast images are fetched.
            overhead_s: What a job takes besides its run and its image: to be placed, and for
                its end to be reported.
        """
        self.fetch_gb_per_s, self.overhead_s = fetch_gb_per_s, overhead_s
        self.nodes: dict[str, DependencyNode] = {}
        self.dependents: dict[str, set[str]] = {}
        self.ends: OrderedDict[str, tuple[str, float]] = OrderedDict()
        self.to_cancel: set[str] = set()
        self.unknown_prerequisites: dict[str, None] = {}

    def expected_duration_s(self, job: Job) -> float:
        """Return how long a job is expected to take once it is ready."""
        return job.estimate_s + job.image_gb / self.fetch_gb_per_s + self.overhead_s

    def add(self, job: Job, submitted: float) -> set[str]:
        """Add an accepted job; return the jobs that have become more urgent by it."""
        if job.id in self.nodes or job.id in self.ends:
            return set()
        node = self.nodes[job.id] = DependencyNode(job, submitted)
        self.unknown_prerequisites.pop(job.id, None)
        for prerequisite in dict.fromkeys(job.prereqs or ()):
            status, ended_at = self.ends.get(prerequisite, ("", 0.0))
            self.dependents.setdefault(prerequisite, set()).add(job.id)
            if status == "done":
                node.ready_at = max(node.ready_at, ended_at)
            else:
                node.unfinished_prerequisites.add(prerequisite)
                if not status and prerequisite not in self.nodes:
                    self.unknown_prerequisites[prerequisite] = None
                if status or prerequisite in self.to_cancel:
                    self.to_cancel.add(job.id)
        changed: set[str] = set()
        # Jobs become known in any order, so there may be dependents already.
        for dependent in self.dependents.get(job.id, ()):
            if dependent in self.nodes:
                self._inherit(node, self.nodes[dependent])
                if job.id in self.to_cancel:
                    self._mark_to_cancel(dependent)
        self._propagate_urgency(job.id, changed)
        return changed

    def _inherit(self, node: DependencyNode, dependent: DependencyNode) -> bool:
        """Raise a job's urgency by that of a dependent; return whether it has changed."""
        due_at = min(node.due_at, dependent.due_at - self.expected_duration_s(dependent.job))
        rank = max(node.rank, dependent.rank)
        changed = (due_at, rank) != (node.due_at, node.rank)
        node.due_at, node.rank = due_at, rank
        return changed

    def _propagate_urgency(self, name: str, changed: set[str]) -> None:
        """Raise the urgency of all prerequisites of a job; add those changed to `changed`."""
        todo, steps = [name], 0
        while todo:
            # Records that named each other in a ring, which no user can make, would
            # otherwise raise each other for ever.
            steps += 1
            if steps > MAX_STEPS_PER_JOB * len(self.nodes):
                return
            dependent = self.nodes[todo.pop()]
            for prerequisite in dependent.unfinished_prerequisites:
                node = self.nodes.get(prerequisite)
                if node is not None and self._inherit(node, dependent):
                    changed.add(prerequisite)
                    todo.append(prerequisite)

    def _recompute_urgency(self, names: Iterable[str], changed: set[str]) -> None:
        """Compute the urgency of jobs that have lost a dependent, and of their prerequisites.

        Adds those whose urgency has changed to `changed`.
        """
        todo, steps = list(names), 0
        while todo:
            steps += 1
            if steps > MAX_STEPS_PER_JOB * len(self.nodes):
                return
            node = self.nodes.get(todo.pop())
            if node is None:
                continue
            before = (node.due_at, node.rank)
            node.reset_urgency()
            for dependent in self.dependents.get(node.job.id, ()):
                if dependent in self.nodes:
                    self._inherit(node, self.nodes[dependent])
            if (node.due_at, node.rank) != before:
                changed.add(node.job.id)
                todo += node.unfinished_prerequisites

    def _mark_to_cancel(self, name: str) -> list[str]:
        """Mark a job and all live jobs that depend on it; return those newly marked."""
        marked, todo = [], [name]
        while todo:
            job = todo.pop()
            if job in self.nodes and job not in self.to_cancel:
                self.to_cancel.add(job)
                marked.append(job)
                todo += self.dependents.get(job, ())
        return marked

    def end(self, name: str, status: str, at: float) -> EndEffects:
        """Record that a job has ended with a status; return what that means for the others.

        Further ends of the same job have no effect.
        """
        if name in self.ends:
            return EndEffects([], [], set())
        self.ends[name] = (status, at)
        while len(self.ends) > MAX_REMEMBERED_ENDS:
            self.ends.popitem(last=False)
        node = self.nodes.pop(name, None)
        self.unknown_prerequisites.pop(name, None)
        self.to_cancel.discard(name)
        effects = self._end_for_dependents(name, status, at)
        if node is not None:
            self._forget_as_dependent(node)
            self._recompute_urgency(node.unfinished_prerequisites, effects.urgency_changed)
        return effects

    def _end_for_dependents(self, name: str, status: str, at: float) -> EndEffects:
        ready: list[str] = []
        to_cancel: list[str] = []
        for dependent in sorted(self.dependents.get(name, ())):
            node = self.nodes.get(dependent)
            if node is None or name not in node.unfinished_prerequisites:
                continue
            if status != "done":
                to_cancel += self._mark_to_cancel(dependent)
                continue
            node.unfinished_prerequisites.discard(name)
            node.ready_at = max(node.ready_at, at)
            if not node.unfinished_prerequisites:
                ready.append(dependent)
        return EndEffects(ready, to_cancel, set(ready))

    def _forget_as_dependent(self, node: DependencyNode) -> None:
        name = node.job.id
        for prerequisite in dict.fromkeys(node.job.prereqs or ()):
            self.dependents.get(prerequisite, set()).discard(name)
            if not self.dependents.get(prerequisite):
                self.dependents.pop(prerequisite, None)
                self.unknown_prerequisites.pop(prerequisite, None)

    def is_waiting(self, name: str) -> bool:
        """Return whether a live job must not start yet."""
        node = self.nodes.get(name)
        return node is not None and bool(node.unfinished_prerequisites)

    def own_rank(self, job: Job) -> int:
        """Return the rank that the job's user gave it, without what it inherits."""
        node = self.nodes.get(job.id)
        return node.job.rank if node is not None else job.rank

    def effective_job(self, name: str, limits: dict[str, float]) -> Job:
        """Return a live job as it is to be scheduled, with the urgency that it inherits.

        Its deadline is the time that its dependents leave it, counted from when it was ready.

        Args:
            name: The job's id.
            limits: The time within which jobs of a class are to finish, in seconds.
        """
        node = self.nodes[name]
        job = node.job
        if node.due_at == math.inf and node.rank == job.rank:
            return job
        deadline_s = None if node.due_at == math.inf else node.due_at - node.ready_at
        if deadline_s is not None and job.deadline_s is None and job.job_class in limits:
            deadline_s = min(deadline_s, limits[job.job_class])
        return msgspec.structs.replace(
            job,
            priority=PRIORITY_NAMES[node.rank],
            deadline_s=deadline_s,
            without_objective=job.without_objective and deadline_s is None,
        )
