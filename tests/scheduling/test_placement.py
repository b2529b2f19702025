"""Placing from the snapshot, the rooms kept, and what is rented."""

from __future__ import annotations

from typing import Any

import msgspec
import pytest

from clayport.model import Job, MachineType, fits
from clayport.scaling.arrivals import Arrivals, spare_room
from clayport.scaling.demand import Demand, unmet_demand, urgent_demand
from clayport.scaling.provisioning import plan_rentals
from clayport.scheduling.index import Index
from clayport.scheduling.placement import place
from clayport.scheduling.policy import Policy
from clayport.scheduling.preemption import preempt
from clayport.scheduling.room import Room
from clayport.scheduling.spread import Spread
from tests.world import TYPES
from tests.world import job as wire_job

KINDS = msgspec.convert(TYPES, list[MachineType])
PLAIN, ACCEL = KINDS


def make(number: int = 1, **fields: Any) -> Job:
    return msgspec.convert(wire_job(number, **fields), Job)


def room(
    name: str = "m1",
    kind: MachineType = PLAIN,
    zone: str = "north",
    spot: bool = False,
    images: tuple[str, ...] = (),
    **fields: Any,
) -> Room:
    found = Room(
        name,
        "",
        kind.name,
        zone,
        spot,
        True,
        kind.cpus,
        kind.gpus,
        kind.memory_gb,
        0,
        images,
        0.0,
        "c0",
    )
    for key, value in fields.items():
        setattr(found, key, value)
    return found


@pytest.mark.parametrize(
    "fields, where, placed",
    [
        ({}, {}, 3),
        ({"pieces": 9}, {}, 4),  # 8 CPUs hold four of two
        ({"flavors": ["accel"]}, {}, 0),
        ({"site": "south"}, {}, 0),
        ({"loaners": False}, {"spot": True}, 0),
        ({"ram_gb": 30.0}, {}, 2),  # memory is short first
        ({"cards": 1.0}, {}, 0),
        ({}, {"open": False}, 0),
        ({}, {"hold": "j-000002"}, 0),  # kept for another job
        ({}, {"hold": "j-000001"}, 3),
        ({"pieces": 9, "shape": "ensemble"}, {}, 0),  # whole or not at all
        ({"pieces": 4, "shape": "ensemble"}, {}, 4),
    ],
)
def test_place(fields: dict[str, Any], where: dict[str, Any], placed: int) -> None:
    job = make(**fields)
    there = room(**where)
    before = (there.cpus, there.gpus, there.memory_gb)
    assert len(place(job, job.tasks, Index("", [there]), Spread(job, ()))) == placed
    assert there.cpus == before[0] - placed * job.cpus  # subtracted at once, and only then


@pytest.mark.parametrize(
    "fields, others, zones",
    [
        ({"together": True}, ["south"], ["south"]),
        ({"together": True}, [None], []),  # may be anywhere: wait
        ({"together": True}, [], ["north", "south"]),
        ({"scatter": True, "pieces": 1}, [], ["north", "south"]),
        ({"scatter": True, "pieces": 4}, ["north", "north"], ["south"]),
        ({"scatter": True, "pieces": 5}, ["north", "north"], ["north", "south"]),
        ({"scatter": True, "pieces": 2}, [None], []),  # counts against every zone
    ],
)
def test_zones(fields: dict[str, Any], others: list[str | None], zones: list[str]) -> None:
    spread = Spread(make(**fields), others)
    assert [z for z in ("north", "south") if spread.allows(z)] == zones


def test_image_first_then_fullest() -> None:
    job = make(pieces=1)
    cached = room("m1", images=("img-1",))
    full = room("m2", cpus=2.0)
    assert place(job, 1, Index("", [full, cached]), Spread(job, ()))[0] is cached
    job = make(bundle="other", pieces=1)
    assert place(job, 1, Index("", [cached, full]), Spread(job, ()))[0] is full


def test_controllers_with_equal_snapshots_do_not_herd() -> None:
    job = make(pieces=1)
    first = {
        place(job, 1, Index(salt, [room(f"m{i}") for i in range(8)]), Spread(job, ()))[0].machine
        for salt in ("c0", "c1", "c2", "c3", "c4")
    }
    assert len(first) > 1


def test_work_without_gpus_leaves_room_for_who_needs_them() -> None:
    gpu_job = make(2, cards=2.0, vcpus=14.0, loaners=False)
    policy = Policy([gpu_job], KINDS)
    normal, low = make(pieces=8), make(3, pieces=8, rank="best_effort")
    assert len(place(normal, 8, Index("", [room(kind=ACCEL)]), Spread(normal, ()), policy)) == 1
    # Lower ranks may fill it, since they make way; spot machines the guest can't use.
    assert len(place(low, 8, Index("", [room(kind=ACCEL)]), Spread(low, ()), policy)) == 8
    spot = Index("", [room(kind=ACCEL, spot=True)])
    assert len(place(normal, 8, spot, Spread(normal, ()), policy)) == 8


def test_patient_work_keeps_off_dear_machines() -> None:
    job = make()
    policy = Policy([], KINDS)
    assert (
        place(job, 3, Index("", [room(kind=ACCEL)]), Spread(job, ()), policy, can_wait=True) == []
    )
    assert len(place(job, 3, Index("", [room(kind=ACCEL)]), Spread(job, ()), policy)) == 3


@pytest.mark.parametrize("images, machine", [((), "s1"), (("img-1",), "n1")])
def test_a_gang_of_one_leaves_pairs_of_machines_together(
    images: tuple[str, ...], machine: str
) -> None:
    rooms = [room("n1", images=images), room("n2"), room("s1", zone="south")]
    job = make(pieces=1, shape="ensemble", together=True, vcpus=8.0)
    assert [r.machine for r in place(job, 1, Index("", rooms), Spread(job, ()))] == [machine]
    job = make(pieces=2, shape="ensemble", together=True, vcpus=8.0)
    rooms = [room("n1"), room("n2"), room("s1", zone="south", images=("img-1",))]
    assert {r.zone for r in place(job, 2, Index("", rooms), Spread(job, ()))} == {"north"}


@pytest.mark.parametrize("avoid_spot, first", [(False, "cheap"), (True, "plain")])
def test_what_would_be_late_if_lost_keeps_off_spot_machines(avoid_spot: bool, first: str) -> None:
    job = make(pieces=5)
    rooms = [room("cheap", spot=True, images=("img-1",)), room("plain")]
    chosen = [
        r.machine for r in place(job, 5, Index("", rooms), Spread(job, ()), None, False, avoid_spot)
    ]
    assert len(chosen) == 5 and chosen[0] == first  # preferred, not required
    rooms = [room("cheap", spot=True), room("plain")]
    for each in rooms:
        each.take(make(2, rank="best_effort"), 4)
    found = preempt(job, 1, Index("", rooms), Spread(job, ()), Policy([], KINDS), None, avoid_spot)
    assert [r.machine for r, _ in found] == [first]


@pytest.mark.parametrize(
    "rank, victim, stopped",
    [
        ("production", "normal", True),
        ("high", "normal", True),
        ("normal", "best_effort", True),
        ("normal", "normal", False),
        ("best_effort", "normal", False),
        ("high", "production", False),
    ],
)
def test_only_lower_ranks_are_preempted(rank: str, victim: str, stopped: bool) -> None:
    full = room()
    full.take(make(2, rank=victim), 4)
    job = make(rank=rank)
    found = preempt(job, 1, Index("", [full]), Spread(job, ()), Policy([], KINDS))
    assert found == ([(full, 1)] if stopped else [])


def test_room_for_a_large_array_is_made_on_several_machines_at_once() -> None:
    rooms = [room(f"m{i}") for i in range(4)]
    for each in rooms:
        each.take(make(2, rank="best_effort"), 4)
    job = make(pieces=10)
    found = preempt(job, 10, Index("", rooms), Spread(job, ()), Policy([], KINDS))
    assert sorted(n for _, n in found) == [2, 4, 4]
    job = make(pieces=10, scatter=True)
    found = preempt(job, 10, Index("", rooms), Spread(job, ()), Policy([], KINDS))
    assert sum(n for _, n in found) == 5


def test_short_keeps_zones_of_what_was_placed() -> None:
    job = make(pieces=2, scatter=True)
    left = unmet_demand(Index("", [room()]), [Demand(job, 2)], Policy([], KINDS))
    assert [(n.tasks, n.zones) for n in left] == [(1, ("north",))]
    # ... so that the next machine is rented where it can be used.
    assert plan_rentals(KINDS, left, set(), 0.0, Policy([], KINDS), {}) == [
        ("plain", "south", True)
    ]


@pytest.mark.parametrize(
    "fields, refused, bought",
    [
        ({}, set(), [("plain", "north", True)]),
        ({"loaners": False}, set(), [("plain", "north", False)]),
        ({"loaners": False, "site": "south"}, set(), [("plain", "south", False)]),
        ({"site": "north"}, {("plain", "north", True)}, [("plain", "north", False)]),
        ({"cards": 1.0, "loaners": False}, set(), [("accel", "north", False)] * 2),
    ],
)
def test_shopping(fields: dict[str, Any], refused: set[Any], bought: list[Any]) -> None:
    job = make(**fields)
    found = plan_rentals(KINDS, [Demand(job, 3)], refused, 0.0, Policy([], KINDS), {})
    assert sorted((k, s) for k, _, s in found) == sorted((k, s) for k, _, s in bought)
    if len(found) == 1:
        assert found == bought


def test_dear_machines_only_for_work_they_can_save() -> None:
    job = make(site="north")
    refused = {("plain", "north", True), ("plain", "north", False)}
    policy = Policy([], KINDS)
    assert plan_rentals(KINDS, [Demand(job, 1)], refused, 0.0, policy, {job.id: 1.0}) == []
    assert plan_rentals(KINDS, [Demand(job, 1)], refused, 0.0, policy, {job.id: 60.0}) != []


def test_work_with_time_waits_for_room() -> None:
    early, late = Demand(make(1), 3, 5.0), Demand(make(2), 3, 80.0)
    assert urgent_demand([early, late], {"batch": 90.0}, 64.0) == [late]
    assert urgent_demand([early], {}, 64.0) == [early]  # nothing is said: at once
    [there] = urgent_demand([early], {"batch": 90.0}, 0.0)  # nothing is there yet
    assert there.job == early.job and there.tasks == 1  # three in a row are in time
    near = Demand(make(3), 3, 70.0)
    assert urgent_demand([near], {"batch": 90.0}, 64.0) == [near]  # too near for cheap ones
    assert urgent_demand([near], {"batch": 90.0}, 64.0, 1.0, 1.0) == []  # but not late yet


def test_spare_room_is_what_arrives_while_a_machine_boots() -> None:
    arrivals = Arrivals(300.0, 0.0)
    web = make(1, jobclass="web", shape="daemon", pieces=2, loaners=False)
    for at in range(30, 300, 10):
        arrivals.note(web, float(at))
    found = spare_room([web], arrivals, KINDS, {"web"}, 300.0)
    assert [(n.job.job_class, n.tasks) for n in found] == [("web", 4)]
    assert spare_room([], Arrivals(300.0, 0.0), KINDS, {"web"}, 10.0) == []


def test_what_waited_for_the_start_is_no_rate() -> None:
    arrivals = Arrivals(300.0, 0.0)
    web = make(1, jobclass="web", shape="daemon", pieces=5, loaners=False)
    for at in range(70):
        arrivals.note(web, at / 7)
    assert arrivals.expected("web", 50.0, 11.0) == 0.0
    arrivals.note(web, 40.0)
    assert arrivals.expected("web", 30.0, 60.0) == 5.0


def test_fits() -> None:
    assert fits(make(), PLAIN) and not fits(make(vcpus=9.0), PLAIN)
    assert not fits(make(flavors=["accel"]), PLAIN) and not fits(make(site="west"), PLAIN)
