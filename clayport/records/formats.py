"""Format numbers of records and frames. Each controller records the newest it understands."""

from __future__ import annotations

# Format 2: job dependencies (`prereqs`), times in records, chunk sizes in chunk keys.
FORMAT = 2
# Format 3: histories of the records, used if rebuilding is enabled.
# Format 4: promises on cancellations. Format 5: both.
PROMISES_FORMAT = 4


def understands_histories(number: int) -> bool:
    """Return whether a controller with this format supports histories of the records."""
    return number in (3, 5)
