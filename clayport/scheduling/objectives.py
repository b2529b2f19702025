"""Service-level objectives: what the settings ask for each class of jobs.

No I/O and no clock here.
"""

from __future__ import annotations

from collections.abc import Iterable

from clayport.settings import Objective


class Objectives:
    """The objectives by class of jobs; times are in seconds.

    Attributes:
        finish_all: The times within which a class's jobs are to finish, ascending: a job that
            can't keep the first may still keep the next.
        deadline_times: The multiples of a job's own deadline that are objectives, ascending.
        finish_limits: The shortest of `finish_all`.
        wait_limits: The time within which a class's jobs are to start.
        classes: Every class that an objective names.
    """

    def __init__(self, objectives: Iterable[Objective]) -> None:
        named = [objective for objective in objectives if objective.job_class]
        self.finish_all = _ascending(
            (objective.job_class, objective.within_s)
            for objective in named
            if objective.kind == "finished"
        )
        self.deadline_times = _ascending(
            (objective.job_class, objective.times)
            for objective in named
            if objective.kind == "deadline"
        )
        self.finish_limits = {name: times[0] for name, times in self.finish_all.items()}
        self.wait_limits = {
            objective.job_class: objective.within_s
            for objective in named
            if objective.kind == "wait" and objective.job_class and objective.within_s
        }
        self.classes = {objective.job_class for objective in named if objective.job_class}


def _ascending(rows: Iterable[tuple[str | None, float | None]]) -> dict[str, list[float]]:
    """Return the distinct values of each class in ascending order, of rows that have both."""
    by_class: dict[str, list[float]] = {}
    for name, value in rows:
        if name and value:
            by_class[name] = sorted({*by_class.get(name, ()), value})
    return by_class
