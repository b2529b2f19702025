"""The handlers of peer requests: every request kind has one, and the epoch is checked."""

from __future__ import annotations

import inspect
import json
from typing import Any

import curio
import pytest

from clayport.controller import Controller
from clayport.membership.epoch import Epoch
from clayport.peer_requests import HANDLERS
from clayport.settings import parse
from clayport.transport import frames
from tests.test_program import VALID_SETTINGS

REPLY_KINDS = {
    frames.PONG,
    frames.HEARTBEAT_REPLY,
    frames.RESERVED,
    frames.ACK,
    frames.VERDICTS,
    frames.TABLE,
    frames.COUNTED,
    frames.REPORTED,
    frames.HISTORY_REPLY,
    frames.EVIDENCE_REPLY,
}
# The kinds that are handled in any epoch, and why that is safe.
ANY_EPOCH = {
    frames.PING,  # a ping only informs the receiver
    frames.HEARTBEAT,
    frames.JOB_ENDED,  # final states never change
    frames.HISTORY,
    frames.EVIDENCE,
    frames.INSPECT,  # an inspection only reads
    frames.GONE,  # machine names are not reused
    frames.REPORT,  # its method checks the epoch after decoding
}
EXAMPLE_VALUES: dict[str, Any] = {"s": "m1", "b": b"{}", "?": False, "Q": 7, "I": 1, "d": 1.0}


def example_values(schema: frames.Schema) -> tuple[Any, ...]:
    """Return valid field values for a schema; lists have one record."""
    return tuple([example_values(c)] if isinstance(c, tuple) else EXAMPLE_VALUES[c] for c in schema)


def test_every_request_kind_has_a_handler() -> None:
    # This test fails if any entry of HANDLERS is removed.
    assert set(HANDLERS) == set(frames.SCHEMAS) - REPLY_KINDS


@pytest.mark.parametrize("kind", sorted(HANDLERS))
def test_handlers_take_the_fields_of_their_frames(kind: int) -> None:
    inspect.signature(HANDLERS[kind].method).bind(None, *example_values(frames.SCHEMAS[kind]))


@pytest.mark.parametrize("kind", sorted(set(HANDLERS) - ANY_EPOCH))
@pytest.mark.parametrize("epoch, serving", [(7, False), (6, True), (8, True)])
def test_requests_from_another_epoch_are_refused(
    monkeypatch: pytest.MonkeyPatch, kind: int, epoch: int, serving: bool
) -> None:
    # This test fails if an entry doesn't refuse other epochs, or if `serving` is not checked.
    async def must_not_run(*_: Any) -> Any:
        raise AssertionError("the request was handled")

    monkeypatch.setitem(HANDLERS, kind, HANDLERS[kind]._replace(method=must_not_run))
    c = Controller(parse(json.dumps(VALID_SETTINGS).encode()))
    c.membership.epoch, c.membership.serving = (
        Epoch(epoch, {c.membership.label: c.membership.incarnation}, 1),
        serving,
    )
    reply, fields = curio.run(c.peer_requests.answer, kind, example_values(frames.SCHEMAS[kind]))
    assert not fields[0] and frames.encode(reply, 1, fields)
