"""Rendezvous hashing: assigns keys to members without coordination between controllers."""

from __future__ import annotations

from collections.abc import Iterable
from hashlib import blake2b

# The length of a hash. With 64 bits, equal hashes of two members are unlikely.
DIGEST_BYTES = 8


def rendezvous(key: str, members: Iterable[str]) -> str:
    """Return the member with the highest hash of key and member, or "" if there are none.

    When a member leaves, only its keys are reassigned (highest random weight hashing).
    """
    return max(
        members,
        key=lambda member: (
            blake2b(f"{key}\0{member}".encode(), digest_size=DIGEST_BYTES).digest(),
            member,
        ),
        default="",
    )
