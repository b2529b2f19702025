"""Slopes of one controller by itself: reports, heartbeats, refreshes, decisions, memory."""

from __future__ import annotations

import itertools
import random
import time
import tracemalloc
from collections.abc import Callable
from typing import Any

import curio

from bench import passes, placement
from clayport.controller import Controller
from clayport.leases.promises import Promises
from clayport.leases.watermark import CancellationWatermark
from clayport.membership.epoch import Epoch
from clayport.transport import frames
from clayport.transport.peers import Peer

from . import fixtures, sockets
from .figures import Figure, figure

Figures = dict[str, Figure]

REPEATS = 7
REPORTS = 300
REPORT_REPEATS = 15
EXCHANGES = 300
REPORT_TASKS = (0, 8, 30)
BEAT_DEMAND = (0, 100, 500)
CONTROLLERS = (3, 10, 47)
REFRESH_FLEETS = (200, 600, 1800)
CHANGED_SHARE = 0.1
DECISION_FLEETS = (639, 1_500, 10_000, 29_000)
WAITING = (100, 1_000, 10_000)
MEMORY_UNITS = 2_000


def repeated(measure: Callable[[], float], unit: str = "s", repeats: int = REPEATS) -> Figure:
    """A figure from repeats of one measurement, after one that is not counted."""
    measure()
    return figure(unit, [measure() for _ in range(repeats)])


def spent(work: Callable[[], Any], count: int) -> float:
    """Processor time of the process for each of `count` parts of some work."""
    before = time.process_time()
    work()
    return (time.process_time() - before) / count


class ReportCase:
    """A controller behind a server of its own, and the workers of one size that report to it."""

    def __init__(self, tasks: int) -> None:
        core = fixtures.controller()
        core.jobs.live["j-000001"] = (fixtures.described(1, pieces=100_000), 1)
        self.server = sockets.Server(core.user_api.handle)
        self.workers = [fixtures.Reporter(core, number, tasks) for number in range(10)]

    def request(self, number: int, changing: bool) -> bytes:
        """The next report of one of the workers."""
        worker = self.workers[number % len(self.workers)]
        if changing:
            worker.change()
        return sockets.request("POST", "/v1/report", worker.body())

    def seconds(self, changing: bool) -> float:
        """Processor time of the controller for each of many reports."""
        return self.server.seconds_a_request(
            [self.request(number, changing) for number in range(REPORTS)]
        )


def reports() -> Figures:
    """A worker's report over loopback: unchanged, and with a task that has changed.

    The sizes take turns, so that what else the machine does meets all of them alike.
    """
    found: Figures = {}
    cases = {tasks: ReportCase(tasks) for tasks in REPORT_TASKS}
    seconds: dict[str, list[float]] = {}
    for _ in range(1 + REPORT_REPEATS):
        for tasks, case in cases.items():
            for changing in (False, True) if tasks else (False,):
                name = f"report.{tasks}_tasks{'.changed' if changing else ''}.seconds"
                seconds.setdefault(name, []).append(case.seconds(changing))
    for name, values in seconds.items():
        found[name] = figure("s", values[1:])
    for tasks, case in cases.items():
        raw = case.request(0, False)
        answer = sockets.exchange(case.server.sock, raw)
        found[f"report.{tasks}_tasks.bytes"] = figure("bytes", [len(raw)])
        found[f"report.{tasks}_tasks.answer.bytes"] = figure("bytes", [len(answer)])
    return found


def passed_on() -> Figures:
    """What the owner computes for a report of eight tasks that a peer passes on to it."""
    core = fixtures.controller()
    core.jobs.live["j-000001"] = (fixtures.described(1, pieces=100_000), 1)
    worker = fixtures.Reporter(core, 1, 8)
    size = frames.HEADER.size

    async def answer(bodies: list[bytes]) -> None:
        for body in bodies:
            frame = frames.encode(frames.REPORT, 1, (core.membership.epoch.number, body))
            values = frames.decode_body(frames.REPORT, frame[size:])
            kind, told = await core.peer_requests.answer(frames.REPORT, values)
            frames.encode(kind, 1, told)

    def measure() -> float:
        bodies = [worker.body() for _ in range(REPORTS)]
        return spent(lambda: curio.run(answer, bodies), REPORTS)

    return {"report.8_tasks.passed_on.owner.seconds": repeated(measure)}


def exchanges() -> Figures:
    """One request and its answer: to the state service, and between controllers."""
    found: Figures = {}
    body = b"x" * 400
    found["exchange.http_client.seconds"] = repeated(
        lambda: sockets.http_client_seconds(60, body, EXCHANGES)
    )
    pairs = [sockets.peer_call_seconds(EXCHANGES) for _ in range(REPEATS + 1)][1:]
    found["exchange.peer.asking.seconds"] = figure("s", [asking for asking, _ in pairs])
    found["exchange.peer.answering.seconds"] = figure("s", [answer for _, answer in pairs])
    return found


def pair() -> tuple[Controller, Controller]:
    """Two controllers of one epoch, each reached by the other without a network."""
    cores = []
    for label in ("host-0", "host-1"):
        core = fixtures.controller()
        core.membership.label = label
        other = "host-1" if label == "host-0" else "host-0"
        core.peers[other] = Peer(other, "127.0.0.1", 1, 1.0)
        core.promises = Promises(core.peers, core.settings.cluster.workers.lease_s, 0.0)
        core.membership.epoch = Epoch(1, {"host-0": "x", "host-1": "y"}, 1)
        core.machines.begin(core.membership.epoch, label)
        core.cached_state.begin()
        cores.append(core)
    return cores[0], cores[1]


def heartbeats() -> Figures:
    """A heartbeat, both ends together, without sockets: by what it tells of waiting jobs, and
    by the machines of whoever answers; and what else is asked once for each controller."""
    found: Figures = {}
    _, asked = pair()
    for rows in BEAT_DEMAND:
        seconds, size = heartbeat(asked, rows)
        found[f"heartbeat.{rows}_waiting.seconds"] = seconds
        found[f"heartbeat.{rows}_waiting.bytes"] = size
    curio.run(show, asked, owned_reporters(asked, 1800))
    found["heartbeat.1800_machines.seconds"], _ = heartbeat(asked, 0)
    for controllers in CONTROLLERS:
        labels = [f"host-{number}" for number in range(controllers)]
        watermark = CancellationWatermark(labels, 15.0)
        for label in labels:
            watermark.note_promise(label, "x", 1.0, 1.0)
        watermark.note_records_read(2.0)
        found[f"may_renew.{controllers}_controllers.seconds"] = repeated(
            lambda watermark=watermark: spent(
                lambda: [watermark.known_until() for _ in range(3000)], 3000
            )
        )
    return found


def heartbeat(asked: Controller, rows: int) -> tuple[Figure, Figure]:
    """Processor time and bytes of one that tells of so many waiting jobs."""
    demand = [(f"j-{number:06d}", 3, 1000.0, "a") for number in range(rows)]
    values = ("host-0", 1, True, 7, demand, "x" * 16, 100)
    size = frames.HEADER.size

    async def beats() -> None:
        for _ in range(100):
            raw = frames.encode(frames.HEARTBEAT, 1, values)
            kind, told = await asked.peer_requests.answer(
                frames.HEARTBEAT, frames.decode_body(frames.HEARTBEAT, raw[size:])
            )
            frames.decode_body(kind, frames.encode(kind, 1, told)[size:])

    seconds = repeated(lambda: spent(lambda: curio.run(beats), 100))
    return seconds, figure("bytes", [len(frames.encode(frames.HEARTBEAT, 1, values))])


def owned_reporters(owner: Controller, count: int) -> list[fixtures.Reporter]:
    """Workers of machines that belong to one of several controllers."""
    numbers = (
        number
        for number in itertools.count()
        if owner.epoch.member_for(f"i-{number:06d}") == owner.label
    )
    return [fixtures.Reporter(owner, number, 8) for number in itertools.islice(numbers, count)]


async def show(owner: Controller, workers: list[fixtures.Reporter]) -> None:
    """Have these workers report once."""
    for worker in workers:
        await owner.api.handle("POST", "/v1/report", worker.body())


def refreshes() -> Figures:
    """A pull of a peer's whole table, and of a tenth of it, by the machines it owns."""
    found: Figures = {}
    for fleet in REFRESH_FLEETS:
        asking, owner = pair()
        for core in (asking, owner):
            core.jobs.live["j-000001"] = (fixtures.described(1, pieces=100_000, vcpus=0.1), 1)
        workers = owned_reporters(owner, fleet)

        curio.run(show, owner, workers)
        sides = {"answering": 0.0, "bytes": 0.0}

        async def call(
            kind: int,
            values: Any,
            _timeout_s: Any = None,
            owner: Controller = owner,
            sides: dict[str, float] = sides,
        ) -> Any:
            before = time.process_time()
            reply, told = await owner.peer_requests.answer(kind, values)
            raw = frames.encode(reply, 1, told)
            sides["answering"], sides["bytes"] = time.process_time() - before, len(raw)
            return frames.decode_body(reply, raw[frames.HEADER.size :])

        asking.peers["host-1"].call = call  # type: ignore[method-assign]
        for part, share in (("whole", 1.0), ("changed", CHANGED_SHARE)):
            taking: list[float] = []
            answering: list[float] = []
            for _ in range(REPEATS + 1):
                if part == "whole":
                    asking.cached_state.pulled.clear()
                else:
                    for worker in workers[: int(fleet * share)]:
                        worker.change()
                    curio.run(show, owner, workers[: int(fleet * share)])
                    asking.cached_state.stale.update(
                        dict.fromkeys(worker.machine for worker in workers[: int(fleet * share)])
                    )
                before = time.process_time()
                curio.run(asking.cached_state._pull, "host-1")
                taking.append(time.process_time() - before - sides["answering"])
                answering.append(sides["answering"])
            name = f"refresh.{fleet}_machines.{part}"
            found[f"{name}.asking.seconds"] = figure("s", taking[1:])
            found[f"{name}.answering.seconds"] = figure("s", answering[1:])
            found[f"{name}.bytes"] = figure("bytes", [sides["bytes"]])
    return found


def decisions() -> Figures:
    """The placement of one job by fleet, and a placer's pass by what waits."""
    found: Figures = {}
    for fleet in DECISION_FLEETS:
        found[f"decision.{fleet}_machines.seconds"] = figure(
            "s",
            [placement.rounds(20, fleet, True, clock=time.process_time) / 20 for _ in range(3)],
        )
    for jobs in WAITING:
        rng = random.Random(jobs)
        core, there = passes.busy(jobs, 1_500, rng)
        first = passes.one_pass(core, time.process_time)
        later = []
        for _ in range(10):
            for room in rng.sample(there, passes.REPORTS):
                passes.show(core, room)
            later.append(passes.one_pass(core, time.process_time))
        found[f"demand.{jobs}_waiting.seconds"] = repeated(
            lambda core=core: spent(core.placer.demand, 1)
        )
        found[f"pass.{jobs}_waiting.first.seconds"] = figure("s", [first])
        found[f"pass.{jobs}_waiting.later.seconds"] = figure("s", later)
    return found


def kept(
    make: Callable[[Controller, int], Any], units: int = MEMORY_UNITS, home: str = "host-0"
) -> float:
    """Bytes that a controller keeps for each of many units made one after the other, where
    `home` is the controller that all jobs belong to."""
    core = fixtures.controller()
    core.jobs.live["j-000001"] = (fixtures.described(1, pieces=100_000), 1)
    core.membership.epoch = Epoch(1, {home: "x"}, 1)
    core.machines.begin(core.membership.epoch, "host-0")
    make(core, 0)
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    for number in range(1, units + 1):
        make(core, number)
    held = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    for routine in core.routines.coroutines:
        routine.close()
    return held / units


def memory() -> Figures:
    """Bytes kept for a live job, an ended one, a machine owned, and a task on it."""

    def live_job(core: Controller, number: int) -> None:
        core.record_replica.note_live(fixtures.described(number + 10), 1, time.monotonic())

    def ended_job(core: Controller, number: int) -> None:
        core.record_replica.note_end(f"j-{number + 10:06d}", "done", time.time(), 2)

    def machine(tasks: int) -> Callable[[Controller, int], None]:
        def make(core: Controller, number: int) -> None:
            body = fixtures.Reporter(core, number, tasks).body()
            curio.run(core.user_api.handle, "POST", "/v1/report", body)
            core.cached_state.rooms()

        return make

    def room(core: Controller, number: int) -> None:
        core.view.index.add(rooms[number].copy())

    rooms = passes.fleets.rooms(MEMORY_UNITS + 1, random.Random(1))
    one, nine = kept(machine(1), 500), kept(machine(9), 500)
    return {
        "memory.live_job.bytes": figure("bytes", [kept(live_job, home="host-1")]),
        "memory.live_job.at_home.bytes": figure("bytes", [kept(live_job)]),
        "memory.ended_job.bytes": figure("bytes", [kept(ended_job)]),
        "memory.machine.owned.bytes": figure("bytes", [kept(machine(0), 500)]),
        "memory.task.owned.bytes": figure("bytes", [(nine - one) / 8]),
        "memory.room.bytes": figure("bytes", [kept(room)]),
    }
