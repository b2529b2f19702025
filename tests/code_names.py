"""Names of the code as the pages write them: dotted paths below `clayport`."""

from __future__ import annotations

import importlib
from typing import Any


def resolve(name: str) -> Any:
    """Return the module, or what stands in it; a field of a structure counts by its annotation.

    Raises:
        ModuleNotFoundError, AttributeError: There is no such name.
    """
    parts = name.split(".")
    found: Any = importlib.import_module(f"clayport.{parts[0]}")
    for number, part in enumerate(parts[1:], 2):
        if part in getattr(found, "__annotations__", {}):
            return found.__annotations__[part]
        if not hasattr(found, part):
            importlib.import_module("clayport." + ".".join(parts[:number]))
        found = getattr(found, part)
    return found
