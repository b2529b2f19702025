"""All machines fail tasks for some seconds; afterwards they stay closed to every job."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

from review.lib2.deployment import DELTA_S, Deployment, cluster, job, main

SICK_S = 4.0
# The bound of the rule, in seconds, and how long the case watches.
WAIT_S, WATCH_S = 90.0, 93.0


def deployment() -> Deployment:
    """Return a deployment whose cloud has two machines."""
    capacity = {("delta-s", "mamaia", False): 1, ("delta-s", "tomis", False): 1}
    return Deployment(Path(__file__).parent, [DELTA_S], capacity, cluster())


async def case(world: Deployment, trouble: bool) -> list[str]:
    """Run the case; return what broke the rule."""
    ingest = {"shape": "daemon", "vcpus": 2.0, "jobclass": "buoy-ingest", "rank": "production"}
    await world.submit(job(1, pieces=2, scatter=True, **ingest), 0.0)
    await world.until(lambda: len(world.cloud.places("j-000001")) == 2, 30.0, "replicas run")
    machines = list(world.cloud.machines.values())
    if trouble:
        for machine in machines:
            machine.sick = True
            world.note("fails-tasks", machine=machine.name)
    for number in (2, 3):
        await world.submit(job(number, vcpus=2.0, due_s=70.0, bundle=f"img-{number:02d}"), 5.0)
    await asyncio.sleep(SICK_S)
    for machine in machines:
        machine.sick = False
    world.note("troubles-over")
    later = job(4, bundle="img-04", **ingest)
    await world.submit(later, 0.0)
    waited_s = await world.watch_waiting(later, WATCH_S)
    if waited_s <= WAIT_S:
        return []
    return [f"left_waiting: j-000004 waits for {waited_s:.0f} s while a machine has room"]


if __name__ == "__main__":
    sys.exit(main(case, deployment))
