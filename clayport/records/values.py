"""Values of the records of jobs and quotas: built, parsed, and cut down to a size."""

from __future__ import annotations

from typing import Any

import msgspec

from clayport.model import Job


def live_value(job: Job, at: float) -> dict[str, Any]:
    """A live record: the description, and the time of day of its submission."""
    return {"j": msgspec.to_builtins(job), "t": round(at, 3)}


def end_value(status: str, at: float, desc: Any = None) -> dict[str, Any]:
    """A final record: how the job ended and when, and its description where tasks of it
    may still be on machines."""
    value: dict[str, Any] = {"s": status, "t": round(at, 3)}
    if desc is not None:
        value["j"] = desc
    return value


def parse_end(value: Any) -> tuple[str, float | None]:
    """How a job ended, and when (the first versions did not say)."""
    status = value["s"]
    if status not in ("done", "cancelled"):
        raise ValueError(f"status {status!r}")
    return status, float(value["t"]) if "t" in value else None


def truncate_end(value: dict[str, Any], value_kb: float) -> dict[str, Any]:
    """A final record that fits: a description accepted under a larger limit is cut down
    to what the rest of its tasks need. (A job too large to be cancelled would run on.)"""
    if len(msgspec.json.encode(value)) <= value_kb * 1024 or "j" not in value:
        return value
    desc = {k: v for k, v in value["j"].items() if k not in ("prereqs", "flavors")}
    return {**value, "j": {**desc, "bundle": desc["bundle"][:20]}}


def parse_quota(value: Any) -> tuple[float, float]:
    """The CPUs and GPUs that a team's tasks use, as its record says; none without a record."""
    return (float(value["c"]), float(value["g"])) if value else (0.0, 0.0)
