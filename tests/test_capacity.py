"""The capacity page matches the measured slopes, its model, and the cost of starts."""

from __future__ import annotations

from pathlib import Path

import pytest

from bench.capacity import model, page, whole
from bench.capacity.figures import Figure, Host, Slopes, pool_runs, read_slopes, summarize
from bench.capacity.size import CELLS, JOB_SIZES, LIMITS, ONE_FLEET, TARGET_SIZE
from tests.world import simulate

ROOT = Path(__file__).parent.parent
SLOPES = read_slopes(ROOT / "docs/capacity/slopes.json")


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
    assert page.rendered(text, SLOPES) == text
    with pytest.raises(KeyError):
        page.rendered("<!-- table: unheard-of -->\n<!-- end -->", SLOPES)


def test_figure_has_median_and_quartiles() -> None:
    assert summarize("s", [4.0, 1.0, 3.0, 2.0, 5.0]) == Figure("s", 3.0, 2.0, 4.0, 5)
    assert summarize("s", [4.0]) == Figure("s", 4.0, 4.0, 4.0, 1)
    with pytest.raises(ValueError):
        summarize("s", [])


def test_pooled_runs_keep_outermost_quartiles() -> None:
    runs = [
        Slopes(
            "2026-01-01",
            Host("any", 1, "3.11", [load, load]),
            {"x": Figure("s", value, value - 1, value + 1, 3)},
        )
        for value, load in ((5.0, 1.0), (9.0, 2.0), (6.0, 3.0))
    ]
    combined = pool_runs(runs)
    assert combined.figures == {"x": Figure("s", 6.0, 4.0, 10.0, 9)}
    assert combined.host.loads == [1.0, 1.0, 2.0, 2.0, 3.0, 3.0]
    with pytest.raises(ValueError):
        pool_runs([*runs, uniform_slopes(1.0)])


@pytest.mark.parametrize(
    "resource, fleet, cell",
    [
        # With every slope 1, a task's start and end together cost two units of each resource.
        (
            "puts and deletes a second",
            2 * TARGET_SIZE.starts_per_second,
            2 * TARGET_SIZE.starts_per_second / TARGET_SIZE.zones,
        ),
        (
            "polls a second",
            TARGET_SIZE.running_tasks / JOB_SIZES[0] / 5,
            TARGET_SIZE.running_tasks / TARGET_SIZE.zones / JOB_SIZES[0] / 5,
        ),
        (
            "connections of peers (four for each controller)",
            4.0 * TARGET_SIZE.controller_machines,
            4.0 * (TARGET_SIZE.controller_machines // TARGET_SIZE.zones),
        ),
        (
            "workers' connections, one machine for control ended",
            TARGET_SIZE.workers / (TARGET_SIZE.controller_machines - 1),
            TARGET_SIZE.workers / TARGET_SIZE.zones,
        ),
        (
            "processor: reports",
            2 * TARGET_SIZE.starts_per_second / TARGET_SIZE.controller_machines,
            28_000 / 19 / 2,
        ),
    ],
)
def test_resource_needs_of_both_layouts(resource: str, fleet: float, cell: float) -> None:
    for layout, needed in ((ONE_FLEET, fleet), (CELLS, cell)):
        row = next(
            r for r in model.layout_rows(uniform_slopes(1.0), layout) if r.resource == resource
        )
        assert row.demand[0] == pytest.approx(needed)
        assert row.lowest_load_ratio <= row.highest_load_ratio
    assert (
        model.state_operations(uniform_slopes(1.0))[0][-1]
        == 2 * TARGET_SIZE.starts_per_second / LIMITS.state_writes
    )


# Each size guards against one fault. With 1 task, a quota record is written for a team without a
# limit. With 10 tasks, tasks that start together don't share a transaction. With 100 tasks, the
# outcomes of an array's tasks are written one by one.
@pytest.mark.parametrize("tasks", [1, 10, 100])
def test_start_and_end_take_the_stated_state_operations(
    monkeypatch: pytest.MonkeyPatch, tasks: int
) -> None:
    whole.patch_settings(monkeypatch)
    day = whole.SimulatedDay(0, tasks, "free", monkeypatch)
    simulate(monkeypatch, day.run)
    for part in ("start", "end"):
        stated = SLOPES.median(f"{part}.{tasks}_task_jobs.free.state.operations")
        assert day.costs_by_part[part]["state.operations"] == pytest.approx(stated, rel=0.15)
