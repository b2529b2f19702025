"""Keys of the records that say which history they belong to (`rebuild`)."""

from __future__ import annotations

# Names the history of the records that holds.
HEAD_KEY = "c/lineage"


def is_anchor(key: str) -> bool:
    """Whether a key is an anchor of a history; no other key of the records has such a part."""
    return "/~" in key
