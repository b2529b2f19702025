"""The size that the system is designed for, and the settings and limits it is compared with."""

from __future__ import annotations

from typing import NamedTuple

DAY_S = 86_400.0


class TargetSize(NamedTuple):
    """The load that the system must carry, as its users state it."""

    workers: int = 29_000
    running_tasks: int = 240_000
    gang_tasks: int = 512
    jobs_per_day: int = 270_000
    starts_per_second: float = 14_000.0
    teams: int = 270
    urgent_s: float = 1.6
    regions: int = 6
    zones: int = 19
    config_changes_per_day: int = 46_000
    change_s: float = 6.0
    worker_core: float = 0.031
    worker_mb: float = 64.0
    worker_bytes_per_second: float = 7_000.0
    controller_machines: int = 47
    failures_per_day: int = 170
    replacements_per_day: int = 1_900


class Limits(NamedTuple):
    """Settings of the largest deployment today; those of the target size are not known."""

    report_s: float = 2.5
    lease_s: float = 15.0
    state_requests: float = 700.0
    state_writes: float = 300.0
    state_conditions: int = 4 * 32
    state_history: int = 10_000
    cloud_requests: float = 3.5
    rented_per_request: int = 50
    returned_per_request: int = 100
    listed_per_request: int = 500
    cores: float = 1.0
    memory_mb: float = 400.0
    sockets: int = 1_000

    @property
    def controller_lease_s(self) -> float:
        """Duration of the lease on a controller's key, as `Controller` derives it."""
        return 0.3 * self.lease_s

    @property
    def accepted_sockets(self) -> int:
        """Connections of workers and users that a controller accepts."""
        return self.sockets * 5 // 8


class Layout(NamedTuple):
    """A division of the fleet into cells."""

    name: str
    cells: int
    controllers: int  # in each cell
    controllers_per_machine: int = 1


TARGET_SIZE = TargetSize()
LIMITS = Limits()
ONE_FLEET = Layout("one fleet", 1, TARGET_SIZE.controller_machines)
# 47 controller machines give two to each of the 19 cells, and nine are left over.
CELLS = Layout(
    "a cell for each zone", TARGET_SIZE.zones, TARGET_SIZE.controller_machines // TARGET_SIZE.zones
)
PROCESS_CELLS = Layout("a cell for each zone, three controllers a machine", CELLS.cells, 6, 3)
REGION_CELLS = Layout(
    "a cell for each region",
    TARGET_SIZE.regions,
    TARGET_SIZE.controller_machines // TARGET_SIZE.regions,
)
# Interval at which a cell requests or returns a portion of a team's quota. Such portions are a
# design that is not implemented.
QUOTA_PORTION_INTERVAL_S = 60.0
# Numbers of tasks per job. The cost of a start depends on this number, and the target size does
# not specify how many tasks the jobs at the peak have. With one-task jobs, the peak rate would use
# up `jobs_per_day` within seconds.
JOB_SIZES = (100, 10, 1)
