"""The in-memory replica of the records under `c/`, kept up to date by a watch."""

from __future__ import annotations

import logging
import time
from typing import Any, Protocol

import curio
import msgspec

from clayport.jobs.lifecycle import JobLifecycle
from clayport.jobs.registry import JobRegistry
from clayport.membership.epoch import Epoch
from clayport.membership.stalls import StallDetector
from clayport.membership.state import MembershipState
from clayport.model import Job
from clayport.rebuild.support import RebuildSupport
from clayport.records.errors import (
    CompactedError,
    OutcomeUnknownError,
    UnavailableError,
)
from clayport.records.keys import (
    CLASS_PREFIX,
    EPOCH_KEY,
    HISTORY_KEY,
    LIVE_PREFIX,
    NODE_PREFIX,
    VERSION_PREFIX,
)
from clayport.records.messages import Change
from clayport.records.progress import ReadProgress
from clayport.records.store import StateStore
from clayport.records.upgrade import UpgradeState
from clayport.records.versions import VersionTracker
from clayport.routines import Routines
from clayport.scheduling.urgency import SchedulingObjectives

log = logging.getLogger(__name__)


class EpochListener(Protocol):
    """Is notified of new epochs."""

    def begin_epoch(self, epoch: Epoch) -> None:
        """Switch to the epoch."""
        ...


class RecordReplica:
    """Reads the records under `c/`, follows their changes and updates the state in memory.

    Args:
        jobs: The known jobs and the example job of each job class.
        lifecycle: Records accepted and ended jobs.
        membership: The controllers present and the current epoch.
        objectives: Adds the scheduling objectives to job descriptions.
        progress: How far the records have been read.
        rebuild: Is notified of the history that the records belong to.
        routines: The signals of this process.
        stalls: Tells whether this process stalled while the records were read.
        store: The client of the state service.
        upgrade: The progress of a rolling upgrade.
        versions: Records the versions of the controllers.
    """

    def __init__(
        self,
        *,
        jobs: JobRegistry,
        lifecycle: JobLifecycle,
        membership: MembershipState,
        objectives: SchedulingObjectives,
        progress: ReadProgress,
        rebuild: RebuildSupport,
        routines: Routines,
        stalls: StallDetector,
        store: StateStore,
        upgrade: UpgradeState,
        versions: VersionTracker,
    ) -> None:
        self.jobs = jobs
        self.lifecycle = lifecycle
        self.membership = membership
        self.objectives = objectives
        self.progress = progress
        self.rebuild = rebuild
        self.routines = routines
        self.stalls = stalls
        self.store = store
        self.upgrade = upgrade
        self.versions = versions

    def connect(self, *, transition: EpochListener) -> None:
        """Set the component that is created after this one."""
        self.transition = transition

    async def follow(self) -> None:
        """Follow the epoch, the controllers present and the live jobs until the process ends."""
        rev = 0
        attempt = self.store.begin_request()
        while True:
            try:
                if self.membership.rescan:
                    rev = await self._scan()
                asked_at = time.monotonic()
                changes, rev = await self.store.watch("c/", rev, self.membership.lease_ttl_s)
                if self.membership.rescan:
                    # The watch was sent before the new read was requested. A new epoch among
                    # these changes would begin before all of its jobs have been read.
                    continue
                for change in changes:
                    self._apply(change)
                self.progress.note_read(asked_at, rev)
                if not (self.upgrade.complete and self.upgrade.promises_enabled):
                    self.versions.count_versions()
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
        """Read all records under `c/` again; return the revision of the answer.

        Raises:
            UnavailableError: The records could not be read, or are in doubt.
        """
        stall_count = self.stalls.count
        asked_at = time.monotonic()
        entries, rev = await self.store.scan("c/")
        self.stalls.confirmed_count = stall_count
        self.membership.rescan = stall_count != self.stalls.count
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
                self.membership.lease = None  # only the key is gone; the lease may still exist
                self.routines.signal("lease")
        for entry in entries:
            self._put(entry.key, entry.value, entry.rev)
        for job, (_, since) in list(self.jobs.live.items()):
            if LIVE_PREFIX + job not in keys and 0 < since <= rev:
                self.lifecycle.handle_live_record_deleted(job)
        self.membership.records_loaded = True
        self.progress.note_read(asked_at, rev)
        self.versions.count_versions()
        self.routines.signal("members")
        self.routines.signal("prereqs")
        await self.routines.flush()
        return rev

    def _apply(self, change: Change) -> None:
        """Apply one change reported by the watch."""
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
                self.lifecycle.handle_live_record_deleted(change.delete[len(LIVE_PREFIX) :])

    def _put(self, key: str, value: Any, rev: int) -> None:
        """Apply a written record; a malformed record is logged and skipped."""
        try:
            if key == EPOCH_KEY:
                if rev > self.membership.epoch.rev:
                    self.transition.begin_epoch(Epoch.parse(value, rev))
                self.routines.signal("members")
            elif key == HISTORY_KEY:
                self.rebuild.note_head(value)
            elif key.startswith(NODE_PREFIX):
                self.membership.present[key[len(NODE_PREFIX) :]] = str(value["inc"])
                self.membership.present_revs[key[len(NODE_PREFIX) :]] = rev
                self.routines.signal("members")
            elif key.startswith(VERSION_PREFIX):
                self.versions.note_version(key[len(VERSION_PREFIX) :], value, rev)
            elif key.startswith(CLASS_PREFIX):
                known = self.objectives.job_from_description(msgspec.convert(value["j"], Job))
                self.jobs.classes[known.job_class] = known
            elif key.startswith(LIVE_PREFIX):
                self.lifecycle.note_live(
                    self.objectives.job_from_description(msgspec.convert(value["j"], Job)),
                    rev,
                    self.lifecycle.to_monotonic(value.get("t")),
                )
        except (msgspec.MsgspecError, KeyError, TypeError, ValueError) as exc:
            log.error("key=%s event=malformed-value cause=%r", key, exc)
