"""The tests' simulated world with a fleet of its own and a count of what goes over the wire."""

from __future__ import annotations

import bisect
import json
from collections import Counter
from typing import Any

import pytest

from bench.rebuild_day import Large
from clayport.transport import frames
from tests.world import Clock, State

WRITES = "writes"
CONFLICT = 409


class IndexedState(State):
    """The state service, whose watches don't read all of its past."""

    def changes(self, prefix: str, since: int) -> list[dict[str, Any]]:
        """The changes after a revision under a prefix, found by bisection."""
        first = bisect.bisect_right(self.log, since, key=lambda change: change["key_rev"])
        return [
            change
            for change in self.log[first:]
            if (change.get("write") or change.get("remove", "")).startswith(prefix)
        ]


class CountedWorld(Large):
    """Counts requests, operations and bytes by who was asked for what."""

    def __init__(self, clock: Clock, controllers: int, patch: pytest.MonkeyPatch) -> None:
        super().__init__(clock, controllers)
        self.rebuild = False
        self.state = IndexedState(self)
        self.counts: Counter[str] = Counter()
        encode = frames.encode

        def counted(kind: int, number: int, values: tuple[Any, ...]) -> bytes:
            frame = encode(kind, number, values)
            self._count("peers", len(frame))
            return frame

        patch.setattr(frames, "encode", counted)

    def _count(self, what: str, size: int) -> None:
        self.counts[f"{what}.messages"] += 1
        self.counts[f"{what}.bytes"] += size

    def client(self, source: str, host: str) -> Any:
        """A client whose requests and answers are counted."""
        world, inner = self, super().client(source, host)

        class Client:
            async def request(
                self, method: str, path: str, body: bytes | None, timeout_s: float
            ) -> tuple[int, bytes]:
                world._asked(host, path, body or b"")
                status, raw = await inner.request(method, path, body, timeout_s)
                world._count(f"{world._service(host, path)}.answers", len(raw))
                if host == "state" and status == CONFLICT:
                    world.counts["state.conflicts"] += 1
                return status, raw

            async def close(self) -> None:
                pass

        return Client()

    @staticmethod
    def _service(host: str, path: str) -> str:
        if host == "state":
            return "watch" if path.startswith("/changes") else "state"
        return "cloud" if host == "cloud" else "commands"

    def _asked(self, host: str, path: str, body: bytes) -> None:
        self._count(self._service(host, path), len(body))
        if host != "state" or path != "/commit":
            return
        value = json.loads(body)
        self.counts["state.operations"] += len(value.get(WRITES, ()))
        self.counts["state.conditions"] += len(value["when"])
        self.counts["state.changes" if value.get(WRITES) else "state.comparisons"] += 1

    async def deliver(
        self, source: str, label: str, method: str, path: str, body: bytes, timeout_s: float
    ) -> tuple[int, bytes]:
        """A worker's or a user's request, counted."""
        who = "reports" if path == "/v1/report" else "users"
        self._count(who, len(body))
        status, raw = await super().deliver(source, label, method, path, body, timeout_s)
        self._count(f"{who}.answers", len(raw))
        return status, raw
