"""What the settings guarantee to each team, and what its tasks may use at most."""

from __future__ import annotations

from collections.abc import Iterable

from clayport.settings import Team


class TeamQuotas:
    """Guarantees and limits by team, each as (CPUs, GPUs); a limit of 0 means none.

    Attributes:
        guarantees: What a team is sure of.
        limits: What its tasks may use at a time.
    """

    def __init__(self, teams: Iterable[Team]) -> None:
        teams = list(teams)
        self.guarantees = {team.name: (team.cpus, team.gpus) for team in teams}
        self.limits = {team.name: (team.cpus_max, team.gpus_max) for team in teams}
