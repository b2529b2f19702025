"""Frames: every kind survives a round trip, and malformed frames are rejected."""

from __future__ import annotations

from typing import Any

import pytest

from clayport.transport import frames

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


def sample_values(schema: tuple[Any, ...]) -> tuple[Any, ...]:
    return tuple(
        [sample_values(c), sample_values(c)] if isinstance(c, tuple) else SAMPLES[c] for c in schema
    )


@pytest.mark.parametrize("kind", sorted(frames.SCHEMAS))
def test_frames_round_trip_and_reject_truncation(kind: int) -> None:
    values = sample_values(frames.SCHEMAS[kind])
    frame = frames.encode(kind, 9, values)
    head, body = frame[: frames.HEADER.size], frame[frames.HEADER.size :]
    assert frames.decode_header(head) == (kind, 9, len(body))
    assert frames.decode_body(kind, body) == values
    for length in {0, len(body) // 2, len(body) - 1}:
        with pytest.raises(frames.FrameError):
            frames.decode_body(kind, body[:length])
    with pytest.raises(frames.FrameError):
        frames.decode_body(kind, body + b"\x00")


@pytest.mark.parametrize(
    "header",
    [
        (frames.MAGIC + 1, frames.VERSION, frames.PING, 1, 0),
        (frames.MAGIC, frames.VERSION + 1, frames.PING, 1, 0),
        (frames.MAGIC, frames.VERSION, 250, 1, 0),
        (frames.MAGIC, frames.VERSION, frames.PING, 1, frames.MAX_BODY + 1),
    ],
)
def test_invalid_headers_are_rejected(header: tuple[int, ...]) -> None:
    with pytest.raises(frames.FrameError):
        frames.decode_header(frames.HEADER.pack(*header))


@pytest.mark.parametrize(
    "kind, values",
    [
        (frames.ACK, ()),  # a field is missing
        (frames.ACK, (True, True)),  # one field too many
        (frames.COUNTS, (-1, "j-1")),  # out of range
        (frames.REPORT, (1, bytes(frames.MAX_BODY))),  # body too long
    ],
)
def test_values_that_do_not_match_the_schema_are_rejected(
    kind: int, values: tuple[Any, ...]
) -> None:
    with pytest.raises(frames.FrameError):
        frames.encode(kind, 1, values)


def test_a_list_longer_than_its_frame_is_rejected() -> None:
    body = (1).to_bytes(8, "big") + (2**31).to_bytes(4, "big")
    with pytest.raises(frames.FrameError):
        frames.decode_body(frames.GONE, body)
