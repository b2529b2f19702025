"""A small world in simulated time: stand-ins for the state service, the cloud and
the workers, a network that delays, loses and holds messages, and the Rules as
checks. The controllers in it are the real ones; only their sockets are replaced.
"""

from __future__ import annotations

import json
import math
import random
import selectors
import time
from collections.abc import Callable, Coroutine
from typing import Any

import curio

from clayport import http, peers, peerwire
from clayport.config import parse
from clayport.server import Controller
from clayport.workers import GONE

from .users import Users

ZONES = ["north", "south"]
SETTINGS: dict[str, Any] = {
    "zones": ZONES,
    "teams": [{"name": "free"}, {"name": "tight", "gpus": 1.0, "gpus_max": 4.0}],
    "objectives": [
        {"kind": "wait", "class": "web", "within_s": 2.0, "share": 0.9},
        {"kind": "finished", "class": "batch", "within_s": 90.0, "share": 0.9},
    ],
    "workers": {
        "report_s": 1.0,
        "lease_s": 10.0,
        "gang_wait_s": 30.0,
        "gang_peer_s": 4.0,
        "cancel_s": 35.0,
    },
    "state": {"rps": 250.0, "write_rps": 100.0, "value_kb": 8.0, "txn_ops": 16},
    "cloud": {"rps": 4.0, "list_lag_s": 3.0},
    "machine_limits": {"core_share": 0.5, "mem_mb": 146.0, "max_sockets": 500},
    "clock_error_ms": 25.0,
}
TYPES = [
    {
        "label": "plain",
        "vcpus": 8,
        "cards": 0,
        "ram_gb": 64,
        "local_gb": 60,
        "pull_gb_per_s": 1.0,
        "rate": 0.4,
        "spot_price": 0.1,
        "boot_s": 8,
        "sites": ZONES,
    },
    {
        "label": "accel",
        "vcpus": 16,
        "cards": 2,
        "ram_gb": 128,
        "local_gb": 60,
        "pull_gb_per_s": 1.0,
        "rate": 4.0,
        "spot_price": 1.5,
        "boot_s": 8,
        "sites": ZONES,
    },
]


class Clock:
    """Simulated time: nothing waits, the clock jumps to the next timer."""

    def __init__(self) -> None:
        self.now = 1000.0

    def __call__(self) -> float:
        return self.now


class JumpSelector(selectors.SelectSelector):
    """No sockets here: where the kernel would wait, time passes."""

    def __init__(self, clock: Clock) -> None:
        super().__init__()
        self.clock = clock

    def select(self, timeout: float | None = None) -> list[Any]:
        if timeout is None:
            raise RuntimeError("everything waits for ever")
        self.clock.now += max(0.0, timeout)
        return []


class InOrder(curio.sched.SchedBarrier):
    """Tasks that wait for one event, woken in the order in which they came.

    curio keeps them in a set: they are woken by their addresses in memory, and no two runs
    of a day were the same.
    """

    def __init__(self) -> None:
        self._tasks: dict[Any, None] = {}

    def _kernel_suspend(self, task: Any) -> Callable[[], Any]:
        self._tasks[task] = None
        return lambda: self._tasks.pop(task)

    def _kernel_wake(self, ntasks: int = 1) -> list[Any]:
        woken = list(self._tasks)[:ntasks]
        for task in woken:
            del self._tasks[task]
        return woken


def simulate(monkeypatch: Any, main: Callable[[Clock], Coroutine[Any, Any, Any]]) -> Any:
    """Run `main` in simulated time."""
    clock = Clock()
    monkeypatch.setattr(time, "monotonic", clock)
    monkeypatch.setattr(time, "time", lambda: clock() + 1e9)
    for module in (curio.sync, curio.task, curio.queue):
        monkeypatch.setattr(module, "SchedBarrier", InOrder)
    kernel = curio.Kernel(selector=JumpSelector(clock), debug=False)
    with kernel:
        return kernel.run(main, clock)


class State:
    """The state service's published behaviour."""

    def __init__(self, world: World) -> None:
        self.world = world
        self.rev = 1
        self.keys: dict[str, tuple[Any, int, int | None]] = {}
        self.log: list[dict[str, Any]] = []
        self.leases: dict[int, tuple[float, float]] = {}
        self.down_until = 0.0
        self.refused: set[str] = set()  # controllers that it answers 503, and nobody else
        self.next_lease = 1
        self.limits = {k: v for k, v in SETTINGS["state"].items() if k != "next"}
        # What it held after each change, where it is to lose some of that.
        self.past: list[tuple[float, int, dict[str, Any], int]] | None = None

    def remember(self) -> None:
        if self.past is not None:
            self.past.append((self.world.clock(), self.rev, dict(self.keys), len(self.log)))

    def lose(self, seconds: float) -> int:
        """Be as it was so long ago, revisions and leases as well; how many changes are gone."""
        assert self.past is not None
        since, before = self.world.clock() - seconds, self.rev
        while len(self.past) > 1 and self.past[-1][0] > since:
            self.past.pop()
        if self.past[-1][0] > since:
            self.past[:] = [(since, 1, {}, 0)]
        _, self.rev, keys, length = self.past[-1]
        self.keys = dict(keys)
        del self.log[length:]
        self.leases = {
            i: v for i, v in self.leases.items() if any(k[2] == i for k in self.keys.values())
        }
        return before - self.rev

    def lose_keys(self, prefix: str) -> int:
        """Be without some records, at the same revision."""
        gone = [k for k in self.keys if k.startswith(prefix)]
        for key in gone:
            del self.keys[key]
        return len(gone)

    def change(self, key: str, value: Any, lease: int | None, rev: int) -> None:
        if value is None:
            if self.keys.pop(key, None) is not None:
                self.log.append({"remove": key, "key_rev": rev})
        else:
            self.keys[key] = (value, rev, lease)
            self.log.append({"write": key, "data": value, "key_rev": rev})

    def changes(self, prefix: str, since: int) -> list[dict[str, Any]]:
        return [
            c
            for c in self.log
            if c["key_rev"] > since and (c.get("write") or c.get("remove", "")).startswith(prefix)
        ]

    def expire(self, now: float) -> None:
        if now < self.down_until:
            return
        for lease in [i for i, (end, _) in self.leases.items() if end < now]:
            self.drop(lease)

    def drop(self, lease: int) -> None:
        del self.leases[lease]
        attached = [k for k, v in self.keys.items() if v[2] == lease]
        if attached:
            self.rev += 1
        for key in attached:
            self.change(key, None, None, self.rev)
        self.remember()

    def outage(self, now: float, for_s: float) -> None:
        self.down_until = now + for_s
        self.leases = {i: (self.down_until + ttl, ttl) for i, (_, ttl) in self.leases.items()}

    def handle(self, method: str, path: str, body: Any, now: float) -> tuple[int, Any]:
        self.expire(now)
        if now < self.down_until:
            return 503, {"error": "trouble"}
        where, _, query = path.partition("?")
        args = dict(p.split("=", 1) for p in query.split("&")) if query else {}
        if where == "/keys":
            keys = sorted(
                k for k in self.keys if k.startswith(args["prefix"]) and k > args.get("since", "")
            )
            return 200, {
                "pairs": [
                    {"key": k, "data": self.keys[k][0], "key_rev": self.keys[k][1]}
                    for k in keys[:1000]
                ],
                "more": len(keys) > 1000,
                "store_rev": self.rev,
            }
        if where.startswith("/keys/"):
            key = where[6:]
            if key not in self.keys:
                return 404, {"store_rev": self.rev}
            return 200, {"key": key, "data": self.keys[key][0], "key_rev": self.keys[key][1]}
        if where == "/leases":
            ttl = body["ttl_ms"] / 1000
            self.leases[self.next_lease] = (now + ttl, ttl)
            self.next_lease += 1
            return 200, {"hold": self.next_lease - 1}
        if where.endswith("/touch"):
            lease = int(where.split("/")[2])
            if lease not in self.leases:
                return 404, {}
            ttl = self.leases[lease][1]
            self.leases[lease] = (now + ttl, ttl)
            return 200, {}
        if where == "/commit":
            return self.commit(body)
        raise AssertionError(path)

    def commit(self, body: Any) -> tuple[int, Any]:
        writes = body.get("writes", [])
        most = self.limits["txn_ops"]
        if len(writes) > most or len(body["when"]) > 4 * most or len(json.dumps(body)) > 64 * 1024:
            self.world.refused.append(f"transaction of {len(writes)} {body}")
            return 400, {"error": "too large"}
        for write in writes:
            if write.get("hold") is not None and write["hold"] not in self.leases:
                return 400, {"error": "no such lease"}
            if len(json.dumps(write.get("data"))) > self.limits["value_kb"] * 1024:
                self.world.refused.append(f"value of {write}")
                return 400, {"error": "too large"}
        failed = [
            c["key"] for c in body["when"] if self.keys.get(c["key"], (None, 0))[1] != c["key_rev"]
        ]
        if failed:
            return 409, {"failed": failed, "store_rev": self.rev}
        if writes:
            self.rev += 1
        for write in writes:
            key = write.get("write", "")
            if key.startswith("run/") and "." in key:
                self.world.moved.add(key)
            if "write" in write:
                self.change(write["write"], write["data"], write.get("hold"), self.rev)
            else:
                self.change(write["remove"], None, None, self.rev)
        if writes:
            self.remember()
        return 200, {"store_rev": self.rev}


class Task:
    def __init__(self, state: str, until: float) -> None:
        self.state, self.until, self.why, self.saved = state, until, "", False


class Worker:
    """A machine and its worker, as the protocol describes them."""

    def __init__(self, world: World, name: str, kind: str, zone: str, spot: bool) -> None:
        self.world, self.name, self.kind, self.zone, self.spot = world, name, kind, zone, spot
        self.address = f"{name}:9000"
        self.up_at = world.clock() + world.rng.uniform(*world.boot_s)
        self.gone = False
        self.hung_until = 0.0
        self.cut_from: set[str] = set()
        self.session, self.seq, self.token = 1, 0, 0
        self.answered = self.up_at
        self.tasks: dict[tuple[str, int], Task] = {}
        self.images: set[str] = set()

    def alive(self) -> bool:
        return not self.gone and self.world.clock() >= self.up_at

    def on(self) -> list[tuple[str, int]]:
        """Tasks on the machine in the sense of the Rules."""
        return [k for k, t in self.tasks.items() if t.state in ("running", "saving", "waiting")]

    def report(self) -> dict[str, Any]:
        self.seq += 1
        pieces = []
        for (task, attempt), t in self.tasks.items():
            piece: dict[str, Any] = {"piece": task, "try": attempt, "status": t.state}
            if t.state == "exited":
                piece.update(cause=t.why, stored=t.saved)
            pieces.append(piece)
        return {
            "host": self.name,
            "address": self.address,
            "flavor": self.kind,
            "site": self.zone,
            "loaners": self.spot,
            "tenure": self.session,
            "counter": self.seq,
            "epoch": self.token,
            "reclaim_in_s": None,
            "pieces": pieces,
        }

    def execute(self, orders: list[dict[str, Any]]) -> None:
        now = self.world.clock()
        for order in orders:
            key = (order["piece"], order["try"])
            task = self.tasks.get(key)
            if order["verb"] == "launch" and task is None:
                self.launch(key, now)
            elif order["verb"] == "kill" and task is not None and task.state != "exited":
                self.world.left(self, key)
                task.state, task.why = "exited", "stopped"
            elif order["verb"] == "clear" and task is not None and task.state == "exited":
                del self.tasks[key]

    def launch(self, key: tuple[str, int], now: float) -> None:
        job_id = key[0].split("/")[0]
        job = self.world.jobs[job_id]
        task = self.tasks[key] = Task("pulling", now)
        used = [
            self.world.jobs[k[0].split("/")[0]]
            for k, t in self.tasks.items()
            if t.state != "exited" and k != key
        ]
        kind = next(t for t in TYPES if t["label"] == self.kind)
        if any(k[0] == key[0] and t.state != "exited" for k, t in self.tasks.items() if k != key):
            task.state, task.why = "exited", "busy"
        elif any(
            sum(j[f] for j in used) + job[f] > kind[f] + 1e-6 for f in ("vcpus", "cards", "ram_gb")
        ):
            task.state, task.why = "exited", "no_room"
        else:
            task.until = now + 1.5
            if job["bundle"] in self.images:
                self.begin(key, task, now)  # it is on the machine from here on

    def begin(self, key: tuple[str, int], task: Task, now: float) -> None:
        """The task has its image."""
        job_id, _, number = key[0].partition("/")
        job = self.world.jobs[job_id]
        self.images.add(job["bundle"])
        task.state = "waiting" if job["shape"] == "ensemble" else "running"
        task.until = now + self.world.run_s[job_id] * (1 + self.world.apart * int(number))
        self.world.entered(self, key)
        if int(number) in self.world.results[job_id]:
            self.finish(key, task)

    def step(self) -> None:
        """Fetches end, tasks start and complete, the lease runs out."""
        now = self.world.clock()
        if now - self.answered > 10.0:
            for key in self.on():
                self.world.left(self, key)
            self.tasks.clear()
            self.session += 1
            self.answered = now
        if now < self.hung_until:
            return
        for key, task in list(self.tasks.items()):
            job_id = key[0].partition("/")[0]
            job = self.world.jobs[job_id]
            if task.state == "pulling" and now >= task.until:
                self.begin(key, task, now)
            elif task.state == "waiting":
                self.world.gang(job_id, key[1], now)
            elif task.state == "running" and job["shape"] != "daemon" and now >= task.until:
                self.finish(key, task)

    def finish(self, key: tuple[str, int], task: Task) -> None:
        job_id, _, number = key[0].partition("/")
        self.world.left(self, key)
        whole = self.world.jobs[job_id]
        # Gangs complete together: if one task is done, all are.
        self.world.results[job_id].update(
            range(whole["pieces"]) if whole["shape"] == "ensemble" else [int(number)]
        )
        task.state, task.why = "exited", "done"
        self.world.ended(job_id)

    async def run(self) -> None:
        w = self.world
        await curio.sleep(max(0.0, self.up_at - w.clock()))
        target = w.rng.choice(w.labels)
        due = 0.0
        while not self.gone:
            await curio.sleep(0.2)
            self.step()
            now = w.clock()
            if now < due or now < self.hung_until or self.gone:
                continue
            body = json.dumps(self.report()).encode()
            session = self.session
            if w.late_reports and w.rng.random() < w.late_reports:
                await curio.spawn(w.again, self.name, body, daemon=True)
            if w.kept_reports and w.rng.random() < w.kept_reports:
                w.copies.append((self.name, body))
            try:
                status, raw = await w.deliver(self.name, target, "POST", "/v1/report", body, 4.0)
                answer = json.loads(raw)
            except http.NoAnswer:
                status, answer = 0, {}
            due = w.clock() + w.rng.uniform(0.75, 1.25)
            if status == 200:
                if answer.get("epoch", -1) >= self.token and session == self.session:
                    self.token = answer["epoch"]
                    self.answered = max(self.answered, now)
                    w.issued(answer["orders"])
                    self.execute(answer["orders"])
            elif (
                status == 421
                and answer.get("upstream") in w.labels
                and answer["upstream"] != target
            ):
                target, due = answer["upstream"], w.clock()
            else:
                target = w.labels[(w.labels.index(target) + 1) % len(w.labels)]

    def handle(self, method: str, path: str, body: Any) -> tuple[int, Any]:
        if path == "/inspect":
            return 200, self.report()
        if body["epoch"] < self.token or body["tenure"] != self.session:
            return 409, self.report()
        self.token = body["epoch"]
        self.execute(body["orders"])
        return 200, self.report()


def as_before(writes: list[dict[str, Any]]) -> list[dict[str, Any]]:
    """What the version before writes: no version, no times, no sizes in keys."""
    kept = []
    for write in writes:
        key = write.get("write", write.get("remove"))
        if key.startswith("c/version/"):
            continue
        assert not (key.startswith("run/") and "." in key)
        if isinstance(write.get("data"), dict) and key.startswith(("c/live/", "end/")):
            write["data"] = {k: v for k, v in write["data"].items() if k != "t"}
        kept.append(write)
    return kept


class World(Users):
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
        # of which a copy is kept for the next generation; of direct commands that get no answer
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

    # -- the Rules -------------------------------------------------------

    def entered(self, worker: Worker, key: tuple[str, int]) -> None:
        task = key[0]
        job_id = task.split("/")[0]
        job = self.jobs[job_id]
        self.launches += 1
        since = self.cancelled.get(job_id)
        if since is not None and self.clock() - since > 35.0:
            self.broken.append(f"ran_cancelled {task} starts on {worker.name}")
        if since is not None:
            self.started_cancelled.append((task, self.clock() - since))
        for need in job.get("prereqs") or ():
            if len(self.results[need]) < self.jobs[need]["pieces"]:
                self.broken.append(f"too_early {task} before {need}")
        for other in self.workers.values():
            if other is not worker and any(k[0] == task for k in other.on()):
                self.broken.append(f"ran_twice {task} on {worker.name} and {other.name}")
        if (
            worker.spot
            and not job["loaners"]
            or job["flavors"]
            and worker.kind not in job["flavors"]
            or job["site"]
            and job["site"] != worker.zone
        ):
            self.broken.append(f"wrong_place {task} on {worker.name}")
        zones = {}
        for other in self.workers.values():
            for k in other.on():
                if k[0].split("/")[0] == job_id:
                    zones[other.zone] = zones.get(other.zone, 0) + 1
        if job["together"] and len(zones) > 1:
            self.broken.append(f"wrong_place {task}: zones {zones}")
        if job["scatter"] and zones[worker.zone] > (job["pieces"] + 1) // 2:
            self.broken.append(f"wrong_place {task}: scattered {zones}")
        if job["owner"] == "tight":
            used = sum(
                self.jobs[k[0].split("/")[0]]["cards"]
                for o in self.workers.values()
                for k in o.on()
                if self.jobs[k[0].split("/")[0]]["owner"] == "tight"
            )
            if used > 4.0 + 1e-6:
                self.broken.append(f"quota {used} with {task}")

    def left(self, worker: Worker, key: tuple[str, int]) -> None:
        """A task of a gang that leaves takes the others of its attempt with it."""
        job_id = key[0].split("/")[0]
        if self.jobs[job_id]["shape"] != "ensemble":
            return
        task = worker.tasks[key]
        if task.state != "running" or self.clock() >= task.until:
            return
        for other in self.workers.values():
            for k, t in other.tasks.items():
                if (
                    k != key
                    and k[1] == key[1]
                    and k[0].split("/")[0] == job_id
                    and t.state == "running"
                ):
                    t.state, t.why = "exited", "mates_gone"

    def gang(self, job_id: str, attempt: int, now: float) -> None:
        members = [
            (w, k, t)
            for w in self.workers.values()
            for k, t in w.tasks.items()
            if k[1] == attempt and k[0].split("/")[0] == job_id and t.state == "waiting"
        ]
        if len(members) == self.jobs[job_id]["pieces"]:
            for _, _, task in members:
                task.state, task.until = "running", now + self.run_s[job_id]

    async def watch_rules(self) -> None:
        while True:
            await curio.sleep(0.5)
            now = self.clock()
            for worker in self.workers.values():
                for task, _ in worker.on():
                    since = self.cancelled.get(task.split("/")[0])
                    if since is not None and now - since > 35.0:
                        self.broken.append(f"ran_cancelled {task} on {worker.name}")

    def issued(self, orders: list[dict[str, Any]]) -> None:
        """A controller gives these commands now."""
        for order in orders:
            since = self.cancelled.get(order["piece"].partition("/")[0])
            if order["verb"] == "launch" and since is not None:
                self.issued_cancelled.append((order["piece"], self.clock() - since))

    def ended(self, job_id: str) -> None:
        """The last task of a job may have ended; some users call it off at that moment."""
        if (
            self.cancelled_at_end
            and len(self.results[job_id]) == self.jobs[job_id]["pieces"]
            and self.rng.random() < self.cancelled_at_end
        ):
            self.late.append(lambda: self.abort(job_id))

    # -- the network -----------------------------------------------------

    def inside(self, name: str) -> bool:
        """Whether it is in the zone that is cut off."""
        worker = self.workers.get(name)
        return name in self.enclosed or worker is not None and worker.zone == self.enclosed_zone

    def reaches(self, source: str, target: str) -> bool:
        return (
            source not in self.cut
            and target not in self.cut
            and f"{source}>{target}" not in self.cut
            and (not self.enclosed_zone or self.inside(source) == self.inside(target))
            and (source not in self.mute or target not in self.labels)
        )

    def hit(self, trouble: str) -> bool:
        """Whether a trouble with that share strikes now."""
        share: float = getattr(self, trouble)
        return bool(share) and self.rng.random() < share

    async def _exchange(
        self, source: str, target: str, serve: Callable[[], Any], timeout_s: float, hold: bool
    ) -> Any:
        """One request: it may be lost, executed without an answer, or held and executed
        long after the sender has given up."""
        delay = self.rng.uniform(0.001, 0.01)
        if target == "state" and self.slow_s:
            await curio.sleep(self.rng.uniform(0.0, self.slow_s))
        if target == "state" and hold and self.late_writes and self.rng.random() < self.late_writes:
            await curio.spawn(self._later(serve, (2.0, 12.0)), daemon=True)
            await curio.sleep(timeout_s)
            raise http.NoAnswer("carried out late")
        if target == "state" and hold and self.reaches(source, target) and self.hit("lost_answers"):
            await curio.sleep(delay)
            serve()
            await curio.sleep(timeout_s)
            raise http.NoAnswer("only the answer is lost")
        if target in self.workers and hold and self.hit("late_commands"):
            await curio.spawn(self._later(serve, (2.0, 16.0)), daemon=True)
            await curio.sleep(timeout_s)
            raise http.NoAnswer("held up")
        if self.link_s:
            await curio.sleep(self.rng.uniform(0.0, self.link_s))
        if source in self.mute and target in self.labels:
            await curio.sleep(timeout_s)  # no connection, so nothing is held either
            raise http.NoAnswer("mute")
        if not self.reaches(source, target):
            if hold and self.rng.random() < 0.3:
                await curio.spawn(self._later(serve), daemon=True)
            await curio.sleep(timeout_s)
            raise http.NoAnswer("cut")
        if source in self.held and hold and target in self.workers:
            await curio.spawn(self._later(serve), daemon=True)
            await curio.sleep(timeout_s)
            raise http.NoAnswer("held")
        await curio.sleep(delay)
        lost = self.rng.random() < self.loss
        if lost and self.rng.random() < 0.5:
            if hold:
                await curio.spawn(self._later(serve), daemon=True)
            await curio.sleep(timeout_s)
            raise http.NoAnswer("lost")
        answer = serve()
        if hasattr(answer, "__await__"):
            answer = await answer
        if lost or not self.reaches(source, target) or source in self.deaf:
            await curio.sleep(timeout_s)
            raise http.NoAnswer("answer lost")
        await curio.sleep(delay)
        return answer

    async def _later(
        self, serve: Callable[[], Any], within_s: tuple[float, float] | None = None
    ) -> None:
        await curio.sleep(self.rng.uniform(*(within_s or self.hold_s)))
        try:
            answer = serve()
            if hasattr(answer, "__await__"):
                await answer
        except http.NoAnswer:
            pass

    async def deliver(
        self, source: str, label: str, method: str, path: str, body: bytes, timeout_s: float
    ) -> tuple[int, bytes]:
        """A worker's or user's request to a controller."""

        async def serve() -> tuple[int, bytes]:
            controller = self.controllers.get(label)
            if controller is None:
                raise http.NotSent("refused")
            status, raw, _ = await controller.api.handle(method, path, body)
            return status, raw

        try:
            async with curio.timeout_after(timeout_s):
                answer: tuple[int, bytes] = await self._exchange(
                    source, label, serve, timeout_s, path == "/v1/report"
                )
                return answer
        except curio.TaskTimeout:
            raise http.NoAnswer("slow") from None

    async def again(self, source: str, body: bytes) -> None:
        """A copy of a report arrives late, at any controller; nobody hears the answer."""
        await curio.sleep(self.rng.uniform(2.0, 2 * SETTINGS["workers"]["lease_s"]))
        try:
            await self.deliver(
                source, self.rng.choice(self.labels), "POST", "/v1/report", body, 4.0
            )
        except http.NoAnswer:
            pass

    async def hand_over_copies(self, late_s: tuple[float, float]) -> None:
        """With each new generation, the reports that were kept reach every controller."""
        known = self.state.keys.get("c/generation")
        while True:
            await curio.sleep(0.05)
            found = self.state.keys.get("c/generation")
            if found == known:
                continue
            known, kept = found, self.copies[-60:]
            self.copies.clear()
            await curio.sleep(self.rng.uniform(*late_s))
            for name, body in kept:
                for label in self.labels:
                    await curio.spawn(self._copy, name, label, body, daemon=True)

    async def _copy(self, source: str, label: str, body: bytes) -> None:
        try:
            await self.deliver(source, label, "POST", "/v1/report", body, 4.0)
        except http.NoAnswer:
            pass

    def client(self, source: str, host: str) -> Any:
        world = self

        class Client:
            def __init__(self, *_: Any, **__: Any) -> None:
                pass

            async def request(
                self, method: str, path: str, body: bytes | None, timeout_s: float
            ) -> tuple[int, bytes]:
                value = json.loads(body) if body else None
                if host == "state" and path.startswith("/changes"):
                    return await world.watch(source, path)
                if host in world.workers and value is not None:
                    world.issued(value["orders"])

                def serve() -> Any:
                    if host == "state" and path == "/commit" and source in world.old:
                        value["writes"] = as_before(value.get("writes", []))
                    if host == "state":
                        if source in world.state.refused:
                            return 503, {"error": "trouble"}
                        return world.state.handle(method, path, value, world.clock())
                    if host == "cloud":
                        return world.cloud(method, path, value)
                    worker = world.workers.get(host)
                    if worker is None or not worker.alive():
                        raise http.NoAnswer("dead")
                    return world.later_if_hung(worker, method, path, value)

                try:
                    status, answer = await world._exchange(
                        source, host, serve, timeout_s, method == "POST" and path != "/leases"
                    )
                except http.NoAnswer:
                    raise
                return status, json.dumps(answer).encode()

            async def close(self) -> None:
                pass

        return Client()

    def later_if_hung(self, worker: Worker, method: str, path: str, value: Any) -> Any:
        if self.clock() < worker.hung_until or worker.name in self.deaf:
            raise http.NoAnswer("hung")
        return worker.handle(method, path, value)

    async def watch(self, source: str, path: str) -> tuple[int, bytes]:
        args = dict(p.split("=", 1) for p in path.partition("?")[2].split("&"))
        end = self.clock() + int(args["block_ms"]) / 1000
        while True:
            await curio.sleep(0.01)
            if not self.reaches(source, "state"):
                await curio.sleep(2.0)
                raise http.NoAnswer("cut")
            self.state.expire(self.clock())
            if self.clock() >= self.state.down_until and source not in self.state.refused:
                found = self.state.changes(args["prefix"], int(args["since"]))
                if found or self.clock() >= end:
                    answer = json.dumps({"store_rev": self.state.rev, "log": found}).encode()
                    if self.news_late_s:
                        await curio.sleep(self.rng.uniform(0.0, self.news_late_s))
                    return 200, answer
            elif self.clock() >= end:
                raise http.NoAnswer("outage")

    # -- the cloud -------------------------------------------------------

    def cloud(self, method: str, path: str, body: Any) -> tuple[int, Any]:
        now = self.clock()
        if path == "/catalog":
            return 200, {"flavors": TYPES}
        if path == "/hosts" and method == "POST":
            if body["rental"] not in self.rentals:
                alive = sum(not w.gone for w in self.workers.values())
                count = min(body["number"], max(0, 14 - alive))
                if count == 0:
                    return 503, {"error": "no capacity"}
                self.rentals[body["rental"]] = [
                    self.boot(body["flavor"], body["site"], body["loaners"]) for _ in range(count)
                ]
            return 200, {"hosts": self.rentals[body["rental"]]}
        if path == "/hosts/return":
            for name in body["hosts"]:
                if name in self.workers:
                    self.kill(self.workers[name])
            return 200, {}
        return 200, {
            "hosts": [
                {
                    "id": w.name,
                    "address": w.address,
                    "flavor": w.kind,
                    "site": w.zone,
                    "loaners": w.spot,
                    "status": "running" if now >= w.up_at else "starting",
                    "held_s": 1.0,
                }
                for w in self.workers.values()
                if not w.gone
            ],
            "more": False,
        }

    def boot(self, kind: str, zone: str, spot: bool) -> str:
        self.machine_number += 1
        name = f"i-{self.machine_number:06d}"
        self.workers[name] = Worker(self, name, kind, zone, spot)
        self.late.append(self.workers[name].run)
        return name

    def kill(self, worker: Worker) -> None:
        for key in worker.on():
            self.left(worker, key)
        worker.gone = True
        worker.tasks.clear()

    # -- controllers -----------------------------------------------------

    async def start(self, label: str) -> None:
        settings = {
            "label": label,
            "location": ZONES[0],
            "bind": "127.0.0.1:1",
            "peer_bind": "127.0.0.1:2",
            "members": [
                {"label": other, "location": ZONES[0], "address": "127.0.0.1:3"}
                for other in self.labels
                if other != label
            ],
            "services": {"cloud": "cloud:1", "state": "state:1"},
            "cluster": {"size": len(self.labels), **SETTINGS},
        }
        # Given at the start: pauses before asking again are drawn from what it seeds. (They
        # were drawn from the process's own, and one run in forty had another verdict.)
        c = Controller(
            parse(json.dumps(settings).encode()),
            f"{label}-{self.rng.random()}",
            self.rebuild and label not in self.old,
            self.disks.get(label, ""),
            self.second_copy,
        )
        c.store.client = c.store.watcher = c.store.recorder = self.client(label, "state")
        c.cloud.client = self.client(label, "cloud")
        c.fleet.client = lambda address: self.client(label, address.split(":")[0])  # type: ignore
        for peer in c.peers.values():
            self._link(label, peer)
        emit = c.owner.emit

        def checked(job_id: str, event: Any) -> None:
            """Nothing is said to be gone that is on its machine."""
            worker, key = self.workers.get(event[0]), event[1:3]
            if (
                event[3] == GONE
                and worker is not None
                and key in worker.tasks
                and worker.tasks[key].state != "exited"
                and c.generation.number
                == max(x.generation.number for x in self.controllers.values())
            ):
                self.broken.append(f"gone_too_early {event}")
            emit(job_id, event)

        c.owner.emit = checked
        if label in self.old:
            c.mirror.count_versions = lambda: None  # type: ignore[method-assign]
        self.controllers[label] = c
        self.routines[label] = await curio.spawn(self._run(c), daemon=True)

    def _link(self, label: str, peer: peers.Peer) -> None:
        async def call(kind: int, values: tuple[Any, ...], timeout_s: float | None = None) -> Any:
            frame = peerwire.encode(kind, 1, values)
            kind, _, _ = peerwire.decode_header(frame[: peerwire.HEADER.size])
            body = peerwire.decode_body(kind, frame[peerwire.HEADER.size :])

            async def serve() -> Any:
                other = self.controllers.get(peer.label)
                if other is None:
                    raise http.NotSent("refused")
                reply, answer = await other.peer_requests.answer(kind, body)
                raw = peerwire.encode(reply, 1, answer)
                return peerwire.decode_body(reply, raw[peerwire.HEADER.size :])

            try:
                async with curio.timeout_after(timeout_s or 1.0):
                    answer = await self._exchange(label, peer.label, serve, timeout_s or 1.0, True)
                if peerwire.decode_header(frame[: peerwire.HEADER.size])[0] in self.doubled:
                    # Sent twice, since the first was long without an answer.
                    await curio.spawn(self._later(serve), daemon=True)
            except (http.NoAnswer, curio.TaskTimeout) as exc:
                raise peers.PeerError(str(exc)) from None
            peer.heard = self.clock()
            return answer

        peer.call = call  # type: ignore[method-assign]

    async def _run(self, c: Controller) -> None:
        """The controller's duties without its listeners. Its crash cancels them all."""
        duties: list[Any] = [await curio.spawn(c.duty, r, daemon=True) for r in c.duties()]
        for peer in c.peers.values():
            duties.append(await curio.spawn(c.duty, c.heartbeats.keep_peers, peer, daemon=True))
        for label in self.labels:
            duties.append(await curio.spawn(c.duty, c.fleet.tell, label, daemon=True))
        try:
            while True:
                await curio.sleep(1000)
        finally:
            for duty in duties:
                await duty.cancel(blocking=False)

    async def crash(self, label: str) -> None:
        c = self.controllers.pop(label, None)
        if c is None:
            return
        await self.routines.pop(label).cancel()
        if c.recovery is not None and c.recovery.recorder is not None and c.recovery.recorder.log:
            c.recovery.recorder.log.close()

        # Routines of its own that are still under way must not act any more.
        async def dead(*_: Any, **__: Any) -> Any:
            await curio.sleep(10**6)

        for client in (c.store.client, c.cloud.client):
            client.request = dead  # type: ignore[method-assign]
        c.fleet.client = lambda _: None  # type: ignore[method-assign,assignment]
        for peer in c.peers.values():
            peer.call = dead  # type: ignore[method-assign]

    # -- everybody -------------------------------------------------------

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


def job(number: int, **fields: Any) -> dict[str, Any]:
    """A valid submission, changed by `fields` (wire names)."""
    return {
        "id": f"j-{number:06d}",
        "jobclass": "batch",
        "owner": "free",
        "shape": "sweep",
        "rank": "normal",
        "pieces": 3,
        "vcpus": 2.0,
        "cards": 0.0,
        "ram_gb": 4.0,
        "bundle": "img-1",
        "image_gb": 1.0,
        "flavors": None,
        "site": None,
        "together": False,
        "scatter": False,
        "loaners": True,
        "guess_s": 8.0,
        "snapshot_every_s": 0.0,
        "snapshot_s": 0.0,
        "due_s": None,
        **fields,
    }
