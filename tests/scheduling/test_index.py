"""The index against the plain search, through changes, trials and machines that go."""

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

KINDS = msgspec.convert(TYPES, list[MachineType])
BY_NAME = {k.name: k for k in KINDS}


def make(number: int, **fields: Any) -> Job:
    return msgspec.convert(wire_job(number, **fields), Job)


JOBS = [
    make(n, **fields)
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
    """The same rooms twice: in an index, and in a list."""

    def __init__(self, seed: int, machines: int) -> None:
        self.rng = random.Random(seed)
        self.index = Index("c1")
        self.rooms: dict[str, Room] = {}
        for number in range(machines):
            self.show(number)

    def show(self, number: int) -> None:
        """What a report says of a machine, with whatever it has on it by now."""
        rng = self.rng
        name = f"i-{number:04d}"
        known = self.rooms.get(name)
        kind = BY_NAME[known.type] if known else rng.choice(KINDS)
        zone, spot = (known.zone, known.spot) if known else (rng.choice(ZONES), rng.random() < 0.4)
        room = Room(
            name,
            "",
            kind.name,
            zone,
            spot,
            rng.random() < 0.9,
            kind.cpus,
            kind.gpus,
            kind.memory_gb,
            0,
            rng.sample(["web", "img-1", "other"], rng.randrange(3)),
            math.inf,
            "c0",
        )
        for _ in range(rng.randrange(5)):
            job = rng.choice(JOBS)
            if room.allows(job) and room.fits(job):
                room.take(job)
        room.hold = rng.choice(JOBS).id if rng.random() < 0.05 else ""
        self.rooms[name] = room
        self.index.add(room.copy())

    def drop(self, number: int) -> None:
        self.rooms.pop(f"i-{number:04d}", None)
        self.index.remove(f"i-{number:04d}")

    def same(self) -> None:
        """Both hold the same, and the totals are what a sum over the rooms gives."""
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
def test_the_index_answers_as_the_plain_search(
    seed: int, machines: int, steps: list[tuple[str, int, int, int, bool, bool]]
) -> None:
    fleet = Fleet(seed, machines)
    policies = [Policy(JOBS, KINDS), Policy((), KINDS)]
    for what, number, which, wanted, can_wait, avoid_spot in steps:
        job, rooms, policy = JOBS[which], list(fleet.rooms.values()), policies[0]
        zones = [fleet.rng.choice([*ZONES, None]) for _ in range(fleet.rng.randrange(3))]
        if what == "show":
            fleet.show(number)
        elif what == "drop":
            fleet.drop(number)
        elif what == "policy":
            policies.reverse()
        elif what == "close":
            room = fleet.index.rooms.get(f"i-{number:04d}")
            if room is not None:
                room.close()
                fleet.rooms[room.machine].open = False
        elif what == "preempt":
            expected = plain.preempt(
                job, wanted, rooms, Spread(job, zones), policy, wanted % 4, avoid_spot
            )
            found = preempt(
                job, wanted, fleet.index, Spread(job, zones), policy, wanted % 4, avoid_spot
            )
            assert [(r.machine, n) for r, n in found] == [(r.machine, n) for r, n in expected]
        elif what == "trial":
            # What is tried leaves nothing behind, machines taken out or put in included.
            extra = Room("i-new", "", "plain", "north", False, True, 8, 0, 64, 0, (), 0.0, "c0")
            with fleet.index.trial([f"i-{number:04d}"], [extra]):
                place(job, wanted, fleet.index, Spread(job, ()), policy, can_wait, avoid_spot)
        else:
            expected = plain.place(
                job, wanted, rooms, Spread(job, zones), "c1", policy, can_wait, avoid_spot
            )
            chosen = place(
                job, wanted, fleet.index, Spread(job, zones), policy, can_wait, avoid_spot
            )
            assert [r.machine for r in chosen] == [r.machine for r in expected]
        fleet.same()


def test_what_is_gone_is_forgotten() -> None:
    """Cloud machines come and go by the thousand; a change that fell into the tidying up was
    once missed, and machines that were gone were offered for preemption."""
    index, low, high = Index(), JOBS[1], JOBS[10]
    for number in range(20 * MAX_REMOVED_MACHINES):
        room = Room(f"i-{number}", "", "plain", "north", False, True, 8, 0, 64, 0, (), 0.0, "c0")
        room.take(low, 4)
        index.add(room)
        if number % 9 == 8:  # several at once: there are fewer to remember with each
            for gone in range(number - 8, number - 2):
                index.remove(f"i-{gone}")
            for old in range(number - 11, number - 8):
                index.remove(f"i-{old}")
        found = {
            r.machine for r, _ in preempt(high, 99, index, Spread(high, ()), Policy([], KINDS))
        }
        assert found == set(index.rooms)
    (pool,) = index.pools.values()
    assert len(pool.changes) <= 4 * MAX_REMOVED_MACHINES and len(pool.sorted_rooms().keys) == len(
        index.rooms
    )


def test_nowhere_is_known_until_something_changes() -> None:
    """A question without an answer costs what has changed, not the fleet."""
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
    full[7].take(job, -1)
    assert [r.machine for r in index.changed_rooms(job, since)] == ["m7"]
    assert [r.machine for r in place(job, 2, index, Spread(job, ()))] == ["m7"]
