"""Checks of waiting demand: whether it fits the free room, and how long it can wait.

This module does no I/O and reads no clock.
"""

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

# Users' estimates of durations are often wrong by half. Estimated durations are therefore
# multiplied by `ESTIMATE_FACTOR`, and the time allowed for a job by `DEADLINE_SHARE`.
ESTIMATE_FACTOR, DEADLINE_SHARE = 1.5, 0.8
# For an array that has time for at least this many waves of its tasks, rentals are planned from the
# rate at which its tasks complete.
MIN_WAVES = 4.0
# The value of `image_fetch_types` with which `place` considers only machines that have the image
# cached. Demand is placed with an empty image, which counts as cached on every machine.
NO_MACHINE_TYPES: frozenset[str] = frozenset()


class Demand(NamedTuple):
    """Tasks of a job that wait for room.

    Attributes:
        tasks: The number of waiting tasks.
        age_s: For how long they have waited.
        zones: The zones of the job's other tasks, if its placement depends on them.
        excluded: The machines on which the job is not placed now.
    """

    job: Job
    tasks: int
    age_s: float = 0.0
    zones: tuple[str, ...] = ()
    excluded: frozenset[str] = frozenset()


def unmet_demand(
    index: Index,
    demand: Iterable[Demand],
    policy: Policy,
    avoid_expensive: bool = False,
    avoid_idle_on_demand: bool = False,
) -> list[Demand]:
    """Allocate demand in the rooms, and return the demand that doesn't fit.

    Images are ignored, because they don't change how much fits. Sorting the machines separately
    for each image would take most of the provisioner's processor time.

    Args:
        index: The rooms.
        demand: The demand, placed in this order.
        policy: The placement policy.
        avoid_expensive: Whether to place nothing on expensive machines.
        avoid_idle_on_demand: Whether to place nothing on idle on-demand machines.
    """
    unmet = []
    for need in demand:
        # A gang is placed whole or not at all.
        chosen = place(
            msgspec.structs.replace(need.job, image=""),
            need.tasks,
            index,
            Spread(need.job, need.zones),
            policy,
            avoid_expensive,
            excluded=need.excluded,
            avoid_idle_on_demand=avoid_idle_on_demand,
            image_fetch_types=NO_MACHINE_TYPES,
        )
        if len(chosen) < need.tasks:
            zones = (*need.zones, *(r.zone for r in chosen)) if need.job.spread else need.zones
            unmet.append(need._replace(tasks=need.tasks - len(chosen), zones=zones))
    return unmet


def surely_fits(
    index: Index,
    demand: Iterable[Demand],
    policy: Policy,
    without: Iterable[str] = (),
    avoid_expensive: bool = False,
) -> bool:
    """Return whether a fast check shows that the demand fits without the excluded machines.

    If the result is False, the demand may fit nevertheless, and `unmet_demand` has to decide in
    a trial. On a shrinking fleet the demand nearly always fits, and a trial for each idle machine
    would take most of the provisioner's processor time.
    """
    excluded = set(without)
    return all(
        need.tasks <= 0
        or can_hold(
            need.job,
            need.tasks,
            index,
            Spread(need.job, need.zones),
            policy,
            avoid_expensive,
            excluded,
            need.excluded,
        )
        for need in demand
    )


def slack_s(
    job: Job,
    age_s: float,
    limits: dict[str, float],
    estimate_factor: float = ESTIMATE_FACTOR,
    deadline_share: float = DEADLINE_SHARE,
) -> float:
    """Return the seconds that the job's tasks can still wait; negative if the job will be late.

    A job with neither a deadline nor a limit for its class has no slack: the result is minus
    infinity.

    Args:
        job: The job.
        age_s: For how long the job has waited.
        limits: By class, the seconds within which jobs should finish.
        estimate_factor: The factor applied to the job's estimated duration.
        deadline_share: The share of the time allowed that is planned with.
    """
    limit = job.deadline_s if job.deadline_s is not None else limits.get(job.job_class)
    return (
        -math.inf
        if limit is None
        else deadline_share * limit - age_s - estimate_factor * job.estimate_s
    )


def time_left_s(job: Job, age_s: float, limits: dict[str, float]) -> float:
    """Return the seconds that the job's tasks can still wait if its estimate is right.

    The result is infinite for a job with neither a deadline nor a limit for its class.
    """
    limit = job.deadline_s if job.deadline_s is not None else limits.get(job.job_class)
    return math.inf if limit is None else limit - age_s - job.estimate_s


class Waves(NamedTuple):
    """A plan for an array of many short tasks that run in successive waves.

    Attributes:
        tasks: How many tasks have to run at a time for the job to finish in time.
        late: Whether the job will be late at its present rate; None: too early to say.
    """

    tasks: int
    late: bool | None


def plan_waves(need: Demand, limits: dict[str, float], boot_s: float) -> Waves | None:
    """Plan an array with time for at least `MIN_WAVES` waves; return None for other jobs.

    Such a job is judged by its own rate of completed tasks. If it were judged by the throughput of
    the whole fleet, a low-rank array of 25,000 tasks of four seconds would count as on time until
    shortly before its deadline, because it gets only the room that other jobs leave. Thousands of
    CPUs would then have to be rented for it at once.
    """
    job = need.job
    limit = job.deadline_s if job.deadline_s is not None else limits.get(job.job_class)
    if limit is None or job.kind != ARRAY:
        return None
    left_s = max(DEADLINE_SHARE * limit - need.age_s, boot_s)
    wave_s = ESTIMATE_FACTOR * max(job.estimate_s, 1.0)
    if left_s < MIN_WAVES * wave_s or need.tasks <= 1:
        return None
    tasks = min(need.tasks, math.ceil(need.tasks * wave_s / left_s))
    if need.age_s <= wave_s:
        return Waves(tasks, None)
    return Waves(tasks, (job.tasks - need.tasks) / need.age_s * left_s < need.tasks)


def urgent_demand(
    demand: Iterable[Demand],
    limits: dict[str, float],
    fleet_cpus: float,
    estimate_factor: float = ESTIMATE_FACTOR,
    deadline_share: float = DEADLINE_SHARE,
    boot_s: float = 0.0,
) -> list[Demand]:
    """Return the demand that would finish late if it waited for room on the present fleet.

    A job with a deadline can stay queued if the present fleet completes the jobs ahead of it in the
    queue soon enough. When demand was also left out because the queue moved faster than a machine
    boots, jobs that fit no present machine waited forever, and more jobs finished late.

    With `estimate_factor` and `deadline_share` 1, the result is the demand that will be late if
    the estimates are right. Callers use these values for expensive machines, which cost too much
    to be rented only because estimates may be wrong.

    Args:
        demand: The waiting demand, the most urgent first.
        limits: By class, the seconds within which jobs should finish.
        fleet_cpus: The CPUs of the fleet, without those that replicas hold.
        estimate_factor: The factor applied to the jobs' estimated durations.
        deadline_share: The share of the time allowed that is planned with.
        boot_s: The boot time of a rented machine.
    """
    ahead_cpu_s = 0.0
    found = []
    for need in demand:
        job = need.job
        queue_s = estimate_factor * ahead_cpu_s / fleet_cpus if fleet_cpus > 0 else math.inf
        ahead_cpu_s += need.tasks * job.cpus * max(1.0, job.estimate_s)
        waves = plan_waves(need, limits, boot_s)
        late = queue_s > slack_s(job, need.age_s, limits, estimate_factor, deadline_share)
        if waves is None:
            if late:
                found.append(need)
        elif late if waves.late is None else waves.late:
            found.append(need._replace(tasks=waves.tasks))
    return found
