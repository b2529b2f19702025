"""The simulated deployment: all of its parts put together."""

from __future__ import annotations

import math
import random
from collections.abc import Callable, Coroutine
from typing import Any

import curio

from clayport.controller import Controller

from .cloud import Cloud
from .controllers import Controllers
from .machine import Worker
from .network import Network
from .rules import Rules
from .simulation import Clock
from .state_service import State
from .users import Users


class World(Users, Rules, Network, Cloud, Controllers):
    """A deployment in simulated time, with faults to inject and checks of the rules."""

    def __init__(
        self, clock: Clock, seed: int, controllers: int = 3, rebuild: bool = False
    ) -> None:
        super().__init__()
        self.rebuild = rebuild  # whether controllers rebuild records that the state service loses
        # Whether a submission is answered 201 only after a second place stores the record.
        self.second_copy = False
        self.disks: dict[str, str] = {}  # snapshot directories, by the label of the controller
        self.clock, self.rng = clock, random.Random(seed)
        self.labels = [f"c{i}" for i in range(controllers)]
        self.state = State(self)
        self.workers: dict[str, Worker] = {}
        self.controllers: dict[str, Controller] = {}
        self.routines: dict[str, curio.Task] = {}
        # Disconnected endpoints, and disconnected directed links in the form "SOURCE>TARGET".
        self.partitioned: set[str] = set()
        self.held_senders: set[str] = set()  # controllers whose requests to workers are held
        # Commands held for an unlimited time, in the order in which they were sent, by the label of
        # the sender.
        self.interrupted_senders: dict[str, list[Callable[[], Any]]] = {}
        self.hold_s = (1.0, 40.0)  # range of the time for which a held message is in flight
        self.duplicated_frame_kinds: set[int] = set()  # a copy of such frames arrives late
        self.loss = 0.0  # share of requests that are lost or lose their answer
        # `late_writes` is the share of transactions that get no answer and are executed 2 to 12 s
        # later. `late_reports` is the share of reports of which a copy arrives at any controller
        # up to two leases later.
        self.late_writes = self.late_reports = 0.0
        # `lost_answers` is the share of transactions that are executed at once and lose only
        # their answer, `kept_reports` the share of reports of which a copy is kept until the next
        # epoch, `late_commands` the share of direct commands that get no answer and are executed
        # 2 to 16 s later, and `cancelled_at_end` the share of jobs that a user cancels when their
        # last task completes.
        self.lost_answers = self.kept_reports = self.late_commands = self.cancelled_at_end = 0.0
        # `repeated_commands` is the share of answered direct commands that arrive once more 1 to
        # 9 s later, `repeated_requests` the same of all other requests that change something, and
        # `failing_tasks` the share of started tasks that soon exit with an error.
        self.repeated_commands = self.repeated_requests = self.failing_tasks = 0.0
        self.failing_machines: set[str] = set()  # machines on which every started task soon fails
        self.failing_jobs: set[str] = set()  # jobs whose tasks soon fail on every machine
        self.capacity = 14  # how many machines the cloud has
        # The time, the machine and the task of each start.
        self.starts: list[tuple[float, str, str]] = []
        self.answered_commands: list[Callable[[], Any]] = []
        self.report_copies: list[tuple[str, bytes]] = []  # machine and body of each kept report
        self.reports_blocked: set[str] = (
            set()
        )  # machines that reach no controller and still get commands
        # A zone, with the controllers in it, that is isolated from everything outside.
        self.isolated_zone = ""
        self.isolated_controllers: set[str] = set()
        self.boot_s: tuple[float, float] = (4.0, 12.0)
        self.link_s = 0.0  # upper bound of an additional delay of each request
        self.replies_blocked: set[str] = (
            set()
        )  # machines whose reports arrive and which receive nothing
        self.slow_s = 0.0  # upper bound of an additional delay of the state service
        self.watch_delay_s = 0.0  # upper bound of an additional delay of each watch answer
        # A task runs longer by this share of the job's run time, multiplied by the task's number.
        self.run_time_spread = 0.0
        self.deferred_routines: list[Callable[[], Coroutine[Any, Any, None]]] = []
        self.jobs: dict[str, dict[str, Any]] = {}
        self.run_s: dict[str, float] = {}  # time for which each task of a job runs
        self.results: dict[str, set[int]] = {}  # numbers of the done tasks of each job
        # Launches issued and tasks started after a user was told that their job is cancelled, each
        # with the seconds since then. No rule of the bench counts those within `cancel_s`.
        self.issued_cancelled: list[tuple[str, float]] = []
        self.started_cancelled: list[tuple[str, float]] = []
        self.machine_number = 0
        self.rentals: dict[str, list[str]] = {}
        self.launches = 0
        self.sized_chunk_keys: set[str] = set()  # keys of chunks that contain the chunk size
        self.rejected_writes: list[str] = []  # writes above the limits of the state service
        self.old_version_controllers: set[str] = set()  # controllers that run the previous version
        self.upgraded_at = math.inf  # when no controller runs the previous version any longer
        self.job_groups: dict[
            str, str
        ] = {}  # the group of each job, in tests that distinguish groups

    async def open(self) -> None:
        """Start the controllers, the users' requests, the rule checks and the spawner."""
        for label in self.labels:
            await self.start(label)
        for routine in (self.spawner, self.poll, self.send_odd_requests, self.watch_rules):
            await curio.spawn(routine, daemon=True)

    async def spawner(self) -> None:
        """Spawn the deferred routines, because synchronous code cannot await `curio.spawn`."""
        while True:
            while self.deferred_routines:
                await curio.spawn(self.deferred_routines.pop(0), daemon=True)
            await curio.sleep(0.1)
