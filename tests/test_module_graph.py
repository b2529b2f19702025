"""There are no import cycles between modules, not even with type-only imports."""

from __future__ import annotations

import ast
from pathlib import Path

ROOT = Path(__file__).parent.parent
MODULES = {
    ".".join(path.relative_to(ROOT).with_suffix("").parts).removesuffix(".__init__"): path
    for path in sorted((ROOT / "clayport").rglob("*.py"))
}


def imported_modules(path: Path) -> set[str]:
    """Return the modules of clayport that a file imports at any level."""
    result: set[str] = set()
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.Import):
            result.update(name.name for name in node.names)
        elif isinstance(node, ast.ImportFrom) and node.module:
            result.update(f"{node.module}.{name.name}" for name in node.names)
            result.add(node.module)
    return result & set(MODULES)


def remove_acyclic(graph: dict[str, set[str]]) -> dict[str, set[str]]:
    """Remove modules without imports until only modules that depend on a cycle remain."""
    remaining = {name: set(imports) - {name} for name, imports in graph.items()}
    while True:
        leaves = {name for name, imports in remaining.items() if not imports}
        if not leaves:
            return remaining
        remaining = {
            name: imports - leaves for name, imports in remaining.items() if name not in leaves
        }


def test_cycles_are_detected() -> None:
    graph = {"a": {"b"}, "b": {"c"}, "c": {"b"}, "d": {"a"}, "e": set()}
    assert set(remove_acyclic(graph)) == {"a", "b", "c", "d"}


def test_there_are_no_import_cycles() -> None:
    graph = {name: imported_modules(path) for name, path in MODULES.items()}
    # Importing a module also imports its package. That implicit import is not counted here.
    for name, imports in graph.items():
        imports -= {package for package in imports if name.startswith(package + ".")}
    assert sum(map(len, graph.values())) > 300
    assert remove_acyclic(graph) == {}
