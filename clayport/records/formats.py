"""Format numbers of records and frames; a controller records the newest that it understands."""

from __future__ import annotations

# Format 2 adds job dependencies (`prereqs`), times in records and chunk sizes in chunk keys.
FORMAT = 2
# Format 3 adds histories of the records, which are used if rebuilding is enabled. Format 4 adds
# promises on cancellations instead, and format 5 adds both.
PROMISES_FORMAT = 4


def understands_histories(number: int) -> bool:
    """Return whether a controller with this format supports histories of the records."""
    return number in (3, 5)
