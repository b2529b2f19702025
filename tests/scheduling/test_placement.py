"""Tests of placement, preemption, and the plan of machines to rent."""

from __future__ import annotations

from typing import Any

import msgspec
import pytest

from clayport.model import Job, MachineType, fits
from clayport.scaling.arrivals import ArrivalRates, spare_room
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

MACHINE_TYPES = msgspec.convert(TYPES, list[MachineType])
PLAIN, ACCEL = MACHINE_TYPES


def make_job(number: int = 1, **fields: Any) -> Job:
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
        ({"pieces": 9}, {}, 4),  # 8 CPUs hold four tasks of 2 CPUs each
        ({"flavors": ["accel"]}, {}, 0),
        ({"site": "south"}, {}, 0),
        ({"loaners": False}, {"spot": True}, 0),
        ({"ram_gb": 30.0}, {}, 2),  # memory is the limit
        ({"cards": 1.0}, {}, 0),
        ({}, {"open": False}, 0),
        ({}, {"reserved_for": "j-000002"}, 0),  # reserved for another job
        ({}, {"reserved_for": "j-000001"}, 3),
        ({"pieces": 9, "shape": "ensemble"}, {}, 0),  # a gang is placed whole or not at all
        ({"pieces": 4, "shape": "ensemble"}, {}, 4),
    ],
)
def test_place(fields: dict[str, Any], where: dict[str, Any], placed: int) -> None:
    job = make_job(**fields)
    machine_room = room(**where)
    before = (machine_room.cpus, machine_room.gpus, machine_room.memory_gb)
    assert len(place(job, job.tasks, Index("", [machine_room]), Spread(job, ()))) == placed
    assert machine_room.cpus == before[0] - placed * job.cpus  # only placed tasks take CPUs


@pytest.mark.parametrize(
    "fields, others, zones",
    [
        ({"together": True}, ["south"], ["south"]),
        ({"together": True}, [None], []),  # the task in the unknown zone may be in any zone
        ({"together": True}, [], ["north", "south"]),
        ({"scatter": True, "pieces": 1}, [], ["north", "south"]),
        ({"scatter": True, "pieces": 4}, ["north", "north"], ["south"]),
        ({"scatter": True, "pieces": 5}, ["north", "north"], ["north", "south"]),
        ({"scatter": True, "pieces": 2}, [None], []),  # an unknown zone counts against every zone
    ],
)
def test_spread_allows_zones(
    fields: dict[str, Any], others: list[str | None], zones: list[str]
) -> None:
    spread = Spread(make_job(**fields), others)
    assert [z for z in ("north", "south") if spread.allows(z)] == zones


def test_cached_image_is_preferred_then_the_fullest_machine() -> None:
    job = make_job(pieces=1)
    cached = room("m1", images=("img-1",))
    full = room("m2", cpus=2.0)
    assert place(job, 1, Index("", [full, cached]), Spread(job, ()))[0] is cached
    job = make_job(bundle="other", pieces=1)
    assert place(job, 1, Index("", [cached, full]), Spread(job, ()))[0] is full


def test_controllers_with_equal_state_choose_different_machines() -> None:
    job = make_job(pieces=1)
    first = {
        place(job, 1, Index(salt, [room(f"m{i}") for i in range(8)]), Spread(job, ()))[0].machine
        for salt in ("c0", "c1", "c2", "c3", "c4")
    }
    assert len(first) > 1


def test_jobs_without_gpus_leave_room_for_gpu_jobs() -> None:
    gpu_job = make_job(2, cards=2.0, vcpus=14.0, loaners=False)
    policy = Policy([gpu_job], MACHINE_TYPES)
    normal, low = make_job(pieces=8), make_job(3, pieces=8, rank="best_effort")
    assert len(place(normal, 8, Index("", [room(kind=ACCEL)]), Spread(normal, ()), policy)) == 1
    # Lower ranks may fill the machine, because the GPU job preempts them. The GPU job cannot use
    # a spot machine, so no room is left for it there.
    assert len(place(low, 8, Index("", [room(kind=ACCEL)]), Spread(low, ()), policy)) == 8
    spot = Index("", [room(kind=ACCEL, spot=True)])
    assert len(place(normal, 8, spot, Spread(normal, ()), policy)) == 8


def test_jobs_that_can_wait_avoid_expensive_machines() -> None:
    job = make_job()
    policy = Policy([], MACHINE_TYPES)
    assert (
        place(job, 3, Index("", [room(kind=ACCEL)]), Spread(job, ()), policy, avoid_expensive=True)
        == []
    )
    assert len(place(job, 3, Index("", [room(kind=ACCEL)]), Spread(job, ()), policy)) == 3


@pytest.mark.parametrize("images, machine", [((), "s1"), (("img-1",), "n1")])
def test_gang_prefers_cached_image_then_zone_with_least_room(
    images: tuple[str, ...], machine: str
) -> None:
    rooms = [room("n1", images=images), room("n2"), room("s1", zone="south")]
    job = make_job(pieces=1, shape="ensemble", together=True, vcpus=8.0)
    assert [r.machine for r in place(job, 1, Index("", rooms), Spread(job, ()))] == [machine]
    job = make_job(pieces=2, shape="ensemble", together=True, vcpus=8.0)
    rooms = [room("n1"), room("n2"), room("s1", zone="south", images=("img-1",))]
    assert {r.zone for r in place(job, 2, Index("", rooms), Spread(job, ()))} == {"north"}


@pytest.mark.parametrize("avoid_spot, first", [(False, "cheap"), (True, "plain")])
def test_avoid_spot_prefers_on_demand_machines(avoid_spot: bool, first: str) -> None:
    job = make_job(pieces=5)
    rooms = [room("cheap", spot=True, images=("img-1",)), room("plain")]
    chosen = [
        r.machine for r in place(job, 5, Index("", rooms), Spread(job, ()), None, False, avoid_spot)
    ]
    assert len(chosen) == 5 and chosen[0] == first  # the other machine is used too
    rooms = [room("cheap", spot=True), room("plain")]
    for each in rooms:
        each.allocate(make_job(2, rank="best_effort"), 4)
    found = preempt(
        job, 1, Index("", rooms), Spread(job, ()), Policy([], MACHINE_TYPES), None, avoid_spot
    )
    assert [r.machine for r, _ in found] == [first]


@pytest.mark.parametrize(
    "rank, victim, preempted",
    [
        ("production", "normal", True),
        ("high", "normal", True),
        ("normal", "best_effort", True),
        ("normal", "normal", False),
        ("best_effort", "normal", False),
        ("high", "production", False),
    ],
)
def test_only_lower_ranks_are_preempted(rank: str, victim: str, preempted: bool) -> None:
    full = room()
    full.allocate(make_job(2, rank=victim), 4)
    job = make_job(rank=rank)
    found = preempt(job, 1, Index("", [full]), Spread(job, ()), Policy([], MACHINE_TYPES))
    assert found == ([(full, 1)] if preempted else [])


def test_preemption_for_a_large_array_uses_several_machines() -> None:
    rooms = [room(f"m{i}") for i in range(4)]
    for each in rooms:
        each.allocate(make_job(2, rank="best_effort"), 4)
    job = make_job(pieces=10)
    found = preempt(job, 10, Index("", rooms), Spread(job, ()), Policy([], MACHINE_TYPES))
    assert sorted(n for _, n in found) == [2, 4, 4]
    job = make_job(pieces=10, scatter=True)
    found = preempt(job, 10, Index("", rooms), Spread(job, ()), Policy([], MACHINE_TYPES))
    assert sum(n for _, n in found) == 5


def test_unmet_demand_keeps_zones_of_placed_tasks() -> None:
    job = make_job(pieces=2, scatter=True)
    left = unmet_demand(Index("", [room()]), [Demand(job, 2)], Policy([], MACHINE_TYPES))
    assert [(n.tasks, n.zones) for n in left] == [(1, ("north",))]
    # The next machine is rented in a zone that the job can still use.
    assert plan_rentals(MACHINE_TYPES, left, set(), 0.0, Policy([], MACHINE_TYPES), {}) == [
        ("plain", "south", True)
    ]


@pytest.mark.parametrize(
    "fields, refused, rented",
    [
        ({}, set(), [("plain", "north", True)]),
        ({"loaners": False}, set(), [("plain", "north", False)]),
        ({"loaners": False, "site": "south"}, set(), [("plain", "south", False)]),
        ({"site": "north"}, {("plain", "north", True)}, [("plain", "north", False)]),
        ({"cards": 1.0, "loaners": False}, set(), [("accel", "north", False)] * 2),
    ],
)
def test_plan_rentals(fields: dict[str, Any], refused: set[Any], rented: list[Any]) -> None:
    job = make_job(**fields)
    found = plan_rentals(
        MACHINE_TYPES, [Demand(job, 3)], refused, 0.0, Policy([], MACHINE_TYPES), {}
    )
    assert sorted((k, s) for k, _, s in found) == sorted((k, s) for k, _, s in rented)
    if len(found) == 1:
        assert found == rented


def test_expensive_machines_are_rented_only_if_the_job_can_be_in_time() -> None:
    job = make_job(site="north")
    refused = {("plain", "north", True), ("plain", "north", False)}
    policy = Policy([], MACHINE_TYPES)
    assert plan_rentals(MACHINE_TYPES, [Demand(job, 1)], refused, 0.0, policy, {job.id: 1.0}) == []
    assert plan_rentals(MACHINE_TYPES, [Demand(job, 1)], refused, 0.0, policy, {job.id: 60.0}) != []


def test_urgent_demand_leaves_out_jobs_that_can_wait() -> None:
    early, late = Demand(make_job(1), 3, 5.0), Demand(make_job(2), 3, 80.0)
    assert urgent_demand([early, late], {"batch": 90.0}, 64.0) == [late]
    assert urgent_demand([early], {}, 64.0) == [early]  # urgent without a time limit
    [there] = urgent_demand([early], {"batch": 90.0}, 0.0)  # the fleet is empty
    assert there.job == early.job and there.tasks == 1  # three tasks in a row end in time
    near = Demand(make_job(3), 3, 70.0)
    assert urgent_demand([near], {"batch": 90.0}, 64.0) == [near]  # late with the safety margins
    assert urgent_demand([near], {"batch": 90.0}, 64.0, 1.0, 1.0) == []  # not late without them


def test_spare_room_covers_arrivals_while_a_machine_boots() -> None:
    arrivals = ArrivalRates(300.0, 0.0)
    web = make_job(1, jobclass="web", shape="daemon", pieces=2, loaners=False)
    for at in range(30, 300, 10):
        arrivals.record(web, float(at))
    found = spare_room([web], arrivals, MACHINE_TYPES, {"web"}, 300.0)
    assert [(n.job.job_class, n.tasks) for n in found] == [("web", 4)]
    assert spare_room([], ArrivalRates(300.0, 0.0), MACHINE_TYPES, {"web"}, 10.0) == []


def test_backlog_at_start_does_not_count_as_arrival_rate() -> None:
    arrivals = ArrivalRates(300.0, 0.0)
    web = make_job(1, jobclass="web", shape="daemon", pieces=5, loaners=False)
    for at in range(70):
        arrivals.record(web, at / 7)
    assert arrivals.expected_tasks("web", 50.0, 11.0) == 0.0
    arrivals.record(web, 40.0)
    assert arrivals.expected_tasks("web", 30.0, 60.0) == 5.0


def test_fits() -> None:
    assert fits(make_job(), PLAIN) and not fits(make_job(vcpus=9.0), PLAIN)
    assert not fits(make_job(flavors=["accel"]), PLAIN) and not fits(make_job(site="west"), PLAIN)
