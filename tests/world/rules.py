"""The rules that must not be broken, checked from outside the controllers."""

from __future__ import annotations

from typing import Any

import curio

from .machine import Worker


class Rules:
    """Notes in `broken` what a rule forbids. `World` is the rest of it."""

    def entered(self, worker: Worker, key: tuple[str, int]) -> None:
        task = key[0]
        job_id = task.split("/")[0]
        job = self.jobs[job_id]
        self.launches += 1
        since = self.cancelled.get(job_id)
        if since is not None and self.clock() - since > 35.0:
            self.broken.append(f"ran_cancelled {task} starts on {worker.name}")
        if since is not None:
            self.started_cancelled.append((task, self.clock() - since))
        for need in job.get("prereqs") or ():
            if len(self.results[need]) < self.jobs[need]["pieces"]:
                self.broken.append(f"too_early {task} before {need}")
        for other in self.workers.values():
            if other is not worker and any(k[0] == task for k in other.on()):
                self.broken.append(f"ran_twice {task} on {worker.name} and {other.name}")
        if (
            (worker.spot and not job["loaners"])
            or (job["flavors"] and worker.kind not in job["flavors"])
            or (job["site"] and job["site"] != worker.zone)
        ):
            self.broken.append(f"wrong_place {task} on {worker.name}")
        zones = {}
        for other in self.workers.values():
            for k in other.on():
                if k[0].split("/")[0] == job_id:
                    zones[other.zone] = zones.get(other.zone, 0) + 1
        if job["together"] and len(zones) > 1:
            self.broken.append(f"wrong_place {task}: zones {zones}")
        if job["scatter"] and zones[worker.zone] > (job["pieces"] + 1) // 2:
            self.broken.append(f"wrong_place {task}: scattered {zones}")
        if job["owner"] == "tight":
            used = sum(
                self.jobs[k[0].split("/")[0]]["cards"]
                for o in self.workers.values()
                for k in o.on()
                if self.jobs[k[0].split("/")[0]]["owner"] == "tight"
            )
            if used > 4.0 + 1e-6:
                self.broken.append(f"quota {used} with {task}")

    def left(self, worker: Worker, key: tuple[str, int]) -> None:
        """A task of a gang that leaves takes the others of its attempt with it."""
        job_id = key[0].split("/")[0]
        if self.jobs[job_id]["shape"] != "ensemble":
            return
        task = worker.tasks[key]
        if task.state != "running" or self.clock() >= task.until:
            return
        for other in self.workers.values():
            for k, t in other.tasks.items():
                if (
                    k != key
                    and k[1] == key[1]
                    and k[0].split("/")[0] == job_id
                    and t.state == "running"
                ):
                    t.state, t.why = "exited", "mates_gone"

    def gang(self, job_id: str, attempt: int, now: float) -> None:
        members = [
            (w, k, t)
            for w in self.workers.values()
            for k, t in w.tasks.items()
            if k[1] == attempt and k[0].split("/")[0] == job_id and t.state == "waiting"
        ]
        if len(members) == self.jobs[job_id]["pieces"]:
            for _, _, task in members:
                task.state, task.until = "running", now + self.run_s[job_id]

    async def watch_rules(self) -> None:
        while True:
            await curio.sleep(0.5)
            now = self.clock()
            for worker in self.workers.values():
                for task, _ in worker.on():
                    since = self.cancelled.get(task.split("/")[0])
                    if since is not None and now - since > 35.0:
                        self.broken.append(f"ran_cancelled {task} on {worker.name}")

    def issued(self, orders: list[dict[str, Any]]) -> None:
        """A controller gives these commands now."""
        for order in orders:
            since = self.cancelled.get(order["piece"].partition("/")[0])
            if order["verb"] == "launch" and since is not None:
                self.issued_cancelled.append((order["piece"], self.clock() - since))

    def ended(self, job_id: str) -> None:
        """The last task of a job may have ended; some users call it off at that moment."""
        if (
            self.cancelled_at_end
            and len(self.results[job_id]) == self.jobs[job_id]["pieces"]
            and self.rng.random() < self.cancelled_at_end
        ):
            self.late.append(lambda: self.abort(job_id))
