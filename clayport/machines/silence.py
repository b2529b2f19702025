"""Machines that fell silent: asking whether they still work, and returning those that don't."""

from __future__ import annotations

import logging
import time
from collections.abc import Awaitable, Callable, Container, Mapping
from typing import Protocol

import curio

from clayport.leases.renewal import LeaseRenewal
from clayport.machines.fencing import MachineFencing
from clayport.machines.machine import Machine
from clayport.machines.table import MachineTable
from clayport.membership.stalls import StallDetector
from clayport.membership.state import MembershipState
from clayport.model import CloudMachine
from clayport.routines import Routines
from clayport.scaling.cloud import CloudError
from clayport.scheduling.view import ClusterView
from clayport.settings import WorkerSettings
from clayport.transport import frames
from clayport.transport.peers import Peer, PeerError

log = logging.getLogger(__name__)

# Checks in a row that find a machine unhealthy before its replicas are moved off.
UNHEALTHY_CHECKS = 3


class CloudListing(Protocol):
    """Knows the machines as the cloud last listed them, by name."""

    @property
    def listed(self) -> dict[str, CloudMachine]:
        """The machines of the list."""
        ...


class SilenceWatch:
    """Has machines owned here returned that are silent and don't answer.

    Args:
        command_s: For how many seconds a worker's answer is awaited.
        evacuate: Begins to move all replicas off a machine.
        fencing: Returns machines, where this controller talks to the cloud.
        inspect: Asks a worker, by name and address, whether it works.
        machines: The machines owned here.
        membership: The epoch, and whether this controller serves in it.
        peers: The other controllers, by label.
        renewal: Whether the state service is reached.
        routines: Where the requests run.
        silent_s: The seconds without a report after which a machine is silent.
        stalls: Tells when this process itself has stood still.
        view: The rooms of all machines known.
        workers: The settings of workers.
    """

    def __init__(
        self,
        *,
        command_s: float,
        evacuate: Callable[[str, bool], bool],
        fencing: MachineFencing,
        inspect: Callable[[str, str], Awaitable[bool]],
        machines: MachineTable,
        membership: MembershipState,
        peers: Mapping[str, Peer],
        renewal: LeaseRenewal,
        routines: Routines,
        silent_s: float,
        stalls: StallDetector,
        view: ClusterView,
        workers: WorkerSettings,
    ) -> None:
        self.command_s = command_s
        self.evacuate = evacuate
        self.fencing = fencing
        self.inspect = inspect
        self.machines = machines
        self.membership = membership
        self.peers = peers
        self.renewal = renewal
        self.routines = routines
        self.silent_s = silent_s
        self.stalls = stalls
        self.view = view
        self.workers = workers

    def connect(self, *, provisioner: CloudListing) -> None:
        """Set the part that is built later than this one."""
        self.provisioner = provisioner

    async def watch_silence(self) -> None:
        """Fence machines that fell silent: a task on one can't be judged otherwise."""
        while True:
            await curio.sleep(self.workers.report_s)
            now = time.monotonic()
            if not self.stalls.check(now) or not self.membership.serving:
                continue
            self.machines.expire(now)
            if self.membership.away or self.renewal.state_lost(now):
                continue  # possibly evicted: see Provisioner.run
            owned = list(self.machines.machines.values())
            self._evacuate_unhealthy(owned)
            self._fence_silent(owned, now)

    def _evacuate_unhealthy(self, owned: list[Machine]) -> None:
        """Begin to move replicas off machines that stay unhealthy."""
        for machine in owned:
            # Not at once: the job that failed there may yet prove to be at fault.
            unhealthy = self.machines.is_unhealthy(machine)
            machine.unhealthy_checks = machine.unhealthy_checks + 1 if unhealthy else 0
            if machine.unhealthy_checks >= UNHEALTHY_CHECKS and machine.known:
                self.evacuate(machine.name, True)

    def _fence_silent(self, owned: list[Machine], now: float) -> None:
        """Begin to fence the silent ones of the machines."""
        silent = [
            machine
            for machine in owned
            if now - machine.heard > self.silent_s
            and not machine.fencing
            and (machine.known or machine.desired)
        ]
        # When most are silent at once it is we who are cut off, or a whole
        # zone is: returning them all would destroy what still works.
        cut_off = len(silent) > 2 and len(silent) * 2 > len(owned)
        for machine in silent:
            if not cut_off or now - machine.heard > self.workers.cancel_s / 2:
                machine.fencing = True
                self.machines.touch(machine.name)
                self.routines.spawn(self._fence(machine))

    async def _fence(self, machine: Machine) -> None:
        """Have a silent machine returned, unless it answers."""
        epoch = self.membership.epoch
        try:
            address = self._address(machine)
            if not address and time.monotonic() - machine.heard < self.workers.cancel_s / 2:
                return
            answers = bool(address) and await self._answers(machine.name, address, epoch.members)
            if self.membership.epoch is not epoch or not self.membership.serving:
                return
            if not self._useless(machine) and (
                answers or time.monotonic() - machine.heard < self.silent_s
            ):
                return
            log.info(
                "machine=%s epoch=%d event=fence cause=silent tasks=%d",
                machine.name,
                epoch.number,
                len(machine.desired),
            )
            if epoch.provisioner == self.membership.label:
                await self.fencing.fence(machine.name)
            else:
                await self.peers[epoch.provisioner].call(
                    frames.FENCE, (epoch.number, machine.name, "silent"), 10 * self.command_s
                )
        except (PeerError, CloudError, KeyError) as exc:
            log.info("machine=%s event=not-fenced cause=%s", machine.name, exc)
        finally:
            machine.fencing = False
            if machine.name in self.machines.machines:
                self.machines.touch(machine.name)

    def _address(self, machine: Machine) -> str:
        """The worker's address, or empty.

        An owner that has not heard the machine yet knows its address from the cached state or
        the list; with none, silence alone is no ground to return a machine that may well work
        (fifteen were, when one controller lost the state service).
        """
        room = self.view.rooms.get(machine.name)
        listed = self.provisioner.listed.get(machine.name)
        return (
            machine.address or (room.address if room else "") or (listed.address if listed else "")
        )

    def _useless(self, machine: Machine) -> bool:
        """Whether a machine answers commands, but has let its lease run out for long."""
        return machine.lease_expired and (
            time.monotonic() - machine.reported_at > self.workers.cancel_s / 2
        )

    async def _answers(self, name: str, address: str, members: Container[str]) -> bool:
        """Whether the worker answers us or a peer.

        Both are asked at once: one after the other, a machine that had ended was returned only
        after its lease was over, and its replicas were missed for so much longer.
        """
        async with curio.TaskGroup(wait=all) as group:
            found = [
                await group.spawn(self.inspect, name, address),
                await group.spawn(self._answers_peer, name, address, members),
            ]
        return any(task.result for task in found)

    async def _answers_peer(self, name: str, address: str, members: Container[str]) -> bool:
        """Whether the worker answers the first peer that can be asked."""
        for label, peer in self.peers.items():
            if label in members:
                try:
                    answer = await peer.call(frames.INSPECT, (name, address), self.command_s * 1.5)
                    return bool(answer[0])
                except PeerError:
                    continue
        return False
