"""Asks the machines which tasks they hold.

A rebuild needs the inventory only if the evidence of a leader is missing. Each machine receives
a higher fencing token, after which it refuses commands that were sent before, and reports its
tasks. A machine that does not answer is returned to the cloud, which ends its tasks. Tasks of
unknown jobs are stopped.
"""

from __future__ import annotations

import logging
import math
import time
from typing import TYPE_CHECKING, Any

import curio
import msgspec

from clayport.machines.tokens import epoch_of, token_above_epoch
from clayport.model import WorkerHeartbeat, job_of_task, split_task_id
from clayport.rebuild.evidence import Evidence, Task
from clayport.scaling.cloud import MAX_MACHINES_PER_RETURN, CloudError
from clayport.transport import http

if TYPE_CHECKING:
    from clayport.rebuild.ports import RebuildParts

log = logging.getLogger(__name__)

# Machines that are asked concurrently.
MACHINES_PER_BATCH = 32


class Inventory:
    """Asks every machine that may exist for its tasks.

    Attributes:
        machines: Addresses by machine, from the evidence and from the cloud's list.
        known_jobs: The jobs in the evidence or in the records.
        token: The fencing token that machines are told; no lower than any token seen so far.
        tasks_by_machine: The tasks of each machine that has answered.
        returned: Machines that were returned to the cloud.
        silent_since: The time of the first unanswered request of each silent machine.
    """

    def __init__(
        self,
        controller: RebuildParts,
        evidence_by_label: dict[str, Evidence],
        machines: dict[str, str],
    ) -> None:
        self.controller = controller
        self.machines = machines
        self.known_jobs = {n for e in evidence_by_label.values() for n in (*e.live, *e.ended)}
        self.token = token_above_epoch(
            max((e.epoch for e in evidence_by_label.values()), default=0)
        )
        self.tasks_by_machine: dict[str, list[Task]] = {}
        self.returned: set[str] = set()
        self.silent_since: dict[str, float] = {}
        self.listed_at = -math.inf

    async def collect(self) -> tuple[list[Task], int]:
        """Return the tasks on all machines, and the highest fencing token that they were told.

        The call ends once every machine has answered or was returned to the cloud, and the
        machines that were rented last have had time to appear in the cloud's list.
        """
        controller = self.controller
        lag_s = controller.settings.cluster.cloud.list_lag_s
        await self._read_known_jobs()
        started_at = time.monotonic()
        while True:
            now = time.monotonic()
            if now - self.listed_at > lag_s:
                await self._list_machines(now)
            pending = [
                n
                for n in sorted(self.machines)
                if n not in self.tasks_by_machine and n not in self.returned
            ]
            if not pending and self.listed_at > -math.inf and now - started_at > 2 * lag_s:
                return [t for rows in self.tasks_by_machine.values() for t in rows], self.token
            for start in range(0, len(pending), MACHINES_PER_BATCH):
                await self._ask_batch(pending[start : start + MACHINES_PER_BATCH], now)
            await self._return_silent()
            if pending:
                log.info(
                    "event=rebuild-accounts machines=%d of=%d silent=%d returned=%d",
                    len(self.tasks_by_machine),
                    len(self.machines),
                    len(self.silent_since),
                    len(self.returned),
                )
            await curio.sleep(controller.settings.cluster.workers.report_s / 2)

    async def _read_known_jobs(self) -> None:
        store = self.controller.store
        entries = [
            *(await store.scan("c/live/", allow_in_doubt=True))[0],
            *(await store.scan("end/", allow_in_doubt=True))[0],
        ]
        self.known_jobs |= {e.key.rpartition("/")[2] for e in entries}

    async def _list_machines(self, now: float) -> None:
        """Add the machines that the cloud lists; after an error the next round asks again."""
        self.listed_at = now
        try:
            listed = await self.controller.cloud.machines()
            self.machines.update({m.id: m.address for m in listed if m.state != "failed"})
        except CloudError as exc:
            log.info("event=cloud-trouble cause=%s", exc)
            self.listed_at = -math.inf

    async def _ask_batch(self, names: list[str], now: float) -> None:
        """Ask machines concurrently and record their answers."""
        async with curio.TaskGroup(wait=all) as group:
            asked = {
                n: await group.spawn(self._ask, n, self.machines[n], self.token) for n in names
            }
        for machine, task in asked.items():
            highest_token, tasks = task.result
            if highest_token > self.token:
                self.token = token_above_epoch(epoch_of(highest_token))
            if tasks is not None:
                self.tasks_by_machine[machine] = tasks
            if highest_token:
                self.silent_since.pop(machine, None)
            else:
                self.silent_since.setdefault(machine, now)

    async def _ask(self, machine: str, address: str, token: int) -> tuple[int, list[Task] | None]:
        """Return the highest token that a machine has seen (0: no answer), and its tasks.

        The tasks are None while the machine has seen a token above `token`, or still runs a task
        of an unknown job.
        """
        known_jobs = self.known_jobs
        client = self.controller.fleet.client(address)
        if client is None:
            return 0, None
        try:
            report = await self._report(client, "GET", "/inspect", None)
            if report.token > token:
                return report.token, None
            unknown = [p for p in report.tasks if job_of_task(p.task) not in known_jobs]
            orders = [
                {
                    "verb": "clear" if p.state == "exited" else "kill",
                    "piece": p.task,
                    "try": p.attempt,
                    **({} if p.state == "exited" else {"wind_down_s": 0.0}),
                }
                for p in unknown
            ]
            report = await self._report(
                client, "POST", "/do", {"epoch": token, "tenure": report.session, "orders": orders}
            )
        except (http.NoAnswerError, msgspec.MsgspecError):
            return 0, None
        if unknown:
            log.info("machine=%s event=stopped-unknown tasks=%d", machine, len(unknown))
        if report.token != token or any(
            job_of_task(p.task) not in known_jobs and p.state != "exited" for p in report.tasks
        ):
            return report.token, None
        return report.token, [
            Task(*split_task_id(p.task), p.attempt, machine)
            for p in report.tasks
            if job_of_task(p.task) in known_jobs
        ]

    async def _report(self, client: Any, method: str, path: str, body: Any) -> WorkerHeartbeat:
        raw = None if body is None else msgspec.json.encode(body)
        _, answer = await client.request(method, path, raw, self.controller.fleet.command_s)
        return msgspec.json.decode(answer, type=WorkerHeartbeat)

    async def _return_silent(self) -> None:
        """Return to the cloud the machines that stay silent.

        While most machines are silent, a silent machine is kept for half of `cancel_s`, because
        the fault is probably that this controller itself is disconnected.
        """
        controller, silent_since, now = self.controller, self.silent_since, time.monotonic()
        mostly_silent = len(silent_since) > 2 and len(silent_since) > len(self.tasks_by_machine)
        limit_s = (
            controller.settings.cluster.workers.cancel_s / 2
            if mostly_silent
            else controller.fleet.silent_s
        )
        names = [n for n, since in silent_since.items() if now - since > limit_s][
            :MAX_MACHINES_PER_RETURN
        ]
        if names:
            try:
                await controller.cloud.return_machines(names)
            except CloudError as exc:
                log.info("event=not-fenced machines=%d cause=%s", len(names), exc)
                return
            log.info("event=scaled-in machines=%s cause=silent", names)
            self.returned.update(names)
            for name in names:
                silent_since.pop(name, None)
