"""The rules of the service, checked from outside the controllers."""

from __future__ import annotations

from typing import Any

import curio

from clayport.membership.epoch import Epoch
from clayport.records.keys import EPOCH_KEY, is_anchor

from .machine import Worker


class Rules:
    """Mixin of `World` that notes each violation of a rule in `violations`."""

    def entered(self, worker: Worker, key: tuple[str, int]) -> None:
        """Check the rules for a task that starts on a machine."""
        task = key[0]
        job_id = task.split("/")[0]
        job = self.jobs[job_id]
        self.launches += 1
        self.starts.append((self.clock(), worker.name, task))
        since = self.cancelled.get(job_id)
        if since is not None and self.clock() - since > 35.0:
            self.violations.append(f"ran_cancelled {task} starts on {worker.name}")
        if since is not None:
            self.started_cancelled.append((task, self.clock() - since))
        for prerequisite in job.get("prereqs") or ():
            if len(self.results[prerequisite]) < self.jobs[prerequisite]["pieces"]:
                self.violations.append(f"too_early {task} before {prerequisite}")
        for other in self.workers.values():
            if other is not worker and any(k[0] == task for k in other.occupying_tasks()):
                self.violations.append(f"ran_twice {task} on {worker.name} and {other.name}")
        if (
            (worker.spot and not job["loaners"])
            or (job["flavors"] and worker.kind not in job["flavors"])
            or (job["site"] and job["site"] != worker.zone)
        ):
            self.violations.append(f"wrong_place {task} on {worker.name}")
        zones = {}
        for other in self.workers.values():
            for k in other.occupying_tasks():
                if k[0].split("/")[0] == job_id:
                    zones[other.zone] = zones.get(other.zone, 0) + 1
        if job["together"] and len(zones) > 1:
            self.violations.append(f"wrong_place {task}: zones {zones}")
        if job["scatter"] and zones[worker.zone] > (job["pieces"] + 1) // 2:
            self.violations.append(f"wrong_place {task}: scattered {zones}")
        if job["owner"] == "tight":
            used = sum(
                self.jobs[k[0].split("/")[0]]["cards"]
                for o in self.workers.values()
                for k in o.occupying_tasks()
                if self.jobs[k[0].split("/")[0]]["owner"] == "tight"
            )
            if used > 4.0 + 1e-6:
                self.violations.append(f"quota {used} with {task}")

    def stop_gang_mates(self, worker: Worker, key: tuple[str, int]) -> None:
        """End the other running tasks of a gang attempt if one of its tasks ends too early."""
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
                    t.state, t.cause = "exited", "mates_gone"

    def start_complete_gang(self, job_id: str, attempt: int, now: float) -> None:
        """Start the tasks of a gang attempt once all of them wait on their machines."""
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
        """Check every half second that no task of a cancelled job stays on a machine."""
        while True:
            await curio.sleep(0.5)
            now = self.clock()
            for worker in self.workers.values():
                for task, _ in worker.occupying_tasks():
                    since = self.cancelled.get(task.split("/")[0])
                    if since is not None and now - since > 35.0:
                        self.violations.append(f"ran_cancelled {task} on {worker.name}")

    async def check_records_settle(self, within_s: float = 60.0) -> None:
        """Note a violation if the records of assigned tasks are not in order once all is calm."""
        end = self.clock() + within_s
        while found := self.unsettled_records():
            if self.clock() >= end:
                self.violations += found
                return
            await curio.sleep(1.0)

    def unsettled_records(self) -> list[str]:
        """Return what is wrong with the records of assigned tasks.

        The recorded usage of a team has to be that of its assigned tasks, and each job with such a
        record has to be led by the controller to which the epoch assigns it.
        """
        keys = {key: value for key, (value, _, _) in self.state.keys.items()}
        epoch = Epoch.parse(keys[EPOCH_KEY], 0)
        found = []
        used = dict.fromkeys((key for key in keys if key.startswith("quota/")), (0.0, 0.0))
        for key, value in keys.items():
            if not key.startswith("run/") or is_anchor(key):
                continue
            name = key.split("/")[1]
            leader = self.controllers.get(epoch.member_for(name))
            if leader is None or name not in leader.jobs.managed:
                found.append(f"led_by_nobody {key}")
            job = self.jobs[name]
            team = f"quota/{job['owner']}"
            if job["cards"] and team in used:
                count = len(value["a"])
                cpus, gpus = used[team]
                used[team] = (cpus + count * job["vcpus"], gpus + count * job["cards"])
        for key, usage in used.items():
            recorded = (keys[key]["c"], keys[key]["g"])
            if any(abs(a - b) > 1e-6 for a, b in zip(recorded, usage, strict=True)):
                found.append(f"usage {key}: {recorded} recorded, {usage} assigned")
        return found

    def record_commands(self, orders: list[dict[str, Any]]) -> None:
        """Note launches that a controller issues for jobs confirmed as cancelled."""
        for order in orders:
            since = self.cancelled.get(order["piece"].partition("/")[0])
            if order["verb"] == "launch" and since is not None:
                self.issued_cancelled.append((order["piece"], self.clock() - since))

    def cancel_ending_job(self, job_id: str) -> None:
        """Let a user cancel some of the jobs at the moment when their last task is done."""
        if (
            self.cancelled_at_end
            and len(self.results[job_id]) == self.jobs[job_id]["pieces"]
            and self.rng.random() < self.cancelled_at_end
        ):
            self.deferred_routines.append(lambda: self.abort(job_id))
