"""Starts a controller from the files that the build step of the deploy file puts in target/."""

import gc
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
PYCACHE = os.path.join(HERE, "target", "pycache")
sys.path.insert(0, os.path.join(HERE, "target", "deps"))

# A restarted controller must answer its workers before their leases expire. Imported objects
# live as long as the process, so garbage collection is off during the imports, and `gc.freeze`
# below excludes these objects from later collections.
gc.disable()

# The build step compiles the modules of clayport ahead of time into target/pycache. The compiled
# files of libraries lie beside their sources, so all libraries are imported first and while
# `sys.pycache_prefix` is not set. With the prefix, they would be compiled again at each start.
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
from clayport.imports import stub_unused_modules  # noqa: E402

sys.pycache_prefix = None
with stub_unused_modules():
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
