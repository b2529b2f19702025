"""The side of a connection between controllers that answers."""

from __future__ import annotations

import time
from typing import Any

import curio
import pytest

from clayport.transport import frames, peers

from .world import Clock, simulate

FRAME = frames.encode(frames.PING, 1, ("c1", 1, True, 1, []))


class Connection:
    """Brings the given bytes, each after a pause, and then nothing."""

    def __init__(self, comes: list[tuple[float, bytes]]) -> None:
        self.comes, self.data, self.answers = list(comes), b"", 0
        self.closed_at = -1.0

    async def __aenter__(self) -> None:
        pass

    async def __aexit__(self, *_: Any) -> None:
        self.closed_at = time.monotonic()

    def setsockopt(self, *_: int) -> None:
        pass

    async def sendall(self, _: bytes) -> None:
        self.answers += 1

    async def recv(self, most: int) -> bytes:
        if not self.data:
            pause_s, self.data = self.comes.pop(0) if self.comes else (1e6, b"")
            await curio.sleep(pause_s)
        taken, self.data = self.data[:most], self.data[most:]
        return taken


class Listening(Connection):
    def __init__(self, accepted: list[Connection]) -> None:
        super().__init__([])
        self.accepted = list(accepted)

    async def accept(self) -> tuple[Connection, str]:
        if not self.accepted:
            await curio.sleep(1e6)
        return self.accepted.pop(0), ""


@pytest.mark.parametrize(
    "comes, answers, closed",
    [
        ([], 0, True),  # nothing (without the sweep these three stay for ever)
        ([(1.0, FRAME), (9.0, FRAME)], 2, True),  # nothing more
        ([(8.0, FRAME[:9]), (8.0, FRAME[9:])], 0, True),  # a frame that is too slow
        ([(8.0, FRAME)] * 6, 6, False),  # always something, each in its time
        ([(1.0, b"nonsense that is no frame")], 0, True),
    ],
)
def test_connections_that_bring_nothing_are_closed(
    monkeypatch: pytest.MonkeyPatch, comes: list[tuple[float, bytes]], answers: int, closed: bool
) -> None:
    idle_s, seen_s = 10.0, 49.0
    sock = Connection(comes)

    async def listener(*_: Any) -> Listening:
        return Listening([sock])

    async def handler(kind: int, values: tuple[Any, ...]) -> tuple[int, tuple[Any, ...]]:
        return frames.PONG, ("c0", 1, True, 1)

    async def main(clock: Clock) -> None:
        serving = await curio.spawn(peers.serve, "", 0, handler, 4, idle_s)
        await curio.sleep(seen_s)
        found.append((sock.answers, sock.closed_at))
        await serving.cancel()

    found: list[tuple[int, float]] = []
    monkeypatch.setattr(peers, "listener", listener)
    simulate(monkeypatch, main)
    (answered, closed_at) = found[0]
    assert answered == answers
    assert (closed_at >= 0) == closed
    if closed and not any(b"nonsense" in data for _, data in comes):
        last = 1000.0 + (sum(pause for pause, data in comes) if answers else 0.0)
        assert idle_s < closed_at - last <= 1.25 * idle_s + 0.01
