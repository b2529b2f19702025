"""Everything outside the controllers, put together."""

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
    """Everything outside the controllers, and the Rules."""

    def __init__(
        self, clock: Clock, seed: int, controllers: int = 3, rebuild: bool = False
    ) -> None:
        super().__init__()
        self.rebuild = rebuild  # whether controllers rebuild what the state service loses
        self.second_copy = False  # whether 201 waits until a second place has the record
        self.disks: dict[str, str] = {}  # controllers that have one, and where
        self.clock, self.rng = clock, random.Random(seed)
        self.labels = [f"c{i}" for i in range(controllers)]
        self.state = State(self)
        self.workers: dict[str, Worker] = {}
        self.controllers: dict[str, Controller] = {}
        self.routines: dict[str, curio.Task] = {}
        self.cut: set[str] = set()  # endpoints nothing reaches
        self.held: set[str] = set()  # controllers whose requests are held
        self.hold_s = (1.0, 40.0)  # how long what is held is on its way
        self.doubled: set[int] = set()  # kinds of frames that are delivered late once more
        self.loss = 0.0
        # Shares of transactions that get no answer and are carried out 2 to 12 s later, and
        # of reports of which a copy arrives again, at any controller, up to two leases later.
        self.late_writes = self.late_reports = 0.0
        # Shares of transactions carried out at once of which only the answer is lost; of reports
        # of which a copy is kept for the next epoch; of direct commands that get no answer
        # and are carried out 2 to 16 s late; of the jobs that are cancelled as they end.
        self.lost_answers = self.kept_reports = self.late_commands = self.cancelled_at_end = 0.0
        self.copies: list[tuple[str, bytes]] = []  # the reports that are kept
        self.mute: set[str] = set()  # machines that reach no controller, while commands arrive
        # A zone and the controllers in it that reach only each other.
        self.enclosed_zone = ""
        self.enclosed: set[str] = set()
        self.boot_s: tuple[float, float] = (4.0, 12.0)
        self.link_s = 0.0  # a message takes up to so much longer on its way
        self.deaf: set[str] = set()  # machines whose reports arrive, and which hear nothing
        self.slow_s = 0.0  # the state service takes up to so long for an answer
        self.news_late_s = 0.0  # and so long more until a watch hears of a change
        # The tasks of an array run this much longer, in shares of the job's run time, by number.
        self.apart = 0.0
        self.late: list[Callable[[], Coroutine[Any, Any, None]]] = []
        self.jobs: dict[str, dict[str, Any]] = {}
        self.run_s: dict[str, float] = {}
        self.results: dict[str, set[int]] = {}
        # Launches issued, and tasks that started, after their job was confirmed as cancelled,
        # and how long after. Within `cancel_s` no rule of the bench counts them.
        self.issued_cancelled: list[tuple[str, float]] = []
        self.started_cancelled: list[tuple[str, float]] = []
        self.machine_number = 0
        self.rentals: dict[str, list[str]] = {}
        self.launches = 0
        self.moved: set[str] = set()  # keys of chunks that say their size
        self.refused: list[str] = []  # what was larger than the state service takes
        self.old: set[str] = set()  # controllers of the version before
        self.upgraded_at = math.inf  # when the last of them had gone
        self.kinds: dict[str, str] = {}  # of jobs, where a test tells them apart

    async def open(self) -> None:
        """Everybody begins: controllers, machines as they come, users who ask, the Rules."""
        for label in self.labels:
            await self.start(label)
        for routine in (self.spawner, self.poll, self.ask_oddly, self.watch_rules):
            await curio.spawn(routine, daemon=True)

    async def spawner(self) -> None:
        while True:
            while self.late:
                await curio.spawn(self.late.pop(0), daemon=True)
            await curio.sleep(0.1)
