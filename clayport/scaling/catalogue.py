"""The catalogue of machine types that the cloud offers, with their current prices."""

from __future__ import annotations

import logging

import curio

from clayport.jobs.registry import JobRegistry
from clayport.machines.table import MachineTable
from clayport.model import MachineType
from clayport.routines import Routines
from clayport.scaling.cloud import Cloud, CloudError

log = logging.getLogger(__name__)

# The pause between two reads of the catalogue, in worker leases.
REFRESH_LEASES = 20
# The assumed rate of image fetches when no machine type states one.
DEFAULT_FETCH_GB_PER_S = 1.0


class Catalogue:
    """Cache of the cloud's catalogue, refreshed periodically.

    Args:
        cloud: The client of the cloud's API.
        machines: The machines that this controller owns; their free room depends on the types.
        jobs: The jobs that this controller leads; the expected duration of a prerequisite
            includes the fetch of its image.
        routines: Draws the jitter of the pauses.
        lease_s: The lease of a worker, in seconds.

    Attributes:
        types: The machine types; empty until the catalogue has been read once.
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

    async def refresh_periodically(self) -> None:
        """Read the catalogue every `REFRESH_LEASES` leases, for as long as the process runs."""
        attempt = self.cloud.begin_request()
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
        """Pass the types to the machine table and the job registry, and recompute free room."""
        self.machines.types = {machine_type.name: machine_type for machine_type in self.types}
        self.jobs.dependencies.fetch_gb_per_s = min(
            (
                machine_type.fetch_gb_per_s
                for machine_type in self.types
                if machine_type.fetch_gb_per_s > 0
            ),
            default=DEFAULT_FETCH_GB_PER_S,
        )
        self.machines.mark_all_changed()
