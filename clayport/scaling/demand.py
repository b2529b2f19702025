"""What waits for room: whether it fits, and whether it can wait. Pure: no I/O, no clock."""

from __future__ import annotations

import math
from collections.abc import Iterable
from typing import NamedTuple

import msgspec

from clayport.model import ARRAY, Job
from clayport.scheduling.index import Index
from clayport.scheduling.placement import can_hold, place
from clayport.scheduling.policy import Policy
from clayport.scheduling.spread import Spread

# Estimates are often wrong by half: a queue is taken to last this much longer,
# and this share of the time allowed is planned with.
LINE, MARGIN = 1.5, 0.8
# A job that has time for so many rounds of its tasks is rented for by its pace.
WAVES = 4.0
# Types whose machines will do without an image that all are taken to have.
NO_TYPES: frozenset[str] = frozenset()


class Demand(NamedTuple):
    """Tasks of a job that wait for room.

    Attributes:
        job: The job.
        tasks: How many of its tasks wait.
        age_s: For how long they have waited.
        zones: The zones in which its other tasks are, where that matters.
    """

    job: Job
    tasks: int
    age_s: float = 0.0
    zones: tuple[str, ...] = ()


def unmet_demand(
    index: Index,
    demand: Iterable[Demand],
    policy: Policy,
    can_wait: bool = False,
    avoid_idle_on_demand: bool = False,
) -> list[Demand]:
    """The demand that doesn't fit into the rooms, which are charged for what does.

    Images are left out of it: they don't change how much fits, and with an order of the
    machines for each image the renting controller took most of its core.

    Args:
        index: The rooms.
        demand: What is to fit, in order.
        policy: What keeps work off machines.
        can_wait: Whether to keep off expensive machines.
        avoid_idle_on_demand: Whether to keep off idle on-demand machines.
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
            can_wait,
            avoid_idle_on_demand=avoid_idle_on_demand,
            uncached=NO_TYPES,
        )
        if len(chosen) < need.tasks:
            zones = (*need.zones, *(r.zone for r in chosen)) if need.job.spread else need.zones
            left.append(need._replace(tasks=need.tasks - len(chosen), zones=zones))
    return left


def surely_fits(
    index: Index,
    demand: Iterable[Demand],
    policy: Policy,
    without: Iterable[str] = (),
    can_wait: bool = False,
) -> bool:
    """Whether all of the demand surely fits, without some of the machines.

    On a fleet that shrinks it nearly always does, and trying it out (`unmet_demand` in a trial)
    for one machine after the other was most of what the renting controller computed.
    """
    counted = set(without)
    return all(
        need.tasks <= 0
        or can_hold(
            need.job, need.tasks, index, Spread(need.job, need.zones), policy, can_wait, counted
        )
        for need in demand
    )


def slack_s(
    job: Job,
    age_s: float,
    limits: dict[str, float],
    line_factor: float = LINE,
    margin: float = MARGIN,
) -> float:
    """Seconds that the job's tasks may still wait; negative when it is late already.

    Args:
        job: The job.
        age_s: For how long it has waited.
        limits: By class, the seconds within which jobs are to be done.
        line_factor: How many times its estimate the job is taken to run.
        margin: The share of the time allowed that is planned with.
    """
    limit = job.deadline_s if job.deadline_s is not None else limits.get(job.job_class)
    return -math.inf if limit is None else margin * limit - age_s - line_factor * job.estimate_s


def time_left_s(job: Job, age_s: float, limits: dict[str, float]) -> float:
    """Seconds that the job's tasks may still wait, if its estimate is right."""
    limit = job.deadline_s if job.deadline_s is not None else limits.get(job.job_class)
    return math.inf if limit is None else limit - age_s - job.estimate_s


class Waves(NamedTuple):
    """How a job of many short tasks can run in waves.

    Attributes:
        tasks: How many tasks have to run at a time for it to end in time.
        late: Whether it will be late at its present pace; None: too early to say.
    """

    tasks: int
    late: bool | None


def plan_waves(need: Demand, limits: dict[str, float], boot_s: float) -> Waves | None:
    """Plan a job whose tasks are so short that it runs in many waves; None for all others.

    A job of 25,000 tasks of four seconds counted as early until it was nearly due, since
    the fleet as a whole would have done it in no time (it is of the lowest rank, and got
    what others left), and would then have had thousands of CPUs rented.
    """
    job = need.job
    limit = job.deadline_s if job.deadline_s is not None else limits.get(job.job_class)
    if limit is None or job.kind != ARRAY:
        return None
    left_s = max(MARGIN * limit - need.age_s, boot_s)
    wave_s = LINE * max(job.estimate_s, 1.0)
    if left_s < WAVES * wave_s or need.tasks <= 1:
        return None
    tasks = min(need.tasks, math.ceil(need.tasks * wave_s / left_s))
    if need.age_s <= wave_s:
        return Waves(tasks, None)
    return Waves(tasks, (job.tasks - need.tasks) / need.age_s * left_s < need.tasks)


def urgent_demand(
    demand: Iterable[Demand],
    limits: dict[str, float],
    fleet_cpus: float,
    line_factor: float = LINE,
    margin: float = MARGIN,
    boot_s: float = 0.0,
) -> list[Demand]:
    """The demand that would be late if it waited for room to become free.

    Work of a class that is to be done within a time may wait in the queue as long as the
    queue, served by the fleet as it is, lets it end in time. (Also not to rent while the
    queue moves faster than a machine boots was tried: work that fits no machine there
    waited for ever, and jobs were late more often.)

    With factors of 1 it is what will be late if the estimates are right: an expensive
    machine costs too much to be rented for the margin alone.

    Args:
        demand: What waits, the most urgent first.
        limits: By class, the seconds within which jobs are to be done.
        fleet_cpus: The CPUs of the fleet, without what replicas hold.
        line_factor: How many times its estimate a job is taken to run.
        margin: The share of the time allowed that is planned with.
        boot_s: How long a rented machine takes to come up.
    """
    ahead = 0.0
    found = []
    for need in demand:
        job = need.job
        queue_s = line_factor * ahead / fleet_cpus if fleet_cpus > 0 else math.inf
        ahead += need.tasks * job.cpus * max(1.0, job.estimate_s)
        waves = plan_waves(need, limits, boot_s)
        late = queue_s > slack_s(job, need.age_s, limits, line_factor, margin)
        if waves is None:
            if late:
                found.append(need)
        elif late if waves.late is None else waves.late:
            found.append(need._replace(tasks=waves.tasks))
    return found
