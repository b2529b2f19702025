"""A real process that is ended and started again on the same ports, as fast as the machine
allows, with connections to it still open. The state service and the cloud are stand-ins on
loopback; everything waits for what it needs, nothing for a time.

`python -m tests.test_real_restarts` prints how long starts took, and what of it is imports.
"""

from __future__ import annotations

import http.client
import json
import os
import socket
import statistics
import subprocess
import sys
import tempfile
import threading
import time
from pathlib import Path
from typing import Any

import curio
import pytest

from clayport.transport import http as ours
from tests.test_program import GOOD
from tests.world import State, World

# Ports that were free a moment ago are used: by one process of the run at a time.
LOOPBACK = pytest.mark.xdist_group("loopback")
ROOT = Path(__file__).parent.parent
STARTS = 10
PATIENCE_S = 60.0  # until something that doesn't happen is an error


class StandIns:
    """State service and cloud as servers in a thread of their own."""

    def __init__(self) -> None:
        self.world = World(time.monotonic, 1)  # type: ignore[arg-type]
        self.state = State(self.world)
        self.ports = {name: free_port() for name in ("state", "cloud")}
        self.stopped = threading.Event()
        self.thread = threading.Thread(target=curio.run, args=(self._serve,), daemon=True)

    async def _serve(self) -> None:
        for name, handler in (("state", self._state), ("cloud", self._cloud)):
            server = ours.Server(handler, 100, 60.0, 60.0, "")
            await curio.spawn(server.serve, "127.0.0.1", self.ports[name], daemon=True)
        while not self.stopped.is_set():
            await curio.sleep(0.05)

    async def _state(
        self, method: str, path: str, body: bytes
    ) -> tuple[int, bytes, list[tuple[str, str]]]:
        now = time.monotonic()
        if path.startswith("/changes"):
            args = dict(p.split("=", 1) for p in path.partition("?")[2].split("&"))
            end = now + int(args["block_ms"]) / 1000
            while True:
                self.state.expire(time.monotonic())
                found = self.state.changes(args["prefix"], int(args["since"]))
                if found or time.monotonic() >= end:
                    answer: Any = {"store_rev": self.state.rev, "log": found}
                    return 200, json.dumps(answer).encode(), []
                await curio.sleep(0.01)
        status, answer = self.state.handle(method, path, json.loads(body) if body else None, now)
        return status, json.dumps(answer).encode(), []

    async def _cloud(
        self, method: str, path: str, body: bytes
    ) -> tuple[int, bytes, list[tuple[str, str]]]:
        status, answer = self.world.cloud(
            method, path.partition("?")[0], json.loads(body) if body else None
        )
        return status, json.dumps(answer).encode(), []


def free_port() -> int:
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return int(sock.getsockname()[1])


def until_up(port: int, process: subprocess.Popen[bytes]) -> float:
    """When `/up` first answered 200 (steady clock)."""
    end = time.monotonic() + PATIENCE_S
    while time.monotonic() < end:
        assert process.poll() is None, "it has ended by itself"
        try:
            connection = http.client.HTTPConnection("127.0.0.1", port, timeout=PATIENCE_S)
            connection.request("GET", "/up")
            status = connection.getresponse().status
            connection.close()
            if status == 200:
                return time.monotonic()
        except OSError:
            pass
    raise AssertionError("never up")


def restarts(folder: Path, starts: int = STARTS) -> list[float]:
    """Seconds from each start to the first answer 200; each but the first follows the end
    of the one before at once, with connections to both its ports open."""
    ports = {"bind": free_port(), "peer_bind": free_port()}
    there = StandIns()
    there.thread.start()
    cluster = {**GOOD["cluster"], "size": 1}
    settings = {
        **GOOD,
        "members": [],
        "cluster": cluster,
        **{name: f"127.0.0.1:{port}" for name, port in ports.items()},
        "services": {n: f"127.0.0.1:{p}" for n, p in there.ports.items()},
    }
    path = folder / "settings.json"
    path.write_text(json.dumps(settings), encoding="utf-8")
    took, opened = [], []
    process = None
    try:
        for _ in range(starts):
            begun = time.monotonic()
            process = subprocess.Popen(
                [sys.executable, "-m", "clayport", "--config", str(path)],
                cwd=ROOT,
                stderr=subprocess.DEVNULL,
                env={**os.environ, "LOG_LEVEL": "error"},
            )
            took.append(until_up(ports["bind"], process) - begun)
            for port in ports.values():
                sock = socket.create_connection(("127.0.0.1", port), timeout=PATIENCE_S)
                sock.sendall(b"GET /up HTTP/1.1\r\nHost: x\r\n")  # an answer is being waited for
                opened.append(sock)
            process.kill()
            process.wait()
        nodes = [k for k in there.state.keys if k.startswith("c/")]
        assert len(nodes) <= 3, nodes  # its key, its version, the epoch
        assert there.state.keys["c/generation"][0]["number"] >= starts
    finally:
        if process is not None and process.poll() is None:
            process.kill()
            process.wait()
        for sock in opened:
            sock.close()
        there.stopped.set()
        there.thread.join()
    return took


@LOOPBACK
def test_it_listens_again_each_time(tmp_path: Path) -> None:
    assert len(restarts(tmp_path)) == STARTS


@LOOPBACK
def test_an_address_that_is_still_held_is_waited_for() -> None:
    """It ended at once, and its users saw one end more."""
    from clayport.transport.listen import open_listener

    async def main() -> tuple[bool, bool]:
        held = socket.socket()
        held.bind(("127.0.0.1", 0))
        held.listen()
        task = await curio.spawn(open_listener, "127.0.0.1", held.getsockname()[1], 8)
        for _ in range(3):
            await curio.sleep(0)
        waited = not task.terminated
        held.close()
        sock = await task.join()
        await sock.close()
        return waited, True

    assert curio.run(main) == (True, True)


def imports() -> float:
    """Seconds of a start that go into imports alone."""
    begun = time.monotonic()
    subprocess.run(
        [sys.executable, "-c", "import clayport.cli, clayport.controller"], cwd=ROOT, check=True
    )
    return time.monotonic() - begun


def main() -> int:
    with tempfile.TemporaryDirectory() as folder:
        took = restarts(Path(folder))
    bare = [imports() for _ in range(5)]
    print(
        f"{len(took)} starts on the same ports: first 200 after {min(took):.2f} to "
        f"{max(took):.2f} s, median {statistics.median(took):.2f} s; imports "
        f"{statistics.median(bare):.2f} s of it"
    )
    return 0


if __name__ == "__main__":
    sys.exit(main())
