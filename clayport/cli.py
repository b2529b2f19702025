"""The command line: runs a controller, or a command on snapshots of the records."""

from __future__ import annotations

import argparse
import logging
import os
import sys
from typing import TYPE_CHECKING

from clayport import __version__
from clayport.settings import ConfigError, Settings, load

if TYPE_CHECKING:
    from clayport.controller import Controller
    from clayport.operator_settings import OperatorSettings

# Values of the environment variable LOG_LEVEL.
LOG_LEVELS = {"error": logging.ERROR, "info": logging.INFO, "debug": logging.DEBUG}
DEFAULT_LOG_LEVEL = "info"
SNAPSHOT_COMMANDS = ("snapshot", "restore")
# Exit statuses. A controller only exits when it fails.
EXIT_OK, EXIT_FAILED, EXIT_USAGE = 0, 1, 2


class UsageError(Exception):
    """The command line, the environment or the settings are invalid; the text says why."""


def build_parser() -> argparse.ArgumentParser:
    """Build the command-line parser."""
    parser = argparse.ArgumentParser(
        prog="clayport",
        description="Run one controller of clayport.",
        epilog="`clayport snapshot --help` and `clayport restore --help`: copies of the records, "
        "and putting them back.",
    )
    parser.add_argument(
        "--config", metavar="FILE", required=True, help="the platform's settings (JSON)"
    )
    parser.add_argument(
        "--operator", metavar="FILE", help="the operator's own settings (protobuf text format)"
    )
    parser.add_argument("--check", action="store_true", help="check the settings and exit")
    parser.add_argument("--version", action="version", version=f"clayport {__version__}")
    return parser


def main(argv: list[str] | None = None) -> int:
    """Run a controller or a snapshot command; return the exit status."""
    arguments = sys.argv[1:] if argv is None else argv
    try:
        if arguments and arguments[0] in SNAPSHOT_COMMANDS:
            return _run_snapshot_command(arguments)
        return _run(build_parser().parse_args(arguments))
    except UsageError as exc:
        print(exc, file=sys.stderr)
        return EXIT_USAGE


def _run(args: argparse.Namespace) -> int:
    """Check the settings and, unless only that was asked for, run the controller."""
    log_level = _log_level()
    settings, operator = _load_settings(args.config, args.operator)
    if args.check:
        print("settings are valid")
        return EXIT_OK
    logging.basicConfig(
        level=log_level, stream=sys.stderr, format="%(levelname)s %(name)s %(message)s"
    )
    # Imported here because `--check` does not need curio.
    import curio

    controller = _build_controller(settings, operator)
    curio.run(controller.run)
    return EXIT_FAILED


def _run_snapshot_command(arguments: list[str]) -> int:
    # Imported here because a controller without snapshots does not need these libraries.
    try:
        from clayport.rebuild import commands
    except ModuleNotFoundError as exc:
        raise UsageError(f"clayport: needs {exc.name}: pip install clayport[snapshots]") from None
    return commands.main(arguments)


def _log_level() -> int:
    name = os.environ.get("LOG_LEVEL") or DEFAULT_LOG_LEVEL
    if name not in LOG_LEVELS:
        raise UsageError(f"LOG_LEVEL: {name!r} is none of error, info, debug")
    return LOG_LEVELS[name]


def _load_settings(
    path: str, operator_path: str | None
) -> tuple[Settings, OperatorSettings | None]:
    """Load the platform's settings and, if a path is given, the operator's settings."""
    try:
        settings = load(path)
        if not operator_path:
            return settings, None
        # Imported here because protobuf costs memory and start time.
        from clayport import operator_settings

        return settings, operator_settings.load(operator_path)
    except ConfigError as exc:
        raise UsageError(f"clayport: {exc}") from None


def _build_controller(settings: Settings, operator: OperatorSettings | None) -> Controller:
    from clayport.controller import Controller
    from clayport.scheduling.refresh import AdaptiveInterval

    if operator is None:
        return Controller(settings)
    try:
        controller = Controller(
            settings,
            rebuild=operator.rebuild,
            snapshots=operator.directory,
            second_copy=operator.second_copy,
        )
    except ModuleNotFoundError as exc:
        raise UsageError(
            f"clayport: rebuild.directory needs {exc.name}: pip install clayport[snapshots]"
        ) from None
    controller.cached_state.adaptive_interval = AdaptiveInterval(
        operator.refresh.start_s, operator.refresh.least_s, operator.refresh.most_s
    )
    return controller
