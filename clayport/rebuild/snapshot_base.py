"""Reads and writes the base of a snapshot: all records as of a revision.

A base is written under a temporary name, synced, and renamed only then, so that a crash during
the write never leaves an incomplete file under the name of a base.
"""

from __future__ import annotations

import os
from collections.abc import Iterable
from pathlib import Path
from typing import Any

from clayport.rebuild.snapshot_format import (
    MAGIC,
    ROWS_PER_BLOCK,
    BlockWriter,
    End,
    Header,
    Row,
    SnapshotError,
    decode,
    file_name,
    read_blocks,
    sync_directory,
)


def write_base(directory: Path, header: Header, rows: Iterable[Row]) -> Path:
    """Write a base, sync it to disk, and return its path.

    Raises:
        OSError: The base can't be written; a file `*.part` may remain.
    """
    path = directory / file_name(header)
    partial = path.with_suffix(".part")
    with open(partial, "wb") as file:
        file.write(MAGIC)
        writer = BlockWriter(file)
        writer.write(header)
        count = 0
        block: list[Row] = []
        for row in rows:
            block.append(row)
            count += 1
            if len(block) == ROWS_PER_BLOCK:
                writer.write(block)
                block = []
        if block:
            writer.write(block)
        writer.write(End(count))
        writer.sync()
    os.replace(partial, path)
    sync_directory(directory)
    return path


def read_base(path: Path) -> tuple[Header, dict[str, tuple[Any, int]]]:
    """Return the header of a base, and the value and revision of each record by key.

    Raises:
        SnapshotError: The file is not a base, or is incomplete or damaged.
    """
    header: Header | None = None
    records: dict[str, tuple[Any, int]] = {}
    last: list[Row] | End | None = None
    for raw in read_blocks(path):
        if header is None:
            header = decode(path, raw, Header)
            if header.kind != "base":
                raise SnapshotError(f"{path}: a {header.kind}, not a base")
            continue
        last = decode(path, raw, list[Row] | End)
        if isinstance(last, list):
            records.update({row.key: (row.value, row.rev) for row in last})
    if header is None:
        raise SnapshotError(f"{path}: empty")
    if not isinstance(last, End) or last.count != len(records):
        raise SnapshotError(f"{path}: its end is missing")
    return header, records
