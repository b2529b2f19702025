"""The snapshots of a directory: bases, each with the log of the changes that came after it.

`snapshot_format` has the format of the files, `snapshot_base` and `snapshot_log` the two
kinds of them. The newest base that is whole is used, with as much of its log as is whole;
files that can't be used are named.
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
    """The newest records that could be read.

    Attributes:
        header: The header of the base.
        records: Value and revision of each record, by its key.
        rev: The revision up to which the changes are in `records`.
        refused: The files that could not be used, or not to their ends, and why.
    """

    header: Header
    records: dict[str, tuple[Any, int]]
    rev: int
    refused: list[str]


def bases(directory: Path) -> list[Path]:
    """Return the bases of a directory, the newest first."""
    return sorted(directory.glob("base-*.rec"), reverse=True)


def log_path(base: Path) -> Path:
    """Return where the log of a base is, if it has one."""
    return base.with_name("log" + base.name[len("base") :])


def newest(directory: Path, labels: Iterable[str]) -> Snapshot:
    """Read the newest base that is whole, with what its log adds.

    Args:
        directory: Where the snapshots are.
        labels: The controllers of the deployment; bases of others are refused.

    Raises:
        SnapshotError: There is no base that can be used; each that was refused is named.
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
        # By the header, since a base may have been given another name.
        log = directory / file_name(Header("log", [], "", header.number, header.rev, 0.0))
        rev = header.rev
        if log.exists():
            rev, problem = read_log(log, header, records)
            if problem:
                refused.append(problem)
        return Snapshot(header, records, rev, refused)
    raise SnapshotError("; ".join(refused) or f"{directory}: no records")


def prune(directory: Path, keep: int) -> None:
    """Delete all but the newest `keep` bases and their logs, and files never finished."""
    for path in bases(directory)[keep:]:
        log_path(path).unlink(missing_ok=True)
        path.unlink(missing_ok=True)
    for path in directory.glob("*.part"):
        path.unlink(missing_ok=True)
