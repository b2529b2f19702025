"""A small deployment: real controllers on loopback, and stand-ins for all others."""

from __future__ import annotations

import asyncio
import json
import os
import random
import re
import shlex
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from pathlib import Path
from typing import Any, TextIO

from review.lib2.fleet import Cloud
from review.lib2.state import StateService
from review.lib2.web import Proxy, call

ROOT = Path(__file__).resolve().parent.parent.parent
HELD, BROKEN, UNABLE = 0, 1, 2
LABELS = ("host-0", "host-1", "host-2")
ZONES = ["mamaia", "tomis", "agigea", "eforie"]


def machine_type(label: str, vcpus: float, cards: float, ram_gb: float, **more: Any) -> Any:
    """Return an entry of the catalogue."""
    return {
        "label": label,
        "vcpus": vcpus,
        "cards": cards,
        "ram_gb": ram_gb,
        "local_gb": 80.0,
        "pull_gb_per_s": 1.0,
        "rate": 0.37,
        "spot_price": 0.15,
        "boot_s": 35.0,
        "sites": ZONES,
        **more,
    }


DELTA_S = machine_type("delta-s", 8.0, 0.0, 64.0, local_gb=70.0)
DELTA_G = machine_type("delta-g", 16.0, 2.0, 64.0, rate=6.9, spot_price=2.76, boot_s=45.0)


def cluster(**changes: Any) -> dict[str, Any]:
    """Return the settings that the controllers share: those of a small deployment."""
    return {
        "size": len(LABELS),
        "zones": ZONES,
        "teams": [
            {"name": "marine-ops-00", "cpus": 0.0, "cpus_max": 0.0, "gpus": 4.0, "gpus_max": 12.0},
            {"name": "marine-ops-01", "cpus": 0.0, "cpus_max": 0.0, "gpus": 4.0, "gpus_max": 12.0},
            {"name": "ovidius-lab", "cpus": 0.0, "cpus_max": 0.0, "gpus": 0.0, "gpus_max": 0.0},
        ],
        "objectives": [
            {"kind": "wait", "class": "buoy-ingest", "within_s": 1.0, "share": 0.88},
            {"kind": "deadline", "class": "qc-clean", "share": 0.88, "times": 1.0},
            {"kind": "wait", "class": "wave-model", "within_s": 35.0, "share": 0.8},
            {"kind": "finished", "class": "wave-model", "within_s": 100.0, "share": 0.8},
            {"kind": "finished", "class": "archive-pack", "within_s": 250.0, "share": 0.9},
            {"kind": "finished", "class": "archive-pack", "within_s": 400.0, "share": 0.92},
        ],
        "workers": {
            "report_s": 1.0,
            "lease_s": 10.0,
            "gang_wait_s": 45.0,
            "gang_peer_s": 4.0,
            "cancel_s": 35.0,
        },
        "state": {"rps": 250.0, "write_rps": 100.0, "value_kb": 8.0, "txn_ops": 16},
        "cloud": {"rps": 4.0, "list_lag_s": 5.0},
        "machine_limits": {"core_share": 0.75, "mem_mb": 146.0, "max_sockets": 500},
        "clock_error_ms": 1000.0,
        **changes,
    }


def job(number: int, **fields: Any) -> dict[str, Any]:
    """Return a submission; `fields` replace the defaults."""
    return {
        "id": f"j-{number:06d}",
        "jobclass": "qc-clean",
        "owner": "marine-ops-00",
        "shape": "sweep",
        "rank": "normal",
        "pieces": 1,
        "vcpus": 4.0,
        "cards": 0.0,
        "ram_gb": 8.0,
        "bundle": "img-01",
        "image_gb": 0.1,
        "flavors": None,
        "site": None,
        "together": False,
        "scatter": False,
        "loaners": False,
        "guess_s": 30.0,
        "snapshot_every_s": 0.0,
        "snapshot_s": 0.0,
        "due_s": None,
        **fields,
    }


def _free_port() -> int:
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return int(sock.getsockname()[1])


class UnableError(Exception):
    """The case couldn't run."""


class Deployment:
    """Starts and ends everything, and writes the record.

    Args:
        folder: The folder of the case, in which `record.txt` is written.
        types: The catalogue.
        capacity: How many machines there are, by type, zone and whether they are spot machines.
        settings: The settings that the controllers share.
        proxied: Whether controllers reach each other through proxies.
    """

    def __init__(
        self,
        folder: Path,
        types: list[dict[str, Any]],
        capacity: dict[tuple[str, str, bool], int],
        settings: dict[str, Any],
        proxied: bool = False,
    ) -> None:
        self.started_at = time.monotonic()
        self.file: TextIO = (folder / "record.txt").open("w", encoding="utf-8")
        self.settings = settings
        self.state = StateService(settings["state"])
        self.cloud = Cloud(
            types,
            capacity,
            settings["workers"],
            settings["cloud"]["rps"],
            settings["cloud"]["list_lag_s"],
            self.note,
        )
        self.directory = tempfile.TemporaryDirectory()
        self.processes: dict[str, subprocess.Popen[bytes]] = {}
        self.proxied = proxied
        self.proxies: dict[tuple[str, str], Proxy] = {}
        self.ports: dict[str, int] = {}
        self.rng = random.Random(1)
        self.told: dict[str, float] = {}
        self.tasks: list[asyncio.Task[None]] = []

    def now(self) -> float:
        """Return the seconds since the begin."""
        return time.monotonic() - self.started_at

    def note(self, event: str, **fields: Any) -> None:
        """Write a line into the record."""
        text = " ".join(f"{k}={v}" for k, v in fields.items())
        self.file.write(f"{self.now():8.3f} {event} {text}\n")
        self.file.flush()

    # -- controllers -----------------------------------------------------------

    async def open(self) -> None:
        """Start the stand-ins and the controllers, and wait until all are healthy."""
        self.tasks.append(asyncio.create_task(self.state.run()))
        cloud_port = await self.cloud.server.start()
        peer_ports = {label: _free_port() for label in LABELS}
        self.ports.update({label: _free_port() for label in LABELS})
        self.cloud.controller_ports.update(self.ports)
        for place, label in enumerate(LABELS):
            addresses = {}
            for other in LABELS:
                addresses[other] = peer_ports[other]
                if other != label and self.proxied:
                    proxy = self.proxies[label, other] = Proxy(peer_ports[other])
                    addresses[other] = await proxy.start()
            value = {
                "label": label,
                "location": ZONES[place],
                "bind": f"127.0.0.1:{self.ports[label]}",
                "peer_bind": f"127.0.0.1:{peer_ports[label]}",
                "members": [
                    {
                        "label": other,
                        "location": ZONES[LABELS.index(other)],
                        "address": f"127.0.0.1:{addresses[other]}",
                    }
                    for other in LABELS
                    if other != label
                ],
                "services": {
                    "cloud": f"127.0.0.1:{cloud_port}",
                    "state": f"127.0.0.1:{await self.state.listen(label)}",
                },
                "cluster": self.settings,
            }
            self._settings_path(label).write_text(json.dumps(value), encoding="utf-8")
        for label in LABELS:
            self.start(label)
        await self.until(self._all_up, 30.0, "all controllers are healthy")

    def _settings_path(self, label: str) -> Path:
        return Path(self.directory.name) / f"{label}.json"

    def log_path(self, label: str) -> Path:
        """Return the path of a controller's log."""
        return Path(self.directory.name) / f"{label}.log"

    def start(self, label: str) -> None:
        """Start a controller with the command of the deploy file, in place of one that runs."""
        self.kill(label)
        deploy = tomllib.loads((ROOT / "deploy" / "service.toml").read_text(encoding="utf-8"))
        with self.log_path(label).open("ab") as log:
            self.processes[label] = subprocess.Popen(
                [*shlex.split(deploy["run"]), str(self._settings_path(label))],
                cwd=ROOT,
                env={**os.environ, "LOG_LEVEL": os.environ.get("LOG_LEVEL", "info")},
                stdin=subprocess.DEVNULL,
                stdout=subprocess.DEVNULL,
                stderr=log,
            )
        self.note("start", controller=label)

    def kill(self, label: str) -> None:
        """Kill a controller."""
        process = self.processes.pop(label, None)
        if process is not None:
            process.kill()
            process.wait()
            self.note("kill", controller=label)

    def stop(self, label: str) -> None:
        """Let a controller stand still."""
        self.processes[label].send_signal(signal.SIGSTOP)
        self.note("stop", controller=label)

    def proceed(self, label: str) -> None:
        """Let a controller go on."""
        self.processes[label].send_signal(signal.SIGCONT)
        self.note("continue", controller=label)

    async def up(self, label: str) -> bool:
        """Return whether a controller is healthy."""
        return (await call(self.ports[label], "GET", "/up", timeout_s=1.0))[0] == 200

    async def _all_up(self) -> bool:
        return all([await self.up(label) for label in LABELS])

    def search_logs(self, pattern: str) -> list[tuple[str, re.Match[str]]]:
        """Return (controller, match) for each line of the logs that matches."""
        return [
            (label, match)
            for label in LABELS
            for line in self.log_path(label).read_text("utf-8", "replace").splitlines()
            if (match := re.search(pattern, line))
        ]

    async def until(self, condition: Any, within_s: float, what: str) -> None:
        """Wait until a condition holds.

        Raises:
            UnableError: It doesn't hold in time.
        """
        end = time.monotonic() + within_s
        while True:
            held = condition()
            if asyncio.iscoroutine(held):
                held = await held
            if held:
                return
            if time.monotonic() > end:
                raise UnableError(f"not in time: {what}")
            await asyncio.sleep(0.05)

    # -- users -------------------------------------------------------------------

    async def user(
        self, method: str, path: str, value: Any = None, label: str = "", timeout_s: float = 5.0
    ) -> tuple[int, Any]:
        """Send a user's request to a controller that runs, and record the answer."""
        label = label or self.rng.choice(sorted(self.processes))
        status, answer = await call(self.ports[label], method, path, value, timeout_s)
        self.note("user", request=f"{method} {path}", at=label, status=status, answer=answer)
        return status, answer

    async def submit(self, value: dict[str, Any], run_s: float, broken: bool = False) -> None:
        """Submit a job until it is accepted, at most for 60 s."""
        self.cloud.jobs[value["id"]] = value
        self.cloud.run_times[value["id"]] = run_s
        if broken:
            self.cloud.broken.add(value["id"])
        end = time.monotonic() + 60.0
        while time.monotonic() < end:
            status, _ = await self.user("POST", "/api/jobs", value)
            if status in (200, 201):
                return
            if status in (400, 422):
                raise UnableError(f"{value['id']} was refused with {status}")
            await asyncio.sleep(1.0)
        raise UnableError(f"{value['id']} was not accepted")

    async def cancel(self, name: str, within_s: float = 60.0) -> float:
        """Cancel a job until the answer says so; return when its user was told."""
        end = time.monotonic() + within_s
        while time.monotonic() < end:
            status, answer = await self.user("POST", f"/api/jobs/{name}/abort")
            if status == 200 and answer["status"] == "cancelled":
                self.told.setdefault(name, self.now())
                return self.told[name]
            await asyncio.sleep(1.0)
        raise UnableError(f"the cancellation of {name} was not confirmed")

    # -- the rule on waiting jobs --------------------------------------------------

    def has_room(self, value: dict[str, Any]) -> str:
        """Return a machine that fits a task of the job and has room for it; empty if none."""
        for worker in self.cloud.machines.values():
            free = worker.free()
            if (
                worker.up
                and not (worker.gone or worker.hung or worker.sick)
                and (value["flavors"] is None or worker.kind["label"] in value["flavors"])
                and value["site"] in (None, worker.zone)
                and (value["loaners"] or not worker.spot)
                and all(free[name] + 1e-6 >= value[name] for name in free)
            ):
                return worker.name
        return ""

    async def watch_waiting(self, value: dict[str, Any], within_s: float) -> float:
        """Watch an accepted job of one task without a zone rule, until its task is on a machine.

        Returns:
            For how many seconds on end, up to now or the end of the wait, the job has had no task
            on any machine while a machine that fits had room.
        """
        name, since, asked_at = value["id"], None, 0.0
        end = self.now() + within_s
        while True:
            now = self.now()
            placed = any(
                key[0].partition("/")[0] == name and task.state != "exited"
                for worker in self.cloud.machines.values()
                if not worker.gone
                for key, task in worker.tasks.items()
            )
            if placed or self.cloud.results.get(name):
                self.note("runs", job=name)
                return 0.0
            since = (since if since is not None else now) if self.has_room(value) else None
            if now - asked_at >= 5.0:
                asked_at = now
                status, _ = await self.user("GET", f"/api/jobs/{name}")
                self.note("waits", job=name, room_on=self.has_room(value), since=since)
                if status == 404:
                    raise UnableError(f"{name} is not known")
            if now >= end:
                return 0.0 if since is None else now - since
            await asyncio.sleep(0.1)

    async def close(self) -> None:
        """End everything."""
        for label in list(self.processes):
            self.kill(label)
        for task in [*self.tasks, *self.cloud.routines]:
            task.cancel()
        for server in [*self.state.servers.values(), self.cloud.server]:
            server.stop()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            for label in LABELS:
                Path(keep, f"{label}.log").write_bytes(self.log_path(label).read_bytes())
        self.directory.cleanup()
        self.file.close()


def main(case: Any, deployment: Any) -> int:
    """Run a case; return the exit status.

    Args:
        case: Takes the deployment and whether there is trouble; returns what broke the rule.
        deployment: Makes the deployment.
    """
    trouble = os.environ.get("TROUBLE", "1") != "0"

    async def run() -> int:
        world: Deployment = deployment()
        world.note("case", trouble=trouble)
        try:
            async with asyncio.timeout(113.0):
                await world.open()
                broken = await case(world, trouble)
        except (UnableError, OSError) as exc:
            world.note("unable", cause=repr(exc))
            print(f"could not run: {exc!r}")
            return UNABLE
        else:
            for line in broken:
                world.note("broken", what=line)
                print(f"broken: {line}")
            world.note("verdict", broken=bool(broken))
            print("the rule was broken" if broken else "the rule held")
            return BROKEN if broken else HELD
        finally:
            await world.close()

    def leave(*_: Any) -> None:
        raise KeyboardInterrupt

    signal.signal(signal.SIGTERM, leave)
    try:
        return asyncio.run(run())
    except KeyboardInterrupt:
        return UNABLE


if __name__ == "__main__":
    sys.exit("this module has no program")
