"""Requests between controllers, multiplexed over one connection per direction."""

from __future__ import annotations

import logging
import random
import time
from collections.abc import Awaitable, Callable
from typing import Any

import curio
from curio import socket

from clayport.limits import RetryBudget, RetryCoordinator, RetryPolicy
from clayport.transport import TransportError, frames
from clayport.transport.listen import open_listener

log = logging.getLogger(__name__)

# The retry budget of each peer: the retries that each first attempt earns, and the most retries
# of all routines together within the timeout of a request.
RETRIES_PER_REQUEST, MAX_RETRIES = 0.1, 100.0
# The most bytes that one read from a connection returns.
MAX_READ_BYTES = 65536
MAX_REQUEST_NUMBER = 0xFFFFFFFF
# A time on the monotonic clock that is before any event.
DISTANT_PAST_S = -1e9

Fields = frames.Fields
# Takes the kind and fields of a request; returns the kind and fields of the reply.
Handler = Callable[[int, Fields], Awaitable[tuple[int, Fields]]]


class PeerError(TransportError):
    """The peer sent no answer, so the request may or may not have been handled."""


async def _read_exactly(sock: Any, size: int) -> bytes:
    """Read `size` bytes.

    Raises:
        EOFError: The connection was closed before `size` bytes arrived.
    """
    parts = []
    while size:
        data = await sock.recv(min(size, MAX_READ_BYTES))
        if not data:
            raise EOFError("connection closed")
        parts.append(data)
        size -= len(data)
    return b"".join(parts)


async def _read_frame(sock: Any) -> tuple[int, int, Fields]:
    """Read a frame and return its kind, request number and fields.

    Raises:
        EOFError: The connection was closed.
        frames.FrameError: The received bytes are not a valid frame.
    """
    kind, number, size = frames.decode_header(await _read_exactly(sock, frames.HEADER.size))
    body = await _read_exactly(sock, size) if size else b""
    return kind, number, frames.decode_body(kind, body)


class _PendingRequest:
    """A request that waits for its answer or for the loss of its connection."""

    __slots__ = ("answer", "done")

    def __init__(self) -> None:
        self.done = curio.Event()
        self.answer: Fields | None = None  # still None after `done` if the connection is lost


class Peer:
    """A client for one other controller, which sends requests and matches answers to them.

    The first request opens the connection, and so does the first request after a loss.

    Args:
        label: The label of the other controller.
        host: The host on which the other controller listens for peers.
        port: The port on which the other controller listens for peers.
        timeout_s: The default timeout of a request.
        uniform: Draws the jitter of pauses between retries.

    Attributes:
        last_heard_at: When the peer last answered or sent a heartbeat, on the monotonic clock.
        state_service_ok: Whether the state service answers the peer, by its latest heartbeat.
        epoch: The epoch in which the peer acts, by its latest heartbeat.
        room_rev: The revision of the peer's table of free room, by its latest heartbeat.
    """

    def __init__(
        self,
        label: str,
        host: str,
        port: int,
        timeout_s: float,
        uniform: Callable[[float, float], float] = random.uniform,
    ) -> None:
        self.label, self.host, self.port, self.timeout_s = label, host, port, timeout_s
        self.last_heard_at = DISTANT_PAST_S
        self.state_service_ok = False
        self.epoch = 0
        self.room_rev = 0
        self.retry_coordinator = RetryCoordinator(
            RetryPolicy(
                timeout_s / 4,
                timeout_s,
                RetryBudget(
                    RETRIES_PER_REQUEST, MAX_RETRIES, MAX_RETRIES / timeout_s, time.monotonic()
                ),
                uniform,
            )
        )
        self.begin_request, self.back_off = (
            self.retry_coordinator.begin_request,
            self.retry_coordinator.back_off,
        )
        self._sock: Any = None
        self._reader: curio.Task | None = None
        self._lock = curio.Lock()  # held while connecting and sending
        self._last_number = 0
        self._pending: dict[int, _PendingRequest] = {}

    async def call(self, kind: int, values: Fields, timeout_s: float | None = None) -> Fields:
        """Send a request and return the fields of its answer.

        Raises:
            PeerError: No answer arrived in time, or the fields don't match the kind's schema.
        """
        request = _PendingRequest()
        self._last_number = number = (self._last_number + 1) & MAX_REQUEST_NUMBER
        frame = self._encode(kind, number, values)
        try:
            async with curio.timeout_after(timeout_s or self.timeout_s):
                async with self._lock:
                    if self._sock is None:
                        await self._connect()
                    self._pending[number] = request
                    await self._sock.sendall(frame)
                await request.done.wait()
        except (OSError, curio.TaskTimeout) as exc:
            # The connection may silently drop packets, so it is closed and the next request
            # opens a new one.
            await self._disconnect()
            await self.retry_coordinator.record(False)
            raise PeerError(f"{self.label}: {type(exc).__name__} {exc}") from None
        finally:
            self._pending.pop(number, None)
        if request.answer is None:
            raise PeerError(f"{self.label}: connection lost")
        self.last_heard_at = time.monotonic()
        await self.retry_coordinator.record(True)
        return request.answer

    def _encode(self, kind: int, number: int, values: Fields) -> bytes:
        try:
            return frames.encode(kind, number, values)
        except frames.FrameError as exc:
            # This is a fault of this controller, not of the peer. If it were mistaken for an
            # unreachable peer, it could go unnoticed and, for example, keep GPU machines of
            # other owners from ever being cleared.
            log.error("cannot encode request kind=%d: %s", kind, exc)
            raise PeerError(f"{self.label}: {exc}") from None

    async def _connect(self) -> None:
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        try:
            await sock.connect((self.host, self.port))
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        except BaseException:
            await sock.close()
            raise
        self._sock = sock
        self._reader = await curio.spawn(self._read_answers, sock, daemon=True)

    async def _read_answers(self, sock: Any) -> None:
        """Pass answers to the pending requests until the connection ends."""
        try:
            while True:
                _, number, values = await _read_frame(sock)
                request = self._pending.get(number)
                if request:
                    if request.answer is None:
                        request.answer = values
                    await request.done.set()
        except (OSError, EOFError, frames.FrameError) as exc:
            log.debug("peer=%s connection ended: %s", self.label, exc)
        finally:
            if self._sock is sock:
                self._sock = None
                await self._wake_pending()
            await sock.close()

    async def _disconnect(self) -> None:
        """Close the connection and fail the requests that wait for answers on it."""
        sock, reader = self._sock, self._reader
        self._sock = self._reader = None
        if reader is not None and sock is not None:
            await reader.cancel(blocking=False)
            await self._wake_pending()

    async def _wake_pending(self) -> None:
        for request in list(self._pending.values()):
            await request.done.set()


class Server:
    """Answers requests of peers, each in its own routine.

    Args:
        handler: Answers a request.
        limit: The most open connections. The limit keeps a peer that reconnects in a loop from
            exhausting the sockets that workers need.
        idle_s: How long a connection may deliver no whole frame before it is closed.
    """

    def __init__(self, handler: Handler, limit: int, idle_s: float) -> None:
        self.handler, self.limit, self.idle_s = handler, limit, idle_s
        # When each connection last delivered a whole frame or was accepted, the oldest first.
        self.connections: dict[curio.Task, float] = {}

    async def serve(self, host: str, port: int) -> None:
        """Listen on an address and serve connections until cancelled."""
        server_sock = await open_listener(host, port, self.limit)
        await curio.spawn(self._close_idle, daemon=True)
        async with server_sock:
            while True:
                try:
                    sock, _ = await server_sock.accept()
                except OSError as exc:
                    log.info("cannot accept a connection from a peer: %s", exc)
                    await curio.sleep(self.idle_s / 100)
                    continue
                if len(self.connections) >= self.limit:
                    await self._close_oldest()
                sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
                task = await curio.spawn(self._serve_connection, sock, daemon=True)
                self.connections[task] = time.monotonic()

    async def _close_oldest(self) -> None:
        oldest = next(iter(self.connections))
        self.connections.pop(oldest)
        await oldest.cancel(blocking=False)

    async def _close_idle(self) -> None:
        """Periodically close all connections that have delivered no frame for too long.

        One routine checks all connections, because a timer per frame costs an eighth of the
        time of an exchange.
        """
        while True:
            await curio.sleep(self.idle_s / 4)
            now = time.monotonic()
            for task in [t for t, at in self.connections.items() if now - at > self.idle_s]:
                self.connections.pop(task, None)
                await task.cancel(blocking=False)

    async def _serve_connection(self, sock: Any) -> None:
        task = await curio.current_task()
        lock = curio.Lock()  # held while an answer is sent
        try:
            async with sock:
                while True:
                    kind, number, values = await _read_frame(sock)
                    if task in self.connections:
                        self.connections[task] = time.monotonic()
                    await curio.spawn(self._answer, sock, lock, kind, number, values, daemon=True)
        except (EOFError, OSError):
            pass
        except frames.FrameError as exc:
            log.error("closing a connection after a malformed frame from a peer: %s", exc)
        finally:
            self.connections.pop(task, None)

    async def _answer(
        self, sock: Any, lock: curio.Lock, kind: int, number: int, values: Fields
    ) -> None:
        try:
            reply, fields = await self.handler(kind, values)
            frame = frames.encode(reply, number, fields)
            async with lock:
                await sock.sendall(frame)
        except (OSError, frames.FrameError) as exc:
            log.debug("cannot send an answer to a peer: %s", exc)
        except Exception:
            log.exception("unexpected error while answering a peer's request kind=%d", kind)


async def serve(host: str, port: int, handler: Handler, limit: int, idle_s: float) -> None:
    """Answer requests of peers on an address until cancelled; see `Server` for the arguments."""
    await Server(handler, limit, idle_s).serve(host, port)
