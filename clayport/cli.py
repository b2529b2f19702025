"""The command line."""

from __future__ import annotations

import argparse
import logging
import os
import socket
import sys
from collections.abc import Callable

from . import __version__
from .config import ConfigError, endpoint, load

LEVELS = {"error": logging.ERROR, "info": logging.INFO, "debug": logging.DEBUG}


def parser() -> argparse.ArgumentParser:
    p = argparse.ArgumentParser(prog="clayport", description="Run one controller of clayport.")
    p.add_argument("--config", metavar="FILE", required=True, help="the platform's settings (JSON)")
    p.add_argument("--operator", metavar="FILE",
                   help="the operator's own settings (protobuf text format)")
    p.add_argument("--check", action="store_true", help="check the settings and exit")
    p.add_argument("--version", action="version", version=f"clayport {__version__}")
    return p


def listen(address: str, field: str, backlog: int) -> socket.socket:
    """A listening socket at one of our addresses."""
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.bind(endpoint(address, field))
    sock.listen(backlog)
    return sock


def main(argv: list[str] | None = None, libraries: Callable[[], None] | None = None) -> int:
    """Run the command line; `libraries` imports what takes long, once we listen."""
    args = parser().parse_args(argv)
    name = os.environ.get("LOG_LEVEL") or "info"
    if name not in LEVELS:
        print(f"LOG_LEVEL: {name!r} is none of error, info, debug", file=sys.stderr)
        return 2
    refresh = None
    try:
        settings = load(args.config)
        if args.operator:
            from . import operator
            refresh = operator.load(args.operator).refresh
    except ConfigError as exc:
        print(f"clayport: {exc}", file=sys.stderr)
        return 2
    if args.check:
        print("settings are valid")
        return 0
    logging.basicConfig(level=LEVELS[name], stream=sys.stderr,
                        format="%(levelname)s %(name)s %(message)s")
    # Listening comes before the imports: connections wait in the backlog instead of
    # being refused, which costs a worker a second of what is left of its lease. (When
    # all controllers ended at once, hundreds of tasks were lost by less than that.)
    try:
        sockets = [listen(settings.bind, "bind", 128), listen(settings.peer_bind, "peer_bind", 32)]
    except OSError as exc:
        print(f"clayport: {settings.bind}, {settings.peer_bind}: {exc.strerror}", file=sys.stderr)
        return 2
    if libraries is not None:
        libraries()
    import curio

    from .refresh import Asc
    from .server import Controller
    controller = Controller(settings)
    if refresh is not None:
        controller.dispatch.asc = Asc(refresh.start_s, refresh.least_s, refresh.most_s)
    curio.run(controller.run, *sockets)
    return 1
