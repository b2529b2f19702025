"""Size limits hold with three times the machines and jobs of the largest deployment."""

from __future__ import annotations

import random

import msgspec
import pytest

from clayport.membership.epoch import Epoch
from clayport.model import Job
from clayport.scaling.arrivals import ArrivalRates
from clayport.transport import frames
from tests.jobs.test_dispatch import SingleController
from tests.world import job as wire_job

MACHINES = 3 * 639


def test_frames_and_tables_hold_three_times_the_largest_deployment(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """No row is lost and each frame is within its size limit if one owner has all machines, its
    table is read whole and incrementally, and as many jobs are queued."""
    harness = SingleController(monkeypatch)
    rng = random.Random(1)
    busy = msgspec.convert(wire_job(1, pieces=4 * MACHINES, rank="production"), Job)
    harness.c.jobs.live[busy.id] = (busy, 1)
    owner = harness.c.machines
    for n in range(MACHINES):
        harness.report(
            f"m{n}",
            rng.choice(("north", "south")),
            "plain",
            *(f"{busy.id}/{4 * n + k}" for k in range(4)),
        )
    harness.c.membership.serving = True
    whole = harness.c.cached_state.free_room_table(0, [])
    assert whole[2] and len(whole[4]) == MACHINES
    assert len(frames.encode(frames.TABLE, 1, whole)) < frames.MAX_BODY
    before = owner.room_rev
    for n in range(0, MACHINES, 2):
        harness.report(f"m{n}", "north", "plain", f"{busy.id}/{4 * n}")
    changed = owner.changed(before)
    assert changed is not None and len(changed) == (MACHINES + 1) // 2
    assert len(harness.c.cached_state.free_room_table(before, [])[4]) == (MACHINES + 1) // 2
    for n in range(MACHINES):
        harness.add_job(msgspec.convert(wire_job(10 + n, vcpus=8.0, due_s=1000.0 + n), Job))
    harness.run_pass()
    assert len(harness.c.queue.entries) == MACHINES
    rows = harness.c.placer.demand_report.own_rows()
    assert {row[0] for row in rows} == {f"j-{10 + n:06d}" for n in range(len(rows))}
    frame = (harness.c.membership.label, 1, True, owner.room_rev, rows)
    assert len(frames.encode(frames.PING, 1, frame)) < frames.MAX_BODY


def test_rendezvous_is_the_same_beyond_the_size_of_the_cache() -> None:
    members = {f"c{n}": "x" for n in range(5)}
    first, second = Epoch(1, members, 1), Epoch(1, members, 1)
    names = [f"i-{n:06d}" for n in range(30_000)]
    assert [first.member_for(n) for n in names][:100] == [second.member_for(n) for n in names[:100]]
    assert len(first._member_by_key) <= 20_000


@pytest.mark.parametrize("jobs", [150, 1500])
def test_every_arrival_of_a_flood_is_counted(jobs: int) -> None:
    """Every arrival counts, because a limit of 200 counted jobs would lower the expected number
    of tasks as more jobs arrive."""
    arrivals = ArrivalRates(300.0, 0.0)
    job = msgspec.convert(wire_job(1, pieces=4), Job)
    for n in range(jobs):
        arrivals.record(job, 30.0 + 270.0 * n / jobs)
    assert arrivals.expected_tasks("batch", 270.0, 300.0) == pytest.approx(4 * jobs, rel=0.01)
    arrivals.record(job, 1e4)
    assert len(arrivals.jobs_by_class["batch"]) == 1
