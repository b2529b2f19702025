"""Heads that are remembered mean what h11 says of them: the same requests reach the handler,
and the same bytes go back, as on a connection that h11 keeps from its first byte."""

from __future__ import annotations

import random
from typing import Any

import curio
import pytest

from clayport.transport import http_heads
from clayport.transport.http import MAX_BODY, Client, Server


class Sock:
    """A connection of which everything that arrives is known."""

    def __init__(self, chunks: list[bytes]) -> None:
        self.chunks, self.sent, self.closed = list(chunks), b"", False

    async def recv(self, _: int) -> bytes:
        return self.chunks.pop(0) if self.chunks else b""

    async def sendall(self, data: bytes) -> None:
        self.sent += data

    async def close(self) -> None:
        self.closed = True


def cut(raw: bytes, seed: int) -> list[bytes]:
    """The same bytes as they may arrive; seed 0: all at once, 1: one by one."""
    rng = random.Random(seed)
    at = (
        []
        if seed == 0
        else range(1, len(raw))
        if seed == 1 and len(raw) < 3000
        else sorted(rng.sample(range(1, len(raw)), min(3, len(raw) - 1)))
    )
    return [raw[a:b] for a, b in zip([0, *at], [*at, len(raw)])]


def serve(chunks: list[bytes], plain: bool) -> tuple[list[Any], bytes, bool]:
    """What the handler is asked, what goes back, and whether it is closed."""
    asked: list[Any] = []

    async def handler(method: str, path: str, body: bytes) -> Any:
        asked.append((method, path, body))
        return 200 + len(asked) % 2, b'{"n":%d}' % len(asked), [("Retry-After", "1")][: len(body)]

    server = Server(handler, 10, 60.0, 10.0, "/v1/report")
    sock = Sock(chunks)

    async def run() -> None:
        if plain:
            await server._serve_with_h11(sock, await curio.current_task(), await sock.recv(0))
            await sock.close()
        else:
            await server._serve_connection(sock)

    curio.run(run)
    assert not server.deadlines and not server.connections
    return asked, sock.sent, sock.closed


def head(line: str, *more: str) -> bytes:
    return "\r\n".join([line, "Host: x", *more, "", ""]).encode()


POST = head("POST /v1/report HTTP/1.1", "Content-Length: 7") + b'{"a":1}'
GET = head("GET /api/jobs/j-000001?x=1 HTTP/1.1")
REQUESTS = [
    GET,
    POST,
    POST + GET + POST,
    head("POST /a HTTP/1.1", "Content-Length: 0"),
    head("POST /a HTTP/1.1", "CONTENT-LENGTH:   7  ") + b'{"a":1}' + GET,
    # What h11 keeps, and what comes after it on the same connection.
    GET + head("GET / HTTP/1.0") + GET,
    head("GET / HTTP/1.1", "Connection: close") + GET,
    POST + head("POST /a HTTP/1.1", "Transfer-Encoding: chunked") + b"3\r\nabc\r\n0\r\n\r\n" + POST,
    head("POST /a HTTP/1.1", "Expect: 100-continue", "Content-Length: 3") + b"abc" + GET,
    head("HEAD /up HTTP/1.1") + GET,
    head("GET /up HTTP/1.1", "Upgrade: h2c") + GET,
    head("GET /up HTTP/1.1", "Cookie: " + "c" * 2000) + GET,
    head("GET /up HTTP/1.1", "X: a,", " folded") + GET,
    b"GET /up HTTP/1.1\nHost: x\n\n" + GET,
    b"GET /up HTTP/1.1\nHost: x\n\r\n" + GET,
    # Errors, each of which is told and ends the connection.
    head("GET /up HTTP/1.1", "Cookie: " + "c" * 20000),
    b"\r\n" + GET,
    b"\x16\x03\x01\x02\x00",
    b"GET /up HTTP/1.1\r\n\r\n",
    b"nonsense\r\n\r\n",
    head("GET /up HTTP/2.0"),
    head("POST /a HTTP/1.1", "Content-Length: 1", "Content-Length: 2") + b"ab",
    head("POST /a HTTP/1.1", "Content-Length: 2", "Content-Length: 2") + b"ab" + GET,
    head("POST /a HTTP/1.1", "Content-Length: -1"),
    head("POST /a HTTP/1.1", "Content-Length: x"),
    head("POST /a HTTP/1.1", f"Content-Length: {MAX_BODY}") + b"a" * MAX_BODY + GET,
    head("POST /a HTTP/1.1", f"Content-Length: {MAX_BODY + 1}") + b"a" * (MAX_BODY + 1),
    GET[:-2],
    GET[:9],
    POST[:-3],
    POST + POST[:-3],
]


@pytest.mark.parametrize("raw", REQUESTS, ids=range(len(REQUESTS)))
def test_requests_are_read_as_h11_reads_them(raw: bytes) -> None:
    for seed in range(6):
        known = serve(cut(raw, seed), plain=False)
        assert known == serve(cut(raw, seed), plain=True), seed
        assert known[0] or known[1], "something comes of it"


def answer(line: str, *more: str) -> bytes:
    return "\r\n".join([line, *more, "", ""]).encode()


OK = answer("HTTP/1.1 200 OK", "Content-Type: application/json", "Content-Length: 2") + b"{}"
ANSWERS = [
    (OK, (200, b"{}", True)),
    (answer("HTTP/1.1 409 Conflict", "content-length: 0"), (409, b"", True)),
    (OK + b"more", (200, b"{}", False)),
    (
        answer("HTTP/1.1 200 OK", "Content-Length: 2", "Connection: close") + b"{}",
        (200, b"{}", False),
    ),
    (answer("HTTP/1.0 200 OK", "Content-Length: 2") + b"{}", (200, b"{}", False)),
    (answer("HTTP/1.0 200 OK") + b"{}", (200, b"{}", False)),
    (
        answer("HTTP/1.1 200 OK", "Transfer-Encoding: chunked") + b"2\r\n{}\r\n0\r\n\r\n",
        (200, b"{}", True),
    ),
    (answer("HTTP/1.1 100 Continue") + OK, (200, b"{}", True)),
    (answer("HTTP/1.1 204 No Content"), (204, b"", True)),
    (
        answer("HTTP/1.1 200 OK", "X: " + "x" * 3000, "Content-Length: 2") + b"{}",
        (200, b"{}", True),
    ),
    (b"HTTP/1.1 200 OK\nContent-Length: 2\n\n{}", (200, b"{}", True)),
    (OK[:-1], None),
    (OK[:20], None),
    (b"", None),
    (b"\x15\x03\x01", None),
]


@pytest.mark.parametrize("raw, expected", ANSWERS, ids=range(len(ANSWERS)))
def test_answers_are_read_as_h11_reads_them(raw: bytes, expected: Any) -> None:
    for seed in range(6):
        found = []
        for plain in (False, True):
            sock = Sock(cut(raw, seed) if raw else [])
            client = Client("h", 1, 1)

            async def run(c: Client = client, s: Sock = sock, plain: bool = plain) -> Any:
                try:
                    return await (
                        c._read_with_h11(s, "POST", "/commit", b"{}", b"")
                        if plain
                        else c._exchange(s, "POST", "/commit", b"{}")
                    )
                except Exception:
                    return None

            found.append(curio.run(run))
        if raw.endswith(b"more") and seed:
            continue  # what comes after an answer may not have come yet
        assert found == [expected, expected], seed


def test_strangers_take_no_memory() -> None:
    """Heads of any length and number are remembered up to a bound."""
    for number in range(http_heads.MAX_CACHED_HEADS + 10):
        http_heads.parse_request_head(head(f"GET /api/jobs/j-{number:06d} HTTP/1.1"))
    assert http_heads.parse_request_head.cache_info().currsize == http_heads.MAX_CACHED_HEADS
    long = head("GET / HTTP/1.1", "X: " + "x" * 2 * http_heads.MAX_CACHED_BYTES)
    assert http_heads.take_head(bytearray(long)) is None
