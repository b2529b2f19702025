"""Returns silent and failed machines to the cloud, many machines in one request.

With one request for each machine, the return of 320 machines that are lost at once takes over a
hundred seconds at the cloud's limit of three requests per second. Until then, tasks of the last
machine cannot be restarted, and no machine can be rented, because renting shares the same request
limit.
"""

from __future__ import annotations

import logging

import curio

from clayport.machines.removal import MachineRemoval
from clayport.membership.state import MembershipState
from clayport.scaling.cloud import MAX_MACHINES_PER_RETURN, Cloud, CloudError

log = logging.getLogger(__name__)


class _PendingFence:
    """A fence in progress, which one or more callers wait for.

    Attributes:
        done: Set once the return has succeeded or failed.
        error: The reason for a failure; empty if the machine has been returned.
    """

    def __init__(self) -> None:
        self.done = curio.Event()
        self.error = ""


class MachineFencing:
    """Returns machines in batches, on the member of the epoch that is its provisioner.

    Fences that are requested while a request waits for the cloud's rate limit are sent with
    that request, so that many fences need few requests.

    Args:
        cloud: The client of the cloud's API.
        membership: The epoch; pending fences fail when a new one begins.
        removal: Removes the returned machines here and at the peers.

    Attributes:
        waiting: Pending fences by machine, in the order in which they were requested.
        sending: Whether a routine is running that sends the requests.
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
        """Return a machine to the cloud, and announce to all controllers that it is gone.

        Once the cloud has confirmed the return, nothing runs on the machine any more.

        Raises:
            CloudError: The machine was not returned, or its return is uncertain.
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
                await self.cloud.wait_for_rate_limit()
                if self.membership.epoch is not epoch:
                    # The machines may have new owners, which may have received reports since.
                    fences, self.waiting = self.waiting, {}
                    await self._finish(fences, "the epoch has moved on")
                    epoch = self.membership.epoch
                    continue
                await self._return(list(self.waiting)[:MAX_MACHINES_PER_RETURN])
        finally:
            self.sending = False

    async def _return(self, names: list[str]) -> None:
        """Return machines with one request, and finish their fences."""
        fences = {name: self.waiting.pop(name) for name in names}
        error = ""
        try:
            await self.cloud.return_unpaced(names)
            await self.removal.announce(names)
        except CloudError as exc:
            error = str(exc)
        except Exception as exc:  # the callers that wait must be woken after any error
            log.exception("event=return-failed machines=%d", len(names))
            error = repr(exc)
        await self._finish(fences, error)

    @staticmethod
    async def _finish(fences: dict[str, _PendingFence], error: str) -> None:
        """Wake the callers that wait for the fences."""
        for pending in fences.values():
            pending.error = error
            await pending.done.set()
