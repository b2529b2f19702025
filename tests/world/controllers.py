"""The controllers of the simulated world: real ones without listeners."""

from __future__ import annotations

import json
from typing import Any

import curio

from clayport.controller import Controller
from clayport.machines.events import GONE
from clayport.settings import parse
from clayport.transport import frames, http, peers

from .settings import SETTINGS, ZONES


class Controllers:
    """Starts and crashes controllers. `World` is the rest of it."""

    async def start(self, label: str) -> None:
        settings = {
            "label": label,
            "location": ZONES[0],
            "bind": "127.0.0.1:1",
            "peer_bind": "127.0.0.1:2",
            "members": [
                {"label": other, "location": ZONES[0], "address": "127.0.0.1:3"}
                for other in self.labels
                if other != label
            ],
            "services": {"cloud": "cloud:1", "state": "state:1"},
            "cluster": {"size": len(self.labels), **SETTINGS},
        }
        # Given at the start: pauses before asking again are drawn from what it seeds. (They
        # were drawn from the process's own, and one run in forty had another verdict.)
        c = Controller(
            parse(json.dumps(settings).encode()),
            f"{label}-{self.rng.random()}",
            self.rebuild and label not in self.old,
            self.disks.get(label, ""),
            self.second_copy,
        )
        c.store.client = c.store.watcher = c.store.recorder = self.client(label, "state")
        c.cloud.client = self.client(label, "cloud")
        c.fleet.client = lambda address: self.client(label, address.split(":")[0])  # type: ignore
        for peer in c.peers.values():
            self._link(label, peer)
        emit = c.machines.emit

        def checked(job_id: str, event: Any) -> None:
            """Nothing is said to be gone that is on its machine."""
            worker, key = self.workers.get(event[0]), event[1:3]
            if (
                event[3] == GONE
                and worker is not None
                and key in worker.tasks
                and worker.tasks[key].state != "exited"
                and c.membership.epoch.number
                == max(x.membership.epoch.number for x in self.controllers.values())
            ):
                self.broken.append(f"gone_too_early {event}")
            emit(job_id, event)

        c.machines.emit = checked
        if label in self.old:
            c.versions.count_versions = lambda: None  # type: ignore[method-assign]
        self.controllers[label] = c
        self.routines[label] = await curio.spawn(self._run(c), daemon=True)

    def _link(self, label: str, peer: peers.Peer) -> None:
        async def call(kind: int, values: tuple[Any, ...], timeout_s: float | None = None) -> Any:
            frame = frames.encode(kind, 1, values)
            kind, _, _ = frames.decode_header(frame[: frames.HEADER.size])
            body = frames.decode_body(kind, frame[frames.HEADER.size :])

            async def serve() -> Any:
                other = self.controllers.get(peer.label)
                if other is None:
                    raise http.NotSentError("refused")
                reply, answer = await other.peer_requests.answer(kind, body)
                raw = frames.encode(reply, 1, answer)
                return frames.decode_body(reply, raw[frames.HEADER.size :])

            try:
                async with curio.timeout_after(timeout_s or 1.0):
                    answer = await self._exchange(label, peer.label, serve, timeout_s or 1.0, True)
                if frames.decode_header(frame[: frames.HEADER.size])[0] in self.doubled:
                    # Sent twice, since the first was long without an answer.
                    await curio.spawn(self._later(serve), daemon=True)
            except (http.NoAnswerError, curio.TaskTimeout) as exc:
                raise peers.PeerError(str(exc)) from None
            peer.heard = self.clock()
            return answer

        peer.call = call  # type: ignore[method-assign]

    async def _run(self, c: Controller) -> None:
        """The controller's duties without its listeners. Its crash cancels them all."""
        duties: list[Any] = [await curio.spawn(c.routines.duty, r, daemon=True) for r in c.duties()]
        duties += [
            await curio.spawn(c.routines.duty, c.heartbeats.exchange_heartbeats, peer, daemon=True)
            for peer in c.peers.values()
        ]
        duties += [
            await curio.spawn(c.routines.duty, c.fleet.tell, label, daemon=True)
            for label in self.labels
        ]
        try:
            while True:
                await curio.sleep(1000)
        finally:
            for duty in duties:
                await duty.cancel(blocking=False)

    async def crash(self, label: str) -> None:
        c = self.controllers.pop(label, None)
        if c is None:
            return
        await self.routines.pop(label).cancel()
        if (
            c.rebuild.recovery is not None
            and c.rebuild.recovery.recorder is not None
            and c.rebuild.recovery.recorder.log
        ):
            c.rebuild.recovery.recorder.log.close()

        # Routines of its own that are still under way must not act any more.
        async def dead(*_: Any, **__: Any) -> Any:
            await curio.sleep(10**6)

        for client in (c.store.client, c.cloud.client):
            client.request = dead  # type: ignore[method-assign]
        c.fleet.client = lambda _: None  # type: ignore[method-assign,assignment]
        for peer in c.peers.values():
            peer.call = dead  # type: ignore[method-assign]
