"""Measure what a controller spends on each kind of work, or update the capacity page.

    python -m bench.capacity [-o docs/capacity/slopes.json] [--only GROUP]
    python -m bench.capacity --pool RUN... [-o docs/capacity/slopes.json]
    python -m bench.capacity --page [--check]

A measurement runs in one process, for a few minutes and with less than 2 GB of memory. All times
are processor time, so that time spent waiting for other work on the machine does not count.
Other work still makes the times up to twice as long in some runs, so several runs are pooled,
and the file records the load of the machine. `--page` writes the generated tables of
docs/CAPACITY.md from the file. `--check` only compares them and exits with 1 if the page is out
of date.
"""

from __future__ import annotations

import argparse
import os
import platform
import sys
import time
from collections.abc import Callable
from pathlib import Path

import msgspec

from . import page, single, whole
from .figures import Figure, Host, Slopes, pool_runs, read_slopes, write_slopes

SLOPES_PATH = Path("docs/capacity/slopes.json")
PAGE_PATH = Path("docs/CAPACITY.md")
GROUPS: dict[str, Callable[[], dict[str, Figure]]] = {
    "reports": single.reports,
    "passed_on": single.forwarded_reports,
    "exchanges": single.exchanges,
    "heartbeats": single.heartbeats,
    "refreshes": single.refreshes,
    "decisions": single.decisions,
    "memory": single.memory,
    "loads": whole.loads,
    "jobs": whole.jobs,
}


def processor_name() -> str:
    """Return the processor's name as the operating system reports it."""
    try:
        lines = Path("/proc/cpuinfo").read_text().splitlines()
    except OSError:
        return platform.machine()
    names = [line.partition(":")[2].strip() for line in lines if line.startswith("model name")]
    return names[0] if names else platform.machine()


def measure(groups: list[str]) -> Slopes:
    """Run the groups in order and return their figures."""
    load_before = os.getloadavg()[0]
    figures: dict[str, Figure] = {}
    for group in groups:
        started = time.monotonic()
        figures.update(GROUPS[group]())
        print(f"{group}: {time.monotonic() - started:.1f} s", file=sys.stderr)
    host = Host(
        processor_name(),
        os.cpu_count() or 0,
        platform.python_version(),
        [round(load_before, 2), round(os.getloadavg()[0], 2)],
    )
    return Slopes(time.strftime("%Y-%m-%d", time.gmtime()), host, figures)


def update_page(check: bool) -> int:
    """Write the page's tables from the slopes, or check whether they are up to date."""
    try:
        slopes = read_slopes(SLOPES_PATH)
        text = PAGE_PATH.read_text(encoding="utf-8")
        updated = page.rendered(text, slopes)
    except (OSError, msgspec.MsgspecError, KeyError, ValueError) as exc:
        print(f"cannot update the page: {exc!r}", file=sys.stderr)
        return 2
    if check:
        if updated != text:
            print(
                f"{PAGE_PATH} does not match the figures in {SLOPES_PATH} (update with --page)",
                file=sys.stderr,
            )
        return int(updated != text)
    PAGE_PATH.write_text(updated, encoding="utf-8")
    return 0


def main() -> int:
    """Run the command line."""
    parser = argparse.ArgumentParser(description="Measure costs, or update the capacity page.")
    parser.add_argument("-o", "--output", type=Path, default=SLOPES_PATH)
    parser.add_argument(
        "--only", choices=GROUPS, help="only measure one group and print its figures"
    )
    parser.add_argument(
        "--pool", type=Path, nargs="+", metavar="RUN", help="pool these runs into one file"
    )
    parser.add_argument("--page", action="store_true", help=f"update the tables of {PAGE_PATH}")
    parser.add_argument("--check", action="store_true", help="with --page, only compare")
    args = parser.parse_args()
    if args.check and not args.page:
        parser.error("--check needs --page")
    if args.page:
        return update_page(args.check)
    if args.pool:
        try:
            write_slopes(args.output, pool_runs([read_slopes(path) for path in args.pool]))
        except (OSError, msgspec.MsgspecError, ValueError) as exc:
            print(f"cannot pool the runs: {exc}", file=sys.stderr)
            return 2
        return 0
    if args.only:
        for name, measured in measure([args.only]).figures.items():
            print(
                f"{name}: {measured.median:.4g} {measured.unit} "
                f"({measured.lower_quartile:.4g} to {measured.upper_quartile:.4g}, "
                f"{measured.repeats})"
            )
        return 0
    write_slopes(args.output, measure(list(GROUPS)))
    return 0


if __name__ == "__main__":
    raise SystemExit(main())
