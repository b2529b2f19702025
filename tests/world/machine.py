"""A machine and its worker, as the protocol describes them."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING, Any

import curio

from clayport.transport import http

from .settings import TYPES

if TYPE_CHECKING:
    from .deployment import World


class Task:
    def __init__(self, state: str, until: float) -> None:
        self.state, self.until, self.why, self.saved = state, until, "", False


class Worker:
    """A machine and its worker, as the protocol describes them."""

    def __init__(self, world: World, name: str, kind: str, zone: str, spot: bool) -> None:
        self.world, self.name, self.kind, self.zone, self.spot = world, name, kind, zone, spot
        self.address = f"{name}:9000"
        self.up_at = world.clock() + world.rng.uniform(*world.boot_s)
        self.gone = False
        self.hung_until = 0.0
        self.cut_from: set[str] = set()
        self.session, self.seq, self.token = 1, 0, 0
        self.answered = self.up_at
        self.tasks: dict[tuple[str, int], Task] = {}
        self.images: set[str] = set()

    def alive(self) -> bool:
        return not self.gone and self.world.clock() >= self.up_at

    def on(self) -> list[tuple[str, int]]:
        """Tasks on the machine in the sense of the Rules."""
        return [k for k, t in self.tasks.items() if t.state in ("running", "saving", "waiting")]

    def report(self) -> dict[str, Any]:
        self.seq += 1
        pieces = []
        for (task, attempt), t in self.tasks.items():
            piece: dict[str, Any] = {"piece": task, "try": attempt, "status": t.state}
            if t.state == "exited":
                piece.update(cause=t.why, stored=t.saved)
            pieces.append(piece)
        return {
            "host": self.name,
            "address": self.address,
            "flavor": self.kind,
            "site": self.zone,
            "loaners": self.spot,
            "tenure": self.session,
            "counter": self.seq,
            "epoch": self.token,
            "reclaim_in_s": None,
            "pieces": pieces,
        }

    def execute(self, orders: list[dict[str, Any]]) -> None:
        now = self.world.clock()
        for order in orders:
            key = (order["piece"], order["try"])
            task = self.tasks.get(key)
            if order["verb"] == "launch" and task is None:
                self.launch(key, now)
            elif order["verb"] == "kill" and task is not None and task.state != "exited":
                self.world.left(self, key)
                task.state, task.why = "exited", "stopped"
            elif order["verb"] == "clear" and task is not None and task.state == "exited":
                del self.tasks[key]

    def launch(self, key: tuple[str, int], now: float) -> None:
        job_id = key[0].split("/")[0]
        job = self.world.jobs[job_id]
        task = self.tasks[key] = Task("pulling", now)
        used = [
            self.world.jobs[k[0].split("/")[0]]
            for k, t in self.tasks.items()
            if t.state != "exited" and k != key
        ]
        kind = next(t for t in TYPES if t["label"] == self.kind)
        if any(k[0] == key[0] and t.state != "exited" for k, t in self.tasks.items() if k != key):
            task.state, task.why = "exited", "busy"
        elif any(
            sum(j[f] for j in used) + job[f] > kind[f] + 1e-6 for f in ("vcpus", "cards", "ram_gb")
        ):
            task.state, task.why = "exited", "no_room"
        else:
            task.until = now + 1.5
            if job["bundle"] in self.images:
                self.begin(key, task, now)  # it is on the machine from here on

    def begin(self, key: tuple[str, int], task: Task, now: float) -> None:
        """The task has its image."""
        job_id, _, number = key[0].partition("/")
        job = self.world.jobs[job_id]
        self.images.add(job["bundle"])
        task.state = "waiting" if job["shape"] == "ensemble" else "running"
        task.until = now + self.world.run_s[job_id] * (1 + self.world.apart * int(number))
        self.world.entered(self, key)
        if int(number) in self.world.results[job_id]:
            self.finish(key, task)

    def step(self) -> None:
        """Fetches end, tasks start and complete, the lease runs out."""
        now = self.world.clock()
        if now - self.answered > 10.0:
            for key in self.on():
                self.world.left(self, key)
            self.tasks.clear()
            self.session += 1
            self.answered = now
        if now < self.hung_until:
            return
        for key, task in list(self.tasks.items()):
            job_id = key[0].partition("/")[0]
            job = self.world.jobs[job_id]
            if task.state == "pulling" and now >= task.until:
                self.begin(key, task, now)
            elif task.state == "waiting":
                self.world.gang(job_id, key[1], now)
            elif task.state == "running" and job["shape"] != "daemon" and now >= task.until:
                self.finish(key, task)

    def finish(self, key: tuple[str, int], task: Task) -> None:
        job_id, _, number = key[0].partition("/")
        self.world.left(self, key)
        whole = self.world.jobs[job_id]
        # Gangs complete together: if one task is done, all are.
        self.world.results[job_id].update(
            range(whole["pieces"]) if whole["shape"] == "ensemble" else [int(number)]
        )
        task.state, task.why = "exited", "done"
        self.world.ended(job_id)

    async def run(self) -> None:
        w = self.world
        await curio.sleep(max(0.0, self.up_at - w.clock()))
        target = w.rng.choice(w.labels)
        due = 0.0
        while not self.gone:
            await curio.sleep(0.2)
            self.step()
            now = w.clock()
            if now < due or now < self.hung_until or self.gone:
                continue
            body = json.dumps(self.report()).encode()
            session = self.session
            if w.late_reports and w.rng.random() < w.late_reports:
                await curio.spawn(w.again, self.name, body, daemon=True)
            if w.kept_reports and w.rng.random() < w.kept_reports:
                w.copies.append((self.name, body))
            try:
                status, raw = await w.deliver(self.name, target, "POST", "/v1/report", body, 4.0)
                answer = json.loads(raw)
            except http.NoAnswerError:
                status, answer = 0, {}
            due = w.clock() + w.rng.uniform(0.75, 1.25)
            if status == 200:
                if answer.get("epoch", -1) >= self.token and session == self.session:
                    self.token = answer["epoch"]
                    self.answered = max(self.answered, now)
                    w.issued(answer["orders"])
                    self.execute(answer["orders"])
            elif (
                status == 421
                and answer.get("upstream") in w.labels
                and answer["upstream"] != target
            ):
                target, due = answer["upstream"], w.clock()
            else:
                target = w.labels[(w.labels.index(target) + 1) % len(w.labels)]

    def handle(self, method: str, path: str, body: Any) -> tuple[int, Any]:
        if path == "/inspect":
            return 200, self.report()
        if body["epoch"] < self.token or body["tenure"] != self.session:
            return 409, self.report()
        self.token = body["epoch"]
        self.execute(body["orders"])
        return 200, self.report()
