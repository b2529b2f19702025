"""Listening on an address that the process before may still hold."""

from __future__ import annotations

import errno
import logging
from typing import Any

import curio

log = logging.getLogger(__name__)

# The first and the longest pause, in seconds, before an address in use is tried again: as long
# as it takes to end a process, up to what a user would notice.
MIN_PAUSE_S, MAX_PAUSE_S = 0.02, 0.5


async def listener(host: str, port: int, backlog: int) -> Any:
    """Return a listening socket, once the address is free.

    A process that is started again within a fraction of a second may find its address still
    held by the one before, which is just ending. Giving up would end this one too.

    Args:
        host: The address's host.
        port: Its port.
        backlog: How many connections may wait to be accepted.

    Raises:
        OSError: Listening failed for any other reason than an address in use.
    """
    pause_s, logged = MIN_PAUSE_S, False
    while True:
        try:
            return curio.tcp_server_socket(host, port, backlog=backlog)
        except OSError as exc:
            if exc.errno != errno.EADDRINUSE:
                raise
            if not logged:
                logged = True
                log.info("event=address-in-use host=%s port=%d", host, port)
        await curio.sleep(pause_s)
        pause_s = min(MAX_PAUSE_S, 2 * pause_s)
