"""The generated tables of docs/CAPACITY.md, written between markers in its text."""

from __future__ import annotations

import re
from collections.abc import Callable, Iterable, Sequence

from . import model
from .figures import Slopes
from .size import (
    CELLS,
    JOB_SIZES,
    LIMITS,
    ONE_FLEET,
    PROCESS_CELLS,
    REGION_CELLS,
    TARGET_SIZE,
    Layout,
)

MARK = re.compile(r"(<!-- table: ([\w-]+) -->\n).*?(<!-- end -->)", re.DOTALL)


def format_number(value: float) -> str:
    """Format a number with three significant digits, without an exponent."""
    if value == 0:
        return "0"
    if abs(value) >= 1000:
        return f"{value:,.0f}"
    return f"{value:.3g}"


def markdown_table(header: Sequence[str], rows: Iterable[Sequence[str]]) -> str:
    """Return a Markdown table."""
    lines = [" | ".join(header), " | ".join("---" for _ in header)]
    lines += [" | ".join(row) for row in rows]
    return "".join(f"| {line} |\n" for line in lines)


def measurement_conditions(slopes: Slopes) -> str:
    """Return the paragraph that says when and where the slopes were measured."""
    host = slopes.host
    return (
        f"Measured on {slopes.measured_at}, {host.processor}, {host.cores} cores, Python\n"
        f"{host.python}, in {len(host.loads) // 2} runs. The machine was busy with other work "
        f"meanwhile: load\n{min(host.loads)} to {max(host.loads)}. Times are processor time; "
        "medians of the runs' medians, and their outermost quartiles.\n"
    )


def slopes_table(slopes: Slopes) -> str:
    """Return the table of all figures except those of the simulated days."""
    return markdown_table(
        ("what", "median", "quartiles", "repeats"),
        (
            (
                name,
                f"{format_number(measured.median * scale)} {unit}",
                f"{format_number(measured.lower_quartile * scale)} to "
                f"{format_number(measured.upper_quartile * scale)}",
                str(measured.repeats),
            )
            for name, measured in slopes.figures.items()
            if not re.search(r"_task_jobs\.", name)
            for scale, unit in [(1e6, "µs") if measured.unit == "s" else (1.0, measured.unit)]
        ),
    )


DAY_COST_COLUMNS = (
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


def day_costs_table(slopes: Slopes) -> str:
    """Return the table of what a start, end, poll and cancellation cost in the simulated day."""
    rows = []
    for part, event in (
        ("start", "a task's start"),
        ("end", "a task's end"),
        ("poll", "a poll"),
        ("cancel", "a job's cancellation"),
    ):
        for tasks in JOB_SIZES:
            for team in ("limited", "free"):
                prefix = f"{part}.{tasks}_task_jobs.{team}"
                values = [
                    slopes.median(f"{prefix}.{name}") * (1e6 if name == "seconds" else 1)
                    for _, name in DAY_COST_COLUMNS
                ]
                rows.append(
                    (
                        event,
                        str(tasks),
                        "yes" if team == "limited" else "no",
                        *map(format_number, values),
                    )
                )
    header = ("", "tasks a job", "team has a limit", *(title for title, _ in DAY_COST_COLUMNS))
    return markdown_table(header, rows)


def operations_table(slopes: Slopes) -> str:
    """Return the table of the operations of a start and an end on the state service.

    The table also compares the operations at the peak with the limit of the state service.
    """
    return markdown_table(
        (
            "tasks a job",
            "team has a limit",
            "a start",
            "an end",
            "both",
            f"times one service's limit of {LIMITS.state_writes:g}/s",
            f"times {TARGET_SIZE.zones} services' limits",
        ),
        (
            (
                str(tasks),
                "yes" if team == "limited" else "no",
                format_number(start),
                format_number(end),
                format_number(both),
                format_number(peak),
                format_number(peak / TARGET_SIZE.zones),
            )
            for tasks, team, start, end, both, peak in model.state_operations(slopes)
        ),
    )


def roles_table(slopes: Slopes, layout: Layout) -> str:
    """Return the table of every role's rows for one layout."""
    return markdown_table(
        (
            "role",
            "resource",
            *(f"{tasks}-task jobs" for tasks in JOB_SIZES),
            "limit",
            "times the limit",
            "carried by",
            "state",
        ),
        (
            (
                row.role,
                row.resource,
                *map(format_number, row.demand),
                f"{format_number(row.limit)} {row.unit}".strip(),
                f"{format_number(row.lowest_load_ratio)}"
                f" to {format_number(row.highest_load_ratio)}",
                row.carried_by,
                row.state,
            )
            for row in model.layout_rows(slopes, layout)
        ),
    )


def exceeded_limits_table(slopes: Slopes) -> str:
    """Return the table of rows over their limit, per layout, the highest ratios first."""
    rows = []
    for layout in (ONE_FLEET, REGION_CELLS, CELLS, PROCESS_CELLS):
        exceeded = [row for row in model.layout_rows(slopes, layout) if row.highest_load_ratio > 1]
        exceeded.sort(key=lambda row: (row.lowest_load_ratio, row.highest_load_ratio), reverse=True)
        rows += [
            (
                layout.name,
                row.role,
                row.resource,
                format_number(row.lowest_load_ratio),
                format_number(row.highest_load_ratio),
            )
            for row in exceeded
        ]
    header = ("layout", "role", "resource", "times the limit, mildest mix", "worst mix")
    return markdown_table(header, rows)


def worker_table(slopes: Slopes) -> str:
    """Return the table of the control traffic of a worker, in bytes per second."""
    return markdown_table(
        ("a worker's reports", "bytes a second", "limit", "share of the limit"),
        (
            (
                what,
                format_number(value),
                format_number(TARGET_SIZE.worker_bytes_per_second),
                format_number(value / TARGET_SIZE.worker_bytes_per_second),
            )
            for what, value in model.worker_traffic(slopes)
        ),
    )


def failures_table(_: Slopes) -> str:
    """Return the table of what a day's failures cause."""
    return markdown_table(
        ("what", "value"),
        ((what, format_number(value)) for what, value in model.failure_rates().items()),
    )


TABLES: dict[str, Callable[[Slopes], str]] = {
    "measured": measurement_conditions,
    "slopes": slopes_table,
    "days": day_costs_table,
    "operations": operations_table,
    "one-fleet": lambda slopes: roles_table(slopes, ONE_FLEET),
    "region-cells": lambda slopes: roles_table(slopes, REGION_CELLS),
    "cells": lambda slopes: roles_table(slopes, CELLS),
    "process-cells": lambda slopes: roles_table(slopes, PROCESS_CELLS),
    "verdict": exceeded_limits_table,
    "worker": worker_table,
    "rates": failures_table,
}


def rendered(text: str, slopes: Slopes) -> str:
    """Return the page with all generated tables updated.

    Raises:
        KeyError: A marker or a figure is unknown.
    """
    return MARK.sub(
        lambda match: f"{match[1]}{TABLES[match[2]](slopes)}{match[3]}",
        text,
    )
