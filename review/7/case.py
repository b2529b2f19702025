"""A job of many small tasks makes a machine's reports too long; its lease expires over and over."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

from review.lib2.deployment import DELTA_S, ZONES, Deployment, cluster, job, main

# How many tasks the job has. A report lists each of them with some fifty bytes.
MANY, FEW = 2000, 400
RUN_S = 15.0
# One machine holds all tasks at once, so the job needs little more than one run.
WITHIN_S = 90.0


def deployment() -> Deployment:
    """Return a deployment whose cloud has a machine of the smallest type in each zone."""
    capacity = {("delta-s", zone, False): 1 for zone in ZONES}
    return Deployment(Path(__file__).parent, [DELTA_S], capacity, cluster())


async def case(world: Deployment, trouble: bool) -> list[str]:
    """Run the case; return what broke the rule."""
    service = job(1, shape="daemon", vcpus=2.0, jobclass="buoy-ingest", rank="production")
    await world.submit(service, 0.0)
    await world.until(lambda: world.cloud.places("j-000001"), 30.0, "the replica runs")
    probes = job(
        2,
        pieces=MANY if trouble else FEW,
        vcpus=0.002,
        ram_gb=0.01,
        guess_s=RUN_S,
        due_s=60.0,
        bundle="img-02",
    )
    await world.submit(probes, RUN_S)
    status = ""
    end = world.now() + WITHIN_S
    while world.now() < end and status != "done":
        await asyncio.sleep(5.0)
        code, answer = await world.user("GET", "/api/jobs/j-000002")
        status = answer["status"] if code == 200 else ""
    expired = sum(m.tenure - 1 for m in world.cloud.machines.values())
    too_long = sum(m.oversized for m in world.cloud.machines.values())
    world.note("reports", too_long=too_long, leases_expired=expired)
    if status == "done" and not expired:
        return []
    return [f"{too_long} reports were too long, {expired} leases expired, the job is {status!r}"]


if __name__ == "__main__":
    sys.exit(main(case, deployment))
