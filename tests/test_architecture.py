"""The architecture page names code that is there, and every package."""

from __future__ import annotations

import re
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
