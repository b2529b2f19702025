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


class Catalogue:
    """Keeps the machine types as the cloud lists them.

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
        """Read the catalogue now and then, for as long as the process runs."""
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
        """Tell those that go by the types; free room depends on them."""
        self.machines.types = {t.name: t for t in self.types}
        self.jobs.dependencies.fetch_gb_per_s = min(
            (t.fetch_gb_per_s for t in self.types if t.fetch_gb_per_s > 0), default=1.0
        )
        self.machines.mark_all_changed()
