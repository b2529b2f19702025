"""The glossary defines each term once and names only existing code."""

from __future__ import annotations

import re
from pathlib import Path

import pytest

from tests.code_names import resolve

PAGE = Path(__file__).parent.parent / "docs" / "glossary.md"
ROWS = [
    [cell.strip() for cell in line.strip("|").split("|")]
    for line in PAGE.read_text().splitlines()
    if line.startswith("| ") and not line.startswith(("| term", "| ---"))
]
CODE_NAMES = sorted({name for row in ROWS for name in re.findall(r"`([\w.]+)`", row[2])})


def test_each_term_is_defined_once() -> None:
    terms = [row[0] for row in ROWS]
    assert len(terms) > 50 and len(set(terms)) == len(terms)
    assert all(len(row) == 4 and row[1].endswith(".") and row[2] for row in ROWS)


@pytest.mark.parametrize("name", CODE_NAMES)
def test_each_code_name_exists(name: str) -> None:
    # This test fails if code is renamed and the page still has the old name.
    assert resolve(name) is not None
