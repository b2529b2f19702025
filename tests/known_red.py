"""Tests that are known to fail because of a real fault that is not fixed yet.

`KNOWN-RED.txt` at the root has one line per test: its id, the cause and the issue, separated by
` | `. Listed tests run and are printed with their causes, and their failures alone don't fail
the run. The run fails if more than three tests are listed, if a line is malformed or names a
test that doesn't exist, or if a listed test passes, because its line has to be removed then.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import NamedTuple

MAX_LISTED = 3


class KnownFailure(NamedTuple):
    """A line of KNOWN-RED.txt."""

    test: str
    cause: str
    issue: str


def parse(text: str) -> tuple[dict[str, KnownFailure], list[str]]:
    """Return the lines by test, and the problems of the file."""
    listed: dict[str, KnownFailure] = {}
    problems = []
    for number, line in enumerate(text.splitlines(), 1):
        parts = [p.strip() for p in line.split(" | ")]
        if len(parts) != 3 or not all(parts) or "::" not in parts[0]:
            problems.append(f"line {number}: not 'test | cause | issue': {line!r}")
        elif parts[0] in listed:
            problems.append(f"line {number}: {parts[0]} is listed twice")
        else:
            listed[parts[0]] = KnownFailure(*parts)
    if len(listed) > MAX_LISTED:
        problems.append(f"{len(listed)} tests are listed, {MAX_LISTED} at most may be")
    return listed, problems


def check_outcomes(
    listed: Mapping[str, KnownFailure], outcomes: Mapping[str, str], complete: bool
) -> list[str]:
    """Return the problems of the list after a test run.

    Args:
        listed: The listed tests.
        outcomes: The outcome of each test that ran: "failed", "passed" or "skipped".
        complete: Whether all tests were selected; only then must each listed test have run.
    """
    problems = []
    for test in listed:
        outcome = outcomes.get(test)
        if outcome is None and complete:
            problems.append(f"{test}: there is no such test")
        elif outcome is not None and outcome != "failed":
            problems.append(f"{test}: {outcome}; its line is to be removed")
    return problems
