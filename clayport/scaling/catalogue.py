"""The machine types that the cloud offers, and their present prices."""

from __future__ import annotations

import logging

import curio

from clayport.jobs.registry import JobRegistry
from clayport.machines.table import MachineTable
from clayport.model import MachineType
from clayport.routines import Routines
from clayport.scaling.cloud import Cloud, CloudError

log = logging.getLogger(__name__)

# The pause between two reads of the catalogue, in leases of a worker.
REFRESH_LEASES = 20
# How fast images are taken to be fetched where no machine type says it.
DEFAULT_FETCH_GB_PER_S = 1.0


class Catalogue:
    """Keeps the machine types as the cloud lists them.

    Args:
        cloud: The client of the cloud's API.
        machines: The machines owned here, whose free room depends on the types.
        jobs: The jobs led here, whose dependencies go by how fast images are fetched.
        routines: Draws the jitter of the pauses.
        lease_s: The lease of a worker, in seconds.

    Attributes:
        types: The machine types; empty until the catalogue was read once.
    """

    def __init__(
        self,
        cloud: Cloud,
        machines: MachineTable,
        jobs: JobRegistry,
        routines: Routines,
        lease_s: float,
    ) -> None:
        self.cloud = cloud
        self.machines = machines
        self.jobs = jobs
        self.routines = routines
        self.lease_s = lease_s
        self.types: list[MachineType] = []

    async def keep_current(self) -> None:
        """Read the catalogue every `REFRESH_LEASES` leases, for as long as the process runs."""
        attempt = self.cloud.begin()
        while True:
            try:
                self.types = await self.cloud.catalogue()
                self._apply()
                attempt.served()
                await curio.sleep(self.routines.jitter(REFRESH_LEASES * self.lease_s))
            except CloudError as exc:
                log.info("event=no-catalogue cause=%s", exc)
                await self.cloud.back_off(attempt)

    def _apply(self) -> None:
        """Hand the types on to the parts that go by them; free room depends on them."""
        self.machines.types = {kind.name: kind for kind in self.types}
        self.jobs.dependencies.fetch_gb_per_s = min(
            (kind.fetch_gb_per_s for kind in self.types if kind.fetch_gb_per_s > 0),
            default=DEFAULT_FETCH_GB_PER_S,
        )
        self.machines.mark_all_changed()
