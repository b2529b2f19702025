"""HTTP/1.1 over curio and h11: a server with a socket budget and a pooled client."""

from __future__ import annotations

import logging
import time
from collections import deque
from collections.abc import Awaitable, Callable
from functools import lru_cache
from typing import Any

import curio
import h11
from curio import socket

log = logging.getLogger("clayport.http")

MAX_BODY = 64 * 1024
# Heads of answers that are kept.
HEADS_MOST = 1024
Headers = list[tuple[str, str]]
Handler = Callable[[str, str, bytes], Awaitable[tuple[int, bytes, Headers]]]


class TooLarge(Exception):
    """A request body beyond the protocol's 64 KiB."""


def _wire(conn: h11.Connection, *events: Any) -> bytes:
    return b"".join(conn.send(event) or b"" for event in events)


@lru_cache(maxsize=HEADS_MOST)
def _head(status: int, length: int, extra: tuple[tuple[str, str], ...]) -> h11.Response:
    """The event is immutable, and most answers are alike: it need not be checked each time."""
    return h11.Response(status_code=status, headers=[
        ("Content-Type", "application/json"), ("Content-Length", str(length)), *extra])


class Server:
    """Serves requests; past the budget the oldest idle connection is closed.

    Connections over which workers report are marked by the handler's path and
    kept: a flood of users must not cost a worker its lease.
    """

    def __init__(self, handler: Handler, budget: int, idle_s: float, request_s: float,
                 kept_path: str) -> None:
        self.handler, self.budget = handler, budget
        self.idle_s, self.request_s, self.kept_path = idle_s, request_s, kept_path
        self.open: dict[curio.Task, bool] = {}  # insertion order is age; True: idle user
        # Until when a connection may take to send what it is waited for.
        self.until: dict[curio.Task, float] = {}

    async def serve(self, host: str, port: int) -> None:
        sock = curio.tcp_server_socket(host, port, backlog=128)
        sweeper = await curio.spawn(self._sweep, daemon=True)
        try:
            await self._accept(sock)
        finally:
            await sweeper.cancel()

    async def _sweep(self) -> None:
        """Close connections that have taken too long: one duty for all of them. (A timer for
        each read cost more than reading.)"""
        while True:
            await curio.sleep(min(self.request_s, self.idle_s) / 4)
            now = time.monotonic()
            for task in [t for t, until in self.until.items() if now > until]:
                # Unless something has come while others were closed.
                if self.until.pop(task, now) < now:
                    self.open.pop(task, None)
                    await task.cancel(blocking=False)

    async def _accept(self, sock: Any) -> None:
        async with sock:
            while True:
                try:
                    client, _ = await sock.accept()
                except OSError as exc:
                    log.info("accept failed: %s", exc)
                    await curio.sleep(self.request_s / 50)
                    continue
                if len(self.open) >= self.budget:
                    await self._make_room()
                client.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
                task = await curio.spawn(self._connection, client, daemon=True)
                self.open[task] = False

    async def _make_room(self) -> None:
        """Close the oldest idle user connection (guards workers against a flood)."""
        for task, idle in self.open.items():
            if idle:
                self.open.pop(task)
                await task.cancel(blocking=False)
                return

    async def _connection(self, client: Any) -> None:
        me = await curio.current_task()
        conn = h11.Connection(h11.SERVER, max_incomplete_event_size=16 * 1024)
        kept = False
        try:
            while True:
                if me in self.open:
                    self.open[me] = not kept
                request, body = await self._request(conn, client, me)
                if request is None:
                    return
                path = request.target.decode("latin-1")
                kept = path.startswith(self.kept_path)
                status, payload, extra = await self.handler(
                    request.method.decode("latin-1"), path, body)
                await client.sendall(self._response(conn, status, payload, extra))
                if conn.our_state is h11.MUST_CLOSE or conn.our_state is h11.CLOSED:
                    return
                conn.start_next_cycle()
        except TooLarge:
            await self._refuse(conn, client, 413)
        except h11.RemoteProtocolError as exc:
            await self._refuse(conn, client, exc.error_status_hint or 400)
        except (OSError, h11.LocalProtocolError):
            pass
        finally:
            self.open.pop(me, None)
            self.until.pop(me, None)
            await client.close()

    async def _request(self, conn: h11.Connection, client: Any,
                       me: curio.Task) -> tuple[h11.Request | None, bytes]:
        """Read one request whole; None when the other side is finished."""
        request, parts, size = None, [], 0
        while True:
            event = conn.next_event()
            if event is h11.NEED_DATA:
                # Slow and half-open clients: once a request has begun it must
                # arrive within request_s; between requests idle_s applies.
                limit = self.request_s if request or conn.trailing_data[0] else self.idle_s
                self.until[me] = time.monotonic() + limit
                data = await client.recv(65536)
                self.until.pop(me, None)
                if me in self.open:
                    self.open[me] = False
                conn.receive_data(data)
            elif isinstance(event, h11.Request):
                request = event
            elif isinstance(event, h11.Data):
                size += len(event.data)
                if size > MAX_BODY:
                    raise TooLarge
                parts.append(bytes(event.data))
            elif isinstance(event, h11.EndOfMessage):
                return request, b"".join(parts)
            else:
                return None, b""

    @staticmethod
    def _response(conn: h11.Connection, status: int, payload: bytes, extra: Headers) -> bytes:
        return _wire(conn, _head(status, len(payload), tuple(extra)), h11.Data(data=payload),
                     h11.EndOfMessage())

    async def _refuse(self, conn: h11.Connection, client: Any, status: int) -> None:
        try:
            if conn.our_state in (h11.IDLE, h11.SEND_RESPONSE):
                await client.sendall(self._response(conn, status, b"{}", [("Connection", "close")]))
        except (OSError, h11.LocalProtocolError):
            pass


class NoAnswer(Exception):
    """No response arrived: the request may have been executed or still may be."""


class NotSent(NoAnswer):
    """No connection came about: the request was never sent."""


class Client:
    """Requests to one address over a small pool of persistent connections."""

    def __init__(self, host: str, port: int, keep: int) -> None:
        self.host, self.port, self.keep = host, port, keep
        self.idle: deque[tuple[Any, h11.Connection]] = deque()

    async def request(self, method: str, path: str, body: bytes | None,
                      timeout_s: float) -> tuple[int, bytes]:
        """One exchange; NotSent or NoAnswer when there is no answer in time."""
        sent = False
        pair: tuple[Any, h11.Connection] | None = None
        try:
            async with curio.timeout_after(timeout_s):
                # A pooled connection may have been closed by the other side; it
                # is not tried twice, since the request may have been executed.
                if self.idle:
                    pair = self.idle.pop()
                    sent = True
                else:
                    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
                    pair = (sock, h11.Connection(h11.CLIENT, max_incomplete_event_size=65536))
                    await sock.connect((self.host, self.port))
                    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
                    sent = True
                status, payload = await self._exchange(pair[0], pair[1], method, path, body)
            if pair[1].our_state is h11.DONE and pair[1].their_state is h11.DONE \
                    and len(self.idle) < self.keep:
                pair[1].start_next_cycle()
                self.idle.append(pair)
                pair = None
            return status, payload
        except (OSError, curio.TaskTimeout, h11.ProtocolError, EOFError) as exc:
            error = NoAnswer if sent else NotSent
            raise error(f"{self.host}:{self.port} {type(exc).__name__} {exc}") from None
        finally:
            if pair is not None:
                await pair[0].close()

    async def _exchange(self, sock: Any, conn: h11.Connection, method: str, path: str,
                        body: bytes | None) -> tuple[int, bytes]:
        headers = [("Host", f"{self.host}:{self.port}")]
        if body is not None:
            headers += [("Content-Length", str(len(body))), ("Content-Type", "application/json")]
        out = _wire(conn, h11.Request(method=method, target=path, headers=headers))
        if body:
            out += _wire(conn, h11.Data(data=body))
        await sock.sendall(out + _wire(conn, h11.EndOfMessage()))
        status, parts = 0, []
        while True:
            event = conn.next_event()
            if event is h11.NEED_DATA:
                conn.receive_data(await sock.recv(65536))
            elif isinstance(event, h11.Response):
                status = event.status_code
            elif isinstance(event, h11.Data):
                parts.append(bytes(event.data))
            elif isinstance(event, h11.EndOfMessage):
                return status, b"".join(parts)
            else:
                raise EOFError("closed")

    async def close(self) -> None:
        while self.idle:
            sock, _ = self.idle.pop()
            await sock.close()
