"""Divide the changes of a rebuild into transactions that the state service accepts.

Pure: no I/O, no clock.
"""

from __future__ import annotations

from collections.abc import Iterator, Mapping
from typing import Any

import msgspec

from clayport.model import RANKS, SERVICE
from clayport.rebuild.chunk_merge import Records
from clayport.records.chunk import TXN_BYTES
from clayport.records.transaction import Txn

# The size of a write and its condition in a request beside key and value, at most.
ROW_BYTES = 64


def in_order(changes: Mapping[str, Any]) -> list[str]:
    """Return the keys in the order of writing, the most urgent jobs first.

    Live records come by rank, services first, each with its chunks; then quotas; then all
    else. Until a job's records are there it can't be scheduled.
    """
    ranks: dict[str, tuple[int, int]] = {}
    for key, value in changes.items():
        if key.startswith("c/live/") and value is not None:
            description = value["j"]
            ranks[key[len("c/live/") :]] = (
                description["shape"] != SERVICE,
                -RANKS[description["rank"]],
            )

    def sort_key(key: str) -> tuple[Any, ...]:
        prefix, _, rest = key.partition("/")
        job = rest.partition("/")[2] if rest.startswith("live/") else rest.partition("/")[0]
        if key.startswith(("c/live/", "run/")):
            return (0, *ranks.get(job, (True, 0)), job, prefix, key)
        return (1 if prefix == "quota" else 2, True, 0, "", "", key)

    return sorted(changes, key=sort_key)


def transactions(
    changes: Mapping[str, Any], records: Records, anchor: tuple[str, int], txn_ops: int
) -> Iterator[Txn]:
    """Yield the writes, each conditional on the rebuild's history and on the key as read.

    So nothing is overwritten that another process has written since.

    Args:
        changes: The new value by key; None: to be removed.
        records: The records as they were read.
        anchor: Key and revision of the anchor of the rebuild's history.
        txn_ops: Writes that the state service takes in a transaction.

    Yields:
        Transactions within `txn_ops` writes and (unless one write alone is larger)
        `TXN_BYTES` bytes.
    """
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
