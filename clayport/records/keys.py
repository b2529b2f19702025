"""Keys of the records. All durable state is stored under these keys.

| key | record |
| --- | --- |
| `c/generation` | the epoch: its number and members |
| `c/node/<label>` | a controller that is present; expires with its lease |
| `c/version/<label>` | the newest format that a controller has understood |
| `c/class/<class>` | an example job of a class that uses GPUs, kept across restarts |
| `c/lineage` | the history that the records belong to (`rebuild`) |
| `c/live/<job>` | a job that was accepted and has not ended |
| `end/<job>` | how a job ended; never changed |
| `run/<job>/<index>` or `run/<job>/<size>.<index>` | a chunk of the job's tasks |
| `quota/<team>` | the resources that a team's tasks use |
"""

from __future__ import annotations

EPOCH_KEY = "c/generation"
NODE_PREFIX = "c/node/"
LIVE_PREFIX = "c/live/"
CLASS_PREFIX = "c/class/"
# Version records are never deleted, because an upgraded controller is never downgraded. The first
# versions of the software neither read nor write them.
VERSION_PREFIX = "c/version/"
# The key of the record that names the current history.
HISTORY_KEY = "c/lineage"


def is_anchor(key: str) -> bool:
    """Return whether a key is a history's anchor; no other key contains `/~`."""
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
        index: The chunk's index within the job, from 0.
        size: The number of tasks in a chunk; 0 if it is the number that the first versions of
            the software derive from `value_kb`. These versions write and expect the short
            form without a size.
    """
    return f"run/{job}/{size}.{index:05d}" if size else f"run/{job}/{index:05d}"


def parse_chunk_key(key: str) -> tuple[str, int, int]:
    """Split a chunk's key into job, size (0 in the short form) and index.

    Raises:
        ValueError: The key is not a chunk's key.
    """
    _, job, name = key.split("/")
    size, _, index = name.rpartition(".")
    return job, int(size or 0), int(index)


def quota_key(team: str) -> str:
    """Return the key of the record of a team's resource usage."""
    return f"quota/{team}"
