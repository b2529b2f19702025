"""Fencing tokens, which make a worker refuse commands that were delayed in the network.

A worker refuses commands under a token lower than the highest that it has seen. A token is the
number of an epoch in the high bits and a counter in the low bits. Two parties raise the counter:

* The owner of a machine raises it after a command without an answer, and with the command to
  clear a task that was launched directly under the current token. It sends a launch directly only
  under a token that the worker has reported, or under the first token of its epoch.
* Another controller that renews the machine's lease without the owner raises it with every
  answer. The new token is above both kinds of tokens, so it voids every launch that the owner
  sent directly before. The owner takes the token over from the worker's next report.

The network may deliver a request again long after the worker has answered it. A worker ignores a
copy of a launch while it lists the task, but not after the task has been cleared. So a clear is
sent only under a token above that of the launch (`LaunchFence`).
"""

from __future__ import annotations

from typing import NamedTuple

# How many low bits of a token hold the counter; the epoch's number is above them.
TOKEN_COUNTER_BITS = 24


class LaunchFence(NamedTuple):
    """The session and the token that a launch was sent under in a request to the worker.

    A worker that has a higher session, or the same session and a higher token, refuses the
    request and each copy of it.
    """

    session: int
    token: int


# The fence of a task that has never been launched directly; any token voids it.
NOT_LAUNCHED = LaunchFence(0, 0)


def epoch_of(token: int) -> int:
    """Return the number of the epoch in which a token was issued."""
    return token >> TOKEN_COUNTER_BITS


def initial_token(epoch_number: int) -> int:
    """Return the token that the owners of an epoch begin with."""
    return (epoch_number << TOKEN_COUNTER_BITS) + 1


def token_above_epoch(epoch_number: int) -> int:
    """Return a token above all that are issued in an epoch, under which nothing is launched."""
    return (epoch_number + 1) << TOKEN_COUNTER_BITS


def raised_token(token: int) -> int | None:
    """Return the next token of the same epoch; None if the epoch has no higher one."""
    raised = token + 1
    return raised if epoch_of(raised) == epoch_of(token) else None


def void_token(reported: int, epoch_number: int) -> int | None:
    """Return a token that voids every launch which the owner of a machine has sent directly.

    Args:
        reported: The token in the worker's report.
        epoch_number: The newest epoch known to the controller that answers the report.

    Returns:
        The token; None if the counter of the epoch has no higher value.
    """
    return raised_token(max(reported, initial_token(epoch_number)))
