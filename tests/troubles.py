"""Troubles that scenes bring about in the simulated world, and what is judged once they are
over: what waits although it could run."""

from __future__ import annotations

from typing import Any

import curio

from tests.system.test_restarts import again
from tests.world import SETTINGS, TYPES, ZONES, Worker, World, job

CANCEL_S = SETTINGS["workers"]["cancel_s"]
LEASE_S = SETTINGS["workers"]["lease_s"]
LONG_S = 1e6
FIRST_EXTRA = 200  # number of the first job that a scene submits beside those of the day
LEFT_WAITING_S = 90.0
HANGING_MOST = 8

SHAPES: list[dict[str, Any]] = [
    {"pieces": 3},
    {"pieces": 2, "shape": "ensemble", "loaners": False},
    {"pieces": 2, "shape": "daemon", "jobclass": "web", "rank": "production", "guess_s": 0.0},
    {"pieces": 2, "snapshot_every_s": 5.0, "snapshot_s": 3.0},
]


# -- what waits although it could run --------------------------------------


def free_room(world: World, worker: Worker) -> dict[str, float]:
    kind = next(t for t in TYPES if t["label"] == worker.kind)
    used = [world.jobs[k[0].split("/")[0]] for k, t in worker.tasks.items() if t.state != "exited"]
    return {f: kind[f] - sum(u[f] for u in used) for f in ("vcpus", "cards", "ram_gb")}


def under_limit(world: World, wanted: dict[str, Any]) -> bool:
    team = next(t for t in SETTINGS["teams"] if t["name"] == wanted["owner"])
    if not team.get("gpus_max"):
        return True
    used = sum(
        world.jobs[k[0].split("/")[0]]["cards"]
        for w in world.workers.values()
        for k, t in w.tasks.items()
        if t.state != "exited" and world.jobs[k[0].split("/")[0]]["owner"] == wanted["owner"]
    )
    at_once = 1 if wanted["shape"] == "sweep" else wanted["pieces"]
    return bool(used + at_once * wanted["cards"] <= team["gpus_max"] + 1e-6)


def could_run(world: World, wanted: dict[str, Any]) -> bool:
    """Whether machines that are there have room for it: for one task of an array, for all of
    a gang or a service; in one zone or spread, as the job has it."""
    if not under_limit(world, wanted):
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
    most = (wanted["pieces"] + 1) // 2 if wanted["scatter"] else needed
    return sum(min(n, most) for n in counts.values()) >= needed


def nothing_runs(world: World, job_id: str) -> bool:
    """Whether the job isn't over, and no task of it is on any machine."""
    return (
        job_id not in world.cancelled
        and len(world.results[job_id]) < world.jobs[job_id]["pieces"]
        and not any(
            k[0].startswith(f"{job_id}/") and t.state != "exited"
            for w in world.workers.values()
            for k, t in w.tasks.items()
        )
    )


async def watch_waiting(world: World) -> None:
    """Once all troubles are over, no job waits for long beside a machine that fits."""
    since: dict[str, float] = {}
    while True:
        await curio.sleep(5.0)
        for job_id in sorted(world.accepted):
            waits = world.clock() >= world.calm_at and nothing_runs(world, job_id)
            if not waits or not could_run(world, world.jobs[job_id]):
                since.pop(job_id, None)
            elif world.clock() - since.setdefault(job_id, world.clock()) >= LEFT_WAITING_S:
                world.broken.append(f"left_waiting {job_id}")


# -- machines that are out of reach for a while ------------------------------


def busiest(world: World, share: float) -> list[Worker]:
    """That share of the machines that have tasks, the fullest first; one at least."""
    busy = sorted((w for w in world.workers.values() if w.on()), key=lambda w: -len(w.on()))
    return busy[: max(1, int(share * len(busy)))]


async def last_missed_s(
    world: World,
    out_of_reach: set[str],
    chosen: list[Worker],
    for_s: float,
    leader_ends: bool,
    watched_s: float,
) -> float:
    """Put the machines among those out of reach for a while, and end the owner of the first, if
    asked to: seconds until all tasks that were on them run on some machine for good."""
    tasks = {k[0] for w in chosen for k in w.on()}
    out_of_reach.update(w.name for w in chosen)
    if leader_ends:
        await again(world, world.controllers["c0"].membership.epoch.member_for(chosen[0].name))
    since = missed = world.clock()
    while world.clock() < since + watched_s:
        await curio.sleep(0.5)
        if world.clock() > since + for_s:
            out_of_reach.clear()
        if not tasks <= {k[0] for w in world.workers.values() for k in w.on()}:
            missed = world.clock()
    return missed - since


# -- troubles and the jobs that they need -------------------------------------


async def long_jobs(world: World, count: int, **fields: Any) -> list[str]:
    """Jobs that end when they are cancelled, and not before; most of them run by then."""
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


def running(world: World, job_id: str) -> list[Worker]:
    """The machines that its tasks are on."""
    return [w for w in world.workers.values() if any(k[0].startswith(f"{job_id}/") for k in w.on())]


async def cancel(world: World, names: list[str], within_s: float = 0.0) -> None:
    """Users ask to cancel these, each at some moment of the given time."""
    for name in names:
        await curio.spawn(_cancel_later, world, name, world.rng.uniform(0.0, within_s), daemon=True)


async def _cancel_later(world: World, name: str, after_s: float) -> None:
    await curio.sleep(after_s)
    while name not in world.accepted:
        await curio.sleep(0.5)
    await world.abort(name)


async def cancel_now(world: World, names: list[str], hang_s: float = 0.0) -> None:
    """Running jobs are cancelled within a fifth of a second, some of their machines hang."""
    machines = {w.name: w for name in names for w in running(world, name)}
    for name in world.rng.sample(sorted(machines), min(HANGING_MOST, len(machines))):
        if hang_s:
            machines[name].hung_until = world.clock() + hang_s
    await cancel(world, names, 0.2)


def some_machines(world: World, share: float) -> list[str]:
    names = sorted(n for n, w in world.workers.items() if w.alive())
    return world.rng.sample(names, min(len(names), max(1, round(len(names) * share))))


async def deposed(world: World, label: str, for_s: float) -> None:
    """One is left out of the epoch, while its machines and users reach it."""
    world.state.refused.add(label)
    await curio.sleep(for_s)
    world.state.refused.discard(label)


async def changed(world: World) -> None:
    """Some controller ends and is back, or is left out and comes back."""
    label = world.rng.choice(world.labels)
    if world.rng.random() < 0.6:
        await again(world, label)
    else:
        await deposed(world, label, world.rng.uniform(2.5, 6.0))


def calm(world: World) -> None:
    """All troubles are over."""
    world.late_reports = world.late_writes = world.slow_s = world.link_s = world.loss = 0.0
    world.lost_answers = world.kept_reports = world.late_commands = 0.0
    world.cancelled_at_end = 0.0
    world.enclosed_zone = ""
    for holder in (
        world.cut,
        world.held,
        world.deaf,
        world.mute,
        world.enclosed,
        world.state.refused,
    ):
        holder.clear()
    world.calm_at = world.clock()


async def until_finished(world: World, most_s: float = 260.0) -> list[str]:
    """Until all finite jobs are over, or a rule is broken: those that are not."""
    end = world.clock() + most_s
    left: list[str] = ["not begun"]
    while left and world.clock() < end and not world.broken:
        await curio.sleep(2.0)
        left = [
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
    if not world.broken:
        await curio.sleep(CANCEL_S + 5.0)  # long enough for a cancelled task to be seen
    return left


async def ask_for_all(world: World) -> None:
    """Every controller answers for every job, and what it says is final where the job is."""
    for name in sorted(world.accepted):
        for label in world.labels:
            status, answer = await world.user(label, "GET", f"/api/jobs/{name}")
            if status != 200:
                world.broken.append(f"unanswered {name} at {label}: {status}")
                continue
            world.note(name, answer["status"])
            if world.jobs[name]["shape"] == "daemon" and name not in world.cancelled:
                continue
            if answer["status"] not in ("done", "cancelled"):
                world.broken.append(f"waits {name}: {answer['status']}")
