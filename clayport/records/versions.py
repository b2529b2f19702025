"""Counts which formats the controllers understand, and completes an upgrade by it."""

from __future__ import annotations

import logging
from typing import Any

from clayport.jobs.registry import JobRegistry
from clayport.membership.state import MembershipState
from clayport.records.formats import FORMAT, PROMISES_FORMAT
from clayport.records.keys import VERSION_PREFIX
from clayport.records.lookups import Lookups
from clayport.records.store import StateStore
from clayport.records.upgrade import UpgradeState
from clayport.routines import Routines
from clayport.settings import Settings

log = logging.getLogger(__name__)


class VersionTracker:
    """Keeps `UpgradeState` by the records of the controllers' versions.

    Args:
        jobs: The jobs whose drivers look again once the upgrade is complete.
        lookups: Its batches grow with the limits of the store.
        membership: The present epoch.
        routines: The signals of this process.
        settings: The labels of all controllers, and the limits of the store.
        store: Its rates are those of the limits.
        upgrade: What is kept.
    """

    def __init__(
        self,
        *,
        jobs: JobRegistry,
        lookups: Lookups,
        membership: MembershipState,
        routines: Routines,
        settings: Settings,
        store: StateStore,
        upgrade: UpgradeState,
    ) -> None:
        self.jobs = jobs
        self.lookups = lookups
        self.membership = membership
        self.routines = routines
        self.settings = settings
        self.store = store
        self.upgrade = upgrade

    def count_versions(self) -> None:
        """Note whether every controller of the settings, present or not, understands FORMAT.

        And whether the epoch began after the last of them had said so: what their
        predecessors have on its way fails under it. Once true, it stays.
        """
        found = [self.upgrade.formats.get(label, (0, 0)) for label in self.settings.labels]
        if self.membership.epoch.rev <= max(rev for _, rev in found):
            return
        self.upgrade.promises_enabled = self.upgrade.promises_enabled or all(
            number >= PROMISES_FORMAT for number, _ in found
        )
        if self.upgrade.complete or any(number < FORMAT for number, _ in found):
            return
        self.upgrade.complete = True
        self.upgrade.limits = self.settings.cluster.state.least()
        self.store.set_rates(self.upgrade.limits.rps, self.upgrade.limits.write_rps)
        self.lookups.most = 4 * self.upgrade.limits.txn_ops
        log.info(
            "event=upgraded format=%d value_kb=%g txn_ops=%d write_rps=%g",
            FORMAT,
            self.upgrade.limits.value_kb,
            self.upgrade.limits.txn_ops,
            self.upgrade.limits.write_rps,
        )
        for managed in self.jobs.managed.values():
            self.routines.signal(managed.name)

    def note_version(self, label: str, value: Any, rev: int) -> None:
        """Enter the record of a controller's version.

        A malformed one counts as format 0: the controller writes it anew.

        Args:
            label: The controller.
            value: The record.
            rev: Its revision.
        """
        try:
            self.upgrade.formats[label] = (int(value["format"]), rev)
        except (KeyError, TypeError, ValueError) as exc:
            log.error("key=%s%s event=malformed-value cause=%r", VERSION_PREFIX, label, exc)
            self.upgrade.formats[label] = (0, rev)
