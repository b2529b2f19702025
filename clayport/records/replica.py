"""What this controller knows of the records under `c/` and of how jobs ended, and what
follows from a change: who may take part, which jobs are there, ready, or to be cancelled."""

from __future__ import annotations

import logging
import time
from collections.abc import Iterable
from typing import TYPE_CHECKING, Any

import curio
import msgspec

from clayport.limits import Deadline
from clayport.membership.epoch import Epoch
from clayport.model import Job
from clayport.records.formats import FORMAT, PROMISES_FORMAT
from clayport.records.keys import (
    CLASS_PREFIX,
    EPOCH_KEY,
    HEAD_KEY,
    LIVE_PREFIX,
    NODE_PREFIX,
    VERSION_PREFIX,
    end_key,
    live_key,
)
from clayport.records.store import (
    Change,
    CompactedError,
    ConflictError,
    OutcomeUnknownError,
    Txn,
    UnavailableError,
)
from clayport.records.values import parse_end
from clayport.transport import frames, peers

if TYPE_CHECKING:
    from clayport.controller import Controller

log = logging.getLogger(__name__)


# Ended jobs kept in memory so that polls for them need no read.
MAX_ENDED_JOBS = 20_000
# Cancellations that a peer is told of at a time once it is heard again.
RESEND_BATCH = 50
MAX_REMEMBERED_CLASSES = 100


class RecordReplica:
    """The routines that keep the controller's cached state of the records."""

    def __init__(self, core: Controller) -> None:
        self.core = core
        self.seen = 0  # the revision up to which all changes under `c/` are known here
        # Jobs whose live record is gone and whose end is still to be read, and up to when, and
        # up to which revision, all was known before.
        self.unresolved_ends: dict[str, tuple[float, int]] = {}
        self.telling: dict[tuple[str, str], None] = {}  # peers that are being told, of what

    # -- versions ---------------------------------------------------------

    def count_versions(self) -> None:
        """Whether every controller of the settings, present or not, understands FORMAT.

        And whether the epoch began after the last of them had said so: what their
        predecessors have on its way fails under it. Once true, it stays.
        """
        core = self.core
        found = [core.upgrade.formats.get(label, (0, 0)) for label in core.settings.labels]
        if core.membership.epoch.rev <= max(rev for _, rev in found):
            return
        core.upgrade.promises_enabled = core.upgrade.promises_enabled or all(
            number >= PROMISES_FORMAT for number, _ in found
        )
        if core.upgrade.complete or any(number < FORMAT for number, _ in found):
            return
        core.upgrade.complete = True
        core.upgrade.limits = core.settings.cluster.state.least()
        core.store.set_rates(core.upgrade.limits.rps, core.upgrade.limits.write_rps)
        core.lookups.most = 4 * core.upgrade.limits.txn_ops
        log.info(
            "event=upgraded format=%d value_kb=%g txn_ops=%d write_rps=%g",
            FORMAT,
            core.upgrade.limits.value_kb,
            core.upgrade.limits.txn_ops,
            core.upgrade.limits.write_rps,
        )
        for managed in core.jobs.managed.values():
            core.routines.signal(managed.name)

    def note_version(self, label: str, value: Any, rev: int) -> None:
        """A version's record was read; one that can't be says nothing, and is written anew."""
        try:
            self.core.upgrade.formats[label] = (int(value["format"]), rev)
        except (KeyError, TypeError, ValueError) as exc:
            log.error("key=%s%s event=malformed-value cause=%r", VERSION_PREFIX, label, exc)
            self.core.upgrade.formats[label] = (0, rev)

    # -- the mirror ------------------------------------------------------

    async def follow(self) -> None:
        """Mirror the epoch, the controllers present and the live jobs."""
        core = self.core
        rev = 0
        attempt = core.store.begin()
        while True:
            try:
                if core.membership.rescan:
                    rev = await self._scan()
                asked_at = time.monotonic()
                changes, rev = await core.store.watch("c/", rev, core.membership.lease_ttl_s)
                if core.membership.rescan:
                    # Asked for before: an epoch among them would begin with jobs of
                    # which this has not been read yet.
                    continue
                for change in changes:
                    self._apply(change)
                self._read(asked_at, rev)
                if not (core.upgrade.complete and core.upgrade.promises_enabled):
                    self.count_versions()
                await core.routines.flush()
                attempt.served()
            except CompactedError:
                core.membership.rescan = True
            except (UnavailableError, OutcomeUnknownError) as exc:
                log.debug("event=watch-lost cause=%s", exc)
                await core.store.back_off(attempt)
            except (msgspec.MsgspecError, KeyError, TypeError, ValueError) as exc:
                log.error("event=malformed-state cause=%r", exc)
                await curio.sleep(core.routines.jitter(core.membership.lease_ttl_s / 8))

    async def _scan(self) -> int:
        core = self.core
        stalls = core.stalls.count
        asked_at = time.monotonic()
        entries, rev = await core.store.scan("c/")
        core.stalls.confirmed_count = stalls
        core.membership.rescan = stalls != core.stalls.count
        keys = {e.key for e in entries}
        if core.rebuild.recovery is not None and not core.rebuild.recovery.history.complete(
            "c/", keys
        ):
            core.membership.rescan = True
            raise UnavailableError("the records are in doubt")
        for label in [n for n in core.membership.present if NODE_PREFIX + n not in keys]:
            del core.membership.present[label]
            core.membership.present_revs.pop(label, None)
            if label == core.membership.label:
                core.membership.lease = None  # the lease may be there, and the key is not
                core.routines.signal("lease")
        for entry in entries:
            self._put(entry.key, entry.value, entry.rev)
        for job, (_, since) in list(core.jobs.live.items()):
            if LIVE_PREFIX + job not in keys and 0 < since <= rev:
                self._gone_live(job)
        core.membership.records_loaded = True
        self._read(asked_at, rev)
        self.count_versions()
        core.routines.signal("members")
        core.routines.signal("prereqs")
        await core.routines.flush()
        return rev

    def _read(self, asked_at: float, rev: int) -> None:
        """All changes up to the revision have come, in answer to what was asked then."""
        self.seen = rev
        self.core.watermark.read(next(iter(self.unresolved_ends.values()), (asked_at, rev))[0])

    @property
    def known_rev(self) -> int:
        """Up to which revision it is known what became of every job."""
        return next(iter(self.unresolved_ends.values()), (0.0, self.seen))[1]

    def _apply(self, change: Change) -> None:
        core = self.core
        if change.put is not None:
            self._put(change.put, change.value, change.rev)
        elif change.delete is not None:
            if change.delete.startswith(NODE_PREFIX):
                label = change.delete[len(NODE_PREFIX) :]
                core.membership.present.pop(label, None)
                core.membership.present_revs.pop(label, None)
                if label == core.membership.label:
                    core.membership.lease = None
                    core.routines.signal("lease")
                core.routines.signal("members")
            elif change.delete.startswith(LIVE_PREFIX):
                self._gone_live(change.delete[len(LIVE_PREFIX) :])

    def _put(self, key: str, value: Any, rev: int) -> None:
        core = self.core
        try:
            if key == EPOCH_KEY:
                if rev > core.membership.epoch.rev:
                    core.transition.begin(Epoch.parse(value, rev))
                core.routines.signal("members")
            elif key == HEAD_KEY:
                core.rebuild.note_head(value)
            elif key.startswith(NODE_PREFIX):
                core.membership.present[key[len(NODE_PREFIX) :]] = str(value["inc"])
                core.membership.present_revs[key[len(NODE_PREFIX) :]] = rev
                core.routines.signal("members")
            elif key.startswith(VERSION_PREFIX):
                self.note_version(key[len(VERSION_PREFIX) :], value, rev)
            elif key.startswith(CLASS_PREFIX):
                known = core.objectives.with_objectives(msgspec.convert(value["j"], Job))
                core.jobs.classes[known.job_class] = known
            elif key.startswith(LIVE_PREFIX):
                self.note_live(
                    core.objectives.with_objectives(msgspec.convert(value["j"], Job)),
                    rev,
                    self.since(value.get("t")),
                )
        except (msgspec.MsgspecError, KeyError, TypeError, ValueError) as exc:
            log.error("key=%s event=malformed-value cause=%r", key, exc)

    def since(self, at: float | None) -> float:
        """A time of day in a record as this process's clock has it; now where it says none.

        As the nodes' times of day differ by up to the settings' bound, what may have been
        now was now: a start that is due within two seconds must not be a second late by it.
        """
        now = time.monotonic()
        if at is None:
            return now
        return now - max(0.0, time.time() - at - self.core.settings.cluster.clock_error_ms / 500)

    def note_live(self, job: Job, rev: int, submitted: float) -> None:
        """A job is accepted; its home sets to work."""
        core = self.core
        if job.id in core.jobs.live and rev > core.jobs.live[job.id][1]:
            core.jobs.live[job.id] = (core.jobs.live[job.id][0], rev)  # written anew by a rebuild
            if job.id in core.jobs.managed:
                core.jobs.managed[job.id].live_rev = rev
        if job.id in core.jobs.live or job.id in core.jobs.ended:
            return
        changed = core.jobs.dependencies.add(job, submitted)
        core.jobs.live[job.id] = (
            core.jobs.dependencies.view(job.id, core.objectives.finish_limits),
            rev,
        )
        core.placer.learn(core.jobs.live[job.id][0])
        self._review(changed)
        if core.jobs.dependencies.waiting(job.id):
            core.routines.signal("prereqs")
        elif core.membership.records_loaded:
            core.arrivals.note(job, time.monotonic())
        if (
            job.gpus > 0
            and job.job_class not in core.jobs.classes
            and len(core.jobs.classes) < MAX_REMEMBERED_CLASSES
            and job.job_class.isascii()
            and job.job_class.replace("-", "").replace("_", "").isalnum()
        ):
            core.jobs.classes[job.job_class] = job
            core.routines.spawn(self._remember(job))
        if (
            core.membership.serving
            and core.membership.epoch.place(job.id) == core.membership.label
            and job.id not in core.jobs.managed
        ):
            core.failover.lead(core.jobs.live[job.id][0], rev, {}, "")
            core.routines.signal("place")

    def _review(self, changed: Iterable[str]) -> None:
        """Jobs whose urgency has changed, by what needs them."""
        core = self.core
        for name in changed:
            if name in core.jobs.live:
                job = core.jobs.dependencies.view(name, core.objectives.finish_limits)
                core.jobs.live[name] = (job, core.jobs.live[name][1])
                managed = core.jobs.managed.get(name)
                if managed is not None:
                    managed.job = job
                    core.queue.touch(name)
                    core.routines.signal("place")

    def _ready(self, name: str) -> None:
        """All jobs that this one needs are done, as their final records say."""
        core = self.core
        job = core.jobs.live[name][0]
        if core.membership.records_loaded:
            core.arrivals.note(job, time.monotonic())
        managed = core.jobs.managed.get(name)
        if managed is not None and not managed.ended:
            managed.since = core.jobs.dependencies.nodes[name].ready
            managed.blocked = False
            core.queue.touch(name)
            log.info("job=%s event=ready", name)
            core.routines.signal("place")

    async def keep_prereqs(self) -> None:
        """Look up jobs that others wait for and of which nothing is known here: ended
        before this process began, or accepted a moment ago. And ask again, many in one
        request, whether those that are taken to be live still are: a missed notice must
        not delay what waits for it for long."""
        core = self.core
        again_at = 0.0
        while True:
            await core.routines.wait(
                "prereqs",
                core.routines.jitter(
                    core.membership.lease_ttl_s / 4
                    if core.jobs.dependencies.missing
                    else 2 * core.membership.lease_ttl_s
                ),
            )
            for name in list(core.jobs.dependencies.missing):
                if name in core.jobs.ended:
                    self._end_of(name, core.jobs.ended[name], time.monotonic())
                    continue
                try:
                    entry = await core.store.get(end_key(name))
                except (UnavailableError, OutcomeUnknownError):
                    break
                if entry is not None:
                    self._note_end(name, entry.value, entry.rev)
            await core.routines.flush()
            if time.monotonic() < again_at:
                continue
            again_at = time.monotonic() + 4 * core.membership.lease_ttl_s
            for name in sorted(self._awaited()):
                known = core.jobs.live.get(name)
                try:
                    if (
                        known is not None
                        and known[1]
                        and not await core.lookups.unchanged(live_key(name), known[1])
                    ):
                        self._gone_live(name)
                except UnavailableError:
                    break

    def _awaited(self) -> set[str]:
        """Live jobs that jobs at home here wait for."""
        return {
            need
            for name, managed in self.core.jobs.managed.items()
            if managed.blocked and name in self.core.jobs.dependencies.nodes
            for need in self.core.jobs.dependencies.nodes[name].needs
        }

    async def _remember(self, job: Job) -> None:
        key = CLASS_PREFIX + job.job_class
        try:
            await self.core.store.commit(
                Txn()
                .require(key, 0)
                .put(key, {"j": msgspec.to_builtins(msgspec.structs.replace(job, prereqs=None))})
            )
        except (ConflictError, UnavailableError, OutcomeUnknownError):
            pass  # a hint only

    def _gone_live(self, job: str) -> None:
        if job in self.core.jobs.live and job not in self.core.jobs.ended:
            self.unresolved_ends.setdefault(job, (self.core.watermark.state_at, self.known_rev))
            self.core.routines.spawn(self.learn(job))

    async def learn(self, job: str) -> None:
        """How a job ended whose live record is gone."""
        try:
            await self._learn(job)
        finally:
            self.unresolved_ends.pop(job, None)

    async def _learn(self, job: str) -> None:
        core = self.core
        while job in core.jobs.live:
            try:
                entry = await core.store.get(end_key(job))
            except (UnavailableError, OutcomeUnknownError):
                await curio.sleep(core.routines.jitter(core.membership.lease_ttl_s / 6))
                continue
            if entry is not None:
                self._note_end(job, entry.value, entry.rev)
            elif job in core.jobs.live:
                core.rebuild.suspect(f"{job} is gone")
            return

    def _note_end(self, job: str, record: Any, rev: int) -> None:
        """A final record was read."""
        try:
            self.note_end(job, *parse_end(record), rev)
        except (KeyError, TypeError, ValueError, AttributeError) as exc:
            log.error("key=%s event=malformed-value cause=%r", end_key(job), exc)

    def _end_of(self, job: str, status: str, at: float) -> None:
        """What the end of a job means for those that need it, and for what it needed."""
        ready, doomed, changed = self.core.jobs.dependencies.end(job, status, at)
        self._review(changed)
        for name in ready:
            self._ready(name)
        for name in doomed:
            managed = self.core.jobs.managed.get(name)
            if managed is not None:
                self.core.routines.signal(managed.name)

    def note_end(self, job: str, status: str, at: float | None = None, rev: int = 0) -> None:
        """A job is over, as committed (at that time of day, with that revision)."""
        core = self.core
        if status == "cancelled":
            core.promises.ended(job, rev)
        self._end_of(job, status, self.since(at))
        core.jobs.ended[job] = status
        while len(core.jobs.ended) > MAX_ENDED_JOBS:
            core.jobs.ended.popitem(last=False)
        core.machines.ended(job, status)
        known = core.jobs.live.pop(job, None)
        managed = core.jobs.managed.get(job)
        if known is not None:
            core.jobs.ended_descriptions[job] = known[0]
            while len(core.jobs.ended_descriptions) > MAX_ENDED_JOBS // 10:
                core.jobs.ended_descriptions.pop(next(iter(core.jobs.ended_descriptions)))
        if managed is not None and not managed.ended:
            managed.ended = status
            managed.kill_at = 0.0
            core.queue.touch(job)
            core.routines.signal(managed.name)

    def tell_cancelled(self, job: str) -> None:
        """Have all peers acknowledge a cancellation that they don't know of yet."""
        for label in self.core.promises.lacking(job):
            if (label, job) not in self.telling:
                self.telling[label, job] = None
                self.core.routines.spawn(self._tell_cancelled(label, job))

    async def _tell_cancelled(self, label: str, job: str) -> None:
        core, peer = self.core, self.core.peers[label]
        end = time.monotonic() + core.settings.cluster.workers.cancel_s
        attempt = peer.begin()
        try:
            while time.monotonic() < end:
                try:
                    await peer.call(frames.ENDED, (job, "cancelled"))
                except peers.PeerError:
                    await peer.back_off(attempt)
                    continue
                core.promises.acknowledge(label, job)
                core.routines.signal(f"told {job}")
                return
        finally:
            self.telling.pop((label, job), None)

    async def announced(self, job: str, deadline: Deadline) -> None:
        """Until users may be told that a job is cancelled (`cancellations`); UnavailableError if
        that isn't in time."""
        core, name = self.core, f"told {job}"
        while not core.promises.tell(job, time.monotonic()):
            self.tell_cancelled(job)
            now = time.monotonic()
            wait_s = core.promises.wait_s(job, now)
            if not deadline.allows(now):
                core.routines.events.pop(name, None)
                raise UnavailableError("not everybody knows of it yet", wait_s)
            # (Who waits for the same at the same time may have taken the signal.)
            await core.routines.wait(
                name,
                max(
                    0.001,
                    min(
                        wait_s,
                        deadline.left(now, core.membership.lease_ttl_s / 16),
                        core.membership.lease_ttl_s / 16,
                    ),
                ),
            )
        core.routines.events.pop(name, None)

    def resend_cancellations(self, label: str) -> None:
        """A peer is heard again that was not told of everything."""
        for job in self.core.promises.owed(label)[:RESEND_BATCH]:
            if (label, job) not in self.telling:
                self.telling[label, job] = None
                self.core.routines.spawn(self._tell_cancelled(label, job))
