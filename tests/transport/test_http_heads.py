"""The cached parsing of heads behaves like h11: the handler gets the same requests and sends the
same bytes as on a connection that h11 handles from the first byte."""

from __future__ import annotations

import random
from typing import Any

import curio
import pytest

from clayport.transport import http_heads
from clayport.transport.http import MAX_BODY, Client, Server


class FakeSocket:
    """A socket that returns prepared chunks and records what is sent."""

    def __init__(self, chunks: list[bytes]) -> None:
        self.chunks, self.sent, self.closed = list(chunks), b"", False

    async def recv(self, _: int) -> bytes:
        return self.chunks.pop(0) if self.chunks else b""

    async def sendall(self, data: bytes) -> None:
        self.sent += data

    async def close(self) -> None:
        self.closed = True


def split_into_chunks(raw: bytes, seed: int) -> list[bytes]:
    """Split the bytes as they may arrive; seed 0 returns one chunk, seed 1 single bytes."""
    rng = random.Random(seed)
    offsets = (
        []
        if seed == 0
        else range(1, len(raw))
        if seed == 1 and len(raw) < 3000
        else sorted(rng.sample(range(1, len(raw)), min(3, len(raw) - 1)))
    )
    return [raw[a:b] for a, b in zip([0, *offsets], [*offsets, len(raw)])]


def serve(chunks: list[bytes], h11_only: bool) -> tuple[list[Any], bytes, bool]:
    """Return the handled requests, the bytes sent, and whether the socket was closed."""
    requests: list[Any] = []

    async def handler(method: str, path: str, body: bytes) -> Any:
        requests.append((method, path, body))
        return (
            200 + len(requests) % 2,
            b'{"n":%d}' % len(requests),
            [("Retry-After", "1")][: len(body)],
        )

    server = Server(handler, 10, 60.0, 10.0, "/v1/report")
    sock = FakeSocket(chunks)

    async def run() -> None:
        if h11_only:
            await server._serve_with_h11(sock, await curio.current_task(), await sock.recv(0))
            await sock.close()
        else:
            await server._serve_connection(sock)

    curio.run(run)
    assert not server.deadlines and not server.connections
    return requests, sock.sent, sock.closed


def request(line: str, *more: str) -> bytes:
    return "\r\n".join([line, "Host: x", *more, "", ""]).encode()


POST = request("POST /v1/report HTTP/1.1", "Content-Length: 7") + b'{"a":1}'
GET = request("GET /api/jobs/j-000001?x=1 HTTP/1.1")
REQUESTS = [
    GET,
    POST,
    POST + GET + POST,
    request("POST /a HTTP/1.1", "Content-Length: 0"),
    request("POST /a HTTP/1.1", "CONTENT-LENGTH:   7  ") + b'{"a":1}' + GET,
    # Requests that h11 handles, and later ones on the same connection.
    GET + request("GET / HTTP/1.0") + GET,
    request("GET / HTTP/1.1", "Connection: close") + GET,
    POST
    + request("POST /a HTTP/1.1", "Transfer-Encoding: chunked")
    + b"3\r\nabc\r\n0\r\n\r\n"
    + POST,
    request("POST /a HTTP/1.1", "Expect: 100-continue", "Content-Length: 3") + b"abc" + GET,
    request("HEAD /up HTTP/1.1") + GET,
    request("GET /up HTTP/1.1", "Upgrade: h2c") + GET,
    request("GET /up HTTP/1.1", "Cookie: " + "c" * 2000) + GET,
    request("GET /up HTTP/1.1", "X: a,", " folded") + GET,
    b"GET /up HTTP/1.1\nHost: x\n\n" + GET,
    b"GET /up HTTP/1.1\nHost: x\n\r\n" + GET,
    # Errors, each of which is answered and closes the connection.
    request("GET /up HTTP/1.1", "Cookie: " + "c" * 20000),
    b"\r\n" + GET,
    b"\x16\x03\x01\x02\x00",
    b"GET /up HTTP/1.1\r\n\r\n",
    b"nonsense\r\n\r\n",
    request("GET /up HTTP/2.0"),
    request("POST /a HTTP/1.1", "Content-Length: 1", "Content-Length: 2") + b"ab",
    request("POST /a HTTP/1.1", "Content-Length: 2", "Content-Length: 2") + b"ab" + GET,
    request("POST /a HTTP/1.1", "Content-Length: -1"),
    request("POST /a HTTP/1.1", "Content-Length: x"),
    request("POST /a HTTP/1.1", f"Content-Length: {MAX_BODY}") + b"a" * MAX_BODY + GET,
    request("POST /a HTTP/1.1", f"Content-Length: {MAX_BODY + 1}") + b"a" * (MAX_BODY + 1),
    GET[:-2],
    GET[:9],
    POST[:-3],
    POST + POST[:-3],
]


@pytest.mark.parametrize("raw", REQUESTS, ids=range(len(REQUESTS)))
def test_requests_are_handled_as_h11_handles_them(raw: bytes) -> None:
    for seed in range(6):
        result = serve(split_into_chunks(raw, seed), h11_only=False)
        assert result == serve(split_into_chunks(raw, seed), h11_only=True), seed
        assert result[0] or result[1], "neither a request nor a response"


def response(line: str, *more: str) -> bytes:
    return "\r\n".join([line, *more, "", ""]).encode()


OK = response("HTTP/1.1 200 OK", "Content-Type: application/json", "Content-Length: 2") + b"{}"
RESPONSES = [
    (OK, (200, b"{}", True)),
    (response("HTTP/1.1 409 Conflict", "content-length: 0"), (409, b"", True)),
    (OK + b"more", (200, b"{}", False)),
    (
        response("HTTP/1.1 200 OK", "Content-Length: 2", "Connection: close") + b"{}",
        (200, b"{}", False),
    ),
    (response("HTTP/1.0 200 OK", "Content-Length: 2") + b"{}", (200, b"{}", False)),
    (response("HTTP/1.0 200 OK") + b"{}", (200, b"{}", False)),
    (
        response("HTTP/1.1 200 OK", "Transfer-Encoding: chunked") + b"2\r\n{}\r\n0\r\n\r\n",
        (200, b"{}", True),
    ),
    (response("HTTP/1.1 100 Continue") + OK, (200, b"{}", True)),
    (response("HTTP/1.1 204 No Content"), (204, b"", True)),
    (
        response("HTTP/1.1 200 OK", "X: " + "x" * 3000, "Content-Length: 2") + b"{}",
        (200, b"{}", True),
    ),
    (b"HTTP/1.1 200 OK\nContent-Length: 2\n\n{}", (200, b"{}", True)),
    (OK[:-1], None),
    (OK[:20], None),
    (b"", None),
    (b"\x15\x03\x01", None),
]


@pytest.mark.parametrize("raw, expected", RESPONSES, ids=range(len(RESPONSES)))
def test_responses_are_read_as_h11_reads_them(raw: bytes, expected: Any) -> None:
    for seed in range(6):
        results = []
        for h11_only in (False, True):
            sock = FakeSocket(split_into_chunks(raw, seed) if raw else [])
            client = Client("h", 1, 1)

            async def run(
                c: Client = client, s: FakeSocket = sock, h11_only: bool = h11_only
            ) -> Any:
                try:
                    return await (
                        c._read_with_h11(s, "POST", "/commit", b"{}", b"")
                        if h11_only
                        else c._exchange(s, "POST", "/commit", b"{}")
                    )
                except Exception:
                    return None

            results.append(curio.run(run))
        if raw.endswith(b"more") and seed:
            continue  # the bytes after the response may not have arrived yet
        assert results == [expected, expected], seed


def test_the_cache_of_heads_is_bounded() -> None:
    """Clients must not be able to fill the memory with many or long heads."""
    for number in range(http_heads.MAX_CACHED_HEADS + 10):
        http_heads.parse_request_head(request(f"GET /api/jobs/j-{number:06d} HTTP/1.1"))
    assert http_heads.parse_request_head.cache_info().currsize == http_heads.MAX_CACHED_HEADS
    long = request("GET / HTTP/1.1", "X: " + "x" * 2 * http_heads.MAX_CACHED_BYTES)
    assert http_heads.take_head(bytearray(long)) is None
