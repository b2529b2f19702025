"""Binary frames exchanged between controllers, packed with `struct`.

A frame is a header (magic, version, kind, request number, body length) and a body whose layout
is the schema of the frame's kind. A schema is a tuple of field codes. `B`, `h`, `I`, `Q`, `d`
and `?` have the meaning they have in `struct` (big-endian, unpadded). `s` is UTF-8 text and `b`
is bytes, both length-prefixed. A nested tuple of codes is a list of records, prefixed with
their number.

Every exchange between controllers runs through these functions. For speed, headers and bodies
are plain tuples, and each run of fixed-size fields is packed by a single `struct` call.
"""

from __future__ import annotations

import struct
from enum import IntEnum
from typing import Any

from clayport.transport import TransportError

MAGIC = 0xC1A7
VERSION = 2
HEADER = struct.Struct("!HBBII")  # magic, version, kind, request number, body length in bytes
# The length of a text or of bytes, or the number of records in a list.
LENGTH_PREFIX = struct.Struct("!I")
LENGTH_PREFIX_BYTES = LENGTH_PREFIX.size
MAX_BODY = 4 * 1024 * 1024  # bytes

Schema = tuple[Any, ...]
Fields = tuple[Any, ...]


class FrameError(TransportError):
    """A frame violates the protocol, so its connection can't be used any further."""


class FrameEncodeError(FrameError):
    """The fields don't match the schema of their kind, or the frame would be too large."""


class FrameDecodeError(FrameError):
    """The received bytes are not a frame, or the body doesn't match the schema of its kind."""


class FrameKind(IntEnum):
    """The kind of a request or reply; the numbers are sent on the wire."""

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
    # Sent only between controllers that support record histories (package `rebuild`).
    HISTORY = 25
    HISTORY_REPLY = 26
    EVIDENCE = 27
    EVIDENCE_REPLY = 28
    # Heartbeats that renew promises about cancellations (package `leases`).
    HEARTBEAT = 29
    HEARTBEAT_REPLY = 30


# Aliases such as `frames.PING`, because looking up a module attribute is faster than looking up
# a member of an enum class.
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

# -- schemas of list records --------------------------------------------------------

# job, waiting tasks, how long they have waited (s), zones of its other tasks
DEMAND: Schema = ("s", "I", "d", "s")
# machine, task, attempt
TASK: Schema = ("s", "s", "Q")
# machine, address, type, zone, spot, which new tasks it takes (`Admission`), free CPUs, free GPUs,
# free memory (GB), tasks, images, idle time (s), job that the room is reserved for
MACHINE: Schema = ("s", "s", "s", "s", "?", "B", "d", "d", "d", "I", "s", "d", "s")
# machine, preemption rank of the jobs, whether they use no GPUs, CPUs, GPUs and memory (GB) in use
USED_ROOM: Schema = ("s", "h", "?", "d", "d", "d")

# Every request that acts on machines or tasks begins with the epoch, because the receiver
# rejects the whole request if it comes from another epoch.
SCHEMAS: dict[int, Schema] = {
    # label, epoch, whether the state service answers, room revision, demand rows
    PING: ("s", "Q", "?", "Q", DEMAND),
    # label, epoch, whether the state service answers, room revision
    PONG: ("s", "Q", "?", "Q"),
    # the fields of PING, incarnation, revision up to which the sender has read records under `c/`
    HEARTBEAT: ("s", "Q", "?", "Q", DEMAND, "s", "Q"),
    # the fields of PONG, incarnation, whether the promise is renewed
    HEARTBEAT_REPLY: ("s", "Q", "?", "Q", "s", "?"),
    # epoch, job, attempt, list of (machine, task number)
    RESERVE: ("Q", "s", "Q", ("s", "I")),
    # whether the request was accepted, whether each reservation is granted, in request order
    RESERVED: ("?", ("?",)),
    # epoch, tasks
    LAUNCH: ("Q", TASK),
    # epoch, list of (machine, task, attempt, grace (s), whether to clear rather than kill)
    STOP: ("Q", ("s", "s", "Q", "d", "?")),
    # epoch, tasks
    ADOPT: ("Q", TASK),
    # whether the request was accepted
    ACK: ("?",),
    # epoch, list of (machine, task, attempt, state, cause, whether a checkpoint is saved)
    TASK_STATES: ("Q", ("s", "s", "Q", "s", "s", "?")),
    # whether the request was accepted, list of verdicts, in request order
    VERDICTS: ("?", ("B",)),
    # epoch, revision of the table that the sender has, machines to include even if unchanged
    FREE_ROOM: ("Q", "Q", ("s",)),
    # whether the request was accepted, room revision, whether this is the whole table rather than
    # the changes, removed machines, machines, resources in use on them
    TABLE: ("?", "Q", "?", ("s",), MACHINE, USED_ROOM),
    # job, final state
    JOB_ENDED: ("s", "s"),
    # epoch, job
    COUNTS: ("Q", "s"),
    # whether the request was accepted, tasks done, tasks running
    COUNTED: ("?", "I", "I"),
    # epoch, body of a worker's report as received
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
    # epoch, machine, job, number of its tasks to make room for, longest time that victims may take
    # to save (s), borrowing teams, whose tasks of any rank may be preempted
    PREEMPT: ("Q", "s", "s", "I", "d", ("s",)),
    # history, its number, highest revision seen, whether the sender suspects its history and has
    # stopped, revision up to which the sender has the records under `c/` in memory
    HISTORY: ("s", "Q", "Q", "?", "Q"),
    HISTORY_REPLY: ("s", "Q", "Q", "?", "Q"),
    # history to be established, index of the part
    EVIDENCE: ("s", "I"),
    # number of parts, the part
    EVIDENCE_REPLY: ("I", "b"),
}


class _Layout:
    """A compiled schema in which each run of fixed-size fields is a single `struct.Struct`.

    Attributes:
        steps: The runs of fixed-size fields and the single other fields, in field order. Each is a
            tuple of the `Struct` of the run (None for another field), the number of fields, and
            for another field its code (`s` or `b`) or the layout of the list's records.
        width: The number of fields.
        fixed: The only `Struct` if all fields have a fixed size, otherwise None.
    """

    __slots__ = ("fixed", "steps", "width")

    def __init__(self, schema: Schema) -> None:
        self.steps: list[tuple[struct.Struct | None, int, _Layout | str]] = []
        self.width = len(schema)
        run = ""  # codes of the current run of fixed-size fields
        for code in (*schema, None):
            # The trailing None ends the last run.
            if isinstance(code, str) and code not in "sb":
                run += code
                continue
            if run:
                self.steps.append((struct.Struct("!" + run), len(run), ""))
                run = ""
            if code is not None:
                self.steps.append((None, 1, _Layout(code) if isinstance(code, tuple) else code))
        self.fixed = self.steps[0][0] if len(self.steps) == 1 else None

    def pack(self, values: Any, out: list[bytes]) -> None:
        """Append the packed `values` to `out`.

        Raises:
            FrameEncodeError: The number of values differs from the number of fields.
            struct.error: A value is out of range for its field, or has the wrong type.
        """
        if len(values) != self.width:
            raise FrameEncodeError("fields do not match the schema")
        at = 0
        for fixed, count, part in self.steps:
            if fixed is not None:
                out.append(fixed.pack(*values[at : at + count]))
            elif isinstance(part, _Layout):
                records = values[at]
                out.append(LENGTH_PREFIX.pack(len(records)))
                for record in records:
                    part.pack(record, out)
            else:
                raw = values[at].encode() if part == "s" else values[at]
                out.append(LENGTH_PREFIX.pack(len(raw)))
                out.append(raw)
            at += count

    def unpack(self, body: bytes, at: int) -> tuple[list[Any], int]:
        """Read one record from offset `at` of `body`; return its values and the offset after it.

        Raises:
            FrameDecodeError: A text, a byte string or a list extends beyond the body.
            struct.error: The body ends within a fixed-size field.
            UnicodeDecodeError: A text isn't UTF-8.
        """
        values: list[Any] = []
        for fixed, _, part in self.steps:
            if fixed is not None:
                values += fixed.unpack_from(body, at)
                at += fixed.size
                continue
            (size,) = LENGTH_PREFIX.unpack_from(body, at)
            at += LENGTH_PREFIX_BYTES
            if isinstance(part, _Layout):
                if size > len(body) - at:
                    raise FrameDecodeError("list extends beyond the frame body")
                records, at = part.unpack_list(body, at, size)
                values.append(records)
                continue
            raw = body[at : at + size]
            if len(raw) != size:
                raise FrameDecodeError("field extends beyond the frame body")
            at += size
            values.append(raw.decode() if part == "s" else raw)
        return values, at

    def unpack_list(self, body: bytes, at: int, count: int) -> tuple[list[Fields], int]:
        """Read `count` records from offset `at`; return them and the offset after them."""
        if self.fixed is not None:
            end = at + count * self.fixed.size
            if end > len(body):
                raise FrameDecodeError("list extends beyond the frame body")
            return list(self.fixed.iter_unpack(body[at:end])), end
        records = []
        for _ in range(count):
            record, at = self.unpack(body, at)
            records.append(tuple(record))
        return records, at


LAYOUTS: dict[int, _Layout] = {kind: _Layout(schema) for kind, schema in SCHEMAS.items()}


def encode(kind: int, number: int, values: Fields) -> bytes:
    """Pack a whole frame from the request `number` and the field values of its kind.

    Raises:
        FrameEncodeError: The values don't match the kind's schema, or the body exceeds `MAX_BODY`.
    """
    out: list[bytes] = []
    try:
        LAYOUTS[kind].pack(values, out)
    except struct.error as exc:
        raise FrameEncodeError(str(exc)) from None
    body = b"".join(out)
    if len(body) > MAX_BODY:
        raise FrameEncodeError("frame body exceeds the maximum size")
    return HEADER.pack(MAGIC, VERSION, kind, number, len(body)) + body


def decode_header(raw: bytes) -> tuple[int, int, int]:
    """Return the kind, the request number and the body length in bytes of a frame.

    Raises:
        FrameDecodeError: The magic, version or kind is unknown, or the body is longer than
            `MAX_BODY`.
    """
    magic, version, kind, number, size = HEADER.unpack(raw)
    if magic != MAGIC or version != VERSION or kind not in SCHEMAS or size > MAX_BODY:
        raise FrameDecodeError(
            f"bad header: magic {magic:#x}, version {version}, kind {kind}, {size} B"
        )
    return kind, number, size


def decode_body(kind: int, body: bytes) -> Fields:
    """Return the field values of a frame body.

    Raises:
        FrameDecodeError: The body doesn't match the kind's schema exactly.
    """
    try:
        values, at = LAYOUTS[kind].unpack(body, 0)
    except (struct.error, UnicodeDecodeError) as exc:
        raise FrameDecodeError(str(exc)) from None
    if at != len(body):
        raise FrameDecodeError("trailing bytes after the frame body")
    return tuple(values)
