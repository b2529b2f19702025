"""Stand-ins for the cloud and for the workers on its machines; the cases submit no gangs."""

from __future__ import annotations

import asyncio
import random
import time
from collections.abc import Callable
from typing import Any
from urllib.parse import parse_qs

from lib import web

CLOUD_LATENCY_S = 0.08
REPORT_TIMEOUT_S = 4.0

TaskKey = tuple[str, int]


class Task:
    """A task on a machine, in the states of the worker protocol."""

    def __init__(self, state: str) -> None:
        self.state, self.cause, self.entered_at = state, "", 0.0

    @property
    def on_machine(self) -> bool:
        """Whether the task counts as being on its machine."""
        return self.state in ("waiting", "running", "saving")


class Worker:
    """A machine and its worker.

    Attributes:
        hung: Whether the machine hangs: it executes and answers nothing until it goes on.
        cut_from: The node to which the network is interrupted. What that node sends over an open
            connection is held, and is delivered when the network is back, although nobody waits
            for an answer any more. New connections don't come about.
    """

    def __init__(self, fleet: Fleet, name: str, kind: dict[str, Any], zone: str) -> None:
        self.fleet, self.name, self.kind, self.zone = fleet, name, kind, zone
        self.rented_at = time.monotonic()
        self.up = self.gone = self.hung = False
        self.port = 0
        self.session, self.counter, self.token = 1, 0, 0
        self.answered_at = 0.0
        self.tasks: dict[TaskKey, Task] = {}
        self.images: set[str] = set()
        self.server: asyncio.Server | None = None
        self.target = ""  # the node that it reports to
        self.cut_from, self.cut_at = "", 0.0
        self.restored = asyncio.Event()
        self.wake = asyncio.Event()
        self.resumed = asyncio.Event()

    async def run(self, boot_s: float) -> None:
        """Boot, then report until the machine is gone."""
        self.server, self.port = await web.serve(self._handle)
        await asyncio.sleep(boot_s)
        if self.gone:
            return
        self.up, self.answered_at = True, time.monotonic()
        self.fleet.record("machine-up", machine=self.name, zone=self.zone)
        self.target = self.fleet.random.choice(self.fleet.labels)
        lease_check = asyncio.create_task(self._check_lease())
        try:
            while not self.gone:
                self.target, pause_s = await self._report(self.target)
                await asyncio.sleep(0.5 if pause_s > 0.5 else pause_s)
                self.wake.clear()
                try:
                    await asyncio.wait_for(self.wake.wait(), max(0.0, pause_s - 0.5))
                except TimeoutError:
                    pass
        finally:
            lease_check.cancel()

    async def _report(self, target: str) -> tuple[str, float]:
        """Send one report; return the node for the next one and the pause before it."""
        await self._while_hung()
        labels, session, sent_at = self.fleet.labels, self.session, time.monotonic()
        if target == self.cut_from:
            await asyncio.sleep(REPORT_TIMEOUT_S)
            answer = None
        else:
            answer = await self.fleet.nodes[target].request(
                "POST", "/v1/report", self.report(), REPORT_TIMEOUT_S
            )
        await self._while_hung()
        if self.gone:
            return target, 0.0
        if answer is not None and answer[0] == 200:
            token = answer[1].get("epoch", -1)
            if token >= self.token and session == self.session:
                self.token = token
                self.answered_at = sent_at
                self._execute(answer[1].get("orders", []))
            return target, self.fleet.report_s * self.fleet.random.uniform(0.75, 1.25)
        if answer is not None and answer[0] == 421:
            upstream = (answer[1] or {}).get("upstream")
            if upstream in labels and upstream != target:
                return upstream, 0.05
        return labels[(labels.index(target) + 1) % len(labels)], 1.0

    async def _while_hung(self) -> None:
        while self.hung and not self.gone:
            await self.resumed.wait()
        self._end_lease_if_over()

    async def _check_lease(self) -> None:
        while True:
            await asyncio.sleep(0.05)
            if not self.hung:
                self._end_lease_if_over()

    def _end_lease_if_over(self) -> None:
        """Kill and forget all tasks if the lease has expired."""
        if self.up and time.monotonic() - self.answered_at > self.fleet.lease_s:
            for key in list(self.tasks):
                self._leave(key, "lease over")
            self.tasks.clear()
            self.session += 1
            self.answered_at = time.monotonic()
            self.fleet.record("lease-over", machine=self.name, session=self.session)

    def report(self) -> dict[str, Any]:
        """Return the next report."""
        self.counter += 1
        pieces = []
        for (task, attempt), state in self.tasks.items():
            piece: dict[str, Any] = {"piece": task, "try": attempt, "status": state.state}
            if state.state == "exited":
                piece |= {"cause": state.cause, "stored": False}
            pieces.append(piece)
        return {
            "host": self.name,
            "address": f"127.0.0.1:{self.port}",
            "flavor": self.kind["label"],
            "site": self.zone,
            "loaners": False,
            "tenure": self.session,
            "counter": self.counter,
            "epoch": self.token,
            "reclaim_in_s": None,
            "pieces": pieces,
        }

    async def _handle(self, method: str, path: str, body: Any) -> tuple[int, Any] | None:
        await asyncio.sleep(0.002)
        while (self.hung or not self.up) and not self.gone:
            await asyncio.sleep(0.05)
        if self.gone:
            await asyncio.sleep(3600)
        self._end_lease_if_over()
        if path == "/inspect" and method == "GET":
            return 200, self.report()
        if "epoch" not in body or "tenure" not in body:
            return 400, {}
        if self.cut_from:
            # While the network is interrupted, no other node sends commands to this machine.
            if web.CONNECTED_AT.get() > self.cut_at:
                await asyncio.sleep(3600)
            await self.restored.wait()
            self._end_lease_if_over()
            obeyed = body["epoch"] >= self.token and body["tenure"] == self.session
            self.fleet.record("held-command", machine=self.name, body=body, obeyed=obeyed)
        if body["epoch"] < self.token or body["tenure"] != self.session:
            return 409, self.report()
        self.token = body["epoch"]
        self._execute(body["orders"])
        return 200, self.report()

    def _execute(self, orders: list[dict[str, Any]]) -> None:
        for order in orders:
            key = (order["piece"], order["try"])
            task = self.tasks.get(key)
            if order["verb"] == "launch" and task is None:
                self._launch(key)
            elif order["verb"] == "kill" and task is not None and task.state != "exited":
                self._leave(key, "killed")
                task.state, task.cause = "exited", "stopped"
            elif order["verb"] == "clear" and task is not None and task.state == "exited":
                del self.tasks[key]
            self.wake.set()

    def _launch(self, key: TaskKey) -> None:
        job = self.fleet.jobs.get(key[0].partition("/")[0])
        task = self.tasks[key] = Task("pulling")
        others = [
            self.fleet.jobs[k[0].partition("/")[0]]
            for k, t in self.tasks.items()
            if t is not task and t.state != "exited"
        ]
        if job is None:
            task.state, task.cause = "exited", "unknown"
        elif any(
            k[0] == key[0] and t is not task and t.state != "exited" for k, t in self.tasks.items()
        ):
            task.state, task.cause = "exited", "busy"
        elif any(
            sum(other[f] for other in others) + job[f] > self.kind[f] + 1e-6
            for f in ("vcpus", "cards", "ram_gb")
        ):
            task.state, task.cause = "exited", "no_room"
        else:
            asyncio.get_running_loop().create_task(self._run_task(key, task, job))

    async def _run_task(self, key: TaskKey, task: Task, job: dict[str, Any]) -> None:
        if job["bundle"] not in self.images:
            await asyncio.sleep(job["image_gb"] / self.kind["pull_gb_per_s"])
            await self._while_hung()
        if self.tasks.get(key) is not task or task.state != "pulling":
            return
        self.images.add(job["bundle"])
        task.state, task.entered_at = "running", time.monotonic()
        self.fleet.record("task-on", task=key[0], attempt=key[1], machine=self.name)
        self.wake.set()
        if job["shape"] == "daemon":
            return
        if key[0] not in self.fleet.results:
            await asyncio.sleep(self.fleet.run_s[job["id"]])
            await self._while_hung()
        if self.tasks.get(key) is task and task.state == "running":
            self.fleet.results.add(key[0])
            self._leave(key, "done")
            task.state, task.cause = "exited", "done"
            self.wake.set()

    def _leave(self, key: TaskKey, why: str) -> None:
        if self.tasks[key].on_machine:
            self.fleet.record("task-off", task=key[0], attempt=key[1], machine=self.name, why=why)

    def interrupt(self, node: str) -> None:
        """Interrupt the network between the machine and a node."""
        self.cut_from, self.cut_at = node, time.monotonic()
        self.restored.clear()
        self.fleet.record("interrupted", machine=self.name, node=node)

    def restore(self) -> None:
        """Restore the network between the machine and the node, and deliver what was held."""
        self.cut_from = ""
        self.restored.set()
        self.fleet.record("restored", machine=self.name)

    def hang(self) -> None:
        """Stop executing and answering."""
        self.hung = True
        self.resumed.clear()
        self.fleet.record("machine-hangs", machine=self.name)

    def go_on(self) -> None:
        """Execute and answer again."""
        self.hung = False
        self.resumed.set()
        self.fleet.record("machine-goes-on", machine=self.name)

    def end(self) -> None:
        """End the machine with everything on it."""
        for key in list(self.tasks):
            self._leave(key, "machine gone")
        self.tasks.clear()
        self.gone = True
        self.resumed.set()
        if self.server is not None:
            self.server.close()
        self.fleet.record("machine-gone", machine=self.name)


class Fleet:
    """The cloud with its machines."""

    def __init__(
        self,
        kinds: list[dict[str, Any]],
        capacity: int,
        workers: dict[str, float],
        record: Callable[..., None],
        seed: int,
    ) -> None:
        self.kinds, self.capacity, self.record = kinds, capacity, record
        self.report_s, self.lease_s = workers["report_s"], workers["lease_s"]
        self.random = random.Random(seed)
        self.labels: list[str] = []
        self.nodes: dict[str, web.Client] = {}
        self.machines: dict[str, Worker] = {}
        self.rentals: dict[str, list[str]] = {}
        self.jobs: dict[str, dict[str, Any]] = {}
        self.run_s: dict[str, float] = {}
        self.results: set[str] = set()
        self.running: set[asyncio.Task[None]] = set()

    def boot(self, label: str, zone: str, boot_s: float) -> str:
        """Create a machine of a kind; return its name."""
        kind = next(k for k in self.kinds if k["label"] == label)
        name = f"i-{len(self.machines) + 1:06d}"
        worker = self.machines[name] = Worker(self, name, kind, zone)
        task = asyncio.get_running_loop().create_task(worker.run(boot_s))
        self.running.add(task)
        task.add_done_callback(self.running.discard)
        return name

    async def start(self) -> int:
        """Listen for the controllers; return the port."""
        return (await web.serve(self._handle))[1]

    async def _handle(self, method: str, path: str, body: Any) -> tuple[int, Any] | None:
        await asyncio.sleep(CLOUD_LATENCY_S)
        path, _, query = path.partition("?")
        if path == "/catalog":
            return 200, {"flavors": self.kinds}
        if path == "/hosts" and method == "POST":
            return self._rent(body)
        if path == "/hosts/return":
            for name in body["hosts"]:
                if name in self.machines and not self.machines[name].gone:
                    self.record("returned", machine=name)
                    self.machines[name].end()
            return 200, {}
        return self._list({k: v[0] for k, v in parse_qs(query).items()})

    def _rent(self, body: Any) -> tuple[int, Any]:
        if body["rental"] not in self.rentals:
            present = sum(not worker.gone for worker in self.machines.values())
            count = min(body["number"], self.capacity - present)
            if count <= 0 or body["loaners"]:
                return 503, {"error": "no capacity"}
            kind = next(k for k in self.kinds if k["label"] == body["flavor"])
            boot_s = kind["boot_s"] * self.random.uniform(0.6, 1.5)
            self.rentals[body["rental"]] = [
                self.boot(body["flavor"], body["site"], boot_s) for _ in range(count)
            ]
            self.record("rented", machines=self.rentals[body["rental"]])
        return 200, {"hosts": self.rentals[body["rental"]]}

    def _list(self, args: dict[str, str]) -> tuple[int, Any]:
        since, most = args.get("since", ""), int(args.get("most", "500"))
        names = [n for n, w in self.machines.items() if not w.gone and n > since]
        return 200, {
            "hosts": [
                {
                    "id": name,
                    "address": f"127.0.0.1:{self.machines[name].port}",
                    "flavor": self.machines[name].kind["label"],
                    "site": self.machines[name].zone,
                    "loaners": False,
                    "status": "running" if self.machines[name].up else "starting",
                    "held_s": time.monotonic() - self.machines[name].rented_at,
                }
                for name in names[:most]
            ],
            "more": len(names) > most,
        }
