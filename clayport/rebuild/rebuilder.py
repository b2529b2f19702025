"""Carries out a rebuild: gathers evidence, writes the merged records and begins a history.

`merge` computes the records, and `plan` divides the writes into transactions.
"""

from __future__ import annotations

import logging
import time
from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING, Any

import curio

from clayport.machines.tokens import epoch_of
from clayport.membership.epoch import Epoch
from clayport.rebuild import evidence, plan
from clayport.rebuild.evidence import Evidence, Task
from clayport.rebuild.history import (
    HISTORY_KEY,
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
    """Another process has changed the records meanwhile; they have to be read again."""


async def read_anchors(store: StateStore, name: str) -> dict[str, int]:
    """Return the existing anchors of a history, with their revisions."""
    found = [await store.get(anchor_key(prefix, name), allow_in_doubt=True) for prefix in PREFIXES]
    return {e.key: e.rev for e in found if e is not None}


class Rebuilder:
    """Carries out the rebuilds of one controller.

    Args:
        controller: The parts of the controller.
        history: The history that the controller acts on.
        own_evidence: Returns the evidence of this controller.
        join: Joins a history, given its head record and the revisions of its anchors.
    """

    def __init__(
        self,
        controller: RebuildParts,
        history: History,
        own_evidence: Callable[[], Evidence],
        join: Callable[[Entry, dict[str, int]], Awaitable[None]],
    ) -> None:
        self.controller, self.history = controller, history
        self.own_evidence, self.join = own_evidence, join

    async def rebuild(self, head: Entry | None, records: dict[str, Entry], number: int) -> None:
        """Rebuild the records.

        The rebuild uses the request rates of all controllers, because the others have suspended
        their work.

        Args:
            head: The record under `HISTORY_KEY`, if there is one.
            records: The records under `c/`.
            number: The number of the new history.

        Raises:
            ConcurrentChangeError: Another process has changed the records meanwhile.
            UnavailableError: The state service doesn't answer.
        """
        store = self.controller.store
        store.divide_limits(1)
        try:
            await self._rebuild_records(head, records, number)
        finally:
            store.divide_limits(store.controllers)

    async def _rebuild_records(
        self, head: Entry | None, records: dict[str, Entry], number: int
    ) -> None:
        controller, history = self.controller, self.history
        started_at = time.monotonic()
        name = f"{controller.routines.rng.getrandbits(64):016x}"
        anchor = await self._begin_history(head, records, name, number)
        log.info("event=rebuild-began history=%s cause=%r", name, history.suspicion)
        evidence_by_label = await self._gather_evidence(name)
        members, complete = evidence.last_epoch_evidence(evidence_by_label)
        missing = sorted(set(members) - set(complete))
        machines = {n: a for e in evidence_by_label.values() for n, a in e.machines.items()}
        listed: list[Task] = []
        highest_token = 0
        if missing or not members:
            log.info("event=rebuild-asks machines=%d missing=%s", len(machines), ",".join(missing))
            listed, highest_token = await Inventory(
                controller, evidence_by_label, machines
            ).collect()
        scanned, _ = await controller.store.scan_all(PREFIXES, allow_in_doubt=True)
        current = {key: row for key, row in scanned.items() if not is_anchor(key)}
        merged = merge(
            current,
            evidence_by_label,
            listed,
            controller.quotas.limits,
            chunk_size(controller.settings.cluster.state.value_kb),
        )
        log.info(
            "event=rebuild-found jobs=%d restored=%d ended=%d changes=%d unknown=%d "
            "controllers=%d machines=%d",
            merged.jobs,
            merged.restored,
            merged.ended,
            len(merged.changes),
            len(merged.unknown),
            len(evidence_by_label),
            len(machines),
        )
        written = 0
        for txn in plan.transactions(
            merged.changes, current, anchor, controller.settings.cluster.state.strictest().txn_ops
        ):
            await self._write(txn)
            written += len(txn.writes)
            log.debug("event=rebuild-wrote changes=%d of=%d", written, len(merged.changes))
        await self._finish(name, number, anchor, evidence_by_label, current, highest_token)
        log.info(
            "event=rebuild-done history=%s changes=%d seconds=%.1f",
            name,
            written,
            time.monotonic() - started_at,
        )

    async def _begin_history(
        self, head: Entry | None, records: dict[str, Entry], name: str, number: int
    ) -> tuple[str, int]:
        """Replace the anchors of all earlier histories; return the new anchor under `c/`.

        The first transaction replaces the anchors under `c/`. From then on no commit of an earlier
        history is applied, because every commit requires the anchor under `c/`. The anchors of the
        other prefixes follow in one transaction each.
        """
        controller = self.controller
        old_names = {
            self.history.name,
            head.value["id"] if head is not None else "",
            *(k[len("c/~") :] for k in records if k.startswith("c/~")),
        } - {""}
        old_anchors = {
            old_name: await read_anchors(controller.store, old_name)
            for old_name in sorted(old_names)
        }

        def replace_anchor(txn: Txn, prefix: str) -> Txn:
            for old_name, revs in old_anchors.items():
                key = anchor_key(prefix, old_name)
                txn.require(key, revs.get(key, 0))
                if key in revs:
                    txn.delete(key)
            return txn.put(anchor_key(prefix, name), anchor_value(name))

        txn = replace_anchor(Txn().require(HISTORY_KEY, head.rev if head is not None else 0), "c/")
        txn.put(
            HISTORY_KEY,
            {"id": name, "n": number, "state": REBUILDING, "by": controller.membership.label},
        )
        anchor = anchor_key("c/", name), await self._write(txn)
        for prefix in PREFIXES:
            if prefix != "c/":
                await self._write(replace_anchor(Txn().require(*anchor), prefix))
        return anchor

    async def _write(self, txn: Txn) -> int:
        """Commit, and retry until the commit is known to be applied; return its revision.

        Raises:
            ConcurrentChangeError: A condition doesn't hold, possibly because an earlier attempt
                without an answer was applied.
            UnavailableError: The state service has refused the commit, which is not applied.
        """
        controller = self.controller
        attempt = controller.store.begin_request()
        may_be_applied = False
        while True:
            try:
                return await controller.store.commit(
                    txn, priority_s=LEASE_PRIORITY_S, allow_in_doubt=True
                )
            except ConflictError as exc:
                log.info("event=rebuild-overtaken keys=%s", exc.failed[:3])
                raise ConcurrentChangeError from None
            except OutcomeUnknownError:
                may_be_applied = True
            except UnavailableError:
                if not may_be_applied:
                    raise
            await controller.store.back_off(attempt)

    async def _gather_evidence(self, name: str) -> dict[str, Evidence]:
        """Return the evidence of this controller, of all peers that answer, and of snapshots."""
        controller = self.controller
        evidence_by_label = {controller.membership.label: self.own_evidence()}
        for _ in range(3):
            for label in controller.peers:
                if label not in evidence_by_label:
                    received = await self._evidence_of(label, name)
                    if received is not None:
                        evidence.drop_known(
                            received, evidence_by_label[controller.membership.label]
                        )
                        evidence_by_label[label] = received
            if len(evidence_by_label) == len(controller.settings.labels):
                break
            await curio.sleep(controller.membership.lease_ttl_s / 8)
        for received in list(evidence_by_label.values()):
            if received.remembered is not None:
                evidence_by_label[received.remembered.label] = received.remembered
        return evidence_by_label

    async def _evidence_of(self, label: str, name: str) -> Evidence | None:
        peer, parts = self.controller.peers[label], []
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
        evidence_by_label: dict[str, Evidence],
        current: dict[str, tuple[Any, int]],
        highest_token: int,
    ) -> None:
        """Mark the history as complete, begin an epoch under it and join it.

        The epoch's number is higher than every epoch number and fencing token seen so far.
        """
        controller = self.controller
        stored = current.get(EPOCH_KEY)
        epoch_number = 1 + max(
            epoch_of(highest_token),
            int(stored[0]["number"]) if stored else 0,
            *(e.epoch for e in evidence_by_label.values()),
        )
        members = {label: e.incarnation for label, e in evidence_by_label.items() if e.incarnation}
        registered = await self._registered(members)
        txn = Txn().require(*anchor).require(EPOCH_KEY, stored[1] if stored else 0)
        txn.put(EPOCH_KEY, Epoch(epoch_number, registered, 0).value())
        head = {"id": name, "n": number, "state": WHOLE, "by": controller.membership.label}
        rev = await self._write(txn.put(HISTORY_KEY, head).put(anchor[0], anchor_value(name)))
        anchors = await read_anchors(controller.store, name)
        if len(anchors) < len(PREFIXES):
            raise ConcurrentChangeError  # Anchors were lost again meanwhile.
        await self.join(Entry(HISTORY_KEY, head, rev), anchors)

    async def _registered(self, members: dict[str, str]) -> dict[str, str]:
        """Return the members that have registered a key under `c/node/`.

        A member without a key would be removed from the epoch at once. If no member registers
        within the lease TTL, all of them are returned.
        """
        controller = self.controller
        deadline = time.monotonic() + controller.membership.lease_ttl_s
        while True:
            entries, _ = await controller.store.scan("c/node/", allow_in_doubt=True)
            registered_incarnations = {
                e.key[len("c/node/") :]: str(e.value["inc"]) for e in entries
            }
            found = {
                label: inc
                for label, inc in members.items()
                if registered_incarnations.get(label) == inc
            }
            if len(found) == len(members) or time.monotonic() >= deadline:
                return found or members
            await curio.sleep(controller.membership.lease_ttl_s / 8)
