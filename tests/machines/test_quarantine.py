"""Tests of the quarantine of unhealthy machines, and of the probe tasks that end it."""

from __future__ import annotations

import msgspec
import pytest

from clayport.machines.machine import TaskKey
from clayport.model import ARRAY, GANG, Job
from clayport.scaling.demand import Demand, unmet_demand
from clayport.scheduling.cached_state import Admission, machine_row, room_from_row
from clayport.scheduling.room import Room
from clayport.transport import frames
from tests.jobs.test_dispatch import SingleController
from tests.machines.test_workers import OwnerHarness
from tests.world import job as wire_job

LEASE_S = 10.0
FAILED = tuple(((f"j-00000{n}/0", 1), "exited", "error") for n in (2, 3))


class UnhealthyMachine(OwnerHarness):
    """A machine that has failed tasks of two jobs."""

    def __init__(self) -> None:
        super().__init__()
        self.report()
        self.report(*FAILED)
        self.seq = 100  # reports arrive at the second that their number says
        self.wait(0.0)

    def wait(self, seconds: float) -> None:
        """Let time pass, and let the owner check its machines."""
        self.seq += int(seconds)
        self.owner.expire(float(self.seq))

    def reserve(self, kind: str = ARRAY, tasks: int = 1) -> list[bool]:
        """Ask for room for the first tasks of another job."""
        job = msgspec.convert(wire_job(4, pieces=9), Job)
        job = msgspec.structs.replace(job, kind=kind)
        return self.owner.reserve(job, [("m1", n) for n in range(tasks)], 1, float(self.seq))

    def reserve_next(self, number: int) -> list[bool]:
        """Ask for room for the second attempt of a job."""
        job = msgspec.convert(wire_job(number, pieces=9), Job)
        return self.owner.reserve(job, [("m1", 0)], 2, float(self.seq))

    def fail(self, number: int) -> None:
        """Let a new task fail that the machine was given."""
        self.report(*FAILED, ((f"j-000004/{number}", 1), "exited", "error"))

    @property
    def takes(self) -> str:
        """Which new tasks the machine takes."""
        room: Room = self.owner.room(self.machine)
        return "all" if room.open else "one" if room.on_probation else "none"


def test_an_unhealthy_machine_takes_one_task_after_a_lease() -> None:
    bench = UnhealthyMachine()
    bench.wait(LEASE_S - 1)
    assert bench.takes == "none" and bench.reserve() == [False]
    revision = bench.owner.room_rev
    bench.wait(1)
    assert bench.takes == "one" and bench.owner.room_rev > revision
    assert bench.reserve(tasks=3) == [True, False, False]
    assert bench.takes == "none"


def test_a_gang_on_probation_gets_room_for_all_its_tasks() -> None:
    # Its tasks start together or not at all, so with room for one of them it would wait for ever.
    bench = UnhealthyMachine()
    bench.wait(LEASE_S)
    assert bench.reserve(GANG, 3) == [True, True, True]
    assert bench.takes == "none" and bench.reserve() == [False]


def test_the_quarantine_of_a_machine_that_goes_on_failing_doubles_once() -> None:
    bench = UnhealthyMachine()
    for number, leases in enumerate((1, 2, 2)):
        bench.wait(leases * LEASE_S - 1)
        assert bench.takes == "none"
        bench.wait(1)
        assert bench.takes == "one"
        bench.reserve()
        bench.fail(number)
        bench.wait(0)
        assert bench.takes == "none"


def test_a_job_that_failed_on_a_machine_gives_way_to_others_for_a_while() -> None:
    # Jobs that fail everywhere would be the only ones tried on a full cloud.
    bench = UnhealthyMachine()
    bench.wait(LEASE_S)
    bench.reserve()
    bench.fail(0)
    bench.wait(0)
    bench.wait(2 * LEASE_S)
    other = msgspec.convert(wire_job(5, pieces=9), Job)
    assert bench.takes == "one" and bench.reserve_next(4) == [False]
    assert bench.owner.reserve(other, [("m1", 0)], 1, float(bench.seq)) == [True]
    bench.owner.stop([("m1", f"{other.id}/0", 1, 0.0, False)])
    bench.wait(LEASE_S)
    assert bench.reserve_next(4) == [True]


def test_errors_of_earlier_tasks_during_the_quarantine_count_once() -> None:
    bench = UnhealthyMachine()
    for number in range(3):
        bench.wait(LEASE_S / 2)
        bench.fail(number)
        bench.wait(0)
    assert bench.machine.quarantine.failures == 1
    bench.wait(LEASE_S - 1)
    assert bench.takes == "none"
    bench.wait(1)
    assert bench.takes == "one"


@pytest.mark.parametrize("cause", ["done", "running"])
def test_a_machine_has_recovered_when_a_probe_task_succeeds(cause: str) -> None:
    """A replica never completes, so it has to suffice that it runs for as long."""
    bench = UnhealthyMachine()
    bench.wait(LEASE_S)
    bench.reserve()
    key = ("j-000004/0", 1)
    if cause == "done":
        bench.report(*FAILED, (key, "exited", "done"))
    else:
        bench.report(*FAILED, (key, "running", ""))
        bench.wait(LEASE_S - 2)
        bench.report(*FAILED, (key, "running", ""))
        bench.wait(0)
        assert bench.takes == "none"
        bench.seq += 1
        bench.report(*FAILED, (key, "running", ""))
        bench.wait(0)
    assert bench.takes == "all" and not bench.owner.is_unhealthy(bench.machine)


@pytest.mark.parametrize("end", ["stopped", "reservation expires", "killed before launch"])
def test_a_probe_task_that_shows_nothing_gives_way_to_the_next(end: str) -> None:
    bench = UnhealthyMachine()
    bench.wait(LEASE_S)
    bench.reserve()
    key: TaskKey = ("j-000004/0", 1)
    assert bench.takes == "none"
    if end == "stopped":
        bench.owner.launch([("m1", *key)])
        bench.report(*FAILED, (key, "running", ""))
        bench.report(*FAILED, (key, "exited", "stopped"))
        bench.owner.stop([("m1", *key, 0.0, True)])
    elif end == "reservation expires":
        bench.wait(6)
    else:
        bench.owner.stop([("m1", *key, 0.0, False)])
    bench.wait(0)
    assert bench.takes == "one"


def test_a_new_quarantine_of_a_machine_that_was_healthy_in_between_is_short() -> None:
    bench = UnhealthyMachine()
    bench.wait(LEASE_S)
    bench.reserve()
    bench.fail(0)
    for job in ("j-000002", "j-000003"):
        bench.owner.job_ended(job, "cancelled")
    assert bench.takes == "all"
    bench.report(*FAILED, (("j-000005/0", 1), "exited", "error"))
    bench.wait(0)
    assert bench.takes == "none"
    bench.wait(LEASE_S)
    assert bench.takes == "one"


def controller_with_machines(monkeypatch: pytest.MonkeyPatch, **machines: str) -> SingleController:
    """Return a controller with a machine of each name, healthy or on probation."""
    harness = SingleController(monkeypatch)
    harness.c.machines.expire(harness.now)
    for name, health in machines.items():
        harness.report(name, "north", "plain")
        machine = harness.c.machines.machines[name]
        if health == "probation":
            for job in ("j-000008", "j-000009"):
                harness.c.machines.faults.count_error(machine, job)
            for wait_s in (0.0, 3 * LEASE_S):
                harness.now += wait_s
                harness.c.machines.expire(harness.now)
    return harness


@pytest.mark.parametrize(
    "fields, healthy, on_probation",
    [
        ({"pieces": 2}, 2, 0),  # fit the healthy machine
        ({"pieces": 9}, 4, 1),  # 8 CPUs hold four tasks
        ({"pieces": 5, "shape": "daemon", "loaners": False}, 4, 1),
        ({"pieces": 8, "shape": "ensemble"}, 4, 4),
    ],
)
def test_machines_on_probation_are_used_last(
    monkeypatch: pytest.MonkeyPatch, fields: dict[str, object], healthy: int, on_probation: int
) -> None:
    harness = controller_with_machines(monkeypatch, m1="probation", m2="healthy")
    managed = harness.add_job(msgspec.convert(wire_job(1, vcpus=2.0, **fields), Job))
    harness.run_pass()
    machines = [machine for _, machine in managed.placed_starts]
    assert (machines.count("m2"), machines.count("m1")) == (healthy, on_probation)


def test_a_place_on_probation_that_is_not_used_is_offered_again(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # The cached state showed the machine as closed until its owner reported a change.
    harness = controller_with_machines(monkeypatch, m1="probation", m2="probation")
    managed = harness.add_job(msgspec.convert(wire_job(1, pieces=100), Job))
    monkeypatch.setattr(type(harness.c.dispatcher), "max_start_chunks", 1)
    managed.cursor = 100
    managed.requeued.extend((0, 60))  # tasks of two chunks, which need two transactions
    harness.run_pass()
    ((_, used),) = managed.placed_starts
    rooms = harness.c.cached_state.rooms()
    unused = "m1" if used == "m2" else "m2"
    assert rooms[unused].on_probation


def test_a_machine_on_probation_counts_as_no_room_for_others(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Otherwise no machine would be rented, and replicas that run would be moved there."""
    harness = controller_with_machines(monkeypatch, m1="probation")
    need = Demand(msgspec.convert(wire_job(1), Job), 1)
    index, policy = harness.c.cached_state.index(), harness.c.placer.policy()
    assert unmet_demand(index, [need], policy) == [need]


@pytest.mark.parametrize("admission", list(Admission))
def test_the_previous_version_reads_whether_a_machine_takes_tasks(admission: Admission) -> None:
    is_open = admission == Admission.OPEN
    room = Room("m1", "", "plain", "north", False, is_open, 8.0, 0.0, 64.0, 0, (), 1.0, "c0")
    room.on_probation = admission == Admission.PROBATION
    row = machine_row(room, 1.0)
    reread = room_from_row(row, "c0", (), 1.0)
    assert (reread.open, reread.on_probation) == (room.open, room.on_probation)
    before = (*frames.MACHINE[:5], "?", *frames.MACHINE[6:])
    packed: list[bytes] = []
    frames._Layout(frames.MACHINE).pack(row, packed)
    old_row, _ = frames._Layout(before).unpack(b"".join(packed), 0)
    assert old_row[5] is (admission != Admission.CLOSED)
