"""Start a controller with what the deploy file's build put under target/."""

import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "target", "deps"))

# A controller that comes back must answer its workers before their leases end.
# The build compiles our modules ahead into target/; libraries have their
# compiled files beside them, so they are imported before the prefix is set.
import argparse  # noqa: E402, F401
import copy  # noqa: E402, F401
import hashlib  # noqa: E402, F401
import logging  # noqa: E402, F401
import secrets  # noqa: E402, F401

import curio  # noqa: E402, F401
import h11  # noqa: E402, F401
import msgspec  # noqa: E402, F401
import sortedcontainers  # noqa: E402, F401

sys.pycache_prefix = os.path.join(HERE, "target", "pycache")

from clayport.cli import main  # noqa: E402

if __name__ == "__main__":
    sys.exit(main())
