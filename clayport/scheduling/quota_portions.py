"""A team's quota divided into portions that several holders use without asking for each start.

Nothing calls this module yet. At present every commit that assigns or ends tasks of a limited team
also writes one record of that team (`QuotaCharger.charge`). docs/cells.md says why that can't hold
for the number of starts in two years, and why portions come first. The decisions are kept here with
tests that visit every order of events, so that the protocol is settled before starts and ends are
wired to it; what that still lacks is in docs/ROADMAP.md.

Pure decisions, without I/O or a clock. There is a ledger for each team, with its limit and what is
granted to each holder, and a portion for each holder, in the holder's own records. The two may lie
in different state services, so no transaction spans them. Each function takes what was read of them
and returns the record that is to be written, under the condition that the record which it replaces
has not changed since it was read; None if there is nothing to write.

Invariant, whatever is repeated, lost, or carried out late: a holder's portion never exceeds its
grant, and grants are never raised beyond the limit. Sequence numbers carry it: each lowering of a
portion has the next one, and the release that follows it gives that one to the grant. While the
grant has a smaller number than the portion, a release may still take effect and no raise is
allowed; a raise that was sent before is based on a portion that has been replaced since.
"""

from __future__ import annotations

import math
from collections.abc import Callable

import msgspec

# Amounts are whole thousandths of a CPU or GPU, so that sums are exact.
SCALE = 1000


class Amount(msgspec.Struct, frozen=True):
    """CPUs and GPUs, in thousandths."""

    cpus: int = 0
    gpus: int = 0

    def plus(self, other: Amount) -> Amount:
        """Both together."""
        return Amount(self.cpus + other.cpus, self.gpus + other.gpus)

    def within(self, other: Amount) -> bool:
        """Whether the other has at least as much of both."""
        return self.cpus <= other.cpus and self.gpus <= other.gpus


NOTHING = Amount()


class Limit(msgspec.Struct, frozen=True):
    """The most of each that a team may use; None where there is no limit."""

    cpus: int | None = None
    gpus: int | None = None


class Grant(msgspec.Struct, frozen=True):
    """What the ledger has set aside for a holder, and the number of the last release."""

    amount: Amount = NOTHING
    sequence: int = 0


class Ledger(msgspec.Struct, frozen=True):
    """A team's limit and its grants."""

    limit: Limit
    grants: dict[str, Grant] = {}

    def grant(self, holder: str) -> Grant:
        """What is granted to a holder."""
        return self.grants.get(holder, Grant())

    def total(self) -> Amount:
        """All grants together."""
        total = NOTHING
        for grant in self.grants.values():
            total = total.plus(grant.amount)
        return total

    def replaced(self, holder: str, grant: Grant) -> Ledger:
        """The ledger with another grant for a holder."""
        return Ledger(self.limit, {**self.grants, holder: grant})


class Portion(msgspec.Struct, frozen=True):
    """What a holder may use, and the number of its last lowering."""

    amount: Amount = NOTHING
    sequence: int = 0


def needed(cpus: float, gpus: float) -> Amount:
    """What tasks take.

    Args:
        cpus: Their CPUs.
        gpus: Their GPUs.

    Returns:
        The same in thousandths, rounded up.
    """
    return Amount(_thousandths(cpus, math.ceil), _thousandths(gpus, math.ceil))


def limited(cpus_max: float, gpus_max: float) -> Limit:
    """A team's limit from the settings.

    Args:
        cpus_max: The most CPUs; 0 if there is no limit.
        gpus_max: The most GPUs; 0 if there is no limit.

    Returns:
        The same in thousandths, rounded down.
    """
    return Limit(
        _thousandths(cpus_max, math.floor) if cpus_max > 0 else None,
        _thousandths(gpus_max, math.floor) if gpus_max > 0 else None,
    )


def may_start(portion: Portion, used: Amount, wanted: Amount) -> bool:
    """Whether a holder may assign further tasks.

    The transaction that assigns them has the portion's revision among its conditions.

    Args:
        portion: The holder's portion.
        used: What it has assigned, including what was sent and has no answer yet.
        wanted: What the further tasks take.
    """
    return used.plus(wanted).within(portion.amount)


def granted(ledger: Ledger, holder: str, wanted: Amount) -> Ledger | None:
    """The ledger with as much more for a holder as the limit allows.

    Args:
        ledger: The team's ledger.
        holder: The holder's name.
        wanted: What it wants to have in all.

    Returns:
        The ledger to be written; None if the holder gets no more.
    """
    grant, total = ledger.grant(holder), ledger.total()
    amount = Amount(
        _raised(grant.amount.cpus, wanted.cpus, ledger.limit.cpus, total.cpus),
        _raised(grant.amount.gpus, wanted.gpus, ledger.limit.gpus, total.gpus),
    )
    if amount == grant.amount:
        return None
    return ledger.replaced(holder, Grant(amount, grant.sequence))


def raised(portion: Portion, grant: Grant) -> Portion | None:
    """The portion with all that is granted.

    Returns:
        The portion to be written; None if it has all of it, or if a release may still take it
        back.
    """
    if grant.sequence < portion.sequence or grant.amount == portion.amount:
        return None
    return Portion(grant.amount, grant.sequence)


def lowered(portion: Portion, grant: Grant, keep: Amount, used: Amount) -> Portion | None:
    """The portion with less, so that the rest of the grant can be released.

    Args:
        portion: The holder's portion.
        grant: What the ledger has for the holder.
        keep: The most that it is to keep, unless more is used.
        used: What it has assigned, including what was sent and has no answer yet.

    Returns:
        The portion to be written; None if it need not change for that.
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


def released(ledger: Ledger, holder: str, portion: Portion) -> Ledger | None:
    """The ledger without what a lowered portion no longer holds.

    Returns:
        The ledger to be written; None if the portion was not lowered since the last release.
    """
    if portion.sequence <= ledger.grant(holder).sequence:
        return None
    return ledger.replaced(holder, Grant(portion.amount, portion.sequence))


def limit_changed(ledger: Ledger, limit: Limit) -> Ledger | None:
    """The ledger with another limit.

    A lower one holds for new grants at once, and for all of them when `in_force` says so.

    Returns:
        The ledger to be written; None if the limit is the same.
    """
    return None if limit == ledger.limit else Ledger(limit, ledger.grants)


def in_force(ledger: Ledger) -> bool:
    """Whether all grants together are within the limit.

    After it was lowered, holders have to release first.
    """
    total, limit = ledger.total(), ledger.limit
    return (limit.cpus is None or total.cpus <= limit.cpus) and (
        limit.gpus is None or total.gpus <= limit.gpus
    )


def _thousandths(value: float, rounding: Callable[[float], int]) -> int:
    """So many thousandths; what floats can't express exactly counts as meant."""
    return rounding(round(value * SCALE, 3))


def _raised(has: int, wanted: int, limit: int | None, total: int) -> int:
    """What a holder gets of one resource; never less than it has."""
    if limit is None:
        return max(has, wanted)
    return max(has, min(wanted, has + limit - total))
