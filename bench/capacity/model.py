"""The capacity model: the demand on each role at the target size, from the measured slopes."""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from typing import NamedTuple

from .figures import Slopes
from .size import DAY_S, JOB_SIZES, LIMITS, QUOTA_PORTION_INTERVAL_S, TARGET_SIZE, Layout

MECHANISM_EXISTS, DESIGN_ONLY = "exists, not run at this size", "on paper"
MEASURED_CONTROLLERS = 3  # controllers of the simulated world that was measured
STATE_ANSWER_S = 0.01  # usual answer time of the state service, by its protocol
USER_STATUS_LAG_S = 3.0  # by how much the protocol lets answers to users be stale
LOADED_JOBS = 3000
REFRESHED_MACHINES = 1800


class Row(NamedTuple):
    """The demand on one resource of a role for each mix of jobs, and the limit of the resource."""

    role: str
    resource: str
    unit: str
    demand: tuple[float, ...]  # in the order of JOB_SIZES
    limit: float
    carried_by: str
    state: str

    @property
    def lowest_load_ratio(self) -> float:
        """Demand divided by the limit, for the mix of jobs with the lowest demand."""
        return min(self.demand) / self.limit

    @property
    def highest_load_ratio(self) -> float:
        """Demand divided by the limit, for the mix of jobs with the highest demand."""
        return max(self.demand) / self.limit


class Demand:
    """The demand of one mix of jobs on the controllers and records of one cell.

    All jobs of the mix have `job_size` tasks.
    """

    def __init__(
        self, slopes: Slopes, layout: Layout, job_size: int, team: str = "limited"
    ) -> None:
        self.slopes, self.layout, self.job_size, self.team = slopes, layout, job_size, team
        self.starts = TARGET_SIZE.starts_per_second / layout.cells
        self.workers = TARGET_SIZE.workers / layout.cells
        self.running = TARGET_SIZE.running_tasks / layout.cells
        self.live_jobs = self.running / job_size

    def day_slope(self, part: str, name: str, team: str = "") -> float:
        """Return a slope that the simulated day measured for this mix of jobs."""
        return self.slopes.median(f"{part}.{self.job_size}_task_jobs.{team or self.team}.{name}")

    def start_and_end(self, name: str) -> float:
        """Return the cost of starting a task plus that of ending one.

        In a steady state as many tasks end as start.
        """
        return self.day_slope("start", name) + self.day_slope("end", name)

    @property
    def changed_reports(self) -> float:
        """Reports per second that are sent because a task changed.

        A worker sends at most one report in half a second.
        """
        return min(2 * self.starts, 2 * self.workers)

    @property
    def unchanged_reports(self) -> float:
        """Reports per second that are sent because the report interval has passed."""
        return max(0.0, self.workers / LIMITS.report_s - self.changed_reports)

    @property
    def polls_per_second(self) -> float:
        """Polls of live jobs per second, where users poll each job every five seconds."""
        return self.live_jobs / 5.0

    @property
    def state_requests(self) -> float:
        """Requests per second for starts, ends and the controllers' leases."""
        return self.starts * self.start_and_end("state.messages") + self.layout.controllers / (
            LIMITS.controller_lease_s / 3
        )

    @property
    def poll_capacity(self) -> float:
        """Polls per second that fit into the fifth of all requests that polls may use."""
        return 0.2 * LIMITS.state_requests * LIMITS.state_conditions

    @property
    def watches_per_second(self) -> float:
        """Watches opened per second.

        Each controller opens its watch again after every answer. Each job that is accepted or ends
        causes an answer, but a watch cannot be opened faster than the state service answers.
        """
        changes = 2 * self.starts / self.job_size
        return self.layout.controllers * min(changes, 1 / STATE_ANSWER_S)

    @property
    def heartbeats_per_second(self) -> float:
        """Heartbeats per second that a controller sends; it also answers as many."""
        return (self.layout.controllers - 1) / (LIMITS.controller_lease_s / 4)

    def cores_by_work(self) -> dict[str, float]:
        """Return the cores that a controller needs for each kind of work."""
        median, share = self.slopes.median, 1.0 / self.layout.controllers
        peer = median("exchange.peer.asking.seconds") + median("exchange.peer.answering.seconds")
        client = median("exchange.http_client.seconds")
        reports = self.changed_reports * median(
            "report.8_tasks.changed.seconds"
        ) + self.unchanged_reports * median("report.8_tasks.seconds")
        worker_sockets = self.starts * (
            client
            * (self.start_and_end("state.messages") + self.start_and_end("commands.messages"))
            + peer * self.start_and_end("peers.messages") / 2
        )
        return {
            "starts and ends": share * self.starts * self.start_and_end("seconds"),
            "their sockets": share * worker_sockets,
            "reports": share * reports,
            "polls": share * self.polls_per_second * (self.day_slope("poll", "seconds") + client),
            "heartbeats": self.heartbeats_per_second
            * (median("heartbeat.0_waiting.seconds") + peer),
            "refreshes while room is short": self.refresh_seconds() / (LIMITS.report_s / 2),
        }

    def refresh_seconds(self) -> float:
        """Return the processor time of pulling all peers' tables once and answering as many pulls.

        The tables count as whole, because under such a load nearly every machine has changed
        since the last refresh.
        """
        name, controllers = f"refresh.{REFRESHED_MACHINES}_machines.whole", self.layout.controllers
        rows = self.workers * (controllers - 1) / controllers / REFRESHED_MACHINES
        return rows * (
            self.slopes.median(f"{name}.asking.seconds")
            + self.slopes.median(f"{name}.answering.seconds")
        )

    def memory_mb(self) -> float:
        """Return the memory that a controller uses beyond that of an empty process."""
        median, share = self.slopes.median, 1.0 / self.layout.controllers
        leader_extra_bytes = median("memory.live_job.at_home.bytes") - median(
            "memory.live_job.bytes"
        )
        return (
            self.workers * median("memory.room.bytes")
            + share * self.workers * median("memory.machine.owned.bytes")
            + share * self.running * median("memory.task.owned.bytes")
            + self.live_jobs * median("memory.live_job.bytes")
            + share * self.live_jobs * leader_extra_bytes
        ) / 1e6

    def worker_sockets(self) -> float:
        """Return a controller's worker connections after a controller machine of its cell ended."""
        return self.workers / max(1, self.layout.controllers - self.layout.controllers_per_machine)

    def load_seconds(self) -> float:
        """Return a controller's processor time to load its share in a new epoch."""
        measured_s = self.slopes.median(f"load.{LOADED_JOBS}_live_jobs.seconds")
        return self.live_jobs * measured_s / LOADED_JOBS / MEASURED_CONTROLLERS

    def load_read_seconds(self) -> float:
        """Return the time that all controllers together need to read the chunks.

        The state service's request limit bounds it, at a thousand keys per request.
        """
        chunks = self.live_jobs * max(1.0, self.job_size / 500)
        return self.layout.controllers * chunks / 1000 / LIMITS.state_requests


def layout_rows(slopes: Slopes, layout: Layout) -> list[Row]:
    """Return the rows of all roles for one cell of a layout.

    If the fleet is not divided, its only cell is the whole fleet.
    """
    mixes = [Demand(slopes, layout, tasks) for tasks in JOB_SIZES]
    result = [
        *state_service_rows(mixes),
        *processor_rows(mixes),
        *connection_rows(mixes),
        *memory_and_cloud_rows(mixes),
    ]
    if layout.cells == 1:
        return result
    return [row._replace(state=DESIGN_ONLY) for row in result] + cross_cell_rows(layout)


def existing_row(
    role: str,
    resource: str,
    unit: str,
    needed: Iterable[float],
    limit: float,
    carried_by: str,
) -> Row:
    """Build a row for a mechanism that is implemented."""
    return Row(role, resource, unit, tuple(needed), limit, carried_by, MECHANISM_EXISTS)


def state_service_rows(mixes: list[Demand]) -> list[Row]:
    """Return the demand on the state service, without the reads that load an epoch."""
    role = "state service"
    return [
        existing_row(
            role,
            "puts and deletes a second",
            "/s",
            (d.starts * d.start_and_end("state.operations") for d in mixes),
            LIMITS.state_writes,
            "chunks of an array in one record, outcomes gathered",
        ),
        existing_row(
            role,
            "requests a second, without polls and watches",
            "/s",
            (d.state_requests for d in mixes),
            LIMITS.state_requests,
            "one transaction for all tasks of a job that start together",
        ),
        existing_row(
            role,
            "watches opened a second",
            "/s",
            (d.watches_per_second for d in mixes),
            LIMITS.state_requests,
            "one watch for all records that are mirrored",
        ),
        existing_row(
            role,
            f"changes in {USER_STATUS_LAG_S:g} s, against the history that watches read",
            "",
            (USER_STATUS_LAG_S * d.starts * d.start_and_end("state.operations") for d in mixes),
            LIMITS.state_history,
            "a mirror that is behind reads all keys again",
        ),
        existing_row(
            "users' way in",
            "polls a second",
            "/s",
            (d.polls_per_second for d in mixes),
            mixes[0].poll_capacity,
            "polls compared many at a time",
        ),
    ]


PROCESSOR_WORK = (
    ("controller as home", "starts and ends", "homes by hash"),
    ("controller as home", "their sockets", "pooled connections"),
    ("controller as owner", "reports", "owners by hash, remembered heads"),
    ("controller", "polls", "compared many at a time"),
    ("controller", "heartbeats", "a revision in place of the table"),
    ("controller", "refreshes while room is short", "changes in place of tables"),
)


def processor_rows(mixes: list[Demand]) -> list[Row]:
    """Return a controller's total processor time and that of each kind of work."""
    cores = [d.cores_by_work() for d in mixes]
    total = existing_row(
        "controller, sum",
        "processor",
        "cores",
        (sum(work_cores.values()) for work_cores in cores),
        LIMITS.cores,
        "owners and homes by hash",
    )
    parts = [
        existing_row(
            role,
            f"processor: {work}",
            "cores",
            (work_cores[work] for work_cores in cores),
            LIMITS.cores,
            carried_by,
        )
        for role, work, carried_by in PROCESSOR_WORK
    ]
    return [total, *parts]


def connection_rows(mixes: list[Demand]) -> list[Row]:
    """Return the demand on a controller's sockets."""
    return [
        existing_row(
            "controller as owner",
            "workers' connections, one machine for control ended",
            "",
            (d.worker_sockets() for d in mixes),
            LIMITS.accepted_sockets,
            "idle users' connections give way",
        ),
        existing_row(
            "controller",
            "connections of peers (four for each controller)",
            "",
            (4.0 * d.layout.controllers for d in mixes),
            LIMITS.sockets / 8,
            "the oldest is closed",
        ),
    ]


def memory_and_cloud_rows(mixes: list[Demand]) -> list[Row]:
    """Return the demand on memory, on loading a new epoch, and on the cloud."""
    lost_per_second = (TARGET_SIZE.failures_per_day + TARGET_SIZE.replacements_per_day) / DAY_S
    return [
        existing_row(
            "controller",
            "memory besides the empty process",
            "MB",
            (d.memory_mb() for d in mixes),
            LIMITS.memory_mb,
            "only what is live is kept",
        ),
        existing_row(
            "controller",
            "processor time to load an epoch",
            "s",
            (d.load_seconds() for d in mixes),
            LIMITS.controller_lease_s,
            "each reads all chunks and keeps its own",
        ),
        existing_row(
            "state service",
            "time to read all chunks for an epoch",
            "s",
            (d.load_read_seconds() for d in mixes),
            LIMITS.controller_lease_s,
            "a thousand keys a request",
        ),
        existing_row(
            "controller as renter",
            "time to list the fleet once",
            "s",
            (d.workers / LIMITS.listed_per_request / LIMITS.cloud_requests for d in mixes),
            LIMITS.lease_s,
            "pages of 500",
        ),
        existing_row(
            "cloud",
            "returns and rentals of an ordinary day, one machine a request",
            "/s",
            (2 * lost_per_second / d.layout.cells for d in mixes),
            LIMITS.cloud_requests,
            "machines that are returned together go in one request",
        ),
    ]


def cross_cell_rows(layout: Layout) -> list[Row]:
    """Return the traffic of all cells with the one service that spans them."""
    portions = TARGET_SIZE.teams * layout.cells / QUOTA_PORTION_INTERVAL_S
    changes = TARGET_SIZE.config_changes_per_day / DAY_S * layout.cells
    mix_count = len(JOB_SIZES)
    return [
        Row(
            "what spans regions",
            "portions of quotas asked for or returned, "
            f"each once in {QUOTA_PORTION_INTERVAL_S:g} s",
            "/s",
            (portions,) * mix_count,
            LIMITS.state_writes,
            "conditional commits of one record a team",
            DESIGN_ONLY,
        ),
        Row(
            "what spans regions",
            "configuration changes told to a cell",
            "/s",
            (changes,) * mix_count,
            LIMITS.state_requests,
            "versioned records, watched and relayed",
            DESIGN_ONLY,
        ),
    ]


def worker_traffic(slopes: Slopes) -> Iterator[tuple[str, float]]:
    """Yield the name of a load and the control traffic of a worker under this load.

    The traffic is in bytes per second and includes both directions.
    """
    report_bytes = sum(
        slopes.median(f"report.8_tasks.{part}") for part in ("bytes", "answer.bytes")
    )
    head_bytes = 60  # HTTP head of an answer
    starts_per_worker = TARGET_SIZE.starts_per_second / TARGET_SIZE.workers
    yield "nothing changes", (report_bytes + head_bytes) / LIMITS.report_s
    yield (
        "its share of the peak, one report for each start and end",
        (report_bytes + head_bytes) * 2 * starts_per_worker,
    )
    yield "all it may send, one report in half a second", (report_bytes + head_bytes) * 2.0


def state_operations(slopes: Slopes) -> list[tuple[int, str, float, float, float, float]]:
    """Return the state service operations of a start and an end, for each mix and team.

    Each row holds the tasks per job, the team, and the puts and deletes of a start, of an end and
    of both. The last field is the puts and deletes per second at the peak, divided by the limit of
    one state service.
    """
    result = []
    for tasks in JOB_SIZES:
        for team in ("limited", "free"):
            demand = Demand(slopes, Layout("", 1, TARGET_SIZE.controller_machines), tasks, team)
            start = demand.day_slope("start", "state.operations")
            end = demand.day_slope("end", "state.operations")
            peak = TARGET_SIZE.starts_per_second * (start + end) / LIMITS.state_writes
            result.append((tasks, team, start, end, start + end, peak))
    return result


def failure_rates() -> dict[str, float]:
    """Return what a day's failures and replacements cause, as rates, counts and durations."""
    lost_per_day = TARGET_SIZE.failures_per_day + TARGET_SIZE.replacements_per_day
    lost_share = lost_per_day / TARGET_SIZE.workers
    controller_ends = lost_share * TARGET_SIZE.controller_machines
    machines_per_zone = TARGET_SIZE.workers / TARGET_SIZE.zones
    tasks_per_zone = TARGET_SIZE.running_tasks / TARGET_SIZE.zones
    return {
        "machines returned and rented a day": lost_per_day,
        "machines returned and rented an hour": lost_per_day / 24,
        "tasks started again a day": lost_per_day * TARGET_SIZE.running_tasks / TARGET_SIZE.workers,
        "controllers that end a day (machines alike)": controller_ends,
        "epochs a day (two for each end)": 2 * controller_ends,
        "machines of a zone": machines_per_zone,
        "tasks of a zone": tasks_per_zone,
        "seconds to return a zone's machines": machines_per_zone
        / LIMITS.returned_per_request
        / LIMITS.cloud_requests,
        "seconds to rent as many": machines_per_zone
        / LIMITS.rented_per_request
        / LIMITS.cloud_requests,
        "configuration changes a second": TARGET_SIZE.config_changes_per_day / DAY_S,
        "jobs a second, a day's mean": TARGET_SIZE.jobs_per_day / DAY_S,
        "seconds for which a day's jobs last at the peak if each has one task": (
            TARGET_SIZE.jobs_per_day / TARGET_SIZE.starts_per_second
        ),
    }
