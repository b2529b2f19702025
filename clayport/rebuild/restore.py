"""Restores a snapshot of the records to the state service while no controller runs.

All records are read and checked before anything is written. The writes belong to a new history
that is left in the state `REBUILDING`. Controllers that are started afterwards ask the machines
which tasks run, and complete the rebuild.
"""

from __future__ import annotations

import sys
from collections.abc import Mapping
from typing import Any, NamedTuple

from clayport.rebuild import plan
from clayport.rebuild.files import Header, Snapshot
from clayport.rebuild.history import (
    HISTORY_KEY,
    PREFIXES,
    REBUILDING,
    anchor_key,
    anchor_value,
    is_anchor,
)
from clayport.rebuild.merge import Merged, merge
from clayport.rebuild.recorder import snapshot_evidence
from clayport.records.chunk import chunk_size
from clayport.records.errors import ConflictError, OutcomeUnknownError, UnavailableError
from clayport.records.keys import NODE_PREFIX
from clayport.records.store import StateStore
from clayport.records.transaction import Txn
from clayport.settings import Settings

Records = dict[str, tuple[Any, int]]  # key: value, revision

# Stored in the head in place of a controller's label.
WRITER = "clayport restore"


class RestoreRefusedError(Exception):
    """The snapshot can't be restored; the message gives the reason."""


class ControllersRunningError(RestoreRefusedError):
    """Controllers are running, which rebuild the records without a restore."""

    def __init__(self, labels: list[str]) -> None:
        super().__init__(
            f"controllers are running ({', '.join(labels)}): they rebuild by themselves"
        )


class OutdatedSnapshotError(RestoreRefusedError):
    """The records belong to a later history than the snapshot."""

    def __init__(self, snapshot_number: int, head_number: int) -> None:
        super().__init__(
            f"the snapshot is of history {snapshot_number}, the records of "
            f"{head_number}: they have been rebuilt since"
        )


class RecordsChangedError(RestoreRefusedError):
    """Another process has written to the records since they were read."""

    def __init__(self) -> None:
        super().__init__("the records have changed meanwhile: begin again")


class Head(NamedTuple):
    """The record that names the history of the records.

    Attributes:
        name: The history's name.
        number: The number of the history; each rebuild increments it.
        writer: The controller that wrote the record, or `WRITER`; empty if unknown.
        revision: The revision of the record.
    """

    name: str
    number: int
    writer: str
    revision: int


def read_head(records: Records) -> Head | None:
    """Return the parsed head record; None if the records belong to no history."""
    stored = records.get(HISTORY_KEY)
    if stored is None:
        return None
    value, revision = stored
    return Head(str(value["id"]), int(value["n"]), str(value.get("by", "")), revision)


async def read_all(store: StateStore) -> tuple[Records, int]:
    """Read all records; return them and a revision up to which they contain all changes.

    Progress is printed to stderr.

    Raises:
        UnavailableError: The state service doesn't answer.
    """
    return await store.scan_all(
        PREFIXES, read=lambda prefix, count: print(f"{prefix} {count} records", file=sys.stderr)
    )


def check_allowed(snapshot: Snapshot, records: Records) -> None:
    """Check that the present state of the records allows a restore of the snapshot.

    Raises:
        ControllersRunningError: A controller is registered.
        OutdatedSnapshotError: The records have been rebuilt since the snapshot.
    """
    labels = sorted(key[len(NODE_PREFIX) :] for key in records if key.startswith(NODE_PREFIX))
    if labels:
        raise ControllersRunningError(labels)
    head = read_head(records)
    # An interrupted restore may be repeated. Its history has the next number after the snapshot's.
    if head is not None and head.number > snapshot.header.number + (head.writer == WRITER):
        raise OutdatedSnapshotError(snapshot.header.number, head.number)


def plan_restore(settings: Settings, snapshot: Snapshot, records: Records) -> Merged:
    """Compute the changes of the records that restore the snapshot."""
    limits = {team.name: (team.cpus_max, team.gpus_max) for team in settings.cluster.teams}
    evidence = snapshot_evidence(snapshot, "snapshot")
    return merge(
        {key: row for key, row in records.items() if not is_anchor(key)},
        {evidence.label: evidence},
        (),
        limits,
        chunk_size(settings.cluster.state.value_kb),
    )


async def write(
    store: StateStore,
    header: Header,
    records: Records,
    changes: Mapping[str, Any],
    txn_ops: int,
) -> None:
    """Begin a history for the restore and write the changes under it.

    Args:
        store: The state service.
        header: The header of the snapshot.
        records: The records as read and checked.
        changes: The new value by key; None removes the key.
        txn_ops: The number of writes that the state service accepts in a transaction.

    Raises:
        RecordsChangedError: Another process has written meanwhile.
    """
    name = f"restored-{header.history or 'none'}-{header.rev}"
    await _begin_history(store, name, header.number + 1, records)
    records, _ = await read_all(store)
    anchor = anchor_key("c/", name)
    written = 0
    for txn in plan.transactions(changes, records, (anchor, records[anchor][1]), txn_ops):
        await _commit(store, txn)
        written += len(txn.writes)
        print(f"{written} of {len(changes)}", file=sys.stderr)


async def _begin_history(store: StateStore, name: str, number: int, records: Records) -> None:
    """End the earlier history, so that no commit that was sent under it can be applied."""
    head = read_head(records)
    txn = Txn().require(HISTORY_KEY, head.revision if head else 0)
    for key, (_, revision) in records.items():
        if key.startswith("c/~") and key != anchor_key("c/", name):
            txn.require(key, revision).delete(key)
    txn.put(anchor_key("c/", name), anchor_value(name))
    txn.put(HISTORY_KEY, {"id": name, "n": number, "state": REBUILDING, "by": WRITER})
    await _commit(store, txn)


async def _commit(store: StateStore, txn: Txn) -> None:
    """Commit, and retry until the commit is known to be applied.

    Raises:
        RecordsChangedError: A condition doesn't hold.
    """
    attempt = store.begin_request()
    may_be_applied = False
    while True:
        try:
            await store.commit(txn)
            return
        except ConflictError:
            # An earlier attempt without an answer was applied, and this attempt conflicts with it.
            if may_be_applied:
                return
            raise RecordsChangedError from None
        except OutcomeUnknownError:
            may_be_applied = True
        except UnavailableError:
            pass
        await store.back_off(attempt)
