"""Whether a controller is cut off from its peers and should leave the members."""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping


def should_leave(
    now: float, label: str, heard_at: Mapping[str, float], present: Iterable[str], timeout_s: float
) -> bool:
    """Return whether a controller that reaches no present peer should step aside.

    The key of a peer that has crashed expires with its lease. If the keys of peers live on
    but most of these peers can't be reached, it is this controller that is cut off. Of two
    that don't reach each other the one whose label is first in order stays, so that one does.

    Args:
        now: The time, in seconds of the clock of `heard_at`.
        label: This controller.
        heard_at: When each peer was last heard of.
        present: The controllers whose keys are in the state service.
        timeout_s: The silence after which a peer counts as out of reach.
    """
    others = [peer for peer in present if peer != label]
    silent = [peer for peer in others if now - heard_at.get(peer, -math.inf) > timeout_s]
    if not others or len(silent) * 2 <= len(others):
        return False
    return len(others) > 1 or min(others) < label
