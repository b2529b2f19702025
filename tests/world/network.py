"""The simulated network, which delays, loses, holds and repeats messages."""

from __future__ import annotations

import json
from collections.abc import Callable
from typing import Any

import curio

from clayport.transport import http

from .machine import Worker
from .settings import SETTINGS


def to_previous_version(writes: list[dict[str, Any]]) -> list[dict[str, Any]]:
    """Return what the previous version writes: no version record, no times, no sizes in keys."""
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
    """Mixin of `World` that carries the requests between all parties."""

    def in_isolated_zone(self, name: str) -> bool:
        """Return whether a controller or machine is in the isolated zone."""
        worker = self.workers.get(name)
        return name in self.isolated_controllers or (
            worker is not None and worker.zone == self.isolated_zone
        )

    def reaches(self, source: str, target: str) -> bool:
        """Return whether messages from the source arrive at the target."""
        return (
            source not in self.partitioned
            and target not in self.partitioned
            and f"{source}>{target}" not in self.partitioned
            and (
                not self.isolated_zone
                or self.in_isolated_zone(source) == self.in_isolated_zone(target)
            )
            and (source not in self.reports_blocked or target not in self.labels)
        )

    def draw_fault(self, fault: str) -> bool:
        """Return whether a fault occurs now; the attribute `fault` names holds its probability."""
        share: float = getattr(self, fault)
        return bool(share) and self.rng.random() < share

    async def _exchange(
        self, source: str, target: str, serve: Callable[[], Any], timeout_s: float, hold: bool
    ) -> Any:
        """Carry one request.

        The request may be lost, executed without an answer, or held and executed long after the
        sender has given up.

        Args:
            hold: Whether the network may hold the request.

        Raises:
            http.NoAnswerError: No answer arrives.
        """
        delay = self.rng.uniform(0.001, 0.01)
        if target in self.workers and hold and source in self.interrupted_senders:
            self.interrupted_senders[source].append(serve)
            await curio.sleep(timeout_s)
            raise http.NoAnswerError("held until the network is back")
        if target == "state" and self.slow_s:
            await curio.sleep(self.rng.uniform(0.0, self.slow_s))
        if target == "state" and hold and self.late_writes and self.rng.random() < self.late_writes:
            await curio.spawn(self._deliver_late(serve, (2.0, 12.0)), daemon=True)
            await curio.sleep(timeout_s)
            raise http.NoAnswerError("carried out late")
        if (
            target == "state"
            and hold
            and self.reaches(source, target)
            and self.draw_fault("lost_answers")
        ):
            await curio.sleep(delay)
            serve()
            await curio.sleep(timeout_s)
            raise http.NoAnswerError("only the answer is lost")
        if target in self.workers and hold and self.draw_fault("late_commands"):
            await curio.spawn(self._deliver_late(serve, (2.0, 16.0)), daemon=True)
            await curio.sleep(timeout_s)
            raise http.NoAnswerError("held up")
        if self.link_s:
            await curio.sleep(self.rng.uniform(0.0, self.link_s))
        if source in self.reports_blocked and target in self.labels:
            await curio.sleep(timeout_s)  # a request without a connection can't be held
            raise http.NoAnswerError("mute")
        if not self.reaches(source, target):
            if hold and self.rng.random() < 0.3:
                await curio.spawn(self._deliver_late(serve), daemon=True)
            await curio.sleep(timeout_s)
            raise http.NoAnswerError("cut")
        if source in self.held_senders and hold and target in self.workers:
            await curio.spawn(self._deliver_late(serve), daemon=True)
            await curio.sleep(timeout_s)
            raise http.NoAnswerError("held")
        await curio.sleep(delay)
        lost = self.rng.random() < self.loss
        if lost and self.rng.random() < 0.5:
            if hold:
                await curio.spawn(self._deliver_late(serve), daemon=True)
            await curio.sleep(timeout_s)
            raise http.NoAnswerError("lost")
        answer = serve()
        if hasattr(answer, "__await__"):
            answer = await answer
        if lost or not self.reaches(source, target) or source in self.replies_blocked:
            await curio.sleep(timeout_s)
            raise http.NoAnswerError("answer lost")
        await curio.sleep(delay)
        if hold and target in self.workers:
            self.answered_commands.append(serve)
        repeated = "repeated_commands" if target in self.workers else "repeated_requests"
        if hold and self.draw_fault(repeated):
            await curio.spawn(self._deliver_late(serve, (1.0, 9.0)), daemon=True)
        return answer

    def interrupt_commands(self, sender: str) -> None:
        """Hold all commands of a controller from now on, until `restore_commands` is called."""
        self.interrupted_senders.setdefault(sender, [])

    async def restore_commands(self, sender: str) -> None:
        """Deliver the held commands of a controller in order, although it has given them up."""
        for serve in self.interrupted_senders.pop(sender, []):
            await self._execute_unanswered(serve)

    async def repeat_answered_commands(self) -> None:
        """Deliver every direct command that has been answered once more, the oldest first."""
        for serve in self.answered_commands.copy():
            await self._execute_unanswered(serve)

    async def _deliver_late(
        self, serve: Callable[[], Any], within_s: tuple[float, float] | None = None
    ) -> None:
        """Execute a held request after a random time, and drop the answer."""
        await curio.sleep(self.rng.uniform(*(within_s or self.hold_s)))
        await self._execute_unanswered(serve)

    @staticmethod
    async def _execute_unanswered(serve: Callable[[], Any]) -> None:
        """Execute a held request, and drop the answer."""
        try:
            answer = serve()
            if hasattr(answer, "__await__"):
                await answer
        except http.NoAnswerError:
            pass

    async def deliver(
        self, source: str, label: str, method: str, path: str, body: bytes, timeout_s: float
    ) -> tuple[int, bytes]:
        """Send a worker's or user's request to a controller; return status and body."""

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

    async def deliver_copy_late(self, source: str, body: bytes) -> None:
        """Deliver a copy of a report late, at any controller, and drop the answer."""
        await curio.sleep(self.rng.uniform(2.0, 2 * SETTINGS["workers"]["lease_s"]))
        try:
            await self.deliver(
                source, self.rng.choice(self.labels), "POST", "/v1/report", body, 4.0
            )
        except http.NoAnswerError:
            pass

    async def hand_over_copies(self, late_s: tuple[float, float]) -> None:
        """With each new epoch, deliver the kept reports to every controller after `late_s`."""
        known = self.state.keys.get("c/generation")
        while True:
            await curio.sleep(0.05)
            found = self.state.keys.get("c/generation")
            if found == known:
                continue
            known, kept = found, self.report_copies[-60:]
            self.report_copies.clear()
            await curio.sleep(self.rng.uniform(*late_s))
            for name, body in kept:
                for label in self.labels:
                    await curio.spawn(self._deliver_copy, name, label, body, daemon=True)

    async def _deliver_copy(self, source: str, label: str, body: bytes) -> None:
        """Deliver a copy of a report, and drop the answer."""
        try:
            await self.deliver(source, label, "POST", "/v1/report", body, 4.0)
        except http.NoAnswerError:
            pass

    def client(self, source: str, host: str) -> Any:
        """Return an HTTP client of the source whose requests go through the simulated network."""
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
                    world.record_commands(value["orders"])

                def serve() -> Any:
                    if (
                        host == "state"
                        and path == "/commit"
                        and source in world.old_version_controllers
                    ):
                        value["writes"] = to_previous_version(value.get("writes", []))
                    if host == "state":
                        if source in world.state.refused:
                            return 503, {"error": "trouble"}
                        return world.state.handle(method, path, value, world.clock())
                    if host == "cloud":
                        return world.cloud(method, path, value)
                    worker = world.workers.get(host)
                    if worker is None or not worker.alive():
                        raise http.NoAnswerError("dead")
                    return world.handle_unless_hung(worker, method, path, value)

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

    def handle_unless_hung(self, worker: Worker, method: str, path: str, value: Any) -> Any:
        """Let a worker answer a request, unless the worker hangs or receives nothing."""
        if self.clock() < worker.hung_until or worker.name in self.replies_blocked:
            raise http.NoAnswerError("hung")
        return worker.handle(method, path, value)

    async def watch(self, source: str, path: str) -> tuple[int, bytes]:
        """Answer a watch request once there are changes, or at the end of its blocking time."""
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
                    if self.watch_delay_s:
                        await curio.sleep(self.rng.uniform(0.0, self.watch_delay_s))
                    return 200, answer
            elif self.clock() >= end:
                raise http.NoAnswerError("outage")
