"""Processor time of both ends of an exchange over loopback, by the clock of each thread.

The server and the client each run in a thread of their own, and each counts only the processor
time of its thread, so that what else runs on the machine does not count.
"""

from __future__ import annotations

import socket
import threading
import time
from collections.abc import Awaitable, Callable, Iterable
from typing import Any

import curio

from clayport.transport import frames, http, peers

ADDRESS = "127.0.0.1"
THREAD_TIME_PATH = "/thread-time"
CONNECT_S = 10.0
IDLE_S = 60.0


def free_port() -> int:
    """A port that nobody listens on."""
    with socket.socket() as sock:
        sock.bind((ADDRESS, 0))
        port: int = sock.getsockname()[1]
    return port


def connect(port: int) -> socket.socket:
    """A connection to a server that may be just starting."""
    until = time.monotonic() + CONNECT_S
    while True:
        try:
            return socket.create_connection((ADDRESS, port), CONNECT_S)
        except ConnectionRefusedError:
            if time.monotonic() > until:
                raise
            time.sleep(0.02)


def exchange(sock: socket.socket, request: bytes) -> bytes:
    """One request and the body of its answer."""
    sock.sendall(request)
    data = b""
    while b"\r\n\r\n" not in data:
        data += sock.recv(65536)
    head, _, body = data.partition(b"\r\n\r\n")
    length = next(
        int(line.partition(b":")[2])
        for line in head.lower().split(b"\r\n")
        if line.startswith(b"content-length")
    )
    while len(body) < length:
        body += sock.recv(65536)
    return body


def request(method: str, path: str, body: bytes = b"") -> bytes:
    """A request as a worker sends it."""
    head = f"{method} {path} HTTP/1.1\r\nHost: h\r\nContent-Length: {len(body)}\r\n\r\n"
    return head.encode() + body


class Server:
    """A controller's HTTP server in a thread, asked for its own processor time by a path."""

    def __init__(self, handler: http.Handler) -> None:
        self.handler, self.port = handler, free_port()
        threading.Thread(target=curio.run, args=(self._serve,), daemon=True).start()
        self.sock = connect(self.port)

    async def _serve(self) -> None:
        server = http.Server(self._handle, 100, IDLE_S, IDLE_S, "/v1/report")
        await server.serve(ADDRESS, self.port)

    async def _handle(self, method: str, path: str, body: bytes) -> tuple[int, bytes, Any]:
        if path == THREAD_TIME_PATH:
            return 200, str(time.thread_time()).encode(), []
        return await self.handler(method, path, body)

    def spent(self) -> float:
        """Processor time of the server's thread so far."""
        return float(exchange(self.sock, request("GET", THREAD_TIME_PATH)))

    def seconds_a_request(self, requests: Iterable[bytes]) -> float:
        """Processor time that the server takes for each of the requests."""
        before, count = self.spent(), 0
        for raw in requests:
            exchange(self.sock, raw)
            count += 1
        return (self.spent() - before) / count


def http_client_seconds(answer_bytes: int, body: bytes, count: int) -> float:
    """Processor time of the controller's HTTP client for one request and its answer."""
    listening = socket.create_server((ADDRESS, 0))
    answer = b"HTTP/1.1 200 \r\nContent-Length: %d\r\n\r\n" % answer_bytes + b" " * answer_bytes

    def serve() -> None:
        sock, _ = listening.accept()
        with sock:
            data = b""
            while more := sock.recv(65536):
                data += more
                if data.endswith(body):
                    data = b""
                    sock.sendall(answer)

    threading.Thread(target=serve, daemon=True).start()

    async def ask() -> float:
        client = http.Client(ADDRESS, listening.getsockname()[1], 1)
        await client.request("POST", "/commit", body, CONNECT_S)
        before = time.thread_time()
        for _ in range(count):
            await client.request("POST", "/commit", body, CONNECT_S)
        spent = time.thread_time() - before
        await client.close()
        return spent / count

    with listening:
        seconds: float = curio.run(ask)
    return seconds


async def _thread_time_answer(
    _kind: int, _values: tuple[Any, ...]
) -> tuple[int, tuple[bool, int, int]]:
    spent = int(time.thread_time() * 1e6)
    return frames.COUNTED, (True, spent // 1_000_000, spent % 1_000_000)


def peer_call_seconds(count: int) -> tuple[float, float]:
    """Processor time of the asking and of the answering controller for one small exchange."""
    port = free_port()
    answering: Callable[..., Awaitable[None]] = peers.serve
    threading.Thread(
        target=curio.run,
        args=(answering, ADDRESS, port, _thread_time_answer, 4, IDLE_S),
        daemon=True,
    ).start()
    connect(port).close()

    async def ask() -> tuple[float, float]:
        peer = peers.Peer("host-1", ADDRESS, port, CONNECT_S)
        _, whole, part = await peer.call(frames.COUNTS, (1, "j-000001"))
        own, other = time.thread_time(), whole + part / 1e6
        for _ in range(count):
            _, whole, part = await peer.call(frames.COUNTS, (1, "j-000001"))
        return (
            (time.thread_time() - own) / count,
            (whole + part / 1e6 - other) / count,
        )

    found: tuple[float, float] = curio.run(ask)
    return found
