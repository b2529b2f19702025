"""Opens listening sockets on addresses that a previous process may still hold."""

from __future__ import annotations

import errno
import logging
from typing import Any

import curio

log = logging.getLogger(__name__)

# The first and the longest pause, in seconds, between attempts to bind an address in use: the
# first is about the time a process takes to exit, the longest is one that users hardly notice.
MIN_PAUSE_S, MAX_PAUSE_S = 0.02, 0.5


async def open_listener(host: str, port: int, backlog: int) -> Any:
    """Return a listening socket, waiting while the address is in use.

    A process that is restarted within a fraction of a second may find its address still held by
    its predecessor, which is about to exit. An error would end the new process as well.

    Args:
        host: The host of the address.
        port: The port of the address.
        backlog: The most connections that may wait to be accepted.

    Raises:
        OSError: Listening failed for a reason other than an address in use.
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
