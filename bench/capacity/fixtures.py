"""Controllers, jobs and worker reports of a given size, without a network."""

from __future__ import annotations

import json
import time
from typing import Any

import msgspec

from bench import fleets, passes
from clayport.controller import Controller
from clayport.model import Job
from tests.world import job as submission


def build_controller() -> Controller:
    """Build a controller that serves alone and may always renew leases.

    Its records always count as just read.
    """
    controller = passes.build_controller()
    controller.membership.serving = controller.membership.records_loaded = True
    controller.watermark.disclosures_known_until = time.monotonic  # type: ignore[method-assign]
    return controller


def build_job(number: int, **fields: Any) -> Job:
    """Build a job as a controller decodes it from its submission."""
    encoded = json.dumps(submission(number, owner="team", **fields)).encode()
    return msgspec.json.decode(encoded, type=Job)


class WorkerStub:
    """Builds the reports of one machine's worker."""

    def __init__(self, controller: Controller, number: int, tasks: int) -> None:
        self.machine = f"i-{number:06d}"
        self.machine_type = fleets.MACHINE_TYPES[number % len(fleets.MACHINE_TYPES)].name
        self.counter = 0
        self.token = controller.machines.machine(self.machine, time.monotonic()).token
        self.task_reports: list[dict[str, Any]] = [
            {"piece": f"j-000001/{number * 100 + task}", "try": 1, "status": "running"}
            for task in range(tasks)
        ]

    def next_report(self) -> bytes:
        """Return the encoded body of the next report."""
        self.counter += 1
        report = {
            "host": self.machine,
            "address": f"10.1.0.{self.counter % 200}:9000",
            "flavor": self.machine_type,
            "site": "a",
            "loaners": False,
            "tenure": 1,
            "counter": self.counter,
            "epoch": self.token,
            "reclaim_in_s": None,
            "pieces": self.task_reports,
        }
        return json.dumps(report, separators=(",", ":")).encode()

    def toggle_first_task(self) -> None:
        """Switch the first task between running and saving."""
        first = self.task_reports[0]
        first["status"] = "saving" if first["status"] == "running" else "running"
