"""Keeping snapshots of the records, from their changes as they come."""

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

# Bases that are kept. A new one is written once the log is so many times as long as the last.
KEEP, LOG_TIMES = 3, 2.0
# A log is not given up before that, however small the base is.
LOG_LEAST = 256 * 1024


def remembered(found: files.Snapshot, label: str) -> Evidence:
    """A snapshot as evidence: who was there, and what had been accepted and had ended. Which
    machine holds what is left to the machines themselves: it is older than their reports."""
    said = Evidence(f"{label}/disk", "")
    for key, (value, _) in found.records.items():
        prefix, _, rest = key.partition("/")
        if is_anchor(key):
            continue
        if key == EPOCH_KEY:
            said.epoch, said.members = int(value["number"]), dict(value["members"])
        elif key.startswith("c/live/"):
            said.live[rest[len("live/") :]] = (value["j"], float(value.get("t", 0.0)))
        elif prefix == "end":
            said.ended[rest] = (value["s"], float(value.get("t", 0.0)), value.get("j"))
        elif prefix == "run":
            said.chunks[key] = value
        elif key.startswith("c/version/"):
            said.versions[rest[len("version/") :]] = int(value["format"])
        elif key.startswith("c/class/"):
            said.classes[rest[len("class/") :]] = value["j"]
    return said


class Recorder:
    """One controller's snapshots: a base, then every change, synced as it comes."""

    def __init__(self, parts: RebuildParts, directory: Path) -> None:
        self.parts, self.directory = parts, directory
        self.records: dict[str, tuple[Any, int]] = {}
        self.rev = 0
        self.synced = 0  # up to this revision all is on the disk
        self.log: ChangeLog | None = None
        self.base_bytes = 0

    def load(self) -> Evidence | None:
        """What was on the disk when this process began; None if nothing of use is."""
        try:
            found = files.newest(self.directory, self.parts.settings.labels)
        except (SnapshotError, OSError) as exc:
            log.info("event=no-snapshot cause=%r", str(exc))
            return None
        for why in found.refused:
            log.info("event=snapshot-refused cause=%r", why)
        log.info("event=snapshot-read revision=%d records=%d", found.rev, len(found.records))
        return remembered(found, self.parts.membership.label)

    async def run(self) -> None:
        """Follow the records as long as there is no doubt of them."""
        parts = self.parts
        attempt = parts.store.begin()
        while True:
            recovery = parts.rebuild.recovery
            if recovery is None or recovery.history.suspicion or not recovery.history.name:
                await curio.sleep(parts.membership.lease_ttl_s / 2)
                continue
            name, number = recovery.history.name, recovery.history.number
            try:
                await self._base(name, number)
                attempt.served()
                while recovery.history.name == name and not recovery.history.suspicion:
                    await self._follow(name, number)
            except CompactedError:
                log.info("event=snapshot-anew cause='too far behind'")
            except (UnavailableError, OutcomeUnknownError) as exc:
                log.debug("event=snapshot-waits cause=%s", exc)
                await parts.store.back_off(attempt)
            except (OSError, msgspec.MsgspecError) as exc:
                log.error("event=snapshot-failed cause=%r", exc)
                await curio.sleep(parts.routines.jitter(parts.membership.lease_ttl_s * 4))

    async def _base(self, name: str, number: int) -> None:
        """Read all records once, and write them."""
        # What has changed while the pages were read comes with the first changes once more.
        self.records, self.rev = await self.parts.store.scan_all(PREFIXES)
        await self._write(name, number)

    async def _write(self, name: str, number: int) -> None:
        """A base of what is known, and a log for what comes."""
        header = Header(
            "base", list(self.parts.settings.labels), name, number, self.rev, time.time()
        )
        if self.log is not None:
            self.log.close()
            self.log = None
        records = dict(self.records)
        self.log, self.base_bytes = await curio.run_in_thread(self._on_disk, header, records)
        self.synced = self.rev
        log.info(
            "event=snapshot revision=%d records=%d bytes=%d",
            self.rev,
            len(records),
            self.base_bytes,
        )

    def _on_disk(
        self, header: Header, records: dict[str, tuple[Any, int]]
    ) -> tuple[ChangeLog, int]:
        self.directory.mkdir(parents=True, exist_ok=True)
        path = files.write_base(self.directory, header, files.rows_of(records))
        after = ChangeLog(self.directory, msgspec.structs.replace(header, kind="log"))
        files.prune(self.directory, KEEP)
        return after, path.stat().st_size

    async def _follow(self, name: str, number: int) -> None:
        parts = self.parts
        changes, rev = await parts.store.watch(
            "", self.rev, parts.membership.lease_ttl_s, apart=True
        )
        rows = self.note(changes, rev)
        if rows and self.log is not None:
            await curio.run_in_thread(self.log.append, rows)
            self.synced = self.rev
            if self.log.bytes > max(LOG_LEAST, LOG_TIMES * self.base_bytes):
                await self._write(name, number)

    def note(self, changes: list[Change], rev: int) -> list[Row]:
        """Carry changes out on what is known; the rows for the log."""
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
