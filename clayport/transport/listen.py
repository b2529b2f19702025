"""Listening on an address that whoever was here before may not have let go yet."""

from __future__ import annotations

import errno
import logging
from typing import Any

import curio

log = logging.getLogger(__name__)

# The first pause before an address in use is tried again, in seconds, and the longest: as
# long as it takes to end a process, up to what a user would notice.
PAUSE_S, PAUSE_MOST_S = 0.02, 0.5


async def listener(host: str, port: int, backlog: int) -> Any:
    """A listening socket.

    A process that is started again within a fraction of a second may find its own address
    still held by the one before, which is just being ended. To give up then would be one
    more end; so it is tried until it is free. Any other error is the caller's.
    """
    pause_s, told = PAUSE_S, False
    while True:
        try:
            return curio.tcp_server_socket(host, port, backlog=backlog)
        except OSError as exc:
            if exc.errno != errno.EADDRINUSE:
                raise
            if not told:
                told = True
                log.info("event=address-in-use host=%s port=%d", host, port)
        await curio.sleep(pause_s)
        pause_s = min(PAUSE_MOST_S, 2 * pause_s)
