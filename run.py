"""Start a controller with what the deploy file's build put under target/."""

import gc
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
PYCACHE = os.path.join(HERE, "target", "pycache")
sys.path.insert(0, os.path.join(HERE, "target", "deps"))

# A controller that comes back must answer its workers before their leases end. What is
# imported stays, so nothing is collected meanwhile, nor looked through by collections later.
gc.disable()

# The build compiles our modules ahead into target/; libraries have their compiled files beside
# them, so all that our modules import is imported without the prefix, and before them.
import __future__  # noqa: E402, F401

import argparse  # noqa: E402, F401
import contextlib  # noqa: E402, F401
import copy  # noqa: E402, F401
import importlib.machinery  # noqa: E402, F401
import logging  # noqa: E402, F401
import random  # noqa: E402, F401
import struct  # noqa: E402, F401
import typing  # noqa: E402, F401
import urllib.parse  # noqa: E402, F401

sys.pycache_prefix = PYCACHE
from clayport.imports import reduced  # noqa: E402

sys.pycache_prefix = None
with reduced():
    import hashlib  # noqa: F401

    import curio  # noqa: F401
    import h11  # noqa: F401
    import msgspec  # noqa: F401
    import sortedcontainers  # noqa: F401

sys.pycache_prefix = PYCACHE
import clayport.controller  # noqa: E402, F401
from clayport.cli import main  # noqa: E402

gc.freeze()
gc.enable()

if __name__ == "__main__":
    sys.exit(main())
