"""The state of a job and its tasks at the job's leader, and its changes by task events.

This module does no I/O: `jobs.dispatcher` carries out the decisions made here, and
`jobs.transactions` builds the commits.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Collection, Container, Iterable
from typing import Any

from clayport.jobs.avoidance import AvoidedMachines
from clayport.jobs.committed_tasks import Assignment, CommittedTasks
from clayport.jobs.verdicts import Verdict, for_uncommitted
from clayport.limits.backoff import backoff_s
from clayport.machines.events import GONE
from clayport.model import GANG, Job
from clayport.records.chunk import ASSIGNED_BYTES, TXN_BYTES, Chunk
from clayport.scheduling.requirements import requirements_key

# The number of machines on which a job must have failed to be considered at fault itself.
FAULT_MACHINES = 3
# The most chunks that a transaction of starts may change if the caller sets no limit.
UNLIMITED_CHUNKS = 1_000_000


class ManagedJob(CommittedTasks):
    """The state of a job at its leader.

    All times are seconds on the monotonic clock.

    Args:
        job: The job's description.
        live_rev: The revision of its live record; 0 if there is none.
        size: How many tasks a chunk holds if the keys of the job's chunks do not say.
        now: The present time.
        ended: "cancelled" or "done" if the job has ended, else empty.
        epoch: The number of the epoch under which the job was loaded.
        pause_s: The first pause of a job that is at fault itself.
        max_pause_s: The longest pause of such a job.
        lease_s: The duration of a worker's lease.
    """

    def __init__(
        self,
        job: Job,
        live_rev: int,
        size: int,
        now: float,
        ended: str = "",
        epoch: int = 0,
        pause_s: float = 1.0,
        max_pause_s: float = 60.0,
        lease_s: float = 10.0,
    ) -> None:
        super().__init__(job, size)
        self.name = f"job {job.id} {epoch}"  # the signal that wakes its routine
        self.epoch = epoch
        self.live_rev = live_rev
        self.ended = ended
        self.cleaned_up = False  # ended, and all its tasks and chunks have been removed
        # Whether some of its prerequisites are not known to be done.
        self.blocked = bool(job.prereqs)

        # Reports of owners on assigned tasks, by task number: (state, cause) of a task on its
        # machine, and (attempt, whether done) of an ended task until its outcome is committed.
        self.states: dict[int, tuple[str, str]] = {}
        self.outcomes: dict[int, tuple[int, bool]] = {}
        self.exited_on: dict[int, str] = {}  # exited task: the machine that still lists it
        self.started = False  # whether a task has been reported as running
        self.unreported: set[tuple[int, int]] = set()  # (task, attempt) that the last check found
        self.next_report_check = now

        # Tasks without a machine are those from `cursor` on that are neither assigned nor done,
        # and those in `requeued`. Tasks being placed are in `being_placed` until their starts are
        # committed.
        self.cursor = 0
        self.requeued: deque[int] = deque()
        self.being_placed: set[int] = set()
        self.placed_starts: list[tuple[int, str]] = []  # placed, but not reserved and committed yet
        self.waiting_since = now  # when the job began to wait
        self.not_before = 0.0  # the earliest time of the next placement
        self.next_preempt_at = 0.0  # the earliest time of the next preemption
        self.next_claim_at = 0.0  # the earliest time of the next claim on guaranteed quota
        self.preempted = False
        # By machine: for how many tasks preemption is making room there, and until when.
        self.preempted_room: dict[str, tuple[int, float]] = {}
        self.last_migration_at = now  # when one of its tasks was last migrated
        self._placement_key: tuple[Job, tuple[Any, ...]] | None = None

        self.batch_outcomes_until = 0.0  # until when outcomes are batched
        self.next_stop_at = 0.0  # when tasks are next told to stop
        self.attempt_failed = False  # whether a gang's attempt has failed and is being stopped
        self.lost_machines: set[str] = set()  # machines lost in a gang's current attempt

        self.errors: dict[str, int] = {}  # failures by machine
        self.avoided = AvoidedMachines(job.id, lease_s)  # because of failures
        self.has_completed_task = False
        self.found_at_fault_before = False  # whether it was found at fault under an earlier epoch
        self.failed_retries = 0  # failed retries since it was found at fault
        self.retry_lacks_room = False  # whether a retry is due that found no room anywhere
        self.pause_s, self.max_pause_s = pause_s, max_pause_s

    @property
    def placement_key(self) -> tuple[Any, ...]:
        """A key that is equal for jobs with the same placement requirements.

        If one job finds no room, no other job with an equal key does. A job whose placement
        depends on the zones of its assigned tasks has a key of its own.
        """
        if self._placement_key is None or self._placement_key[0] is not self.job:
            job = self.job
            self._placement_key = (
                job,
                (
                    *requirements_key(job),
                    job.one_zone,
                    job.spread,
                    job.tasks if job.kind == GANG else 0,
                ),
            )
        if self.assigned and (self.job.one_zone or self.job.spread):
            return (self.job.id,)
        return self._placement_key[1]

    def recount(self) -> None:
        """Recompute everything that is derived from the chunks, after these were replaced."""
        super().recount()
        self.has_completed_task = self.has_completed_task or self.done > 0
        self.requeued.clear()
        self.cursor = 0

    # -- tasks without a machine ------------------------------------------

    @property
    def pending(self) -> int:
        """How many tasks wait for a machine.

        A gang has none while tasks of its failed attempt are still assigned.
        """
        if self.ended or self.blocked:
            return 0
        if self.job.kind == GANG and self.assigned and not self.accepts_replacements:
            return 0
        return self.job.tasks - self.done - self.assigned - len(self.being_placed)

    @property
    def accepts_replacements(self) -> bool:
        """Whether this is a gang that has not started yet and may get replacement tasks.

        Replacements run under the current attempt number, so that the other tasks keep their
        fetched images and continue to wait.
        """
        return (
            self.job.kind == GANG
            and not self.attempt_failed
            and not self.done
            and bool(self.assigned)
            and not self.outcomes
            and all(state in ("pulling", "waiting") for state, _ in self.states.values())
        )

    def _is_free(self, number: int) -> bool:
        """Return whether a task is neither assigned, nor done, nor being placed."""
        if number in self.being_placed:
            return False
        chunk = self.chunks.get(number // self.chunk_size)
        return chunk is None or (number not in chunk.assigned and number not in chunk.done)

    def take_pending(self, count: int, limit: int = UNLIMITED_CHUNKS) -> list[int]:
        """Take tasks that wait for a machine, and mark them as being placed.

        The tasks fit one transaction. Without that bound, the requeued tasks of a job with tens
        of thousands of tasks could belong to all its chunks. The transaction would then be too
        large, and would be refused as a whole at every attempt.

        Args:
            count: The most tasks to take.
            limit: The most chunks that the tasks may belong to.
        """
        taken: list[int] = []
        indexes: set[int] = set()
        size = 0

        def take_if_it_fits(number: int) -> bool:
            nonlocal size
            index = number // self.chunk_size
            added = ASSIGNED_BYTES
            if index not in indexes:
                chunk = self.chunks.get(index)
                added += chunk.max_value_bytes(self.chunk_size) if chunk else 0
            if indexes and (
                size + added > TXN_BYTES or (index not in indexes and len(indexes) == limit)
            ):
                return False
            indexes.add(index)
            size += added
            taken.append(number)
            self.being_placed.add(number)
            return True

        for _ in range(len(self.requeued)):
            if len(taken) == count:
                break
            number = self.requeued.popleft()
            if self._is_free(number) and not take_if_it_fits(number):
                self.requeued.append(number)
        while self.cursor < self.job.tasks and len(taken) < count:
            if self._is_free(self.cursor) and not take_if_it_fits(self.cursor):
                break
            self.cursor += 1
        return taken

    def requeue(self, numbers: Iterable[int]) -> None:
        """Requeue tasks that were being placed but were not started."""
        for number in numbers:
            self.being_placed.discard(number)
            self.requeued.append(number)

    # -- events ----------------------------------------------------------

    def handle_event(
        self, machine: str, number: int, attempt: int, state: str, cause: str, now: float
    ) -> Verdict:
        """Update the job by an owner's report on a task.

        Args:
            machine: The machine of the task.
            number: The number of the task.
            attempt: The number of the attempt.
            state: The state of the task there; `GONE` if the machine no longer has the task.
            cause: Why the task is in that state.
            now: The present time.

        Returns:
            What the owner has to do with the task.
        """
        if self.assignment(number) != (attempt, machine):
            if number in self.being_placed:
                return Verdict.LATER  # its start is being committed
            return for_uncommitted(state)
        if number in self.outcomes:
            return Verdict.OK
        if state == GONE or state == "exited":
            started = any(s in ("running", "saving") for s, _ in self.states.values())
            self.outcomes[number] = (attempt, cause == "done")
            if self.job.kind == GANG and cause != "done":
                self.lost_machines.add(machine)
                # If the gang has started, or its other tasks have waited too long, the attempt
                # has failed, and all its tasks have to be stopped before the next attempt.
                if started or cause in ("mates_gone", "alone", "error"):
                    self.attempt_failed = True
            if cause == "error":
                self.states.pop(number, None)
                return self._record_failure(machine, now)
            if cause == "done":
                self.has_completed_task = True
                self.errors.pop(machine, None)
                self.avoided.note_success(machine)
        else:
            self.states[number] = (state, cause)
            self.started = self.started or state == "running"
        return Verdict.OK

    def mark_machines_gone(self, machines: Container[str]) -> bool:
        """Mark as gone the tasks on machines that are confirmed as returned to the cloud.

        Returns:
            Whether there were any such tasks.
        """
        changed = False
        for number, attempt, machine in self.assignments():
            if machine in machines and number not in self.outcomes:
                self.handle_event(machine, number, attempt, GONE, "", 0.0)
                changed = True
        return changed

    def find_unreported(self, now: float, min_interval_s: float) -> set[int]:
        """Return the assigned tasks that no owner has reported on.

        A task is returned only if two consecutive checks find it, because a newly assigned task
        may not have been reported yet.

        Args:
            now: The present time.
            min_interval_s: The shortest time between two checks, in seconds.
        """
        if now < self.next_report_check:
            return set()
        self.next_report_check = now + min_interval_s
        before, self.unreported = (
            self.unreported,
            {
                (number, attempt)
                for number, attempt, _ in self.assignments()
                if number not in self.states and number not in self.outcomes
            },
        )
        return {number for number, _ in self.unreported & before}

    def tasks_to_stop(self) -> list[Assignment]:
        """Return the tasks of a gang's failed attempt, to be stopped before the next attempt."""
        if self.job.kind != GANG or self.ended:
            return []
        if not self.attempt_failed:
            return []
        return [(n, a, m) for n, a, m in self.assignments() if n not in self.outcomes]

    @property
    def running(self) -> int:
        """How many tasks are running, according to their owners."""
        return sum(1 for state, _ in self.states.values() if state == "running")

    # -- failures --------------------------------------------------------

    @property
    def at_fault(self) -> bool:
        """Whether the failures are considered the job's fault, not the machines'.

        Such a job has failed on several machines, has failed more often than it has running
        tasks, and has completed no task.
        """
        return not self.has_completed_task and (
            self.found_at_fault_before
            or (len(self.errors) >= FAULT_MACHINES and sum(self.errors.values()) > self.running)
        )

    def _record_failure(self, machine: str, now: float) -> Verdict:
        """Record a failure on a machine, and back off if the job is at fault.

        A job submitted with a mistake fails on every machine. If the machines were blamed,
        healthy ones would be drained and replaced until the user cancelled the job. The job is
        retried with backoff, because the cause may have been temporary.
        """
        self.errors[machine] = self.errors.get(machine, 0) + 1
        self.avoided.note_failure(machine, now)
        if self.at_fault:
            if now >= self.not_before:
                self.not_before = now + backoff_s(
                    self.pause_s, self.max_pause_s, self.failed_retries
                )
                self.failed_retries += 1
            return Verdict.JOB_AT_FAULT
        if self.has_completed_task or self.running > sum(self.errors.values()):
            return Verdict.MACHINE_AT_FAULT
        return Verdict.OK

    def excluded_machines(self, now: float) -> Collection[str]:
        """Return the machines that the job is not placed on now.

        These are the machines where it failed lately, and those that a gang has lost in its
        current attempt. If the job is at fault itself, it avoids only the machine of its last
        failure.
        """
        avoided = self.avoided.latest_at(now) if self.at_fault else self.avoided.at(now)
        return avoided | self.lost_machines

    # -- commits ---------------------------------------------------------

    def apply_commit(self, chunks: dict[int, Chunk], rev: int) -> None:
        """Replace the chunks that a transaction has changed.

        A gang's failed attempt ends when the last of its tasks is no longer assigned.
        """
        super().apply_commit(chunks, rev)
        if not self.assigned:
            self.attempt_failed = False
            self.lost_machines.clear()

    def clear_outcomes(self, numbers: Iterable[int]) -> list[tuple[int, int]]:
        """Forget committed outcomes, and requeue the tasks that are not done.

        Returns:
            The task and the attempt of each outcome.
        """
        cleared = []
        for number in numbers:
            attempt, _ = self.outcomes.pop(number)
            self.states.pop(number, None)
            cleared.append((number, attempt))
            if self._is_free(number):
                self.requeued.append(number)
        return cleared
