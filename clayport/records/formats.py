"""Versions of the records and frames that a controller understands, as its own record says."""

from __future__ import annotations

# 2: prereqs, times in records, sizes in the keys of chunks.
FORMAT = 2
# 3: histories of the records, where rebuilding is switched on.
# 4: promises on cancellations; 5: both.
PROMISES_FORMAT = 4


def understands_histories(number: int) -> bool:
    """Whether a controller of that format understands histories of the records."""
    return number in (3, 5)
