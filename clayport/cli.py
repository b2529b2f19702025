"""The command line."""

from __future__ import annotations

import argparse
import logging
import os
import sys

from clayport import __version__
from clayport.settings import ConfigError, load

LEVELS = {"error": logging.ERROR, "info": logging.INFO, "debug": logging.DEBUG}


def parser() -> argparse.ArgumentParser:
    """Build the parser of the command line."""
    p = argparse.ArgumentParser(
        prog="clayport",
        description="Run one controller of clayport.",
        epilog="`clayport snapshot --help` and `clayport restore --help`: copies of the records, "
        "and putting them back.",
    )
    p.add_argument("--config", metavar="FILE", required=True, help="the platform's settings (JSON)")
    p.add_argument(
        "--operator", metavar="FILE", help="the operator's own settings (protobuf text format)"
    )
    p.add_argument("--check", action="store_true", help="check the settings and exit")
    p.add_argument("--version", action="version", version=f"clayport {__version__}")
    return p


def main(argv: list[str] | None = None) -> int:
    """Run the controller, or a snapshot command; return the exit status."""
    given = sys.argv[1:] if argv is None else argv
    if given and given[0] in ("snapshot", "restore"):
        try:
            from clayport.rebuild import commands
        except ModuleNotFoundError as exc:
            print(f"clayport: needs {exc.name}: pip install clayport[snapshots]", file=sys.stderr)
            return 2
        return commands.main(given)
    args = parser().parse_args(given)
    name = os.environ.get("LOG_LEVEL") or "info"
    if name not in LEVELS:
        print(f"LOG_LEVEL: {name!r} is none of error, info, debug", file=sys.stderr)
        return 2
    own = None
    try:
        settings = load(args.config)
        if args.operator:
            from clayport import operator_settings

            own = operator_settings.load(args.operator)
    except ConfigError as exc:
        print(f"clayport: {exc}", file=sys.stderr)
        return 2
    if args.check:
        print("settings are valid")
        return 0
    logging.basicConfig(
        level=LEVELS[name], stream=sys.stderr, format="%(levelname)s %(name)s %(message)s"
    )
    # Imported late: checking settings needs none of it.
    import curio

    from clayport.controller import Controller
    from clayport.scheduling.refresh import AdaptiveInterval

    if own is None:
        controller = Controller(settings)
    else:
        try:
            controller = Controller(
                settings, rebuild=own.rebuild, snapshots=own.directory, second_copy=own.second_copy
            )
        except ModuleNotFoundError as exc:
            print(
                f"clayport: rebuild.directory needs {exc.name}: pip install clayport[snapshots]",
                file=sys.stderr,
            )
            return 2
        controller.cached_state.adaptive_interval = AdaptiveInterval(
            own.refresh.start_s, own.refresh.least_s, own.refresh.most_s
        )
    curio.run(controller.run)
    return 1
