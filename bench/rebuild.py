"""Benchmark of the computations of a rebuild: evidence, merge, transactions and snapshots.

    python -m bench.rebuild [--jobs 10000] [--controllers 5] [--write-rps 300] [--lost 1.0]

All jobs are live and have ten assigned tasks. Every controller knows every job, and each job
has one leader. `--lost` is the share of the records that the state service has lost. There is
no network: the writes are counted, and the time that they take is computed from the write
limit.
"""

from __future__ import annotations

import argparse
import random
import resource
import tempfile
import time
from pathlib import Path
from typing import Any

import msgspec

from clayport.membership.rendezvous import rendezvous
from clayport.model import Job
from clayport.rebuild import files
from clayport.rebuild.evidence import Evidence, drop_known, pack, unpack
from clayport.rebuild.merge import merge
from clayport.rebuild.plan import transactions
from clayport.records.chunk import Chunk
from clayport.records.keys import chunk_key, live_key


def build_description(number: int) -> dict[str, Any]:
    """Build a job's description as its live record stores it."""
    job = msgspec.convert(
        {
            "id": f"j-{number:06d}",
            "jobclass": "batch",
            "owner": "team",
            "shape": "sweep",
            "rank": "normal",
            "pieces": 10,
            "vcpus": 2.0,
            "cards": 0.0,
            "ram_gb": 4.0,
            "bundle": "img-01",
            "image_gb": 1.0,
            "together": False,
            "scatter": False,
            "loaners": True,
            "guess_s": 50.0,
            "snapshot_every_s": 0.0,
            "snapshot_s": 0.0,
        },
        Job,
    )
    return msgspec.to_builtins(job)


def peak_mb() -> float:
    """Return the peak resident memory of this process in MiB."""
    return resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024


def print_elapsed(label: str, started: float) -> float:
    """Print the seconds since `started` under the name `label` and return the current time."""
    now = time.perf_counter()
    print(f"{label}: {now - started:.2f} s")
    return time.perf_counter()


def main() -> int:
    """Time the computations of a rebuild and return the exit status."""
    parser = argparse.ArgumentParser(description="Time the computations of a rebuild.")
    parser.add_argument("--jobs", type=int, default=10_000)
    parser.add_argument("--controllers", type=int, default=5)
    parser.add_argument("--write-rps", type=float, default=300.0)
    parser.add_argument(
        "--lost", type=float, default=1.0, help="share of the records that are lost"
    )
    args = parser.parse_args()
    if args.jobs < 1 or args.controllers < 1 or not 0 <= args.lost <= 1:
        parser.error("--jobs and --controllers must be positive, and --lost must be 0 to 1")
    rng = random.Random(1)
    labels = [f"host-{n}" for n in range(args.controllers)]
    evidence_by_controller = {
        label: Evidence(label, label, 7, {member: member for member in labels}, True)
        for label in labels
    }
    records: dict[str, tuple[Any, int]] = {}
    for number in range(args.jobs):
        description = build_description(number)
        chunk = Chunk()
        chunk.assigned = {n: (3, f"i-{rng.randrange(1000):06d}") for n in range(10)}
        chunk.last_attempt = 3
        for evidence in evidence_by_controller.values():
            evidence.live[description["id"]] = (description, 1000.0 + number)
        leader = rendezvous(description["id"], labels)
        evidence_by_controller[leader].chunks[chunk_key(description["id"], 0)] = chunk.value()
        if rng.random() >= args.lost:
            records[live_key(description["id"])] = ({"j": description, "t": 1000.0 + number}, 5)
        if rng.random() >= args.lost:
            records[chunk_key(description["id"], 0)] = (chunk.value(), 6)
    started = time.perf_counter()
    all_packed = [pack(evidence) for evidence in evidence_by_controller.values()]
    started = print_elapsed(
        f"pack, {args.controllers} controllers, "
        f"{sum(len(part) for row in all_packed for part in row) / 1e6:.1f} MB",
        started,
    )
    del evidence_by_controller
    received: dict[str, Evidence] = {}
    for packed_evidence in all_packed:
        unpacked = unpack(packed_evidence)
        if received:
            drop_known(unpacked, next(iter(received.values())))
        received[unpacked.label] = unpacked
    started = print_elapsed(
        f"unpack, with {args.controllers} controllers' memories until now {peak_mb():.0f} MB",
        started,
    )
    merged = merge(records, received, (), {"team": (0.0, 0.0)}, 500)
    started = print_elapsed(f"merge, {len(merged.changes)} changes", started)
    txns = list(transactions(merged.changes, records, ("c/~x", 9), 32))
    started = print_elapsed(f"transactions, {len(txns)} of them", started)
    print(
        f"written in {len(merged.changes) / (0.9 * args.write_rps):.0f} s "
        f"with {args.write_rps:g} changes a second"
    )
    merged_records = {key: (value, 9) for key, value in merged.changes.items() if value is not None}
    with tempfile.TemporaryDirectory() as directory:
        started = time.perf_counter()
        path = files.write_base(
            Path(directory),
            files.Header("base", labels, "x", 1, 9, 0.0),
            files.rows_of(merged_records),
        )
        started = print_elapsed(
            f"snapshot of {len(merged_records)} records, {path.stat().st_size / 1e6:.1f} MB",
            started,
        )
        files.read_base(path)
        print_elapsed("snapshot read", started)
    print(f"peak memory {peak_mb():.0f} MB")
    return 0


if __name__ == "__main__":
    raise SystemExit(main())
