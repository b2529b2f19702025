"""A stand-in for the state service, with its published behaviour."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING, Any

from .settings import SETTINGS

if TYPE_CHECKING:
    from .deployment import World


class State:
    """The state service's published behaviour."""

    def __init__(self, world: World) -> None:
        self.world = world
        self.rev = 1
        self.keys: dict[str, tuple[Any, int, int | None]] = {}
        self.log: list[dict[str, Any]] = []
        self.leases: dict[int, tuple[float, float]] = {}
        self.down_until = 0.0
        self.refused: set[str] = set()  # controllers that it answers 503, and nobody else
        self.next_lease = 1
        self.limits = {k: v for k, v in SETTINGS["state"].items() if k != "next"}
        # What it held after each change, where it is to lose some of that.
        self.past: list[tuple[float, int, dict[str, Any], int]] | None = None

    def remember(self) -> None:
        if self.past is not None:
            self.past.append((self.world.clock(), self.rev, dict(self.keys), len(self.log)))

    def lose(self, seconds: float) -> int:
        """Be as it was so long ago, revisions and leases as well; how many changes are gone."""
        assert self.past is not None
        since, before = self.world.clock() - seconds, self.rev
        while len(self.past) > 1 and self.past[-1][0] > since:
            self.past.pop()
        if self.past[-1][0] > since:
            self.past[:] = [(since, 1, {}, 0)]
        _, self.rev, keys, length = self.past[-1]
        self.keys = dict(keys)
        del self.log[length:]
        self.leases = {
            i: v for i, v in self.leases.items() if any(k[2] == i for k in self.keys.values())
        }
        return before - self.rev

    def lose_keys(self, prefix: str) -> int:
        """Be without some records, at the same revision."""
        gone = [k for k in self.keys if k.startswith(prefix)]
        for key in gone:
            del self.keys[key]
        return len(gone)

    def change(self, key: str, value: Any, lease: int | None, rev: int) -> None:
        if value is None:
            if self.keys.pop(key, None) is not None:
                self.log.append({"remove": key, "key_rev": rev})
        else:
            self.keys[key] = (value, rev, lease)
            self.log.append({"write": key, "data": value, "key_rev": rev})

    def changes(self, prefix: str, since: int) -> list[dict[str, Any]]:
        return [
            c
            for c in self.log
            if c["key_rev"] > since and (c.get("write") or c.get("remove", "")).startswith(prefix)
        ]

    def expire(self, now: float) -> None:
        if now < self.down_until:
            return
        for lease in [i for i, (end, _) in self.leases.items() if end < now]:
            self.drop(lease)

    def drop(self, lease: int) -> None:
        del self.leases[lease]
        attached = [k for k, v in self.keys.items() if v[2] == lease]
        if attached:
            self.rev += 1
        for key in attached:
            self.change(key, None, None, self.rev)
        self.remember()

    def outage(self, now: float, for_s: float) -> None:
        self.down_until = now + for_s
        self.leases = {i: (self.down_until + ttl, ttl) for i, (_, ttl) in self.leases.items()}

    def handle(self, method: str, path: str, body: Any, now: float) -> tuple[int, Any]:
        self.expire(now)
        if now < self.down_until:
            return 503, {"error": "trouble"}
        where, _, query = path.partition("?")
        args = dict(p.split("=", 1) for p in query.split("&")) if query else {}
        if where == "/keys":
            keys = sorted(
                k for k in self.keys if k.startswith(args["prefix"]) and k > args.get("since", "")
            )
            return 200, {
                "pairs": [
                    {"key": k, "data": self.keys[k][0], "key_rev": self.keys[k][1]}
                    for k in keys[:1000]
                ],
                "more": len(keys) > 1000,
                "store_rev": self.rev,
            }
        if where.startswith("/keys/"):
            key = where[6:]
            if key not in self.keys:
                return 404, {"store_rev": self.rev}
            return 200, {"key": key, "data": self.keys[key][0], "key_rev": self.keys[key][1]}
        if where == "/leases":
            ttl = body["ttl_ms"] / 1000
            self.leases[self.next_lease] = (now + ttl, ttl)
            self.next_lease += 1
            return 200, {"hold": self.next_lease - 1}
        if where.endswith("/touch"):
            lease = int(where.split("/")[2])
            if lease not in self.leases:
                return 404, {}
            ttl = self.leases[lease][1]
            self.leases[lease] = (now + ttl, ttl)
            return 200, {}
        if where == "/commit":
            return self.commit(body)
        raise AssertionError(path)

    def commit(self, body: Any) -> tuple[int, Any]:
        writes = body.get("writes", [])
        most = self.limits["txn_ops"]
        if len(writes) > most or len(body["when"]) > 4 * most or len(json.dumps(body)) > 64 * 1024:
            self.world.refused.append(f"transaction of {len(writes)} {body}")
            return 400, {"error": "too large"}
        for write in writes:
            if write.get("hold") is not None and write["hold"] not in self.leases:
                return 400, {"error": "no such lease"}
            if len(json.dumps(write.get("data"))) > self.limits["value_kb"] * 1024:
                self.world.refused.append(f"value of {write}")
                return 400, {"error": "too large"}
        failed = [
            c["key"] for c in body["when"] if self.keys.get(c["key"], (None, 0))[1] != c["key_rev"]
        ]
        if failed:
            return 409, {"failed": failed, "store_rev": self.rev}
        if writes:
            self.rev += 1
        for write in writes:
            key = write.get("write", "")
            if key.startswith("run/") and "." in key:
                self.world.moved.add(key)
            if "write" in write:
                self.change(write["write"], write["data"], write.get("hold"), self.rev)
            else:
                self.change(write["remove"], None, None, self.rev)
        if writes:
            self.remember()
        return 200, {"store_rev": self.rev}
