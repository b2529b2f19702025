"""The tests' simulated world with counters for its network traffic."""

from __future__ import annotations

import bisect
import json
from collections import Counter
from typing import Any

import pytest

from bench.rebuild_day import LargeWorld
from clayport.transport import frames
from tests.world import Clock, State

WRITES_KEY = "writes"
HTTP_CONFLICT = 409


class IndexedState(State):
    """State service whose watches do not scan the whole change log."""

    def changes(self, prefix: str, since: int) -> list[dict[str, Any]]:
        """Return the changes under a prefix after a revision, located by bisection."""
        first = bisect.bisect_right(self.log, since, key=lambda change: change["key_rev"])
        return [
            change
            for change in self.log[first:]
            if (change.get("write") or change.get("remove", "")).startswith(prefix)
        ]


class CountedWorld(LargeWorld):
    """Large world that counts messages, operations and bytes by channel."""

    def __init__(self, clock: Clock, controllers: int, monkeypatch: pytest.MonkeyPatch) -> None:
        super().__init__(clock, controllers)
        self.rebuild = False
        self.state = IndexedState(self)
        self.counts: Counter[str] = Counter()
        encode_frame = frames.encode

        def counted(kind: int, number: int, values: tuple[Any, ...]) -> bytes:
            frame = encode_frame(kind, number, values)
            self._count_message("peers", len(frame))
            return frame

        monkeypatch.setattr(frames, "encode", counted)

    def _count_message(self, channel: str, size: int) -> None:
        self.counts[f"{channel}.messages"] += 1
        self.counts[f"{channel}.bytes"] += size

    def client(self, source: str, host: str) -> Any:
        """Return an HTTP client that counts its requests and answers."""
        world, inner = self, super().client(source, host)

        class Client:
            async def request(
                self, method: str, path: str, body: bytes | None, timeout_s: float
            ) -> tuple[int, bytes]:
                world._count_request(host, path, body or b"")
                status, answer = await inner.request(method, path, body, timeout_s)
                world._count_message(f"{world._channel(host, path)}.answers", len(answer))
                if host == "state" and status == HTTP_CONFLICT:
                    world.counts["state.conflicts"] += 1
                return status, answer

            async def close(self) -> None:
                pass

        return Client()

    @staticmethod
    def _channel(host: str, path: str) -> str:
        if host == "state":
            return "watch" if path.startswith("/changes") else "state"
        return "cloud" if host == "cloud" else "commands"

    def _count_request(self, host: str, path: str, body: bytes) -> None:
        self._count_message(self._channel(host, path), len(body))
        if host != "state" or path != "/commit":
            return
        request = json.loads(body)
        self.counts["state.operations"] += len(request.get(WRITES_KEY, ()))
        self.counts["state.conditions"] += len(request["when"])
        self.counts["state.changes" if request.get(WRITES_KEY) else "state.comparisons"] += 1

    async def deliver(
        self, source: str, label: str, method: str, path: str, body: bytes, timeout_s: float
    ) -> tuple[int, bytes]:
        """Deliver and count a request of a worker or user."""
        channel = "reports" if path == "/v1/report" else "users"
        self._count_message(channel, len(body))
        status, answer = await super().deliver(source, label, method, path, body, timeout_s)
        self._count_message(f"{channel}.answers", len(answer))
        return status, answer
