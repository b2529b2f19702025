"""What a rebuild computes, at a size: evidence, merge, transactions, snapshots.

    python -m bench.rebuild [--jobs 10000] [--controllers 5] [--write-rps 300] [--lost 1.0]

Live jobs of ten tasks, all assigned, each known to every controller and at home at one;
`--lost` is the share of the records that the state service has lost. No network: what is
written is counted, and how long the write limit makes it last.
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
from clayport.rebuild.evidence import Evidence, only_news, pack, unpack
from clayport.rebuild.merge import merge
from clayport.rebuild.plan import transactions
from clayport.records.chunk import Chunk
from clayport.records.keys import chunk_key, live_key


def description(number: int) -> dict[str, Any]:
    """Build one live record as the state service stores it."""
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


def timed(what: str, began: float) -> float:
    """Print the seconds since `began` under the name `what` and return the present time."""
    now = time.perf_counter()
    print(f"{what}: {now - began:.2f} s")
    return time.perf_counter()


def main() -> int:
    """Time the pure steps of a rebuild; return the exit status."""
    args = argparse.ArgumentParser(description="What a rebuild computes, at a size.")
    args.add_argument("--jobs", type=int, default=10_000)
    args.add_argument("--controllers", type=int, default=5)
    args.add_argument("--write-rps", type=float, default=300.0)
    args.add_argument("--lost", type=float, default=1.0, help="share of the records lost")
    chosen = args.parse_args()
    if chosen.jobs < 1 or chosen.controllers < 1 or not 0 <= chosen.lost <= 1:
        args.error("a positive number of jobs and controllers; --lost 0 to 1")
    rng = random.Random(1)
    labels = [f"host-{n}" for n in range(chosen.controllers)]
    parts = {x: Evidence(x, x, 7, {y: y for y in labels}, True) for x in labels}
    records: dict[str, tuple[Any, int]] = {}
    for number in range(chosen.jobs):
        desc = description(number)
        chunk = Chunk()
        chunk.assigned = {n: (3, f"i-{rng.randrange(1000):06d}") for n in range(10)}
        chunk.last_attempt = 3
        for e in parts.values():
            e.live[desc["id"]] = (desc, 1000.0 + number)
        home = rendezvous(desc["id"], labels)
        parts[home].chunks[chunk_key(desc["id"], 0)] = chunk.value()
        if rng.random() >= chosen.lost:
            records[live_key(desc["id"])] = ({"j": desc, "t": 1000.0 + number}, 5)
        if rng.random() >= chosen.lost:
            records[chunk_key(desc["id"], 0)] = (chunk.value(), 6)
    at = time.perf_counter()
    packed = [pack(e) for e in parts.values()]
    at = timed(
        f"pack, {chosen.controllers} controllers, "
        f"{sum(len(p) for row in packed for p in row) / 1e6:.1f} MB",
        at,
    )
    del parts
    found: dict[str, Evidence] = {}
    for raw in packed:
        part = unpack(raw)
        if found:
            only_news(part, next(iter(found.values())))
        found[part.label] = part
    at = timed(
        f"unpack, with {chosen.controllers} controllers' memories until now {peak_mb():.0f} MB", at
    )
    merged = merge(records, found, (), {"team": (0.0, 0.0)}, 500)
    at = timed(f"merge, {len(merged.changes)} changes", at)
    txns = list(transactions(merged.changes, records, ("c/~x", 9), 32))
    at = timed(f"transactions, {len(txns)} of them", at)
    print(
        f"written in {len(merged.changes) / (0.9 * chosen.write_rps):.0f} s "
        f"with {chosen.write_rps:g} changes a second"
    )
    whole = {k: (v, 9) for k, v in merged.changes.items() if v is not None}
    with tempfile.TemporaryDirectory() as name:
        at = time.perf_counter()
        path = files.write_base(
            Path(name), files.Header("base", labels, "x", 1, 9, 0.0), files.rows_of(whole)
        )
        at = timed(f"snapshot of {len(whole)} records, {path.stat().st_size / 1e6:.1f} MB", at)
        files.read_base(path)
        timed("snapshot read", at)
    print(f"peak memory {peak_mb():.0f} MB")
    return 0


if __name__ == "__main__":
    raise SystemExit(main())
