"""Sends commands to workers over pooled connections, one request at a time to each worker."""

from __future__ import annotations

import logging
import time
from collections import OrderedDict
from collections.abc import Callable

import msgspec

from clayport.leases.renewal import LeaseRenewal
from clayport.machines.command_log import log_sent
from clayport.machines.machine import NEVER, Machine
from clayport.machines.table import MachineTable
from clayport.membership.state import MembershipState
from clayport.model import WorkerHeartbeat
from clayport.routines import Routines
from clayport.scheduling.cached_state import CachedState
from clayport.settings import ConfigError, parse_endpoint
from clayport.transport import http

log = logging.getLogger(__name__)


class WorkerClients:
    """A bounded pool of HTTP clients for workers, by address.

    Args:
        max_clients: The number of clients that are kept open.
        routines: Runs the closing of evicted clients.
    """

    def __init__(self, max_clients: int, routines: Routines) -> None:
        self.max_clients = max_clients
        self.routines = routines
        self.clients: OrderedDict[str, http.Client] = OrderedDict()

    def client(self, address: str) -> http.Client | None:
        """Return a pooled client, and close the least recently used one if the pool is full.

        Args:
            address: The worker's address, `HOST:PORT`.

        Returns:
            The client, or None for a malformed address.
        """
        found = self.clients.get(address)
        if found is None:
            try:
                host, port = parse_endpoint(address, "address")
            except ConfigError as exc:
                log.error("malformed worker address dropped: %s", exc)
                return None
            found = self.clients[address] = http.Client(host, port, max_idle=1)
            if len(self.clients) > self.max_clients:
                _, oldest = self.clients.popitem(last=False)
                self.routines.spawn(oldest.close())
        self.clients.move_to_end(address)
        return found


class CommandSender:
    """Sends queued commands to machines, and applies the reports in the workers' answers.

    Args:
        cached_state: Is notified of changes of the machines' room.
        client_of: Finds the client for a worker's address; None for a malformed one.
        command_s: The timeout of a request to a worker, in seconds.
        machines: The machines owned here.
        membership: The epoch, and whether this controller serves in it.
        renewal: Tells whether this controller may still renew leases.
        routines: Runs the requests.
    """

    def __init__(
        self,
        *,
        cached_state: CachedState,
        client_of: Callable[[str], http.Client | None],
        command_s: float,
        machines: MachineTable,
        membership: MembershipState,
        renewal: LeaseRenewal,
        routines: Routines,
    ) -> None:
        self.cached_state = cached_state
        self.client_of = client_of
        self.command_s = command_s
        self.machines = machines
        self.membership = membership
        self.renewal = renewal
        self.routines = routines

    def send_queued_commands(self, name: str) -> None:
        """Start sending the queued commands of a machine, unless a request to it is in flight."""
        machine = self.machines.machines.get(name)
        if (
            machine is not None
            and machine.has_urgent_commands
            and not machine.request_in_flight
            and machine.known
            and time.monotonic() >= machine.direct_paused_until
        ):
            machine.request_in_flight = True
            self.routines.spawn(self.send_until_empty(machine, True))

    async def send_until_empty(self, machine: Machine, already_marked: bool = False) -> None:
        """Send one request at a time to a machine, until no task is to be launched or stopped.

        Clears go with these requests, or else with the answer to the next report.

        Args:
            machine: The machine.
            already_marked: Whether the caller has set `request_in_flight` for this call.
        """
        if machine.request_in_flight and not already_marked:
            return
        machine.request_in_flight = True
        epoch_number = self.membership.epoch.number
        try:
            while (
                machine.has_urgent_commands
                and self.membership.epoch.number == epoch_number
                and self.membership.serving
                and self.renewal.may_renew(time.monotonic())
            ):
                client = self.client_of(machine.address)
                if client is None or not await self._send(machine, client, epoch_number):
                    return
        finally:
            machine.request_in_flight = False
        self.cached_state.note_own_room()

    async def _send(self, machine: Machine, client: http.Client, epoch_number: int) -> bool:
        """Send the commands queued now, and return whether to send the next ones at once."""
        orders, launches = self.machines.commands_to_send(machine, direct=True)
        token = machine.token
        log_sent(machine, "request", orders)
        body = msgspec.json.encode({"epoch": token, "tenure": machine.session, "orders": orders})
        try:
            status, raw = await client.request("POST", "/do", body, self.command_s)
        except http.NoAnswerError as exc:
            log.info("machine=%s event=unanswered %s", machine.name, exc)
            if self.membership.epoch.number == epoch_number:
                may_arrive = not isinstance(exc, http.NotSentError)
                self.machines.unanswered(machine, launches, may_arrive, time.monotonic())
            return False
        if self.membership.epoch.number != epoch_number:
            return False
        if status == 200:
            self.machines.answered(machine, orders, launches)
        else:
            self.machines.unanswered(machine, launches, False, time.monotonic())
            log.info(
                "machine=%s session=%d token=%d event=refused status=%d",
                machine.name,
                machine.session,
                token,
                status,
            )
        if status in (200, 409):
            self._apply_answer(machine, raw)
        if machine.token > token:
            # A peer that answered a report of the machine has raised the token. Commands refused
            # for that reason are sent again under the new token.
            machine.direct_paused_until = NEVER
            return True
        return status == 200 and machine.may_launch_directly

    def _apply_answer(self, machine: Machine, raw: bytes) -> None:
        """Apply the report in a worker's answer to a command, which does not renew its lease."""
        try:
            report = msgspec.json.decode(raw, type=WorkerHeartbeat)
        except msgspec.MsgspecError as exc:
            log.error("machine=%s malformed answer to a command dropped: %s", machine.name, exc)
            return
        if report.machine != machine.name:
            return
        if self.machines.accepts_token(report):
            heard = machine.last_heard_at
            self.machines.take_report(report, time.monotonic(), False)
            machine.last_heard_at = max(heard, machine.last_heard_at)
        else:
            self.membership.request_rescan()

    async def inspect(self, name: str, address: str) -> bool:
        """Return whether a worker answers a direct request.

        Its report is applied if this controller owns the machine.
        """
        client = self.client_of(address)
        if client is None:
            return False
        try:
            status, raw = await client.request("GET", "/inspect", None, self.command_s)
        except http.NoAnswerError:
            return False
        machine = self.machines.machines.get(name)
        if status == 200 and machine is not None:
            self._apply_answer(machine, raw)
        return status == 200
