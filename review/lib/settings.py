"""Settings of a small deployment, with the figures of the users' brief (constanta-buoys)."""

from __future__ import annotations

from typing import Any

ZONES = ["agigea", "eforie", "mamaia", "tomis"]

CLUSTER: dict[str, Any] = {
    "size": 3,
    "zones": ZONES,
    "teams": [{"name": "marine-ops", "cpus": 0.0, "cpus_max": 0.0, "gpus": 0.0, "gpus_max": 0.0}],
    "objectives": [
        {"kind": "wait", "class": "buoy-ingest", "within_s": 1.0, "share": 0.88},
        {"kind": "deadline", "class": "qc-clean", "share": 0.88, "times": 1.0},
        {"kind": "finished", "class": "archive-pack", "within_s": 250.0, "share": 0.9},
    ],
    "workers": {
        "report_s": 1.0,
        "lease_s": 10.0,
        "gang_wait_s": 45.0,
        "gang_peer_s": 4.0,
        "cancel_s": 35.0,
    },
    "state": {"rps": 250.0, "write_rps": 100.0, "value_kb": 8.0, "txn_ops": 16},
    "cloud": {"rps": 4.0, "list_lag_s": 5.0},
    "machine_limits": {"core_share": 0.75, "mem_mb": 146.0, "max_sockets": 500},
    "clock_error_ms": 1000.0,
}

KINDS: list[dict[str, Any]] = [
    {
        "label": "delta-gx",
        "vcpus": 48.0,
        "cards": 4.0,
        "ram_gb": 384.0,
        "local_gb": 150.0,
        "pull_gb_per_s": 0.25,
        "rate": 11.75,
        "spot_price": 4.94,
        "boot_s": 30.0,
        "sites": ZONES,
    },
]

DELTA_S: dict[str, Any] = {
    "label": "delta-s",
    "vcpus": 8.0,
    "cards": 0.0,
    "ram_gb": 64.0,
    "local_gb": 70.0,
    "pull_gb_per_s": 1.0,
    "rate": 0.37,
    "spot_price": 0.15,
    "boot_s": 35.0,
    "sites": ZONES,
}
