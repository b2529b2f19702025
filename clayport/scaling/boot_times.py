"""How long rented machines take to come up. Pure: no I/O, no clock."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable

import msgspec

from clayport.model import Job, MachineType

Kind = tuple[str, str, bool]  # type, zone, spot

# A machine that takes this many times its type's boot time is given up, and
# one that takes this many times is no longer counted on.
GIVE_UP_FACTOR, LATE = 4.0, 1.6
# Boots of a type that are remembered, and how many are needed to correct its boot time.
MAX_BOOTS, MIN_BOOTS = 8, 3


class BootingMachine:
    """A machine that has been rented and has not reported yet.

    Attributes:
        kind: Its type, zone and whether it is a spot machine.
        name: Its name.
        since: When it was rented.
    """

    __slots__ = ("kind", "name", "since")

    def __init__(self, name: str, kind: Kind, since: float) -> None:
        self.name, self.kind, self.since = name, kind, since


class BootTimes:
    """How long machines of each type took to come up of late.

    Args:
        span_s: For how long a boot is remembered.

    Attributes:
        seen: By type, when machines came up, and how many of the type's boot times that took.
    """

    def __init__(self, span_s: float) -> None:
        self.span_s = span_s
        self.seen: dict[str, deque[tuple[float, float]]] = {}

    def note(self, kind: MachineType, took_s: float, now: float) -> None:
        """Record that a machine of the type took `took_s` seconds to come up."""
        self.seen.setdefault(kind.name, deque(maxlen=MAX_BOOTS)).append(
            (now, took_s / max(kind.boot_s, 1.0))
        )

    def observed(
        self, types: Iterable[MachineType], booting: Iterable[BootingMachine], now: float
    ) -> list[MachineType]:
        """The machine types with the boot times that are to be expected now.

        They differ only where most machines of a type come up far later or sooner than it
        says: single ones that take several times as long are usual, and prices per task
        differ by less. Old boots are forgotten, so that a slow type is tried again.
        """
        late: dict[str, list[float]] = {}
        for boot in booting:
            late.setdefault(boot.kind[0], []).append(now - boot.since)
        found = []
        for kind in types:
            seen = self.seen.get(kind.name, deque())
            while seen and now - seen[0][0] > self.span_s:
                seen.popleft()
            ratios = sorted(
                [
                    *(ratio for _, ratio in seen),
                    *(
                        age / max(kind.boot_s, 1.0)
                        for age in late.get(kind.name, ())
                        if age > LATE * kind.boot_s
                    ),
                ]
            )
            median = ratios[len(ratios) // 2] if len(ratios) >= MIN_BOOTS else 1.0
            if median > LATE or median < 1 / LATE / 2:
                kind = msgspec.structs.replace(kind, boot_s=kind.boot_s * median)
            found.append(kind)
        return found


def ready_s(job: Job, kind: MachineType) -> float:
    """Seconds until a machine of the type, if rented now, can run a task of the job."""
    return kind.boot_s + job.image_gb / max(kind.fetch_gb_per_s, 1e-3)
