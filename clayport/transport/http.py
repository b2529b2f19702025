"""HTTP/1.1 over curio and h11: a server of a bounded number of connections, and a pooled client.

Both read and write message heads through `http_heads`, which caches what h11 says of them. A
message with a head out of the ordinary, and what follows on its connection, is left to h11.
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
from clayport.transport.listen import listener

log = logging.getLogger(__name__)

MAX_BODY = 64 * 1024  # of a request, in bytes
# What is read from a connection at once, in bytes.
MAX_READ_BYTES = 65536
Headers = list[tuple[str, str]]
# Answers a request, given its method, path and body, by a status, a body and further headers.
Handler = Callable[[str, str, bytes], Awaitable[tuple[int, bytes, Headers]]]


class HttpError(TransportError):
    """An exchange over HTTP did not come about as asked."""


class MessageTooLargeError(HttpError):
    """A request's body is longer than `MAX_BODY`."""


class NoAnswerError(HttpError):
    """No response arrived: the request may have been executed or still may be."""


class NotSentError(NoAnswerError):
    """No connection came about: the request was never sent."""


def _serialize(conn: h11.Connection, *events: Any) -> bytes:
    """Send events on h11's connection; return their bytes."""
    return b"".join(conn.send(event) or b"" for event in events)


async def _take_head(data: bytearray, receive: Callable[[], Awaitable[bytes]]) -> bytes | None:
    """Take the next message's head out of `data`, after filling it by `receive`.

    Returns None if the other side is finished before that, or h11 has to look at what has come.
    """
    while (head := http_heads.take_head(data)) is None:
        received = b"" if http_heads.needs_h11(data) else await receive()
        if not received:
            return None
        data.extend(received)
    return head


class Server:
    """Serves requests over a bounded number of connections.

    Past the bound the oldest idle connection is closed, unless its last request was for
    `kept_path`: a flood of users must not cost a worker its lease.

    Args:
        handler: Answers a request.
        max_connections: How many connections are open at most, while one of a user is idle.
        idle_s: How long a connection may stay without a request.
        request_s: How long a request may take to arrive once it has begun.
        kept_path: Start of the paths on which workers report.
    """

    def __init__(
        self,
        handler: Handler,
        max_connections: int,
        idle_s: float,
        request_s: float,
        kept_path: str,
    ) -> None:
        self.handler, self.max_connections = handler, max_connections
        self.idle_s, self.request_s, self.kept_path = idle_s, request_s, kept_path
        # Whether each is an idle one of a user; the oldest first.
        self.connections: dict[curio.Task, bool] = {}
        # By when what a connection is waited for has to come, on the monotonic clock.
        self.deadlines: dict[curio.Task, float] = {}

    async def serve(self, host: str, port: int) -> None:
        """Listen on an address and serve whoever connects, without end."""
        # A whole fleet may come at once, when a controller is back.
        sock = await listener(host, port, self.max_connections)
        sweeper = await curio.spawn(self._close_late, daemon=True)
        try:
            await self._accept(sock)
        finally:
            await sweeper.cancel()

    async def _close_late(self) -> None:
        """Close connections that have taken too long: one duty for all of them. (A timer for
        each read cost more than reading.)"""
        while True:
            await curio.sleep(min(self.request_s, self.idle_s) / 4)
            now = time.monotonic()
            for task in [t for t, deadline in self.deadlines.items() if now > deadline]:
                # Unless something has come while others were closed.
                if self.deadlines.pop(task, now) < now:
                    self.connections.pop(task, None)
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
                if len(self.connections) >= self.max_connections:
                    await self._close_oldest_idle()
                client.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
                task = await curio.spawn(self._serve_connection, client, daemon=True)
                self.connections[task] = False

    async def _close_oldest_idle(self) -> None:
        """Close the oldest idle connection of a user."""
        for task, idle in self.connections.items():
            if idle:
                self.connections.pop(task)
                await task.cancel(blocking=False)
                return

    async def _serve_connection(self, client: Any) -> None:
        """Serve requests with ordinary heads; the rest is left to h11."""
        me = await curio.current_task()
        data = bytearray()
        kept = False
        try:
            while True:
                if me in self.connections:
                    self.connections[me] = not kept
                head = await _take_head(data, lambda: self._receive(client, me, bool(data)))
                asked = http_heads.parse_request_head(head) if head is not None else None
                if head is None or asked is None or asked.length > MAX_BODY:
                    if head or data:
                        await self._serve_with_h11(client, me, (head or b"") + data)
                    return
                while len(data) < asked.length:
                    more = await self._receive(client, me, True)
                    if not more:
                        await self._serve_with_h11(client, me, head + data)
                        return
                    data.extend(more)
                body = bytes(data[: asked.length])
                del data[: asked.length]
                kept = asked.path.startswith(self.kept_path)
                status, payload, extra = await self.handler(asked.method, asked.path, body)
                await client.sendall(
                    http_heads.response_head(status, len(payload), tuple(extra)) + payload
                )
        except OSError:
            pass
        finally:
            self.connections.pop(me, None)
            self.deadlines.pop(me, None)
            await client.close()

    async def _receive(self, client: Any, me: curio.Task, begun: bool) -> bytes:
        """Wait for what comes next and return it; empty when the other side is finished.

        Guards against slow and half-open clients: once a request has begun it must arrive
        within request_s; between requests idle_s applies.
        """
        self.deadlines[me] = time.monotonic() + (self.request_s if begun else self.idle_s)
        data: bytes = await client.recv(MAX_READ_BYTES)
        self.deadlines.pop(me, None)
        if me in self.connections:
            self.connections[me] = False
        return data

    async def _serve_with_h11(self, client: Any, me: curio.Task, data: bytes) -> None:
        """Serve the rest of a connection, of which `data` has come."""
        conn = h11.Connection(h11.SERVER, max_incomplete_event_size=http_heads.MAX_HEAD_BYTES)
        kept = False
        try:
            conn.receive_data(data)
            while True:
                if me in self.connections:
                    self.connections[me] = not kept
                request, body = await self._read_request(conn, client, me)
                if request is None:
                    return
                path = request.target.decode("latin-1")
                kept = path.startswith(self.kept_path)
                status, payload, extra = await self.handler(
                    request.method.decode("latin-1"), path, body
                )
                await client.sendall(self._response(conn, status, payload, extra))
                if conn.our_state is h11.MUST_CLOSE or conn.our_state is h11.CLOSED:
                    return
                conn.start_next_cycle()
        except MessageTooLargeError:
            await self._refuse(conn, client, 413)
        except h11.RemoteProtocolError as exc:
            await self._refuse(conn, client, exc.error_status_hint or 400)
        except h11.LocalProtocolError:
            pass

    async def _read_request(
        self, conn: h11.Connection, client: Any, me: curio.Task
    ) -> tuple[h11.Request | None, bytes]:
        """Read one request and its body; None when the other side is finished.

        Raises:
            MessageTooLargeError: The body is longer than `MAX_BODY`.
            h11.RemoteProtocolError: What came is no request.
        """
        request, parts, size = None, [], 0
        while True:
            event = conn.next_event()
            if event is h11.NEED_DATA:
                begun = request is not None or bool(conn.trailing_data[0])
                conn.receive_data(await self._receive(client, me, begun))
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
        """Return the bytes of a whole response."""
        return _serialize(
            conn,
            http_heads.response_event(status, len(payload), tuple(extra)),
            h11.Data(data=payload),
            h11.EndOfMessage(),
        )

    async def _refuse(self, conn: h11.Connection, client: Any, status: int) -> None:
        """Answer a request that can't be served, if there is still a way to."""
        try:
            if conn.our_state in (h11.IDLE, h11.SEND_RESPONSE):
                await client.sendall(self._response(conn, status, b"{}", [("Connection", "close")]))
        except (OSError, h11.LocalProtocolError):
            pass


class Client:
    """Requests to one address over a small pool of persistent connections.

    Args:
        host: The address's host.
        port: Its port.
        keep: How many idle connections are kept at most.
    """

    def __init__(self, host: str, port: int, keep: int) -> None:
        self.host, self.port, self.keep = host, port, keep
        self.name = f"{host}:{port}"
        self.idle: deque[Any] = deque()

    async def request(
        self, method: str, path: str, body: bytes | None, timeout_s: float
    ) -> tuple[int, bytes]:
        """Send a request and return its answer's status and body.

        Raises:
            NotSentError: No connection came about in time.
            NoAnswerError: There was no answer in time, or what came is none.
        """
        sent = False
        sock: Any = None
        try:
            async with curio.timeout_after(timeout_s):
                # A pooled connection may have been closed by the other side; it
                # is not tried twice, since the request may have been executed.
                if self.idle:
                    sock = self.idle.pop()
                    sent = True
                else:
                    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
                    await sock.connect((self.host, self.port))
                    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
                    sent = True
                status, payload, reusable = await self._exchange(sock, method, path, body)
            if reusable and len(self.idle) < self.keep:
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
        """Return the status, the body, and whether the connection may be used again."""
        length = None if body is None else len(body)
        await sock.sendall(http_heads.request_head(method, path, self.name, length) + (body or b""))
        data = bytearray()
        head = await _take_head(data, lambda: sock.recv(MAX_READ_BYTES))
        answered = http_heads.parse_response_head(head) if head is not None else None
        if answered is None:
            return await self._read_with_h11(sock, method, path, body, (head or b"") + data)
        while len(data) < answered.length:
            more = await sock.recv(MAX_READ_BYTES)
            if not more:
                raise EOFError("closed")
            data += more
        return answered.status, bytes(data[: answered.length]), len(data) == answered.length

    async def _read_with_h11(
        self, sock: Any, method: str, path: str, body: bytes | None, data: bytes
    ) -> tuple[int, bytes, bool]:
        """Read an answer with a head out of the ordinary, of which `data` has come.

        Returns the same as `_exchange`.
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
        """Close the idle connections."""
        while self.idle:
            await self.idle.pop().close()
