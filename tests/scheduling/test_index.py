"""Tests of the index against a linear search, with changes, trials and removed machines."""

from __future__ import annotations

import math
import random
from typing import Any

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from clayport.model import Job, MachineType
from clayport.scheduling.index import MAX_REMOVED_MACHINES, Index
from clayport.scheduling.placement import place
from clayport.scheduling.policy import Policy
from clayport.scheduling.preemption import preempt
from clayport.scheduling.room import Room
from clayport.scheduling.spread import Spread
from tests import plain
from tests.world import TYPES, ZONES
from tests.world import job as wire_job

MACHINE_TYPES = msgspec.convert(TYPES, list[MachineType])
TYPES_BY_NAME = {t.name: t for t in MACHINE_TYPES}


def make_job(number: int, **fields: Any) -> Job:
    return msgspec.convert(wire_job(number, **fields), Job)


JOBS = [
    make_job(n, **fields)
    for n, fields in enumerate(
        [
            {},
            {"vcpus": 2.0, "rank": "best_effort", "snapshot_every_s": 5.0},
            {"ram_gb": 30.0},
            {"shape": "daemon", "rank": "production", "pieces": 3, "loaners": False},
            {
                "shape": "daemon",
                "rank": "production",
                "pieces": 4,
                "scatter": True,
                "bundle": "web",
            },
            {"cards": 1.0, "vcpus": 4.0},
            {
                "shape": "ensemble",
                "pieces": 2,
                "cards": 2.0,
                "vcpus": 12.0,
                "together": True,
                "loaners": False,
            },
            {"shape": "ensemble", "pieces": 5, "together": True, "rank": "high"},
            {"flavors": ["accel"], "vcpus": 1.0},
            {"site": "south", "pieces": 9, "bundle": "web"},
            {"vcpus": 0.5, "ram_gb": 60.0, "rank": "high"},
        ],
        1,
    )
]


class Fleet:
    """Holds the same rooms twice: in an index, and in a dict for the linear search."""

    def __init__(self, seed: int, machines: int) -> None:
        self.rng = random.Random(seed)
        self.index = Index("c1")
        self.rooms: dict[str, Room] = {}
        for number in range(machines):
            self.report(number)

    def report(self, number: int) -> None:
        """Apply a report of a machine with a random state and random tasks."""
        rng = self.rng
        name = f"i-{number:04d}"
        known = self.rooms.get(name)
        machine_type = TYPES_BY_NAME[known.type] if known else rng.choice(MACHINE_TYPES)
        zone, spot = (known.zone, known.spot) if known else (rng.choice(ZONES), rng.random() < 0.4)
        room = Room(
            name,
            "",
            machine_type.name,
            zone,
            spot,
            rng.random() < 0.9,
            machine_type.cpus,
            machine_type.gpus,
            machine_type.memory_gb,
            0,
            rng.sample(["web", "img-1", "other"], rng.randrange(3)),
            math.inf,
            "c0",
        )
        for _ in range(rng.randrange(5)):
            job = rng.choice(JOBS)
            if room.allows(job) and room.fits(job):
                room.allocate(job)
        room.reserved_for = rng.choice(JOBS).id if rng.random() < 0.05 else ""
        self.rooms[name] = room
        self.index.add(room.copy())

    def remove(self, number: int) -> None:
        self.rooms.pop(f"i-{number:04d}", None)
        self.index.remove(f"i-{number:04d}")

    def check_equal(self) -> None:
        """Check that both hold the same rooms, and that the totals equal sums over the rooms."""
        state = {n: (r.open, r.cpus, r.gpus, r.memory_gb, r.tasks) for n, r in self.rooms.items()}
        assert state == {
            n: (r.open, r.cpus, r.gpus, r.memory_gb, r.tasks) for n, r in self.index.rooms.items()
        }
        for pool in self.index.pools.values():
            rooms = [
                r
                for r in self.rooms.values()
                if (r.type, r.zone, r.spot) == (pool.type, pool.zone, pool.spot)
            ]
            totals = pool.count()
            assert totals.machines == sum(r.open for r in rooms)
            assert totals.free == pytest.approx(sum(r.cpus for r in rooms))
            assert totals.replica_cpus == pytest.approx(
                sum(r.replica_cpus for r in rooms if r.open)
            )
            assert totals.backfill_cpus == pytest.approx(sum(r.backfill_cpus for r in rooms))


@settings(max_examples=150, deadline=None, derandomize=True)
@given(
    st.integers(0, 10**6),
    st.integers(0, 40),
    st.lists(
        st.tuples(
            st.sampled_from(["place", "preempt", "show", "drop", "close", "trial", "policy"]),
            st.integers(0, 39),
            st.integers(0, len(JOBS) - 1),
            st.integers(1, 12),
            st.booleans(),
            st.booleans(),
        ),
        max_size=40,
    ),
)
def test_index_agrees_with_linear_search(
    seed: int, machines: int, steps: list[tuple[str, int, int, int, bool, bool]]
) -> None:
    fleet = Fleet(seed, machines)
    policies = [Policy(JOBS, MACHINE_TYPES), Policy((), MACHINE_TYPES)]
    for action, number, job_index, wanted, avoid_expensive, avoid_spot in steps:
        job, rooms, policy = JOBS[job_index], list(fleet.rooms.values()), policies[0]
        zones = [fleet.rng.choice([*ZONES, None]) for _ in range(fleet.rng.randrange(3))]
        if action == "show":
            fleet.report(number)
        elif action == "drop":
            fleet.remove(number)
        elif action == "policy":
            policies.reverse()
        elif action == "close":
            room = fleet.index.rooms.get(f"i-{number:04d}")
            if room is not None:
                room.close()
                fleet.rooms[room.machine].open = False
        elif action == "preempt":
            expected = plain.preempt(
                job, wanted, rooms, Spread(job, zones), policy, wanted % 4, avoid_spot
            )
            found = preempt(
                job, wanted, fleet.index, Spread(job, zones), policy, wanted % 4, avoid_spot
            )
            assert [(r.machine, n) for r, n in found] == [(r.machine, n) for r, n in expected]
        elif action == "trial":
            # A trial leaves no changes behind, even if it removes and adds machines.
            extra = Room("i-new", "", "plain", "north", False, True, 8, 0, 64, 0, (), 0.0, "c0")
            with fleet.index.trial([f"i-{number:04d}"], [extra]):
                place(
                    job, wanted, fleet.index, Spread(job, ()), policy, avoid_expensive, avoid_spot
                )
        else:
            expected = plain.place(
                job, wanted, rooms, Spread(job, zones), "c1", policy, avoid_expensive, avoid_spot
            )
            chosen = place(
                job, wanted, fleet.index, Spread(job, zones), policy, avoid_expensive, avoid_spot
            )
            assert [r.machine for r in chosen] == [r.machine for r in expected]
        fleet.check_equal()


def test_removed_machines_are_dropped_from_the_changes() -> None:
    """Removed machines are dropped from a pool's changes, and are not offered for preemption.

    Thousands of cloud machines are added and removed over time. A view that is brought up to
    date between the record of a change and the change itself misses the change, and offers
    removed machines for preemption.
    """
    index, low, high = Index(), JOBS[1], JOBS[10]
    for number in range(20 * MAX_REMOVED_MACHINES):
        room = Room(f"i-{number}", "", "plain", "north", False, True, 8, 0, 64, 0, (), 0.0, "c0")
        room.allocate(low, 4)
        index.add(room)
        if number % 9 == 8:  # each removal lowers the limit on the length of `changes`
            for removed in range(number - 8, number - 2):
                index.remove(f"i-{removed}")
            for earlier in range(number - 11, number - 8):
                index.remove(f"i-{earlier}")
        found = {
            r.machine
            for r, _ in preempt(high, 99, index, Spread(high, ()), Policy([], MACHINE_TYPES))
        }
        assert found == set(index.rooms)
    (pool,) = index.pools.values()
    assert len(pool.changes) <= 4 * MAX_REMOVED_MACHINES and len(pool.sorted_rooms().keys) == len(
        index.rooms
    )


def test_search_without_result_is_repeated_only_for_changed_rooms() -> None:
    """A repeated search after one that found no room examines only the rooms that have changed."""
    index, job = Index(), JOBS[0]
    full = [
        Room(f"m{n}", "", "plain", "north", False, True, 1, 0, 64, 0, (), 0.0, "c0")
        for n in range(50)
    ]
    for room in full:
        index.add(room)
    assert place(job, 1, index, Spread(job, ())) == []
    since = index.rev
    assert list(index.changed_rooms(job, since)) == []
    full[7].allocate(job, -1)
    assert [r.machine for r in index.changed_rooms(job, since)] == ["m7"]
    assert [r.machine for r in place(job, 2, index, Spread(job, ()))] == ["m7"]
