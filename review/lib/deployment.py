"""A small deployment on loopback: real controllers, with stand-ins for everything else."""

from __future__ import annotations

import asyncio
import json
import os
import random
import shlex
import shutil
import signal
import subprocess
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

from lib import web
from lib.fleet import Fleet
from lib.state_service import StateService

ROOT = Path(__file__).resolve().parents[2]
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2
# How long users wait for an answer, and before they repeat a request.
POST_TIMEOUT_S, GET_TIMEOUT_S, RETRY_S = 5.0, 2.0, 1.0
START_TIMEOUT_S = 20.0
MAX_RUN_S = 117.0


class CouldNotRunError(Exception):
    """The case could not run as planned, so it says nothing about the rule."""


def job(number: int, **fields: Any) -> dict[str, Any]:
    """Return the submission of a job with one task of one CPU, changed by `fields`."""
    return {
        "id": f"j-{number:06d}",
        "jobclass": "qc-clean",
        "owner": "marine-ops",
        "shape": "sweep",
        "rank": "normal",
        "pieces": 1,
        "vcpus": 1.0,
        "cards": 0.0,
        "ram_gb": 1.0,
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


class Deployment:
    """Controllers, state service, cloud, workers and users.

    Attributes:
        trouble: Whether the disruption of the case happens.
        told_cancelled: By job, when a user was first told that it is cancelled.
    """

    def __init__(self, folder: Path, cluster: dict[str, Any], kinds: list[dict[str, Any]]) -> None:
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.cluster = cluster
        self.labels = [f"host-{n}" for n in range(cluster["size"])]
        self.started_at = time.monotonic()
        self.record_file = (folder / "record.txt").open("w", encoding="utf-8")
        self.events: list[dict[str, Any]] = []
        self.random = random.Random()
        self.temporary = Path(tempfile.mkdtemp(prefix="clayport-review-"))
        self.state = StateService(cluster["state"], self.random.getrandbits(32))
        self.fleet = Fleet(kinds, 20, cluster["workers"], self.record, self.random.getrandbits(32))
        self.users: dict[str, web.Client] = {}
        self.healthy: set[str] = set()
        self.processes: dict[str, subprocess.Popen[bytes]] = {}
        self.background: list[asyncio.Task[Any]] = []
        self.told_cancelled: dict[str, float] = {}

    def now(self) -> float:
        """Return the seconds since the start of the case."""
        return time.monotonic() - self.started_at

    def record(self, event: str, **fields: Any) -> None:
        """Write one line of the record."""
        entry = {"t": round(self.now(), 3), "event": event, **fields}
        self.events.append(entry)
        self.record_file.write(json.dumps(entry) + "\n")

    def spawn(self, routine: Awaitable[Any]) -> asyncio.Task[Any]:
        """Run a routine beside the case."""
        task = asyncio.ensure_future(routine)
        self.background.append(task)
        return task

    # -- controllers -----------------------------------------------------

    async def start(self) -> None:
        """Start the stand-ins and all controllers, and wait until every one is healthy."""
        ports = web.free_ports(2 * len(self.labels))
        binds = dict(zip(self.labels, ports))
        peer_binds = dict(zip(self.labels, ports[len(self.labels) :]))
        cloud = await self.fleet.start()
        self.fleet.labels = self.labels
        zones = self.cluster["zones"]
        for number, label in enumerate(self.labels):
            self.users[label] = web.Client(binds[label])
            self.fleet.nodes[label] = web.Client(binds[label])
            state = await self.state.start(label)
            settings = {
                "label": label,
                "location": zones[number % len(zones)],
                "bind": f"127.0.0.1:{binds[label]}",
                "peer_bind": f"127.0.0.1:{peer_binds[label]}",
                "members": [
                    {
                        "label": other,
                        "location": zones[self.labels.index(other) % len(zones)],
                        "address": f"127.0.0.1:{peer_binds[other]}",
                    }
                    for other in self.labels
                    if other != label
                ],
                "services": {"cloud": f"127.0.0.1:{cloud}", "state": f"127.0.0.1:{state}"},
                "cluster": self.cluster,
            }
            self._settings_file(label).write_text(json.dumps(settings), encoding="utf-8")
            self.start_controller(label)
        self.spawn(self.state.expire_leases())
        for label in self.labels:
            self.spawn(self._probe(label))
        await self.until(lambda: len(self.healthy) == len(self.labels), START_TIMEOUT_S)

    def _settings_file(self, label: str) -> Path:
        return self.temporary / f"{label}.json"

    def start_controller(self, label: str) -> None:
        """Start a controller with the command of the deploy file."""
        command = tomllib.loads((ROOT / "deploy" / "service.toml").read_text("utf-8"))["run"]
        logs = Path(os.environ.get("LOGS") or self.temporary)
        with (logs / f"{label}.log").open("ab") as log:
            self.processes[label] = subprocess.Popen(
                [*shlex.split(command), str(self._settings_file(label))],
                cwd=ROOT,
                stderr=log,
                stdin=subprocess.DEVNULL,
                env={**os.environ, "LOG_LEVEL": "info"},
            )
        self.record("controller-started", label=label)

    def kill_controller(self, label: str) -> None:
        """Kill a controller."""
        self.processes[label].kill()
        self.processes[label].wait()
        self.healthy.discard(label)
        self.record("controller-killed", label=label)

    async def _probe(self, label: str) -> None:
        """Probe a controller as the load balancer does, about once a second."""
        client = web.Client(self.users[label].port)
        failures = 0
        while True:
            answer = await client.request("GET", "/up", None, 1.0)
            ok = answer is not None and answer[0] == 200
            failures = 0 if ok else failures + 1
            if ok and label not in self.healthy:
                self.healthy.add(label)
                self.record("healthy", label=label)
            elif failures >= 2 and label in self.healthy:
                self.healthy.discard(label)
                self.record("unhealthy", label=label)
            await asyncio.sleep(0.2 if len(self.healthy) < len(self.labels) else 1.0)

    def check_processes(self) -> list[str]:
        """Return the controllers that have ended by themselves."""
        return [label for label, p in self.processes.items() if p.poll() not in (None, -9)]

    # -- users -----------------------------------------------------------

    def node(self) -> str:
        """Return a node as the load balancer chooses it."""
        return self.random.choice(sorted(self.healthy) or self.labels)

    async def ask(
        self, method: str, path: str, body: Any = None, node: str | None = None
    ) -> tuple[int, Any] | None:
        """Send a user's request once, and record it with its answer."""
        node = node or self.node()
        sent_at = round(self.now(), 3)
        timeout_s = GET_TIMEOUT_S if method == "GET" else POST_TIMEOUT_S
        answer = await self.users[node].request(method, path, body, timeout_s)
        self.record(
            "asked",
            sent=sent_at,
            node=node,
            request=f"{method} {path}" + (f" {body.get('id')}" if body else ""),
            answer=list(answer) if answer else None,
        )
        if answer is not None and answer[0] == 200 and answer[1].get("status") == "cancelled":
            self.told_cancelled.setdefault(answer[1]["id"], self.now())
        return answer

    async def insist(self, method: str, path: str, body: Any = None) -> tuple[int, Any]:
        """Repeat a request as users do until it is answered, for 60 s at most."""
        end = self.now() + 60.0
        while self.now() < end:
            answer = await self.ask(method, path, body)
            if answer is not None and answer[0] in (200, 201, 400, 404, 422):
                return answer
            await asyncio.sleep(RETRY_S)
        raise CouldNotRunError(f"{method} {path} was not answered")

    async def submit(self, description: dict[str, Any], run_s: float = 1e9) -> None:
        """Submit a job whose tasks run for `run_s`, and wait until it is accepted."""
        self.fleet.jobs[description["id"]] = description
        self.fleet.run_s[description["id"]] = run_s
        status, answer = await self.insist("POST", "/api/jobs", description)
        if status not in (200, 201):
            raise CouldNotRunError(f"{description['id']} was refused: {status} {answer}")

    async def cancel(self, name: str) -> None:
        """Cancel a job, and wait until its user is told so."""
        status, answer = await self.insist("POST", f"/api/jobs/{name}/abort")
        if status != 200 or answer["status"] != "cancelled":
            raise CouldNotRunError(f"{name} was not cancelled: {status} {answer}")

    def tasks_on_machines(self) -> list[tuple[str, int, str]]:
        """Return task, attempt and machine of every task that is on a machine."""
        return [
            (*key, worker.name)
            for worker in self.fleet.machines.values()
            for key, task in worker.tasks.items()
            if task.on_machine and not worker.gone
        ]

    async def until(self, condition: Callable[[], bool], timeout_s: float) -> None:
        """Wait for a condition.

        Raises:
            CouldNotRunError: It does not hold in time.
        """
        end = self.now() + timeout_s
        while not condition():
            if self.now() > end:
                raise CouldNotRunError("a condition of the case did not come about")
            await asyncio.sleep(0.02)

    def end(self) -> None:
        """End everything that the case started."""
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
                process.wait()
        self.record_file.close()
        shutil.rmtree(self.temporary, ignore_errors=True)


def run_case(
    folder: Path,
    cluster: dict[str, Any],
    kinds: list[dict[str, Any]],
    case: Callable[[Deployment], Awaitable[list[str]]],
) -> None:
    """Run a case, print what broke the rule, and exit with the status of the case."""

    async def main() -> int:
        deployment = Deployment(folder, cluster, kinds)
        loop = asyncio.get_running_loop()
        this = asyncio.current_task()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, this.cancel)
        try:
            faults = await asyncio.wait_for(case(deployment), MAX_RUN_S)
            ended = deployment.check_processes()
            if ended:
                raise CouldNotRunError(f"ended by themselves: {ended}")
            deployment.record("verdict", broken=bool(faults), faults=faults)
            print(f"{'broken' if faults else 'held'} after {deployment.now():.0f} s")
            for fault in faults[:20]:
                print(" ", fault)
            return BROKEN if faults else HELD
        except (Exception, asyncio.CancelledError) as exc:
            # A mistake of the case itself says nothing about the rule either.
            deployment.record("could-not-run", cause=repr(exc))
            print(f"could not run: {exc!r}")
            return COULD_NOT_RUN
        finally:
            for task in deployment.background:
                task.cancel()
            deployment.end()

    try:
        status = asyncio.new_event_loop().run_until_complete(main())
    except Exception as exc:
        print(f"could not run: {exc!r}")
        status = COULD_NOT_RUN
    sys.stdout.flush()
    os._exit(status)  # without waiting for the stand-ins' open connections
