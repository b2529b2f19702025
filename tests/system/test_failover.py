"""Tests of loading the jobs that an epoch assigns to a controller."""

from __future__ import annotations

from typing import Any

import curio
import msgspec
import pytest

from clayport.membership.epoch import Epoch
from clayport.records.messages import Entry
from tests.jobs.test_dispatch import SingleController
from tests.system.test_faults import make_job

ENDED = ["j-000001", "j-000002", "j-000003"]


@pytest.mark.parametrize("cancelled_in_read", [1, 2, 3])
def test_a_job_cancelled_during_a_load_is_led(
    monkeypatch: pytest.MonkeyPatch, cancelled_in_read: int
) -> None:
    """Guards against jobs that nobody leads, because they end while other records are read.

    The usage of the job's team would never be credited.
    """
    harness = SingleController(monkeypatch)
    c, reads = harness.c, 0
    late = make_job(4)
    c.jobs.live[late.id] = (late, 5)
    names = [*ENDED, late.id]
    chunk = {"a": [[0, 1, "m1"]], "d": [], "n": 1}

    async def scan(prefix: str, **_: Any) -> tuple[list[Entry], int]:
        return [Entry(f"run/{name}/0", chunk, 6) for name in names], 7

    async def get(key: str, **_: Any) -> Entry:
        nonlocal reads
        reads += 1
        if reads == cancelled_in_read:
            c.lifecycle.note_end(late.id, "cancelled", rev=8)
        number = int(key.rpartition("-")[2])
        description = msgspec.to_builtins(make_job(number))
        return Entry(key, {"s": "cancelled", "j": description}, 8)

    monkeypatch.setattr(c.store, "scan", scan)
    monkeypatch.setattr(c.store, "get", get)
    epoch = c.membership.epoch = Epoch(4, {"c0": "x"}, 7)
    curio.run(c.failover.load, epoch)
    assert sorted(c.jobs.managed) == names
    assert all(managed.ended == "cancelled" for managed in c.jobs.managed.values())
