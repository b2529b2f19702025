"""Requests between controllers over one multiplexed connection per direction."""

from __future__ import annotations

import logging
import random
import time
from collections.abc import Awaitable, Callable
from typing import Any

import curio
from curio import socket

from clayport.limits import Budget, Circuit, Retries
from clayport.transport import frames as wire
from clayport.transport.listen import listener

log = logging.getLogger(__name__)

# Retries that each first request to a peer earns, and how many all who ask it again may make
# in the time that a request may take.
RETRIES, AGAIN = 0.1, 100.0

Handler = Callable[[int, tuple[Any, ...]], Awaitable[tuple[int, tuple[Any, ...]]]]


class PeerError(Exception):
    """No answer from the peer: the request may have been handled or not."""


async def _read_exactly(sock: Any, size: int) -> bytes:
    parts = []
    while size:
        data = await sock.recv(min(size, 65536))
        if not data:
            raise EOFError("closed")
        parts.append(data)
        size -= len(data)
    return b"".join(parts)


async def _read_frame(sock: Any) -> tuple[int, int, tuple[Any, ...]]:
    kind, number, size = wire.decode_header(await _read_exactly(sock, wire.HEADER.size))
    body = await _read_exactly(sock, size) if size else b""
    return kind, number, wire.decode_body(kind, body)


class Peer:
    """The outgoing side towards one controller."""

    def __init__(
        self,
        label: str,
        host: str,
        port: int,
        timeout_s: float,
        uniform: Callable[[float, float], float] = random.uniform,
    ) -> None:
        self.label, self.host, self.port, self.timeout_s = label, host, port, timeout_s
        self.sock: Any = None
        self.reader: curio.Task | None = None
        self.lock = curio.Lock()
        self.number = 0
        self.waiting: dict[int, tuple[curio.Event, list[Any]]] = {}
        self.heard = -1e9  # when it last answered
        self.state_ok = False
        self.epoch = 0
        self.room_rev = 0
        self.circuit = Circuit(
            Retries(
                timeout_s / 4,
                timeout_s,
                Budget(RETRIES, AGAIN, AGAIN / timeout_s, time.monotonic()),
                uniform,
            )
        )
        self.begin, self.back_off = self.circuit.begin, self.circuit.back_off

    async def call(
        self, kind: int, values: tuple[Any, ...], timeout_s: float | None = None
    ) -> tuple[Any, ...]:
        """Ask and wait; PeerError when there is no answer in time."""
        event = curio.Event()
        box: list[Any] = []
        self.number = number = (self.number + 1) & 0xFFFFFFFF
        try:
            frame = wire.encode(kind, number, values)
        except wire.FrameError as exc:
            # Our own mistake, not the peer's. Taken for silence, one once kept GPU
            # machines of other owners from ever being cleared.
            log.error("request kind=%d can't be packed: %s", kind, exc)
            raise PeerError(f"{self.label}: {exc}") from None
        try:
            async with curio.timeout_after(timeout_s or self.timeout_s):
                async with self.lock:
                    if self.sock is None:
                        await self._connect()
                    self.waiting[number] = (event, box)
                    await self.sock.sendall(frame)
                await event.wait()
        except (OSError, curio.TaskTimeout) as exc:
            # A connection that swallows requests (held packets) is given up, so
            # that the next request tries a fresh one.
            await self._drop()
            await self.circuit.seen(False)
            raise PeerError(f"{self.label}: {type(exc).__name__} {exc}") from None
        finally:
            self.waiting.pop(number, None)
        if not box:
            raise PeerError(f"{self.label}: connection lost")
        self.heard = time.monotonic()
        await self.circuit.seen(True)
        answer: tuple[Any, ...] = box[0]
        return answer

    async def _connect(self) -> None:
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        try:
            await sock.connect((self.host, self.port))
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        except BaseException:
            await sock.close()
            raise
        self.sock = sock
        self.reader = await curio.spawn(self._read, sock, daemon=True)

    async def _read(self, sock: Any) -> None:
        try:
            while True:
                _, number, values = await _read_frame(sock)
                waiter = self.waiting.get(number)
                if waiter:
                    waiter[1].append(values)
                    await waiter[0].set()
        except (OSError, EOFError, wire.FrameError) as exc:
            log.debug("peer=%s connection ended: %s", self.label, exc)
        finally:
            if self.sock is sock:
                self.sock = None
                for event, _ in list(self.waiting.values()):
                    await event.set()
            await sock.close()

    async def _drop(self) -> None:
        sock, reader = self.sock, self.reader
        self.sock = self.reader = None
        if reader is not None and sock is not None:
            await reader.cancel(blocking=False)
            for event, _ in list(self.waiting.values()):
                await event.set()


async def serve(host: str, port: int, handler: Handler, limit: int, idle_s: float) -> None:
    """Answer peers' requests, each in a routine of its own.

    `limit` bounds the connections: a peer that reconnects without end must not
    take the sockets kept for workers.
    """
    # When each last brought a whole frame, or was accepted; the oldest first.
    connections: dict[curio.Task, float] = {}

    async def sweep() -> None:
        """Close connections that bring nothing: one duty for all of them. (A timer for each
        frame cost an eighth of an exchange.)"""
        while True:
            await curio.sleep(idle_s / 4)
            now = time.monotonic()
            for task in [t for t, at in connections.items() if now - at > idle_s]:
                connections.pop(task, None)
                await task.cancel(blocking=False)

    async def answer(
        sock: Any, lock: curio.Lock, kind: int, number: int, values: tuple[Any, ...]
    ) -> None:
        try:
            reply, body = await handler(kind, values)
            frame = wire.encode(reply, number, body)
            async with lock:
                await sock.sendall(frame)
        except (OSError, wire.FrameError) as exc:
            log.debug("answer to a peer lost: %s", exc)
        except Exception:
            log.exception("request kind=%d from a peer failed", kind)

    async def connection(sock: Any) -> None:
        me = await curio.current_task()
        lock = curio.Lock()
        try:
            async with sock:
                while True:
                    kind, number, values = await _read_frame(sock)
                    if me in connections:
                        connections[me] = time.monotonic()
                    await curio.spawn(answer, sock, lock, kind, number, values, daemon=True)
        except (EOFError, OSError):
            pass
        except wire.FrameError as exc:
            log.error("malformed frame from a peer dropped: %s", exc)
        finally:
            connections.pop(me, None)

    listening = await listener(host, port, limit)
    await curio.spawn(sweep, daemon=True)
    async with listening:
        while True:
            try:
                sock, _ = await listening.accept()
            except OSError as exc:
                log.info("accept from a peer failed: %s", exc)
                await curio.sleep(idle_s / 100)
                continue
            if len(connections) >= limit:
                oldest = next(iter(connections))
                connections.pop(oldest)
                await oldest.cancel(blocking=False)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            connections[await curio.spawn(connection, sock, daemon=True)] = time.monotonic()
