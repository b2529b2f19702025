"""What a controller answers to the requests of its peers: one method for each kind of frame.

The fields of each kind are laid out in `peerwire.SCHEMAS`; a method takes them as its
arguments, in that order. Times are seconds on this process's steady clock.
"""

from __future__ import annotations

import logging
import time
from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING, Any, NamedTuple

import msgspec

from . import peerwire
from .cloud import CloudError
from .model import Report

if TYPE_CHECKING:
    from .server import Controller

log = logging.getLogger("clayport.peers")

# The kind of the answer's frame, and its fields.
Answer = tuple[int, tuple[Any, ...]]

AGREED: Answer = (peerwire.ACK, (True,))
REFUSED: Answer = (peerwire.ACK, (False,))
NO_COUNTS: Answer = (peerwire.COUNTED, (False, 0, 0))
NO_TABLE: Answer = (peerwire.TABLE, (False, 0, False, [], [], []))
NO_RESERVATIONS: Answer = (peerwire.RESERVED, (False, []))
NO_VERDICTS: Answer = (peerwire.VERDICTS, (False, []))
NO_HISTORY: Answer = (peerwire.HISTORY_TOLD, ("", 0, 0, False, 0))
NO_EVIDENCE: Answer = (peerwire.EVIDENCE_TOLD, (0, b""))

# Final states of a job, as `ENDED` carries them.
FINAL_STATES = ("done", "cancelled")


class PeerRequests:
    """Answers the peers of one controller."""

    def __init__(self, core: Controller) -> None:
        self.core = core

    async def answer(self, kind: int, values: tuple[Any, ...]) -> Answer:
        """Answer one request; what it has signalled or started is carried out before.

        A request that acts on machines or tasks is refused as a whole unless it names the
        epoch that is served here.
        """
        try:
            handler = HANDLERS.get(kind)
            if handler is None:
                return REFUSED
            if handler.refusal is not None and not self._is_current(values[0]):
                return handler.refusal
            return await handler.method(self, *values)
        finally:
            await self.core.flush()

    def _is_current(self, epoch: int) -> bool:
        return self.core.serving and epoch == self.core.epoch.number

    # -- requests of any epoch --------------------------------------

    async def ping(
        self, label: str, number: int, state_ok: bool, room_rev: int, demand: list[Any]
    ) -> Answer:
        """PING, a heartbeat without promises."""
        heartbeats = self.core.heartbeats
        heartbeats.received(label, number, state_ok, room_rev, demand)
        return peerwire.PONG, heartbeats.sign(time.monotonic())

    async def beat(
        self,
        label: str,
        number: int,
        state_ok: bool,
        room_rev: int,
        demand: list[Any],
        _incarnation: str,
        known_rev: int,
    ) -> Answer:
        """BEAT, a heartbeat that asks for a promise about cancellations."""
        now = time.monotonic()
        heartbeats = self.core.heartbeats
        is_peer = heartbeats.received(label, number, state_ok, room_rev, demand)
        sign = heartbeats.sign(now)
        promised = is_peer and heartbeats.promise(label, known_rev, now)
        return peerwire.BEATEN, (*sign, self.core.incarnation, promised)

    async def ended(self, job: str, status: str) -> Answer:
        """ENDED: a job's final state, to be acknowledged before its user is told."""
        if status in FINAL_STATES and job not in self.core.ended:
            self.core.mirror.note_end(job, status)
        return AGREED

    async def history(self, *values: Any) -> Answer:
        """HISTORY: which history of the records the sender acts on, and which we do."""
        if self.core.recovery is None:
            return NO_HISTORY
        return self.core.recovery.answer(peerwire.HISTORY, values)

    async def evidence(self, *values: Any) -> Answer:
        """EVIDENCE: one part of what is known here about the records to be rebuilt."""
        if self.core.recovery is None:
            return NO_EVIDENCE
        return self.core.recovery.answer(peerwire.EVIDENCE, values)

    async def inspect(self, machine: str, address: str) -> Answer:
        """INSPECT: whether a machine that its owner misses answers us."""
        return peerwire.ACK, (await self.core.fleet.inspect(machine, address),)

    async def gone(self, _epoch: int, machines: list[tuple[str]]) -> Answer:
        """GONE: machines whose return the cloud has confirmed.

        It holds in any epoch, since names are not used again.
        """
        self.core.gone(name for (name,) in machines)
        return AGREED

    async def report(self, epoch: int, body: bytes) -> Answer:
        """REPORT: the report of a worker that can't reach us, passed on by a peer."""
        now = time.monotonic()
        try:
            report = msgspec.json.decode(body, type=Report)
        except msgspec.MsgspecError:
            return peerwire.REPORTED, (400, b"{}")
        core = self.core
        if (
            not self._is_current(epoch)
            or core.epoch.place(report.machine) != core.label
            or not core.may_renew(now)
        ):
            return peerwire.REPORTED, (503, b"{}")
        status, value = core.fleet.own_report(report, now)
        return peerwire.REPORTED, (status, msgspec.json.encode(value))

    # -- requests to the home of a job -----------------------------------

    async def counts(self, _epoch: int, job: str) -> Answer:
        """COUNTS: how many tasks of a job are done and how many run."""
        counts = self.core.dispatch.counts(job)
        return NO_COUNTS if counts is None else (peerwire.COUNTED, (True, *counts))

    async def states(self, _epoch: int, events: list[tuple[Any, ...]]) -> Answer:
        """STATES: what machines' owners have seen of tasks."""
        verdicts = self.core.dispatch.told(events)
        return peerwire.VERDICTS, (True, [(v,) for v in verdicts])

    async def move(self, _epoch: int, job: str, number: int, machine: str, drain: bool) -> Answer:
        """MOVE: whether a replica has another place than this machine."""
        return peerwire.ACK, (self.core.placer.movable(job, number, machine, drain),)

    # -- requests to the owner of machines -------------------------------

    async def room(self, _epoch: int, since: int, machines: list[tuple[str]]) -> Answer:
        """ROOM: the table of free room, or what has changed in it since a revision."""
        return peerwire.TABLE, self.core.picture.table(since, [name for (name,) in machines])

    async def reserve(
        self, _epoch: int, job: str, attempt: int, places: list[tuple[str, int]]
    ) -> Answer:
        """RESERVE: room for tasks of a job on our machines."""
        known = self.core.job_of(job)
        if known is None:
            return NO_RESERVATIONS
        granted = self.core.owner.reserve(known, places, attempt, time.monotonic())
        return peerwire.RESERVED, (True, [(g,) for g in granted])

    async def launch(self, _epoch: int, tasks: list[tuple[str, str, int]]) -> Answer:
        """LAUNCH: start tasks whose room has been reserved."""
        verdicts = self.core.owner.launch(tasks)
        self._poke(tasks)
        return peerwire.VERDICTS, (True, [(v,) for v in verdicts])

    async def stop(self, _epoch: int, tasks: list[tuple[str, str, int, float, bool]]) -> Answer:
        """STOP: kill tasks, or clear them from the machines' reports."""
        self.core.owner.stop(tasks)
        self._poke(tasks)
        return AGREED

    async def adopt(self, _epoch: int, tasks: list[tuple[str, str, int]]) -> Answer:
        """ADOPT: tasks that the records say are on our machines."""
        self.core.owner.adopt(tasks, time.monotonic())
        return AGREED

    async def preempt(
        self,
        _epoch: int,
        machine: str,
        job: str,
        count: int,
        grace_s: float,
        borrowers: list[tuple[str]],
    ) -> Answer:
        """PREEMPT: make room on a machine for so many tasks of a job."""
        wanting = self.core.job_of(job)
        made = wanting is not None and self.core.owner.preempt(
            wanting, machine, grace_s, time.monotonic(), [team for (team,) in borrowers], count
        )
        self.core.fleet.poke(machine)
        return peerwire.ACK, (made,)

    async def evacuate(self, _epoch: int, machine: str, drain: bool) -> Answer:
        """EVACUATE: move replicas off a machine."""
        return peerwire.ACK, (self.core.fleet.evacuate(machine, drain),)

    async def drain(self, _epoch: int, machine: str) -> Answer:
        """DRAIN: whether a machine is empty and takes no more work."""
        return peerwire.ACK, (self.core.owner.drain(machine),)

    # -- requests to the one that rents machines -------------------------

    async def fence(self, _epoch: int, machine: str, _cause: str) -> Answer:
        """FENCE: return a silent machine to the cloud; agreed once that is confirmed."""
        core = self.core
        if core.epoch.provisioner != core.label:
            return REFUSED
        try:
            await core.fleet.fences.fence(machine)
        except CloudError as exc:
            log.info("machine=%s event=not-fenced cause=%s", machine, exc)
            return REFUSED
        return AGREED

    def _poke(self, tasks: list[Any]) -> None:
        """Send the commands of the tasks' machines without waiting for their reports."""
        for machine in dict.fromkeys(task[0] for task in tasks):
            self.core.fleet.poke(machine)


class Handler(NamedTuple):
    """How one kind of request is answered."""

    method: Callable[..., Awaitable[Answer]]
    # The answer to a request of another epoch; None: those of any are carried out.
    refusal: Answer | None = None


HANDLERS: dict[int, Handler] = {
    peerwire.PING: Handler(PeerRequests.ping),
    peerwire.BEAT: Handler(PeerRequests.beat),
    peerwire.ENDED: Handler(PeerRequests.ended),
    peerwire.HISTORY: Handler(PeerRequests.history),
    peerwire.EVIDENCE: Handler(PeerRequests.evidence),
    peerwire.INSPECT: Handler(PeerRequests.inspect),
    peerwire.GONE: Handler(PeerRequests.gone),
    peerwire.REPORT: Handler(PeerRequests.report),
    peerwire.COUNTS: Handler(PeerRequests.counts, NO_COUNTS),
    peerwire.STATES: Handler(PeerRequests.states, NO_VERDICTS),
    peerwire.MOVE: Handler(PeerRequests.move, REFUSED),
    peerwire.ROOM: Handler(PeerRequests.room, NO_TABLE),
    peerwire.RESERVE: Handler(PeerRequests.reserve, NO_RESERVATIONS),
    peerwire.LAUNCH: Handler(PeerRequests.launch, NO_VERDICTS),
    peerwire.STOP: Handler(PeerRequests.stop, REFUSED),
    peerwire.ADOPT: Handler(PeerRequests.adopt, REFUSED),
    peerwire.PREEMPT: Handler(PeerRequests.preempt, REFUSED),
    peerwire.EVACUATE: Handler(PeerRequests.evacuate, REFUSED),
    peerwire.DRAIN: Handler(PeerRequests.drain, REFUSED),
    peerwire.FENCE: Handler(PeerRequests.fence, REFUSED),
}
