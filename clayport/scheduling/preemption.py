"""Where stopping work of lower rank makes room for a job. Pure: no I/O, no clock."""

from __future__ import annotations

from collections.abc import Container, Iterable

from clayport.model import Job
from clayport.scheduling.candidates import is_cacheable, usable_pools
from clayport.scheduling.index import Index
from clayport.scheduling.policy import Policy
from clayport.scheduling.requirements import shape
from clayport.scheduling.room import Room
from clayport.scheduling.spread import Spread

# The highest rank to be stopped, whether the machine is better avoided, how much isn't free
# yet, and the machine's name: the least is the best offer.
Offer = tuple[int, bool, float, str, Room]


def preempt(
    job: Job,
    wanted: int,
    index: Index,
    spread: Spread,
    policy: Policy,
    most: int | None = None,
    avoid_spot: bool = False,
    can_wait: bool = False,
    without: Container[str] = (),
    uncached: frozenset[str] | None = None,
) -> list[tuple[Room, int]]:
    """Find where stopping work of lower rank makes room at the least cost.

    For all tasks at once: for an array of hundreds of tasks, one machine after the other
    took longer than the array had. The spread is charged, the rooms are not.

    Args:
        job: The job that wants room.
        wanted: For how many of its tasks.
        index: The rooms.
        spread: The zones of its other tasks.
        policy: What keeps work off machines.
        most: The highest rank to be stopped; None: any below the job's.
        avoid_spot: Whether to prefer machines that aren't spot machines.
        can_wait: Whether to keep off expensive machines.
        without: Machines that aren't considered.
        uncached: The types whose machines will do without the image; None: all.

    Returns:
        The machines, and for how many tasks each makes room.
    """
    cacheable = is_cacheable(job, index, spread, without)
    question = (
        "preempt",
        shape(job),
        job.one_zone,
        job.spread,
        most,
        can_wait,
        uncached and (uncached, job.image),
    )
    unplaceable = index.unplaceable_under(policy)
    since = unplaceable.get(question) if cacheable else None
    pools = usable_pools(job, index, spread, policy, can_wait)
    if since is None:
        rooms = index.with_lower_rank(pools, job.rank, without)
    else:
        rooms = index.changed(pools, since)
    offers = _offers(job, rooms, policy, most, avoid_spot, uncached)
    if not offers:
        if cacheable:
            unplaceable[question] = index.rev
        return []
    if since is not None:
        # A changed room offers something again: choose among all rooms.
        del unplaceable[question]
        return preempt(
            job, wanted, index, spread, policy, most, avoid_spot, can_wait, without, uncached
        )
    return _choose(job, wanted, offers, spread)


def _offers(
    job: Job,
    rooms: Iterable[Room],
    policy: Policy,
    most: int | None,
    avoid_spot: bool,
    uncached: frozenset[str] | None,
) -> list[Offer]:
    """The rooms in which stopping work makes room for a task, with what that costs."""
    offers = []
    for room in rooms:
        if (
            not room.open
            or room.hold not in ("", job.id)
            or policy.rejects(job, room)
            or (uncached is not None and room.type not in uncached and job.image not in room.images)
        ):
            continue
        cost = room.preemption_cost(job)
        if cost is not None and (most is None or cost[0] <= most):
            offers.append((cost[0], avoid_spot and room.spot, cost[1], room.machine, room))
    return offers


def _choose(job: Job, wanted: int, offers: list[Offer], spread: Spread) -> list[tuple[Room, int]]:
    """The best offers, as many as the tasks need; the spread is charged."""
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
