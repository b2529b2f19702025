"""A controller loses the network with start commands on their way, and the state service is out."""

from __future__ import annotations

import asyncio
import copy
import sys
from collections import Counter
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from lib.deployment import CouldNotRunError, Deployment, job, run_case  # noqa: E402
from lib.settings import CLUSTER, DELTA_S  # noqa: E402

MACHINES = 11
# How long the jobs run that come first.
WARM_UP_S = 4.0
# How long the jobs' start commands have to be sent before the jobs are cancelled.
SENT_S = 0.5
# "Messages can arrive minutes late."
HELD_S = 39.5
OUTAGE_S = 50.0


async def case(deployment: Deployment) -> list[str]:
    """Cancel jobs whose start commands are on their way, and look for later starts."""
    cancel_s = deployment.cluster["workers"]["cancel_s"]
    machines = deployment.fleet.machines
    await deployment.start()
    for _ in range(MACHINES):
        deployment.fleet.boot("delta-s", "mamaia", 0.0)
    await warm_up(deployment)
    up = {name: worker for name, worker in machines.items() if worker.up and not worker.gone}
    victim, owned = Counter(worker.target for worker in up.values()).most_common(1)[0]
    cut = [worker for worker in up.values() if worker.target == victim]
    if owned < 2:
        raise CouldNotRunError("the machines are not as planned")

    if deployment.trouble:
        for worker in cut:
            worker.interrupt(victim)
    interrupted_at = deployment.now()
    names = [f"j-{number:06d}" for number in range(1, len(up) + 1)]
    await asyncio.gather(*(deployment.submit(job(int(name[2:]), vcpus=8.0)) for name in names))
    await asyncio.sleep(SENT_S)
    await asyncio.gather(*(deployment.cancel(name) for name in names))
    if deployment.trouble:
        # The controller is silent from here on: it has lost the network to everybody.
        deployment.kill_controller(victim)
        deployment.state.out = True
        deployment.record("outage-begins")
        outage_at = deployment.now()
        await asyncio.sleep(interrupted_at + HELD_S - deployment.now())
        for worker in cut:
            worker.restore()
        await asyncio.sleep(outage_at + OUTAGE_S - deployment.now())
        deployment.state.end_outage()
        deployment.record("outage-ends")
    else:
        await asyncio.sleep(OUTAGE_S)
    starts = [event for event in deployment.events if event["event"] == "task-on"]
    late = []
    for event in starts:
        told_at = deployment.told_cancelled.get(event["task"].partition("/")[0])
        if told_at is not None and event["t"] - told_at > cancel_s:
            late.append(
                f"ran_cancelled: {event['task']} starts on {event['machine']} "
                f"{event['t'] - told_at:.1f} s after its user was told that the job is cancelled"
            )
    return late


async def warm_up(deployment: Deployment) -> None:
    """Run a job on each machine, so that the controllers have open connections to the workers."""
    names = [f"j-{number:06d}" for number in range(101, 101 + MACHINES)]
    await asyncio.gather(*(deployment.submit(job(int(n[2:]), vcpus=8.0), WARM_UP_S) for n in names))
    await deployment.until(lambda: all(f"{n}/0" in deployment.fleet.results for n in names), 40.0)
    await asyncio.sleep(3.0)


if __name__ == "__main__":
    run_case(FOLDER, copy.deepcopy(CLUSTER), [DELTA_S], case)
