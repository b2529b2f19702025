"""The architecture page names code that is there, and every package."""

from __future__ import annotations

import ast
import re
from collections.abc import Iterator
from pathlib import Path

import pytest

from tests.code_names import resolve

ROOT = Path(__file__).parent.parent
PAGE = (ROOT / "docs" / "architecture.md").read_text()
BACKTICKED = set(re.findall(r"`([A-Za-z_][\w.]*)`", PAGE))
# Other pages, and settings, which the page names as they are written in their files.
NOT_CODE = {"glossary.md", "design.md", "limits.md", "state.next", "rename"}
NAMED = sorted(BACKTICKED - NOT_CODE)
PACKAGES = sorted(
    ".".join(path.parent.relative_to(ROOT / "clayport").parts)
    for path in (ROOT / "clayport").glob("*/**/__init__.py")
)
ROOT_MODULES = sorted(
    path.stem for path in (ROOT / "clayport").glob("*.py") if not path.stem.startswith("__")
)


def imported(node: ast.AST) -> Iterator[str]:
    """The modules of `clayport` that code imports when it is loaded."""
    if isinstance(node, ast.FunctionDef | ast.AsyncFunctionDef):
        return
    if isinstance(node, ast.If) and ast.unparse(node.test) == "TYPE_CHECKING":
        return
    if isinstance(node, ast.ImportFrom) and (node.module or "").startswith("clayport."):
        yield (node.module or "").removeprefix("clayport.")
    for child in ast.iter_child_nodes(node):
        yield from imported(child)


def package_imports() -> set[tuple[str, str]]:
    """Which package or module at the root imports which other one."""
    found = set()
    for path in (ROOT / "clayport").rglob("*.py"):
        importer = path.relative_to(ROOT / "clayport").with_suffix("").parts[0]
        for module in imported(ast.parse(path.read_text())):
            found.add((importer, module.partition(".")[0]))
    return {(importer, other) for importer, other in found if importer != other}


@pytest.mark.parametrize("name", NAMED)
def test_the_code_named_is_there(name: str) -> None:
    # Fails for the old name of whatever is renamed and not corrected in the page.
    assert resolve(name) is not None


def test_what_is_no_code_is_on_the_page() -> None:
    # An exception that is no longer needed must not hide a name of the code.
    assert NOT_CODE <= BACKTICKED


@pytest.mark.parametrize("name", [*PACKAGES, *ROOT_MODULES])
def test_each_package_and_module_is_described(name: str) -> None:
    rows = [line.split("|")[1] for line in PAGE.splitlines() if line.startswith("| `")]
    assert any(f"`{name}`" in row for row in rows)


def test_there_are_names_to_hold() -> None:
    assert len(NAMED) > 80 and len(PACKAGES) >= 10


def test_imports_that_go_both_ways_are_listed() -> None:
    # One that is added fails here, and one that is gone has to leave the page.
    found = package_imports()
    paragraph = PAGE.partition("Imports that still go both ways")[2].partition("\n\n")[0]
    listed = set(re.findall(r"`(\w+)`\s+and\s+`(\w+)`", paragraph))
    assert ("user_api", "records") in found
    assert listed == {(a, b) for a, b in found if a < b and (b, a) in found}
