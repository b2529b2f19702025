"""A stand-in for the state service, as the protocol describes it."""

from __future__ import annotations

import asyncio
import json
import time
from typing import Any

from review.lib2.web import Server

KEPT_CHANGES = 10_000


class Bucket:
    """A rate limit with bursts of `burst_s` seconds' worth."""

    def __init__(self, rate: float, burst_s: float) -> None:
        self.rate, self.most = rate, rate * burst_s
        self.level, self.at = self.most, time.monotonic()

    def take(self, amount: float) -> bool:
        """Take tokens if there are enough."""
        now = time.monotonic()
        self.level = min(self.most, self.level + (now - self.at) * self.rate)
        self.at = now
        if self.level < amount:
            return False
        self.level -= amount
        return True


class StateService:
    """The store, with one listener for each controller, so that each can be treated apart.

    Attributes:
        refused: The controllers that are answered 503, while the others are served.
        down: Whether all are answered 503.
    """

    def __init__(self, limits: dict[str, Any]) -> None:
        self.limits = limits
        self.rev = 1
        self.keys: dict[str, tuple[Any, int, int | None]] = {}
        self.log: list[dict[str, Any]] = []
        self.leases: dict[int, tuple[float, float]] = {}
        self.next_lease = 1
        self.refused: set[str] = set()
        self.down = False
        self.latency_s = 0.002
        self.servers: dict[str, Server] = {}
        self.requests = Bucket(limits["rps"], 1.0)
        self.writes = Bucket(limits["write_rps"], 1.0)
        self.changed = asyncio.Event()
        self.throttled = 0

    async def listen(self, label: str) -> int:
        """Open the listener of a controller; return its port."""

        async def handle(method: str, path: str, body: bytes) -> tuple[int, Any] | None:
            return await self._handle(label, method, path, body)

        self.servers[label] = Server(handle)
        return await self.servers[label].start()

    async def run(self) -> None:
        """End leases that have run out, until cancelled."""
        while True:
            await asyncio.sleep(0.05)
            now = time.monotonic()
            if self.down:
                self.leases = {i: (now + ttl, ttl) for i, (_, ttl) in self.leases.items()}
                continue
            for lease in [i for i, (end, _) in self.leases.items() if end < now]:
                self._end_lease(lease)

    def _end_lease(self, lease: int) -> None:
        del self.leases[lease]
        attached = [k for k, v in self.keys.items() if v[2] == lease]
        if attached:
            self.rev += 1
        for key in attached:
            del self.keys[key]
            self.log.append({"remove": key, "key_rev": self.rev})
        self._wake()

    def _wake(self) -> None:
        del self.log[:-KEPT_CHANGES]
        self.changed.set()
        self.changed = asyncio.Event()

    def _refuses(self, label: str) -> bool:
        return self.down or label in self.refused

    async def _handle(
        self, label: str, method: str, path: str, body: bytes
    ) -> tuple[int, Any] | None:
        await asyncio.sleep(self.latency_s)
        if self._refuses(label):
            return 503, {"error": "trouble"}
        if not self.requests.take(1):
            self.throttled += 1
            return 429, {"error": "too many"}
        resource, _, query = path.partition("?")
        args = dict(p.split("=", 1) for p in query.split("&")) if query else {}
        if resource == "/changes":
            return await self._watch(label, args)
        return self._answer(method, resource, args, json.loads(body) if body else None)

    async def _watch(self, label: str, args: dict[str, str]) -> tuple[int, Any]:
        prefix, since = args["prefix"], int(args["since"])
        end = time.monotonic() + int(args.get("block_ms", "0")) / 1000
        while True:
            event = self.changed
            if not self._refuses(label):
                if len(self.log) == KEPT_CHANGES and self.log[0]["key_rev"] > since + 1:
                    return 410, {}
                found = [
                    c
                    for c in self.log
                    if c["key_rev"] > since
                    and (c.get("write") or c.get("remove", "")).startswith(prefix)
                ]
                if found or time.monotonic() >= end:
                    return 200, {"store_rev": self.rev, "log": found}
            left = end - time.monotonic()
            try:
                await asyncio.wait_for(event.wait(), min(0.2, left) if left > 0 else 0.2)
            except TimeoutError:
                pass

    def _answer(
        self, method: str, resource: str, args: dict[str, str], body: Any
    ) -> tuple[int, Any]:
        now = time.monotonic()
        if resource == "/keys":
            return self._scan(args)
        if resource.startswith("/keys/"):
            found = self.keys.get(resource[6:])
            if found is None:
                return 404, {"store_rev": self.rev}
            return 200, {"key": resource[6:], "data": found[0], "key_rev": found[1]}
        if resource == "/leases" and method == "POST":
            ttl = body["ttl_ms"] / 1000
            self.leases[self.next_lease] = (now + ttl, ttl)
            self.next_lease += 1
            return 200, {"hold": self.next_lease - 1}
        if resource.startswith("/leases/"):
            lease = int(resource.split("/")[2])
            if lease not in self.leases:
                return 404, {}
            ttl = self.leases[lease][1]
            if method == "DELETE":
                self._end_lease(lease)
            else:
                self.leases[lease] = (now + ttl, ttl)
            return 200, {}
        if resource == "/commit":
            return self._commit(body)
        return 400, {"error": "malformed"}

    def _scan(self, args: dict[str, str]) -> tuple[int, Any]:
        most = min(1000, int(args.get("most", "1000")))
        names = sorted(
            k for k in self.keys if k.startswith(args["prefix"]) and k > args.get("since", "")
        )
        pairs = [
            {"key": k, "data": self.keys[k][0], "key_rev": self.keys[k][1]} for k in names[:most]
        ]
        while len(json.dumps(pairs)) > 512 * 1024:
            pairs.pop()
        return 200, {"pairs": pairs, "more": len(pairs) < len(names), "store_rev": self.rev}

    def _commit(self, body: Any) -> tuple[int, Any]:
        writes, when = body.get("writes") or [], body.get("when") or []
        most = self.limits["txn_ops"]
        if writes and not self.writes.take(len(writes)):
            self.throttled += 1
            return 429, {"error": "too many"}
        if (
            len(writes) > most
            or len(when) > 4 * most
            or len(json.dumps(body, separators=(",", ":"))) > 64 * 1024
        ):
            return 400, {"error": "too large"}
        for write in writes:
            if write.get("hold") is not None and write["hold"] not in self.leases:
                return 400, {"error": "no such lease"}
            value = json.dumps(write.get("data"), separators=(",", ":"))
            if len(value) > self.limits["value_kb"] * 1024:
                return 400, {"error": "too large"}
        failed = [
            c["key"] for c in when if self.keys.get(c["key"], (None, 0, None))[1] != c["key_rev"]
        ]
        if failed:
            return 409, {"failed": failed, "store_rev": self.rev}
        if writes:
            self.rev += 1
            for write in writes:
                if "write" in write:
                    self.keys[write["write"]] = (write["data"], self.rev, write.get("hold"))
                    self.log.append(
                        {"write": write["write"], "data": write["data"], "key_rev": self.rev}
                    )
                elif self.keys.pop(write["remove"], None) is not None:
                    self.log.append({"remove": write["remove"], "key_rev": self.rev})
            self._wake()
        return 200, {"store_rev": self.rev}
