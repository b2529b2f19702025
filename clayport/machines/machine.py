"""A machine as the controller that owns it knows it, and the tasks that are wanted there."""

from __future__ import annotations

from collections import OrderedDict
from enum import Enum
from typing import NamedTuple, TypeAlias

from clayport.scheduling.room import Room

# A task's id and the attempt at it. A plain tuple, since one is made for each task of a report.
TaskKey: TypeAlias = tuple[str, int]

# An instant before all others, in seconds of the monotonic clock.
NEVER = -1e9


class Phase(Enum):
    """How far the launch of a desired task has come."""

    RESERVED = 0  # room is kept for it
    QUEUED = 1  # to be launched with the next command
    SENT = 2  # a launch is on its way, and may or may not arrive
    LIVE = 3  # the machine has it, or may have it: reports tell


# Bound once, for Python 3.11, which finds a member of an enum by a call.
RESERVED, QUEUED, SENT, LIVE = Phase


class TaskStatus(NamedTuple):
    """The state of a task in a report: `cause` says why it exited, `saved` of a checkpoint."""

    state: str
    cause: str
    saved: bool


def job_id(key: TaskKey) -> str:
    """The id of the job that a task belongs to."""
    return key[0].partition("/")[0]


class DesiredTask:
    """A task that its job's leader wants on a machine, or has wanted and not yet settled.

    Attributes:
        phase: How far its launch has come.
        since: When it was reserved or adopted, in seconds of the monotonic clock.
        launch_sent: Whether a launch has been sent at least once.
    """

    __slots__ = ("launch_sent", "phase", "since")

    def __init__(self, phase: Phase, since: float) -> None:
        self.phase, self.since = phase, since
        self.launch_sent = False


class Machine:
    """A machine as its owner knows it; instants are seconds of the monotonic clock.

    Args:
        name: The machine's name at the cloud.
        token: The fencing token to give out first.
        now: When the ownership began.
    """

    def __init__(self, name: str, token: int, now: float) -> None:
        self.name, self.token = name, token
        self.address = self.type = self.zone = ""
        self.spot = False
        # The worker's incarnation, and the number of its newest report in it.
        self.session = self.seq = 0
        self.fenced = False  # the newest report carries the current token
        self.heard = now  # when a report last came, or when the ownership began
        self.known = False  # a report has come under this ownership
        self.reported_at = now  # when a report last came, and not a command's answer
        # Its lease ran out and it has only answered commands since: what is started there
        # ends with the next lease, again and again.
        self.lease_expired = False
        self.notice_at: float | None = None  # when the cloud takes the machine back
        self.draining = False
        self.evacuating = False
        self.evacuated_at = NEVER
        # The tasks of the newest report, and what of each the job's leader was sent last.
        self.reported_tasks: dict[TaskKey, TaskStatus] = {}
        self.emitted: dict[TaskKey, TaskStatus] = {}
        self.desired: dict[TaskKey, DesiredTask] = {}
        # Commands to send: tasks to stop with the seconds they have to save, and exited ones
        # that the worker may forget.
        self.pending_kills: dict[TaskKey, float] = {}
        self.pending_clears: dict[TaskKey, None] = {}
        self.images: OrderedDict[str, float] = OrderedDict()
        self.idle_since = now
        self.direct_paused_until = NEVER  # /do did not get through: use report responses
        self.launches_in_response: list[TaskKey] = []  # launches sent in the last report response
        self.errors: dict[str, int] = {}  # job: failures here since the last success
        self.unhealthy_checks = 0  # checks in a row that found the machine unhealthy
        self.busy = False  # a /do is in flight
        self.fencing = False
        # Room made by preemption is kept for the job it was made for: others of
        # its rank would otherwise take it first.
        self.held_for_job, self.held_until = "", NEVER
        # Its room as last built: reports, reservations, the cached state and the peers' tables
        # all ask for it, and most of the time nothing has changed.
        self.cached_room: Room | None = None

    @property
    def urgent(self) -> bool:
        """Whether something is to be started or stopped."""
        return bool(self.pending_kills or any(w.phase is QUEUED for w in self.desired.values()))

    @property
    def orders(self) -> bool:
        """Whether there is any command to send."""
        return bool(self.pending_clears) or self.urgent

    def has_exited(self, key: TaskKey) -> bool:
        """Whether the newest report lists the task as exited."""
        status = self.reported_tasks.get(key)
        return status is not None and status.state == "exited"

    def occupying(self) -> list[TaskKey]:
        """The reported tasks that take room: all that have not exited."""
        return [key for key, status in self.reported_tasks.items() if status.state != "exited"]

    def held_for_other(self, job: str, now: float) -> bool:
        """Whether room was made here for another job and is still kept for it."""
        return now < self.held_until and self.held_for_job != job

    def reset_orders(self) -> None:
        """Forget what was wanted, told and ordered under an earlier epoch."""
        self.launches_in_response = []
        self.desired.clear()
        self.emitted.clear()
        self.pending_kills.clear()
        self.pending_clears.clear()
