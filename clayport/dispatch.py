"""The home's routines: committing, launching, and what owners tell."""

from __future__ import annotations

import logging
import time
from collections.abc import Container, Iterable
from typing import TYPE_CHECKING, Any

import curio
import msgspec

from . import peerwire
from .jobs import (
    CLEAR,
    EPOCH_KEY,
    KILL,
    LATER,
    OK,
    HomeJob,
    amounts,
    counts,
    end_key,
    end_value,
    ended,
    fitted,
    live_key,
    parse_chunk_key,
    quota_key,
    quota_of,
)
from .model import ARRAY, GANG, SERVICE, Chunk, Job, split_task
from .peers import PeerError
from .statestore import (
    CANCEL_S,
    URGENT_S,
    ConflictError,
    OutcomeUnknownError,
    TransactionTooLargeError,
    Txn,
    UnavailableError,
)
from .workers import GONE

if TYPE_CHECKING:
    from .server import Controller

log = logging.getLogger("clayport.dispatch")

# The share of a report's interval for which done tasks wait for others of their array.
GATHER = 0.2


class EpochEndedError(Exception):
    """The epoch has moved on: this routine's work is no longer ours."""


class Dispatch:
    """Homes of jobs: each job's routine."""

    def __init__(self, core: Controller) -> None:
        self.core = core
        self.homes: dict[str, HomeJob] = {}
        # A team's use as last read: (cpus, gpus), revision, when.
        self.quotas: dict[str, tuple[tuple[float, float], int, float]] = {}

    @property
    def start_chunks(self) -> int:
        """Chunks that a transaction of starts may change, beside the quota."""
        ops = self.core.bounds.txn_ops
        return max(ops - 4, min(3, ops - 1))

    @property
    def outcome_chunks(self) -> int:
        """The same for outcomes: also the quota, the live and the final record."""
        ops = self.core.bounds.txn_ops
        return max(ops - 4, min(2, ops - 3))

    # -- one job ---------------------------------------------------------

    async def drive(self, hj: HomeJob) -> None:
        """The routine of one job, for as long as this epoch lasts."""
        core = self.core
        # A name of this epoch's own: the previous routine of the same job may
        # end later, and must neither take our signals nor remove what we wait for
        # (a cancelled job's kill was once never sent because of that).
        name = hj.name
        epoch = core.epoch
        attempt = core.store.begin()
        try:
            await self._adopt(hj)
            while core.epoch is epoch:
                try:
                    while core.epoch is epoch and await self._step(hj):
                        await core.flush()
                    attempt.served()
                except (UnavailableError, OutcomeUnknownError) as exc:
                    log.debug("job=%s event=waiting cause=%s", hj.job.id, exc)
                    await core.store.rest(attempt)
                    continue
                except (msgspec.MsgspecError, KeyError, TypeError, ValueError) as exc:
                    # A malformed value of the state service: the job waits, and tries
                    # again, instead of losing its routine for this epoch.
                    log.error("job=%s event=malformed cause=%r", hj.job.id, exc)
                    await curio.sleep(core.jitter(core.ttl_s))
                    continue
                if hj.closed:
                    self.homes.pop(hj.job.id, None)
                    core.placer.line.touch(hj.job.id)
                    core.descs.pop(hj.job.id, None)
                    return
                await core.flush()
                patience_s = core.ttl_s if hj.ended or hj.breaking else 4 * core.ttl_s
                if hj.gather_until and hj.outcomes:
                    patience_s = max(0.001, hj.gather_until - time.monotonic())
                await core.wait(name, patience_s)
                unheard = hj.unheard(time.monotonic(), 4 * core.ttl_s)
                if unheard:
                    # Of what nobody says anything, the owner may have lost track.
                    log.info("job=%s event=unheard tasks=%d", hj.job.id, len(unheard))
                    await self._adopt(hj, unheard)
        except EpochEndedError:
            pass
        finally:
            core.events.pop(name, None)

    async def _step(self, hj: HomeJob) -> bool:
        """One thing that is due; False when nothing is. The line of what waits catches up
        with whatever it changed."""
        try:
            return await self._due(hj)
        finally:
            if self.homes.get(hj.job.id) is hj:
                self.core.placer.line.touch(hj.job.id)

    async def _due(self, hj: HomeJob) -> bool:
        core = self.core
        if core.upgraded and hj.narrow(core.narrow_size) or hj.wide:
            await self._move(hj)
            return True
        if not hj.ended and hj.job.id in core.pipes.doomed:
            await self._cancel(hj)
            return True
        if hj.starts:
            starts, hj.starts = hj.starts, []
            try:
                await self._start(hj, starts)
            finally:
                for number, _ in starts:
                    self.core.picture.inflight.pop((hj.job.id, number), None)
                hj.give_back([n for n, _ in starts if n in hj.placing])
                self.core.picture.stale.update(dict.fromkeys(machine for _, machine in starts))
            self.core.signal("place")
            return True
        now = time.monotonic()
        if hj.outcomes and not self._gathers(hj, now):
            await self._commit_outcomes(hj)
            return True
        if now >= hj.kill_at:
            if hj.ended:
                left, grace = hj.assignments(), 0.0
            else:
                left, grace = hj.broken(), hj.job.save_s if hj.job.checkpoint_s else 0.0
            if left:
                hj.kill_at = now + self.core.ttl_s
                await self._stop(hj, [(m, f"{hj.job.id}/{n}", a, grace, False) for n, a, m in left])
        if hj.ended and not hj.assigned:
            await self._tidy(hj)
            hj.closed = True
        return False

    def _gathers(self, hj: HomeJob, now: float) -> bool:
        """Whether what ended may wait a moment for more to be committed with it.

        Tasks of an array end one by one: each had a commit of its own, and a request to its
        machine's owner. Only where nobody waits for it: the job goes on in any case, all of
        it is done, and no quota is given back. (Room is free as soon as a task has exited.)
        """
        job = hj.job
        if (
            hj.ended
            or job.kind != ARRAY
            or any(self.core.limits.get(job.team, (0.0, 0.0)))
            or hj.done + len(hj.outcomes) >= job.tasks
            or not all(done for _, done in hj.outcomes.values())
        ):
            return False
        if not hj.gather_until:
            hj.gather_until = now + self.core.settings.cluster.workers.report_s * GATHER
        return now < hj.gather_until

    async def _move(self, hj: HomeJob) -> None:
        """Write the job's narrower chunks, then remove the wider ones they come from.

        Nothing else of the job is committed meanwhile, so that after an end in the middle
        the wider ones still hold all of it. (Tasks found under the wrong key would be
        started again while they run.)
        """
        fence = self._fence(hj)
        moved: set[int] = set()
        log.info(
            "job=%s generation=%d event=narrow chunks=%d size=%d",
            hj.job.id,
            hj.epoch,
            len(hj.chunks),
            hj.size,
        )
        while hj.wide:
            txn, chunks, gone = hj.move_txn(fence, self.core.bounds.txn_ops, moved)
            try:
                rev = await self._settle(txn, fence)
            except ConflictError as exc:
                await self._conflict(hj, exc, fence)
                return
            hj.committed(chunks, rev)
            moved.update(chunks)
            for key in gone:
                del hj.wide[key]

    async def _cancel(self, hj: HomeJob) -> None:
        """A job that this one needs was cancelled, and so is this one.

        From the records alone, by whichever controller is its home: the one that told the
        user may be gone. No task of it has ever started.
        """
        core, job = self.core, hj.job.id
        entry = await core.store.get(live_key(job))
        if entry is None:
            await self.learn_end(job)
            if not hj.ended:
                raise UnavailableError("the record is just changing")
            return
        txn = Txn().require(live_key(job), entry.rev).delete(live_key(job))
        txn.put(
            end_key(job),
            fitted(end_value("cancelled", time.time(), entry.value["j"]), core.bounds.value_kb),
        )
        try:
            rev = await self._settle(txn, self._fence(hj), CANCEL_S)
        except ConflictError:
            return
        log.info("job=%s generation=%d event=cancelled cause=prereq", job, hj.epoch)
        core.mirror.note_end(job, "cancelled", time.time(), rev)

    def _fence(self, hj: HomeJob) -> int:
        """The condition of the job's commits: the epoch that it was loaded under.

        Not whichever holds now. The routine of the epoch before, delayed by a peer
        that had crashed, once went on under the next one beside its successor; both used
        the same attempt number, and tasks ran twice.
        """
        if not self.core.serving or self.core.epoch.number != hj.epoch:
            raise EpochEndedError
        return self.core.epoch.rev

    async def _settle(self, txn: Txn, fence: int, ahead_s: float = 0.0) -> int:
        """Commit until the outcome is certain; ConflictError, or UnavailableError if never sent.

        An unanswered transaction may still be applied: it is sent again until
        an answer tells, since either copy makes the other fail. One that has become too
        large meanwhile will never tell: what holds now has to be read.
        """
        unsure = False
        attempt = self.core.store.begin()
        while True:
            if self.core.epoch.rev != fence:
                raise EpochEndedError
            try:
                return await self.core.store.commit(txn, ahead_s=ahead_s)
            except OutcomeUnknownError:
                unsure = True
            except TransactionTooLargeError:
                if unsure:
                    raise ConflictError([k for k in txn.when if k != EPOCH_KEY]) from None
                raise
            except UnavailableError:
                if not unsure:
                    raise
            await self.core.store.rest(attempt)

    async def _start(self, hj: HomeJob, starts: list[tuple[int, str]]) -> None:
        core, job = self.core, hj.job
        fence = self._fence(hj)
        epoch = core.epoch
        if await self._charge(job, 1 if job.kind != GANG else len(starts)) is None:
            return
        if not hj.filling:
            hj.attempt += 1
        attempt = hj.attempt
        granted = await self._reserve(hj, starts, attempt)
        if core.epoch is not epoch:
            raise EpochEndedError
        declined = [s for s in starts if s not in granted]
        self.core.picture.asc.count(len(granted), len(declined))
        for _, machine in declined:
            # Not tried again before the picture of it is renewed.
            room = core.rooms.get(machine)
            if room is not None and room.owner != core.label:
                room.close()
        if declined:
            core.signal("starved")
            self.core.picture.starved = True
        release = [(m, f"{job.id}/{n}", attempt, 0.0, False) for n, m in granted]
        if not granted or hj.ended or (job.kind == GANG and declined):
            await self._stop(hj, release)
            return
        try:
            quota = await self._charge(job, len(granted))
        except UnavailableError:
            await self._stop(hj, release)
            raise
        if quota is None:
            await self._stop(hj, release)
            return
        txn, chunks = hj.start_txn(fence, granted, attempt)
        for key, (value, rev) in quota.items():
            txn.require(key, rev).put(key, value)
        try:
            rev = await self._settle(txn, fence, URGENT_S if job.kind == SERVICE else 0.0)
        except ConflictError as exc:
            await self._stop(hj, release)
            await self._conflict(hj, exc, fence)
            return
        except UnavailableError:
            await self._stop(hj, release)
            raise
        hj.committed(chunks, rev)
        self._charged(quota, rev)
        for number, _ in granted:
            hj.placing.discard(number)
        await self._launch(hj, [(m, f"{job.id}/{n}", attempt) for n, m in granted], fence)

    async def _reserve(
        self, hj: HomeJob, starts: list[tuple[int, str]], attempt: int
    ) -> list[tuple[int, str]]:
        """Ask the machines' owners; what they refuse is declined."""
        core = self.core
        granted: list[tuple[int, str]] = []
        task = hj.job.id
        for owner, items in self._by_owner((m, n) for n, m in starts).items():
            if core.epoch.number != hj.epoch:
                raise EpochEndedError
            if owner == core.label:
                flags = core.owner.reserve(hj.job, items, attempt, time.monotonic())
            else:
                try:
                    ok, rows = await core.peers[owner].call(
                        peerwire.RESERVE, (core.epoch.number, task, attempt, items)
                    )
                    flags = [f for (f,) in rows] if ok else [False] * len(items)
                except (PeerError, KeyError):
                    flags = [False] * len(items)
            granted += [(n, m) for (m, n), flag in zip(items, flags) if flag]
        return granted

    def _by_owner(self, items: Iterable[tuple[Any, ...]]) -> dict[str, list[tuple[Any, ...]]]:
        found: dict[str, list[tuple[Any, ...]]] = {}
        for item in items:
            found.setdefault(self.core.epoch.place(item[0]), []).append(item)
        return found

    async def _charge(self, job: Job, count: int) -> dict[str, tuple[dict[str, float], int]] | None:
        """The quota's change for `count` tasks (negative: released); None: not allowed.

        The quota is changed by the very transaction that assigns or ends the
        tasks, so it can't drift from what they take.
        """
        limit = self.core.limits.get(job.team, (0.0, 0.0))
        cpus, gpus = amounts(job, count)
        if not counts(limit, cpus, gpus):
            return {}
        key = quota_key(job.team)
        entry = await self.core.store.get(key)
        used = quota_of(entry.value if entry else None)
        rev = entry.rev if entry else 0
        self.quotas[job.team] = (used, rev, time.monotonic())
        after = (round(used[0] + cpus, 6), round(used[1] + gpus, 6))
        if count > 0 and ((0 < limit[0] < after[0] - 1e-6) or (0 < limit[1] < after[1] - 1e-6)):
            return None
        return {key: ({"c": max(0.0, after[0]), "g": max(0.0, after[1])}, rev)}

    def _charged(self, quota: dict[str, tuple[dict[str, float], int]], rev: int) -> None:
        for key, (value, _) in quota.items():
            self.quotas[key.partition("/")[2]] = (quota_of(value), rev, time.monotonic())

    async def _launch(self, hj: HomeJob, items: list[tuple[str, str, int]], fence: int) -> None:
        """Hand committed starts to the owners, until each has said yes or no."""
        core = self.core
        log.info(
            "job=%s generation=%d event=launch tasks=%d attempt=%d",
            hj.job.id,
            core.epoch.number,
            len(items),
            items[0][2],
        )
        for owner, part in self._by_owner(items).items():
            waiting = part
            attempt = core.asks(owner)
            while waiting:
                if core.epoch.rev != fence:
                    raise EpochEndedError
                if hj.ended:
                    # Cancelled between the commit and here: judged by reports,
                    # and never launched.
                    await self._adopt(hj)
                    return
                if owner == core.label:
                    answers = core.owner.launch(waiting)
                    for machine in dict.fromkeys(i[0] for i in waiting):
                        core.fleet.poke(machine)
                else:
                    try:
                        ok, rows = await core.peers[owner].call(
                            peerwire.LAUNCH, (core.epoch.number, waiting)
                        )
                        if not ok:
                            raise PeerError("not the owner")
                        answers = [v for (v,) in rows]
                    except (PeerError, KeyError):
                        await core.ask_again(owner, attempt)
                        waiting = [i for i in waiting if self._unsettled(hj, i)]
                        continue
                for (machine, task, attempt), answer in zip(waiting, answers):
                    number = split_task(task)[1]
                    if not answer and hj.assignment(number) == (attempt, machine):
                        # No reservation: it was not launched and never will be.
                        hj.event(machine, number, attempt, GONE, "", time.monotonic())
                break

    @staticmethod
    def _unsettled(hj: HomeJob, item: tuple[str, str, int]) -> bool:
        number = split_task(item[1])[1]
        return (
            hj.assignment(number) == (item[2], item[0])
            and number not in hj.outcomes
            and number not in hj.states
        )

    async def _stop(self, hj: HomeJob, items: list[tuple[str, str, int, float, bool]]) -> None:
        """Kill or clear through the owners. What gets lost is asked again, or expires."""
        core = self.core
        for owner, part in self._by_owner(items).items():
            if core.epoch.number != hj.epoch:
                return  # its successor may mean something else by the same attempt
            if owner == core.label:
                core.owner.stop(part)
                for machine in dict.fromkeys(i[0] for i in part):
                    core.fleet.poke(machine)
                continue
            try:
                await core.peers[owner].call(peerwire.STOP, (core.epoch.number, part))
            except (PeerError, KeyError):
                pass

    async def _adopt(self, hj: HomeJob, only: Container[int] | None = None) -> None:
        """Have committed assignments judged by their owners' reports."""
        core = self.core
        epoch = core.epoch
        if epoch.number != hj.epoch:
            raise EpochEndedError
        for owner, part in self._by_owner(
            (m, f"{hj.job.id}/{n}", a) for n, a, m in hj.assignments() if only is None or n in only
        ).items():
            attempt = core.asks(owner)
            while True:
                if core.epoch is not epoch:
                    raise EpochEndedError
                if owner == core.label:
                    core.owner.adopt(part, time.monotonic())
                    break
                try:
                    if (await core.peers[owner].call(peerwire.ADOPT, (epoch.number, part)))[0]:
                        break
                except (PeerError, KeyError):
                    pass
                await core.ask_again(owner, attempt)
        await core.flush()

    async def _commit_outcomes(self, hj: HomeJob) -> None:
        core = self.core
        hj.gather_until = 0.0
        fence = self._fence(hj)
        at = time.time()
        txn, chunks, covered, over = hj.outcome_txn(fence, self.outcome_chunks, at)
        count = sum(1 for n in covered if hj.assignment(n) is not None)
        quota = await self._charge(hj.job, -count) or {}
        for key, (value, rev) in quota.items():
            txn.require(key, rev).put(key, value)
        if txn.writes:
            try:
                rev = await self._settle(txn, fence)
            except ConflictError as exc:
                await self._conflict(hj, exc, fence)
                return
            hj.committed(chunks, rev)
            self._charged(quota, rev)
            dropped = {w["remove"] for w in txn.writes if "remove" in w}
            for index in [i for i in chunks if hj.key(i) in dropped]:
                del hj.chunks[index]
        where = {n: hj.where.pop(n, "") for n in covered}
        cleared = hj.covered(covered)
        if over:
            hj.ended = "done"
            core.mirror.note_end(hj.job.id, "done", at)
            log.info("job=%s generation=%d event=done", hj.job.id, core.epoch.number)
        await self._stop(
            hj, [(where[n], f"{hj.job.id}/{n}", a, 0.0, True) for n, a in cleared if where[n]]
        )
        core.signal("place")

    async def _conflict(self, hj: HomeJob, exc: ConflictError, fence: int) -> None:
        """Somebody else changed something: read what holds now."""
        core = self.core
        log.info("job=%s event=conflict keys=%s", hj.job.id, exc.failed)
        if EPOCH_KEY in exc.failed:
            core.suspect_stale()
            await curio.sleep(core.jitter(core.ttl_s / 12))
            return
        if live_key(hj.job.id) in exc.failed and not hj.ended:
            await self.learn_end(hj.job.id)
        ours = [k for k in exc.failed if k.startswith(f"run/{hj.job.id}/")]
        if ours:
            entries, _ = await core.store.scan(f"run/{hj.job.id}/")
            if core.epoch.rev != fence:
                raise EpochEndedError
            revs = {e.key: e.rev for e in entries}
            # Nobody but this routine writes them, or removes them while the job is live.
            if (
                not hj.ended
                and any(revs.get(hj.key(i), 0) < c.rev for i, c in hj.chunks.items())
                and core.suspect(f"records of {hj.job.id} have gone back")
            ):
                return
            hj.load_all({parse_chunk_key(e.key)[1:]: Chunk.parse(e.value, e.rev) for e in entries})
            hj.outcomes = {
                n: o for n, o in hj.outcomes.items() if (hj.assignment(n) or (0, ""))[0] == o[0]
            }
            await self._adopt(hj)

    async def learn_end(self, job: str) -> None:
        """The live record is gone: find out how the job ended."""
        entry = await self.core.store.get(end_key(job))
        if entry is not None:
            self.core.mirror.note_end(job, *ended(entry.value), entry.rev)

    async def _tidy(self, hj: HomeJob) -> None:
        """Remove what is left of an ended job's records."""
        left = sorted(hj.chunks.items())
        left = [(i, c) for i, c in left if c.rev]
        most = max(1, self.core.bounds.txn_ops - 2)
        while left:
            part, left = left[:most], left[most:]
            txn = Txn().require(EPOCH_KEY, self._fence(hj))
            for index, _ in part:
                txn.delete(hj.key(index))
            try:
                await self._settle(txn, self.core.epoch.rev)
            except ConflictError:
                return

    # -- what owners tell ------------------------------------------------

    def told(self, events: Iterable[tuple[str, str, int, str, str, bool]]) -> list[int]:
        """Judge an owner's events."""
        core = self.core
        verdicts = []
        now = time.monotonic()
        for machine, task, attempt, state, cause, _ in events:
            try:
                job, number = split_task(task)
            except ValueError:
                verdicts.append(CLEAR if state == "exited" else KILL)
                continue
            hj = self.homes.get(job)
            if hj is None:
                if job in core.live:
                    verdict = LATER  # its routine is just being started
                else:
                    verdict = OK if state == GONE else CLEAR if state == "exited" else KILL
            else:
                started = hj.started
                verdict = hj.event(machine, number, attempt, state, cause, now)
                if hj.started != started:
                    core.placer.line.touch(job)
                if number in hj.outcomes:
                    hj.where[number] = machine if state == "exited" else ""
                    core.signal(hj.name)
            verdicts.append(verdict)
        return verdicts

    def counts(self, job: str) -> tuple[int, int] | None:
        hj = self.homes.get(job)
        if hj is None:
            return None
        return (0 if hj.job.kind == SERVICE else hj.done), hj.running
