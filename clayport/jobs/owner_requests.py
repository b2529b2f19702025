"""Requests of a job's leader to the owners of machines: reserve, launch, stop and adopt."""

from __future__ import annotations

import logging
import time
from collections.abc import Container, Iterable, Mapping
from typing import Any

from clayport.jobs.errors import EpochEndedError
from clayport.jobs.managed_job import ManagedJob
from clayport.machines.events import GONE
from clayport.machines.fleet import Fleet
from clayport.machines.routing import Routing
from clayport.machines.table import MachineTable
from clayport.membership.state import MembershipState
from clayport.model import split_task_id
from clayport.routines import Routines
from clayport.transport import frames
from clayport.transport.peers import Peer, PeerError

log = logging.getLogger(__name__)

# The number of a task and the name of its machine.
Start = tuple[int, str]
# The machine, task and attempt of a committed start.
LaunchRow = tuple[str, str, int]
# Machine, task, attempt, grace period in seconds, and whether the task has exited and only has to
# be cleared.
StopRow = tuple[str, str, int, float, bool]


class OwnerRequests:
    """Sends requests about a job's tasks to the owners of machines.

    Requests for machines that this controller owns are direct calls.
    """

    def __init__(
        self,
        *,
        fleet: Fleet,
        machines: MachineTable,
        membership: MembershipState,
        peers: Mapping[str, Peer],
        routines: Routines,
        routing: Routing,
    ) -> None:
        self.fleet = fleet
        self.machines = machines
        self.membership = membership
        self.peers = peers
        self.routines = routines
        self.routing = routing

    async def reserve(self, managed: ManagedJob, starts: list[Start], attempt: int) -> list[Start]:
        """Reserve room for tasks.

        Returns:
            The granted starts. An owner that doesn't answer counts as declining.

        Raises:
            EpochEndedError: The epoch that the job was loaded under has ended.
        """
        granted: list[Start] = []
        job = managed.job.id
        for owner, items in self._by_owner((machine, number) for number, machine in starts).items():
            if self.membership.epoch.number != managed.epoch:
                raise EpochEndedError
            if owner == self.membership.label:
                flags = self.machines.reserve(managed.job, items, attempt, time.monotonic())
            else:
                try:
                    ok, rows = await self.peers[owner].call(
                        frames.RESERVE, (self.membership.epoch.number, job, attempt, items)
                    )
                    flags = [flag for (flag,) in rows] if ok else [False] * len(items)
                except (PeerError, KeyError):
                    flags = [False] * len(items)
            granted += [(number, machine) for (machine, number), flag in zip(items, flags) if flag]
        return granted

    async def launch(self, managed: ManagedJob, items: list[LaunchRow], fence: int) -> None:
        """Send committed starts to the owners, until each owner has accepted or rejected them.

        Args:
            managed: The job.
            items: The starts.
            fence: The revision of the record of the epoch.

        Raises:
            EpochEndedError: The epoch has ended.
        """
        log.info(
            "job=%s epoch=%d event=launch tasks=%d attempt=%d",
            managed.job.id,
            self.membership.epoch.number,
            len(items),
            items[0][2],
        )
        for owner, part in self._by_owner(items).items():
            waiting = part
            retry = self.routing.start_attempt(owner)
            while waiting:
                if self.membership.epoch.rev != fence:
                    raise EpochEndedError
                if managed.ended:
                    # The job was cancelled after the commit. The tasks are not launched; the
                    # owners report which of them are on their machines.
                    await self.adopt(managed)
                    return
                answers = await self._launch_at(owner, waiting)
                if answers is None:
                    await self.routing.back_off(owner, retry)
                    waiting = [item for item in waiting if _is_unsettled(managed, item)]
                    continue
                for (machine, task, attempt), answer in zip(waiting, answers):
                    number = split_task_id(task)[1]
                    if not answer and managed.assignment(number) == (attempt, machine):
                        # The owner had no reservation, so the task is never launched.
                        managed.handle_event(machine, number, attempt, GONE, "", time.monotonic())
                break

    async def _launch_at(self, owner: str, items: list[LaunchRow]) -> list[int] | None:
        """Send launches to an owner.

        Returns:
            A flag for each start, 0 if the owner never launches it; None without an answer.
        """
        if owner == self.membership.label:
            answers = self.machines.launch(items)
            for machine in dict.fromkeys(item[0] for item in items):
                self.fleet.send_queued_commands(machine)
            return answers
        try:
            ok, rows = await self.peers[owner].call(
                frames.LAUNCH, (self.membership.epoch.number, items)
            )
        except (PeerError, KeyError):
            return None
        return [launched for (launched,) in rows] if ok else None

    async def stop(self, managed: ManagedJob, items: list[StopRow]) -> None:
        """Have the owners kill or clear tasks.

        A lost request is not sent again here, because the caller repeats kills and reservations
        expire.
        """
        for owner, part in self._by_owner(items).items():
            if self.membership.epoch.number != managed.epoch:
                return  # the routine of a later epoch may use the same attempt number
            if owner == self.membership.label:
                self.machines.stop(part)
                for machine in dict.fromkeys(item[0] for item in part):
                    self.fleet.send_queued_commands(machine)
                continue
            try:
                await self.peers[owner].call(frames.STOP, (self.membership.epoch.number, part))
            except (PeerError, KeyError):
                pass

    async def adopt(self, managed: ManagedJob, only: Container[int] | None = None) -> None:
        """Have owners adopt committed assignments, and report the state of their tasks.

        Args:
            managed: The job.
            only: The numbers of the tasks; None for all tasks.

        Raises:
            EpochEndedError: The epoch that the job was loaded under has ended.
        """
        epoch = self.membership.epoch
        if epoch.number != managed.epoch:
            raise EpochEndedError
        for owner, part in self._by_owner(
            (machine, f"{managed.job.id}/{number}", attempt)
            for number, attempt, machine in managed.assignments()
            if only is None or number in only
        ).items():
            retry = self.routing.start_attempt(owner)
            while True:
                if self.membership.epoch is not epoch:
                    raise EpochEndedError
                if owner == self.membership.label:
                    self.machines.adopt(part, time.monotonic())
                    break
                try:
                    if (await self.peers[owner].call(frames.ADOPT, (epoch.number, part)))[0]:
                        break
                except (PeerError, KeyError):
                    pass
                await self.routing.back_off(owner, retry)
        await self.routines.flush()

    def _by_owner(self, items: Iterable[tuple[Any, ...]]) -> dict[str, list[tuple[Any, ...]]]:
        """Group rows, whose first item is a machine, by the owner of the machine."""
        found: dict[str, list[tuple[Any, ...]]] = {}
        for item in items:
            found.setdefault(self.membership.epoch.member_for(item[0]), []).append(item)
        return found


def _is_unsettled(managed: ManagedJob, item: LaunchRow) -> bool:
    """Return whether a start is still assigned and no owner has reported its task."""
    machine, task, attempt = item
    number = split_task_id(task)[1]
    return (
        managed.assignment(number) == (attempt, machine)
        and number not in managed.outcomes
        and number not in managed.states
    )
