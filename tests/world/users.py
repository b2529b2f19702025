"""The users of the simulated world: what they ask, when, and what they may be told."""

from __future__ import annotations

import json
import math
import random
from collections.abc import Callable
from typing import Any

import curio
import msgspec

from clayport.transport import http

FINAL = ("done", "cancelled")
# Once troubles are over, so long may all questions about a job fail.
UNANSWERED_S = 75.0
# What each kind of odd submission is to be answered with.
ODD_JOBS: list[tuple[int, dict[str, Any]]] = [
    (422, {"vcpus": 1000.0}),
    (422, {"flavors": ["none"]}),
    (422, {"site": "nowhere"}),
    (422, {"owner": "nobody"}),
    (422, {"owner": "tight", "cards": 2.0, "shape": "ensemble"}),
    (422, {"shape": "ensemble", "scatter": True, "together": True}),
    (400, {"pieces": 0}),
    (400, {"shape": "heap"}),
    (400, {"id": "j-77\n"}),
    *((400, {field: None}) for field in ("id", "owner", "pieces", "vcpus", "bundle", "guess_s")),
]
ODD_NAMES = ("j-999998", "j-", "J-000001", "j-000001%0A", "000001", "j-000001%2F0")


class Users:
    """The user side of the world; `World` is the rest of it."""

    # Given by the world.
    rng: random.Random
    labels: list[str]
    clock: Callable[[], float]
    deliver: Any
    jobs: dict[str, dict[str, Any]]
    run_s: dict[str, float]
    results: dict[str, set[int]]

    def __init__(self) -> None:
        self.accepted: set[str] = set()
        self.accepted_at: dict[str, float] = {}
        self.cancelled: dict[str, float] = {}
        self.asked_to_cancel: set[str] = set()
        self.told: dict[str, str] = {}
        self.broken: list[str] = []
        # Jobs answered 404 after a loss with nobody left who could know them; None: broken.
        self.lost: set[str] | None = None
        # Users ask all nodes at once, and submit again, when a job was accepted or has ended;
        # a share of them cancels what was just accepted.
        self.close_looks = False
        self.cancel_at_once = 0.0
        # Users submit again and cancel what is over, and send what can't be taken.
        self.odd_requests = False
        # When all troubles are over; since when no question about a job has been answered.
        self.calm_at = math.inf
        self.unanswered: dict[str, float] = {}
        self.looks = self.odd = 0  # how many there were

    # -- requests --------------------------------------------------------

    async def user(
        self, label: str, method: str, path: str, value: Any = None
    ) -> tuple[int, dict[str, Any]]:
        if path.endswith("/abort"):
            self.asked_to_cancel.add(path.split("/")[3])
        try:
            status, raw = await self.deliver(
                "users", label, method, path, msgspec.json.encode(value), 5.0
            )
            return status, json.loads(raw)
        except http.NoAnswerError:
            return 0, {}

    async def submit(self, job: dict[str, Any], run_s: float) -> None:
        """Submit until it is accepted, at any controller."""
        self.jobs[job["id"]] = job
        self.run_s[job["id"]] = run_s
        self.results[job["id"]] = set()
        while True:
            status, _ = await self.user(self.rng.choice(self.labels), "POST", "/api/jobs", job)
            if status in (200, 201):
                self.accepted.add(job["id"])
                self.accepted_at.setdefault(job["id"], self.clock())
                await self.news(job["id"])
                return
            if status in (400, 422) and job["id"] in self.accepted:
                self.broken.append(f"forgotten {job['id']}: {status}")
            await curio.sleep(1.0)

    async def abort(self, job_id: str, label: str = "") -> None:
        """Ask until it is cancelled or done, of any controller or of one."""
        while True:
            status, answer = await self.user(
                label or self.rng.choice(self.labels), "POST", f"/api/jobs/{job_id}/abort"
            )
            if status == 200:
                if answer["status"] == "cancelled":
                    self.cancelled.setdefault(job_id, self.clock())
                await self.hear(job_id, answer["status"])
                return
            await curio.sleep(1.0)

    async def ask(self, job_id: str, label: str) -> None:
        """One question about an accepted job, and what its answer shows."""
        # An answer may be as old as its question, not older.
        told = self.told.get(job_id)
        status, answer = await self.user(label, "GET", f"/api/jobs/{job_id}")
        self._count_unanswered(job_id, status in (200, 404))
        if status == 404 and self.lost is not None:
            self.lost.add(job_id)
            self.accepted.discard(job_id)
        elif status == 404:
            self.broken.append(f"forgotten {job_id}")
        elif status == 200 and (told == self.told.get(job_id) or answer["status"] in FINAL):
            self.orphaned(job_id, answer["status"])
            await self.hear(job_id, answer["status"])

    async def submit_again(self, job_id: str, label: str) -> None:
        """A repeated submission of an accepted job."""
        told = self.told.get(job_id)
        status, answer = await self.user(label, "POST", "/api/jobs", self.jobs[job_id])
        if status in (201, 400, 404, 422):
            self.broken.append(f"forgotten {job_id}: submitted again and answered {status}")
        elif status == 200 and (told == self.told.get(job_id) or answer["status"] in FINAL):
            await self.hear(job_id, answer["status"])

    # -- what they may be told -------------------------------------------

    def note(self, job_id: str, status: str) -> None:
        before = self.told.get(job_id)
        if before in FINAL and status != before:
            self.broken.append(f"went_back {job_id}: {before} then {status}")
        if status == "cancelled":
            self.cancelled.setdefault(job_id, self.clock())
            if not self._wanted_cancelled(job_id):
                self.broken.append(f"went_back {job_id}: cancelled by nobody")
        if status == "done" and len(self.results[job_id]) < self.jobs[job_id]["pieces"]:
            self.broken.append(f"not_done {job_id}")
        if before not in FINAL:
            self.told[job_id] = status

    async def hear(self, job_id: str, status: str) -> None:
        """A user was told how a job is; the first to hear of its end tells the others."""
        first = self.told.get(job_id) not in FINAL and status in FINAL
        self.note(job_id, status)
        if first:
            await self.news(job_id)

    def _wanted_cancelled(self, job_id: str) -> bool:
        """Whether a user has asked to cancel the job, or one that it needs."""
        return job_id in self.asked_to_cancel or any(
            self._wanted_cancelled(need) for need in self.jobs[job_id].get("prereqs") or ()
        )

    def _count_unanswered(self, job_id: str, answered: bool) -> None:
        now = self.clock()
        if answered or now < self.calm_at:
            self.unanswered.pop(job_id, None)
        elif now - self.unanswered.setdefault(job_id, now) >= UNANSWERED_S:
            self.broken.append(f"forgotten {job_id}: not answered for {UNANSWERED_S} s")

    def orphaned(self, job_id: str, status: str) -> None:
        """Whether a job is called queued or running although one that it needs, directly or
        through others, was cancelled long ago."""
        todo = [job_id]
        while todo:
            for need in self.jobs[todo.pop()].get("prereqs") or ():
                since = self.cancelled.get(need)
                if (
                    since is not None
                    and status in ("queued", "running")
                    and self.clock() - max(since, self.accepted_at.get(job_id, math.inf)) > 35.0
                ):
                    self.broken.append(f"orphaned {job_id} needs {need}: {status}")
                todo.append(need)

    # -- their habits ----------------------------------------------------

    async def poll(self) -> None:
        """Users ask for every accepted job again and again."""
        while True:
            await curio.sleep(0.7)
            for job_id in self.rng.sample(sorted(self.accepted), min(4, len(self.accepted))):
                await self.ask(job_id, self.rng.choice(self.labels))
            status, _ = await self.user(self.rng.choice(self.labels), "GET", "/api/jobs/j-999999")
            if status == 200:
                self.broken.append("invented j-999999")

    async def news(self, job_id: str) -> None:
        """A job was accepted or has ended: close looks, if there are any today."""
        if self.close_looks:
            await curio.spawn(self.look_closely, job_id, daemon=True)

    async def look_closely(self, job_id: str) -> None:
        """All nodes are asked within milliseconds, three times, and one is sent the job again."""
        if job_id not in self.told and self.rng.random() < self.cancel_at_once:
            await curio.spawn(self.abort, job_id, daemon=True)
        for _ in range(3):
            for label in self.labels:
                self.looks += 1
                await curio.spawn(self.ask, job_id, label, daemon=True)
            await curio.spawn(self.submit_again, job_id, self.rng.choice(self.labels), daemon=True)
            await curio.sleep(self.rng.uniform(0.0, 0.03))

    async def ask_oddly(self) -> None:
        """One odd request after another, while there are any today."""
        number = 800_000
        while True:
            await curio.sleep(0.5)
            if not self.odd_requests:
                continue
            self.odd += 1
            number += 1
            label = self.rng.choice(self.labels)
            what = self.rng.choice(("again", "again", "over", "wrong", "wrong", "name"))
            if what == "again" and self.accepted:
                await self.submit_again(self.rng.choice(sorted(self.accepted)), label)
            elif what == "over":
                await self._cancel_what_is_over(label)
            elif what == "wrong":
                await self._submit_wrongly(label, f"j-{number}")
            elif what == "name":
                path = f"/api/jobs/{self.rng.choice(ODD_NAMES)}"
                for method, end in (("GET", ""), ("POST", "/abort")):
                    status, _ = await self.user(label, method, path + end)
                    if status == 200:
                        self.broken.append(f"invented {path}")

    async def _cancel_what_is_over(self, label: str) -> None:
        over = sorted(j for j, status in self.told.items() if status in FINAL)
        if not over:
            return
        job_id = self.rng.choice(over)
        status, answer = await self.user(label, "POST", f"/api/jobs/{job_id}/abort")
        if status == 200:
            await self.hear(job_id, answer["status"])
        elif status == 404:
            self.broken.append(f"forgotten {job_id}: cancelled again and answered 404")

    async def _submit_wrongly(self, label: str, name: str) -> None:
        """What can't run, or lacks a field (None: left out)."""
        expected, change = self.rng.choice(ODD_JOBS)
        valid = next(iter(self.jobs.values()), None)
        if valid is None:
            return
        value = {**valid, "id": name, "pieces": 3, "shape": "sweep", **change}
        value = {k: v for k, v in value.items() if v is not None}
        status, _ = await self.user(label, "POST", "/api/jobs", value)
        if status in (200, 201, 400, 422) and status != expected:
            self.broken.append(f"answered {status} instead of {expected}: {change}")
