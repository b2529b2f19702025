"""Requests between controllers over one multiplexed connection per direction."""

from __future__ import annotations

import logging
import random
import time
from collections.abc import Awaitable, Callable
from typing import Any

import curio
from curio import socket

from clayport.limits import Circuit, RetryBudget, RetryPolicy
from clayport.transport import TransportError, frames
from clayport.transport.listen import listener

log = logging.getLogger(__name__)

# Retries that each first request to a peer earns, and how many all who ask it again may make
# in the time that a request may take.
RETRIES_PER_REQUEST, MAX_RETRIES = 0.1, 100.0
# What is read from a connection at once, in bytes.
MAX_READ_BYTES = 65536
MAX_REQUEST_NUMBER = 0xFFFFFFFF
# A time on the monotonic clock before any other.
NEVER_S = -1e9

Fields = frames.Fields
# Answers a request, given its kind and fields, by the kind and fields of the reply.
Handler = Callable[[int, Fields], Awaitable[tuple[int, Fields]]]


class PeerError(TransportError):
    """No answer from the peer: the request may have been handled or not."""


async def _read_exactly(sock: Any, size: int) -> bytes:
    """Read `size` bytes.

    Raises:
        EOFError: The connection was closed before.
    """
    parts = []
    while size:
        data = await sock.recv(min(size, MAX_READ_BYTES))
        if not data:
            raise EOFError("closed")
        parts.append(data)
        size -= len(data)
    return b"".join(parts)


async def _read_frame(sock: Any) -> tuple[int, int, Fields]:
    """Read a frame and return its kind, its request's number and its fields.

    Raises:
        EOFError: The connection was closed.
        frames.FrameError: What came is no frame.
    """
    kind, number, size = frames.decode_header(await _read_exactly(sock, frames.HEADER.size))
    body = await _read_exactly(sock, size) if size else b""
    return kind, number, frames.decode_body(kind, body)


class _PendingRequest:
    """A request that waits for its answer, or for the end of its connection."""

    __slots__ = ("answer", "done")

    def __init__(self) -> None:
        self.done = curio.Event()
        self.answer: Fields | None = None  # None once done: the connection was lost


class Peer:
    """The client of one other controller: sends requests and matches the answers to them.

    The connection is opened by the first request, and again by the first one after it was lost.

    Args:
        label: The other controller's label.
        host: Its host for peers.
        port: Its port for peers.
        timeout_s: How long a request waits for its answer unless it says otherwise.
        uniform: Draws the jitter of pauses between retries.

    Attributes:
        heard: When it last answered or sent a heartbeat, on the monotonic clock.
        state_ok: Whether the state service answers it, as it last said.
        epoch: The epoch it acts in, as it last said.
        room_rev: The revision of its table of free room, as it last said.
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
        self.heard = NEVER_S
        self.state_ok = False
        self.epoch = 0
        self.room_rev = 0
        self.circuit = Circuit(
            RetryPolicy(
                timeout_s / 4,
                timeout_s,
                RetryBudget(
                    RETRIES_PER_REQUEST, MAX_RETRIES, MAX_RETRIES / timeout_s, time.monotonic()
                ),
                uniform,
            )
        )
        self.begin, self.back_off = self.circuit.begin, self.circuit.back_off
        self._sock: Any = None
        self._reader: curio.Task | None = None
        self._lock = curio.Lock()  # held while connecting and sending
        self._last_number = 0
        self._pending: dict[int, _PendingRequest] = {}

    async def call(self, kind: int, values: Fields, timeout_s: float | None = None) -> Fields:
        """Send a request and return the fields of its answer.

        Raises:
            PeerError: There is no answer in time, or the fields don't fit the kind's schema.
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
            # A connection that swallows requests (held packets) is given up, so
            # that the next request tries a fresh one.
            await self._disconnect()
            await self.circuit.record(False)
            raise PeerError(f"{self.label}: {type(exc).__name__} {exc}") from None
        finally:
            self._pending.pop(number, None)
        if request.answer is None:
            raise PeerError(f"{self.label}: connection lost")
        self.heard = time.monotonic()
        await self.circuit.record(True)
        return request.answer

    def _encode(self, kind: int, number: int, values: Fields) -> bytes:
        try:
            return frames.encode(kind, number, values)
        except frames.FrameError as exc:
            # Our own mistake, not the peer's. Taken for silence, one once kept GPU
            # machines of other owners from ever being cleared.
            log.error("request kind=%d can't be packed: %s", kind, exc)
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
        """Hand answers to their requests until the connection ends."""
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
        """Give the connection up; requests that wait for an answer on it have failed."""
        sock, reader = self._sock, self._reader
        self._sock = self._reader = None
        if reader is not None and sock is not None:
            await reader.cancel(blocking=False)
            await self._wake_pending()

    async def _wake_pending(self) -> None:
        for request in list(self._pending.values()):
            await request.done.set()


class Server:
    """Answers peers' requests, each in a routine of its own.

    Args:
        handler: Answers a request.
        limit: The most connections: a peer that reconnects without end must not take the
            sockets kept for workers.
        idle_s: How long a connection may bring no whole frame before it is closed.
    """

    def __init__(self, handler: Handler, limit: int, idle_s: float) -> None:
        self.handler, self.limit, self.idle_s = handler, limit, idle_s
        # When each last brought a whole frame, or was accepted; the oldest first.
        self.connections: dict[curio.Task, float] = {}

    async def serve(self, host: str, port: int) -> None:
        """Listen on an address and serve whoever connects, without end."""
        listening = await listener(host, port, self.limit)
        await curio.spawn(self._close_idle, daemon=True)
        async with listening:
            while True:
                try:
                    sock, _ = await listening.accept()
                except OSError as exc:
                    log.info("accept from a peer failed: %s", exc)
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
        """Close connections that bring nothing: one duty for all of them. (A timer for each
        frame cost an eighth of an exchange.)"""
        while True:
            await curio.sleep(self.idle_s / 4)
            now = time.monotonic()
            for task in [t for t, at in self.connections.items() if now - at > self.idle_s]:
                self.connections.pop(task, None)
                await task.cancel(blocking=False)

    async def _serve_connection(self, sock: Any) -> None:
        me = await curio.current_task()
        lock = curio.Lock()  # held while an answer is sent
        try:
            async with sock:
                while True:
                    kind, number, values = await _read_frame(sock)
                    if me in self.connections:
                        self.connections[me] = time.monotonic()
                    await curio.spawn(self._answer, sock, lock, kind, number, values, daemon=True)
        except (EOFError, OSError):
            pass
        except frames.FrameError as exc:
            log.error("malformed frame from a peer dropped: %s", exc)
        finally:
            self.connections.pop(me, None)

    async def _answer(
        self, sock: Any, lock: curio.Lock, kind: int, number: int, values: Fields
    ) -> None:
        try:
            reply, fields = await self.handler(kind, values)
            frame = frames.encode(reply, number, fields)
            async with lock:
                await sock.sendall(frame)
        except (OSError, frames.FrameError) as exc:
            log.debug("answer to a peer lost: %s", exc)
        except Exception:
            log.exception("request kind=%d from a peer failed", kind)


async def serve(host: str, port: int, handler: Handler, limit: int, idle_s: float) -> None:
    """Answer peers' requests on an address; see `Server` for the arguments."""
    await Server(handler, limit, idle_s).serve(host, port)
