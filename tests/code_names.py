"""Resolves code names as the documentation writes them: dotted paths below `clayport`."""

from __future__ import annotations

import importlib
from typing import Any


def resolve(name: str) -> Any:
    """Return the module or object with the name; for a field of a class, return its annotation.

    Raises:
        ModuleNotFoundError, AttributeError: The name does not exist.
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
