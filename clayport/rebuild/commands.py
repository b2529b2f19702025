"""The commands `clayport snapshot take|verify|show` and `clayport restore`.

This module parses arguments, prints results and returns exit statuses. `restore` reads and
writes the records.
"""

from __future__ import annotations

import argparse
import sys
import time
from collections import Counter
from pathlib import Path

import curio

from clayport.rebuild import files, restore
from clayport.rebuild.files import Header, Snapshot, SnapshotError
from clayport.rebuild.history import is_anchor
from clayport.rebuild.restore import RestoreRefusedError
from clayport.records.errors import ConflictError, OutcomeUnknownError, UnavailableError
from clayport.records.store import StateStore
from clayport.settings import ConfigError, Settings, load, parse_endpoint


def parser() -> argparse.ArgumentParser:
    """Build the parser of the `snapshot` and `restore` commands."""
    root_parser = argparse.ArgumentParser(
        prog="clayport", description="Snapshots of the records, and putting them back."
    )
    commands = root_parser.add_subparsers(dest="command", required=True)
    _add_snapshot_actions(commands.add_parser("snapshot", help="take, verify or show snapshots"))
    restore_parser = commands.add_parser(
        "restore",
        help="put the newest snapshot back (says what it would do unless --write)",
        description="With no controller running. Without --write nothing is changed.",
    )
    _add_config(restore_parser)
    restore_parser.add_argument("--write", action="store_true", help="do it")
    restore_parser.add_argument("directory", type=Path)
    return root_parser


def _add_snapshot_actions(snapshot: argparse.ArgumentParser) -> None:
    actions = snapshot.add_subparsers(dest="action", required=True)
    take = actions.add_parser("take", help="read all records and write a base")
    _add_config(take)
    take.add_argument("directory", type=Path)
    verify = actions.add_parser("verify", help="read every file; exit 1 if one is damaged")
    verify.add_argument("directory", type=Path)
    show = actions.add_parser("show", help="what the newest that can be used holds")
    show.add_argument("directory", type=Path)
    show.add_argument("--config", metavar="FILE", help="only of this deployment")


def _add_config(command: argparse.ArgumentParser) -> None:
    command.add_argument(
        "--config",
        metavar="FILE",
        required=True,
        help="the settings of one of the controllers (JSON)",
    )


def main(argv: list[str]) -> int:
    """Run a `snapshot` or `restore` command; return the exit status.

    Status 0 means success, 1 that a snapshot is damaged, and 2 that the command failed for the
    reason that it has printed.
    """
    args = parser().parse_args(argv)
    try:
        return _run(args)
    except (ConfigError, SnapshotError, RestoreRefusedError, OSError) as exc:
        print(f"clayport: {exc}", file=sys.stderr)
    except (UnavailableError, OutcomeUnknownError, ConflictError) as exc:
        print(f"clayport: state service: {exc}", file=sys.stderr)
    return 2


def _run(args: argparse.Namespace) -> int:
    status: int
    if args.command == "restore":
        status = curio.run(restore_snapshot, load(args.config), args.directory, args.write)
    elif args.action == "take":
        status = curio.run(take_snapshot, load(args.config), args.directory)
    elif args.action == "verify":
        status = verify_snapshots(args.directory)
    else:
        status = show_snapshot(args.directory, load(args.config) if args.config else None)
    return status


def open_store(settings: Settings) -> StateStore:
    """Return a client of the state service with one controller's share of its rate limits.

    Raises:
        ConfigError: The address of the state service in the settings is invalid.
    """
    state, workers = settings.cluster.state, settings.cluster.workers
    return StateStore(
        *parse_endpoint(settings.services.state, "services.state"),
        state.rps,
        state.write_rps,
        0.2 * workers.lease_s,
        settings.cluster.size,
    )


async def take_snapshot(settings: Settings, directory: Path) -> int:
    """Write a base of all records and print its path; return the exit status."""
    records, rev = await restore.read_all(open_store(settings))
    head = restore.read_head(records)
    directory.mkdir(parents=True, exist_ok=True)
    header = Header(
        "base",
        list(settings.labels),
        head.name if head else "",
        head.number if head else 0,
        rev,
        time.time(),
    )
    print(files.write_base(directory, header, files.rows_of(records)))
    return 0


def verify_snapshots(directory: Path) -> int:
    """Read all snapshots and print whether each is intact; return the exit status.

    Raises:
        SnapshotError: There is no snapshot in the directory.
    """
    if not directory.is_dir():
        raise SnapshotError(f"{directory}: no such directory")
    damaged = 0
    for path in files.bases(directory):
        try:
            header, records = files.read_base(path)
        except SnapshotError as exc:
            print(f"DAMAGED {exc}")
            damaged += 1
            continue
        log = files.log_path(path)
        rev, problem = files.read_log(log, header, records) if log.exists() else (header.rev, "")
        print(
            f"good    {path}: revision {header.rev}, with its log {rev}, "
            f"{len(records)} records" + (f"; {problem}" if problem else "")
        )
    if not files.bases(directory):
        raise SnapshotError(f"{directory}: no records")
    return 1 if damaged else 0


def show_snapshot(directory: Path, settings: Settings | None) -> int:
    """Print what the newest snapshot holds; return the exit status.

    Args:
        directory: Where the snapshots are.
        settings: Settings of the deployment whose snapshots are shown; None selects the
            deployment of the newest file.

    Raises:
        SnapshotError: The directory has no usable snapshot.
    """
    labels = settings.labels if settings is not None else _newest_labels(directory)
    newest = files.newest(directory, labels)
    _print_refused(newest)
    at = time.strftime("%Y-%m-%d %H:%M:%S", time.gmtime(newest.header.at))
    print(
        f"controllers {', '.join(newest.header.labels)}; history {newest.header.history or '-'} "
        f"(number {newest.header.number}); base of {at} UTC, revision {newest.rev}"
    )
    print(_describe_counts(newest))
    return 0


def _newest_labels(directory: Path) -> list[str]:
    """Return the controller labels of the newest readable header; empty if there is none."""
    for path in files.bases(directory):
        try:
            return files.read_header(path).labels
        except SnapshotError:
            continue
    return []


def _print_refused(snapshot: Snapshot) -> None:
    for problem in snapshot.refused:
        print(f"not used: {problem}")


def _describe_counts(snapshot: Snapshot) -> str:
    """Return a line with the number of records of each kind in a snapshot."""
    kinds = Counter(
        key.partition("/")[0] if not key.startswith("c/") else key.split("/")[1]
        for key in snapshot.records
        if not is_anchor(key)
    )
    return ", ".join(f"{name} {count}" for name, count in sorted(kinds.items()))


async def restore_snapshot(settings: Settings, directory: Path, write: bool) -> int:
    """Restore the newest snapshot, or print what a restore would do; return the exit status.

    Args:
        settings: The settings of one of the controllers.
        directory: Where the snapshots are.
        write: Whether to write the changes.

    Raises:
        SnapshotError: The directory has no usable snapshot.
        RestoreRefusedError: The present state of the records doesn't allow a restore.
    """
    snapshot = files.newest(directory, settings.labels)
    _print_refused(snapshot)
    store = open_store(settings)
    records, _ = await restore.read_all(store)
    restore.check_allowed(snapshot, records)
    merged = restore.plan_restore(settings, snapshot, records)
    print(
        f"live jobs {merged.jobs}, {merged.restored} of them restored; final records restored "
        f"{merged.ended}; {len(merged.changes)} changes"
    )
    if not write:
        print("nothing written; --write does it")
        return 0
    await restore.write(
        store,
        snapshot.header,
        records,
        merged.changes,
        settings.cluster.state.strictest().txn_ops,
    )
    print("written; start the controllers, which ask the machines for what runs")
    return 0
