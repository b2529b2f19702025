"""The log of a snapshot: the changes since its base, synced block by block.

Of a log that is cut off or damaged, what is whole before the damage is used.
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
    """The changes after a base, open for writing.

    Args:
        directory: Where the base is.
        header: The header of the base, with the kind "log".

    Raises:
        OSError: It can't be written.
    """

    def __init__(self, directory: Path, header: Header) -> None:
        self.path = directory / file_name(header)
        self.file = open(self.path, "wb")  # noqa: SIM115 - open as long as it is written
        self.file.write(MAGIC)
        self.writer = BlockWriter(self.file)
        self.writer.write(header)
        self.writer.sync()
        sync_directory(directory)

    @property
    def bytes(self) -> int:
        """Bytes written to the log so far."""
        return self.writer.bytes

    def append(self, rows: list[Row]) -> None:
        """Write changes as one block; they are on the disk when this returns."""
        self.writer.write(rows)
        self.writer.sync()

    def close(self) -> None:
        """Close the file."""
        self.file.close()


class LogEnd(NamedTuple):
    """How far a log could be read.

    Attributes:
        rev: All changes up to this revision have been applied.
        problem: What is wrong with the rest of the log; empty if nothing is.
    """

    rev: int
    problem: str


def read_log(path: Path, base: Header, records: dict[str, tuple[Any, int]]) -> LogEnd:
    """Apply a log to the records of its base, as far as the log is whole.

    Args:
        path: The log.
        base: The header of the base.
        records: The records of the base; they are changed.
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
