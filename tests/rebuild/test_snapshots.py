"""Snapshots: what is cut off, damaged, of another deployment or older is found out, and a
process may end at any of their writes."""

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


def log_of(directory: Path, count: int = 6) -> Path:
    log = ChangeLog(directory, header(kind="log"))
    for n in range(count):
        log.append(
            [Row(f"end/j-{n:06d}", {"s": "done"}, 51 + n), Row(f"c/live/j-{n:06d}", None, 51 + n)]
        )
    log.close()
    return log.path


def test_what_was_written_is_read(tmp_path: Path) -> None:
    base(tmp_path)
    log_of(tmp_path)
    found = newest(tmp_path, LABELS[::-1])
    assert found.rev == 56 and found.refused == []
    assert len(found.records) == 40 and found.records["end/j-000005"] == ({"s": "done"}, 56)
    assert "c/live/j-000005" not in found.records


def test_a_base_cut_at_any_byte_is_refused_by_name(tmp_path: Path) -> None:
    path = base(tmp_path)
    whole = path.read_bytes()
    for size in range(len(whole)):
        path.write_bytes(whole[:size])
        with pytest.raises(SnapshotError, match=path.name):
            read_base(path)


def test_a_byte_flipped_anywhere_is_found_out(tmp_path: Path) -> None:
    path = base(tmp_path)
    whole = path.read_bytes()
    for at in range(len(whole)):
        path.write_bytes(whole[:at] + bytes([whole[at] ^ 0x10]) + whole[at + 1 :])
        with pytest.raises(SnapshotError, match=path.name):
            read_base(path)


def test_of_a_log_cut_at_any_byte_what_is_whole_before_it_counts(tmp_path: Path) -> None:
    base(tmp_path)
    path = log_of(tmp_path)
    whole = path.read_bytes()
    revs = []
    for size in range(len(whole) + 1):
        path.write_bytes(whole[:size])
        found = newest(tmp_path, LABELS)
        assert sum(k.startswith("end/") for k in found.records) == found.rev - 50
        # Either all of it counts, or what is wrong is said (at the ends of blocks nothing is).
        revs.append(found.rev)
    assert revs == sorted(revs) and set(revs) == set(range(50, 57))


@pytest.mark.parametrize(
    "fields, why", [({"labels": ["x"]}, "another deployment"), ({"kind": "log"}, "not a base")]
)
def test_what_is_not_ours_is_refused_and_what_is_older_is_used(
    tmp_path: Path, fields: dict[str, Any], why: str
) -> None:
    base(tmp_path)
    wrong = write_base(tmp_path, header(rev=99, **fields), files.rows_of(RECORDS))
    if "kind" in fields:
        wrong.rename(tmp_path / files.file_name(header(rev=99)))
    found = newest(tmp_path, LABELS)
    assert found.rev == 50 and len(found.refused) == 1 and why in found.refused[0]


def test_without_any_that_can_be_used_each_is_named(tmp_path: Path) -> None:
    for rev in (50, 60):
        path = base(tmp_path, rev=rev)
        path.write_bytes(path.read_bytes()[:-1])
    with pytest.raises(SnapshotError, match=r"0060.*cut off.*0050.*cut off"):
        newest(tmp_path, LABELS)
    with pytest.raises(SnapshotError, match="no such directory"):
        newest(tmp_path / "none", LABELS)


class EndedError(Exception):
    """The process ends here."""


@pytest.mark.parametrize("call", ["fsync", "replace"])
def test_a_process_that_ends_at_any_call_leaves_the_one_before(
    monkeypatch: pytest.MonkeyPatch, tmp_path: Path, call: str
) -> None:
    """Nothing takes a base's name, or the place of the one before, until it is whole."""
    base(tmp_path)
    real, left = getattr(os, call), 0

    def ends(*args: Any) -> Any:
        nonlocal left
        left -= 1
        if left < 0:
            raise EndedError
        return real(*args)

    monkeypatch.setattr(os, call, ends)
    for allowed in range(8):
        left = allowed
        try:
            base(tmp_path, rev=70)
            ChangeLog(tmp_path, header(rev=70, kind="log")).close()
            files.prune(tmp_path, 1)
            break
        except EndedError:
            found = newest(tmp_path, LABELS)
            assert found.rev in (50, 70) and len(found.records) == 40
    else:
        raise AssertionError("it never got to its end")
    assert newest(tmp_path, LABELS).rev == 70 and len(files.bases(tmp_path)) == 1
    assert list(tmp_path.glob("*.part")) == []


# -- the commands ------------------------------------------------------------------


def settings_of(world: World) -> Any:
    return next(iter(world.controllers.values())).settings


async def restored(
    clock: Clock, directory: Path, monkeypatch: pytest.MonkeyPatch, lines: list[str]
) -> World:
    """A snapshot is taken by hand; everything ends, and the state service has nothing left."""
    world = World(clock, 5, rebuild=True)
    world.state.past = []
    await world.open()
    for number in range(8):
        fields, run_s = JOBS[number % len(JOBS)]
        await world.submit(job(number, **fields), run_s)
    await curio.sleep(6.0)
    its = settings_of(world)

    def store(_: Any) -> StateStore:
        made = StateStore("state", 1, 250.0, 100.0, 2.0, 3)
        made.client = world.client("operator", "state")
        return made

    monkeypatch.setattr(commands, "open_store", store)
    monkeypatch.setattr("builtins.print", lambda *a, **_: lines.append(" ".join(map(str, a))))
    assert await commands.take_snapshot(its, directory) == 0
    with pytest.raises(ControllersRunningError, match="running"):
        await commands.restore_snapshot(its, directory, True)
    for label in world.labels:
        await world.crash(label)
    world.state.lose(1e6)
    assert await commands.restore_snapshot(its, directory, False) == 0 and world.state.keys == {}
    for _ in range(2):  # once more does no harm
        assert await commands.restore_snapshot(its, directory, True) == 0
    for label in world.labels:
        await world.start(label)
    end = clock() + 200.0
    while clock() < end and not world.broken:
        await curio.sleep(2.0)
        if all(
            world.told.get(i) == "done"
            for i in world.accepted
            if world.jobs[i]["shape"] != "daemon"
        ):
            break
    return world


def test_a_snapshot_is_put_back_by_hand(monkeypatch: pytest.MonkeyPatch, tmp_path: Path) -> None:
    lines: list[str] = []
    world = simulate(monkeypatch, lambda clock: restored(clock, tmp_path, monkeypatch, lines))
    assert world.broken == [] and len(world.accepted) == 8
    assert all(
        world.told.get(i) == "done" for i in world.accepted if world.jobs[i]["shape"] != "daemon"
    )
    assert any("nothing written" in line for line in lines)


def head_record(number: int, by: str = "c0") -> dict[str, Any]:
    return {"c/lineage": ({"id": "x", "n": number, "state": "whole", "by": by}, 9)}


@pytest.mark.parametrize(
    "here, refused",
    [
        ({}, None),
        (head_record(1), None),
        (head_record(2, WRITER), None),  # a restore that was begun is run again
        (head_record(2), OutdatedSnapshotError),
        (head_record(3, WRITER), OutdatedSnapshotError),
        ({"c/node/c1": ({}, 9), **head_record(1)}, ControllersRunningError),
    ],
)
def test_a_restore_over_later_records_or_beside_controllers_is_refused(
    here: dict[str, Any], refused: type[RestoreRefusedError] | None
) -> None:
    found = files.Snapshot(header(number=1), dict(RECORDS), 50, [])
    if refused is None:
        check_allowed(found, here)
    else:
        with pytest.raises(refused):
            check_allowed(found, here)


@pytest.mark.parametrize(
    "words, status, says",
    [
        (["verify", "{dir}"], 0, "good"),
        (["show", "{dir}"], 0, "live 40"),
        (["verify", "{dir}/none"], 2, "no such directory"),
        (["show", "{dir}/none"], 2, "no such directory"),
    ],
)
def test_people_are_told(
    tmp_path: Path, capsys: pytest.CaptureFixture[str], words: list[str], status: int, says: str
) -> None:
    base(tmp_path)
    assert main(["snapshot", *(w.format(dir=tmp_path) for w in words)]) == status
    assert says in "".join(capsys.readouterr())


def test_what_is_damaged_is_named_and_the_next_is_shown(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    base(tmp_path)
    worse = base(tmp_path, rev=60)
    worse.write_bytes(worse.read_bytes()[:-3])
    assert main(["snapshot", "verify", str(tmp_path)]) == 1
    assert f"DAMAGED {worse}" in capsys.readouterr().out
    assert main(["snapshot", "show", str(tmp_path)]) == 0
    out = capsys.readouterr().out
    assert str(worse) in out and "revision 50" in out
