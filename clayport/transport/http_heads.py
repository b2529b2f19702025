"""Parsing and writing of HTTP message heads, cached. Pure: no I/O, no clock.

Most requests and responses have a head that has been seen before: a worker's reports differ in
their length at most, a user asks for the same job every few seconds, responses are alike. h11
parses a head by regular expressions and keeps a state machine for each connection, which was a
quarter of a controller's processor time at 640 workers. What it says of a head depends on
nothing but its bytes, so it is cached. A head that changes how its message is framed, or what
becomes of its connection, is left to h11.
"""

from __future__ import annotations

from functools import lru_cache
from typing import Any, NamedTuple

import h11

# Entries of each cache: more than a controller has workers and live jobs'
# pollers, at a few hundred bytes each.
MAX_CACHED_HEADS = 4096
# Longer heads, in bytes, are not cached: a stranger's must not take the memory.
MAX_CACHED_BYTES = 1024
# The longest head, in bytes, that is read at all.
MAX_HEAD_BYTES = 16 * 1024
# Headers that change how a message is framed, or what becomes of its connection.
FRAMING_HEADERS = {b"transfer-encoding", b"connection", b"expect", b"upgrade"}
END_OF_HEAD = b"\r\n\r\n"
# Those without which h11 takes no request.
MINIMAL_HEADERS = [("Host", "clayport")]


class RequestHead(NamedTuple):
    """What a request's head says."""

    method: str
    path: str
    length: int  # bytes of its body


class ResponseHead(NamedTuple):
    """What a response's head says."""

    status: int
    length: int  # bytes of its body


def take_head(data: bytearray) -> bytes | None:
    """Take the head in front of `data` out of it; None while it isn't whole, or is too long."""
    end = data.find(END_OF_HEAD)
    if end < 0 or end > MAX_CACHED_BYTES:
        return None
    head = bytes(data[: end + len(END_OF_HEAD)])
    del data[: end + len(END_OF_HEAD)]
    return head


def needs_h11(data: bytearray) -> bool:
    """Whether h11 has to look at what has come of a head that isn't whole.

    It may be an error already, or have ended otherwise than most do.
    """
    return (
        len(data) > MAX_CACHED_BYTES
        or b"" < data[:1] < b"!"
        or b"\n\n" in data
        or b"\n\r\n" in data
    )


def _parse(conn: h11.Connection, head: bytes) -> tuple[Any, int | None]:
    """Parse a head by h11; return its event, and the body's length in bytes if it is given.

    The event is None where h11 has to keep the connection.
    """
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
    """Parse a request's head; None if its connection is to be left to h11."""
    conn = h11.Connection(h11.SERVER, max_incomplete_event_size=MAX_HEAD_BYTES)
    event, length = _parse(conn, head)
    if event is None or event.method in (b"HEAD", b"CONNECT"):
        return None
    return RequestHead(event.method.decode("latin-1"), event.target.decode("latin-1"), length or 0)


@lru_cache(maxsize=MAX_CACHED_HEADS)
def parse_response_head(head: bytes) -> ResponseHead | None:
    """Parse the head of a response to anything but HEAD; None if it is to be left to h11."""
    conn = h11.Connection(h11.CLIENT, max_incomplete_event_size=MAX_HEAD_BYTES)
    conn.send(h11.Request(method="GET", target="/", headers=MINIMAL_HEADERS))
    conn.send(h11.EndOfMessage())
    event, length = _parse(conn, head)
    if event is None or length is None or event.status_code in (204, 304):
        return None
    return ResponseHead(event.status_code, length)


@lru_cache(maxsize=MAX_CACHED_HEADS)
def response_head(status: int, length: int, extra: tuple[tuple[str, str], ...]) -> bytes:
    """Return the head of a response to a request that `parse_request_head` could read.

    Args:
        status: The response's status.
        length: Bytes of its body.
        extra: Headers beside the content's type and length.
    """
    conn = h11.Connection(h11.SERVER)
    conn.receive_data(b"GET / HTTP/1.1\r\nHost: clayport\r\n\r\n")
    conn.next_event()
    conn.next_event()
    return conn.send(response_event(status, length, extra)) or b""


@lru_cache(maxsize=MAX_CACHED_HEADS)
def response_event(status: int, length: int, extra: tuple[tuple[str, str], ...]) -> h11.Response:
    """Return h11's event for the same response, where h11 keeps the connection."""
    return h11.Response(
        status_code=status,
        headers=[("Content-Type", "application/json"), ("Content-Length", str(length)), *extra],
    )


@lru_cache(maxsize=MAX_CACHED_HEADS)
def request_head(method: str, path: str, host: str, length: int | None) -> bytes:
    """Return a request's head; `length` is the bytes of its body, None if it has none."""
    return h11.Connection(h11.CLIENT).send(request_event(method, path, host, length)) or b""


def request_event(method: str, path: str, host: str, length: int | None) -> h11.Request:
    """Return h11's event for the same request, where h11 keeps the connection."""
    headers = [("Host", host)]
    if length is not None:
        headers += [("Content-Length", str(length)), ("Content-Type", "application/json")]
    return h11.Request(method=method, target=path, headers=headers)
