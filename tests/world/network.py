"""The network: it delays, loses, holds and repeats messages."""

from __future__ import annotations

import json
from collections.abc import Callable
from typing import Any

import curio

from clayport.transport import http

from .machine import Worker
from .settings import SETTINGS


def as_before(writes: list[dict[str, Any]]) -> list[dict[str, Any]]:
    """What the version before writes: no version, no times, no sizes in keys."""
    kept = []
    for write in writes:
        key = write.get("write", write.get("remove"))
        if key.startswith("c/version/"):
            continue
        assert not (key.startswith("run/") and "." in key)
        if isinstance(write.get("data"), dict) and key.startswith(("c/live/", "end/")):
            write["data"] = {k: v for k, v in write["data"].items() if k != "t"}
        kept.append(write)
    return kept


class Network:
    """Requests between all parties. `World` is the rest of it."""

    def inside(self, name: str) -> bool:
        """Whether it is in the zone that is cut off."""
        worker = self.workers.get(name)
        return name in self.enclosed or (worker is not None and worker.zone == self.enclosed_zone)

    def reaches(self, source: str, target: str) -> bool:
        return (
            source not in self.cut
            and target not in self.cut
            and f"{source}>{target}" not in self.cut
            and (not self.enclosed_zone or self.inside(source) == self.inside(target))
            and (source not in self.mute or target not in self.labels)
        )

    def hit(self, trouble: str) -> bool:
        """Whether a trouble with that share strikes now."""
        share: float = getattr(self, trouble)
        return bool(share) and self.rng.random() < share

    async def _exchange(
        self, source: str, target: str, serve: Callable[[], Any], timeout_s: float, hold: bool
    ) -> Any:
        """One request: it may be lost, executed without an answer, or held and executed
        long after the sender has given up."""
        delay = self.rng.uniform(0.001, 0.01)
        if target == "state" and self.slow_s:
            await curio.sleep(self.rng.uniform(0.0, self.slow_s))
        if target == "state" and hold and self.late_writes and self.rng.random() < self.late_writes:
            await curio.spawn(self._later(serve, (2.0, 12.0)), daemon=True)
            await curio.sleep(timeout_s)
            raise http.NoAnswerError("carried out late")
        if target == "state" and hold and self.reaches(source, target) and self.hit("lost_answers"):
            await curio.sleep(delay)
            serve()
            await curio.sleep(timeout_s)
            raise http.NoAnswerError("only the answer is lost")
        if target in self.workers and hold and self.hit("late_commands"):
            await curio.spawn(self._later(serve, (2.0, 16.0)), daemon=True)
            await curio.sleep(timeout_s)
            raise http.NoAnswerError("held up")
        if self.link_s:
            await curio.sleep(self.rng.uniform(0.0, self.link_s))
        if source in self.mute and target in self.labels:
            await curio.sleep(timeout_s)  # no connection, so nothing is held either
            raise http.NoAnswerError("mute")
        if not self.reaches(source, target):
            if hold and self.rng.random() < 0.3:
                await curio.spawn(self._later(serve), daemon=True)
            await curio.sleep(timeout_s)
            raise http.NoAnswerError("cut")
        if source in self.held and hold and target in self.workers:
            await curio.spawn(self._later(serve), daemon=True)
            await curio.sleep(timeout_s)
            raise http.NoAnswerError("held")
        await curio.sleep(delay)
        lost = self.rng.random() < self.loss
        if lost and self.rng.random() < 0.5:
            if hold:
                await curio.spawn(self._later(serve), daemon=True)
            await curio.sleep(timeout_s)
            raise http.NoAnswerError("lost")
        answer = serve()
        if hasattr(answer, "__await__"):
            answer = await answer
        if lost or not self.reaches(source, target) or source in self.deaf:
            await curio.sleep(timeout_s)
            raise http.NoAnswerError("answer lost")
        await curio.sleep(delay)
        return answer

    async def _later(
        self, serve: Callable[[], Any], within_s: tuple[float, float] | None = None
    ) -> None:
        await curio.sleep(self.rng.uniform(*(within_s or self.hold_s)))
        try:
            answer = serve()
            if hasattr(answer, "__await__"):
                await answer
        except http.NoAnswerError:
            pass

    async def deliver(
        self, source: str, label: str, method: str, path: str, body: bytes, timeout_s: float
    ) -> tuple[int, bytes]:
        """A worker's or user's request to a controller."""

        async def serve() -> tuple[int, bytes]:
            controller = self.controllers.get(label)
            if controller is None:
                raise http.NotSentError("refused")
            status, raw, _ = await controller.user_api.handle(method, path, body)
            return status, raw

        try:
            async with curio.timeout_after(timeout_s):
                answer: tuple[int, bytes] = await self._exchange(
                    source, label, serve, timeout_s, path == "/v1/report"
                )
                return answer
        except curio.TaskTimeout:
            raise http.NoAnswerError("slow") from None

    async def again(self, source: str, body: bytes) -> None:
        """A copy of a report arrives late, at any controller; nobody hears the answer."""
        await curio.sleep(self.rng.uniform(2.0, 2 * SETTINGS["workers"]["lease_s"]))
        try:
            await self.deliver(
                source, self.rng.choice(self.labels), "POST", "/v1/report", body, 4.0
            )
        except http.NoAnswerError:
            pass

    async def hand_over_copies(self, late_s: tuple[float, float]) -> None:
        """With each new epoch, the reports that were kept reach every controller."""
        known = self.state.keys.get("c/generation")
        while True:
            await curio.sleep(0.05)
            found = self.state.keys.get("c/generation")
            if found == known:
                continue
            known, kept = found, self.copies[-60:]
            self.copies.clear()
            await curio.sleep(self.rng.uniform(*late_s))
            for name, body in kept:
                for label in self.labels:
                    await curio.spawn(self._copy, name, label, body, daemon=True)

    async def _copy(self, source: str, label: str, body: bytes) -> None:
        try:
            await self.deliver(source, label, "POST", "/v1/report", body, 4.0)
        except http.NoAnswerError:
            pass

    def client(self, source: str, host: str) -> Any:
        world = self

        class Client:
            def __init__(self, *_: Any, **__: Any) -> None:
                pass

            async def request(
                self, method: str, path: str, body: bytes | None, timeout_s: float
            ) -> tuple[int, bytes]:
                value = json.loads(body) if body else None
                if host == "state" and path.startswith("/changes"):
                    return await world.watch(source, path)
                if host in world.workers and value is not None:
                    world.issued(value["orders"])

                def serve() -> Any:
                    if host == "state" and path == "/commit" and source in world.old:
                        value["writes"] = as_before(value.get("writes", []))
                    if host == "state":
                        if source in world.state.refused:
                            return 503, {"error": "trouble"}
                        return world.state.handle(method, path, value, world.clock())
                    if host == "cloud":
                        return world.cloud(method, path, value)
                    worker = world.workers.get(host)
                    if worker is None or not worker.alive():
                        raise http.NoAnswerError("dead")
                    return world.later_if_hung(worker, method, path, value)

                try:
                    status, answer = await world._exchange(
                        source, host, serve, timeout_s, method == "POST" and path != "/leases"
                    )
                except http.NoAnswerError:
                    raise
                return status, json.dumps(answer).encode()

            async def close(self) -> None:
                pass

        return Client()

    def later_if_hung(self, worker: Worker, method: str, path: str, value: Any) -> Any:
        if self.clock() < worker.hung_until or worker.name in self.deaf:
            raise http.NoAnswerError("hung")
        return worker.handle(method, path, value)

    async def watch(self, source: str, path: str) -> tuple[int, bytes]:
        args = dict(p.split("=", 1) for p in path.partition("?")[2].split("&"))
        end = self.clock() + int(args["block_ms"]) / 1000
        while True:
            await curio.sleep(0.01)
            if not self.reaches(source, "state"):
                await curio.sleep(2.0)
                raise http.NoAnswerError("cut")
            self.state.expire(self.clock())
            if self.clock() >= self.state.down_until and source not in self.state.refused:
                found = self.state.changes(args["prefix"], int(args["since"]))
                if found or self.clock() >= end:
                    answer = json.dumps({"store_rev": self.state.rev, "log": found}).encode()
                    if self.news_late_s:
                        await curio.sleep(self.rng.uniform(0.0, self.news_late_s))
                    return 200, answer
            elif self.clock() >= end:
                raise http.NoAnswerError("outage")
