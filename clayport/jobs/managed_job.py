"""The home's side: a job's tasks, what is committed of them, and what comes next.

Pure state: the routines that do the I/O live in `server`.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Collection, Container, Iterable
from typing import Any

from clayport.machines.table import GONE
from clayport.model import ARRAY, GANG, SERVICE, Job, MachineType, fits
from clayport.records.chunk import ASSIGNED_BYTES, TXN_BYTES, Chunk
from clayport.records.keys import EPOCH_KEY, chunk_key, end_key, live_key
from clayport.records.store import Txn
from clayport.records.values import end_value
from clayport.scheduling.placement import shape

# Verdicts on what an owner tells; the last two judge an error.
OK, KILL, CLEAR, LATER, JOB_AT_FAULT, MACHINE_AT_FAULT = range(6)
# Machines on which a job has to have failed before it is taken to be at fault itself.
FAULT_MACHINES = 3


class ManagedJob:
    """A job at its home."""

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
        self.name = f"job {job.id} {epoch}"  # the signal of its routine
        self.epoch = epoch
        self.job, self.live_rev, self.size = job, live_rev, size
        self.first_size = size
        self.ended = ended  # "", "cancelled" or "done"
        self.chunks: dict[int, Chunk] = {}
        # The size in the chunks' keys (0: the first versions' short form), and revisions of
        # the wider chunks that hold the same until all has been moved.
        self.layout = 0
        self.wide: dict[str, int] = {}
        # Not ready: jobs that it names are not known to be done. Until somebody says so.
        self.blocked = bool(job.prereqs)
        self.states: dict[int, tuple[str, str]] = {}
        self.outcomes: dict[int, tuple[int, bool]] = {}  # task: attempt, whether done
        self.where: dict[int, str] = {}  # task that exited: the machine still listing it
        self.starts: list[tuple[int, str]] = []  # placed, to be reserved and committed
        self.placing: set[int] = set()
        self.again: deque[int] = deque()
        self.cursor = 0
        self.attempt = 0
        self.done = 0
        self.assigned = 0
        self.since = now
        self.not_before = 0.0
        self.preempt_at = 0.0
        self.claim_at = 0.0
        self.gather_until = 0.0  # done tasks wait to be committed with others
        self.preempted = False
        self.started = False  # a task of it has been seen running
        self.made: dict[str, tuple[int, float]] = {}  # machine: tasks room is made for, until
        self.moved_at = now
        self.errors: dict[str, int] = {}  # machine: failures of this job there, the latest last
        self.proven = False  # a task of it has completed
        self.suspected = False  # found to be at fault under an earlier epoch
        self.trials = 0  # vain trials since the job was found to be at fault
        self.pause_s, self.pause_most_s = pause_s, pause_most_s
        self.kill_at = 0.0
        self.breaking = False  # a gang that lost a task and is being stopped
        self.left: set[str] = set()  # machines that a gang's present attempt has lost
        self.closed = False
        self.look_at = now
        self._group: tuple[Job, tuple[Any, ...]] | None = None
        self.silent: set[tuple[int, int]] = set()

    def load(self, chunks: dict[int, Chunk]) -> None:
        """Take over what is committed in one layout."""
        self.chunks = chunks
        self.attempt = max([self.attempt, *(c.last_attempt for c in chunks.values())])
        self.recount()

    def load_all(self, found: dict[tuple[int, int], Chunk]) -> None:
        """Take over what is committed, in whichever layouts it is.

        Narrower chunks that are found beside wider ones are drafts of a move that did not
        get to its end: the wider hold the truth, and the move goes on before anything else.
        """
        self.layout, self.size, self.wide = 0, self.first_size, {}
        sizes = sorted({size for size, _ in found}, key=lambda s: s or self.size)
        if not sizes:
            self.load({})
            return
        if len(sizes) == 1:
            self.layout, self.size = sizes[0], sizes[0] or self.size
            self.load({index: c for (_, index), c in found.items()})
            return
        size = sizes[0] or self.size
        merged = {index: c.copy() for (s, index), c in found.items() if s == sizes[0]}
        wide = self.size
        for other in sizes[1:]:
            for (s, index), c in found.items():
                if s == other:
                    span = range(index * (s or wide), (index + 1) * (s or wide))
                    self._overlay(merged, size, c, span)
                    self.wide[chunk_key(self.job.id, index, s)] = c.rev
        self.layout, self.size = sizes[0], size
        self.load(merged)

    @staticmethod
    def _overlay(chunks: dict[int, Chunk], size: int, wide: Chunk, span: range) -> None:
        """Put what a wider chunk says of its tasks into narrower ones.

        At least one of them, even of an empty one: attempt numbers must never fall.
        """
        chunks.setdefault(span.start // size, Chunk())
        for index in range(span.start // size, (span.stop - 1) // size + 1):
            chunk = chunks.get(index)
            if chunk is not None:
                chunk.assigned = {n: a for n, a in chunk.assigned.items() if n not in span}
                chunk.done = {n for n in chunk.done if n not in span}
                chunk.last_attempt = max(chunk.last_attempt, wide.last_attempt)
        for number in (*wide.assigned, *wide.done):
            index = number // size
            if index not in chunks:
                chunks[index] = Chunk()
            chunks[index].last_attempt = max(chunks[index].last_attempt, wide.last_attempt)
            if number in wide.done:
                chunks[index].done.add(number)
            else:
                chunks[index].assigned[number] = wide.assigned[number]

    def narrow(self, size: int) -> bool:
        """Begin to keep the job in chunks of `size` tasks, where its present ones might not
        fit the limits that are to come; whether anything has to be moved.

        In memory at once; the records follow (`move_txn`) before anything else of the job
        is committed.
        """
        if self.size <= size or self.job.tasks <= size:
            return bool(self.wide)
        chunks: dict[int, Chunk] = {}
        for index, chunk in self.chunks.items():
            self._overlay(chunks, size, chunk, range(index * self.size, (index + 1) * self.size))
            if chunk.rev:
                self.wide[chunk_key(self.job.id, index, self.layout)] = chunk.rev
        self.layout = self.size = size
        self.chunks = chunks
        self.recount()
        return bool(self.wide)

    def move_txn(
        self, fence: int, limit: int, moved: set[int]
    ) -> tuple[Txn, dict[int, Chunk], list[str]]:
        """The next step of a move: narrower chunks as long as there are any to write, then
        the wider ones removed. Nothing to do: no writes."""
        txn = Txn().require(EPOCH_KEY, fence)
        chunks: dict[int, Chunk] = {}
        size = 0
        for index, chunk in self.chunks.items():
            if index in moved:
                continue
            size += chunk.most_bytes(self.size)
            if chunks and (len(chunks) == limit or size > TXN_BYTES):
                return txn, chunks, []
            chunks[index] = self._require(txn, index)
            txn.put(self.key(index), chunk.value())
        gone: list[str] = []
        if not chunks:
            for key, rev in list(self.wide.items())[:limit]:
                txn.require(key, rev).delete(key)
                gone.append(key)
        return txn, chunks, gone

    def key(self, index: int) -> str:
        return chunk_key(self.job.id, index, self.layout)

    @property
    def group(self) -> tuple[Any, ...]:
        """Equal for jobs that can use the same room: what one found no room for, none does.
        A job that is bound to where its other tasks are is alone in its group."""
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
        self.done = sum(len(c.done) for c in self.chunks.values())
        self.proven = self.proven or self.done > 0
        self.assigned = sum(len(c.assigned) for c in self.chunks.values())
        self.again.clear()
        self.cursor = 0

    def assignment(self, number: int) -> tuple[int, str] | None:
        chunk = self.chunks.get(number // self.size)
        return chunk.assigned.get(number) if chunk else None

    def assignments(self) -> list[tuple[int, int, str]]:
        """(task, attempt, machine) of everything that may be on a machine."""
        return [(n, a, m) for c in self.chunks.values() for n, (a, m) in c.assigned.items()]

    def _free(self, number: int) -> bool:
        if number in self.placing:
            return False
        chunk = self.chunks.get(number // self.size)
        return chunk is None or (number not in chunk.assigned and number not in chunk.done)

    @property
    def pending(self) -> int:
        """Tasks waiting for a machine; a gang's wait until the last old one is gone."""
        if self.ended or self.blocked:
            return 0
        if self.job.kind == GANG and self.assigned and not self.filling:
            return 0
        return self.job.tasks - self.done - self.assigned - len(self.placing)

    @property
    def filling(self) -> bool:
        """A gang that has not started and lacks tasks: replacements with the same
        attempt number complete it, so nothing has to be fetched or waited for anew."""
        return (
            self.job.kind == GANG
            and not self.breaking
            and not self.done
            and bool(self.assigned)
            and not self.outcomes
            and all(s in ("pulling", "waiting") for s, _ in self.states.values())
        )

    @property
    def running(self) -> int:
        return sum(1 for s, _ in self.states.values() if s == "running")

    def take(self, count: int, limit: int = 1_000_000) -> list[int]:
        """Up to `count` waiting tasks, marked as being placed.

        Of `limit` chunks at most, and as many as one transaction holds: tasks that wait
        again may be scattered over all chunks of a job of tens of thousands, and what is
        too large is refused whole, again and again.
        """
        taken: list[int] = []
        indexes: set[int] = set()
        size = 0

        def holds(number: int) -> bool:
            nonlocal size
            index = number // self.size
            added = ASSIGNED_BYTES
            if index not in indexes:
                chunk = self.chunks.get(index)
                added += chunk.most_bytes(self.size) if chunk else 0
            if indexes and (
                size + added > TXN_BYTES or index not in indexes and len(indexes) == limit
            ):
                return False
            indexes.add(index)
            size += added
            taken.append(number)
            self.placing.add(number)
            return True

        for _ in range(len(self.again)):
            if len(taken) == count:
                break
            number = self.again.popleft()
            if self._free(number) and not holds(number):
                self.again.append(number)
        while self.cursor < self.job.tasks and len(taken) < count:
            if self._free(self.cursor) and not holds(self.cursor):
                break
            self.cursor += 1
        return taken

    def give_back(self, numbers: Iterable[int]) -> None:
        """Tasks that were not started after all wait again."""
        for number in numbers:
            self.placing.discard(number)
            self.again.append(number)

    # -- events ----------------------------------------------------------

    def event(
        self, machine: str, number: int, attempt: int, state: str, cause: str, now: float
    ) -> int:
        """Take note of what an owner tells of a task; the verdict on it."""
        if self.assignment(number) != (attempt, machine):
            if number in self.placing:
                return LATER  # its commit is under way
            if state == GONE:
                return OK
            return CLEAR if state == "exited" else KILL
        if number in self.outcomes:
            return OK
        if state == GONE or state == "exited":
            started = any(s in ("running", "saving") for s, _ in self.states.values())
            self.outcomes[number] = (attempt, cause == "done")
            if self.job.kind == GANG and cause != "done":
                self.left.add(machine)
                # Once it has started, or when the others have waited too long, the
                # attempt is over and all its tasks have to go before the next.
                if started or cause in ("mates_gone", "alone", "error"):
                    self.breaking = True
            if cause == "error":
                self.states.pop(number, None)
                return self._failed(machine, now)
            if cause == "done":
                self.proven = True
                self.errors.pop(machine, None)
        else:
            self.states[number] = (state, cause)
            self.started = self.started or state == "running"
        return OK

    @property
    def at_fault(self) -> bool:
        """Whether it is the job that fails, and not the machines: it has failed on several,
        more often than it runs anywhere, and has completed nothing."""
        return not self.proven and (
            self.suspected
            or len(self.errors) >= FAULT_MACHINES
            and sum(self.errors.values()) > self.running
        )

    def _failed(self, machine: str, now: float) -> int:
        """Back off from a machine, and from everywhere when it is the job that fails.

        A job submitted with a mistake fails on every machine; it had sound ones taken for
        sick, and rented new ones, until its user cancelled it. It is tried again now and
        then, since what failed may have passed.
        """
        self.errors[machine] = self.errors.pop(machine, 0) + 1
        if self.at_fault:
            if now >= self.not_before:
                self.not_before = now + min(self.pause_most_s, self.pause_s * 2.0**self.trials)
                self.trials = min(self.trials + 1, 16)
            return JOB_AT_FAULT
        return MACHINE_AT_FAULT if self.proven or self.running > sum(self.errors.values()) else OK

    def avoided(self) -> Collection[str]:
        """Machines that the job keeps off: where it failed, or, when that was its own fault,
        where it failed last."""
        return set(list(self.errors)[-1:]) if self.at_fault else self.errors

    def removed(self, machines: Container[str]) -> bool:
        """Tasks on machines whose return is confirmed are gone."""
        changed = False
        for number, attempt, machine in self.assignments():
            if machine in machines and number not in self.outcomes:
                self.event(machine, number, attempt, GONE, "", 0.0)
                changed = True
        return changed

    def unheard(self, now: float, patience_s: float) -> set[int]:
        """Assigned tasks of which no owner has told anything since the last look, a while
        ago: what is found twice has been lost sight of."""
        if now < self.look_at:
            return set()
        self.look_at = now + patience_s
        before, self.silent = (
            self.silent,
            {
                (n, a)
                for n, a, _ in self.assignments()
                if n not in self.states and n not in self.outcomes
            },
        )
        return {n for n, _ in self.silent & before}

    def broken(self) -> list[tuple[int, int, str]]:
        """The rest of a gang that has lost a task: to be stopped before the next attempt."""
        if self.job.kind != GANG or self.ended:
            return []
        if not self.breaking:
            return []
        return [(n, a, m) for n, a, m in self.assignments() if n not in self.outcomes]

    # -- transactions ----------------------------------------------------

    def _require(self, txn: Txn, index: int) -> Chunk:
        """The chunk's condition, and a copy to be changed."""
        old = self.chunks.get(index)
        txn.require(self.key(index), old.rev if old else 0)
        return old.copy() if old else Chunk()

    def start_txn(
        self, fence: int, starts: list[tuple[int, str]], attempt: int
    ) -> tuple[Txn, dict[int, Chunk]]:
        """Commit machine and attempt before any launch, unless the job has ended."""
        txn = Txn().require(EPOCH_KEY, fence).require(live_key(self.job.id), self.live_rev)
        chunks: dict[int, Chunk] = {}
        for number, machine in starts:
            index = number // self.size
            if index not in chunks:
                chunks[index] = self._require(txn, index)
            chunks[index].assigned[number] = (attempt, machine)
            chunks[index].last_attempt = attempt
        for index, chunk in chunks.items():
            txn.put(self.key(index), chunk.value())
        return txn, chunks

    def outcome_txn(
        self, fence: int, limit: int, at: float = 0.0
    ) -> tuple[Txn, dict[int, Chunk], list[int], bool]:
        """Commit what ended, chunk by chunk; the last one ends the job in the same step.

        Answers the transaction, the changed chunks, the tasks covered and
        whether the job is done with it.
        """
        txn = Txn().require(EPOCH_KEY, fence)
        chunks: dict[int, Chunk] = {}
        covered: list[int] = []
        finished = size = 0
        for number, (attempt, done) in self.outcomes.items():
            index = number // self.size
            if index not in chunks:
                added = self.chunks[index].most_bytes(self.size) if index in self.chunks else 0
                if chunks and (len(chunks) == limit or size + added > TXN_BYTES):
                    continue
                size += added
                chunks[index] = self._require(txn, index)
            if chunks[index].assigned.get(number, (0, ""))[0] == attempt:
                del chunks[index].assigned[number]
                if done and not self.ended and self.job.kind != SERVICE:
                    chunks[index].done.add(number)
                    finished += 1
            covered.append(number)
        over = not self.ended and self.done + finished == self.job.tasks
        for index, chunk in chunks.items():
            if (self.ended or over) and not chunk.assigned:
                txn.delete(self.key(index))
            else:
                txn.put(self.key(index), chunk.value())
        if over:
            txn.require(live_key(self.job.id), self.live_rev)
            txn.delete(live_key(self.job.id)).put(end_key(self.job.id), end_value("done", at))
        return txn, chunks, covered, over

    def committed(self, chunks: dict[int, Chunk], rev: int) -> None:
        for index, chunk in chunks.items():
            chunk.rev = rev
            self.chunks[index] = chunk
        self.done = sum(len(c.done) for c in self.chunks.values())
        self.assigned = sum(len(c.assigned) for c in self.chunks.values())
        if not self.assigned:
            self.breaking = False
            self.left.clear()

    def covered(self, numbers: Iterable[int]) -> list[tuple[int, int]]:
        """Forget committed outcomes; tasks that are not done wait again."""
        cleared = []
        for number in numbers:
            attempt, _ = self.outcomes.pop(number)
            self.states.pop(number, None)
            cleared.append((number, attempt))
            if self._free(number):
                self.again.append(number)
        return cleared


def amounts(job: Job, count: int) -> tuple[float, float]:
    """What `count` tasks take of their team's limit."""
    return job.cpus * count, job.gpus * count


def counts(limit: tuple[float, float], cpus: float, gpus: float) -> bool:
    """Whether a team's use is counted for such amounts: a limit of 0 is none."""
    return bool(limit[0] > 0 and cpus or limit[1] > 0 and gpus)


def can_be_placed(job: Job, types: Iterable[MachineType]) -> bool:
    """Whether there can be machines for the job: a type that a task fits, in a zone that the
    job allows; for a gang, which needs them all at once, in as many zones as it has to be
    spread over."""
    zones = {
        zone for kind in types if fits(job, kind) for zone in kind.zones if job.zone in (None, zone)
    }
    if job.kind == GANG and job.spread and job.tasks > 1:
        return len(zones) > 1 and not job.one_zone
    return bool(zones)


def can_ever_run(job: Job, limit: tuple[float, float]) -> bool:
    """Whether the team's limit allows the job at all (0: no limit)."""
    cpus, gpus = amounts(job, 1 if job.kind == ARRAY else job.tasks)
    return not (0 < limit[0] < cpus - 1e-6 or 0 < limit[1] < gpus - 1e-6)
