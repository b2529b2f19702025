"""Cached parsing and encoding of HTTP message heads, without I/O and without a clock.

Most message heads repeat: a worker's reports differ in their length at most, a user polls the
same job every few seconds, and most responses are alike. Without the cache, h11 (regular
expressions and a state machine per connection) takes a quarter of a controller's CPU time at
640 workers. The result of parsing a head depends only on its bytes, so it can be cached. Heads
that affect the framing of their message or the state of their connection are not cached but
handled by an h11 connection.
"""

from __future__ import annotations

from functools import lru_cache
from typing import Any, NamedTuple

import h11

# The size of each cache: more entries than a controller has workers and users that poll live
# jobs, at a few hundred bytes each.
MAX_CACHED_HEADS = 4096
# Longer heads (in bytes) are not cached, because any client could fill the memory with them.
MAX_CACHED_BYTES = 1024
# The longest head, in bytes, that is accepted.
MAX_HEAD_BYTES = 16 * 1024
# Headers that change the framing of a message or the state of its connection.
FRAMING_HEADERS = {b"transfer-encoding", b"connection", b"expect", b"upgrade"}
END_OF_HEAD = b"\r\n\r\n"
# The headers that h11 requires in a request.
MINIMAL_HEADERS = [("Host", "clayport")]


class RequestHead(NamedTuple):
    """The parsed head of a request."""

    method: str
    path: str
    length: int  # of the body, in bytes


class ResponseHead(NamedTuple):
    """The parsed head of a response."""

    status: int
    length: int  # of the body, in bytes


def take_head(data: bytearray) -> bytes | None:
    """Remove and return the head at the front of `data`; None if incomplete or too long."""
    end = data.find(END_OF_HEAD)
    if end < 0 or end > MAX_CACHED_BYTES:
        return None
    head = bytes(data[: end + len(END_OF_HEAD)])
    del data[: end + len(END_OF_HEAD)]
    return head


def needs_h11(data: bytearray) -> bool:
    """Return whether h11 has to handle an incomplete head.

    The head may be too long for the cache, may already be an error (it begins with a space or a
    control character), or may have ended with a bare line feed before the empty line.
    """
    return (
        len(data) > MAX_CACHED_BYTES
        or b"" < data[:1] < b"!"
        or b"\n\n" in data
        or b"\n\r\n" in data
    )


def _parse(conn: h11.Connection, head: bytes) -> tuple[Any, int | None]:
    """Parse a head with h11.

    Returns:
        The h11 event and the content length in bytes (None if absent). Both are None if an h11
        connection has to handle the message.
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
    """Parse the head of a request; None if an h11 connection has to handle the message."""
    conn = h11.Connection(h11.SERVER, max_incomplete_event_size=MAX_HEAD_BYTES)
    event, length = _parse(conn, head)
    if event is None or event.method in (b"HEAD", b"CONNECT"):
        return None
    return RequestHead(event.method.decode("latin-1"), event.target.decode("latin-1"), length or 0)


@lru_cache(maxsize=MAX_CACHED_HEADS)
def parse_response_head(head: bytes) -> ResponseHead | None:
    """Parse the head of a response to any method except HEAD.

    Returns:
        The parsed head; None if an h11 connection has to handle the message.
    """
    conn = h11.Connection(h11.CLIENT, max_incomplete_event_size=MAX_HEAD_BYTES)
    conn.send(h11.Request(method="GET", target="/", headers=MINIMAL_HEADERS))
    conn.send(h11.EndOfMessage())
    event, length = _parse(conn, head)
    if event is None or length is None or event.status_code in (204, 304):
        return None
    return ResponseHead(event.status_code, length)


@lru_cache(maxsize=MAX_CACHED_HEADS)
def response_head(status: int, length: int, extra: tuple[tuple[str, str], ...]) -> bytes:
    """Encode the head of a response to a request whose head `parse_request_head` could parse.

    Args:
        status: The HTTP status.
        length: The length of the body in bytes.
        extra: Headers besides the content type and length.
    """
    conn = h11.Connection(h11.SERVER)
    conn.receive_data(b"GET / HTTP/1.1\r\nHost: clayport\r\n\r\n")
    conn.next_event()
    conn.next_event()
    return conn.send(response_event(status, length, extra)) or b""


@lru_cache(maxsize=MAX_CACHED_HEADS)
def response_event(status: int, length: int, extra: tuple[tuple[str, str], ...]) -> h11.Response:
    """Build the h11 event of a response head, for a connection that h11 handles."""
    return h11.Response(
        status_code=status,
        headers=[("Content-Type", "application/json"), ("Content-Length", str(length)), *extra],
    )


@lru_cache(maxsize=MAX_CACHED_HEADS)
def request_head(method: str, path: str, host: str, length: int | None) -> bytes:
    """Encode the head of a request; `length` is that of its body in bytes, None without a body."""
    return h11.Connection(h11.CLIENT).send(request_event(method, path, host, length)) or b""


def request_event(method: str, path: str, host: str, length: int | None) -> h11.Request:
    """Build the h11 event of a request head, for a connection that h11 handles."""
    headers = [("Host", host)]
    if length is not None:
        headers += [("Content-Length", str(length)), ("Content-Type", "application/json")]
    return h11.Request(method=method, target=path, headers=headers)
