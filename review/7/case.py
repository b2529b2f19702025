"""A replica fails once on the only machine that is up; nothing ever starts it again."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

from review.lib2.deployment import DELTA_S, ZONES, Deployment, cluster, job, main

# A machine fails every task that it starts, for a few seconds.
SICK_S = 5.0
# The bound of the rule, in seconds, and how long the case watches.
WAIT_S, WATCH_S = 90.0, 93.0


def deployment() -> Deployment:
    """Return a deployment whose cloud has three machines of the smallest type in each zone."""
    capacity = {("delta-s", zone, False): 3 for zone in ZONES}
    return Deployment(Path(__file__).parent, [DELTA_S], capacity, cluster())


async def case(world: Deployment, trouble: bool) -> list[str]:
    """Run the case; return what broke the rule."""
    await world.submit(job(1, due_s=20.0, guess_s=1.0), 1.0)
    await world.until(lambda: world.cloud.results.get("j-000001"), 30.0, "an array is done")
    (machine,) = [m for m in world.cloud.machines.values() if m.up and not m.gone]
    if trouble:
        machine.sick = True
        world.note("fails-tasks", machine=machine.name)
    service = job(
        2, shape="daemon", vcpus=2.0, jobclass="buoy-ingest", rank="production", bundle="img-02"
    )
    await world.submit(service, 0.0)
    await asyncio.sleep(SICK_S)
    machine.sick = False
    world.note("troubles-over")
    waited_s = await world.watch_waiting(service, WATCH_S)
    if waited_s <= WAIT_S:
        return []
    return [f"left_waiting: j-000002 waits for {waited_s:.0f} s while a machine has room"]


if __name__ == "__main__":
    sys.exit(main(case, deployment))
