"""The owner's state of a machine, and the tasks that leaders want to run there."""

from __future__ import annotations

from collections import OrderedDict
from enum import Enum
from typing import NamedTuple, TypeAlias

from clayport.machines.quarantine import Quarantine
from clayport.machines.tokens import NOT_LAUNCHED, LaunchFence
from clayport.model import job_of_task
from clayport.scheduling.room import Room

# A task's id and the number of the attempt. It is a plain tuple, because each report creates
# one for every task that it lists.
TaskKey: TypeAlias = tuple[str, int]

# A time before every other, in seconds of the monotonic clock.
NEVER = -1e9


class Phase(Enum):
    """The progress of the launch of a desired task."""

    RESERVED = 0  # room is reserved for the task
    QUEUED = 1  # the launch is sent with the next commands
    SENT = 2  # a launch is in flight, and may or may not arrive
    LIVE = 3  # the machine has the task, or may have it; reports show which


# Names for the members, because access to an enum member needs a function call in Python 3.11.
RESERVED, QUEUED, SENT, LIVE = Phase


class TaskStatus(NamedTuple):
    """The state of a task in a report.

    Attributes:
        cause: The reason for the exit of the task, or empty.
        saved: Whether the task has saved a checkpoint.
    """

    state: str
    cause: str
    saved: bool


def job_id(key: TaskKey) -> str:
    """Return the id of the job that a task belongs to."""
    return job_of_task(key[0])


class DesiredTask:
    """A task that its leader has placed on a machine and that is not yet known to be gone.

    Attributes:
        phase: The progress of the launch.
        since: The time of the reservation or adoption, in seconds of the monotonic clock.
        launch_sent: Whether a launch has been sent at least once.
        launch_fence: What the newest launch in a request to the worker was sent under.
    """

    __slots__ = ("launch_fence", "launch_sent", "phase", "since")

    def __init__(
        self, phase: Phase, since: float, launch_fence: LaunchFence = NOT_LAUNCHED
    ) -> None:
        self.phase, self.since = phase, since
        self.launch_sent = False
        self.launch_fence = launch_fence


class Machine:
    """The owner's state of a machine; times are in seconds of the monotonic clock.

    Args:
        name: The machine's name at the cloud.
        token: The first fencing token to issue.
        now: The start of the ownership.
    """

    def __init__(self, name: str, token: int, now: float) -> None:
        self.name, self.token = name, token
        # The highest token that the worker has reported, or the first token of the epoch.
        self.confirmed_token = token
        self.address = self.type = self.zone = ""
        self.spot = False
        # The incarnation of the worker, and the number of the newest report within it.
        self.session = self.seq = 0
        self.fenced = False  # whether the newest report carries the current token
        self.last_heard_at = now  # time of the newest report, or the start of the ownership
        self.known = False  # whether a report has arrived under this ownership
        self.reported_at = now  # time of the newest report that is not a command's answer
        # Whether the lease has expired and the worker has only answered commands since. The
        # lease is not renewed, so a task started there would end when it expires again.
        self.lease_expired = False
        self.notice_at: float | None = None  # when the cloud reclaims the machine
        self.draining = False
        self.evacuating = False
        self.evacuation_started_at = NEVER
        # The tasks of the newest report, and the status of each task last sent to its leader.
        self.reported_tasks: dict[TaskKey, TaskStatus] = {}
        self.emitted: dict[TaskKey, TaskStatus] = {}
        self.desired: dict[TaskKey, DesiredTask] = {}
        # Commands to send: tasks to stop, with the seconds that each has to save a checkpoint,
        # and exited tasks that the worker may forget, with what each was launched under.
        self.pending_kills: dict[TaskKey, float] = {}
        self.pending_clears: dict[TaskKey, LaunchFence] = {}
        # What the newest launch in a request to the worker was sent under, whichever task it was.
        self.last_launch_fence = NOT_LAUNCHED
        self.images: OrderedDict[str, float] = OrderedDict()
        self.idle_since = now
        # Until when commands are sent only in responses to reports, because a /do request failed.
        self.direct_paused_until = NEVER
        self.launches_in_response: list[TaskKey] = []  # sent in the last response to a report
        self.errors: dict[str, int] = {}  # by job, since a task last succeeded here
        self.quarantine = Quarantine()  # in force while the machine is unhealthy
        self.unhealthy_checks = 0  # consecutive checks with an unhealthy result
        self.request_in_flight = False  # whether a /do request is in flight
        self.fencing = False
        # Room freed by preemption is held for the job that preempted. Other jobs of the same
        # rank could otherwise take it first.
        self.held_for_job, self.held_until = "", NEVER
        # The machine's room as last built. Reports, reservations, the cached state and the
        # peers' tables read it often, and it rarely changes between two reads.
        self.cached_room: Room | None = None

    @property
    def has_urgent_commands(self) -> bool:
        """Whether any task is to be launched or stopped."""
        return bool(self.pending_kills or any(w.phase is QUEUED for w in self.desired.values()))

    @property
    def has_commands(self) -> bool:
        """Whether any command is to be sent."""
        return bool(self.pending_clears) or self.has_urgent_commands

    @property
    def may_launch_directly(self) -> bool:
        """Whether launches may be sent in a request to the worker (`machines.tokens`).

        A raised token has to reach the worker first, with the answer to a report or with a
        request without launches. The answer to a report may contain launches, because the
        worker drops an answer that is late.
        """
        return self.token <= self.confirmed_token

    def voids(self, fence: LaunchFence) -> bool:
        """Return whether a worker with the current session and token refuses a launch."""
        return (self.session, self.token) > fence

    def raise_token(self) -> None:
        """Raise the token; the machine is fenced again once its worker has reported the new one."""
        self.token += 1
        self.fenced = False

    def has_exited(self, key: TaskKey) -> bool:
        """Return whether the newest report lists the task as exited."""
        status = self.reported_tasks.get(key)
        return status is not None and status.state == "exited"

    def occupying(self) -> list[TaskKey]:
        """Return the reported tasks that have not exited, and so take room."""
        return [key for key, status in self.reported_tasks.items() if status.state != "exited"]

    def held_for_other(self, job: str, now: float) -> bool:
        """Return whether room on the machine is held for another job that preempted tasks."""
        return now < self.held_until and self.held_for_job != job

    def reset_for_epoch(self, token: int) -> None:
        """Clear the desired tasks, emitted statuses and commands of an earlier epoch.

        Args:
            token: The first token to issue in the new epoch.
        """
        self.token = self.confirmed_token = token
        self.fenced = False
        self.launches_in_response = []
        self.desired.clear()
        self.emitted.clear()
        self.pending_kills.clear()
        self.pending_clears.clear()
