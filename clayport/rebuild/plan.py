"""Divides the changes of a rebuild into transactions that the state service accepts.

The module does no I/O and reads no clock.
"""

from __future__ import annotations

from collections.abc import Iterator, Mapping
from typing import Any

import msgspec

from clayport.model import RANKS, SERVICE
from clayport.rebuild.chunk_merge import Records
from clayport.records.chunk import TXN_BYTES
from clayport.records.transaction import Txn

# An upper bound on the bytes that a write and its condition add to a request, besides the key
# and the value.
WRITE_OVERHEAD_BYTES = 64


def write_order(changes: Mapping[str, Any]) -> list[str]:
    """Return the keys in the order in which they are written.

    The live record and the chunks of each job come first, ordered by rank with services first,
    because a job can't be scheduled until its records exist. Quotas follow, then all other keys.
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
    """Yield transactions that write the changes.

    Each transaction requires the anchor of the rebuild's history and the revision of each key as
    read, so that the rebuild doesn't overwrite a later write of another process.

    Args:
        changes: The new value by key; None removes the key.
        records: The records as read.
        anchor: The key and the revision of the anchor of the rebuild's history.
        txn_ops: The number of writes that the state service accepts in a transaction.

    Yields:
        Transactions of at most `txn_ops` writes and, unless a single write is larger, at most
        `TXN_BYTES` bytes.
    """
    txn, size = Txn().require(*anchor), 0
    for key in write_order(changes):
        value = changes[key]
        added = (
            WRITE_OVERHEAD_BYTES + 2 * len(key) + (len(msgspec.json.encode(value)) if value else 0)
        )
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
