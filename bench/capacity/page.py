"""The tables of docs/CAPACITY.md, written from the slopes between marks in its text."""

from __future__ import annotations

import re
from collections.abc import Callable, Iterable, Sequence

from . import model
from .figures import Slopes
from .size import CELLS, LIMITS, MIXES, ONE_FLEET, PROCESS_CELLS, REGION_CELLS, SIZE, Layout

MARK = re.compile(r"(<!-- table: ([\w-]+) -->\n).*?(<!-- end -->)", re.DOTALL)


def number(value: float) -> str:
    """Three digits, without an exponent."""
    if value == 0:
        return "0"
    if abs(value) >= 1000:
        return f"{value:,.0f}"
    return f"{value:.3g}"


def table(head: Sequence[str], rows: Iterable[Sequence[str]]) -> str:
    """A table in Markdown."""
    lines = [" | ".join(head), " | ".join("---" for _ in head)]
    lines += [" | ".join(row) for row in rows]
    return "".join(f"| {line} |\n" for line in lines)


def measured(slopes: Slopes) -> str:
    """Where and when it was measured."""
    host = slopes.host
    return (
        f"Measured on {slopes.measured_at}, {host.processor}, {host.cores} cores, Python\n"
        f"{host.python}, in {len(host.loads) // 2} runs. The machine was busy with other work "
        f"meanwhile: load\n{min(host.loads)} to {max(host.loads)}. Times are processor time; "
        "medians of the runs' medians, and their outermost quartiles.\n"
    )


def all_slopes(slopes: Slopes) -> str:
    """Every figure of the file but the byte and message counts of the days."""
    return table(
        ("what", "median", "quartiles", "repeats"),
        (
            (
                name,
                f"{number(found.median * scale)} {unit}",
                f"{number(found.lower_quartile * scale)} to {number(found.upper_quartile * scale)}",
                str(found.repeats),
            )
            for name, found in slopes.figures.items()
            if not re.search(r"_task_jobs\.", name)
            for scale, unit in [(1e6, "µs") if found.unit == "s" else (1.0, found.unit)]
        ),
    )


DAY_COLUMNS = (
    ("state requests", "state.messages"),
    ("transactions that change", "state.changes"),
    ("of them refused", "state.conflicts"),
    ("puts and deletes", "state.operations"),
    ("conditions", "state.conditions"),
    ("bytes to the state service", "state.bytes"),
    ("frames between controllers", "peers.messages"),
    ("their bytes", "peers.bytes"),
    ("commands", "commands.messages"),
    ("own code, µs", "seconds"),
)


def days(slopes: Slopes) -> str:
    """What one start, end, poll and cancellation cost in the simulated day."""
    found = []
    for part, of in (
        ("start", "a task's start"),
        ("end", "a task's end"),
        ("poll", "a poll"),
        ("cancel", "a job's cancellation"),
    ):
        for tasks in MIXES:
            for team in ("limited", "free"):
                prefix = f"{part}.{tasks}_task_jobs.{team}"
                values = [
                    slopes.median(f"{prefix}.{name}") * (1e6 if name == "seconds" else 1)
                    for _, name in DAY_COLUMNS
                ]
                found.append(
                    (of, str(tasks), "yes" if team == "limited" else "no", *map(number, values))
                )
    head = ("", "tasks a job", "team has a limit", *(title for title, _ in DAY_COLUMNS))
    return table(head, found)


def operations(slopes: Slopes) -> str:
    """What a start costs in operations, against the state service's limit at the peak."""
    return table(
        (
            "tasks a job",
            "team has a limit",
            "a start",
            "an end",
            "both",
            f"times one service's limit of {LIMITS.state_writes:g}/s",
            f"times {SIZE.zones} services' limits",
        ),
        (
            (
                str(tasks),
                "yes" if team == "limited" else "no",
                number(start),
                number(end),
                number(both),
                number(peak),
                number(peak / SIZE.zones),
            )
            for tasks, team, start, end, both, peak in model.operations(slopes)
        ),
    )


def roles(slopes: Slopes, layout: Layout) -> str:
    """Every role's rows for one layout, in the order of the roles."""
    return table(
        (
            "role",
            "resource",
            *(f"{tasks}-task jobs" for tasks in MIXES),
            "limit",
            "times the limit",
            "carried by",
            "state",
        ),
        (
            (
                row.role,
                row.resource,
                *map(number, row.needed),
                f"{number(row.limit)} {row.unit}".strip(),
                f"{number(row.factor)} to {number(row.worst)}",
                row.carried_by,
                row.state,
            )
            for row in model.rows(slopes, layout)
        ),
    )


def verdict(slopes: Slopes) -> str:
    """The rows that fail, the worst first, by the mildest mix and then by the worst."""
    found = []
    for layout in (ONE_FLEET, REGION_CELLS, CELLS, PROCESS_CELLS):
        failing = [row for row in model.rows(slopes, layout) if row.worst > 1]
        failing.sort(key=lambda row: (row.factor, row.worst), reverse=True)
        found += [
            (layout.name, row.role, row.resource, number(row.factor), number(row.worst))
            for row in failing
        ]
    head = ("layout", "role", "resource", "times the limit, mildest mix", "worst mix")
    return table(head, found)


def worker(slopes: Slopes) -> str:
    """What control costs a worker in bytes."""
    return table(
        ("a worker's reports", "bytes a second", "limit", "share of the limit"),
        (
            (
                what,
                number(value),
                number(SIZE.worker_bytes_a_second),
                number(value / SIZE.worker_bytes_a_second),
            )
            for what, value in model.worker_bytes(slopes)
        ),
    )


def rates(_: Slopes) -> str:
    """What a day's failures mean."""
    return table(
        ("what", "value"), ((what, number(value)) for what, value in model.failures().items())
    )


TABLES: dict[str, Callable[[Slopes], str]] = {
    "measured": measured,
    "slopes": all_slopes,
    "days": days,
    "operations": operations,
    "one-fleet": lambda slopes: roles(slopes, ONE_FLEET),
    "region-cells": lambda slopes: roles(slopes, REGION_CELLS),
    "cells": lambda slopes: roles(slopes, CELLS),
    "process-cells": lambda slopes: roles(slopes, PROCESS_CELLS),
    "verdict": verdict,
    "worker": worker,
    "rates": rates,
}


def renewed(text: str, slopes: Slopes) -> str:
    """The page with its tables written anew; KeyError for a mark or a figure that is unknown."""
    return MARK.sub(
        lambda match: f"{match[1]}{TABLES[match[2]](slopes)}{match[3]}",
        text,
    )
