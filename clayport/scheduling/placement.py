"""Placing tasks by the cached state of free room. Pure: no I/O, no clock.

Names imported under their own names are for modules that still import them from here.
"""

from __future__ import annotations

from collections.abc import Container

from clayport.model import GANG, Job
from clayport.scheduling.candidates import is_cacheable, usable_pools
from clayport.scheduling.index import Index, RankedPool
from clayport.scheduling.policy import NO_POLICY, LargeTaskReserve, Policy
from clayport.scheduling.requirements import shape
from clayport.scheduling.room import Room, capacity
from clayport.scheduling.spread import Spread


def place(
    job: Job,
    wanted: int,
    index: Index,
    spread: Spread,
    policy: Policy | None = None,
    can_wait: bool = False,
    avoid_spot: bool = False,
    without: Container[str] = (),
    avoid_idle_on_demand: bool = False,
    uncached: frozenset[str] | None = None,
    reserve: LargeTaskReserve | None = None,
) -> list[Room]:
    """Choose machines for tasks of a job, and charge the rooms and the spread for them.

    In order: machines that aren't expensive; without free GPUs, for work that needs none;
    with the image cached; spot machines, where they may be used; with replicas, since these
    stay, so that other machines empty; then the fullest, so that others become idle and can
    be returned.

    Args:
        job: The job. A gang gets machines for all `wanted` tasks or none.
        wanted: For how many of its tasks.
        index: The rooms.
        spread: The zones of its other tasks.
        policy: What keeps work off machines; None: nothing does.
        can_wait: Whether the job can wait for a machine that isn't expensive.
        avoid_spot: Whether the job would be late if its machine were taken back: it keeps off
            spot machines while others have room, and leaves them to work with checkpoints.
        without: Machines that aren't considered.
        avoid_idle_on_demand: Whether to keep off idle on-demand machines, which would stay
            rented for this job alone.
        uncached: The types whose machines will do without the image; None: all.
        reserve: The machines on which room for a larger task is left.

    Returns:
        One entry for each task that found room, `wanted` at most.
    """
    policy = policy or NO_POLICY
    if wanted <= 0:
        return []
    # A question without an answer has none until a room that changes fits.
    cacheable = is_cacheable(job, index, spread, without)
    question = (
        shape(job),
        job.one_zone,
        job.spread,
        wanted if job.kind == GANG else 0,
        can_wait,
        avoid_idle_on_demand,
        uncached and (uncached, job.image),
        reserve and (reserve.share, reserve.job.id),
    )
    unplaceable = index.unplaceable_under(policy)
    since = unplaceable.get(question) if cacheable else None
    if since is not None and not any(
        accepts(job, room, policy, reserve)
        and not (avoid_idle_on_demand and not room.spot and room.idle)
        for room in index.changed_rooms(job, since)
    ):
        unplaceable[question] = index.rev
        return []
    pools = _ranked_pools(job, index, spread, policy, can_wait, avoid_spot)
    if job.one_zone and not spread.counts and not spread.unknown:
        pools = _pools_of_best_zone(job, wanted, index, pools, without)
    chosen: list[Room] = []
    for room in index.in_order(job, pools, uncached):
        if (
            room.machine in without
            or not room.fits(job)
            or (avoid_idle_on_demand and not room.spot and room.idle)
        ):
            continue
        chosen += [room] * _fill(job, wanted - len(chosen), room, spread, policy, reserve)
        if len(chosen) == wanted:
            break
    if job.kind == GANG and len(chosen) < wanted:
        _give_back(job, chosen, spread)
        chosen = []
    if cacheable and not chosen:
        unplaceable[question] = index.rev
    return chosen


def accepts(job: Job, room: Room, policy: Policy, reserve: LargeTaskReserve | None) -> bool:
    """Whether the room, as it is, may take a task of the job.

    The job that its GPUs are for, and the one that room is kept for, must still fit.
    """
    if not room.fits(job):
        return False
    gpu_job = policy.protected_job(job, room)
    if gpu_job is not None and not room.fits_both_after_preemption(job, gpu_job):
        return False
    large = reserve.against(job, room) if reserve is not None else None
    return large is None or room.fits_both(job, large)


def can_hold(
    job: Job,
    wanted: int,
    index: Index,
    spread: Spread,
    policy: Policy,
    can_wait: bool,
    without: set[str],
) -> bool:
    """Whether the rooms surely hold so many tasks of the job.

    Each machine is counted for one job alone: those counted are added to `without`. Nothing
    is charged, so it costs little where there is room to spare; False says only that a
    trial has to find out.
    """
    if job.kind == GANG or job.one_zone:
        return False
    pools = _ranked_pools(job, index, spread, policy, can_wait, False)
    for room in index.in_order(job, pools, None):
        if room.machine in without or not accepts(job, room, policy, None):
            continue
        gpu_job = policy.protected_job(job, room)
        without.add(room.machine)
        for _ in range(capacity(job, room) if gpu_job is None else 1):
            if not spread.allows(room.zone):
                break
            spread.add(room.zone)
            wanted -= 1
            if wanted <= 0:
                return True
    return wanted <= 0


def _ranked_pools(
    job: Job, index: Index, spread: Spread, policy: Policy, can_wait: bool, avoid_spot: bool
) -> list[RankedPool]:
    """The pools that the job may use, with what ranks them among each other."""
    return [
        (policy.expensive(job, pool), avoid_spot and pool.spot, pool)
        for pool in usable_pools(job, index, spread, policy, can_wait)
    ]


def _pools_of_best_zone(
    job: Job, wanted: int, index: Index, pools: list[RankedPool], without: Container[str]
) -> list[RankedPool]:
    """The pools of the best zone for a job whose tasks have to be in one.

    That is one that holds all of it, then one with the image cached, then the one with the
    least room to spare, since larger gangs need what is free to be together.
    """
    if len({pool.zone for _, _, pool in pools}) <= 1:
        return pools
    by_zone: dict[str, int] = {}
    cached: dict[str, int] = {}
    for room in index.in_order(job, pools, None):
        if room.fits(job) and room.machine not in without:
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
    """Charge a room that a task fits for as many as it may take; return how many these are."""
    gpu_job = policy.protected_job(job, room)
    large = reserve.against(job, room) if reserve is not None else None
    # Where each task may change whether the next one is allowed, they go one by one.
    one_by_one = job.one_zone or job.spread or gpu_job is not None or large is not None
    placed = 0
    while (
        spread.allows(room.zone)
        and (gpu_job is None or room.fits_both_after_preemption(job, gpu_job))
        and (large is None or room.fits_both(job, large))
    ):
        count = 1 if one_by_one else min(wanted - placed, capacity(job, room))
        room.take(job, count)
        spread.add(room.zone, count)
        placed += count
        if placed == wanted or not room.fits(job):
            break
    return placed


def _give_back(job: Job, chosen: list[Room], spread: Spread) -> None:
    """Undo what was charged for the tasks that found room."""
    for room in chosen:
        room.take(job, -1)
        spread.counts[room.zone] -= 1
