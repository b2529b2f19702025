"""What the settings' objectives ask of each class of jobs. Pure: no I/O, no clock."""

from __future__ import annotations

from collections.abc import Iterable

from clayport.settings import Objective


class Objectives:
    """The objectives by class; all times are in seconds.

    Attributes:
        finish_all: The times within which a class's jobs are to finish, ascending: a job that
            can't keep the first may still keep the next.
        deadline_times: The multiples of a job's own deadline that are aimed at, ascending.
        finish_limits: The shortest of `finish_all`.
        wait_limits: The time within which a class's jobs are to start.
        classes: Every class that an objective names.
    """

    def __init__(self, objectives: Iterable[Objective]) -> None:
        objectives = [aim for aim in objectives if aim.job_class]
        self.finish_all = _ascending(
            (aim.job_class, aim.within_s) for aim in objectives if aim.kind == "finished"
        )
        self.deadline_times = _ascending(
            (aim.job_class, aim.times) for aim in objectives if aim.kind == "deadline"
        )
        self.finish_limits = {name: times[0] for name, times in self.finish_all.items()}
        self.wait_limits = {
            aim.job_class: aim.within_s
            for aim in objectives
            if aim.kind == "wait" and aim.job_class and aim.within_s
        }
        self.classes = {aim.job_class for aim in objectives if aim.job_class}


def _ascending(rows: Iterable[tuple[str | None, float | None]]) -> dict[str, list[float]]:
    """The distinct values of each class in ascending order; rows without a value are left out."""
    found: dict[str, list[float]] = {}
    for name, value in rows:
        if name and value:
            found[name] = sorted({*found.get(name, ()), value})
    return found
