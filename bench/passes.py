"""A placer's pass over many waiting jobs on a busy fleet, and the passes that follow reports.

    python -m bench.passes [--jobs 10000] [--machines 639] [--passes 20]

One controller without any network: it is home to all jobs and owner of no machine; the
cached state is filled as a peer's table would. The first pass looks at everything; before each
of the others `REPORTS` machines are shown anew. It runs on earlier sources as well (with
their own way to fill the cached state), so that both are timed by the same lines.
"""

from __future__ import annotations

import argparse
import json
import random
import statistics
import time
from collections.abc import Callable

from clayport.controller import Controller
from clayport.jobs.managed_job import ManagedJob
from clayport.membership.epoch import Epoch
from clayport.scheduling.room import Room
from clayport.settings import parse

from . import fleets

REPORTS = 5


def controller() -> Controller:
    """One with the settings of a fleet, alone in its epoch."""
    cluster = {
        "size": 1,
        "zones": ["a", "b"],
        "teams": [{"name": "team"}],
        "objectives": [
            {"kind": "finished", "class": "sweep-normal", "within_s": 120.0, "share": 0.9},
            {"kind": "finished", "class": "sweep-best_effort", "within_s": 250.0, "share": 0.9},
        ],
        "workers": {
            "report_s": 2.5,
            "lease_s": 15.0,
            "gang_wait_s": 50.0,
            "gang_peer_s": 4.0,
            "cancel_s": 45.0,
        },
        "state": {"rps": 700.0, "write_rps": 300.0, "value_kb": 32.0, "txn_ops": 32},
        "cloud": {"rps": 3.5, "list_lag_s": 3.0},
        "machine_limits": {"core_share": 1.0, "mem_mb": 400.0, "max_sockets": 1000},
        "clock_error_ms": 25.0,
    }
    core = Controller(
        parse(
            json.dumps(
                {
                    "label": "host-0",
                    "location": "a",
                    "bind": "127.0.0.1:1",
                    "peer_bind": "127.0.0.1:2",
                    "members": [],
                    "services": {"cloud": "127.0.0.1:3", "state": "127.0.0.1:4"},
                    "cluster": cluster,
                }
            ).encode()
        )
    )
    core.catalogue.types = fleets.TYPES
    core.machines.types = {t.name: t for t in fleets.TYPES}
    core.membership.epoch = Epoch(1, {"host-0": "x"}, 1)
    core.machines.begin(core.membership.epoch, "host-0")
    return core


def show(core: Controller, room: Room) -> None:
    """As a refresh would."""
    core.view.index.add(room)


def one_pass(core: Controller, clock: Callable[[], float] = time.perf_counter) -> float:
    """Seconds by `clock` that it took; what it placed is dropped, so that all go on waiting."""
    start = clock()
    core.placer._pass(time.monotonic())
    took = clock() - start
    for managed in core.jobs.managed.values():
        if managed.starts:
            core.queue.touch(managed.job.id)
        managed.starts.clear()
        managed.being_placed.clear()
        managed.requeued.clear()
        managed.cursor = 0
    core.cached_state.inflight.clear()
    for coro in core.routines.coroutines:
        coro.close()
    core.routines.coroutines.clear()
    core.routines.signalled.clear()
    return took


def busy(jobs: int, machines: int, rng: random.Random) -> tuple[Controller, list[Room]]:
    """A controller to which so many jobs wait at home, and the rooms of a busy fleet."""
    core = controller()
    there = fleets.rooms(machines, rng)
    for room in there:
        show(core, room)
    for job in fleets.jobs(jobs, rng):
        job = core.objectives.with_objectives(job)
        core.jobs.live[job.id] = (job, 1)
        core.jobs.managed[job.id] = ManagedJob(job, 1, 500, time.monotonic())
        core.queue.touch(job.id)
    return core, there


def main() -> None:
    """Time whole placement passes for a given number of waiting jobs and print the times."""
    args = argparse.ArgumentParser(description="Time a placer's passes.")
    args.add_argument("--jobs", type=int, default=10_000)
    args.add_argument("--machines", type=int, default=639)
    args.add_argument("--passes", type=int, default=20)
    chosen = args.parse_args()
    rng = random.Random(1)
    core, there = busy(chosen.jobs, chosen.machines, rng)
    first = one_pass(core)
    later = []
    for _ in range(chosen.passes):
        for room in rng.sample(there, REPORTS):
            show(core, room)
        later.append(one_pass(core))
    print(
        f"{chosen.jobs} jobs, {chosen.machines} machines: first pass {first * 1e3:.1f} ms, "
        f"later ones {statistics.median(later) * 1e3:.2f} ms "
        f"({min(later) * 1e3:.2f} to {max(later) * 1e3:.2f})"
    )


if __name__ == "__main__":
    main()
