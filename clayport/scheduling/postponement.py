"""Postponement of groups of waiting jobs that found no room."""

from __future__ import annotations

from typing import NamedTuple

from clayport.membership.state import MembershipState
from clayport.model import ARRAY, SERVICE
from clayport.scheduling.placement import may_take
from clayport.scheduling.policy import LargeTaskReserve, Policy
from clayport.scheduling.queueing import Group, JobQueue
from clayport.scheduling.queueing.shares import account_keys_of
from clayport.scheduling.scheduling_pass import SchedulingPass
from clayport.settings import Settings

# The share of a heartbeat interval for which freed room accumulates before postponed arrays are
# tried again. On a full fleet tasks end one by one, and without this delay each new task needed a
# separate pass, a separate commit and two separate requests to an owner.
GATHER_SHARE = 0.2


class Postponement(NamedTuple):
    """The conditions under which a group of waiting jobs found no room.

    Attributes:
        rev: The revision of the index at which the group found no room.
        gather_until: Until when freed room accumulates before the group is tried again, in
            seconds on the monotonic clock.
        expires_at: When the group is tried again in any case, in seconds on the monotonic clock.
        policy: The policy under which the group found no room.
        reserve: The reserve for large tasks under which the group found no room.
    """

    rev: int
    gather_until: float
    expires_at: float
    policy: Policy
    reserve: LargeTaskReserve | None


class Postponements:
    """Skips groups that found no room until a change may have made room for them."""

    def __init__(self, *, membership: MembershipState, queue: JobQueue, settings: Settings) -> None:
        self.membership = membership
        self.queue = queue
        self.settings = settings

    def is_postponed(self, group: Group, scheduling_pass: SchedulingPass, gather: bool) -> bool:
        """Return whether a group that found no room would find none now either.

        This holds if the group has no new demand, no room that has changed since fits one of
        its tasks, and the postponement has not expired. A postponement expires because time alone
        changes which jobs are urgent and which tasks may be preempted.

        Args:
            group: The group.
            scheduling_pass: The pass.
            gather: Whether to let freed room accumulate for a while before the group is tried.
        """
        postponement, job = group.postponement, group.representative.job
        if (
            postponement is None
            or group.has_new_demand
            or scheduling_pass.now >= postponement.expires_at
            or postponement.policy is not scheduling_pass.policy
            or postponement.reserve is not scheduling_pass.reserve
        ):
            group.postponement = None
            return False
        if gather and scheduling_pass.now < postponement.gather_until:
            scheduling_pass.lacks_room = scheduling_pass.lacks_room or not job.backfill
            return True
        reserve = (
            None
            if job.kind == SERVICE
            or any(
                scheduling_pass.missing_cpus(account_keys_of(job.gpus > 0, *class_and_team)) > 0
                for class_and_team in group.subqueues
            )
            else scheduling_pass.reserve
        )
        for room in scheduling_pass.index.changed_rooms(job, postponement.rev):
            holder = self.queue.entries.get(room.reserved_for) if room.reserved_for else None
            if (holder is not None and holder.group is group) or may_take(
                job, room, scheduling_pass.policy, reserve
            ):
                group.postponement = None
                return False
        scheduling_pass.lacks_room = scheduling_pass.lacks_room or not job.backfill
        return True

    def postpone(self, scheduling_pass: SchedulingPass) -> None:
        """Postpone the groups that found less room in this pass than they want."""
        for key, rev in scheduling_pass.unsatisfied.items():
            group = self.queue.groups.get(key)
            # A service is impaired while replicas are missing, so services are never postponed.
            if group is not None and group.representative.job.kind != SERVICE:
                gather_s = (
                    self.settings.cluster.workers.report_s * GATHER_SHARE
                    if group.representative.job.kind == ARRAY
                    else 0.0
                )
                group.postponement = Postponement(
                    rev,
                    scheduling_pass.now + gather_s,
                    scheduling_pass.now + self.membership.lease_ttl_s / 6,
                    scheduling_pass.policy,
                    scheduling_pass.reserve,
                )
                group.has_new_demand = False
