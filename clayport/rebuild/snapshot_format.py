"""The format of a snapshot file: blocks that can each be checked.

A file is `MAGIC`, then blocks. A block is a head (`BLOCK`: length, CRC-32, number in the
file) and that many bytes of msgpack compressed with zstandard. The first block is the
`Header`; the blocks after it hold lists of `Row`; the last of a base is an `End`. The CRC
begins with the block's number, so blocks that have changed places are found out too.
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
BLOCK = struct.Struct("!III")  # length in bytes, CRC-32, number in the file
ROWS = 500  # rows of a block of a base
BLOCK_MOST = 64 * 1024 * 1024  # bytes of a block, compressed and not, at most
COMPRESSION_LEVEL = 3


class SnapshotError(Exception):
    """A snapshot file can't be used; the message names the file and says why."""


class Header(msgspec.Struct):
    """Whose records a file holds, and as of when.

    Attributes:
        kind: "base" or "log".
        labels: The controllers of the deployment.
        history: The name of the history that the records belong to; empty if there is none.
        number: The number of that history.
        rev: All changes up to this revision are in the base, and none of them in the log.
        at: When the file was begun, in seconds since 1970.
    """

    kind: str
    labels: list[str]
    history: str
    number: int
    rev: int
    at: float


class Row(msgspec.Struct, array_like=True):
    """A record as it is from a revision on; a value of None: it was removed."""

    key: str
    value: Any
    rev: int


class End(msgspec.Struct):
    """The last block of a base: how many rows came before it."""

    count: int


def file_name(header: Header) -> str:
    """Return the file name that belongs to a header; names sort by history and revision."""
    return f"{header.kind}-{header.number:08d}-{header.rev:016d}.rec"


def rows_of(records: Records) -> Iterator[Row]:
    """Yield the records as rows in the order of their keys."""
    for key, (value, rev) in sorted(records.items()):
        yield Row(key, value, rev)


class BlockWriter:
    """Appends blocks to a file.

    Args:
        file: A binary file to which `MAGIC` has been written.

    Attributes:
        bytes: Bytes of all blocks written.
    """

    def __init__(self, file: BinaryIO) -> None:
        self.file, self.count, self.bytes = file, 0, 0
        self.compressor = zstandard.ZstdCompressor(level=COMPRESSION_LEVEL)

    def write(self, value: Any) -> None:
        """Write one value as a block; it is not synced yet."""
        raw = self.compressor.compress(msgspec.msgpack.encode(value))
        head = BLOCK.pack(len(raw), zlib.crc32(raw, self.count), self.count)
        self.file.write(head + raw)
        self.count += 1
        self.bytes += len(head) + len(raw)

    def sync(self) -> None:
        """Return once all blocks written are on the disk."""
        self.file.flush()
        os.fsync(self.file.fileno())


def sync_directory(path: Path) -> None:
    """Return once the names of the files in a directory are on the disk."""
    handle = os.open(path, os.O_RDONLY)
    try:
        os.fsync(handle)
    finally:
        os.close(handle)


def read_blocks(path: Path) -> Iterator[bytes]:
    """Yield the uncompressed blocks of a file, up to the first that is not whole.

    Raises:
        SnapshotError: The file can't be read, or its next block is cut off or damaged.
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
        while head := file.read(BLOCK.size):
            if len(head) < BLOCK.size:
                raise SnapshotError(f"{path}: cut off in block {number}")
            size, checksum, stored_number = BLOCK.unpack(head)
            raw = file.read(size) if size <= BLOCK_MOST else b""
            if len(raw) < size:
                raise SnapshotError(f"{path}: cut off in block {number}")
            if stored_number != number or zlib.crc32(raw, number) != checksum:
                raise SnapshotError(f"{path}: block {number} is damaged")
            try:
                yield decompressor.decompress(raw, max_output_size=BLOCK_MOST)
            except zstandard.ZstdError as exc:
                raise SnapshotError(f"{path}: block {number}: {exc}") from None
            number += 1


def decode(path: Path, raw: bytes, kind: Any) -> Any:
    """Decode an uncompressed block as the given type.

    Raises:
        SnapshotError: It is of another type; `path` is named.
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
