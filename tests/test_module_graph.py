"""No modules import each other in a circle, type-only imports counted."""

from __future__ import annotations

import ast
from pathlib import Path

ROOT = Path(__file__).parent.parent
MODULES = {
    ".".join(path.relative_to(ROOT).with_suffix("").parts).removesuffix(".__init__"): path
    for path in sorted((ROOT / "clayport").rglob("*.py"))
}


def imported(path: Path) -> set[str]:
    """The modules of the package that a file imports, anywhere in it."""
    found: set[str] = set()
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.Import):
            found.update(name.name for name in node.names)
        elif isinstance(node, ast.ImportFrom) and node.module:
            found.update(f"{node.module}.{name.name}" for name in node.names)
            found.add(node.module)
    return found & set(MODULES)


def without_circles(graph: dict[str, set[str]]) -> dict[str, set[str]]:
    """What is left once modules that import nothing more are taken away, again and again."""
    left = {name: set(needs) - {name} for name, needs in graph.items()}
    while True:
        done = {name for name, needs in left.items() if not needs}
        if not done:
            return left
        left = {name: needs - done for name, needs in left.items() if name not in done}


def test_a_circle_is_found() -> None:
    graph = {"a": {"b"}, "b": {"c"}, "c": {"b"}, "d": {"a"}, "e": set()}
    assert set(without_circles(graph)) == {"a", "b", "c", "d"}


def test_no_modules_import_each_other_in_a_circle() -> None:
    graph = {name: imported(path) for name, path in MODULES.items()}
    # A package's own module is imported with each module in it; only what it names counts.
    for name, needs in graph.items():
        needs -= {package for package in needs if name.startswith(package + ".")}
    assert sum(map(len, graph.values())) > 300
    assert without_circles(graph) == {}
