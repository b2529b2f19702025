"""A measured figure with its spread, and the file that holds all of them."""

from __future__ import annotations

import statistics
from collections.abc import Sequence
from pathlib import Path

import msgspec


class Figure(msgspec.Struct, frozen=True):
    """Median and quartiles of repeated measurements of one quantity."""

    unit: str
    median: float
    lower_quartile: float
    upper_quartile: float
    repeats: int


class Host(msgspec.Struct, frozen=True):
    """The machine that measured, and how busy it was with other work meanwhile."""

    processor: str
    cores: int
    python: str
    loads: list[float]  # load averages before and after each run


class Slopes(msgspec.Struct, frozen=True):
    """Everything that one run of the measurement found, by name."""

    measured_at: str
    host: Host
    figures: dict[str, Figure]

    def median(self, name: str) -> float:
        """The median of one figure; KeyError names one that was not measured."""
        return self.figures[name].median


def figure(unit: str, values: Sequence[float]) -> Figure:
    """The figure that repeated measurements give."""
    if not values:
        raise ValueError("no measurement")
    if len(values) == 1:
        return Figure(unit, values[0], values[0], values[0], 1)
    lower, median, upper = statistics.quantiles(values, n=4, method="inclusive")
    return Figure(unit, median, lower, upper, len(values))


def pooled(runs: Sequence[Slopes]) -> Slopes:
    """Several runs as one: the median of their medians, the outermost of their quartiles.

    What else a machine does changes a whole run more than the repeats within it show.
    """
    first = runs[0]
    if any(run.figures.keys() != first.figures.keys() for run in runs):
        raise ValueError("the runs don't hold the same figures")
    host = msgspec.structs.replace(
        first.host, loads=[load for run in runs for load in run.host.loads]
    )
    figures = {}
    for name, found in first.figures.items():
        rows = [run.figures[name] for run in runs]
        figures[name] = Figure(
            found.unit,
            statistics.median(row.median for row in rows),
            min(row.lower_quartile for row in rows),
            max(row.upper_quartile for row in rows),
            sum(row.repeats for row in rows),
        )
    return Slopes(first.measured_at, host, figures)


def read(path: Path) -> Slopes:
    """The slopes file; msgspec's error says what is wrong with it."""
    return msgspec.json.decode(path.read_bytes(), type=Slopes)


def write(path: Path, slopes: Slopes) -> None:
    """Write the slopes file, one line for each value so that changes can be compared."""
    path.parent.mkdir(parents=True, exist_ok=True)
    path.write_bytes(msgspec.json.format(msgspec.json.encode(slopes), indent=1) + b"\n")
