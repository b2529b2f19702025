"""Start a controller with what the deploy file's build put under target/."""

import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "target", "deps"))

# A controller that comes back must answer its workers before their leases end: it
# listens as soon as its settings are read, and imports the rest while they connect.
# The build compiles our modules ahead into target/; libraries have their compiled
# files beside them, so they are imported without the prefix.
import argparse  # noqa: E402, F401
import logging  # noqa: E402, F401
import socket  # noqa: E402, F401

import msgspec  # noqa: E402, F401

OURS = os.path.join(HERE, "target", "pycache")
sys.pycache_prefix = OURS

from clayport.cli import main  # noqa: E402


def libraries() -> None:
    """Import what takes long, from where its compiled files are."""
    sys.pycache_prefix = None
    import copy  # noqa: F401
    import hashlib  # noqa: F401
    import secrets  # noqa: F401

    import curio  # noqa: F401
    import h11  # noqa: F401
    sys.pycache_prefix = OURS


if __name__ == "__main__":
    sys.exit(main(libraries=libraries))
