"""The home's routines: committing, launching, and what owners tell."""

from __future__ import annotations

import logging
import time
from collections.abc import Container, Iterable, Mapping
from typing import Any

import curio
import msgspec

from clayport.jobs.eligibility import is_metered, quota_usage
from clayport.jobs.lifecycle import JobLifecycle
from clayport.jobs.managed_job import ManagedJob
from clayport.jobs.registry import JobRegistry
from clayport.jobs.transactions import outcome_txn, split_txn, start_txn
from clayport.jobs.verdicts import Verdict, for_uncommitted
from clayport.machines.events import GONE
from clayport.machines.fleet import Fleet
from clayport.machines.routing import Routing
from clayport.machines.table import MachineTable
from clayport.membership.state import MembershipState
from clayport.model import ARRAY, GANG, SERVICE, Job, split_task
from clayport.rebuild.support import RebuildSupport
from clayport.records.chunk import Chunk
from clayport.records.errors import (
    ConflictError,
    OutcomeUnknownError,
    TransactionTooLargeError,
    UnavailableError,
)
from clayport.records.keys import EPOCH_KEY, end_key, live_key, parse_chunk_key, quota_key
from clayport.records.rate_limit import CANCEL_PRIORITY_S, URGENT_PRIORITY_S
from clayport.records.store import StateStore
from clayport.records.transaction import Txn
from clayport.records.upgrade import UpgradeState
from clayport.records.values import end_value, parse_end, parse_quota, truncate_end
from clayport.routines import Routines
from clayport.scheduling.cached_state import CachedState
from clayport.scheduling.queueing import JobQueue
from clayport.scheduling.quotas import TeamQuotas
from clayport.scheduling.view import ClusterView
from clayport.settings import Settings
from clayport.transport import frames
from clayport.transport.peers import Peer, PeerError

log = logging.getLogger(__name__)

# The share of a report's interval for which done tasks wait for others of their array.
GATHER = 0.2


class EpochEndedError(Exception):
    """The epoch has moved on: this routine's work is no longer ours."""


class Dispatcher:
    """Homes of jobs: each job's routine."""

    def __init__(
        self,
        *,
        cached_state: CachedState,
        fleet: Fleet,
        jobs: JobRegistry,
        lifecycle: JobLifecycle,
        machines: MachineTable,
        membership: MembershipState,
        peers: Mapping[str, Peer],
        queue: JobQueue,
        quotas: TeamQuotas,
        rebuild: RebuildSupport,
        routines: Routines,
        routing: Routing,
        settings: Settings,
        store: StateStore,
        upgrade: UpgradeState,
        view: ClusterView,
    ) -> None:
        self.cached_state = cached_state
        self.fleet = fleet
        self.jobs = jobs
        self.lifecycle = lifecycle
        self.machines = machines
        self.membership = membership
        self.peers = peers
        self.queue = queue
        self.quotas = quotas
        self.rebuild = rebuild
        self.routines = routines
        self.routing = routing
        self.settings = settings
        self.store = store
        self.upgrade = upgrade
        self.view = view

    @property
    def start_chunks(self) -> int:
        """Chunks that a transaction of starts may change, beside the quota."""
        ops = self.upgrade.limits.txn_ops
        return max(ops - 4, min(3, ops - 1))

    @property
    def outcome_chunks(self) -> int:
        """The same for outcomes: also the quota, the live and the final record."""
        ops = self.upgrade.limits.txn_ops
        return max(ops - 4, min(2, ops - 3))

    # -- one job ---------------------------------------------------------

    async def drive(self, managed: ManagedJob) -> None:
        """The routine of one job, for as long as this epoch lasts."""
        # A name of this epoch's own: the previous routine of the same job may
        # end later, and must neither take our signals nor remove what we wait for
        # (a cancelled job's kill was once never sent because of that).
        name = managed.name
        epoch = self.membership.epoch
        attempt = self.store.begin()
        try:
            await self._adopt(managed)
            while self.membership.epoch is epoch:
                try:
                    while self.membership.epoch is epoch and await self._step(managed):
                        await self.routines.flush()
                    attempt.served()
                except (UnavailableError, OutcomeUnknownError) as exc:
                    log.debug("job=%s event=waiting cause=%s", managed.job.id, exc)
                    await self.store.back_off(attempt)
                    continue
                except (msgspec.MsgspecError, KeyError, TypeError, ValueError) as exc:
                    # A malformed value of the state service: the job waits, and tries
                    # again, instead of losing its routine for this epoch.
                    log.error("job=%s event=malformed cause=%r", managed.job.id, exc)
                    await curio.sleep(self.routines.jitter(self.membership.lease_ttl_s))
                    continue
                if managed.closed:
                    self.jobs.managed.pop(managed.job.id, None)
                    self.queue.touch(managed.job.id)
                    self.jobs.ended_descriptions.pop(managed.job.id, None)
                    return
                await self.routines.flush()
                patience_s = (
                    self.membership.lease_ttl_s
                    if managed.ended or managed.attempt_failed
                    else 4 * self.membership.lease_ttl_s
                )
                if managed.batch_outcomes_until and managed.outcomes:
                    patience_s = max(0.001, managed.batch_outcomes_until - time.monotonic())
                await self.routines.wait(name, patience_s)
                unheard = managed.find_unreported(time.monotonic(), 4 * self.membership.lease_ttl_s)
                if unheard:
                    # Of what nobody says anything, the owner may have lost track.
                    log.info("job=%s event=unheard tasks=%d", managed.job.id, len(unheard))
                    await self._adopt(managed, unheard)
        except EpochEndedError:
            pass
        finally:
            self.routines.events.pop(name, None)

    async def _step(self, managed: ManagedJob) -> bool:
        """One thing that is due; False when nothing is. The line of what waits catches up
        with whatever it changed."""
        try:
            return await self._due(managed)
        finally:
            if self.jobs.managed.get(managed.job.id) is managed:
                self.queue.touch(managed.job.id)

    async def _due(self, managed: ManagedJob) -> bool:
        if (
            self.upgrade.complete
            and managed.split_chunks(self.upgrade.chunk_size)
            or managed.wider_chunks
        ):
            await self._move(managed)
            return True
        if not managed.ended and managed.job.id in self.jobs.dependencies.to_cancel:
            await self._cancel(managed)
            return True
        if managed.starts:
            starts, managed.starts = managed.starts, []
            try:
                await self._start(managed, starts)
            finally:
                for number, _ in starts:
                    self.cached_state.inflight.pop((managed.job.id, number), None)
                managed.requeue([n for n, _ in starts if n in managed.being_placed])
                self.cached_state.stale.update(dict.fromkeys(machine for _, machine in starts))
            self.routines.signal("place")
            return True
        now = time.monotonic()
        if managed.outcomes and not self._gathers(managed, now):
            await self._commit_outcomes(managed)
            return True
        if now >= managed.next_stop_at:
            if managed.ended:
                left, grace = managed.assignments(), 0.0
            else:
                left, grace = (
                    managed.tasks_to_stop(),
                    managed.job.save_s if managed.job.checkpoint_s else 0.0,
                )
            if left:
                managed.next_stop_at = now + self.membership.lease_ttl_s
                await self._stop(
                    managed, [(m, f"{managed.job.id}/{n}", a, grace, False) for n, a, m in left]
                )
        if managed.ended and not managed.assigned:
            await self._tidy(managed)
            managed.closed = True
        return False

    def _gathers(self, managed: ManagedJob, now: float) -> bool:
        """Whether what ended may wait a moment for more to be committed with it.

        Tasks of an array end one by one: each had a commit of its own, and a request to its
        machine's owner. Only where nobody waits for it: the job goes on in any case, all of
        it is done, and no quota is given back. (Room is free as soon as a task has exited.)
        """
        job = managed.job
        if (
            managed.ended
            or job.kind != ARRAY
            or any(self.quotas.limits.get(job.team, (0.0, 0.0)))
            or managed.done + len(managed.outcomes) >= job.tasks
            or not all(done for _, done in managed.outcomes.values())
        ):
            return False
        if not managed.batch_outcomes_until:
            managed.batch_outcomes_until = now + self.settings.cluster.workers.report_s * GATHER
        return now < managed.batch_outcomes_until

    async def _move(self, managed: ManagedJob) -> None:
        """Write the job's narrower chunks, then remove the wider ones they come from.

        Nothing else of the job is committed meanwhile, so that after an end in the middle
        the wider ones still hold all of it. (Tasks found under the wrong key would be
        started again while they run.)
        """
        fence = self._fence(managed)
        moved: set[int] = set()
        log.info(
            "job=%s generation=%d event=narrow chunks=%d size=%d",
            managed.job.id,
            managed.epoch,
            len(managed.chunks),
            managed.chunk_size,
        )
        while managed.wider_chunks:
            txn, chunks, gone = split_txn(managed, fence, self.upgrade.limits.txn_ops, moved)
            try:
                rev = await self._settle(txn, fence)
            except ConflictError as exc:
                await self._conflict(managed, exc, fence)
                return
            managed.apply_commit(chunks, rev)
            moved.update(chunks)
            for key in gone:
                del managed.wider_chunks[key]

    async def _cancel(self, managed: ManagedJob) -> None:
        """A job that this one needs was cancelled, and so is this one.

        From the records alone, by whichever controller is its home: the one that told the
        user may be gone. No task of it has ever started.
        """
        job = managed.job.id
        entry = await self.store.get(live_key(job))
        if entry is None:
            await self.learn_end(job)
            if not managed.ended:
                raise UnavailableError("the record is just changing")
            return
        txn = Txn().require(live_key(job), entry.rev).delete(live_key(job))
        txn.put(
            end_key(job),
            truncate_end(
                end_value("cancelled", time.time(), entry.value["j"]), self.upgrade.limits.value_kb
            ),
        )
        try:
            rev = await self._settle(txn, self._fence(managed), CANCEL_PRIORITY_S)
        except ConflictError:
            return
        log.info("job=%s generation=%d event=cancelled cause=prereq", job, managed.epoch)
        self.lifecycle.note_end(job, "cancelled", time.time(), rev)

    def _fence(self, managed: ManagedJob) -> int:
        """The condition of the job's commits: the epoch that it was loaded under.

        Not whichever holds now. The routine of the epoch before, delayed by a peer
        that had crashed, once went on under the next one beside its successor; both used
        the same attempt number, and tasks ran twice.
        """
        if not self.membership.serving or self.membership.epoch.number != managed.epoch:
            raise EpochEndedError
        return self.membership.epoch.rev

    async def _settle(self, txn: Txn, fence: int, priority_s: float = 0.0) -> int:
        """Commit until the outcome is certain; ConflictError, or UnavailableError if never sent.

        An unanswered transaction may still be applied: it is sent again until
        an answer tells, since either copy makes the other fail. One that has become too
        large meanwhile will never tell: what holds now has to be read.
        """
        unsure = False
        attempt = self.store.begin()
        while True:
            if self.membership.epoch.rev != fence:
                raise EpochEndedError
            try:
                return await self.store.commit(txn, priority_s=priority_s)
            except OutcomeUnknownError:
                unsure = True
            except TransactionTooLargeError:
                if unsure:
                    raise ConflictError([k for k in txn.when if k != EPOCH_KEY]) from None
                raise
            except UnavailableError:
                if not unsure:
                    raise
            await self.store.back_off(attempt)

    async def _start(self, managed: ManagedJob, starts: list[tuple[int, str]]) -> None:
        job = managed.job
        fence = self._fence(managed)
        epoch = self.membership.epoch
        if await self._charge(job, 1 if job.kind != GANG else len(starts)) is None:
            return
        if not managed.accepts_replacements:
            managed.attempt += 1
        attempt = managed.attempt
        granted = await self._reserve(managed, starts, attempt)
        if self.membership.epoch is not epoch:
            raise EpochEndedError
        declined = [s for s in starts if s not in granted]
        self.cached_state.adaptive_interval.count(len(granted), len(declined))
        for _, machine in declined:
            # Not tried again before the cached state of it is renewed.
            room = self.view.rooms.get(machine)
            if room is not None and room.owner != self.membership.label:
                room.close()
        if declined:
            self.routines.signal("starved")
            self.cached_state.starved = True
        release = [(m, f"{job.id}/{n}", attempt, 0.0, False) for n, m in granted]
        if not granted or managed.ended or (job.kind == GANG and declined):
            await self._stop(managed, release)
            return
        try:
            quota = await self._charge(job, len(granted))
        except UnavailableError:
            await self._stop(managed, release)
            raise
        if quota is None:
            await self._stop(managed, release)
            return
        txn, chunks = start_txn(managed, fence, granted, attempt)
        for key, (value, rev) in quota.items():
            txn.require(key, rev).put(key, value)
        try:
            rev = await self._settle(txn, fence, URGENT_PRIORITY_S if job.kind == SERVICE else 0.0)
        except ConflictError as exc:
            await self._stop(managed, release)
            await self._conflict(managed, exc, fence)
            return
        except UnavailableError:
            await self._stop(managed, release)
            raise
        managed.apply_commit(chunks, rev)
        self._charged(quota, rev)
        for number, _ in granted:
            managed.being_placed.discard(number)
        await self._launch(managed, [(m, f"{job.id}/{n}", attempt) for n, m in granted], fence)

    async def _reserve(
        self, managed: ManagedJob, starts: list[tuple[int, str]], attempt: int
    ) -> list[tuple[int, str]]:
        """Ask the machines' owners; what they refuse is declined."""
        granted: list[tuple[int, str]] = []
        task = managed.job.id
        for owner, items in self._by_owner((m, n) for n, m in starts).items():
            if self.membership.epoch.number != managed.epoch:
                raise EpochEndedError
            if owner == self.membership.label:
                flags = self.machines.reserve(managed.job, items, attempt, time.monotonic())
            else:
                try:
                    ok, rows = await self.peers[owner].call(
                        frames.RESERVE, (self.membership.epoch.number, task, attempt, items)
                    )
                    flags = [f for (f,) in rows] if ok else [False] * len(items)
                except (PeerError, KeyError):
                    flags = [False] * len(items)
            granted += [(n, m) for (m, n), flag in zip(items, flags) if flag]
        return granted

    def _by_owner(self, items: Iterable[tuple[Any, ...]]) -> dict[str, list[tuple[Any, ...]]]:
        found: dict[str, list[tuple[Any, ...]]] = {}
        for item in items:
            found.setdefault(self.membership.epoch.member_for(item[0]), []).append(item)
        return found

    async def _charge(self, job: Job, count: int) -> dict[str, tuple[dict[str, float], int]] | None:
        """The quota's change for `count` tasks (negative: released); None: not allowed.

        The quota is changed by the very transaction that assigns or ends the
        tasks, so it can't drift from what they take.
        """
        limit = self.quotas.limits.get(job.team, (0.0, 0.0))
        cpus, gpus = quota_usage(job, count)
        if not is_metered(limit, cpus, gpus):
            return {}
        key = quota_key(job.team)
        entry = await self.store.get(key)
        used = parse_quota(entry.value if entry else None)
        rev = entry.rev if entry else 0
        self.jobs.quota_usage[job.team] = (used, rev, time.monotonic())
        after = (round(used[0] + cpus, 6), round(used[1] + gpus, 6))
        if count > 0 and ((0 < limit[0] < after[0] - 1e-6) or (0 < limit[1] < after[1] - 1e-6)):
            return None
        return {key: ({"c": max(0.0, after[0]), "g": max(0.0, after[1])}, rev)}

    def _charged(self, quota: dict[str, tuple[dict[str, float], int]], rev: int) -> None:
        for key, (value, _) in quota.items():
            self.jobs.quota_usage[key.partition("/")[2]] = (
                parse_quota(value),
                rev,
                time.monotonic(),
            )

    async def _launch(
        self, managed: ManagedJob, items: list[tuple[str, str, int]], fence: int
    ) -> None:
        """Hand committed starts to the owners, until each has said yes or no."""
        log.info(
            "job=%s generation=%d event=launch tasks=%d attempt=%d",
            managed.job.id,
            self.membership.epoch.number,
            len(items),
            items[0][2],
        )
        for owner, part in self._by_owner(items).items():
            waiting = part
            attempt = self.routing.start_attempt(owner)
            while waiting:
                if self.membership.epoch.rev != fence:
                    raise EpochEndedError
                if managed.ended:
                    # Cancelled between the commit and here: judged by reports,
                    # and never launched.
                    await self._adopt(managed)
                    return
                if owner == self.membership.label:
                    answers = self.machines.launch(waiting)
                    for machine in dict.fromkeys(i[0] for i in waiting):
                        self.fleet.poke(machine)
                else:
                    try:
                        ok, rows = await self.peers[owner].call(
                            frames.LAUNCH, (self.membership.epoch.number, waiting)
                        )
                        if not ok:
                            raise PeerError("not the owner")
                        answers = [v for (v,) in rows]
                    except (PeerError, KeyError):
                        await self.routing.back_off(owner, attempt)
                        waiting = [i for i in waiting if self._unsettled(managed, i)]
                        continue
                for (machine, task, attempt), answer in zip(waiting, answers):
                    number = split_task(task)[1]
                    if not answer and managed.assignment(number) == (attempt, machine):
                        # No reservation: it was not launched and never will be.
                        managed.handle_event(machine, number, attempt, GONE, "", time.monotonic())
                break

    @staticmethod
    def _unsettled(managed: ManagedJob, item: tuple[str, str, int]) -> bool:
        number = split_task(item[1])[1]
        return (
            managed.assignment(number) == (item[2], item[0])
            and number not in managed.outcomes
            and number not in managed.states
        )

    async def _stop(
        self, managed: ManagedJob, items: list[tuple[str, str, int, float, bool]]
    ) -> None:
        """Kill or clear through the owners. What gets lost is asked again, or expires."""
        for owner, part in self._by_owner(items).items():
            if self.membership.epoch.number != managed.epoch:
                return  # its successor may mean something else by the same attempt
            if owner == self.membership.label:
                self.machines.stop(part)
                for machine in dict.fromkeys(i[0] for i in part):
                    self.fleet.poke(machine)
                continue
            try:
                await self.peers[owner].call(frames.STOP, (self.membership.epoch.number, part))
            except (PeerError, KeyError):
                pass

    async def _adopt(self, managed: ManagedJob, only: Container[int] | None = None) -> None:
        """Have committed assignments judged by their owners' reports."""
        epoch = self.membership.epoch
        if epoch.number != managed.epoch:
            raise EpochEndedError
        for owner, part in self._by_owner(
            (m, f"{managed.job.id}/{n}", a)
            for n, a, m in managed.assignments()
            if only is None or n in only
        ).items():
            attempt = self.routing.start_attempt(owner)
            while True:
                if self.membership.epoch is not epoch:
                    raise EpochEndedError
                if owner == self.membership.label:
                    self.machines.adopt(part, time.monotonic())
                    break
                try:
                    if (await self.peers[owner].call(frames.ADOPT, (epoch.number, part)))[0]:
                        break
                except (PeerError, KeyError):
                    pass
                await self.routing.back_off(owner, attempt)
        await self.routines.flush()

    async def _commit_outcomes(self, managed: ManagedJob) -> None:
        managed.batch_outcomes_until = 0.0
        fence = self._fence(managed)
        at = time.time()
        txn, chunks, covered, over = outcome_txn(managed, fence, self.outcome_chunks, at)
        count = sum(1 for n in covered if managed.assignment(n) is not None)
        quota = await self._charge(managed.job, -count) or {}
        for key, (value, rev) in quota.items():
            txn.require(key, rev).put(key, value)
        if txn.writes:
            try:
                rev = await self._settle(txn, fence)
            except ConflictError as exc:
                await self._conflict(managed, exc, fence)
                return
            managed.apply_commit(chunks, rev)
            self._charged(quota, rev)
            dropped = {w["remove"] for w in txn.writes if "remove" in w}
            for index in [i for i in chunks if managed.key(i) in dropped]:
                del managed.chunks[index]
        where = {n: managed.exited_on.pop(n, "") for n in covered}
        cleared = managed.clear_outcomes(covered)
        if over:
            managed.ended = "done"
            self.lifecycle.note_end(managed.job.id, "done", at)
            log.info(
                "job=%s generation=%d event=done", managed.job.id, self.membership.epoch.number
            )
        await self._stop(
            managed,
            [(where[n], f"{managed.job.id}/{n}", a, 0.0, True) for n, a in cleared if where[n]],
        )
        self.routines.signal("place")

    async def _conflict(self, managed: ManagedJob, exc: ConflictError, fence: int) -> None:
        """Somebody else changed something: read what holds now."""
        log.info("job=%s event=conflict keys=%s", managed.job.id, exc.failed)
        if EPOCH_KEY in exc.failed:
            self.membership.request_rescan()
            await curio.sleep(self.routines.jitter(self.membership.lease_ttl_s / 12))
            return
        if live_key(managed.job.id) in exc.failed and not managed.ended:
            await self.learn_end(managed.job.id)
        ours = [k for k in exc.failed if k.startswith(f"run/{managed.job.id}/")]
        if ours:
            entries, _ = await self.store.scan(f"run/{managed.job.id}/")
            if self.membership.epoch.rev != fence:
                raise EpochEndedError
            revs = {e.key: e.rev for e in entries}
            # Nobody but this routine writes them, or removes them while the job is live.
            if (
                not managed.ended
                and any(revs.get(managed.key(i), 0) < c.rev for i, c in managed.chunks.items())
                and self.rebuild.suspect(f"records of {managed.job.id} have gone back")
            ):
                return
            managed.load_all(
                {parse_chunk_key(e.key)[1:]: Chunk.parse(e.value, e.rev) for e in entries}
            )
            managed.outcomes = {
                n: o
                for n, o in managed.outcomes.items()
                if (managed.assignment(n) or (0, ""))[0] == o[0]
            }
            await self._adopt(managed)

    async def learn_end(self, job: str) -> None:
        """The live record is gone: find out how the job ended."""
        entry = await self.store.get(end_key(job))
        if entry is not None:
            self.lifecycle.note_end(job, *parse_end(entry.value), entry.rev)

    async def _tidy(self, managed: ManagedJob) -> None:
        """Remove what is left of an ended job's records."""
        left = sorted(managed.chunks.items())
        left = [(i, c) for i, c in left if c.rev]
        most = max(1, self.upgrade.limits.txn_ops - 2)
        while left:
            part, left = left[:most], left[most:]
            txn = Txn().require(EPOCH_KEY, self._fence(managed))
            for index, _ in part:
                txn.delete(managed.key(index))
            try:
                await self._settle(txn, self.membership.epoch.rev)
            except ConflictError:
                return

    # -- what owners tell ------------------------------------------------

    def told(self, events: Iterable[tuple[str, str, int, str, str, bool]]) -> list[Verdict]:
        """Judge an owner's events."""
        verdicts = []
        now = time.monotonic()
        for machine, task, attempt, state, cause, _ in events:
            try:
                job, number = split_task(task)
            except ValueError:
                verdicts.append(Verdict.CLEAR if state == "exited" else Verdict.KILL)
                continue
            managed = self.jobs.managed.get(job)
            if managed is None:
                if job in self.jobs.live:
                    verdict = Verdict.LATER  # its routine is just being started
                else:
                    verdict = for_uncommitted(state)
            else:
                started = managed.started
                verdict = managed.handle_event(machine, number, attempt, state, cause, now)
                if managed.started != started:
                    self.queue.touch(job)
                if number in managed.outcomes:
                    managed.exited_on[number] = machine if state == "exited" else ""
                    self.routines.signal(managed.name)
            verdicts.append(verdict)
        return verdicts

    def counts(self, job: str) -> tuple[int, int] | None:
        managed = self.jobs.managed.get(job)
        if managed is None:
            return None
        return (0 if managed.job.kind == SERVICE else managed.done), managed.running
