"""Snapshots of the records in a directory: a base, and the changes that came after it.

A file is a row of blocks, each its length, a checksum and its number in the file, then as
much of compressed msgpack. The first says whose records these are and as of which revision,
the last of a base how many there are. A base is written beside its name, synced, and only
then given it; a log is synced with each block. So whatever is cut off, by an end at any
moment, is found out: of a log what is whole before it is used, of a base nothing.
"""

from __future__ import annotations

import io
import os
import struct
import zlib
from collections.abc import Iterable, Iterator
from pathlib import Path
from typing import Any, BinaryIO

import msgspec
import zstandard

from clayport.rebuild.chunk_merge import Records

MAGIC = b"CLAYREC1"
BLOCK = struct.Struct("!III")
# Rows of a block, and the most that one may unpack to.
ROWS, BLOCK_MOST = 500, 64 * 1024 * 1024


class SnapshotError(Exception):
    """A file that can't be used; the message names it and says why."""


class Header(msgspec.Struct):
    """Whose records a file holds, and as of when."""

    kind: str  # "base" or "log"
    labels: list[str]  # the controllers of the deployment
    history: str
    number: int  # of the history
    rev: int  # all changes up to this one are in the base, and none of them in the log
    at: float  # time of day


class Row(msgspec.Struct, array_like=True):
    """A record as it is from a revision on; None: removed."""

    key: str
    value: Any
    rev: int


class End(msgspec.Struct):
    """The last block of a base: how many rows came before it."""

    count: int


def name_of(header: Header) -> str:
    """Return the file name that belongs to a header; names sort by history and revision."""
    return f"{header.kind}-{header.number:08d}-{header.rev:016d}.rec"


class Writer:
    """Blocks at the end of a file, each synced before it counts."""

    def __init__(self, file: BinaryIO) -> None:
        self.file, self.count, self.bytes = file, 0, 0
        self.zip = zstandard.ZstdCompressor(level=3)

    def block(self, value: Any) -> None:
        """Write one value as a block; it is not synced yet."""
        raw = self.zip.compress(msgspec.msgpack.encode(value))
        head = BLOCK.pack(len(raw), zlib.crc32(raw, self.count), self.count)
        self.file.write(head + raw)
        self.count += 1
        self.bytes += len(head) + len(raw)

    def sync(self) -> None:
        """Return once all blocks written are on the disk."""
        self.file.flush()
        os.fsync(self.file.fileno())


def _sync_directory(path: Path) -> None:
    handle = os.open(path, os.O_RDONLY)
    try:
        os.fsync(handle)
    finally:
        os.close(handle)


def write_base(directory: Path, header: Header, rows: Iterable[Row]) -> Path:
    """A whole base, under its name only once all of it is on the disk."""
    path = directory / name_of(header)
    draft = path.with_suffix(".part")
    with open(draft, "wb") as file:
        file.write(MAGIC)
        writer = Writer(file)
        writer.block(header)
        count, part = 0, []
        for row in rows:
            part.append(row)
            count += 1
            if len(part) == ROWS:
                writer.block(part)
                part = []
        if part:
            writer.block(part)
        writer.block(End(count))
        writer.sync()
    os.replace(draft, path)
    _sync_directory(directory)
    return path


class Log:
    """The changes after a base."""

    def __init__(self, directory: Path, header: Header) -> None:
        self.path = directory / name_of(header)
        self.file = open(self.path, "wb")  # noqa: SIM115 - open as long as it is written
        self.file.write(MAGIC)
        self.writer = Writer(self.file)
        self.writer.block(header)
        self.writer.sync()
        _sync_directory(directory)

    @property
    def bytes(self) -> int:
        """Bytes written to the log so far."""
        return self.writer.bytes

    def append(self, rows: list[Row]) -> None:
        """On the disk when this returns."""
        self.writer.block(rows)
        self.writer.sync()

    def close(self) -> None:
        """Close the file."""
        self.file.close()


def _blocks(path: Path) -> Iterator[bytes]:
    """The blocks of a file that are whole; SnapshotError at the first that isn't."""
    unzip = zstandard.ZstdDecompressor()
    try:
        file = io.BytesIO(path.read_bytes())
    except OSError as exc:
        raise SnapshotError(f"{path}: {exc.strerror}") from None
    with file:
        if file.read(len(MAGIC)) != MAGIC:
            raise SnapshotError(f"{path}: not a file of records")
        number = 0
        while head := file.read(BLOCK.size):
            if len(head) < BLOCK.size:
                raise SnapshotError(f"{path}: cut off in block {number}")
            size, check, found = BLOCK.unpack(head)
            raw = file.read(size) if size <= BLOCK_MOST else b""
            if len(raw) < size:
                raise SnapshotError(f"{path}: cut off in block {number}")
            if found != number or zlib.crc32(raw, number) != check:
                raise SnapshotError(f"{path}: block {number} is damaged")
            try:
                yield unzip.decompress(raw, max_output_size=BLOCK_MOST)
            except zstandard.ZstdError as exc:
                raise SnapshotError(f"{path}: block {number}: {exc}") from None
            number += 1


def _decode(path: Path, raw: bytes, kind: Any) -> Any:
    try:
        return msgspec.msgpack.decode(raw, type=kind)
    except msgspec.MsgspecError as exc:
        raise SnapshotError(f"{path}: {exc}") from None


def read_header(path: Path) -> Header:
    """Return the header of a base or log.

    Raises:
        SnapshotError: The file is empty or damaged.
    """
    for raw in _blocks(path):
        header: Header = _decode(path, raw, Header)
        return header
    raise SnapshotError(f"{path}: empty")


def read_base(path: Path) -> tuple[Header, dict[str, tuple[Any, int]]]:
    """A base, whole or not at all."""
    header: Header | None = None
    records: dict[str, tuple[Any, int]] = {}
    last: list[Row] | End | None = None
    for raw in _blocks(path):
        if header is None:
            header = _decode(path, raw, Header)
            if header.kind != "base":
                raise SnapshotError(f"{path}: a {header.kind}, not a base")
            continue
        last = _decode(path, raw, list[Row] | End)
        if isinstance(last, list):
            records.update({r.key: (r.value, r.rev) for r in last})
    if header is None:
        raise SnapshotError(f"{path}: empty")
    if not isinstance(last, End) or last.count != len(records):
        raise SnapshotError(f"{path}: its end is missing")
    return header, records


def read_log(path: Path, base: Header, records: dict[str, tuple[Any, int]]) -> tuple[int, str]:
    """Carry out a base's log, as far as it is whole; up to which revision, and what is wrong
    with the rest of it (nothing: empty)."""
    rev, first = base.rev, True
    try:
        for raw in _blocks(path):
            if first:
                header = _decode(path, raw, Header)
                if (header.kind, header.history, header.rev) != ("log", base.history, base.rev):
                    return rev, f"{path}: of another base"
                first = False
                continue
            for row in _decode(path, raw, list[Row]):
                if row.value is None:
                    records.pop(row.key, None)
                else:
                    records[row.key] = (row.value, row.rev)
                rev = max(rev, row.rev)
    except SnapshotError as exc:
        return rev, str(exc)
    return rev, ""


class Found(msgspec.Struct):
    """The newest records that could be read."""

    header: Header
    records: dict[str, tuple[Any, int]]
    rev: int
    refused: list[str]  # files that could not be used, or not to their ends, and why


def bases(directory: Path) -> list[Path]:
    """The bases of a directory, the newest first."""
    return sorted(directory.glob("base-*.rec"), reverse=True)


def newest(directory: Path, labels: Iterable[str]) -> Found:
    """The newest base that is whole, with what its log adds. SnapshotError if there is none."""
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
        log = directory / name_of(Header("log", [], "", header.number, header.rev, 0.0))
        rev = header.rev
        if log.exists():
            rev, why = read_log(log, header, records)
            if why:
                refused.append(why)
        return Found(header, records, rev, refused)
    raise SnapshotError("; ".join(refused) or f"{directory}: no records")


def prune(directory: Path, keep: int) -> None:
    """Leave the newest `keep` bases with their logs, and nothing that was never finished."""
    for path in bases(directory)[keep:]:
        path.with_name("log" + path.name[len("base") :]).unlink(missing_ok=True)
        path.unlink(missing_ok=True)
    for path in directory.glob("*.part"):
        path.unlink(missing_ok=True)


def rows_of(records: Records) -> Iterator[Row]:
    """Yield the records as rows in the order of their keys."""
    for key, (value, rev) in sorted(records.items()):
        yield Row(key, value, rev)
