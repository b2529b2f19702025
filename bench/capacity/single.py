"""Slopes of a single controller: reports, heartbeats, refreshes, decisions and memory."""

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
from .figures import Figure, summarize

Figures = dict[str, Figure]

REPEATS = 7
REPORTS_PER_SAMPLE = 300
REPORT_REPEATS = 15
EXCHANGES_PER_SAMPLE = 300
TASKS_PER_REPORT = (0, 8, 30)
HEARTBEAT_DEMANDS = (0, 100, 500)
CONTROLLER_COUNTS = (3, 10, 47)
REFRESH_FLEET_SIZES = (200, 600, 1800)
CHANGED_SHARE = 0.1
DECISION_FLEET_SIZES = (639, 1_500, 10_000, 29_000)
WAITING_JOB_COUNTS = (100, 1_000, 10_000)
MEMORY_UNITS = 2_000


def repeat(measure: Callable[[], float], unit: str = "s", repeats: int = REPEATS) -> Figure:
    """Return the figure of a repeated measurement; a first warm-up run does not count."""
    measure()
    return summarize(unit, [measure() for _ in range(repeats)])


def processor_seconds(work: Callable[[], Any], count: int) -> float:
    """Return the processor time per unit of work, where `work` does `count` units."""
    before = time.process_time()
    work()
    return (time.process_time() - before) / count


class ReportBenchmark:
    """A controller behind its own server, and workers of one size that report to it."""

    def __init__(self, tasks: int) -> None:
        controller = fixtures.build_controller()
        controller.jobs.live["j-000001"] = (fixtures.build_job(1, pieces=100_000), 1)
        self.server = sockets.ServerThread(controller.user_api.handle)
        self.workers = [fixtures.WorkerStub(controller, number, tasks) for number in range(10)]

    def request(self, number: int, changing: bool) -> bytes:
        """Return the next report of one of the workers as a request."""
        worker = self.workers[number % len(self.workers)]
        if changing:
            worker.toggle_first_task()
        return sockets.request("POST", "/v1/report", worker.next_report())

    def seconds(self, changing: bool) -> float:
        """Return the controller's processor time per report."""
        return self.server.seconds_per_request(
            [self.request(number, changing) for number in range(REPORTS_PER_SAMPLE)]
        )


def reports() -> Figures:
    """Measure a worker's report over loopback, unchanged and with a changed task.

    Workers with different numbers of tasks are measured in turn, so that other work on the machine
    affects all figures alike.
    """
    figures: Figures = {}
    cases = {tasks: ReportBenchmark(tasks) for tasks in TASKS_PER_REPORT}
    seconds: dict[str, list[float]] = {}
    for _ in range(1 + REPORT_REPEATS):
        for tasks, case in cases.items():
            for changing in (False, True) if tasks else (False,):
                name = f"report.{tasks}_tasks{'.changed' if changing else ''}.seconds"
                seconds.setdefault(name, []).append(case.seconds(changing))
    for name, values in seconds.items():
        figures[name] = summarize("s", values[1:])
    for tasks, case in cases.items():
        report = case.request(0, False)
        answer = sockets.exchange(case.server.sock, report)
        figures[f"report.{tasks}_tasks.bytes"] = summarize("bytes", [len(report)])
        figures[f"report.{tasks}_tasks.answer.bytes"] = summarize("bytes", [len(answer)])
    return figures


def forwarded_reports() -> Figures:
    """Measure an owner's work for a report of eight tasks that a peer forwards to it."""
    controller = fixtures.build_controller()
    controller.jobs.live["j-000001"] = (fixtures.build_job(1, pieces=100_000), 1)
    worker = fixtures.WorkerStub(controller, 1, 8)
    header_size = frames.HEADER.size

    async def answer(bodies: list[bytes]) -> None:
        for body in bodies:
            frame = frames.encode(frames.REPORT, 1, (controller.membership.epoch.number, body))
            values = frames.decode_body(frames.REPORT, frame[header_size:])
            reply_kind, reply_values = await controller.peer_requests.answer(frames.REPORT, values)
            frames.encode(reply_kind, 1, reply_values)

    def measure() -> float:
        bodies = [worker.next_report() for _ in range(REPORTS_PER_SAMPLE)]
        return processor_seconds(lambda: curio.run(answer, bodies), REPORTS_PER_SAMPLE)

    return {"report.8_tasks.passed_on.owner.seconds": repeat(measure)}


def exchanges() -> Figures:
    """Measure a request and its answer, to the state service and between controllers."""
    figures: Figures = {}
    body = b"x" * 400
    figures["exchange.http_client.seconds"] = repeat(
        lambda: sockets.http_client_seconds(60, body, EXCHANGES_PER_SAMPLE)
    )
    pairs = [sockets.peer_call_seconds(EXCHANGES_PER_SAMPLE) for _ in range(REPEATS + 1)][1:]
    figures["exchange.peer.asking.seconds"] = summarize("s", [asking for asking, _ in pairs])
    figures["exchange.peer.answering.seconds"] = summarize("s", [answer for _, answer in pairs])
    return figures


def connected_controllers() -> tuple[Controller, Controller]:
    """Build two controllers of one epoch that know each other as peers, without a network."""
    controllers = []
    for label in ("host-0", "host-1"):
        controller = fixtures.build_controller()
        controller.membership.label = label
        peer_label = "host-1" if label == "host-0" else "host-0"
        controller.peers[peer_label] = Peer(peer_label, "127.0.0.1", 1, 1.0)
        controller.promises = Promises(
            controller.peers, controller.settings.cluster.workers.lease_s, 0.0
        )
        controller.membership.epoch = Epoch(1, {"host-0": "x", "host-1": "y"}, 1)
        controller.machines.begin_epoch(controller.membership.epoch, label)
        controller.cached_state.begin_epoch()
        controllers.append(controller)
    return controllers[0], controllers[1]


def heartbeats() -> Figures:
    """Measure a heartbeat on both sides, and the check whether leases may be renewed.

    Heartbeats are measured without sockets, by the number of waiting jobs that the sender reports
    and by the number of machines that the receiver owns. The check is measured by the number of
    controllers.
    """
    figures: Figures = {}
    _, receiver = connected_controllers()
    for waiting in HEARTBEAT_DEMANDS:
        seconds, size = heartbeat(receiver, waiting)
        figures[f"heartbeat.{waiting}_waiting.seconds"] = seconds
        figures[f"heartbeat.{waiting}_waiting.bytes"] = size
    curio.run(send_reports, receiver, owned_workers(receiver, 1800))
    figures["heartbeat.1800_machines.seconds"], _ = heartbeat(receiver, 0)
    for controllers in CONTROLLER_COUNTS:
        labels = [f"host-{number}" for number in range(controllers)]
        watermark = CancellationWatermark(labels, 15.0)
        for label in labels:
            watermark.note_promise(label, "x", 1.0, 1.0)
        watermark.note_records_read(2.0)
        figures[f"may_renew.{controllers}_controllers.seconds"] = repeat(
            lambda watermark=watermark: processor_seconds(
                lambda: [watermark.disclosures_known_until() for _ in range(3000)], 3000
            )
        )
    return figures


def heartbeat(receiver: Controller, waiting: int) -> tuple[Figure, Figure]:
    """Return the processor time and the bytes of a heartbeat that reports `waiting` jobs."""
    demand = [(f"j-{number:06d}", 3, 1000.0, "a") for number in range(waiting)]
    values = ("host-0", 1, True, 7, demand, "x" * 16, 100)
    header_size = frames.HEADER.size

    async def exchange_heartbeats() -> None:
        for _ in range(100):
            frame = frames.encode(frames.HEARTBEAT, 1, values)
            reply_kind, reply_values = await receiver.peer_requests.answer(
                frames.HEARTBEAT, frames.decode_body(frames.HEARTBEAT, frame[header_size:])
            )
            frames.decode_body(reply_kind, frames.encode(reply_kind, 1, reply_values)[header_size:])

    seconds = repeat(lambda: processor_seconds(lambda: curio.run(exchange_heartbeats), 100))
    return seconds, summarize("bytes", [len(frames.encode(frames.HEARTBEAT, 1, values))])


def owned_workers(owner: Controller, count: int) -> list[fixtures.WorkerStub]:
    """Build workers of machines that the given one of several controllers owns."""
    numbers = (
        number
        for number in itertools.count()
        if owner.epoch.member_for(f"i-{number:06d}") == owner.label
    )
    return [fixtures.WorkerStub(owner, number, 8) for number in itertools.islice(numbers, count)]


async def send_reports(owner: Controller, workers: list[fixtures.WorkerStub]) -> None:
    """Deliver one report of each worker."""
    for worker in workers:
        await owner.api.handle("POST", "/v1/report", worker.next_report())


def refreshes() -> Figures:
    """Measure a pull of a peer's whole table and of a tenth of it.

    The size is the number of machines that the peer owns.
    """
    figures: Figures = {}
    for fleet in REFRESH_FLEET_SIZES:
        requester, owner = connected_controllers()
        for controller in (requester, owner):
            controller.jobs.live["j-000001"] = (fixtures.build_job(1, pieces=100_000, vcpus=0.1), 1)
        workers = owned_workers(owner, fleet)

        curio.run(send_reports, owner, workers)
        call_costs = {"answering": 0.0, "bytes": 0.0}

        async def call(
            kind: int,
            values: Any,
            _timeout_s: Any = None,
            owner: Controller = owner,
            call_costs: dict[str, float] = call_costs,
        ) -> Any:
            before = time.process_time()
            reply_kind, reply_values = await owner.peer_requests.answer(kind, values)
            frame = frames.encode(reply_kind, 1, reply_values)
            call_costs["answering"], call_costs["bytes"] = time.process_time() - before, len(frame)
            return frames.decode_body(reply_kind, frame[frames.HEADER.size :])

        requester.peers["host-1"].call = call  # type: ignore[method-assign]
        for part, share in (("whole", 1.0), ("changed", CHANGED_SHARE)):
            requester_s: list[float] = []
            owner_s: list[float] = []
            for _ in range(REPEATS + 1):
                if part == "whole":
                    requester.cached_state.pulled.clear()
                else:
                    for worker in workers[: int(fleet * share)]:
                        worker.toggle_first_task()
                    curio.run(send_reports, owner, workers[: int(fleet * share)])
                    requester.cached_state.stale.update(
                        dict.fromkeys(worker.machine for worker in workers[: int(fleet * share)])
                    )
                before = time.process_time()
                curio.run(requester.cached_state._pull, "host-1")
                requester_s.append(time.process_time() - before - call_costs["answering"])
                owner_s.append(call_costs["answering"])
            name = f"refresh.{fleet}_machines.{part}"
            figures[f"{name}.asking.seconds"] = summarize("s", requester_s[1:])
            figures[f"{name}.answering.seconds"] = summarize("s", owner_s[1:])
            figures[f"{name}.bytes"] = summarize("bytes", [call_costs["bytes"]])
    return figures


def decisions() -> Figures:
    """Measure a job's placement by fleet size, and a placer's pass by number of waiting jobs."""
    figures: Figures = {}
    for fleet in DECISION_FLEET_SIZES:
        figures[f"decision.{fleet}_machines.seconds"] = summarize(
            "s",
            [
                placement.time_rounds(20, fleet, True, clock=time.process_time) / 20
                for _ in range(3)
            ],
        )
    for job_count in WAITING_JOB_COUNTS:
        rng = random.Random(job_count)
        controller, rooms = passes.build_busy_controller(job_count, 1_500, rng)
        first_s = passes.time_pass(controller, time.process_time)
        later_s = []
        for _ in range(10):
            for room in rng.sample(rooms, passes.UPDATES_PER_PASS):
                passes.update_room(controller, room)
            later_s.append(passes.time_pass(controller, time.process_time))
        figures[f"demand.{job_count}_waiting.seconds"] = repeat(
            lambda controller=controller: processor_seconds(controller.placer.demand, 1)
        )
        figures[f"pass.{job_count}_waiting.first.seconds"] = summarize("s", [first_s])
        figures[f"pass.{job_count}_waiting.later.seconds"] = summarize("s", later_s)
    return figures


def bytes_per_unit(
    make: Callable[[Controller, int], Any], units: int = MEMORY_UNITS, leader: str = "host-0"
) -> float:
    """Return the bytes that a controller keeps per unit, for units made one after the other.

    All jobs have the controller `leader` as their leader.
    """
    controller = fixtures.build_controller()
    controller.jobs.live["j-000001"] = (fixtures.build_job(1, pieces=100_000), 1)
    controller.membership.epoch = Epoch(1, {leader: "x"}, 1)
    controller.machines.begin_epoch(controller.membership.epoch, "host-0")
    make(controller, 0)
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    for number in range(1, units + 1):
        make(controller, number)
    kept = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    for routine in controller.routines.pending_coroutines:
        routine.close()
    return kept / units


def memory() -> Figures:
    """Measure the bytes that a controller keeps for each kind of object.

    The kinds are live jobs, ended jobs, owned machines, tasks on owned machines, and rooms.
    """

    def live_job(controller: Controller, number: int) -> None:
        controller.record_replica.note_live(fixtures.build_job(number + 10), 1, time.monotonic())

    def ended_job(controller: Controller, number: int) -> None:
        controller.record_replica.note_end(f"j-{number + 10:06d}", "done", time.time(), 2)

    def machine(tasks: int) -> Callable[[Controller, int], None]:
        def make(controller: Controller, number: int) -> None:
            body = fixtures.WorkerStub(controller, number, tasks).next_report()
            curio.run(controller.user_api.handle, "POST", "/v1/report", body)
            controller.cached_state.rooms()

        return make

    def room(controller: Controller, number: int) -> None:
        controller.view.index.add(rooms[number].copy())

    rooms = passes.fleets.random_rooms(MEMORY_UNITS + 1, random.Random(1))
    one_task, nine_tasks = bytes_per_unit(machine(1), 500), bytes_per_unit(machine(9), 500)
    return {
        "memory.live_job.bytes": summarize("bytes", [bytes_per_unit(live_job, leader="host-1")]),
        "memory.live_job.at_home.bytes": summarize("bytes", [bytes_per_unit(live_job)]),
        "memory.ended_job.bytes": summarize("bytes", [bytes_per_unit(ended_job)]),
        "memory.machine.owned.bytes": summarize("bytes", [bytes_per_unit(machine(0), 500)]),
        "memory.task.owned.bytes": summarize("bytes", [(nine_tasks - one_task) / 8]),
        "memory.room.bytes": summarize("bytes", [bytes_per_unit(room)]),
    }
