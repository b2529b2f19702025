"""Slopes of several controllers together, counted and timed in the tests' simulated world.

Machines are neither rented nor returned, so that all days have the same fleet. A day has a quiet
part, whose rates are subtracted as the baseline, and one part for each kind of work: jobs that
start, are polled, end, and are cancelled.
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

from bench.rebuild_day import STATE_LIMITS, populate
from clayport.records.chunk import Chunk
from clayport.records.keys import chunk_key, live_key
from clayport.scaling.renting import Provisioner
from tests import world as simulated
from tests.world import Clock, job, simulate

from .counted_world import CountedWorld
from .figures import Figure, summarize
from .sampler import Sampler

Figures = dict[str, Figure]

CONTROLLER_COUNT = 3
MACHINE_COUNT = 100
TOTAL_TASKS = 200
QUIET_S = 20.0
SPACING_S = 0.05  # time between two submissions, polls, ends or cancellations
TIMEOUT_S = 300.0
FOREVER_S = 1e6
SEED_COUNT = 3
MEASURED_JOB_SIZES = (1, 10, 100)
LOADED_JOB_COUNTS = (300, 1000, 3000)
TEAMS = [
    {"name": "free"},
    {"name": "limited", "cpus": 0.0, "cpus_max": 1e6},
    {"name": "tight", "gpus": 1.0, "gpus_max": 4.0},
]
COUNTER_NAMES = (
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


class MeterReading(NamedTuple):
    """What a meter has counted up to a moment of the day."""

    counts: Counter[str]
    at: float
    processor_s: float
    samples: int
    controller_samples: int


class Meter:
    """Measures what a part of the day costs beyond a quiet part of the same length."""

    def __init__(self, world: CountedWorld, sampler: Sampler) -> None:
        self.world, self.sampler = world, sampler
        self.baseline: dict[str, float] = {}
        self.baseline_processor_s = 0.0

    def read(self) -> MeterReading:
        """Return what has been counted so far."""
        s = self.sampler
        return MeterReading(
            Counter(self.world.counts),
            self.world.clock(),
            time.process_time(),
            s.controllers + s.stand_ins + s.event_loop,
            s.controllers,
        )

    @staticmethod
    def controller_seconds(start: MeterReading, end: MeterReading) -> float:
        """Return the processor time of the controllers' own code between two readings."""
        samples = end.samples - start.samples
        share = (end.controller_samples - start.controller_samples) / samples if samples else 0.0
        return (end.processor_s - start.processor_s) * share

    def set_baseline(self, start: MeterReading) -> None:
        """Take the costs since `start` as the baseline of every second."""
        end = self.read()
        length = end.at - start.at
        self.baseline = {
            name: (end.counts[name] - start.counts[name]) / length for name in end.counts
        }
        self.baseline_processor_s = self.controller_seconds(start, end) / length

    def cost(self, start: MeterReading, unit_count: int) -> dict[str, float]:
        """Return the cost of each of `unit_count` units of work done since `start`."""
        end = self.read()
        length = end.at - start.at
        costs = {
            name: (end.counts[name] - start.counts[name] - self.baseline.get(name, 0.0) * length)
            / unit_count
            for name in COUNTER_NAMES
        }
        costs["seconds"] = (
            self.controller_seconds(start, end) - self.baseline_processor_s * length
        ) / unit_count
        return costs


async def wait_until(world: CountedWorld, condition: Callable[[], bool]) -> None:
    """Wait until `condition()` is true.

    Raises:
        TimeoutError: The condition is still false after `TIMEOUT_S`, so the figures would be wrong.
    """
    deadline = world.clock() + TIMEOUT_S
    while not condition():
        if world.clock() > deadline:
            raise TimeoutError("a part of the simulated day did not end in time")
        await curio.sleep(0.05)


def all_serving(world: CountedWorld) -> bool:
    """Return whether every controller serves."""
    return len(world.controllers) == len(world.labels) and all(
        controller.membership.serving for controller in world.controllers.values()
    )


def running_tasks(world: CountedWorld) -> list[tuple[Any, tuple[str, int]]]:
    """Return the workers and keys of all running tasks."""
    return [
        (worker, key)
        for worker in world.workers.values()
        for key, task in worker.tasks.items()
        if task.state == "running"
    ]


class SimulatedDay:
    """A simulated day of equal jobs of one team, with or without a quota."""

    def __init__(self, seed: int, tasks: int, team: str, monkeypatch: pytest.MonkeyPatch) -> None:
        self.seed, self.tasks, self.team, self.monkeypatch = seed, tasks, team, monkeypatch
        self.costs_by_part: dict[str, dict[str, float]] = {}

    async def run(self, clock: Clock) -> None:
        """Run all parts of the day in order."""
        world = CountedWorld(clock, CONTROLLER_COUNT, self.monkeypatch)
        world.rng.seed(self.seed)
        populate(world, MACHINE_COUNT, 0, 0)
        for label in world.labels:
            await world.start(label)
        await curio.spawn(world.spawner, daemon=True)
        await wait_until(world, lambda: all_serving(world))
        await curio.sleep(QUIET_S)
        with Sampler() as sampler:
            meter = Meter(world, sampler)
            start = meter.read()
            await curio.sleep(QUIET_S)
            meter.set_baseline(start)
            job_ids = await self._start(world, meter)
            await self._poll(world, meter, job_ids)
            half = len(job_ids) // 2
            await self._end(world, meter, job_ids[:half])
            await self._cancel(world, meter, job_ids[half:])
        self.costs_by_part["quiet"] = {**meter.baseline, "seconds": meter.baseline_processor_s}

    async def _start(self, world: CountedWorld, meter: Meter) -> list[str]:
        """Measure jobs from their submission until the workers report all tasks running."""
        start, job_ids = meter.read(), []
        for number in range(TOTAL_TASKS // self.tasks):
            description = job(number, pieces=self.tasks, owner=self.team, guess_s=600.0)
            job_ids.append(description["id"])
            await curio.spawn(world.submit, description, 1e9, daemon=True)
            await curio.sleep(SPACING_S * self.tasks)
        await wait_until(world, lambda: len(running_tasks(world)) == TOTAL_TASKS)
        await curio.sleep(5.0)
        self.costs_by_part["start"] = meter.cost(start, TOTAL_TASKS)
        return job_ids

    async def _poll(self, world: CountedWorld, meter: Meter, job_ids: list[str]) -> None:
        """Measure polls of every job, several times and at random controllers."""
        rounds = math.ceil(TOTAL_TASKS / len(job_ids))
        start = meter.read()
        for _ in range(rounds):
            for job_id in job_ids:
                label = world.rng.choice(world.labels)
                await curio.spawn(world.user, label, "GET", f"/api/jobs/{job_id}", daemon=True)
                await curio.sleep(SPACING_S)
        await curio.sleep(2.0)
        self.costs_by_part["poll"] = meter.cost(start, rounds * len(job_ids))

    async def _end(self, world: CountedWorld, meter: Meter, job_ids: list[str]) -> None:
        """Measure tasks that complete one by one, until their jobs' final records are written."""
        start = meter.read()
        selected = [
            running_task
            for running_task in running_tasks(world)
            if running_task[1][0].split("/")[0] in job_ids
        ]
        for worker, key in selected:
            worker.tasks[key].until = world.clock()
            await curio.sleep(SPACING_S)
        await wait_until(
            world, lambda: all(f"end/{job_id}" in world.state.keys for job_id in job_ids)
        )
        await curio.sleep(5.0)
        self.costs_by_part["end"] = meter.cost(start, len(selected))

    async def _cancel(self, world: CountedWorld, meter: Meter, job_ids: list[str]) -> None:
        """Measure the cancellation of the given jobs, until their tasks are gone."""
        start = meter.read()
        for job_id in job_ids:
            await curio.spawn(world.abort, job_id, daemon=True)
            await curio.sleep(SPACING_S * self.tasks)
        await wait_until(world, lambda: not running_tasks(world))
        await curio.sleep(5.0)
        self.costs_by_part["cancel"] = meter.cost(start, len(job_ids))


def jobs() -> Figures:
    """Measure the costs of a task's start and end, of a poll, and of a job's cancellation."""
    values_by_figure: dict[str, list[float]] = {}
    for tasks, team in itertools.product(MEASURED_JOB_SIZES, ("limited", "free")):
        for seed in range(SEED_COUNT):
            with pytest.MonkeyPatch.context() as monkeypatch:
                patch_settings(monkeypatch)
                day = SimulatedDay(seed, tasks, team, monkeypatch)
                simulate(monkeypatch, day.run)
            for part, costs in day.costs_by_part.items():
                for name, value in costs.items():
                    values_by_figure.setdefault(
                        f"{part}.{tasks}_task_jobs.{team}.{name}", []
                    ).append(value)
    return {name: summarize(figure_unit(name), values) for name, values in values_by_figure.items()}


def figure_unit(name: str) -> str:
    """Return the unit of a counted figure from the last part of its name."""
    quantity = name.rpartition(".")[2]
    return {"seconds": "s", "bytes": "bytes"}.get(quantity, "count")


async def skip_renting(_: Provisioner) -> None:
    """Replace the routine that rents and returns machines."""
    await curio.sleep(FOREVER_S)


def patch_settings(monkeypatch: pytest.MonkeyPatch) -> None:
    """Set a large deployment's limits in the tests' settings, and turn off renting."""
    monkeypatch.setattr(Provisioner, "run", skip_renting)
    monkeypatch.setitem(simulated.SETTINGS, "state", STATE_LIMITS)
    monkeypatch.setitem(simulated.SETTINGS, "teams", TEAMS)


class EpochLoad:
    """All controllers load an epoch with live jobs of ten assigned tasks each."""

    def __init__(self, live_jobs: int, monkeypatch: pytest.MonkeyPatch) -> None:
        self.live_jobs, self.monkeypatch = live_jobs, monkeypatch
        self.seconds = self.bytes_read = 0.0

    async def run(self, clock: Clock) -> None:
        """Measure from the first controller's start until all controllers serve."""
        world = CountedWorld(clock, CONTROLLER_COUNT, self.monkeypatch)
        world.state.rev = 2
        for number in range(self.live_jobs):
            description = job(number, pieces=10, guess_s=1e5)
            job_id = description["id"]
            chunk = Chunk()
            chunk.assigned = {task: (1, f"i-{number % 500:06d}") for task in range(10)}
            chunk.last_attempt = 1
            world.state.keys[live_key(job_id)] = ({"j": description, "t": clock() + 1e9}, 2, None)
            world.state.keys[chunk_key(job_id, 0)] = (chunk.value(), 2, None)
        with Sampler() as sampler:
            started = time.process_time()
            for label in world.labels:
                await world.start(label)
            await wait_until(world, lambda: all_serving(world))
            self.seconds = (time.process_time() - started) * sampler.share()
        self.bytes_read = world.counts["state.answers.bytes"]


def loads() -> Figures:
    """Measure what all controllers together compute and read to load live jobs."""
    figures: Figures = {}
    for live_jobs in LOADED_JOB_COUNTS:
        results = []
        for _ in range(SEED_COUNT):
            with pytest.MonkeyPatch.context() as monkeypatch:
                patch_settings(monkeypatch)
                load = EpochLoad(live_jobs, monkeypatch)
                simulate(monkeypatch, load.run)
            results.append(load)
        name = f"load.{live_jobs}_live_jobs"
        figures[f"{name}.seconds"] = summarize("s", [load.seconds for load in results])
        figures[f"{name}.bytes"] = summarize("bytes", [load.bytes_read for load in results])
    return figures
