"""The HTTP API for users: submissions, polls, cancellations and the health check."""

from __future__ import annotations

import logging
import math
import time
from collections.abc import Mapping
from typing import Any, NamedTuple
from urllib.parse import unquote

import msgspec

from clayport.jobs.dispatcher import Dispatcher
from clayport.jobs.eligibility import can_be_placed, can_ever_run
from clayport.jobs.lifecycle import JobLifecycle
from clayport.jobs.prerequisite_check import PrerequisiteCheck
from clayport.jobs.registry import JobRegistry
from clayport.jobs.status import LIVE, JobStatus
from clayport.leases.disclosure import CancellationDisclosure
from clayport.leases.renewal import LeaseRenewal
from clayport.limits import AdmissionControl, Deadline
from clayport.machines.fleet import Fleet
from clayport.membership.stalls import StallDetector
from clayport.membership.state import MembershipState
from clayport.model import Job, JobDescription, is_valid_job_id
from clayport.rebuild.support import RebuildSupport
from clayport.records.errors import ConflictError, OutcomeUnknownError, UnavailableError
from clayport.records.keys import end_key, live_key
from clayport.records.messages import Entry
from clayport.records.rate_limit import CANCEL_PRIORITY_S, URGENT_PRIORITY_S
from clayport.records.revision_checks import RevisionChecks
from clayport.records.store import StateStore
from clayport.records.transaction import Txn
from clayport.records.upgrade import UpgradeState
from clayport.records.values import end_value, live_value, truncate_end
from clayport.routines import Routines
from clayport.scaling.catalogue import Catalogue
from clayport.scheduling.quotas import TeamQuotas
from clayport.scheduling.urgency import SchedulingObjectives
from clayport.settings import Settings
from clayport.transport.peers import Peer

log = logging.getLogger(__name__)

Headers = list[tuple[str, str]]
# How long users wait for the answer to a submission and to a poll by the protocol, in seconds.
SUBMIT_TIMEOUT_S = 5.0
POLL_TIMEOUT_S = 2.0
# For this fraction of `cancel_s` after the cancellation of a job, those that need it may be called
# queued. The rest is for clocks that differ, and for answers on their way.
LIVE_AFTER_CANCELLATION_FRACTION = 0.5
# The largest Retry-After value of a refusal, in seconds.
MAX_RETRY_AFTER_S = 30.0
# The share of the user's timeout within which an answer must be ready. The rest is left for the
# network.
RESPONSE_TIME_SHARE = 0.7
# The number of times that a submission waits for CPU time of this process: once to be read, and
# once to be answered after the state service has responded.
CPU_WAITS = 2
# The size of a final record in bytes, not counting the job description in it.
END_OVERHEAD_BYTES = 64


class Response(NamedTuple):
    """A response: the HTTP status and the body to be encoded as JSON."""

    status: int
    body: dict[str, Any]


METHOD_NOT_ALLOWED = Response(405, {})
NO_SUCH_PATH = Response(404, {"error": "no such path"})
NO_SUCH_JOB = Response(404, {"error": "no such job"})


class UserApi:
    """Handles HTTP requests of users, workers and health checks, which share one address."""

    def __init__(
        self,
        *,
        catalogue: Catalogue,
        disclosure: CancellationDisclosure,
        dispatcher: Dispatcher,
        fleet: Fleet,
        jobs: JobRegistry,
        lifecycle: JobLifecycle,
        revision_checks: RevisionChecks,
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
        self.fleet = fleet
        self.jobs = jobs
        self.lifecycle = lifecycle
        self.objectives = objectives
        self.quotas = quotas
        self.rebuild = rebuild
        self.renewal = renewal
        self.routines = routines
        self.settings = settings
        self.stalls = stalls
        self.store = store
        self.upgrade = upgrade
        # Refuses submissions that the state service can't commit before their users time out.
        self.admission = AdmissionControl(RESPONSE_TIME_SHARE * SUBMIT_TIMEOUT_S, MAX_RETRY_AFTER_S)
        # Refuses submissions when CPU time is short, so that polls, reports and cancellations are
        # still answered in time.
        self.cpu_admission = AdmissionControl(
            RESPONSE_TIME_SHARE * POLL_TIMEOUT_S, MAX_RETRY_AFTER_S
        )
        self.status = JobStatus(
            dispatcher=dispatcher,
            jobs=jobs,
            revision_checks=revision_checks,
            membership=membership,
            peers=peers,
            rebuild=rebuild,
            disclosure=disclosure,
            lifecycle=lifecycle,
            store=store,
            live_after_cancellation_s=(
                LIVE_AFTER_CANCELLATION_FRACTION * settings.cluster.workers.cancel_s
            ),
            counts_timeout_s=POLL_TIMEOUT_S / 4,
        )
        self.prerequisites = PrerequisiteCheck(jobs=jobs, store=store, upgrade=upgrade)

    async def handle(self, method: str, path: str, body: bytes) -> tuple[int, bytes, Headers]:
        """Handle one request; return the status, the JSON body and extra headers.

        Signals and routines that the request recorded are flushed before the return.
        """
        retry_after_s = 1
        try:
            status, value = await self._route(method, path.partition("?")[0], body)
        except UnavailableError as exc:
            log.debug("path=%s event=unavailable cause=%s", path, exc)
            status, value = 503, {"error": str(exc)}
            retry_after_s = max(1, math.ceil(min(exc.retry_after_s, MAX_RETRY_AFTER_S)))
        except OutcomeUnknownError as exc:
            log.debug("path=%s event=unavailable cause=%s", path, exc)
            status, value = 503, {"error": "state service unavailable"}
        except (msgspec.MsgspecError, KeyError, TypeError, ValueError) as exc:
            # A malformed record or answer must fail only this request, not the process.
            log.error("path=%s event=malformed cause=%r", path, exc)
            status, value = 503, {"error": "malformed data"}
        await self.routines.flush()
        headers: Headers = []
        if status == 503 and path.startswith("/api/"):
            headers.append(("Retry-After", str(retry_after_s)))
        return status, msgspec.json.encode(value), headers

    # Returns a tuple, because `Fleet.answer_report` answers a worker's report with a plain pair.
    async def _route(self, method: str, path: str, body: bytes) -> tuple[int, dict[str, Any]]:
        """Dispatch the request by path and method."""
        if path == "/v1/report":
            return await self.fleet.answer_report(body) if method == "POST" else METHOD_NOT_ALLOWED
        if path == "/up":
            return self._health() if method == "GET" else METHOD_NOT_ALLOWED
        if path == "/api/jobs":
            return await self._submit(body) if method == "POST" else METHOD_NOT_ALLOWED
        if path.startswith("/api/jobs/"):
            job, _, action = path[len("/api/jobs/") :].partition("/")
            job = unquote(job)
            if not action:
                return await self._poll(job) if method == "GET" else METHOD_NOT_ALLOWED
            if action == "abort":
                return await self._cancel(job) if method == "POST" else METHOD_NOT_ALLOWED
        return NO_SUCH_PATH

    def _health(self) -> Response:
        """Answer a health check."""
        return Response(200 if self.renewal.healthy() else 503, {})

    async def _poll(self, job: str) -> Response:
        """Answer a poll of a job's state."""
        if not is_valid_job_id(job):
            return NO_SUCH_JOB
        deadline = Deadline.within(time.monotonic(), RESPONSE_TIME_SHARE * POLL_TIMEOUT_S)
        status = await self.status.find(job, deadline)
        if status is None:
            return NO_SUCH_JOB
        return Response(200, await self.status.describe(job, status, deadline))

    async def _submit(self, body: bytes) -> Response:
        """Answer a submission; a repeated one returns the state of the accepted job."""
        try:
            job = self.objectives.job_from_description(
                msgspec.json.decode(body, type=JobDescription)
            )
        except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as exc:
            return Response(400, {"error": str(exc)})
        if not self.stalls.confirm_no_stall(time.monotonic()):
            # The process has stalled, so the user may no longer be waiting for the answer.
            raise UnavailableError("just awake")
        deadline = Deadline.within(time.monotonic(), RESPONSE_TIME_SHARE * SUBMIT_TIMEOUT_S)
        if not all(is_valid_job_id(name) for name in (job.id, *(job.prereqs or ()))):
            return await self._refuse(job, 400, "not in the form of a job's id", deadline)
        submitted = time.time()
        value = live_value(job, submitted)
        if self._exceeds_value_limit(value):
            return await self._refuse(job, 400, "description too large", deadline)
        if not self.catalogue.types and job.id not in self.jobs.ended:
            return Response(503, {"error": "machine types not known yet"})
        if not self._can_ever_run(job):
            return await self._refuse(job, 422, "can never run", deadline)
        repeated = await self._answer_repeated(job.id, deadline)
        if repeated is not None:
            return repeated
        self._admit(URGENT_PRIORITY_S)
        if job.prereqs:
            cause = await self.prerequisites.find_rejection_reason(job.prereqs, deadline)
            if cause:
                return await self._refuse(job, 422, cause, deadline)
            if not self.upgrade.complete:
                # A controller of the previous version would start the job without waiting.
                raise UnavailableError("not all controllers can take prereqs yet")
        rev = await self._commit_live(job.id, value, deadline)
        if rev is None:
            known = await self.status.find(job.id, deadline)
            if known is None:
                raise UnavailableError("the record is just changing")
            return Response(200, await self.status.describe(job.id, known, deadline))
        return await self._accept(job, rev, submitted, deadline)

    def _exceeds_value_limit(self, value: dict[str, Any]) -> bool:
        """Return whether the live or final record of the job would exceed the value size limit."""
        limit = self.settings.cluster.state.strictest().value_kb * 1024 - END_OVERHEAD_BYTES
        return len(msgspec.json.encode(value)) > limit

    def _can_ever_run(self, job: Job) -> bool:
        """Return whether the job fits on some machine type and within the limit of its team."""
        limit = self.quotas.limits.get(job.team)
        return (
            limit is not None
            and can_be_placed(job, self.catalogue.types)
            and can_ever_run(job, limit)
        )

    async def _answer_repeated(self, job: str, deadline: Deadline) -> Response | None:
        """Answer the submission of a job that this controller knows; None if unknown."""
        if job in self.jobs.ended:
            return Response(200, await self.status.describe(job, self.jobs.ended[job], deadline))
        if job in self.jobs.live:
            known = await self.status.find(job, deadline)
            if known is not None:
                return Response(200, await self.status.describe(job, known, deadline))
        return None

    async def _commit_live(self, job: str, value: dict[str, Any], deadline: Deadline) -> int | None:
        """Write the live record of a new job.

        Returns:
            The revision of the record; None if the job already has a record.

        Raises:
            UnavailableError: The state service can't be reached in time.
            OutcomeUnknownError: The record may have been written.
        """
        txn = Txn().require(live_key(job), 0).require(end_key(job), 0)
        txn.put(live_key(job), value)
        attempt = self.store.begin_request(deadline)
        while True:
            try:
                return await self.store.commit(txn, deadline, URGENT_PRIORITY_S)
            except ConflictError:
                return None
            except OutcomeUnknownError:
                # The transaction may have been applied. Sending it again is safe: it either
                # succeeds or conflicts with the record of the job.
                if not await self.store.back_off(attempt):
                    raise

    async def _accept(self, job: Job, rev: int, submitted: float, deadline: Deadline) -> Response:
        """Register a job whose live record has been written, and answer its user.

        Args:
            job: The accepted job.
            rev: The revision of the live record.
            submitted: The time of submission, in seconds on the wall clock.
            deadline: When the user stops waiting.
        """
        log.info(
            "job=%s event=accepted class=%s kind=%s tasks=%d",
            job.id,
            job.job_class,
            job.kind,
            job.tasks,
        )
        self.lifecycle.note_live(job, rev, self.lifecycle.to_monotonic(submitted))
        if self.rebuild.recovery is not None:
            await self.rebuild.recovery.wait_for_second_copy(rev, deadline)
        return Response(201, {"id": job.id, "status": "queued"})

    async def _refuse(self, job: Job, status: int, cause: str, deadline: Deadline) -> Response:
        """Refuse a submission, unless the job was accepted earlier.

        A job that was accepted is never refused later, whatever has changed since.
        """
        known = await self.status.find(job.id, deadline)
        if known is None:
            return Response(status, {"error": cause})
        return Response(200, await self.status.describe(job.id, known, deadline))

    def _admit(self, priority_s: float) -> None:
        """Admit a submission.

        Raises:
            UnavailableError: The backlog for the state service or the CPU is too long to answer
                in time; the error says when to retry.
        """
        retry_after_s = max(
            self.admission.retry_after_s(self.store.backlog(priority_s)),
            self.cpu_admission.retry_after_s(CPU_WAITS * self.stalls.timer_delay_s),
        )
        if retry_after_s:
            raise UnavailableError("too much is waiting", retry_after_s)

    async def _cancel(self, job: str) -> Response:
        """Answer a cancellation.

        Raises:
            UnavailableError: The cancellation was not committed in time, or the user may not be
                told yet.
        """
        if not is_valid_job_id(job):
            return NO_SUCH_JOB
        deadline = Deadline.within(time.monotonic(), RESPONSE_TIME_SHARE * SUBMIT_TIMEOUT_S)
        attempt = self.store.begin_request(deadline)
        while deadline.allows(time.monotonic()):
            if job in self.jobs.ended:
                ended = self.jobs.ended[job]
                return Response(200, await self.status.describe_end(job, ended, deadline))
            entry = await self.store.get(live_key(job), deadline)
            if entry is None:
                known = await self.status.find(job, deadline)
                if known is None:
                    return NO_SUCH_JOB
                if known == LIVE:
                    continue
                return Response(200, await self.status.describe_end(job, known, deadline))
            try:
                await self._commit_cancellation(job, entry, deadline)
            except ConflictError:
                continue
            except OutcomeUnknownError:
                if not await self.store.back_off(attempt):
                    break
                continue
            return Response(200, await self.status.describe_end(job, "cancelled", deadline))
        raise UnavailableError("not settled in time")

    async def _commit_cancellation(self, job: str, live: Entry, deadline: Deadline) -> None:
        """Replace the live record `live` by the final record of a cancelled job.

        Raises:
            ConflictError: The live record has changed or no longer exists.
            OutcomeUnknownError: The record may have been replaced.
            UnavailableError: The state service can't be reached in time.
        """
        txn = Txn().require(live_key(job), live.rev).delete(live_key(job))
        cancelled_at = time.time()
        value = end_value("cancelled", cancelled_at, live.value["j"])
        txn.put(end_key(job), truncate_end(value, self.upgrade.limits.value_kb))
        rev = await self.store.commit(txn, deadline, CANCEL_PRIORITY_S)
        log.info("job=%s event=cancelled", job)
        self.lifecycle.note_end(job, "cancelled", cancelled_at, rev)
