"""A whole rebuild in simulated time, at a size: everything that the state service held is lost.

    python -m bench.rebuild_day [--machines 600] [--jobs 5000] [--controllers 5] [--ends]

The tests' world with a fleet's limits: machines are up, each with its share of the jobs' tasks
running (`--tasks` of each job), records and controllers as they would be. Then the state
service loses all of it in an outage of 3 s, in which some tasks end. Printed: how long until
the records are whole and the epoch begun, until tasks are launched again, what the write
limit alone would take, the processor time that it took (all controllers and the world, one
process), the longest that any machine went without an answer that renewed its lease, and rules
broken. `--ends` has all controllers end with the loss: the machines are asked then.
"""

from __future__ import annotations

import argparse
import json
import logging
import time
from typing import Any

import curio
import pytest

from clayport.records.chunk import Chunk
from clayport.records.keys import chunk_key, live_key, quota_key
from tests.world import SETTINGS, Clock, World, job, simulate

STATE = {"rps": 700.0, "write_rps": 300.0, "value_kb": 32.0, "txn_ops": 32}


class Large(World):
    """The world without looks at all machines for each start."""

    def __init__(self, clock: Clock, controllers: int) -> None:
        super().__init__(clock, 1, controllers, rebuild=True)
        self.state.past = []
        self.where: dict[str, str] = {}

    def entered(self, worker: Any, key: tuple[str, int]) -> None:
        """Count a task that has started and note it if it runs elsewhere too."""
        self.launches += 1
        other = self.where.get(key[0])
        if (
            other is not None
            and other != worker.name
            and key[0] in (k[0] for k in self.workers[other].on())
        ):
            self.broken.append(f"ran_twice {key[0]} on {worker.name} and {other}")
        self.where[key[0]] = worker.name

    def cloud(self, method: str, path: str, body: Any) -> tuple[int, Any]:
        """Answer a request to the cloud; nothing can be rented."""
        if path == "/hosts" and method == "POST":
            return 503, {"error": "no capacity"}
        if path.startswith("/hosts?"):
            args = dict(p.split("=", 1) for p in path.partition("?")[2].split("&"))
            names = sorted(
                n for n, w in self.workers.items() if not w.gone and n > args.get("since", "")
            )
            most = int(args.get("most", 500))
            return 200, {
                "hosts": [
                    {
                        "id": n,
                        "address": self.workers[n].address,
                        "flavor": self.workers[n].kind,
                        "site": self.workers[n].zone,
                        "loaners": False,
                        "status": "running",
                        "held_s": 100.0,
                    }
                    for n in names[:most]
                ],
                "more": len(names) > most,
            }
        return super().cloud(method, path, body)


def furnish(world: Large, machines: int, jobs: int, tasks: int) -> None:
    """Machines that run, and the records that say so."""
    now = world.clock()
    for n in range(machines):
        name = world.boot("plain", "north" if n % 2 else "south", False)
        worker = world.workers[name]
        worker.up_at = worker.answered = now
        worker.images.add("img-1")
    names = sorted(world.workers)
    world.state.rev = 2
    room = {n: 3 for n in names}  # of four: where a machine ends there is room elsewhere
    at = 0
    for number in range(jobs):
        value = job(number, pieces=tasks, vcpus=2.0, loaners=False, guess_s=1e5)
        name = value["id"]
        world.jobs[name], world.run_s[name], world.results[name] = value, 1e9, set()
        world.accepted.add(name)
        chunk = Chunk()
        for task in range(tasks):
            while at < len(names) and room[names[at]] == 0:
                at += 1
            if at == len(names):
                break
            chunk.assigned[task] = (1, names[at])
            chunk.last_attempt = 1
            room[names[at]] -= 1
            key = (f"{name}/{task}", 1)
            worker = world.workers[names[at]]
            worker.launch(key, now)
            worker.tasks[key].until = now + 1e9
        world.state.keys[live_key(name)] = ({"j": value, "t": now + 1e9}, 2, None)
        if chunk.assigned:
            world.state.keys[chunk_key(name, 0)] = (chunk.value(), 2, None)
    world.state.keys[quota_key("tight")] = ({"c": 0.0, "g": 0.0}, 2, None)
    world.state.remember()


async def until(clock: Clock, done: Any, most_s: float) -> float:
    """Wait until `done()` is true, at most `most_s` seconds; return the seconds waited."""
    began = clock()
    while not done() and clock() - began < most_s:
        await curio.sleep(0.1)
    return clock() - began


async def day(clock: Clock, chosen: argparse.Namespace) -> None:
    """Run the simulated deployment, lose its records and report the rebuild."""
    world = Large(clock, chosen.controllers)
    furnish(world, chosen.machines, chosen.jobs, chosen.tasks)
    for label in world.labels:
        await world.start(label)
    await curio.spawn(world.spawner, daemon=True)

    def serves() -> bool:
        return len(world.controllers) == chosen.controllers and all(
            c.membership.serving for c in world.controllers.values()
        )

    print(f"start: serving after {await until(clock, serves, 600.0):.1f} s")
    await curio.sleep(10.0)
    records, launches = len(world.state.keys), world.launches
    print(f"lost now: {records} records")
    number = max(c.membership.epoch.number for c in world.controllers.values())
    began, used = clock(), time.process_time()
    world.state.outage(began, 3.0)
    world.state.lose(1e9)
    for worker in list(world.workers.values())[:20]:
        for task in worker.tasks.values():
            task.until = began + 1.0  # what follows it is to be launched
    if chosen.ends:
        for label in list(world.controllers):
            await world.crash(label)
        await curio.sleep(0.3)
        for label in world.labels:
            await world.start(label)
    longest = 0.0

    async def leases() -> None:
        nonlocal longest
        while True:
            await curio.sleep(0.5)
            longest = max(
                longest, *(clock() - w.answered for w in world.workers.values() if not w.gone)
            )

    watching = await curio.spawn(leases, daemon=True)
    await until(
        clock,
        lambda: world.state.keys.get("c/lineage", ({"state": ""},))[0]["state"] == "whole"
        and any(c.membership.epoch.number > number for c in world.controllers.values()),
        3000.0,
    )
    whole = clock() - began
    await until(clock, serves, 300.0)
    print(
        f"records whole {whole:.1f} s after the loss (outage 3 s), all serving after "
        f"{clock() - began:.1f} s; by the write limit alone {records / STATE['write_rps']:.1f} s"
    )
    print(f"processor time {time.process_time() - used:.1f} s, all controllers and the world")
    await until(clock, lambda: world.launches > launches, 120.0)
    print(f"tasks were launched again {clock() - began:.1f} s after the loss")
    await watching.cancel()
    print(
        f"longest without an answer that renews a lease: {longest:.1f} s; leases ended: "
        f"{sum(w.session > 1 for w in world.workers.values())}; rules broken: "
        f"{len(world.broken)}; live jobs {sum(k.startswith('c/live/') for k in world.state.keys)}"
        f" of {chosen.jobs}"
    )


def main() -> int:
    """Parse the arguments, run the simulated day and return the exit status."""
    args = argparse.ArgumentParser(description="A whole rebuild in simulated time, at a size.")
    args.add_argument("--machines", type=int, default=600)
    args.add_argument("--jobs", type=int, default=5000)
    args.add_argument("--tasks", type=int, default=1, help="of each job")
    args.add_argument("--controllers", type=int, default=5)
    args.add_argument("--ends", action="store_true", help="all controllers end as well")
    args.add_argument("--log", action="store_true", help="the rebuild's own events")
    chosen = args.parse_args()
    if min(chosen.machines, chosen.jobs, chosen.tasks, chosen.controllers) < 1:
        args.error("positive numbers")
    logging.basicConfig(level=logging.ERROR)
    if chosen.log:
        logging.getLogger("clayport.rebuild").setLevel(logging.INFO)
    SETTINGS["state"] = STATE
    SETTINGS["workers"] = {
        "report_s": 2.5,
        "lease_s": 15.25,
        "gang_wait_s": 30.0,
        "gang_peer_s": 4.0,
        "cancel_s": 45.25,
    }
    SETTINGS["objectives"] = []
    SETTINGS["cloud"] = {"rps": 3.5, "list_lag_s": 3.0}
    print(json.dumps(vars(chosen)))
    with pytest.MonkeyPatch.context() as patch:
        simulate(patch, lambda clock: day(clock, chosen))
    return 0


if __name__ == "__main__":
    raise SystemExit(main())
