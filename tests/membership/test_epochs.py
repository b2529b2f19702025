"""Tests of epochs, isolation and the assignment of keys to members."""

from __future__ import annotations

import pytest

from clayport.machines.tokens import initial_token
from clayport.membership.epoch import Epoch, next_epoch
from clayport.membership.isolation import should_leave
from clayport.membership.rendezvous import rendezvous


@pytest.mark.parametrize(
    "members, present, proposed",
    [
        ({}, {"a": "1"}, {"a": "1"}),
        ({"a": "1"}, {"a": "1"}, None),
        ({"a": "1"}, {"a": "2"}, {"a": "2"}),  # a has restarted, so its token counters are lost
        ({"a": "1", "b": "1"}, {"b": "1"}, {"b": "1"}),
        ({"a": "1"}, {}, None),  # no controller is left
    ],
)
def test_successor(
    members: dict[str, str], present: dict[str, str], proposed: dict[str, str] | None
) -> None:
    current = Epoch(4, members, 9)
    found = next_epoch(current, present)
    assert (found.members if found else None) == proposed
    assert found is None or initial_token(found.number) > initial_token(current.number)


@pytest.mark.parametrize(
    "label, present, heard, leave",
    [
        ("a", ["a"], [], False),  # the only controller
        ("a", ["a", "b", "c"], [], True),  # both peers are present but unreachable
        ("a", ["a", "b", "c"], ["b"], False),
        ("a", ["a", "b"], [], False),  # a sorts before b, so a stays a member
        ("b", ["a", "b"], [], True),
        ("b", ["a", "b"], ["a"], False),
    ],
)
def test_should_leave(label: str, present: list[str], heard: list[str], leave: bool) -> None:
    assert should_leave(100.0, label, {p: 99.0 for p in heard}, present, 5.0) == leave


def test_rendezvous_moves_only_the_keys_of_a_lost_member() -> None:
    keys = [f"j-{i}" for i in range(300)]
    before = {k: rendezvous(k, ["a", "b", "c"]) for k in keys}
    after = {k: rendezvous(k, ["a", "b"]) for k in keys}
    assert all(after[k] == before[k] for k in keys if before[k] != "c")
    assert all(60 < sum(v == m for v in before.values()) < 140 for m in "abc")
