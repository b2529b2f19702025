"""Tests of the machines that a job avoids, and that the provisioner learns of them."""

from __future__ import annotations

import msgspec
import pytest

from clayport.jobs.avoidance import AvoidedMachines
from clayport.membership.epoch import Epoch
from clayport.model import JOB_ID_PATTERN, Job
from clayport.scaling.demand import surely_fits, unmet_demand
from clayport.scheduling.demand_report import DemandRow, excluded_row
from tests.jobs.test_dispatch import SingleController
from tests.world import job as wire_job

LEASE_S = 10.0


@pytest.mark.parametrize(
    "failures, avoided_until",
    [
        ([0.0], 15.0),
        ([0.0, 15.0], 45.0),
        ([0.0, 15.0, 45.0], 75.0),  # the longest time
        ([0.0, 1.0, 2.0], 17.0),  # failures that come together count once
    ],
)
def test_a_machine_is_avoided_for_a_limited_time(
    failures: list[float], avoided_until: float
) -> None:
    avoided = AvoidedMachines("j-000001", LEASE_S)
    for at in failures:
        avoided.note_failure("m1", at)
    assert avoided.at(avoided_until - 0.1) == {"m1"} and avoided.at(avoided_until) == set()


def test_a_machine_is_not_avoided_after_a_success() -> None:
    avoided = AvoidedMachines("j-000001", LEASE_S)
    avoided.note_failure("m1", 0.0)
    avoided.note_failure("m2", 0.0)
    avoided.note_success("m1")
    assert avoided.at(1.0) == {"m2"}
    avoided.note_failure("m1", 2.0)
    assert avoided.at(16.9) == {"m1"}  # as after a first failure


def test_a_machine_that_declined_a_probe_task_is_avoided_briefly() -> None:
    """Its owner may prefer other jobs for a while, and would be asked in every pass."""
    avoided = AvoidedMachines("j-000001", LEASE_S)
    avoided.note_failure("m1", 0.0)
    avoided.note_failure("m2", 0.0)
    avoided.note_declined("m3", 1.0)
    assert avoided.at(1.0) == {"m1", "m2", "m3"} and avoided.latest_at(1.0) == {"m2", "m3"}
    assert avoided.at(3.5) == {"m1", "m2"}


@pytest.mark.parametrize("is_open", [True, False])
def test_only_a_start_that_a_machine_on_probation_declined_keeps_the_job_off(
    monkeypatch: pytest.MonkeyPatch, is_open: bool
) -> None:
    harness = SingleController(monkeypatch)
    harness.report("m1", "north", "plain")
    managed = harness.add_job(msgspec.convert(wire_job(1), Job))
    harness.c.cached_state.rooms()["m1"].open = is_open
    harness.c.dispatcher._note_answers(managed, [], [(0, "m1"), (1, "m1")])
    assert managed.excluded_machines(harness.now) == (set() if is_open else {"m1"})


def job_that_failed(harness: SingleController, *machines: str) -> Job:
    """Add a job of one task that has failed on the machines."""
    job = msgspec.convert(wire_job(1, pieces=1, shape="daemon", loaners=False), Job)
    managed = harness.add_job(job)
    for name in machines:
        managed.errors[name] = 1
        managed.avoided.note_failure(name, harness.now)
    return job


def test_the_provisioner_counts_no_room_where_the_placer_places_nothing(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    harness = SingleController(monkeypatch)
    harness.report("m1", "north", "plain")
    job = job_that_failed(harness, "m1")
    for wait_s, fits in ((0.0, False), (15.0, True)):
        harness.now += wait_s
        index, policy = harness.c.cached_state.index(), harness.c.placer.policy()
        demand = harness.c.placer.demand_report.cluster_demand()
        assert [need.job for need in demand] == [job]
        with index.trial():
            assert (not unmet_demand(index, demand, policy)) == fits
        assert surely_fits(index, demand, policy) == fits
        harness.run_pass()
        assert bool(harness.c.jobs.managed[job.id].placed_starts) == fits


def test_only_machines_that_exist_are_reported(monkeypatch: pytest.MonkeyPatch) -> None:
    harness = SingleController(monkeypatch)
    harness.report("m1", "north", "plain")
    job = job_that_failed(harness, "m1", "m9")
    harness.c.cached_state.index()
    rows = harness.c.placer.demand_report.own_rows()
    assert rows == [DemandRow(job.id, 1, 0.0, ""), excluded_row(job.id, ["m1"])]


def test_demand_of_a_peer_names_the_excluded_machines(monkeypatch: pytest.MonkeyPatch) -> None:
    harness = SingleController(monkeypatch)
    job = msgspec.convert(wire_job(1), Job)
    harness.c.jobs.live[job.id] = (job, 1)
    report = harness.c.placer.demand_report
    harness.c.membership.epoch = Epoch(1, {"c0": "x", "c1": "y"}, 1)
    report.peer_rows["c1"] = [DemandRow(job.id, 2, 1.0, ""), excluded_row(job.id, ["m1", "m2"])]
    (need,) = report.cluster_demand()
    assert need.tasks == 2 and need.excluded == {"m1", "m2"}


def test_the_previous_version_ignores_the_row_of_excluded_machines() -> None:
    """It keeps the rows of jobs whose id is live; no id of a job begins like this."""
    assert not JOB_ID_PATTERN.fullmatch(excluded_row("j-000001", ["m1"]).job)


def test_a_replica_does_not_move_to_a_machine_where_its_job_failed(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # The replica would be stopped, and then wait, because the placer does not use the machine.
    harness = SingleController(monkeypatch)
    job = msgspec.convert(wire_job(1, pieces=2, shape="daemon", loaners=False), Job)
    managed = harness.add_job(job)
    for name in ("m1", "m2"):
        harness.report(name, "north", "plain")
        harness.c.machines.machines[name].images[job.image] = job.image_gb
        harness.c.machines.mark_room_changed(name)
    room = harness.c.cached_state.rooms()["m1"]
    migration = harness.c.placer.replica_migration
    assert migration._has_destination(managed, 0, room, True)
    managed.avoided.note_failure("m2", harness.now)
    assert not migration._has_destination(managed, 0, room, True)
