"""What runs on the machines, asked of the machines themselves.

Only a rebuild with a controller's memory gone needs it. Each machine is told a higher
fencing token, after which no older command can run, and asked what it holds; one that does
not answer is returned, which ends what is on it. What nobody knows is stopped.
"""

from __future__ import annotations

import logging
import math
import time
from typing import TYPE_CHECKING, Any

import curio
import msgspec

from clayport.membership.epoch import TOKEN_COUNTER_BITS
from clayport.model import WorkerHeartbeat, split_task
from clayport.rebuild.evidence import Evidence, Task
from clayport.scaling.cloud import MAX_MACHINES_PER_RETURN, CloudError
from clayport.transport import http

if TYPE_CHECKING:
    from clayport.rebuild.ports import RebuildParts

log = logging.getLogger(__name__)

# Machines asked at a time.
ASKED = 32


class Inventory:
    """Asks every machine that there may be what it holds.

    Attributes:
        machines: Addresses by machine: those known to controllers, and those the cloud lists.
        token: The highest fencing token seen so far.
        held: The tasks of each machine that has been accounted for.
        returned: Machines that were returned to the cloud.
        silent: Machines that have not answered, and since when.
    """

    def __init__(
        self, ports: RebuildParts, parts: dict[str, Evidence], machines: dict[str, str]
    ) -> None:
        self.ports = ports
        self.machines = machines
        self.known_jobs = {n for e in parts.values() for n in (*e.live, *e.ended)}
        self.token = max((e.epoch for e in parts.values()), default=0) + 1 << TOKEN_COUNTER_BITS
        self.held: dict[str, list[Task]] = {}
        self.returned: set[str] = set()
        self.silent: dict[str, float] = {}
        self.listed_at = -math.inf

    async def take(self) -> tuple[list[Task], int]:
        """Return what runs on every machine, and the highest token seen."""
        ports = self.ports
        lag_s = ports.settings.cluster.cloud.list_lag_s
        await self._read_known_jobs()
        began = time.monotonic()
        while True:
            now = time.monotonic()
            if now - self.listed_at > lag_s:
                await self._list_machines(now)
            left = [
                n for n in sorted(self.machines) if n not in self.held and n not in self.returned
            ]
            if not left and self.listed_at > -math.inf and now - began > 2 * lag_s:
                return [t for rows in self.held.values() for t in rows], self.token
            for first in range(0, len(left), ASKED):
                await self._ask_some(left[first : first + ASKED], now)
            await self._give_up()
            if left:
                log.info(
                    "event=rebuild-accounts machines=%d of=%d silent=%d returned=%d",
                    len(self.held),
                    len(self.machines),
                    len(self.silent),
                    len(self.returned),
                )
            await curio.sleep(ports.settings.cluster.workers.report_s / 2)

    async def _read_known_jobs(self) -> None:
        store = self.ports.store
        entries = [
            *(await store.scan("c/live/", allow_in_doubt=True))[0],
            *(await store.scan("end/", allow_in_doubt=True))[0],
        ]
        self.known_jobs |= {e.key.rpartition("/")[2] for e in entries}

    async def _list_machines(self, now: float) -> None:
        """Add what the cloud lists; on an error it is asked again with the next round."""
        self.listed_at = now
        try:
            listed = await self.ports.cloud.machines()
            self.machines.update({m.id: m.address for m in listed if m.state != "failed"})
        except CloudError as exc:
            log.info("event=cloud-trouble cause=%s", exc)
            self.listed_at = -math.inf

    async def _ask_some(self, names: list[str], now: float) -> None:
        """Ask some machines at once, and note what they say."""
        async with curio.TaskGroup(wait=all) as group:
            asked = {
                n: await group.spawn(self._ask, n, self.machines[n], self.token) for n in names
            }
        for machine, task in asked.items():
            seen, rows = task.result
            if seen > self.token:
                self.token = (seen >> TOKEN_COUNTER_BITS) + 1 << TOKEN_COUNTER_BITS
            if rows is not None:
                self.held[machine] = rows
            if seen:
                self.silent.pop(machine, None)
            else:
                self.silent.setdefault(machine, now)

    async def _ask(self, machine: str, address: str, token: int) -> tuple[int, list[Task] | None]:
        """The highest token that a machine has seen (0: no answer), and what it holds once
        ours is the highest and nothing unknown is on it."""
        known = self.known_jobs
        client = self.ports.fleet.client(address)
        if client is None:
            return 0, None
        try:
            report = await self._report(client, "GET", "/inspect", None)
            if report.token > token:
                return report.token, None
            strange = [p for p in report.tasks if p.task.partition("/")[0] not in known]
            orders = [
                {
                    "verb": "clear" if p.state == "exited" else "kill",
                    "piece": p.task,
                    "try": p.attempt,
                    **({} if p.state == "exited" else {"wind_down_s": 0.0}),
                }
                for p in strange
            ]
            report = await self._report(
                client, "POST", "/do", {"epoch": token, "tenure": report.session, "orders": orders}
            )
        except (http.NoAnswerError, msgspec.MsgspecError):
            return 0, None
        if strange:
            log.info("machine=%s event=stopped-unknown tasks=%d", machine, len(strange))
        if report.token != token or any(
            p.task.partition("/")[0] not in known and p.state != "exited" for p in report.tasks
        ):
            return report.token, None
        return report.token, [
            Task(*split_task(p.task), p.attempt, machine)
            for p in report.tasks
            if p.task.partition("/")[0] in known
        ]

    async def _report(self, client: Any, method: str, path: str, body: Any) -> WorkerHeartbeat:
        raw = None if body is None else msgspec.json.encode(body)
        _, answer = await client.request(method, path, raw, self.ports.fleet.command_s)
        return msgspec.json.decode(answer, type=WorkerHeartbeat)

    async def _give_up(self) -> None:
        """Return machines that stay silent; not most of them at once, which would be us."""
        ports, silent, now = self.ports, self.silent, time.monotonic()
        most = len(silent) > 2 and len(silent) > len(self.held)
        circuit = ports.settings.cluster.workers.cancel_s / 2 if most else ports.fleet.silent_s
        names = [n for n, since in silent.items() if now - since > circuit][
            :MAX_MACHINES_PER_RETURN
        ]
        if names:
            try:
                await ports.cloud.give_back(names)
            except CloudError as exc:
                log.info("event=not-fenced machines=%d cause=%s", len(names), exc)
                return
            log.info("event=scaled-in machines=%s cause=silent", names)
            self.returned.update(names)
            for name in names:
                silent.pop(name, None)
