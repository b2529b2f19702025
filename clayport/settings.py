"""The platform's settings file: read, checked and handed on as plain structures.

Unknown fields are ignored (the platform may add some); anything missing or
contradictory is reported with the name of the field.
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
    """The settings can't be used; the text names the field."""


class Member(msgspec.Struct, frozen=True):
    """Another controller: its label, its zone and its `host:port` for peers."""

    label: Name
    location: str
    address: str


class Services(msgspec.Struct, frozen=True):
    """The `host:port` of the cloud's API and of the state service."""

    cloud: str
    state: str


class Team(msgspec.Struct, frozen=True):
    """A team's quota (its guaranteed share) and limit; a limit of 0 means that there is none."""

    name: Name
    cpus: NonNegative = 0.0
    cpus_max: NonNegative = 0.0
    gpus: NonNegative = 0.0
    gpus_max: NonNegative = 0.0


class Objective(msgspec.Struct, frozen=True):
    """One service-level objective on a class of jobs.

    `kind` is for example `wait` or `finished`; `within_s` is its bound in seconds, `share` the
    share of the jobs that have to meet it, and `times` a multiple of a job's own deadline.
    """

    kind: str
    job_class: str | None = msgspec.field(name="class", default=None)
    within_s: float | None = None
    share: float | None = None
    times: float | None = None


class WorkerSettings(msgspec.Struct, frozen=True):
    """Intervals and leases of the workers' protocol, in seconds."""

    report_s: Positive
    lease_s: Positive
    gang_wait_s: Positive
    gang_peer_s: Positive
    cancel_s: Positive


class NextLimits(msgspec.Struct, frozen=True):
    """Limits that the state service will have some time after an upgrade.

    What is absent stays as it is.
    """

    rps: Positive | None = None
    write_rps: Positive | None = None
    value_kb: Annotated[float, msgspec.Meta(ge=1)] | None = None
    txn_ops: Annotated[int, msgspec.Meta(ge=4)] | None = None


class StateSettings(msgspec.Struct, frozen=True):
    """Limits of the state service, a consensus-backed key-value store.

    Requests and writes per second, KiB of a value, writes of a transaction.
    """

    rps: Positive
    write_rps: Positive
    value_kb: Positive
    txn_ops: Annotated[int, msgspec.Meta(ge=4)]
    next: NextLimits | None = None

    def least(self) -> StateSettings:
        """What may be asked of the service at any time: the smaller of both limits."""
        coming = self.next or NextLimits()
        return StateSettings(
            min(self.rps, coming.rps or self.rps),
            min(self.write_rps, coming.write_rps or self.write_rps),
            min(self.value_kb, coming.value_kb or self.value_kb),
            min(self.txn_ops, coming.txn_ops or self.txn_ops),
        )


class CloudSettings(msgspec.Struct, frozen=True):
    """Requests per second that the cloud serves, and the lag of its machine list in seconds."""

    rps: Positive
    list_lag_s: NonNegative


class Limits(msgspec.Struct, frozen=True):
    """What a controller's process may use: a share of a core, MB of memory, sockets."""

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
    machine_limits: Limits = Limits()
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
        """All controllers, this one included."""
        return sorted([self.label, *(m.label for m in self.members)])


def endpoint(text: str, field: str) -> tuple[str, int]:
    """Split `host:port`.

    Raises:
        ConfigError: The text is none; the error names `field`.
    """
    host, _, port = text.rpartition(":")
    if not host or not port.isdigit() or not 0 < int(port) <= MAX_PORT:
        raise ConfigError(f"{field}: {text!r} is not host:port")
    return host, int(port)


def parse(raw: bytes) -> Settings:
    """Decode and check the settings.

    Raises:
        ConfigError: They aren't JSON, a field is missing or invalid, or fields contradict
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
    endpoint(settings.bind, "bind")
    endpoint(settings.peer_bind, "peer_bind")
    endpoint(settings.services.cloud, "services.cloud")
    endpoint(settings.services.state, "services.state")
    for index, member in enumerate(settings.members):
        endpoint(member.address, f"members[{index}].address")


def _check_members(settings: Settings) -> None:
    if len(set(settings.labels)) != len(settings.members) + 1:
        raise ConfigError("members: a label stands twice")
    if settings.cluster.size != len(settings.members) + 1:
        raise ConfigError("cluster.size: differs from the number of members and this one")


def _check_teams(teams: list[Team]) -> None:
    if len({team.name for team in teams}) != len(teams):
        raise ConfigError("cluster.teams: a name stands twice")
    for team in teams:
        if 0 < team.cpus_max < team.cpus or 0 < team.gpus_max < team.gpus:
            raise ConfigError(f"cluster.teams: {team.name} is guaranteed more than its limit")


def load(path: str) -> Settings:
    """Read the settings from a file.

    Raises:
        ConfigError: The file can't be read, or `parse` refuses what it holds.
    """
    try:
        with open(path, "rb") as file:
            return parse(file.read())
    except OSError as exc:
        raise ConfigError(f"{path}: {exc.strerror}") from None
