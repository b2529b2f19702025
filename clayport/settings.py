"""Reads and checks the platform's settings file.

Unknown fields are ignored, because the platform may add fields. A missing or invalid field is
reported by name.
"""

from __future__ import annotations

from typing import Annotated

import msgspec

Positive = Annotated[float, msgspec.Meta(gt=0)]
NonNegative = Annotated[float, msgspec.Meta(ge=0)]
Count = Annotated[int, msgspec.Meta(ge=1)]
Name = Annotated[str, msgspec.Meta(min_length=1, max_length=200)]
MAX_PORT = 65535


class ConfigError(Exception):
    """The settings are invalid; the text names the field."""


class Member(msgspec.Struct, frozen=True):
    """Another controller: its label, zone and `host:port` for peers."""

    label: Name
    location: str
    address: str


class Services(msgspec.Struct, frozen=True):
    """The `host:port` of the cloud API and of the state service."""

    cloud: str
    state: str


class Team(msgspec.Struct, frozen=True):
    """A team's quota (its guaranteed share) and its limit; a limit of 0 means no limit."""

    name: Name
    cpus: NonNegative = 0.0
    cpus_max: NonNegative = 0.0
    gpus: NonNegative = 0.0
    gpus_max: NonNegative = 0.0


class Objective(msgspec.Struct, frozen=True):
    """A service-level objective for a class of jobs.

    Attributes:
        kind: The kind of objective, for example `wait` or `finished`.
        job_class: The class of jobs to which the objective applies.
        within_s: The bound in seconds.
        share: The share of the jobs that must meet the objective.
        times: The bound as a multiple of a job's own deadline.
    """

    kind: str
    job_class: str | None = msgspec.field(name="class", default=None)
    within_s: float | None = None
    share: float | None = None
    times: float | None = None


class WorkerSettings(msgspec.Struct, frozen=True):
    """Intervals and lease times of the worker protocol, in seconds."""

    report_s: Positive
    lease_s: Positive
    gang_wait_s: Positive
    gang_peer_s: Positive
    cancel_s: Positive


class NextLimits(msgspec.Struct, frozen=True):
    """The limits of the state service after a coming upgrade.

    A limit that is absent does not change.
    """

    rps: Positive | None = None
    write_rps: Positive | None = None
    value_kb: Annotated[float, msgspec.Meta(ge=1)] | None = None
    txn_ops: Annotated[int, msgspec.Meta(ge=4)] | None = None


class StateSettings(msgspec.Struct, frozen=True):
    """Limits of the state service, a consistent key-value store.

    Attributes:
        rps: Requests per second.
        write_rps: Writes per second.
        value_kb: The size of a value in KiB.
        txn_ops: The number of writes in a transaction.
        next: The limits after a coming upgrade, if any.
    """

    rps: Positive
    write_rps: Positive
    value_kb: Positive
    txn_ops: Annotated[int, msgspec.Meta(ge=4)]
    next: NextLimits | None = None

    def strictest(self) -> StateSettings:
        """Return the limits that hold before and after the upgrade: the smaller of each pair."""
        next_limits = self.next or NextLimits()
        return StateSettings(
            min(self.rps, next_limits.rps or self.rps),
            min(self.write_rps, next_limits.write_rps or self.write_rps),
            min(self.value_kb, next_limits.value_kb or self.value_kb),
            min(self.txn_ops, next_limits.txn_ops or self.txn_ops),
        )


class CloudSettings(msgspec.Struct, frozen=True):
    """The rate limit of the cloud API (requests per second) and the lag of its list (seconds)."""

    rps: Positive
    list_lag_s: NonNegative


class ProcessLimits(msgspec.Struct, frozen=True):
    """Resources that a controller process may use: share of a core, memory (MB), sockets."""

    core_share: Positive = 1.0
    mem_mb: Positive = 146.0
    max_sockets: Annotated[int, msgspec.Meta(ge=16)] = 500


class Cluster(msgspec.Struct, frozen=True):
    """The settings that all controllers of a deployment share."""

    size: Count
    zones: list[Name]
    teams: list[Team]
    workers: WorkerSettings
    state: StateSettings
    cloud: CloudSettings
    objectives: list[Objective] = []
    machine_limits: ProcessLimits = ProcessLimits()
    clock_error_ms: NonNegative = 0.0


class Settings(msgspec.Struct, frozen=True):
    """The whole settings file of one controller."""

    label: Name
    bind: str
    peer_bind: str
    members: list[Member]
    services: Services
    cluster: Cluster
    location: str = ""

    @property
    def labels(self) -> list[str]:
        """The labels of all controllers, including this one."""
        return sorted([self.label, *(m.label for m in self.members)])


def parse_endpoint(text: str, field: str) -> tuple[str, int]:
    """Split `host:port`.

    Raises:
        ConfigError: The text is not a valid `host:port`; the error names `field`.
    """
    host, _, port = text.rpartition(":")
    if not host or not port.isdigit() or not 0 < int(port) <= MAX_PORT:
        raise ConfigError(f"{field}: {text!r} is not host:port")
    return host, int(port)


def parse(raw: bytes) -> Settings:
    """Parse and check the settings.

    Raises:
        ConfigError: The text is not JSON, a field is missing or invalid, or fields contradict
            each other.
    """
    try:
        settings = msgspec.json.decode(raw, type=Settings)
    except msgspec.ValidationError as exc:
        raise ConfigError(str(exc)) from None
    except (msgspec.DecodeError, UnicodeDecodeError) as exc:
        raise ConfigError(f"not JSON: {exc}") from None
    _check_addresses(settings)
    _check_members(settings)
    _check_teams(settings.cluster.teams)
    workers = settings.cluster.workers
    if workers.cancel_s <= workers.lease_s:
        raise ConfigError("cluster.workers.cancel_s: must be longer than lease_s")
    return settings


def _check_addresses(settings: Settings) -> None:
    parse_endpoint(settings.bind, "bind")
    parse_endpoint(settings.peer_bind, "peer_bind")
    parse_endpoint(settings.services.cloud, "services.cloud")
    parse_endpoint(settings.services.state, "services.state")
    for index, member in enumerate(settings.members):
        parse_endpoint(member.address, f"members[{index}].address")


def _check_members(settings: Settings) -> None:
    if len(set(settings.labels)) != len(settings.members) + 1:
        raise ConfigError("members: two controllers have the same label")
    if settings.cluster.size != len(settings.members) + 1:
        raise ConfigError("cluster.size: must be one more than the number of members")


def _check_teams(teams: list[Team]) -> None:
    if len({team.name for team in teams}) != len(teams):
        raise ConfigError("cluster.teams: two teams have the same name")
    for team in teams:
        if 0 < team.cpus_max < team.cpus or 0 < team.gpus_max < team.gpus:
            raise ConfigError(f"cluster.teams: {team.name} is guaranteed more than its limit")


def load(path: str) -> Settings:
    """Read the settings from a file.

    Raises:
        ConfigError: The file can't be read, or its contents are invalid.
    """
    try:
        with open(path, "rb") as file:
            return parse(file.read())
    except OSError as exc:
        raise ConfigError(f"{path}: {exc.strerror}") from None
