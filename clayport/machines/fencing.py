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


class _PendingFence:
    """A machine whose return somebody waits for.

    Attributes:
        done: Set once the machine has been returned, or could not be.
        error: Why it could not be; empty if it has been returned.
    """

    def __init__(self) -> None:
        self.done = curio.Event()
        self.error = ""


class MachineFencing:
    """Returns machines in batches, on the member of the epoch that talks to the cloud.

    What is asked for while a request waits for its turn goes with it, so a fence takes as
    long as one request, however many there are.

    Args:
        cloud: The client of the cloud's API.
        membership: The epoch; pending fences fail when it moves on.
        removal: Removes the returned machines here and at the peers.

    Attributes:
        waiting: Pending fences by machine, in the order in which they were asked for.
        sending: Whether a routine is at work that sends them.
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
        self.waiting: dict[str, _PendingFence] = {}
        self.sending = False

    async def fence(self, name: str) -> None:
        """Return a machine, and announce to all controllers that it is gone.

        With the cloud's confirmation nothing on it runs any more.

        Raises:
            CloudError: It was not returned, or may not have been.
        """
        pending = self.waiting.get(name)
        if pending is None:
            pending = self.waiting[name] = _PendingFence()
        if not self.sending:
            self.sending = True
            await curio.spawn(self._send, daemon=True)
        await pending.done.wait()
        if pending.error:
            raise CloudError(pending.error)

    async def _send(self) -> None:
        """Send requests until no fence is pending."""
        epoch = self.membership.epoch
        try:
            while self.waiting:
                await self.cloud.turn()
                if self.membership.epoch is not epoch:
                    # Machines have new owners, who may have heard them meanwhile.
                    fences, self.waiting = self.waiting, {}
                    await self._finish(fences, "the epoch has moved on")
                    epoch = self.membership.epoch
                    continue
                await self._return(list(self.waiting)[:MAX_MACHINES_PER_RETURN])
        finally:
            self.sending = False

    async def _return(self, names: list[str]) -> None:
        """Send one request, and finish its fences."""
        fences = {name: self.waiting.pop(name) for name in names}
        error = ""
        try:
            await self.cloud.return_now(names)
            await self.removal.announce(names)
        except CloudError as exc:
            error = str(exc)
        except Exception as exc:  # whatever it is, those who wait have to learn of it
            log.exception("event=return-failed machines=%d", len(names))
            error = repr(exc)
        await self._finish(fences, error)

    @staticmethod
    async def _finish(fences: dict[str, _PendingFence], error: str) -> None:
        """Wake up those who wait for the fences."""
        for pending in fences.values():
            pending.error = error
            await pending.done.set()
