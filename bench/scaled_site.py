"""Write a copy of a deployment of the test bench at another size.

    python -m bench.scaled_site SITE.toml FACTOR [--restart SECONDS] [--zones N]
                                [--split A:B:...] [--heavy TIMES] [--out DIR]

FACTOR multiplies the machines (capacity and those up at the start), the arrival rates and the
number of jobs at the start. The limits of the state service, the cloud and the controllers stay
the same on purpose, so that a run of the copy shows their effect at the new size.

`--restart` sets the time until a crashed controller is started again. `--zones` sets the number
of zones, over which the machines are split evenly unless `--split` is given; days with a fault in
a removed zone are left out. `--split` sets the share of each machine type that each zone has.
`--heavy` makes one team submit the given multiple of what each other team submits. The copy and
the files that it refers to are written under `target/`, never into the repository.
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

COUNT_KEYS = ("count", "spot")


def scale(site: dict[str, Any], factor: float) -> None:
    """Multiply all counts and rates that make up the size of the deployment.

    A boolean under the name of a count, such as `spot = true`, is a flag and stays.
    """
    for row in [*site.get("capacity", ()), *site.get("machines", ())]:
        for key in COUNT_KEYS:
            if key in row and not isinstance(row[key], bool):
                row[key] = round(row[key] * factor)
    for job in site.get("jobs", ()):
        if "initial" in job:
            job["initial"] = round(job["initial"] * factor)
        if "rate" in job.get("arrivals", {}):
            job["arrivals"]["rate"] = round(job["arrivals"]["rate"] * factor, 9)


def zone_shares(text: str, zones: int) -> list[float]:
    """Parse `--split` and return each zone's share of the machines."""
    shares = [float(part) for part in text.split(":")] if text else [1.0] * zones
    if len(shares) != zones or min(shares) < 0 or sum(shares) <= 0:
        raise ValueError(f"--split {text}: expected {zones} parts, one for each zone, none below 0")
    return [part / sum(shares) for part in shares]


def rezone(site: dict[str, Any], zones: list[str], shares: list[float]) -> None:
    """Distribute the machines of each type over the zones by the given shares.

    Rounding keeps the total of each type.
    """
    for table in ("capacity", "machines"):
        counts_by_type: dict[tuple[Any, ...], dict[str, int]] = {}
        for row in site.get(table, ()):
            machine_type = (row["type"], row["spot"] if isinstance(row.get("spot"), bool) else None)
            counts = counts_by_type.setdefault(machine_type, {})
            for key in COUNT_KEYS:
                if key in row and not isinstance(row[key], bool):
                    counts[key] = counts.get(key, 0) + row[key]
        if not counts_by_type:
            continue
        rows = tomlkit.aot()
        bounds = [0.0, *itertools.accumulate(shares)]
        for (machine_type, spot), counts in counts_by_type.items():
            for zone, lower, upper in zip(zones, bounds, bounds[1:]):
                row = tomlkit.table()
                row["type"], row["zone"] = machine_type, zone
                if spot is not None:
                    row["spot"] = spot
                for key, total_count in counts.items():
                    row[key] = round(total_count * upper) - round(total_count * lower)
                rows.append(row)
        site[table] = rows
    site["nodes"]["zones"] = zones
    days = site.get("day", [])
    dropped_days = [
        index
        for index, day in enumerate(days)
        if any(fault.get("zone", zones[0]) not in zones for fault in day.get("faults", ()))
    ]
    for index in reversed(dropped_days):
        print(
            f"day {days[index]['name']}: has a fault in a removed zone and is left out",
            file=sys.stderr,
        )
        del days[index]


def add_heavy_team(site: dict[str, Any], times: float) -> None:
    """Move one team of the first kind into a kind of its own with `times` times the weight."""
    first = site["teams"][0]
    if int(first.get("count", 1)) < 2:
        raise ValueError("--heavy requires at least two teams of the first kind")
    heavy_team = tomlkit.table()
    for key, value in first.items():
        heavy_team[key] = value
    heavy_team["name"], heavy_team["count"] = f"{first['name']}-heavy", 1
    heavy_team["weight"] = float(first.get("weight", 1.0)) * times
    first["count"] -= 1
    site["teams"].append(heavy_team)


def main() -> int:
    """Write a scaled copy of a deployment's files and return the exit status."""
    parser = argparse.ArgumentParser(description="Write a copy of a deployment at another size.")
    parser.add_argument("site", type=Path)
    parser.add_argument("factor", type=float)
    parser.add_argument("--out", type=Path, default=Path("target/sites"))
    parser.add_argument(
        "--restart",
        type=float,
        metavar="SECONDS",
        help="time until a crashed controller is started again",
    )
    parser.add_argument("--zones", type=int, metavar="N", help="number of zones")
    parser.add_argument(
        "--split",
        default="",
        metavar="A:B:...",
        help="share of the machines of each type in each zone, as parts",
    )
    parser.add_argument(
        "--heavy",
        type=float,
        metavar="TIMES",
        help="make one team submit this many times as much as each other team",
    )
    args = parser.parse_args()
    if not 0 < args.factor <= 100:
        parser.error("FACTOR must be a positive number of at most 100")
    if args.restart is not None and not 0 <= args.restart <= 3600:
        parser.error("--restart must be 0 to 3600 seconds")
    if args.zones is not None and not 1 <= args.zones <= 100:
        parser.error("--zones must be 1 to 100")
    if args.heavy is not None and not 0 < args.heavy <= 1000:
        parser.error("--heavy must be a positive number of at most 1000")
    try:
        site: Any = tomlkit.parse(args.site.read_text(encoding="utf-8"))
        site_zones = list(site["nodes"]["zones"])
        zone_count = args.zones or len(site_zones)
        zones = [
            *site_zones[:zone_count],
            *(f"zone-{number + 1}" for number in range(len(site_zones), zone_count)),
        ]
        shares = zone_shares(args.split, zone_count)
        if args.heavy is not None:
            add_heavy_team(site, args.heavy)
    except (OSError, UnicodeDecodeError, TOMLKitError, KeyError, ValueError) as exc:
        print(f"{args.site}: {exc}", file=sys.stderr)
        return 2
    wire_file = site.get("wire")
    scale(site, args.factor)
    if args.restart is not None:
        site["nodes"]["restart_delay_s"] = args.restart
    suffix = f"-x{args.factor:g}"
    if args.zones or args.split:
        rezone(site, zones, shares)
        suffix += f"-z{zone_count}" + (f"-{args.split.replace(':', '_')}" if args.split else "")
    suffix += f"-h{args.heavy:g}" if args.heavy is not None else ""
    site["name"] += suffix
    args.out.mkdir(parents=True, exist_ok=True)
    output_path = args.out / f"{args.site.stem}{suffix}.toml"
    output_path.write_text(tomlkit.dumps(site), encoding="utf-8")
    for name, target in (
        (wire_file, wire_file and Path(wire_file).name),
        (f"{args.site.stem}.days", f"{output_path.stem}.days"),
    ):
        if name and (args.site.parent / name).exists():
            shutil.copy(args.site.parent / name, args.out / target)
    print(output_path)
    return 0


if __name__ == "__main__":
    sys.exit(main())
