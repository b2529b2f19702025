"""Attempts that were to be launched, so that a repeated request does not launch one again.

An owner drops a task once it has been cleared or is gone. Late copies of the requests to reserve
room for the task and to launch it would then start the task a second time.
"""

from __future__ import annotations

from clayport.model import split_task_id


class LaunchedAttempts:
    """The newest attempt of each live job that a leader has asked this owner to launch.

    Attempt numbers of a job rise within an epoch. Only replacements for lost tasks of a gang that
    waits for its start have the number of the attempt before, each on another machine.
    """

    def __init__(self) -> None:
        # The attempt by job, with the places (machine, task number) where it was to be launched.
        self._newest: dict[str, tuple[int, set[tuple[str, int]]]] = {}

    def note(self, machine: str, task: str, attempt: int) -> None:
        """Record that a leader has asked for the launch of a task on a machine."""
        job, number = split_task_id(task)
        newest, places = self._newest.get(job, (0, set()))
        if attempt > newest:
            self._newest[job] = (attempt, {(machine, number)})
        elif attempt == newest:
            places.add((machine, number))

    def may_reserve(self, job: str, number: int, attempt: int, machine: str) -> bool:
        """Return whether room may be reserved for a task, which was not launched there before."""
        newest, places = self._newest.get(job, (0, set()))
        return attempt > newest or (attempt == newest and (machine, number) not in places)

    def forget_job(self, job: str) -> None:
        """Forget a job that has ended, for which no room is reserved any more."""
        self._newest.pop(job, None)

    def forget_all(self) -> None:
        """Forget all jobs at the begin of an epoch, in which requests of the last are refused."""
        self._newest.clear()
