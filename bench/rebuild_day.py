"""Benchmark of a whole rebuild in simulated time, after the state service has lost everything.

    python -m bench.rebuild_day [--machines 600] [--jobs 5000] [--controllers 5] [--ends]

The benchmark runs the simulated world of the tests with the limits of a large fleet. The
machines are up and run `--tasks` tasks of each job, and the state service holds the matching
records. Then an outage of 3 s begins, the state service loses all records, and the tasks of
some machines end.

The benchmark prints the time until the records are whole and the next epoch has begun, the time
until tasks are launched again, the time that the write limit alone would take, the processor
time of all controllers and the simulated world (one process), the longest time for which any
machine received no answer that renews its lease, and the number of violated rules. With
`--ends`, all controllers crash at the moment of the loss, so that they must ask the machines.
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

STATE_LIMITS = {"rps": 700.0, "write_rps": 300.0, "value_kb": 32.0, "txn_ops": 32}


class LargeWorld(World):
    """Simulated world for large fleets.

    The check that a task runs only once looks up the machine on which the task last started,
    instead of searching all machines at each start.
    """

    def __init__(self, clock: Clock, controllers: int) -> None:
        super().__init__(clock, 1, controllers, rebuild=True)
        self.state.past = []
        self.running_on: dict[str, str] = {}

    def entered(self, worker: Any, key: tuple[str, int]) -> None:
        """Count a started task and record a violation if the task still runs elsewhere."""
        self.launches += 1
        previous = self.running_on.get(key[0])
        if (
            previous is not None
            and previous != worker.name
            and key[0] in (k[0] for k in self.workers[previous].occupying_tasks())
        ):
            self.violations.append(f"ran_twice {key[0]} on {worker.name} and {previous}")
        self.running_on[key[0]] = worker.name

    def cloud(self, method: str, path: str, body: Any) -> tuple[int, Any]:
        """Answer a request to the cloud, which has no machines to rent."""
        if path == "/hosts" and method == "POST":
            return 503, {"error": "no capacity"}
        if path.startswith("/hosts?"):
            query = dict(pair.split("=", 1) for pair in path.partition("?")[2].split("&"))
            machines = sorted(
                name
                for name, worker in self.workers.items()
                if not worker.gone and name > query.get("since", "")
            )
            max_machines = int(query.get("most", 500))
            return 200, {
                "hosts": [
                    {
                        "id": name,
                        "address": self.workers[name].address,
                        "flavor": self.workers[name].kind,
                        "site": self.workers[name].zone,
                        "loaners": False,
                        "status": "running",
                        "held_s": 100.0,
                    }
                    for name in machines[:max_machines]
                ],
                "more": len(machines) > max_machines,
            }
        return super().cloud(method, path, body)


def populate(world: LargeWorld, machine_count: int, job_count: int, tasks_per_job: int) -> None:
    """Add running machines and jobs, and the records that describe them.

    One of the four task slots of each machine stays free, so that tasks of a machine that ends can
    run elsewhere.
    """
    now = world.clock()
    for n in range(machine_count):
        name = world.boot("plain", "north" if n % 2 else "south", False)
        worker = world.workers[name]
        worker.up_at = worker.answered = now
        worker.images.add("img-1")
    names = sorted(world.workers)
    world.state.rev = 2
    free_slots = {n: 3 for n in names}  # of four task slots
    next_machine = 0
    for number in range(job_count):
        description = job(number, pieces=tasks_per_job, vcpus=2.0, loaners=False, guess_s=1e5)
        name = description["id"]
        world.jobs[name], world.run_s[name], world.results[name] = description, 1e9, set()
        world.accepted.add(name)
        chunk = Chunk()
        for task in range(tasks_per_job):
            while next_machine < len(names) and free_slots[names[next_machine]] == 0:
                next_machine += 1
            if next_machine == len(names):
                break
            chunk.assigned[task] = (1, names[next_machine])
            chunk.last_attempt = 1
            free_slots[names[next_machine]] -= 1
            key = (f"{name}/{task}", 1)
            worker = world.workers[names[next_machine]]
            worker.launch(key, now)
            worker.tasks[key].until = now + 1e9
        world.state.keys[live_key(name)] = ({"j": description, "t": now + 1e9}, 2, None)
        if chunk.assigned:
            world.state.keys[chunk_key(name, 0)] = (chunk.value(), 2, None)
    world.state.keys[quota_key("tight")] = ({"c": 0.0, "g": 0.0}, 2, None)
    world.state.remember()


async def wait_until(clock: Clock, condition: Any, timeout_s: float) -> float:
    """Wait until `condition()` is true, for at most `timeout_s`; return the seconds waited."""
    started = clock()
    while not condition() and clock() - started < timeout_s:
        await curio.sleep(0.1)
    return clock() - started


async def run_rebuild(clock: Clock, args: argparse.Namespace) -> None:
    """Run the simulated deployment, drop its records and print how the rebuild went."""
    world = LargeWorld(clock, args.controllers)
    populate(world, args.machines, args.jobs, args.tasks)
    for label in world.labels:
        await world.start(label)
    await curio.spawn(world.spawner, daemon=True)

    def all_serving() -> bool:
        return len(world.controllers) == args.controllers and all(
            controller.membership.serving for controller in world.controllers.values()
        )

    print(f"start: serving after {await wait_until(clock, all_serving, 600.0):.1f} s")
    await curio.sleep(10.0)
    record_count, launches_before = len(world.state.keys), world.launches
    print(f"lost now: {record_count} records")
    epoch_before = max(
        controller.membership.epoch.number for controller in world.controllers.values()
    )
    lost_at, processor_before = clock(), time.process_time()
    world.state.outage(lost_at, 3.0)
    world.state.roll_back(1e9)
    for worker in list(world.workers.values())[:20]:
        for task in worker.tasks.values():
            task.until = lost_at + 1.0  # frees room for waiting tasks
    if args.ends:
        for label in list(world.controllers):
            await world.crash(label)
        await curio.sleep(0.3)
        for label in world.labels:
            await world.start(label)
    longest_unanswered_s = 0.0

    async def watch_answers() -> None:
        nonlocal longest_unanswered_s
        while True:
            await curio.sleep(0.5)
            longest_unanswered_s = max(
                longest_unanswered_s,
                *(clock() - w.answered for w in world.workers.values() if not w.gone),
            )

    watcher = await curio.spawn(watch_answers, daemon=True)
    await wait_until(
        clock,
        lambda: world.state.keys.get("c/lineage", ({"state": ""},))[0]["state"] == "whole"
        and any(
            controller.membership.epoch.number > epoch_before
            for controller in world.controllers.values()
        ),
        3000.0,
    )
    whole_after_s = clock() - lost_at
    await wait_until(clock, all_serving, 300.0)
    print(
        f"records whole {whole_after_s:.1f} s after the loss (outage 3 s), all serving after "
        f"{clock() - lost_at:.1f} s; by the write limit alone "
        f"{record_count / STATE_LIMITS['write_rps']:.1f} s"
    )
    print(
        f"processor time {time.process_time() - processor_before:.1f} s, "
        "all controllers and the world"
    )
    await wait_until(clock, lambda: world.launches > launches_before, 120.0)
    print(f"tasks were launched again {clock() - lost_at:.1f} s after the loss")
    await watcher.cancel()
    print(
        f"longest without an answer that renews a lease: {longest_unanswered_s:.1f} s; "
        "leases ended: "
        f"{sum(w.session > 1 for w in world.workers.values())}; rules broken: "
        f"{len(world.violations)}; live jobs "
        f"{sum(key.startswith('c/live/') for key in world.state.keys)} of {args.jobs}"
    )


def main() -> int:
    """Parse the arguments, run the benchmark and return the exit status."""
    parser = argparse.ArgumentParser(
        description="Simulate a rebuild of all records and print how it went."
    )
    parser.add_argument("--machines", type=int, default=600)
    parser.add_argument("--jobs", type=int, default=5000)
    parser.add_argument("--tasks", type=int, default=1, help="tasks of each job")
    parser.add_argument("--controllers", type=int, default=5)
    parser.add_argument(
        "--ends", action="store_true", help="crash all controllers at the moment of the loss"
    )
    parser.add_argument("--log", action="store_true", help="log the events of the rebuild")
    args = parser.parse_args()
    if min(args.machines, args.jobs, args.tasks, args.controllers) < 1:
        parser.error("--machines, --jobs, --tasks and --controllers must be positive")
    logging.basicConfig(level=logging.ERROR)
    if args.log:
        logging.getLogger("clayport.rebuild").setLevel(logging.INFO)
    SETTINGS["state"] = STATE_LIMITS
    SETTINGS["workers"] = {
        "report_s": 2.5,
        "lease_s": 15.25,
        "gang_wait_s": 30.0,
        "gang_peer_s": 4.0,
        "cancel_s": 45.25,
    }
    SETTINGS["objectives"] = []
    SETTINGS["cloud"] = {"rps": 3.5, "list_lag_s": 3.0}
    print(json.dumps(vars(args)))
    with pytest.MonkeyPatch.context() as monkeypatch:
        simulate(monkeypatch, lambda clock: run_rebuild(clock, args))
    return 0


if __name__ == "__main__":
    raise SystemExit(main())
