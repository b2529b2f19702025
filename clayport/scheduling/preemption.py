"""The choice of machines on which preempting tasks of lower rank makes room for a job.

The functions do no I/O and read no clock.
"""

from __future__ import annotations

from collections.abc import Container, Iterable

from clayport.model import Job
from clayport.scheduling.candidates import is_cacheable, usable_pools
from clayport.scheduling.index import Index
from clayport.scheduling.policy import Policy
from clayport.scheduling.requirements import requirements_key
from clayport.scheduling.room import Room
from clayport.scheduling.spread import Spread

# A machine on which preemption makes room: the highest rank to preempt, whether the machine is a
# spot machine to avoid, the resources that are not free yet, the machine's name, and its room. The
# smallest tuple is the best offer.
Offer = tuple[int, bool, float, str, Room]


def preempt(
    job: Job,
    wanted: int,
    index: Index,
    spread: Spread,
    policy: Policy,
    max_rank: int | None = None,
    avoid_spot: bool = False,
    avoid_expensive: bool = False,
    excluded: Container[str] = (),
    image_fetch_types: frozenset[str] | None = None,
) -> list[tuple[Room, int]]:
    """Find the machines on which preempting tasks of lower rank makes room at the least cost.

    All tasks are handled in one call because, for an array of hundreds of tasks, handling one
    machine at a time took longer than the array's time limit. The
    tasks are counted in `spread`, but their resources are not subtracted from the rooms.

    Args:
        job: The job to make room for.
        wanted: The number of tasks to make room for.
        index: The rooms of all machines.
        spread: The zones of the job's other tasks.
        policy: The placement policy.
        max_rank: The highest rank that may be preempted; None: any rank below the job's.
        avoid_spot: Whether to prefer other machines to spot machines.
        avoid_expensive: Whether to skip expensive machines.
        excluded: Machines that are not considered.
        image_fetch_types: The machine types on which a task may start although the image has to be
            fetched first; None: all types.

    Returns:
        The rooms, each with the number of tasks that it will hold.
    """
    cacheable = is_cacheable(job, index, spread, excluded)
    cache_key = (
        "preempt",
        requirements_key(job),
        job.one_zone,
        job.spread,
        max_rank,
        avoid_expensive,
        image_fetch_types and (image_fetch_types, job.image),
    )
    unplaceable = index.unplaceable_under(policy)
    since = unplaceable.get(cache_key) if cacheable else None
    pools = usable_pools(job, index, spread, policy, avoid_expensive)
    if since is None:
        rooms = index.with_lower_rank(pools, job.rank, excluded)
    else:
        rooms = index.changed(pools, since)
    offers = _offers(job, rooms, policy, max_rank, avoid_spot, image_fetch_types)
    if not offers:
        if cacheable:
            unplaceable[cache_key] = index.rev
        return []
    if since is not None:
        # Preemption on a changed room makes room again, so choose among all rooms.
        del unplaceable[cache_key]
        return preempt(
            job,
            wanted,
            index,
            spread,
            policy,
            max_rank,
            avoid_spot,
            avoid_expensive,
            excluded,
            image_fetch_types,
        )
    return _choose(job, wanted, offers, spread)


def _offers(
    job: Job,
    rooms: Iterable[Room],
    policy: Policy,
    max_rank: int | None,
    avoid_spot: bool,
    image_fetch_types: frozenset[str] | None,
) -> list[Offer]:
    """Return the rooms in which preemption makes room for a task, with the cost of each."""
    offers = []
    for room in rooms:
        if (
            not room.open
            or room.reserved_for not in ("", job.id)
            or policy.rejects(job, room)
            or (
                image_fetch_types is not None
                and room.type not in image_fetch_types
                and job.image not in room.images
            )
        ):
            continue
        cost = room.preemption_cost(job)
        if cost is not None and (max_rank is None or cost[0] <= max_rank):
            offers.append((cost[0], avoid_spot and room.spot, cost[1], room.machine, room))
    return offers


def _choose(job: Job, wanted: int, offers: list[Offer], spread: Spread) -> list[tuple[Room, int]]:
    """Return the best offers that together hold the tasks, and count the tasks in `spread`."""
    found: list[tuple[Room, int]] = []
    for rank, _, _, _, room in sorted(offers, key=lambda offer: offer[:4]):
        count = 0
        for _ in range(min(wanted, room.capacity_after_preemption(job, rank))):
            if not spread.allows(room.zone):
                break
            spread.add(room.zone)
            count += 1
        if count:
            found.append((room, count))
            wanted -= count
        if wanted <= 0:
            break
    return found
