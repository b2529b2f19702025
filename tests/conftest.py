"""Passes over the failure of tests that are known to be red, and of nothing else."""

from __future__ import annotations

from collections.abc import Generator
from pathlib import Path
from typing import Any

import pytest

from tests import known_red

FILE = Path(__file__).parent.parent / "KNOWN-RED.txt"


class Ledger:
    """What is listed and how it went."""

    def __init__(self) -> None:
        self.listed, self.wrong = known_red.read(FILE.read_text()) if FILE.exists() else ({}, [])
        self.outcomes: dict[str, str] = {}


def pytest_configure(config: pytest.Config) -> None:
    config.stash[KEY] = Ledger()
    config.pluginmanager.register(Reports(config.stash[KEY]))


KEY = pytest.StashKey[Ledger]()


@pytest.hookimpl(hookwrapper=True)
def pytest_runtest_makereport(item: pytest.Item, call: Any) -> Generator[None, Any, None]:
    outcome = yield
    report, ledger = outcome.get_result(), item.config.stash[KEY]
    if item.nodeid not in ledger.listed:
        return
    # A set-up or a tear-down that fails isn't the fault that is known.
    if report.when == "call":
        report.known_red_outcome = report.outcome
        if report.failed:
            report.outcome = "skipped"
            report.wasxfail = ledger.listed[item.nodeid].cause


class Reports:
    """Collects the outcomes of listed tests where all reports arrive.

    With pytest-xdist that is the controlling process, not the worker that ran the test.
    """

    def __init__(self, ledger: Ledger) -> None:
        self.ledger = ledger

    def pytest_runtest_logreport(self, report: Any) -> None:
        """Note what a listed test came to."""
        outcome = getattr(report, "known_red_outcome", None)
        if outcome is not None:
            self.ledger.outcomes[report.nodeid] = outcome


def pytest_sessionfinish(session: pytest.Session, exitstatus: int) -> None:
    if hasattr(session.config, "workerinput"):
        return  # a worker of pytest-xdist has seen only its own part
    ledger = session.config.stash[KEY]
    whole = (
        not session.config.option.collectonly
        and session.config.args == session.config.getini("testpaths")
        and not session.config.option.keyword
        and not session.config.option.deselect
        and not session.shouldstop
    )
    ledger.wrong += known_red.judge(ledger.listed, ledger.outcomes, whole)
    if ledger.wrong and session.exitstatus == 0:
        session.exitstatus = 1


def pytest_terminal_summary(terminalreporter: Any, config: pytest.Config) -> None:
    ledger = config.stash[KEY]
    for test, red in ledger.listed.items():
        terminalreporter.write_line(
            f"known red: {test}: {ledger.outcomes.get(test, 'not run')}; {red.cause} ({red.issue})"
        )
    for line in ledger.wrong:
        terminalreporter.write_line(f"KNOWN-RED.txt: {line}")
