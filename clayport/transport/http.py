"""HTTP/1.1 on curio and h11: a server with a connection limit, and a client with a pool.

The server and the client parse and encode message heads through `http_heads`, which caches the
results of h11. If a head is unusual, an h11 connection handles that message and the rest of
its connection.
"""

from __future__ import annotations

import logging
import time
from collections import deque
from collections.abc import Awaitable, Callable
from typing import Any

import curio
import h11
from curio import socket

from clayport.transport import TransportError, http_heads
from clayport.transport.listen import open_listener

log = logging.getLogger(__name__)

MAX_BODY = 64 * 1024  # the longest request body, in bytes
# The most bytes that one read from a connection returns.
MAX_READ_BYTES = 65536
Headers = list[tuple[str, str]]
# Takes the method, path and body of a request; returns the status, body and extra headers.
Handler = Callable[[str, str, bytes], Awaitable[tuple[int, bytes, Headers]]]


class HttpError(TransportError):
    """An HTTP exchange failed."""


class MessageTooLargeError(HttpError):
    """A request body is longer than `MAX_BODY`."""


class NoAnswerError(HttpError):
    """No response arrived, so the request may have been executed or may still be."""


class NotSentError(NoAnswerError):
    """No connection could be opened, so the request was not sent."""


def _serialize(conn: h11.Connection, *events: Any) -> bytes:
    """Pass events to an h11 connection and return the bytes to send."""
    return b"".join(conn.send(event) or b"" for event in events)


async def _read_head(data: bytearray, receive: Callable[[], Awaitable[bytes]]) -> bytes | None:
    """Remove and return the head of the next message from `data`, receiving more as needed.

    Returns:
        The head, or None if the other side closed the connection before the end of the head, or
        if h11 has to handle the received bytes.
    """
    while (head := http_heads.take_head(data)) is None:
        received = b"" if http_heads.needs_h11(data) else await receive()
        if not received:
            return None
        data.extend(received)
    return head


class Server:
    """Serves HTTP requests over a bounded number of connections.

    At the limit, the server closes the oldest idle connection before it serves a new one.
    Connections whose last request was for `protected_path` are not closed, because a flood of
    users must not make a worker lose its lease.

    Args:
        handler: Answers a request.
        max_connections: The most open connections. The limit is exceeded only if no open
            connection is both idle and unprotected, because then none can be closed.
        idle_s: How long a connection may stay open between requests.
        request_s: How long a request may take to arrive after its first byte.
        protected_path: The path prefix of workers' reports.
    """

    def __init__(
        self,
        handler: Handler,
        max_connections: int,
        idle_s: float,
        request_s: float,
        protected_path: str,
    ) -> None:
        self.handler, self.max_connections = handler, max_connections
        self.idle_s, self.request_s, self.protected_path = idle_s, request_s, protected_path
        # Whether each connection is idle and unprotected, the oldest connection first.
        self.connections: dict[curio.Task, bool] = {}
        # When the next bytes of each waiting connection are due, on the monotonic clock.
        self.deadlines: dict[curio.Task, float] = {}

    async def serve(self, host: str, port: int) -> None:
        """Listen on an address and serve connections until cancelled."""
        # The backlog is this long because all workers may reconnect at once after a restart.
        sock = await open_listener(host, port, self.max_connections)
        closer = await curio.spawn(self._close_overdue, daemon=True)
        try:
            await self._accept(sock)
        finally:
            await closer.cancel()

    async def _close_overdue(self) -> None:
        """Periodically close all connections that have missed their deadlines.

        One routine checks all connections, because a timer per read costs more than the read.
        """
        while True:
            await curio.sleep(min(self.request_s, self.idle_s) / 4)
            now = time.monotonic()
            for task in [t for t, deadline in self.deadlines.items() if now > deadline]:
                # Data may have arrived while other connections were being closed.
                if self.deadlines.pop(task, now) < now:
                    self.connections.pop(task, None)
                    await task.cancel(blocking=False)

    async def _accept(self, sock: Any) -> None:
        async with sock:
            while True:
                try:
                    client, _ = await sock.accept()
                except OSError as exc:
                    log.info("cannot accept a connection: %s", exc)
                    await curio.sleep(self.request_s / 50)
                    continue
                if len(self.connections) >= self.max_connections:
                    await self._close_oldest_idle()
                client.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
                task = await curio.spawn(self._serve_connection, client, daemon=True)
                self.connections[task] = False

    async def _close_oldest_idle(self) -> None:
        """Close the oldest connection that is idle and unprotected."""
        for task, idle in self.connections.items():
            if idle:
                self.connections.pop(task)
                await task.cancel(blocking=False)
                return

    async def _serve_connection(self, client: Any) -> None:
        """Serve a connection; h11 serves the first unusual request and all requests after it."""
        task = await curio.current_task()
        data = bytearray()
        protected = False
        try:
            while True:
                if task in self.connections:
                    self.connections[task] = not protected
                head = await _read_head(data, lambda: self._receive(client, task, bool(data)))
                parsed = http_heads.parse_request_head(head) if head is not None else None
                if head is None or parsed is None or parsed.length > MAX_BODY:
                    if head or data:
                        await self._serve_with_h11(client, task, (head or b"") + data)
                    return
                while len(data) < parsed.length:
                    more = await self._receive(client, task, True)
                    if not more:
                        await self._serve_with_h11(client, task, head + data)
                        return
                    data.extend(more)
                body = bytes(data[: parsed.length])
                del data[: parsed.length]
                protected = parsed.path.startswith(self.protected_path)
                status, payload, extra = await self.handler(parsed.method, parsed.path, body)
                await client.sendall(
                    http_heads.response_head(status, len(payload), tuple(extra)) + payload
                )
        except OSError:
            pass
        finally:
            self.connections.pop(task, None)
            self.deadlines.pop(task, None)
            await client.close()

    async def _receive(self, client: Any, task: curio.Task, started: bool) -> bytes:
        """Return the next received bytes, or no bytes if the other side closed the connection.

        A deadline guards against slow and half-open clients: `request_s` if a request has
        started to arrive, otherwise `idle_s`.
        """
        self.deadlines[task] = time.monotonic() + (self.request_s if started else self.idle_s)
        data: bytes = await client.recv(MAX_READ_BYTES)
        self.deadlines.pop(task, None)
        if task in self.connections:
            self.connections[task] = False
        return data

    async def _serve_with_h11(self, client: Any, task: curio.Task, data: bytes) -> None:
        """Serve the rest of a connection with h11, beginning with the received `data`."""
        conn = h11.Connection(h11.SERVER, max_incomplete_event_size=http_heads.MAX_HEAD_BYTES)
        protected = False
        try:
            conn.receive_data(data)
            while True:
                if task in self.connections:
                    self.connections[task] = not protected
                request, body = await self._read_request(conn, client, task)
                if request is None:
                    return
                path = request.target.decode("latin-1")
                protected = path.startswith(self.protected_path)
                status, payload, extra = await self.handler(
                    request.method.decode("latin-1"), path, body
                )
                await client.sendall(self._response(conn, status, payload, extra))
                if conn.our_state is h11.MUST_CLOSE or conn.our_state is h11.CLOSED:
                    return
                conn.start_next_cycle()
        except MessageTooLargeError:
            await self._send_error(conn, client, 413)
        except h11.RemoteProtocolError as exc:
            await self._send_error(conn, client, exc.error_status_hint or 400)
        except h11.LocalProtocolError:
            pass

    async def _read_request(
        self, conn: h11.Connection, client: Any, task: curio.Task
    ) -> tuple[h11.Request | None, bytes]:
        """Read one request and its body.

        Returns:
            The request and its body; None and an empty body if the other side closed the
            connection.

        Raises:
            MessageTooLargeError: The body is longer than `MAX_BODY`.
            h11.RemoteProtocolError: The received bytes are not an HTTP request.
        """
        request, parts, size = None, [], 0
        while True:
            event = conn.next_event()
            if event is h11.NEED_DATA:
                started = request is not None or bool(conn.trailing_data[0])
                conn.receive_data(await self._receive(client, task, started))
            elif isinstance(event, h11.Request):
                request = event
            elif isinstance(event, h11.Data):
                size += len(event.data)
                if size > MAX_BODY:
                    raise MessageTooLargeError
                parts.append(bytes(event.data))
            elif isinstance(event, h11.EndOfMessage):
                return request, b"".join(parts)
            else:
                return None, b""

    @staticmethod
    def _response(conn: h11.Connection, status: int, payload: bytes, extra: Headers) -> bytes:
        """Encode a whole response."""
        return _serialize(
            conn,
            http_heads.response_event(status, len(payload), tuple(extra)),
            h11.Data(data=payload),
            h11.EndOfMessage(),
        )

    async def _send_error(self, conn: h11.Connection, client: Any, status: int) -> None:
        """Send an error response and close, if the connection still allows a response."""
        try:
            if conn.our_state in (h11.IDLE, h11.SEND_RESPONSE):
                await client.sendall(self._response(conn, status, b"{}", [("Connection", "close")]))
        except (OSError, h11.LocalProtocolError):
            pass


class Client:
    """Sends requests to one address over a small pool of persistent connections.

    Args:
        host: The host of the address.
        port: The port of the address.
        max_idle: The most idle connections in the pool.
    """

    def __init__(self, host: str, port: int, max_idle: int) -> None:
        self.host, self.port, self.max_idle = host, port, max_idle
        self.name = f"{host}:{port}"
        self.idle: deque[Any] = deque()

    async def request(
        self, method: str, path: str, body: bytes | None, timeout_s: float
    ) -> tuple[int, bytes]:
        """Send a request and return the status and body of the response.

        Raises:
            NotSentError: No connection could be opened in time.
            NoAnswerError: No valid response arrived in time.
        """
        sent = False
        sock: Any = None
        try:
            async with curio.timeout_after(timeout_s):
                # The other side may have closed a pooled connection. The request is not sent
                # again on another connection, because it may have been executed.
                if self.idle:
                    sock = self.idle.pop()
                    sent = True
                else:
                    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
                    await sock.connect((self.host, self.port))
                    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
                    sent = True
                status, payload, reusable = await self._exchange(sock, method, path, body)
            if reusable and len(self.idle) < self.max_idle:
                self.idle.append(sock)
                sock = None
            return status, payload
        except (OSError, curio.TaskTimeout, h11.ProtocolError, EOFError) as exc:
            error = NoAnswerError if sent else NotSentError
            raise error(f"{self.name} {type(exc).__name__} {exc}") from None
        finally:
            if sock is not None:
                await sock.close()

    async def _exchange(
        self, sock: Any, method: str, path: str, body: bytes | None
    ) -> tuple[int, bytes, bool]:
        """Send a request; return the status, the body and whether the connection is reusable."""
        length = None if body is None else len(body)
        await sock.sendall(http_heads.request_head(method, path, self.name, length) + (body or b""))
        data = bytearray()
        head = await _read_head(data, lambda: sock.recv(MAX_READ_BYTES))
        parsed = http_heads.parse_response_head(head) if head is not None else None
        if parsed is None:
            return await self._read_with_h11(sock, method, path, body, (head or b"") + data)
        while len(data) < parsed.length:
            more = await sock.recv(MAX_READ_BYTES)
            if not more:
                raise EOFError("closed")
            data += more
        return parsed.status, bytes(data[: parsed.length]), len(data) == parsed.length

    async def _read_with_h11(
        self, sock: Any, method: str, path: str, body: bytes | None, data: bytes
    ) -> tuple[int, bytes, bool]:
        """Read a response with an unusual head, beginning with the received `data`.

        Returns:
            The same as `_exchange`.
        """
        conn = h11.Connection(h11.CLIENT, max_incomplete_event_size=MAX_READ_BYTES)
        _serialize(
            conn,
            http_heads.request_event(method, path, self.name, None if body is None else len(body)),
            *([h11.Data(data=body)] if body else []),
            h11.EndOfMessage(),
        )
        if data:
            conn.receive_data(data)
        status, parts = 0, []
        while True:
            event = conn.next_event()
            if event is h11.NEED_DATA:
                conn.receive_data(await sock.recv(MAX_READ_BYTES))
            elif isinstance(event, h11.Response):
                status = event.status_code
            elif isinstance(event, h11.Data):
                parts.append(bytes(event.data))
            elif isinstance(event, h11.EndOfMessage):
                reusable = conn.our_state is h11.DONE and conn.their_state is h11.DONE
                return status, b"".join(parts), reusable and not conn.trailing_data[0]
            elif not isinstance(event, h11.InformationalResponse):
                raise EOFError("closed")

    async def close(self) -> None:
        """Close the idle connections of the pool."""
        while self.idle:
            await self.idle.pop().close()
