"""Faults that tests inject into the simulated deployment, and the checks after the faults.

After the faults no job may wait for long while machines have room for it.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import curio

from clayport.machines.machine import SENT
from tests.system.test_restarts import restart_controller
from tests.world import SETTINGS, TYPES, ZONES, Worker, World, job

CANCEL_S = SETTINGS["workers"]["cancel_s"]
LEASE_S = SETTINGS["workers"]["lease_s"]
LONG_S = 1e6
FIRST_EXTRA = 200  # number of the first job that a test submits besides the jobs of the day
MAX_WAIT_S = 90.0
MAX_HUNG_MACHINES = 8

# Fields of a submission of a service.
SERVICE = {"shape": "daemon", "jobclass": "web", "rank": "production", "guess_s": 0.0}
SHAPES: list[dict[str, Any]] = [
    {"pieces": 3},
    {"pieces": 2, "shape": "ensemble", "loaners": False},
    {"pieces": 2, "shape": "daemon", "jobclass": "web", "rank": "production", "guess_s": 0.0},
    {"pieces": 2, "snapshot_every_s": 5.0, "snapshot_s": 3.0},
]


# -- jobs that wait although they could run --------------------------------


def free_room(world: World, worker: Worker) -> dict[str, float]:
    """Return the free resources of a machine, by wire name."""
    machine_type = next(t for t in TYPES if t["label"] == worker.kind)
    used = [world.jobs[k[0].split("/")[0]] for k, t in worker.tasks.items() if t.state != "exited"]
    return {f: machine_type[f] - sum(u[f] for u in used) for f in ("vcpus", "cards", "ram_gb")}


def under_quota(world: World, wanted: dict[str, Any]) -> bool:
    """Return whether the team's GPU limit admits the tasks that the job must start at once."""
    team = next(t for t in SETTINGS["teams"] if t["name"] == wanted["owner"])
    if not team.get("gpus_max"):
        return True
    used = sum(
        world.jobs[k[0].split("/")[0]]["cards"]
        for w in world.workers.values()
        for k, t in w.tasks.items()
        if t.state != "exited" and world.jobs[k[0].split("/")[0]]["owner"] == wanted["owner"]
    )
    started_at_once = 1 if wanted["shape"] == "sweep" else wanted["pieces"]
    return bool(used + started_at_once * wanted["cards"] <= team["gpus_max"] + 1e-6)


def could_run(world: World, wanted: dict[str, Any]) -> bool:
    """Return whether running machines have room for the job.

    An array needs room for one task, a gang or a service for all of its tasks, in one zone or
    spread over zones if the job asks for that.
    """
    if not under_quota(world, wanted):
        return False
    needed = 1 if wanted["shape"] == "sweep" else wanted["pieces"]
    counts = dict.fromkeys(ZONES, 0)
    for worker in world.workers.values():
        if (
            not worker.alive()
            or world.clock() < worker.hung_until
            or (worker.spot and not wanted["loaners"])
            or (wanted["flavors"] and worker.kind not in wanted["flavors"])
            or wanted["site"] not in (None, worker.zone)
        ):
            continue
        room = free_room(world, worker)
        fitting = [int((room[f] + 1e-6) // wanted[f]) for f in room if wanted[f] > 0]
        counts[worker.zone] += max(0, min(fitting))
    if wanted["together"]:
        return max(counts.values()) >= needed
    zone_limit = (wanted["pieces"] + 1) // 2 if wanted["scatter"] else needed
    return sum(min(n, zone_limit) for n in counts.values()) >= needed


def nothing_runs(world: World, job_id: str) -> bool:
    """Return whether the job has not ended and none of its tasks is on a machine."""
    return (
        job_id not in world.cancelled
        and len(world.results[job_id]) < world.jobs[job_id]["pieces"]
        and not any(
            k[0].startswith(f"{job_id}/") and t.state != "exited"
            for w in world.workers.values()
            for k, t in w.tasks.items()
        )
    )


async def waits_for_s(world: World, job_id: str) -> float:
    """Return for how long a job waits from now on, at most a little longer than allowed."""
    since = world.clock()
    while nothing_runs(world, job_id) and world.clock() - since <= MAX_WAIT_S:
        await curio.sleep(0.5)
    return world.clock() - since


async def watch_waiting(world: World) -> None:
    """Note a violation if, after all faults, a job waits for long although machines have room."""
    since: dict[str, float] = {}
    while True:
        await curio.sleep(5.0)
        for job_id in sorted(world.accepted):
            waits = world.clock() >= world.faults_end_at and nothing_runs(world, job_id)
            if not waits or not could_run(world, world.jobs[job_id]):
                since.pop(job_id, None)
            elif world.clock() - since.setdefault(job_id, world.clock()) >= MAX_WAIT_S:
                world.violations.append(f"left_waiting {job_id}")


# -- machines that are unreachable for a while --------------------------------


def busiest(world: World, share: float) -> list[Worker]:
    """Return a share of the machines that have tasks, at least one, the fullest first."""
    busy = sorted(
        (w for w in world.workers.values() if w.occupying_tasks()),
        key=lambda w: -len(w.occupying_tasks()),
    )
    return busy[: max(1, int(share * len(busy)))]


async def time_to_recover_s(
    world: World,
    out_of_reach: set[str],
    chosen: list[Worker],
    for_s: float,
    leader_ends: bool,
    watched_s: float,
) -> float:
    """Make machines unreachable for `for_s` seconds, and measure the interruption of their tasks.

    Args:
        out_of_reach: The set of unreachable machines that `chosen` is added to.
        leader_ends: Whether the owner of the first machine is restarted as well.
        watched_s: How long the tasks are watched.

    Returns:
        Seconds until all tasks of the machines run on some machine and stay there.
    """
    tasks = {k[0] for w in chosen for k in w.occupying_tasks()}
    out_of_reach.update(w.name for w in chosen)
    if leader_ends:
        await restart_controller(
            world, world.controllers["c0"].membership.epoch.member_for(chosen[0].name)
        )
    since = missed = world.clock()
    while world.clock() < since + watched_s:
        await curio.sleep(0.5)
        if world.clock() > since + for_s:
            out_of_reach.clear()
        if not tasks <= {k[0] for w in world.workers.values() for k in w.occupying_tasks()}:
            missed = world.clock()
    return missed - since


# -- faults, and the jobs that tests of them need -----------------------------


async def long_jobs(world: World, count: int, **fields: Any) -> list[str]:
    """Submit jobs that run until they are cancelled, and wait up to 40 s until all of them run."""
    names = []
    first = FIRST_EXTRA + len(world.jobs)
    for number in range(first, first + count):
        shape = SHAPES[number % len(SHAPES)]
        value = job(number, **{"vcpus": 0.5, "guess_s": LONG_S, **shape, **fields})
        await curio.spawn(world.submit, value, LONG_S, daemon=True)
        names.append(value["id"])
    end = world.clock() + 40.0
    while world.clock() < end and not all(running(world, name) for name in names):
        await curio.sleep(0.2)
    return names


async def until(
    condition: Callable[[], bool], interval_s: float = 0.1, within_s: float = 60.0
) -> None:
    """Wait until a condition holds, which the test needs to begin with."""
    for _ in range(round(within_s / interval_s)):
        if condition():
            return
        await curio.sleep(interval_s)
    raise TimeoutError("the condition of the test does not come about")


async def submit_endless(world: World, fields: dict[str, Any]) -> str:
    """Submit a job whose tasks do not end by themselves, and return its id."""
    await world.submit(fields, LONG_S)
    return str(fields["id"])


async def fail_all_machines(world: World, count: int) -> None:
    """Let the only machines of the cloud fail all further tasks, while each runs a replica."""
    world.capacity = count
    fields = {"pieces": count, "vcpus": 4.5, "flavors": ["plain"], "loaners": False, **SERVICE}
    name = await submit_endless(world, job(8, **fields))
    await until(lambda: len(running(world, name)) == count)
    world.failing_machines.update(world.workers)


async def until_launches_are_sent(world: World, label: str) -> set[str]:
    """Wait until a controller has sent launches of jobs that run until they are cancelled.

    Returns:
        The jobs with a launch that the worker has not answered; empty if there was none in 30 s.
    """
    end = world.clock() + 30.0
    found: set[str] = set()
    while world.clock() < end and not found and label in world.controllers:
        await curio.sleep(0.05)
        sent = {
            task.partition("/")[0]
            for machine in world.controllers[label].machines.machines.values()
            for (task, _), desired in machine.desired.items()
            if desired.phase is SENT
        }
        found = {name for name in sent if world.run_s[name] == LONG_S}
    return found


def running(world: World, job_id: str) -> list[Worker]:
    """Return the machines that tasks of the job are on."""
    return [
        w
        for w in world.workers.values()
        if any(k[0].startswith(f"{job_id}/") for k in w.occupying_tasks())
    ]


async def cancel(world: World, names: list[str], within_s: float = 0.0) -> None:
    """Let users cancel jobs, each after a random time of up to `within_s` seconds."""
    for name in names:
        await curio.spawn(_cancel_later, world, name, world.rng.uniform(0.0, within_s), daemon=True)


async def _cancel_later(world: World, name: str, after_s: float) -> None:
    """Cancel a job after a delay, once the job is accepted."""
    await curio.sleep(after_s)
    while name not in world.accepted:
        await curio.sleep(0.5)
    await world.abort(name)


async def cancel_now(world: World, names: list[str], hang_s: float = 0.0) -> None:
    """Cancel jobs within 0.2 s while up to `MAX_HUNG_MACHINES` of their machines hang."""
    machines = {w.name: w for name in names for w in running(world, name)}
    for name in world.rng.sample(sorted(machines), min(MAX_HUNG_MACHINES, len(machines))):
        if hang_s:
            machines[name].hung_until = world.clock() + hang_s
    await cancel(world, names, 0.2)


def some_machines(world: World, share: float) -> list[str]:
    """Return a random share of the running machines, at least one."""
    names = sorted(n for n, w in world.workers.items() if w.alive())
    return world.rng.sample(names, min(len(names), max(1, round(len(names) * share))))


async def exclude_from_epoch(world: World, label: str, for_s: float) -> None:
    """Let the state service refuse a controller that machines and users still reach.

    The controller loses its membership, and the next epoch excludes it.
    """
    world.state.refused.add(label)
    await curio.sleep(for_s)
    world.state.refused.discard(label)


async def restart_or_exclude_controller(world: World) -> None:
    """Restart a random controller, or let it be excluded from the epoch for a while."""
    label = world.rng.choice(world.labels)
    if world.rng.random() < 0.6:
        await restart_controller(world, label)
    else:
        await exclude_from_epoch(world, label, world.rng.uniform(2.5, 6.0))


def end_faults(world: World) -> None:
    """End all faults."""
    world.late_reports = world.late_writes = world.slow_s = world.link_s = world.loss = 0.0
    world.lost_answers = world.kept_reports = world.late_commands = 0.0
    world.cancelled_at_end = world.failing_tasks = 0.0
    world.repeated_commands = world.repeated_requests = 0.0
    world.duplicated_frame_kinds.clear()
    world.failing_machines.clear()
    world.isolated_zone = ""
    for holder in (
        world.partitioned,
        world.held_senders,
        world.replies_blocked,
        world.reports_blocked,
        world.isolated_controllers,
        world.state.refused,
    ):
        holder.clear()
    world.faults_end_at = world.clock()


async def until_finished(world: World, most_s: float = 260.0) -> list[str]:
    """Wait until all finite jobs have ended and services run, or a rule is broken.

    Returns:
        The unfinished jobs, services that do not run included.
    """
    end = world.clock() + most_s
    unfinished: list[str] = ["not begun"]
    while unfinished and world.clock() < end and not world.violations:
        await curio.sleep(2.0)
        unfinished = [
            name
            for name, wanted in sorted(world.jobs.items())
            if name not in world.accepted
            or (
                name not in world.cancelled
                and (
                    nothing_runs(world, name)
                    if wanted["shape"] == "daemon"
                    else len(world.results[name]) < wanted["pieces"]
                )
            )
        ]
    if not world.violations:
        await curio.sleep(CANCEL_S + 5.0)  # long enough for a cancelled task to be seen
        await world.check_records_settle()
    return unfinished


async def check_final_answers(world: World) -> None:
    """Check that every controller answers for every job, with a final status for ended jobs."""
    for name in sorted(world.accepted):
        for label in world.labels:
            status, answer = await world.user(label, "GET", f"/api/jobs/{name}")
            if status != 200:
                world.violations.append(f"unanswered {name} at {label}: {status}")
                continue
            world.note(name, answer["status"])
            if world.jobs[name]["shape"] == "daemon" and name not in world.cancelled:
                continue
            if answer["status"] not in ("done", "cancelled"):
                world.violations.append(f"waits {name}: {answer['status']}")
