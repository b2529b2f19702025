"""The client of the cloud's API. Callers decide what to do about failures."""

from __future__ import annotations

import random
import time
from collections.abc import Callable
from typing import Any, TypeVar

import curio
import msgspec

from clayport.limits import RetryBudget, RetryCoordinator, RetryPolicy
from clayport.model import CloudMachine, MachineType
from clayport.records.rate_limit import TokenBucket
from clayport.transport import http

# The share of the allowed request rate that is used.
RATE_SHARE = 0.8
# Retries that each first attempt adds to the retry budget, and the share of the request rate
# that retries may use.
RETRIES_PER_REQUEST, MAX_RETRY_SHARE = 0.1, 0.5
# Bounds of the pauses between retries, as shares of the request timeout.
MIN_PAUSE_SHARE, MAX_PAUSE_SHARE = 0.1, 0.2
# The protocol's limits on the number of machines in a request to return machines, and in a page of
# the machine list.
MAX_MACHINES_PER_RETURN = 100
PAGE_SIZE = 500
# HTTP status codes. Importing the standard library's `http` for them would slow down startup.
OK, TOO_MANY_REQUESTS, SERVICE_UNAVAILABLE = 200, 429, 503
# The protocol's text in a 503 answer to a rental if no machine of the requested kind is available.
NO_CAPACITY = b"no capacity"
# How many bytes of an unexpected answer an error quotes.
MAX_QUOTED_BYTES = 100

Answer = TypeVar("Answer")


class CloudError(Exception):
    """A request was refused or not answered; a rental or return may still be executed."""


class NoCapacityError(Exception):
    """No spot or on-demand machine of the requested type and zone can be rented now."""


class _Catalogue(msgspec.Struct):
    """The answer to a request for the catalogue."""

    types: list[MachineType] = msgspec.field(name="flavors")


class _Page(msgspec.Struct):
    """A page of the list of machines; `more` says whether other pages follow."""

    machines: list[CloudMachine] = msgspec.field(name="hosts")
    more: bool = False


class _Rented(msgspec.Struct):
    """The answer to a rental: the names of the rented machines."""

    machines: list[str] = msgspec.field(name="hosts")


class Cloud:
    """Client of the cloud's API, rate-limited to this controller's share of the request rate.

    Args:
        rps: This controller's share of the requests per second that the cloud serves.
        timeout_s: How long a request may take.
        uniform: Draws the jitter of the pauses between retries.
    """

    def __init__(
        self,
        host: str,
        port: int,
        rps: float,
        timeout_s: float,
        uniform: Callable[[float, float], float] = random.uniform,
    ) -> None:
        self.client = http.Client(host, port, max_idle=2)
        now = time.monotonic()
        self.bucket = TokenBucket(rps * RATE_SHARE, now)
        self.timeout_s = timeout_s
        max_retries = max(1.0, MAX_RETRY_SHARE * self.bucket.rate)
        self.retry_coordinator = RetryCoordinator(
            RetryPolicy(
                MIN_PAUSE_SHARE * timeout_s,
                MAX_PAUSE_SHARE * timeout_s,
                RetryBudget(RETRIES_PER_REQUEST, max_retries, max_retries, now),
                uniform,
            )
        )
        self.begin_request, self.back_off = (
            self.retry_coordinator.begin_request,
            self.retry_coordinator.back_off,
        )

    async def wait_for_rate_limit(self) -> None:
        """Wait until the rate limit allows another request."""
        delay_s = self.bucket.take_tokens(1, time.monotonic())
        if delay_s > 0:
            await curio.sleep(delay_s)

    async def _call(self, method: str, path: str, body: Any = None) -> tuple[int, bytes]:
        """Wait for the rate limit, then send a request as `_send` does."""
        await self.wait_for_rate_limit()
        return await self._send(method, path, body)

    async def _send(self, method: str, path: str, body: Any) -> tuple[int, bytes]:
        """Send a request without waiting, and return the status and body of the answer.

        Raises:
            CloudError: There was no answer.
        """
        raw = None if body is None else msgspec.json.encode(body)
        try:
            status, payload = await self.client.request(method, path, raw, self.timeout_s)
        except http.NoAnswerError as exc:
            await self.retry_coordinator.record(False)
            raise CloudError(str(exc)) from None
        # A refusal for lack of capacity counts as served, because the API is not overloaded.
        await self.retry_coordinator.record(
            status != TOO_MANY_REQUESTS
            and (status != SERVICE_UNAVAILABLE or NO_CAPACITY in payload)
        )
        return status, payload

    @staticmethod
    def _check(status: int, payload: bytes) -> None:
        """Raise CloudError unless the request was served."""
        if status != OK:
            raise CloudError(f"unexpected status {status}: {payload[:MAX_QUOTED_BYTES]!r}")

    @classmethod
    def _decode(cls, status: int, payload: bytes, answer_type: type[Answer]) -> Answer:
        """Decode the answer to a request; raise CloudError if it was refused or is malformed."""
        cls._check(status, payload)
        try:
            return msgspec.json.decode(payload, type=answer_type)
        except msgspec.MsgspecError as exc:
            raise CloudError(f"malformed answer of the cloud: {exc}") from None

    async def catalogue(self) -> list[MachineType]:
        """Return the machine types with their current prices.

        Raises:
            CloudError: The cloud refused, did not answer, or sent a malformed answer.
        """
        status, payload = await self._call("GET", "/catalog")
        return self._decode(status, payload, _Catalogue).types

    async def machines(self) -> list[CloudMachine]:
        """Return all machines in the cloud's list, which is eventually consistent.

        Raises:
            CloudError: A page was refused, not answered or malformed.
        """
        found: list[CloudMachine] = []
        last_id = ""  # the last machine of the previous page
        while True:
            status, payload = await self._call(
                "GET",
                f"/hosts?since={last_id}&most={PAGE_SIZE}"
                if last_id
                else f"/hosts?most={PAGE_SIZE}",
            )
            page = self._decode(status, payload, _Page)
            found += page.machines
            if not page.more or not page.machines:
                return found
            last_id = page.machines[-1].id

    async def rent(
        self, rental: str, machine_type: str, zone: str, spot: bool, count: int
    ) -> list[str]:
        """Rent up to `count` machines and return the names of the rented ones.

        Args:
            rental: The idempotency key of the request; each request has its own.
            machine_type: The name of the machine type.
            zone: The zone of the machines.
            spot: Whether to rent spot machines.
            count: How many machines to rent.

        Raises:
            NoCapacityError: No such machine can be rented now.
            CloudError: The request was refused or not answered; it may still be executed.
        """
        body = {
            "rental": rental,
            "flavor": machine_type,
            "site": zone,
            "loaners": spot,
            "number": count,
        }
        status, payload = await self._call("POST", "/hosts", body)
        if status == SERVICE_UNAVAILABLE and NO_CAPACITY in payload:
            market = "spot" if spot else "on-demand"
            raise NoCapacityError(f"no {market} machine of type {machine_type} in zone {zone}")
        return self._decode(status, payload, _Rented).machines

    async def return_machines(self, names: list[str]) -> None:
        """Return up to `MAX_MACHINES_PER_RETURN` machines, which ends everything on them.

        Raises:
            CloudError: The request was refused or not answered; it may still be executed.
        """
        await self.wait_for_rate_limit()
        await self.return_unpaced(names)

    async def return_unpaced(self, names: list[str]) -> None:
        """Return machines as `return_machines` does, without waiting for the rate limit.

        The caller has awaited `wait_for_rate_limit` itself.

        Raises:
            CloudError: The request was refused or not answered; it may still be executed.
        """
        status, payload = await self._send("POST", "/hosts/return", {"hosts": names})
        self._check(status, payload)
