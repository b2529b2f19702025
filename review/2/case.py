"""A controller ends and comes back while the machines of cancelled jobs hang."""

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

# "Up to about 32 machines, 11 of them up at the start"; "up to eight of their machines hang".
MACHINES, HUNG = 11, 8
# The controller ends this long after the machines began to hang, and is "back about 6 s after an
# end".
KILL_AFTER_S, RESTART_S = 15.0, 6.0
CHECK_S = 15.0


async def case(deployment: Deployment) -> list[str]:
    """Cancel jobs whose machines hang, and look for their tasks after `cancel_s`."""
    cancel_s = deployment.cluster["workers"]["cancel_s"]
    machines = deployment.fleet.machines
    await deployment.start()
    zones = deployment.cluster["zones"]
    for number in range(MACHINES):
        deployment.fleet.boot("delta-s", zones[number % len(zones)], 0.0)
    await asyncio.gather(*(deployment.submit(job(n, vcpus=8.0)) for n in range(1, MACHINES + 1)))
    await deployment.until(lambda: len(deployment.tasks_on_machines()) == MACHINES, 30.0)
    await asyncio.sleep(3.0)

    # Each worker reports to the controller that is responsible for its machine.
    up = [name for name, worker in machines.items() if worker.up]
    victim, _ = Counter(machines[name].target for name in up).most_common(1)[0]
    order = sorted(up, key=lambda name: (machines[name].target != victim, name))
    hung = order[:HUNG]
    if any(machines[name].gone or not machines[name].up for name in hung):
        raise CouldNotRunError("the machines are not as planned")
    cancelled = [
        task.partition("/")[0] for task, _, name in deployment.tasks_on_machines() if name in hung
    ]
    deployment.record("hang-and-cancel", machines=hung, jobs=cancelled, victim=victim)
    for name in hung:
        machines[name].hang()
    hung_at = deployment.now()
    await asyncio.gather(*(deployment.cancel(name) for name in cancelled))
    if deployment.trouble:
        await asyncio.sleep(hung_at + KILL_AFTER_S - deployment.now())
        deployment.kill_controller(victim)
        await asyncio.sleep(RESTART_S)
        deployment.start_controller(victim)

    faults: dict[str, str] = {}
    while deployment.now() < hung_at + cancel_s + CHECK_S:
        for task, _, name in deployment.tasks_on_machines():
            told_at = deployment.told_cancelled.get(task.partition("/")[0])
            if told_at is not None and deployment.now() - told_at > cancel_s:
                faults[task] = (
                    f"ran_cancelled: {task} is on {name} {deployment.now() - told_at:.1f} s after "
                    "its user was told that the job is cancelled"
                )
        await asyncio.sleep(0.1)
    return list(faults.values())


if __name__ == "__main__":
    run_case(FOLDER, copy.deepcopy(CLUSTER), [DELTA_S], case)
