"""Delivers task events to the leaders of the jobs, and applies the leaders' verdicts."""

from __future__ import annotations

import logging
from collections import OrderedDict
from collections.abc import Callable, Iterable, Mapping, Sequence
from typing import Protocol

from clayport.jobs.verdicts import Verdict
from clayport.machines.events import GONE, TaskEvent
from clayport.machines.machine import TaskKey
from clayport.machines.routing import Routing
from clayport.machines.table import MachineTable
from clayport.membership.state import MembershipState
from clayport.model import job_of_task
from clayport.routines import Routines
from clayport.scheduling.cached_state import CachedState
from clayport.transport import frames
from clayport.transport.peers import Peer, PeerError

log = logging.getLogger(__name__)

# The most events in one request to a leader.
MAX_EVENTS = 500

# The undelivered events for a leader, by (machine, task, attempt); only the newest is kept for each
# key.
Outbox = OrderedDict[tuple[str, str, int], TaskEvent]


class EventHandler(Protocol):
    """Handles task events of the jobs that this controller leads itself."""

    def handle_task_events(self, events: Iterable[TaskEvent]) -> list[Verdict]:
        """Handle the events in order, and return a verdict for each."""
        ...


class EventDelivery:
    """Keeps an outbox of events for each leader, and delivers them.

    Args:
        cached_state: Is notified of changes of the machines' room.
        machines: The machines owned here.
        membership: The epoch, and whether this controller serves in it.
        peers: The other controllers, by label.
        send_queued_commands: Starts sending the queued commands of a machine.
        routines: Wakes the delivery when there is an event.

    Attributes:
        outboxes: The undelivered events, by the label of the leader.
    """

    def __init__(
        self,
        *,
        cached_state: CachedState,
        machines: MachineTable,
        membership: MembershipState,
        peers: Mapping[str, Peer],
        send_queued_commands: Callable[[str], None],
        routines: Routines,
    ) -> None:
        self.cached_state = cached_state
        self.machines = machines
        self.membership = membership
        self.peers = peers
        self.send_queued_commands = send_queued_commands
        self.routines = routines
        self.outboxes: dict[str, Outbox] = {}

    def connect(self, *, event_handler: EventHandler, routing: Routing) -> None:
        """Set the components that are built after this object."""
        self.event_handler = event_handler
        self.routing = routing

    def emit(self, job: str, event: TaskEvent) -> None:
        """Add an event to the outbox of the job's leader."""
        leader = self.membership.epoch.member_for(job)
        outbox = self.outboxes.setdefault(leader, OrderedDict())
        outbox[event[:3]] = event
        self.routines.signal(f"outbox {leader}")

    async def deliver_events(self, leader: str) -> None:
        """Deliver events to one leader, with retries until it accepts them; runs forever."""
        while True:
            await self.routines.wait(f"outbox {leader}")
            outbox = self.outboxes.setdefault(leader, OrderedDict())
            attempt = self.routing.start_attempt(leader)
            while outbox and self.membership.serving:
                epoch = self.membership.epoch
                batch = [outbox.popitem(last=False)[1] for _ in range(min(len(outbox), MAX_EVENTS))]
                accepted, verdicts = await self._deliver(leader, batch)
                if self.membership.epoch is not epoch:
                    break
                if not accepted or len(verdicts) != len(batch):
                    for event in batch:
                        outbox.setdefault(event[:3], event)
                    await self.routing.back_off(leader, attempt)
                    continue
                touched: dict[str, None] = {}
                for event, verdict in zip(batch, verdicts):
                    self._apply_verdict(event, verdict)
                    touched[event[0]] = None
                for machine in touched:
                    self.send_queued_commands(machine)
                self.cached_state.note_own_room()

    async def _deliver(self, leader: str, batch: list[TaskEvent]) -> tuple[bool, Sequence[int]]:
        """Send a batch to the leader; return whether it is accepted, and a verdict per event."""
        try:
            if leader == self.membership.label:
                return True, self.event_handler.handle_task_events(batch)
            accepted, packed = await self.peers[leader].call(
                frames.TASK_STATES, (self.membership.epoch.number, batch)
            )
            return accepted, [verdict for (verdict,) in packed]
        except (PeerError, KeyError):
            return False, []

    def _apply_verdict(self, event: TaskEvent, verdict: int) -> None:
        """Carry out the leader's verdict on a task event."""
        machine, task, attempt, state = event[:4]
        key: TaskKey = (task, attempt)
        if verdict == Verdict.LATER:
            self.machines.emit_again(machine, key)
        elif verdict in (Verdict.JOB_AT_FAULT, Verdict.MACHINE_AT_FAULT):
            self.machines.record_verdict(
                machine, job_of_task(task), verdict == Verdict.JOB_AT_FAULT
            )
        elif state == GONE:
            self.machines.confirm_gone(machine, key)
        elif verdict == Verdict.KILL:
            log.info(
                "machine=%s task=%s attempt=%d state=%s event=unassigned-task-killed",
                *event[:4],
            )
            self.machines.stop([(machine, task, attempt, 0.0, False)])
        elif verdict == Verdict.CLEAR:
            self.machines.stop([(machine, task, attempt, 0.0, True)])
