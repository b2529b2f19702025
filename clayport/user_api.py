"""What users ask: submissions, polls, cancellations and the health check."""

from __future__ import annotations

import logging
import math
import time
from collections.abc import Mapping
from typing import Any
from urllib.parse import unquote

import msgspec

from clayport.jobs.dispatcher import Dispatcher
from clayport.jobs.eligibility import can_be_placed, can_ever_run
from clayport.jobs.lifecycle import JobLifecycle
from clayport.jobs.registry import JobRegistry
from clayport.leases.disclosure import CancellationDisclosure
from clayport.leases.renewal import LeaseRenewal
from clayport.limits import AdmissionControl, Deadline
from clayport.machines.fleet import Fleet
from clayport.membership.stalls import StallDetector
from clayport.membership.state import MembershipState
from clayport.model import SERVICE, Description, Job, valid_id
from clayport.rebuild.support import RebuildSupport
from clayport.records.errors import ConflictError, OutcomeUnknownError, UnavailableError
from clayport.records.keys import end_key, live_key
from clayport.records.lookups import Lookups
from clayport.records.rate_limit import CANCEL_PRIORITY_S, URGENT_PRIORITY_S
from clayport.records.store import StateStore
from clayport.records.transaction import Txn
from clayport.records.upgrade import UpgradeState
from clayport.records.values import end_value, live_value, parse_end, truncate_end
from clayport.routines import Routines
from clayport.scaling.catalogue import Catalogue
from clayport.scheduling.quotas import TeamQuotas
from clayport.scheduling.urgency import SchedulingObjectives
from clayport.settings import Settings
from clayport.transport import frames
from clayport.transport.peers import Peer, PeerError

log = logging.getLogger(__name__)

Headers = list[tuple[str, str]]
# The protocol's own figures: users wait this long for a submission and a poll.
SUBMIT_S, POLL_S = 5.0, 2.0
RETRY_MOST_S = 30.0
# The share of that time in which an answer is to be ready, the way there and back aside.
IN_TIME = 0.7
# Turns of the processor that an answer waits for: to be read, and to be written once the state
# service has answered.
TURNS = 2
# What a final record takes besides the description that it carries on.
END_BYTES = 64


class Api:
    """Requests on the address that users, workers and health checks share."""

    def __init__(
        self,
        *,
        catalogue: Catalogue,
        disclosure: CancellationDisclosure,
        dispatcher: Dispatcher,
        fleet: Fleet,
        jobs: JobRegistry,
        lifecycle: JobLifecycle,
        lookups: Lookups,
        membership: MembershipState,
        objectives: SchedulingObjectives,
        peers: Mapping[str, Peer],
        quotas: TeamQuotas,
        rebuild: RebuildSupport,
        renewal: LeaseRenewal,
        routines: Routines,
        settings: Settings,
        stalls: StallDetector,
        store: StateStore,
        upgrade: UpgradeState,
    ) -> None:
        self.catalogue = catalogue
        self.disclosure = disclosure
        self.dispatcher = dispatcher
        self.fleet = fleet
        self.jobs = jobs
        self.lifecycle = lifecycle
        self.lookups = lookups
        self.membership = membership
        self.objectives = objectives
        self.peers = peers
        self.quotas = quotas
        self.rebuild = rebuild
        self.renewal = renewal
        self.routines = routines
        self.settings = settings
        self.stalls = stalls
        self.store = store
        self.upgrade = upgrade
        # What can't be written while its user waits is refused before anything is asked.
        self.admission = AdmissionControl(IN_TIME * SUBMIT_S, RETRY_MOST_S)
        # With less processor time than all ask for, submissions are refused while polls, reports
        # and cancellations can still be answered in time.
        self.processor_admission = AdmissionControl(IN_TIME * POLL_S, RETRY_MOST_S)

    async def handle(self, method: str, path: str, body: bytes) -> tuple[int, bytes, Headers]:
        after_s = 1
        try:
            status, value = await self._route(method, path.partition("?")[0], body)
        except UnavailableError as exc:
            log.debug("path=%s event=unavailable cause=%s", path, exc)
            status, value = 503, {"error": str(exc)}
            after_s = max(1, math.ceil(min(exc.after_s, RETRY_MOST_S)))
        except OutcomeUnknownError as exc:
            log.debug("path=%s event=unavailable cause=%s", path, exc)
            status, value = 503, {"error": "state service unavailable"}
        except (msgspec.MsgspecError, KeyError, TypeError, ValueError) as exc:
            # A malformed value or answer costs this request, not the process.
            log.error("path=%s event=malformed cause=%r", path, exc)
            status, value = 503, {"error": "malformed data"}
        await self.routines.flush()
        headers: Headers = []
        if status == 503 and path.startswith("/api/"):
            headers.append(("Retry-After", str(after_s)))
        return status, msgspec.json.encode(value), headers

    async def _route(self, method: str, path: str, body: bytes) -> tuple[int, dict[str, Any]]:
        if path == "/v1/report":
            if method != "POST":
                return 405, {}
            return await self.fleet.report(body)
        if path == "/up":
            return (405, {}) if method != "GET" else (200 if self.renewal.healthy() else 503, {})
        if path == "/api/jobs":
            return await self._submit(body) if method == "POST" else (405, {})
        if path.startswith("/api/jobs/"):
            job, _, action = path[len("/api/jobs/") :].partition("/")
            job = unquote(job)
            if not action:
                return await self._poll(job) if method == "GET" else (405, {})
            if action == "abort":
                return await self._abort(job) if method == "POST" else (405, {})
        return 404, {"error": "no such path"}

    async def _known(self, job: str, deadline: Deadline) -> str | None:
        """The job's state as the state service holds it now, or None.

        The live record is read first: it only ever turns into the final one, so
        that finding neither means that the job was never accepted.
        """
        if job in self.jobs.ended:
            return self.jobs.ended[job]
        live = self.jobs.live.get(job)
        if live is not None and live[1] and await self.lookups.unchanged(live_key(job), live[1]):
            return "live"
        if not valid_id(job):
            # An id that the first versions let through can't stand in a path.
            if live is not None:
                raise UnavailableError("the record is just changing")
            return None
        entry = await self.store.get(live_key(job), deadline)
        if entry is not None:
            await self._guard({live_key(job): entry.rev}, deadline)
            return "live"
        entry = await self.store.get(end_key(job), deadline)
        await self._guard({live_key(job): 0, end_key(job): entry.rev if entry else 0}, deadline)
        if entry is None and job in self.jobs.live:
            self.rebuild.suspect(f"{job} is gone")
            raise UnavailableError("the records are in doubt")
        if entry is None:
            return None
        self.lifecycle.note_end(job, *parse_end(entry.value), entry.rev)
        return str(entry.value["s"])

    async def _guard(self, revs: dict[str, int], deadline: Deadline) -> None:
        """That what was read is from the history of the records that we act on: a read by
        itself says nothing of that."""
        if self.rebuild.recovery is None:
            return
        txn = Txn()
        for key, rev in revs.items():
            txn.require(key, rev)
        try:
            await self.store.commit(txn, deadline)
        except ConflictError:
            raise UnavailableError("the record is just changing") from None

    async def _answer(self, job: str, status: str, deadline: Deadline) -> dict[str, Any]:
        """The body of an answer about a job; UnavailableError if it is cancelled and its user can't
        be told of that in time."""
        if status != "live":
            known = self.jobs.live.get(job)
            done = known[0].tasks if status == "done" and known else 0
            return {**await self._over(job, status, deadline), "done": done, "running": 0}
        counts = self.dispatcher.counts(job)
        leader = self.membership.epoch.member_for(job)
        if counts is None and leader in self.peers and self.membership.is_member:
            try:
                ok, done, running = await self.peers[leader].call(
                    frames.COUNTS, (self.membership.epoch.number, job), POLL_S / 4
                )
                counts = (done, running) if ok else None
            except PeerError:
                counts = None
        if job in self.jobs.ended:
            # It ended while the home was asked: that has been told to somebody by now.
            return await self._answer(job, self.jobs.ended[job], deadline)
        # For display only: a home out of reach must not cost the user its answer.
        done, running = counts or (0, 0)
        return {
            "id": job,
            "status": "running" if running else "queued",
            "done": done,
            "running": running,
        }

    async def _poll(self, job: str) -> tuple[int, dict[str, Any]]:
        if not valid_id(job):
            return 404, {"error": "no such job"}
        deadline = Deadline.within(time.monotonic(), IN_TIME * POLL_S)
        status = await self._known(job, deadline)
        if status is None:
            return 404, {"error": "no such job"}
        return 200, await self._answer(job, status, deadline)

    async def _submit(self, body: bytes) -> tuple[int, dict[str, Any]]:
        try:
            job = self.objectives.with_objectives(msgspec.json.decode(body, type=Description))
        except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as exc:
            return 400, {"error": str(exc)}
        if not self.stalls.check(time.monotonic()):
            # It may have waited since before we stood still, and its user have left.
            raise UnavailableError("just awake")
        deadline = Deadline.within(time.monotonic(), IN_TIME * SUBMIT_S)
        if not all(valid_id(name) for name in (job.id, *(job.prereqs or ()))):
            return await self._refuse(job, 400, "not in the form of a job's id", deadline)
        submitted = time.time()
        value = live_value(job, submitted)
        if (
            len(msgspec.json.encode(value))
            > self.settings.cluster.state.least().value_kb * 1024 - END_BYTES
        ):
            return await self._refuse(job, 400, "description too large", deadline)
        limit = self.quotas.limits.get(job.team)
        if not self.catalogue.types and job.id not in self.jobs.ended:
            return 503, {"error": "machine types not known yet"}
        if (
            limit is None
            or not can_be_placed(job, self.catalogue.types)
            or not can_ever_run(job, limit)
        ):
            return await self._refuse(job, 422, "can never run", deadline)
        if job.id in self.jobs.ended:
            return 200, await self._answer(job.id, self.jobs.ended[job.id], deadline)
        if job.id in self.jobs.live:
            known = await self._known(job.id, deadline)
            if known is not None:
                return 200, await self._answer(job.id, known, deadline)
        self._admit(URGENT_PRIORITY_S)
        if job.prereqs:
            wrong = await self._unsuitable(job.prereqs, deadline)
            if wrong:
                return await self._refuse(job, 422, wrong, deadline)
            if not self.upgrade.complete:
                # The version in production would start it at once.
                raise UnavailableError("not all controllers can take prereqs yet")
        txn = Txn().require(live_key(job.id), 0).require(end_key(job.id), 0)
        txn.put(live_key(job.id), value)
        attempt = self.store.begin(deadline)
        while True:
            try:
                rev = await self.store.commit(txn, deadline, URGENT_PRIORITY_S)
                break
            except ConflictError:
                known = await self._known(job.id, deadline)
                if known is None:
                    raise UnavailableError("the record is just changing") from None
                return 200, await self._answer(job.id, known, deadline)
            except OutcomeUnknownError:
                # It may have been applied: the same transaction again either
                # succeeds or shows the job.
                if not await self.store.back_off(attempt):
                    raise
        log.info(
            "job=%s event=accepted class=%s kind=%s tasks=%d",
            job.id,
            job.job_class,
            job.kind,
            job.tasks,
        )
        self.lifecycle.note_live(job, rev, self.lifecycle.since(submitted))
        if self.rebuild.recovery is not None:
            await self.rebuild.recovery.second(rev, deadline)
        return 201, {"id": job.id, "status": "queued"}

    async def _refuse(
        self, job: Job, status: int, cause: str, deadline: Deadline
    ) -> tuple[int, dict[str, Any]]:
        """The answer to a job that isn't accepted; but one that was accepted before never is
        refused, whatever has changed since."""
        known = await self._known(job.id, deadline)
        if known is None:
            return status, {"error": cause}
        return 200, await self._answer(job.id, known, deadline)

    def _admit(self, priority_s: float) -> None:
        """UnavailableError, with when to come back, if what waits for the state service, or for the
        processor, can't be worked off in time."""
        after_s = max(
            self.admission.retry_after_s(self.store.backlog(priority_s)),
            self.processor_admission.retry_after_s(TURNS * self.stalls.timer_delay_s),
        )
        if after_s:
            raise UnavailableError("too much is waiting", after_s)

    async def _unsuitable(self, names: list[str], deadline: Deadline) -> str:
        """Why a job can't wait for these; empty if it can: each was accepted, and ends by
        itself. What isn't known here may have been accepted a moment ago by a controller
        whose watch is ahead of ours, so the state service is asked."""
        unknown = []
        for name in dict.fromkeys(names):
            known = self.jobs.live.get(name)
            if known is None and name not in self.jobs.ended:
                unknown.append(name)
            elif known is not None and known[0].kind == SERVICE:
                return f"{name} is a service"
        # Of many at once, which records there are: a comparison names those that exist.
        most = max(1, self.upgrade.limits.txn_ops * 2 - self.store.anchor_conditions)
        for first in range(0, len(unknown), most):
            part = unknown[first : first + most]
            txn = Txn()
            for name in part:
                txn.require(live_key(name), 0).require(end_key(name), 0)
            try:
                await self.store.commit(txn, deadline)
                return f"{part[0]} was never accepted"
            except ConflictError as exc:
                for name in part:
                    if end_key(name) in exc.failed:
                        continue
                    if live_key(name) not in exc.failed:
                        return f"{name} was never accepted"
                    entry = await self.store.get(live_key(name), deadline)
                    if entry is not None and entry.value["j"]["shape"] == SERVICE:
                        return f"{name} is a service"
        return ""

    async def _over(self, job: str, status: str, deadline: Deadline) -> dict[str, Any]:
        """The answer to a cancellation."""
        if status == "cancelled":
            await self.disclosure.announced(job, deadline)
        return {"id": job, "status": status}

    async def _abort(self, job: str) -> tuple[int, dict[str, Any]]:
        if not valid_id(job):
            return 404, {"error": "no such job"}
        deadline = Deadline.within(time.monotonic(), IN_TIME * SUBMIT_S)
        attempt = self.store.begin(deadline)
        while deadline.allows(time.monotonic()):
            if job in self.jobs.ended:
                return 200, await self._over(job, self.jobs.ended[job], deadline)
            entry = await self.store.get(live_key(job), deadline)
            if entry is None:
                known = await self._known(job, deadline)
                if known is None:
                    return 404, {"error": "no such job"}
                if known == "live":
                    continue
                return 200, await self._over(job, known, deadline)
            txn = Txn().require(live_key(job), entry.rev).delete(live_key(job))
            at = time.time()
            txn.put(
                end_key(job),
                truncate_end(
                    end_value("cancelled", at, entry.value["j"]), self.upgrade.limits.value_kb
                ),
            )
            try:
                rev = await self.store.commit(txn, deadline, CANCEL_PRIORITY_S)
            except ConflictError:
                continue
            except OutcomeUnknownError:
                if not await self.store.back_off(attempt):
                    break
                continue
            log.info("job=%s event=cancelled", job)
            self.lifecycle.note_end(job, "cancelled", at, rev)
            return 200, await self._over(job, "cancelled", deadline)
        raise UnavailableError("not settled in time")
