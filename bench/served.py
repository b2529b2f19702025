"""Print the share of each class and team that was served on a day, from the test bench's report.

    python -m bench.served REPORT... [--log LOG] [--least 0.5]

REPORT is the file that `fleetbench run SITE DAY --report REPORT` writes; its figures are those
of simulated machines. For each class, the program prints the share of

- jobs started, of the jobs accepted and not cancelled before their start;
- jobs done, of the jobs accepted and not cancelled (for replicas, the share of their time
  during which they were up);
- each objective that names the class;
- the largest jobs started.

For each team, it prints the share of jobs started. LOG is what `fleetbench run ... --log info`
printed for the one report. With LOG, the program also prints, for the largest quarter of each
class's jobs, the share whose first launch came within `MAX_LARGEST_WAIT_S` seconds of acceptance.
This figure comes from the controllers' own log and is marked so.

A job that was submitted too late to finish before the day ends counts as not done, so the
figures are too low rather than too high.

The exit status is 1 if any share is below the least, and 2 if a report cannot be read.
"""

from __future__ import annotations

import argparse
import math
import re
import sys
from pathlib import Path
from typing import NamedTuple

import msgspec

# The users' bound on the wait of the largest jobs of a class before they start.
MAX_LARGEST_WAIT_S = 240.0
# A log line as the test bench prints it: simulated time, controller, level, name, message.
LOG_LINE = re.compile(r"\s*([\d.]+) \S+ \w+ \S+ (.*)")
OBJECTIVE_KINDS = ("up", "wait", "finished", "deadline")


class Share(NamedTuple):
    """A share of served jobs (0 to 1) and the number of jobs of which it is a share."""

    name: str
    value: float
    count: int


class ClassFigures(msgspec.Struct):
    """A report's figures on the jobs of a class."""

    accepted: int = 0
    started: int = 0
    done: int = 0
    cancelled: int = 0
    up: float | None = None


class TeamFigures(msgspec.Struct):
    """A report's figures on the jobs of a team."""

    jobs: int = 0
    started: int = 0


class LargestFigures(msgspec.Struct):
    """A report's figures on the largest jobs of a class."""

    jobs: int = 0
    started: int = 0


class ObjectiveResult(msgspec.Struct):
    """A service-level objective and the share to which it was met, as the report states it."""

    kind: str
    value: float | None = None
    of: int | None = None
    job_class: str | None = msgspec.field(default=None, name="class")
    within_s: float | None = None
    times: float | None = None
    worst_s: float | None = None

    @property
    def description(self) -> str:
        """Describe the objective as it is printed."""
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


class DayReport(msgspec.Struct):
    """The parts of a day's report that this program reads."""

    scenario: str
    classes: dict[str, ClassFigures]
    teams: dict[str, TeamFigures] = {}
    largest: dict[str, LargestFigures] = {}
    targets: list[ObjectiveResult] = []


def day_shares(report: DayReport) -> list[Share]:
    """Return every share of the day, the lowest first."""
    result = []
    for name, figures in report.classes.items():
        startable = figures.accepted - min(
            figures.cancelled, max(0, figures.accepted - figures.started)
        )
        if startable > 0:
            result.append(Share(f"{name} started", figures.started / startable, startable))
        if figures.up is not None:
            result.append(Share(f"{name} up", figures.up, figures.accepted))
        elif figures.accepted > figures.cancelled:
            finishable = figures.accepted - figures.cancelled
            result.append(Share(f"{name} done", figures.done / finishable, finishable))
    for name, team in report.teams.items():
        if team.jobs:
            result.append(Share(f"team {name} started", team.started / team.jobs, team.jobs))
    for name, largest in report.largest.items():
        if largest.jobs:
            result.append(
                Share(f"{name} largest started", largest.started / largest.jobs, largest.jobs)
            )
    result += [
        Share(objective.description, objective.value, objective.of)
        for objective in report.targets
        if objective.kind in OBJECTIVE_KINDS
        and objective.job_class
        and objective.value is not None
        and objective.of
    ]
    return sorted(result, key=lambda share: share.value)


def largest_started_in_time(log: str) -> list[Share]:
    """Return each class's share of largest jobs that started in time, by the controllers' log.

    The largest jobs are the largest quarter of a class. A job that was cancelled before its start,
    or accepted too late in the log to judge, is left out.
    """
    accepted: dict[str, tuple[float, str, int]] = {}
    first_launch: dict[str, float] = {}
    cancelled: set[str] = set()
    log_end = 0.0
    for line in log.splitlines():
        match = LOG_LINE.match(line)
        if match is None:
            continue
        at = float(match[1])
        log_end = max(log_end, at)
        fields = dict(field.split("=", 1) for field in match[2].split() if "=" in field)
        job, event = fields.get("job", ""), fields.get("event", "")
        if event == "accepted":
            accepted.setdefault(job, (at, fields["class"], int(fields["tasks"])))
        elif event == "launch":
            first_launch.setdefault(job, at)
        elif event == "cancelled" and job not in first_launch:
            cancelled.add(job)
    classes: dict[str, list[tuple[int, str, float]]] = {}
    for job, (at, class_name, tasks) in accepted.items():
        classes.setdefault(class_name, []).append((tasks, job, at))
    result = []
    for class_name, jobs in classes.items():
        largest = sorted(jobs, reverse=True)[: max(1, len(jobs) // 4)]
        judged = [
            (job, at)
            for _, job, at in largest
            if job not in cancelled and (job in first_launch or log_end - at >= MAX_LARGEST_WAIT_S)
        ]
        if judged:
            waits = sorted(first_launch.get(job, math.inf) - at for job, at in judged)
            in_time = sum(wait <= MAX_LARGEST_WAIT_S for wait in waits)
            result.append(
                Share(
                    f"{class_name} largest began in {MAX_LARGEST_WAIT_S:g} s "
                    f"(log; longest {waits[-1]:.0f} s)",
                    in_time / len(judged),
                    len(judged),
                )
            )
    return sorted(result, key=lambda share: share.value)


def main() -> int:
    """Print the served shares; return 1 if one is below the least and 2 on errors."""
    parser = argparse.ArgumentParser(description="Print the served share of each class and team.")
    parser.add_argument(
        "report", type=Path, nargs="+", help="file written by fleetbench run --report"
    )
    parser.add_argument("--log", type=Path, help="log printed by the run of the one report")
    parser.add_argument(
        "--least", type=float, default=0.5, help="lowest share at which a day passes"
    )
    parser.add_argument(
        "--all", action="store_true", help="print all shares, not only the lowest three"
    )
    args = parser.parse_args()
    if args.log and len(args.report) > 1:
        parser.error("--log needs exactly one report")
    try:
        log_shares = (
            largest_started_in_time(args.log.read_text(errors="replace")) if args.log else []
        )
    except (OSError, ValueError, KeyError) as exc:
        print(f"{args.log}: {exc!r}", file=sys.stderr)
        return 2
    failed = False
    for path in args.report:
        try:
            report = msgspec.json.decode(path.read_bytes(), type=DayReport)
        except (OSError, msgspec.MsgspecError) as exc:
            print(f"{path}: {exc}", file=sys.stderr)
            return 2
        shares = sorted(day_shares(report) + log_shares, key=lambda share: share.value)
        low = [share for share in shares if share.value < args.least]
        failed = failed or bool(low)
        shown = shares if args.all else max(low, shares[:3], key=len)
        print(
            f"{report.scenario}: {'FAILED' if low else 'served'}; "
            + "; ".join(f"{share.name} {share.value:.3f} of {share.count}" for share in shown)
        )
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
