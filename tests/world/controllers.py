"""The controllers of the simulated deployment: real controllers without listeners."""

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
    """Mixin of `World` that starts and crashes controllers."""

    async def start(self, label: str) -> None:
        """Start a controller whose clients and peers use the simulated network."""
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
        # The incarnation is set here because it seeds the generator of retry pauses. If the pauses
        # came from the generator of the process, one run in forty would have a different verdict.
        controller = Controller(
            parse(json.dumps(settings).encode()),
            f"{label}-{self.rng.random()}",
            self.rebuild and label not in self.old_version_controllers,
            self.disks.get(label, ""),
            self.second_copy,
        )
        controller.store.client = controller.store.watch_client = (
            controller.store.snapshot_watch_client
        ) = self.client(label, "state")
        controller.cloud.client = self.client(label, "cloud")
        controller.fleet.client = lambda address: self.client(label, address.split(":")[0])  # type: ignore
        for peer in controller.peers.values():
            self._connect_peer(label, peer)
        emit = controller.machines.emit

        def check_and_emit(job_id: str, event: Any) -> None:
            """Note a violation if a task is reported gone while it is on its machine."""
            worker, key = self.workers.get(event[0]), event[1:3]
            if (
                event[3] == GONE
                and worker is not None
                and key in worker.tasks
                and worker.tasks[key].state != "exited"
                and controller.membership.epoch.number
                == max(x.membership.epoch.number for x in self.controllers.values())
            ):
                self.violations.append(f"gone_too_early {event}")
            emit(job_id, event)

        controller.machines.emit = check_and_emit
        if label in self.old_version_controllers:
            controller.versions.count_versions = lambda: None  # type: ignore[method-assign]
        self.controllers[label] = controller
        self.routines[label] = await curio.spawn(self._run_duties(controller), daemon=True)

    def _connect_peer(self, label: str, peer: peers.Peer) -> None:
        """Replace the peer's connection with calls through the simulated network."""

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
                if (
                    frames.decode_header(frame[: frames.HEADER.size])[0]
                    in self.duplicated_frame_kinds
                ):
                    # A copy of the frame arrives late, as if a sender that waited long for an
                    # answer had sent the frame again.
                    await curio.spawn(self._deliver_late(serve), daemon=True)
            except (http.NoAnswerError, curio.TaskTimeout) as exc:
                raise peers.PeerError(str(exc)) from None
            peer.last_heard_at = self.clock()
            return answer

        peer.call = call  # type: ignore[method-assign]

    async def _run_duties(self, controller: Controller) -> None:
        """Run the controller's long-lived routines, but no listeners, until it crashes."""
        duties: list[Any] = [
            await curio.spawn(controller.routines.run_forever, r, daemon=True)
            for r in controller.long_lived_routines()
        ]
        duties += [
            await curio.spawn(
                controller.routines.run_forever,
                controller.heartbeats.exchange_heartbeats,
                peer,
                daemon=True,
            )
            for peer in controller.peers.values()
        ]
        duties += [
            await curio.spawn(
                controller.routines.run_forever, controller.fleet.deliver_events, label, daemon=True
            )
            for label in self.labels
        ]
        try:
            while True:
                await curio.sleep(1000)
        finally:
            for duty in duties:
                await duty.cancel(blocking=False)

    async def crash(self, label: str) -> None:
        """End a controller without a shutdown; do nothing if it is not running."""
        controller = self.controllers.pop(label, None)
        if controller is None:
            return
        await self.routines.pop(label).cancel()
        if (
            controller.rebuild.recovery is not None
            and controller.rebuild.recovery.recorder is not None
            and controller.rebuild.recovery.recorder.change_log
        ):
            controller.rebuild.recovery.recorder.change_log.close()

        # Routines of the crashed controller that still run must have no further effect.
        async def never_answer(*_: Any, **__: Any) -> Any:
            await curio.sleep(10**6)

        for client in (controller.store.client, controller.cloud.client):
            client.request = never_answer  # type: ignore[method-assign]
        controller.fleet.client = lambda _: None  # type: ignore[method-assign,assignment]
        for peer in controller.peers.values():
            peer.call = never_answer  # type: ignore[method-assign]
