"""Choice of machines to rent for unmet demand. This module does no I/O and reads no clock."""

from __future__ import annotations

import math
from typing import NamedTuple

from clayport.model import Job, MachineType, fits
from clayport.scaling.boot_times import MachineKind, ready_s
from clayport.scaling.demand import Demand
from clayport.scheduling.index import Index
from clayport.scheduling.placement import place
from clayport.scheduling.policy import Policy
from clayport.scheduling.room import Room, capacity
from clayport.scheduling.spread import Spread

# The expected growth of the load, as a share of the busy CPUs.
EXPECTED_GROWTH = 0.1
# The cloud's limit on the machines rented with one request.
MAX_RENTED_AT_ONCE = 50


def empty_room(machine_type: MachineType, name: str, zone: str, spot: bool) -> Room:
    """Return the room of an idle machine of the type."""
    return Room(
        machine=name,
        address="",
        type=machine_type.name,
        zone=zone,
        spot=spot,
        open=True,
        cpus=machine_type.cpus,
        gpus=machine_type.gpus,
        memory_gb=machine_type.memory_gb,
        tasks=0,
        images=(),
        idle_since=math.inf,
        owner="",
    )


def price_of(machine_type: MachineType, spot: bool) -> float:
    """Return the type's price per hour, as a spot or an on-demand machine."""
    return machine_type.spot_price if spot else machine_type.price


class Offer(NamedTuple):
    """A kind of machine that could be rented for a job.

    Attributes:
        price: The price per hour, raised in proportion if machines of the type boot late.
        capacity: How many tasks of the job the machine holds.
        zone: The zone of the machine.
        machine_type: The type of the machine.
        spot: Whether the machine is a spot machine.
    """

    price: float
    capacity: int
    zone: str
    machine_type: MachineType
    spot: bool


def plan_rentals(
    types: list[MachineType],
    missing: list[Demand],
    refused: set[MachineKind],
    busy_cpus: float,
    policy: Policy,
    time_left_s: dict[str, float],
    nominal_boot_s: dict[str, float] | None = None,
) -> list[MachineKind]:
    """Choose machines to rent for unmet demand, by the lowest price per task.

    A large machine is worth its price only if tasks fill the machine. The load that can fill it is
    the unmet demand plus `EXPECTED_GROWTH` of the busy CPUs, because about that much more
    load arrives while the machine is rented.

    Args:
        types: The machine types, with corrected boot times.
        missing: The demand that found no room.
        refused: The kinds of machine for which the cloud has no capacity.
        busy_cpus: The CPUs in use now.
        policy: The placement policy.
        time_left_s: By job, the seconds that the job can still wait. An expensive machine is
            rented only for a job that can still finish in time on it.
        nominal_boot_s: By type, the boot times in the catalogue. The price of a type whose
            machines take longer to boot is raised in proportion, because a machine costs money
            while it boots.
    """
    planned: list[MachineKind] = []
    counts: dict[MachineKind, int] = {}
    rooms = Index()
    expected_cpus = EXPECTED_GROWTH * busy_cpus + sum(
        need.job.cpus * need.tasks for need in missing
    )
    for need in missing:
        job, wanted = need.job, need.tasks
        spread = Spread(job, need.zones)
        likely = int(expected_cpus / job.cpus) if job.cpus else wanted
        offers = _offers(
            types, job, refused, policy, time_left_s.get(job.id, math.inf), nominal_boot_s
        )
        wanted -= len(place(job, wanted, rooms, spread)) if offers else wanted
        zones: dict[str, int] = {}
        while wanted > 0:
            best = _best_offer(offers, max(wanted, likely), zones, spread)
            if best is None:
                break
            _, most, zone, machine_type, spot = best
            rental = (machine_type.name, zone, spot)
            if counts.get(rental, 0) >= MAX_RENTED_AT_ONCE:
                # One request can rent no more machines. The rest is planned in the next
                # round, so that a burst of jobs doesn't make one round take long.
                break
            room = empty_room(machine_type, f"new-{len(planned)}", zone, spot)
            tasks = _allowed_in(zone, min(wanted, most), spread)
            room.allocate(job, tasks)
            rooms.add(room)
            zones[zone] = zones.get(zone, 0) + 1
            counts[rental] = counts.get(rental, 0) + 1
            planned.append(rental)
            wanted -= tasks
    return planned


def _allowed_in(zone: str, most: int, spread: Spread) -> int:
    """Add up to `most` tasks to the zone, as the spread allows; return how many were added."""
    tasks = 0
    while tasks < most and spread.allows(zone):
        spread.add(zone)
        tasks += 1
    return tasks


def _best_offer(
    offers: list[Offer], tasks: int, zones: dict[str, int], spread: Spread
) -> Offer | None:
    """Return the offer with the lowest price per task in the zones that the job may use.

    Args:
        offers: The offers to choose from.
        tasks: How many tasks could run on the machine.
        zones: How many machines are planned for the job in each zone. Among equally priced
            offers, the zone with the fewest wins.
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
    refused: set[MachineKind],
    policy: Policy,
    time_left_s: float,
    nominal_boot_s: dict[str, float] | None,
) -> list[Offer]:
    """Return the kinds of machine that could be rented for a job."""
    expensive = policy.expensive_types(job)
    found: list[Offer] = []
    for machine_type in types:
        if not fits(job, machine_type) or (
            machine_type.name in expensive and time_left_s < ready_s(job, machine_type)
        ):
            continue
        most = capacity(job, empty_room(machine_type, "", "", False))
        lateness = (
            max(1.0, machine_type.boot_s / nominal_boot_s[machine_type.name])
            if nominal_boot_s
            else 1.0
        )
        for zone in machine_type.zones:
            if most <= 0 or job.zone not in (None, zone):
                continue
            found += [
                Offer(price_of(machine_type, spot) * lateness, most, zone, machine_type, spot)
                for spot in ((True, False) if job.spot else (False,))
                if (machine_type.name, zone, spot) not in refused
            ]
    return found
