"""Tracks the formats that the controllers understand, and completes rolling upgrades."""

from __future__ import annotations

import logging
from typing import Any

from clayport.jobs.registry import JobRegistry
from clayport.membership.state import MembershipState
from clayport.records.formats import FORMAT, PROMISES_FORMAT
from clayport.records.keys import VERSION_PREFIX
from clayport.records.revision_checks import RevisionChecks
from clayport.records.store import StateStore
from clayport.records.upgrade import UpgradeState
from clayport.routines import Routines
from clayport.settings import Settings

log = logging.getLogger(__name__)


class VersionTracker:
    """Updates `UpgradeState` from the version records of the controllers.

    Args:
        jobs: The managed jobs, whose routines are woken once the upgrade is complete.
        revision_checks: The batched checks of record revisions, whose batch size follows the
            limits of the state service.
        membership: The current epoch.
        routines: The signals of this process.
        settings: The labels of all controllers, and the limits of the state service.
        store: The client, whose request rates follow the limits of the state service.
        upgrade: The state that is updated.
    """

    def __init__(
        self,
        *,
        jobs: JobRegistry,
        revision_checks: RevisionChecks,
        membership: MembershipState,
        routines: Routines,
        settings: Settings,
        store: StateStore,
        upgrade: UpgradeState,
    ) -> None:
        self.jobs = jobs
        self.revision_checks = revision_checks
        self.membership = membership
        self.routines = routines
        self.settings = settings
        self.store = store
        self.upgrade = upgrade

    def count_versions(self) -> None:
        """Complete the upgrade once every controller in the settings understands `FORMAT`.

        Controllers that are not present count as well. The current epoch must have begun after the
        last version record was written, so that delayed commits of older processes fail. A
        completed upgrade stays complete.
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
        self.upgrade.limits = self.settings.cluster.state.strictest()
        self.store.set_rates(self.upgrade.limits.rps, self.upgrade.limits.write_rps)
        self.revision_checks.max_conditions = 4 * self.upgrade.limits.txn_ops
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
        """Store the format in a controller's version record.

        A malformed record counts as format 0, so that the controller writes it again.

        Args:
            label: The controller.
            value: The record's value.
            rev: The record's revision.
        """
        try:
            self.upgrade.formats[label] = (int(value["format"]), rev)
        except (KeyError, TypeError, ValueError) as exc:
            log.error("key=%s%s event=malformed-value cause=%r", VERSION_PREFIX, label, exc)
            self.upgrade.formats[label] = (0, rev)
