"""Handles task events that owners of machines report to the leader of the tasks' jobs."""

from __future__ import annotations

import time
from collections.abc import Iterable

from clayport.jobs.registry import JobRegistry
from clayport.jobs.verdicts import Verdict, for_uncommitted
from clayport.model import split_task_id
from clayport.routines import Routines
from clayport.scheduling.queueing import JobQueue

# The fields of a `machines.events.TaskEvent`, as decoded from a frame.
EventRow = tuple[str, str, int, str, str, bool]


class TaskEvents:
    """Applies task events to the jobs that this controller leads, and wakes their routines."""

    def __init__(self, *, jobs: JobRegistry, queue: JobQueue, routines: Routines) -> None:
        self.jobs = jobs
        self.queue = queue
        self.routines = routines

    def handle_task_events(self, events: Iterable[EventRow]) -> list[Verdict]:
        """Apply an owner's events in order, and return a verdict for each."""
        verdicts = []
        now = time.monotonic()
        for machine, task, attempt, state, cause, _ in events:
            try:
                job, number = split_task_id(task)
            except ValueError:
                verdicts.append(Verdict.CLEAR if state == "exited" else Verdict.KILL)
                continue
            managed = self.jobs.managed.get(job)
            if managed is None:
                if job in self.jobs.live:
                    verdict = Verdict.LATER  # the job is live, but its routine has not started yet
                else:
                    verdict = for_uncommitted(state)
            else:
                started = managed.started
                verdict = managed.handle_event(machine, number, attempt, state, cause, now)
                if managed.started != started:
                    self.queue.mark_changed(job)
                if number in managed.outcomes:
                    managed.exited_on[number] = machine if state == "exited" else ""
                    self.routines.signal(managed.name)
            verdicts.append(verdict)
        return verdicts
