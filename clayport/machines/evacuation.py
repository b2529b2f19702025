"""Moves the replicas of services off a machine, one at a time."""

from __future__ import annotations

import logging
import time
from collections.abc import Callable, Mapping
from typing import Protocol

import curio

from clayport.machines.machine import Machine, TaskKey
from clayport.machines.table import MachineTable
from clayport.membership.state import MembershipState
from clayport.model import Job, split_task_id
from clayport.routines import Routines
from clayport.scheduling.policy import Policy
from clayport.settings import Settings
from clayport.transport import frames
from clayport.transport.peers import Peer, PeerError

log = logging.getLogger(__name__)


class ReplicaPlacement(Protocol):
    """Knows whether a replica can be placed on another machine."""

    def policy(self) -> Policy:
        """Return the placement policy for all known jobs."""
        ...

    def allow_move(self, job: str, number: int, machine: str, drain: bool) -> bool:
        """Return whether a replica can be placed on another machine and start there soon."""
        ...


class ReplicaEvacuation:
    """Stops replicas on owned machines, each only if another machine has room for it.

    Args:
        machines: The machines owned here.
        membership: The epoch, and whether this controller serves in it.
        peers: The other controllers, by label.
        send_queued_commands: Starts sending the queued commands of a machine.
        routines: Runs the evacuations.
        settings: Supplies the workers' lease and the interval of their reports.
    """

    def __init__(
        self,
        *,
        machines: MachineTable,
        membership: MembershipState,
        peers: Mapping[str, Peer],
        send_queued_commands: Callable[[str], None],
        routines: Routines,
        settings: Settings,
    ) -> None:
        self.machines = machines
        self.membership = membership
        self.peers = peers
        self.send_queued_commands = send_queued_commands
        self.routines = routines
        self.settings = settings

    def connect(self, *, placer: ReplicaPlacement) -> None:
        """Set the placer, which is built after this object."""
        self.placer = placer

    def evacuate(self, name: str, drain: bool) -> bool:
        """Start moving the replicas off a machine.

        Args:
            name: The machine.
            drain: Whether to move all replicas and drain the machine. Otherwise replicas are
                moved until the largest job that needs the machine's GPUs fits again.

        Returns:
            Whether this call has started an evacuation.
        """
        machine = self.machines.machines.get(name)
        now = time.monotonic()
        if (
            machine is None
            or machine.evacuating
            or not self.machines.replicas(machine)
            or now - machine.evacuation_started_at < self.settings.cluster.workers.lease_s / 2
            or not (self.machines.accepts_work(machine) or self.machines.is_unhealthy(machine))
        ):
            return False
        log.info(
            "machine=%s event=evacuate replicas=%d drain=%s",
            name,
            len(self.machines.replicas(machine)),
            drain,
        )
        machine.evacuating, machine.evacuation_started_at = True, now
        machine.draining = drain
        self.machines.mark_room_changed(name)
        self.routines.spawn(self._evacuate(machine, drain))
        return True

    async def _evacuate(self, machine: Machine, drain: bool) -> None:
        """Stop one replica at a time, each only if its leader can place it on another machine."""
        epoch = self.membership.epoch
        emptied = False
        try:
            while (
                self.membership.epoch is epoch
                and self.membership.serving
                and machine.notice_at is None
            ):
                replicas = [
                    replica
                    for replica in self.machines.replicas(machine)
                    if replica[0] not in machine.pending_kills
                ]
                machine_type = self.machines.types.get(machine.type)
                if machine_type is None or not replicas:
                    emptied = True
                    return
                room = self.machines.room(machine)
                if not drain and self.placer.policy().excess_cpus(room, machine_type) <= 0:
                    return
                for key, job in replicas:
                    if await self._movable(machine, key, job, drain):
                        machine.pending_kills.setdefault(key, 0.0)
                        self.send_queued_commands(machine.name)
                        await self.routines.flush()
                        break
                else:
                    return
                await curio.sleep(self.settings.cluster.workers.report_s / 2)
        finally:
            machine.evacuating = False
            if machine.draining and not emptied:
                machine.draining = False
                self.machines.mark_room_changed(machine.name)

    async def _movable(self, machine: Machine, key: TaskKey, job: Job, drain: bool) -> bool:
        """Return whether the leader of the replica's job can place it on another machine."""
        number = split_task_id(key[0])[1]
        epoch = self.membership.epoch
        leader = epoch.member_for(job.id)
        if leader == self.membership.label:
            return self.placer.allow_move(job.id, number, machine.name, drain)
        try:
            answer = await self.peers[leader].call(
                frames.MOVE, (epoch.number, job.id, number, machine.name, drain)
            )
            return bool(answer[0])
        except (PeerError, KeyError):
            return False
