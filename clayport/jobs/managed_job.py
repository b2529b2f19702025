"""A job at its leader, the controller that schedules it: the state of its tasks, and events.

State only, without I/O: `jobs.dispatcher` sends what this decides, and `jobs.transactions` builds
the commits.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Collection, Container, Iterable
from typing import Any

from clayport.jobs.committed_tasks import Assignment, CommittedTasks
from clayport.jobs.verdicts import Verdict, for_uncommitted
from clayport.machines.events import GONE
from clayport.model import GANG, Job
from clayport.records.chunk import ASSIGNED_BYTES, TXN_BYTES, Chunk
from clayport.scheduling.requirements import shape

# Machines on which a job has to have failed before it is taken to be at fault itself.
FAULT_MACHINES = 3
# The exponent beyond which the pause of a job at fault grows no further.
MAX_BACKOFF_EXPONENT = 16
# How many chunks one transaction of starts may change where the caller sets no limit.
UNLIMITED_CHUNKS = 1_000_000


class ManagedJob(CommittedTasks):
    """A job at its leader.

    Args:
        job: The job's description.
        live_rev: The revision of its live record, 0 if that is gone.
        size: How many tasks a chunk holds, where the records do not tell.
        now: The time on the monotonic clock, in seconds, as of all times here.
        ended: Its final state, if it has one: "cancelled" or "done".
        epoch: The number of the epoch under which it was loaded.
        pause_s: The first pause of a job that is at fault itself.
        pause_most_s: The longest one.
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
        pause_most_s: float = 60.0,
    ) -> None:
        super().__init__(job, size)
        self.name = f"job {job.id} {epoch}"  # the signal that wakes its routine
        self.epoch = epoch
        self.live_rev = live_rev
        self.ended = ended
        self.closed = False  # ended, and nothing of it is left to do
        # Whether jobs that it names are not known to be done yet.
        self.blocked = bool(job.prereqs)

        # What owners tell of assigned tasks, by number: (state, cause) while one is on its
        # machine, then (attempt, whether done) until that is committed.
        self.states: dict[int, tuple[str, str]] = {}
        self.outcomes: dict[int, tuple[int, bool]] = {}
        self.exited_on: dict[int, str] = {}  # task that exited: the machine still listing it
        self.started = False  # a task of it has been seen running
        self.unreported: set[tuple[int, int]] = set()  # (task, attempt), as of the last check
        self.next_report_check = now

        # Tasks without a machine: those from `cursor` on that are neither assigned nor done, and
        # those in `requeued`. Chosen ones are in `being_placed` until they are committed.
        self.cursor = 0
        self.requeued: deque[int] = deque()
        self.being_placed: set[int] = set()
        self.starts: list[tuple[int, str]] = []  # placed, to be reserved and committed
        self.waiting_since = now  # when it began to wait
        self.not_before = 0.0  # when it may next be placed
        self.next_preempt_at = 0.0  # when it may next have others preempted
        self.next_claim_at = 0.0  # when it may next look for machines for itself alone
        self.preempted = False
        # Machine: how many tasks room is being made for by preemption, and until when.
        self.preempted_room: dict[str, tuple[int, float]] = {}
        self.last_migration_at = now  # when a task of it was last moved to another machine
        self._group: tuple[Job, tuple[Any, ...]] | None = None

        self.batch_outcomes_until = 0.0  # done tasks wait to be committed with others
        self.next_stop_at = 0.0  # when tasks that are to be stopped are next told so
        self.attempt_failed = False  # a gang that lost a task and is being stopped
        self.lost_machines: set[str] = set()  # machines that a gang's present attempt has lost

        self.errors: dict[str, int] = {}  # machine: failures of this job there, the latest last
        self.has_completed_task = False
        self.suspected = False  # found to be at fault under an earlier epoch
        self.failed_retries = 0  # since the job was found to be at fault
        self.pause_s, self.pause_most_s = pause_s, pause_most_s

    @property
    def group(self) -> tuple[Any, ...]:
        """Equal for jobs that can use the same room: what one found no room for, none does.

        A job that is bound to where its other tasks are is alone in its group.
        """
        if self._group is None or self._group[0] is not self.job:
            job = self.job
            self._group = (
                job,
                (*shape(job), job.one_zone, job.spread, job.tasks if job.kind == GANG else 0),
            )
        if self.assigned and (self.job.one_zone or self.job.spread):
            return (self.job.id,)
        return self._group[1]

    def recount(self) -> None:
        """Derive anew what follows from the chunks, after others were loaded."""
        super().recount()
        self.has_completed_task = self.has_completed_task or self.done > 0
        self.requeued.clear()
        self.cursor = 0

    # -- tasks without a machine ------------------------------------------

    @property
    def pending(self) -> int:
        """How many tasks wait for a machine; a gang's wait until the last old one is gone."""
        if self.ended or self.blocked:
            return 0
        if self.job.kind == GANG and self.assigned and not self.accepts_replacements:
            return 0
        return self.job.tasks - self.done - self.assigned - len(self.being_placed)

    @property
    def accepts_replacements(self) -> bool:
        """Whether this is a gang that has not started and lacks tasks.

        Replacements with the same attempt number complete it, so nothing has to be fetched or
        waited for anew.
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
        """Whether a task is neither assigned nor done, nor about to be assigned."""
        if number in self.being_placed:
            return False
        chunk = self.chunks.get(number // self.chunk_size)
        return chunk is None or (number not in chunk.assigned and number not in chunk.done)

    def take_pending(self, count: int, limit: int = UNLIMITED_CHUNKS) -> list[int]:
        """Take tasks that wait for a machine, and mark them as being placed.

        Of `limit` chunks at most, and as many as one transaction holds: tasks that wait
        again may be scattered over all chunks of a job of tens of thousands, and what is
        too large is refused whole, again and again.

        Args:
            count: The most tasks to take.
            limit: The most chunks that they may belong to.
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
        """Have tasks that were not started after all wait again."""
        for number in numbers:
            self.being_placed.discard(number)
            self.requeued.append(number)

    # -- events ----------------------------------------------------------

    def handle_event(
        self, machine: str, number: int, attempt: int, state: str, cause: str, now: float
    ) -> Verdict:
        """Take note of what an owner tells of a task.

        Args:
            machine: The machine that the task is on.
            number: The task.
            attempt: The attempt.
            state: Its state there; `GONE` if the machine no longer has it.
            cause: Why it is in that state.
            now: The present time.

        Returns:
            What the owner has to do about it.
        """
        if self.assignment(number) != (attempt, machine):
            if number in self.being_placed:
                return Verdict.LATER  # its commit is under way
            return for_uncommitted(state)
        if number in self.outcomes:
            return Verdict.OK
        if state == GONE or state == "exited":
            started = any(s in ("running", "saving") for s, _ in self.states.values())
            self.outcomes[number] = (attempt, cause == "done")
            if self.job.kind == GANG and cause != "done":
                self.lost_machines.add(machine)
                # Once it has started, or when the others have waited too long, the
                # attempt is over and all its tasks have to go before the next.
                if started or cause in ("mates_gone", "alone", "error"):
                    self.attempt_failed = True
            if cause == "error":
                self.states.pop(number, None)
                return self._record_failure(machine, now)
            if cause == "done":
                self.has_completed_task = True
                self.errors.pop(machine, None)
        else:
            self.states[number] = (state, cause)
            self.started = self.started or state == "running"
        return Verdict.OK

    def mark_machines_gone(self, machines: Container[str]) -> bool:
        """Note that tasks on machines whose return is confirmed are gone.

        Returns:
            Whether there were any.
        """
        changed = False
        for number, attempt, machine in self.assignments():
            if machine in machines and number not in self.outcomes:
                self.handle_event(machine, number, attempt, GONE, "", 0.0)
                changed = True
        return changed

    def find_unreported(self, now: float, patience_s: float) -> set[int]:
        """Assigned tasks of which no owner has told anything.

        Only what two checks in a row find counts as lost sight of; one of them may be just about
        to be reported.

        Args:
            now: The present time.
            patience_s: The least time between two checks, in seconds.
        """
        if now < self.next_report_check:
            return set()
        self.next_report_check = now + patience_s
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
        """The rest of a gang that has lost a task: to be stopped before the next attempt."""
        if self.job.kind != GANG or self.ended:
            return []
        if not self.attempt_failed:
            return []
        return [(n, a, m) for n, a, m in self.assignments() if n not in self.outcomes]

    @property
    def running(self) -> int:
        """How many tasks are running, as their owners tell."""
        return sum(1 for state, _ in self.states.values() if state == "running")

    # -- failures --------------------------------------------------------

    @property
    def at_fault(self) -> bool:
        """Whether it is the job that fails, and not the machines.

        It has failed on several, more often than it runs anywhere, and has completed nothing.
        """
        return not self.has_completed_task and (
            self.suspected
            or (len(self.errors) >= FAULT_MACHINES and sum(self.errors.values()) > self.running)
        )

    def _record_failure(self, machine: str, now: float) -> Verdict:
        """Back off from a machine, and from everywhere when it is the job that fails.

        A job submitted with a mistake fails on every machine; it had sound ones taken for
        sick, and rented new ones, until its user cancelled it. It is tried again now and
        then, since what failed may have passed.
        """
        self.errors[machine] = self.errors.pop(machine, 0) + 1
        if self.at_fault:
            if now >= self.not_before:
                pause_s = min(self.pause_most_s, self.pause_s * 2.0**self.failed_retries)
                self.not_before = now + pause_s
                self.failed_retries = min(self.failed_retries + 1, MAX_BACKOFF_EXPONENT)
            return Verdict.JOB_AT_FAULT
        if self.has_completed_task or self.running > sum(self.errors.values()):
            return Verdict.MACHINE_AT_FAULT
        return Verdict.OK

    def avoided(self) -> Collection[str]:
        """Machines that the job keeps off: all on which it failed.

        When that was its own fault, only the one on which it failed last.
        """
        return set(list(self.errors)[-1:]) if self.at_fault else self.errors

    # -- commits ---------------------------------------------------------

    def apply_commit(self, chunks: dict[int, Chunk], rev: int) -> None:
        """Take over the chunks that a transaction has changed, and end a gang's attempt with
        the last of its tasks."""
        super().apply_commit(chunks, rev)
        if not self.assigned:
            self.attempt_failed = False
            self.lost_machines.clear()

    def clear_outcomes(self, numbers: Iterable[int]) -> list[tuple[int, int]]:
        """Forget committed outcomes; tasks that are not done wait again.

        Returns:
            Task and attempt of each.
        """
        cleared = []
        for number in numbers:
            attempt, _ = self.outcomes.pop(number)
            self.states.pop(number, None)
            cleared.append((number, attempt))
            if self._is_free(number):
                self.requeued.append(number)
        return cleared
