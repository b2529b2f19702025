"""The imports block or stub modules, and everything that a controller uses works without them."""

from __future__ import annotations

import subprocess
import sys
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent
IMPORTS = """
import sys
from clayport.imports import BLOCKED_MODULES, STUB_MODULES, stub_unused_modules
with stub_unused_modules():
    import curio, hashlib, h11, msgspec
    import clayport.controller
replaced = (*BLOCKED_MODULES, *STUB_MODULES)
"""
HTTP_EXCHANGE = """
from clayport.transport.http import Client, Server

async def handler(method, path, body):
    return 200, body, []

async def main():
    probe = curio.tcp_server_socket("127.0.0.1", 0)
    port = probe.getsockname()[1]
    await probe.close()
    server = await curio.spawn(Server(handler, 4, 9.0, 9.0, "/v1/report").serve, "127.0.0.1", port)
    await curio.sleep(0.05)
    print(await Client("127.0.0.1", port, 1).request("POST", "/", b"{}", 5.0))
    await server.cancel()

curio.run(main)
"""


@pytest.mark.parametrize(
    "code, expected",
    [
        # Without `stub_unused_modules`, curio imports all of them.
        ("print([n for n in replaced if n in sys.modules])", "[]"),
        ("import ssl, asyncio, multiprocessing; print(ssl.SSLContext, asyncio.run)", "class"),
        ("import multiprocessing; print(multiprocessing.Process)", "class"),
        (
            "from clayport.membership.rendezvous import rendezvous; print(rendezvous('a', ['c0']))",
            "c0",
        ),
        ("print(curio.run(curio.run_in_thread, int, '7'))", "7"),
        (HTTP_EXCHANGE, "(200, b'{}')"),
    ],
)
def test_replaced_modules_are_not_missed(code: str, expected: str) -> None:
    result = subprocess.run(
        [sys.executable, "-c", IMPORTS + code],
        cwd=ROOT,
        capture_output=True,
        text=True,
        check=False,
        timeout=60,
    )
    assert result.returncode == 0, result.stderr
    assert expected in result.stdout


def test_only_clayport_modules_use_the_pycache_prefix() -> None:
    """The compiled files of libraries are not under the prefix, so a library that is imported with
    the prefix is compiled again at each start. The early imports of `run.py` prevent that.
    """
    code = (
        "import sys, run; print([m for m in sys.modules.values() if not m.__name__.startswith("
        "'clayport') and (getattr(m, '__cached__', None) or '').startswith(run.PYCACHE)])"
    )
    result = subprocess.run(
        [sys.executable, "-B", "-c", code], cwd=ROOT, capture_output=True, text=True, check=False
    )
    assert result.stdout.strip() == "[]", result.stderr
