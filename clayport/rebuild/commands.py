"""`clayport snapshot take|verify|show` and `clayport restore`, for people.

Nothing is written anywhere before all of it has been read and checked. A restore writes
under a history of its own that is left as being rebuilt: the controllers, when they are
started, ask the machines what runs and go on from there.
"""

from __future__ import annotations

import argparse
import sys
import time
from collections import Counter
from pathlib import Path
from typing import Any

import curio

from clayport.rebuild import files, plan
from clayport.rebuild.files import Found, Header, SnapshotError
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
from clayport.records.store import (
    ConflictError,
    OutcomeUnknownError,
    StateStore,
    Txn,
    UnavailableError,
)
from clayport.settings import ConfigError, Settings, endpoint, load

# Who writes, where a controller's label would stand.
BY = "clayport restore"


class RestoreRefusedError(Exception):
    """It can't be done; the message says why."""


def parser() -> argparse.ArgumentParser:
    """Build the parser of the `snapshot` and `restore` commands."""
    p = argparse.ArgumentParser(
        prog="clayport", description="Snapshots of the records, and putting them back."
    )
    verbs = p.add_subparsers(dest="verb", required=True)
    snapshot = verbs.add_parser("snapshot", help="take, verify or show snapshots")
    actions = snapshot.add_subparsers(dest="action", required=True)
    take = actions.add_parser("take", help="read all records and write a base")
    take.add_argument(
        "--config",
        metavar="FILE",
        required=True,
        help="the settings of one of the controllers (JSON)",
    )
    take.add_argument("directory", type=Path)
    for name, text in (
        ("verify", "read every file; exit 1 if one is damaged"),
        ("show", "what the newest that can be used holds"),
    ):
        action = actions.add_parser(name, help=text)
        action.add_argument("directory", type=Path)
        if name == "show":
            action.add_argument("--config", metavar="FILE", help="only of this deployment")
    restore = verbs.add_parser(
        "restore",
        help="put the newest snapshot back (says what it would do unless --write)",
        description="With no controller running. Without --write nothing is changed.",
    )
    restore.add_argument(
        "--config",
        metavar="FILE",
        required=True,
        help="the settings of one of the controllers (JSON)",
    )
    restore.add_argument("--write", action="store_true", help="do it")
    restore.add_argument("directory", type=Path)
    return p


def main(argv: list[str]) -> int:
    """Run a `snapshot` or `restore` command; return the exit status."""
    args = parser().parse_args(argv)
    status: int
    try:
        if args.verb == "restore":
            status = curio.run(_restore, load(args.config), args.directory, args.write)
            return status
        if args.action == "take":
            status = curio.run(_take, load(args.config), args.directory)
            return status
        if args.action == "verify":
            return _verify(args.directory)
        return _show(args.directory, load(args.config) if args.config else None)
    except (ConfigError, SnapshotError, RestoreRefusedError) as exc:
        print(f"clayport: {exc}", file=sys.stderr)
    except OSError as exc:
        print(f"clayport: {exc}", file=sys.stderr)
    except (UnavailableError, OutcomeUnknownError, ConflictError) as exc:
        print(f"clayport: state service: {exc}", file=sys.stderr)
    return 2


def store_of(settings: Settings) -> StateStore:
    """The state service, with a controller's share of its limits."""
    state, workers = settings.cluster.state, settings.cluster.workers
    return StateStore(
        *endpoint(settings.services.state, "services.state"),
        state.rps,
        state.write_rps,
        0.2 * workers.lease_s,
        settings.cluster.size,
    )


async def read_all(store: StateStore) -> tuple[dict[str, tuple[Any, int]], int]:
    """Every record, and a revision up to which all changes are among them."""
    return await store.scan_all(
        PREFIXES, read=lambda prefix, count: print(f"{prefix} {count} records", file=sys.stderr)
    )


async def _take(settings: Settings, directory: Path) -> int:
    found, rev = await read_all(store_of(settings))
    head = found.get(HEAD_KEY)
    directory.mkdir(parents=True, exist_ok=True)
    header = Header(
        "base",
        list(settings.labels),
        str(head[0]["id"]) if head else "",
        int(head[0]["n"]) if head else 0,
        rev,
        time.time(),
    )
    print(files.write_base(directory, header, files.rows_of(found)))
    return 0


def _verify(directory: Path) -> int:
    if not directory.is_dir():
        raise SnapshotError(f"{directory}: no such directory")
    bad = 0
    for path in files.bases(directory):
        try:
            header, records = files.read_base(path)
        except SnapshotError as exc:
            print(f"DAMAGED {exc}")
            bad += 1
            continue
        log = path.with_name("log" + path.name[len("base") :])
        rev, why = files.read_log(log, header, records) if log.exists() else (header.rev, "")
        print(
            f"good    {path}: revision {header.rev}, with its log {rev}, "
            f"{len(records)} records" + (f"; {why}" if why else "")
        )
    if not files.bases(directory):
        raise SnapshotError(f"{directory}: no records")
    return 1 if bad else 0


def counts(found: Found) -> str:
    """Describe how many records of each kind a snapshot holds."""
    kinds = Counter(
        k.partition("/")[0] if not k.startswith("c/") else k.split("/")[1]
        for k in found.records
        if not is_anchor(k)
    )
    return ", ".join(f"{name} {count}" for name, count in sorted(kinds.items()))


def _show(directory: Path, settings: Settings | None) -> int:
    labels = settings.labels if settings is not None else None
    if labels is None:
        for path in files.bases(directory):
            try:
                labels = files.read_header(path).labels
                break
            except SnapshotError:
                continue
    found = files.newest(directory, labels or [])
    for why in found.refused:
        print(f"not used: {why}")
    at = time.strftime("%Y-%m-%d %H:%M:%S", time.gmtime(found.header.at))
    print(
        f"controllers {', '.join(found.header.labels)}; history {found.header.history or '-'} "
        f"(number {found.header.number}); base of {at} UTC, revision {found.rev}"
    )
    print(counts(found))
    return 0


def planned(settings: Settings, found: Found, records: dict[str, tuple[Any, int]]) -> Merged:
    """What a restore would change."""
    limits = {t.name: (t.cpus_max, t.gpus_max) for t in settings.cluster.teams}
    said = remembered(found, "snapshot")
    return merge(
        {k: v for k, v in records.items() if not is_anchor(k)},
        {said.label: said},
        (),
        limits,
        chunk_size(settings.cluster.state.value_kb),
    )


async def _restore(settings: Settings, directory: Path, write: bool) -> int:
    found = files.newest(directory, settings.labels)
    for why in found.refused:
        print(f"not used: {why}")
    store = store_of(settings)
    records, _ = await read_all(store)
    here = sorted(k[len("c/node/") :] for k in records if k.startswith("c/node/"))
    if here:
        raise RestoreRefusedError(
            f"controllers are running ({', '.join(here)}): they rebuild by themselves"
        )
    head = records.get(HEAD_KEY)
    if head is not None and int(head[0]["n"]) > found.header.number + (head[0].get("by") == BY):
        raise RestoreRefusedError(
            f"the snapshot is of history {found.header.number}, the records of "
            f"{head[0]['n']}: they have been rebuilt since"
        )
    merged = planned(settings, found, records)
    print(
        f"live jobs {merged.jobs}, {merged.found} of them restored; final records restored "
        f"{merged.ended}; {len(merged.changes)} changes"
    )
    if not write:
        print("nothing written; --write does it")
        return 0
    await _begin(store, records, head, found.header)
    records, _ = await read_all(store)
    anchor = anchor_key("c/", _name(found))
    done = 0
    for txn in plan.transactions(
        merged.changes,
        records,
        (anchor, records[anchor][1]),
        settings.cluster.state.least().txn_ops,
    ):
        await _settled(store, txn)
        done += len(txn.writes)
        print(f"{done} of {len(merged.changes)}", file=sys.stderr)
    print("written; start the controllers, which ask the machines for what runs")
    return 0


def _name(found: Found | Header) -> str:
    header = found.header if isinstance(found, Found) else found
    return f"restored-{header.history or 'none'}-{header.rev}"


async def _begin(
    store: StateStore,
    records: dict[str, tuple[Any, int]],
    head: tuple[Any, int] | None,
    header: Header,
) -> None:
    """A history of its own: what was sent before is not applied any more, and the controllers
    find it to be rebuilt."""
    name = _name(header)
    txn = Txn().require(HEAD_KEY, head[1] if head else 0)
    for key, (_, rev) in records.items():
        if key.startswith("c/~") and key != anchor_key("c/", name):
            txn.require(key, rev).delete(key)
    txn.put(anchor_key("c/", name), anchor_value(name))
    txn.put(HEAD_KEY, {"id": name, "n": header.number + 1, "state": REBUILDING, "by": BY})
    await _settled(store, txn)


async def _settled(store: StateStore, txn: Txn) -> None:
    """Commit, asked again as long as no answer comes. (A second copy conflicts.)"""
    attempt = store.begin()
    unsure = False
    while True:
        try:
            await store.commit(txn)
            return
        except ConflictError:
            if unsure:
                return
            raise RestoreRefusedError("the records have changed meanwhile: begin again") from None
        except OutcomeUnknownError:
            unsure = True
        except UnavailableError:
            pass
        await store.back_off(attempt)
