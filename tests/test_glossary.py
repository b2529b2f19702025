"""The glossary names each concept once, and code that is there."""

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
NAMED = sorted({name for row in ROWS for name in re.findall(r"`([\w.]+)`", row[2])})


def test_each_concept_stands_once() -> None:
    terms = [row[0] for row in ROWS]
    assert len(terms) > 50 and len(set(terms)) == len(terms)
    assert all(len(row) == 4 and row[1].endswith(".") and row[2] for row in ROWS)


@pytest.mark.parametrize("name", NAMED)
def test_the_code_named_is_there(name: str) -> None:
    # Fails for the old name of whatever is renamed and not corrected in the page.
    assert resolve(name) is not None
