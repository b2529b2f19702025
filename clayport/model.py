"""Jobs, tasks and machines in the terms of the scheduler.

Each `rename` table maps the names of fields in the code to their names on the wire.
"""

from __future__ import annotations

import re
from typing import Annotated, Literal

import msgspec

# The most prerequisites of a job. A job with more would exceed the value size limit of the state
# service.
MAX_PREREQS = 1000
MAX_TASKS = 100_000
Amount = Annotated[float, msgspec.Meta(ge=0, le=1e9)]
Text = Annotated[str, msgspec.Meta(min_length=1, max_length=200)]
# The form of a job id in records. The `$` also matches before a trailing line feed, because early
# versions accepted such ids. Requests are checked with `is_valid_job_id`, which is stricter.
JobId = Annotated[str, msgspec.Meta(pattern=r"^j-[0-9]{1,30}$")]
JOB_ID_PATTERN = re.compile(r"j-[0-9]{1,30}")
Prereqs = Annotated[list[JobId], msgspec.Meta(max_length=MAX_PREREQS)]

# The kinds of jobs. Tasks of an array start independently, tasks of a gang start all together or
# not at all, and tasks of a service run until the service is cancelled.
ARRAY, GANG, SERVICE = "sweep", "ensemble", "daemon"
# The rank of each priority; jobs of higher rank are scheduled first.
RANKS = {"production": 3, "high": 2, "normal": 1, "best_effort": 0}


class JobDescription(
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
    """The description of a job as its user submitted it.

    Times are in seconds. CPUs, GPUs, memory (GB) and image size (GB) are per task.

    Attributes:
        id: The id of the job. The user chooses it, so that submissions are idempotent.
        job_class: The job class that selects the objectives (`settings.Objective`) of the job.
        team: The team whose quota the job uses.
        kind: `ARRAY`, `GANG` or `SERVICE`.
        priority: A key of `RANKS`.
        tasks: The number of tasks.
        one_zone: Whether all tasks must run in the same zone.
        spread: Whether no zone may hold more than half of the tasks, rounded up.
        spot: Whether tasks may run on spot machines.
        estimate_s: The user's estimate of a task's run time.
        checkpoint_s: The interval between checkpoints of a task; 0 means no checkpoints.
        save_s: How long saving a checkpoint takes.
        types: The machine types on which tasks may run; None means any.
        zone: The zone in which tasks must run; None means any.
        deadline_s: The deadline of the job, counted from its submission.
        prereqs: The jobs that must be done before any task of this job starts.
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
    # Fields that may be null may also be absent, in requests and in records.
    types: Annotated[list[Text], msgspec.Meta(max_length=64)] | None = None
    zone: Text | None = None
    deadline_s: Amount | None = None
    prereqs: Prereqs | None = None


class Job(JobDescription, frozen=True, rename={"without_objective": "aimless"}):
    """The description of a job with the fields that controllers add.

    Attributes:
        without_objective: Whether no service-level objective bounds when the job starts or
            finishes. Users can't set this field, and a value that they send is ignored.
    """

    without_objective: bool = False

    @property
    def rank(self) -> int:
        """The priority as a number; jobs of higher rank are scheduled first."""
        return RANKS[self.priority]

    @property
    def backfill(self) -> bool:
        """Whether the job only uses room that no other job needs."""
        return self.without_objective and self.kind != SERVICE

    @property
    def preemption_rank(self) -> int:
        """The rank that counts for preemption: -1 for backfill jobs of the lowest rank."""
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
    """A machine type in the cloud's catalogue.

    Attributes:
        cache_gb: The size of the local image cache in GB.
        fetch_gb_per_s: How fast a machine fetches images, in GB per second.
        price: The on-demand price, in the unit of the catalogue.
        spot_price: The spot price, in the unit of the catalogue.
        boot_s: How long a machine takes to boot, in seconds.
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
    """The state of a task in a worker's heartbeat.

    Attributes:
        why: The cause of the task's end; empty unless the task has ended.
        saved: Whether the task has saved a checkpoint.
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
    """A worker's heartbeat: the state of its machine and tasks.

    Attributes:
        session: The incarnation of the worker; a later process on the machine has a higher one.
        seq: The sequence number of the heartbeat within the session.
        token: The highest fencing token that the worker has received.
        notice_s: The seconds until the cloud reclaims the machine; None if no notice was given.
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
    """A machine in the cloud's list of machines; `age_s` is the time since it was rented."""

    id: str
    address: str
    type: str
    zone: str
    spot: bool
    state: str
    age_s: float = 0.0


def is_valid_job_id(name: str) -> bool:
    """Return whether a text has the form of a job id."""
    return JOB_ID_PATTERN.fullmatch(name) is not None


def job_of_task(task: str) -> str:
    """Return the id of the job that a task belongs to."""
    return task.partition("/")[0]


def split_task_id(task: str) -> tuple[str, int]:
    """Split the id of a task into the job id and the task number.

    Raises:
        ValueError: The text is not a task id.
    """
    job, _, number = task.partition("/")
    return job, int(number)


def fits(job: Job, machine_type: MachineType) -> bool:
    """Return whether one task of the job fits on an empty machine of the type."""
    return (
        (job.types is None or machine_type.name in job.types)
        and job.cpus <= machine_type.cpus
        and job.gpus <= machine_type.gpus
        and job.memory_gb <= machine_type.memory_gb
        and (job.zone is None or job.zone in machine_type.zones)
    )
