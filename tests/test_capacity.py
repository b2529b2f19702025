"""The capacity page: its sums, that it is what the slopes give, and what a start costs today."""

from __future__ import annotations

from pathlib import Path

import pytest

from bench.capacity import model, page, whole
from bench.capacity.figures import Figure, Host, Slopes, figure, pooled, read
from bench.capacity.size import CELLS, LIMITS, MIXES, ONE_FLEET, SIZE
from tests.world import simulate

ROOT = Path(__file__).parent.parent
SLOPES = read(ROOT / "docs/capacity/slopes.json")


def alike(value: float) -> Slopes:
    """Slopes of which each is the same."""
    return Slopes(
        "2026-01-01",
        Host("any", 1, "3.11", [0.0, 0.0]),
        {name: Figure("s", value, value, value, 1) for name in SLOPES.figures},
    )


def test_the_page_is_what_the_slopes_give() -> None:
    text = (ROOT / "docs/CAPACITY.md").read_text()
    assert {match[1] for match in page.MARK.findall(text)} == set(page.TABLES)
    assert page.renewed(text, SLOPES) == text
    with pytest.raises(KeyError):
        page.renewed("<!-- table: unheard-of -->\n<!-- end -->", SLOPES)


def test_a_figure_has_its_spread() -> None:
    assert figure("s", [4.0, 1.0, 3.0, 2.0, 5.0]) == Figure("s", 3.0, 2.0, 4.0, 5)
    assert figure("s", [4.0]) == Figure("s", 4.0, 4.0, 4.0, 1)
    with pytest.raises(ValueError):
        figure("s", [])


def test_runs_are_pooled_with_their_whole_spread() -> None:
    runs = [
        Slopes(
            "2026-01-01",
            Host("any", 1, "3.11", [load, load]),
            {"x": Figure("s", value, value - 1, value + 1, 3)},
        )
        for value, load in ((5.0, 1.0), (9.0, 2.0), (6.0, 3.0))
    ]
    found = pooled(runs)
    assert found.figures == {"x": Figure("s", 6.0, 4.0, 10.0, 9)}
    assert found.host.loads == [1.0, 1.0, 2.0, 2.0, 3.0, 3.0]
    with pytest.raises(ValueError):
        pooled([*runs, alike(1.0)])


@pytest.mark.parametrize(
    "resource, fleet, cell",
    [
        # With each slope 1, a start and its end cost two of everything.
        (
            "puts and deletes a second",
            2 * SIZE.starts_a_second,
            2 * SIZE.starts_a_second / SIZE.zones,
        ),
        (
            "polls a second",
            SIZE.running_tasks / MIXES[0] / 5,
            SIZE.running_tasks / SIZE.zones / MIXES[0] / 5,
        ),
        (
            "connections of peers (four for each controller)",
            4.0 * SIZE.control_machines,
            4.0 * (SIZE.control_machines // SIZE.zones),
        ),
        (
            "workers' connections, one machine for control ended",
            SIZE.workers / (SIZE.control_machines - 1),
            SIZE.workers / SIZE.zones,
        ),
        ("processor: reports", 2 * SIZE.starts_a_second / SIZE.control_machines, 28_000 / 19 / 2),
    ],
)
def test_sums(resource: str, fleet: float, cell: float) -> None:
    for layout, needed in ((ONE_FLEET, fleet), (CELLS, cell)):
        row = next(r for r in model.rows(alike(1.0), layout) if r.resource == resource)
        assert row.needed[0] == pytest.approx(needed)
        assert row.factor <= row.worst
    assert model.operations(alike(1.0))[0][-1] == 2 * SIZE.starts_a_second / LIMITS.state_writes


# What each row guards: no record of use is changed for a team without a limit (1), tasks that
# start together share a transaction (10), outcomes of an array are gathered (100).
@pytest.mark.parametrize("tasks", [1, 10, 100])
def test_a_start_and_an_end_cost_what_the_page_says(
    monkeypatch: pytest.MonkeyPatch, tasks: int
) -> None:
    whole.settings(monkeypatch)
    day = whole.Day(0, tasks, "free", monkeypatch)
    simulate(monkeypatch, day.play)
    for part in ("start", "end"):
        said = SLOPES.median(f"{part}.{tasks}_task_jobs.free.state.operations")
        assert day.found[part]["state.operations"] == pytest.approx(said, rel=0.15)
