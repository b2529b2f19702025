"""Messages of the state service, except those of commits (`records.transaction`).

The structures map the field names of the protocol to the names used in the code.
"""

from __future__ import annotations

from typing import Any, TypeVar

import msgspec

from clayport.records.errors import OutcomeUnknownError

MessageT = TypeVar("MessageT")


class Entry(msgspec.Struct):
    """A key with its value and revision."""

    key: str
    value: Any = msgspec.field(name="data")
    rev: int = msgspec.field(name="key_rev")


class Page(msgspec.Struct):
    """One page of a scan; `more` tells whether further pages follow."""

    items: list[Entry] = msgspec.field(name="pairs")
    rev: int = msgspec.field(name="store_rev")
    more: bool = False


class Change(msgspec.Struct):
    """One change reported by a watch.

    Attributes:
        rev: The revision of the change.
        put: The key that was written, or None.
        delete: The key that was deleted, or None.
        value: The written value.
    """

    rev: int = msgspec.field(name="key_rev")
    put: str | None = msgspec.field(name="write", default=None)
    delete: str | None = msgspec.field(name="remove", default=None)
    value: Any = msgspec.field(name="data", default=None)


class WatchAnswer(msgspec.Struct):
    """The changes after a revision, and the revision from which the next watch starts."""

    rev: int = msgspec.field(name="store_rev")
    events: list[Change] = msgspec.field(name="log", default_factory=list)


class StoreRevision(msgspec.Struct):
    """The store revision in any answer; 0 if the answer has none."""

    rev: int = msgspec.field(name="store_rev", default=0)


class LeaseRequest(msgspec.Struct):
    """A request for a lease that expires `ttl_ms` milliseconds after its last renewal."""

    ttl_ms: int


class LeaseAnswer(msgspec.Struct):
    """A granted lease."""

    id: int = msgspec.field(name="hold")


def decode(payload: bytes, kind: type[MessageT]) -> MessageT:
    """Decode an answer of the given type.

    Raises:
        OutcomeUnknownError: The answer is malformed, so the outcome of the request is unknown.
    """
    try:
        return msgspec.json.decode(payload, type=kind)
    except msgspec.MsgspecError as exc:
        raise OutcomeUnknownError(f"malformed answer: {exc}") from None
