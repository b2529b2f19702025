"""Slopes of whole controllers together, counted and timed in the tests' simulated world.

Machines are neither rented nor returned meanwhile, so that all days have the same fleet. A day
has a quiet part, whose rates are taken off, and one part for each kind of work: jobs that start,
are asked for, end, and are cancelled.
"""

from __future__ import annotations

import itertools
import math
import time
from collections import Counter
from collections.abc import Callable
from typing import Any, NamedTuple

import curio
import pytest

from bench.rebuild_day import STATE, furnish
from clayport.records.chunk import Chunk
from clayport.records.keys import chunk_key, live_key
from clayport.scaling.renting import Provisioner
from tests import world as simulated
from tests.world import Clock, job, simulate

from .counted_world import CountedWorld
from .figures import Figure, figure
from .sampler import Sampler

Figures = dict[str, Figure]

CONTROLLERS = 3
MACHINES = 100
TASKS = 200
QUIET_S = 20.0
APART_S = 0.05  # between two submissions, ends or cancellations
MOST_S = 300.0
FOR_EVER_S = 1e6
SEEDS = 3
TASKS_A_JOB = (1, 10, 100)
LOADED_JOBS = (300, 1000, 3000)
TEAMS = [
    {"name": "free"},
    {"name": "limited", "cpus": 0.0, "cpus_max": 1e6},
    {"name": "tight", "gpus": 1.0, "gpus_max": 4.0},
]
COUNTED = (
    "state.messages",
    "state.changes",
    "state.conflicts",
    "state.operations",
    "state.conditions",
    "state.bytes",
    "state.answers.bytes",
    "watch.messages",
    "watch.answers.bytes",
    "peers.messages",
    "peers.bytes",
    "commands.messages",
    "commands.bytes",
    "reports.messages",
    "reports.bytes",
    "reports.answers.bytes",
)


class Spent(NamedTuple):
    """What had been counted at a moment of a day."""

    counts: Counter[str]
    at: float
    processor_s: float
    samples: int
    own_samples: int


class Meter:
    """What a part of a day cost beyond what a quiet stretch of the same length costs."""

    def __init__(self, world: CountedWorld, sampler: Sampler) -> None:
        self.world, self.sampler = world, sampler
        self.quiet: dict[str, float] = {}
        self.quiet_processor_s = 0.0

    def now(self) -> Spent:
        """What has been counted so far."""
        s = self.sampler
        return Spent(
            Counter(self.world.counts),
            self.world.clock(),
            time.process_time(),
            s.controllers + s.stand_ins + s.event_loop,
            s.controllers,
        )

    @staticmethod
    def own_s(since: Spent, until: Spent) -> float:
        """Processor time of the controllers' own code between two moments."""
        samples = until.samples - since.samples
        share = (until.own_samples - since.own_samples) / samples if samples else 0.0
        return (until.processor_s - since.processor_s) * share

    def learn_quiet(self, since: Spent) -> None:
        """Take what was counted since as what every second costs."""
        until = self.now()
        length = until.at - since.at
        self.quiet = {
            name: (until.counts[name] - since.counts[name]) / length for name in until.counts
        }
        self.quiet_processor_s = self.own_s(since, until) / length

    def cost(self, since: Spent, units: int) -> dict[str, float]:
        """What each of some units of work cost since then."""
        until = self.now()
        length = until.at - since.at
        found = {
            name: (until.counts[name] - since.counts[name] - self.quiet.get(name, 0.0) * length)
            / units
            for name in COUNTED
        }
        found["seconds"] = (self.own_s(since, until) - self.quiet_processor_s * length) / units
        return found


async def until(world: CountedWorld, done: Callable[[], bool]) -> None:
    """Wait for something; an error if it doesn't come, since the figures would be wrong."""
    end = world.clock() + MOST_S
    while not done():
        if world.clock() > end:
            raise TimeoutError("a part of the simulated day doesn't come to its end")
        await curio.sleep(0.05)


def serving(world: CountedWorld) -> bool:
    """Whether every controller serves."""
    return len(world.controllers) == len(world.labels) and all(
        core.membership.serving for core in world.controllers.values()
    )


def running(world: CountedWorld) -> list[tuple[Any, tuple[str, int]]]:
    """Workers and keys of all tasks that run."""
    return [
        (worker, key)
        for worker in world.workers.values()
        for key, task in worker.tasks.items()
        if task.state == "running"
    ]


class Day:
    """One simulated day of jobs with some tasks each, of a team with a limit or without."""

    def __init__(self, seed: int, tasks: int, team: str, patch: pytest.MonkeyPatch) -> None:
        self.seed, self.tasks, self.team, self.patch = seed, tasks, team, patch
        self.found: dict[str, dict[str, float]] = {}

    async def play(self, clock: Clock) -> None:
        """All parts of the day, one after the other."""
        world = CountedWorld(clock, CONTROLLERS, self.patch)
        world.rng.seed(self.seed)
        furnish(world, MACHINES, 0, 0)
        for label in world.labels:
            await world.start(label)
        await curio.spawn(world.spawner, daemon=True)
        await until(world, lambda: serving(world))
        await curio.sleep(QUIET_S)
        with Sampler() as sampler:
            meter = Meter(world, sampler)
            since = meter.now()
            await curio.sleep(QUIET_S)
            meter.learn_quiet(since)
            names = await self._start(world, meter)
            await self._poll(world, meter, names)
            half = len(names) // 2
            await self._end(world, meter, names[:half])
            await self._cancel(world, meter, names[half:])
        self.found["quiet"] = {**meter.quiet, "seconds": meter.quiet_processor_s}

    async def _start(self, world: CountedWorld, meter: Meter) -> list[str]:
        """Jobs from their submission until the workers have reported all tasks running."""
        since, names = meter.now(), []
        for number in range(TASKS // self.tasks):
            value = job(number, pieces=self.tasks, owner=self.team, guess_s=600.0)
            names.append(value["id"])
            await curio.spawn(world.submit, value, 1e9, daemon=True)
            await curio.sleep(APART_S * self.tasks)
        await until(world, lambda: len(running(world)) == TASKS)
        await curio.sleep(5.0)
        self.found["start"] = meter.cost(since, TASKS)
        return names

    async def _poll(self, world: CountedWorld, meter: Meter, names: list[str]) -> None:
        """Every job asked for several times, at any controller."""
        rounds = math.ceil(TASKS / len(names))
        since = meter.now()
        for _ in range(rounds):
            for name in names:
                label = world.rng.choice(world.labels)
                await curio.spawn(world.user, label, "GET", f"/api/jobs/{name}", daemon=True)
                await curio.sleep(APART_S)
        await curio.sleep(2.0)
        self.found["poll"] = meter.cost(since, rounds * len(names))

    async def _end(self, world: CountedWorld, meter: Meter, names: list[str]) -> None:
        """The jobs' tasks complete one by one, until their final records are written."""
        since = meter.now()
        chosen = [row for row in running(world) if row[1][0].split("/")[0] in names]
        for worker, key in chosen:
            worker.tasks[key].until = world.clock()
            await curio.sleep(APART_S)
        await until(world, lambda: all(f"end/{name}" in world.state.keys for name in names))
        await curio.sleep(5.0)
        self.found["end"] = meter.cost(since, len(chosen))

    async def _cancel(self, world: CountedWorld, meter: Meter, names: list[str]) -> None:
        """The other jobs are cancelled, until their tasks have gone."""
        since = meter.now()
        for name in names:
            await curio.spawn(world.abort, name, daemon=True)
            await curio.sleep(APART_S * self.tasks)
        await until(world, lambda: not running(world))
        await curio.sleep(5.0)
        self.found["cancel"] = meter.cost(since, len(names))


def jobs() -> Figures:
    """What starts, ends, polls and cancellations cost; starts and ends for each task."""
    rows: dict[str, list[float]] = {}
    for tasks, team in itertools.product(TASKS_A_JOB, ("limited", "free")):
        for seed in range(SEEDS):
            with pytest.MonkeyPatch.context() as patch:
                settings(patch)
                day = Day(seed, tasks, team, patch)
                simulate(patch, day.play)
            for part, costs in day.found.items():
                for name, value in costs.items():
                    rows.setdefault(f"{part}.{tasks}_task_jobs.{team}.{name}", []).append(value)
    return {name: figure(unit(name), values) for name, values in rows.items()}


def unit(name: str) -> str:
    """The unit that a counted figure's name ends with."""
    last = name.rpartition(".")[2]
    return {"seconds": "s", "bytes": "bytes"}.get(last, "count")


async def no_renting(_: Provisioner) -> None:
    """In place of the routine that rents and returns machines."""
    await curio.sleep(FOR_EVER_S)


def settings(patch: pytest.MonkeyPatch) -> None:
    """The limits of a large deployment in place of the tests' own, and a fleet that stays."""
    patch.setattr(Provisioner, "run", no_renting)
    patch.setitem(simulated.SETTINGS, "state", STATE)
    patch.setitem(simulated.SETTINGS, "teams", TEAMS)


class Load:
    """All controllers begin an epoch with live jobs of ten assigned tasks each."""

    def __init__(self, live_jobs: int, patch: pytest.MonkeyPatch) -> None:
        self.live_jobs, self.patch = live_jobs, patch
        self.seconds = self.bytes_read = 0.0

    async def play(self, clock: Clock) -> None:
        """From the first process's start until all serve."""
        world = CountedWorld(clock, CONTROLLERS, self.patch)
        world.state.rev = 2
        for number in range(self.live_jobs):
            value = job(number, pieces=10, guess_s=1e5)
            name = value["id"]
            chunk = Chunk()
            chunk.assigned = {task: (1, f"i-{number % 500:06d}") for task in range(10)}
            chunk.last_attempt = 1
            world.state.keys[live_key(name)] = ({"j": value, "t": clock() + 1e9}, 2, None)
            world.state.keys[chunk_key(name, 0)] = (chunk.value(), 2, None)
        with Sampler() as sampler:
            before = time.process_time()
            for label in world.labels:
                await world.start(label)
            await until(world, lambda: serving(world))
            self.seconds = (time.process_time() - before) * sampler.share()
        self.bytes_read = world.counts["state.answers.bytes"]


def loads() -> Figures:
    """What all controllers together compute and read to take over the live jobs."""
    found: Figures = {}
    for live_jobs in LOADED_JOBS:
        loads = []
        for _ in range(SEEDS):
            with pytest.MonkeyPatch.context() as patch:
                settings(patch)
                load = Load(live_jobs, patch)
                simulate(patch, load.play)
            loads.append(load)
        name = f"load.{live_jobs}_live_jobs"
        found[f"{name}.seconds"] = figure("s", [load.seconds for load in loads])
        found[f"{name}.bytes"] = figure("bytes", [load.bytes_read for load in loads])
    return found
