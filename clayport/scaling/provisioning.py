"""Which machines to rent and which to return. Pure: no I/O, no clock."""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Iterable
from typing import NamedTuple

import msgspec

from clayport.model import ARRAY, SERVICE, Job, MachineType, fits
from clayport.scheduling.index import Index
from clayport.scheduling.placement import Policy, Room, Spread, can_hold, capacity, place

Kind = tuple[str, str, bool]  # type, zone, spot

# The share of the busy CPUs by which work may be expected to grow.
EXPECTED = 0.1
# The share of a service class's replicas for which room is kept: about those of
# a lost machine.
SPARE = 0.1
# Standard deviations by which a random count stays below nine times in ten.
NINE_IN_TEN = 1.28
# The share of the span over which arrivals are counted that has to pass before
# they are: also the least time that a rate is taken from.
SETTLE = 0.1
# Estimates are often wrong by half: a line is taken to last this much longer,
# and this share of the time allowed is planned with.
LINE, MARGIN = 1.5, 0.8
# A job that has time for so many rounds of its tasks is rented for by its pace.
WAVES = 4.0
# A machine that takes this many times its type's boot time is given up, and
# one that takes this many times is no longer counted on.
GIVE_UP, LATE = 4.0, 1.6
# Machines that the cloud rents with one request, at most.
RENT_MOST = 50
# Types whose machines will do without an image that all are taken to have.
NOWHERE: frozenset[str] = frozenset()
# Boots that are remembered of a type, and as many as say something.
SEEN_MOST, SEEN_LEAST = 8, 3


class Demand(NamedTuple):
    """Tasks of a job that want room: how long they have waited, and the zones in
    which the job's other tasks are (where that matters)."""

    job: Job
    tasks: int
    age_s: float = 0.0
    zones: tuple[str, ...] = ()


class BootingMachine:
    """A machine that has been rented and has not reported yet."""

    __slots__ = ("kind", "name", "since")

    def __init__(self, name: str, kind: Kind, since: float) -> None:
        self.name, self.kind, self.since = name, kind, since


class BootTimes:
    """How long machines of each type took to come up of late, in their type's boot times."""

    def __init__(self, span_s: float) -> None:
        self.span_s = span_s
        self.seen: dict[str, deque[tuple[float, float]]] = {}

    def note(self, kind: MachineType, took_s: float, now: float) -> None:
        """Record that a machine of the type took `took_s` seconds to come up."""
        self.seen.setdefault(kind.name, deque(maxlen=SEEN_MOST)).append(
            (now, took_s / max(kind.boot_s, 1.0))
        )

    def observed(
        self, types: Iterable[MachineType], booting: Iterable[BootingMachine], now: float
    ) -> list[MachineType]:
        """The catalogue with the boot times that are to be expected now.

        Only where most machines of a type come up far later or sooner than it says: single
        ones that take several times as long are usual, and prices per task differ by less.
        What was seen long ago is forgotten, so that the type is tried again.
        """
        late: dict[str, list[float]] = {}
        for boot in booting:
            late.setdefault(boot.kind[0], []).append(now - boot.since)
        found = []
        for kind in types:
            seen = self.seen.get(kind.name, deque())
            while seen and now - seen[0][0] > self.span_s:
                seen.popleft()
            ratios = sorted(
                [
                    *(r for _, r in seen),
                    *(
                        age / max(kind.boot_s, 1.0)
                        for age in late.get(kind.name, ())
                        if age > LATE * kind.boot_s
                    ),
                ]
            )
            middle = ratios[len(ratios) // 2] if len(ratios) >= SEEN_LEAST else 1.0
            if middle > LATE or middle < 1 / LATE / 2:
                kind = msgspec.structs.replace(kind, boot_s=kind.boot_s * middle)
            found.append(kind)
        return found


def empty_room(kind: MachineType, name: str, zone: str, spot: bool) -> Room:
    """Return the room of a machine of the type on which nothing runs."""
    return Room(
        name,
        "",
        kind.name,
        zone,
        spot,
        True,
        kind.cpus,
        kind.gpus,
        kind.memory_gb,
        0,
        (),
        math.inf,
        "",
    )


def ready_s(job: Job, kind: MachineType) -> float:
    """How long it takes until a machine rented now can run a task of the job."""
    return kind.boot_s + job.image_gb / max(kind.fetch_gb_per_s, 1e-3)


def price_of(kind: MachineType, spot: bool) -> float:
    """Return the type's price per hour, as a spot machine or an ordinary one."""
    return kind.spot_price if spot else kind.price


def short(
    index: Index,
    demand: Iterable[Demand],
    policy: Policy,
    patient: bool = False,
    lodger: bool = False,
) -> list[Demand]:
    """The demand that doesn't fit into the rooms (which are charged): off dear machines for
    the `patient`, off ordinary ones that it alone would keep for a `lodger`.

    Whichever machines have the image: for how much fits that is all the same, and with an
    order of the machines for each image the renting controller took most of its core.
    """
    left = []
    for need in demand:
        # A gang gets all or none of what it needs.
        chosen = place(
            msgspec.structs.replace(need.job, image=""),
            need.tasks,
            index,
            Spread(need.job, need.zones),
            policy,
            patient,
            lodger=lodger,
            uncached=NOWHERE,
        )
        if len(chosen) < need.tasks:
            zones = (*need.zones, *(r.zone for r in chosen)) if need.job.spread else need.zones
            left.append(need._replace(tasks=need.tasks - len(chosen), zones=zones))
    return left


def ample(
    index: Index,
    demand: Iterable[Demand],
    policy: Policy,
    without: Iterable[str] = (),
    patient: bool = False,
) -> bool:
    """Whether all of the demand fits with room to spare, without some of the machines.

    On a fleet that shrinks it nearly always does, and trying it out (`short` in a trial)
    for one machine after the other was most of what the renting controller computed.
    """
    taken = set(without)
    return all(
        need.tasks <= 0
        or can_hold(
            need.job, need.tasks, index, Spread(need.job, need.zones), policy, patient, taken
        )
        for need in demand
    )


class Arrivals:
    """How often tasks of a class arrive, from what was seen over a sliding span."""

    def __init__(self, span_s: float, now: float) -> None:
        # What waited for the service to come up arrives in its first moments and
        # says nothing of how often jobs come: taken for a rate, the services of
        # the first ten seconds once had every machine rented that there was.
        self.span_s, self.began = span_s, now + SETTLE * span_s
        self.seen: dict[str, deque[tuple[float, Job]]] = {}

    def note(self, job: Job, now: float) -> None:
        """Record the arrival of a job."""
        if now < self.began:
            return
        # As many as come within the span: a bound of two hundred made a flood look like
        # less than half of what it was.
        seen = self.seen.setdefault(job.job_class, deque())
        while seen and now - seen[0][0] > self.span_s:
            seen.popleft()
        seen.append((now, job))

    def expected(self, job_class: str, within_s: float, now: float) -> float:
        """Tasks of the class to be expected within the time."""
        seen = self.seen.get(job_class)
        while seen and now - seen[0][0] > self.span_s:
            seen.popleft()
        span = max(min(self.span_s, now - self.began), SETTLE * self.span_s)
        return sum(j.tasks for _, j in seen) / span * within_s if seen else 0.0


def spare_room(
    live: Iterable[Job], arrivals: Arrivals, types: list[MachineType], urgent: set[str], now: float
) -> list[Demand]:
    """Room kept for work that must start sooner than a machine boots.

    For each class whose start is an aim, what is to be expected while a machine
    boots and fetches the image (nine times in ten: arrivals come at random); for
    services at least what a lost machine would need again.
    """
    examples: dict[str, Job] = {}
    tasks: dict[str, int] = {}
    for job in live:
        if job.job_class in urgent or job.kind == SERVICE:
            best = examples.get(job.job_class)
            if best is None or (job.cpus, job.memory_gb) > (best.cpus, best.memory_gb):
                examples[job.job_class] = job
            tasks[job.job_class] = tasks.get(job.job_class, 0) + job.tasks
    for name in urgent:
        if name not in examples and arrivals.seen.get(name):
            examples[name] = arrivals.seen[name][-1][1]
    found = []
    for name, job in sorted(examples.items()):
        boots = [ready_s(job, t) for t in types if fits(job, t)]
        mean = arrivals.expected(name, min(boots, default=0.0), now)
        expected = mean + NINE_IN_TEN * math.sqrt(mean)
        lost = SPARE * tasks.get(name, 0) if job.kind == SERVICE else 0.0
        found.append(Demand(job, max(1, math.ceil(max(expected, lost)))))
    return found


def slack(
    job: Job,
    age_s: float,
    limits: dict[str, float],
    line_factor: float = LINE,
    margin: float = MARGIN,
) -> float:
    """How long the job's tasks may still wait: negative when it is late already."""
    limit = job.deadline_s if job.deadline_s is not None else limits.get(job.job_class)
    return -math.inf if limit is None else margin * limit - age_s - line_factor * job.estimate_s


def remaining(job: Job, age_s: float, limits: dict[str, float]) -> float:
    """How long the job's tasks may still wait, if its estimate is right."""
    limit = job.deadline_s if job.deadline_s is not None else limits.get(job.job_class)
    return math.inf if limit is None else limit - age_s - job.estimate_s


def in_waves(
    need: Demand, limits: dict[str, float], boot_s: float
) -> tuple[int, bool | None] | None:
    """For a job of tasks so short that it runs in many waves: how many at a time let it end
    in time, and whether it will be late at its pace (None: too early to say); None for all
    others.

    A job of 25,000 tasks of four seconds counted as early until it was nearly due, since
    the fleet as a whole would have done it in no time (it is of the lowest rank, and got
    what others left), and would then have had thousands of CPUs rented.
    """
    job = need.job
    limit = job.deadline_s if job.deadline_s is not None else limits.get(job.job_class)
    if limit is None or job.kind != ARRAY:
        return None
    left = max(MARGIN * limit - need.age_s, boot_s)
    wave = LINE * max(job.estimate_s, 1.0)
    if left < WAVES * wave or need.tasks <= 1:
        return None
    tasks = min(need.tasks, math.ceil(need.tasks * wave / left))
    if need.age_s <= wave:
        return tasks, None
    return tasks, (job.tasks - need.tasks) / need.age_s * left < need.tasks


def urgent_demand(
    demand: Iterable[Demand],
    limits: dict[str, float],
    fleet_cpus: float,
    line_factor: float = LINE,
    margin: float = MARGIN,
    boot_s: float = 0.0,
) -> list[Demand]:
    """The demand that would be late if it waited for room to become free.

    With factors of 1 it is what will be late if the estimates are right: a dear machine
    costs too much to be rented for the margin alone.

    Work of a class that is to be finished within a time may wait in line as
    long as the line, served by the fleet as it is (`fleet_cpus` without what
    replicas hold), lets it finish in time. (Also not to rent while the line moves
    faster than a machine boots was tried: work that fits no machine there is
    waited for ever, and jobs were late more often.)
    """
    ahead = 0.0
    found = []
    for need in demand:
        job = need.job
        line = line_factor * ahead / fleet_cpus if fleet_cpus > 0 else math.inf
        ahead += need.tasks * job.cpus * max(1.0, job.estimate_s)
        waves = in_waves(need, limits, boot_s)
        late = line > slack(job, need.age_s, limits, line_factor, margin)
        if waves is None:
            if late:
                found.append(need)
        elif late if waves[1] is None else waves[1]:
            found.append(need._replace(tasks=waves[0]))
    return found


def plan_rentals(
    types: list[MachineType],
    missing: list[Demand],
    refused: set[Kind],
    busy_cpus: float,
    policy: Policy,
    left: dict[str, float],
    boot_s: dict[str, float] | None = None,
) -> list[Kind]:
    """Machines to rent for what is missing, cheapest a task first.

    A big machine is worth its price only when it fills up: what will use it is
    what is missing now, and a share of what the fleet is busy with, since that
    much more work of the kind can be expected while the machine lives. `left`
    says how long jobs may still wait: a dear machine is rented only for a job
    that it can still bring in time. A type whose machines come up later than `boot_s`
    says is as much dearer: they are charged meanwhile, and what waits goes on waiting.
    """
    bought: list[Kind] = []
    counts: dict[Kind, int] = {}
    rooms = Index()
    expected = EXPECTED * busy_cpus + sum(n.job.cpus * n.tasks for n in missing)
    for job, wanted, _, others in missing:
        spread = Spread(job, others)
        likely = int(expected / job.cpus) if job.cpus else wanted
        offers = _offers(types, job, refused, policy, left.get(job.id, math.inf), boot_s)
        wanted -= len(place(job, wanted, rooms, spread)) if offers else wanted
        zones: dict[str, int] = {}
        while wanted > 0:
            best = min(
                (
                    (price / min(max(wanted, likely), most), zones.get(zone, 0), zone, n)
                    for n, (price, most, zone, _, _) in enumerate(offers)
                    if spread.allows(zone)
                ),
                default=None,
            )
            if best is None:
                break
            _, most, zone, kind, spot = offers[best[3]]
            which = (kind.name, zone, spot)
            if counts.get(which, 0) >= RENT_MOST:
                # As many as are rented at once: the rest is looked at with the next round,
                # and a flood costs no more than that.
                break
            room = empty_room(kind, f"new-{len(bought)}", zone, spot)
            held = 0
            while held < min(wanted, most) and spread.allows(zone):
                spread.add(zone)
                held += 1
            room.take(job, held)
            rooms.add(room)
            zones[zone] = zones.get(zone, 0) + 1
            counts[which] = counts.get(which, 0) + 1
            bought.append(which)
            wanted -= held
    return bought


def _offers(
    types: list[MachineType],
    job: Job,
    refused: set[Kind],
    policy: Policy,
    time_left: float,
    boot_s: dict[str, float] | None,
) -> list[tuple[float, int, str, MachineType, bool]]:
    """What could be rented for a job: price, how many of its tasks one machine holds, zone,
    type and whether it is a spot machine."""
    dear = policy.expensive_types(job)
    found: list[tuple[float, int, str, MachineType, bool]] = []
    for kind in types:
        if not fits(job, kind) or (kind.name in dear and time_left < ready_s(job, kind)):
            continue
        most = capacity(job, empty_room(kind, "", "", False))
        late = max(1.0, kind.boot_s / boot_s[kind.name]) if boot_s else 1.0
        for zone in kind.zones:
            if most <= 0 or job.zone not in (None, zone):
                continue
            found += [
                (price_of(kind, spot) * late, most, zone, kind, spot)
                for spot in ((True, False) if job.spot else (False,))
                if (kind.name, zone, spot) not in refused
            ]
    return found
