"""Detects silent machines, checks whether they still work, and returns those that do not."""

from __future__ import annotations

import logging
import time
from collections.abc import Awaitable, Callable, Container, Mapping
from typing import Protocol

import curio

from clayport.leases.renewal import LeaseRenewal
from clayport.machines.fencing import MachineFencing
from clayport.machines.machine import Machine, job_id
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

# A machine with a task of a job that has been cancelled for this fraction of `cancel_s` is returned
# as soon as it is silent, also if the silence may have another cause than the machine.
CANCELLED_FRACTION = 0.25

# Consecutive checks that find a machine unhealthy before its replicas are moved off.
UNHEALTHY_CHECKS = 3


class CloudListing(Protocol):
    """Provides the cloud's list of machines as last read."""

    @property
    def listed_machines(self) -> dict[str, CloudMachine]:
        """The listed machines, by name."""
        ...


class SilenceWatch:
    """Fences owned machines that are silent and do not answer a request.

    Args:
        cancelled_for_s: Tells for how many seconds a job is known to be cancelled, by its id and
            the present time; 0 if it is not cancelled.
        command_s: The timeout of a request to a worker, in seconds.
        evacuate: Starts moving replicas off a machine.
        fencing: Returns machines, if this controller is the provisioner.
        inspect: Asks a worker, by name and address, whether it works.
        machines: The machines owned here.
        membership: The epoch, and whether this controller serves in it.
        peers: The other controllers, by label.
        renewal: Tells whether the state service answers.
        routines: Runs the fences.
        silent_s: The seconds without a report after which a machine is silent.
        stalls: Detects stalls of this process.
        view: The rooms of all known machines.
        workers: The settings of workers.
    """

    def __init__(
        self,
        *,
        cancelled_for_s: Callable[[str, float], float],
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
        self.cancelled_for_s = cancelled_for_s
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
        """Set the provisioner, which is built after this object."""
        self.provisioner = provisioner

    async def watch_silence(self) -> None:
        """Fence silent machines, because only a fence ensures that their tasks cannot run."""
        while True:
            await curio.sleep(self.workers.report_s)
            now = time.monotonic()
            if not self.stalls.confirm_no_stall(now) or not self.membership.serving:
                continue
            self.machines.expire(now)
            if not self.renewal.healthy():
                continue  # a newer epoch may exclude this controller: see `Provisioner.run`
            owned = list(self.machines.machines.values())
            outage = self.renewal.state_service_lost(now)
            if not outage:
                self._evacuate_unhealthy(owned)
            self._fence_silent(owned, now, outage)

    def _evacuate_unhealthy(self, owned: list[Machine]) -> None:
        """Start moving replicas off machines that stay unhealthy."""
        for machine in owned:
            # Several checks are required, because the failed job may still turn out to be at fault.
            unhealthy = self.machines.is_unhealthy(machine)
            machine.unhealthy_checks = machine.unhealthy_checks + 1 if unhealthy else 0
            if machine.unhealthy_checks >= UNHEALTHY_CHECKS and machine.known:
                self.evacuate(machine.name, True)

    def _fence_silent(self, owned: list[Machine], now: float, outage: bool) -> None:
        """Start fencing the silent machines among the owned ones.

        Args:
            owned: The machines owned here.
            now: The present time.
            outage: Whether no controller reaches the state service. The owners stay the same then,
                and returned machines are not replaced, so only those are returned that have to be.
        """
        silent = [
            machine
            for machine in owned
            if now - machine.last_heard_at > self.silent_s
            and not machine.fencing
            and (machine.known or machine.desired)
        ]
        # If most machines are silent at once, this controller or a whole zone is probably
        # disconnected. Returning all of them would destroy machines that still work. Those with
        # tasks of cancelled jobs have to be returned all the same. A previous owner may have waited
        # for them already, so the wait counts from the cancellation.
        cut_off = len(silent) > 2 and len(silent) * 2 > len(owned)
        for machine in silent:
            long_silent = now - machine.last_heard_at > self.workers.cancel_s / 2
            if self._has_cancelled_task(machine, now) or (
                not outage and (not cut_off or long_silent)
            ):
                machine.fencing = True
                self.machines.mark_room_changed(machine.name)
                self.routines.spawn(self._fence(machine))

    def _has_cancelled_task(self, machine: Machine, now: float) -> bool:
        """Return whether a machine may have a task of a job that was cancelled a while ago."""
        return any(
            self.cancelled_for_s(job_id(key), now) > CANCELLED_FRACTION * self.workers.cancel_s
            for key in (*machine.desired, *machine.occupying())
        )

    async def _fence(self, machine: Machine) -> None:
        """Return a silent machine to the cloud, unless it answers."""
        epoch = self.membership.epoch
        try:
            address = self._address(machine)
            if not address and time.monotonic() - machine.last_heard_at < self.workers.cancel_s / 2:
                return
            answers = bool(address) and await self._is_reachable(
                machine.name, address, epoch.members
            )
            if self.membership.epoch is not epoch or not self.membership.serving:
                return
            if not self._lease_long_expired(machine) and (
                answers or time.monotonic() - machine.last_heard_at < self.silent_s
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
                self.machines.mark_room_changed(machine.name)

    def _address(self, machine: Machine) -> str:
        """Return the worker's address, or an empty string if it is unknown.

        An owner that has not received a report from the machine takes the address from the
        cached state or the cloud's list. Without an address, silence alone does not justify a
        return. Otherwise a controller that loses the state service returns machines that work
        (15 in one case).
        """
        room = self.view.rooms.get(machine.name)
        listed = self.provisioner.listed_machines.get(machine.name)
        return (
            machine.address or (room.address if room else "") or (listed.address if listed else "")
        )

    def _lease_long_expired(self, machine: Machine) -> bool:
        """Return whether a machine answers commands although its lease expired long ago."""
        return machine.lease_expired and (
            time.monotonic() - machine.reported_at > self.workers.cancel_s / 2
        )

    async def _is_reachable(self, name: str, address: str, members: Container[str]) -> bool:
        """Return whether the worker answers this controller or a peer.

        Both requests are sent at the same time. If they were sent one after the other, the return
        of a failed machine would be delayed beyond its lease, and its replicas would be missing
        for longer.
        """
        async with curio.TaskGroup(wait=all) as group:
            found = [
                await group.spawn(self.inspect, name, address),
                await group.spawn(self._is_reachable_from_peer, name, address, members),
            ]
        return any(task.result for task in found)

    async def _is_reachable_from_peer(
        self, name: str, address: str, members: Container[str]
    ) -> bool:
        """Return whether the worker answers a peer; the first peer that can be reached decides."""
        for label, peer in self.peers.items():
            if label in members:
                try:
                    answer = await peer.call(frames.INSPECT, (name, address), self.command_s * 1.5)
                    return bool(answer[0])
                except PeerError:
                    continue
        return False
