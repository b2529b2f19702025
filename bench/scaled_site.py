"""Make a deployment of another size from one that the users' bench takes.

    python -m bench.scaled_site SITE.toml FACTOR [--restart SECONDS] [--zones N]
                                [--split A:B:...] [--heavy TIMES] [--out DIR]

Machines (capacity, and those up at the start), arrivals and the jobs at the start are
multiplied; everything else stays, the limits of state service, cloud and controllers
included: that is what is to be seen. `--restart` sets how long a controller that has ended
takes to be started again. `--split` puts the machines of each type into the zones in other
parts; `--zones` gives the deployment another number of zones first (alike in all else, and
days whose troubles name a zone that has gone are left out). `--heavy` has one of the teams
submit so many times as much as each of the others does. The copy and what it refers to go
under `target/`, never into the repository.
"""

from __future__ import annotations

import argparse
import itertools
import shutil
import sys
from pathlib import Path
from typing import Any

import tomlkit
from tomlkit.exceptions import TOMLKitError

COUNTS = ("count", "spot")


def scale(site: dict[str, Any], factor: float) -> None:
    """Multiply all that makes up the size; what is a flag (`spot = true`) stays."""
    for row in [*site.get("capacity", ()), *site.get("machines", ())]:
        for key in COUNTS:
            if key in row and not isinstance(row[key], bool):
                row[key] = round(row[key] * factor)
    for job in site.get("jobs", ()):
        if "initial" in job:
            job["initial"] = round(job["initial"] * factor)
        if "rate" in job.get("arrivals", {}):
            job["arrivals"]["rate"] = round(job["arrivals"]["rate"] * factor, 9)


def parts(text: str, zones: int) -> list[float]:
    """What `--split` says, as a share for each zone."""
    found = [float(p) for p in text.split(":")] if text else [1.0] * zones
    if len(found) != zones or min(found) < 0 or sum(found) <= 0:
        raise ValueError(f"--split {text}: one part for each of {zones} zones, none below 0")
    return [p / sum(found) for p in found]


def rezone(site: dict[str, Any], zones: list[str], shares: list[float]) -> None:
    """Split each type's machines over the zones anew; rounding loses none."""
    for table in ("capacity", "machines"):
        totals: dict[tuple[Any, ...], dict[str, int]] = {}
        for row in site.get(table, ()):
            kind = (row["type"], row["spot"] if isinstance(row.get("spot"), bool) else None)
            total = totals.setdefault(kind, {})
            for key in COUNTS:
                if key in row and not isinstance(row[key], bool):
                    total[key] = total.get(key, 0) + row[key]
        if not totals:
            continue
        rows = tomlkit.aot()
        ends = [0.0, *itertools.accumulate(shares)]
        for (kind, spot), total in totals.items():
            for zone, first, last in zip(zones, ends, ends[1:]):
                row = tomlkit.table()
                row["type"], row["zone"] = kind, zone
                if spot is not None:
                    row["spot"] = spot
                for key, whole in total.items():
                    row[key] = round(whole * last) - round(whole * first)
                rows.append(row)
        site[table] = rows
    site["nodes"]["zones"] = zones
    days = site.get("day", [])
    gone = [
        n
        for n, day in enumerate(days)
        if any(fault.get("zone", zones[0]) not in zones for fault in day.get("faults", ()))
    ]
    for n in reversed(gone):
        print(f"day {days[n]['name']}: names a zone that has gone; left out", file=sys.stderr)
        del days[n]


def burden(site: dict[str, Any], times: float) -> None:
    """Make one of the first kind of teams a kind of its own, of `times` the weight."""
    first = site["teams"][0]
    if int(first.get("count", 1)) < 2:
        raise ValueError("--heavy: there is only one team of the first kind")
    one = tomlkit.table()
    for key, value in first.items():
        one[key] = value
    one["name"], one["count"] = f"{first['name']}-heavy", 1
    one["weight"] = float(first.get("weight", 1.0)) * times
    first["count"] -= 1
    site["teams"].append(one)


def main() -> int:
    """Write a scaled copy of a deployment's files; return the exit status."""
    args = argparse.ArgumentParser(description="A deployment of another size, under target/.")
    args.add_argument("site", type=Path)
    args.add_argument("factor", type=float)
    args.add_argument("--out", type=Path, default=Path("target/sites"))
    args.add_argument(
        "--restart",
        type=float,
        metavar="SECONDS",
        help="controllers that end are started again after so long",
    )
    args.add_argument("--zones", type=int, metavar="N", help="so many zones")
    args.add_argument(
        "--split",
        default="",
        metavar="A:B:...",
        help="parts of the machines of each type in each zone",
    )
    args.add_argument(
        "--heavy",
        type=float,
        metavar="TIMES",
        help="one team submits so many times as much as each of the others",
    )
    chosen = args.parse_args()
    if not 0 < chosen.factor <= 100:
        args.error("FACTOR: a positive number, 100 at most")
    if chosen.restart is not None and not 0 <= chosen.restart <= 3600:
        args.error("--restart: seconds, 0 to 3600")
    if chosen.zones is not None and not 1 <= chosen.zones <= 100:
        args.error("--zones: 1 to 100")
    if chosen.heavy is not None and not 0 < chosen.heavy <= 1000:
        args.error("--heavy: a positive number, 1000 at most")
    try:
        site: Any = tomlkit.parse(chosen.site.read_text(encoding="utf-8"))
        there = list(site["nodes"]["zones"])
        count = chosen.zones or len(there)
        zones = [*there[:count], *(f"zone-{n + 1}" for n in range(len(there), count))]
        shares = parts(chosen.split, count)
        if chosen.heavy is not None:
            burden(site, chosen.heavy)
    except (OSError, UnicodeDecodeError, TOMLKitError, KeyError, ValueError) as exc:
        print(f"{chosen.site}: {exc}", file=sys.stderr)
        return 2
    wire = site.get("wire")
    scale(site, chosen.factor)
    if chosen.restart is not None:
        site["nodes"]["restart_delay_s"] = chosen.restart
    suffix = f"-x{chosen.factor:g}"
    if chosen.zones or chosen.split:
        rezone(site, zones, shares)
        suffix += f"-z{count}" + (f"-{chosen.split.replace(':', '_')}" if chosen.split else "")
    suffix += f"-h{chosen.heavy:g}" if chosen.heavy is not None else ""
    site["name"] += suffix
    chosen.out.mkdir(parents=True, exist_ok=True)
    made = chosen.out / f"{chosen.site.stem}{suffix}.toml"
    made.write_text(tomlkit.dumps(site), encoding="utf-8")
    for name, target in (
        (wire, wire and Path(wire).name),
        (f"{chosen.site.stem}.days", f"{made.stem}.days"),
    ):
        if name and (chosen.site.parent / name).exists():
            shutil.copy(chosen.site.parent / name, chosen.out / target)
    print(made)
    return 0


if __name__ == "__main__":
    sys.exit(main())
