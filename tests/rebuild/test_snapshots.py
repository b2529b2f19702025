"""Tests of snapshots: the files, a crash at any point of a write, and the commands.

Truncated files, damaged files and files of other deployments are detected."""

from __future__ import annotations

import os
from pathlib import Path
from typing import Any

import curio
import pytest

from clayport.cli import main
from clayport.rebuild import commands, files
from clayport.rebuild.files import (
    ChangeLog,
    Header,
    Row,
    SnapshotError,
    newest,
    read_base,
    write_base,
)
from clayport.rebuild.restore import (
    WRITER,
    ControllersRunningError,
    OutdatedSnapshotError,
    RestoreRefusedError,
    check_allowed,
)
from clayport.records.store import StateStore
from tests.system.test_model import JOBS
from tests.world import Clock, World, job, simulate

LABELS = ["c0", "c1"]
RECORDS = {f"c/live/j-{n:06d}": ({"j": {"id": n}, "t": 1.5 * n}, n + 1) for n in range(40)}


def header(rev: int = 50, **fields: Any) -> Header:
    return Header(
        **{
            "kind": "base",
            "labels": LABELS,
            "history": "ab",
            "number": 1,
            "rev": rev,
            "at": 0.0,
            **fields,
        }
    )


def base(directory: Path, **fields: Any) -> Path:
    return write_base(directory, header(**fields), files.rows_of(RECORDS))


def write_log(directory: Path, count: int = 6) -> Path:
    log = ChangeLog(directory, header(kind="log"))
    for n in range(count):
        log.append(
            [Row(f"end/j-{n:06d}", {"s": "done"}, 51 + n), Row(f"c/live/j-{n:06d}", None, 51 + n)]
        )
    log.close()
    return log.path


def test_base_and_log_are_read_back(tmp_path: Path) -> None:
    base(tmp_path)
    write_log(tmp_path)
    found = newest(tmp_path, LABELS[::-1])
    assert found.rev == 56 and found.refused == []
    assert len(found.records) == 40 and found.records["end/j-000005"] == ({"s": "done"}, 56)
    assert "c/live/j-000005" not in found.records


def test_truncated_base_is_refused(tmp_path: Path) -> None:
    path = base(tmp_path)
    content = path.read_bytes()
    for size in range(len(content)):
        path.write_bytes(content[:size])
        with pytest.raises(SnapshotError, match=path.name):
            read_base(path)


def test_flipped_bit_in_base_is_detected(tmp_path: Path) -> None:
    path = base(tmp_path)
    content = path.read_bytes()
    for at in range(len(content)):
        path.write_bytes(content[:at] + bytes([content[at] ^ 0x10]) + content[at + 1 :])
        with pytest.raises(SnapshotError, match=path.name):
            read_base(path)


def test_intact_part_of_truncated_log_is_used(tmp_path: Path) -> None:
    base(tmp_path)
    path = write_log(tmp_path)
    content = path.read_bytes()
    revs = []
    for size in range(len(content) + 1):
        path.write_bytes(content[:size])
        found = newest(tmp_path, LABELS)
        assert sum(k.startswith("end/") for k in found.records) == found.rev - 50
        # A truncated log is used up to its last complete block. A truncation at the end of a block
        # can't be detected.
        revs.append(found.rev)
    assert revs == sorted(revs) and set(revs) == set(range(50, 57))


@pytest.mark.parametrize(
    "fields, reason", [({"labels": ["x"]}, "another deployment"), ({"kind": "log"}, "not a base")]
)
def test_unusable_base_is_skipped_for_older_one(
    tmp_path: Path, fields: dict[str, Any], reason: str
) -> None:
    base(tmp_path)
    foreign = write_base(tmp_path, header(rev=99, **fields), files.rows_of(RECORDS))
    if "kind" in fields:
        foreign.rename(tmp_path / files.file_name(header(rev=99)))
    found = newest(tmp_path, LABELS)
    assert found.rev == 50 and len(found.refused) == 1 and reason in found.refused[0]


def test_error_names_each_unusable_base(tmp_path: Path) -> None:
    for rev in (50, 60):
        path = base(tmp_path, rev=rev)
        path.write_bytes(path.read_bytes()[:-1])
    with pytest.raises(SnapshotError, match=r"0060.*cut off.*0050.*cut off"):
        newest(tmp_path, LABELS)
    with pytest.raises(SnapshotError, match="no such directory"):
        newest(tmp_path / "none", LABELS)


class ProcessCrashError(Exception):
    """Simulates a crash of the process."""


@pytest.mark.parametrize("call", ["fsync", "replace"])
def test_crash_during_write_keeps_previous_snapshot(
    monkeypatch: pytest.MonkeyPatch, tmp_path: Path, call: str
) -> None:
    """Only a complete base gets its name, and the previous base is deleted after that."""
    base(tmp_path)
    real, calls_left = getattr(os, call), 0

    def raise_after_limit(*args: Any) -> Any:
        nonlocal calls_left
        calls_left -= 1
        if calls_left < 0:
            raise ProcessCrashError
        return real(*args)

    monkeypatch.setattr(os, call, raise_after_limit)
    for allowed in range(8):
        calls_left = allowed
        try:
            base(tmp_path, rev=70)
            ChangeLog(tmp_path, header(rev=70, kind="log")).close()
            files.prune(tmp_path, 1)
            break
        except ProcessCrashError:
            found = newest(tmp_path, LABELS)
            assert found.rev in (50, 70) and len(found.records) == 40
    else:
        raise AssertionError("the write never completed")
    assert newest(tmp_path, LABELS).rev == 70 and len(files.bases(tmp_path)) == 1
    assert list(tmp_path.glob("*.part")) == []


# -- the commands ------------------------------------------------------------------


def settings_of(world: World) -> Any:
    return next(iter(world.controllers.values())).settings


async def crash_and_restore(
    clock: Clock, directory: Path, monkeypatch: pytest.MonkeyPatch, lines: list[str]
) -> World:
    """Take a snapshot, crash all controllers, lose all records and restore the snapshot."""
    world = World(clock, 5, rebuild=True)
    world.state.past = []
    await world.open()
    for number in range(8):
        fields, run_s = JOBS[number % len(JOBS)]
        await world.submit(job(number, **fields), run_s)
    await curio.sleep(6.0)
    controller_settings = settings_of(world)

    def store(_: Any) -> StateStore:
        state_store = StateStore("state", 1, 250.0, 100.0, 2.0, 3)
        state_store.client = world.client("operator", "state")
        return state_store

    monkeypatch.setattr(commands, "open_store", store)
    monkeypatch.setattr("builtins.print", lambda *a, **_: lines.append(" ".join(map(str, a))))
    assert await commands.take_snapshot(controller_settings, directory) == 0
    with pytest.raises(ControllersRunningError, match="running"):
        await commands.restore_snapshot(controller_settings, directory, True)
    for label in world.labels:
        await world.crash(label)
    world.state.roll_back(1e6)
    assert (
        await commands.restore_snapshot(controller_settings, directory, False) == 0
        and world.state.keys == {}
    )
    for _ in range(2):  # a repeated restore has no effect
        assert await commands.restore_snapshot(controller_settings, directory, True) == 0
    for label in world.labels:
        await world.start(label)
    end = clock() + 200.0
    while clock() < end and not world.violations:
        await curio.sleep(2.0)
        if all(
            world.last_status.get(i) == "done"
            for i in world.accepted
            if world.jobs[i]["shape"] != "daemon"
        ):
            break
    return world


def test_restore_after_total_loss(monkeypatch: pytest.MonkeyPatch, tmp_path: Path) -> None:
    lines: list[str] = []
    world = simulate(
        monkeypatch, lambda clock: crash_and_restore(clock, tmp_path, monkeypatch, lines)
    )
    assert world.violations == [] and len(world.accepted) == 8
    assert all(
        world.last_status.get(i) == "done"
        for i in world.accepted
        if world.jobs[i]["shape"] != "daemon"
    )
    assert any("nothing written" in line for line in lines)


def head_record(number: int, by: str = "c0") -> dict[str, Any]:
    return {"c/lineage": ({"id": "x", "n": number, "state": "whole", "by": by}, 9)}


@pytest.mark.parametrize(
    "records, refused",
    [
        ({}, None),
        (head_record(1), None),
        (head_record(2, WRITER), None),  # an interrupted restore may be repeated
        (head_record(2), OutdatedSnapshotError),
        (head_record(3, WRITER), OutdatedSnapshotError),
        ({"c/node/c1": ({}, 9), **head_record(1)}, ControllersRunningError),
    ],
)
def test_restore_is_refused_for_later_history_or_running_controllers(
    records: dict[str, Any], refused: type[RestoreRefusedError] | None
) -> None:
    found = files.Snapshot(header(number=1), dict(RECORDS), 50, [])
    if refused is None:
        check_allowed(found, records)
    else:
        with pytest.raises(refused):
            check_allowed(found, records)


@pytest.mark.parametrize(
    "arguments, status, expected",
    [
        (["verify", "{dir}"], 0, "good"),
        (["show", "{dir}"], 0, "live 40"),
        (["verify", "{dir}/none"], 2, "no such directory"),
        (["show", "{dir}/none"], 2, "no such directory"),
    ],
)
def test_commands_print_result_and_return_status(
    tmp_path: Path,
    capsys: pytest.CaptureFixture[str],
    arguments: list[str],
    status: int,
    expected: str,
) -> None:
    base(tmp_path)
    assert main(["snapshot", *(w.format(dir=tmp_path) for w in arguments)]) == status
    assert expected in "".join(capsys.readouterr())


def test_verify_names_damaged_base_and_show_uses_next(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    base(tmp_path)
    damaged = base(tmp_path, rev=60)
    damaged.write_bytes(damaged.read_bytes()[:-3])
    assert main(["snapshot", "verify", str(tmp_path)]) == 1
    assert f"DAMAGED {damaged}" in capsys.readouterr().out
    assert main(["snapshot", "show", str(tmp_path)]) == 0
    out = capsys.readouterr().out
    assert str(damaged) in out and "revision 50" in out
