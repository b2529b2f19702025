"""Processor time of both ends of an exchange over loopback, by each thread's own clock.

The server and the client run in a thread each. Only the thread's own processor time counts, so
that other work on the machine does not.
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
CONNECT_TIMEOUT_S = 10.0
IDLE_TIMEOUT_S = 60.0


def free_port() -> int:
    """Return a port that no socket listens on."""
    with socket.socket() as sock:
        sock.bind((ADDRESS, 0))
        port: int = sock.getsockname()[1]
    return port


def connect(port: int) -> socket.socket:
    """Connect to a server that may still be starting."""
    deadline = time.monotonic() + CONNECT_TIMEOUT_S
    while True:
        try:
            return socket.create_connection((ADDRESS, port), CONNECT_TIMEOUT_S)
        except ConnectionRefusedError:
            if time.monotonic() > deadline:
                raise
            time.sleep(0.02)


def exchange(sock: socket.socket, request: bytes) -> bytes:
    """Send a request and return the body of its answer."""
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
    """Encode a request as a worker sends it."""
    head = f"{method} {path} HTTP/1.1\r\nHost: h\r\nContent-Length: {len(body)}\r\n\r\n"
    return head.encode() + body


class ServerThread:
    """A controller's HTTP server in its own thread, which reports its processor time on a path."""

    def __init__(self, handler: http.Handler) -> None:
        self.handler, self.port = handler, free_port()
        threading.Thread(target=curio.run, args=(self._serve,), daemon=True).start()
        self.sock = connect(self.port)

    async def _serve(self) -> None:
        server = http.Server(self._handle, 100, IDLE_TIMEOUT_S, IDLE_TIMEOUT_S, "/v1/report")
        await server.serve(ADDRESS, self.port)

    async def _handle(self, method: str, path: str, body: bytes) -> tuple[int, bytes, Any]:
        if path == THREAD_TIME_PATH:
            return 200, str(time.thread_time()).encode(), []
        return await self.handler(method, path, body)

    def thread_seconds(self) -> float:
        """Return the processor time of the server's thread so far."""
        return float(exchange(self.sock, request("GET", THREAD_TIME_PATH)))

    def seconds_per_request(self, requests: Iterable[bytes]) -> float:
        """Return the server's processor time per request."""
        before, count = self.thread_seconds(), 0
        for raw in requests:
            exchange(self.sock, raw)
            count += 1
        return (self.thread_seconds() - before) / count


def http_client_seconds(answer_bytes: int, body: bytes, count: int) -> float:
    """Return the processor time of the controller's HTTP client per request and answer."""
    listener = socket.create_server((ADDRESS, 0))
    answer = b"HTTP/1.1 200 \r\nContent-Length: %d\r\n\r\n" % answer_bytes + b" " * answer_bytes

    def serve() -> None:
        sock, _ = listener.accept()
        with sock:
            data = b""
            while received := sock.recv(65536):
                data += received
                if data.endswith(body):
                    data = b""
                    sock.sendall(answer)

    threading.Thread(target=serve, daemon=True).start()

    async def ask() -> float:
        client = http.Client(ADDRESS, listener.getsockname()[1], 1)
        await client.request("POST", "/commit", body, CONNECT_TIMEOUT_S)
        before = time.thread_time()
        for _ in range(count):
            await client.request("POST", "/commit", body, CONNECT_TIMEOUT_S)
        elapsed = time.thread_time() - before
        await client.close()
        return elapsed / count

    with listener:
        seconds: float = curio.run(ask)
    return seconds


async def _answer_thread_time(
    _kind: int, _values: tuple[Any, ...]
) -> tuple[int, tuple[bool, int, int]]:
    micros = int(time.thread_time() * 1e6)
    return frames.COUNTED, (True, micros // 1_000_000, micros % 1_000_000)


def peer_call_seconds(count: int) -> tuple[float, float]:
    """Return the processor time of the asking and the answering controller per small call."""
    port = free_port()
    serve_peers: Callable[..., Awaitable[None]] = peers.serve
    threading.Thread(
        target=curio.run,
        args=(serve_peers, ADDRESS, port, _answer_thread_time, 4, IDLE_TIMEOUT_S),
        daemon=True,
    ).start()
    connect(port).close()

    async def ask() -> tuple[float, float]:
        peer = peers.Peer("host-1", ADDRESS, port, CONNECT_TIMEOUT_S)
        _, whole_seconds, micros = await peer.call(frames.COUNTS, (1, "j-000001"))
        asking_before, answering_before = time.thread_time(), whole_seconds + micros / 1e6
        for _ in range(count):
            _, whole_seconds, micros = await peer.call(frames.COUNTS, (1, "j-000001"))
        return (
            (time.thread_time() - asking_before) / count,
            (whole_seconds + micros / 1e6 - answering_before) / count,
        )

    seconds: tuple[float, float] = curio.run(ask)
    return seconds
