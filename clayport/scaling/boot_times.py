"""Boot times of rented machines. This module does no I/O and reads no clock."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable

import msgspec

from clayport.model import Job, MachineType

MachineKind = tuple[str, str, bool]  # machine type, zone, whether spot

# Both factors are multiples of a machine type's boot time. A rented machine that has not reported
# after `GIVE_UP_FACTOR` boot times is returned. A machine that has not reported after `LATE_FACTOR`
# boot times is ignored by the planning of rentals. A type's boot time is corrected only if the
# median boot differs from it by more than `LATE_FACTOR`.
GIVE_UP_FACTOR, LATE_FACTOR = 4.0, 1.6
# The maximum number of recent boots of a machine type that are kept, and the minimum number that is
# needed to correct the type's boot time.
MAX_BOOTS, MIN_BOOTS = 8, 3


class BootingMachine:
    """A machine that has been rented and has not reported yet.

    Attributes:
        rented_at: When the machine was rented, in seconds on the monotonic clock.
    """

    __slots__ = ("kind", "name", "rented_at")

    def __init__(self, name: str, kind: MachineKind, rented_at: float) -> None:
        self.name, self.kind, self.rented_at = name, kind, rented_at


class BootTimes:
    """Recent boot times by machine type.

    Args:
        window_s: For how long a boot is kept for the correction.

    Attributes:
        seen: For each machine type, the times at which machines came up, each with the ratio of
            the machine's boot time to the boot time in the catalogue.
    """

    def __init__(self, window_s: float) -> None:
        self.window_s = window_s
        self.seen: dict[str, deque[tuple[float, float]]] = {}

    def record(self, machine_type: MachineType, took_s: float, now: float) -> None:
        """Record that a machine of the type took `took_s` seconds to come up."""
        self.seen.setdefault(machine_type.name, deque(maxlen=MAX_BOOTS)).append(
            (now, took_s / max(machine_type.boot_s, 1.0))
        )

    def with_observed_boot_times(
        self, types: Iterable[MachineType], booting: Iterable[BootingMachine], now: float
    ) -> list[MachineType]:
        """Return the machine types with their boot times corrected by recent boots.

        A type's boot time is corrected only if the median boot is far slower or faster than the
        catalogue says. Single machines often take several times as long, and a correction for each
        of them would influence the choice of a type more than the prices per task do. Old boots are
        dropped, so that a slow type is tried again.
        """
        booting_ages_s: dict[str, list[float]] = {}
        for boot in booting:
            booting_ages_s.setdefault(boot.kind[0], []).append(now - boot.rented_at)
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
