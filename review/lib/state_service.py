"""A stand-in for the state service, as the users' protocol describes it."""

from __future__ import annotations

import asyncio
import json
import random
import time
from collections import deque
from typing import Any
from urllib.parse import parse_qs

from lib import web

LATENCY_S = 0.005
# "occasionally a few hundred" milliseconds.
SLOW_LATENCY_S, SLOW_SHARE = 0.2, 0.005
KEPT_CHANGES = 10_000


class Bucket:
    """A rate limit that allows bursts of one second's worth."""

    def __init__(self, rate: float) -> None:
        self.rate, self.level, self.at = rate, rate, time.monotonic()

    def take(self, amount: int) -> bool:
        """Take tokens if there are enough; return whether there were."""
        now = time.monotonic()
        self.level = min(self.rate, self.level + (now - self.at) * self.rate)
        self.at = now
        if amount > self.level:
            return False
        self.level -= amount
        return True


class StateService:
    """A consistent key-value store; each controller reaches it over a port of its own.

    Attributes:
        out: Whether there is an outage: every request is answered with 503.
        refused: The controllers that alone are answered with 503.
    """

    def __init__(self, limits: dict[str, float], seed: int) -> None:
        self.limits = limits
        self.random = random.Random(seed)
        self.rev = 1
        self.keys: dict[str, tuple[Any, int, int | None]] = {}
        self.log: deque[tuple[int, dict[str, Any]]] = deque(maxlen=KEPT_CHANGES)
        self.leases: dict[int, list[float]] = {}
        self.next_lease = 1
        self.out = False
        self.refused: set[str] = set()
        self.changed = asyncio.Event()
        self.requests, self.writes = Bucket(limits["rps"]), Bucket(limits["write_rps"])
        self.refusals = 0

    async def start(self, label: str) -> int:
        """Listen for one controller; return the port."""

        async def handler(method: str, path: str, body: Any) -> tuple[int, Any] | None:
            slow = self.random.random() < SLOW_SHARE
            await asyncio.sleep(SLOW_LATENCY_S if slow else LATENCY_S)
            if self.out or label in self.refused:
                return 503, {"error": "trouble"}
            if not self.requests.take(1):
                self.refusals += 1
                return 429, {"error": "too many requests"}
            path, _, query = path.partition("?")
            args = {k: v[0] for k, v in parse_qs(query).items()}
            if path == "/changes":
                return await self._watch(label, args)
            return self._handle(method, path, args, body)

        return (await web.serve(handler))[1]

    async def expire_leases(self) -> None:
        """End the leases that are not renewed in time, for as long as the case runs."""
        while True:
            await asyncio.sleep(0.02)
            now = time.monotonic()
            if self.out:
                continue
            for lease in [n for n, (end, _) in self.leases.items() if end < now]:
                self._end_lease(lease)

    def end_outage(self) -> None:
        """End the outage; every lease has its full time again."""
        self.out = False
        now = time.monotonic()
        for lease in self.leases.values():
            lease[0] = now + lease[1]
        self._wake()

    def _end_lease(self, lease: int) -> None:
        del self.leases[lease]
        attached = [key for key, entry in self.keys.items() if entry[2] == lease]
        if attached:
            self.rev += 1
        for key in attached:
            self._remove(key)
        self._wake()

    def _wake(self) -> None:
        event, self.changed = self.changed, asyncio.Event()
        event.set()

    def _remove(self, key: str) -> None:
        if self.keys.pop(key, None) is not None:
            self.log.append((self.rev, {"remove": key, "key_rev": self.rev}))

    async def _watch(self, label: str, args: dict[str, str]) -> tuple[int, Any]:
        prefix, since = args["prefix"], int(args["since"])
        end = time.monotonic() + int(args.get("block_ms", "0")) / 1000
        while True:
            changed = self.changed
            if not self.out and label not in self.refused:
                if len(self.log) == KEPT_CHANGES and self.log[0][0] > since + 1:
                    return 410, {}
                found = [
                    change
                    for rev, change in self.log
                    if rev > since and (change.get("write") or change["remove"]).startswith(prefix)
                ]
                if found or time.monotonic() >= end:
                    return 200, {"store_rev": self.rev, "log": found}
            left = end - time.monotonic() if end > time.monotonic() else 0.05
            try:
                await asyncio.wait_for(changed.wait(), left)
            except TimeoutError:
                pass

    def _handle(
        self, method: str, path: str, args: dict[str, str], body: Any
    ) -> tuple[int, Any] | None:
        if path == "/commit":
            return self._commit(body)
        if path == "/keys":
            return self._list(args)
        if path.startswith("/keys/"):
            entry = self.keys.get(path[len("/keys/") :])
            if entry is None:
                return 404, {"store_rev": self.rev}
            found = {"key": path[len("/keys/") :], "data": entry[0], "key_rev": entry[1]}
            return 200, found | ({"hold": entry[2]} if entry[2] is not None else {})
        if path == "/leases":
            ttl_s = body["ttl_ms"] / 1000
            self.leases[self.next_lease] = [time.monotonic() + ttl_s, ttl_s]
            self.next_lease += 1
            return 200, {"hold": self.next_lease - 1}
        lease = int(path.split("/")[2])
        if lease not in self.leases:
            return 404, {}
        if method == "DELETE":
            self._end_lease(lease)
        else:
            self.leases[lease][0] = time.monotonic() + self.leases[lease][1]
        return 200, {}

    def _list(self, args: dict[str, str]) -> tuple[int, Any]:
        since = args.get("since", "")
        keys = sorted(k for k in self.keys if k.startswith(args["prefix"]) and k > since)
        pairs: list[dict[str, Any]] = []
        size = 0
        for key in keys[: min(1000, int(args.get("most", "1000")))]:
            pair = {"key": key, "data": self.keys[key][0], "key_rev": self.keys[key][1]}
            size += len(json.dumps(pair))
            if size > 512 * 1024:
                break
            pairs.append(pair)
        return 200, {"pairs": pairs, "more": len(pairs) < len(keys), "store_rev": self.rev}

    def _commit(self, body: Any) -> tuple[int, Any]:
        writes, when = body.get("writes") or [], body.get("when") or []
        if writes and not self.writes.take(len(writes)):
            self.refusals += 1
            return 429, {"error": "too many changes"}
        if (
            len(writes) > self.limits["txn_ops"]
            or len(when) > 4 * self.limits["txn_ops"]
            or len(json.dumps(body)) > 64 * 1024
        ):
            return 400, {"error": "too large"}
        for write in writes:
            if "write" in write:
                if write.get("hold") is not None and write["hold"] not in self.leases:
                    return 400, {"error": "no such lease"}
                if len(json.dumps(write["data"])) > self.limits["value_kb"] * 1024:
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
                key = write["write"]
                self.keys[key] = (write["data"], self.rev, write.get("hold"))
                self.log.append(
                    (self.rev, {"write": key, "data": write["data"], "key_rev": self.rev})
                )
            else:
                self._remove(write["remove"])
        if writes:
            self._wake()
        return 200, {"store_rev": self.rev}
