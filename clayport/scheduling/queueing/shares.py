"""The share of room that a waiting class, or team, is sure of.

Rank says who goes first. Alone it starves whoever is last while something above is flooded.
So each class (and each team) with work that has waited too long is owed a share of what
all of them run, growing with how long it has waited: up to one part of as many as there
are of them and one more, and never more than lets `ENOUGH` of what comes of its work be run;
the rest stays with the order of ranks. Whoever holds less than it is owed goes before the
others, and isn't stopped for them; nobody is stopped for it.

The accounts are those of one home. Jobs are spread over homes by a hash of their ids, so
each home has a fair sample, and needs nobody's word.
"""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Collection, Mapping
from typing import NamedTuple

from sortedcontainers import SortedList

from clayport.model import Job

# A class begins to be owed a share when its oldest job has waited for this share of what
# it can bear, and is owed all of it at the other.
BEGIN, WHOLE = 0.3, 0.7
# Work is protected up to so many times its share: else what it has just been given would be
# stopped for others the moment that it has it.
MARGIN = 1.25
# The part of what comes of a class's work that its share has to run at most: somewhat more
# than the half below which a class counts as not served.
ENOUGH = 0.7
# Over how many times what it can bear a class's work is counted, to say how much comes.
SPAN = 2.0

Name = tuple[str, bool, str]  # "class" or "team", whether GPUs are used, which


def names(gpus: bool, job_class: str, team: str) -> tuple[Name, Name]:
    """The accounts that all jobs of a class and team count for."""
    return ("class", gpus, job_class), ("team", gpus, team)


def names_of(job: Job) -> tuple[Name, Name]:
    """The accounts that a job counts for."""
    return names(job.gpus > 0, job.job_class, job.team)


class Row(NamedTuple):
    """What one job counts for."""

    names: tuple[Name, Name]
    running: float
    waiting: float
    backlog: float
    age_key: tuple[float, str] | None
    standing: int


class Account:
    """What a class, or a team, runs here and waits for, in CPUs."""

    __slots__ = ("ages", "backlog", "came", "comes", "jobs", "running", "standing", "waiting")

    def __init__(self) -> None:
        self.running = self.waiting = 0.0
        self.backlog = 0.0  # what waits, in CPU seconds
        self.comes = 0.0  # CPU seconds that have come within the span
        self.came: deque[tuple[float, float]] = deque()
        self.ages: SortedList = SortedList()  # of waiting jobs: since when, id
        self.jobs = 0
        self.standing = 0  # the rank of its jobs, as it counts for who may be stopped


class Owed(NamedTuple):
    """A name that is owed a share: how many CPUs it is, and how many are still missing."""

    floor: float
    missing: float
    total: float
    standing: int  # the rank of its jobs, as it counts for who may be stopped


class Shares:
    """Accounts of everything but services."""

    def __init__(
        self, bears: Mapping[str, float], bears_else: float, without: Collection[Name] = ()
    ) -> None:
        # How long jobs of a class can wait; where nothing is aimed at, the other.
        self.bears, self.bears_else = bears, bears_else
        # Who has no share: teams with a guarantee, which is claimed otherwise.
        self.without = frozenset(without)
        self.clear(-math.inf)

    def clear(self, now: float) -> None:
        """Begin anew: of what came before only that is known which is still live."""
        self.began = now
        self.rows: dict[str, Row] = {}
        self.accounts: dict[Name, Account] = {}

    def note(self, name: str, job: Job, running: int, pending: int, since: float) -> None:
        """What a job runs and waits for now."""
        row = Row(
            names_of(job),
            running * job.cpus,
            pending * job.cpus,
            pending * job.cpus * max(1.0, job.estimate_s),
            (since, name) if pending > 0 else None,
            job.standing,
        )
        known = self.rows.get(name)
        if known == row:
            return
        if known is not None:
            self._take(known)
        self.rows[name] = row
        for which in row.names:
            account = self.accounts.get(which)
            if account is None:
                account = self.accounts[which] = Account()
            account.running += row.running
            account.waiting += row.waiting
            account.backlog += row.backlog
            account.jobs += 1
            account.standing = row.standing
            if row.age_key is not None:
                account.ages.add(row.age_key)
            if known is None:
                work = job.tasks * job.cpus * max(1.0, job.estimate_s)
                account.came.append((since, work))
                account.comes += work

    def forget(self, name: str) -> None:
        """Remove a job, by its id, from the accounts of its class and team."""
        row = self.rows.pop(name, None)
        if row is not None:
            self._take(row)

    def _take(self, row: Row) -> None:
        for which in row.names:
            account = self.accounts[which]
            account.running -= row.running
            account.waiting -= row.waiting
            account.backlog -= row.backlog
            account.jobs -= 1
            if row.age_key is not None:
                account.ages.remove(row.age_key)
            if account.jobs == 0 and not account.came:
                del self.accounts[which]

    def _bears(self, which: Name) -> float:
        return self.bears.get(which[2], self.bears_else) if which[0] == "class" else self.bears_else

    def neglect(self, which: Name, now: float) -> float:
        """0 to 1: how far the oldest of its jobs has used up what it can bear to wait."""
        account = self.accounts[which]
        if not account.ages:
            return 0.0
        since: float
        name: str
        since, name = account.ages[0]
        row = self.rows[name]
        used = (now - since) / max(self._bears(row.names[0]), 1e-3)
        return min(1.0, max(0.0, (used - BEGIN) / (WHOLE - BEGIN)))

    def needs(self, which: Name, now: float) -> float:
        """The CPUs that would run all that comes of it, as seen of late, and what waits
        within the time that it can bear."""
        account = self.accounts[which]
        span = SPAN * self._bears(which)
        while account.came and now - account.came[0][0] > span:
            account.comes -= account.came.popleft()[1]
        if not account.came:
            account.comes = 0.0
        since = min(span, max(now - self.began, span * BEGIN))
        return max(account.comes / since, account.backlog / max(self._bears(which), 1e-3))

    def owed(self, now: float) -> dict[Name, Owed]:
        """Who is owed a share, and what of it is missing (0: nothing, but not to be taken
        away either)."""
        totals: dict[tuple[str, bool], tuple[float, int]] = {}
        for (kind, gpus, _), account in self.accounts.items():
            if account.jobs:
                total, count = totals.get((kind, gpus), (0.0, 0))
                totals[kind, gpus] = total + account.running, count + 1
        found = {}
        for which, account in list(self.accounts.items()):
            total, count = totals.get((which[0], which[1]), (0.0, 0))
            needs = self.needs(which, now)
            if account.jobs == 0 and not account.came:
                del self.accounts[which]
            if count < 2 or not account.ages or which in self.without:
                continue
            floor = self.neglect(which, now) * min(total / (count + 1), ENOUGH * needs)
            if floor > 0 and account.running < MARGIN * floor:
                found[which] = Owed(
                    floor,
                    max(0.0, min(floor - account.running, account.waiting)),
                    total,
                    account.standing,
                )
        return found
