"""Keys of the records. Everything that must last is stored under one of them.

| key | record |
| --- | --- |
| `c/generation` | the epoch: number and members |
| `c/node/<label>` | a controller that is present, under its lease |
| `c/version/<label>` | the newest format that a controller has understood |
| `c/class/<class>` | one job of a class that needs GPUs, remembered over restarts |
| `c/lineage` | the history that the records belong to (`rebuild`) |
| `c/live/<job>` | a job that was accepted and has not ended |
| `end/<job>` | how a job ended; never changed |
| `run/<job>/<index>` or `run/<job>/<size>.<index>` | a chunk of its tasks: assigned, done |
| `quota/<team>` | what a team's tasks use |
"""

from __future__ import annotations

EPOCH_KEY = "c/generation"
NODE_PREFIX = "c/node/"
LIVE_PREFIX = "c/live/"
CLASS_PREFIX = "c/class/"
# Kept for good, since a controller that has been upgraded never comes back old. The first
# versions ignore the keys and write none.
VERSION_PREFIX = "c/version/"
# Names the history of the records that holds.
HEAD_KEY = "c/lineage"


def is_anchor(key: str) -> bool:
    """Return whether a key is an anchor of a history; no other key has such a part."""
    return "/~" in key


def live_key(job: str) -> str:
    """Return the key of a job's live record."""
    return f"{LIVE_PREFIX}{job}"


def end_key(job: str) -> str:
    """Return the key of a job's final record."""
    return f"end/{job}"


def chunk_key(job: str, index: int, size: int = 0) -> str:
    """Return the key of a chunk.

    Args:
        job: The job's identifier.
        index: The chunk's number within the job, from 0.
        size: Tasks in a chunk, where that is not the number that the first versions derive
            from `value_kb` (they write and expect the short form); 0 otherwise.
    """
    return f"run/{job}/{size}.{index:05d}" if size else f"run/{job}/{index:05d}"


def parse_chunk_key(key: str) -> tuple[str, int, int]:
    """Split a chunk's key into job, size (0 in the short form) and index.

    Raises:
        ValueError: It is no key of a chunk.
    """
    _, job, name = key.split("/")
    size, _, index = name.rpartition(".")
    return job, int(size or 0), int(index)


def quota_key(team: str) -> str:
    """Return the key of what a team's tasks use."""
    return f"quota/{team}"
