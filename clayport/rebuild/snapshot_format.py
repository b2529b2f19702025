"""The format of snapshot files: a sequence of blocks with checksums.

A file consists of `MAGIC` and blocks. A block consists of a head (`BLOCK_HEAD`: length, CRC-32,
number in the file) and that many bytes of msgpack compressed with zstandard. The first block is
the `Header`, the following blocks hold lists of `Row`, and the last block of a base is an `End`.
The CRC is seeded with the number of the block, so that it also detects blocks in a wrong order.
"""

from __future__ import annotations

import io
import os
import struct
import zlib
from collections.abc import Iterator
from pathlib import Path
from typing import Any, BinaryIO

import msgspec
import zstandard

from clayport.rebuild.chunk_merge import Records

MAGIC = b"CLAYREC1"
BLOCK_HEAD = struct.Struct("!III")  # length in bytes, CRC-32, number in the file
ROWS_PER_BLOCK = 500  # rows in a block of a base
MAX_BLOCK_BYTES = 64 * 1024 * 1024  # for the compressed and for the uncompressed block
COMPRESSION_LEVEL = 3


class SnapshotError(Exception):
    """A snapshot file is unusable; the message names the file and the reason."""


class Header(msgspec.Struct):
    """The first block of a file: the origin and the age of the records.

    Attributes:
        kind: "base" or "log".
        labels: The controllers of the deployment.
        history: The name of the history that the records belong to; empty if there is none.
        number: The number of that history.
        rev: The base contains all changes up to this revision; the log contains later changes.
        at: The time at which the file was begun, in seconds since 1970.
    """

    kind: str
    labels: list[str]
    history: str
    number: int
    rev: int
    at: float


class Row(msgspec.Struct, array_like=True):
    """A record as written at a revision; the value None means that it was deleted."""

    key: str
    value: Any
    rev: int


class End(msgspec.Struct):
    """The last block of a base, with the number of rows in the base."""

    count: int


def file_name(header: Header) -> str:
    """Return the file name for a header; names sort by history number and revision."""
    return f"{header.kind}-{header.number:08d}-{header.rev:016d}.rec"


def rows_of(records: Records) -> Iterator[Row]:
    """Yield the records as rows, ordered by key."""
    for key, (value, rev) in sorted(records.items()):
        yield Row(key, value, rev)


class BlockWriter:
    """Appends blocks to a file.

    Args:
        file: A binary file to which `MAGIC` has been written.

    Attributes:
        bytes: The total size of the blocks written.
    """

    def __init__(self, file: BinaryIO) -> None:
        self.file, self.count, self.bytes = file, 0, 0
        self.compressor = zstandard.ZstdCompressor(level=COMPRESSION_LEVEL)

    def write(self, value: Any) -> None:
        """Write a value as one block, without syncing it."""
        raw = self.compressor.compress(msgspec.msgpack.encode(value))
        head = BLOCK_HEAD.pack(len(raw), zlib.crc32(raw, self.count), self.count)
        self.file.write(head + raw)
        self.count += 1
        self.bytes += len(head) + len(raw)

    def sync(self) -> None:
        """Sync all written blocks to disk."""
        self.file.flush()
        os.fsync(self.file.fileno())


def sync_directory(path: Path) -> None:
    """Sync the entries of a directory to disk."""
    handle = os.open(path, os.O_RDONLY)
    try:
        os.fsync(handle)
    finally:
        os.close(handle)


def read_blocks(path: Path) -> Iterator[bytes]:
    """Yield the uncompressed blocks of a file up to the first incomplete or damaged one.

    Raises:
        SnapshotError: The file can't be read, or the next block is incomplete or damaged.
    """
    decompressor = zstandard.ZstdDecompressor()
    try:
        file = io.BytesIO(path.read_bytes())
    except OSError as exc:
        raise SnapshotError(f"{path}: {exc.strerror}") from None
    with file:
        if file.read(len(MAGIC)) != MAGIC:
            raise SnapshotError(f"{path}: not a file of records")
        number = 0
        while head := file.read(BLOCK_HEAD.size):
            if len(head) < BLOCK_HEAD.size:
                raise SnapshotError(f"{path}: cut off in block {number}")
            size, checksum, stored_number = BLOCK_HEAD.unpack(head)
            raw = file.read(size) if size <= MAX_BLOCK_BYTES else b""
            if len(raw) < size:
                raise SnapshotError(f"{path}: cut off in block {number}")
            if stored_number != number or zlib.crc32(raw, number) != checksum:
                raise SnapshotError(f"{path}: block {number} is damaged")
            try:
                yield decompressor.decompress(raw, max_output_size=MAX_BLOCK_BYTES)
            except zstandard.ZstdError as exc:
                raise SnapshotError(f"{path}: block {number}: {exc}") from None
            number += 1


def decode(path: Path, raw: bytes, kind: Any) -> Any:
    """Decode an uncompressed block as the given type.

    Raises:
        SnapshotError: The block is of another type; the message names `path`.
    """
    try:
        return msgspec.msgpack.decode(raw, type=kind)
    except msgspec.MsgspecError as exc:
        raise SnapshotError(f"{path}: {exc}") from None


def read_header(path: Path) -> Header:
    """Return the header of a base or log.

    Raises:
        SnapshotError: The file is empty or damaged.
    """
    for raw in read_blocks(path):
        header: Header = decode(path, raw, Header)
        return header
    raise SnapshotError(f"{path}: empty")
