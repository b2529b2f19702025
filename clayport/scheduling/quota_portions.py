"""A protocol that divides a team's quota into portions, one for each holder.

With portions a holder can start tasks without a write to a record that all holders share. Nothing
calls this module yet. At present every commit that assigns or ends tasks of a limited team also
writes one record of that team (`QuotaCharger.charge`). docs/cells.md explains why that won't
sustain the number of starts expected in two years, and why portions are the first step. The
decisions are kept here with tests that visit every order of events, so that the protocol is
verified before commits use it. docs/ROADMAP.md lists what is missing for that.

This module does no I/O and reads no clock. For each team a ledger holds the limit and the grant of
each holder. Each holder has a portion in its own records. Ledger and portions may be in different
state services, so no transaction spans them. Each function takes the records as read, and returns
the record to write, or None if there is nothing to write. The write is conditional: it fails if the
record that it replaces has changed since it was read.

Invariant: a holder's portion never exceeds its grant, and a grant is never raised beyond the limit,
even if transactions are repeated, lost or delayed. Sequence numbers ensure this. Each lowering of a
portion takes the next number, and the release that follows copies this number to the grant. While
the grant has a smaller number than the portion, a release may still take effect, so the portion
must not be raised. A raise that was sent before the lowering fails, because it is conditional on a
portion that has been replaced.
"""

from __future__ import annotations

import math
from collections.abc import Callable

import msgspec

# Amounts are integers, in thousandths of a CPU or GPU, so that sums are exact.
SCALE = 1000


class Amount(msgspec.Struct, frozen=True):
    """A number of CPUs and of GPUs, in thousandths."""

    cpus: int = 0
    gpus: int = 0

    def add(self, other: Amount) -> Amount:
        """Return the sum of both amounts."""
        return Amount(self.cpus + other.cpus, self.gpus + other.gpus)

    def within(self, other: Amount) -> bool:
        """Return whether neither resource exceeds that of the other amount."""
        return self.cpus <= other.cpus and self.gpus <= other.gpus


NOTHING = Amount()


class Limit(msgspec.Struct, frozen=True):
    """The most CPUs and GPUs that a team may use; None means no limit."""

    cpus: int | None = None
    gpus: int | None = None


class Grant(msgspec.Struct, frozen=True):
    """The amount reserved for a holder, and the sequence number of the last release."""

    amount: Amount = NOTHING
    sequence: int = 0


class Ledger(msgspec.Struct, frozen=True):
    """A team's limit and its grants."""

    limit: Limit
    grants: dict[str, Grant] = {}

    def grant(self, holder: str) -> Grant:
        """Return the grant of a holder."""
        return self.grants.get(holder, Grant())

    def total(self) -> Amount:
        """Return the sum of all grants."""
        total = NOTHING
        for grant in self.grants.values():
            total = total.add(grant.amount)
        return total

    def with_grant(self, holder: str, grant: Grant) -> Ledger:
        """Return a copy of the ledger with another grant for a holder."""
        return Ledger(self.limit, {**self.grants, holder: grant})


class Portion(msgspec.Struct, frozen=True):
    """The amount that a holder may use, and the sequence number of the last lowering."""

    amount: Amount = NOTHING
    sequence: int = 0


def required_amount(cpus: float, gpus: float) -> Amount:
    """Return the amount that tasks with so many CPUs and GPUs require, rounded up."""
    return Amount(_thousandths(cpus, math.ceil), _thousandths(gpus, math.ceil))


def limit_from_settings(cpus_max: float, gpus_max: float) -> Limit:
    """Return a team's limit from the settings, rounded down.

    Args:
        cpus_max: The most CPUs; 0 means no limit.
        gpus_max: The most GPUs; 0 means no limit.
    """
    return Limit(
        _thousandths(cpus_max, math.floor) if cpus_max > 0 else None,
        _thousandths(gpus_max, math.floor) if gpus_max > 0 else None,
    )


def may_start(portion: Portion, used: Amount, wanted: Amount) -> bool:
    """Return whether a holder may assign more tasks.

    The transaction that assigns the tasks must be conditional on the portion's revision.

    Args:
        portion: The holder's portion.
        used: The amount that the holder has assigned, including commits in flight.
        wanted: The amount that the new tasks require.
    """
    return used.add(wanted).within(portion.amount)


def raise_grant(ledger: Ledger, holder: str, wanted: Amount) -> Ledger | None:
    """Raise the grant of a holder as far as the limit allows.

    Args:
        ledger: The team's ledger.
        holder: The holder's name.
        wanted: The total amount that the holder wants.

    Returns:
        The ledger to write; None if the holder gets no more.
    """
    grant, total = ledger.grant(holder), ledger.total()
    amount = Amount(
        _raised_amount(grant.amount.cpus, wanted.cpus, ledger.limit.cpus, total.cpus),
        _raised_amount(grant.amount.gpus, wanted.gpus, ledger.limit.gpus, total.gpus),
    )
    if amount == grant.amount:
        return None
    return ledger.with_grant(holder, Grant(amount, grant.sequence))


def raise_portion(portion: Portion, grant: Grant) -> Portion | None:
    """Raise a portion to the whole grant.

    Returns:
        The portion to write; None if it equals the grant already, or if a release may still
        lower the grant.
    """
    if grant.sequence < portion.sequence or grant.amount == portion.amount:
        return None
    return Portion(grant.amount, grant.sequence)


def lower_portion(portion: Portion, grant: Grant, keep: Amount, used: Amount) -> Portion | None:
    """Lower a portion, so that the rest of the grant can be released.

    Args:
        portion: The holder's portion.
        grant: The holder's grant in the ledger.
        keep: The most that the holder should keep, unless it uses more.
        used: The amount that the holder has assigned, including commits in flight.

    Returns:
        The portion to write; None if the release needs no change of the portion.
    """
    amount = Amount(
        min(portion.amount.cpus, max(keep.cpus, used.cpus)),
        min(portion.amount.gpus, max(keep.gpus, used.gpus)),
    )
    if amount == portion.amount and (
        portion.sequence > grant.sequence or grant.amount == portion.amount
    ):
        return None
    return Portion(amount, portion.sequence + 1)


def release_grant(ledger: Ledger, holder: str, portion: Portion) -> Ledger | None:
    """Lower a holder's grant to its portion, after the portion was lowered.

    Returns:
        The ledger to write; None if the portion was not lowered since the last release.
    """
    if portion.sequence <= ledger.grant(holder).sequence:
        return None
    return ledger.with_grant(holder, Grant(portion.amount, portion.sequence))


def change_limit(ledger: Ledger, limit: Limit) -> Ledger | None:
    """Set another limit in the ledger.

    A lower limit applies to new grants at once. Existing grants may exceed it until holders have
    released enough, which `within_limit` checks.

    Returns:
        The ledger to write; None if the limit is the same.
    """
    return None if limit == ledger.limit else Ledger(limit, ledger.grants)


def within_limit(ledger: Ledger) -> bool:
    """Return whether the sum of all grants is within the limit.

    The sum may exceed a limit that was lowered, until holders have released enough.
    """
    total, limit = ledger.total(), ledger.limit
    return (limit.cpus is None or total.cpus <= limit.cpus) and (
        limit.gpus is None or total.gpus <= limit.gpus
    )


def _thousandths(value: float, rounding: Callable[[float], int]) -> int:
    """Convert to thousandths, after removing the floating-point error of decimal fractions."""
    return rounding(round(value * SCALE, 3))


def _raised_amount(has: int, wanted: int, limit: int | None, total: int) -> int:
    """Return the raised grant of one resource; never less than the present grant."""
    if limit is None:
        return max(has, wanted)
    return max(has, min(wanted, has + limit - total))
