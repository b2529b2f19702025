"""Benchmark of placing one job, by linear search and by the room index, on up to 50,000 machines.

    python -m bench.placement [--fast] [-o FILE]

Both methods place the same jobs on the same busy fleet, in which about a fifth of the machines
stays partly free. A round places `JOBS_PER_ROUND` jobs of three classes in turn. Between two
jobs, the benchmark updates `UPDATES_PER_JOB` rooms in the index, as arriving reports would, and
gives back the room that the previous job took. Neither step is timed.

Times are for one job: `few` stands for jobs of at most `SMALL_JOB_TASKS` tasks, and `many` for
jobs of up to 250 tasks, where both methods spend most of their time subtracting each task from
its room. The memory used by an indexed machine and by a waiting job is printed first.
"""

from __future__ import annotations

import random
import time
import tracemalloc
from collections.abc import Callable

from clayport.jobs.managed_job import ManagedJob
from clayport.scheduling.placement import place
from clayport.scheduling.policy import Policy
from clayport.scheduling.spread import Spread
from tests import plain

from . import fleets

SIZES = (40, 639, 2_000, 10_000, 50_000)
JOBS_PER_ROUND, UPDATES_PER_JOB, SMALL_JOB_TASKS = 6, 5, 4


def time_rounds(
    rounds: int,
    machine_count: int,
    indexed: bool,
    max_tasks: int = SMALL_JOB_TASKS,
    clock: Callable[[], float] = time.perf_counter,
) -> float:
    """Return the time by `clock` that `rounds` rounds take, divided by the jobs of a round.

    Building the fleet and giving back the room of placed jobs are not timed, so that each job
    finds the fleet in its initial state.
    """
    rng = random.Random(machine_count)
    rooms = fleets.random_rooms(machine_count, rng)
    jobs = fleets.random_jobs(JOBS_PER_ROUND, rng, max_tasks)
    policy = Policy(jobs, fleets.MACHINE_TYPES)
    index = fleets.build_index(rooms) if indexed else None
    # A long-running index already has a sorted view for each requested image, so these views
    # are built before the timing.
    for job in jobs:
        if index is not None:
            with index.trial():
                place(job, job.tasks, index, Spread(job, ()), policy)
    elapsed = 0.0
    for _ in range(rounds):
        for job in jobs:
            changed = [rng.choice(rooms) for _ in range(UPDATES_PER_JOB)]
            if index is not None:
                for room in changed:
                    index.add(room)
            started = clock()
            if index is not None:
                placed = place(job, job.tasks, index, Spread(job, ()), policy)
            else:
                placed = plain.place(job, job.tasks, rooms, Spread(job, ()), "host-0", policy)
            elapsed += clock() - started
            for room in placed:
                room.allocate(job, -1)
    return elapsed / JOBS_PER_ROUND


def print_memory(machine_count: int = 10_000, job_count: int = 10_000) -> None:
    """Print the bytes used by a room, by its entries in the index, and by a waiting job.

    The index is measured with its sorted views for all images that the jobs ask for.
    """
    rng = random.Random(1)
    rooms = fleets.random_rooms(machine_count, rng)
    jobs = fleets.random_jobs(60, rng)
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    copies = [room.copy() for room in rooms]
    plain_bytes = tracemalloc.get_traced_memory()[0] - before
    index = fleets.build_index(copies)
    for job in jobs:
        with index.trial():
            place(job, 1, index, Spread(job, ()))
    index_bytes = tracemalloc.get_traced_memory()[0] - before - plain_bytes
    before = tracemalloc.get_traced_memory()[0]
    managed_jobs = [ManagedJob(job, 1, 500, 0.0) for job in fleets.random_jobs(job_count, rng)]
    job_bytes = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    print(
        f"{plain_bytes / machine_count:.0f} B a room, and "
        f"{index_bytes / machine_count:.0f} B for its places in the index; "
        f"{job_bytes / len(managed_jobs):.0f} B a waiting job"
    )


def main() -> None:
    """Run the pyperf benchmarks of the room index against the linear search."""
    import pyperf  # `bench.capacity` uses `time_rounds` and does not need pyperf

    runner = pyperf.Runner(processes=3, values=3, program_args=("-m", "bench.placement"))
    if not runner.parse_args().worker:
        print_memory()
    for max_tasks, size in ((SMALL_JOB_TASKS, "few"), (250, "many")):
        for machine_count in SIZES:
            for name, indexed in (("plain", False), ("index", True)):
                runner.bench_time_func(
                    f"{size} {machine_count} {name}", time_rounds, machine_count, indexed, max_tasks
                )


if __name__ == "__main__":
    main()
