"""The snapshots of a directory: bases, each with a log of the later changes.

`snapshot_format` defines the file format, and `snapshot_base` and `snapshot_log` read and write
the two kinds of files. `newest` reads the newest intact base and the intact part of its log, and
names the files that it can't use.
"""

from __future__ import annotations

from collections.abc import Iterable
from pathlib import Path
from typing import Any

import msgspec

from clayport.rebuild.snapshot_base import read_base as read_base
from clayport.rebuild.snapshot_base import write_base as write_base
from clayport.rebuild.snapshot_format import Header as Header
from clayport.rebuild.snapshot_format import Row as Row
from clayport.rebuild.snapshot_format import SnapshotError as SnapshotError
from clayport.rebuild.snapshot_format import file_name as file_name
from clayport.rebuild.snapshot_format import read_header as read_header
from clayport.rebuild.snapshot_format import rows_of as rows_of
from clayport.rebuild.snapshot_log import ChangeLog as ChangeLog
from clayport.rebuild.snapshot_log import read_log as read_log


class Snapshot(msgspec.Struct):
    """The records of the newest usable snapshot.

    Attributes:
        header: The header of the base.
        records: Value and revision of each record, by its key.
        rev: The revision up to which `records` contains all changes.
        refused: For each file that was unusable or usable only in part, its name and the reason.
    """

    header: Header
    records: dict[str, tuple[Any, int]]
    rev: int
    refused: list[str]


def bases(directory: Path) -> list[Path]:
    """Return the paths of the bases in a directory, newest first."""
    return sorted(directory.glob("base-*.rec"), reverse=True)


def log_path(base: Path) -> Path:
    """Return the path of the log of a base; the log may not exist."""
    return base.with_name("log" + base.name[len("base") :])


def newest(directory: Path, labels: Iterable[str]) -> Snapshot:
    """Read the newest intact base and apply its log.

    Args:
        directory: Where the snapshots are.
        labels: The controllers of the deployment; bases of other deployments are refused.

    Raises:
        SnapshotError: There is no usable base; the message names each refused base.
    """
    refused: list[str] = []
    if not directory.is_dir():
        raise SnapshotError(f"{directory}: no such directory")
    for path in bases(directory):
        try:
            header, records = read_base(path)
        except SnapshotError as exc:
            refused.append(str(exc))
            continue
        if sorted(header.labels) != sorted(labels):
            refused.append(f"{path}: of another deployment ({', '.join(header.labels)})")
            continue
        # The log's name is derived from the header, since the base may have been renamed.
        log = directory / file_name(Header("log", [], "", header.number, header.rev, 0.0))
        rev = header.rev
        if log.exists():
            rev, problem = read_log(log, header, records)
            if problem:
                refused.append(problem)
        return Snapshot(header, records, rev, refused)
    raise SnapshotError("; ".join(refused) or f"{directory}: no records")


def prune(directory: Path, keep: int) -> None:
    """Delete unfinished files, and all bases and logs but the newest `keep`."""
    for path in bases(directory)[keep:]:
        log_path(path).unlink(missing_ok=True)
        path.unlink(missing_ok=True)
    for path in directory.glob("*.part"):
        path.unlink(missing_ok=True)
