"""Put a snapshot of the records back into the state service, while no controller runs.

All is read and checked before anything is written. The writes belong to a history of their
own that is left in the state `REBUILDING`: controllers that are started then ask the machines
what runs, and complete the rebuild.
"""

from __future__ import annotations

import sys
from collections.abc import Mapping
from typing import Any, NamedTuple

from clayport.rebuild import plan
from clayport.rebuild.files import Header, Snapshot
from clayport.rebuild.history import (
    HEAD_KEY,
    PREFIXES,
    REBUILDING,
    anchor_key,
    anchor_value,
    is_anchor,
)
from clayport.rebuild.merge import Merged, merge
from clayport.rebuild.recorder import remembered
from clayport.records.chunk import chunk_size
from clayport.records.errors import ConflictError, OutcomeUnknownError, UnavailableError
from clayport.records.keys import NODE_PREFIX
from clayport.records.store import StateStore
from clayport.records.transaction import Txn
from clayport.settings import Settings

Records = dict[str, tuple[Any, int]]  # key: value, revision

# Written to the head where a controller would write its label.
WRITER = "clayport restore"


class RestoreRefusedError(Exception):
    """The snapshot can't be put back; the message says why."""


class ControllersRunningError(RestoreRefusedError):
    """Controllers are running, and rebuild the records by themselves."""

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
    """Somebody else has written to the records since they were read."""

    def __init__(self) -> None:
        super().__init__("the records have changed meanwhile: begin again")


class Head(NamedTuple):
    """The record that names the history of the records.

    Attributes:
        name: The history's name.
        number: Its number; one more with each rebuild.
        writer: The controller that wrote the record, or `WRITER`; empty if not known.
        revision: The revision of the record.
    """

    name: str
    number: int
    writer: str
    revision: int


def read_head(records: Records) -> Head | None:
    """Return the head among the records; None if they belong to no history."""
    found = records.get(HEAD_KEY)
    if found is None:
        return None
    value, revision = found
    return Head(str(value["id"]), int(value["n"]), str(value.get("by", "")), revision)


async def read_all(store: StateStore) -> tuple[Records, int]:
    """Read every record, and a revision up to which all changes are among them.

    Progress goes to stderr.

    Raises:
        UnavailableError: The state service doesn't answer.
    """
    return await store.scan_all(
        PREFIXES, read=lambda prefix, count: print(f"{prefix} {count} records", file=sys.stderr)
    )


def check_allowed(found: Snapshot, records: Records) -> None:
    """Check that the snapshot may be put back over the records as they are.

    Raises:
        ControllersRunningError: A controller is present.
        OutdatedSnapshotError: The records have been rebuilt since the snapshot.
    """
    labels = sorted(key[len(NODE_PREFIX) :] for key in records if key.startswith(NODE_PREFIX))
    if labels:
        raise ControllersRunningError(labels)
    head = read_head(records)
    # A restore that was begun before may be run again: its history is one later.
    if head is not None and head.number > found.header.number + (head.writer == WRITER):
        raise OutdatedSnapshotError(found.header.number, head.number)


def plan_restore(settings: Settings, found: Snapshot, records: Records) -> Merged:
    """Work out what putting the snapshot back changes of the records."""
    limits = {team.name: (team.cpus_max, team.gpus_max) for team in settings.cluster.teams}
    evidence = remembered(found, "snapshot")
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
    """Begin the history of the restore, and write the changes under it.

    Args:
        store: The state service.
        header: The header of the snapshot.
        records: The records as they were read and checked.
        changes: The new value by key; None: to be removed.
        txn_ops: Writes that the state service takes in a transaction.

    Raises:
        RecordsChangedError: Somebody else has written meanwhile.
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
    """End the history that was, so that no commit sent under it is applied any more."""
    head = read_head(records)
    txn = Txn().require(HEAD_KEY, head.revision if head else 0)
    for key, (_, revision) in records.items():
        if key.startswith("c/~") and key != anchor_key("c/", name):
            txn.require(key, revision).delete(key)
    txn.put(anchor_key("c/", name), anchor_value(name))
    txn.put(HEAD_KEY, {"id": name, "n": number, "state": REBUILDING, "by": WRITER})
    await _commit(store, txn)


async def _commit(store: StateStore, txn: Txn) -> None:
    """Commit, and retry until it is known to be applied.

    Raises:
        RecordsChangedError: A condition doesn't hold.
    """
    attempt = store.begin()
    may_be_applied = False
    while True:
        try:
            await store.commit(txn)
            return
        except ConflictError:
            # After an attempt without an answer: it was applied, and its own writes conflict.
            if may_be_applied:
                return
            raise RecordsChangedError from None
        except OutcomeUnknownError:
            may_be_applied = True
        except UnavailableError:
            pass
        await store.back_off(attempt)
