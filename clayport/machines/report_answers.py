"""Answering workers' reports: from the owner, for an owner elsewhere, and in its absence."""

from __future__ import annotations

import logging
import time
from collections.abc import Callable, Coroutine, Mapping
from typing import Any, TypeAlias

import msgspec

from clayport.jobs.registry import JobRegistry
from clayport.leases.renewal import LeaseRenewal
from clayport.leases.watermark import CancellationWatermark
from clayport.machines.commands import MAX_COMMANDS, Order
from clayport.machines.machine import NEVER, Machine
from clayport.machines.table import MachineTable
from clayport.membership.epoch import TOKEN_COUNTER_BITS, Epoch
from clayport.membership.state import MembershipState
from clayport.model import WorkerHeartbeat
from clayport.rebuild.support import RebuildSupport
from clayport.routines import Routines
from clayport.scheduling.cached_state import CachedState
from clayport.scheduling.view import ClusterView
from clayport.transport import frames
from clayport.transport.peers import Peer, PeerError

log = logging.getLogger(__name__)

# Machines of other owners whose last report here is remembered.
MAX_FORWARDED = 5000

# An HTTP status, and the fields of the response.
Answer: TypeAlias = tuple[int, dict[str, Any]]


def void_token(epoch: Epoch, token: int) -> int:
    """A token above all that an owner gave out in an epoch, and below the next one's.

    For machines whose owner has ended. In an outage no epoch follows it, the others keep
    the machine's session alive, and a launch that was held on its way started a task of a job
    that had long been cancelled. The machine may not have seen any token of the epoch
    yet (the answer to its report was lost), or one of a later epoch, which is not ours
    to void.
    """
    if token >> TOKEN_COUNTER_BITS > epoch.number:
        return token
    return max(token, epoch.first_token | 1 << (TOKEN_COUNTER_BITS - 1))


class ReportAnswers:
    """Answers the reports of workers, whoever owns their machines.

    Args:
        cached_state: Notes changes of the machines' room.
        jobs: The jobs known here.
        machines: The machines owned here.
        membership: The epoch, and whether this controller serves in it.
        peers: The other controllers, by label.
        pump: Sends what is queued for a machine.
        rebuild: Whether the records are being rebuilt.
        renewal: Whether the leases of workers may be renewed.
        routines: Where commands are sent.
        silent_s: The seconds without a report after which a machine is silent.
        view: The rooms of all machines known.
        watermark: Which processes have answered under which label.

    Attributes:
        forwarded: When a machine of another owner last reported here, in seconds of the
            monotonic clock.
    """

    def __init__(
        self,
        *,
        cached_state: CachedState,
        jobs: JobRegistry,
        machines: MachineTable,
        membership: MembershipState,
        peers: Mapping[str, Peer],
        pump: Callable[[Machine], Coroutine[Any, Any, None]],
        rebuild: RebuildSupport,
        renewal: LeaseRenewal,
        routines: Routines,
        silent_s: float,
        view: ClusterView,
        watermark: CancellationWatermark,
    ) -> None:
        self.cached_state = cached_state
        self.jobs = jobs
        self.machines = machines
        self.membership = membership
        self.peers = peers
        self.pump = pump
        self.rebuild = rebuild
        self.renewal = renewal
        self.routines = routines
        self.silent_s = silent_s
        self.view = view
        self.watermark = watermark
        self.forwarded: dict[str, float] = {}

    async def report(self, body: bytes) -> Answer:
        """Answer a worker's report.

        Args:
            body: The report as it came.

        Returns:
            The HTTP status and the fields of the response; 400 for a malformed report.
        """
        try:
            report = msgspec.json.decode(body, type=WorkerHeartbeat)
        except msgspec.MsgspecError as exc:
            log.error("malformed report dropped: %s", exc)
            return 400, {}
        status, answer = await self._answer(report, body)
        if status == 200:
            self._kill_cancelled(report, answer["orders"])
        return status, answer

    def own_report(self, report: WorkerHeartbeat, now: float) -> Answer:
        """Answer a report of a machine that is owned here."""
        if report.machine in self.machines.gone:
            # Held on its way: a machine that had been returned was open for work again, until
            # its silence was noticed.
            return 503, {}
        if not self.machines.accepts_token(report):
            self.membership.request_rescan()
            return 503, {}
        new = report.machine not in self.machines.machines
        machine = self.machines.take_report(report, now, True)
        if machine is None:
            return 200, {"epoch": self.machines.machine(report.machine, now).token, "orders": []}
        if new:
            self._note_owned(machine)
        answer: dict[str, Any] = {"epoch": machine.token, "orders": []}
        if machine.orders and not machine.busy:
            # Exited tasks take no room: that they are cleared can wait for a report's answer,
            # which costs nothing, and is repeated until they are no longer listed.
            if now < machine.direct_paused_until or not machine.urgent:
                answer["orders"], machine.launches_in_response = self.machines.orders(machine)
            else:
                self.routines.spawn(self.pump(machine))
        self.cached_state.note_own_room()
        return 200, answer

    def _note_owned(self, machine: Machine) -> None:
        """Take over what was known of a machine that reports here for the first time."""
        room = self.view.rooms.get(machine.name)
        if room is not None:
            machine.images.update({image: 0.0 for image in room.images})
        log.info(
            "machine=%s epoch=%d event=owned type=%s zone=%s spot=%s",
            machine.name,
            self.membership.epoch.number,
            machine.type,
            machine.zone,
            machine.spot,
        )

    async def _answer(self, report: WorkerHeartbeat, body: bytes) -> Answer:
        """Answer a report from here, from the machine's owner, or in the owner's absence."""
        now = time.monotonic()
        epoch = self.membership.epoch
        owner = epoch.member_for(report.machine)
        if self.renewal.superseded(now) and self.renewal.state_lost(now):
            return 421, {}
        if not self.renewal.may_renew(now):
            # Users may have been told of cancellations that we don't know of: a cancelled
            # task must not live on here past its deadline.
            return 503, {}
        if owner == self.membership.label and self.membership.serving:
            return self.own_report(report, now)
        if owner and owner != self.membership.label and self.membership.records_loaded:
            answer = await self._refer_to_owner(epoch, owner, report, body, now)
            if answer is not None:
                return answer
        if self.renewal.may_renew(time.monotonic()) and not self._unsure(report):
            # No orders but kills: this starts nothing and takes nothing from whoever is
            # entitled. What an owner that has ended left on its way is void.
            ended = self._owner_ended(epoch, owner)
            token = void_token(epoch, report.token) if ended else report.token
            return 200, {"epoch": token, "orders": []}
        if owner and owner != self.membership.label:
            return 421, {"upstream": owner}
        return 503, {}

    async def _refer_to_owner(
        self, epoch: Epoch, owner: str, report: WorkerHeartbeat, body: bytes, now: float
    ) -> Answer | None:
        """Send the worker to its owner or pass its report on; None where neither works."""
        peer = self.peers.get(owner)
        last = self.forwarded.get(report.machine, NEVER)
        self.forwarded[report.machine] = now
        if len(self.forwarded) > MAX_FORWARDED:
            self.forwarded.clear()
        reachable = peer is not None and now - peer.heard < self.membership.lease_ttl_s
        if reachable and now - last > self.silent_s:
            return 421, {"upstream": owner}
        # Back again although it was sent to its owner: the worker can't
        # reach it, so its report is passed on.
        if peer is not None and self.membership.is_member:
            try:
                status, raw = await peer.call(frames.REPORT, (epoch.number, body))
                if status == 200:
                    return 200, msgspec.json.decode(raw)
            except (PeerError, msgspec.DecodeError):
                pass
        return None

    def _kill_cancelled(self, report: WorkerHeartbeat, orders: list[Order]) -> None:
        """Have what is known to be cancelled stopped by whoever answers the worker.

        The job's leader may not be there, or belong to an epoch that can't be loaded, and a
        kill of such a task is right under any token.
        """
        ordered = {(order["piece"], order["try"]) for order in orders if order["verb"] == "kill"}
        orders += [
            {"verb": "kill", "piece": task.task, "try": task.attempt, "wind_down_s": 0.0}
            for task in report.tasks
            if task.state != "exited"
            and (task.task, task.attempt) not in ordered
            and self._cancelled(report, task.task.partition("/")[0])
        ][: MAX_COMMANDS - len(ordered)]

    def _cancelled(self, report: WorkerHeartbeat, job: str) -> bool:
        """Whether a job with a task on a machine is known to be over.

        One that is neither live nor known to have ended is, where all that was launched there
        was launched under epochs before ours: we have read what was live since.
        """
        return self.jobs.is_cancelled(job) or (
            self.rebuild.recovery is None and self._stranger(job) and self._before_us(report)
        )

    def _stranger(self, job: str) -> bool:
        """Whether the records have been read and say nothing of a job."""
        return (
            self.membership.records_loaded
            and job not in self.jobs.live
            and job not in self.jobs.ended
        )

    def _before_us(self, report: WorkerHeartbeat) -> bool:
        """Whether the machine has had no commands of a later owner than this controller."""
        epoch, number = self.membership.epoch, report.token >> TOKEN_COUNTER_BITS
        return number < epoch.number or (
            number == epoch.number and epoch.member_for(report.machine) == self.membership.label
        )

    def _owner_ended(self, epoch: Epoch, owner: str) -> bool:
        """Whether the process that an epoch names as the owner is known to have ended.

        Another one has answered in its place. One that answered before we knew of the epoch
        may be its predecessor.
        """
        watermark, named = self.watermark, epoch.members.get(owner)
        heard = watermark.incarnations.get(owner)
        return (
            epoch is self.membership.epoch
            and bool(named and heard and named != heard)
            and watermark.promise_requested_at[owner] > self.membership.epoch_started_at
        )

    def _unsure(self, report: WorkerHeartbeat) -> bool:
        """Whether a machine has tasks of jobs that we can't say anything of.

        They were accepted, and perhaps cancelled, after we had last read the records.
        """
        return not self._before_us(report) and any(
            task.state != "exited" and self._stranger(task.task.partition("/")[0])
            for task in report.tasks
        )
