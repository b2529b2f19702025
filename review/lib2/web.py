"""A small HTTP/1.1 server and client on asyncio, for the stand-ins."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Awaitable, Callable
from typing import Any

# Takes method, path and body; returns the status and the value to be sent as JSON, or None if
# the request is never answered.
Handler = Callable[[str, str, bytes], Awaitable["tuple[int, Any] | None"]]
ERRORS = (OSError, EOFError, ValueError, asyncio.IncompleteReadError)


class NoAnswerError(Exception):
    """No answer arrived."""


async def _read_message(reader: asyncio.StreamReader) -> tuple[str, dict[str, str], bytes]:
    """Read a message; return its first line, its headers and its body."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first, *lines = head.split("\r\n")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return first, headers, body


class Server:
    """Serves a handler on a free loopback port."""

    def __init__(self, handler: Handler) -> None:
        self.handler = handler
        self.port = 0
        self.writers: set[asyncio.StreamWriter] = set()
        self.server: asyncio.Server | None = None

    async def start(self) -> int:
        """Listen; return the port."""
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0, limit=1 << 22)
        self.port = self.server.sockets[0].getsockname()[1]
        return self.port

    def stop(self) -> None:
        """Close the listener and all connections."""
        if self.server is not None:
            self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.add(writer)
        try:
            while True:
                first, _, body = await _read_message(reader)
                method, path, _ = first.split(" ", 2)
                answer = await self.handler(method, path, body)
                if answer is None:
                    await asyncio.sleep(3600)
                    return
                status, value = answer
                payload = json.dumps(value).encode()
                writer.write(
                    b"HTTP/1.1 %d X\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n"
                    % (status, len(payload))
                    + payload
                )
                await writer.drain()
        except (*ERRORS, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()


class Client:
    """Sends requests to one loopback port over one persistent connection."""

    def __init__(self, port: int) -> None:
        self.port = port
        self.streams: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None

    async def request(
        self, method: str, path: str, value: Any = None, timeout_s: float = 5.0
    ) -> tuple[int, Any]:
        """Send a request; return the status and the decoded body.

        Raises:
            NoAnswerError: No answer arrived in time.
        """
        body = b"" if value is None else json.dumps(value).encode()
        head = (
            f"{method} {path} HTTP/1.1\r\nHost: 127.0.0.1:{self.port}\r\n"
            f"Content-Type: application/json\r\nContent-Length: {len(body)}\r\n\r\n"
        )
        try:
            async with asyncio.timeout(timeout_s):
                if self.streams is None:
                    self.streams = await asyncio.open_connection(
                        "127.0.0.1", self.port, limit=1 << 22
                    )
                reader, writer = self.streams
                writer.write(head.encode() + body)
                await writer.drain()
                first, headers, payload = await _read_message(reader)
        except ERRORS as exc:
            self.close()
            raise NoAnswerError(f"{type(exc).__name__} {exc}") from None
        except asyncio.CancelledError:
            self.close()
            raise
        if headers.get("connection", "").lower() == "close":
            self.close()
        return int(first.split(" ")[1]), json.loads(payload) if payload else None

    def close(self) -> None:
        """Close the connection."""
        if self.streams is not None:
            self.streams[1].close()
            self.streams = None


async def call(
    port: int, method: str, path: str, value: Any = None, timeout_s: float = 5.0
) -> tuple[int, Any]:
    """Send one request over a connection of its own; status 0 if there is no answer."""
    client = Client(port)
    try:
        return await client.request(method, path, value, timeout_s)
    except NoAnswerError as exc:
        return 0, str(exc)
    finally:
        client.close()


class Proxy:
    """Passes TCP connections on to a port, or refuses and resets them while `refusing` is set."""

    def __init__(self, target: int) -> None:
        self.target = target
        self.port = 0
        self.server: asyncio.Server | None = None
        self.writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> int:
        """Listen; return the port."""
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", self.port)
        self.port = self.server.sockets[0].getsockname()[1]
        return self.port

    async def refuse(self, refusing: bool) -> None:
        """Refuse connections and reset the open ones, or serve again."""
        if refusing and self.server is not None:
            self.server.close()
            self.server = None
            for writer in list(self.writers):
                writer.transport.abort()
        elif not refusing and self.server is None:
            await self.start()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            there = await asyncio.open_connection("127.0.0.1", self.target)
        except OSError:
            writer.transport.abort()
            return
        try:
            await asyncio.gather(self._copy(reader, there[1]), self._copy(there[0], writer))
        except asyncio.CancelledError:
            pass

    async def _copy(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.add(writer)
        try:
            while data := await reader.read(65536):
                writer.write(data)
                await writer.drain()
        except OSError:
            pass
        finally:
            self.writers.discard(writer)
            writer.close()
