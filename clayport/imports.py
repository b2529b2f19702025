"""Faster imports: replaces modules that the libraries load but a controller never uses.

A restarted controller has to answer its workers before their leases expire, and its start
competes with serving for the same share of a core. Much of the import time goes into modules
that curio and hashlib load for features that are not used here: asyncio (futures of another
event loop), multiprocessing (worker processes), ssl and the hashes of OpenSSL (the built-in
ones suffice).
"""

from __future__ import annotations

import os
import sys
from collections.abc import Iterator
from contextlib import contextmanager
from importlib.machinery import ModuleSpec
from types import ModuleType
from typing import Any

# Optional modules whose import is made to fail; the libraries work without them.
BLOCKED_MODULES = ("ssl", "_hashlib")
# Modules that the libraries require. Each is replaced by a stub that has only the attributes
# that are used during the import.
STUB_MODULES: dict[str, dict[str, Any]] = {
    "asyncio": {},
    "multiprocessing": {"cpu_count": os.cpu_count},
    "curio.channel": {"__all__": [], "Connection": None},
}


class StubModuleFinder:
    """An import finder and loader that creates the stubs in `STUB_MODULES`."""

    def find_spec(
        self, name: str, _path: object = None, _target: object = None
    ) -> ModuleSpec | None:
        """Return a spec for a module in `STUB_MODULES`; None passes on to the next finder."""
        return ModuleSpec(name, self) if name in STUB_MODULES else None  # type: ignore[arg-type]

    def create_module(self, spec: ModuleSpec) -> None:
        """Return None, so that the import system creates a default module."""

    def exec_module(self, module: ModuleType) -> None:
        """Add the attributes of the real module that are used during the imports."""
        vars(module).update(STUB_MODULES[module.__name__])


@contextmanager
def stub_unused_modules() -> Iterator[None]:
    """Block or stub the modules in `BLOCKED_MODULES` and `STUB_MODULES` during the context.

    Imports of these modules after the context load the real modules. Modules that were imported
    before the context stay as they are.
    """
    replaced = [name for name in (*BLOCKED_MODULES, *STUB_MODULES) if name not in sys.modules]
    finder = StubModuleFinder()
    sys.meta_path.insert(0, finder)
    for name in BLOCKED_MODULES:
        if name in replaced:
            sys.modules[name] = None  # type: ignore[assignment]
    try:
        yield
    finally:
        sys.meta_path.remove(finder)
        for name in replaced:
            sys.modules.pop(name, None)
