"""Tests that data stored and sent by earlier versions can be read and is written unchanged.

`data/` holds data that an earlier version wrote during a simulated day with a rebuild, a cancelled
pipeline and announced lower limits. Data that no simulated day produces was written by hand:

- `records.json`: all records at one moment, with their revisions;
- `records_without_times.json`: live and final records in the form of the first versions;
- `end_cut_down.json`: a final record, whole and truncated to a value limit of 0.3 KiB;
- `lineages.json`: head records of histories that are being rebuilt, whole, and restored by hand;
- `snapshot/`, `snapshot_header.json`, `snapshot_changes.json`: a snapshot base of `records.json`
  with a log, the base's header, and the blocks of changes appended to the log;
- `evidence.bin`, `evidence.json`: a controller's evidence, packed and as JSON;
- `frames.txt`: one frame of each kind between controllers, with its kind and its bytes in hex.

The data must never be changed to match the code, because running controllers and snapshots on disk
have the same forms.
"""

from __future__ import annotations

import json
import zlib
from pathlib import Path
from typing import Any

import curio
import msgspec
import pytest

from clayport.membership.epoch import Epoch
from clayport.model import Job, JobDescription
from clayport.rebuild import evidence, files, history
from clayport.rebuild.merge import merge
from clayport.rebuild.recorder import snapshot_evidence
from clayport.records import keys
from clayport.records import values as record_values
from clayport.records.chunk import Chunk
from clayport.transport import frames
from tests.world import Clock, World, simulate

DATA = Path(__file__).parents[1] / "data"


def load(name: str) -> Any:
    return json.loads((DATA / name).read_text())


RECORDS: dict[str, tuple[Any, int]] = {k: (v, rev) for k, (v, rev) in load("records.json").items()}
HISTORY_HEAD = RECORDS["c/lineage"][0]
WITHOUT_TIMES: dict[str, Any] = load("records_without_times.json")
FRAMES = {
    int(kind): bytes.fromhex(raw)
    for kind, raw in map(str.split, (DATA / "frames.txt").read_text().splitlines())
}


def values(prefix: str) -> dict[str, Any]:
    """Return the values of the records under a prefix, without its anchor, by the key's suffix."""
    found = {
        key[len(prefix) :]: value
        for key, (value, _) in RECORDS.items()
        if key.startswith(prefix) and "/~" not in key
    }
    assert found
    return found


def assert_same_json(written: Any, stored: Any) -> None:
    """Assert that both encode to the same JSON text, including number types and field order."""
    assert msgspec.json.encode(written) == msgspec.json.encode(stored)


# -- records -----------------------------------------------------------------------


def test_data_contain_records_of_all_kinds() -> None:
    kinds = {key.rpartition("/")[0].removesuffix("/").split("/j-")[0] for key in RECORDS}
    assert kinds == {"c", "c/node", "c/version", "c/class", "c/live", "run", "end", "quota"}
    assert {"c/generation", "c/lineage"} <= set(RECORDS)
    assert {tuple(sorted(end)) for end in values("end/").values()} == {("s", "t"), ("j", "s", "t")}
    assert {"." in key for key in values("run/")} == {False, True}
    assert any(chunk["a"] for chunk in values("run/").values())
    assert any(chunk["d"] for chunk in values("run/").values())


def test_epoch_round_trip() -> None:
    value, rev = RECORDS[keys.EPOCH_KEY]
    epoch = Epoch.parse(value, rev)
    assert epoch.number == value["number"] and epoch.rev == rev
    assert epoch.members == value["members"]
    assert_same_json(epoch.value(), value)


def test_live_record_round_trip() -> None:
    for name, value in values("c/live/").items():
        job = msgspec.convert(value["j"], Job)
        assert job.id == name and keys.live_key(job.id) == f"c/live/{name}"
        assert_same_json(record_values.live_value(job, value["t"]), value)


def test_description_fields_are_mapped_to_attributes() -> None:
    job = msgspec.convert(values("c/live/")["j-000024"]["j"], JobDescription)
    assert (job.job_class, job.team, job.kind, job.priority) == ("train", "tight", "sweep", "high")
    assert (job.tasks, job.cpus, job.gpus, job.memory_gb) == (2, 4.0, 2.0, 4.0)
    assert (job.image, job.image_gb, job.types, job.zone) == ("img-1", 1.0, ["accel"], None)
    assert (job.one_zone, job.spread, job.spot) == (False, False, True)
    assert (job.estimate_s, job.checkpoint_s, job.save_s) == (8.0, 20.0, 4.0)
    later = msgspec.convert(values("c/live/")["j-000021"]["j"], JobDescription)
    assert (later.deadline_s, later.prereqs) == (300.0, ["j-000000"])


def test_class_record_round_trip() -> None:
    for name, value in values("c/class/").items():
        job = msgspec.convert(value["j"], Job)
        assert job.job_class == name
        assert_same_json({"j": msgspec.to_builtins(job)}, value)


def test_chunk_round_trip() -> None:
    for rest, value in values("run/").items():
        key = f"run/{rest}"
        job, size, index = keys.parse_chunk_key(key)
        assert keys.chunk_key(job, index, size) == key
        chunk = Chunk.parse(value, 7)
        assert chunk.rev == 7 and chunk.last_attempt == value["n"]
        assert chunk.assigned == {n: (attempt, machine) for n, attempt, machine in value["a"]}
        assert chunk.done == {n for first, last in value["d"] for n in range(first, last + 1)}
        assert_same_json(chunk.value(), value)


def test_final_record_round_trip() -> None:
    for name, value in values("end/").items():
        assert keys.end_key(name) == f"end/{name}"
        status, at = record_values.parse_end(value)
        assert (status, at) == (value["s"], value["t"]) and at is not None
        assert_same_json(record_values.end_value(status, at, value.get("j")), value)


def test_final_record_truncation_is_unchanged() -> None:
    ends = load("end_cut_down.json")
    assert record_values.truncate_end(ends["whole"], 0.3) == ends["cut_down"] != ends["whole"]
    assert record_values.parse_end(ends["cut_down"]) == ("cancelled", ends["whole"]["t"])


def test_quota_record_round_trip() -> None:
    for team, value in values("quota/").items():
        assert keys.quota_key(team) == f"quota/{team}"
        assert record_values.parse_quota(value) == (value["c"], value["g"])
    others = {k: v for k, v in RECORDS.items() if k.startswith(("c/live/", "end/", "run/"))}
    limits = {team: (1000.0, 1000.0) for team in values("quota/")}
    recovered = snapshot_evidence(files.Snapshot(header(), dict(RECORDS), 1, []), "c0")
    written = merge(others, {"c0": recovered}, (), limits, 1000).changes
    for team, value in values("quota/").items():
        assert_same_json(written[keys.quota_key(team)], value)


def test_anchors_are_written_unchanged() -> None:
    anchors = {key: value for key, (value, _) in RECORDS.items() if history.is_anchor(key)}
    name = HISTORY_HEAD["id"]
    assert set(anchors) == {history.anchor_key(prefix, name) for prefix in history.PREFIXES}
    for value in anchors.values():
        assert_same_json(history.anchor_value(name), value)


def test_records_are_restored_unchanged() -> None:
    """The records are read as evidence and merged into an empty store.

    Assignments are not compared, because a rebuild takes them from the machines.
    """
    recovered = snapshot_evidence(files.Snapshot(header(), dict(RECORDS), 1, []), "c0")
    assert recovered.epoch == RECORDS[keys.EPOCH_KEY][0]["number"]
    assert recovered.members == RECORDS[keys.EPOCH_KEY][0]["members"]
    assert recovered.chunks == {f"run/{rest}": value for rest, value in values("run/").items()}
    written = merge({}, {"c0": recovered}, (), {}, 1000).changes
    for prefix in ("c/live/", "c/version/", "c/class/"):
        for rest, value in values(prefix).items():
            assert_same_json(written[prefix + rest], value)
    for name, value in values("end/").items():
        assert recovered.ended[name] == (value["s"], value["t"], value.get("j"))
        assert_same_json(written[f"end/{name}"], {"s": value["s"], "t": value["t"]})


def test_records_of_first_versions_are_read() -> None:
    live, end = sorted(WITHOUT_TIMES)
    assert "t" not in WITHOUT_TIMES[live] and "t" not in WITHOUT_TIMES[end]
    assert record_values.parse_end(WITHOUT_TIMES[end]) == ("done", None)
    found = files.Snapshot(header(), {key: (v, 1) for key, v in WITHOUT_TIMES.items()}, 1, [])
    recovered = snapshot_evidence(found, "c0")
    assert recovered.live == {live.removeprefix("c/live/"): (WITHOUT_TIMES[live]["j"], 0.0)}
    written = merge({}, {"c0": recovered}, (), {}, 1000).changes
    assert_same_json(written[end], WITHOUT_TIMES[end])


# -- controllers that start with stored records ------------------------------------


# Controllers serve only after all machines have answered or have been given up.
SERVING_TIMEOUT_S = 120.0


async def start_with_records(
    clock: Clock, records: dict[str, tuple[Any, int]], label: str = ""
) -> World:
    """Start controllers, or only the one named `label`, with records that are already stored."""
    world = World(clock, 3, rebuild=True)
    world.state.keys = {key: (value, rev, None) for key, (value, rev) in records.items()}
    world.state.rev = max(rev for _, rev in records.values())
    for each in [label] if label else world.labels:
        await world.start(each)
    end = clock() + SERVING_TIMEOUT_S
    while clock() < end and not all(
        c.membership.serving and c.membership.present for c in world.controllers.values()
    ):
        await curio.sleep(0.5)
    return world


def test_controllers_load_stored_records(monkeypatch: pytest.MonkeyPatch) -> None:
    world = simulate(monkeypatch, lambda clock: start_with_records(clock, RECORDS))
    stored = {key: value for key, (value, _, _) in world.state.keys.items()}
    for key, (value, rev) in RECORDS.items():
        if key.startswith(("c/version/", "c/class/", "c/live/", "end/")) and "/~" not in key:
            assert world.state.keys[key] == (value, rev, None)
    assert stored["c/generation"]["number"] > RECORDS["c/generation"][0]["number"]
    assert set(stored["c/generation"]) == set(RECORDS["c/generation"][0])
    assert stored["c/lineage"]["n"] == HISTORY_HEAD["n"] + 1
    assert set(stored["c/lineage"]) == set(HISTORY_HEAD) and stored["c/lineage"]["state"] == "whole"
    assert len([key for key in stored if history.is_anchor(key)]) == len(history.PREFIXES)
    for label, controller in world.controllers.items():
        assert stored[f"c/node/{label}"] == {"inc": controller.membership.incarnation}
        assert set(controller.jobs.live) == set(values("c/live/"))
        assert set(controller.jobs.classes) == set(values("c/class/"))
        for other, value in values("c/version/").items():
            assert controller.upgrade.formats[other][0] == value["format"]
    managed_jobs = {
        n: managed for c in world.controllers.values() for n, managed in c.jobs.managed.items()
    }
    for rest, value in values("run/").items():
        name, size, index = keys.parse_chunk_key(f"run/{rest}")
        if name in managed_jobs:
            assert managed_jobs[name].layout == size
            chunk = managed_jobs[name].chunks[index]
            assert chunk.done >= Chunk.parse(value, 1).done and chunk.last_attempt >= value["n"]
    assert set(managed_jobs) >= set(values("c/live/"))


def test_versions_and_classes_are_written_unchanged(monkeypatch: pytest.MonkeyPatch) -> None:
    left = {k: row for k, row in RECORDS.items() if not k.startswith(("c/version/", "c/class/"))}
    world = simulate(monkeypatch, lambda clock: start_with_records(clock, left))
    stored = {key: value for key, (value, _, _) in world.state.keys.items()}
    for label, value in values("c/version/").items():
        assert_same_json(stored[f"c/version/{label}"], value)
    described = [value["j"] for value in values("c/live/").values()]
    for name, value in values("c/class/").items():
        assert set(stored[f"c/class/{name}"]) == set(value) == {"j"}
        assert stored[f"c/class/{name}"]["j"]["jobclass"] == name
        assert stored[f"c/class/{name}"]["j"] in described


def test_single_controller_reads_present_controllers(monkeypatch: pytest.MonkeyPatch) -> None:
    world = simulate(monkeypatch, lambda clock: start_with_records(clock, RECORDS, "c0"))
    controller = world.controllers["c0"]
    for label in ("c1", "c2"):
        assert controller.membership.present[label] == values("c/node/")[label]["inc"]


@pytest.mark.parametrize("head_record", load("lineages.json"), ids=lambda value: value["state"])
def test_history_head_is_read(monkeypatch: pytest.MonkeyPatch, head_record: Any) -> None:
    """Controllers that start without a running peer rebuild under the next history number."""
    rev = RECORDS["c/lineage"][1]
    records = {key: row for key, row in RECORDS.items() if not key.startswith("c/~")}
    records["c/lineage"] = (head_record, rev)
    records[f"c/~{head_record['id']}"] = (history.anchor_value(head_record["id"]), rev)
    world = simulate(monkeypatch, lambda clock: start_with_records(clock, records))
    head = world.state.keys["c/lineage"][0]
    assert list(head) == ["id", "n", "state", "by"] == list(head_record)
    assert head["n"] == head_record["n"] + 1 and head["state"] == "whole"
    assert head["by"] in world.labels and head["id"] != head_record["id"]


# -- frames ------------------------------------------------------------------------


def test_data_contain_frames_of_all_kinds() -> None:
    assert set(FRAMES) == set(frames.SCHEMAS)


@pytest.mark.parametrize("kind", FRAMES)
def test_frame_round_trip(kind: int) -> None:
    raw = FRAMES[kind]
    head, body = raw[: frames.HEADER.size], raw[frames.HEADER.size :]
    found, number, size = frames.decode_header(head)
    assert (found, size) == (kind, len(body))
    fields = frames.decode_body(kind, body)
    assert len(fields) == len(frames.SCHEMAS[kind])
    assert frames.encode(kind, number, fields) == raw


def test_frames_decode_to_sent_fields() -> None:
    sent = {
        frames.PING: (
            "c0",
            2,
            True,
            41,
            [("j-000005", 3, 1.25, "north"), ("j-000022", 4, 0.5, "")],
        ),
        frames.FENCE: (4, "i-000010", "i-000010:9000"),
        frames.INSPECT: ("i-000010", "i-000010:9000"),
        frames.MOVE: (4, "j-000001", 1, "i-000003", True),
        frames.EVACUATE: (4, "i-000010", True),
        frames.PREEMPT: (2, "i-000008", "j-000005", 3, 4.5, [("tight",), ("free",)]),
        frames.JOB_ENDED: ("j-000022", "cancelled"),
    }
    for kind, fields in sent.items():
        assert frames.decode_body(kind, FRAMES[kind][frames.HEADER.size :]) == fields


# -- snapshots and evidence --------------------------------------------------------


def header(kind: str = "base") -> files.Header:
    return msgspec.convert({**load("snapshot_header.json"), "kind": kind}, files.Header)


def changes() -> list[list[files.Row]]:
    return [[files.Row(*row) for row in block] for block in load("snapshot_changes.json")]


def test_snapshot_base_round_trip(tmp_path: Path) -> None:
    path = DATA / "snapshot" / files.file_name(header())
    assert files.read_base(path) == (header(), RECORDS)
    written = files.write_base(tmp_path, header(), files.rows_of(RECORDS))
    assert written.name == path.name and written.read_bytes() == path.read_bytes()


def test_snapshot_log_is_read() -> None:
    expected = dict(RECORDS)
    for row in (row for block in changes() for row in block):
        if row.value is None:
            del expected[row.key]
        else:
            expected[row.key] = (row.value, row.rev)
    found = files.newest(DATA / "snapshot", header().labels)
    assert found.refused == [] and found.header == header()
    assert found.records == expected != RECORDS
    assert found.rev == max(row.rev for block in changes() for row in block)


def test_snapshot_log_is_written_unchanged(tmp_path: Path) -> None:
    log = files.ChangeLog(tmp_path, header("log"))
    for block in changes():
        log.append(block)
    log.close()
    stored = DATA / "snapshot" / log.path.name
    assert log.path.read_bytes() == stored.read_bytes()


def test_evidence_round_trip() -> None:
    """The test compares unpacked data, because zlib versions compress differently."""
    raw = (DATA / "evidence.bin").read_bytes()
    found = evidence.unpack([raw])
    assert json.loads(msgspec.json.encode(found)) == load("evidence.json")
    assert found.remembered is not None and found.chunks and found.machines and found.ended
    assert zlib.decompress(b"".join(evidence.pack(found))) == zlib.decompress(raw)
