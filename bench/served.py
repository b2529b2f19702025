"""What share of each class and each team was served on a day, from the bench's own report.

    python -m bench.served REPORT... [--log LOG] [--least 0.5]

REPORT is what `fleetbench run SITE DAY --report REPORT` writes (figures of simulated
machines). Looked at, of each class: jobs started, of those accepted and not cancelled before
they started; jobs done, of those accepted and not cancelled (of replicas: the share of their
time that they were up); and every aim that names the class; and its largest jobs started.
Of each team: jobs started. With LOG, what `fleetbench run ... --log info` printed for the
one report, when the largest jobs began as well: the controllers' own account, from accepted to the
first launch, of the largest quarter of each class. It is named as such.
Jobs that came too late to be done by the day's end count as not done, so the figure is
rather too low than too high.

Exits with 1 if any share lies below the least, with 2 if a report can't be read.
"""

from __future__ import annotations

import argparse
import math
import re
import sys
from pathlib import Path
from typing import NamedTuple

import msgspec

# The users' bound on when the largest jobs of a class are to begin.
BEGIN_S = 240.0
# A line of a process's log, as the bench prints it: simulated time, controller, level, name.
LINE = re.compile(r"\s*([\d.]+) \S+ \w+ \S+ (.*)")
AIMS = ("up", "wait", "finished", "deadline")


class Share(NamedTuple):
    """One figure: what was served, its share (0 to 1) and of how many jobs."""

    what: str
    value: float
    count: int


class Class(msgspec.Struct):
    """What a report says of a class's jobs."""

    accepted: int = 0
    started: int = 0
    done: int = 0
    cancelled: int = 0
    up: float | None = None


class Team(msgspec.Struct):
    """What a report says of a team's jobs."""

    jobs: int = 0
    started: int = 0


class Largest(msgspec.Struct):
    """What a report says of a class's largest jobs."""

    jobs: int = 0
    started: int = 0


class Target(msgspec.Struct):
    """An aim, as the report counts it."""

    kind: str
    value: float | None = None
    of: int | None = None
    job_class: str | None = msgspec.field(default=None, name="class")
    within_s: float | None = None
    times: float | None = None
    worst_s: float | None = None

    @property
    def words(self) -> str:
        """Describe the aim in words, as it is printed."""
        bound = (
            f" {self.within_s:g} s"
            if self.within_s is not None
            else f" {self.times:g}x"
            if self.times is not None
            else f" worst {self.worst_s:g} s"
            if self.worst_s is not None
            else ""
        )
        return f"{self.job_class} {self.kind}{bound}"


class WorkerHeartbeat(msgspec.Struct):
    """The parts of a day's report that are read here."""

    scenario: str
    classes: dict[str, Class]
    teams: dict[str, Team] = {}
    largest: dict[str, Largest] = {}
    targets: list[Target] = []


def shares(report: WorkerHeartbeat) -> list[Share]:
    """Every share of the day, the least first."""
    found = []
    for name, c in report.classes.items():
        waited = c.accepted - min(c.cancelled, max(0, c.accepted - c.started))
        if waited > 0:
            found.append(Share(f"{name} started", c.started / waited, waited))
        if c.up is not None:
            found.append(Share(f"{name} up", c.up, c.accepted))
        elif c.accepted > c.cancelled:
            left = c.accepted - c.cancelled
            found.append(Share(f"{name} done", c.done / left, left))
    for name, team in report.teams.items():
        if team.jobs:
            found.append(Share(f"team {name} started", team.started / team.jobs, team.jobs))
    for name, largest in report.largest.items():
        if largest.jobs:
            found.append(
                Share(f"{name} largest started", largest.started / largest.jobs, largest.jobs)
            )
    found += [
        Share(t.words, t.value, t.of)
        for t in report.targets
        if t.kind in AIMS and t.job_class and t.value is not None and t.of
    ]
    return sorted(found, key=lambda s: s.value)


def began(log: str) -> list[Share]:
    """Of the largest quarter of each class's jobs the share that began within four minutes,
    by the controllers' log. Those that were cancelled before they began are left out."""
    accepted: dict[str, tuple[float, str, int]] = {}
    first: dict[str, float] = {}
    cancelled: set[str] = set()
    last = 0.0
    for line in log.splitlines():
        match = LINE.match(line)
        if match is None:
            continue
        at = float(match[1])
        last = max(last, at)
        fields = dict(f.split("=", 1) for f in match[2].split() if "=" in f)
        job, event = fields.get("job", ""), fields.get("event", "")
        if event == "accepted":
            accepted.setdefault(job, (at, fields["class"], int(fields["tasks"])))
        elif event == "launch":
            first.setdefault(job, at)
        elif event == "cancelled" and job not in first:
            cancelled.add(job)
    classes: dict[str, list[tuple[int, str, float]]] = {}
    for job, (at, name, tasks) in accepted.items():
        classes.setdefault(name, []).append((tasks, job, at))
    found = []
    for name, jobs in classes.items():
        largest = sorted(jobs, reverse=True)[: max(1, len(jobs) // 4)]
        # What came too late to be judged, or was cancelled before, says nothing.
        with_objectives = [
            (job, at)
            for _, job, at in largest
            if job not in cancelled and (job in first or last - at >= BEGIN_S)
        ]
        if with_objectives:
            waits = sorted(first.get(job, math.inf) - at for job, at in with_objectives)
            served = sum(w <= BEGIN_S for w in waits)
            found.append(
                Share(
                    f"{name} largest began in {BEGIN_S:g} s (log; longest {waits[-1]:.0f} s)",
                    served / len(with_objectives),
                    len(with_objectives),
                )
            )
    return sorted(found, key=lambda s: s.value)


def main() -> int:
    """Print the served shares of the reports; return 1 if one lies below the least, 2 on errors."""
    args = argparse.ArgumentParser(description="The share served of each class and team.")
    args.add_argument("report", type=Path, nargs="+", help="what fleetbench run --report wrote")
    args.add_argument("--log", type=Path, help="what the run of the one report printed")
    args.add_argument("--least", type=float, default=0.5, help="below this a day has failed")
    args.add_argument("--all", action="store_true", help="all shares, not the lowest three")
    chosen = args.parse_args()
    if chosen.log and len(chosen.report) > 1:
        args.error("--log goes with one report")
    try:
        logged = began(chosen.log.read_text(errors="replace")) if chosen.log else []
    except (OSError, ValueError, KeyError) as exc:
        print(f"{chosen.log}: {exc!r}", file=sys.stderr)
        return 2
    failed = False
    for path in chosen.report:
        try:
            report = msgspec.json.decode(path.read_bytes(), type=WorkerHeartbeat)
        except (OSError, msgspec.MsgspecError) as exc:
            print(f"{path}: {exc}", file=sys.stderr)
            return 2
        found = sorted(shares(report) + logged, key=lambda s: s.value)
        low = [s for s in found if s.value < chosen.least]
        failed = failed or bool(low)
        shown = found if chosen.all else max(low, found[:3], key=len)
        print(
            f"{report.scenario}: {'FAILED' if low else 'served'}; "
            + "; ".join(f"{s.what} {s.value:.3f} of {s.count}" for s in shown)
        )
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
