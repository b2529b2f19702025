"""Formats of records and frames. Each controller stores the newest that it understands."""

from __future__ import annotations

# Format 2: DAG dependencies (`prereqs`), times in records, sizes in the keys of chunks.
FORMAT = 2
# Format 3: histories of the records, where rebuilding is switched on.
# Format 4: promises on cancellations. Format 5: both.
PROMISES_FORMAT = 4


def understands_histories(number: int) -> bool:
    """Return whether a controller of that format understands histories of the records."""
    return number in (3, 5)
