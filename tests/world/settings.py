"""The settings, the machine types and the submissions of the simulated deployment."""

from __future__ import annotations

from typing import Any

ZONES = ["north", "south"]
SETTINGS: dict[str, Any] = {
    "zones": ZONES,
    "teams": [{"name": "free"}, {"name": "tight", "gpus": 1.0, "gpus_max": 4.0}],
    "objectives": [
        {"kind": "wait", "class": "web", "within_s": 2.0, "share": 0.9},
        {"kind": "finished", "class": "batch", "within_s": 90.0, "share": 0.9},
    ],
    "workers": {
        "report_s": 1.0,
        "lease_s": 10.0,
        "gang_wait_s": 30.0,
        "gang_peer_s": 4.0,
        "cancel_s": 35.0,
    },
    "state": {"rps": 250.0, "write_rps": 100.0, "value_kb": 8.0, "txn_ops": 16},
    "cloud": {"rps": 4.0, "list_lag_s": 3.0},
    "machine_limits": {"core_share": 0.5, "mem_mb": 146.0, "max_sockets": 500},
    "clock_error_ms": 25.0,
}
TYPES = [
    {
        "label": "plain",
        "vcpus": 8,
        "cards": 0,
        "ram_gb": 64,
        "local_gb": 60,
        "pull_gb_per_s": 1.0,
        "rate": 0.4,
        "spot_price": 0.1,
        "boot_s": 8,
        "sites": ZONES,
    },
    {
        "label": "accel",
        "vcpus": 16,
        "cards": 2,
        "ram_gb": 128,
        "local_gb": 60,
        "pull_gb_per_s": 1.0,
        "rate": 4.0,
        "spot_price": 1.5,
        "boot_s": 8,
        "sites": ZONES,
    },
]


def job(number: int, **fields: Any) -> dict[str, Any]:
    """Return a valid submission in which `fields`, by their wire names, replace the defaults."""
    return {
        "id": f"j-{number:06d}",
        "jobclass": "batch",
        "owner": "free",
        "shape": "sweep",
        "rank": "normal",
        "pieces": 3,
        "vcpus": 2.0,
        "cards": 0.0,
        "ram_gb": 4.0,
        "bundle": "img-1",
        "image_gb": 1.0,
        "flavors": None,
        "site": None,
        "together": False,
        "scatter": False,
        "loaners": True,
        "guess_s": 8.0,
        "snapshot_every_s": 0.0,
        "snapshot_s": 0.0,
        "due_s": None,
        **fields,
    }
