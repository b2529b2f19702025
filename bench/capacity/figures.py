"""Measured figures with their spread, and the file that stores them."""

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
    """The machine that took the measurements, and its load meanwhile."""

    processor: str
    cores: int
    python: str
    loads: list[float]  # load averages before and after each run


class Slopes(msgspec.Struct, frozen=True):
    """All figures of a measurement by name."""

    measured_at: str
    host: Host
    figures: dict[str, Figure]

    def median(self, name: str) -> float:
        """Return the median of a figure; raises KeyError if it was not measured."""
        return self.figures[name].median


def summarize(unit: str, values: Sequence[float]) -> Figure:
    """Return the median and quartiles of repeated measurements."""
    if not values:
        raise ValueError("no measurement")
    if len(values) == 1:
        return Figure(unit, values[0], values[0], values[0], 1)
    lower, median, upper = statistics.quantiles(values, n=4, method="inclusive")
    return Figure(unit, median, lower, upper, len(values))


def pool_runs(runs: Sequence[Slopes]) -> Slopes:
    """Combine runs into one: the medians of their medians, and their outermost quartiles.

    Other work on the machine changes the results of a whole run more than the repeats within the
    run show.
    """
    first = runs[0]
    if any(run.figures.keys() != first.figures.keys() for run in runs):
        raise ValueError("the runs don't hold the same figures")
    host = msgspec.structs.replace(
        first.host, loads=[load for run in runs for load in run.host.loads]
    )
    figures = {}
    for name, sample in first.figures.items():
        samples = [run.figures[name] for run in runs]
        figures[name] = Figure(
            sample.unit,
            statistics.median(run_figure.median for run_figure in samples),
            min(run_figure.lower_quartile for run_figure in samples),
            max(run_figure.upper_quartile for run_figure in samples),
            sum(run_figure.repeats for run_figure in samples),
        )
    return Slopes(first.measured_at, host, figures)


def read_slopes(path: Path) -> Slopes:
    """Read the slopes file.

    Raises:
        msgspec.DecodeError: The content is invalid; the message says why.
    """
    return msgspec.json.decode(path.read_bytes(), type=Slopes)


def write_slopes(path: Path, slopes: Slopes) -> None:
    """Write the slopes file with one value per line, so that versions can be compared."""
    path.parent.mkdir(parents=True, exist_ok=True)
    path.write_bytes(msgspec.json.format(msgspec.json.encode(slopes), indent=1) + b"\n")
