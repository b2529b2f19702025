"""Transactions on conditions (compare-and-swap), and the messages that commit them."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any, TypedDict

import msgspec


class Write(TypedDict, total=False):
    """One write of a transaction, in the protocol's terms: a put or a removal.

    Keys:
        write: The key to put.
        data: The value to put.
        hold: The lease with which the put key expires.
        remove: The key to remove.
    """

    write: str
    data: Any
    hold: int
    remove: str


class Txn:
    """A transaction under construction.

    Attributes:
        when: The conditions: the revision that each of these keys must have (0: no such key).
        writes: The writes, in the order in which they are applied.
    """

    def __init__(self) -> None:
        self.when: dict[str, int] = {}
        self.writes: list[Write] = []

    def require(self, key: str, rev: int) -> Txn:
        """Add the condition that the key has this revision (0: that there is no such key)."""
        self.when[key] = rev
        return self

    def put(self, key: str, value: Any, lease: int | None = None) -> Txn:
        """Add a write of the key; with a lease, the key expires with that."""
        write: Write = {"write": key, "data": value}
        if lease is not None:
            write["hold"] = lease
        self.writes.append(write)
        return self

    def delete(self, key: str) -> Txn:
        """Add the removal of the key."""
        self.writes.append({"remove": key})
        return self


class Condition(msgspec.Struct):
    """The revision that a key must have for a commit to be carried out."""

    key: str
    rev: int = msgspec.field(name="key_rev")


class CommitRequest(msgspec.Struct):
    """A transaction as it is sent; without writes it is a comparison."""

    when: list[Condition]
    writes: list[Write] | msgspec.UnsetType = msgspec.UNSET


class CommitAnswer(msgspec.Struct):
    """The commit was carried out, at this revision of the store."""

    rev: int = msgspec.field(name="store_rev")


class CommitConflict(msgspec.Struct):
    """The commit was not carried out: these keys have other revisions."""

    failed: list[str] = []


def commit_request(txn: Txn, conditions: Mapping[str, int]) -> CommitRequest:
    """Return the message that commits a transaction's writes under the conditions.

    `conditions` are those of the transaction and any that the client adds to them.
    """
    return CommitRequest(
        [Condition(key, rev) for key, rev in conditions.items()], txn.writes or msgspec.UNSET
    )
