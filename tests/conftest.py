"""Pytest hooks that tolerate failures of the tests listed in KNOWN-RED.txt, and no others."""

from __future__ import annotations

from collections.abc import Generator
from pathlib import Path
from typing import Any

import pytest

from tests import known_red

LIST_FILE = Path(__file__).parent.parent / "KNOWN-RED.txt"


class KnownFailures:
    """The listed tests, their outcomes and the problems of the list."""

    def __init__(self) -> None:
        self.listed, self.problems = (
            known_red.parse(LIST_FILE.read_text()) if LIST_FILE.exists() else ({}, [])
        )
        self.outcomes: dict[str, str] = {}


def pytest_configure(config: pytest.Config) -> None:
    config.stash[STASH_KEY] = KnownFailures()
    config.pluginmanager.register(OutcomeCollector(config.stash[STASH_KEY]))


STASH_KEY = pytest.StashKey[KnownFailures]()


@pytest.hookimpl(hookwrapper=True)
def pytest_runtest_makereport(item: pytest.Item, call: Any) -> Generator[None, Any, None]:
    outcome = yield
    report, failures = outcome.get_result(), item.config.stash[STASH_KEY]
    if item.nodeid not in failures.listed:
        return
    # Only a failure in the call phase is the known failure; others are not tolerated.
    if report.when == "call":
        report.known_red_outcome = report.outcome
        if report.failed:
            report.outcome = "skipped"
            report.wasxfail = failures.listed[item.nodeid].seen


class OutcomeCollector:
    """Collects the outcomes of listed tests in the process that receives all reports.

    With pytest-xdist, that is the controller process, not the worker that runs the test.
    """

    def __init__(self, failures: KnownFailures) -> None:
        self.failures = failures

    def pytest_runtest_logreport(self, report: Any) -> None:
        """Record the outcome of a listed test."""
        outcome = getattr(report, "known_red_outcome", None)
        if outcome is not None:
            self.failures.outcomes[report.nodeid] = outcome


def pytest_sessionfinish(session: pytest.Session, exitstatus: int) -> None:
    if hasattr(session.config, "workerinput"):
        return  # a pytest-xdist worker sees only some of the tests
    failures = session.config.stash[STASH_KEY]
    complete = (
        not session.config.option.collectonly
        and session.config.args == session.config.getini("testpaths")
        and not session.config.option.keyword
        and not session.config.option.deselect
        and not session.shouldstop
    )
    failures.problems += known_red.check_outcomes(
        failures.listed, failures.outcomes, complete, LIST_FILE.parent
    )
    if failures.problems and session.exitstatus == 0:
        session.exitstatus = 1


def pytest_terminal_summary(terminalreporter: Any, config: pytest.Config) -> None:
    failures = config.stash[STASH_KEY]
    for test, failure in failures.listed.items():
        terminalreporter.write_line(
            f"known red: {test}: {failures.outcomes.get(test, 'not run')}; "
            f"{failure.seen} ({failure.command}; issue {failure.issue})"
        )
    for line in failures.problems:
        terminalreporter.write_line(f"KNOWN-RED.txt: {line}")
