"""Rendezvous hashing: which member a key belongs to, computed by each controller alone."""

from __future__ import annotations

from collections.abc import Iterable
from hashlib import blake2b

# The length of a hash; 64 bits make equal hashes of two members unlikely.
DIGEST_BYTES = 8


def rendezvous(key: str, members: Iterable[str]) -> str:
    """Return the member with the highest hash of key and member, or "" if there are none.

    When a member leaves, only the keys that it held move (highest random weight hashing).
    """
    return max(
        members,
        key=lambda member: (
            blake2b(f"{key}\0{member}".encode(), digest_size=DIGEST_BYTES).digest(),
            member,
        ),
        default="",
    )
