"""What a controller's imports leave out, and that all it uses of the libraries works without."""

from __future__ import annotations

import subprocess
import sys
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent
REDUCED = """
import sys
from clayport.imports import BLOCKED_MODULES, STUB_MODULES, stub_unused_modules
with stub_unused_modules():
    import curio, hashlib, h11, msgspec
    import clayport.controller
left_out = (*BLOCKED_MODULES, *STUB_MODULES)
"""
EXCHANGE = """
from clayport.transport.http import Client, Server

async def handler(method, path, body):
    return 200, body, []

async def main():
    probe = curio.tcp_server_socket("127.0.0.1", 0)
    port = probe.getsockname()[1]
    await probe.close()
    serving = await curio.spawn(Server(handler, 4, 9.0, 9.0, "/v1/report").serve, "127.0.0.1", port)
    await curio.sleep(0.05)
    print(await Client("127.0.0.1", port, 1).request("POST", "/", b"{}", 5.0))
    await serving.cancel()

curio.run(main)
"""


@pytest.mark.parametrize(
    "code, printed",
    [
        # Fails without `stub_unused_modules`: curio imports them all.
        ("print([n for n in left_out if n in sys.modules])", "[]"),
        ("import ssl, asyncio, multiprocessing; print(ssl.SSLContext, asyncio.run)", "class"),
        ("import multiprocessing; print(multiprocessing.Process)", "class"),
        (
            "from clayport.membership.rendezvous import rendezvous; print(rendezvous('a', ['c0']))",
            "c0",
        ),
        ("print(curio.run(curio.run_in_thread, int, '7'))", "7"),
        (EXCHANGE, "(200, b'{}')"),
    ],
)
def test_what_is_left_out_is_not_missed(code: str, printed: str) -> None:
    found = subprocess.run(
        [sys.executable, "-c", REDUCED + code],
        cwd=ROOT,
        capture_output=True,
        text=True,
        check=False,
        timeout=60,
    )
    assert found.returncode == 0, found.stderr
    assert printed in found.stdout


def test_only_our_own_modules_are_looked_for_under_the_prefix() -> None:
    """Those of the libraries aren't there: they would be compiled again at each start.
    (Fails without the early imports of `run.py`.)"""
    code = (
        "import sys, run; print([m for m in sys.modules.values() if not m.__name__.startswith("
        "'clayport') and (getattr(m, '__cached__', None) or '').startswith(run.PYCACHE)])"
    )
    found = subprocess.run(
        [sys.executable, "-B", "-c", code], cwd=ROOT, capture_output=True, text=True, check=False
    )
    assert found.stdout.strip() == "[]", found.stderr
