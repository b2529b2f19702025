"""Up to when a controller that renews leases knows every cancellation that users were told of.

The package's docstring says what a promise is and what it is for.
"""

from __future__ import annotations

import math
from collections.abc import Iterable

# The share of a promise's duration that its receiver counts on: clocks drift apart (by 0.05 %).
PROMISE_CERTAINTY = 0.99


class CancellationWatermark:
    """The moment up to which all cancellations disclosed to users are known here.

    Attributes:
        duration_s: How long a promise is counted on.
        records_read_at: When the records were read that are known here; they may be newer.
        valid_until: By peer, until when its promises are counted on.
        incarnations: By peer, the process that last promised.
        promise_requested_at: By peer, when the request was sent that its last promise answered.
        required_read_at: By peer, the moment after which the records must have been read for
            its promises to count.
    """

    def __init__(self, peers: Iterable[str], duration_s: float) -> None:
        """Begin without any knowledge; `duration_s` is the promises' duration at their givers."""
        self.duration_s = duration_s * PROMISE_CERTAINTY
        self.records_read_at = -math.inf
        self.valid_until = dict.fromkeys(peers, -math.inf)
        self.incarnations = dict.fromkeys(self.valid_until, "")
        self.promise_requested_at = dict.fromkeys(self.valid_until, -math.inf)
        self.required_read_at = dict.fromkeys(self.valid_until, math.inf)

    def note_records_read(self, at: float) -> None:
        """Record that all that was committed before the moment is known here."""
        self.records_read_at = max(self.records_read_at, at)

    def note_promise(self, peer: str, incarnation: str, sent: float, received: float) -> None:
        """Record the promise that a peer's process has given in answer to a request.

        No cancellation unknown here was disclosed if the promise before still holds, or if the
        same process has promised before and so vouches for the time between. What another
        process may have disclosed after the last promise of its predecessor had expired, only
        the records can say.

        Args:
            peer: The peer's label.
            incarnation: The peer's process.
            sent: When the request was sent, from which the promise's duration counts.
            received: When the answer arrived.
        """
        if received > self.valid_until[peer] and incarnation != self.incarnations[peer]:
            self.required_read_at[peer] = received
        self.incarnations[peer], self.promise_requested_at[peer] = incarnation, sent
        self.valid_until[peer] = max(self.valid_until[peer], sent + self.duration_s)

    def known_until(self) -> float:
        """Return the moment up to which every cancellation that a user was told of is known."""
        # Clocks advance in steps: records read at the very moment required may have been read
        # before it, so the two being equal is not enough.
        if self.records_read_at == -math.inf or any(
            self.records_read_at <= required for required in self.required_read_at.values()
        ):
            return self.records_read_at
        return max(self.records_read_at, min(self.valid_until.values(), default=math.inf))
