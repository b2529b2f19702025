"""Stand-ins for the cloud and its workers, as the protocol describes them."""

from __future__ import annotations

import asyncio
import json
import math
import random
import time
from collections.abc import Callable
from typing import Any

from review.lib2.state import Bucket
from review.lib2.web import Client, NoAnswerError, Server

MAX_BODY = 64 * 1024


class Task:
    """A task on a machine.

    Attributes:
        until: When the image is there, the running task is done, or the saving task has saved.
    """

    def __init__(self, state: str, until: float) -> None:
        self.state, self.until = state, until
        self.cause, self.stored = "", False
        self.fails_at = math.inf


class Worker:
    """A machine and its worker.

    Attributes:
        hung: Whether the machine hangs: nothing on it goes on, and nobody is answered.
        sick: Whether the machine fails every task that it starts.
        oversized: How many reports were longer than a request may be.
    """

    def __init__(self, cloud: Cloud, name: str, kind: dict[str, Any], zone: str, spot: bool):
        self.cloud, self.name, self.kind, self.zone, self.spot = cloud, name, kind, zone, spot
        self.rented_at = time.monotonic()
        self.up, self.gone, self.hung, self.sick = False, False, False, False
        self.gone_at = math.inf
        self.tenure, self.counter, self.token = 1, 0, 0
        self.answered_at = 0.0
        self.tasks: dict[tuple[str, int], Task] = {}
        self.images: set[str] = set()
        self.server = Server(self._handle)
        self.changed = False
        self.oversized = 0

    # -- what is on the machine --------------------------------------------

    def on_machine(self) -> list[tuple[str, int]]:
        """Return the tasks that count as being on the machine."""
        if self.gone:
            return []
        return [k for k, t in self.tasks.items() if t.state in ("running", "waiting", "saving")]

    def _job(self, task: str) -> dict[str, Any]:
        return self.cloud.jobs[task.partition("/")[0]]

    def free(self) -> dict[str, float]:
        """Return what the tasks on the machine leave of its resources."""
        free = {name: float(self.kind[name]) for name in ("vcpus", "cards", "ram_gb")}
        for (task, _), state in self.tasks.items():
            if state.state != "exited":
                for name in free:
                    free[name] -= self._job(task)[name]
        return free

    def _exit(self, key: tuple[str, int], cause: str, stored: bool = False) -> None:
        task = self.tasks[key]
        was_on = task.state in ("running", "waiting", "saving")
        running = task.state == "running"
        task.state, task.cause, task.stored = "exited", cause, stored
        self.changed = True
        if was_on:
            self.cloud.note("left", task=key[0], attempt=key[1], machine=self.name, cause=cause)
        if running and cause != "done":
            self.cloud.lose_mates(self, key)

    def forget_all(self, cause: str) -> None:
        """Kill and forget all tasks."""
        for key in list(self.tasks):
            if self.tasks[key].state != "exited":
                self._exit(key, cause)
        self.tasks.clear()

    # -- commands ----------------------------------------------------------

    def execute(self, orders: list[dict[str, Any]]) -> None:
        """Execute commands in their order."""
        now = time.monotonic()
        for order in orders:
            key = (order["piece"], order["try"])
            task = self.tasks.get(key)
            if order["verb"] == "launch" and task is None:
                self._launch(key, now)
            elif order["verb"] == "kill" and task is not None and task.state != "exited":
                job = self._job(key[0])
                grace_s = float(order["wind_down_s"])
                if (
                    task.state == "running"
                    and job["snapshot_every_s"] > 0
                    and grace_s >= job["snapshot_s"]
                ):
                    task.state, task.until = "saving", now + job["snapshot_s"]
                    self.changed = True
                elif task.state != "saving" or grace_s == 0:
                    self._exit(key, "stopped")
            elif order["verb"] == "clear" and task is not None and task.state == "exited":
                del self.tasks[key]

    def _launch(self, key: tuple[str, int], now: float) -> None:
        job_id, _, number = key[0].partition("/")
        self.changed = True
        job = self.cloud.jobs.get(job_id)
        if job is None or not int(number) < job["pieces"]:
            task = self.tasks[key] = Task("exited", now)
            task.cause = "unknown"
            return
        free = self.free()
        others = [k for k, t in self.tasks.items() if k[0] == key[0] and t.state != "exited"]
        task = self.tasks[key] = Task("pulling", now)
        if others:
            task.state, task.cause = "exited", "busy"
        elif any(job[name] > free[name] + 1e-6 for name in free):
            task.state, task.cause = "exited", "no_room"
        elif job["bundle"] not in self.images:
            task.until = now + job["image_gb"] / self.kind["pull_gb_per_s"]
        if task.state == "pulling" and now >= task.until:
            self._start(key, now)

    def _start(self, key: tuple[str, int], now: float) -> None:
        """Start a task that has its image."""
        job_id, _, number = key[0].partition("/")
        job, task = self.cloud.jobs[job_id], self.tasks[key]
        self.images.add(job["bundle"])
        self.changed = True
        self.cloud.entered(self, key)
        task.state = "waiting" if job["shape"] == "ensemble" else "running"
        task.until = now + self.cloud.run_s(job_id, int(number))
        if job_id in self.cloud.broken or self.sick:
            task.fails_at = now + 0.5
        if int(number) in self.cloud.results.get(job_id, ()):
            self._complete(key)

    def _complete(self, key: tuple[str, int]) -> None:
        job_id, _, number = key[0].partition("/")
        job = self.cloud.jobs[job_id]
        done = self.cloud.results.setdefault(job_id, set())
        done.update(range(job["pieces"]) if job["shape"] == "ensemble" else [int(number)])
        self._exit(key, "done")

    def advance(self) -> None:
        """Let time pass on the machine."""
        now = time.monotonic()
        if now - self.answered_at > self.cloud.workers["lease_s"]:
            self.forget_all("lease")
            self.cloud.note("lease-expired", machine=self.name, tenure=self.tenure)
            self.tenure += 1
            self.answered_at = now
            self.changed = True
        for key, task in list(self.tasks.items()):
            if task.state == "pulling" and now >= task.until:
                self._start(key, now)
            elif task.state in ("running", "waiting") and now >= task.fails_at:
                self._exit(key, "error")
            elif task.state == "waiting":
                self.cloud.start_gang(key, now)
            elif task.state == "saving" and now >= task.until:
                self._exit(key, "stopped", True)
            elif (
                task.state == "running"
                and self._job(key[0])["shape"] != "daemon"
                and now >= task.until
            ):
                self._complete(key)

    def restart(self) -> None:
        """Let the machine stop with all that is on it and be back at once, as if it were new."""
        self.forget_all("machine-stopped")
        self.images.clear()
        self.tenure, self.counter, self.token = 1, 0, 0
        self.answered_at = time.monotonic()
        self.changed = True
        self.cloud.note("machine-back", machine=self.name)

    # -- exchange with the controllers -------------------------------------

    def report(self) -> dict[str, Any]:
        """Return the next report."""
        self.counter += 1
        pieces: list[dict[str, Any]] = []
        for (task, attempt), t in self.tasks.items():
            piece: dict[str, Any] = {"piece": task, "try": attempt, "status": t.state}
            if t.state == "exited":
                piece["cause"] = t.cause
                if t.stored:
                    piece["stored"] = True
            pieces.append(piece)
        return {
            "host": self.name,
            "address": f"127.0.0.1:{self.server.port}",
            "flavor": self.kind["label"],
            "site": self.zone,
            "loaners": self.spot,
            "tenure": self.tenure,
            "counter": self.counter,
            "epoch": self.token,
            "reclaim_in_s": None,
            "pieces": pieces,
        }

    async def _handle(self, method: str, path: str, body: bytes) -> tuple[int, Any] | None:
        """Answer a controller's direct request."""
        while self.hung and not self.gone:
            await asyncio.sleep(0.02)
        if self.gone:
            return None
        self.advance()
        if path == "/inspect" and method == "GET":
            return 200, self.report()
        value = json.loads(body)
        if "epoch" not in value or "tenure" not in value:
            return 400, {}
        if value["epoch"] < self.token or value["tenure"] != self.tenure:
            return 409, self.report()
        self.token = value["epoch"]
        self.execute(value["orders"])
        return 200, self.report()

    async def run(self) -> None:
        """Boot, then report until the machine is gone."""
        await asyncio.sleep(self.cloud.boot_s)
        if self.gone:
            return
        await self.server.start()
        self.up = True
        self.answered_at = time.monotonic()
        ticker = asyncio.create_task(self._tick())
        try:
            await self._report_forever()
        finally:
            ticker.cancel()
            self.server.stop()

    async def _tick(self) -> None:
        while not self.gone:
            await asyncio.sleep(0.02)
            if not self.hung:
                self.advance()

    async def _report_forever(self) -> None:
        rng, report_s = self.cloud.rng, self.cloud.workers["report_s"]
        labels = list(self.cloud.controller_ports)
        target = rng.choice(labels)
        clients: dict[str, Client] = {}
        sent_at, due, told_token = -1e9, 0.0, 0
        while not self.gone:
            await asyncio.sleep(0.02)
            now = time.monotonic()
            if self.hung or not (now >= due or (self.changed and now - sent_at >= 0.5)):
                continue
            self.advance()
            self.changed = False
            tenure, sent_at = self.tenure, now
            due = now + report_s * rng.uniform(0.75, 1.25)
            client = clients.setdefault(target, Client(self.cloud.controller_ports[target]))
            value = self.report()
            if len(value["pieces"]) > 500 and len(json.dumps(value)) > MAX_BODY:
                self.oversized += 1
            try:
                status, answer = await client.request("POST", "/v1/report", value, 4.0)
            except NoAnswerError:
                status, answer = 0, {}
            while self.hung and not self.gone:
                await asyncio.sleep(0.02)
            if self.gone:
                return
            if time.monotonic() - now > 4.0:
                status = 0
            if status == 200:
                if answer.get("epoch", -1) >= self.token and tenure == self.tenure:
                    self.token = answer["epoch"]
                    self.answered_at = max(self.answered_at, now)
                    self.advance()
                    self.execute(answer["orders"])
                if self.token != told_token:
                    told_token, self.changed = self.token, True
            elif status == 421 and answer.get("upstream") not in (None, target):
                client.close()
                target = answer["upstream"] if answer["upstream"] in labels else target
                due = time.monotonic()
            else:
                if status not in (0, 503, 421):
                    self.cloud.note("refused", machine=self.name, status=status)
                client.close()
                target = labels[(labels.index(target) + 1) % len(labels)]
                due = sent_at = time.monotonic() + 1.0


class Cloud:
    """The cloud: the catalogue, rentals and the list, and the registry of what runs where.

    Args:
        types: The catalogue.
        capacity: How many machines there are, by type, zone and whether they are spot machines.
        workers: The settings of workers.
        rps: Requests per second.
        lag_s: By how much the list lags.
        record: Takes what happened.
        seed: Of the intervals of reports.

    Attributes:
        jobs: The descriptions of submitted jobs, as workers fetch them.
        run_times: For how long the tasks of a job run.
        broken: Jobs that were submitted with a mistake.
        results: The tasks of each job that have completed.
        on_entry: Called with the worker and the key of each task that begins to be on a machine.
    """

    def __init__(
        self,
        types: list[dict[str, Any]],
        capacity: dict[tuple[str, str, bool], int],
        workers: dict[str, float],
        rps: float,
        lag_s: float,
        record: Callable[..., None],
        seed: int = 1,
    ) -> None:
        self.types = {t["label"]: t for t in types}
        self.capacity, self.workers = dict(capacity), workers
        self.lag_s, self.note = lag_s, record
        self.rng = random.Random(seed)
        self.boot_s = 1.5
        self.machines: dict[str, Worker] = {}
        self.rentals: dict[str, list[str]] = {}
        self.jobs: dict[str, dict[str, Any]] = {}
        self.run_times: dict[str, float] = {}
        self.broken: set[str] = set()
        self.results: dict[str, set[int]] = {}
        self.controller_ports: dict[str, int] = {}
        self.on_entry: list[Callable[[Worker, tuple[str, int]], None]] = []
        self.server = Server(self._handle)
        self.bucket = Bucket(rps, 2.0)
        self.routines: list[asyncio.Task[None]] = []

    def run_s(self, job: str, _number: int) -> float:
        """Return for how long a task runs."""
        return self.run_times.get(job, 5.0)

    def entered(self, worker: Worker, key: tuple[str, int]) -> None:
        """Note that a task begins to be on a machine."""
        self.note("entered", task=key[0], attempt=key[1], machine=worker.name, zone=worker.zone)
        for listener in self.on_entry:
            listener(worker, key)

    def places(self, job: str) -> list[tuple[str, str]]:
        """Return (task, machine) for each task of a job that is on a machine."""
        return [
            (key[0], worker.name)
            for worker in self.machines.values()
            for key in worker.on_machine()
            if key[0].partition("/")[0] == job
        ]

    def _mates(self, key: tuple[str, int]) -> list[tuple[Worker, tuple[str, int]]]:
        job = key[0].partition("/")[0]
        return [
            (worker, other)
            for worker in self.machines.values()
            if not worker.gone
            for other in worker.tasks
            if other[1] == key[1] and other[0].partition("/")[0] == job
        ]

    def start_gang(self, key: tuple[str, int], now: float) -> None:
        """Start a gang once all its tasks wait."""
        job = self.jobs[key[0].partition("/")[0]]
        waiting = [(w, k) for w, k in self._mates(key) if w.tasks[k].state == "waiting"]
        if len(waiting) == job["pieces"]:
            for worker, other in waiting:
                worker.tasks[other].state = "running"
                worker.tasks[other].until = now + self.run_s(job["id"], 0)
                worker.changed = True

    def lose_mates(self, lost: Worker, key: tuple[str, int]) -> None:
        """End the other running tasks of a gang that has lost a task."""
        if self.jobs[key[0].partition("/")[0]]["shape"] != "ensemble":
            return
        for worker, other in self._mates(key):
            if (worker is not lost or other != key) and worker.tasks[other].state == "running":
                worker.tasks[other].state = "exited"
                worker.tasks[other].cause = "mates_gone"
                worker.changed = True

    def boot(self, flavor: str, site: str, spot: bool) -> str:
        """Create a machine; return its name."""
        name = f"i-{len(self.machines) + 1:06d}"
        worker = self.machines[name] = Worker(self, name, self.types[flavor], site, spot)
        self.capacity[flavor, site, spot] = self.capacity.get((flavor, site, spot), 0) - 1
        self.routines.append(asyncio.create_task(worker.run()))
        self.note("rented", machine=name, flavor=flavor, zone=site, spot=spot)
        return name

    def end(self, name: str, cause: str) -> None:
        """End a machine with all that is on it."""
        worker = self.machines.get(name)
        if worker is None or worker.gone:
            return
        worker.forget_all(cause)
        worker.gone, worker.gone_at = True, time.monotonic()
        self.capacity[worker.kind["label"], worker.zone, worker.spot] += 1
        self.note("machine-gone", machine=name, cause=cause)

    async def _handle(self, method: str, path: str, body: bytes) -> tuple[int, Any] | None:
        await asyncio.sleep(0.02)
        if not self.bucket.take(1):
            return 429, {"error": "too many"}
        resource, _, query = path.partition("?")
        args = dict(p.split("=", 1) for p in query.split("&")) if query else {}
        if resource == "/catalog":
            return 200, {"flavors": list(self.types.values())}
        if resource == "/hosts" and method == "GET":
            return 200, self._list(args)
        value = json.loads(body)
        if resource == "/hosts/return":
            for name in value["hosts"]:
                self.end(name, "returned")
            return 200, {}
        if value["rental"] not in self.rentals:
            place = (value["flavor"], value["site"], value["loaners"])
            count = min(value["number"], max(0, self.capacity.get(place, 0)))
            if count == 0:
                return 503, {"error": "no capacity"}
            self.rentals[value["rental"]] = [self.boot(*place) for _ in range(count)]
        return 200, {"hosts": self.rentals[value["rental"]]}

    def _list(self, args: dict[str, str]) -> dict[str, Any]:
        then = time.monotonic() - self.lag_s
        found = [
            w
            for n, w in sorted(self.machines.items())
            if n > args.get("since", "") and w.rented_at <= then < w.gone_at
        ]
        most = min(500, int(args.get("most", "500")))
        return {
            "hosts": [
                {
                    "id": w.name,
                    "address": f"127.0.0.1:{w.server.port or 1}",
                    "flavor": w.kind["label"],
                    "site": w.zone,
                    "loaners": w.spot,
                    "status": "running" if w.up else "starting",
                    "held_s": round(then - w.rented_at, 1),
                }
                for w in found[:most]
            ],
            "more": len(found) > most,
        }
