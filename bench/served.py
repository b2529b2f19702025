"""What share of each class and each team was served on a day, from the bench's own report.

    python -m bench.served REPORT... [--least 0.5]

REPORT is what `fleetbench run SITE DAY --report REPORT` writes (figures of simulated
machines). Looked at, of each class: jobs started, of those accepted and not cancelled before
they started; jobs done, of those accepted and not cancelled (of replicas: the share of their
time that they were up); and every aim that names the class. Of each team: jobs started.
Jobs that came too late to be done by the day's end count as not done, so the figure is
rather too low than too high.

Exits with 1 if any share lies below the least, with 2 if a report can't be read.
"""

from __future__ import annotations

import argparse
import sys
from pathlib import Path
from typing import NamedTuple

import msgspec

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
        bound = f" {self.within_s:g} s" if self.within_s is not None else \
            f" {self.times:g}x" if self.times is not None else \
            f" worst {self.worst_s:g} s" if self.worst_s is not None else ""
        return f"{self.job_class} {self.kind}{bound}"


class Report(msgspec.Struct):
    """The parts of a day's report that are read here."""

    scenario: str
    classes: dict[str, Class]
    teams: dict[str, Team] = {}
    targets: list[Target] = []


def shares(report: Report) -> list[Share]:
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
    found += [Share(t.words, t.value, t.of) for t in report.targets
              if t.kind in AIMS and t.job_class and t.value is not None and t.of]
    return sorted(found, key=lambda s: s.value)


def main() -> int:
    args = argparse.ArgumentParser(description="The share served of each class and team.")
    args.add_argument("report", type=Path, nargs="+", help="what fleetbench run --report wrote")
    args.add_argument("--least", type=float, default=0.5, help="below this a day has failed")
    args.add_argument("--all", action="store_true", help="all shares, not the lowest three")
    chosen = args.parse_args()
    failed = False
    for path in chosen.report:
        try:
            report = msgspec.json.decode(path.read_bytes(), type=Report)
        except (OSError, msgspec.MsgspecError) as exc:
            print(f"{path}: {exc}", file=sys.stderr)
            return 2
        found = shares(report)
        low = [s for s in found if s.value < chosen.least]
        failed = failed or bool(low)
        shown = found if chosen.all else max(low, found[:3], key=len)
        print(f"{report.scenario}: {'FAILED' if low else 'served'}; " + "; ".join(
            f"{s.what} {s.value:.3f} of {s.count}" for s in shown))
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
