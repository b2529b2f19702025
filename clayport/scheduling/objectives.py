"""The service-level objectives that the settings set for each class of jobs.

This module does no I/O and reads no clock.
"""

from __future__ import annotations

from collections.abc import Iterable

from clayport.settings import Objective


class Objectives:
    """The objectives of each class of jobs; times are in seconds.

    Attributes:
        all_finish_limits: The times within which a class's jobs should finish, ascending. A job
            that misses the first may still meet the next.
        deadline_multiples: The multiples of a job's own deadline that are objectives, ascending.
        finish_limits: The shortest time of each class in `all_finish_limits`.
        wait_limits: The time within which a class's jobs should start.
        classes: All classes that have an objective.
    """

    def __init__(self, objectives: Iterable[Objective]) -> None:
        class_objectives = [objective for objective in objectives if objective.job_class]
        self.all_finish_limits = _ascending(
            (objective.job_class, objective.within_s)
            for objective in class_objectives
            if objective.kind == "finished"
        )
        self.deadline_multiples = _ascending(
            (objective.job_class, objective.times)
            for objective in class_objectives
            if objective.kind == "deadline"
        )
        self.finish_limits = {name: times[0] for name, times in self.all_finish_limits.items()}
        self.wait_limits = {
            objective.job_class: objective.within_s
            for objective in class_objectives
            if objective.kind == "wait" and objective.job_class and objective.within_s
        }
        self.classes = {
            objective.job_class for objective in class_objectives if objective.job_class
        }


def _ascending(rows: Iterable[tuple[str | None, float | None]]) -> dict[str, list[float]]:
    """Return the distinct values of each class, ascending; skip rows without class or value."""
    by_class: dict[str, list[float]] = {}
    for name, value in rows:
        if name and value:
            by_class[name] = sorted({*by_class.get(name, ()), value})
    return by_class
