"""Jobs, tasks and machines, in the scheduler's own terms.

The names on the wire are the `rename` tables here and nowhere else.
"""

from __future__ import annotations

import re
from typing import Annotated, Literal

import msgspec

# What is longer doesn't fit a value of the state service in any case.
PREREQS_MOST = 1000
Amount = Annotated[float, msgspec.Meta(ge=0, le=1e9)]
Text = Annotated[str, msgspec.Meta(min_length=1, max_length=200)]
# What records may hold: the first versions let a line feed through at the end of an id.
# Requests are held to `valid_id`.
JobId = Annotated[str, msgspec.Meta(pattern=r"^j-[0-9]{1,30}$")]
VALID_ID = re.compile(r"j-[0-9]{1,30}")
Prereqs = Annotated[list[JobId], msgspec.Meta(max_length=PREREQS_MOST)]

ARRAY, GANG, SERVICE = "sweep", "ensemble", "daemon"
RANKS = {"production": 3, "high": 2, "normal": 1, "best_effort": 0}
MAX_TASKS = 100_000


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
    """A job's description as its user submitted it."""

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
    # Jobs that have to be done before any task of this one starts.
    prereqs: Prereqs | None = None


class Job(Description, frozen=True, rename={"without_objective": "aimless"}):
    """A job's description, and what the controllers say of it beside."""

    # Nobody has said when it is to be started or finished (`Objectives`). Users have
    # no such field: whatever they send under this name is ignored.
    without_objective: bool = False

    @property
    def rank(self) -> int:
        return RANKS[self.priority]

    @property
    def backfill(self) -> bool:
        """Whether it takes only room that nobody else needs."""
        return self.without_objective and self.kind != SERVICE

    @property
    def standing(self) -> int:
        """The rank as it counts when room is to be made: without an aim, below the lowest."""
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
    """One row of the cloud's catalogue."""

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
    """A task as a worker lists it."""

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
    """A worker's report."""

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
    """A machine as the cloud lists it."""

    id: str
    address: str
    type: str
    zone: str
    spot: bool
    state: str
    age_s: float = 0.0


def valid_id(name: str) -> bool:
    """Whether a name is in the form that the protocol gives to job ids."""
    return VALID_ID.fullmatch(name) is not None


def task_id(job: str, number: int) -> str:
    return f"{job}/{number}"


def split_task(task: str) -> tuple[str, int]:
    """The job and number of a task; ValueError for anything else."""
    job, _, number = task.partition("/")
    return job, int(number)


def fits(job: Job, kind: MachineType) -> bool:
    """Whether one task of the job fits an empty machine of the type."""
    return (
        (job.types is None or kind.name in job.types)
        and job.cpus <= kind.cpus
        and job.gpus <= kind.gpus
        and job.memory_gb <= kind.memory_gb
        and (job.zone is None or job.zone in kind.zones)
    )
