"""The size that is designed for, and the settings and limits it is held against."""

from __future__ import annotations

from typing import NamedTuple

DAY_S = 86_400.0


class Size(NamedTuple):
    """What the system has to carry, as given by its users."""

    workers: int = 29_000
    running_tasks: int = 240_000
    gang_tasks: int = 512
    jobs_a_day: int = 270_000
    starts_a_second: float = 14_000.0
    teams: int = 270
    urgent_s: float = 1.6
    regions: int = 6
    zones: int = 19
    changes_a_day: int = 46_000
    change_s: float = 6.0
    worker_core: float = 0.031
    worker_mb: float = 64.0
    worker_bytes_a_second: float = 7_000.0
    control_machines: int = 47
    failures_a_day: int = 170
    replacements_a_day: int = 1_900


class Limits(NamedTuple):
    """The settings of the largest deployment today; what the size will have isn't known."""

    report_s: float = 2.5
    lease_s: float = 15.0
    state_requests: float = 700.0
    state_writes: float = 300.0
    state_conditions: int = 4 * 32
    state_history: int = 10_000
    cloud_requests: float = 3.5
    rented_a_request: int = 50
    returned_a_request: int = 100
    listed_a_request: int = 500
    cores: float = 1.0
    memory_mb: float = 400.0
    sockets: int = 1_000

    @property
    def controller_lease_s(self) -> float:
        """The lease of a controller's key, as `Controller` derives it."""
        return 0.3 * self.lease_s

    @property
    def accepted_sockets(self) -> int:
        """Connections of workers and users that a controller accepts."""
        return self.sockets * 5 // 8


class Layout(NamedTuple):
    """How the fleet is divided."""

    name: str
    cells: int
    controllers: int  # of each cell
    processes: int = 1  # controllers on one machine


SIZE = Size()
LIMITS = Limits()
ONE_FLEET = Layout("one fleet", 1, SIZE.control_machines)
# Two of the 47 machines for each of 19 cells; nine are left over.
CELLS = Layout("a cell for each zone", SIZE.zones, SIZE.control_machines // SIZE.zones)
PROCESS_CELLS = Layout("a cell for each zone, three controllers a machine", CELLS.cells, 6, 3)
REGION_CELLS = Layout("a cell for each region", SIZE.regions, SIZE.control_machines // SIZE.regions)
# How often a cell asks for more of a team's quota, or returns some (on paper).
PORTION_INTERVAL_S = 60.0
# Tasks of a job: which of these the peak consists of decides what a start costs. The size
# list doesn't say; `jobs_a_day` rules out one-task jobs for longer than seconds.
MIXES = (100, 10, 1)
