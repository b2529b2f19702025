"""The users of the simulated deployment: their requests, and checks of the answers."""

from __future__ import annotations

import json
import math
import random
from collections.abc import Callable
from typing import Any

import curio
import msgspec

from clayport.transport import http

FINAL_STATUSES = ("done", "cancelled")
# Once all faults are over, a job may go without an answered query for at most this long.
MAX_UNANSWERED_S = 75.0
# The expected status of each invalid submission, and the fields that make it invalid.
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
ODD_JOB_IDS = ("j-999998", "j-", "J-000001", "j-000001%0A", "000001", "j-000001%2F0")


class Users:
    """Mixin of `World` that acts as the users and checks what they are told."""

    # Set by `World`.
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
        self.last_status: dict[str, str] = {}
        self.violations: list[str] = []
        # Jobs that were answered 404 after a loss of records that no controller could rebuild. With
        # None, any answer 404 for an accepted job violates a rule.
        self.lost: set[str] | None = None
        # Whether users query all controllers at once, and submit again, when a job was accepted
        # or has ended, and the share of accepted jobs that they cancel at that moment.
        self.query_bursts = False
        self.cancel_at_once = 0.0
        # Whether users repeat submissions, cancel ended jobs and send invalid requests.
        self.odd_requests = False
        # When all faults are over, and since when each job's queries have gone unanswered.
        self.faults_end_at = math.inf
        self.unanswered_since: dict[str, float] = {}
        self.burst_query_count = self.odd_request_count = 0  # number of these requests

    # -- requests --------------------------------------------------------

    async def user(
        self, label: str, method: str, path: str, value: Any = None
    ) -> tuple[int, dict[str, Any]]:
        """Send a user's request; return status and answer, or status 0 without an answer."""
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
        """Submit a job to random controllers until one of them accepts the job."""
        self.jobs[job["id"]] = job
        self.run_s[job["id"]] = run_s
        self.results[job["id"]] = set()
        while True:
            status, _ = await self.user(self.rng.choice(self.labels), "POST", "/api/jobs", job)
            if status in (200, 201):
                self.accepted.add(job["id"])
                self.accepted_at.setdefault(job["id"], self.clock())
                await self.start_query_burst(job["id"])
                return
            if status in (400, 422) and job["id"] in self.accepted:
                self.violations.append(f"forgotten {job['id']}: {status}")
            await curio.sleep(1.0)

    async def abort(self, job_id: str, label: str = "") -> None:
        """Request a cancellation until it is answered, at random controllers or at `label`."""
        while True:
            status, answer = await self.user(
                label or self.rng.choice(self.labels), "POST", f"/api/jobs/{job_id}/abort"
            )
            if status == 200:
                if answer["status"] == "cancelled":
                    self.cancelled.setdefault(job_id, self.clock())
                await self.record_answer(job_id, answer["status"])
                return
            await curio.sleep(1.0)

    def unfinished_jobs(self) -> dict[str, str | None]:
        """Return the accepted jobs, services apart, whose users were not told of their end.

        Returns:
            The status that the job's user was last told, by job.
        """
        return {
            name: self.last_status.get(name)
            for name in self.accepted
            if self.jobs[name]["shape"] != "daemon"
            and self.last_status.get(name) not in FINAL_STATUSES
        }

    async def ask(self, job_id: str, label: str) -> None:
        """Query the status of an accepted job, and check the answer."""
        # An answer may be as old as the query. If another status was told meanwhile, only a final
        # status in the answer counts.
        told = self.last_status.get(job_id)
        status, answer = await self.user(label, "GET", f"/api/jobs/{job_id}")
        self._count_unanswered(job_id, status in (200, 404))
        if status == 404 and self.lost is not None:
            self.lost.add(job_id)
            self.accepted.discard(job_id)
        elif status == 404:
            self.violations.append(f"forgotten {job_id}")
        elif status == 200 and (
            told == self.last_status.get(job_id) or answer["status"] in FINAL_STATUSES
        ):
            self.check_not_orphaned(job_id, answer["status"])
            await self.record_answer(job_id, answer["status"])

    async def submit_again(self, job_id: str, label: str) -> None:
        """Submit an accepted job again, and check the answer."""
        told = self.last_status.get(job_id)
        status, answer = await self.user(label, "POST", "/api/jobs", self.jobs[job_id])
        if status in (201, 400, 404, 422):
            self.violations.append(f"forgotten {job_id}: submitted again and answered {status}")
        elif status == 200 and (
            told == self.last_status.get(job_id) or answer["status"] in FINAL_STATUSES
        ):
            await self.record_answer(job_id, answer["status"])

    # -- checks of the answers -------------------------------------------

    def note(self, job_id: str, status: str) -> None:
        """Check a status that a user was told, and note it in `last_status`."""
        before = self.last_status.get(job_id)
        if before in FINAL_STATUSES and status != before:
            self.violations.append(f"went_back {job_id}: {before} then {status}")
        if status == "cancelled":
            self.cancelled.setdefault(job_id, self.clock())
            if not self._cancellation_requested(job_id):
                self.violations.append(f"went_back {job_id}: cancelled by nobody")
        if status == "done" and len(self.results[job_id]) < self.jobs[job_id]["pieces"]:
            self.violations.append(f"not_done {job_id}")
        if before not in FINAL_STATUSES:
            self.last_status[job_id] = status

    async def record_answer(self, job_id: str, status: str) -> None:
        """Note a status that a user was told; the first final one starts a query burst."""
        first_final = (
            self.last_status.get(job_id) not in FINAL_STATUSES and status in FINAL_STATUSES
        )
        self.note(job_id, status)
        if first_final:
            await self.start_query_burst(job_id)

    def _cancellation_requested(self, job_id: str) -> bool:
        """Return whether a user requested to cancel the job or one of its prerequisites."""
        return job_id in self.asked_to_cancel or any(
            self._cancellation_requested(prerequisite)
            for prerequisite in self.jobs[job_id].get("prereqs") or ()
        )

    def _count_unanswered(self, job_id: str, answered: bool) -> None:
        """Note a violation if queries about a job stay unanswered after all faults are over."""
        now = self.clock()
        if answered or now < self.faults_end_at:
            self.unanswered_since.pop(job_id, None)
        elif now - self.unanswered_since.setdefault(job_id, now) >= MAX_UNANSWERED_S:
            self.violations.append(f"forgotten {job_id}: not answered for {MAX_UNANSWERED_S} s")

    def check_not_orphaned(self, job_id: str, status: str) -> None:
        """Check a job that is said to be queued or running.

        None of its direct and indirect prerequisites may have been cancelled long ago.
        """
        unchecked = [job_id]
        while unchecked:
            for prerequisite in self.jobs[unchecked.pop()].get("prereqs") or ():
                since = self.cancelled.get(prerequisite)
                if (
                    since is not None
                    and status in ("queued", "running")
                    and self.clock() - max(since, self.accepted_at.get(job_id, math.inf)) > 35.0
                ):
                    self.violations.append(f"orphaned {job_id} needs {prerequisite}: {status}")
                unchecked.append(prerequisite)

    # -- routines --------------------------------------------------------

    async def poll(self) -> None:
        """Query random accepted jobs, and one that does not exist, every 0.7 s."""
        while True:
            await curio.sleep(0.7)
            for job_id in self.rng.sample(sorted(self.accepted), min(4, len(self.accepted))):
                await self.ask(job_id, self.rng.choice(self.labels))
            status, _ = await self.user(self.rng.choice(self.labels), "GET", "/api/jobs/j-999999")
            if status == 200:
                self.violations.append("invented j-999999")

    async def start_query_burst(self, job_id: str) -> None:
        """Query a job that was accepted or has ended at all controllers, if enabled."""
        if self.query_bursts:
            await curio.spawn(self.query_burst, job_id, daemon=True)

    async def query_burst(self, job_id: str) -> None:
        """Query all controllers and submit again to one of them, three times within 0.1 s.

        A share `cancel_at_once` of the jobs is cancelled at the same time.
        """
        if job_id not in self.last_status and self.rng.random() < self.cancel_at_once:
            await curio.spawn(self.abort, job_id, daemon=True)
        for _ in range(3):
            for label in self.labels:
                self.burst_query_count += 1
                await curio.spawn(self.ask, job_id, label, daemon=True)
            await curio.spawn(self.submit_again, job_id, self.rng.choice(self.labels), daemon=True)
            await curio.sleep(self.rng.uniform(0.0, 0.03))

    async def send_odd_requests(self) -> None:
        """Send repeated, late and invalid requests while `odd_requests` is set."""
        number = 800_000
        while True:
            await curio.sleep(0.5)
            if not self.odd_requests:
                continue
            self.odd_request_count += 1
            number += 1
            label = self.rng.choice(self.labels)
            request = self.rng.choice(("again", "again", "over", "wrong", "wrong", "name"))
            if request == "again" and self.accepted:
                await self.submit_again(self.rng.choice(sorted(self.accepted)), label)
            elif request == "over":
                await self._cancel_finished_job(label)
            elif request == "wrong":
                await self._submit_invalid_job(label, f"j-{number}")
            elif request == "name":
                path = f"/api/jobs/{self.rng.choice(ODD_JOB_IDS)}"
                for method, end in (("GET", ""), ("POST", "/abort")):
                    status, _ = await self.user(label, method, path + end)
                    if status == 200:
                        self.violations.append(f"invented {path}")

    async def _cancel_finished_job(self, label: str) -> None:
        """Request to cancel a job that has ended, and check the answer."""
        ended = sorted(j for j, status in self.last_status.items() if status in FINAL_STATUSES)
        if not ended:
            return
        job_id = self.rng.choice(ended)
        status, answer = await self.user(label, "POST", f"/api/jobs/{job_id}/abort")
        if status == 200:
            await self.record_answer(job_id, answer["status"])
        elif status == 404:
            self.violations.append(f"forgotten {job_id}: cancelled again and answered 404")

    async def _submit_invalid_job(self, label: str, name: str) -> None:
        """Submit a job that can never run or lacks a field, and check the answer."""
        expected, change = self.rng.choice(ODD_JOBS)
        valid = next(iter(self.jobs.values()), None)
        if valid is None:
            return
        value = {**valid, "id": name, "pieces": 3, "shape": "sweep", **change}
        value = {k: v for k, v in value.items() if v is not None}  # None omits the field
        status, _ = await self.user(label, "POST", "/api/jobs", value)
        if status in (200, 201, 400, 422) and status != expected:
            self.violations.append(f"answered {status} instead of {expected}: {change}")
