"""The dependency graph of jobs: readiness, cascading cancellation and inherited urgency.

A job is ready once the final record of each of its prerequisites says `done`. A job is to be
cancelled once the final record of a direct or indirect prerequisite says `cancelled`. Final
records never change, so neither decision is ever revoked.

A job inherits the urgency (priority and due time) of the jobs that depend on it. This module
does no I/O and reads no clock; times are in seconds on the caller's clock.
"""

from __future__ import annotations

import math
from collections import OrderedDict
from collections.abc import Iterable
from typing import NamedTuple

import msgspec

from clayport.model import RANKS, Job

PRIORITY_NAMES = {rank: name for name, rank in RANKS.items()}
# The number of ended jobs whose status is kept, because a later job may depend on them.
MAX_REMEMBERED_ENDS = 5_000
# The most steps that one propagation of urgency takes, per live job.
MAX_STEPS_PER_JOB = 10


class DependencyNode:
    """A live job in the graph.

    Attributes:
        job: The job as submitted.
        submitted_at: When the job was submitted.
        unfinished_prerequisites: The prerequisites that are not known to be done.
        ready_at: The end of the latest prerequisite that is known to be done. Before any
            prerequisite is known to be done, this is the time of submission.
        due_at: When the job has to end, to meet its own deadline and those of its dependents.
        rank: The highest rank among the job and its dependents.
    """

    __slots__ = ("due_at", "job", "rank", "ready_at", "submitted_at", "unfinished_prerequisites")

    def __init__(self, job: Job, submitted: float) -> None:
        self.job, self.submitted_at = job, submitted
        self.unfinished_prerequisites: set[str] = set()
        self.ready_at = submitted
        self.reset_urgency()

    def reset_urgency(self) -> None:
        """Set the urgency to that of the job itself, without inherited urgency."""
        job = self.job
        self.due_at = math.inf if job.deadline_s is None else self.submitted_at + job.deadline_s
        self.rank = job.rank


class EndEffects(NamedTuple):
    """The effects that the end of a job has on other jobs."""

    ready: list[str]  # these jobs may start now
    to_cancel: list[str]  # these jobs can never run, because a prerequisite was cancelled
    urgency_changed: set[str]


class DependencyGraph:
    """The live jobs and their prerequisites.

    The cost of an event grows with the number of affected jobs and their prerequisites, not with
    the number of all jobs.

    Attributes:
        nodes: The live jobs by id.
        dependents: For the id of a prerequisite, the live jobs that depend on it.
        ends: Status and time of the latest ended jobs, by id.
        to_cancel: The live jobs that are to be cancelled, with the time of the first cancellation
            of a job before them that is known.
        unknown_prerequisites: Prerequisites of live jobs that are neither live nor in `ends`
            (an ordered set).
    """

    def __init__(self, fetch_gb_per_s: float, overhead_s: float) -> None:
        """Create an empty graph.

        Args:
            fetch_gb_per_s: The rate at which machines fetch images.
            overhead_s: The time that a job takes besides its run and the fetch of its image:
                for its placement and for the report of its end.
        """
        self.fetch_gb_per_s, self.overhead_s = fetch_gb_per_s, overhead_s
        self.nodes: dict[str, DependencyNode] = {}
        self.dependents: dict[str, set[str]] = {}
        self.ends: OrderedDict[str, tuple[str, float]] = OrderedDict()
        self.to_cancel: dict[str, float] = {}
        self.unknown_prerequisites: dict[str, None] = {}

    def expected_duration_s(self, job: Job) -> float:
        """Return how long a job is expected to take once it is ready."""
        return job.estimate_s + job.image_gb / self.fetch_gb_per_s + self.overhead_s

    def add(self, job: Job, submitted: float) -> set[str]:
        """Add an accepted job; return the jobs that have become more urgent because of it."""
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
                since = ended_at if status else self.to_cancel.get(prerequisite)
                if since is not None:
                    self.to_cancel[job.id] = min(since, self.to_cancel.get(job.id, since))
        changed: set[str] = set()
        # Jobs become known in any order, so dependents of this job may be in the graph already.
        for dependent in self.dependents.get(job.id, ()):
            if dependent in self.nodes:
                self._inherit(node, self.nodes[dependent])
                if job.id in self.to_cancel:
                    self._mark_to_cancel(dependent, self.to_cancel[job.id])
        self._propagate_urgency(job.id, changed)
        return changed

    def _inherit(self, node: DependencyNode, dependent: DependencyNode) -> bool:
        """Raise a job's urgency to what a dependent requires; return whether it has changed."""
        due_at = min(node.due_at, dependent.due_at - self.expected_duration_s(dependent.job))
        rank = max(node.rank, dependent.rank)
        changed = (due_at, rank) != (node.due_at, node.rank)
        node.due_at, node.rank = due_at, rank
        return changed

    def _propagate_urgency(self, name: str, changed: set[str]) -> None:
        """Raise the urgency of all prerequisites of a job; add the changed jobs to `changed`."""
        todo, steps = [name], 0
        while todo:
            # Users can't create a dependency cycle. If records contained one, the propagation
            # would never end without this bound.
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
        """Recompute the urgency of jobs that have lost a dependent, and of their prerequisites.

        Adds the jobs whose urgency has changed to `changed`.
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

    def _mark_to_cancel(self, name: str, since: float) -> list[str]:
        """Mark a job and its live dependents as to be cancelled; return the newly marked jobs.

        Args:
            name: The job.
            since: When a job before it was cancelled.
        """
        marked, todo = [], [name]
        while todo:
            job = todo.pop()
            if job in self.nodes and job not in self.to_cancel:
                self.to_cancel[job] = since
                marked.append(job)
                todo += self.dependents.get(job, ())
        return marked

    def record_end(self, name: str, status: str, at: float) -> EndEffects:
        """Record that a job has ended with a status; return the effects on other jobs.

        The call is idempotent: a second end of the same job has no effect.
        """
        if name in self.ends:
            return EndEffects([], [], set())
        self.ends[name] = (status, at)
        while len(self.ends) > MAX_REMEMBERED_ENDS:
            self.ends.popitem(last=False)
        node = self.nodes.pop(name, None)
        self.unknown_prerequisites.pop(name, None)
        self.to_cancel.pop(name, None)
        effects = self._apply_end_to_dependents(name, status, at)
        if node is not None:
            self._remove_from_dependents(node)
            self._recompute_urgency(node.unfinished_prerequisites, effects.urgency_changed)
        return effects

    def _apply_end_to_dependents(self, name: str, status: str, at: float) -> EndEffects:
        ready: list[str] = []
        to_cancel: list[str] = []
        for dependent in sorted(self.dependents.get(name, ())):
            node = self.nodes.get(dependent)
            if node is None or name not in node.unfinished_prerequisites:
                continue
            if status != "done":
                to_cancel += self._mark_to_cancel(dependent, at)
                continue
            node.unfinished_prerequisites.discard(name)
            node.ready_at = max(node.ready_at, at)
            if not node.unfinished_prerequisites:
                ready.append(dependent)
        return EndEffects(ready, to_cancel, set(ready))

    def _remove_from_dependents(self, node: DependencyNode) -> None:
        name = node.job.id
        for prerequisite in dict.fromkeys(node.job.prereqs or ()):
            self.dependents.get(prerequisite, set()).discard(name)
            if not self.dependents.get(prerequisite):
                self.dependents.pop(prerequisite, None)
                self.unknown_prerequisites.pop(prerequisite, None)

    def is_waiting(self, name: str) -> bool:
        """Return whether a live job still has unfinished prerequisites."""
        node = self.nodes.get(name)
        return node is not None and bool(node.unfinished_prerequisites)

    def own_rank(self, job: Job) -> int:
        """Return the rank with which the job was submitted, without inherited urgency."""
        node = self.nodes.get(job.id)
        return node.job.rank if node is not None else job.rank

    def effective_job(self, name: str, limits: dict[str, float]) -> Job:
        """Return a live job with its inherited urgency, as the scheduler treats it.

        The deadline of the returned job counts from the moment when the job became ready, and
        leaves its dependents enough time to meet their own deadlines.

        Args:
            name: The job's id.
            limits: For each class, the time in seconds within which its jobs should finish.
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
