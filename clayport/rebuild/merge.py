"""Merge the evidence of controllers and machines into the records that have to be written.

Pure: no I/O, no clock. The leader of a job is the controller that manages it in the last epoch
(by rendezvous hashing over the members). The rules, each with its reason:

- An end beats a live record: final records never change, and a user has been told.
- A live record that anybody has seen is restored: its user has been answered 201.
- A task is done if any source says so: that source has seen its result.
- The leader's evidence decides on the job's tasks, if the leader is there: no machine is told
  to start anything before the leader knows of it. A task that is free for the leader and
  assigned in the state service stays assigned until its machine has reported: it may be a
  commit whose answer was lost.
- Where the leader is not there, each task that a machine lists is assigned to it, if its record
  names no other machine that lists it: it runs there.
- Attempts are never below the highest that was seen anywhere.
- A quota is the sum of what is assigned after the merge, no less.

Each value written is one that was in the records or in the evidence, and what may run stays
assigned.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from typing import Any, NamedTuple

import msgspec

from clayport.jobs.eligibility import is_metered, quota_usage
from clayport.model import Job
from clayport.rebuild.chunk_merge import Records, change_chunks, chunk_sources, merge_chunks
from clayport.rebuild.evidence import Evidence, Task
from clayport.rebuild.history import is_anchor
from clayport.records.keys import end_key, live_key, quota_key
from clayport.records.values import end_value, parse_quota

Limits = Mapping[str, tuple[float, float]]  # team: most CPUs, most GPUs (0: no limit)

# Quota records hold sums of floats; what differs by less is the same.
QUOTA_TOLERANCE = 1e-6


class Merged(NamedTuple):
    """The outcome of a merge.

    Attributes:
        changes: The new value of each key that has to change; None: to be removed.
        jobs: Live jobs after the merge.
        restored: Live jobs whose record the state service had lost.
        ended: Final records that the state service had lost.
        unknown: Jobs that machines list and that have no record anywhere.
    """

    changes: dict[str, Any]
    jobs: int
    restored: int
    ended: int
    unknown: set[str]


class LiveJob(NamedTuple):
    """A job that has not ended: its description and its submission (seconds since 1970)."""

    description: Any
    submitted_at: float


class JobEnd(NamedTuple):
    """How a job ended, and when (seconds since 1970; 0: not known).

    `description` is None where nobody knows it.
    """

    status: str
    ended_at: float
    description: Any


def merge(
    records: Records,
    parts: Mapping[str, Evidence],
    listed: Iterable[Task],
    limits: Limits,
    first_size: int,
) -> Merged:
    """Work out what has to change of the records (anchors aside).

    Args:
        records: What the state service still has.
        parts: The evidence of each controller, and of snapshots, by label.
        listed: The tasks that machines have listed.
        limits: The quotas of the teams.
        first_size: Tasks in a chunk whose key says no size.

    Returns:
        The changes; applied, a second merge of the same finds nothing to change.
    """
    evidence = sorted(parts.values(), key=lambda part: (-part.epoch, part.label))
    ended = _final_records(records, evidence)
    live = _live_records(records, evidence, ended)
    descriptions = _descriptions(live, ended)
    sources = chunk_sources(records, parts, evidence, listed, first_size)
    changes: dict[str, Any] = {}
    used: dict[str, list[float]] = {}
    # Chunks of jobs without any other record stay as they are: nobody knows what they were.
    for name in sorted({*live, *ended}):
        merged = merge_chunks(name, sources, first_size, name in ended)
        change_chunks(changes, records, name, merged, name in ended)
        assigned = sum(len(chunk.assigned) for chunk in merged.chunks.values())
        if assigned and name in descriptions:
            _add_usage(used, descriptions[name], assigned, limits)
        if name in ended:
            _change_final(changes, records, name, ended[name], assigned > 0)
        elif live_key(name) not in records:
            job = live[name]
            changes[live_key(name)] = {"j": job.description, "t": round(job.submitted_at, 3)}
    _change_quotas(changes, records, used, limits)
    _change_versions_and_classes(changes, records, evidence)
    return Merged(
        changes,
        jobs=len(live),
        restored=sum(live_key(name) not in records for name in live),
        ended=sum(end_key(name) not in records for name in ended),
        unknown={job for job in sources.listed if job not in live and job not in ended},
    )


# -- jobs ------------------------------------------------------------------------------


def _final_records(records: Records, evidence: Iterable[Evidence]) -> dict[str, JobEnd]:
    """How jobs ended. What a controller knows has been told to a user, or will have been."""
    found: dict[str, JobEnd] = {}
    for part in evidence:
        for name, (status, ended_at, description) in part.ended.items():
            known = found.get(name)
            if known is None:
                found[name] = JobEnd(status, ended_at, description)
            elif known.status == status:
                found[name] = JobEnd(
                    status,
                    known.ended_at or ended_at,
                    description if known.description is None else known.description,
                )
    for key, (value, _) in records.items():
        if key.startswith("end/") and not is_anchor(key):
            name = key[len("end/") :]
            known = found.get(name)
            if known is None or known.status == value["s"]:
                description = value.get("j", known.description if known else None)
                found[name] = JobEnd(value["s"], float(value.get("t", 0.0)), description)
    for part in evidence:
        for name, (description, _) in part.live.items():
            if name in found and found[name].description is None:
                found[name] = found[name]._replace(description=description)
    return found


def _live_records(
    records: Records, evidence: Iterable[Evidence], ended: Mapping[str, JobEnd]
) -> dict[str, LiveJob]:
    """The jobs that were accepted and are not known to have ended."""
    found: dict[str, LiveJob] = {}
    for key, (value, _) in records.items():
        if key.startswith("c/live/") and key[len("c/live/") :] not in ended:
            found[key[len("c/live/") :]] = LiveJob(value["j"], float(value.get("t", 0.0)))
    for part in evidence:
        for name, (description, submitted_at) in part.live.items():
            if name not in ended:
                known = found.get(name)
                # The first to have seen it: urgency and age count from the submission.
                if known is None or (
                    live_key(name) not in records and submitted_at < known.submitted_at
                ):
                    found[name] = LiveJob(description, submitted_at)
    return found


def _descriptions(live: Mapping[str, LiveJob], ended: Mapping[str, JobEnd]) -> dict[str, Job]:
    """The jobs whose description is known."""
    found: dict[str, Job] = {}
    for name in (*live, *ended):
        raw = live[name].description if name in live else ended[name].description
        if raw is not None:
            found[name] = msgspec.convert(raw, Job)
    return found


def _change_final(
    changes: dict[str, Any], records: Records, name: str, end: JobEnd, keep_description: bool
) -> None:
    """Restore a final record; with its description while tasks of it may still run."""
    if live_key(name) in records:
        changes[live_key(name)] = None
    stored = records.get(end_key(name))
    if (
        stored is None
        or stored[0]["s"] != end.status
        or (keep_description and "j" not in stored[0])
    ):
        value = end_value(end.status, end.ended_at, end.description if keep_description else None)
        if not end.ended_at:
            del value["t"]
        changes[end_key(name)] = value


# -- quotas, versions, classes ---------------------------------------------------------


def _add_usage(used: dict[str, list[float]], job: Job, tasks: int, limits: Limits) -> None:
    """Charge a job's assigned tasks to its team, if its quota counts them."""
    cpus, gpus = quota_usage(job, tasks)
    if is_metered(limits.get(job.team, (0.0, 0.0)), cpus, gpus):
        row = used.setdefault(job.team, [0.0, 0.0])
        row[0] += cpus
        row[1] += gpus


def _change_quotas(
    changes: dict[str, Any], records: Records, used: Mapping[str, list[float]], limits: Limits
) -> None:
    """Set the quota records to what is assigned."""
    for team, (cpus_max, gpus_max) in limits.items():
        if cpus_max <= 0 and gpus_max <= 0:
            continue
        cpus, gpus = used.get(team, [0.0, 0.0])
        stored = records.get(quota_key(team))
        known = parse_quota(stored[0] if stored else None)
        if abs(known[0] - cpus) > QUOTA_TOLERANCE or abs(known[1] - gpus) > QUOTA_TOLERANCE:
            changes[quota_key(team)] = {"c": round(cpus, 6), "g": round(gpus, 6)}


def _change_versions_and_classes(
    changes: dict[str, Any], records: Records, evidence: Iterable[Evidence]
) -> None:
    """Restore the controllers' formats and the examples of job classes that are missing."""
    for part in evidence:
        for label, number in part.versions.items():
            key = f"c/version/{label}"
            if number and key not in records:
                changes[key] = {"format": max(number, changes.get(key, {}).get("format", 0))}
        for job_class, description in part.classes.items():
            key = f"c/class/{job_class}"
            if key not in records:
                changes.setdefault(key, {"j": description})
