"""The state service's messages, apart from those of a commit (`records.transaction`).

The protocol's field names stay on the wire; the structures here map them to ours.
"""

from __future__ import annotations

from typing import Any, TypeVar

import msgspec

from clayport.records.errors import OutcomeUnknownError

MessageT = TypeVar("MessageT")


class Entry(msgspec.Struct):
    """A key as the service holds it."""

    key: str
    value: Any = msgspec.field(name="data")
    rev: int = msgspec.field(name="key_rev")


class Page(msgspec.Struct):
    """One page of the keys with a prefix; `more` says whether others follow."""

    items: list[Entry] = msgspec.field(name="pairs")
    rev: int = msgspec.field(name="store_rev")
    more: bool = False


class Change(msgspec.Struct):
    """One change that a watch reports.

    Attributes:
        rev: The revision of the change.
        put: The key that was written, if one was.
        delete: The key that was removed, if one was.
        value: What was written.
    """

    rev: int = msgspec.field(name="key_rev")
    put: str | None = msgspec.field(name="write", default=None)
    delete: str | None = msgspec.field(name="remove", default=None)
    value: Any = msgspec.field(name="data", default=None)


class WatchAnswer(msgspec.Struct):
    """The changes since a revision, and the revision that they lead to."""

    rev: int = msgspec.field(name="store_rev")
    events: list[Change] = msgspec.field(name="log", default_factory=list)


class StoreRevision(msgspec.Struct):
    """The revision of the store, in whichever answer carries one; 0 where none does."""

    rev: int = msgspec.field(name="store_rev", default=0)


class LeaseRequest(msgspec.Struct):
    """Asks for a lease that expires `ttl_ms` milliseconds after its last renewal."""

    ttl_ms: int


class LeaseAnswer(msgspec.Struct):
    """The lease that was granted."""

    id: int = msgspec.field(name="hold")


def decode(payload: bytes, kind: type[MessageT]) -> MessageT:
    """Decode an answer of the given kind.

    Raises:
        OutcomeUnknownError: The answer is malformed, which says nothing of the request's outcome.
    """
    try:
        return msgspec.json.decode(payload, type=kind)
    except msgspec.MsgspecError as exc:
        raise OutcomeUnknownError(f"malformed answer: {exc}") from None
