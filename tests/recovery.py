"""Measure, from the log of a simulated day, how long recovery from a mass failure takes.

    fleetbench run SITE DAY --log info > LOG
    python -m tests.recovery LOG --at 220.8 --write-rps 300

The lost tasks are those that ran on the fenced machines as far as the owners knew. A machine
that is fenced several times counts once, at its last fence. The time until as many tasks are
launched as were lost is printed next to the least time that the state service's write limit
allows, with one change for each started job and no other writes.
"""

from __future__ import annotations

import argparse
import math
import re
import sys
from pathlib import Path
from typing import NamedTuple

LINE = re.compile(r"\s*([\d.]+) \S+ \w+ \S+ (.*)")


class Event(NamedTuple):
    """A fence, a launch or a rental, with the number of tasks or machines it concerns."""

    at: float  # simulated seconds
    kind: str
    name: str  # the machine of a fence, or the job of a launch
    count: int


def parse_events(text: str) -> list[Event]:
    """Return the fences, launches and rentals in a log."""
    found = []
    for line in text.splitlines():
        match = LINE.match(line)
        if match is None:
            continue
        fields = dict(f.split("=", 1) for f in match[2].split() if "=" in f)
        kind = fields.get("event", "")
        if kind in ("fence", "launch"):
            found.append(
                Event(
                    float(match[1]),
                    kind,
                    fields.get("machine", fields.get("job", "")),
                    int(fields["tasks"]),
                )
            )
        elif kind == "rented" and fields.get("got", "0") != "0":
            found.append(Event(float(match[1]), kind, "", int(fields["got"])))
    return found


def summarize(found: list[Event], at: float, write_rps: float) -> dict[str, float]:
    """Return the printed figures: counts, and times in seconds after `at`."""
    after = [e for e in found if e.at >= at]
    fences = {e.name: e for e in after if e.kind == "fence"}
    fence_times = sorted(e.at - at for e in fences.values())
    lost = sum(e.count for e in fences.values())
    result = {"machines fenced": len(fences), "tasks lost": lost}
    for share in (0.5, 0.9) if fence_times else ():
        result[f"{share:.0%} of the fences"] = fence_times[int(share * (len(fence_times) - 1))]
    result["first rental"] = min((e.at - at for e in after if e.kind == "rented"), default=math.inf)
    launched, jobs = 0, set()
    for event in after:
        launched += event.count if event.kind == "launch" else 0
        jobs.update([event.name] if event.kind == "launch" else [])
        if launched >= lost:
            result["as many launched as lost"] = event.at - at
            result["least by the write limit"] = len(jobs) / write_rps
            break
    return result


def main() -> int:
    parser = argparse.ArgumentParser(
        description="Measure how long recovery from a mass failure takes, from a day's log."
    )
    parser.add_argument("log", type=Path)
    parser.add_argument(
        "--at", type=float, required=True, help="time of the failure, in simulated seconds"
    )
    parser.add_argument(
        "--write-rps",
        type=float,
        required=True,
        help="the state service's limit of changes per second",
    )
    options = parser.parse_args()
    if options.write_rps <= 0:
        parser.error("--write-rps: a positive number")
    try:
        found = parse_events(options.log.read_text(encoding="utf-8", errors="replace"))
    except OSError as exc:
        print(f"{options.log}: {exc}", file=sys.stderr)
        return 2
    if not found:
        print(f"{options.log}: no events; was the day played with --log info?", file=sys.stderr)
        return 2
    for name, value in summarize(found, options.at, options.write_rps).items():
        print(f"{name:26} {value:8.1f}")
    return 0


if __name__ == "__main__":
    sys.exit(main())
