"""The hand-packed frames: every kind survives, nothing malformed does."""

from __future__ import annotations

from typing import Any

import pytest

from clayport.transport import frames as wire

SAMPLES: dict[str, Any] = {
    "s": "wörd",
    "b": b"\x00\xff",
    "B": 7,
    "h": -1,
    "I": 2**32 - 1,
    "Q": 2**64 - 1,
    "d": 1.5,
    "?": True,
}


def sample(schema: tuple[Any, ...]) -> tuple[Any, ...]:
    return tuple([sample(c), sample(c)] if isinstance(c, tuple) else SAMPLES[c] for c in schema)


@pytest.mark.parametrize("kind", sorted(wire.SCHEMAS))
def test_round_trip_and_truncation(kind: int) -> None:
    values = sample(wire.SCHEMAS[kind])
    frame = wire.encode(kind, 9, values)
    head, body = frame[: wire.HEADER.size], frame[wire.HEADER.size :]
    assert wire.decode_header(head) == (kind, 9, len(body))
    assert wire.decode_body(kind, body) == values
    for cut in {0, len(body) // 2, len(body) - 1}:
        with pytest.raises(wire.FrameError):
            wire.decode_body(kind, body[:cut])
    with pytest.raises(wire.FrameError):
        wire.decode_body(kind, body + b"\x00")


@pytest.mark.parametrize(
    "header",
    [
        (wire.MAGIC + 1, wire.VERSION, wire.PING, 1, 0),
        (wire.MAGIC, wire.VERSION + 1, wire.PING, 1, 0),
        (wire.MAGIC, wire.VERSION, 250, 1, 0),
        (wire.MAGIC, wire.VERSION, wire.PING, 1, wire.MAX_BODY + 1),
    ],
)
def test_bad_headers(header: tuple[int, ...]) -> None:
    with pytest.raises(wire.FrameError):
        wire.decode_header(wire.HEADER.pack(*header))


@pytest.mark.parametrize(
    "kind, values",
    [
        (wire.ACK, ()),  # a field is missing
        (wire.ACK, (True, True)),  # one too many
        (wire.COUNTS, (-1, "j-1")),  # out of range
        (wire.REPORT, (1, bytes(wire.MAX_BODY))),
    ],
)
def test_unencodable(kind: int, values: tuple[Any, ...]) -> None:
    with pytest.raises(wire.FrameError):
        wire.encode(kind, 1, values)


def test_list_longer_than_frame() -> None:
    body = (1).to_bytes(8, "big") + (2**31).to_bytes(4, "big")
    with pytest.raises(wire.FrameError):
        wire.decode_body(wire.GONE, body)
