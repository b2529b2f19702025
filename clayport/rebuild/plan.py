"""The writes of a rebuild, as transactions that the state service takes. Pure."""

from __future__ import annotations

from collections.abc import Iterator, Mapping
from typing import Any

import msgspec

from clayport.model import RANKS, SERVICE
from clayport.rebuild.merge import Values
from clayport.records.chunk import TXN_BYTES
from clayport.records.store import Txn

# What a write and a condition take beside key and value.
ROW_BYTES = 64


def in_order(changes: Mapping[str, Any]) -> list[str]:
    """The keys, what is of most use first: live records by rank, services first, with their
    tasks; then quotas and how jobs ended."""
    ranks: dict[str, tuple[int, int]] = {}
    for key, value in changes.items():
        if key.startswith("c/live/") and value is not None:
            desc = value["j"]
            ranks[key[len("c/live/") :]] = (desc["shape"] != SERVICE, -RANKS[desc["rank"]])

    def place(key: str) -> tuple[Any, ...]:
        prefix, _, rest = key.partition("/")
        job = rest.partition("/")[2] if rest.startswith("live/") else rest.partition("/")[0]
        if key.startswith(("c/live/", "run/")):
            return (0, *ranks.get(job, (True, 0)), job, prefix, key)
        return (1 if prefix == "quota" else 2, True, 0, "", "", key)

    return sorted(changes, key=place)


def transactions(
    changes: Mapping[str, Any], records: Values, anchor: tuple[str, int], txn_ops: int
) -> Iterator[Txn]:
    """Writes under the condition that the rebuild's own history stands, and that each key is
    as it was read: what somebody else has done meanwhile is never overwritten."""
    txn, size = Txn().require(*anchor), 0
    for key in in_order(changes):
        value = changes[key]
        added = ROW_BYTES + 2 * len(key) + (len(msgspec.json.encode(value)) if value else 0)
        if txn.writes and (len(txn.writes) == txn_ops or size + added > TXN_BYTES):
            yield txn
            txn, size = Txn().require(*anchor), 0
        size += added
        txn.require(key, records[key][1] if key in records else 0)
        if value is None:
            txn.delete(key)
        else:
            txn.put(key, value)
    if txn.writes:
        yield txn
