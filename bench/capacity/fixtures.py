"""Controllers, jobs and reports of a given size, without any network."""

from __future__ import annotations

import json
import time
from typing import Any

import msgspec

from bench import fleets, passes
from clayport.controller import Controller
from clayport.model import Job
from tests.world import job as submission


def controller() -> Controller:
    """One that serves alone and may renew leases: its records are always just read."""
    core = passes.controller()
    core.membership.serving = core.membership.records_loaded = True
    core.watermark.known_until = time.monotonic  # type: ignore[method-assign]
    return core


def described(number: int, **fields: Any) -> Job:
    """A job as a controller keeps it, decoded from its submission."""
    raw = json.dumps(submission(number, owner="team", **fields)).encode()
    return msgspec.json.decode(raw, type=Job)


class Reporter:
    """One machine's worker: makes the bodies of its reports."""

    def __init__(self, core: Controller, number: int, tasks: int) -> None:
        self.machine = f"i-{number:06d}"
        self.type = fleets.TYPES[number % len(fleets.TYPES)].name
        self.counter = 0
        self.token = core.machines.machine(self.machine, time.monotonic()).token
        self.pieces: list[dict[str, Any]] = [
            {"piece": f"j-000001/{number * 100 + task}", "try": 1, "status": "running"}
            for task in range(tasks)
        ]

    def body(self) -> bytes:
        """The next report."""
        self.counter += 1
        report = {
            "host": self.machine,
            "address": f"10.1.0.{self.counter % 200}:9000",
            "flavor": self.type,
            "site": "a",
            "loaners": False,
            "tenure": 1,
            "counter": self.counter,
            "epoch": self.token,
            "reclaim_in_s": None,
            "pieces": self.pieces,
        }
        return json.dumps(report, separators=(",", ":")).encode()

    def change(self) -> None:
        """The first task begins to save, or goes on."""
        first = self.pieces[0]
        first["status"] = "saving" if first["status"] == "running" else "running"
