"""Imports of libraries without the parts that a controller never runs.

Starting takes from the same share of a core as serving, and a controller that comes back has to
answer its workers before their leases expire. Much of the time of the imports went into parts
that curio and hashlib load for features that are not used here: asyncio (futures of another
event loop), multiprocessing (worker processes), ssl and OpenSSL's hashes (all that is needed of
them is built in).
"""

from __future__ import annotations

import os
import sys
from collections.abc import Iterator
from contextlib import contextmanager
from importlib.machinery import ModuleSpec
from types import ModuleType
from typing import Any

# Optional modules: importing them fails, and the libraries go on without them.
ABSENT = ("ssl", "_hashlib")
# Modules that the libraries can't be imported without: empty ones take their place, with the
# attributes that are used during the import.
EMPTY: dict[str, dict[str, Any]] = {
    "asyncio": {},
    "multiprocessing": {"cpu_count": os.cpu_count},
    "curio.channel": {"__all__": [], "Connection": None},
}


class EmptyModuleFinder:
    """A finder and loader of empty modules in place of those in `EMPTY`."""

    def find_spec(
        self, name: str, _path: object = None, _target: object = None
    ) -> ModuleSpec | None:
        """A spec for the modules in `EMPTY`; None leaves the others to the next finder."""
        return ModuleSpec(name, self) if name in EMPTY else None  # type: ignore[arg-type]

    def create_module(self, spec: ModuleSpec) -> None:
        """The import system's default module will do."""

    def exec_module(self, module: ModuleType) -> None:
        """Give the empty module what is used of the real one during the imports."""
        vars(module).update(EMPTY[module.__name__])


@contextmanager
def reduced() -> Iterator[None]:
    """Import libraries without the modules in `ABSENT` and `EMPTY`.

    Afterwards, whoever imports one of these gets the real one. Those that have been imported
    before stay as they are.
    """
    replaced = [name for name in (*ABSENT, *EMPTY) if name not in sys.modules]
    finder = EmptyModuleFinder()
    sys.meta_path.insert(0, finder)
    for name in ABSENT:
        if name in replaced:
            sys.modules[name] = None  # type: ignore[assignment]
    try:
        yield
    finally:
        sys.meta_path.remove(finder)
        for name in replaced:
            sys.modules.pop(name, None)
