"""Conditional transactions (compare-and-swap), and the messages that commit them."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any, TypedDict

import msgspec


class Write(TypedDict, total=False):
    """One write of a transaction with the field names of the protocol: a put or a deletion.

    Keys:
        write: The key to put.
        data: The value to put.
        hold: The lease with which the key expires.
        remove: The key to delete.
    """

    write: str
    data: Any
    hold: int
    remove: str


class Txn:
    """A transaction under construction.

    Attributes:
        required_revs: The conditions: by key, the revision that it must have (0: the key must not
            exist).
        writes: The writes, in the order in which they are applied.
    """

    def __init__(self) -> None:
        self.required_revs: dict[str, int] = {}
        self.writes: list[Write] = []

    def require(self, key: str, rev: int) -> Txn:
        """Add the condition that the key has this revision (0: that the key does not exist)."""
        self.required_revs[key] = rev
        return self

    def put(self, key: str, value: Any, lease: int | None = None) -> Txn:
        """Add a write of the key; with a lease, the key expires with the lease."""
        write: Write = {"write": key, "data": value}
        if lease is not None:
            write["hold"] = lease
        self.writes.append(write)
        return self

    def delete(self, key: str) -> Txn:
        """Add the deletion of the key."""
        self.writes.append({"remove": key})
        return self


class Condition(msgspec.Struct):
    """The revision that a key must have for a commit to succeed."""

    key: str
    rev: int = msgspec.field(name="key_rev")


class CommitRequest(msgspec.Struct):
    """A transaction as sent; without writes it only compares revisions."""

    when: list[Condition]
    writes: list[Write] | msgspec.UnsetType = msgspec.UNSET


class CommitAnswer(msgspec.Struct):
    """The answer to a successful commit, with the revision of the commit."""

    rev: int = msgspec.field(name="store_rev")


class CommitConflict(msgspec.Struct):
    """The answer to a failed commit, with the keys whose revisions differ from the conditions."""

    failed: list[str] = []


def commit_request(txn: Txn, conditions: Mapping[str, int]) -> CommitRequest:
    """Return the message that commits a transaction's writes under the conditions.

    `conditions` are those of the transaction and any that the client adds.
    """
    return CommitRequest(
        [Condition(key, rev) for key, rev in conditions.items()], txn.writes or msgspec.UNSET
    )
