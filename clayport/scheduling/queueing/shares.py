"""Fair shares of CPUs for classes and teams whose jobs wait too long.

Jobs are ordered by rank. Strict order by rank starves the lower ranks while a higher rank is
overloaded. So each class (and each team) whose jobs have waited too long is entitled to a share of
the CPUs that all classes (or teams) use. With n classes the share grows with the wait up to
1/(n + 1), and never exceeds `MAX_SHARE_OF_NEED` of the CPUs that the class needs. The other CPUs
are assigned by rank. A class that uses less than its share goes before others and is protected from
preemption by them, but no task is preempted to fill a share.

The accounts cover the jobs of one leader. Jobs are distributed over leaders by a hash of their ids,
so each leader has a representative sample and needs no data from other leaders.
"""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Collection, Mapping
from typing import NamedTuple

from sortedcontainers import SortedList

from clayport.model import Job

# The ratios of the wait of a class's oldest job to the tolerated wait at which the share of the
# class starts to grow, and at which it is full.
SHARE_START, SHARE_FULL = 0.3, 0.7
# Tasks are protected from preemption up to this multiple of the share. Otherwise tasks that were
# just started to fill the share would be preempted at once.
PROTECTION_MARGIN = 1.25
# The largest share, as a part of the CPUs that all of a class's work needs. It is somewhat more
# than one half, because a class counts as not served if less than half of its work runs.
MAX_SHARE_OF_NEED = 0.7
# The span over which arrivals are counted, as a multiple of the tolerated wait.
ARRIVAL_SPAN = 2.0

AccountKey = tuple[str, bool, str]  # "class" or "team", whether jobs use GPUs, class or team name


def account_keys_of(gpus: bool, job_class: str, team: str) -> tuple[AccountKey, AccountKey]:
    """Return the keys of the accounts that the jobs of a class and team are charged to."""
    return ("class", gpus, job_class), ("team", gpus, team)


def account_keys(job: Job) -> tuple[AccountKey, AccountKey]:
    """Return the keys of the accounts that a job is charged to."""
    return account_keys_of(job.gpus > 0, job.job_class, job.team)


class JobUsage(NamedTuple):
    """The contribution of one job to its accounts.

    Attributes:
        accounts: The keys of the accounts.
        running_cpus: The CPUs of the job's assigned tasks.
        waiting_cpus: The CPUs of the job's waiting tasks.
        backlog_cpu_s: The estimated work of the job's waiting tasks, in CPU seconds.
        waiting_key: Since when the job waits, and its id; None if no task waits.
        preemption_rank: The job's rank as preemption compares it.
    """

    accounts: tuple[AccountKey, AccountKey]
    running_cpus: float
    waiting_cpus: float
    backlog_cpu_s: float
    waiting_key: tuple[float, str] | None
    preemption_rank: int


class Account:
    """The resource usage and the backlog of a class or a team at this leader.

    Attributes:
        running_cpus: The CPUs of assigned tasks.
        waiting_cpus: The CPUs of waiting tasks.
        backlog_cpu_s: The estimated work of waiting tasks, in CPU seconds.
        arrivals: Time and estimated work, in CPU seconds, of each job that has arrived within
            the span.
        arrived_cpu_s: The sum of the work in `arrivals`.
        waiting_jobs: For each waiting job, since when it waits and its id, sorted.
        jobs: The number of live jobs.
        preemption_rank: The rank of the latest updated job, as preemption compares it.
    """

    __slots__ = (
        "arrivals",
        "arrived_cpu_s",
        "backlog_cpu_s",
        "jobs",
        "preemption_rank",
        "running_cpus",
        "waiting_cpus",
        "waiting_jobs",
    )

    def __init__(self) -> None:
        self.running_cpus = self.waiting_cpus = 0.0
        self.backlog_cpu_s = 0.0
        self.arrived_cpu_s = 0.0
        self.arrivals: deque[tuple[float, float]] = deque()
        self.waiting_jobs: SortedList = SortedList()
        self.jobs = 0
        self.preemption_rank = 0


class FairShare(NamedTuple):
    """The share of a class or team whose jobs have waited too long.

    Attributes:
        share_cpus: The share in CPUs.
        missing_cpus: The CPUs of the share that are unused although tasks for them wait.
        total_cpus: The CPUs that all classes (or all teams) use.
        preemption_rank: The rank of the account, as preemption compares it.
    """

    share_cpus: float
    missing_cpus: float
    total_cpus: float
    preemption_rank: int


class FairShares:
    """The accounts of all classes and teams, for all jobs except services.

    Args:
        tolerated_wait_s: The tolerated wait by class.
        default_wait_s: The tolerated wait of teams and of classes without an objective.
        excluded: Accounts that get no share. These are teams with a guarantee, which they claim
            by preemption (`GuaranteeClaims`).
    """

    def __init__(
        self,
        tolerated_wait_s: Mapping[str, float],
        default_wait_s: float,
        excluded: Collection[AccountKey] = (),
    ) -> None:
        self.tolerated_wait_s, self.default_wait_s = tolerated_wait_s, default_wait_s
        self.excluded = frozenset(excluded)
        self.clear(-math.inf)

    def clear(self, now: float) -> None:
        """Remove all accounts at the start of an epoch, when each live job is added again."""
        self.started_at = now
        self.usage: dict[str, JobUsage] = {}
        self.accounts: dict[AccountKey, Account] = {}

    def update_job(self, name: str, job: Job, running: int, pending: int, since: float) -> None:
        """Add a job to its accounts, or update what it contributes to them.

        Args:
            name: The job's id.
            job: The job.
            running: The number of its assigned tasks.
            pending: The number of its waiting tasks.
            since: Since when the job waits, in seconds on the monotonic clock.
        """
        usage = JobUsage(
            account_keys(job),
            running * job.cpus,
            pending * job.cpus,
            pending * job.cpus * max(1.0, job.estimate_s),
            (since, name) if pending > 0 else None,
            job.preemption_rank,
        )
        known = self.usage.get(name)
        if known == usage:
            return
        if known is not None:
            self._subtract(known)
        self.usage[name] = usage
        for key in usage.accounts:
            account = self.accounts.get(key)
            if account is None:
                account = self.accounts[key] = Account()
            account.running_cpus += usage.running_cpus
            account.waiting_cpus += usage.waiting_cpus
            account.backlog_cpu_s += usage.backlog_cpu_s
            account.jobs += 1
            account.preemption_rank = usage.preemption_rank
            if usage.waiting_key is not None:
                account.waiting_jobs.add(usage.waiting_key)
            if known is None:
                work = job.tasks * job.cpus * max(1.0, job.estimate_s)
                account.arrivals.append((since, work))
                account.arrived_cpu_s += work

    def remove_job(self, name: str) -> None:
        """Remove a job, given by its id, from the accounts of its class and team."""
        usage = self.usage.pop(name, None)
        if usage is not None:
            self._subtract(usage)

    def _subtract(self, usage: JobUsage) -> None:
        for key in usage.accounts:
            account = self.accounts[key]
            account.running_cpus -= usage.running_cpus
            account.waiting_cpus -= usage.waiting_cpus
            account.backlog_cpu_s -= usage.backlog_cpu_s
            account.jobs -= 1
            if usage.waiting_key is not None:
                account.waiting_jobs.remove(usage.waiting_key)
            if account.jobs == 0 and not account.arrivals:
                del self.accounts[key]

    def _tolerated_wait_s(self, key: AccountKey) -> float:
        if key[0] == "class":
            return self.tolerated_wait_s.get(key[2], self.default_wait_s)
        return self.default_wait_s

    def starvation(self, key: AccountKey, now: float) -> float:
        """Return how much of its full share the account gets for its oldest job's wait, 0 to 1."""
        account = self.accounts[key]
        if not account.waiting_jobs:
            return 0.0
        since: float
        name: str
        since, name = account.waiting_jobs[0]
        usage = self.usage[name]
        wait_ratio = (now - since) / max(self._tolerated_wait_s(usage.accounts[0]), 1e-3)
        return min(1.0, max(0.0, (wait_ratio - SHARE_START) / (SHARE_FULL - SHARE_START)))

    def needed_cpus(self, key: AccountKey, now: float) -> float:
        """Return the CPUs that the account needs to run all its work.

        This is the larger of the CPUs that keep up with the arrivals, as counted over the span,
        and the CPUs that run the backlog within the tolerated wait.
        """
        account = self.accounts[key]
        span = ARRIVAL_SPAN * self._tolerated_wait_s(key)
        while account.arrivals and now - account.arrivals[0][0] > span:
            account.arrived_cpu_s -= account.arrivals.popleft()[1]
        if not account.arrivals:
            account.arrived_cpu_s = 0.0
        counted_s = min(span, max(now - self.started_at, span * SHARE_START))
        return max(
            account.arrived_cpu_s / counted_s,
            account.backlog_cpu_s / max(self._tolerated_wait_s(key), 1e-3),
        )

    def current_shares(self, now: float) -> dict[AccountKey, FairShare]:
        """Return the accounts that are entitled to a share now.

        Accounts that use all of their share are included too, because their tasks are protected
        from preemption.
        """
        totals: dict[tuple[str, bool], tuple[float, int]] = {}
        for (kind, gpus, _), account in self.accounts.items():
            if account.jobs:
                total, count = totals.get((kind, gpus), (0.0, 0))
                totals[kind, gpus] = total + account.running_cpus, count + 1
        shares = {}
        for key, account in list(self.accounts.items()):
            total, count = totals.get((key[0], key[1]), (0.0, 0))
            needed_cpus = self.needed_cpus(key, now)
            if account.jobs == 0 and not account.arrivals:
                del self.accounts[key]
            if count < 2 or not account.waiting_jobs or key in self.excluded:
                continue
            share_cpus = self.starvation(key, now) * min(
                total / (count + 1), MAX_SHARE_OF_NEED * needed_cpus
            )
            if share_cpus > 0 and account.running_cpus < PROTECTION_MARGIN * share_cpus:
                shares[key] = FairShare(
                    share_cpus,
                    max(0.0, min(share_cpus - account.running_cpus, account.waiting_cpus)),
                    total,
                    account.preemption_rank,
                )
        return shares
