"""Tests of the adaptive refresh interval."""

import pytest

from clayport.scheduling.refresh import AdaptiveInterval


@pytest.mark.parametrize(
    "placed, declined, expected",
    [
        (100, 0, 11.0),  # nothing declined: grows 1.1 times
        (0, 0, 11.0),  # no attempts: ratio 0
        (94, 6, 5.0),  # above 5 %: halves
        (95, 5, 10.0),  # exactly 5 %: unchanged
        (96, 4, 10.0),  # between the thresholds: unchanged
        (97, 3, 10.0),  # exactly 3 %: unchanged
        (98, 2, 11.0),  # below 3 %: grows
        (4, 1, 10.0),  # one of five declined: too few attempts to evaluate
    ],
)
def test_step(placed: int, declined: int, expected: float) -> None:
    interval = AdaptiveInterval(10.0, 1.0, 60.0)
    interval.count(placed, declined)
    assert interval.step() == pytest.approx(expected)


def test_bounds() -> None:
    interval = AdaptiveInterval(10.0, 1.0, 60.0)
    for _ in range(10):
        interval.count(0, 100)
        interval.step()
    assert interval.interval_s == 1.0
    for _ in range(100):
        interval.step()
    assert interval.interval_s == 60.0


def test_sparse_window_is_carried_over() -> None:
    interval = AdaptiveInterval(10.0, 1.0, 60.0)
    for _ in range(4):
        interval.count(4, 1)
        interval.step()
    assert interval.interval_s == 5.0
