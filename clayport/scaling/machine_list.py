"""The cloud's list of machines as last read, and the rented machines that are still booting."""

from __future__ import annotations

import logging

from clayport.machines.removal import MachineRemoval
from clayport.membership.state import MembershipState
from clayport.model import CloudMachine, MachineType
from clayport.scaling.boot_times import (
    GIVE_UP_FACTOR,
    LATE_FACTOR,
    BootingMachine,
    BootTimes,
    MachineKind,
)
from clayport.scaling.catalogue import Catalogue
from clayport.scaling.cloud import MAX_MACHINES_PER_RETURN, Cloud
from clayport.scaling.provisioning import empty_room
from clayport.scheduling.room import Room
from clayport.scheduling.view import ClusterView
from clayport.settings import Settings

log = logging.getLogger(__name__)

# For how long a boot time counts, in worker leases.
BOOT_MEMORY_LEASES = 20


class MachineList:
    """Keeps track of listed, booting and returned machines.

    Attributes:
        listed_machines: The machines of the cloud's list as last read, by id.
        listed_at: When the list was last read, in seconds on the monotonic clock.
        booting: The rented machines that have not reported yet, by name.
        returned: By name, when a machine was returned; kept for as long as the cloud's list may
            still contain the machine.
    """

    def __init__(
        self,
        *,
        catalogue: Catalogue,
        cloud: Cloud,
        membership: MembershipState,
        removal: MachineRemoval,
        settings: Settings,
        view: ClusterView,
    ) -> None:
        self.catalogue = catalogue
        self.cloud = cloud
        self.membership = membership
        self.removal = removal
        self.settings = settings
        self.view = view
        self.listed_machines: dict[str, CloudMachine] = {}
        self.listed_at = -1e9
        self.booting: dict[str, BootingMachine] = {}
        self.returned: dict[str, float] = {}
        self._rented_here: set[str] = set()  # names in `booting` that this controller rented
        self._boot_times = BootTimes(BOOT_MEMORY_LEASES * settings.cluster.workers.lease_s)

    def note_rented(self, name: str, kind: MachineKind, now: float) -> None:
        """Record as booting a machine that this controller has just rented."""
        self.booting[name] = BootingMachine(name, kind, now)
        self._rented_here.add(name)

    def booting_rooms(self, types: dict[str, MachineType], now: float) -> list[Room]:
        """Return the empty rooms of booting machines, except those that are late."""
        rooms = []
        for boot in self.booting.values():
            machine_type = types.get(boot.kind[0])
            if (
                machine_type is not None
                and now - boot.rented_at < LATE_FACTOR * machine_type.boot_s
            ):
                rooms.append(empty_room(machine_type, boot.name, boot.kind[1], boot.kind[2]))
        return rooms

    def observed_types(self, now: float) -> list[MachineType]:
        """Return the machine types with their boot times corrected by recent boots."""
        return self._boot_times.with_observed_boot_times(
            self.catalogue.types,
            (boot for name, boot in self.booting.items() if name in self._rented_here),
            now,
        )

    async def refresh(self, now: float) -> None:
        """Read the cloud's list, and return to the cloud the machines that it lists as failed.

        Raises:
            CloudError: A page or a return was refused or not answered.
        """
        found = await self.cloud.machines()
        self.listed_at = now
        self.listed_machines = {machine.id: machine for machine in found}
        settled_s = 4 * self.settings.cluster.cloud.list_lag_s + self.membership.lease_ttl_s
        self.returned = {
            name: returned_at
            for name, returned_at in self.returned.items()
            if now - returned_at < settled_s
        }
        failed = self._note_listed(found, now)
        self._drop_settled(settled_s, now)
        for first in range(0, len(failed), MAX_MACHINES_PER_RETURN):
            await self.return_machines(failed[first : first + MAX_MACHINES_PER_RETURN], now)

    def _note_listed(self, found: list[CloudMachine], now: float) -> list[str]:
        """Record as booting the listed machines that have not reported; return the failed ones."""
        failed = []
        for machine in found:
            if machine.id in self.returned:
                continue
            if machine.state == "failed":
                failed.append(machine.id)
            elif machine.id not in self.view.rooms:
                self.booting.setdefault(
                    machine.id,
                    BootingMachine(
                        machine.id,
                        (machine.type, machine.zone, machine.spot),
                        now - machine.age_s,
                    ),
                )
        return failed

    def _drop_settled(self, settled_s: float, now: float) -> None:
        """Drop booting machines that came up, were returned or are unlisted after `settled_s`."""
        for name, boot in list(self.booting.items()):
            unlisted = name not in self.listed_machines and now - boot.rented_at > settled_s
            if name in self.view.rooms or name in self.returned or unlisted:
                if name in self.view.rooms and name in self._rented_here:
                    self._note_boot_time(boot, now)
                self._rented_here.discard(name)
                del self.booting[name]

    def _note_boot_time(self, boot: BootingMachine, now: float) -> None:
        for machine_type in self.catalogue.types:
            if machine_type.name == boot.kind[0]:
                self._boot_times.record(machine_type, now - boot.rented_at, now)

    async def give_up_late(self, types: dict[str, MachineType], now: float) -> None:
        """Return machines that have not come up after `GIVE_UP_FACTOR` times their boot time.

        A machine costs money for as long as it is kept, whether it comes up or not.

        Raises:
            CloudError: The return was refused or not answered.
        """
        late = [
            boot.name
            for boot in self.booting.values()
            if boot.kind[0] in types
            and now - boot.rented_at > GIVE_UP_FACTOR * types[boot.kind[0]].boot_s
        ]
        if late:
            log.info("event=boot-timeout machines=%s", late)
            for name in late:
                if name in self._rented_here:
                    self._note_boot_time(self.booting[name], now)
            await self.return_machines(late[:MAX_MACHINES_PER_RETURN], now)

    async def return_machines(self, names: list[str], now: float) -> None:
        """Return machines to the cloud, and announce their removal to all controllers.

        Raises:
            CloudError: The return was refused or not answered.
        """
        await self.cloud.return_machines(names)
        for name in names:
            self.returned[name] = now
            self.booting.pop(name, None)
            self._rented_here.discard(name)
        await self.removal.announce(names)
