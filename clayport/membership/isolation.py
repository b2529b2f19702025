"""Detects that a controller is cut off from its peers and should leave the members."""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping


def should_leave(
    now: float, label: str, heard_at: Mapping[str, float], present: Iterable[str], timeout_s: float
) -> bool:
    """Return whether a controller that has lost contact with its peers should leave the members.

    The key of a crashed peer expires with its lease. If most of the peers whose keys remain are
    silent, this controller is the one that is cut off. Of two controllers that cannot reach each
    other, the one whose label sorts first stays a member, so that exactly one of them leaves.

    Args:
        now: The time in seconds, on the clock of `heard_at`.
        label: This controller.
        heard_at: When each peer was last heard from.
        present: The controllers whose keys are in the state service.
        timeout_s: The silence after which a peer counts as unreachable.
    """
    others = [peer for peer in present if peer != label]
    silent = [peer for peer in others if now - heard_at.get(peer, -math.inf) > timeout_s]
    if not others or len(silent) * 2 <= len(others):
        return False
    return len(others) > 1 or min(others) < label
