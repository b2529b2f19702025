"""Answers the requests of other controllers, with one method for each kind of frame.

A method takes the fields of its kind as arguments, in the order of `frames.SCHEMAS`. Times are
in seconds on the monotonic clock of this process.
"""

from __future__ import annotations

import logging
import time
from collections.abc import Awaitable, Callable, Iterable
from typing import Any, NamedTuple

import msgspec

from clayport.jobs.dispatcher import Dispatcher
from clayport.jobs.lifecycle import JobLifecycle
from clayport.jobs.registry import JobRegistry
from clayport.leases.renewal import LeaseRenewal
from clayport.machines.fleet import Fleet
from clayport.machines.removal import MachineRemoval
from clayport.machines.table import MachineTable
from clayport.membership.heartbeats import Heartbeats
from clayport.membership.state import MembershipState
from clayport.model import WorkerHeartbeat
from clayport.rebuild.support import RebuildSupport
from clayport.routines import Routines
from clayport.scaling.cloud import CloudError
from clayport.scheduling.cached_state import CachedState
from clayport.scheduling.demand_report import DemandRow
from clayport.scheduling.placer import Placer
from clayport.transport import frames

log = logging.getLogger(__name__)

# The kind and the fields of a reply frame; the fields are plain tuples, as `frames` packs them.
Answer = tuple[int, frames.Fields]

# List records as `frames` unpacks them.
# A machine or a team.
NameRecord = tuple[str]
# A machine and the number of a task to reserve room for.
ReservationRecord = tuple[str, int]
# A machine, a task and the attempt.
TaskRecord = tuple[str, str, int]
# A machine, a task, the attempt, the grace period (s) and whether to clear rather than kill.
StopRecord = tuple[str, str, int, float, bool]
# A machine, a task, the attempt, its state, the cause and whether a checkpoint is saved.
TaskStateRecord = tuple[str, str, int, str, str, bool]

AGREED: Answer = (frames.ACK, (True,))
REFUSED: Answer = (frames.ACK, (False,))
NO_COUNTS: Answer = (frames.COUNTED, (False, 0, 0))
NO_TABLE: Answer = (frames.TABLE, (False, 0, False, [], [], []))
NO_RESERVATIONS: Answer = (frames.RESERVED, (False, []))
NO_VERDICTS: Answer = (frames.VERDICTS, (False, []))
NO_HISTORY: Answer = (frames.HISTORY_REPLY, ("", 0, 0, False, 0))
NO_EVIDENCE: Answer = (frames.EVIDENCE_REPLY, (0, b""))

# The final states of a job in JOB_ENDED frames.
FINAL_STATES = ("done", "cancelled")


class PeerRequests:
    """The request handler for the peers of a controller."""

    def __init__(
        self,
        *,
        cached_state: CachedState,
        dispatcher: Dispatcher,
        fleet: Fleet,
        heartbeats: Heartbeats,
        jobs: JobRegistry,
        lifecycle: JobLifecycle,
        machines: MachineTable,
        membership: MembershipState,
        placer: Placer,
        rebuild: RebuildSupport,
        removal: MachineRemoval,
        renewal: LeaseRenewal,
        routines: Routines,
    ) -> None:
        self.cached_state = cached_state
        self.dispatcher = dispatcher
        self.fleet = fleet
        self.heartbeats = heartbeats
        self.jobs = jobs
        self.lifecycle = lifecycle
        self.machines = machines
        self.membership = membership
        self.placer = placer
        self.rebuild = rebuild
        self.removal = removal
        self.renewal = renewal
        self.routines = routines

    async def answer(self, kind: int, values: frames.Fields) -> Answer:
        """Handle one request and return its answer.

        Signals and routines that the handler has recorded are flushed before the return.
        A request that acts on machines or tasks is refused as a whole unless it comes from the
        epoch in which this controller is serving.
        """
        try:
            handler = HANDLERS.get(kind)
            if handler is None:
                return REFUSED
            if handler.refusal is not None and not self._is_current(values[0]):
                return handler.refusal
            return await handler.method(self, *values)
        finally:
            await self.routines.flush()

    def _is_current(self, epoch: int) -> bool:
        """Return whether this controller is serving in the epoch."""
        return self.membership.serving and epoch == self.membership.epoch.number

    # -- requests of any epoch --------------------------------------

    async def ping(
        self, label: str, epoch: int, state_service_ok: bool, room_rev: int, demand: list[DemandRow]
    ) -> Answer:
        """PING: answer a heartbeat without renewing the promise to the sender."""
        heartbeats = self.heartbeats
        heartbeats.receive(label, epoch, state_service_ok, room_rev, demand)
        return frames.PONG, heartbeats.status(time.monotonic())

    async def heartbeat(
        self,
        label: str,
        epoch: int,
        state_service_ok: bool,
        room_rev: int,
        demand: list[DemandRow],
        _incarnation: str,
        known_rev: int,
    ) -> Answer:
        """HEARTBEAT: answer a heartbeat, and renew the promise to the sender if that is allowed.

        Until the promise expires, this controller tells users of a cancellation only if the
        sender has acknowledged the cancellation (package `leases`).
        """
        now = time.monotonic()
        heartbeats = self.heartbeats
        is_peer = heartbeats.receive(label, epoch, state_service_ok, room_rev, demand)
        status = heartbeats.status(now)
        promised = is_peer and heartbeats.promise(label, known_rev, now)
        return frames.HEARTBEAT_REPLY, (*status, self.membership.incarnation, promised)

    async def job_ended(self, job: str, status: str) -> Answer:
        """JOB_ENDED: acknowledge the final state of a job, so that its user may be told."""
        if status in FINAL_STATES and job not in self.jobs.ended:
            self.lifecycle.note_end(job, status)
        return AGREED

    async def history(self, *values: Any) -> Answer:
        """HISTORY: exchange the record histories in which the sender and this controller act."""
        if self.rebuild.recovery is None:
            return NO_HISTORY
        return self.rebuild.recovery.handle_request(frames.HISTORY, values)

    async def evidence(self, *values: Any) -> Answer:
        """EVIDENCE: return one part of this controller's evidence for a rebuild of the records."""
        if self.rebuild.recovery is None:
            return NO_EVIDENCE
        return self.rebuild.recovery.handle_request(frames.EVIDENCE, values)

    async def inspect(self, machine: str, address: str) -> Answer:
        """INSPECT: return whether a machine that is silent to its owner answers this controller."""
        return frames.ACK, (await self.fleet.inspect(machine, address),)

    async def gone(self, _epoch: int, machines: list[NameRecord]) -> Answer:
        """GONE: remove machines whose return the cloud has confirmed.

        This is valid in any epoch because machine names are not reused.
        """
        self.removal.apply(name for (name,) in machines)
        return AGREED

    async def report(self, epoch: int, body: bytes) -> Answer:
        """REPORT: handle a report forwarded for a worker that can't reach this controller."""
        now = time.monotonic()
        try:
            report = msgspec.json.decode(body, type=WorkerHeartbeat)
        except msgspec.MsgspecError:
            return frames.REPORTED, (400, b"{}")
        if (
            not self._is_current(epoch)
            or self.membership.epoch.member_for(report.machine) != self.membership.label
            or not self.renewal.may_renew(now)
        ):
            return frames.REPORTED, (503, b"{}")
        status, value = self.fleet.answer_owned_machine(report, now)
        return frames.REPORTED, (status, msgspec.json.encode(value))

    # -- requests to the leader of a job -----------------------------------

    async def counts(self, _epoch: int, job: str) -> Answer:
        """COUNTS: return how many tasks of a job are done and how many are running."""
        counts = self.dispatcher.task_counts(job)
        return NO_COUNTS if counts is None else (frames.COUNTED, (True, *counts))

    async def task_states(self, _epoch: int, events: list[TaskStateRecord]) -> Answer:
        """TASK_STATES: return verdicts on the task states that the owners of machines report."""
        verdicts = self.dispatcher.task_events.handle_task_events(events)
        return frames.VERDICTS, (True, [(verdict,) for verdict in verdicts])

    async def move(self, _epoch: int, job: str, number: int, machine: str, drain: bool) -> Answer:
        """MOVE: return whether a replica can move from this machine to another one."""
        return frames.ACK, (self.placer.allow_move(job, number, machine, drain),)

    # -- requests to the owner of machines ---------------------------------

    async def free_room(self, _epoch: int, since: int, machines: list[NameRecord]) -> Answer:
        """FREE_ROOM: return the table of free room, or the changes to it since a revision."""
        return frames.TABLE, self.cached_state.free_room_table(
            since, [name for (name,) in machines]
        )

    async def reserve(
        self, _epoch: int, job: str, attempt: int, places: list[ReservationRecord]
    ) -> Answer:
        """RESERVE: reserve room for tasks of a live job on machines of this owner."""
        live = self.jobs.live.get(job)
        if live is None:
            return NO_RESERVATIONS
        grants = self.machines.reserve(live[0], places, attempt, time.monotonic())
        return frames.RESERVED, (True, [(granted,) for granted in grants])

    async def launch(self, _epoch: int, tasks: list[TaskRecord]) -> Answer:
        """LAUNCH: start tasks for which room is reserved."""
        verdicts = self.machines.launch(tasks)
        self._send_commands(tasks)
        return frames.VERDICTS, (True, [(verdict,) for verdict in verdicts])

    async def stop(self, _epoch: int, tasks: list[StopRecord]) -> Answer:
        """STOP: kill tasks, or clear ended ones from the reports of their machines."""
        self.machines.stop(tasks)
        self._send_commands(tasks)
        return AGREED

    async def adopt(self, _epoch: int, tasks: list[TaskRecord]) -> Answer:
        """ADOPT: take over tasks that are on machines of this owner according to the records."""
        self.machines.adopt(tasks, time.monotonic())
        return AGREED

    async def preempt(
        self,
        _epoch: int,
        machine: str,
        job: str,
        count: int,
        grace_s: float,
        borrowers: list[NameRecord],
    ) -> Answer:
        """PREEMPT: make room on a machine for `count` tasks of a job."""
        description = self.jobs.description(job)
        freed = description is not None and self.machines.preempt(
            description, machine, grace_s, time.monotonic(), [team for (team,) in borrowers], count
        )
        self.fleet.send_queued_commands(machine)
        return frames.ACK, (freed,)

    async def evacuate(self, _epoch: int, machine: str, drain: bool) -> Answer:
        """EVACUATE: move replicas to other machines."""
        return frames.ACK, (self.fleet.evacuate(machine, drain),)

    async def drain(self, _epoch: int, machine: str) -> Answer:
        """DRAIN: close a machine to new tasks; return whether it is empty and closed."""
        return frames.ACK, (self.machines.drain(machine),)

    # -- requests to the provisioner ---------------------------------------

    async def fence(self, _epoch: int, machine: str, _cause: str) -> Answer:
        """FENCE: return a silent machine to the cloud; accept only after the cloud confirms."""
        if self.membership.epoch.provisioner != self.membership.label:
            return REFUSED
        try:
            await self.fleet.fencing.fence(machine)
        except CloudError as exc:
            log.info("machine=%s event=not-fenced cause=%s", machine, exc)
            return REFUSED
        return AGREED

    def _send_commands(self, tasks: Iterable[TaskRecord | StopRecord]) -> None:
        """Send the queued commands of the tasks' machines without waiting for their reports."""
        for machine in dict.fromkeys(task[0] for task in tasks):
            self.fleet.send_queued_commands(machine)


class Handler(NamedTuple):
    """The method that answers one kind of request, and its epoch check."""

    method: Callable[..., Awaitable[Answer]]
    # The answer to a request from another epoch; None if requests of any epoch are handled.
    refusal: Answer | None = None


HANDLERS: dict[int, Handler] = {
    frames.PING: Handler(PeerRequests.ping),
    frames.HEARTBEAT: Handler(PeerRequests.heartbeat),
    frames.JOB_ENDED: Handler(PeerRequests.job_ended),
    frames.HISTORY: Handler(PeerRequests.history),
    frames.EVIDENCE: Handler(PeerRequests.evidence),
    frames.INSPECT: Handler(PeerRequests.inspect),
    frames.GONE: Handler(PeerRequests.gone),
    frames.REPORT: Handler(PeerRequests.report),
    frames.COUNTS: Handler(PeerRequests.counts, NO_COUNTS),
    frames.TASK_STATES: Handler(PeerRequests.task_states, NO_VERDICTS),
    frames.MOVE: Handler(PeerRequests.move, REFUSED),
    frames.FREE_ROOM: Handler(PeerRequests.free_room, NO_TABLE),
    frames.RESERVE: Handler(PeerRequests.reserve, NO_RESERVATIONS),
    frames.LAUNCH: Handler(PeerRequests.launch, NO_VERDICTS),
    frames.STOP: Handler(PeerRequests.stop, REFUSED),
    frames.ADOPT: Handler(PeerRequests.adopt, REFUSED),
    frames.PREEMPT: Handler(PeerRequests.preempt, REFUSED),
    frames.EVACUATE: Handler(PeerRequests.evacuate, REFUSED),
    frames.DRAIN: Handler(PeerRequests.drain, REFUSED),
    frames.FENCE: Handler(PeerRequests.fence, REFUSED),
}
