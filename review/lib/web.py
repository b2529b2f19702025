"""A small HTTP/1.1 server and client on asyncio, for the stand-ins of a case."""

from __future__ import annotations

import asyncio
import json
import socket
import time
from collections.abc import Awaitable, Callable
from contextvars import ContextVar
from typing import Any

# Takes the method, the path with its query, and the decoded body. Returns the status and the body
# of the answer; None closes the connection without an answer.
Handler = Callable[[str, str, Any], Awaitable[tuple[int, Any] | None]]

# When the connection of the request in hand was opened, on the monotonic clock.
CONNECTED_AT: ContextVar[float] = ContextVar("connected_at")


def free_ports(count: int) -> list[int]:
    """Return loopback ports that are free now, all different."""
    socks = [socket.socket() for _ in range(count)]
    try:
        for sock in socks:
            sock.bind(("127.0.0.1", 0))
        return [sock.getsockname()[1] for sock in socks]
    finally:
        for sock in socks:
            sock.close()


async def _read_message(reader: asyncio.StreamReader) -> tuple[str, bytes]:
    """Read one message; return its first line and its body."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    length = 0
    for line in head[1:]:
        name, _, value = line.partition(":")
        if name.lower() == "content-length":
            length = int(value)
    return head[0], await reader.readexactly(length) if length else b""


async def serve(handler: Handler, port: int = 0) -> tuple[asyncio.Server, int]:
    """Serve requests on a loopback port; return the server and its port."""

    async def connection(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        CONNECTED_AT.set(time.monotonic())
        try:
            while True:
                first, body = await _read_message(reader)
                method, path, _ = first.split(" ", 2)
                answer = await handler(method, path, json.loads(body) if body else None)
                if answer is None:
                    return
                raw = json.dumps(answer[1]).encode()
                writer.write(
                    f"HTTP/1.1 {answer[0]} X\r\nContent-Type: application/json\r\n"
                    f"Content-Length: {len(raw)}\r\n\r\n".encode()
                    + raw
                )
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            writer.close()

    server = await asyncio.start_server(connection, "127.0.0.1", port, backlog=1000)
    return server, server.sockets[0].getsockname()[1]


class Client:
    """Sends requests to one address, each over an idle connection or a new one."""

    def __init__(self, port: int) -> None:
        self.port = port
        self.idle: list[tuple[asyncio.StreamReader, asyncio.StreamWriter]] = []

    async def request(
        self, method: str, path: str, body: Any, timeout_s: float
    ) -> tuple[int, Any] | None:
        """Return the status and the body of the answer; None without one."""
        try:
            return await asyncio.wait_for(self._exchange(method, path, body), timeout_s)
        except (TimeoutError, OSError, asyncio.IncompleteReadError, ValueError):
            return None

    async def _exchange(self, method: str, path: str, body: Any) -> tuple[int, Any]:
        raw = b"" if body is None else json.dumps(body).encode()
        reader, writer = (
            self.idle.pop() if self.idle else await asyncio.open_connection("127.0.0.1", self.port)
        )
        done = False
        try:
            writer.write(
                f"{method} {path} HTTP/1.1\r\nHost: 127.0.0.1:{self.port}\r\n"
                f"Content-Length: {len(raw)}\r\n\r\n".encode()
                + raw
            )
            first, answer = await _read_message(reader)
            done = True
            return int(first.split(" ")[1]), json.loads(answer) if answer else None
        finally:
            if done:
                self.idle.append((reader, writer))
            else:
                writer.close()

    def close(self) -> None:
        """Close the idle connections."""
        while self.idle:
            self.idle.pop()[1].close()
