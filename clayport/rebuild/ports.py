"""The interface through which this package uses the parts of a controller."""

from __future__ import annotations

from typing import Protocol

from clayport.jobs.lifecycle import JobLifecycle
from clayport.jobs.registry import JobRegistry
from clayport.machines.fleet import Fleet
from clayport.machines.table import MachineTable
from clayport.membership.state import MembershipState
from clayport.rebuild.support import RebuildSupport
from clayport.records.progress import ReadProgress
from clayport.records.store import StateStore
from clayport.records.upgrade import UpgradeState
from clayport.records.versions import VersionTracker
from clayport.routines import Routines
from clayport.scaling.cloud import Cloud
from clayport.scheduling.quotas import TeamQuotas
from clayport.scheduling.view import ClusterView
from clayport.settings import Settings
from clayport.transport.peers import Peer


class RebuildParts(Protocol):
    """The parts of a controller that hold, read or write records."""

    settings: Settings
    membership: MembershipState
    routines: Routines
    store: StateStore
    cloud: Cloud
    peers: dict[str, Peer]
    jobs: JobRegistry
    quotas: TeamQuotas
    upgrade: UpgradeState
    view: ClusterView
    machines: MachineTable
    fleet: Fleet
    lifecycle: JobLifecycle
    progress: ReadProgress
    versions: VersionTracker
    rebuild: RebuildSupport
