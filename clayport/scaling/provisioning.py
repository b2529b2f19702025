"""Which machines to rent for what waits. Pure: no I/O, no clock."""

from __future__ import annotations

import math
from typing import NamedTuple

from clayport.model import Job, MachineType, fits
from clayport.scaling.boot_times import Kind, ready_s
from clayport.scaling.demand import Demand
from clayport.scheduling.index import Index
from clayport.scheduling.placement import place
from clayport.scheduling.policy import Policy
from clayport.scheduling.room import Room, capacity
from clayport.scheduling.spread import Spread

# The share of the busy CPUs by which work may be expected to grow.
EXPECTED_GROWTH = 0.1
# Machines that the cloud rents with one request, at most.
MAX_RENTED_AT_ONCE = 50


def empty_room(kind: MachineType, name: str, zone: str, spot: bool) -> Room:
    """Return the room of a machine of the type on which nothing runs."""
    return Room(
        machine=name,
        address="",
        type=kind.name,
        zone=zone,
        spot=spot,
        open=True,
        cpus=kind.cpus,
        gpus=kind.gpus,
        memory_gb=kind.memory_gb,
        tasks=0,
        images=(),
        idle_since=math.inf,
        owner="",
    )


def price_of(kind: MachineType, spot: bool) -> float:
    """Return the type's price per hour, as a spot or an on-demand machine."""
    return kind.spot_price if spot else kind.price


class Offer(NamedTuple):
    """A machine that could be rented for a job.

    Attributes:
        price: Its price, raised where machines of its type come up late.
        capacity: How many tasks of the job it holds.
        zone: Its zone.
        kind: Its type.
        spot: Whether it is a spot machine.
    """

    price: float
    capacity: int
    zone: str
    kind: MachineType
    spot: bool


def plan_rentals(
    types: list[MachineType],
    missing: list[Demand],
    refused: set[Kind],
    busy_cpus: float,
    policy: Policy,
    left: dict[str, float],
    boot_s: dict[str, float] | None = None,
) -> list[Kind]:
    """Choose machines to rent for what is missing, the cheapest for a task first.

    A big machine is worth its price only when it fills up. What will use it is what is
    missing now and a share of what the fleet is busy with, since that much more work can be
    expected while the machine lives.

    Args:
        types: The machine types, with the boot times that are to be expected.
        missing: The demand that found no room.
        refused: What the cloud has none of.
        busy_cpus: The CPUs that work holds now.
        policy: What keeps work off machines.
        left: By job, the seconds that it may still wait: an expensive machine is rented only
            for a job that it can still bring in time.
        boot_s: By type, the boot times of the settings. A type whose machines come up later
            counts as so much more expensive: they are paid for meanwhile.
    """
    planned: list[Kind] = []
    counts: dict[Kind, int] = {}
    rooms = Index()
    expected_cpus = EXPECTED_GROWTH * busy_cpus + sum(
        need.job.cpus * need.tasks for need in missing
    )
    for job, wanted, _, other_zones in missing:
        spread = Spread(job, other_zones)
        likely = int(expected_cpus / job.cpus) if job.cpus else wanted
        offers = _offers(types, job, refused, policy, left.get(job.id, math.inf), boot_s)
        wanted -= len(place(job, wanted, rooms, spread)) if offers else wanted
        zones: dict[str, int] = {}
        while wanted > 0:
            best = _best_offer(offers, max(wanted, likely), zones, spread)
            if best is None:
                break
            _, most, zone, kind, spot = best
            rental = (kind.name, zone, spot)
            if counts.get(rental, 0) >= MAX_RENTED_AT_ONCE:
                # As many as are rented at once: the rest is planned in the next round, so
                # that a flood costs no more than that.
                break
            room = empty_room(kind, f"new-{len(planned)}", zone, spot)
            tasks = _allowed_in(zone, min(wanted, most), spread)
            room.take(job, tasks)
            rooms.add(room)
            zones[zone] = zones.get(zone, 0) + 1
            counts[rental] = counts.get(rental, 0) + 1
            planned.append(rental)
            wanted -= tasks
    return planned


def _allowed_in(zone: str, most: int, spread: Spread) -> int:
    """Add tasks in the zone, as many as may be there, and return how many were added."""
    tasks = 0
    while tasks < most and spread.allows(zone):
        spread.add(zone)
        tasks += 1
    return tasks


def _best_offer(
    offers: list[Offer], tasks: int, zones: dict[str, int], spread: Spread
) -> Offer | None:
    """The offer with the least price per task, if the job may use its zone.

    Args:
        offers: The offers.
        tasks: How many tasks are there to use a machine.
        zones: How many machines have been rented for the job in each zone: of equal offers
            the one in the zone with the fewest is taken.
        spread: The zones of the job's tasks.
    """
    best = min(
        (
            (price / min(tasks, most), zones.get(zone, 0), zone, number)
            for number, (price, most, zone, _, _) in enumerate(offers)
            if spread.allows(zone)
        ),
        default=None,
    )
    return None if best is None else offers[best[3]]


def _offers(
    types: list[MachineType],
    job: Job,
    refused: set[Kind],
    policy: Policy,
    time_left_s: float,
    boot_s: dict[str, float] | None,
) -> list[Offer]:
    """The machines that could be rented for a job."""
    expensive = policy.expensive_types(job)
    found: list[Offer] = []
    for kind in types:
        if not fits(job, kind) or (kind.name in expensive and time_left_s < ready_s(job, kind)):
            continue
        most = capacity(job, empty_room(kind, "", "", False))
        lateness = max(1.0, kind.boot_s / boot_s[kind.name]) if boot_s else 1.0
        for zone in kind.zones:
            if most <= 0 or job.zone not in (None, zone):
                continue
            found += [
                Offer(price_of(kind, spot) * lateness, most, zone, kind, spot)
                for spot in ((True, False) if job.spot else (False,))
                if (kind.name, zone, spot) not in refused
            ]
    return found
