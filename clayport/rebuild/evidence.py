"""The evidence: what a controller still knows after the state service has lost records."""

from __future__ import annotations

import zlib
from collections.abc import Mapping
from typing import Any

import msgspec

# Packed evidence is sent in parts, each of which fits in one frame. The second limit bounds the
# memory that unpacking can use.
MAX_PART_BYTES, MAX_EVIDENCE_BYTES = 1024 * 1024, 512 * 1024 * 1024


class Evidence(msgspec.Struct, rename={"epoch": "generation"}):
    """What one controller, or one snapshot, knows of the records.

    A controller gathers its evidence after it has stopped serving. The chunks of the jobs that it
    leads are complete if it had loaded its jobs for its epoch (`loaded`), because a leader
    knows the machine and the attempt of a task before the task is launched.
    """

    label: str
    incarnation: str
    epoch: int = 0
    members: dict[str, str] = {}
    loaded: bool = False
    live: dict[str, tuple[Any, float]] = {}  # description, submission (seconds since 1970)
    # status, end (seconds since 1970; 0: unknown), description (None: unknown)
    ended: dict[str, tuple[str, float, Any]] = {}
    chunks: dict[str, Any] = {}  # key: value, for the jobs that the controller leads
    versions: dict[str, int] = {}
    classes: dict[str, Any] = {}
    machines: dict[str, str] = {}  # name: address
    remembered: Evidence | None = None  # snapshot read at the controller's start


class Task(msgspec.Struct, frozen=True):
    """A task as its machine reports it."""

    job: str
    number: int
    attempt: int
    machine: str


def pack(evidence: Evidence) -> list[bytes]:
    """Encode and compress evidence into parts that each fit in a frame."""
    raw = zlib.compress(msgspec.json.encode(evidence), 1)
    return [raw[start : start + MAX_PART_BYTES] for start in range(0, len(raw), MAX_PART_BYTES)]


def unpack(parts: list[bytes]) -> Evidence:
    """Decode the parts that `pack` returned.

    Raises:
        ValueError: The data is incomplete, malformed or too large.
    """
    try:
        decompressor = zlib.decompressobj()
        raw = decompressor.decompress(b"".join(parts), MAX_EVIDENCE_BYTES)
        if not decompressor.eof:
            raise ValueError("incomplete evidence, or evidence above the size limit")
        return msgspec.json.decode(raw, type=Evidence)
    except (zlib.error, msgspec.MsgspecError) as exc:
        raise ValueError(str(exc)) from None


def drop_known(evidence: Evidence, known: Evidence) -> None:
    """Remove the live jobs and the job ends that `known` contains too.

    Every controller knows nearly all live jobs and job ends, so keeping each copy would multiply
    the memory of a rebuild by the number of controllers.
    """
    evidence.live = {name: row for name, row in evidence.live.items() if name not in known.live}
    evidence.ended = {
        name: row
        for name, row in evidence.ended.items()
        if name not in known.ended or known.ended[name][0] != row[0]
    }


def last_epoch_evidence(
    evidence_by_label: Mapping[str, Evidence],
) -> tuple[dict[str, str], dict[str, Evidence]]:
    """Return the members of the last epoch, and the complete evidence of that epoch by label.

    Evidence is complete if its controller was a member of the last epoch in the same incarnation
    and had loaded its jobs.
    """
    last_epoch = max((item.epoch for item in evidence_by_label.values()), default=0)
    members = next(
        (item.members for item in evidence_by_label.values() if item.epoch == last_epoch), {}
    )
    return members, {
        label: item
        for label, item in evidence_by_label.items()
        if item.epoch == last_epoch and item.loaded and members.get(label) == item.incarnation
    }
