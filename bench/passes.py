"""Benchmark of the placer's passes over many waiting jobs on a busy fleet.

    python -m bench.passes [--jobs 10000] [--machines 639] [--passes 20]

The benchmark runs one controller without a network. The controller leads all jobs and owns no
machine, and the benchmark fills its cached state as a peer's table would. The first pass looks
at all waiting jobs. Before each later pass, the rooms of `UPDATES_PER_PASS` machines are updated
as if reports had arrived.
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

UPDATES_PER_PASS = 5


def build_controller() -> Controller:
    """Build a controller with the settings of a large fleet, alone in its epoch."""
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
    controller = Controller(
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
    controller.catalogue.types = fleets.MACHINE_TYPES
    controller.machines.types = {t.name: t for t in fleets.MACHINE_TYPES}
    controller.membership.epoch = Epoch(1, {"host-0": "x"}, 1)
    controller.machines.begin_epoch(controller.membership.epoch, "host-0")
    return controller


def update_room(controller: Controller, room: Room) -> None:
    """Enter a room into the cached state, as a refresh from its owner does."""
    controller.view.index.add(room)


def time_pass(controller: Controller, clock: Callable[[], float] = time.perf_counter) -> float:
    """Run one pass of the placer and return its duration in seconds by `clock`.

    The assignments of the pass are dropped, so that all jobs wait again in the next pass.
    """
    started = clock()
    controller.placer._pass(time.monotonic())
    elapsed = clock() - started
    for managed in controller.jobs.managed.values():
        if managed.placed_starts:
            controller.queue.mark_changed(managed.job.id)
        managed.placed_starts.clear()
        managed.being_placed.clear()
        managed.requeued.clear()
        managed.cursor = 0
    controller.cached_state.inflight.clear()
    for coroutine in controller.routines.pending_coroutines:
        coroutine.close()
    controller.routines.pending_coroutines.clear()
    controller.routines.pending_signals.clear()
    return elapsed


def build_busy_controller(
    job_count: int, machine_count: int, rng: random.Random
) -> tuple[Controller, list[Room]]:
    """Build a controller with a queue of waiting jobs, and the rooms of a busy fleet."""
    controller = build_controller()
    rooms = fleets.random_rooms(machine_count, rng)
    for room in rooms:
        update_room(controller, room)
    for job in fleets.random_jobs(job_count, rng):
        job = controller.objectives.job_from_description(job)
        controller.jobs.live[job.id] = (job, 1)
        controller.jobs.managed[job.id] = ManagedJob(job, 1, 500, time.monotonic())
        controller.queue.mark_changed(job.id)
    return controller, rooms


def main() -> None:
    """Time placement passes for a given number of waiting jobs and print the times."""
    parser = argparse.ArgumentParser(description="Time the placer's passes.")
    parser.add_argument("--jobs", type=int, default=10_000)
    parser.add_argument("--machines", type=int, default=639)
    parser.add_argument("--passes", type=int, default=20)
    args = parser.parse_args()
    rng = random.Random(1)
    controller, rooms = build_busy_controller(args.jobs, args.machines, rng)
    first_s = time_pass(controller)
    later_s = []
    for _ in range(args.passes):
        for room in rng.sample(rooms, UPDATES_PER_PASS):
            update_room(controller, room)
        later_s.append(time_pass(controller))
    print(
        f"{args.jobs} jobs, {args.machines} machines: first pass {first_s * 1e3:.1f} ms, "
        f"later ones {statistics.median(later_s) * 1e3:.2f} ms "
        f"({min(later_s) * 1e3:.2f} to {max(later_s) * 1e3:.2f})"
    )


if __name__ == "__main__":
    main()
