"""What a controller still knows when the state service has lost records."""

from __future__ import annotations

import zlib
from collections.abc import Mapping
from typing import Any

import msgspec

# A frame's share of it, and the most that a whole may unpack to.
PART, WHOLE_MOST = 1024 * 1024, 512 * 1024 * 1024


class Evidence(msgspec.Struct, rename={"epoch": "generation"}):
    """One controller's word, from when it had come to stand still.

    Its leaders' chunks are complete if it had taken over its share of its epoch
    (`loaded`): a machine and attempt are known to the leader before anything is launched.
    """

    label: str
    incarnation: str
    epoch: int = 0
    members: dict[str, str] = {}
    loaded: bool = False
    live: dict[str, tuple[Any, float]] = {}  # description, time of day of the submission
    # status, time of day (0: not known), description (None: not known)
    ended: dict[str, tuple[str, float, Any]] = {}
    chunks: dict[str, Any] = {}  # key: value, of the jobs led there
    versions: dict[str, int] = {}
    classes: dict[str, Any] = {}
    machines: dict[str, str] = {}  # name: address
    remembered: Evidence | None = None  # what its disk held when it began


class Task(msgspec.Struct, frozen=True):
    """A task as its machine has listed it."""

    job: str
    number: int
    attempt: int
    machine: str


def pack(found: Evidence) -> list[bytes]:
    """In parts, each of which fits a frame."""
    raw = zlib.compress(msgspec.json.encode(found), 1)
    return [raw[at : at + PART] for at in range(0, len(raw), PART)]


def unpack(parts: list[bytes]) -> Evidence:
    """ValueError if it can't be read."""
    try:
        unzip = zlib.decompressobj()
        raw = unzip.decompress(b"".join(parts), WHOLE_MOST)
        if not unzip.eof:
            raise ValueError("cut off, or larger than anything of ours")
        return msgspec.json.decode(raw, type=Evidence)
    except (zlib.error, msgspec.MsgspecError) as exc:
        raise ValueError(str(exc)) from None


def only_news(found: Evidence, seen: Evidence) -> None:
    """Leave out which jobs were accepted, and how they ended, where another has said the
    same: every controller knows nearly all of it, and they need not be held five times."""
    found.live = {n: row for n, row in found.live.items() if n not in seen.live}
    found.ended = {
        n: row
        for n, row in found.ended.items()
        if n not in seen.ended or seen.ended[n][0] != row[0]
    }


def split(parts: Mapping[str, Evidence]) -> tuple[dict[str, str], dict[str, Evidence]]:
    """The members of the last epoch that anybody began, and the evidence of those of
    them that hold the whole of their share."""
    number = max((e.epoch for e in parts.values()), default=0)
    members = next((e.members for e in parts.values() if e.epoch == number), {})
    return members, {
        label: e
        for label, e in parts.items()
        if e.epoch == number and e.loaded and members.get(label) == e.incarnation
    }
