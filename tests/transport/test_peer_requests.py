"""The table of peers' requests: every kind has its method, and the epoch is checked."""

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
from tests.test_program import GOOD

ANSWERS = {
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
# What acts in any epoch, and why that is safe.
ANY_GENERATION = {
    frames.PING,  # tells, and asks for nothing
    frames.HEARTBEAT,
    frames.JOB_ENDED,  # final states never change
    frames.HISTORY,
    frames.EVIDENCE,
    frames.INSPECT,  # reads only
    frames.GONE,  # names are not used again
    frames.REPORT,  # checked by its method, after it has been read
}
EXAMPLES: dict[str, Any] = {"s": "m1", "b": b"{}", "?": False, "Q": 7, "I": 1, "d": 1.0}


def example(schema: frames.Schema) -> tuple[Any, ...]:
    """Values that a frame of the schema can carry; lists have one record."""
    return tuple([example(c)] if isinstance(c, tuple) else EXAMPLES[c] for c in schema)


def test_every_kind_that_asks_has_a_method() -> None:
    # Fails with any row taken out of HANDLERS.
    assert set(HANDLERS) == set(frames.SCHEMAS) - ANSWERS


@pytest.mark.parametrize("kind", sorted(HANDLERS))
def test_a_method_takes_the_fields_of_its_frame(kind: int) -> None:
    inspect.signature(HANDLERS[kind].method).bind(None, *example(frames.SCHEMAS[kind]))


@pytest.mark.parametrize("kind", sorted(set(HANDLERS) - ANY_GENERATION))
@pytest.mark.parametrize("number, serving", [(7, False), (6, True), (8, True)])
def test_what_acts_is_refused_in_another_epoch(
    monkeypatch: pytest.MonkeyPatch, kind: int, number: int, serving: bool
) -> None:
    # Fails for every row whose refusal is taken out, and with `serving` not asked for.
    async def never(*_: Any) -> Any:
        raise AssertionError("carried out")

    monkeypatch.setitem(HANDLERS, kind, HANDLERS[kind]._replace(method=never))
    c = Controller(parse(json.dumps(GOOD).encode()))
    c.membership.epoch, c.membership.serving = (
        Epoch(number, {c.membership.label: c.membership.incarnation}, 1),
        serving,
    )
    reply, answer = curio.run(c.peer_requests.answer, kind, example(frames.SCHEMAS[kind]))
    assert not answer[0] and frames.encode(reply, 1, answer)
