"""The architecture page names only existing code, and describes every package."""

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
# Names of other pages and of settings, which are not resolved as code.
NOT_CODE = {"glossary.md", "design.md", "limits.md", "state.next", "rename"}
CODE_NAMES = sorted(BACKTICKED - NOT_CODE)
PACKAGES = sorted(
    ".".join(path.parent.relative_to(ROOT / "clayport").parts)
    for path in (ROOT / "clayport").glob("*/**/__init__.py")
)
ROOT_MODULES = sorted(
    path.stem for path in (ROOT / "clayport").glob("*.py") if not path.stem.startswith("__")
)


def imported_modules(node: ast.AST) -> Iterator[str]:
    """Yield the modules of `clayport` that the code imports at run time when it is loaded."""
    if isinstance(node, ast.FunctionDef | ast.AsyncFunctionDef):
        return
    if isinstance(node, ast.If) and ast.unparse(node.test) == "TYPE_CHECKING":
        return
    if isinstance(node, ast.ImportFrom) and (node.module or "").startswith("clayport."):
        yield (node.module or "").removeprefix("clayport.")
    for child in ast.iter_child_nodes(node):
        yield from imported_modules(child)


def package_imports() -> set[tuple[str, str]]:
    """Return pairs of a top-level package or module and another one that it imports."""
    imports = set()
    for path in (ROOT / "clayport").rglob("*.py"):
        importer = path.relative_to(ROOT / "clayport").with_suffix("").parts[0]
        for module in imported_modules(ast.parse(path.read_text())):
            imports.add((importer, module.partition(".")[0]))
    return {(importer, other) for importer, other in imports if importer != other}


@pytest.mark.parametrize("name", CODE_NAMES)
def test_each_code_name_exists(name: str) -> None:
    # This test fails if code is renamed and the page still has the old name.
    assert resolve(name) is not None


def test_each_exception_is_on_the_page() -> None:
    # An outdated exception must not hide a code name.
    assert NOT_CODE <= BACKTICKED


@pytest.mark.parametrize("name", [*PACKAGES, *ROOT_MODULES])
def test_each_package_and_module_is_described(name: str) -> None:
    rows = [line.split("|")[1] for line in PAGE.splitlines() if line.startswith("| `")]
    assert any(f"`{name}`" in row for row in rows)


def test_the_page_has_names_to_check() -> None:
    assert len(CODE_NAMES) > 80 and len(PACKAGES) >= 10


def test_mutual_imports_are_listed() -> None:
    # This test fails if a mutual import is added, or if the page lists one that no longer exists.
    imports = package_imports()
    paragraph = PAGE.partition("Imports that still go both ways")[2].partition("\n\n")[0]
    listed = set(re.findall(r"`(\w+)`\s+and\s+`(\w+)`", paragraph))
    assert ("user_api", "records") in imports
    assert listed == {(a, b) for a, b in imports if a < b and (b, a) in imports}
