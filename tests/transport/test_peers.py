"""Connections between controllers: the server and the client."""

from __future__ import annotations

import time
from typing import Any

import curio
import pytest

from clayport.transport import frames, peers
from tests.world import Clock, simulate

FRAME = frames.encode(frames.PING, 1, ("c1", 1, True, 1, []))


class FakeConnection:
    """Receives the given chunks, each after a pause, and then nothing."""

    def __init__(self, arrivals: list[tuple[float, bytes]]) -> None:
        self.arrivals, self.data, self.answers = list(arrivals), b"", 0
        self.closed_at = -1.0

    async def __aenter__(self) -> None:
        pass

    async def __aexit__(self, *_: Any) -> None:
        self.closed_at = time.monotonic()

    def setsockopt(self, *_: int) -> None:
        pass

    async def sendall(self, _: bytes) -> None:
        self.answers += 1

    async def recv(self, size: int) -> bytes:
        if not self.data:
            pause_s, self.data = self.arrivals.pop(0) if self.arrivals else (1e6, b"")
            await curio.sleep(pause_s)
        data, self.data = self.data[:size], self.data[size:]
        return data


class FakeListener(FakeConnection):
    def __init__(self, accepted: list[FakeConnection]) -> None:
        super().__init__([])
        self.accepted = list(accepted)

    async def accept(self) -> tuple[FakeConnection, str]:
        if not self.accepted:
            await curio.sleep(1e6)
        return self.accepted.pop(0), ""


@pytest.mark.parametrize(
    "arrivals, answers, closed",
    [
        # Without the periodic check, the first three connections stay open forever.
        ([], 0, True),  # no bytes
        ([(1.0, FRAME), (9.0, FRAME)], 2, True),  # no more frames
        ([(8.0, FRAME[:9]), (8.0, FRAME[9:])], 0, True),  # a frame that arrives too slowly
        ([(8.0, FRAME)] * 6, 6, False),  # frames that arrive in time
        ([(1.0, b"nonsense that is no frame")], 0, True),
    ],
)
def test_connections_without_frames_are_closed(
    monkeypatch: pytest.MonkeyPatch, arrivals: list[tuple[float, bytes]], answers: int, closed: bool
) -> None:
    idle_s, observed_s = 10.0, 49.0
    sock = FakeConnection(arrivals)

    async def open_listener(*_: Any) -> FakeListener:
        return FakeListener([sock])

    async def handler(kind: int, values: tuple[Any, ...]) -> tuple[int, tuple[Any, ...]]:
        return frames.PONG, ("c0", 1, True, 1)

    async def main(clock: Clock) -> None:
        server = await curio.spawn(peers.serve, "", 0, handler, 4, idle_s)
        await curio.sleep(observed_s)
        observed.append((sock.answers, sock.closed_at))
        await server.cancel()

    observed: list[tuple[int, float]] = []
    monkeypatch.setattr(peers, "open_listener", open_listener)
    simulate(monkeypatch, main)
    (answered_count, closed_at) = observed[0]
    assert answered_count == answers
    assert (closed_at >= 0) == closed
    if closed and not any(b"nonsense" in data for _, data in arrivals):
        last = 1000.0 + (sum(pause for pause, data in arrivals) if answers else 0.0)
        assert idle_s < closed_at - last <= 1.25 * idle_s + 0.01


# -- the client, over a loopback connection -----------------------------------------

COUNTS = (1, "j-000001")


def call_peer(handler: Any, caller: Any, timeout_s: float = 5.0) -> Any:
    """Return the result of `caller` for a `Peer` whose requests `handler` answers."""

    async def main() -> Any:
        probe = curio.tcp_server_socket("127.0.0.1", 0)
        port = probe.getsockname()[1]
        await probe.close()
        server = await curio.spawn(peers.serve, "127.0.0.1", port, handler, 4, 60.0)
        await curio.sleep(0.05)
        try:
            return await caller(peers.Peer("c1", "127.0.0.1", port, timeout_s))
        finally:
            await server.cancel()

    return curio.run(main)


def test_answers_are_matched_to_requests_in_any_order() -> None:
    async def handler(_: int, values: tuple[Any, ...]) -> tuple[int, tuple[Any, ...]]:
        await curio.sleep(0.1 / values[0])  # later requests are answered earlier
        return frames.COUNTED, (True, values[0], 0)

    async def caller(peer: peers.Peer) -> list[Any]:
        tasks = [
            await curio.spawn(peer.call, frames.COUNTS, (number, "j-000001"))
            for number in range(1, 6)
        ]
        return [await task.join() for task in tasks]

    assert call_peer(handler, caller) == [(True, number, 0) for number in range(1, 6)]


def test_a_timeout_closes_the_connection() -> None:
    asked: list[int] = []

    async def handler(_: int, values: tuple[Any, ...]) -> tuple[int, tuple[Any, ...]]:
        asked.append(values[0])
        await curio.sleep(60.0 if len(asked) == 1 else 0.0)
        return frames.COUNTED, (True, 1, 2)

    async def caller(peer: peers.Peer) -> Any:
        with pytest.raises(peers.PeerError, match="c1: TaskTimeout"):
            await peer.call(frames.COUNTS, COUNTS)
        assert peer.last_heard_at == peers.DISTANT_PAST_S
        answer = await peer.call(frames.COUNTS, COUNTS)
        assert peer.last_heard_at > 0
        return answer

    assert call_peer(handler, caller, 0.2) == (True, 1, 2)


def test_a_lost_connection_fails_its_pending_requests() -> None:
    async def handler(_: int, values: tuple[Any, ...]) -> tuple[int, tuple[Any, ...]]:
        await curio.sleep(60.0)
        raise AssertionError

    async def caller(peer: peers.Peer) -> None:
        async def shut_down() -> None:
            await curio.sleep(0.1)
            await peer._sock.shutdown(curio.socket.SHUT_RDWR)

        shutdown = await curio.spawn(shut_down)
        with pytest.raises(peers.PeerError, match="c1: connection lost"):
            await peer.call(frames.COUNTS, COUNTS)
        await shutdown.join()
        assert peer._sock is None and not peer._pending

    call_peer(handler, caller)


def test_fields_that_do_not_match_the_schema_are_not_sent() -> None:
    async def handler(_: int, values: tuple[Any, ...]) -> tuple[int, tuple[Any, ...]]:
        raise AssertionError

    async def caller(peer: peers.Peer) -> None:
        with pytest.raises(peers.PeerError, match="c1: fields do not match the schema"):
            await peer.call(frames.COUNTS, (1,))
        assert peer._sock is None and not peer._pending

    call_peer(handler, caller)
