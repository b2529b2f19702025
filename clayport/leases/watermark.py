"""Tracks the time up to which this controller knows all cancellations disclosed to users.

The package's docstring defines promises and their purpose.
"""

from __future__ import annotations

import math
from collections.abc import Iterable

# The share of a promise's duration that its receiver relies on, because the rates of two clocks
# differ (by 0.05 %).
PROMISE_CERTAINTY = 0.99


class CancellationWatermark:
    """Tracks the time up to which all cancellations disclosed to users are known here.

    Attributes:
        duration_s: How long a promise is relied on.
        records_read_at: All changes of the records that were committed before this time are known
            here.
        valid_until: By peer, until when its promises are relied on.
        incarnations: By peer, the process that gave the last promise.
        required_read_at: By peer, the time after which the records must have been read for its
            promises to be relied on.
    """

    def __init__(self, peers: Iterable[str], duration_s: float) -> None:
        """Start without promises or reads; a promise lasts `duration_s` on its giver's clock."""
        self.duration_s = duration_s * PROMISE_CERTAINTY
        self.records_read_at = -math.inf
        self.valid_until = dict.fromkeys(peers, -math.inf)
        self.incarnations = dict.fromkeys(self.valid_until, "")
        self.required_read_at = dict.fromkeys(self.valid_until, math.inf)

    def note_records_read(self, at: float) -> None:
        """Record that all changes committed before `at` are known here."""
        self.records_read_at = max(self.records_read_at, at)

    def note_promise(self, peer: str, incarnation: str, sent: float, received: float) -> None:
        """Record a promise that a process of the peer gave in answer to a request.

        The promise also covers the time before it if the previous promise is still valid or was
        given by the same process: a process renews a promise only after the receiver has
        acknowledged all disclosed cancellations. A new process doesn't know what its predecessor
        disclosed after the last promise had expired, so then the records have to be read.

        Args:
            peer: The peer's label.
            incarnation: The peer's process.
            sent: When the request was sent; the promise's duration counts from then.
            received: When the answer arrived.
        """
        if received > self.valid_until[peer] and incarnation != self.incarnations[peer]:
            self.required_read_at[peer] = received
        self.incarnations[peer] = incarnation
        self.valid_until[peer] = max(self.valid_until[peer], sent + self.duration_s)

    def disclosures_known_until(self) -> float:
        """Return the time up to which every cancellation disclosed to users is known here."""
        # Clocks advance in steps, so a read with the same timestamp as the requirement may have
        # happened before it. The time of the read has to be strictly later.
        if self.records_read_at == -math.inf or any(
            self.records_read_at <= required for required in self.required_read_at.values()
        ):
            return self.records_read_at
        return max(self.records_read_at, min(self.valid_until.values(), default=math.inf))
