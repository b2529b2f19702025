"""Machines that are returned because they are silent or have failed, many in one request.

After half of 640 machines had ended at once, each was returned by a request of its own, at
the three requests a second that the cloud allows: work on the last of them could start
elsewhere only a hundred seconds later, and no machine was rented meanwhile, since renting
waited in the same line.
"""

from __future__ import annotations

import logging

import curio

from clayport.machines.removal import MachineRemoval
from clayport.membership.state import MembershipState
from clayport.scaling.cloud import MAX_MACHINES_PER_RETURN, Cloud, CloudError

log = logging.getLogger(__name__)


class _Wait:
    """A machine whose return somebody waits for."""

    def __init__(self) -> None:
        self.over = curio.Event()
        self.error = ""


class MachineFencing:
    """Returns on the member of the epoch that talks to the cloud.

    What is asked for while a request waits for its turn goes with it, so a fence takes as
    long as one request, however many there are.
    """

    def __init__(
        self,
        *,
        cloud: Cloud,
        membership: MembershipState,
        removal: MachineRemoval,
    ) -> None:
        self.cloud = cloud
        self.membership = membership
        self.removal = removal
        self.waiting: dict[str, _Wait] = {}  # in the order in which they were asked for
        self.sending = False

    async def fence(self, name: str) -> None:
        """Return a machine: with the cloud's 200 everything on it is gone, and all are told.
        CloudError if it was not returned, or may not have been."""
        wait = self.waiting.get(name)
        if wait is None:
            wait = self.waiting[name] = _Wait()
        if not self.sending:
            self.sending = True
            await curio.spawn(self._send, daemon=True)
        await wait.over.wait()
        if wait.error:
            raise CloudError(wait.error)

    async def _send(self) -> None:
        epoch = self.membership.epoch
        try:
            while self.waiting:
                await self.cloud.turn()
                if self.membership.epoch is not epoch:
                    # Machines have new owners, who may have heard them meanwhile.
                    waits, self.waiting = self.waiting, {}
                    await self._told(waits, "the epoch has moved on")
                    epoch = self.membership.epoch
                    continue
                await self._return(list(self.waiting)[:MAX_MACHINES_PER_RETURN])
        finally:
            self.sending = False

    async def _return(self, names: list[str]) -> None:
        waits, error = {n: self.waiting.pop(n) for n in names}, ""
        try:
            await self.cloud.return_now(names)
            await self.removal.announce(names)
        except CloudError as exc:
            error = str(exc)
        except Exception as exc:  # whatever it is, those who wait are to be told
            log.exception("event=return-failed machines=%d", len(names))
            error = repr(exc)
        await self._told(waits, error)

    @staticmethod
    async def _told(waits: dict[str, _Wait], error: str) -> None:
        for wait in waits.values():
            wait.error = error
            await wait.over.set()
