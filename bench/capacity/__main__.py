"""Measure what a controller spends on each kind of work, or renew the page that rests on it.

    python -m bench.capacity [-o docs/capacity/slopes.json] [--only GROUP]
    python -m bench.capacity --pool RUN... [-o docs/capacity/slopes.json]
    python -m bench.capacity --page [--check]

One process, a few minutes, under 2 GB. All times are processor time, so that other work on the
machine doesn't count; but it makes them longer, by up to twice from run to run, so several runs
are pooled, and the file says how busy the machine was. `--page` writes the tables of
docs/CAPACITY.md anew from the file, and `--check` only says whether they are up to date (exit 1
if not).
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
from .figures import Figure, Host, Slopes, pooled, read, write

SLOPES = Path("docs/capacity/slopes.json")
PAGE = Path("docs/CAPACITY.md")
GROUPS: dict[str, Callable[[], dict[str, Figure]]] = {
    "reports": single.reports,
    "passed_on": single.passed_on,
    "exchanges": single.exchanges,
    "heartbeats": single.heartbeats,
    "refreshes": single.refreshes,
    "decisions": single.decisions,
    "memory": single.memory,
    "loads": whole.loads,
    "jobs": whole.jobs,
}


def processor() -> str:
    """The processor's name, as the system gives it."""
    try:
        lines = Path("/proc/cpuinfo").read_text().splitlines()
    except OSError:
        return platform.machine()
    names = [line.partition(":")[2].strip() for line in lines if line.startswith("model name")]
    return names[0] if names else platform.machine()


def measure(groups: list[str]) -> Slopes:
    """Run the groups one after the other."""
    load_before = os.getloadavg()[0]
    figures: dict[str, Figure] = {}
    for name in groups:
        began = time.monotonic()
        figures.update(GROUPS[name]())
        print(f"{name}: {time.monotonic() - began:.1f} s", file=sys.stderr)
    host = Host(
        processor(),
        os.cpu_count() or 0,
        platform.python_version(),
        [round(load_before, 2), round(os.getloadavg()[0], 2)],
    )
    return Slopes(time.strftime("%Y-%m-%d", time.gmtime()), host, figures)


def renew(check: bool) -> int:
    """Write the page's tables from the slopes, or say whether that would change it."""
    try:
        slopes = read(SLOPES)
        text = PAGE.read_text(encoding="utf-8")
        renewed = page.renewed(text, slopes)
    except (OSError, msgspec.MsgspecError, KeyError, ValueError) as exc:
        print(f"the page can't be renewed: {exc!r}", file=sys.stderr)
        return 2
    if check:
        if renewed != text:
            print(f"{PAGE} is not what {SLOPES} gives", file=sys.stderr)
        return int(renewed != text)
    PAGE.write_text(renewed, encoding="utf-8")
    return 0


def main() -> int:
    """The command line."""
    args = argparse.ArgumentParser(description="Measured costs, and the capacity page.")
    args.add_argument("-o", "--output", type=Path, default=SLOPES)
    args.add_argument("--only", choices=GROUPS, help="print one group's figures, write nothing")
    args.add_argument("--pool", type=Path, nargs="+", metavar="RUN", help="make one of these")
    args.add_argument("--page", action="store_true", help=f"renew the tables of {PAGE}")
    args.add_argument("--check", action="store_true", help="with --page: only compare")
    chosen = args.parse_args()
    if chosen.check and not chosen.page:
        args.error("--check goes with --page")
    if chosen.page:
        return renew(chosen.check)
    if chosen.pool:
        try:
            write(chosen.output, pooled([read(path) for path in chosen.pool]))
        except (OSError, msgspec.MsgspecError, ValueError) as exc:
            print(f"the runs can't be pooled: {exc}", file=sys.stderr)
            return 2
        return 0
    if chosen.only:
        for name, found in measure([chosen.only]).figures.items():
            print(
                f"{name}: {found.median:.4g} {found.unit} "
                f"({found.lower_quartile:.4g} to {found.upper_quartile:.4g}, {found.repeats})"
            )
        return 0
    write(chosen.output, measure(list(GROUPS)))
    return 0


if __name__ == "__main__":
    raise SystemExit(main())
