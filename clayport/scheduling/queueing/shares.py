"""Fair shares: the part of the room that a class or team that waits too long is sure of.

Rank says who goes first. Alone it starves whoever is last while something above is flooded.
So each class (and each team) with work that has waited too long is owed a share of what
all of them run, growing with how long it has waited: up to one part of as many as there
are of them and one more, and never more than lets `MAX_SHARE_OF_NEED` of what arrives of its
work be run; the rest stays with the order of ranks. Whoever holds less than it is owed goes
before the others, and isn't stopped for them; nobody is stopped for it.

The accounts are those of one leader. Jobs are spread over leaders by a hash of their ids, so
each leader has a fair sample, and needs nobody's word.
"""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Collection, Mapping
from typing import NamedTuple

from sortedcontainers import SortedList

from clayport.model import Job

# A class begins to be owed a share when its oldest job has waited for this part of what it
# tolerates, and is owed all of it at the other.
SHARE_BEGINS, SHARE_WHOLE = 0.3, 0.7
# Work is protected up to so many times its share: else what it has just been given would be
# stopped for others the moment that it has it.
PROTECTION_MARGIN = 1.25
# The part of what arrives of a class's work that its share has to run at most: somewhat more
# than the half below which a class counts as not served.
MAX_SHARE_OF_NEED = 0.7
# Arrivals are counted over so many times the wait that a class tolerates.
ARRIVAL_SPAN = 2.0

AccountKey = tuple[str, bool, str]  # "class" or "team", whether GPUs are used, which


def names(gpus: bool, job_class: str, team: str) -> tuple[AccountKey, AccountKey]:
    """The keys of the accounts that all jobs of a class and team count for."""
    return ("class", gpus, job_class), ("team", gpus, team)


def account_keys(job: Job) -> tuple[AccountKey, AccountKey]:
    """The keys of the accounts that a job counts for."""
    return names(job.gpus > 0, job.job_class, job.team)


class JobUsage(NamedTuple):
    """What one job adds to its accounts.

    Attributes:
        names: The keys of the accounts.
        running: CPUs of its tasks that run.
        waiting: CPUs of its tasks that wait.
        backlog: CPU seconds of its tasks that wait.
        age_key: Since when it waits, and its id; None: nothing of it waits.
        standing: Its rank, as it counts for preemption.
    """

    names: tuple[AccountKey, AccountKey]
    running: float
    waiting: float
    backlog: float
    age_key: tuple[float, str] | None
    standing: int


class Account:
    """What a class, or a team, runs here and waits for.

    Attributes:
        running: CPUs of tasks that run.
        waiting: CPUs of tasks that wait.
        backlog: CPU seconds of tasks that wait.
        arrivals: The work that has arrived within the span: when, and its CPU seconds.
        arrived: The CPU seconds of all of it.
        ages: Of each waiting job since when it waits, and its id, sorted.
        jobs: How many live jobs it has.
        standing: The rank of its jobs, as it counts for preemption.
    """

    __slots__ = (
        "ages",
        "arrivals",
        "arrived",
        "backlog",
        "jobs",
        "running",
        "standing",
        "waiting",
    )

    def __init__(self) -> None:
        self.running = self.waiting = 0.0
        self.backlog = 0.0
        self.arrived = 0.0
        self.arrivals: deque[tuple[float, float]] = deque()
        self.ages: SortedList = SortedList()
        self.jobs = 0
        self.standing = 0


class FairShare(NamedTuple):
    """The share of a class or team that waits too long.

    Attributes:
        floor: The share in CPUs.
        missing: The CPUs of it that it doesn't run yet and has work for.
        total: The CPUs that all classes (or teams) of its kind run.
        standing: The rank of its jobs, as it counts for preemption.
    """

    floor: float
    missing: float
    total: float
    standing: int


class FairShares:
    """The accounts of all classes and teams, for all jobs but services.

    Args:
        tolerated_wait_s: How long jobs of a class can wait, by class.
        default_wait_s: The same for classes without an objective, and for teams.
        without: Accounts that have no share: of teams with a guarantee, which is claimed in
            another way.
    """

    def __init__(
        self,
        tolerated_wait_s: Mapping[str, float],
        default_wait_s: float,
        without: Collection[AccountKey] = (),
    ) -> None:
        self.tolerated_wait_s, self.default_wait_s = tolerated_wait_s, default_wait_s
        self.without = frozenset(without)
        self.clear(-math.inf)

    def clear(self, now: float) -> None:
        """Forget everything, at the beginning of an epoch: live jobs are noted anew."""
        self.began = now
        self.usage: dict[str, JobUsage] = {}
        self.accounts: dict[AccountKey, Account] = {}

    def note(self, name: str, job: Job, running: int, pending: int, since: float) -> None:
        """Note what a job runs and waits for now.

        Args:
            name: Its id.
            job: The job.
            running: How many of its tasks run.
            pending: How many of its tasks wait.
            since: When it was submitted, in this process's time.
        """
        usage = JobUsage(
            account_keys(job),
            running * job.cpus,
            pending * job.cpus,
            pending * job.cpus * max(1.0, job.estimate_s),
            (since, name) if pending > 0 else None,
            job.standing,
        )
        known = self.usage.get(name)
        if known == usage:
            return
        if known is not None:
            self._subtract(known)
        self.usage[name] = usage
        for which in usage.names:
            account = self.accounts.get(which)
            if account is None:
                account = self.accounts[which] = Account()
            account.running += usage.running
            account.waiting += usage.waiting
            account.backlog += usage.backlog
            account.jobs += 1
            account.standing = usage.standing
            if usage.age_key is not None:
                account.ages.add(usage.age_key)
            if known is None:
                work = job.tasks * job.cpus * max(1.0, job.estimate_s)
                account.arrivals.append((since, work))
                account.arrived += work

    def forget(self, name: str) -> None:
        """Remove a job, by its id, from the accounts of its class and team."""
        usage = self.usage.pop(name, None)
        if usage is not None:
            self._subtract(usage)

    def _subtract(self, usage: JobUsage) -> None:
        for which in usage.names:
            account = self.accounts[which]
            account.running -= usage.running
            account.waiting -= usage.waiting
            account.backlog -= usage.backlog
            account.jobs -= 1
            if usage.age_key is not None:
                account.ages.remove(usage.age_key)
            if account.jobs == 0 and not account.arrivals:
                del self.accounts[which]

    def _tolerated_wait_s(self, which: AccountKey) -> float:
        if which[0] == "class":
            return self.tolerated_wait_s.get(which[2], self.default_wait_s)
        return self.default_wait_s

    def starvation(self, which: AccountKey, now: float) -> float:
        """How near the oldest waiting job is to the wait that is tolerated, 0 to 1."""
        account = self.accounts[which]
        if not account.ages:
            return 0.0
        since: float
        name: str
        since, name = account.ages[0]
        usage = self.usage[name]
        waited = (now - since) / max(self._tolerated_wait_s(usage.names[0]), 1e-3)
        return min(1.0, max(0.0, (waited - SHARE_BEGINS) / (SHARE_WHOLE - SHARE_BEGINS)))

    def needs(self, which: AccountKey, now: float) -> float:
        """The CPUs that would run all its work.

        That is what arrives, as counted over the span, or what waits, within the wait that is
        tolerated, whichever needs more.
        """
        account = self.accounts[which]
        span = ARRIVAL_SPAN * self._tolerated_wait_s(which)
        while account.arrivals and now - account.arrivals[0][0] > span:
            account.arrived -= account.arrivals.popleft()[1]
        if not account.arrivals:
            account.arrived = 0.0
        since = min(span, max(now - self.began, span * SHARE_BEGINS))
        return max(
            account.arrived / since, account.backlog / max(self._tolerated_wait_s(which), 1e-3)
        )

    def owed(self, now: float) -> dict[AccountKey, FairShare]:
        """Who is owed a share now.

        Accounts whose share isn't missing anything are listed too: what they run isn't to be
        taken away.
        """
        totals: dict[tuple[str, bool], tuple[float, int]] = {}
        for (kind, gpus, _), account in self.accounts.items():
            if account.jobs:
                total, count = totals.get((kind, gpus), (0.0, 0))
                totals[kind, gpus] = total + account.running, count + 1
        found = {}
        for which, account in list(self.accounts.items()):
            total, count = totals.get((which[0], which[1]), (0.0, 0))
            needs = self.needs(which, now)
            if account.jobs == 0 and not account.arrivals:
                del self.accounts[which]
            if count < 2 or not account.ages or which in self.without:
                continue
            floor = self.starvation(which, now) * min(
                total / (count + 1), MAX_SHARE_OF_NEED * needs
            )
            if floor > 0 and account.running < PROTECTION_MARGIN * floor:
                found[which] = FairShare(
                    floor,
                    max(0.0, min(floor - account.running, account.waiting)),
                    total,
                    account.standing,
                )
        return found
