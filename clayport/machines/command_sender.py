"""Sending commands to workers over pooled connections, one request at a time to each."""

from __future__ import annotations

import logging
import time
from collections import OrderedDict
from collections.abc import Callable

import msgspec

from clayport.leases.renewal import LeaseRenewal
from clayport.machines.machine import Machine
from clayport.machines.table import MachineTable
from clayport.membership.state import MembershipState
from clayport.model import WorkerHeartbeat
from clayport.routines import Routines
from clayport.scheduling.cached_state import CachedState
from clayport.settings import ConfigError, endpoint
from clayport.transport import http

log = logging.getLogger(__name__)


class WorkerClients:
    """Clients of workers by address, a bounded number of them.

    Args:
        max_clients: How many clients are kept open.
        routines: Where a client that is dropped is closed.
    """

    def __init__(self, max_clients: int, routines: Routines) -> None:
        self.max_clients = max_clients
        self.routines = routines
        self.clients: OrderedDict[str, http.Client] = OrderedDict()

    def client(self, address: str) -> http.Client | None:
        """A pooled client; the least recently used is closed beyond the budget.

        Args:
            address: The worker's address, `HOST:PORT`.

        Returns:
            The client, or None for a malformed address.
        """
        found = self.clients.get(address)
        if found is None:
            try:
                host, port = endpoint(address, "address")
            except ConfigError as exc:
                log.error("machine address dropped: %s", exc)
                return None
            found = self.clients[address] = http.Client(host, port, keep=1)
            if len(self.clients) > self.max_clients:
                _, oldest = self.clients.popitem(last=False)
                self.routines.spawn(oldest.close())
        self.clients.move_to_end(address)
        return found


class CommandSender:
    """Sends what is queued for machines, and takes in the reports that workers answer with.

    Args:
        cached_state: Notes changes of the machines' room.
        client_of: Finds the client for a worker's address; None for a malformed one.
        command_s: For how many seconds a worker's answer is awaited.
        machines: The machines owned here.
        membership: The epoch, and whether this controller serves in it.
        renewal: Whether this controller may still act as a member.
        routines: Where requests run.
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

    def poke(self, name: str) -> None:
        """Send what is queued for the machine, unless that is under way."""
        machine = self.machines.machines.get(name)
        if (
            machine is not None
            and machine.urgent
            and not machine.busy
            and machine.known
            and time.monotonic() >= machine.direct_paused_until
        ):
            machine.busy = True
            self.routines.spawn(self.pump(machine, True))

    async def pump(self, machine: Machine, marked: bool = False) -> None:
        """Send one request at a time to a machine, until nothing is queued for it.

        Args:
            machine: The machine.
            marked: Whether the caller has marked the machine as busy for this call.
        """
        if machine.busy and not marked:
            return
        machine.busy = True
        generation = self.membership.epoch.number
        try:
            while (
                machine.orders
                and self.membership.epoch.number == generation
                and self.membership.serving
                and self.renewal.may_renew(time.monotonic())
            ):
                client = self.client_of(machine.address)
                if client is None or not await self._send(machine, client, generation):
                    return
        finally:
            machine.busy = False
        self.cached_state.note_own_room()

    async def _send(self, machine: Machine, client: http.Client, generation: int) -> bool:
        """Send the commands queued now; whether the worker has executed them."""
        orders, launches = self.machines.orders(machine)
        body = msgspec.json.encode(
            {"epoch": machine.token, "tenure": machine.session, "orders": orders}
        )
        try:
            status, raw = await client.request("POST", "/do", body, self.command_s)
        except http.NoAnswerError as exc:
            log.info("machine=%s event=unanswered %s", machine.name, exc)
            if self.membership.epoch.number == generation:
                may_arrive = not isinstance(exc, http.NotSentError)
                self.machines.unanswered(machine, launches, may_arrive, time.monotonic())
            return False
        if self.membership.epoch.number != generation:
            return False
        if status == 200:
            self.machines.answered(machine, orders, launches)
        else:
            self.machines.unanswered(machine, launches, False, time.monotonic())
        if status in (200, 409):
            self._take_answer(machine, raw)
        if status != 200:
            log.info("machine=%s event=refused status=%d", machine.name, status)
        return status == 200

    def _take_answer(self, machine: Machine, raw: bytes) -> None:
        """Apply the report in a worker's answer, which doesn't renew its lease."""
        try:
            report = msgspec.json.decode(raw, type=WorkerHeartbeat)
        except msgspec.MsgspecError as exc:
            log.error("machine=%s malformed answer dropped: %s", machine.name, exc)
            return
        if report.machine != machine.name:
            return
        if self.machines.accepts_token(report):
            heard = machine.heard
            self.machines.take_report(report, time.monotonic(), False)
            machine.heard = max(heard, machine.heard)
        else:
            self.membership.request_rescan()

    async def inspect(self, name: str, address: str) -> bool:
        """Whether the worker itself answers; what it says is used where we own it."""
        client = self.client_of(address)
        if client is None:
            return False
        try:
            status, raw = await client.request("GET", "/inspect", None, self.command_s)
        except http.NoAnswerError:
            return False
        machine = self.machines.machines.get(name)
        if status == 200 and machine is not None:
            self._take_answer(machine, raw)
        return status == 200
