"""Builds, parses and truncates the values of the records of jobs and quotas."""

from __future__ import annotations

from typing import Any

import msgspec

from clayport.model import Job

# The statuses in final records.
END_STATUSES = ("done", "cancelled")
# Fields of a description that the tasks of an ended job do not need.
OPTIONAL_FIELDS = ("prereqs", "flavors")
# The length to which an image name (`bundle`) is truncated in a final record.
TRUNCATED_IMAGE_CHARS = 20


def live_value(job: Job, at: float) -> dict[str, Any]:
    """Return the value of a live record.

    Args:
        job: The job's description.
        at: When the job was submitted, in Unix time.
    """
    return {"j": msgspec.to_builtins(job), "t": round(at, 3)}


def end_value(status: str, at: float, desc: Any = None) -> dict[str, Any]:
    """Return the value of a final record.

    Args:
        status: How the job ended: one of `END_STATUSES`.
        at: When the job ended, in Unix time.
        desc: The stored description, if tasks of the job may still be on machines.
    """
    value: dict[str, Any] = {"s": status, "t": round(at, 3)}
    if desc is not None:
        value["j"] = desc
    return value


def parse_end(value: Any) -> tuple[str, float | None]:
    """Return the status and the time of a job's end; the time is None in records of old versions.

    Raises:
        ValueError: The record has an unknown status.
    """
    status = value["s"]
    if status not in END_STATUSES:
        raise ValueError(f"unknown status {status!r} in a final record")
    return status, float(value["t"]) if "t" in value else None


def truncate_end(value: dict[str, Any], value_kb: float) -> dict[str, Any]:
    """Return the value of a final record, truncated if it exceeds `value_kb` KiB.

    A description that was accepted under a larger limit is reduced to the fields that the remaining
    tasks need. Otherwise a job with a large description could not be cancelled.
    """
    if len(msgspec.json.encode(value)) <= value_kb * 1024 or "j" not in value:
        return value
    desc = {k: v for k, v in value["j"].items() if k not in OPTIONAL_FIELDS}
    return {**value, "j": {**desc, "bundle": desc["bundle"][:TRUNCATED_IMAGE_CHARS]}}


def parse_quota(value: Any) -> tuple[float, float]:
    """Return the CPUs and GPUs that a team's tasks use, or (0, 0) without a record."""
    return (float(value["c"]), float(value["g"])) if value else (0.0, 0.0)
