"""Reads and writes the log of a snapshot: the changes since its base, synced after each block.

The blocks of an incomplete or damaged log are used up to the damage.
"""

from __future__ import annotations

from pathlib import Path
from typing import Any, NamedTuple

from clayport.rebuild.snapshot_format import (
    MAGIC,
    BlockWriter,
    Header,
    Row,
    SnapshotError,
    decode,
    file_name,
    read_blocks,
    sync_directory,
)


class ChangeLog:
    """The log of the changes after a base, open for writing.

    Args:
        directory: Where the base is.
        header: The header of the base, with the kind "log".

    Raises:
        OSError: The log can't be written.
    """

    def __init__(self, directory: Path, header: Header) -> None:
        self.path = directory / file_name(header)
        self.file = open(self.path, "wb")  # noqa: SIM115 - stays open until close()
        self.file.write(MAGIC)
        self.writer = BlockWriter(self.file)
        self.writer.write(header)
        self.writer.sync()
        sync_directory(directory)

    @property
    def bytes(self) -> int:
        """The total size of the blocks written."""
        return self.writer.bytes

    def append(self, rows: list[Row]) -> None:
        """Write changes as one block and sync it to disk."""
        self.writer.write(rows)
        self.writer.sync()

    def close(self) -> None:
        """Close the file."""
        self.file.close()


class LogEnd(NamedTuple):
    """How far a log was readable.

    Attributes:
        rev: All changes up to this revision have been applied.
        problem: Why the rest of the log is unusable; empty if all of the log was read.
    """

    rev: int
    problem: str


def read_log(path: Path, base: Header, records: dict[str, tuple[Any, int]]) -> LogEnd:
    """Apply the intact part of a log to the records of its base.

    Args:
        path: The log.
        base: The header of the base.
        records: The records of the base, which are modified in place.
    """
    rev, is_first = base.rev, True
    try:
        for raw in read_blocks(path):
            if is_first:
                header = decode(path, raw, Header)
                if (header.kind, header.history, header.rev) != ("log", base.history, base.rev):
                    return LogEnd(rev, f"{path}: of another base")
                is_first = False
                continue
            for row in decode(path, raw, list[Row]):
                if row.value is None:
                    records.pop(row.key, None)
                else:
                    records[row.key] = (row.value, row.rev)
                rev = max(rev, row.rev)
    except SnapshotError as exc:
        return LogEnd(rev, str(exc))
    return LogEnd(rev, "")
