"""Which machines to rent and which to return. Pure: no I/O, no clock."""

from __future__ import annotations

from collections.abc import Iterable

from .model import Job, MachineType, fits
from .placement import Room, Spread, capacity, place

Kind = tuple[str, str, bool]  # type, zone, spot

# The share of the busy CPUs by which work may be expected to grow.
EXPECTED = 0.1
# A machine that takes this many times its type's boot time is given up, and
# one that takes this many times is no longer counted on.
GIVE_UP, LATE = 4.0, 1.6


class Boot:
    """A machine that has been rented and has not reported yet."""

    __slots__ = ("name", "kind", "since")

    def __init__(self, name: str, kind: Kind, since: float) -> None:
        self.name, self.kind, self.since = name, kind, since


def empty_room(kind: MachineType, name: str, zone: str, spot: bool) -> Room:
    return Room(name, "", kind.name, zone, spot, True, kind.cpus, kind.gpus, kind.memory_gb, 0,
                (), 0.0, 0.0, "")


def price_of(kind: MachineType, spot: bool) -> float:
    return kind.spot_price if spot else kind.price


def short(rooms: list[Room], demand: Iterable[tuple[Job, int]],
          guests: dict[str, Job]) -> list[tuple[Job, int]]:
    """The demand that doesn't fit into the rooms (which are charged)."""
    left = []
    for job, count in demand:
        # What else the job runs is not known here: conditions over zones are
        # judged for the waiting tasks alone.
        chosen = place(job, count, rooms, Spread(job, ()), "", guests)
        if len(chosen) < count:
            left.append((job, count - len(chosen)))
    return left


def shopping(types: list[MachineType], missing: list[tuple[Job, int]],
             refused: set[Kind], busy_cpus: float) -> list[Kind]:
    """Machines to rent for what is missing, cheapest a task first.

    A big machine is worth its price only when it fills up: what will use it is
    what is missing now, and a share of what the fleet is busy with, since that
    much more work of the kind can be expected while the machine lives.
    """
    bought: list[Kind] = []
    rooms: list[Room] = []
    expected = EXPECTED * busy_cpus + sum(j.cpus * n for j, n in missing)
    for job, wanted in missing:
        likely = int(expected / job.cpus) if job.cpus else wanted
        wanted -= len(place(job, wanted, rooms, Spread(job, ()), ""))
        zones: dict[str, int] = {}
        while wanted > 0:
            best: tuple[float, int, str, MachineType, bool] | None = None
            for kind in types:
                if not fits(job, kind):
                    continue
                for zone in kind.zones:
                    if job.zone is not None and job.zone != zone:
                        continue
                    for spot in ((True, False) if job.spot else (False,)):
                        if (kind.name, zone, spot) in refused:
                            continue
                        room = empty_room(kind, "", zone, spot)
                        held = min(max(wanted, likely), capacity(job, room))
                        offer = (price_of(kind, spot) / held, zones.get(zone, 0), zone, kind, spot)
                        if best is None or offer[:3] < best[:3]:
                            best = offer
            if best is None:
                break
            _, _, zone, kind, spot = best
            room = empty_room(kind, f"new-{len(bought)}", zone, spot)
            held = min(wanted, capacity(job, room))
            room.take(job, held)
            rooms.append(room)
            zones[zone] = zones.get(zone, 0) + 1
            bought.append((kind.name, zone, spot))
            wanted -= held
    return bought
