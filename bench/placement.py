"""One job's placement, by the plain search and by the index, at sizes up to 50,000 machines.

    python -m bench.placement [--fast] [-o FILE]

Both place the same jobs on the same busy fleet (a fifth of the machines has any room left)
in one run, a round being `JOBS` jobs of three classes in turn; between two jobs, `REPORTS`
machines are shown anew, as reports would, and what was placed is put back, untimed. Times
are for one job: `few` of at most `FEW` tasks, `many` of up to 250, where the subtracting of
each task from its room is most of it for either. The memory that an indexed machine and a
waiting job take is printed first.
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
JOBS, REPORTS, FEW = 6, 5, 4


def rounds(
    loops: int,
    machines: int,
    indexed: bool,
    most: int = FEW,
    clock: Callable[[], float] = time.perf_counter,
) -> float:
    """Seconds by `clock` that `loops` rounds took, without making the fleet or putting back
    what was placed: each job finds the fleet as it was."""
    rng = random.Random(machines)
    there = fleets.rooms(machines, rng)
    work = fleets.jobs(JOBS, rng, most)
    policy = Policy(work, fleets.TYPES)
    index = fleets.index(there) if indexed else None
    for job in work:  # the shelves that are asked for are there in the long run
        if index is not None:
            with index.trial():
                place(job, job.tasks, index, Spread(job, ()), policy)
    took = 0.0
    for _ in range(loops):
        for job in work:
            changed = [rng.choice(there) for _ in range(REPORTS)]
            if index is not None:
                for room in changed:
                    index.add(room)
            start = clock()
            if index is not None:
                chosen = place(job, job.tasks, index, Spread(job, ()), policy)
            else:
                chosen = plain.place(job, job.tasks, there, Spread(job, ()), "host-0", policy)
            took += clock() - start
            for room in chosen:
                room.take(job, -1)
    return took / JOBS


def memory(machines: int = 10_000, jobs: int = 10_000) -> None:
    """Bytes a machine (its room, its places on all shelves in use) and a waiting job."""
    rng = random.Random(1)
    there = fleets.rooms(machines, rng)
    work = fleets.jobs(60, rng)
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    copies = [room.copy() for room in there]
    plain_bytes = tracemalloc.get_traced_memory()[0] - before
    index = fleets.index(copies)
    for job in work:
        with index.trial():
            place(job, 1, index, Spread(job, ()))
    index_bytes = tracemalloc.get_traced_memory()[0] - before - plain_bytes
    before = tracemalloc.get_traced_memory()[0]
    managed_jobs = [ManagedJob(job, 1, 500, 0.0) for job in fleets.jobs(jobs, rng)]
    job_bytes = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    print(
        f"{plain_bytes / machines:.0f} B a room, and {index_bytes / machines:.0f} B for its "
        f"places in the index; {job_bytes / len(managed_jobs):.0f} B a waiting job"
    )


def main() -> None:
    """Run the pyperf benchmarks of the room index against the plain search."""
    import pyperf  # only here: `rounds` is measured elsewhere without it

    runner = pyperf.Runner(processes=3, values=3, program_args=("-m", "bench.placement"))
    if not runner.parse_args().worker:
        memory()
    for most, size in ((FEW, "few"), (250, "many")):
        for machines in SIZES:
            for name, indexed in (("plain", False), ("index", True)):
                runner.bench_time_func(f"{size} {machines} {name}", rounds, machines, indexed, most)


if __name__ == "__main__":
    main()
