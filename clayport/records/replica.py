"""What this controller knows of the records under `c/` and of how jobs ended, and what
follows from a change: who may take part, which jobs are there, ready, or to be cancelled."""

from __future__ import annotations

import logging
import time
from collections.abc import Iterable, Mapping
from typing import Any, Protocol

import curio
import msgspec

from clayport.jobs.registry import JobRegistry
from clayport.leases.promises import Promises
from clayport.leases.watermark import CancellationWatermark
from clayport.limits import Deadline
from clayport.machines.table import MachineTable
from clayport.membership.epoch import Epoch
from clayport.membership.stalls import StallDetector
from clayport.membership.state import MembershipState
from clayport.model import Job
from clayport.rebuild.support import RebuildSupport
from clayport.records.chunk import Chunk
from clayport.records.errors import (
    CompactedError,
    ConflictError,
    OutcomeUnknownError,
    UnavailableError,
)
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
from clayport.records.lookups import Lookups
from clayport.records.messages import Change
from clayport.records.store import StateStore
from clayport.records.transaction import Txn
from clayport.records.upgrade import UpgradeState
from clayport.records.values import parse_end
from clayport.routines import Routines
from clayport.scaling.arrivals import Arrivals
from clayport.scheduling.queueing import JobQueue
from clayport.scheduling.urgency import SchedulingObjectives
from clayport.settings import Settings
from clayport.transport import frames, peers
from clayport.transport.peers import Peer

log = logging.getLogger(__name__)


# Ended jobs kept in memory so that polls for them need no read.
MAX_ENDED_JOBS = 20_000
# Cancellations that a peer is told of at a time once it is heard again.
RESEND_BATCH = 50
MAX_REMEMBERED_CLASSES = 100


class EpochListener(Protocol):
    """Acts on a new epoch."""

    def begin(self, epoch: Epoch) -> None:
        """Act under the epoch from now on."""
        ...


class JobListener(Protocol):
    """Is told of accepted jobs, since what keeps work off machines depends on them."""

    def learn(self, job: Job) -> None:
        """A job has been accepted."""
        ...


class JobLeader(Protocol):
    """Schedules the jobs that are this controller's."""

    def lead(self, job: Job, rev: int, chunks: dict[tuple[int, int], Chunk], ended: str) -> None:
        """Become the leader of a job."""
        ...


class RecordReplica:
    """The routines that keep the controller's cached state of the records."""

    def __init__(
        self,
        *,
        arrivals: Arrivals,
        jobs: JobRegistry,
        lookups: Lookups,
        machines: MachineTable,
        membership: MembershipState,
        objectives: SchedulingObjectives,
        peers: Mapping[str, Peer],
        promises: Promises,
        queue: JobQueue,
        rebuild: RebuildSupport,
        routines: Routines,
        settings: Settings,
        stalls: StallDetector,
        store: StateStore,
        upgrade: UpgradeState,
        watermark: CancellationWatermark,
    ) -> None:
        self.arrivals = arrivals
        self.jobs = jobs
        self.lookups = lookups
        self.machines = machines
        self.membership = membership
        self.objectives = objectives
        self.peers = peers
        self.promises = promises
        self.queue = queue
        self.rebuild = rebuild
        self.routines = routines
        self.settings = settings
        self.stalls = stalls
        self.store = store
        self.upgrade = upgrade
        self.watermark = watermark
        self.seen = 0  # the revision up to which all changes under `c/` are known here
        # Jobs whose live record is gone and whose end is still to be read, and up to when, and
        # up to which revision, all was known before.
        self.unresolved_ends: dict[str, tuple[float, int]] = {}
        self.telling: dict[tuple[str, str], None] = {}  # peers that are being told, of what

    def connect(
        self, *, failover: JobLeader, placer: JobListener, transition: EpochListener
    ) -> None:
        """Set the parts that are built later than this one."""
        self.failover = failover
        self.placer = placer
        self.transition = transition

    # -- versions ---------------------------------------------------------

    def count_versions(self) -> None:
        """Whether every controller of the settings, present or not, understands FORMAT.

        And whether the epoch began after the last of them had said so: what their
        predecessors have on its way fails under it. Once true, it stays.
        """
        found = [self.upgrade.formats.get(label, (0, 0)) for label in self.settings.labels]
        if self.membership.epoch.rev <= max(rev for _, rev in found):
            return
        self.upgrade.promises_enabled = self.upgrade.promises_enabled or all(
            number >= PROMISES_FORMAT for number, _ in found
        )
        if self.upgrade.complete or any(number < FORMAT for number, _ in found):
            return
        self.upgrade.complete = True
        self.upgrade.limits = self.settings.cluster.state.least()
        self.store.set_rates(self.upgrade.limits.rps, self.upgrade.limits.write_rps)
        self.lookups.most = 4 * self.upgrade.limits.txn_ops
        log.info(
            "event=upgraded format=%d value_kb=%g txn_ops=%d write_rps=%g",
            FORMAT,
            self.upgrade.limits.value_kb,
            self.upgrade.limits.txn_ops,
            self.upgrade.limits.write_rps,
        )
        for managed in self.jobs.managed.values():
            self.routines.signal(managed.name)

    def note_version(self, label: str, value: Any, rev: int) -> None:
        """A version's record was read; one that can't be says nothing, and is written anew."""
        try:
            self.upgrade.formats[label] = (int(value["format"]), rev)
        except (KeyError, TypeError, ValueError) as exc:
            log.error("key=%s%s event=malformed-value cause=%r", VERSION_PREFIX, label, exc)
            self.upgrade.formats[label] = (0, rev)

    # -- the mirror ------------------------------------------------------

    async def follow(self) -> None:
        """Mirror the epoch, the controllers present and the live jobs."""
        rev = 0
        attempt = self.store.begin()
        while True:
            try:
                if self.membership.rescan:
                    rev = await self._scan()
                asked_at = time.monotonic()
                changes, rev = await self.store.watch("c/", rev, self.membership.lease_ttl_s)
                if self.membership.rescan:
                    # Asked for before: an epoch among them would begin with jobs of
                    # which this has not been read yet.
                    continue
                for change in changes:
                    self._apply(change)
                self._read(asked_at, rev)
                if not (self.upgrade.complete and self.upgrade.promises_enabled):
                    self.count_versions()
                await self.routines.flush()
                attempt.served()
            except CompactedError:
                self.membership.rescan = True
            except (UnavailableError, OutcomeUnknownError) as exc:
                log.debug("event=watch-lost cause=%s", exc)
                await self.store.back_off(attempt)
            except (msgspec.MsgspecError, KeyError, TypeError, ValueError) as exc:
                log.error("event=malformed-state cause=%r", exc)
                await curio.sleep(self.routines.jitter(self.membership.lease_ttl_s / 8))

    async def _scan(self) -> int:
        stalls = self.stalls.count
        asked_at = time.monotonic()
        entries, rev = await self.store.scan("c/")
        self.stalls.confirmed_count = stalls
        self.membership.rescan = stalls != self.stalls.count
        keys = {e.key for e in entries}
        if self.rebuild.recovery is not None and not self.rebuild.recovery.history.check_prefix(
            "c/", keys
        ):
            self.membership.rescan = True
            raise UnavailableError("the records are in doubt")
        for label in [n for n in self.membership.present if NODE_PREFIX + n not in keys]:
            del self.membership.present[label]
            self.membership.present_revs.pop(label, None)
            if label == self.membership.label:
                self.membership.lease = None  # the lease may be there, and the key is not
                self.routines.signal("lease")
        for entry in entries:
            self._put(entry.key, entry.value, entry.rev)
        for job, (_, since) in list(self.jobs.live.items()):
            if LIVE_PREFIX + job not in keys and 0 < since <= rev:
                self._gone_live(job)
        self.membership.records_loaded = True
        self._read(asked_at, rev)
        self.count_versions()
        self.routines.signal("members")
        self.routines.signal("prereqs")
        await self.routines.flush()
        return rev

    def _read(self, asked_at: float, rev: int) -> None:
        """All changes up to the revision have come, in answer to what was asked then."""
        self.seen = rev
        self.watermark.note_records_read(
            next(iter(self.unresolved_ends.values()), (asked_at, rev))[0]
        )

    @property
    def known_rev(self) -> int:
        """Up to which revision it is known what became of every job."""
        return next(iter(self.unresolved_ends.values()), (0.0, self.seen))[1]

    def _apply(self, change: Change) -> None:
        if change.put is not None:
            self._put(change.put, change.value, change.rev)
        elif change.delete is not None:
            if change.delete.startswith(NODE_PREFIX):
                label = change.delete[len(NODE_PREFIX) :]
                self.membership.present.pop(label, None)
                self.membership.present_revs.pop(label, None)
                if label == self.membership.label:
                    self.membership.lease = None
                    self.routines.signal("lease")
                self.routines.signal("members")
            elif change.delete.startswith(LIVE_PREFIX):
                self._gone_live(change.delete[len(LIVE_PREFIX) :])

    def _put(self, key: str, value: Any, rev: int) -> None:
        try:
            if key == EPOCH_KEY:
                if rev > self.membership.epoch.rev:
                    self.transition.begin(Epoch.parse(value, rev))
                self.routines.signal("members")
            elif key == HEAD_KEY:
                self.rebuild.note_head(value)
            elif key.startswith(NODE_PREFIX):
                self.membership.present[key[len(NODE_PREFIX) :]] = str(value["inc"])
                self.membership.present_revs[key[len(NODE_PREFIX) :]] = rev
                self.routines.signal("members")
            elif key.startswith(VERSION_PREFIX):
                self.note_version(key[len(VERSION_PREFIX) :], value, rev)
            elif key.startswith(CLASS_PREFIX):
                known = self.objectives.with_objectives(msgspec.convert(value["j"], Job))
                self.jobs.classes[known.job_class] = known
            elif key.startswith(LIVE_PREFIX):
                self.note_live(
                    self.objectives.with_objectives(msgspec.convert(value["j"], Job)),
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
        return now - max(0.0, time.time() - at - self.settings.cluster.clock_error_ms / 500)

    def note_live(self, job: Job, rev: int, submitted: float) -> None:
        """A job is accepted; its home sets to work."""
        if job.id in self.jobs.live and rev > self.jobs.live[job.id][1]:
            self.jobs.live[job.id] = (self.jobs.live[job.id][0], rev)  # written anew by a rebuild
            if job.id in self.jobs.managed:
                self.jobs.managed[job.id].live_rev = rev
        if job.id in self.jobs.live or job.id in self.jobs.ended:
            return
        changed = self.jobs.dependencies.add(job, submitted)
        self.jobs.live[job.id] = (
            self.jobs.dependencies.effective_job(job.id, self.objectives.finish_limits),
            rev,
        )
        self.placer.learn(self.jobs.live[job.id][0])
        self._review(changed)
        if self.jobs.dependencies.is_waiting(job.id):
            self.routines.signal("prereqs")
        elif self.membership.records_loaded:
            self.arrivals.note(job, time.monotonic())
        if (
            job.gpus > 0
            and job.job_class not in self.jobs.classes
            and len(self.jobs.classes) < MAX_REMEMBERED_CLASSES
            and job.job_class.isascii()
            and job.job_class.replace("-", "").replace("_", "").isalnum()
        ):
            self.jobs.classes[job.job_class] = job
            self.routines.spawn(self._remember(job))
        if (
            self.membership.serving
            and self.membership.epoch.member_for(job.id) == self.membership.label
            and job.id not in self.jobs.managed
        ):
            self.failover.lead(self.jobs.live[job.id][0], rev, {}, "")
            self.routines.signal("place")

    def _review(self, changed: Iterable[str]) -> None:
        """Jobs whose urgency has changed, by what needs them."""
        for name in changed:
            if name in self.jobs.live:
                job = self.jobs.dependencies.effective_job(name, self.objectives.finish_limits)
                self.jobs.live[name] = (job, self.jobs.live[name][1])
                managed = self.jobs.managed.get(name)
                if managed is not None:
                    managed.job = job
                    self.queue.touch(name)
                    self.routines.signal("place")

    def _ready(self, name: str) -> None:
        """All jobs that this one needs are done, as their final records say."""
        job = self.jobs.live[name][0]
        if self.membership.records_loaded:
            self.arrivals.note(job, time.monotonic())
        managed = self.jobs.managed.get(name)
        if managed is not None and not managed.ended:
            managed.waiting_since = self.jobs.dependencies.nodes[name].ready_at
            managed.blocked = False
            self.queue.touch(name)
            log.info("job=%s event=ready", name)
            self.routines.signal("place")

    async def keep_prereqs(self) -> None:
        """Look up jobs that others wait for and of which nothing is known here: ended
        before this process began, or accepted a moment ago. And ask again, many in one
        request, whether those that are taken to be live still are: a missed notice must
        not delay what waits for it for long."""
        again_at = 0.0
        while True:
            await self.routines.wait(
                "prereqs",
                self.routines.jitter(
                    self.membership.lease_ttl_s / 4
                    if self.jobs.dependencies.unknown_prerequisites
                    else 2 * self.membership.lease_ttl_s
                ),
            )
            for name in list(self.jobs.dependencies.unknown_prerequisites):
                if name in self.jobs.ended:
                    self._end_of(name, self.jobs.ended[name], time.monotonic())
                    continue
                try:
                    entry = await self.store.get(end_key(name))
                except (UnavailableError, OutcomeUnknownError):
                    break
                if entry is not None:
                    self._note_end(name, entry.value, entry.rev)
            await self.routines.flush()
            if time.monotonic() < again_at:
                continue
            again_at = time.monotonic() + 4 * self.membership.lease_ttl_s
            for name in sorted(self._awaited()):
                known = self.jobs.live.get(name)
                try:
                    if (
                        known is not None
                        and known[1]
                        and not await self.lookups.unchanged(live_key(name), known[1])
                    ):
                        self._gone_live(name)
                except UnavailableError:
                    break

    def _awaited(self) -> set[str]:
        """Live jobs that jobs at home here wait for."""
        return {
            need
            for name, managed in self.jobs.managed.items()
            if managed.blocked and name in self.jobs.dependencies.nodes
            for need in self.jobs.dependencies.nodes[name].unfinished_prerequisites
        }

    async def _remember(self, job: Job) -> None:
        key = CLASS_PREFIX + job.job_class
        try:
            await self.store.commit(
                Txn()
                .require(key, 0)
                .put(key, {"j": msgspec.to_builtins(msgspec.structs.replace(job, prereqs=None))})
            )
        except (ConflictError, UnavailableError, OutcomeUnknownError):
            pass  # a hint only

    def _gone_live(self, job: str) -> None:
        if job in self.jobs.live and job not in self.jobs.ended:
            self.unresolved_ends.setdefault(job, (self.watermark.records_read_at, self.known_rev))
            self.routines.spawn(self.learn(job))

    async def learn(self, job: str) -> None:
        """How a job ended whose live record is gone."""
        try:
            await self._learn(job)
        finally:
            self.unresolved_ends.pop(job, None)

    async def _learn(self, job: str) -> None:
        while job in self.jobs.live:
            try:
                entry = await self.store.get(end_key(job))
            except (UnavailableError, OutcomeUnknownError):
                await curio.sleep(self.routines.jitter(self.membership.lease_ttl_s / 6))
                continue
            if entry is not None:
                self._note_end(job, entry.value, entry.rev)
            elif job in self.jobs.live:
                self.rebuild.suspect(f"{job} is gone")
            return

    def _note_end(self, job: str, record: Any, rev: int) -> None:
        """A final record was read."""
        try:
            self.note_end(job, *parse_end(record), rev)
        except (KeyError, TypeError, ValueError, AttributeError) as exc:
            log.error("key=%s event=malformed-value cause=%r", end_key(job), exc)

    def _end_of(self, job: str, status: str, at: float) -> None:
        """What the end of a job means for those that need it, and for what it needed."""
        ready, doomed, changed = self.jobs.dependencies.end(job, status, at)
        self._review(changed)
        for name in ready:
            self._ready(name)
        for name in doomed:
            managed = self.jobs.managed.get(name)
            if managed is not None:
                self.routines.signal(managed.name)

    def note_end(self, job: str, status: str, at: float | None = None, rev: int = 0) -> None:
        """A job is over, as committed (at that time of day, with that revision)."""
        if status == "cancelled":
            self.promises.note_end(job, rev)
        self._end_of(job, status, self.since(at))
        self.jobs.ended[job] = status
        while len(self.jobs.ended) > MAX_ENDED_JOBS:
            self.jobs.ended.popitem(last=False)
        self.machines.ended(job, status)
        known = self.jobs.live.pop(job, None)
        managed = self.jobs.managed.get(job)
        if known is not None:
            self.jobs.ended_descriptions[job] = known[0]
            while len(self.jobs.ended_descriptions) > MAX_ENDED_JOBS // 10:
                self.jobs.ended_descriptions.pop(next(iter(self.jobs.ended_descriptions)))
        if managed is not None and not managed.ended:
            managed.ended = status
            managed.next_stop_at = 0.0
            self.queue.touch(job)
            self.routines.signal(managed.name)

    def tell_cancelled(self, job: str) -> None:
        """Have all peers acknowledge a cancellation that they don't know of yet."""
        for label in self.promises.unacknowledged_peers(job):
            if (label, job) not in self.telling:
                self.telling[label, job] = None
                self.routines.spawn(self._tell_cancelled(label, job))

    async def _tell_cancelled(self, label: str, job: str) -> None:
        peer = self.peers[label]
        end = time.monotonic() + self.settings.cluster.workers.cancel_s
        attempt = peer.begin()
        try:
            while time.monotonic() < end:
                try:
                    await peer.call(frames.JOB_ENDED, (job, "cancelled"))
                except peers.PeerError:
                    await peer.back_off(attempt)
                    continue
                self.promises.acknowledge(label, job)
                self.routines.signal(f"told {job}")
                return
        finally:
            self.telling.pop((label, job), None)

    async def announced(self, job: str, deadline: Deadline) -> None:
        """Until users may be told that a job is cancelled (`leases.promises`); UnavailableError if
        that isn't in time."""
        name = f"told {job}"
        while not self.promises.try_disclose(job, time.monotonic()):
            self.tell_cancelled(job)
            now = time.monotonic()
            wait_s = self.promises.disclosure_delay_s(job, now)
            if not deadline.allows(now):
                self.routines.events.pop(name, None)
                raise UnavailableError("not everybody knows of it yet", wait_s)
            # (Who waits for the same at the same time may have taken the signal.)
            await self.routines.wait(
                name,
                max(
                    0.001,
                    min(
                        wait_s,
                        deadline.left(now, self.membership.lease_ttl_s / 16),
                        self.membership.lease_ttl_s / 16,
                    ),
                ),
            )
        self.routines.events.pop(name, None)

    def resend_cancellations(self, label: str) -> None:
        """A peer is heard again that was not told of everything."""
        for job in self.promises.unacknowledged_jobs(label)[:RESEND_BATCH]:
            if (label, job) not in self.telling:
                self.telling[label, job] = None
                self.routines.spawn(self._tell_cancelled(label, job))
