"""Values of the records of jobs and quotas: built, parsed, and cut down to a size."""

from __future__ import annotations

from typing import Any

import msgspec

from clayport.model import Job

# How a job may end, as final records name it.
END_STATUSES = ("done", "cancelled")
# Fields of a description that the rest of a job's tasks can do without.
OPTIONAL_FIELDS = ("prereqs", "flavors")
# Characters that are kept of the name of the image (`bundle`) when a description is cut down.
TRUNCATED_IMAGE_CHARS = 20


def live_value(job: Job, at: float) -> dict[str, Any]:
    """Return the value of a live record.

    Args:
        job: The job's description.
        at: The time of day of its submission, in seconds since the epoch of the clock.
    """
    return {"j": msgspec.to_builtins(job), "t": round(at, 3)}


def end_value(status: str, at: float, desc: Any = None) -> dict[str, Any]:
    """Return the value of a final record.

    Args:
        status: How the job ended: one of `END_STATUSES`.
        at: The time of day of its end, in seconds since the epoch of the clock.
        desc: The stored description, where tasks of the job may still be on machines.
    """
    value: dict[str, Any] = {"s": status, "t": round(at, 3)}
    if desc is not None:
        value["j"] = desc
    return value


def parse_end(value: Any) -> tuple[str, float | None]:
    """Return how a job ended, and when; None where the record is of a version that didn't say.

    Raises:
        ValueError: The record names another status.
    """
    status = value["s"]
    if status not in END_STATUSES:
        raise ValueError(f"status {status!r}")
    return status, float(value["t"]) if "t" in value else None


def truncate_end(value: dict[str, Any], value_kb: float) -> dict[str, Any]:
    """Return the value of a final record, cut down if it exceeds `value_kb` KiB.

    A description that was accepted under a larger limit is reduced to what the rest of its
    tasks need. (A job too large to be cancelled would run on.)
    """
    if len(msgspec.json.encode(value)) <= value_kb * 1024 or "j" not in value:
        return value
    desc = {k: v for k, v in value["j"].items() if k not in OPTIONAL_FIELDS}
    return {**value, "j": {**desc, "bundle": desc["bundle"][:TRUNCATED_IMAGE_CHARS]}}


def parse_quota(value: Any) -> tuple[float, float]:
    """Return the CPUs and GPUs that a team's tasks use; (0, 0) without a record."""
    return (float(value["c"]), float(value["g"])) if value else (0.0, 0.0)
