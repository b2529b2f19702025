"""Placement of tasks from the cached state of free room.

The functions do no I/O and read no clock.
"""

from __future__ import annotations

from collections.abc import Container

from clayport.model import GANG, Job
from clayport.scheduling.candidates import is_cacheable, usable_pools
from clayport.scheduling.index import Index, RankedPool
from clayport.scheduling.policy import NO_POLICY, LargeTaskReserve, Policy
from clayport.scheduling.requirements import requirements_key
from clayport.scheduling.room import Room, capacity
from clayport.scheduling.spread import Spread


def place(
    job: Job,
    wanted: int,
    index: Index,
    spread: Spread,
    policy: Policy | None = None,
    avoid_expensive: bool = False,
    avoid_spot: bool = False,
    excluded: Container[str] = (),
    avoid_idle_on_demand: bool = False,
    image_fetch_types: frozenset[str] | None = None,
    reserve: LargeTaskReserve | None = None,
) -> list[Room]:
    """Choose machines for tasks of a job, and allocate the tasks in the rooms.

    The tasks' resources are subtracted from the rooms, and the tasks are counted in `spread`.

    The order of preference, most important criterion first:

    1. machines that are not expensive for the job;
    2. machines without free GPUs, for jobs that need no GPUs;
    3. machines that have the image cached;
    4. spot machines, if the job may use them;
    5. machines with the most replicas, because replicas stay and other machines can become
       empty;
    6. the fullest machines, so that other machines become idle and can be returned.

    If `avoid_spot` is set, spot machines come after all others that criteria 1 and 2 rank alike.

    Args:
        job: The job. A gang gets machines for all `wanted` tasks or for none.
        wanted: The number of tasks to place.
        index: The rooms of all machines.
        spread: The zones of the job's other tasks.
        policy: The placement policy; None if no policy applies.
        avoid_expensive: Whether to skip expensive machines because the job can wait for others.
        avoid_spot: Whether to prefer other machines to spot machines, because the job would be
            late if the cloud took its machine back. This leaves the spot machines to jobs with
            checkpoints.
        excluded: Machines that are not considered.
        avoid_idle_on_demand: Whether to skip idle on-demand machines, which would stay rented
            for this job alone.
        image_fetch_types: The machine types on which a task may start although the image has to be
            fetched first; None: all types.
        reserve: The machines that have to keep room for a larger task.

    Returns:
        One entry for each task that found room, at most `wanted`.
    """
    policy = policy or NO_POLICY
    if wanted <= 0:
        return []
    # A job that found no room finds none until a changed room fits, so this result is cached.
    cacheable = is_cacheable(job, index, spread, excluded)
    cache_key = (
        requirements_key(job),
        job.one_zone,
        job.spread,
        wanted if job.kind == GANG else 0,
        avoid_expensive,
        avoid_idle_on_demand,
        image_fetch_types and (image_fetch_types, job.image),
        reserve and (reserve.share, reserve.job.id),
    )
    unplaceable = index.unplaceable_under(policy)
    since = unplaceable.get(cache_key) if cacheable else None
    if since is not None and not any(
        may_take(job, room, policy, reserve)
        and not (avoid_idle_on_demand and not room.spot and room.idle)
        for room in index.changed_rooms(job, since)
    ):
        unplaceable[cache_key] = index.rev
        return []
    pools = _ranked_pools(job, index, spread, policy, avoid_expensive, avoid_spot)
    if job.one_zone and not spread.counts and not spread.unknown:
        pools = _pools_of_best_zone(job, wanted, index, pools, excluded)
    chosen: list[Room] = []
    for room in index.in_order(job, pools, image_fetch_types):
        if (
            room.machine in excluded
            or not room.fits(job)
            or (avoid_idle_on_demand and not room.spot and room.idle)
        ):
            continue
        chosen += [room] * _fill(job, wanted - len(chosen), room, spread, policy, reserve)
        if len(chosen) == wanted:
            break
    if job.kind == GANG and len(chosen) < wanted:
        _undo_charges(job, chosen, spread)
        chosen = []
    if cacheable and not chosen:
        unplaceable[cache_key] = index.rev
    return chosen


def may_take(job: Job, room: Room, policy: Policy, reserve: LargeTaskReserve | None) -> bool:
    """Return whether the room may take a task of the job in its present state.

    The room must afterwards still fit a task of the GPU job that the policy protects on this
    machine, and a task of the large job for which the reserve keeps room there.
    """
    if not room.fits(job):
        return False
    gpu_job = policy.protected_job(job, room)
    if gpu_job is not None and not room.fits_both_after_preemption(job, gpu_job):
        return False
    large_job = reserve.large_job_for(job, room) if reserve is not None else None
    return large_job is None or room.fits_both(job, large_job)


def can_hold(
    job: Job,
    wanted: int,
    index: Index,
    spread: Spread,
    policy: Policy,
    avoid_expensive: bool,
    excluded: set[str],
    avoided: Container[str] = (),
) -> bool:
    """Return whether the rooms certainly hold `wanted` tasks of the job.

    Each machine is counted for one job only: the counted machines are added to `excluded`. The
    machines in `avoided` are not counted for this job.
    No resources are subtracted from the rooms, so the check is cheap if there is plenty of room.
    False does not mean that the tasks do not fit; only a trial placement can tell.
    """
    if job.kind == GANG or job.one_zone:
        return False
    pools = _ranked_pools(job, index, spread, policy, avoid_expensive, False)
    for room in index.in_order(job, pools, None):
        if (
            room.machine in excluded
            or room.machine in avoided
            or not may_take(job, room, policy, None)
        ):
            continue
        gpu_job = policy.protected_job(job, room)
        excluded.add(room.machine)
        for _ in range(capacity(job, room) if gpu_job is None else 1):
            if not spread.allows(room.zone):
                break
            spread.add(room.zone)
            wanted -= 1
            if wanted <= 0:
                return True
    return wanted <= 0


def _ranked_pools(
    job: Job, index: Index, spread: Spread, policy: Policy, avoid_expensive: bool, avoid_spot: bool
) -> list[RankedPool]:
    """Return the pools that the job may use, each with the criteria that rank it."""
    return [
        (policy.expensive(job, pool), avoid_spot and pool.spot, pool)
        for pool in usable_pools(job, index, spread, policy, avoid_expensive)
    ]


def _pools_of_best_zone(
    job: Job, wanted: int, index: Index, pools: list[RankedPool], excluded: Container[str]
) -> list[RankedPool]:
    """Return the pools of the best zone for a job whose tasks all have to be in one zone.

    A zone that holds all tasks is preferred, then a zone with the image cached, then the zone
    with the least room to spare, because larger gangs need much free room in one zone.
    """
    if len({pool.zone for _, _, pool in pools}) <= 1:
        return pools
    by_zone: dict[str, int] = {}
    cached: dict[str, int] = {}
    for room in index.in_order(job, pools, None):
        if room.fits(job) and room.machine not in excluded:
            by_zone[room.zone] = by_zone.get(room.zone, 0) + capacity(job, room)
            cached[room.zone] = cached.get(room.zone, 0) + (job.image in room.images)
    if not by_zone:
        return []
    best = max(
        by_zone,
        key=lambda zone: (
            by_zone[zone] >= wanted,
            min(wanted, cached[zone]),
            -by_zone[zone] if by_zone[zone] >= wanted else by_zone[zone],
            zone,
        ),
    )
    return [entry for entry in pools if entry[2].zone == best]


def _fill(
    job: Job,
    wanted: int,
    room: Room,
    spread: Spread,
    policy: Policy,
    reserve: LargeTaskReserve | None,
) -> int:
    """Allocate in a room as many tasks as it may take, and return their number.

    At least one task of the job must fit the room's free resources.
    """
    gpu_job = policy.protected_job(job, room)
    large_job = reserve.large_job_for(job, room) if reserve is not None else None
    # Tasks are allocated one by one if each of them can change whether the next is allowed.
    charge_singly = job.one_zone or job.spread or gpu_job is not None or large_job is not None
    placed = 0
    while (
        spread.allows(room.zone)
        and (gpu_job is None or room.fits_both_after_preemption(job, gpu_job))
        and (large_job is None or room.fits_both(job, large_job))
    ):
        count = 1 if charge_singly else min(wanted - placed, capacity(job, room))
        room.allocate(job, count)
        spread.add(room.zone, count)
        placed += count
        if placed == wanted or not room.fits(job):
            break
    return placed


def _undo_charges(job: Job, chosen: list[Room], spread: Spread) -> None:
    """Release the tasks' resources in the chosen rooms, and remove the tasks from `spread`."""
    for room in chosen:
        room.allocate(job, -1)
        spread.counts[room.zone] -= 1
