"""Tests that are known to fail for a real fault that is still to be mended.

`KNOWN-RED.txt` at the root has one line for each: the test's id, its cause, the issue,
separated by ` | `. They are run, printed with their causes, and their failure alone doesn't
fail the run. It does fail where there are more than three, where a line is malformed or
names no test that is there, and where a listed test passes: its line is to be removed then.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import NamedTuple

MOST = 3


class Red(NamedTuple):
    """A line of the file."""

    test: str
    cause: str
    issue: str


def read(text: str) -> tuple[dict[str, Red], list[str]]:
    """The lines by test, and what is wrong with the file."""
    found: dict[str, Red] = {}
    wrong = []
    for number, line in enumerate(text.splitlines(), 1):
        parts = [p.strip() for p in line.split(" | ")]
        if len(parts) != 3 or not all(parts) or "::" not in parts[0]:
            wrong.append(f"line {number}: not 'test | cause | issue': {line!r}")
        elif parts[0] in found:
            wrong.append(f"line {number}: {parts[0]} is listed twice")
        else:
            found[parts[0]] = Red(*parts)
    if len(found) > MOST:
        wrong.append(f"{len(found)} tests are listed, {MOST} at most may be")
    return found, wrong


def judge(listed: Mapping[str, Red], outcomes: Mapping[str, str], whole: bool) -> list[str]:
    """What is wrong with the list once the tests have run: outcomes by test, "failed",
    "passed" or "skipped". Of a part of the tests nothing is said of those that did not run."""
    wrong = []
    for test in listed:
        outcome = outcomes.get(test)
        if outcome is None and whole:
            wrong.append(f"{test}: there is no such test")
        elif outcome is not None and outcome != "failed":
            wrong.append(f"{test}: {outcome}; its line is to be removed")
    return wrong
