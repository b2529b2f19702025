"""When groups of waiting jobs that found no room are looked at again."""

from __future__ import annotations

from typing import NamedTuple

from clayport.membership.state import MembershipState
from clayport.model import ARRAY, SERVICE
from clayport.scheduling.placement import accepts
from clayport.scheduling.policy import LargeTaskReserve, Policy
from clayport.scheduling.queueing import Group, JobQueue
from clayport.scheduling.queueing.shares import names
from clayport.scheduling.scheduling_pass import SchedulingPass
from clayport.settings import Settings

# The share of a heartbeat's interval for which room that comes free is gathered before arrays
# that had found none are looked at again. On a full fleet machines come free one by one, and
# each task had a pass, a commit and two requests to an owner of its own.
GATHER_SHARE = 0.2


class Postponement(NamedTuple):
    """Why a group of waiting jobs need not be looked at: it has found no room.

    Attributes:
        rev: The index's revision at which it found none.
        least: Until when room that has come free since is left to gather, in seconds.
        until: When it is looked at again in any case, in seconds.
        policy: The policy under which it found none.
        reserve: The machines that were kept for others.
    """

    rev: int
    least: float
    until: float
    policy: Policy
    reserve: LargeTaskReserve | None


class Postponements:
    """Leaves groups that can find no room alone until something has changed."""

    def __init__(self, *, membership: MembershipState, queue: JobQueue, settings: Settings) -> None:
        self.membership = membership
        self.queue = queue
        self.settings = settings

    def is_postponed(self, group: Group, current: SchedulingPass, gather: bool) -> bool:
        """Whether jobs of a group that found no room would find none now either.

        None has come or waits for more, nothing that has changed fits one of their tasks, and
        it is not yet time to see what else may be preempted, or who has become urgent.

        Args:
            group: The group.
            current: The pass.
            gather: Whether room that has come free is left to gather for a while.
        """
        postponement, job = group.postponement, group.example.job
        if (
            postponement is None
            or group.has_new_demand
            or current.now >= postponement.until
            or postponement.policy is not current.policy
            or postponement.reserve is not current.reserve
        ):
            group.postponement = None
            return False
        if gather and current.now < postponement.least:
            current.starved = current.starved or not job.backfill
            return True
        reserve = (
            None
            if job.kind == SERVICE
            or any(
                current.missing_cpus(names(job.gpus > 0, *which)) > 0 for which in group.subqueues
            )
            else current.reserve
        )
        for room in current.index.changed_rooms(job, postponement.rev):
            holder = self.queue.entries.get(room.hold) if room.hold else None
            if (holder is not None and holder.group is group) or accepts(
                job, room, current.policy, reserve
            ):
                group.postponement = None
                return False
        current.starved = current.starved or not job.backfill
        return True

    def postpone(self, current: SchedulingPass) -> None:
        """Postpone the groups that found less than they want in this pass."""
        for key, rev in current.unsatisfied.items():
            group = self.queue.groups.get(key)
            # Replicas are missed every second: they are looked at each time.
            if group is not None and group.example.job.kind != SERVICE:
                gather_s = (
                    self.settings.cluster.workers.report_s * GATHER_SHARE
                    if group.example.job.kind == ARRAY
                    else 0.0
                )
                group.postponement = Postponement(
                    rev,
                    current.now + gather_s,
                    current.now + self.membership.lease_ttl_s / 6,
                    current.policy,
                    current.reserve,
                )
                group.has_new_demand = False
