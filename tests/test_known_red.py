"""Test runs tolerate failures that are listed in KNOWN-RED.txt and no others, and `bench.served`
fails a day on which the largest jobs of a class were not served."""

from __future__ import annotations

import json
import sys
from pathlib import Path
from typing import Any

import pytest

from bench import served

pytest_plugins = ["pytester"]
TEST_FILE = """
def test_red():
    assert 1 == 2
def test_green():
    pass
"""
RED_LINE = "tests/test_some.py::test_red | pytest, seed 3 | two is not one | 7\n"
SCRIPT_LINE = "cases/run.sh | cases/run.sh, no seed | three is not one | 7\n"
GREEN_LINE = "tests/test_some.py::test_green | pytest | none | 7\n"


ROWS = [
    (
        RED_LINE,
        0,
        "known red: tests/test_some.py::test_red: failed; two is not one (pytest, seed 3; issue 7)",
    ),
    ("", 1, "1 failed"),
    (
        RED_LINE + SCRIPT_LINE,
        0,
        "known red: cases/run.sh: not run; three is not one (cases/run.sh, no seed; issue 7)",
    ),
    (
        RED_LINE + SCRIPT_LINE.replace("cases/run.sh |", "cases/gone.sh |", 1),
        1,
        "cases/gone.sh: there is no such script",
    ),
    (RED_LINE + GREEN_LINE, 1, "test_green: passed; its line is to be removed"),
    (
        RED_LINE + "tests/test_some.py::test_none | pytest | gone | 7\n",
        1,
        "test_none: there is no such test",
    ),
    (RED_LINE + "tests/test_some.py::test_other\n", 1, "line 2: not 'test | command and seed |"),
    (RED_LINE + RED_LINE, 1, "listed twice"),
    (RED_LINE.replace("pytest, seed 3", ""), 1, "line 1: not 'test | command and seed |"),
    (RED_LINE.replace("| 7", "| later"), 1, "line 1: not 'test | command and seed |"),
]


@pytest.mark.parametrize(
    "processes, listed, exit_status, expected",
    # With pytest-xdist, one process runs the test and another one checks the outcomes.
    [(0, *row) for row in ROWS] + [(2, *row) for row in ROWS[:6]],
)
def test_only_listed_failures_are_tolerated(
    pytester: pytest.Pytester, processes: int, listed: str, exit_status: int, expected: str
) -> None:
    tests_dir = Path(__file__).parent
    tests = pytester.mkdir("tests")
    for name in ("conftest.py", "known_red.py"):
        (tests / name).write_text((tests_dir / name).read_text())
    (tests / "__init__.py").touch()
    (tests / "test_some.py").write_text(TEST_FILE)
    (pytester.mkdir("cases") / "run.sh").touch()
    (pytester.path / "KNOWN-RED.txt").write_text(listed)
    pytester.makeini("[pytest]\ntestpaths = tests")
    result = pytester.runpytest_subprocess("-n", str(processes))
    assert result.ret == exit_status
    assert expected in result.stdout.str()


def bench_report(largest: int) -> dict[str, Any]:
    return {
        "scenario": "day",
        "classes": {"a": {"accepted": 8, "started": 8, "done": 8}},
        "largest": {"a": {"jobs": 4, "started": largest}},
    }


LOG = "".join(
    f"  {10 + n}.0 host-0 INFO clayport.api job=j-{n} event=accepted class=a kind=sweep "
    f"tasks={n}\n  {20 + 60 * n}.5 host-1 INFO clayport.dispatch job=j-{n} "
    f"epoch=1 event=launch tasks=1 attempt=1\n"
    for n in range(1, 9)
)


@pytest.mark.parametrize(
    "largest, log, exit_status, expected",
    [
        (4, "", 0, "a largest started 1.000 of 4"),
        (2, "", 0, "a largest started 0.500 of 4"),
        (1, "", 1, "FAILED; a largest started 0.250 of 4"),
        (4, LOG, 1, "a largest began in 240 s (log; longest 482 s) 0.000 of 2"),
        (4, LOG.replace("tasks=8", "tasks=0"), 1, "longest 424 s) 0.000 of 2"),
        (
            4,
            LOG.replace("tasks=1\n", "tasks=80\n").replace("tasks=2\n", "tasks=90\n"),
            0,
            "largest began in 240 s (log; longest 128 s) 1.000 of 2",
        ),
    ],
    ids=["all", "half", "a quarter", "late", "late as well", "in time"],
)
def test_a_day_whose_largest_jobs_were_not_served_fails(
    tmp_path: Path,
    capsys: pytest.CaptureFixture[str],
    monkeypatch: pytest.MonkeyPatch,
    largest: int,
    log: str,
    exit_status: int,
    expected: str,
) -> None:
    """The report contains how many of the largest jobs started, and the log contains when."""
    (tmp_path / "r.json").write_text(json.dumps(bench_report(largest)))
    args = ["served", str(tmp_path / "r.json"), "--all"]
    if log:
        (tmp_path / "log").write_text(log)
        args += ["--log", str(tmp_path / "log")]
    monkeypatch.setattr(sys, "argv", args)
    assert served.main() == exit_status
    assert expected in capsys.readouterr().out
