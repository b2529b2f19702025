"""Validation of requests: which fields, types and names are accepted, and the status otherwise."""

from __future__ import annotations

import json
from typing import Any

import curio
import msgspec
import pytest

from clayport.jobs import eligibility
from clayport.model import Job
from clayport.records.keys import live_key
from tests.test_program import build_user_api
from tests.world import TYPES, job

RAW = json.dumps(job(1))
DEEP = "[" * 40_000 + "]" * 40_000


def submit(handler: Any, raw: bytes) -> int:
    return int(curio.run(handler.handle, "POST", "/api/jobs", raw)[0])


@pytest.mark.parametrize("field", sorted(job(1)))
def test_a_field_may_be_left_out_only_where_it_may_be_null(field: str) -> None:
    """Only the three fields that may be null may be absent, as the protocol defines for every
    message.

    The test fails if another field has a default, or one of these three has none.
    """
    handler, _ = build_user_api()
    null = {**job(1), field: None}
    missing = {k: v for k, v in job(1).items() if k != field}
    answers = [submit(handler, json.dumps(value).encode()) for value in (null, missing)]
    assert answers == ([201, 200] if field in ("flavors", "site", "due_s") else [400, 400])


@pytest.mark.parametrize(
    "field, values, status",
    [
        # The whole id must match: `$` in a pattern accepts a trailing line feed.
        ("id", ["j-77\n", "j-77 ", " j-77", "j-77\r", "J-77", "j-", "j-٣", "j-7/1", ""], 400),
        ("prereqs", [["j-77\n"], ["j-1", "77"], "j-1", [7], [None], {}], 400),
        ("prereqs", [None, []], 201),
        # Counts are integers and amounts are numbers; booleans, strings and lists are refused.
        ("pieces", [0, -1, 100_001, 3.0, 1e2, "3", True, 2**70, [3]], 400),
        *((f, [True, "2", -0.5, [2]], 400) for f in ("vcpus", "cards", "ram_gb", "image_gb")),
        *((f, [True, "2", -0.5, [2]], 400) for f in ("guess_s", "snapshot_every_s", "snapshot_s")),
        ("due_s", [True, "2", -0.5, [2]], 400),
        ("due_s", [0, 0.0, 60], 201),
        *((f, [0, "true", 1.0, []], 400) for f in ("together", "scatter", "loaners")),
        *((f, ["", 7, ["x"], "x" * 201], 400) for f in ("jobclass", "owner", "bundle")),
        ("shape", ["", "Sweep", "sweep ", 0], 400),
        ("rank", ["", "Normal", "urgent", 1], 400),
        ("flavors", ["plain", "", [None], [""], [7], {"plain": 1}], 400),
        ("flavors", [[], ["none"], ["Plain"]], 422),
        ("flavors", [["plain", "none"], ["plain", "plain"]], 201),
        ("site", ["", 7, ["north"]], 400),
        ("site", ["North", "west"], 422),
        ("owner", ["nobody", "free "], 422),
        # Unknown fields are ignored, whatever their value.
        ("aimless", ["yes", True, None, 7], 201),
        ("status", ["done", {"a": [1]}], 201),
    ],
)
def test_field_values(field: str, values: list[Any], status: int) -> None:
    for value in values:
        handler, _ = build_user_api()
        raw = json.dumps({**job(1), field: value}).encode()
        assert submit(handler, raw) == status, value


@pytest.mark.parametrize(
    "raw, status",
    [
        ("", 400),
        ("null", 400),
        ("[]", 400),
        ('"j-000001"', 400),
        ("{}", 400),
        (RAW + RAW, 400),
        (RAW[:-1], 400),
        (RAW[:-1] + ",}", 400),
        ("\ufeff" + RAW, 400),
        (" \r\n" + RAW + "\n", 201),
        (RAW.replace("2.0", "NaN"), 400),
        (RAW.replace("2.0", "Infinity"), 400),
        (RAW.replace("2.0", "1e999"), 400),
        (RAW.replace("2.0", "02.0"), 400),
        (RAW.replace("2.0", "2"), 201),
        (RAW.replace("img-1", "\\ud800"), 400),
        (RAW[:-1] + ', "extra": ' + DEEP + "}", 400),
        (RAW.encode("utf-16"), 400),
        (RAW.encode().replace(b"img-1", b"img-\xff"), 400),
    ],
)
def test_request_bodies(raw: str | bytes, status: int) -> None:
    handler, _ = build_user_api()
    assert submit(handler, raw if isinstance(raw, bytes) else raw.encode()) == status


@pytest.mark.parametrize(
    "record, status",
    [
        # Records omit defaults, and the first versions accepted a trailing line feed.
        ({}, 200),
        ({"id": "j-77\n"}, 200),
        ({"prereqs": ["j-77\n"]}, 200),
        # The machine type or the team does not exist any more.
        ({"flavors": ["none"]}, 200),
        ({"owner": "nobody"}, 200),
        ({"shape": "ensemble", "scatter": True, "site": "north"}, 200),
    ],
)
def test_a_job_that_was_accepted_before_is_never_refused(
    record: dict[str, Any], status: int
) -> None:
    """A repeated submission of an accepted job is answered, whatever has changed since.

    The test fails if `Job` validates records as strictly as requests, or if `_refuse` does not
    look up the record.
    """
    handler, c = build_user_api()
    value = {**job(1), **record}
    stored = {k: v for k, v in value.items() if v is not None}

    async def main() -> int:
        key = live_key(value["id"])
        txn = {"when": [], "writes": [{"write": key, "data": {"j": stored, "t": 1.0}}]}
        await c.store.client.request("POST", "/commit", json.dumps(txn).encode(), 1.0)
        c.record_replica._put(key, {"j": stored, "t": 1.0}, 2)
        assert value["id"] in c.jobs.live
        return int((await handler.handle("POST", "/api/jobs", json.dumps(value).encode()))[0])

    assert curio.run(main) == status


@pytest.mark.parametrize(
    "path, status",
    [
        ("j-000001", 200),
        ("j-000001?x=j-2", 200),
        ("%6a%2D00000%31", 200),  # the same id, percent-encoded
        ("j-000002", 404),
        ("J-000001", 404),
        ("j-000001%0A", 404),
        ("j-000001%20", 404),
        ("j-000001%2Fabort", 404),
        ("j-000001/", 200),
        ("j-000001/0", 404),
        ("%ff", 404),
        ("%", 404),
        ("", 404),
        ("..%2Fj-000001", 404),
        ("000001", 404),
        ("j-" + "1" * 31, 404),
    ],
)
def test_job_ids_in_paths(path: str, status: int) -> None:
    handler, _ = build_user_api()
    assert submit(handler, RAW.encode()) == 201
    assert curio.run(handler.handle, "GET", "/api/jobs/" + path, b"")[0] == status


NORTH_ONLY = [{**t, "sites": ["north"]} for t in TYPES]
SPLIT = [
    {**t, "sites": [zone]} for t, zone in zip(TYPES, ("north", "south"))
]  # plain is offered only in the north, accel only in the south
NO_ZONES = [{**t, "sites": []} for t in TYPES]


@pytest.mark.parametrize(
    "fields, types, placeable",
    [
        ({}, TYPES, True),
        ({}, NO_ZONES, False),
        ({"cards": 1.0, "site": "south"}, SPLIT, True),
        ({"cards": 1.0, "site": "north"}, SPLIT, False),  # the north has no accel
        ({"cards": 1.0, "site": "south", "flavors": ["plain"]}, SPLIT, False),
        ({"cards": 3.0}, TYPES, False),
        ({"vcpus": 9.0, "flavors": ["plain"]}, TYPES, False),
        ({"vcpus": 9.0}, TYPES, True),
        ({"vcpus": 0.0, "ram_gb": 0.0}, TYPES, True),
        # A gang in one zone needs one zone with machines, a spread gang needs at least two.
        ({"shape": "ensemble", "together": True}, SPLIT, True),
        ({"shape": "ensemble", "scatter": True}, TYPES, True),
        ({"shape": "ensemble", "scatter": True}, NORTH_ONLY, False),
        ({"shape": "ensemble", "scatter": True, "cards": 1.0}, SPLIT, False),
        ({"shape": "ensemble", "scatter": True, "site": "north"}, TYPES, False),
        ({"shape": "ensemble", "scatter": True, "together": True}, TYPES, False),
        ({"shape": "ensemble", "scatter": True, "together": True, "pieces": 1}, TYPES, True),
        # Jobs of other kinds run as many of their tasks as the zones allow.
        ({"shape": "daemon", "scatter": True, "site": "north"}, TYPES, True),
        ({"scatter": True, "together": True}, TYPES, True),
    ],
)
def test_jobs_that_no_machine_type_fits_are_refused(
    fields: dict[str, Any], types: list[dict[str, Any]], placeable: bool
) -> None:
    handler, c = build_user_api()
    c.catalogue.types = msgspec.convert(types, list[type(c.catalogue.types[0])])  # type: ignore[misc]
    assert (
        eligibility.can_be_placed(msgspec.convert(job(1, **fields), Job), c.catalogue.types)
        == placeable
    )
    assert submit(handler, json.dumps(job(1, **fields)).encode()) == (201 if placeable else 422)


@pytest.mark.parametrize(
    "fields, status",
    [
        # A limit of 0 means no limit, as in the settings: team `tight` has 4 GPUs and no CPU limit.
        ({"owner": "free", "cards": 2.0, "shape": "ensemble", "pieces": 40}, 201),
        ({"owner": "tight", "shape": "daemon", "pieces": 1000}, 201),
        # An array has to fit its team's limit with one task only.
        ({"owner": "tight", "cards": 2.0, "shape": "sweep", "pieces": 1000}, 201),
        ({"owner": "tight", "cards": 2.0, "shape": "ensemble", "pieces": 2}, 201),
        ({"owner": "tight", "cards": 2.0, "shape": "ensemble", "pieces": 3}, 422),
        ({"owner": "tight", "cards": 1.0, "shape": "daemon", "pieces": 4}, 201),
        ({"owner": "tight", "cards": 1.0, "shape": "daemon", "pieces": 5}, 422),
        ({"owner": "tight", "cards": 0.1, "shape": "daemon", "pieces": 40}, 201),
    ],
)
def test_jobs_that_exceed_their_teams_limit_are_refused(
    fields: dict[str, Any], status: int
) -> None:
    handler, _ = build_user_api()
    assert submit(handler, json.dumps(job(1, **fields)).encode()) == status
