"""Jobs, tasks and machines, in the scheduler's own terms.

The `rename` tables here map them to the protocol's names of fields: to the left the name in the
code, to the right the one on the wire.
"""

from __future__ import annotations

import re
from typing import Annotated, Literal

import msgspec

# The most dependencies of a job: more don't fit a value of the state service in any case.
MAX_PREREQS = 1000
# The most tasks of a job.
MAX_TASKS = 100_000
Amount = Annotated[float, msgspec.Meta(ge=0, le=1e9)]
Text = Annotated[str, msgspec.Meta(min_length=1, max_length=200)]
# What records may hold: the first versions let a line feed through at the end of an id.
# Requests are held to `valid_id`.
JobId = Annotated[str, msgspec.Meta(pattern=r"^j-[0-9]{1,30}$")]
VALID_ID = re.compile(r"j-[0-9]{1,30}")
Prereqs = Annotated[list[JobId], msgspec.Meta(max_length=MAX_PREREQS)]

# Kinds of jobs: the tasks of an array start one by one, those of a gang all together or not at
# all, and those of a service run until it is cancelled.
ARRAY, GANG, SERVICE = "sweep", "ensemble", "daemon"
# The rank of each priority; a higher one goes first.
RANKS = {"production": 3, "high": 2, "normal": 1, "best_effort": 0}


class Description(
    msgspec.Struct,
    frozen=True,
    omit_defaults=True,
    rename={
        "job_class": "jobclass",
        "team": "owner",
        "kind": "shape",
        "priority": "rank",
        "tasks": "pieces",
        "cpus": "vcpus",
        "gpus": "cards",
        "memory_gb": "ram_gb",
        "image": "bundle",
        "types": "flavors",
        "zone": "site",
        "one_zone": "together",
        "spread": "scatter",
        "spot": "loaners",
        "estimate_s": "guess_s",
        "checkpoint_s": "snapshot_every_s",
        "save_s": "snapshot_s",
        "deadline_s": "due_s",
    },
):
    """A job's description as its user submitted it.

    Times are in seconds, and cpus, gpus, memory and the image's size (GB) are those of one task.

    Attributes:
        id: The job's name, which its user chooses: submitting it again changes nothing.
        job_class: The class by which `settings.Objective` applies to it.
        team: The team whose quota it counts against.
        kind: `ARRAY`, `GANG` or `SERVICE`.
        priority: A key of `RANKS`.
        tasks: The number of its tasks.
        one_zone: Whether all tasks have to be in one zone.
        spread: Whether no zone may hold more than half of its tasks, rounded up.
        spot: Whether it may run on spot machines.
        estimate_s: How long a task takes, as the user guesses.
        checkpoint_s: How often a task saves a checkpoint; 0: never.
        save_s: How long saving one takes.
        types: The machine types it may run on; None: any.
        zone: The zone it has to run in; None: any.
        deadline_s: By when it is to be done, counted from its submission.
        prereqs: Jobs that have to be done before any task of this one starts.
    """

    id: JobId
    job_class: Text
    team: Text
    kind: Literal["sweep", "ensemble", "daemon"]
    priority: Literal["production", "high", "normal", "best_effort"]
    tasks: Annotated[int, msgspec.Meta(ge=1, le=MAX_TASKS)]
    cpus: Amount
    gpus: Amount
    memory_gb: Amount
    image: Text
    image_gb: Amount
    one_zone: bool
    spread: bool
    spot: bool
    estimate_s: Amount
    checkpoint_s: Amount
    save_s: Amount
    # What may be null may also be left out, in requests as in records.
    types: Annotated[list[Text], msgspec.Meta(max_length=64)] | None = None
    zone: Text | None = None
    deadline_s: Amount | None = None
    prereqs: Prereqs | None = None


class Job(Description, frozen=True, rename={"without_objective": "aimless"}):
    """A job's description, and what the controllers add to it.

    Attributes:
        without_objective: No service-level objective says when it is to be started or finished.
            Users have no such field: whatever they send under this name is ignored.
    """

    without_objective: bool = False

    @property
    def rank(self) -> int:
        """Its priority as a number; a higher one goes first."""
        return RANKS[self.priority]

    @property
    def backfill(self) -> bool:
        """Whether it takes only room that nobody else needs."""
        return self.without_objective and self.kind != SERVICE

    @property
    def standing(self) -> int:
        """The rank as it counts for preemption: without an objective, below the lowest."""
        return -1 if self.backfill and self.rank == 0 else self.rank


class MachineType(
    msgspec.Struct,
    frozen=True,
    rename={
        "name": "label",
        "cpus": "vcpus",
        "gpus": "cards",
        "memory_gb": "ram_gb",
        "cache_gb": "local_gb",
        "fetch_gb_per_s": "pull_gb_per_s",
        "price": "rate",
        "zones": "sites",
    },
):
    """One row of the cloud's catalogue.

    Attributes:
        cache_gb: Local disk for images, in GB.
        fetch_gb_per_s: How fast images arrive on it, in GB per second.
        price: What it costs on demand, in the catalogue's unit.
        spot_price: What it costs as a spot machine, likewise.
        boot_s: How long it takes to boot, in seconds.
    """

    name: str
    cpus: Amount
    gpus: Amount
    memory_gb: Amount
    cache_gb: Amount
    fetch_gb_per_s: Amount
    price: Amount
    spot_price: Amount
    boot_s: Amount
    zones: list[str]


class ReportedTask(
    msgspec.Struct,
    rename={
        "task": "piece",
        "attempt": "try",
        "state": "status",
        "why": "cause",
        "saved": "stored",
    },
):
    """A task as a worker lists it in its heartbeat.

    Attributes:
        why: Why it ended, if it did.
        saved: Whether it has saved a checkpoint.
    """

    task: str
    attempt: int
    state: str
    why: str = ""
    saved: bool = False


class WorkerHeartbeat(
    msgspec.Struct,
    rename={
        "machine": "host",
        "type": "flavor",
        "zone": "site",
        "spot": "loaners",
        "session": "tenure",
        "seq": "counter",
        "token": "epoch",
        "notice_s": "reclaim_in_s",
        "tasks": "pieces",
    },
):
    """A worker's heartbeat, with the status of its machine and tasks.

    Attributes:
        session: The worker's incarnation: a later process on the machine has a higher one.
        seq: Counts the heartbeats of a session.
        token: The highest fencing token that the worker has been sent.
        notice_s: In how many seconds the cloud reclaims the machine; None: it doesn't.
    """

    machine: Text
    address: str
    type: str
    zone: str
    spot: bool
    session: int
    seq: int
    token: int
    tasks: list[ReportedTask]
    notice_s: float | None = None


class CloudMachine(
    msgspec.Struct,
    rename={
        "type": "flavor",
        "zone": "site",
        "spot": "loaners",
        "state": "status",
        "age_s": "held_s",
    },
):
    """A machine as the cloud lists it; `age_s` is for how long it has been rented."""

    id: str
    address: str
    type: str
    zone: str
    spot: bool
    state: str
    age_s: float = 0.0


def valid_id(name: str) -> bool:
    """Whether a name has the form that the protocol gives to job ids."""
    return VALID_ID.fullmatch(name) is not None


def split_task(task: str) -> tuple[str, int]:
    """Split a task's id into its job's id and its number.

    Raises:
        ValueError: It is no task's id.
    """
    job, _, number = task.partition("/")
    return job, int(number)


def fits(job: Job, machine_type: MachineType) -> bool:
    """Whether one task of the job fits an empty machine of the type."""
    return (
        (job.types is None or machine_type.name in job.types)
        and job.cpus <= machine_type.cpus
        and job.gpus <= machine_type.gpus
        and job.memory_gb <= machine_type.memory_gb
        and (job.zone is None or job.zone in machine_type.zones)
    )
