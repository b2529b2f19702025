"""Exponential backoff."""

from __future__ import annotations

# The largest exponent, so that the power of two stays within the range of floats.
MAX_EXPONENT = 16


def backoff_s(first_s: float, longest_s: float, earlier: int) -> float:
    """Return a pause that doubles each time, in seconds.

    Args:
        first_s: The first pause.
        longest_s: The longest pause.
        earlier: The number of earlier pauses.
    """
    return min(longest_s, first_s * 2.0 ** min(earlier, MAX_EXPONENT))
