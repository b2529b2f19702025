"""Keeps snapshots of the records up to date by watching for changes."""

from __future__ import annotations

import logging
import time
from pathlib import Path
from typing import TYPE_CHECKING, Any

import curio
import msgspec

from clayport.rebuild import files
from clayport.rebuild.evidence import Evidence
from clayport.rebuild.files import ChangeLog, Header, Row, SnapshotError
from clayport.rebuild.history import PREFIXES, is_anchor
from clayport.records.errors import CompactedError, OutcomeUnknownError, UnavailableError
from clayport.records.keys import EPOCH_KEY
from clayport.records.messages import Change

if TYPE_CHECKING:
    from clayport.rebuild.ports import RebuildParts

log = logging.getLogger(__name__)

# The number of bases that are kept, and the size of a log relative to its base at which a new base
# is written.
KEPT_BASES, MAX_LOG_RATIO = 3, 2.0
# A smaller log never causes a new base, however small the present base is.
MIN_LOG_BYTES = 256 * 1024


def snapshot_evidence(snapshot: files.Snapshot, label: str) -> Evidence:
    """Convert a snapshot into evidence.

    The evidence has no machines. The merge ignores the assignments in its chunks, because the
    machines' own reports are newer.
    """
    evidence = Evidence(f"{label}/disk", "")
    for key, (value, _) in snapshot.records.items():
        prefix, _, rest = key.partition("/")
        if is_anchor(key):
            continue
        if key == EPOCH_KEY:
            evidence.epoch, evidence.members = int(value["number"]), dict(value["members"])
        elif key.startswith("c/live/"):
            evidence.live[rest[len("live/") :]] = (value["j"], float(value.get("t", 0.0)))
        elif prefix == "end":
            evidence.ended[rest] = (value["s"], float(value.get("t", 0.0)), value.get("j"))
        elif prefix == "run":
            evidence.chunks[key] = value
        elif key.startswith("c/version/"):
            evidence.versions[rest[len("version/") :]] = int(value["format"])
        elif key.startswith("c/class/"):
            evidence.classes[rest[len("class/") :]] = value["j"]
    return evidence


class Recorder:
    """Writes the snapshots of one controller: a base, then each change, synced as it arrives."""

    def __init__(self, controller: RebuildParts, directory: Path) -> None:
        self.controller, self.directory = controller, directory
        self.records: dict[str, tuple[Any, int]] = {}
        self.rev = 0
        self.synced_revision = 0  # all changes up to this revision are on disk
        self.change_log: ChangeLog | None = None
        self.base_bytes = 0

    def load(self) -> Evidence | None:
        """Return the newest usable snapshot as evidence; None if there is none."""
        try:
            snapshot = files.newest(self.directory, self.controller.settings.labels)
        except (SnapshotError, OSError) as exc:
            log.info("event=no-snapshot cause=%r", str(exc))
            return None
        for reason in snapshot.refused:
            log.info("event=snapshot-refused cause=%r", reason)
        log.info("event=snapshot-read revision=%d records=%d", snapshot.rev, len(snapshot.records))
        return snapshot_evidence(snapshot, self.controller.membership.label)

    async def run(self) -> None:
        """Record all changes while the history is not suspect; start a new base for each history.

        This routine runs as long as the process.
        """
        controller = self.controller
        attempt = controller.store.begin_request()
        while True:
            recovery = controller.rebuild.recovery
            if recovery is None or recovery.history.suspicion or not recovery.history.name:
                await curio.sleep(controller.membership.lease_ttl_s / 2)
                continue
            name, number = recovery.history.name, recovery.history.number
            try:
                await self._read_and_write_base(name, number)
                attempt.served()
                while recovery.history.name == name and not recovery.history.suspicion:
                    await self._follow_changes(name, number)
            except CompactedError:
                log.info("event=snapshot-anew cause='too far behind'")
            except (UnavailableError, OutcomeUnknownError) as exc:
                log.debug("event=snapshot-waits cause=%s", exc)
                await controller.store.back_off(attempt)
            except (OSError, msgspec.MsgspecError) as exc:
                log.error("event=snapshot-failed cause=%r", exc)
                await curio.sleep(controller.routines.jitter(controller.membership.lease_ttl_s * 4))

    async def _read_and_write_base(self, name: str, number: int) -> None:
        """Read all records and write them as a base."""
        # Changes made during the scan arrive again with the first watch. Applying them twice has no
        # effect.
        self.records, self.rev = await self.controller.store.scan_all(PREFIXES)
        await self._write_base(name, number)

    async def _write_base(self, name: str, number: int) -> None:
        """Write a base of the records in memory, and open its log."""
        header = Header(
            "base", list(self.controller.settings.labels), name, number, self.rev, time.time()
        )
        if self.change_log is not None:
            self.change_log.close()
            self.change_log = None
        records = dict(self.records)
        self.change_log, self.base_bytes = await curio.run_in_thread(
            self._write_files, header, records
        )
        self.synced_revision = self.rev
        log.info(
            "event=snapshot revision=%d records=%d bytes=%d",
            self.rev,
            len(records),
            self.base_bytes,
        )

    def _write_files(
        self, header: Header, records: dict[str, tuple[Any, int]]
    ) -> tuple[ChangeLog, int]:
        self.directory.mkdir(parents=True, exist_ok=True)
        path = files.write_base(self.directory, header, files.rows_of(records))
        change_log = ChangeLog(self.directory, msgspec.structs.replace(header, kind="log"))
        files.prune(self.directory, KEPT_BASES)
        return change_log, path.stat().st_size

    async def _follow_changes(self, name: str, number: int) -> None:
        controller = self.controller
        changes, rev = await controller.store.watch(
            "", self.rev, controller.membership.lease_ttl_s, second_connection=True
        )
        rows = self.apply_changes(changes, rev)
        if rows and self.change_log is not None:
            await curio.run_in_thread(self.change_log.append, rows)
            self.synced_revision = self.rev
            if self.change_log.bytes > max(MIN_LOG_BYTES, MAX_LOG_RATIO * self.base_bytes):
                await self._write_base(name, number)

    def apply_changes(self, changes: list[Change], rev: int) -> list[Row]:
        """Apply changes to the records in memory; return the rows for the log."""
        rows = []
        for change in changes:
            if change.put is not None:
                self.records[change.put] = (change.value, change.rev)
                rows.append(Row(change.put, change.value, change.rev))
            elif change.delete is not None:
                self.records.pop(change.delete, None)
                rows.append(Row(change.delete, None, change.rev))
        self.rev = max(self.rev, rev)
        return rows
