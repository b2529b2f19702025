"""A real controller process is killed and restarted on the same ports, as fast as the machine
allows, while connections to it are open. The state service and the cloud are fakes on loopback.
The test waits for conditions, not for fixed times.

`python -m tests.test_real_restarts` prints how long starts take, and the share of imports.
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

from clayport.transport import http as clayport_http
from tests.test_program import VALID_SETTINGS
from tests.world import State, World

# Only one pytest process at a time may pick free ports, because another could take them.
LOOPBACK = pytest.mark.xdist_group("loopback")
ROOT = Path(__file__).parent.parent
STARTS = 10
TIMEOUT_S = 60.0  # for each condition that the test waits for


class FakeServices:
    """Fake state service and cloud that listen on loopback in a separate thread."""

    def __init__(self) -> None:
        self.world = World(time.monotonic, 1)  # type: ignore[arg-type]
        self.state = State(self.world)
        self.ports = {name: free_port() for name in ("state", "cloud")}
        self.stopped = threading.Event()
        self.thread = threading.Thread(target=curio.run, args=(self._serve,), daemon=True)

    async def _serve(self) -> None:
        for name, handler in (("state", self._state), ("cloud", self._cloud)):
            server = clayport_http.Server(handler, 100, 60.0, 60.0, "")
            await curio.spawn(server.serve, "127.0.0.1", self.ports[name], daemon=True)
        while not self.stopped.is_set():
            await curio.sleep(0.05)

    async def _state(
        self, method: str, path: str, body: bytes
    ) -> tuple[int, bytes, list[tuple[str, str]]]:
        now = time.monotonic()
        if path.startswith("/changes"):
            args = dict(p.split("=", 1) for p in path.partition("?")[2].split("&"))
            deadline = now + int(args["block_ms"]) / 1000
            while True:
                self.state.expire(time.monotonic())
                changes = self.state.changes(args["prefix"], int(args["since"]))
                if changes or time.monotonic() >= deadline:
                    answer: Any = {"store_rev": self.state.rev, "log": changes}
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


def wait_until_up(port: int, process: subprocess.Popen[bytes]) -> float:
    """Return when `/up` first answered 200, on the monotonic clock."""
    deadline = time.monotonic() + TIMEOUT_S
    while time.monotonic() < deadline:
        assert process.poll() is None, "the controller exited by itself"
        try:
            connection = http.client.HTTPConnection("127.0.0.1", port, timeout=TIMEOUT_S)
            connection.request("GET", "/up")
            status = connection.getresponse().status
            connection.close()
            if status == 200:
                return time.monotonic()
        except OSError:
            pass
    raise AssertionError("the controller did not answer 200 in time")


def measure_restarts(directory: Path, starts: int = STARTS) -> list[float]:
    """Return the seconds from each start to the first answer 200.

    Each start but the first directly follows the kill of the previous process, while
    connections to both of its ports are open.
    """
    ports = {"bind": free_port(), "peer_bind": free_port()}
    services = FakeServices()
    services.thread.start()
    cluster = {**VALID_SETTINGS["cluster"], "size": 1}
    settings = {
        **VALID_SETTINGS,
        "members": [],
        "cluster": cluster,
        **{name: f"127.0.0.1:{port}" for name, port in ports.items()},
        "services": {n: f"127.0.0.1:{p}" for n, p in services.ports.items()},
    }
    path = directory / "settings.json"
    path.write_text(json.dumps(settings), encoding="utf-8")
    durations, client_socks = [], []
    process = None
    try:
        for _ in range(starts):
            started = time.monotonic()
            process = subprocess.Popen(
                [sys.executable, "-m", "clayport", "--config", str(path)],
                cwd=ROOT,
                stderr=subprocess.DEVNULL,
                env={**os.environ, "LOG_LEVEL": "error"},
            )
            durations.append(wait_until_up(ports["bind"], process) - started)
            for port in ports.values():
                sock = socket.create_connection(("127.0.0.1", port), timeout=TIMEOUT_S)
                sock.sendall(b"GET /up HTTP/1.1\r\nHost: x\r\n")  # an incomplete request
                client_socks.append(sock)
            process.kill()
            process.wait()
        keys = [k for k in services.state.keys if k.startswith("c/")]
        assert len(keys) <= 3, keys  # member, version, epoch
        assert services.state.keys["c/generation"][0]["number"] >= starts
    finally:
        if process is not None and process.poll() is None:
            process.kill()
            process.wait()
        for sock in client_socks:
            sock.close()
        services.stopped.set()
        services.thread.join()
    return durations


@LOOPBACK
def test_a_restarted_controller_listens_on_the_same_ports(tmp_path: Path) -> None:
    assert len(measure_restarts(tmp_path)) == STARTS


@LOOPBACK
def test_the_listener_waits_for_an_address_in_use() -> None:
    """Otherwise the restarted process would exit at once, and users would see a longer outage."""
    from clayport.transport.listen import open_listener

    async def main() -> tuple[bool, bool]:
        held_sock = socket.socket()
        held_sock.bind(("127.0.0.1", 0))
        held_sock.listen()
        task = await curio.spawn(open_listener, "127.0.0.1", held_sock.getsockname()[1], 8)
        for _ in range(3):
            await curio.sleep(0)
        waited = not task.terminated
        held_sock.close()
        sock = await task.join()
        await sock.close()
        return waited, True

    assert curio.run(main) == (True, True)


def measure_imports() -> float:
    """Return the seconds that the imports of a start take."""
    started = time.monotonic()
    subprocess.run(
        [sys.executable, "-c", "import clayport.cli, clayport.controller"], cwd=ROOT, check=True
    )
    return time.monotonic() - started


def main() -> int:
    with tempfile.TemporaryDirectory() as directory:
        durations = measure_restarts(Path(directory))
    import_times = [measure_imports() for _ in range(5)]
    print(
        f"{len(durations)} starts on the same ports: first 200 after {min(durations):.2f} to "
        f"{max(durations):.2f} s, median {statistics.median(durations):.2f} s; imports "
        f"{statistics.median(import_times):.2f} s of it"
    )
    return 0


if __name__ == "__main__":
    sys.exit(main())
