"""A simulated state service that follows the published behaviour of the real one."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING, Any

from .settings import SETTINGS

if TYPE_CHECKING:
    from .deployment import World


class State:
    """A key-value store with revisions, watches, leases and conditional transactions."""

    def __init__(self, world: World) -> None:
        self.world = world
        self.rev = 1
        self.keys: dict[str, tuple[Any, int, int | None]] = {}
        self.log: list[dict[str, Any]] = []
        self.leases: dict[int, tuple[float, float]] = {}
        self.down_until = 0.0
        self.refused: set[str] = set()  # controllers that are answered 503, while others are served
        self.next_lease = 1
        self.limits = {k: v for k, v in SETTINGS["state"].items() if k != "next"}
        # Time, revision, keys and log length after each change, for `roll_back`. With None, past
        # states are not kept.
        self.past: list[tuple[float, int, dict[str, Any], int]] | None = None

    def remember(self) -> None:
        """Save the present state in `past`, if `past` is kept."""
        if self.past is not None:
            self.past.append((self.world.clock(), self.rev, dict(self.keys), len(self.log)))

    def roll_back(self, seconds: float) -> int:
        """Return to the state of some seconds ago; return how many revisions are lost.

        Revisions and leases are rolled back as well.
        """
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
        """Remove the records under a prefix without a new revision; return how many are removed."""
        lost = [k for k in self.keys if k.startswith(prefix)]
        for key in lost:
            del self.keys[key]
        return len(lost)

    def apply_change(self, key: str, value: Any, lease: int | None, rev: int) -> None:
        """Write a key, or remove it if the value is None, and log the change."""
        if value is None:
            if self.keys.pop(key, None) is not None:
                self.log.append({"remove": key, "key_rev": rev})
        else:
            self.keys[key] = (value, rev, lease)
            self.log.append({"write": key, "data": value, "key_rev": rev})

    def changes(self, prefix: str, since: int) -> list[dict[str, Any]]:
        """Return the changes under a prefix after a revision."""
        return [
            c
            for c in self.log
            if c["key_rev"] > since and (c.get("write") or c.get("remove", "")).startswith(prefix)
        ]

    def expire(self, now: float) -> None:
        """End the leases that have run out, except during an outage."""
        if now < self.down_until:
            return
        for lease in [i for i, (end, _) in self.leases.items() if end < now]:
            self.end_lease(lease)

    def end_lease(self, lease: int) -> None:
        """End a lease and remove the keys attached to it."""
        del self.leases[lease]
        attached = [k for k, v in self.keys.items() if v[2] == lease]
        if attached:
            self.rev += 1
        for key in attached:
            self.apply_change(key, None, None, self.rev)
        self.remember()

    def outage(self, now: float, for_s: float) -> None:
        """Answer 503 to everything for a while; leases get their full time to live after it."""
        self.down_until = now + for_s
        self.leases = {i: (self.down_until + ttl, ttl) for i, (_, ttl) in self.leases.items()}

    def handle(self, method: str, path: str, body: Any, now: float) -> tuple[int, Any]:
        """Answer a request other than a watch."""
        self.expire(now)
        if now < self.down_until:
            return 503, {"error": "trouble"}
        resource, _, query = path.partition("?")
        args = dict(p.split("=", 1) for p in query.split("&")) if query else {}
        if resource == "/keys":
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
        if resource.startswith("/keys/"):
            key = resource[6:]
            if key not in self.keys:
                return 404, {"store_rev": self.rev}
            return 200, {"key": key, "data": self.keys[key][0], "key_rev": self.keys[key][1]}
        if resource == "/leases":
            ttl = body["ttl_ms"] / 1000
            self.leases[self.next_lease] = (now + ttl, ttl)
            self.next_lease += 1
            return 200, {"hold": self.next_lease - 1}
        if resource.endswith("/touch"):
            lease = int(resource.split("/")[2])
            if lease not in self.leases:
                return 404, {}
            ttl = self.leases[lease][1]
            self.leases[lease] = (now + ttl, ttl)
            return 200, {}
        if resource == "/commit":
            return self.commit(body)
        raise AssertionError(path)

    def commit(self, body: Any) -> tuple[int, Any]:
        """Execute a transaction if all of its conditions hold."""
        writes = body.get("writes", [])
        max_writes = self.limits["txn_ops"]
        if (
            len(writes) > max_writes
            or len(body["when"]) > 4 * max_writes
            or len(json.dumps(body)) > 64 * 1024
        ):
            self.world.rejected_writes.append(f"transaction of {len(writes)} {body}")
            return 400, {"error": "too large"}
        for write in writes:
            if write.get("hold") is not None and write["hold"] not in self.leases:
                return 400, {"error": "no such lease"}
            if len(json.dumps(write.get("data"))) > self.limits["value_kb"] * 1024:
                self.world.rejected_writes.append(f"value of {write}")
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
                self.world.sized_chunk_keys.add(key)
            if "write" in write:
                self.apply_change(write["write"], write["data"], write.get("hold"), self.rev)
            else:
                self.apply_change(write["remove"], None, None, self.rev)
        if writes:
            self.remember()
        return 200, {"store_rev": self.rev}
