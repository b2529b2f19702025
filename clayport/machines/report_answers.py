"""Answers workers' reports as the owner, by forwarding to the owner, or without the owner."""

from __future__ import annotations

import logging
import time
from collections.abc import Callable, Coroutine, Mapping
from typing import Any, TypeAlias

import msgspec

from clayport.jobs.registry import JobRegistry
from clayport.leases.renewal import LeaseRenewal
from clayport.machines.command_log import log_sent
from clayport.machines.commands import MAX_COMMANDS, Order, kill_order
from clayport.machines.machine import NEVER, Machine
from clayport.machines.table import MachineTable
from clayport.machines.tokens import epoch_of, void_token
from clayport.membership.epoch import Epoch
from clayport.membership.state import MembershipState
from clayport.model import WorkerHeartbeat, job_of_task
from clayport.rebuild.support import RebuildSupport
from clayport.records.upgrade import UpgradeState
from clayport.routines import Routines
from clayport.scheduling.cached_state import CachedState
from clayport.scheduling.view import ClusterView
from clayport.transport import frames
from clayport.transport.peers import Peer, PeerError

log = logging.getLogger(__name__)

# Machines of other owners for which the time of the last report here is kept.
MAX_FORWARDED = 5000

# An HTTP status, and the fields of the response.
Answer: TypeAlias = tuple[int, dict[str, Any]]


class ReportAnswers:
    """Answers the reports of workers, whichever controller owns their machines.

    Args:
        cached_state: Is notified of changes of the machines' room.
        jobs: The jobs known here.
        machines: The machines owned here.
        membership: The epoch, and whether this controller serves in it.
        peers: The other controllers, by label.
        send_until_empty: Sends the queued commands of a machine.
        rebuild: Tells whether the records are being rebuilt.
        renewal: Tells whether the leases of workers may be renewed.
        routines: Runs the sending of commands.
        silent_s: The seconds without a report after which a machine is silent.
        upgrade: Tells whether all controllers accept tokens that a peer has raised.
        view: The rooms of all known machines.

    Attributes:
        forwarded: The time of the last report here of each machine of another owner, in
            seconds of the monotonic clock.
    """

    def __init__(
        self,
        *,
        cached_state: CachedState,
        jobs: JobRegistry,
        machines: MachineTable,
        membership: MembershipState,
        peers: Mapping[str, Peer],
        send_until_empty: Callable[[Machine], Coroutine[Any, Any, None]],
        rebuild: RebuildSupport,
        renewal: LeaseRenewal,
        routines: Routines,
        silent_s: float,
        upgrade: UpgradeState,
        view: ClusterView,
    ) -> None:
        self.cached_state = cached_state
        self.jobs = jobs
        self.machines = machines
        self.membership = membership
        self.peers = peers
        self.send_until_empty = send_until_empty
        self.rebuild = rebuild
        self.renewal = renewal
        self.routines = routines
        self.silent_s = silent_s
        self.upgrade = upgrade
        self.view = view
        self.forwarded: dict[str, float] = {}

    async def answer_report(self, body: bytes) -> Answer:
        """Answer a worker's report.

        Args:
            body: The encoded report.

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

    def answer_owned_machine(self, report: WorkerHeartbeat, now: float) -> Answer:
        """Answer a report of a machine that this controller owns."""
        if report.machine in self.machines.returned_machines:
            # The machine has been returned, and its report was delayed in the network. If the
            # report were applied, the machine would take new tasks until its silence is detected.
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
        if machine.has_commands and not machine.request_in_flight:
            # Exited tasks take no room, so clearing them can wait for the answer to a report.
            # That needs no extra request, and the command is repeated until the tasks are no
            # longer listed.
            if (
                now < machine.direct_paused_until
                or not machine.has_urgent_commands
                or not machine.may_launch_directly
            ):
                answer["orders"], machine.launches_in_response = self.machines.commands_to_send(
                    machine
                )
                answer["epoch"] = machine.token
                log_sent(machine, "answer", answer["orders"])
            else:
                self.routines.spawn(self.send_until_empty(machine))
        self.cached_state.note_own_room()
        return 200, answer

    def _note_owned(self, machine: Machine) -> None:
        """Log a new machine, and take over the list of its images from the cached state."""
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
        """Answer a report as the owner, by way of the owner, or without the owner."""
        now = time.monotonic()
        epoch = self.membership.epoch
        owner = epoch.member_for(report.machine)
        if self.renewal.superseded(now) and self.renewal.state_service_lost(now):
            return 421, {}
        if not self.renewal.may_renew(now):
            # Users may have been told of cancellations that are unknown here. Renewing the lease
            # could let a cancelled task run past its deadline.
            return 503, {}
        if owner == self.membership.label and self.membership.serving:
            return self.answer_owned_machine(report, now)
        if owner and owner != self.membership.label and self.membership.records_loaded:
            answer = await self._refer_to_owner(epoch, owner, report, body, now)
            if answer is not None:
                return answer
        if self.renewal.may_renew(time.monotonic()) and not self._has_unknown_jobs(report):
            # The answer contains only kills, so it starts nothing.
            token = self._token_without_owner(report)
            if token is not None:
                log.debug(
                    "machine=%s epoch=%d event=answered-without-owner owner=%s token=%d raised=%d",
                    report.machine,
                    epoch.number,
                    owner,
                    report.token,
                    token - report.token,
                )
                return 200, {"epoch": token, "orders": []}
        if owner and owner != self.membership.label:
            return 421, {"upstream": owner}
        return 503, {}

    async def _refer_to_owner(
        self, epoch: Epoch, owner: str, report: WorkerHeartbeat, body: bytes, now: float
    ) -> Answer | None:
        """Redirect the worker to its owner or forward its report; return None if both fail."""
        peer = self.peers.get(owner)
        last = self.forwarded.get(report.machine, NEVER)
        self.forwarded[report.machine] = now
        if len(self.forwarded) > MAX_FORWARDED:
            self.forwarded.clear()
        reachable = peer is not None and now - peer.last_heard_at < self.membership.lease_ttl_s
        if reachable and now - last > self.silent_s:
            return 421, {"upstream": owner}
        # The worker was redirected to the owner and reports here again. It cannot reach the
        # owner, so its report is forwarded.
        if peer is not None and self.membership.is_member:
            try:
                status, raw = await peer.call(frames.REPORT, (epoch.number, body))
                if status == 200:
                    answer = msgspec.json.decode(raw)
                    answer["orders"] = self._without_cancelled_launches(answer["orders"])
                    return 200, answer
            except (PeerError, msgspec.DecodeError):
                pass
        return None

    def _without_cancelled_launches(self, orders: list[Order]) -> list[Order]:
        """Return an owner's commands without the launches of jobs known here to be cancelled.

        The owner may not have learned of the cancellation yet. It queues a launch again that the
        next report does not list, so the launch is only delayed if the owner knows better.
        """
        return [
            order
            for order in orders
            if order["verb"] != "launch" or not self.jobs.is_cancelled(job_of_task(order["piece"]))
        ]

    def _kill_cancelled(self, report: WorkerHeartbeat, orders: list[Order]) -> None:
        """Add kills for the reported tasks of jobs that are known to be cancelled.

        Any controller that answers the worker adds them. The job's leader may be unavailable,
        or unable to load the epoch, and killing such a task is right under any token.
        """
        ordered = {(order["piece"], order["try"]) for order in orders if order["verb"] == "kill"}
        orders += [
            kill_order((task.task, task.attempt), 0.0)
            for task in report.tasks
            if task.state != "exited"
            and (task.task, task.attempt) not in ordered
            and self._known_to_be_over(report, job_of_task(task.task))
        ][: MAX_COMMANDS - len(ordered)]

    def _known_to_be_over(self, report: WorkerHeartbeat, job: str) -> bool:
        """Return whether a job with a task on a machine is known to be over.

        A job that is absent from the records is also over if the machine has had no commands
        of a later owner than this controller. The records were read after every launch on the
        machine, so a live job would be among them.
        """
        return self.jobs.is_cancelled(job) or (
            self.rebuild.recovery is None
            and self._absent_from_records(job)
            and self._no_later_owner(report)
        )

    def _absent_from_records(self, job: str) -> bool:
        """Return whether the records have been read and do not contain a job."""
        return (
            self.membership.records_loaded
            and job not in self.jobs.live
            and job not in self.jobs.ended
        )

    def _no_later_owner(self, report: WorkerHeartbeat) -> bool:
        """Return whether a machine has had no commands of a later owner than this controller."""
        epoch, number = self.membership.epoch, epoch_of(report.token)
        return number < epoch.number or (
            number == epoch.number and epoch.member_for(report.machine) == self.membership.label
        )

    def _token_without_owner(self, report: WorkerHeartbeat) -> int | None:
        """Return the token under which a lease may be renewed without the machine's owner.

        The owner may have sent launches that the network still holds, of jobs that have been
        cancelled since or will be. They would stay valid as long as the lease is renewed, and
        nobody else knows of them, so the token voids them. Until all controllers have the
        current version, the token stays as it is: the version before refuses a token that it has
        not issued. There are no promises then, so leases are not renewed for too long.

        Returns:
            The token; None if the lease must not be renewed.
        """
        if not self.upgrade.promises_enabled:
            return report.token
        newest = max((peer.epoch for peer in self.peers.values()), default=0)
        return void_token(report.token, max(self.membership.epoch.number, newest))

    def _has_unknown_jobs(self, report: WorkerHeartbeat) -> bool:
        """Return whether a machine has tasks of jobs that are unknown here.

        Such jobs were accepted, and may have been cancelled, after this controller last read
        the records.
        """
        return not self._no_later_owner(report) and any(
            task.state != "exited" and self._absent_from_records(job_of_task(task.task))
            for task in report.tasks
        )
