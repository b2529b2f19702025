"""The frames between controllers, packed with struct.

A frame is a header (magic, version, kind, request number, body length) and a body laid out by
the schema of its kind. A schema is a tuple of field codes: `B`, `h`, `I`, `Q`, `d` and `?` as in
`struct` (big-endian, unpadded); `s` text in UTF-8 and `b` bytes, each after its length; a tuple
of codes is a list of records, after their number.

The functions here are on the path of every exchange between controllers. So headers and bodies
are bare tuples, and runs of fields of fixed size are packed by one `struct` call each.
"""

from __future__ import annotations

import struct
from enum import IntEnum
from typing import Any

from clayport.transport import TransportError

MAGIC = 0xC1A7
VERSION = 2
HEADER = struct.Struct("!HBBII")  # magic, version, kind, request number, body length in bytes
SIZE = struct.Struct("!I")  # bytes of a text or of bytes, or number of a list's records
SIZE_BYTES = SIZE.size
MAX_BODY = 4 * 1024 * 1024  # bytes

Schema = tuple[Any, ...]
Fields = tuple[Any, ...]


class FrameError(TransportError):
    """Not a frame of this protocol; the connection can't be used any further."""


class FrameEncodeError(FrameError):
    """The fields don't fit the schema of their kind, or the frame would be too large."""


class FrameDecodeError(FrameError):
    """The bytes received are no frame, or its body doesn't follow the schema of its kind."""


class FrameKind(IntEnum):
    """What a frame asks or answers; the numbers are those on the wire."""

    PING = 1
    PONG = 2
    RESERVE = 3
    RESERVED = 4
    LAUNCH = 5
    STOP = 6
    ADOPT = 7
    ACK = 8
    TASK_STATES = 9
    VERDICTS = 10
    FREE_ROOM = 11
    TABLE = 12
    JOB_ENDED = 13
    COUNTS = 14
    COUNTED = 15
    REPORT = 16
    REPORTED = 17
    FENCE = 18
    DRAIN = 19
    GONE = 20
    INSPECT = 21
    PREEMPT = 22
    EVACUATE = 23
    MOVE = 24
    # Only between controllers that understand histories of the records (`rebuild`).
    HISTORY = 25
    HISTORY_REPLY = 26
    EVIDENCE = 27
    EVIDENCE_REPLY = 28
    # The heartbeat between controllers that keep promises on cancellations
    # (`leases.cancellations`).
    HEARTBEAT = 29
    HEARTBEAT_REPLY = 30


# The kinds as names of this module: `frames.PING`. (Looking a member up in its class costs
# more than a name of a module does.)
PING, PONG = FrameKind.PING, FrameKind.PONG
RESERVE, RESERVED = FrameKind.RESERVE, FrameKind.RESERVED
LAUNCH, STOP, ADOPT = FrameKind.LAUNCH, FrameKind.STOP, FrameKind.ADOPT
ACK = FrameKind.ACK
TASK_STATES, VERDICTS = FrameKind.TASK_STATES, FrameKind.VERDICTS
FREE_ROOM, TABLE = FrameKind.FREE_ROOM, FrameKind.TABLE
JOB_ENDED = FrameKind.JOB_ENDED
COUNTS, COUNTED = FrameKind.COUNTS, FrameKind.COUNTED
REPORT, REPORTED = FrameKind.REPORT, FrameKind.REPORTED
FENCE, DRAIN, GONE = FrameKind.FENCE, FrameKind.DRAIN, FrameKind.GONE
INSPECT = FrameKind.INSPECT
PREEMPT, EVACUATE, MOVE = FrameKind.PREEMPT, FrameKind.EVACUATE, FrameKind.MOVE
HISTORY, HISTORY_REPLY = FrameKind.HISTORY, FrameKind.HISTORY_REPLY
EVIDENCE, EVIDENCE_REPLY = FrameKind.EVIDENCE, FrameKind.EVIDENCE_REPLY
HEARTBEAT, HEARTBEAT_REPLY = FrameKind.HEARTBEAT, FrameKind.HEARTBEAT_REPLY

# -- records in lists ---------------------------------------------------------------

# job, pending tasks, since when (s), zones of its other tasks
DEMAND: Schema = ("s", "I", "d", "s")
# machine, task, attempt
TASK: Schema = ("s", "s", "Q")
# machine, address, type, zone, spot, open, cpus, gpus, memory (GB), tasks, images, idle time (s),
# job that its room is kept for
MACHINE: Schema = ("s", "s", "s", "s", "?", "?", "d", "d", "d", "I", "s", "d", "s")
# machine, standing, without GPUs, cpus, gpus, memory (GB)
TAKEN: Schema = ("s", "h", "?", "d", "d", "d")

# The epoch leads every request that acts on machines or tasks: one from another epoch is
# refused as a whole.
SCHEMAS: dict[int, Schema] = {
    # label, epoch, whether the state service answers, room revision, demands
    PING: ("s", "Q", "?", "Q", DEMAND),
    # label, epoch, whether the state service answers, room revision
    PONG: ("s", "Q", "?", "Q"),
    # the same as in PING, incarnation, revision up to which the records under `c/` are known
    HEARTBEAT: ("s", "Q", "?", "Q", DEMAND, "s", "Q"),
    # the same as in PONG, incarnation, whether it promises
    HEARTBEAT_REPLY: ("s", "Q", "?", "Q", "s", "?"),
    # epoch, job, attempt, list of (machine, task number)
    RESERVE: ("Q", "s", "Q", ("s", "I")),
    # whether answered, list of whether granted, in the order of the request
    RESERVED: ("?", ("?",)),
    # epoch, tasks
    LAUNCH: ("Q", TASK),
    # epoch, list of (machine, task, attempt, grace (s), whether to clear rather than kill)
    STOP: ("Q", ("s", "s", "Q", "d", "?")),
    # epoch, tasks
    ADOPT: ("Q", TASK),
    # whether agreed
    ACK: ("?",),
    # epoch, list of (machine, task, attempt, state, cause, whether it has saved)
    TASK_STATES: ("Q", ("s", "s", "Q", "s", "s", "?")),
    # whether answered, list of verdicts, in the order of the request
    VERDICTS: ("?", ("B",)),
    # epoch, revision of the table that the sender knows, machines to be told anyway
    FREE_ROOM: ("Q", "Q", ("s",)),
    # whether answered, room revision, whether this is the whole table or what has changed since,
    # machines that are gone, machines, what is taken on them
    TABLE: ("?", "Q", "?", ("s",), MACHINE, TAKEN),
    # job, its final state
    JOB_ENDED: ("s", "s"),
    # epoch, job
    COUNTS: ("Q", "s"),
    # whether answered, tasks that are done, tasks that run
    COUNTED: ("?", "I", "I"),
    # epoch, a worker's report as it came
    REPORT: ("Q", "b"),
    # HTTP status, body of the answer to the worker
    REPORTED: ("I", "b"),
    # epoch, machine, cause
    FENCE: ("Q", "s", "s"),
    # epoch, machine
    DRAIN: ("Q", "s"),
    # epoch, machines
    GONE: ("Q", ("s",)),
    # machine, address
    INSPECT: ("s", "s"),
    # epoch, job, task number, machine, whether to drain it
    MOVE: ("Q", "s", "I", "s", "?"),
    # epoch, machine, whether to drain it
    EVACUATE: ("Q", "s", "?"),
    # epoch, machine, job, number of its tasks that are to fit, longest time its victims may take
    # to save (s), teams that have borrowed and whose work of any rank may be stopped
    PREEMPT: ("Q", "s", "s", "I", "d", ("s",)),
    # history, its number, highest revision seen, whether the sender stands still, revision up to
    # which it holds the records under `c/` in memory
    HISTORY: ("s", "Q", "Q", "?", "Q"),
    HISTORY_REPLY: ("s", "Q", "Q", "?", "Q"),
    # history that is to be, number of the part
    EVIDENCE: ("s", "I"),
    # number of parts, the part
    EVIDENCE_REPLY: ("I", "b"),
}


class _Layout:
    """A schema, compiled: runs of fields of fixed size are one `struct` each.

    `steps` holds, in order, a Struct with its number of fields, a code `s` or `b`, or the
    layout of a list's records.
    """

    __slots__ = ("fixed", "steps", "width")

    def __init__(self, schema: Schema) -> None:
        self.steps: list[tuple[struct.Struct | None, int, _Layout | str]] = []
        self.width = len(schema)
        run = ""  # codes of fixed size since the last field of another kind
        for code in (*schema, None):
            # None ends the last run.
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
        """Append the packed `values` to `out`.

        Raises:
            FrameEncodeError: There are more or fewer values than fields.
            struct.error: A value is out of its field's range, or of another type.
        """
        if len(values) != self.width:
            raise FrameEncodeError("fields do not match the schema")
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
        """Read one record from offset `at` of `body`; return its values and the offset after it.

        Raises:
            FrameDecodeError: A text, bytes or a list end beyond the body.
            struct.error: The body ends within a field of fixed size.
            UnicodeDecodeError: A text isn't UTF-8.
        """
        values: list[Any] = []
        for fixed, _, part in self.steps:
            if fixed is not None:
                values += fixed.unpack_from(body, at)
                at += fixed.size
                continue
            (size,) = SIZE.unpack_from(body, at)
            at += SIZE_BYTES
            if isinstance(part, _Layout):
                if size > len(body) - at:
                    raise FrameDecodeError("a list is longer than its frame")
                records, at = part.unpack_list(body, at, size)
                values.append(records)
                continue
            raw = body[at : at + size]
            if len(raw) != size:
                raise FrameDecodeError("truncated")
            at += size
            values.append(raw.decode() if part == "s" else raw)
        return values, at

    def unpack_list(self, body: bytes, at: int, count: int) -> tuple[list[Fields], int]:
        """Read `count` records from offset `at`; return them and the offset after them."""
        if self.fixed is not None:
            end = at + count * self.fixed.size
            if end > len(body):
                raise FrameDecodeError("truncated")
            return list(self.fixed.iter_unpack(body[at:end])), end
        found = []
        for _ in range(count):
            record, at = self.unpack(body, at)
            found.append(tuple(record))
        return found, at


LAYOUTS: dict[int, _Layout] = {kind: _Layout(schema) for kind, schema in SCHEMAS.items()}


def encode(kind: int, number: int, values: Fields) -> bytes:
    """Pack a whole frame: the request `number` and the fields of its kind.

    Raises:
        FrameEncodeError: The values don't fit the kind's schema, or are too large.
    """
    out: list[bytes] = []
    try:
        LAYOUTS[kind].pack(values, out)
    except struct.error as exc:
        raise FrameEncodeError(str(exc)) from None
    body = b"".join(out)
    if len(body) > MAX_BODY:
        raise FrameEncodeError("too large")
    return HEADER.pack(MAGIC, VERSION, kind, number, len(body)) + body


def decode_header(raw: bytes) -> tuple[int, int, int]:
    """Return the kind, the request number and the body's length in bytes.

    Raises:
        FrameDecodeError: The header is none of this version, of an unknown kind, or announces
            more than `MAX_BODY` bytes.
    """
    magic, version, kind, number, size = HEADER.unpack(raw)
    if magic != MAGIC or version != VERSION or kind not in SCHEMAS or size > MAX_BODY:
        raise FrameDecodeError(
            f"bad header: magic {magic:#x}, version {version}, kind {kind}, {size} B"
        )
    return kind, number, size


def decode_body(kind: int, body: bytes) -> Fields:
    """Return the fields of a body.

    Raises:
        FrameDecodeError: The body doesn't follow the kind's schema to its last byte.
    """
    try:
        values, at = LAYOUTS[kind].unpack(body, 0)
    except (struct.error, UnicodeDecodeError) as exc:
        raise FrameDecodeError(str(exc)) from None
    if at != len(body):
        raise FrameDecodeError("bytes left over")
    return tuple(values)
