"""Parsing and writing of HTTP message heads, cached. Pure: no I/O, no clock.

Most requests and answers have a head that has been seen before: a worker's reports differ in
their length at most, a user asks for the same job every few seconds, answers are alike. h11
reads a head by regular expressions and keeps a state machine for each connection, which was a
quarter of a controller's processor time at 640 workers. What it says of a head depends on
nothing but its bytes, so it is cached. A head that changes how its message is framed, or what
becomes of its connection, is left to h11.
"""

from __future__ import annotations

from functools import lru_cache
from typing import Any, NamedTuple

import h11

# Heads that are remembered, of each kind: more than a controller has workers and live jobs'
# pollers, at a few hundred bytes each.
MAX_CACHED_HEADS = 4096
# Longer ones are not: a stranger's must not take the memory.
MAX_CACHED_BYTES = 1024
# What h11 takes for a head at most.
MAX_HEAD_BYTES = 16 * 1024
# Headers that change how a message is framed, or what becomes of its connection.
FRAMING_HEADERS = {b"transfer-encoding", b"connection", b"expect", b"upgrade"}
END_OF_HEAD = b"\r\n\r\n"
MINIMAL_HEADERS = [("Host", "clayport")]


class RequestHead(NamedTuple):
    """A request's head."""

    method: str
    path: str
    length: int  # bytes of its body


class ResponseHead(NamedTuple):
    """An answer's head."""

    status: int
    length: int


def take_head(data: bytearray) -> bytes | None:
    """The head in front of `data`, taken out of it; None while it isn't whole, or too long."""
    end = data.find(END_OF_HEAD)
    if end < 0 or end > MAX_CACHED_BYTES:
        return None
    head = bytes(data[: end + len(END_OF_HEAD)])
    del data[: end + len(END_OF_HEAD)]
    return head


def needs_h11(data: bytearray) -> bool:
    """Whether h11 has to look at what has come of a head that isn't whole: it may be an
    error already, or have ended otherwise than most do."""
    return (
        len(data) > MAX_CACHED_BYTES
        or b"" < data[:1] < b"!"
        or b"\n\n" in data
        or b"\n\r\n" in data
    )


def _parse(conn: h11.Connection, head: bytes) -> tuple[Any, int | None]:
    """What h11 makes of a head, and the bytes of the body if a length says so (None: none is
    given); no event where h11 has to keep the connection."""
    conn.receive_data(head)
    try:
        event = conn.next_event()
    except h11.RemoteProtocolError:
        return None, None
    if (
        not isinstance(event, (h11.Request, h11.Response))
        or event.http_version != b"1.1"
        or conn.trailing_data[0]
        or any(name in FRAMING_HEADERS for name, _ in event.headers)
    ):
        return None, None
    return event, next(
        (int(value) for name, value in event.headers if name == b"content-length"), None
    )


@lru_cache(maxsize=MAX_CACHED_HEADS)
def parse_request_head(head: bytes) -> RequestHead | None:
    """A request's head, or None if its connection is to be left to h11."""
    conn = h11.Connection(h11.SERVER, max_incomplete_event_size=MAX_HEAD_BYTES)
    event, length = _parse(conn, head)
    if event is None or event.method in (b"HEAD", b"CONNECT"):
        return None
    return RequestHead(event.method.decode("latin-1"), event.target.decode("latin-1"), length or 0)


@lru_cache(maxsize=MAX_CACHED_HEADS)
def parse_response_head(head: bytes) -> ResponseHead | None:
    """An answer's head, to anything but HEAD; None if its connection is to be left to h11."""
    conn = h11.Connection(h11.CLIENT, max_incomplete_event_size=MAX_HEAD_BYTES)
    conn.send(h11.Request(method="GET", target="/", headers=MINIMAL_HEADERS))
    conn.send(h11.EndOfMessage())
    event, length = _parse(conn, head)
    if event is None or length is None or event.status_code in (204, 304):
        return None
    return ResponseHead(event.status_code, length)


@lru_cache(maxsize=MAX_CACHED_HEADS)
def response_head(status: int, length: int, extra: tuple[tuple[str, str], ...]) -> bytes:
    """The head of an answer to a request that `parse_request_head` could read."""
    conn = h11.Connection(h11.SERVER)
    conn.receive_data(b"GET / HTTP/1.1\r\nHost: clayport\r\n\r\n")
    conn.next_event()
    conn.next_event()
    return conn.send(response_event(status, length, extra)) or b""


@lru_cache(maxsize=MAX_CACHED_HEADS)
def response_event(status: int, length: int, extra: tuple[tuple[str, str], ...]) -> h11.Response:
    """The event for it, where h11 keeps the connection."""
    return h11.Response(
        status_code=status,
        headers=[("Content-Type", "application/json"), ("Content-Length", str(length)), *extra],
    )


@lru_cache(maxsize=MAX_CACHED_HEADS)
def request_head(method: str, path: str, host: str, length: int | None) -> bytes:
    """A request's head; `length` None: without a body."""
    return h11.Connection(h11.CLIENT).send(request_event(method, path, host, length)) or b""


def request_event(method: str, path: str, host: str, length: int | None) -> h11.Request:
    """The event for it, where h11 keeps the connection."""
    headers = [("Host", host)]
    if length is not None:
        headers += [("Content-Length", str(length)), ("Content-Type", "application/json")]
    return h11.Request(method=method, target=path, headers=headers)
