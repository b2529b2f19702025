"""A simulated cloud that rents out machines."""

from __future__ import annotations

from typing import Any

from .machine import Worker
from .settings import TYPES


class Cloud:
    """Mixin of `World` that rents out, lists and takes back machines."""

    def cloud(self, method: str, path: str, body: Any) -> tuple[int, Any]:
        """Answer a request to the cloud, which never has more than `World.capacity` machines."""
        now = self.clock()
        if path == "/catalog":
            return 200, {"flavors": TYPES}
        if path == "/hosts" and method == "POST":
            if body["rental"] not in self.rentals:
                alive = sum(not w.gone for w in self.workers.values())
                count = min(body["number"], max(0, self.capacity - alive))
                if count == 0:
                    return 503, {"error": "no capacity"}
                self.rentals[body["rental"]] = [
                    self.boot(body["flavor"], body["site"], body["loaners"]) for _ in range(count)
                ]
            return 200, {"hosts": self.rentals[body["rental"]]}
        if path == "/hosts/return":
            for name in body["hosts"]:
                if name in self.workers:
                    self.kill(self.workers[name])
            return 200, {}
        return 200, {
            "hosts": [
                {
                    "id": w.name,
                    "address": w.address,
                    "flavor": w.kind,
                    "site": w.zone,
                    "loaners": w.spot,
                    "status": "running" if now >= w.up_at else "starting",
                    "held_s": 1.0,
                }
                for w in self.workers.values()
                if not w.gone
            ],
            "more": False,
        }

    def boot(self, kind: str, zone: str, spot: bool) -> str:
        """Create a machine that comes up after its boot time; return its name."""
        self.machine_number += 1
        name = f"i-{self.machine_number:06d}"
        self.workers[name] = Worker(self, name, kind, zone, spot)
        self.deferred_routines.append(self.workers[name].run)
        return name

    def kill(self, worker: Worker) -> None:
        """End a machine with all its tasks."""
        for key in worker.occupying_tasks():
            self.stop_gang_mates(worker, key)
        worker.gone = True
        worker.tasks.clear()
