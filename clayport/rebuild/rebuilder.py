"""A rebuild: evidence is gathered and merged, the records are written, and a history begins.

What the records have to be is decided in `merge`, and in which transactions they are written
in `plan`; here they are carried out.
"""

from __future__ import annotations

import logging
import time
from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING, Any

import curio

from clayport.membership.epoch import TOKEN_COUNTER_BITS, Epoch
from clayport.rebuild import evidence, plan
from clayport.rebuild.evidence import Evidence, Task
from clayport.rebuild.history import (
    HEAD_KEY,
    PREFIXES,
    REBUILDING,
    WHOLE,
    History,
    anchor_key,
    anchor_value,
    is_anchor,
)
from clayport.rebuild.inventory import Inventory
from clayport.rebuild.merge import merge
from clayport.records.chunk import chunk_size
from clayport.records.errors import ConflictError, OutcomeUnknownError, UnavailableError
from clayport.records.keys import EPOCH_KEY
from clayport.records.messages import Entry
from clayport.records.rate_limit import LEASE_PRIORITY_S
from clayport.records.store import StateStore
from clayport.records.transaction import Txn
from clayport.transport import frames
from clayport.transport.peers import PeerError

if TYPE_CHECKING:
    from clayport.rebuild.ports import RebuildParts

log = logging.getLogger(__name__)


class ConcurrentChangeError(Exception):
    """Somebody else has changed something: look anew."""


async def read_anchors(store: StateStore, name: str) -> dict[str, int]:
    """Return the anchors of a history that are there, with their revisions."""
    found = [await store.get(anchor_key(prefix, name), allow_in_doubt=True) for prefix in PREFIXES]
    return {e.key: e.rev for e in found if e is not None}


class Rebuilder:
    """Carries out the rebuilds of one controller.

    Args:
        ports: The controller.
        history: The history that it acts on.
        own_evidence: Returns what this controller still knows of the records.
        join: Acts on a history, given its head and the revisions of its anchors.
    """

    def __init__(
        self,
        ports: RebuildParts,
        history: History,
        own_evidence: Callable[[], Evidence],
        join: Callable[[Entry, dict[str, int]], Awaitable[None]],
    ) -> None:
        self.ports, self.history = ports, history
        self.own_evidence, self.join = own_evidence, join

    async def rebuild(self, head: Entry | None, records: dict[str, Entry], number: int) -> None:
        """Rebuild the records, alone with the state service: all others stand still.

        Raises:
            ConcurrentChangeError: Another controller has changed the records meanwhile.
            UnavailableError: The state service doesn't answer.
        """
        store = self.ports.store
        store.shared_by(1)
        try:
            await self._put_together(head, records, number)
        finally:
            store.shared_by(store.controllers)

    async def _put_together(
        self, head: Entry | None, records: dict[str, Entry], number: int
    ) -> None:
        ports, h = self.ports, self.history
        began = time.monotonic()
        name = f"{ports.routines.rng.getrandbits(64):016x}"
        anchor = await self._begin(head, records, name, number)
        log.info("event=rebuild-began history=%s cause=%r", name, h.suspicion)
        parts = await self._gather(name)
        members, managed_jobs = evidence.split(parts)
        missing = sorted(set(members) - set(managed_jobs))
        machines = {n: a for e in parts.values() for n, a in e.machines.items()}
        listed: list[Task] = []
        highest_token = 0
        if missing or not members:
            log.info("event=rebuild-asks machines=%d missing=%s", len(machines), ",".join(missing))
            listed, highest_token = await Inventory(ports, parts, machines).take()
        records_now, _ = await ports.store.scan_all(PREFIXES, allow_in_doubt=True)
        found = {key: row for key, row in records_now.items() if not is_anchor(key)}
        merged = merge(
            found,
            parts,
            listed,
            ports.quotas.limits,
            chunk_size(ports.settings.cluster.state.value_kb),
        )
        log.info(
            "event=rebuild-found jobs=%d restored=%d ended=%d changes=%d unknown=%d "
            "controllers=%d machines=%d",
            merged.jobs,
            merged.restored,
            merged.ended,
            len(merged.changes),
            len(merged.unknown),
            len(parts),
            len(machines),
        )
        written = 0
        for txn in plan.transactions(
            merged.changes, found, anchor, ports.settings.cluster.state.least().txn_ops
        ):
            await self._write(txn)
            written += len(txn.writes)
            log.debug("event=rebuild-wrote changes=%d of=%d", written, len(merged.changes))
        await self._finish(name, number, anchor, parts, found, highest_token)
        log.info(
            "event=rebuild-done history=%s changes=%d seconds=%.1f",
            name,
            written,
            time.monotonic() - began,
        )

    async def _begin(
        self, head: Entry | None, records: dict[str, Entry], name: str, number: int
    ) -> tuple[str, int]:
        """End the history that was: nothing that was sent under it is applied from here on,
        since it names the anchor under `c/`. The others follow, each with its predecessors."""
        ports = self.ports
        olds = {
            self.history.name,
            head.value["id"] if head is not None else "",
            *(k[len("c/~") :] for k in records if k.startswith("c/~")),
        } - {""}
        there = {old: await read_anchors(ports.store, old) for old in sorted(olds)}

        def renew(txn: Txn, prefix: str) -> Txn:
            for old, revs in there.items():
                key = anchor_key(prefix, old)
                txn.require(key, revs.get(key, 0))
                if key in revs:
                    txn.delete(key)
            return txn.put(anchor_key(prefix, name), anchor_value(name))

        txn = renew(Txn().require(HEAD_KEY, head.rev if head is not None else 0), "c/")
        txn.put(
            HEAD_KEY, {"id": name, "n": number, "state": REBUILDING, "by": ports.membership.label}
        )
        anchor = anchor_key("c/", name), await self._write(txn)
        for prefix in PREFIXES:
            if prefix != "c/":
                await self._write(renew(Txn().require(*anchor), prefix))
        return anchor

    async def _write(self, txn: Txn) -> int:
        """Commit until it is known whether; ConcurrentChangeError if somebody else came first."""
        ports = self.ports
        attempt = ports.store.begin()
        unsure = False
        while True:
            try:
                return await ports.store.commit(
                    txn, priority_s=LEASE_PRIORITY_S, allow_in_doubt=True
                )
            except ConflictError as exc:
                log.info("event=rebuild-overtaken keys=%s", exc.failed[:3])
                raise ConcurrentChangeError from None
            except OutcomeUnknownError:
                unsure = True
            except UnavailableError:
                if not unsure:
                    raise
            await ports.store.back_off(attempt)

    async def _gather(self, name: str) -> dict[str, Evidence]:
        """The evidence of all controllers that answer, ours included."""
        ports = self.ports
        parts = {ports.membership.label: self.own_evidence()}
        for _ in range(3):
            for label in ports.peers:
                if label not in parts:
                    found = await self._evidence_of(label, name)
                    if found is not None:
                        evidence.only_news(found, parts[ports.membership.label])
                        parts[label] = found
            if len(parts) == len(ports.settings.labels):
                break
            await curio.sleep(ports.membership.lease_ttl_s / 8)
        for found in list(parts.values()):
            if found.remembered is not None:
                parts[found.remembered.label] = found.remembered
        return parts

    async def _evidence_of(self, label: str, name: str) -> Evidence | None:
        peer, parts = self.ports.peers[label], []
        try:
            count, part = await peer.call(frames.EVIDENCE, (name, 0))
            parts.append(part)
            parts += [
                (await peer.call(frames.EVIDENCE, (name, number)))[1] for number in range(1, count)
            ]
            return evidence.unpack(parts)
        except (PeerError, ValueError) as exc:
            log.info("event=no-evidence label=%s cause=%s", label, exc)
            return None

    async def _finish(
        self,
        name: str,
        number: int,
        anchor: tuple[str, int],
        parts: dict[str, Evidence],
        found: dict[str, tuple[Any, int]],
        highest_token: int,
    ) -> None:
        """The history is whole, and an epoch begins under it, above all that anybody has
        seen."""
        ports = self.ports
        stored = found.get(EPOCH_KEY)
        later = 1 + max(
            highest_token >> TOKEN_COUNTER_BITS,
            int(stored[0]["number"]) if stored else 0,
            *(e.epoch for e in parts.values()),
        )
        members = {label: e.incarnation for label, e in parts.items() if e.incarnation}
        present = await self._present(members)
        txn = Txn().require(*anchor).require(EPOCH_KEY, stored[1] if stored else 0)
        txn.put(EPOCH_KEY, Epoch(later, present, 0).value())
        head = {"id": name, "n": number, "state": WHOLE, "by": ports.membership.label}
        rev = await self._write(txn.put(HEAD_KEY, head).put(anchor[0], anchor_value(name)))
        anchors = await read_anchors(ports.store, name)
        if len(anchors) < len(PREFIXES):
            raise ConcurrentChangeError  # lost in the very moment
        await self.join(Entry(HEAD_KEY, head, rev), anchors)

    async def _present(self, members: dict[str, str]) -> dict[str, str]:
        """Of those whose evidence is there, who has a key: all others would have to be taken
        out again at once. Everybody, if nobody has one yet."""
        ports = self.ports
        end = time.monotonic() + ports.membership.lease_ttl_s
        while True:
            entries, _ = await ports.store.scan("c/node/", allow_in_doubt=True)
            keys = {e.key[len("c/node/") :]: str(e.value["inc"]) for e in entries}
            found = {label: inc for label, inc in members.items() if keys.get(label) == inc}
            if len(found) == len(members) or time.monotonic() >= end:
                return found or members
            await curio.sleep(ports.membership.lease_ttl_s / 8)
