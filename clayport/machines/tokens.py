"""Fencing tokens, which make a worker refuse commands that were delayed in the network.

A worker refuses commands under a token lower than the highest that it has seen. A token is the
number of an epoch in the high bits and a counter in the low bits. Two parties raise the counter:

* The owner of a machine raises it after a command without an answer. It sends a launch directly
  only under a token that the worker has reported, or under the first token of its epoch.
* Another controller that renews the machine's lease without the owner raises it with every
  answer. The new token is above both kinds of tokens, so it voids every launch that the owner
  sent directly before. The owner takes the token over from the worker's next report.
"""

from __future__ import annotations

from clayport.membership.epoch import TOKEN_COUNTER_BITS


def epoch_of(token: int) -> int:
    """Return the number of the epoch in which a token was issued."""
    return token >> TOKEN_COUNTER_BITS


def initial_token(epoch_number: int) -> int:
    """Return the token that the owners of an epoch begin with."""
    return (epoch_number << TOKEN_COUNTER_BITS) + 1


def void_token(reported: int, epoch_number: int) -> int | None:
    """Return a token that voids every launch which the owner of a machine has sent directly.

    Args:
        reported: The token in the worker's report.
        epoch_number: The newest epoch known to the controller that answers the report.

    Returns:
        The token; None if the counter of the epoch has no higher value.
    """
    highest = max(reported, initial_token(epoch_number))
    token = highest + 1
    return token if epoch_of(token) == epoch_of(highest) else None
