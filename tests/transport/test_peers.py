"""Connections between controllers: the side that answers, and the side that asks."""

from __future__ import annotations

import time
from typing import Any

import curio
import pytest

from clayport.transport import frames, peers
from tests.world import Clock, simulate

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

    async def open_listener(*_: Any) -> Listening:
        return Listening([sock])

    async def handler(kind: int, values: tuple[Any, ...]) -> tuple[int, tuple[Any, ...]]:
        return frames.PONG, ("c0", 1, True, 1)

    async def main(clock: Clock) -> None:
        serving = await curio.spawn(peers.serve, "", 0, handler, 4, idle_s)
        await curio.sleep(seen_s)
        found.append((sock.answers, sock.closed_at))
        await serving.cancel()

    found: list[tuple[int, float]] = []
    monkeypatch.setattr(peers, "open_listener", open_listener)
    simulate(monkeypatch, main)
    (answered, closed_at) = found[0]
    assert answered == answers
    assert (closed_at >= 0) == closed
    if closed and not any(b"nonsense" in data for _, data in comes):
        last = 1000.0 + (sum(pause for pause, data in comes) if answers else 0.0)
        assert idle_s < closed_at - last <= 1.25 * idle_s + 0.01


# -- the side that asks, over a loopback connection ---------------------------------

COUNTS = (1, "j-000001")


def ask(handler: Any, asking: Any, timeout_s: float = 5.0) -> Any:
    """What `asking` returns, given a `Peer` whose requests are answered by `handler`."""

    async def main() -> Any:
        probe = curio.tcp_server_socket("127.0.0.1", 0)
        port = probe.getsockname()[1]
        await probe.close()
        serving = await curio.spawn(peers.serve, "127.0.0.1", port, handler, 4, 60.0)
        await curio.sleep(0.05)
        try:
            return await asking(peers.Peer("c1", "127.0.0.1", port, timeout_s))
        finally:
            await serving.cancel()

    return curio.run(main)


def test_answers_are_matched_to_their_requests_in_any_order() -> None:
    async def handler(_: int, values: tuple[Any, ...]) -> tuple[int, tuple[Any, ...]]:
        await curio.sleep(0.1 / values[0])  # the later asked, the earlier answered
        return frames.COUNTED, (True, values[0], 0)

    async def asking(peer: peers.Peer) -> list[Any]:
        tasks = [
            await curio.spawn(peer.call, frames.COUNTS, (number, "j-000001"))
            for number in range(1, 6)
        ]
        return [await task.join() for task in tasks]

    assert ask(handler, asking) == [(True, number, 0) for number in range(1, 6)]


def test_no_answer_in_time_gives_the_connection_up() -> None:
    asked: list[int] = []

    async def handler(_: int, values: tuple[Any, ...]) -> tuple[int, tuple[Any, ...]]:
        asked.append(values[0])
        await curio.sleep(60.0 if len(asked) == 1 else 0.0)
        return frames.COUNTED, (True, 1, 2)

    async def asking(peer: peers.Peer) -> Any:
        with pytest.raises(peers.PeerError, match="c1: TaskTimeout"):
            await peer.call(frames.COUNTS, COUNTS)
        assert peer.heard == peers.DISTANT_PAST_S
        answer = await peer.call(frames.COUNTS, COUNTS)
        assert peer.heard > 0
        return answer

    assert ask(handler, asking, 0.2) == (True, 1, 2)


def test_a_lost_connection_fails_the_requests_that_wait_on_it() -> None:
    async def handler(_: int, values: tuple[Any, ...]) -> tuple[int, tuple[Any, ...]]:
        await curio.sleep(60.0)
        raise AssertionError

    async def asking(peer: peers.Peer) -> None:
        async def lose() -> None:
            await curio.sleep(0.1)
            await peer._sock.shutdown(curio.socket.SHUT_RDWR)

        losing = await curio.spawn(lose)
        with pytest.raises(peers.PeerError, match="c1: connection lost"):
            await peer.call(frames.COUNTS, COUNTS)
        await losing.join()
        assert peer._sock is None and not peer._pending

    ask(handler, asking)


def test_fields_that_do_not_fit_are_not_sent() -> None:
    async def handler(_: int, values: tuple[Any, ...]) -> tuple[int, tuple[Any, ...]]:
        raise AssertionError

    async def asking(peer: peers.Peer) -> None:
        with pytest.raises(peers.PeerError, match="c1: fields do not match the schema"):
            await peer.call(frames.COUNTS, (1,))
        assert peer._sock is None and not peer._pending

    ask(handler, asking)
