"""The guarantees and limits of teams from the settings."""

from __future__ import annotations

from collections.abc import Iterable

from clayport.settings import Team


class TeamQuotas:
    """Guarantees and limits by team, each as (CPUs, GPUs); a limit of 0 means no limit.

    Attributes:
        guarantees: The resources that each team can claim, by preemption if necessary.
        limits: The most resources that a team's tasks may use at a time.
    """

    def __init__(self, teams: Iterable[Team]) -> None:
        teams = list(teams)
        self.guarantees = {team.name: (team.cpus, team.gpus) for team in teams}
        self.limits = {team.name: (team.cpus_max, team.gpus_max) for team in teams}
