"""Boot times of rented machines. Pure: no I/O, no clock."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable

import msgspec

from clayport.model import Job, MachineType

MachineKind = tuple[str, str, bool]  # machine type, zone, whether spot

# Multiples of a machine type's boot time: a machine that has not reported after the first is
# returned; the room of one that has not reported after the second is no longer planned with.
# The second is also how far the median boot has to be off before a boot time is corrected.
GIVE_UP_FACTOR, LATE_FACTOR = 4.0, 1.6
# How many recent boots of a machine type are kept, and how many are needed to correct its
# boot time.
MAX_BOOTS, MIN_BOOTS = 8, 3


class BootingMachine:
    """A machine that has been rented and has not reported yet.

    Attributes:
        since: When the machine was rented, in seconds on the monotonic clock.
    """

    __slots__ = ("kind", "name", "since")

    def __init__(self, name: str, kind: MachineKind, since: float) -> None:
        self.name, self.kind, self.since = name, kind, since


class BootTimes:
    """Recent boot times by machine type.

    Args:
        window_s: For how long a boot counts.

    Attributes:
        seen: For each machine type, when machines came up, and the ratios of their boot times
            to the one in the catalogue.
    """

    def __init__(self, window_s: float) -> None:
        self.window_s = window_s
        self.seen: dict[str, deque[tuple[float, float]]] = {}

    def note(self, machine_type: MachineType, took_s: float, now: float) -> None:
        """Record that a machine of the type took `took_s` seconds to come up."""
        self.seen.setdefault(machine_type.name, deque(maxlen=MAX_BOOTS)).append(
            (now, took_s / max(machine_type.boot_s, 1.0))
        )

    def observed(
        self, types: Iterable[MachineType], booting: Iterable[BootingMachine], now: float
    ) -> list[MachineType]:
        """Return the machine types with their boot times corrected by recent boots.

        A type's boot time is corrected only if the median boot is far slower or faster than the
        catalogue says. Single machines often take several times as long, and correcting for them
        would change the choice of a type more than prices per task do. Old boots are dropped, so
        that a slow type is tried again.
        """
        booting_ages_s: dict[str, list[float]] = {}
        for boot in booting:
            booting_ages_s.setdefault(boot.kind[0], []).append(now - boot.since)
        corrected = []
        for machine_type in types:
            seen = self.seen.get(machine_type.name, deque())
            while seen and now - seen[0][0] > self.window_s:
                seen.popleft()
            ratios = sorted(
                [
                    *(ratio for _, ratio in seen),
                    *(
                        age / max(machine_type.boot_s, 1.0)
                        for age in booting_ages_s.get(machine_type.name, ())
                        if age > LATE_FACTOR * machine_type.boot_s
                    ),
                ]
            )
            median = ratios[len(ratios) // 2] if len(ratios) >= MIN_BOOTS else 1.0
            if median > LATE_FACTOR or median < 1 / LATE_FACTOR / 2:
                machine_type = msgspec.structs.replace(
                    machine_type, boot_s=machine_type.boot_s * median
                )
            corrected.append(machine_type)
        return corrected


def ready_s(job: Job, machine_type: MachineType) -> float:
    """Return the seconds until a machine of the type, if rented now, can run the job's tasks."""
    return machine_type.boot_s + job.image_gb / max(machine_type.fetch_gb_per_s, 1e-3)
