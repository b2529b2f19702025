"""The frames between controllers, packed by hand with struct.

A frame is a header (magic, version, kind, request number, body length) and a
body laid out by the kind's schema. Field codes: B, h, I, Q, d as in struct; `?` a
flag; `s` text and `b` bytes, each after its length; a tuple of codes is a list
of records.
"""

from __future__ import annotations

import struct
from typing import Any

MAGIC = 0xC1A7
VERSION = 2
HEADER = struct.Struct("!HBBII")
MAX_BODY = 4 * 1024 * 1024

Schema = tuple[Any, ...]

PING, PONG = 1, 2
RESERVE, RESERVED = 3, 4
LAUNCH, STOP, ADOPT, ACK = 5, 6, 7, 8
STATES, VERDICTS = 9, 10
ROOM, TABLE = 11, 12
ENDED = 13
COUNTS, COUNTED = 14, 15
REPORT, REPORTED = 16, 17
FENCE, DRAIN, GONE = 18, 19, 20
INSPECT = 21
PREEMPT, EVACUATE, MOVE = 22, 23, 24

# generation leads every request that acts on machines or tasks: one from
# another generation is refused as a whole.
SCHEMAS: dict[int, Schema] = {
    # label, generation, state service answers, room revision, demand: (job, pending, since,
    # zones of its other tasks)
    PING: ("s", "Q", "?", "Q", ("s", "I", "d", "s")),
    PONG: ("s", "Q", "?", "Q"),
    # generation, job, attempt, (machine, task number); answered: granted flags in order
    RESERVE: ("Q", "s", "Q", ("s", "I")),
    RESERVED: ("?", ("?",)),
    # generation, (machine, task, attempt)
    LAUNCH: ("Q", ("s", "s", "Q")),
    # generation, (machine, task, attempt, grace_s, clear rather than kill)
    STOP: ("Q", ("s", "s", "Q", "d", "?")),
    ADOPT: ("Q", ("s", "s", "Q")),
    ACK: ("?",),
    # generation, (machine, task, attempt, state, why, saved)
    STATES: ("Q", ("s", "s", "Q", "s", "s", "?")),
    VERDICTS: ("?", ("B",)),
    # generation, the table's revision that is known here, machines to be told anyway
    ROOM: ("Q", "Q", ("s",)),
    # room revision, whether this is the whole table or what changed since, machines that
    # are gone; (machine, address, type, zone, spot, open, cpus, gpus, memory, tasks, images,
    # idle_s, job that its room is kept for)
    # what is taken: (machine, standing, without GPUs, cpus, gpus, memory)
    TABLE: ("?", "Q", "?", ("s",),
            ("s", "s", "s", "s", "?", "?", "d", "d", "d", "I", "s", "d", "s"),
            ("s", "h", "?", "d", "d", "d")),
    ENDED: ("s", "s"),
    COUNTS: ("Q", "s"),
    COUNTED: ("?", "I", "I"),
    REPORT: ("Q", "b"),
    REPORTED: ("I", "b"),
    FENCE: ("Q", "s", "s"),
    DRAIN: ("Q", "s"),
    GONE: ("Q", ("s",)),
    INSPECT: ("s", "s"),
    # generation, job, task number, machine, to drain it: has the replica another place
    MOVE: ("Q", "s", "I", "s", "?"),
    # generation, machine, whether to drain it
    EVACUATE: ("Q", "s", "?"),
    # generation, machine, job, its tasks that are to fit, longest time its victims may
    # take to save, teams that have borrowed and whose work of any rank may be stopped
    PREEMPT: ("Q", "s", "s", "I", "d", ("s",)),
}


class FrameError(Exception):
    """Not a frame of ours; the connection can't be used any further."""


def _pack(schema: Schema, values: Any, out: list[bytes]) -> None:
    if len(schema) != len(values):
        raise FrameError("fields do not match the schema")
    for code, value in zip(schema, values):
        if isinstance(code, tuple):
            out.append(struct.pack("!I", len(value)))
            for record in value:
                _pack(code, record, out)
        elif code == "s" or code == "b":
            raw = value.encode() if code == "s" else value
            out.append(struct.pack("!I", len(raw)))
            out.append(raw)
        else:
            out.append(struct.pack("!" + code, value))


def _unpack(schema: Schema, body: bytes, at: int) -> tuple[list[Any], int]:
    values: list[Any] = []
    for code in schema:
        if isinstance(code, tuple):
            (count,) = struct.unpack_from("!I", body, at)
            at += 4
            if count > len(body) - at:
                raise FrameError("a list is longer than its frame")
            records = []
            for _ in range(count):
                record, at = _unpack(code, body, at)
                records.append(tuple(record))
            values.append(records)
        elif code == "s" or code == "b":
            (size,) = struct.unpack_from("!I", body, at)
            at += 4
            raw = body[at:at + size]
            if len(raw) != size:
                raise FrameError("truncated")
            at += size
            values.append(raw.decode() if code == "s" else raw)
        else:
            (value,) = struct.unpack_from("!" + code, body, at)
            at += struct.calcsize("!" + code)
            values.append(value)
    return values, at


def encode(kind: int, number: int, values: tuple[Any, ...]) -> bytes:
    """A whole frame."""
    out: list[bytes] = []
    try:
        _pack(SCHEMAS[kind], values, out)
    except struct.error as exc:
        raise FrameError(str(exc)) from None
    body = b"".join(out)
    if len(body) > MAX_BODY:
        raise FrameError("too large")
    return HEADER.pack(MAGIC, VERSION, kind, number, len(body)) + body


def decode_header(raw: bytes) -> tuple[int, int, int]:
    """(kind, request number, body length) of a frame's header."""
    magic, version, kind, number, size = HEADER.unpack(raw)
    if magic != MAGIC or version != VERSION or kind not in SCHEMAS or size > MAX_BODY:
        raise FrameError(f"bad header: magic {magic:#x}, version {version}, kind {kind}, {size} B")
    return kind, number, size


def decode_body(kind: int, body: bytes) -> tuple[Any, ...]:
    try:
        values, at = _unpack(SCHEMAS[kind], body, 0)
    except (struct.error, UnicodeDecodeError) as exc:
        raise FrameError(str(exc)) from None
    if at != len(body):
        raise FrameError("bytes left over")
    return tuple(values)
