"""The sums: what each role has to carry at the size, from the measured slopes."""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from typing import NamedTuple

from .figures import Slopes
from .size import DAY_S, LIMITS, MIXES, PORTION_INTERVAL_S, SIZE, Layout

EXISTS, PAPER = "exists, not run at this size", "on paper"
MEASURED_CONTROLLERS = 3  # of the simulated world that the counts come from
ANSWER_S = 0.01  # what the protocol calls usual for the state service
LAG_S = 3.0  # by which the protocol lets what users are told lag
LOADED_JOBS = 3000
REFRESHED = 1800


class Row(NamedTuple):
    """One resource of one role: what is needed for each mix of jobs, and its limit."""

    role: str
    resource: str
    unit: str
    needed: tuple[float, ...]  # in the order of MIXES
    limit: float
    carried_by: str
    state: str

    @property
    def factor(self) -> float:
        """How many times over its limit it is with the mildest mix."""
        return min(self.needed) / self.limit

    @property
    def worst(self) -> float:
        """The same with the worst mix."""
        return max(self.needed) / self.limit


class Demand:
    """What comes to one cell's controllers and records, for one mix of jobs."""

    def __init__(self, slopes: Slopes, layout: Layout, tasks: int, team: str = "limited") -> None:
        self.slopes, self.layout, self.tasks, self.team = slopes, layout, tasks, team
        self.starts = SIZE.starts_a_second / layout.cells
        self.workers = SIZE.workers / layout.cells
        self.running = SIZE.running_tasks / layout.cells
        self.live_jobs = self.running / tasks

    def day(self, part: str, name: str, team: str = "") -> float:
        """A slope of the simulated day with this mix."""
        return self.slopes.median(f"{part}.{self.tasks}_task_jobs.{team or self.team}.{name}")

    def each(self, name: str) -> float:
        """What a task's start and end cost together: as many end as start."""
        return self.day("start", name) + self.day("end", name)

    @property
    def changed_reports(self) -> float:
        """Reports a second because of what changed, at most one in half a second each."""
        return min(2 * self.starts, 2 * self.workers)

    @property
    def unchanged_reports(self) -> float:
        """Reports a second because of their interval."""
        return max(0.0, self.workers / LIMITS.report_s - self.changed_reports)

    @property
    def polls(self) -> float:
        """Polls a second of live jobs, each every five seconds."""
        return self.live_jobs / 5.0

    @property
    def state_requests(self) -> float:
        """Requests a second for starts and ends, and to keep the controllers' leases."""
        return self.starts * self.each("state.messages") + self.layout.controllers / (
            LIMITS.controller_lease_s / 3
        )

    @property
    def poll_capacity(self) -> float:
        """Polls a second that fit into the fifth of all requests which polls may take."""
        return 0.2 * LIMITS.state_requests * LIMITS.state_conditions

    @property
    def watches(self) -> float:
        """Watches opened a second: each controller opens one again after every answer, which
        comes with each job that is accepted or ends, but not faster than answers do."""
        changes = 2 * self.starts / self.tasks
        return self.layout.controllers * min(changes, 1 / ANSWER_S)

    @property
    def heartbeats(self) -> float:
        """Heartbeats a second that a controller sends, and as many that it answers."""
        return (self.layout.controllers - 1) / (LIMITS.controller_lease_s / 4)

    def processor(self) -> dict[str, float]:
        """Cores that a controller needs for each kind of its work."""
        median, share = self.slopes.median, 1.0 / self.layout.controllers
        peer = median("exchange.peer.asking.seconds") + median("exchange.peer.answering.seconds")
        client = median("exchange.http_client.seconds")
        reports = self.changed_reports * median(
            "report.8_tasks.changed.seconds"
        ) + self.unchanged_reports * median("report.8_tasks.seconds")
        sockets = self.starts * (
            client * (self.each("state.messages") + self.each("commands.messages"))
            + peer * self.each("peers.messages") / 2
        )
        return {
            "starts and ends": share * self.starts * self.each("seconds"),
            "their sockets": share * sockets,
            "reports": share * reports,
            "polls": share * self.polls * (self.day("poll", "seconds") + client),
            "heartbeats": self.heartbeats * (median("heartbeat.0_waiting.seconds") + peer),
            "refreshes while room is short": self.refresh_seconds() / (LIMITS.report_s / 2),
        }

    def refresh_seconds(self) -> float:
        """Processor time of one look at all peers' tables, and of answering as many: under
        such a load nearly every machine has changed since the last one."""
        name, controllers = f"refresh.{REFRESHED}_machines.whole", self.layout.controllers
        rows = self.workers * (controllers - 1) / controllers / REFRESHED
        return rows * (
            self.slopes.median(f"{name}.asking.seconds")
            + self.slopes.median(f"{name}.answering.seconds")
        )

    def memory_mb(self) -> float:
        """What a controller holds besides the empty process."""
        median, share = self.slopes.median, 1.0 / self.layout.controllers
        at_home = median("memory.live_job.at_home.bytes") - median("memory.live_job.bytes")
        return (
            self.workers * median("memory.room.bytes")
            + share * self.workers * median("memory.machine.owned.bytes")
            + share * self.running * median("memory.task.owned.bytes")
            + self.live_jobs * median("memory.live_job.bytes")
            + share * self.live_jobs * at_home
        ) / 1e6

    def sockets(self) -> float:
        """Connections of workers when one machine of the cell has ended."""
        return self.workers / max(1, self.layout.controllers - self.layout.processes)

    def load_seconds(self) -> float:
        """Processor time for each controller to take over its share in a new epoch."""
        whole = self.slopes.median(f"load.{LOADED_JOBS}_live_jobs.seconds")
        return self.live_jobs * whole / LOADED_JOBS / MEASURED_CONTROLLERS

    def load_read_seconds(self) -> float:
        """How long the state service's limit makes all controllers' reading of the chunks
        last, at a thousand keys a request."""
        chunks = self.live_jobs * max(1.0, self.tasks / 500)
        return self.layout.controllers * chunks / 1000 / LIMITS.state_requests


def rows(slopes: Slopes, layout: Layout) -> list[Row]:
    """What each role of one cell has to carry (of the whole fleet, if it isn't divided)."""
    mixes = [Demand(slopes, layout, tasks) for tasks in MIXES]
    found = [
        *state_service(mixes),
        *processors(mixes),
        *connections(mixes),
        *the_rest(mixes),
    ]
    if layout.cells == 1:
        return found
    return [row._replace(state=PAPER) for row in found] + spanning(layout)


def row(
    role: str,
    resource: str,
    unit: str,
    needed: Iterable[float],
    limit: float,
    carried_by: str,
) -> Row:
    """One whose mechanism exists today."""
    return Row(role, resource, unit, tuple(needed), limit, carried_by, EXISTS)


def state_service(mixes: list[Demand]) -> list[Row]:
    """What is asked of the state service, beside the reading of a load."""
    role = "state service"
    return [
        row(
            role,
            "puts and deletes a second",
            "/s",
            (d.starts * d.each("state.operations") for d in mixes),
            LIMITS.state_writes,
            "chunks of an array in one record, outcomes gathered",
        ),
        row(
            role,
            "requests a second, without polls and watches",
            "/s",
            (d.state_requests for d in mixes),
            LIMITS.state_requests,
            "one transaction for all tasks of a job that start together",
        ),
        row(
            role,
            "watches opened a second",
            "/s",
            (d.watches for d in mixes),
            LIMITS.state_requests,
            "one watch for all records that are mirrored",
        ),
        row(
            role,
            f"changes in {LAG_S:g} s, against the history that watches read",
            "",
            (LAG_S * d.starts * d.each("state.operations") for d in mixes),
            LIMITS.state_history,
            "a mirror that is behind reads all keys again",
        ),
        row(
            "users' way in",
            "polls a second",
            "/s",
            (d.polls for d in mixes),
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


def processors(mixes: list[Demand]) -> list[Row]:
    """A controller's processor time, in all and for each kind of its work."""
    spent = [d.processor() for d in mixes]
    whole = row(
        "controller, sum",
        "processor",
        "cores",
        (sum(each.values()) for each in spent),
        LIMITS.cores,
        "owners and homes by hash",
    )
    parts = [
        row(
            role,
            f"processor: {kind}",
            "cores",
            (each[kind] for each in spent),
            LIMITS.cores,
            carried_by,
        )
        for role, kind, carried_by in PROCESSOR_WORK
    ]
    return [whole, *parts]


def connections(mixes: list[Demand]) -> list[Row]:
    """A controller's sockets."""
    return [
        row(
            "controller as owner",
            "workers' connections, one machine for control ended",
            "",
            (d.sockets() for d in mixes),
            LIMITS.accepted_sockets,
            "idle users' connections give way",
        ),
        row(
            "controller",
            "connections of peers (four for each controller)",
            "",
            (4.0 * d.layout.controllers for d in mixes),
            LIMITS.sockets / 8,
            "the oldest is closed",
        ),
    ]


def the_rest(mixes: list[Demand]) -> list[Row]:
    """Memory, what a new epoch loads, and what is asked of the cloud."""
    lost = (SIZE.failures_a_day + SIZE.replacements_a_day) / DAY_S
    return [
        row(
            "controller",
            "memory besides the empty process",
            "MB",
            (d.memory_mb() for d in mixes),
            LIMITS.memory_mb,
            "only what is live is kept",
        ),
        row(
            "controller",
            "processor time to load an epoch",
            "s",
            (d.load_seconds() for d in mixes),
            LIMITS.controller_lease_s,
            "each reads all chunks and keeps its own",
        ),
        row(
            "state service",
            "time to read all chunks for an epoch",
            "s",
            (d.load_read_seconds() for d in mixes),
            LIMITS.controller_lease_s,
            "a thousand keys a request",
        ),
        row(
            "controller as renter",
            "time to list the fleet once",
            "s",
            (d.workers / LIMITS.listed_a_request / LIMITS.cloud_requests for d in mixes),
            LIMITS.lease_s,
            "pages of 500",
        ),
        row(
            "cloud",
            "returns and rentals of an ordinary day, one machine a request",
            "/s",
            (2 * lost / d.layout.cells for d in mixes),
            LIMITS.cloud_requests,
            "machines that are returned together go in one request",
        ),
    ]


def spanning(layout: Layout) -> list[Row]:
    """What goes between cells, to one place for all of them."""
    portions = SIZE.teams * layout.cells / PORTION_INTERVAL_S
    changes = SIZE.changes_a_day / DAY_S * layout.cells
    same = len(MIXES)
    return [
        Row(
            "what spans regions",
            f"portions of quotas asked for or returned, each once in {PORTION_INTERVAL_S:g} s",
            "/s",
            (portions,) * same,
            LIMITS.state_writes,
            "conditional commits of one record a team",
            PAPER,
        ),
        Row(
            "what spans regions",
            "configuration changes told to a cell",
            "/s",
            (changes,) * same,
            LIMITS.state_requests,
            "versioned records, watched and relayed",
            PAPER,
        ),
    ]


def worker_bytes(slopes: Slopes) -> Iterator[tuple[str, float]]:
    """Bytes a second that control costs a worker, both ways, by what changes."""
    report = sum(slopes.median(f"report.8_tasks.{part}") for part in ("bytes", "answer.bytes"))
    head = 60  # of an answer
    starts = SIZE.starts_a_second / SIZE.workers
    yield "nothing changes", (report + head) / LIMITS.report_s
    yield "its share of the peak, one report for each start and end", (report + head) * 2 * starts
    yield "all it may send, one report in half a second", (report + head) * 2.0


def operations(slopes: Slopes) -> list[tuple[int, str, float, float, float, float]]:
    """Of each mix and team: puts and deletes of a start, of an end, their sum, and at the
    peak how many times a state service's limit that is."""
    found = []
    for tasks in MIXES:
        for team in ("limited", "free"):
            demand = Demand(slopes, Layout("", 1, SIZE.control_machines), tasks, team)
            start = demand.day("start", "state.operations")
            end = demand.day("end", "state.operations")
            peak = SIZE.starts_a_second * (start + end) / LIMITS.state_writes
            found.append((tasks, team, start, end, start + end, peak))
    return found


def failures() -> dict[str, float]:
    """What a day's failures and replacements mean, as events a day and requests."""
    lost = SIZE.failures_a_day + SIZE.replacements_a_day
    share = lost / SIZE.workers
    ends = share * SIZE.control_machines
    zone = SIZE.workers / SIZE.zones
    tasks = SIZE.running_tasks / SIZE.zones
    return {
        "machines returned and rented a day": lost,
        "machines returned and rented an hour": lost / 24,
        "tasks started again a day": lost * SIZE.running_tasks / SIZE.workers,
        "controllers that end a day (machines alike)": ends,
        "epochs a day (two for each end)": 2 * ends,
        "machines of a zone": zone,
        "tasks of a zone": tasks,
        "seconds to return a zone's machines": zone
        / LIMITS.returned_a_request
        / LIMITS.cloud_requests,
        "seconds to rent as many": zone / LIMITS.rented_a_request / LIMITS.cloud_requests,
        "configuration changes a second": SIZE.changes_a_day / DAY_S,
        "jobs a second, a day's mean": SIZE.jobs_a_day / DAY_S,
        "seconds for which a day's jobs last at the peak if each has one task": SIZE.jobs_a_day
        / SIZE.starts_a_second,
    }
