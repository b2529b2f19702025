"""Merges the evidence of controllers and machines into the records that have to be written.

The module does no I/O and reads no clock. The leader of a job is the controller that leads it in
the last epoch, by rendezvous hashing over the members. The rules and their reasons:

- A job with a known end gets a final record and no live record, because final records never
  change and a user may have been told of the end.
- A live record that any source has seen is restored, because the user has been answered 201.
- A task is done if any source says so, because that source has seen the task's result.
- If the leader has given evidence, the leader's evidence decides on the job's tasks, because the
  leader knows of an assignment before any machine is told to start the task. A task that is
  unassigned in the leader's evidence but assigned in the state service stays assigned until its
  machine has reported, because the leader may not have received the answer to that commit.
- If the leader has given no evidence, each task that a machine reports is assigned to that
  machine, because the task runs there. A recorded assignment that its machine reports stays.
- The last attempt number of a chunk is never below an attempt that a merged source has seen, so
  that no attempt number is reused.
- A quota record is the sum of the resources that are assigned after the merge.

Each written assignment, end and description comes from the records or the evidence, and every
task that may be running stays assigned.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator, Mapping
from typing import Any, NamedTuple

import msgspec

from clayport.jobs.eligibility import is_metered, quota_usage
from clayport.model import Job
from clayport.rebuild.chunk_merge import Records, change_chunks, chunk_sources, merge_chunks
from clayport.rebuild.evidence import Evidence, Task
from clayport.rebuild.history import is_anchor
from clayport.records.keys import LIVE_PREFIX, end_key, live_key, quota_key
from clayport.records.values import end_value, parse_quota

QuotaLimits = Mapping[str, tuple[float, float]]  # team: maximum CPUs, maximum GPUs (0: no limit)

# Quota records are sums of floats, so a smaller difference is a rounding error.
QUOTA_TOLERANCE = 1e-6


class Merged(NamedTuple):
    """The result of a merge.

    Attributes:
        changes: The new value of each key that has to change; None removes the key.
        jobs: The number of live jobs after the merge.
        restored: The number of live jobs whose record the state service had lost.
        ended: The number of final records that the state service had lost.
        unknown: Jobs that machines report and that appear in no record and no evidence.
    """

    changes: dict[str, Any]
    jobs: int
    restored: int
    ended: int
    unknown: set[str]


class LiveJob(NamedTuple):
    """A job that has not ended: its description and submission time (seconds since 1970)."""

    description: Any
    submitted_at: float


class JobEnd(NamedTuple):
    """The end of a job: status, time (seconds since 1970; 0: unknown) and description.

    The description is None if no source has it.
    """

    status: str
    ended_at: float
    description: Any


def merge(
    records: Records,
    evidence_by_label: Mapping[str, Evidence],
    listed: Iterable[Task],
    limits: QuotaLimits,
    default_size: int,
) -> Merged:
    """Compute the changes of the records; anchors are not included.

    Args:
        records: The records that the state service still has.
        evidence_by_label: The evidence of each controller and each snapshot, by label.
        listed: The tasks that machines report.
        limits: The quotas of the teams.
        default_size: Tasks in a chunk whose key names no size.

    Returns:
        The changes. A second merge of the same evidence after the changes are applied finds
        nothing to change.
    """
    evidence = sorted(evidence_by_label.values(), key=lambda item: (-item.epoch, item.label))
    ended = _final_records(records, evidence)
    live = _live_records(records, evidence, ended)
    descriptions = _descriptions(live, ended)
    sources = chunk_sources(records, evidence_by_label, evidence, listed, default_size)
    changes: dict[str, Any] = {}
    used: dict[str, list[float]] = {}
    # The chunks of a job with neither a live nor a final record are left alone, because the job's
    # description is unknown.
    for name in sorted({*live, *ended}):
        merged = merge_chunks(name, sources, default_size, name in ended)
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
    """Return how jobs ended, by job.

    The evidence takes precedence over the records where the status differs, because a controller
    may have told a user of the end that it knows.
    """
    found: dict[str, JobEnd] = {}
    for item in evidence:
        for name, (status, ended_at, description) in item.ended.items():
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
    # The state service may have lost the end of a job, and still have its live record and chunks.
    live = [(name, value["j"]) for name, value in _stored_live_records(records)]
    live += [(name, job) for item in evidence for name, (job, _) in item.live.items()]
    for name, description in live:
        if name in found and found[name].description is None:
            found[name] = found[name]._replace(description=description)
    return found


def _stored_live_records(records: Records) -> Iterator[tuple[str, Any]]:
    """Yield the name of each job with a live record, and the record's value."""
    for key, (value, _) in records.items():
        if key.startswith(LIVE_PREFIX):
            yield key.removeprefix(LIVE_PREFIX), value


def _live_records(
    records: Records, evidence: Iterable[Evidence], ended: Mapping[str, JobEnd]
) -> dict[str, LiveJob]:
    """Return the jobs that were accepted and are not known to have ended."""
    found: dict[str, LiveJob] = {}
    for name, value in _stored_live_records(records):
        if name not in ended:
            found[name] = LiveJob(value["j"], float(value.get("t", 0.0)))
    for item in evidence:
        for name, (description, submitted_at) in item.live.items():
            if name not in ended:
                known = found.get(name)
                # The earliest submission time of all sources is used, because the urgency and the
                # age of a job count from its submission.
                if known is None or (
                    live_key(name) not in records and submitted_at < known.submitted_at
                ):
                    found[name] = LiveJob(description, submitted_at)
    return found


def _descriptions(live: Mapping[str, LiveJob], ended: Mapping[str, JobEnd]) -> dict[str, Job]:
    """Return the jobs whose description is known."""
    found: dict[str, Job] = {}
    for name in (*live, *ended):
        raw = live[name].description if name in live else ended[name].description
        if raw is not None:
            found[name] = msgspec.convert(raw, Job)
    return found


def _change_final(
    changes: dict[str, Any], records: Records, name: str, end: JobEnd, keep_description: bool
) -> None:
    """Add the final record of a job to `changes` if needed, and remove the live record.

    The final record keeps the description while tasks of the job may still run.
    """
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


def _add_usage(used: dict[str, list[float]], job: Job, tasks: int, limits: QuotaLimits) -> None:
    """Add a job's assigned tasks to its team's usage, if the team's quota limits them."""
    cpus, gpus = quota_usage(job, tasks)
    if is_metered(limits.get(job.team, (0.0, 0.0)), cpus, gpus):
        row = used.setdefault(job.team, [0.0, 0.0])
        row[0] += cpus
        row[1] += gpus


def _change_quotas(
    changes: dict[str, Any], records: Records, used: Mapping[str, list[float]], limits: QuotaLimits
) -> None:
    """Add the quota records that differ from the assigned resources to `changes`."""
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
    """Add the missing records of controllers' formats and of job classes' examples."""
    for item in evidence:
        for label, number in item.versions.items():
            key = f"c/version/{label}"
            if number and key not in records:
                changes[key] = {"format": max(number, changes.get(key, {}).get("format", 0))}
        for job_class, description in item.classes.items():
            key = f"c/class/{job_class}"
            if key not in records:
                changes.setdefault(key, {"j": description})
