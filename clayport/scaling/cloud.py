"""The client of the cloud's API. It decides nothing: outcomes are handed on."""

from __future__ import annotations

import random
import time
from collections.abc import Callable
from typing import Any, TypeVar

import curio
import msgspec

from clayport.limits import Circuit, RetryBudget, RetryPolicy
from clayport.model import CloudMachine, MachineType
from clayport.records.rate_limit import TokenBucket
from clayport.transport import http

# The part of the given rate of requests that is used.
RATE_SHARE = 0.8
# Retries that each first try earns, and the share of our requests that may be retries.
RETRIES_PER_REQUEST, MAX_RETRY_SHARE = 0.1, 0.5
# The pauses between retries, as shares of the time that a request may take.
MIN_PAUSE_SHARE, MAX_PAUSE_SHARE = 0.1, 0.2
# The most machines in one request, by the protocol: to return, and to list.
MAX_MACHINES_PER_RETURN = 100
PAGE_SIZE = 500
# Statuses of answers. (Importing `http` for their names would make each start longer.)
OK, TOO_MANY_REQUESTS, SERVICE_UNAVAILABLE = 200, 429, 503
# By the protocol, what an answer with status 503 says when there is no such machine to rent.
NO_CAPACITY = b"no capacity"
# The bytes of an unexpected answer that an error quotes.
MAX_QUOTED_BYTES = 100

Answer = TypeVar("Answer")


class CloudError(Exception):
    """A request was refused or not answered; a rental or return may still be executed."""


class NoCapacityError(Exception):
    """No machine of this type and zone, on demand or spot as asked, can be rented now."""


class _Catalogue(msgspec.Struct):
    """The answer to a request for the catalogue."""

    types: list[MachineType] = msgspec.field(name="flavors")


class _Page(msgspec.Struct):
    """A page of the list of machines, and whether others follow."""

    machines: list[CloudMachine] = msgspec.field(name="hosts")
    more: bool = False


class _Rented(msgspec.Struct):
    """The names of the machines that were rented."""

    machines: list[str] = msgspec.field(name="hosts")


class Cloud:
    """Requests to the cloud, paced to this controller's share of its budget.

    Args:
        host: The host of the cloud's API.
        port: Its port.
        rps: This controller's share of the requests per second that the cloud serves.
        timeout_s: How long a request may take.
        uniform: Draws the jitter of pauses between retries.
    """

    def __init__(
        self,
        host: str,
        port: int,
        rps: float,
        timeout_s: float,
        uniform: Callable[[float, float], float] = random.uniform,
    ) -> None:
        self.client = http.Client(host, port, keep=2)
        now = time.monotonic()
        self.bucket = TokenBucket(rps * RATE_SHARE, now)
        self.timeout_s = timeout_s
        max_retries = max(1.0, MAX_RETRY_SHARE * self.bucket.rate)
        self.circuit = Circuit(
            RetryPolicy(
                MIN_PAUSE_SHARE * timeout_s,
                MAX_PAUSE_SHARE * timeout_s,
                RetryBudget(RETRIES_PER_REQUEST, max_retries, max_retries, now),
                uniform,
            )
        )
        self.begin, self.back_off = self.circuit.begin, self.circuit.back_off

    async def turn(self) -> None:
        """Wait until another request may be sent."""
        delay_s = self.bucket.delay(1, time.monotonic())
        if delay_s > 0:
            await curio.sleep(delay_s)

    async def _call(self, method: str, path: str, body: Any = None) -> tuple[int, bytes]:
        """Send a request when it is its turn; see `_send`."""
        await self.turn()
        return await self._send(method, path, body)

    async def _send(self, method: str, path: str, body: Any) -> tuple[int, bytes]:
        """Send a request at once, and return the status and body of the answer.

        Raises:
            CloudError: There was no answer.
        """
        raw = None if body is None else msgspec.json.encode(body)
        try:
            status, payload = await self.client.request(method, path, raw, self.timeout_s)
        except http.NoAnswerError as exc:
            await self.circuit.record(False)
            raise CloudError(str(exc)) from None
        # What is refused for lack of capacity has been served.
        await self.circuit.record(
            status != TOO_MANY_REQUESTS
            and (status != SERVICE_UNAVAILABLE or NO_CAPACITY in payload)
        )
        return status, payload

    @staticmethod
    def _check(status: int, payload: bytes) -> None:
        """Raise CloudError unless the request was served."""
        if status != OK:
            raise CloudError(f"{status} {payload[:MAX_QUOTED_BYTES]!r}")

    @classmethod
    def _decode(cls, status: int, payload: bytes, answer_type: type[Answer]) -> Answer:
        """Return the answer to a request that was served, or raise CloudError."""
        cls._check(status, payload)
        try:
            return msgspec.json.decode(payload, type=answer_type)
        except msgspec.MsgspecError as exc:
            raise CloudError(f"malformed answer: {exc}") from None

    async def catalogue(self) -> list[MachineType]:
        """Return the machine types with their present prices.

        Raises:
            CloudError: The cloud refused, did not answer, or answered something else.
        """
        status, payload = await self._call("GET", "/catalog")
        return self._decode(status, payload, _Catalogue).types

    async def machines(self) -> list[CloudMachine]:
        """Return the machines in the cloud's list, page after page; the list lags.

        Raises:
            CloudError: A page was refused or not answered.
        """
        found: list[CloudMachine] = []
        last = ""  # the last machine of the page before
        while True:
            status, payload = await self._call(
                "GET",
                f"/hosts?since={last}&most={PAGE_SIZE}" if last else f"/hosts?most={PAGE_SIZE}",
            )
            page = self._decode(status, payload, _Page)
            found += page.machines
            if not page.more or not page.machines:
                return found
            last = page.machines[-1].id

    async def rent(
        self, rental: str, machine_type: str, zone: str, spot: bool, count: int
    ) -> list[str]:
        """Rent up to `count` machines and return the names of those that were rented.

        Args:
            rental: The name of the rental, which makes the request idempotent: it is never
                used for another request.
            machine_type: The name of the machine type.
            zone: The zone of the machines.
            spot: Whether to rent spot machines.
            count: How many machines to rent.

        Raises:
            NoCapacityError: No such machine can be rented now.
            CloudError: Refused or unanswered; it may still be executed.
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

    async def give_back(self, names: list[str]) -> None:
        """Return up to `MAX_MACHINES_PER_RETURN` machines; they and all on them are gone then.

        Raises:
            CloudError: Refused or unanswered; it may still be executed.
        """
        await self.turn()
        await self.return_now(names)

    async def return_now(self, names: list[str]) -> None:
        """Return machines as `give_back`, by a caller that has waited for its `turn`.

        Raises:
            CloudError: Refused or unanswered; it may still be executed.
        """
        status, payload = await self._send("POST", "/hosts/return", {"hosts": names})
        self._check(status, payload)
