"""The cloud's protocol. It decides nothing: outcomes are handed on."""

from __future__ import annotations

import random
import time
from collections.abc import Callable
from typing import Any

import curio
import msgspec

from clayport.limits import Budget, Circuit, Retries
from clayport.model import CloudMachine, MachineType
from clayport.records.store import Bucket
from clayport.transport import http

# Retries that each first try earns; the share of our requests that may be retries; and the
# pauses between them as shares of the time that a request may take.
RETRIES, AGAIN = 0.1, 0.5
PAUSE, PAUSE_MOST = 0.1, 0.2
# The protocol's own figures: machines in one request.
RETURN_MOST = 100


class CloudError(Exception):
    """Refused or unanswered; a rental or return may still be executed."""


class NoCapacityError(Exception):
    """None of this type, zone and kind is to be had now."""


class _Catalogue(msgspec.Struct):
    types: list[MachineType] = msgspec.field(name="flavors")


class _Page(msgspec.Struct):
    machines: list[CloudMachine] = msgspec.field(name="hosts")
    more: bool = False


class _Rented(msgspec.Struct):
    machines: list[str] = msgspec.field(name="hosts")


class Cloud:
    """Requests to the cloud, paced to this controller's share of its budget."""

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
        self.bucket = Bucket(rps * 0.8, now)
        self.timeout_s = timeout_s
        again = max(1.0, AGAIN * self.bucket.rate)
        self.circuit = Circuit(
            Retries(
                PAUSE * timeout_s,
                PAUSE_MOST * timeout_s,
                Budget(RETRIES, again, again, now),
                uniform,
            )
        )
        self.begin, self.back_off = self.circuit.begin, self.circuit.back_off

    async def turn(self) -> None:
        """Until another request may be sent."""
        wait = self.bucket.delay(1, time.monotonic())
        if wait > 0:
            await curio.sleep(wait)

    async def _call(self, method: str, path: str, body: Any = None) -> tuple[int, bytes]:
        await self.turn()
        return await self._send(method, path, body)

    async def _send(self, method: str, path: str, body: Any) -> tuple[int, bytes]:
        raw = None if body is None else msgspec.json.encode(body)
        try:
            status, payload = await self.client.request(method, path, raw, self.timeout_s)
        except http.NoAnswerError as exc:
            await self.circuit.seen(False)
            raise CloudError(str(exc)) from None
        # What is refused for lack of capacity has been served.
        await self.circuit.seen(status != 429 and (status != 503 or b"no capacity" in payload))
        return status, payload

    @staticmethod
    def _decode(status: int, payload: bytes, kind: Any) -> Any:
        if status != 200:
            raise CloudError(f"{status} {payload[:100]!r}")
        try:
            return msgspec.json.decode(payload, type=kind)
        except msgspec.MsgspecError as exc:
            raise CloudError(f"malformed answer: {exc}") from None

    async def catalogue(self) -> list[MachineType]:
        """Return the machine types with their present prices.

        Raises:
            CloudError: The cloud refused, did not answer, or answered something else.
        """
        status, payload = await self._call("GET", "/catalog")
        found: list[MachineType] = self._decode(status, payload, _Catalogue).types
        return found

    async def machines(self) -> list[CloudMachine]:
        """Return the machines in the cloud's list, page after page; the list lags.

        Raises:
            CloudError: A page was refused or not answered.
        """
        found: list[CloudMachine] = []
        since = ""
        while True:
            status, payload = await self._call(
                "GET", f"/hosts?since={since}&most=500" if since else "/hosts?most=500"
            )
            page: _Page = self._decode(status, payload, _Page)
            found += page.machines
            if not page.more or not page.machines:
                return found
            since = page.machines[-1].id

    async def rent(self, rental: str, kind: str, zone: str, spot: bool, count: int) -> list[str]:
        """Rent up to `count` machines and return the names of those that were rented.

        A `rental` name is never used for another request.

        Raises:
            NoCapacityError: None of this type, zone and kind is available.
            CloudError: Refused or unanswered; it may still be executed.
        """
        body = {"rental": rental, "flavor": kind, "site": zone, "loaners": spot, "number": count}
        status, payload = await self._call("POST", "/hosts", body)
        if status == 503 and b"no capacity" in payload:
            raise NoCapacityError
        names: list[str] = self._decode(status, payload, _Rented).machines
        return names

    async def give_back(self, names: list[str]) -> None:
        """Once this returns, the machines (RETURN_MOST at most) and all on them are gone."""
        await self.turn()
        await self.return_now(names)

    async def return_now(self, names: list[str]) -> None:
        """The same by whose turn it is already."""
        status, payload = await self._send("POST", "/hosts/return", {"hosts": names})
        if status != 200:
            raise CloudError(f"{status} {payload[:100]!r}")
