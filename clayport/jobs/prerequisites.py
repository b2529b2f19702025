"""Looks up the state of jobs that other jobs wait for."""

from __future__ import annotations

import time

from clayport.jobs.lifecycle import JobLifecycle
from clayport.jobs.registry import JobRegistry
from clayport.membership.state import MembershipState
from clayport.records.errors import OutcomeUnknownError, UnavailableError
from clayport.records.keys import end_key, live_key
from clayport.records.revision_checks import RevisionChecks
from clayport.records.store import StateStore
from clayport.routines import Routines


class PrerequisiteLookup:
    """Looks up prerequisites whose end the watch of the records has not reported.

    Args:
        jobs: The registry of jobs, with their dependencies.
        lifecycle: Registers the ends that are found.
        revision_checks: Checks many live records in one request.
        membership: Gives the lease's lifetime, from which the intervals are derived.
        routines: The signals of this process.
        store: The store from which final records are read.
    """

    def __init__(
        self,
        *,
        jobs: JobRegistry,
        lifecycle: JobLifecycle,
        revision_checks: RevisionChecks,
        membership: MembershipState,
        routines: Routines,
        store: StateStore,
    ) -> None:
        self.jobs = jobs
        self.lifecycle = lifecycle
        self.revision_checks = revision_checks
        self.membership = membership
        self.routines = routines
        self.store = store

    async def run_lookups(self) -> None:
        """Look up prerequisites for as long as the process runs.

        An unknown prerequisite is looked up as soon as a job names it, and periodically.
        Prerequisites believed to be live are checked less often, so that a lost notification delays
        the jobs that wait for them only for a bounded time.
        """
        next_check_at = 0.0
        while True:
            await self.routines.wait(
                "prereqs",
                self.routines.jitter(
                    self.membership.lease_ttl_s / 4
                    if self.jobs.dependencies.unknown_prerequisites
                    else 2 * self.membership.lease_ttl_s
                ),
            )
            await self._look_up_unknown()
            await self.routines.flush()
            if time.monotonic() < next_check_at:
                continue
            next_check_at = time.monotonic() + 4 * self.membership.lease_ttl_s
            await self._check_awaited()

    async def _look_up_unknown(self) -> None:
        """Look up unknown prerequisites, which may have ended before this process started."""
        for name in list(self.jobs.dependencies.unknown_prerequisites):
            if name in self.jobs.ended:
                self.lifecycle.update_dependents(name, self.jobs.ended[name], time.monotonic())
                continue
            try:
                entry = await self.store.get(end_key(name))
            except (UnavailableError, OutcomeUnknownError):
                break
            if entry is not None:
                self.lifecycle.note_end_record(name, entry.value, entry.rev)

    async def _check_awaited(self) -> None:
        """Check in batched requests whether prerequisites believed to be live are still live."""
        for name in sorted(self._awaited_prerequisites()):
            known = self.jobs.live.get(name)
            try:
                if (
                    known is not None
                    and known[1]
                    and not await self.revision_checks.unchanged(live_key(name), known[1])
                ):
                    self.lifecycle.handle_live_record_deleted(name)
            except UnavailableError:
                break

    def _awaited_prerequisites(self) -> set[str]:
        """Return the unfinished prerequisites of the jobs that this controller leads."""
        return {
            need
            for name, managed in self.jobs.managed.items()
            if managed.blocked and name in self.jobs.dependencies.nodes
            for need in self.jobs.dependencies.nodes[name].unfinished_prerequisites
        }
