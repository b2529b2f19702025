"""Looks up the jobs that other jobs wait for."""

from __future__ import annotations

import time

from clayport.jobs.lifecycle import JobLifecycle
from clayport.jobs.registry import JobRegistry
from clayport.membership.state import MembershipState
from clayport.records.errors import OutcomeUnknownError, UnavailableError
from clayport.records.keys import end_key, live_key
from clayport.records.lookups import Lookups
from clayport.records.store import StateStore
from clayport.routines import Routines


class PrerequisiteLookup:
    """Finds out about prerequisites of which the watch of the records has told nothing.

    Args:
        jobs: The jobs that are known here, and their dependencies.
        lifecycle: Enters the ends that are found.
        lookups: Asks for many live records in one request.
        membership: Gives the intervals.
        routines: The signals of this process.
        store: Where the ends of jobs are read.
    """

    def __init__(
        self,
        *,
        jobs: JobRegistry,
        lifecycle: JobLifecycle,
        lookups: Lookups,
        membership: MembershipState,
        routines: Routines,
        store: StateStore,
    ) -> None:
        self.jobs = jobs
        self.lifecycle = lifecycle
        self.lookups = lookups
        self.membership = membership
        self.routines = routines
        self.store = store

    async def keep_prereqs(self) -> None:
        """Look up prerequisites for as long as the process runs.

        Those that are unknown are looked up when one turns up, and at intervals. Those that
        are taken to be live are checked more seldom: a missed notice must not delay what
        waits for it for long.
        """
        again_at = 0.0
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
            if time.monotonic() < again_at:
                continue
            again_at = time.monotonic() + 4 * self.membership.lease_ttl_s
            await self._check_awaited()

    async def _look_up_unknown(self) -> None:
        """Look up what ended before this process began, or was accepted a moment ago."""
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
        """Ask, many in one request, whether awaited jobs that are taken to be live still are."""
        for name in sorted(self._awaited()):
            known = self.jobs.live.get(name)
            try:
                if (
                    known is not None
                    and known[1]
                    and not await self.lookups.unchanged(live_key(name), known[1])
                ):
                    self.lifecycle.note_gone(name)
            except UnavailableError:
                break

    def _awaited(self) -> set[str]:
        """Live jobs that jobs led here wait for."""
        return {
            need
            for name, managed in self.jobs.managed.items()
            if managed.blocked and name in self.jobs.dependencies.nodes
            for need in self.jobs.dependencies.nodes[name].unfinished_prerequisites
        }
