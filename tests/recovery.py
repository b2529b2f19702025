"""How long after a mass end everything runs again, from a day's log.

    fleetbench run SITE DAY --log info > LOG
    python -m tests.recovery LOG --at 220.8 --write-rps 300

Lost is what the fenced machines held, as their owners knew it; a machine that is fenced
again counts once, by when that was done last. Beside when as many tasks had been launched
as were lost stands the least time that the state service's limit allows for it: one change
for each job that was started, if nothing else were written.
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
    at: float  # simulated seconds
    kind: str
    name: str  # machine, or job
    tasks: int


def events(text: str) -> list[Event]:
    """Fences, launches and rentals."""
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


def report(found: list[Event], at: float, write_rps: float) -> dict[str, float]:
    """Seconds after `at`, but for counts."""
    after = [e for e in found if e.at >= at]
    held = {e.name: e for e in after if e.kind == "fence"}
    fenced = sorted(e.at - at for e in held.values())
    lost = sum(e.tasks for e in held.values())
    result = {"machines fenced": len(held), "tasks lost": lost}
    for share in (0.5, 0.9) if fenced else ():
        result[f"{share:.0%} of the fences"] = fenced[int(share * (len(fenced) - 1))]
    result["first rental"] = min((e.at - at for e in after if e.kind == "rented"), default=math.inf)
    launched, jobs = 0, set()
    for event in after:
        launched += event.tasks if event.kind == "launch" else 0
        jobs.update([event.name] if event.kind == "launch" else [])
        if launched >= lost:
            result["as many launched as lost"] = event.at - at
            result["least by the write limit"] = len(jobs) / write_rps
            break
    return result


def main() -> int:
    args = argparse.ArgumentParser(
        description="How long after a mass end everything runs again, from a day's log."
    )
    args.add_argument("log", type=Path)
    args.add_argument("--at", type=float, required=True, help="when it ended, in seconds")
    args.add_argument(
        "--write-rps",
        type=float,
        required=True,
        help="changes a second that the state service takes",
    )
    chosen = args.parse_args()
    if chosen.write_rps <= 0:
        args.error("--write-rps: a positive number")
    try:
        found = events(chosen.log.read_text(encoding="utf-8", errors="replace"))
    except OSError as exc:
        print(f"{chosen.log}: {exc}", file=sys.stderr)
        return 2
    if not found:
        print(f"{chosen.log}: no events; was the day played with --log info?", file=sys.stderr)
        return 2
    for name, value in report(found, chosen.at, chosen.write_rps).items():
        print(f"{name:26} {value:8.1f}")
    return 0


if __name__ == "__main__":
    sys.exit(main())
