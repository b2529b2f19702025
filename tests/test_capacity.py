"""The capacity page matches the measured slopes, its model, and the cost of starts."""

from __future__ import annotations

from pathlib import Path

import pytest

from bench.capacity import model, page, whole
from bench.capacity.figures import Figure, Host, Slopes, figure, pooled, read
from bench.capacity.size import CELLS, LIMITS, MIXES, ONE_FLEET, SIZE
from tests.world import simulate

ROOT = Path(__file__).parent.parent
SLOPES = read(ROOT / "docs/capacity/slopes.json")


def uniform_slopes(value: float) -> Slopes:
    """Return slopes whose figures all have the same value."""
    return Slopes(
        "2026-01-01",
        Host("any", 1, "3.11", [0.0, 0.0]),
        {name: Figure("s", value, value, value, 1) for name in SLOPES.figures},
    )


def test_page_tables_match_slopes_file() -> None:
    text = (ROOT / "docs/CAPACITY.md").read_text()
    assert {match[1] for match in page.MARK.findall(text)} == set(page.TABLES)
    assert page.renewed(text, SLOPES) == text
    with pytest.raises(KeyError):
        page.renewed("<!-- table: unheard-of -->\n<!-- end -->", SLOPES)


def test_figure_has_median_and_quartiles() -> None:
    assert figure("s", [4.0, 1.0, 3.0, 2.0, 5.0]) == Figure("s", 3.0, 2.0, 4.0, 5)
    assert figure("s", [4.0]) == Figure("s", 4.0, 4.0, 4.0, 1)
    with pytest.raises(ValueError):
        figure("s", [])


def test_pooled_runs_keep_outermost_quartiles() -> None:
    runs = [
        Slopes(
            "2026-01-01",
            Host("any", 1, "3.11", [load, load]),
            {"x": Figure("s", value, value - 1, value + 1, 3)},
        )
        for value, load in ((5.0, 1.0), (9.0, 2.0), (6.0, 3.0))
    ]
    combined = pooled(runs)
    assert combined.figures == {"x": Figure("s", 6.0, 4.0, 10.0, 9)}
    assert combined.host.loads == [1.0, 1.0, 2.0, 2.0, 3.0, 3.0]
    with pytest.raises(ValueError):
        pooled([*runs, uniform_slopes(1.0)])


@pytest.mark.parametrize(
    "resource, fleet, cell",
    [
        # With every slope 1, a task's start and end together cost two units of each resource.
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
def test_resource_needs_of_both_layouts(resource: str, fleet: float, cell: float) -> None:
    for layout, needed in ((ONE_FLEET, fleet), (CELLS, cell)):
        row = next(r for r in model.rows(uniform_slopes(1.0), layout) if r.resource == resource)
        assert row.needed[0] == pytest.approx(needed)
        assert row.factor <= row.worst
    assert (
        model.operations(uniform_slopes(1.0))[0][-1]
        == 2 * SIZE.starts_a_second / LIMITS.state_writes
    )


# Each size guards against one fault. With 1 task, a quota record is written for a team without a
# limit. With 10 tasks, tasks that start together don't share a transaction. With 100 tasks, the
# outcomes of an array's tasks are written one by one.
@pytest.mark.parametrize("tasks", [1, 10, 100])
def test_start_and_end_take_the_stated_state_operations(
    monkeypatch: pytest.MonkeyPatch, tasks: int
) -> None:
    whole.settings(monkeypatch)
    day = whole.Day(0, tasks, "free", monkeypatch)
    simulate(monkeypatch, day.play)
    for part in ("start", "end"):
        stated = SLOPES.median(f"{part}.{tasks}_task_jobs.free.state.operations")
        assert day.found[part]["state.operations"] == pytest.approx(stated, rel=0.15)
