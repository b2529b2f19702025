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
SIZE = struct.Struct("!I")
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
# The heartbeat between controllers that keep promises on cancellations (`leases.promises`).
BEAT, BEATEN = 29, 30
# Only between controllers that understand histories of the records (`rebuild`).
HISTORY, HISTORY_TOLD, EVIDENCE, EVIDENCE_TOLD = 25, 26, 27, 28

# epoch leads every request that acts on machines or tasks: one from
# another epoch is refused as a whole.
SCHEMAS: dict[int, Schema] = {
    # label, epoch, state service answers, room revision, demand: (job, pending, since,
    # zones of its other tasks)
    PING: ("s", "Q", "?", "Q", ("s", "I", "d", "s")),
    PONG: ("s", "Q", "?", "Q"),
    # the same, then: incarnation, up to which revision the records under `c/` are known
    BEAT: ("s", "Q", "?", "Q", ("s", "I", "d", "s"), "s", "Q"),
    # the same, then: incarnation, whether it promises
    BEATEN: ("s", "Q", "?", "Q", "s", "?"),
    # epoch, job, attempt, (machine, task number); answered: granted flags in order
    RESERVE: ("Q", "s", "Q", ("s", "I")),
    RESERVED: ("?", ("?",)),
    # epoch, (machine, task, attempt)
    LAUNCH: ("Q", ("s", "s", "Q")),
    # epoch, (machine, task, attempt, grace_s, clear rather than kill)
    STOP: ("Q", ("s", "s", "Q", "d", "?")),
    ADOPT: ("Q", ("s", "s", "Q")),
    ACK: ("?",),
    # epoch, (machine, task, attempt, state, why, saved)
    STATES: ("Q", ("s", "s", "Q", "s", "s", "?")),
    VERDICTS: ("?", ("B",)),
    # epoch, the table's revision that is known here, machines to be told anyway
    ROOM: ("Q", "Q", ("s",)),
    # room revision, whether this is the whole table or what changed since, machines that
    # are gone; (machine, address, type, zone, spot, open, cpus, gpus, memory, tasks, images,
    # idle_s, job that its room is kept for)
    # what is taken: (machine, standing, without GPUs, cpus, gpus, memory)
    TABLE: (
        "?",
        "Q",
        "?",
        ("s",),
        ("s", "s", "s", "s", "?", "?", "d", "d", "d", "I", "s", "d", "s"),
        ("s", "h", "?", "d", "d", "d"),
    ),
    ENDED: ("s", "s"),
    COUNTS: ("Q", "s"),
    COUNTED: ("?", "I", "I"),
    REPORT: ("Q", "b"),
    REPORTED: ("I", "b"),
    FENCE: ("Q", "s", "s"),
    DRAIN: ("Q", "s"),
    GONE: ("Q", ("s",)),
    INSPECT: ("s", "s"),
    # epoch, job, task number, machine, to drain it: has the replica another place
    MOVE: ("Q", "s", "I", "s", "?"),
    # epoch, machine, whether to drain it
    EVACUATE: ("Q", "s", "?"),
    # epoch, machine, job, its tasks that are to fit, longest time its victims may
    # take to save, teams that have borrowed and whose work of any rank may be stopped
    PREEMPT: ("Q", "s", "s", "I", "d", ("s",)),
    # history, its number, highest revision seen, whether the sender stands still, up to which
    # revision it holds the records under `c/` in memory
    HISTORY: ("s", "Q", "Q", "?", "Q"),
    HISTORY_TOLD: ("s", "Q", "Q", "?", "Q"),
    # history that is to be, part; parts there are, the part
    EVIDENCE: ("s", "I"),
    EVIDENCE_TOLD: ("I", "b"),
}


class FrameError(Exception):
    """Not a frame of ours; the connection can't be used any further."""


class _Layout:
    """A schema, compiled: runs of fields of fixed size are one `struct` each.

    `steps` holds, in order, a Struct with its number of fields, a code `s` or `b`, or the
    layout of a list's records.
    """

    __slots__ = ("steps", "width", "fixed")

    def __init__(self, schema: Schema) -> None:
        self.steps: list[tuple[struct.Struct | None, int, _Layout | str]] = []
        self.width = len(schema)
        run = ""
        for code in (*schema, None):
            if isinstance(code, str) and code not in "sb":
                run += code
                continue
            if run:
                self.steps.append((struct.Struct("!" + run), len(run), ""))
                run = ""
            if code is not None:
                self.steps.append((None, 1, _Layout(code) if isinstance(code, tuple) else code))
        # Records of nothing else are packed by one struct alone.
        self.fixed = self.steps[0][0] if len(self.steps) == 1 else None

    def pack(self, values: Any, out: list[bytes]) -> None:
        if len(values) != self.width:
            raise FrameError("fields do not match the schema")
        at = 0
        for fixed, count, part in self.steps:
            if fixed is not None:
                out.append(fixed.pack(*values[at : at + count]))
            elif isinstance(part, _Layout):
                records = values[at]
                out.append(SIZE.pack(len(records)))
                for record in records:
                    part.pack(record, out)
            else:
                raw = values[at].encode() if part == "s" else values[at]
                out.append(SIZE.pack(len(raw)))
                out.append(raw)
            at += count

    def unpack(self, body: bytes, at: int) -> tuple[list[Any], int]:
        values: list[Any] = []
        for fixed, _, part in self.steps:
            if fixed is not None:
                values += fixed.unpack_from(body, at)
                at += fixed.size
                continue
            (size,) = SIZE.unpack_from(body, at)
            at += 4
            if isinstance(part, _Layout):
                if size > len(body) - at:
                    raise FrameError("a list is longer than its frame")
                records, at = part.records(body, at, size)
                values.append(records)
                continue
            raw = body[at : at + size]
            if len(raw) != size:
                raise FrameError("truncated")
            at += size
            values.append(raw.decode() if part == "s" else raw)
        return values, at

    def records(self, body: bytes, at: int, count: int) -> tuple[list[tuple[Any, ...]], int]:
        if self.fixed is not None:
            end = at + count * self.fixed.size
            if end > len(body):
                raise FrameError("truncated")
            return list(self.fixed.iter_unpack(body[at:end])), end
        found = []
        for _ in range(count):
            record, at = self.unpack(body, at)
            found.append(tuple(record))
        return found, at


LAYOUTS = {kind: _Layout(schema) for kind, schema in SCHEMAS.items()}


def encode(kind: int, number: int, values: tuple[Any, ...]) -> bytes:
    """A whole frame."""
    out: list[bytes] = []
    try:
        LAYOUTS[kind].pack(values, out)
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
        values, at = LAYOUTS[kind].unpack(body, 0)
    except (struct.error, UnicodeDecodeError) as exc:
        raise FrameError(str(exc)) from None
    if at != len(body):
        raise FrameError("bytes left over")
    return tuple(values)
