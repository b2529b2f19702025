"""A machine of the simulated cloud, and the worker that runs on it."""

from __future__ import annotations

import json
import math
from typing import TYPE_CHECKING, Any

import curio

from clayport.transport import http

from .settings import TYPES

if TYPE_CHECKING:
    from .deployment import World


class Task:
    """A task on a machine, in the states of the worker protocol.

    Attributes:
        until: The time at which the image is fetched, or at which the running task is done.
        fails_at: The time at which the started task exits with an error.
        cause: Why the task has exited.
        snapshot_stored: Whether the task stored a snapshot before it exited.
    """

    def __init__(self, state: str, until: float) -> None:
        self.state, self.until, self.cause, self.snapshot_stored = state, until, "", False
        self.fails_at = math.inf


class Worker:
    """A machine and its worker, which follows the worker protocol."""

    def __init__(self, world: World, name: str, kind: str, zone: str, spot: bool) -> None:
        self.world, self.name, self.kind, self.zone, self.spot = world, name, kind, zone, spot
        self.address = f"{name}:9000"
        self.up_at = world.clock() + world.rng.uniform(*world.boot_s)
        self.gone = False
        self.hung_until = 0.0
        self.session, self.report_counter, self.token = 1, 0, 0
        self.answered = self.up_at
        self.tasks: dict[tuple[str, int], Task] = {}
        self.images: set[str] = set()

    def alive(self) -> bool:
        return not self.gone and self.world.clock() >= self.up_at

    def occupying_tasks(self) -> list[tuple[str, int]]:
        """Return the tasks that the rules count as being on the machine."""
        return [k for k, t in self.tasks.items() if t.state in ("running", "saving", "waiting")]

    def report(self) -> dict[str, Any]:
        """Return the body of the next report."""
        self.report_counter += 1
        pieces = []
        for (task, attempt), t in self.tasks.items():
            piece: dict[str, Any] = {"piece": task, "try": attempt, "status": t.state}
            if t.state == "exited":
                piece.update(cause=t.cause, stored=t.snapshot_stored)
            pieces.append(piece)
        return {
            "host": self.name,
            "address": self.address,
            "flavor": self.kind,
            "site": self.zone,
            "loaners": self.spot,
            "tenure": self.session,
            "counter": self.report_counter,
            "epoch": self.token,
            "reclaim_in_s": None,
            "pieces": pieces,
        }

    def execute(self, orders: list[dict[str, Any]]) -> None:
        """Execute commands that have passed the checks of token and session."""
        now = self.world.clock()
        for order in orders:
            key = (order["piece"], order["try"])
            task = self.tasks.get(key)
            if order["verb"] == "launch" and task is None:
                self.launch(key, now)
            elif order["verb"] == "kill" and task is not None and task.state != "exited":
                self.world.stop_gang_mates(self, key)
                task.state, task.cause = "exited", "stopped"
            elif order["verb"] == "clear" and task is not None and task.state == "exited":
                del self.tasks[key]

    def launch(self, key: tuple[str, int], now: float) -> None:
        """Start a task, or let it exit at once if it already runs here or lacks room."""
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
            task.state, task.cause = "exited", "busy"
        elif any(
            sum(j[f] for j in used) + job[f] > kind[f] + 1e-6 for f in ("vcpus", "cards", "ram_gb")
        ):
            task.state, task.cause = "exited", "no_room"
        else:
            task.until = now + 1.5
            if job["bundle"] in self.images:
                self.start_task(key, task, now)  # the task counts as on the machine from here

    def start_task(self, key: tuple[str, int], task: Task, now: float) -> None:
        """Start a task whose image has been fetched."""
        job_id, _, number = key[0].partition("/")
        job = self.world.jobs[job_id]
        self.images.add(job["bundle"])
        task.state = "waiting" if job["shape"] == "ensemble" else "running"
        task.until = now + self.world.run_s[job_id] * (1 + self.world.run_time_spread * int(number))
        self.world.entered(self, key)
        if (
            self.name in self.world.failing_machines
            or job_id in self.world.failing_jobs
            or self.world.draw_fault("failing_tasks")
        ):
            task.fails_at = now + self.world.rng.uniform(0.2, 3.0)
        if int(number) in self.world.results[job_id]:
            self.complete_task(key, task)

    def advance(self) -> None:
        """Advance the tasks to the current time, and drop all of them if the lease has expired.

        A machine that hangs does neither, so its tasks stay on it until it goes on or is returned.
        """
        now = self.world.clock()
        if now < self.hung_until:
            return
        if now - self.answered > 10.0:
            for key in self.occupying_tasks():
                self.world.stop_gang_mates(self, key)
            self.tasks.clear()
            self.session += 1
            self.answered = now
        for key, task in list(self.tasks.items()):
            job_id = key[0].partition("/")[0]
            job = self.world.jobs[job_id]
            if task.state == "pulling" and now >= task.until:
                self.start_task(key, task, now)
            elif task.state in ("running", "waiting") and now >= task.fails_at:
                self.world.stop_gang_mates(self, key)
                task.state, task.cause = "exited", "error"
            elif task.state == "waiting":
                self.world.start_complete_gang(job_id, key[1], now)
            elif task.state == "running" and job["shape"] != "daemon" and now >= task.until:
                self.complete_task(key, task)

    def restart(self, keeps_fence: bool) -> None:
        """Let the machine end and be back at once, without its tasks.

        Args:
            keeps_fence: Whether the worker still knows its session and the highest token that it
                has seen; otherwise both begin anew, and so does the counter of its reports.
        """
        for key in self.occupying_tasks():
            self.world.stop_gang_mates(self, key)
        self.tasks.clear()
        self.images.clear()
        self.answered = self.world.clock()
        if not keeps_fence:
            self.session, self.report_counter, self.token = 1, 0, 0

    def complete_task(self, key: tuple[str, int], task: Task) -> None:
        """Let a task exit as done."""
        job_id, _, number = key[0].partition("/")
        self.world.stop_gang_mates(self, key)
        job = self.world.jobs[job_id]
        # A gang completes as a whole: if one of its tasks is done, all are.
        self.world.results[job_id].update(
            range(job["pieces"]) if job["shape"] == "ensemble" else [int(number)]
        )
        task.state, task.cause = "exited", "done"
        self.world.cancel_ending_job(job_id)

    async def run(self) -> None:
        """Send reports and execute the commands in their answers until the machine ends."""
        world = self.world
        await curio.sleep(max(0.0, self.up_at - world.clock()))
        target = world.rng.choice(world.labels)
        due = 0.0
        while not self.gone:
            await curio.sleep(0.2)
            self.advance()
            now = world.clock()
            if now < due or now < self.hung_until or self.gone:
                continue
            body = json.dumps(self.report()).encode()
            session = self.session
            if world.late_reports and world.rng.random() < world.late_reports:
                await curio.spawn(world.deliver_copy_late, self.name, body, daemon=True)
            if world.kept_reports and world.rng.random() < world.kept_reports:
                world.report_copies.append((self.name, body))
            try:
                status, raw = await world.deliver(
                    self.name, target, "POST", "/v1/report", body, 4.0
                )
                answer = json.loads(raw)
            except http.NoAnswerError:
                status, answer = 0, {}
            due = world.clock() + world.rng.uniform(0.75, 1.25)
            if status == 200:
                if answer.get("epoch", -1) >= self.token and session == self.session:
                    self.token = answer["epoch"]
                    self.answered = max(self.answered, now)
                    world.record_commands(answer["orders"])
                    self.execute(answer["orders"])
            elif (
                status == 421
                and answer.get("upstream") in world.labels
                and answer["upstream"] != target
            ):
                target, due = answer["upstream"], world.clock()
            else:
                target = world.labels[(world.labels.index(target) + 1) % len(world.labels)]

    def handle(self, method: str, path: str, body: Any) -> tuple[int, Any]:
        """Answer a controller's direct request: an inspection or commands."""
        if path == "/inspect":
            return 200, self.report()
        if body["epoch"] < self.token or body["tenure"] != self.session:
            return 409, self.report()
        self.token = body["epoch"]
        self.execute(body["orders"])
        return 200, self.report()
